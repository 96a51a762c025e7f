#ifndef DECIDE_REQID_H
#define DECIDE_REQID_H

#include "decide.h"

/*
 * What one daemon remembers of the request ids that it has run.  It only
 * saves work: across daemons the database's own record of the id decides.
 */
typedef struct reqids reqids_t;

typedef enum reqid_state {
	REQID_NEW,
	REQID_RUNNING,
	REQID_ENDED,
} reqid_state_t;

reqids_t *reqids_new(uint32_t max);
void reqids_free(reqids_t *);
reqid_state_t reqids_begin(reqids_t *, const char *id);
bool reqids_ended(const reqids_t *, const char *id, position_t *);
void reqids_end(reqids_t *, const char *id, bool ran, position_t);
uint32_t reqids_count(const reqids_t *);

#endif
