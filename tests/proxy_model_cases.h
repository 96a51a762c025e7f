#ifndef PROXY_MODEL_CASES_H
#define PROXY_MODEL_CASES_H

#include "../tools/proxy_model.h"
#include "cases.h"

/*
 * Runs of the proxy model, a simulation of one database group and several
 * proxies with random faults: those in which no invariant may be violated, and
 * those with an injected bug that the model must detect.
 */

#define STEPS 60000
#define SEEDS 10
#define BUG_SEEDS 40
#define FAULT_PERMILLE 12

typedef struct correct_case {
	const char *name;
	uint32_t databases;
	uint32_t daemons;
	uint32_t fault_permille;
	uint32_t sync_replicas;
	uint32_t placement_permille;
	uint32_t seeds; /* 0: SEEDS */
	uint32_t daemon_restart_permille;
	uint32_t database_restart_permille;
	uint32_t returns_permille;
	uint32_t order_held_permille;
	uint32_t order_late_permille;
	uint32_t sender_paused_permille;
	uint32_t primary_cut_permille;
	uint32_t alone_permille;
	proxy_model_troubles_t troubles;
	uint32_t first_seed; /* 0: 1 */
	uint32_t replica_reads_permille;
} correct_case_t;

typedef struct bug_case {
	const char *name;
	proxy_model_bug_t injected_bug;
	uint32_t daemons;
	uint32_t placement_permille;
	uint32_t fault_permille; /* 0: FAULT_PERMILLE */
	uint32_t databases;      /* 0: 3 */
	uint32_t first_seed;     /* 0: 1 */
	/* the check of the recorded orders would hide the bug */
	bool pauses_last;
	uint32_t daemon_restart_permille;
	uint32_t returns_permille;
	uint32_t order_held_permille;
	uint32_t order_late_permille;
	uint32_t sender_paused_permille;
	uint32_t primary_cut_permille;
	uint32_t alone_permille;
	/* the open orders would hide the bug */
	bool open_orders_unknown;
	uint32_t database_restart_permille;
	proxy_model_troubles_t troubles;
	/* asking again for the promises would hide the bug */
	bool promises_asked_once;
	/* reading the members for each term would hide the bug */
	bool members_read_once;
	/* the era of the record would hide the bug */
	bool old_record_counts;
	/* the members that the store has lost would hide the bug */
	bool lost_members_forgotten;
	uint32_t sync_replicas;
	/* a handover would hide the bug */
	bool unanswered_stay;
	/* the answers of databases that have started again would hide the bug
	 */
	bool new_starts_deny;
	/* the bug is one of samples or of reads that replicas may serve: a
	   violation that concerns them is expected */
	uint32_t replica_reads_permille;
} bug_case_t;

/*
 * Tell whether troubles are drawn.
 */
static bool
has_troubles(const proxy_model_troubles_t *troubles)
{
	uint32_t i, held = 0;

	for (i = 0; i < PROXY_PLACES; i++)
		held += troubles->order_held_permille[i];
	return held + troubles->role_late_permille +
	    troubles->record_deleted_permille +
	    troubles->record_unreadable_permille +
	    troubles->member_restart_permille + troubles->leaving_permille +
	    troubles->lapse_permille + troubles->refused_permille +
	    troubles->crash_permille + troubles->most_refused_permille +
	    troubles->peers.permille + troubles->members.permille +
	    troubles->away.permille >
	    0;
}

/*
 * Test that no invariant is violated, that writes are acknowledged and, with
 * faults, that the primary changes, and that troubles begin.
 */
static void
test_correct_rules(gconstpointer data)
{
	const correct_case_t *c = data;
	uint64_t acknowledged = 0, primary_changes = 0, troubles = 0;
	uint64_t samples = 0, bounded = 0, own = 0, by_replicas = 0;
	uint64_t unrecorded = 0, recorded_later = 0;
	uint32_t seeds = c->seeds == 0 ? SEEDS : c->seeds;
	uint32_t i, first = MAX(1, c->first_seed);

	for (i = first; i < first + seeds; i++) {
		proxy_model_plan_t plan = {.seed = i,
		    .steps = STEPS,
		    .databases = c->databases,
		    .daemons = c->daemons,
		    .fault_permille = c->fault_permille,
		    .sync_replicas = c->sync_replicas,
		    .placement_permille = c->placement_permille,
		    .daemon_restart_permille = c->daemon_restart_permille,
		    .database_restart_permille = c->database_restart_permille,
		    .returns_permille = c->returns_permille,
		    .order_held_permille = c->order_held_permille,
		    .order_late_permille = c->order_late_permille,
		    .sender_paused_permille = c->sender_paused_permille,
		    .primary_cut_permille = c->primary_cut_permille,
		    .alone_permille = c->alone_permille,
		    .replica_reads_permille = c->replica_reads_permille,
		    .troubles = c->troubles};
		proxy_model_result_t result;

		proxy_model_run(&plan, &result);
		troubles += result.troubles + result.late_promotions;
		acknowledged += result.acknowledged;
		primary_changes += result.primary_changes;
		samples += result.samples;
		bounded += result.bounded_reads;
		own += result.own_reads;
		by_replicas += result.replica_reads;
		unrecorded += result.unrecorded_orders;
		recorded_later += result.recorded_later;
		if (proxy_model_violations(&result) == 0)
			continue;
		g_test_message(
		    "seed %u: split %" G_GUINT64_FORMAT
		    ", stale %" G_GUINT64_FORMAT ", lost %" G_GUINT64_FORMAT
		    ", tokens: repeated %" G_GUINT64_FORMAT
		    ", lower %" G_GUINT64_FORMAT "; samples %" G_GUINT64_FORMAT
		    ", bounded reads %" G_GUINT64_FORMAT
		    ", own reads %" G_GUINT64_FORMAT,
		    i, result.split_brain_acks, result.stale_primary_reads,
		    result.lost_writes, result.repeated_tokens,
		    result.lower_tokens, result.broken_samples,
		    result.stale_bounded_reads, result.stale_own_reads);
		g_test_fail(); /* continue with the other seeds */
	}
	g_test_message("%" G_GUINT64_FORMAT " acknowledged, %" G_GUINT64_FORMAT
		       " primary changes, %" G_GUINT64_FORMAT " troubles",
	    acknowledged, primary_changes, troubles);
	g_test_message("%" G_GUINT64_FORMAT
		       " samples; reads that replicas may serve: "
		       "%" G_GUINT64_FORMAT " bounded, %" G_GUINT64_FORMAT
		       " own, %" G_GUINT64_FORMAT " by replicas",
	    samples, bounded, own, by_replicas);
	if (c->troubles.away.permille > 0) {
		g_test_message("%" G_GUINT64_FORMAT
			       " orders without a record, %" G_GUINT64_FORMAT
			       " recorded later",
		    unrecorded, recorded_later);
		g_assert_cmpuint(unrecorded, >, 0);
		g_assert_cmpuint(recorded_later, >, 0);
	}
	g_assert_cmpuint(acknowledged, >, 0);
	g_assert_cmpuint(samples, >, 0);
	if (c->replica_reads_permille > 0) {
		g_assert_cmpuint(bounded, >, 0);
		g_assert_cmpuint(own, >, 0);
		g_assert_cmpuint(by_replicas, >, 0);
	}
	if (c->fault_permille > 0)
		g_assert_cmpuint(primary_changes, >, 0);
	if (has_troubles(&c->troubles))
		g_assert_cmpuint(troubles, >, 0);
}

/*
 * Test that each injected bug violates an invariant of its kind, of reads that
 * replicas may serve or the others, within BUG_SEEDS seeds, and
 * that the run with that seed and without the bug violates none.
 */
static void
test_injected_bugs(gconstpointer data)
{
	const bug_case_t *c = data;
	uint64_t violations = 0, without = 0;
	uint32_t i, first = MAX(1, c->first_seed);

	for (i = first; i < first + BUG_SEEDS && violations == 0; i++) {
		proxy_model_plan_t plan = {.seed = i,
		    .steps = STEPS,
		    .databases = c->databases == 0 ? 3 : c->databases,
		    .daemons = c->daemons,
		    .fault_permille = c->fault_permille == 0
			? FAULT_PERMILLE
			: c->fault_permille,
		    .sync_replicas = c->sync_replicas,
		    .injected_bug = c->injected_bug,
		    .pauses_last = c->pauses_last,
		    .open_orders_unknown = c->open_orders_unknown,
		    .promises_asked_once = c->promises_asked_once,
		    .members_read_once = c->members_read_once,
		    .old_record_counts = c->old_record_counts,
		    .lost_members_forgotten = c->lost_members_forgotten,
		    .unanswered_stay = c->unanswered_stay,
		    .new_starts_deny = c->new_starts_deny,
		    .daemon_restart_permille = c->daemon_restart_permille,
		    .database_restart_permille = c->database_restart_permille,
		    .placement_permille = c->placement_permille,
		    .returns_permille = c->returns_permille,
		    .order_held_permille = c->order_held_permille,
		    .order_late_permille = c->order_late_permille,
		    .sender_paused_permille = c->sender_paused_permille,
		    .primary_cut_permille = c->primary_cut_permille,
		    .alone_permille = c->alone_permille,
		    .replica_reads_permille = c->replica_reads_permille,
		    .troubles = c->troubles};
		proxy_model_result_t result;

		proxy_model_run(&plan, &result);
		violations = proxy_model_read_violations(&result);
		if (c->replica_reads_permille == 0)
			violations =
			    proxy_model_violations(&result) - violations;
		if (violations == 0)
			continue;
		plan.injected_bug = PROXY_BUG_NONE;
		proxy_model_run(&plan, &result);
		without = proxy_model_violations(&result);
	}
	g_test_message("seed %u: violation found", i - 1);
	g_assert_cmpuint(violations, >, 0);
	g_assert_cmpuint(without, ==, 0);
}

#endif
