#ifndef QUEUESIM_H
#define QUEUESIM_H

#include "../src/decide/decide.h"

/*
 * Simulation of the queue in front of one database's slots, with random
 * arrivals from a seed and a simulated clock: the product's queue with ranks,
 * or a queue that serves requests in the order of arrival.
 */
#define SIM_ACCOUNTS 10

typedef struct sim_plan {
	uint32_t seed;
	bool ranked; /* false: order of arrival, no early refusal */
	uint32_t slots;
	int64_t service_us;
	uint32_t floors[RANKS];     /* least percent of requests served */
	double offered[RANKS];      /* load as a fraction of the capacity */
	bool one_account_floods;    /* the first, in the second rank */
	int64_t patience_us[RANKS]; /* time until the caller gives up */
	int64_t duration_us;
} sim_plan_t;

typedef struct sim_result {
	double p99_ms[RANKS]; /* of those served in time */
	double share[RANKS];  /* of the capacity, spent on those */
	double useful;        /* sum of the shares */
	double jain;          /* fairness among accounts, second rank */
	uint64_t refused;
	uint64_t late; /* served after the caller gave up */
} sim_result_t;

void sim_run(const sim_plan_t *, sim_result_t *);

#endif
