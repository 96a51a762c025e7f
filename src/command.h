#ifndef COMMAND_H
#define COMMAND_H

#include "bergamotplank.h"

#include <argtable2.h>

/* The subcommands of the program.  Each returns the exit status. */
int32_t command_serve(int argc, char **argv);
int32_t command_proxy(int argc, char **argv);
int32_t command_check(int argc, char **argv);
int32_t command_status(int argc, char **argv);

#define EXIT_USAGE 2 /* exit status after wrong arguments */

int32_t command_usage(
    const char *command, void **table, struct arg_end *, bool help);

/* A subcommand whose only argument is a settings file. */
typedef struct settings_command {
	const char *name;
	void *(*read)(arena_t *, const char *text, uint64_t, input_errors_t *);
	/* returns 0 or a negative error number */
	int32_t (*run)(const void *settings);
} settings_command_t;

int32_t command_with_settings(const settings_command_t *, int argc, char **);
char *command_read_file(const char *path, uint64_t *size_bytes);
void command_print_errors(const char *path, const input_errors_t *);

#endif
