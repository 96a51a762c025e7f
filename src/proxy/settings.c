#include "proxy.h"

#include "command.h"
#include "json.h"
#include "proxy/settings.h"

/* Parser of the proxy's settings file. */

/*
 * Add an input error unless the value of a key has the form "IP:PORT".
 */
static void
check_address(
    input_errors_t *errors, uint32_t line, const char *key, const char *text)
{
	char *address;
	uint32_t port;

	if (address_split(text, &address, &port) == 0)
		g_free(address);
	else
		input_errors_add(errors, line,
		    "\"%s\" must be IP:PORT, not \"%.80s\"", key, text);
}

/*
 * Return how the time within which a change must be in force is split.
 */
config_delay_t
proxy_config_delay(const Bp__ProxyTimeouts *timeouts)
{
	config_delay_t delay = {.apply_ms = timeouts->config_apply_ms,
	    .store_ms = timeouts->store_ms,
	    .watch_ms = timeouts->config_watch_ms,
	    .news_watch_ms = timeouts->news_watch_ms,
	    .news_valid_ms = timeouts->news_valid_ms};

	config_delay_fill(&delay);
	return delay;
}

/*
 * Add an input error unless waits that are set fit into the time within which a
 * change must be in force.  Those that are derived fit as far as the timeout of
 * a call allows.
 */
static void
check_config_delay(
    input_errors_t *errors, uint32_t line, const Bp__ProxyTimeouts *timeouts)
{
	config_delay_t delay = proxy_config_delay(timeouts);
	const struct {
		const char *key;
		bool set;
		uint32_t sum_ms;
	} sums[] = {
	    {"config_watch_ms", timeouts->has_config_watch_ms,
		config_delay_own_ms(&delay)},
	    {"news_valid_ms", timeouts->has_news_valid_ms,
		config_delay_news_ms(&delay)},
	};
	uint32_t i;

	for (i = 0; i < G_N_ELEMENTS(sums); i++) {
		if (sums[i].set && sums[i].sum_ms > delay.apply_ms)
			input_errors_add(errors, line,
			    "a change may take %u ms by \"%s\" and "
			    "\"store_ms\", longer than \"config_apply_ms\", "
			    "%u",
			    sums[i].sum_ms, sums[i].key, delay.apply_ms);
	}
	if (delay.news_watch_ms >= delay.news_valid_ms)
		input_errors_add(errors, line,
		    "\"news_watch_ms\" (%u) must be less than "
		    "\"news_valid_ms\" (%u)",
		    delay.news_watch_ms, delay.news_valid_ms);
}

/*
 * Parse and check the settings of the proxy.  Returns NULL, and adds the input
 * errors, if they are invalid.  The suffix of a setting's name gives its unit.
 */
Bp__ProxySettings *
proxy_settings_read(arena_t *arena, const char *text, uint64_t size_bytes,
    input_errors_t *errors)
{
	uint32_t errors_before = errors->count, line;
	Bp__ProxySettings *settings = (Bp__ProxySettings *)json_read(
	    arena, &bp__proxy_settings__descriptor, text, size_bytes, errors);

	if (settings == NULL)
		return NULL;
	line = input_errors_line_of(errors, settings);
	if (settings->timeouts == NULL)
		settings->timeouts = (Bp__ProxyTimeouts *)message_new(
		    arena, &bp__proxy_timeouts__descriptor);
	check_address(errors, line, "client_address", settings->client_address);
	check_address(errors, line, "ready_address", settings->ready_address);
	check_address(errors, line, "peer_address", settings->peer_address);
	check_address(errors, line, "store_address", settings->store_address);
	if (settings->promotion_address != NULL &&
	    settings->promotion_address[0] != '\0')
		check_address(errors, line, "promotion_address",
		    settings->promotion_address);
	if (settings->metrics_address != NULL)
		check_address(
		    errors, line, "metrics_address", settings->metrics_address);
	if (settings->name[0] == '\0')
		input_errors_add(errors, line, "\"name\" must not be empty");
	if (!(settings->grace_s >= 1 && settings->grace_s <= 3600))
		input_errors_add(
		    errors, line, "\"grace_s\" must be from 1 to 3600");
	if (!(settings->core_share > 0 && settings->core_share <= 1024))
		input_errors_add(errors, line,
		    "\"core_share\" must be above 0 and at most 1024");
	check_config_delay(errors, line, settings->timeouts);
	return errors->count == errors_before ? settings : NULL;
}
