#include "command.h"

#include <signal.h>
#include <stdio.h>
#include <string.h>

typedef struct command {
	const char *name;
	int32_t (*run)(int argc, char **argv);
	const char *summary;
} command_t;

static const command_t commands[] = {
    {"serve", command_serve, "run the daemon on an entry VM"},
    {"proxy", command_proxy, "run the proxy for the line protocol"},
    {"check", command_check, "check a settings file or a team's document"},
    {"status", command_status, "show the status of a running daemon"},
};

/*
 * Print the usage of the program.
 */
static void
usage(FILE *to)
{
	uint32_t i;

	fprintf(to,
	    "usage: bergamotplank command [options]\n"
	    "       bergamotplank --help | --version\n\ncommands:\n");
	for (i = 0; i < G_N_ELEMENTS(commands); i++)
		fprintf(
		    to, "  %-8s %s\n", commands[i].name, commands[i].summary);
}

/*
 * Print the usage of a subcommand, to standard output if help was requested,
 * else to standard error after the argument errors.  Returns the exit status.
 */
int32_t
command_usage(const char *command, void **table, struct arg_end *end, bool help)
{
	FILE *to = help ? stdout : stderr;

	if (!help)
		arg_print_errors(to, end, command);
	fprintf(to, "usage: bergamotplank %s", command);
	arg_print_syntax(to, table, "\n");
	arg_print_glossary(to, table, "  %-24s %s\n");
	return help ? 0 : EXIT_USAGE;
}

/*
 * Read a whole file.  Prints an error and returns NULL on failure.
 */
char *
command_read_file(const char *path, uint64_t *size_bytes)
{
	GError *error = NULL;
	char *text;
	gsize size;

	if (!g_file_get_contents(path, &text, &size, &error)) {
		fprintf(stderr, "bergamotplank: %s\n", error->message);
		g_error_free(error);
		return NULL;
	}
	*size_bytes = size;
	return text;
}

/*
 * Print every error found in a file, one per line.
 */
void
command_print_errors(const char *path, const input_errors_t *errors)
{
	uint32_t i;

	for (i = 0; i < errors->count; i++)
		fprintf(stderr, "%s:%u: %s\n", path, errors->list[i].line,
		    errors->list[i].reason);
}

/*
 * Run a subcommand that takes a settings file.  Returns the exit status.
 */
int32_t
command_with_settings(const settings_command_t *command, int argc, char **argv)
{
	struct arg_file *file =
	    arg_file1("f", "file", "FILE", "settings of this daemon");
	struct arg_lit *help = arg_lit0("h", "help", "show this help");
	struct arg_end *end = arg_end(4);
	void *table[] = {file, help, end};
	int parse_errors = arg_parse(argc, argv, table);
	input_errors_t errors = {arena_new(), NULL, 0, NULL};
	uint64_t size_bytes;
	void *settings;
	char *text;

	if (help->count > 0 || parse_errors > 0)
		return command_usage(
		    command->name, table, end, help->count > 0);
	text = command_read_file(file->filename[0], &size_bytes);
	if (text == NULL)
		return 1;
	errors.message_lines = g_hash_table_new(NULL, NULL);
	settings = command->read(errors.arena, text, size_bytes, &errors);
	g_free(text);
	if (settings == NULL) {
		command_print_errors(file->filename[0], &errors);
		return 1;
	}
	signal(SIGPIPE, SIG_IGN);
	return command->run(settings) == 0 ? 0 : 1;
}

/*
 * Run the subcommand named by the first argument.
 */
int
main(int argc, char **argv)
{
	uint32_t i;

	if (argc < 2) {
		usage(stderr);
		return EXIT_USAGE;
	}
	if (strcmp(argv[1], "--help") == 0 || strcmp(argv[1], "-h") == 0) {
		usage(stdout);
		return 0;
	}
	if (strcmp(argv[1], "--version") == 0) {
		printf("bergamotplank %s\n", BP_VERSION);
		return 0;
	}
	for (i = 0; i < G_N_ELEMENTS(commands); i++) {
		if (strcmp(argv[1], commands[i].name) == 0)
			return commands[i].run(argc - 1, argv + 1);
	}
	fprintf(stderr, "bergamotplank: unknown command %s\n", argv[1]);
	usage(stderr);
	return EXIT_USAGE;
}
