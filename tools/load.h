#ifndef LOAD_H
#define LOAD_H

#include "fleet.h"
#include "history.h"

/*
 * Sessions that call a fleet as the teams' callers do, each roaming between
 * the daemons, every request and answer recorded.
 */

typedef struct load_plan {
	uint32_t sessions;
	uint32_t statements;  /* stop after so many have been asked */
	uint32_t duration_ms; /* or after this long; 0: no bound */
	uint32_t seed;
	uint32_t timeout_ms; /* of each statement; 0: the daemon's own */
	uint32_t pause_ms;   /* of a session between statements, at most */
	bool transactions;
	bool all_fresh; /* reads ask for what only the primary may serve */
	/* called again and again, with the number of answers */
	void (*progress)(void *context, uint32_t answered);
	void *context;
} load_plan_t;

typedef struct load_summary {
	uint32_t outcomes[4]; /* by Bp__Outcome */
	uint32_t no_answer;
	uint32_t cut; /* of these: not merely refused a connection */
	uint32_t reads;
	uint32_t replica_reads;      /* of those that may be stale */
	uint32_t stale_reads;        /* reads that may be stale, done */
	double p50_ms[3], p99_ms[3]; /* by rank, of those done */
	uint32_t done[3];
} load_summary_t;

void load_run(fleet_t *, const load_plan_t *, history_t *);
void load_collect(fleet_t *, history_t *);
void load_versions(fleet_t *, history_t *);
void load_summarize(const history_t *, load_summary_t *);
int64_t load_gap_us(const history_t *, const char *group, int64_t since_us);
void load_print(const load_summary_t *, const violations_t *);

#endif
