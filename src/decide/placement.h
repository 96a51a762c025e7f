#ifndef DECIDE_PLACEMENT_H
#define DECIDE_PLACEMENT_H

#include "decide.h"

/*
 * Placement of the groups on the daemons.  A group has a number of owners, the
 * daemons that have connections to its databases; the others send them their
 * statements.  Daemons that know the same daemons agree on the owners.  While
 * they know different ones a group has more owners, which costs connections but
 * never correctness.
 */

/* A daemon as a possible owner. */
typedef struct placement_daemon {
	const char *name;
	const char *zone;
	double weight; /* share of a core; above 0 */
	bool avoid;    /* does not answer, or is leaving */
} placement_daemon_t;

/* No daemon can be chosen. */
#define PLACEMENT_NONE (-1)

uint32_t placement_owners(
    uint32_t connections_max, uint32_t daemons, uint32_t groups);
bool placement_is_owner(const placement_daemon_t *, uint32_t count,
    uint32_t self, const char *group, uint32_t owners);
uint32_t placement_watchers(
    const placement_daemon_t *, uint32_t count, uint32_t self);
int32_t placement_choose(const placement_daemon_t *, uint32_t count,
    uint32_t self, const char *group, uint32_t owners);

#endif
