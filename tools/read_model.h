#ifndef READ_MODEL_H
#define READ_MODEL_H

#include <stdbool.h>
#include <stdint.h>

/*
 * Deterministic simulation of reads on routes of all kinds: sessions, the
 * daemons that serve them or pass them on, and two groups of databases whose
 * primaries change.  Random events and troubles from a seed, on a simulated
 * clock, drive the product's rules on leases, position samples and required
 * positions.  A run counts the reads that lacked a commit which they had to
 * see.  Failovers are given: they keep what the leases rely on.
 */

/* Wrong rules that the checks must detect, one per run. */
typedef enum read_model_bug {
	READ_BUG_NONE,
	/* a position sample of a primary without a lease on it */
	READ_BUG_SAMPLE_WITHOUT_LEASE,
	/* while there is no new sample after the store has come back from an
	   older copy, the last one counts as recent */
	READ_BUG_SAMPLE_OUTLIVES_RETURN,
	/* and while there is no lease on a primary */
	READ_BUG_SAMPLE_OUTLIVES_LEASE,
	/* a sample takes no account of open orders */
	READ_BUG_SAMPLE_UNCHECKED,
	/* the age of a sample counts from the arrival of the answer */
	READ_BUG_SAMPLE_AGE_OF_ANSWER,
	/* the age of what a lease rests on counts from there, too */
	READ_BUG_LEASE_AGE_OF_ANSWER,
	/* a session keeps its last write for one group only */
	READ_BUG_FLOOR_OF_ONE_GROUP,
	/* required positions compare without their terms */
	READ_BUG_FLOOR_WITHOUT_TERM,
	/* reads of sessions that must see their own writes have no floor */
	READ_BUG_NO_FLOOR,
	/* a statement arrived when the daemon last handled anything before */
	READ_BUG_ARRIVAL_BEFORE_FREEZE,
	/* the time that a statement waited before it was passed on counts
	   twice */
	READ_BUG_WAIT_TWICE,
	/* that time does not count: stricter than the right rule */
	READ_BUG_WAIT_LEFT_OUT,
	/* samples end with the lease: stricter than the right rule */
	READ_BUG_SAMPLE_ENDS_WITH_LEASE,
	/* a replica gets a read without the required position */
	READ_BUG_NO_POSITION,
	/* a read that was sent to the primary is answered without the lease */
	READ_BUG_PRIMARY_UNCONFIRMED,
	/* and if another primary is known when its answer arrives */
	READ_BUG_ROLE_AT_ANSWER,
} read_model_bug_t;

/* Kinds of routes. */
typedef enum read_model_route {
	READ_ROUTE_PRIMARY,
	READ_ROUTE_BOUNDED,
	READ_ROUTE_OWN,
	READ_ROUTES,
} read_model_route_t;

/* Chances of troubles; each lasts for a random time. */
typedef struct read_model_troubles {
	/* per answer of a database: it is held up */
	uint32_t held_permille;
	/* per step of a statement: its daemon freezes before the step */
	uint32_t frozen_permille;
	/* the others: per 20 ms; for each group, if not said otherwise */
	uint32_t silent_permille;  /* a connection, or a link between daemons */
	uint32_t lag_permille;     /* a replica receives or applies nothing */
	uint32_t restart_permille; /* a database starts again */
	uint32_t change_permille;  /* the primary is replaced */
	uint32_t returns_permille; /* the store goes back to an older copy */
	/* per change: another order was sent before, and takes effect late */
	uint32_t late_permille;
	/* per statement: the session's route has moved to the other group */
	uint32_t moves_permille;
} read_model_troubles_t;

typedef struct read_model_plan {
	uint32_t seed;
	uint64_t steps; /* number of events to run */
	read_model_troubles_t troubles;
	read_model_bug_t injected_bug;
} read_model_plan_t;

typedef struct read_model_result {
	uint64_t commits; /* acknowledged */
	uint64_t reads[READ_ROUTES];
	uint64_t replica_reads;
	uint64_t passed_on; /* statements served by another daemon */
	uint64_t changes;   /* of primaries */
	uint64_t late_changes;
	uint64_t given_up; /* acknowledged commits that a change rolled back */
	uint64_t returns;
	uint64_t restarts;
	uint64_t freezes;
	uint64_t silences;
	uint64_t moves;
	/* violations: reads that lacked a commit, for each kind of route */
	uint64_t stale[READ_ROUTES];
} read_model_result_t;

void read_model_run(const read_model_plan_t *, read_model_result_t *);
uint64_t read_model_violations(const read_model_result_t *);

#endif
