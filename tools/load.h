#ifndef LOAD_H
#define LOAD_H

#include "fleet.h"
#include "history.h"

/*
 * Load generator: sessions that send the requests of the teams' callers to a
 * fleet, each request to a random daemon, and record every operation.
 */

typedef struct load_plan {
	uint32_t sessions;
	uint32_t max_requests; /* requests to send */
	uint32_t duration_ms;  /* no new requests after that; 0: no limit */
	uint32_t seed;
	uint32_t timeout_ms; /* timeout of a statement; 0: daemon's default */
	uint32_t think_time_max_ms; /* longest pause of a session */
	bool transactions;
	bool primary_reads_only; /* unknown session token: the primary serves */
	/* called between polls, with the number of requests ended so far */
	void (*progress)(void *context, uint32_t answered);
	void *context;
} load_plan_t;

typedef struct load_summary {
	uint32_t outcomes[4]; /* number of statements by Bp__Outcome */
	uint32_t no_answer;
	uint32_t broken_connections; /* connections failed once established */
	uint32_t reads;
	uint32_t replica_reads; /* reads with a maximum age, by replicas */
	uint32_t bounded_staleness_reads; /* all reads with a maximum age */
	double p50_ms[3], p99_ms[3]; /* latency of the statements in done */
	uint32_t done[3]; /* statements done by rank, without transactions */
} load_summary_t;

void load_run(fleet_t *, const load_plan_t *, history_t *);
void load_collect_logs(fleet_t *, history_t *);
void load_collect_versions(fleet_t *, history_t *);
void load_summarize(const history_t *, load_summary_t *);
int64_t load_write_outage_us(
    const history_t *, const char *group, int64_t since_us);
void load_print_summary(const load_summary_t *, const violations_t *);

#endif
