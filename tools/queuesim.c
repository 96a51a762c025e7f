#include "queuesim.h"

#include "../src/bergamotplank.h"
#include "../src/decide/rankq.h"
#include "figures.h"

#include <math.h>
#include <string.h>

#define QUEUE_MAX 4096

typedef struct job {
	rankq_item_t item;
	uint32_t rank;
	uint32_t account;
	int64_t asked_us;
	int64_t done_us;
} job_t;

typedef struct sim {
	const sim_plan_t *plan;
	GRand *rand;
	rankq_t *queue;
	int64_t now_us;
	int64_t next_us[RANKS]; /* arrivals */
	job_t *slots[64];
	GArray *times[RANKS];
	uint64_t served[SIM_ACCOUNTS];
	uint64_t refused;
	uint64_t late;
} sim_t;

static const char *const accounts[SIM_ACCOUNTS] = {
    "a0", "a1", "a2", "a3", "a4", "a5", "a6", "a7", "a8", "a9"};

/*
 * Statements that the slots serve in a second.
 */
static double
capacity(const sim_plan_t *plan)
{
	return plan->slots * (double)US_PER_SECOND / (double)plan->service_us;
}

/*
 * When the next request of a rank comes.
 */
static int64_t
next_arrival(sim_t *sim, uint32_t rank)
{
	double rate = sim->plan->offered[rank] * capacity(sim->plan);

	if (rate <= 0)
		return INT64_MAX;
	return sim->now_us +
	    (int64_t)(-log(1 - g_rand_double(sim->rand)) / rate *
		US_PER_SECOND);
}

/*
 * The account of a new request: one floods, or all are alike.
 */
static uint32_t
choose_account(sim_t *sim, uint32_t rank)
{
	double others = (SIM_ACCOUNTS - 1) * 1.2 / SIM_ACCOUNTS;

	if (rank == 1 && sim->plan->one_account_floods &&
	    g_rand_double(sim->rand) > others / sim->plan->offered[rank])
		return 0;
	return (uint32_t)g_rand_int_range(sim->rand, 1, SIM_ACCOUNTS);
}

/*
 * A request comes: refuse it early, or queue it.
 */
static void
arrive(sim_t *sim, uint32_t rank)
{
	const sim_plan_t *plan = sim->plan;
	job_t *job = g_new0(job_t, 1);
	uint32_t lane = plan->ranked ? rank : 0;

	job->rank = rank;
	job->account = choose_account(sim, rank);
	job->asked_us = sim->now_us;
	job->item.rank = lane;
	job->item.account = plan->ranked ? accounts[job->account] : accounts[0];
	job->item.deadline_us = sim->now_us + plan->patience_us[rank];
	job->item.owner = job;
	if (!rankq_admits(sim->queue, lane, job->item.account, QUEUE_MAX) ||
	    (plan->ranked &&
		rankq_wait_us(
		    sim->queue, rank, job->item.account, capacity(plan)) +
			plan->service_us >=
		    plan->patience_us[rank])) {
		sim->refused++;
		g_free(job);
		return;
	}
	rankq_push(sim->queue, &job->item, false);
}

/*
 * A slot is free: give it the next request.
 */
static void
serve(sim_t *sim, uint32_t slot)
{
	rankq_item_t *item;
	job_t *job;

	while (sim->plan->ranked &&
	    (item = rankq_expired(
		 sim->queue, sim->now_us + sim->plan->service_us)) != NULL) {
		sim->refused++;
		g_free(item->owner);
	}
	item = rankq_pop(sim->queue);
	if (item == NULL)
		return;
	job = item->owner;
	job->done_us = sim->now_us + sim->plan->service_us / 2 +
	    g_rand_int_range(sim->rand, 0, (gint32)sim->plan->service_us);
	sim->slots[slot] = job;
}

/*
 * A request is served.
 */
static void
finish(sim_t *sim, uint32_t slot)
{
	job_t *job = sim->slots[slot];
	double spent_ms = (double)(sim->now_us - job->asked_us) / US_PER_MS;

	sim->slots[slot] = NULL;
	if (sim->now_us <= job->asked_us + sim->plan->patience_us[job->rank]) {
		g_array_append_val(sim->times[job->rank], spent_ms);
		if (job->rank == 1)
			sim->served[job->account]++;
	} else {
		sim->late++;
	}
	g_free(job);
}

/*
 * The time of the next event.
 */
static int64_t
next_event(const sim_t *sim)
{
	int64_t next_us = INT64_MAX;
	uint32_t i;

	for (i = 0; i < RANKS; i++)
		next_us = MIN(next_us, sim->next_us[i]);
	for (i = 0; i < sim->plan->slots; i++) {
		if (sim->slots[i] != NULL)
			next_us = MIN(next_us, sim->slots[i]->done_us);
	}
	return next_us;
}

/*
 * Everything that happens now.
 */
static void
advance(sim_t *sim)
{
	uint32_t i;

	for (i = 0; i < RANKS; i++) {
		if (sim->next_us[i] <= sim->now_us) {
			arrive(sim, i);
			sim->next_us[i] = next_arrival(sim, i);
		}
	}
	for (i = 0; i < sim->plan->slots; i++) {
		if (sim->slots[i] != NULL &&
		    sim->slots[i]->done_us <= sim->now_us)
			finish(sim, i);
		if (sim->slots[i] == NULL)
			serve(sim, i);
	}
}

/*
 * Jain's index of the work that each account got; 1 is fair.
 */
static double
jain(const uint64_t *served, uint32_t count)
{
	double sum = 0, squares = 0;
	uint32_t i;

	for (i = 0; i < count; i++) {
		sum += (double)served[i];
		squares += (double)served[i] * (double)served[i];
	}
	return squares == 0 ? 0 : sum * sum / (count * squares);
}

/*
 * Sum up.
 */
static void
sum_up(sim_t *sim, sim_result_t *result)
{
	double total = capacity(sim->plan) * (double)sim->plan->duration_us /
	    US_PER_SECOND;
	uint32_t i;

	for (i = 0; i < RANKS; i++) {
		GArray *times = sim->times[i];

		result->share[i] = times->len / total;
		result->useful += result->share[i];
		result->p99_ms[i] = quantile(times, 0.99);
	}
	result->jain = jain(sim->served, SIM_ACCOUNTS);
	result->refused = sim->refused;
	result->late = sim->late;
}

/*
 * Run one simulation.
 */
void
sim_run(const sim_plan_t *plan, sim_result_t *result)
{
	static const uint32_t none[RANKS] = {0, 0, 0};
	sim_t sim = {0};
	rankq_item_t *item;
	uint32_t i;

	memset(result, 0, sizeof(*result));
	sim.plan = plan;
	sim.rand = g_rand_new_with_seed(plan->seed);
	sim.queue = rankq_new(plan->ranked ? plan->floors : none);
	for (i = 0; i < RANKS; i++) {
		sim.times[i] = g_array_new(FALSE, FALSE, sizeof(double));
		sim.next_us[i] = next_arrival(&sim, i);
	}
	while ((sim.now_us = next_event(&sim)) < plan->duration_us)
		advance(&sim);
	sum_up(&sim, result);
	while ((item = rankq_pop(sim.queue)) != NULL)
		g_free(item->owner);
	for (i = 0; i < plan->slots; i++)
		g_free(sim.slots[i]);
	for (i = 0; i < RANKS; i++)
		g_array_unref(sim.times[i]);
	rankq_free(sim.queue);
	g_rand_free(sim.rand);
}
