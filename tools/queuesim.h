#ifndef QUEUESIM_H
#define QUEUESIM_H

#include "../src/decide/decide.h"

/*
 * One database's slots behind a queue, over a seeded clock: the queue of the
 * product, or first come first served.
 */
#define SIM_ACCOUNTS 10

typedef struct sim_plan {
	uint32_t seed;
	bool ranked; /* false: first come first served, no early refusal */
	uint32_t slots;
	int64_t service_us;
	uint32_t floors[RANKS];
	double offered[RANKS];   /* of the capacity */
	bool one_account_floods; /* the first, in the second rank */
	int64_t patience_us[RANKS];
	int64_t duration_us;
} sim_plan_t;

typedef struct sim_result {
	double p99_ms[RANKS]; /* of those served in time */
	double share[RANKS];  /* of the capacity, served in time */
	double useful;        /* all of it */
	double jain;          /* over the accounts of the second rank */
	uint64_t refused;
	uint64_t late; /* ran, but after the caller's patience */
} sim_result_t;

void sim_run(const sim_plan_t *, sim_result_t *);

#endif
