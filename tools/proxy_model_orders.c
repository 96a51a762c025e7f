#include "proxy_model_internal.h"

#include "../src/proxy/proxy.h"

/* The proxy model: orders to promote a database, from decision to effect. */

#define PROMOTION_SPREAD_US (200 * US_PER_MS)
#define LATE_PROMOTION_MAX_US (3 * US_PER_SECOND)
#define ORDER_HELD_MAX_US (8 * US_PER_SECOND)

/* Time after which the sender of an order gives it up, which resets its
   connection. */
#define ORDER_TIMEOUT_US (600 * US_PER_MS)

/* Time in which an order is written after its check, or not at all. */
#define ORDER_WRITTEN_US (ORDER_DELIVERY_MS * US_PER_MS)

/* Longest wait of an order in its sender, unless the process pauses. */
#define ORDER_WAIT_MAX_US (1200 * US_PER_MS)

/* Time within which two daemons must not send orders in turn. */
#define IN_TURN_US (3 * US_PER_SECOND)

/* What happens to the sender of an order that is held up. */
typedef enum sender_fate {
	SENDER_RUNS,
	SENDER_PAUSES,
	SENDER_CUT_OFF,
	SENDER_ENDS,
	SENDER_FATES,
} sender_fate_t;

/*
 * Record an order in the store, before it is sent.
 */
void
proxy_model_record_order(
    proxy_model_t *model, proxy_model_daemon_t *daemon, uint32_t db)
{
	failover_t *failover = &daemon->failover;
	uint64_t replaced_term;

	if (model->plan->pauses_last ||
	    model->plan->injected_bug == PROXY_BUG_ORDER_UNRECORDED)
		return;
	if (model->orders.attempt_term != failover->term) {
		daemon->orders_before = model->orders;
		daemon->open_before = model->open;
		daemon->members_before = model->members.now;
	}
	replaced_term = MAX(failover_term_to_replace(failover),
	    lease_newest_term(&daemon->lease));
	proxy_model_members_record(model, daemon, replaced_term);
	model->orders.attempt_term = failover->term;
	if (proxy_model_sends_unrecorded(model->plan))
		model->orders.named = db + 1;
	model->orders.era = model->store_era;
	recorded_orders_add(
	    &model->orders, replaced_term, failover_base(failover));
	proxy_model_open_note(model, daemon, db);
	proxy_model_record_changed(model, daemon);
	proxy_model_failover_orders(model, daemon);
}

/*
 * Have the lease of a daemon know the order that the daemon has recorded.
 */
void
proxy_model_own_order_read(proxy_model_t *model, proxy_model_daemon_t *daemon)
{
	recorded_orders_t orders = model->orders;

	if (model->plan->pauses_last ||
	    model->plan->injected_bug == PROXY_BUG_ORDER_UNRECORDED ||
	    model->plan->injected_bug == PROXY_BUG_UNVERIFIED_LEASE)
		return;
	orders.read_us = model->now_us;
	orders.read_era = daemon->store_era;
	proxy_model_members_read(model, daemon, &model->members,
	    model->open.record_begun, orders.replaced_term, model->now_us);
	if (model->plan->injected_bug != PROXY_BUG_RESTORED_ORDERS)
		orders.lost_us = daemon->store_restored_us;
	proxy_model_orders_known(model, daemon, &orders);
}

/*
 * Withdraw the record of an order that was refused.  Others may have read the
 * members that were recorded with it, so that these are former ones.
 */
void
proxy_model_withdraw_order(
    proxy_model_t *model, proxy_model_daemon_t *daemon, uint32_t db)
{
	failover_t *failover = &daemon->failover;

	if (model->orders.attempt_term != failover->term)
		return;
	proxy_model_members_replace(model, daemon, &daemon->members_before,
	    model->orders.replaced_term);
	model->orders = daemon->orders_before;
	proxy_model_open_withdraw(model, daemon, db);
	proxy_model_record_changed(model, daemon);
	proxy_model_failover_orders(model, daemon);
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

	if (proxy_model_store_failed(model, daemon)) {
		proxy_model_order_ask(model, &event);
		return;
	}
	event.ok = model->now_us >= daemon->object_store_cut_until_us &&
	    proxy_model_holds_role(model, daemon, daemon_index) &&
	    model->store_era == daemon->store_era;
	event.ok |= daemon->role_asked_us != 0 &&
	    model->plan->injected_bug == PROXY_BUG_ROLE_UNCONFIRMED;
	if (event.ok) {
		proxy_model_record_order(model, daemon, db);
		proxy_model_sender_paused(model, daemon_index, db);
	}
	proxy_model_schedule(
	    model, proxy_model_random_us(model, NETWORK_DELAY_MAX_US), &event);
}

/*
 * Tell whether a promotion that the failover has chosen may still be ordered.
 */
bool
proxy_model_order_stands(const proxy_model_t *model,
    const proxy_model_daemon_t *daemon, uint64_t term)
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
 * Tell whether an order may take effect after the next one, later than leases
 * on the primary that it replaces last.
 */
bool
proxy_model_orders_overtake(const proxy_model_plan_t *plan)
{
	const uint32_t *held = plan->troubles.order_held_permille;

	return plan->order_held_permille > 0 || held[PROXY_PLACE_SENDER] > 0 ||
	    held[PROXY_PLACE_SOCKET] > 0 || held[PROXY_PLACE_PLATFORM] > 0;
}

/*
 * Count an order if two daemons send orders in turn, with different tokens: the
 * last one was of another daemon, and came after one of the same daemon.
 */
static void
check_turns(proxy_model_t *model, const event_t *order)
{
	int64_t *sent_us = &model->order_sent_us[order->daemon];

	if (model->last_sender != order->daemon &&
	    model->last_token_sent != order->token && *sent_us != 0 &&
	    model->now_us - *sent_us <= IN_TURN_US)
		model->result->holders_in_turn++;
	*sent_us = model->now_us;
	model->last_sender = order->daemon;
	model->last_token_sent = order->token;
}

/*
 * Check the fencing token of an order that is written to its socket: no other
 * daemon has used it, none has sent a higher one, and no two daemons send
 * orders in turn.
 */
static void
check_token(proxy_model_t *model, const event_t *order)
{
	gpointer user = GUINT_TO_POINTER(order->daemon + 1);
	gpointer other = g_hash_table_lookup(model->token_users, &order->token);
	uint64_t *token;

	check_turns(model, order);
	proxy_model_away_ordered(model, order->daemon);
	model->result->lower_tokens += order->token < model->highest_token_sent;
	model->highest_token_sent =
	    MAX(model->highest_token_sent, order->token);
	if (other != NULL) {
		model->result->repeated_tokens += other != user;
		return;
	}
	token = arena_zalloc(model->arena, sizeof(*token));
	*token = order->token;
	g_hash_table_insert(model->token_users, token, user);
}

/*
 * Return the place in which an order is held up, at random; PROXY_PLACES if in
 * none.
 */
static proxy_model_place_t
draw_place(proxy_model_t *model)
{
	const uint32_t *permille = model->plan->troubles.order_held_permille;
	uint32_t place;

	for (place = 0; place < PROXY_PLACES; place++) {
		if (permille[place] > 0 &&
		    proxy_model_chance(model, permille[place]))
			break;
	}
	return (proxy_model_place_t)place;
}

/*
 * Draw what happens to the sender of an order while that is held up.
 */
static sender_fate_t
draw_fate(proxy_model_t *model, uint32_t daemon_index, int64_t held_us)
{
	proxy_model_daemon_t *daemon = &model->daemons[daemon_index];
	sender_fate_t fate = (sender_fate_t)g_rand_int_range(
	    model->rand, SENDER_RUNS, SENDER_FATES);

	held_us = proxy_model_random_us(model, held_us);
	switch (fate) {
	case SENDER_PAUSES:
		daemon->paused_until_us = model->now_us + held_us;
		daemon->pause_began_us = model->now_us;
		break;
	case SENDER_CUT_OFF:
		daemon->object_store_cut_until_us = model->now_us + held_us;
		break;
	case SENDER_ENDS:
		proxy_model_daemon_restart(model, daemon_index);
		break;
	default:
		break;
	}
	return fate;
}

/*
 * Have a daemon count an order as void that it has given up, where that is the
 * injected bug.
 */
static void
count_as_void(proxy_model_t *model, const event_t *order, proxy_model_bug_t bug)
{
	proxy_model_daemon_t *daemon = &model->daemons[order->daemon];

	if (model->plan->injected_bug != bug)
		return;
	open_orders_remove(
	    &daemon->open_orders, proxy_model_db_name(order->db), order->term);
	if (proxy_model_holds_role(model, daemon, order->daemon))
		proxy_model_open_list(model, daemon, &model->open);
}

/*
 * Hold an order up in its sender, which may pause meanwhile.
 */
static void
hold_in_sender(proxy_model_t *model, const event_t *order)
{
	event_t sent = *order;

	sent.kind = EVENT_ORDER_SENT;
	if (proxy_model_chance(model, 500)) {
		proxy_model_daemon_t *daemon = &model->daemons[order->daemon];

		daemon->paused_until_us = model->now_us +
		    proxy_model_random_us(model, ORDER_HELD_MAX_US);
		daemon->pause_began_us = model->now_us;
	}
	proxy_model_schedule(
	    model, proxy_model_random_us(model, ORDER_WAIT_MAX_US), &sent);
}

/*
 * Hold an order up on its way.  When a sender that runs and is connected gives
 * it up, it is dropped, unless the reset of the connection is held up as well.
 */
static void
hold_in_socket(proxy_model_t *model, const event_t *order, int64_t after_us)
{
	int64_t held_us = proxy_model_random_us(model, ORDER_HELD_MAX_US);
	event_t given_up = *order;

	check_token(model, order);
	proxy_model_schedule(model, after_us + held_us, order);
	given_up.kind = EVENT_ORDER_GIVEN_UP;
	given_up.ok = draw_fate(model, order->daemon, held_us) == SENDER_RUNS &&
	    proxy_model_chance(model, 500);
	proxy_model_schedule(model, ORDER_TIMEOUT_US, &given_up);
}

/*
 * Hold an order up at the platform, before its answer or after it.
 */
static void
hold_at_platform(proxy_model_t *model, const event_t *order, int64_t after_us)
{
	bool accepted = proxy_model_chance(model, 500);

	check_token(model, order);
	if (accepted) {
		proxy_model_open_accepted(
		    &model->daemons[order->daemon], order->db, model->now_us);
		count_as_void(model, order, PROXY_BUG_ACCEPTED_IS_DONE);
	}
	after_us += proxy_model_random_us(
	    model, accepted ? LATE_PROMOTION_MAX_US : ORDER_HELD_MAX_US);
	proxy_model_schedule(model, after_us, order);
}

/*
 * Hold an order up in a place.
 */
static void
hold_order(proxy_model_t *model, proxy_model_place_t place,
    const event_t *order, int64_t after_us)
{
	model->result->late_promotions++;
	switch (place) {
	case PROXY_PLACE_SENDER:
		hold_in_sender(model, order);
		break;
	case PROXY_PLACE_SOCKET:
		hold_in_socket(model, order, after_us);
		break;
	default:
		hold_at_platform(model, order, after_us);
		break;
	}
}

/*
 * Handle that an order that has waited in its sender can be written to the
 * socket, unless the time for that is over or its process has ended.
 */
void
proxy_model_order_sent(proxy_model_t *model, const event_t *event)
{
	event_t order = *event;

	/* the process has ended, and the new one has no token yet */
	if (model->daemons[event->daemon].fencing_token == 0)
		return;
	if (model->now_us - event->sent_us > ORDER_WRITTEN_US &&
	    model->plan->injected_bug != PROXY_BUG_SENT_AFTER_TIMEOUT)
		return;
	check_token(model, &order);
	order.kind = EVENT_PROMOTED;
	proxy_model_schedule(model,
	    PROMOTION_MIN_US +
		proxy_model_random_us(model, PROMOTION_SPREAD_US),
	    &order);
}

/*
 * Handle that the sender of an order gives it up.  ok: it resets the connection
 * to the platform, which drops the order if it is still on its way.
 */
void
proxy_model_order_given_up(proxy_model_t *model, const event_t *event)
{
	uint64_t *order;

	count_as_void(model, event, PROXY_BUG_GIVEN_UP_IS_VOID);
	if (!event->ok)
		return;
	order = arena_zalloc(model->arena, sizeof(*order));
	*order = event->order;
	g_hash_table_add(model->dropped_orders, order);
}

/*
 * Tell whether an order was dropped on its way.
 */
bool
proxy_model_order_dropped(proxy_model_t *model, const event_t *promotion)
{
	return promotion->order != 0 &&
	    g_hash_table_contains(model->dropped_orders, &promotion->order);
}

/*
 * End the attempt of an order that was refused or not sent.
 */
void
proxy_model_order_failed(proxy_model_t *model, const event_t *event)
{
	failover_t *failover = &model->daemons[event->daemon].failover;

	failover_promotion_answered(failover, failover->chosen, event->term,
	    false, &failover->views[failover->chosen], model->now_us);
}

/*
 * Tell whether the promises for an order that was recorded are held still.
 * Until enough databases have answered, the order waits; when they cannot, it
 * is withdrawn.
 */
static bool
promises_held(proxy_model_t *model, const event_t *event)
{
	proxy_model_daemon_t *daemon = &model->daemons[event->daemon];
	failover_t *failover = &daemon->failover;
	bool first = failover->promises_asked_us == 0;
	uint32_t i;

	/* nothing is recorded if the pauses last */
	if (model->plan->pauses_last || model->plan->promises_asked_once ||
	    model->plan->injected_bug == PROXY_BUG_PROMISES_NOT_ASKED)
		return true;
	failover_ask_promises(failover, event->term, model->now_us);
	for (i = 0; first && i < failover->count; i++) {
		if (failover_promise_asked(failover, i))
			proxy_model_send_call(model, event->daemon,
			    daemon->servers[i], CALL_STATUS, 0, NULL);
	}
	switch (failover_promises(failover)) {
	case FAILOVER_PROMISES_HELD:
		return true;
	case FAILOVER_PROMISES_LOST:
		proxy_model_withdraw_order(model, daemon, event->db);
		proxy_model_order_failed(model, event);
		return false;
	default:
		daemon->waiting_order =
		    (waiting_order_t){event->term, event->db, event->sent_us};
		return false;
	}
}

/*
 * Send an order that waits until the promises for it are shown to be held, if
 * they are now.
 */
void
proxy_model_order_waits(proxy_model_t *model, uint32_t daemon_index)
{
	proxy_model_daemon_t *daemon = &model->daemons[daemon_index];
	event_t event = {.kind = EVENT_COORDINATOR_WRITTEN,
	    .daemon = daemon_index,
	    .db = daemon->waiting_order.db,
	    .term = daemon->waiting_order.term,
	    .sent_us = daemon->waiting_order.put_us,
	    .ok = true};

	if (event.term == 0)
		return;
	daemon->waiting_order.term = 0;
	proxy_model_order_written(model, &event);
}

/*
 * Return the time until an order takes effect, unless it is held up.
 */
static int64_t
draw_effect(proxy_model_t *model)
{
	return PROMOTION_MIN_US +
	    proxy_model_random_us(model, PROMOTION_SPREAD_US);
}

/*
 * Return the order that an event is about.
 */
static event_t
promotion_of(proxy_model_t *model, const event_t *event)
{
	return (event_t){.kind = EVENT_PROMOTED,
	    .daemon = event->daemon,
	    .db = event->db,
	    .term = event->term,
	    .token = model->daemons[event->daemon].fencing_token,
	    .sent_us = model->now_us,
	    .order = ++model->last_order};
}

/*
 * Send an order to the platform.  One in 20 takes effect up to
 * LATE_PROMOTION_MAX_US late, unless owners change.
 */
static void
send_order(proxy_model_t *model, event_t promotion, int64_t after_us)
{
	proxy_model_daemon_t *daemon = &model->daemons[promotion.daemon];
	proxy_model_place_t place;
	int64_t late_us;

	daemon->order_sent = true;
	model->result->promotions_requested++;
	proxy_model_order_followed(model, promotion.daemon);
	place = draw_place(model);
	if (place != PROXY_PLACES) {
		hold_order(model, place, &promotion, after_us);
		return;
	}
	check_token(model, &promotion);
	late_us = proxy_model_order_late(model, promotion.daemon, promotion.db);
	if (late_us > 0) {
		promotion.ok = true;
		model->result->late_promotions++;
		proxy_model_schedule(model, after_us + late_us, &promotion);
		return;
	}
	if (proxy_model_orders_overtake(model->plan)) {
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

/*
 * Send an order that the store has not recorded.
 */
void
proxy_model_send_order(proxy_model_t *model, const event_t *event)
{
	send_order(model, promotion_of(model, event), draw_effect(model));
}

/*
 * Handle the coordinator record that was written: order the promotion if it
 * still names this daemon, the database is up and the promises are held.  A
 * record that was written too long ago is written again.
 */
void
proxy_model_order_written(proxy_model_t *model, const event_t *event)
{
	proxy_model_daemon_t *daemon = &model->daemons[event->daemon];
	failover_t *failover = &daemon->failover;
	event_t promotion = promotion_of(model, event);
	int64_t after_us = draw_effect(model);

	if (failover->state != FAILOVER_PROMOTING ||
	    failover->term != event->term)
		return;
	if (!proxy_model_order_stands(model, daemon, event->term)) {
		proxy_model_order_failed(model, event);
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
			proxy_model_withdraw_order(model, daemon, event->db);
		proxy_model_order_failed(model, event);
		return;
	}
	if (!promises_held(model, event))
		return;
	proxy_model_own_order_read(model, daemon);
	send_order(model, promotion, after_us);
}
