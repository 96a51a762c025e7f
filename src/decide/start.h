#ifndef DECIDE_START_H
#define DECIDE_START_H

#include "decide.h"

#include <stdbool.h>
#include <stdint.h>

/*
 * Time after which a start that is not listed, and does not answer, is no
 * member of its group any more although it has not said that it leaves.
 */
#define START_LOST_US (60 * US_PER_SECOND)

/*
 * One start of a database: a process.  With it end the promises that it has
 * given, its support of leases, its role as primary, its membership of the
 * group, and each handover from it.  What tells of its end has two strengths:
 *
 * start_ended()	certain for every daemon.  Votes rest on it: a member
 *			that is not counted any more (failover_set_members()),
 *			and a server that is removed from its group.
 * start_likely_ended()	as this daemon sees it.  It only keeps this daemon from
 *			relying on the start (db_view_t.likely_ended): it is no
 *			primary, no candidate, and supports no lease here.
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
	bool moved;    /* it is listed at another address */
	bool
	    denied; /* the process at its address is another one, by its word */
	bool refused; /* it has refused a connection since its last answer */
	bool leaving; /* it has said that it leaves */
	bool member;  /* it is a recorded member */
	bool known;   /* it has answered */
	/* time since the request that it answered last or, if that is shorter,
	   since it has not been listed */
	int64_t silent_us;
} start_evidence_t;

/*
 * Why a start is removed from its group, in the order of RemovalReason in
 * schema/event.proto, by which the log names them.
 */
typedef enum start_removal {
	START_STAYS,
	START_FOLLOWED,   /* a later start is listed */
	START_MOVED,      /* it is listed at another address */
	START_DENIED,     /* the process at its address is another one */
	START_LEFT,       /* not listed, has said that it leaves, no member */
	START_UNANSWERED, /* not listed, has never answered, no member */
	START_SILENT,     /* not listed, and has not answered for long */
} start_removal_t;

bool start_follows(const start_t *later, const start_t *start);
bool start_ended(const start_evidence_t *);
bool start_likely_ended(const start_evidence_t *);
start_removal_t start_removal(const start_evidence_t *);

#endif
