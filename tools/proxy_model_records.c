#include "proxy_model_internal.h"

/*
 * The daemons' records in the store.  A record says whether its daemon may hold
 * leases for the long duration; a failover need not wait for the others.
 */

/* Age up to which the listing of PROXY_BUG_OLD_HOLDERS is used. */
#define OLD_LISTING_US (20 * US_PER_SECOND)

/* Longest time until a record reaches the store, or its answer the daemon. */
#define STORE_DELAY_MAX_US (40 * US_PER_MS)

/* Time in which a daemon that reaches the store learns that it went back. */
#define ERA_KNOWN_MAX_US (3 * US_PER_SECOND)

/* Time for which a daemon relies on its record without an answer. */
#define RECORD_VALID_US (9 * US_PER_SECOND)

/*
 * Have the store go back to an older copy, in which the records of some daemons
 * are missing or say that they hold no leases.
 */
static void
store_goes_back(proxy_model_t *model)
{
	uint32_t i;

	model->store_era++;
	model->records_lost_us = model->now_us;
	if (proxy_model_chance(model, 500)) {
		model->orders = (recorded_orders_t){0};
		model->open.count = 0;
		model->members = (recorded_members_t){0};
		model->coordinator = model->older_coordinator;
		model->coordinator_token = model->older_token;
		model->record_revision = model->older_revision;
	}
	for (i = 0; i < model->plan->daemons; i++) {
		proxy_model_daemon_t *daemon = &model->daemons[i];

		daemon->record_leases &= proxy_model_chance(model, 500);
		if (daemon->owner && !daemon->record_leases)
			proxy_model_unlisted_cut(model, i);
		daemon->store_answers_us = model->now_us +
		    proxy_model_random_us(model, ERA_KNOWN_MAX_US);
	}
}

/*
 * Have a daemon no longer rely on its record.
 */
static void
distrust_record(proxy_model_daemon_t *daemon)
{
	daemon->lease_durations.listed_since_us = 0;
	lease_cancel(&daemon->lease);
}

/*
 * Have a daemon learn that the store has gone back: it no longer relies on its
 * record, and writes it again.  A coordinator gives up the role.
 */
void
proxy_model_era_reached(
    proxy_model_t *model, proxy_model_daemon_t *daemon, uint64_t era)
{
	if (era <= daemon->store_era)
		return;
	daemon->store_era = era;
	daemon->store_restored_us = model->now_us;
	daemon->is_coordinator = false;
	failover_superseded(
	    &daemon->failover, daemon->failover.term, model->now_us);
	daemon->record_written = !daemon->owner;
	distrust_record(daemon);
	if (model->plan->injected_bug != PROXY_BUG_OPEN_ORDERS_LOST)
		open_orders_store_restored(&daemon->open_orders);
	if (!model->plan->pauses_last && !model->plan->old_record_counts &&
	    model->plan->injected_bug != PROXY_BUG_MEMBERS_OF_OLD_ERA)
		lease_store_era(&daemon->lease, era);
}

/*
 * Let the store go back at random, and a daemon learn of it, which ceases to
 * rely on its record after RECORD_VALID_US in any case.
 */
static void
store_tick(proxy_model_t *model, uint32_t daemon_index)
{
	proxy_model_daemon_t *daemon = &model->daemons[daemon_index];

	if (model->plan->returns_permille == 0)
		return;
	if (daemon_index == 0 &&
	    proxy_model_chance(model, model->plan->returns_permille))
		store_goes_back(model);
	if (daemon->store_era == model->store_era)
		return;
	if (model->now_us >= daemon->store_answers_us &&
	    model->now_us >= daemon->object_store_cut_until_us)
		proxy_model_era_reached(model, daemon, model->store_era);
	else if (model->now_us - model->records_lost_us >= RECORD_VALID_US)
		distrust_record(daemon);
}

/*
 * Write the record of a daemon.  From here on it may not say that the daemon
 * holds leases, so the one that it has ends, and those that it gets from now on
 * are short ones.
 */
static void
write_record(proxy_model_t *model, uint32_t daemon_index)
{
	proxy_model_daemon_t *daemon = &model->daemons[daemon_index];
	event_t event = {.kind = EVENT_RECORD_STORED,
	    .daemon = daemon_index,
	    .process = daemon->process,
	    .ok = daemon->owner};

	daemon->record_pending = true;
	daemon->record_written = daemon->owner;
	if (!daemon->owner &&
	    model->plan->injected_bug != PROXY_BUG_LEASE_UNTIL_ACK)
		distrust_record(daemon);
	proxy_model_schedule(
	    model, proxy_model_random_us(model, STORE_DELAY_MAX_US), &event);
}

/*
 * Make a daemon an owner of the group at random, or end that, and bring its
 * record in line.  The coordinator stays as it is.
 */
void
proxy_model_place(proxy_model_t *model, uint32_t daemon_index)
{
	proxy_model_daemon_t *daemon = &model->daemons[daemon_index];

	store_tick(model, daemon_index);
	if (model->plan->placement_permille > 0 && !daemon->is_coordinator &&
	    proxy_model_chance(model, model->plan->placement_permille)) {
		daemon->owner = !daemon->owner;
		if (!daemon->owner)
			daemon->lease.expires_us = 0;
		else if (model->plan->injected_bug ==
		    PROXY_BUG_LEASE_BEFORE_RECORD)
			daemon->lease_durations.listed_since_us = model->now_us;
		if (daemon->owner && !daemon->record_leases)
			proxy_model_unlisted_cut(model, daemon_index);
	}
	if (daemon->record_written != daemon->owner && !daemon->record_pending)
		write_record(model, daemon_index);
}

/*
 * Handle a record that reaches the store, unless the daemon is cut off from it.
 * The answer may be late.
 */
void
proxy_model_record_stored(proxy_model_t *model, const event_t *event)
{
	proxy_model_daemon_t *daemon = &model->daemons[event->daemon];
	event_t answer = *event;

	if (model->now_us < daemon->object_store_cut_until_us) {
		proxy_model_schedule(model, STORE_DELAY_MAX_US, event);
		return;
	}
	daemon->record_leases = event->ok;
	answer.kind = EVENT_RECORD_ACKED;
	answer.store_era = model->store_era;
	proxy_model_schedule(
	    model, proxy_model_random_us(model, STORE_DELAY_MAX_US), &answer);
}

/*
 * Handle the store's answer to a record: leases from now on may be long ones if
 * the record says so.  An answer from before the store went back does not
 * count, and one to a former process does not reach the present one.
 */
void
proxy_model_record_acked(proxy_model_t *model, const event_t *event)
{
	proxy_model_daemon_t *daemon = &model->daemons[event->daemon];

	if (event->process != daemon->process)
		return;
	daemon->record_pending = false;
	if (event->store_era < daemon->store_era) {
		daemon->record_written = !daemon->owner;
		return;
	}
	if (event->store_era > daemon->store_era) {
		proxy_model_era_reached(model, daemon, event->store_era);
		daemon->record_written = event->ok;
	}
	daemon->lease_durations.listed_since_us = event->ok ? model->now_us : 0;
}

/*
 * Return the daemons, as a bit set, whose records say that they may hold
 * leases: all if the coordinator does not reach the store, or if that has gone
 * back lately.
 */
uint32_t
proxy_model_holders(proxy_model_t *model, uint32_t coordinator)
{
	bool incomplete = model->records_lost_us != 0 &&
	    model->now_us - model->records_lost_us < RECORD_VALID_US &&
	    model->plan->injected_bug != PROXY_BUG_RESTORED_RECORDS;
	uint32_t i, holders = 0;

	if (incomplete ||
	    model->now_us <
		model->daemons[coordinator].object_store_cut_until_us)
		return UINT32_MAX >> (32 - model->plan->daemons);
	for (i = 0; i < model->plan->daemons; i++)
		holders |= (uint32_t)model->daemons[i].record_leases << i;
	if (model->plan->injected_bug != PROXY_BUG_OLD_HOLDERS)
		return holders;
	if (model->now_us - model->old_holders_us >= OLD_LISTING_US) {
		model->old_holders = holders;
		model->old_holders_us = model->now_us;
	}
	return model->old_holders;
}
