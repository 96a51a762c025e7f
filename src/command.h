#ifndef COMMAND_H
#define COMMAND_H

#include "bergamotplank.h"

#include <argtable2.h>

/* The subcommands.  Each returns the exit status of the process. */
int32_t command_serve(int argc, char **argv);
int32_t command_proxy(int argc, char **argv);
int32_t command_check(int argc, char **argv);
int32_t command_status(int argc, char **argv);

#define EXIT_USAGE 2

int32_t command_usage(
    const char *command, void **table, struct arg_end *, bool help);
char *command_read_file(const char *path, uint64_t *size_bytes);
void command_print_faults(const char *path, const faults_t *);

#endif
