#ifndef DECIDE_START_H
#define DECIDE_START_H

#include <stdbool.h>
#include <stdint.h>

/*
 * One start of a database: a process.  With it end the promises that it has
 * given, its support of leases, its role as primary, its membership of the
 * group, and each handover from it.  Those who choose a primary, renew a lease,
 * hand over or take the coordinator role ask only db_view_t.ended, or no longer
 * know a server that has been removed; both follow from start_ended().
 */
typedef struct start {
	const char *id;
	const char *address; /* "IP:PORT"; NULL: not known */
	uint64_t born;       /* time of the start, as the database reports it */
} start_t;

/* What is known of a start of a database that is or was in a group. */
typedef struct start_evidence {
	bool listed;   /* it has an entry in the store */
	bool followed; /* a later start is listed: start_follows() */
	bool
	    denied; /* the process at its address is another one, by its word */
	bool refused; /* it has refused a connection since its last answer */
	bool left;  /* it has said that it leaves, and is no recorded member */
	bool known; /* it has answered */
	int64_t silent_us; /* time since the request that it answered last */
} start_evidence_t;

bool start_follows(const start_t *later, const start_t *start);
bool start_ended(const start_evidence_t *);
bool start_stays(const start_evidence_t *);

#endif
