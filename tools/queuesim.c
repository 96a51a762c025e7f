#include "queuesim.h"

#include "../src/bergamotplank.h"
#include "../src/decide/rankq.h"
#include "quantile.h"

#include <math.h>
#include <string.h>

#define QUEUE_MAX 4096

/* A request, queued or in service. */
typedef struct job {
	rankq_item_t item;
	uint32_t rank;
	uint32_t account;
	int64_t arrived_us;
	int64_t done_us;
} job_t;

typedef struct sim {
	const queue_sim_plan_t *plan;
	GRand *rand;
	rankq_t *queue;
	int64_t now_us;
	int64_t next_arrival_us[RANKS];
	job_t *slots[64];            /* requests in service; NULL: free slot */
	GArray *latencies_ms[RANKS]; /* of double; requests served in time */
	/* requests of the second rank served in time, by account */
	uint64_t served[QUEUE_SIM_ACCOUNTS];
	uint64_t refused;
	uint64_t late; /* served after the caller gave up */
} sim_t;

static const char *const accounts[QUEUE_SIM_ACCOUNTS] = {
    "a0", "a1", "a2", "a3", "a4", "a5", "a6", "a7", "a8", "a9"};

/*
 * Return the number of requests that the slots can serve per second.
 */
static double
capacity_per_second(const queue_sim_plan_t *plan)
{
	return plan->slots * (double)US_PER_SECOND / (double)plan->service_us;
}

/*
 * Draw the time of the next request of a rank; arrivals are a Poisson process.
 */
static int64_t
draw_next_arrival(sim_t *sim, uint32_t rank)
{
	double rate =
	    sim->plan->offered_load[rank] * capacity_per_second(sim->plan);

	if (rate <= 0)
		return INT64_MAX;
	return sim->now_us +
	    (int64_t)(-log(1 - g_rand_double(sim->rand)) / rate *
		US_PER_SECOND);
}

/*
 * Choose the account of a new request.  In a flood, account 0 sends all load of
 * the second rank beyond the fixed load of the other accounts; without one,
 * only the others send requests, and equally many.
 */
static uint32_t
choose_account(sim_t *sim, uint32_t rank)
{
	double others_load =
	    (QUEUE_SIM_ACCOUNTS - 1) * 1.2 / QUEUE_SIM_ACCOUNTS;

	if (rank == 1 && sim->plan->account_flood &&
	    g_rand_double(sim->rand) >
		others_load / sim->plan->offered_load[rank])
		return 0;
	return (uint32_t)g_rand_int_range(sim->rand, 1, QUEUE_SIM_ACCOUNTS);
}

/*
 * Handle the arrival of a request: queue it, or refuse it if the queue has no
 * room for its account.  With ranks, also refuse it if the expected wait is
 * too long for it to be served in time.
 */
static void
handle_arrival(sim_t *sim, uint32_t rank)
{
	const queue_sim_plan_t *plan = sim->plan;
	job_t *job = g_new0(job_t, 1);
	uint32_t queue_rank = plan->ranked_queue ? rank : 0;

	job->rank = rank;
	job->account = choose_account(sim, rank);
	job->arrived_us = sim->now_us;
	job->item.rank = queue_rank;
	job->item.account =
	    plan->ranked_queue ? accounts[job->account] : accounts[0];
	job->item.deadline_us = sim->now_us + plan->caller_timeout_us[rank];
	job->item.owner = job;
	if (!rankq_admits(
		sim->queue, queue_rank, job->item.account, QUEUE_MAX) ||
	    (plan->ranked_queue &&
		rankq_expected_wait_us(sim->queue, rank, job->item.account,
		    capacity_per_second(plan)) +
			plan->service_us >=
		    plan->caller_timeout_us[rank])) {
		sim->refused++;
		g_free(job);
		return;
	}
	rankq_push(sim->queue, &job->item, false);
}

/*
 * Start the next request on a free slot.  With ranks, first refuse the queued
 * requests that can no longer be served in time.
 */
static void
start_service(sim_t *sim, uint32_t slot)
{
	rankq_item_t *item;
	job_t *job;

	while (sim->plan->ranked_queue &&
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
 * Complete the request of a slot, and count it as served or as late.
 */
static void
complete_service(sim_t *sim, uint32_t slot)
{
	job_t *job = sim->slots[slot];
	double latency_ms = (double)(sim->now_us - job->arrived_us) / US_PER_MS;

	sim->slots[slot] = NULL;
	if (sim->now_us <=
	    job->arrived_us + sim->plan->caller_timeout_us[job->rank]) {
		g_array_append_val(sim->latencies_ms[job->rank], latency_ms);
		if (job->rank == 1)
			sim->served[job->account]++;
	} else {
		sim->late++;
	}
	g_free(job);
}

/*
 * Return the time of the next arrival or completion.
 */
static int64_t
find_next_event_us(const sim_t *sim)
{
	int64_t next_event_us = INT64_MAX;
	uint32_t i;

	for (i = 0; i < RANKS; i++)
		next_event_us = MIN(next_event_us, sim->next_arrival_us[i]);
	for (i = 0; i < sim->plan->slots; i++) {
		if (sim->slots[i] != NULL)
			next_event_us =
			    MIN(next_event_us, sim->slots[i]->done_us);
	}
	return next_event_us;
}

/*
 * Process the arrivals and completions that are due, and fill free slots.
 */
static void
process_events(sim_t *sim)
{
	uint32_t i;

	for (i = 0; i < RANKS; i++) {
		if (sim->next_arrival_us[i] <= sim->now_us) {
			handle_arrival(sim, i);
			sim->next_arrival_us[i] = draw_next_arrival(sim, i);
		}
	}
	for (i = 0; i < sim->plan->slots; i++) {
		if (sim->slots[i] != NULL &&
		    sim->slots[i]->done_us <= sim->now_us)
			complete_service(sim, i);
		if (sim->slots[i] == NULL)
			start_service(sim, i);
	}
}

/*
 * Return Jain's fairness index of the requests served per account; 1 means
 * that all accounts got the same.
 */
static double
jain_index(const uint64_t *served, uint32_t count)
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
 * Compute the result of a simulation.
 */
static void
summarize(sim_t *sim, queue_sim_result_t *result)
{
	double capacity_total = capacity_per_second(sim->plan) *
	    (double)sim->plan->duration_us / US_PER_SECOND;
	uint32_t i;

	for (i = 0; i < RANKS; i++) {
		GArray *latencies_ms = sim->latencies_ms[i];

		result->rank_goodput[i] = latencies_ms->len / capacity_total;
		result->goodput += result->rank_goodput[i];
		result->p99_ms[i] = quantile(latencies_ms, 0.99);
	}
	result->fairness_index = jain_index(sim->served, QUEUE_SIM_ACCOUNTS);
	result->refused = sim->refused;
	result->served_late = sim->late;
}

/*
 * Run a simulation.
 */
void
queue_sim_run(const queue_sim_plan_t *plan, queue_sim_result_t *result)
{
	static const uint32_t no_floors[RANKS] = {0, 0, 0};
	sim_t sim = {0};
	rankq_item_t *item;
	uint32_t i;

	memset(result, 0, sizeof(*result));
	sim.plan = plan;
	sim.rand = g_rand_new_with_seed(plan->seed);
	sim.queue = rankq_new(plan->ranked_queue ? plan->floors : no_floors);
	for (i = 0; i < RANKS; i++) {
		sim.latencies_ms[i] = g_array_new(FALSE, FALSE, sizeof(double));
		sim.next_arrival_us[i] = draw_next_arrival(&sim, i);
	}
	while ((sim.now_us = find_next_event_us(&sim)) < plan->duration_us)
		process_events(&sim);
	summarize(&sim, result);
	while ((item = rankq_pop(sim.queue)) != NULL)
		g_free(item->owner);
	for (i = 0; i < plan->slots; i++)
		g_free(sim.slots[i]);
	for (i = 0; i < RANKS; i++)
		g_array_unref(sim.latencies_ms[i]);
	rankq_free(sim.queue);
	g_rand_free(sim.rand);
}
