#ifndef DECIDE_REQID_H
#define DECIDE_REQID_H

#include "decide.h"

/*
 * Request IDs of the writes that this daemon has executed, so that a repeated
 * request is not executed again.  The table only saves work: whether a request
 * was executed through any daemon is decided by the database, which records
 * the ID with the write.
 */
typedef struct reqids reqids_t;

typedef enum reqid_state {
	REQID_NEW,     /* no statement with this request ID was recorded */
	REQID_RUNNING, /* the statement is being executed */
	REQID_ENDED,   /* the statement was executed and acknowledged */
} reqid_state_t;

reqids_t *reqids_new(uint32_t max);
void reqids_free(reqids_t *);
reqid_state_t reqids_begin(reqids_t *, const char *id);
bool reqids_position(const reqids_t *, const char *id, position_t *);
void reqids_end(reqids_t *, const char *id, bool acknowledged, position_t);
uint32_t reqids_count(const reqids_t *);

#endif
