#ifndef FAILOVER_MODEL_H
#define FAILOVER_MODEL_H

#include "../src/decide/decide.h"

/*
 * Deterministic simulation of one group of databases and several daemons that
 * each consider themselves the owner of the group.  Random events and faults
 * from a seed, on a simulated clock, drive the failover, acknowledgement and
 * replica read rules of the product; each run counts the violations of what
 * they guarantee.
 */

/*
 * Acknowledgement rule: whether a statement that was sent at since_us and
 * executed at position may be answered, given the databases' views.
 */
typedef bool (*failover_model_ack_rule_fn)(void *context,
    const db_view_t *views, uint32_t count, position_t position,
    int64_t since_us);

typedef struct failover_model_plan {
	uint32_t seed;
	uint64_t steps;     /* number of events to run */
	uint32_t databases; /* number of databases: 3 or 5 */
	uint32_t owners;
	uint32_t fault_permille; /* chance of a fault per tick */
	/* the product's rule, or a wrong one that a check must detect */
	failover_model_ack_rule_fn ack_rule;
	void *ack_rule_context;
	/* other wrong rules that a check must detect */
	bool promote_longest_log;    /* promotion ignores the terms of logs */
	bool skip_read_confirmation; /* no majority confirms fresh reads */
	bool ignore_replica_age; /* any replica serves, however old its log */
	bool ignore_request_ids; /* duplicate requests are not detected */
} failover_model_plan_t;

typedef struct failover_model_result {
	uint64_t steps;
	uint64_t acknowledged; /* acknowledged writes */
	uint64_t reads;        /* fresh reads, by the primary */
	uint64_t replica_reads;
	uint64_t primary_changes;
	uint64_t unconfirmed_timeouts; /* statements never confirmed */
	uint64_t duplicate_requests; /* repeated requests, not executed again */
	uint64_t faults;
	int64_t simulated_us;
	/* longest time between two acknowledgements, without a fault */
	int64_t longest_ack_gap_us;
	/* violations */
	/* acknowledged writes that a new primary lacks */
	uint64_t lost_writes;
	uint64_t stale_fresh_reads;    /* fresh reads that missed a write */
	uint64_t stale_replica_reads;  /* reads beyond their maximum age */
	uint64_t duplicate_executions; /* request ids that a log holds twice */
} failover_model_result_t;

bool failover_model_ack_by_majority(
    void *, const db_view_t *, uint32_t, position_t, int64_t);
bool failover_model_ack_unconfirmed(
    void *, const db_view_t *, uint32_t, position_t, int64_t);
void failover_model_run(
    const failover_model_plan_t *, failover_model_result_t *);
int64_t failover_model_write_outage_us(const failover_model_plan_t *);

#endif
