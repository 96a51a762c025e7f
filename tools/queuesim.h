#ifndef QUEUESIM_H
#define QUEUESIM_H

#include "../src/decide/decide.h"

/*
 * Simulation of the queue in front of one database's slots, with random
 * arrivals from a seed and a simulated clock: the product's queue with ranks,
 * or a queue that serves requests in the order of arrival.
 */
#define QUEUE_SIM_ACCOUNTS 10

typedef struct queue_sim_plan {
	uint32_t seed;
	bool ranked_queue; /* false: order of arrival, no early refusal */
	uint32_t slots;
	int64_t service_us;
	uint32_t floors[RANKS];     /* least percent served, by rank */
	double offered_load[RANKS]; /* load as a fraction of the capacity */
	bool account_flood;         /* account 0 floods the second rank */
	int64_t caller_timeout_us[RANKS]; /* time until the caller gives up */
	int64_t duration_us;
} queue_sim_plan_t;

typedef struct queue_sim_result {
	double p99_ms[RANKS];       /* latency of requests served in time */
	double rank_goodput[RANKS]; /* capacity share of those requests */
	double goodput;             /* sum of rank_goodput */
	double fairness_index; /* Jain's index of the second rank's accounts */
	uint64_t refused;
	uint64_t served_late; /* served after the caller gave up */
} queue_sim_result_t;

void queue_sim_run(const queue_sim_plan_t *, queue_sim_result_t *);

#endif
