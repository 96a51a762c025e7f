#ifndef MODEL_H
#define MODEL_H

#include "../src/decide/decide.h"

/*
 * Deterministic simulation of one group of databases and several daemons that
 * each take themselves for the group's owner.  Random events and faults from
 * a seed, on a simulated clock, drive the failover, acknowledgement and
 * replica read rules of the product; each run counts the violations of what
 * they guarantee.
 */

/*
 * Acknowledgement rule: whether a statement that was sent at since_us and
 * executed at position may be answered, given the databases' views.
 */
typedef bool (*model_hold_fn)(void *context, const db_view_t *views,
    uint32_t count, position_t position, int64_t since_us);

typedef struct model_plan {
	uint32_t seed;
	uint64_t steps;     /* events to run */
	uint32_t databases; /* 3 or 5 */
	uint32_t owners;
	uint32_t fault_permille; /* chance of a fault per tick */
	/* the product's rule, or a wrong one that a check must detect */
	model_hold_fn hold;
	void *hold_context;
	/* other wrong rules that a check must detect */
	bool longest_log;       /* promotion ignores the terms of logs */
	bool reads_unconfirmed; /* no majority confirms fresh reads */
	bool replicas_unaged;   /* any replica serves, however old its log */
	bool ids_unrecorded;    /* duplicate requests are not detected */
} model_plan_t;

typedef struct model_result {
	uint64_t steps;
	uint64_t acknowledged;
	uint64_t reads; /* by the primary */
	uint64_t replica_reads;
	uint64_t changes;    /* of primary */
	uint64_t unknown;    /* statements that timed out unconfirmed */
	uint64_t duplicates; /* repeated requests, not executed again */
	uint64_t faults;
	int64_t simulated_us;
	int64_t longest_gap_us; /* between acknowledgements, without a fault */
	/* violations */
	uint64_t lost;          /* acknowledged writes a new primary lacks */
	uint64_t stale;         /* fresh reads */
	uint64_t replica_stale; /* replica reads beyond their maximum age */
	uint64_t twice;         /* request ids that a log holds twice */
} model_result_t;

bool model_hold_right(void *, const db_view_t *, uint32_t, position_t, int64_t);
bool model_hold_at_once(
    void *, const db_view_t *, uint32_t, position_t, int64_t);
void model_run(const model_plan_t *, model_result_t *);
int64_t model_gap_us(const model_plan_t *);

#endif
