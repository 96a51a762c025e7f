#ifndef MODEL_H
#define MODEL_H

#include "../src/decide/decide.h"

/*
 * One group of databases and several daemons that each take themselves for
 * its owner, in one process over a seeded clock: the pure decisions driven
 * by random events and faults, and checked against what must hold.
 */

/* Whether a write at a position may be acknowledged. */
typedef bool (*model_hold_fn)(void *context, const db_view_t *views,
    uint32_t count, position_t position, int64_t since_us);

typedef struct model_plan {
	uint32_t seed;
	uint64_t steps;     /* events to run */
	uint32_t databases; /* 3 or 5 */
	uint32_t owners;
	uint32_t fault_permille; /* chance of a fault a tick */
	model_hold_fn hold;
	void *hold_context;
	bool longest_log;       /* wrong rule: terms ignored in promotion */
	bool reads_unconfirmed; /* wrong rule: the primary's word for reads */
	bool replicas_unaged;   /* wrong rule: any reachable replica will do */
	bool ids_unrecorded;    /* wrong rule: the log keeps no request ids */
} model_plan_t;

typedef struct model_result {
	uint64_t steps;
	uint64_t acknowledged;
	uint64_t reads;
	uint64_t replica_reads;
	uint64_t changes; /* of primary */
	uint64_t unknown;
	uint64_t duplicates; /* request ids met again */
	uint64_t faults;
	int64_t simulated_us;
	int64_t longest_gap_us; /* without faults, until the next ack */
	/* violations */
	uint64_t lost;
	uint64_t stale;
	uint64_t replica_stale;
	uint64_t twice;
} model_result_t;

bool model_hold_right(void *, const db_view_t *, uint32_t, position_t, int64_t);
bool model_hold_at_once(
    void *, const db_view_t *, uint32_t, position_t, int64_t);
void model_run(const model_plan_t *, model_result_t *);
int64_t model_gap_us(const model_plan_t *);

#endif
