#include "command.h"
#include "document.h"
#include "proxy/settings.h"

#include <stdio.h>

/* What a file may be. */
typedef struct kind {
	const char *name;
	bool (*read)(arena_t *, const char *text, uint64_t, faults_t *);
} kind_t;

/*
 * The settings of a daemon that callers reach by HTTP.
 */
static bool
read_settings(
    arena_t *arena, const char *text, uint64_t size_bytes, faults_t *faults)
{
	return settings_read(arena, text, size_bytes, faults) != NULL;
}

/*
 * The settings of a proxy.
 */
static bool
read_proxy_settings(
    arena_t *arena, const char *text, uint64_t size_bytes, faults_t *faults)
{
	return proxy_settings_read(arena, text, size_bytes, faults) != NULL;
}

/*
 * A team's document.
 */
static bool
read_document(
    arena_t *arena, const char *text, uint64_t size_bytes, faults_t *faults)
{
	return document_read(arena, text, size_bytes, faults) != NULL;
}

static const kind_t kinds[] = {
    {"settings file", read_settings},
    {"settings file of a proxy", read_proxy_settings},
    {"document of a team", read_document},
};

/*
 * bergamotplank check FILE: is it a settings file or a document that a daemon
 * takes?  The kind with the fewest faults is taken for the one that was meant.
 */
int32_t
command_check(int argc, char **argv)
{
	struct arg_file *file =
	    arg_file1(NULL, NULL, "FILE", "settings or a team's document");
	struct arg_lit *help = arg_lit0("h", "help", "show this");
	struct arg_end *end = arg_end(4);
	void *table[] = {file, help, end};
	int wrong = arg_parse(argc, argv, table);
	arena_t *arena = arena_new();
	faults_t best = {arena, NULL, UINT32_MAX, NULL};
	uint64_t size_bytes;
	uint32_t i;
	char *text;

	if (help->count > 0 || wrong > 0)
		return command_usage("check", table, end, help->count > 0);
	text = command_read_file(file->filename[0], &size_bytes);
	if (text == NULL)
		return 1;
	for (i = 0; i < G_N_ELEMENTS(kinds); i++) {
		faults_t faults = {arena, NULL, 0, NULL};

		faults.lines = g_hash_table_new(NULL, NULL);
		if (kinds[i].read(arena, text, size_bytes, &faults)) {
			printf("%s: a valid %s\n", file->filename[0],
			    kinds[i].name);
			g_free(text);
			return 0;
		}
		if (faults.count < best.count)
			best = faults;
	}
	g_free(text);
	command_print_faults(file->filename[0], &best);
	return 1;
}
