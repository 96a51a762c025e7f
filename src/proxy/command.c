#include "command.h"

#include "log.h"
#include "platform.h"
#include "proxy/proxy.h"
#include "proxy/settings.h"

#include <signal.h>

/*
 * bergamotplank proxy -f FILE
 */
int32_t
command_proxy(int argc, char **argv)
{
	struct arg_file *file =
	    arg_file1("f", "file", "FILE", "settings of this daemon");
	struct arg_lit *help = arg_lit0("h", "help", "show this");
	struct arg_end *end = arg_end(4);
	void *table[] = {file, help, end};
	int wrong = arg_parse(argc, argv, table);
	faults_t faults = {arena_new(), NULL, 0, NULL};
	Bp__ProxySettings *settings;
	uint64_t size_bytes;
	char *text;

	if (help->count > 0 || wrong > 0)
		return command_usage("proxy", table, end, help->count > 0);
	text = command_read_file(file->filename[0], &size_bytes);
	if (text == NULL)
		return 1;
	faults.lines = g_hash_table_new(NULL, NULL);
	settings = proxy_settings_read(faults.arena, text, size_bytes, &faults);
	g_free(text);
	if (settings == NULL) {
		command_print_faults(file->filename[0], &faults);
		return 1;
	}
	signal(SIGPIPE, SIG_IGN);
	log_start(log_highest_of(settings->log_level));
	return proxy_run(settings, &platform_wire, &platform_objects,
		   &platform_promoter) == 0
	    ? 0
	    : 1;
}
