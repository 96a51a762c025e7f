#ifndef DECIDE_SESSION_FLOORS_H
#define DECIDE_SESSION_FLOORS_H

#include "decide.h"

/*
 * Floors of a session: for each group that it has written to, the position of
 * its last acknowledged write, which its reads must not lack.  A floor counts
 * as long as the session, also when its route leads elsewhere meanwhile, since
 * the route may come back.
 */

/* Number of groups whose floors are kept. */
#define SESSION_FLOORS_MAX 8

typedef struct session_floor {
	char *group;
	position_t position;
} session_floor_t;

typedef struct session_floors {
	session_floor_t *floors; /* last written group first, or NULL */
	uint32_t count;
	bool dropped; /* a floor was dropped, as there were too many */
} session_floors_t;

void session_floors_note(
    session_floors_t *, const char *group, position_t position);
bool session_floors_find(
    const session_floors_t *, const char *group, position_t *);
void session_floors_clear(session_floors_t *);

#endif
