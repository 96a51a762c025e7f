#include "command.h"
#include "document.h"
#include "proxy/settings.h"

#include <stdio.h>

/* A type of file that can be checked. */
typedef struct file_type {
	const char *name;
	bool (*is_valid)(
	    arena_t *, const char *text, uint64_t, input_errors_t *);
} file_type_t;

/*
 * Check the settings of "bergamotplank serve".
 */
static bool
check_settings(arena_t *arena, const char *text, uint64_t size_bytes,
    input_errors_t *errors)
{
	return settings_read(arena, text, size_bytes, errors) != NULL;
}

/*
 * Check the settings of "bergamotplank proxy".
 */
static bool
check_proxy_settings(arena_t *arena, const char *text, uint64_t size_bytes,
    input_errors_t *errors)
{
	return proxy_settings_read(arena, text, size_bytes, errors) != NULL;
}

/*
 * Check a team's document.
 */
static bool
check_document(arena_t *arena, const char *text, uint64_t size_bytes,
    input_errors_t *errors)
{
	return document_read(arena, text, size_bytes, errors) != NULL;
}

static const file_type_t file_types[] = {
    {"settings file", check_settings},
    {"settings file of a proxy", check_proxy_settings},
    {"document of a team", check_document},
};

/*
 * Run "bergamotplank check FILE": check whether FILE is a valid settings file
 * or document.  If it is valid as none of the types, the errors are reported
 * for the type with the fewest.
 */
int32_t
command_check(int argc, char **argv)
{
	struct arg_file *file =
	    arg_file1(NULL, NULL, "FILE", "settings or a team's document");
	struct arg_lit *help = arg_lit0("h", "help", "show this help");
	struct arg_end *end = arg_end(4);
	void *table[] = {file, help, end};
	int arg_errors = arg_parse(argc, argv, table);
	arena_t *arena = arena_new();
	input_errors_t fewest_errors = {arena, NULL, UINT32_MAX, NULL};
	uint64_t size_bytes;
	uint32_t i;
	char *text;

	if (help->count > 0 || arg_errors > 0)
		return command_usage("check", table, end, help->count > 0);
	text = command_read_file(file->filename[0], &size_bytes);
	if (text == NULL)
		return 1;
	for (i = 0; i < G_N_ELEMENTS(file_types); i++) {
		input_errors_t errors = {arena, NULL, 0, NULL};

		errors.message_lines = g_hash_table_new(NULL, NULL);
		if (file_types[i].is_valid(arena, text, size_bytes, &errors)) {
			printf("%s: a valid %s\n", file->filename[0],
			    file_types[i].name);
			g_free(text);
			return 0;
		}
		if (errors.count < fewest_errors.count)
			fewest_errors = errors;
	}
	g_free(text);
	command_print_errors(file->filename[0], &fewest_errors);
	return 1;
}
