#ifndef DECIDE_CONTACT_H
#define DECIDE_CONTACT_H

#include <stdbool.h>
#include <stdint.h>

/*
 * What a connection to another process has shown: a daemon, a database, the
 * store or the platform.  Something between the two may refuse or reset the
 * connection in place of that process, which runs on and which others reach.
 */
typedef enum contact {
	CONTACT_SILENT,   /* nothing has come, or it cannot be reached */
	CONTACT_REFUSED,  /* the connection was refused */
	CONTACT_RESET,    /* it was reset, or has ended after it was opened */
	CONTACT_ANSWERED, /* the process itself has answered */
} contact_t;

/* A process that runs, or has run, under a daemon's name. */
typedef struct process {
	const char *name; /* NULL: not known, as of former versions */
	uint64_t start;   /* ms of real time; 0: not known, likewise */
} process_t;

contact_t contact_ended(bool opened, int32_t error);
contact_t contact_answered(const process_t *asked, const process_t *sender);
bool contact_shows_state(contact_t);

#endif
