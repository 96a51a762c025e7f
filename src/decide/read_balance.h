#ifndef DECIDE_READ_BALANCE_H
#define DECIDE_READ_BALANCE_H

#include "decide.h"

/* Load balancing of reads that several databases of a group can serve. */

/*
 * Results of read_balance_choose(): no database can serve the read; or those
 * that can are at their limits.
 */
#define READ_BALANCE_NONE (-1)
#define READ_BALANCE_BUSY (-2)

/* A database of the group, as a candidate for one read. */
typedef struct read_candidate {
	bool usable; /* the database can serve the read */
	bool primary;
	bool same_zone;
	uint32_t slots;
	uint32_t in_flight;     /* unanswered statements of this daemon */
	uint32_t limit;         /* maximum of in_flight */
	uint32_t reported_busy; /* statements of all daemons that run or
				   wait, by the last status answer */
	bool tried;             /* the read has failed on this database */
} read_candidate_t;

int32_t read_balance_choose(const read_candidate_t *, uint32_t count);
uint32_t concurrency_limit(
    uint32_t slots, uint32_t reported_busy, uint32_t rank);

#endif
