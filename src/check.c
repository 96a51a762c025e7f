#include "command.h"
#include "document.h"

#include <stdio.h>

/*
 * bergamotplank check FILE: is it a settings file or a document that a daemon
 * takes?  The kind with fewer faults is taken for the one that was meant.
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
	faults_t settings = {arena, NULL, 0, NULL};
	faults_t document = {arena, NULL, 0, NULL};
	uint64_t size_bytes;
	char *text;

	if (help->count > 0 || wrong > 0)
		return command_usage("check", table, end, help->count > 0);
	text = command_read_file(file->filename[0], &size_bytes);
	if (text == NULL)
		return 1;
	settings.lines = g_hash_table_new(NULL, NULL);
	document.lines = g_hash_table_new(NULL, NULL);
	settings_read(arena, text, size_bytes, &settings);
	document_read(arena, text, size_bytes, &document);
	g_free(text);
	if (settings.count == 0 || document.count == 0) {
		printf("%s: a valid %s\n", file->filename[0],
		    settings.count == 0 ? "settings file"
					: "document of a team");
		return 0;
	}
	command_print_faults(file->filename[0],
	    document.count < settings.count ? &document : &settings);
	return 1;
}
