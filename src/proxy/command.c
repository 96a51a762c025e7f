#include "command.h"

#include "log.h"
#include "platform.h"
#include "proxy/proxy.h"
#include "proxy/settings.h"

#include <unistd.h>

/*
 * Parse the settings of the proxy.  Input errors are added to the list.
 */
static void *
read_settings(arena_t *arena, const char *text, uint64_t size_bytes,
    input_errors_t *errors)
{
	return proxy_settings_read(arena, text, size_bytes, errors);
}

/*
 * Run the proxy with the platform's line protocol, object store and promotion
 * call.
 */
static int32_t
run(const void *data)
{
	const Bp__ProxySettings *settings = data;

	log_start(log_level_to_glib(settings->log_level), STDOUT_FILENO);
	return proxy_run(settings, &platform_wire, &platform_object_store,
	    &platform_promoter);
}

/*
 * Run the command "bergamotplank proxy -f FILE".
 */
int32_t
command_proxy(int argc, char **argv)
{
	static const settings_command_t command = {"proxy", read_settings, run};

	return command_with_settings(&command, argc, argv);
}
