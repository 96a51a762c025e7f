#include "proxy_model_internal.h"

#include "../src/proxy/proxy.h"

/* The proxy model: orders to promote a database, from decision to effect. */

#define PROMOTION_SPREAD_US (200 * US_PER_MS)
#define LATE_PROMOTION_MAX_US (3 * US_PER_SECOND)
#define ORDER_HELD_MAX_US (8 * US_PER_SECOND)

/*
 * Record an order in the store, before it is sent.
 */
static void
record_order(proxy_model_t *model, proxy_model_daemon_t *daemon, uint32_t db)
{
	failover_t *failover = &daemon->failover;

	if (model->plan->pauses_last ||
	    model->plan->injected_bug == PROXY_BUG_ORDER_UNRECORDED)
		return;
	if (model->orders.attempt_term != failover->term) {
		daemon->orders_before = model->orders;
		daemon->members_before = model->members;
	}
	proxy_model_members_record(model, daemon);
	model->orders.attempt_term = failover->term;
	model->orders.era = model->store_era;
	recorded_orders_add(&model->orders,
	    MAX(failover_term_to_replace(failover),
		lease_newest_term(&daemon->lease)),
	    failover_base(failover));
	proxy_model_open_note(model, daemon, db);
	failover_orders_recorded(failover, &model->orders, model->now_us);
}

/*
 * Have the lease of a daemon know the order that the daemon has recorded.
 */
static void
own_order_read(proxy_model_t *model, proxy_model_daemon_t *daemon)
{
	recorded_orders_t orders = model->orders;

	if (model->plan->pauses_last ||
	    model->plan->injected_bug == PROXY_BUG_ORDER_UNRECORDED ||
	    model->plan->injected_bug == PROXY_BUG_UNVERIFIED_LEASE)
		return;
	orders.read_us = model->now_us;
	orders.read_era = daemon->store_era;
	proxy_model_members_read(model, daemon, &model->members, model->now_us);
	if (model->plan->injected_bug != PROXY_BUG_RESTORED_ORDERS)
		orders.lost_us = daemon->store_restored_us;
	lease_orders_read(&daemon->lease, &orders);
}

/*
 * Withdraw the record of an order that was refused.
 */
static void
withdraw_order(proxy_model_t *model, proxy_model_daemon_t *daemon, uint32_t db)
{
	failover_t *failover = &daemon->failover;

	if (model->orders.attempt_term != failover->term)
		return;
	model->orders = daemon->orders_before;
	model->members = daemon->members_before;
	proxy_model_open_withdraw(model, daemon, db);
	failover_orders_recorded(failover, &model->orders, model->now_us);
}

/*
 * Write an order to the coordinator record, which shows whether the daemon is
 * still the coordinator.
 */
void
proxy_model_write_order(
    proxy_model_t *model, uint32_t daemon_index, uint32_t db, uint64_t term)
{
	proxy_model_daemon_t *daemon = &model->daemons[daemon_index];
	event_t event = {.kind = EVENT_COORDINATOR_WRITTEN,
	    .daemon = daemon_index,
	    .db = db,
	    .term = term,
	    .sent_us = model->now_us};

	event.ok = model->now_us >= daemon->object_store_cut_until_us &&
	    model->coordinator == daemon_index &&
	    model->coordinator_token == daemon->fencing_token &&
	    model->store_era == daemon->store_era;
	if (event.ok) {
		record_order(model, daemon, db);
		proxy_model_sender_paused(model, daemon_index, db);
	}
	proxy_model_schedule(
	    model, proxy_model_random_us(model, NETWORK_DELAY_MAX_US), &event);
}

/*
 * Tell whether a promotion that the failover has chosen may still be ordered.
 */
static bool
order_stands(const proxy_model_t *model, const proxy_model_daemon_t *daemon,
    uint64_t term)
{
	proxy_model_bug_t bug = model->plan->injected_bug;

	if (bug == PROXY_BUG_STALE_COORDINATOR_CHECK)
		return true; /* the rules on orders would hide this bug */
	return failover_order_stands(&daemon->failover, term) &&
	    model->now_us - daemon->failover.state_entered_us <=
	    ORDER_MAX_AGE_US;
}

/*
 * Send an order that may be held up.  Then it gets no answer; otherwise the
 * platform accepts it.
 */
static void
send_open_order(proxy_model_t *model, proxy_model_daemon_t *daemon,
    const event_t *promotion, int64_t after_us)
{
	if (proxy_model_chance(model, model->plan->order_held_permille)) {
		after_us += proxy_model_random_us(model, ORDER_HELD_MAX_US);
		model->result->late_promotions++;
	} else {
		proxy_model_open_accepted(daemon, promotion->db, model->now_us);
	}
	proxy_model_schedule(model, after_us, promotion);
}

/*
 * Handle the coordinator record that was read: order the promotion if it still
 * names this daemon and the database is up.  A record that was read too long
 * ago is read again.  One order in 20 takes effect up to LATE_PROMOTION_MAX_US
 * late, unless owners change.
 */
void
proxy_model_order_written(proxy_model_t *model, const event_t *event)
{
	proxy_model_daemon_t *daemon = &model->daemons[event->daemon];
	failover_t *failover = &daemon->failover;
	event_t promotion = {.kind = EVENT_PROMOTED, .db = event->db};
	int64_t after_us = PROMOTION_MIN_US +
	    proxy_model_random_us(model, PROMOTION_SPREAD_US);
	int64_t late_us;

	if (failover->state != FAILOVER_PROMOTING ||
	    failover->term != event->term)
		return;
	if (!order_stands(model, daemon, event->term)) {
		failover_promotion_answered(failover, event->db, event->term,
		    false, &failover->views[event->db], model->now_us);
		return;
	}
	if (!daemon->order_sent &&
	    model->now_us - failover->revoked_by_most_us <
		FIRST_ORDER_DELAY_US) {
		event_t again = *event;

		again.sent_us = 0;
		proxy_model_schedule(model,
		    FIRST_ORDER_DELAY_US -
			(model->now_us - failover->revoked_by_most_us),
		    &again);
		return;
	}
	if (event->ok &&
	    model->plan->injected_bug != PROXY_BUG_STALE_COORDINATOR_CHECK &&
	    model->now_us - event->sent_us > COORDINATOR_CHECK_MAX_AGE_US) {
		proxy_model_write_order(
		    model, event->daemon, event->db, event->term);
		return;
	}
	if (!event->ok || model->now_us < model->dbs[event->db].down_until_us) {
		daemon->is_coordinator &= event->ok;
		if (event->ok)
			withdraw_order(model, daemon, event->db);
		failover_promotion_answered(failover, event->db, event->term,
		    false, &failover->views[event->db], model->now_us);
		return;
	}
	own_order_read(model, daemon);
	daemon->order_sent = true;
	model->result->promotions_requested++;
	proxy_model_order_followed(model, event->daemon);
	late_us = proxy_model_order_late(model, event->daemon, event->db);
	if (late_us > 0) {
		promotion.ok = true;
		model->result->late_promotions++;
		proxy_model_schedule(model, after_us + late_us, &promotion);
		return;
	}
	if (model->plan->order_held_permille > 0) {
		send_open_order(model, daemon, &promotion, after_us);
		return;
	}
	if (model->plan->placement_permille == 0 &&
	    proxy_model_chance(model, 50)) {
		after_us += proxy_model_random_us(model, LATE_PROMOTION_MAX_US);
		model->result->late_promotions++;
	}
	proxy_model_open_accepted(daemon, promotion.db, model->now_us);
	proxy_model_schedule(model, after_us, &promotion);
}
