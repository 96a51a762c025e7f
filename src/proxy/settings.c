#include "proxy.h"

#include "command.h"
#include "json.h"
#include "proxy/settings.h"

/* Reading and checking of the proxy's settings file. */

/*
 * Add a fault unless the value of a key has the form "IP:PORT".
 */
static void
check_address(
    input_errors_t *faults, uint32_t line, const char *key, const char *text)
{
	char *address;
	uint32_t port;

	if (address_split(text, &address, &port) == 0)
		g_free(address);
	else
		input_errors_add(faults, line,
		    "\"%s\" must be IP:PORT, not \"%.80s\"", key, text);
}

/*
 * Parse and check the settings of the proxy.  Returns NULL, with the faults
 * added, if they are invalid.  Times are in the unit that the suffix of their
 * name gives.
 */
Bp__ProxySettings *
proxy_settings_read(arena_t *arena, const char *text, uint64_t size_bytes,
    input_errors_t *faults)
{
	uint32_t faults_before = faults->count, line;
	Bp__ProxySettings *settings = (Bp__ProxySettings *)json_read(
	    arena, &bp__proxy_settings__descriptor, text, size_bytes, faults);

	if (settings == NULL)
		return NULL;
	line = input_errors_line_of(faults, settings);
	if (settings->timeouts == NULL)
		settings->timeouts = (Bp__ProxyTimeouts *)message_new(
		    arena, &bp__proxy_timeouts__descriptor);
	check_address(faults, line, "client_address", settings->client_address);
	check_address(faults, line, "ready_address", settings->ready_address);
	check_address(faults, line, "peer_address", settings->peer_address);
	check_address(faults, line, "store_address", settings->store_address);
	if (settings->promotion_address != NULL &&
	    settings->promotion_address[0] != '\0')
		check_address(faults, line, "promotion_address",
		    settings->promotion_address);
	if (settings->metrics_address != NULL)
		check_address(
		    faults, line, "metrics_address", settings->metrics_address);
	if (settings->name[0] == '\0')
		input_errors_add(faults, line, "\"name\" must not be empty");
	if (!(settings->grace_s >= 1 && settings->grace_s <= 3600))
		input_errors_add(
		    faults, line, "\"grace_s\" must be from 1 to 3600");
	return faults->count == faults_before ? settings : NULL;
}
