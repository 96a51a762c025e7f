#include "proxy_model_internal.h"

#include "../src/proxy/proxy.h"

/*
 * The proxy model: orders that the store cannot record.  A coordinator that has
 * used its token sends one for standing promises, if most daemons confirm the
 * token; they are told of the order, which is recorded once the store is back.
 */

/* Longest and shortest time for which the store is away. */
#define AWAY_MAX_US (9 * US_PER_SECOND)
#define AWAY_MIN_US (3 * US_PER_SECOND)

/* Times within which the primary is lost meanwhile, once and again. */
#define FIRST_LOSS_MAX_US (500 * US_PER_MS)
#define NEXT_LOSS_MAX_US (4 * US_PER_SECOND)

/* Longest time for which a primary is lost. */
#define LOSS_MAX_US (6 * US_PER_SECOND)

/* Chances that the store is away for another daemon as well, and that a lost
   primary is cut off rather than down. */
#define ALSO_AWAY_PERMILLE 300
#define CUT_OFF_PERMILLE 600

/* Time between two attempts to record what is noted. */
#define RECORD_AGAIN_US (1000 * US_PER_MS)

/*
 * Tell whether orders are sent that the store cannot record.
 */
bool
proxy_model_sends_unrecorded(const proxy_model_plan_t *plan)
{
	return plan->troubles.away.permille > 0;
}

/*
 * Have a daemon know the orders that the store has recorded.  Those that a
 * coordinator has told count as recorded, too.
 */
void
proxy_model_orders_known(proxy_model_t *model, proxy_model_daemon_t *daemon,
    const recorded_orders_t *recorded)
{
	recorded_orders_t merged;

	if (!proxy_model_sends_unrecorded(model->plan)) {
		lease_orders_read(&daemon->lease, recorded);
		return;
	}
	if (recorded->read_us < daemon->orders_read.read_us)
		return;
	daemon->orders_read = *recorded;
	merged = told_orders_merge(&daemon->orders_told, recorded);
	lease_orders_read(&daemon->lease, &merged);
	failover_orders_recorded(&daemon->failover, &merged, model->now_us);
}

/*
 * Have the failover of a daemon know the orders that the record has, which the
 * daemon has written or read now.
 */
void
proxy_model_failover_orders(proxy_model_t *model, proxy_model_daemon_t *daemon)
{
	recorded_orders_t orders = model->orders;

	if (proxy_model_sends_unrecorded(model->plan))
		orders.read_us = model->now_us;
	failover_orders_recorded(&daemon->failover, &orders, model->now_us);
}

/*
 * Note that the store has answered a daemon, and the last order that it had
 * recorded.
 */
void
proxy_model_store_answered(
    proxy_model_daemon_t *daemon, const recorded_orders_t *orders)
{
	daemon->store_away = false;
	daemon->stored_attempt = orders->attempt_term;
}

/*
 * Begin to change what a daemon has noted for the record, in place of the
 * record.  Returns the record.
 */
static store_record_t
begin_note(proxy_model_t *model, const proxy_model_daemon_t *daemon)
{
	store_record_t store = {
	    .record = {model->orders, model->open, model->members},
	    .revision = model->record_revision,
	    .stored_attempt = daemon->stored_attempt,
	    .store_away = daemon->store_away};

	model->orders = daemon->written.orders;
	model->open = daemon->written.open;
	model->members = daemon->written.members;
	return store;
}

/*
 * End a change of what a daemon has noted: it is to be recorded later.
 */
static void
end_note(proxy_model_t *model, proxy_model_daemon_t *daemon,
    const store_record_t *store)
{
	daemon->written =
	    (coordinator_record_t){model->orders, model->open, model->members};
	daemon->unrecorded = true;
	daemon->stored_attempt = store->stored_attempt;
	daemon->store_away = store->store_away;
	model->orders = store->record.orders;
	model->open = store->record.open;
	model->members = store->record.members;
	model->record_revision = store->revision;
}

/*
 * Note an order that is told or learned from another daemon.
 */
static void
note_told(proxy_model_t *model, proxy_model_daemon_t *daemon,
    const told_orders_t *told)
{
	recorded_orders_t read = daemon->orders_read;

	if (told_orders_note(&daemon->orders_told, told))
		proxy_model_orders_known(model, daemon, &read);
}

/*
 * Have a coordinator note an order that it has learned, so that it is recorded.
 * Returns whether it was not known.
 */
static bool
learn(proxy_model_daemon_t *daemon, const recorded_orders_t *orders)
{
	told_orders_t learned = {.orders = *orders};
	recorded_orders_t *noted = &daemon->written.orders;
	recorded_orders_t *before = &daemon->orders_before;

	if (told_orders_newer(&learned, noted)) {
		*noted = told_orders_merge(&learned, noted);
		daemon->unrecorded = true;
		return true;
	}
	if (!told_orders_newer(&learned, before) ||
	    orders->attempt_term == noted->attempt_term)
		return false;
	*before = told_orders_merge(&learned, before);
	noted->replaced_term = MAX(orders->replaced_term, noted->replaced_term);
	recorded_orders_add_earlier(
	    noted, &(earlier_order_t){orders->replaced_term, orders->base});
	daemon->unrecorded = true;
	return true;
}

/*
 * Add the orders that a daemon has noted for the record to a revocation.
 */
void
proxy_model_orders_tell(const proxy_model_t *model,
    const proxy_model_daemon_t *daemon, event_t *revocation)
{
	if (!proxy_model_sends_unrecorded(model->plan) ||
	    daemon->written.orders.attempt_term == 0)
		return;
	revocation->told = true;
	revocation->orders = daemon->written.orders;
}

/*
 * Note what a revocation tells of the orders, and add to its answer what the
 * daemon knows besides.
 */
void
proxy_model_orders_told(proxy_model_t *model, proxy_model_daemon_t *daemon,
    const event_t *revocation, event_t *answer)
{
	told_orders_t told = {.token = revocation->token,
	    .sequence = revocation->revocation,
	    .orders = revocation->orders};

	answer->token_recorded = daemon->token_read;
	answer->newest_token = daemon->newest_token_seen;
	answer->told = false;
	if (!proxy_model_sends_unrecorded(model->plan) || !answer->ok)
		return;
	told.orders.told_us = model->now_us;
	if (revocation->told)
		note_told(model, daemon, &told);
	/* a coordinator knows what it has told itself */
	if (daemon->orders_told.token == revocation->token ||
	    !told_orders_newer(&daemon->orders_told, &daemon->orders_read))
		return;
	answer->told = true;
	answer->orders = daemon->orders_told.orders;
}

/*
 * Note an order that the answer to a revocation tells of.  If it was not known,
 * the attempt is given up.
 */
void
proxy_model_orders_learned(
    proxy_model_t *model, proxy_model_daemon_t *daemon, const event_t *answer)
{
	told_orders_t told = {.orders = answer->orders};

	if (!answer->told ||
	    !recorded_orders_newer(&told.orders, &daemon->lease.orders))
		return;
	note_told(model, daemon, &told);
	learn(daemon, &told.orders);
	failover_superseded(&daemon->failover, answer->term, model->now_us);
}

/*
 * Note whether the store lists the daemons for a revocation.
 */
void
proxy_model_daemons_listed(proxy_model_t *model, proxy_model_daemon_t *daemon)
{
	daemon->list_failed = proxy_model_sends_unrecorded(model->plan) &&
	    model->now_us < daemon->object_store_cut_until_us;
	daemon->store_away |= daemon->list_failed;
}

/*
 * Tell whether the orders of a daemon are sent without a record, since the
 * store did not list the daemons.
 */
bool
proxy_model_store_failed(
    const proxy_model_t *model, const proxy_model_daemon_t *daemon)
{
	return proxy_model_sends_unrecorded(model->plan) && daemon->list_failed;
}

/*
 * Tell whether an order may be sent without a record: the token has been used
 * and was told for the attempt, and the promises for it are standing ones.
 */
static bool
may_ask(const proxy_model_daemon_t *daemon, const event_t *order)
{
	return daemon->is_coordinator && daemon->order_sent &&
	    daemon->heard_token == daemon->fencing_token &&
	    daemon->newest_token_seen <= daemon->fencing_token &&
	    attempt_term_replaces(order->term) != 0;
}

/*
 * Send the other daemons a revocation that they are to confirm.
 */
static void
ask_all(proxy_model_t *model, uint32_t daemon_index, event_t *request)
{
	uint32_t i;

	request->daemon = daemon_index;
	request->confirms = true;
	request->revocation = ++model->last_revocation;
	for (i = 0; i < model->plan->daemons; i++) {
		request->peer = i;
		if (i != daemon_index)
			proxy_model_send_request(model, request);
	}
}

/*
 * Tell the other daemons that an order they were told of is not sent, or was
 * refused.
 */
static void
tell_withdrawn(
    proxy_model_t *model, uint32_t daemon_index, const event_t *order)
{
	event_t request = {.token = order->token,
	    .told = true,
	    .orders = model->daemons[daemon_index].written.orders};

	ask_all(model, daemon_index, &request);
}

/*
 * Withdraw an order that was noted and is not sent, or was refused.
 */
static void
withdraw(proxy_model_t *model, uint32_t daemon_index, uint32_t db)
{
	proxy_model_daemon_t *daemon = &model->daemons[daemon_index];
	store_record_t store = begin_note(model, daemon);

	proxy_model_withdraw_order(model, daemon, db);
	end_note(model, daemon, &store);
	tell_withdrawn(model, daemon_index,
	    &(event_t){.token = daemon->confirmation.token});
}

/*
 * End the wait for a confirmation without the order.
 */
static void
drop(proxy_model_t *model, uint32_t daemon_index)
{
	proxy_model_daemon_t *daemon = &model->daemons[daemon_index];
	event_t event = {.daemon = daemon_index,
	    .db = daemon->confirmation.db,
	    .term = daemon->confirmation.term};

	daemon->confirmation.id = 0;
	withdraw(model, daemon_index, event.db);
	proxy_model_order_failed(model, &event);
}

/*
 * Send an order that most daemons have confirmed.  It counts as recorded.
 */
static void
send_unrecorded(proxy_model_t *model, uint32_t daemon_index)
{
	proxy_model_daemon_t *daemon = &model->daemons[daemon_index];
	event_t event = {.daemon = daemon_index,
	    .db = daemon->confirmation.db,
	    .term = daemon->confirmation.term};
	recorded_orders_t noted = daemon->written.orders;

	daemon->confirmation.id = 0;
	noted.read_us = model->now_us;
	noted.read_era = daemon->store_era;
	noted.lost_us = daemon->store_restored_us;
	proxy_model_orders_known(model, daemon, &noted);
	proxy_model_open_recorded(model, daemon, &daemon->written.open, 0);
	if (!proxy_model_order_stands(model, daemon, event.term) ||
	    model->now_us < model->dbs[event.db].down_until_us) {
		withdraw(model, daemon_index, event.db);
		proxy_model_order_failed(model, &event);
		return;
	}
	model->result->unrecorded_orders++;
	proxy_model_send_order(model, &event);
}

/*
 * Send an order, or drop it, as far as its confirmation is.
 */
static void
check_confirmation(proxy_model_t *model, uint32_t daemon_index)
{
	proxy_model_daemon_t *daemon = &model->daemons[daemon_index];
	confirmation_t *confirmation = &daemon->confirmation;
	revocation_count_t count =
	    revocation_count(confirmation->targets, model->plan->daemons - 1);

	if (!revocation_confirms_token(&count, 0))
		return;
	if (confirmation->newest_term > confirmation->replaced_term ||
	    (confirmation->reported.attempt_term != 0 &&
		learn(daemon, &confirmation->reported)) ||
	    model->now_us - confirmation->asked_us >
		CONFIRM_TIMEOUT_MS * US_PER_MS)
		drop(model, daemon_index);
	else
		send_unrecorded(model, daemon_index);
}

/*
 * Have the confirmation of an order begin with the answers of the daemons to
 * the revocation of its attempt (PROXY_BUG_OTHER_CONFIRMS).
 */
static void
count_revocation(const proxy_model_t *model, proxy_model_daemon_t *daemon)
{
	uint32_t i;

	for (i = 0; i + 1 < model->plan->daemons; i++) {
		daemon->confirmation.targets[i] = daemon->revocation_targets[i];
		daemon->confirmation.targets[i].token_recorded = true;
	}
}

/*
 * Have something between refuse the connections of the former coordinator to
 * all others, or to one of them, and theirs to it.
 */
static void
refuse_former(proxy_model_t *model, uint32_t other, bool all)
{
	refused_peers_t *refused = &model->refused_peers;
	const store_away_t *away = &model->store_away;
	uint32_t i, j;

	for (i = 0; i < model->plan->daemons; i++) {
		for (j = 0; j < model->plan->daemons; j++)
			refused->ends[i][j] =
			    (i == away->former && (all || j == other)) ||
			    (j == away->former && (all || i == other));
	}
	refused->contact = CONTACT_REFUSED;
	refused->until_us = away->until_us;
}

/*
 * Have the former coordinator reach no other daemon any more as it asks them to
 * confirm its token, at random.
 */
static void
forgotten_asked(proxy_model_t *model, uint32_t daemon_index)
{
	const store_away_t *away = &model->store_away;

	if (away->forgotten && away->succeeded &&
	    daemon_index == away->former && model->now_us < away->until_us &&
	    proxy_model_chance(model, 500))
		refuse_former(model, away->former, true);
}

/*
 * Note an order that the store cannot record, tell the other daemons of it, and
 * ask whether they know of a newer coordinator.
 */
void
proxy_model_order_ask(proxy_model_t *model, const event_t *order)
{
	proxy_model_daemon_t *daemon = &model->daemons[order->daemon];
	proxy_model_bug_t bug = model->plan->injected_bug;
	event_t request = {.token = daemon->fencing_token, .term = order->term};
	event_t timeout = {.kind = EVENT_UNCONFIRMED, .daemon = order->daemon};
	store_record_t store;

	if (!may_ask(daemon, order)) {
		proxy_model_order_failed(model, order);
		return;
	}
	store = begin_note(model, daemon);
	proxy_model_record_order(model, daemon, order->db);
	end_note(model, daemon, &store);
	if (bug != PROXY_BUG_ORDER_UNTOLD)
		proxy_model_orders_tell(model, daemon, &request);
	daemon->confirmation = (confirmation_t){.term = order->term,
	    .token = daemon->fencing_token,
	    .replaced_term = daemon->written.orders.replaced_term,
	    .db = order->db,
	    .asked_us = model->now_us};
	if (bug == PROXY_BUG_OTHER_CONFIRMS)
		count_revocation(model, daemon);
	forgotten_asked(model, order->daemon);
	ask_all(model, order->daemon, &request);
	daemon->confirmation.id = timeout.revocation = request.revocation;
	proxy_model_schedule(model, CONFIRM_TIMEOUT_MS * US_PER_MS, &timeout);
	check_confirmation(model, order->daemon);
}

/*
 * Return the daemon's entry for a peer in a confirmation, or NULL if it does
 * not wait for that one.
 */
static revocation_target_t *
confirmation_target(proxy_model_t *model, const event_t *event)
{
	confirmation_t *confirmation =
	    &model->daemons[event->daemon].confirmation;

	if (confirmation->id == 0 || confirmation->id != event->revocation)
		return NULL;
	return &confirmation
		    ->targets[event->peer < event->daemon ? event->peer
							  : event->peer - 1];
}

/*
 * Handle a peer's answer to the question whether it knows a newer token.
 */
void
proxy_model_confirmed(proxy_model_t *model, const event_t *event)
{
	proxy_model_daemon_t *daemon = &model->daemons[event->daemon];
	confirmation_t *confirmation = &daemon->confirmation;
	revocation_target_t *target = confirmation_target(model, event);

	daemon->newest_token_seen =
	    MAX(daemon->newest_token_seen, event->newest_token);
	if (target == NULL)
		return;
	if (!event->ok || daemon->newest_token_seen > confirmation->token) {
		daemon->is_coordinator = false;
		drop(model, event->daemon);
		return;
	}
	confirmation->newest_term =
	    MAX(confirmation->newest_term, event->view.term);
	if (event->told &&
	    event->orders.attempt_term > confirmation->reported.attempt_term)
		confirmation->reported = event->orders;
	target->contact = CONTACT_ANSWERED;
	target->token_recorded = event->token_recorded ||
	    model->plan->injected_bug == PROXY_BUG_UNREAD_CONFIRMS;
	check_confirmation(model, event->daemon);
}

/*
 * Handle that the connection to a peer has ended before it has answered that
 * question.
 */
void
proxy_model_confirm_closed(proxy_model_t *model, const event_t *event)
{
	revocation_target_t *target = confirmation_target(model, event);

	if (target == NULL || contact_shows_state(target->contact))
		return;
	target->contact = event->contact;
	if (model->plan->injected_bug != PROXY_BUG_REFUSED_CONFIRMS ||
	    event->contact != CONTACT_REFUSED)
		return;
	target->contact = CONTACT_ANSWERED;
	target->token_recorded = true;
	check_confirmation(model, event->daemon);
}

/*
 * Handle that too few daemons have confirmed the token in time.
 */
void
proxy_model_unconfirmed(proxy_model_t *model, const event_t *event)
{
	const confirmation_t *confirmation =
	    &model->daemons[event->daemon].confirmation;

	if (confirmation->id != 0 && confirmation->id == event->revocation)
		drop(model, event->daemon);
}

/*
 * Have the record of a new coordinator keep the orders that it has noted while
 * the store was away, or was told of, and that the record lacks.
 */
void
proxy_model_orders_take(proxy_model_t *model, proxy_model_daemon_t *daemon)
{
	recorded_orders_t noted = daemon->written.orders;
	bool forgets =
	    model->plan->injected_bug == PROXY_BUG_UNRECORDED_FORGOTTEN;

	if (!proxy_model_sends_unrecorded(model->plan) || forgets)
		return;
	if (daemon->unrecorded) {
		if (recorded_orders_newer(&noted, &model->orders)) {
			model->orders = noted;
		} else {
			recorded_orders_update(&noted, &model->orders);
			model->orders = noted;
		}
		proxy_model_open_add_missing(model, &daemon->written.open);
	}
	if (told_orders_newer(&daemon->orders_told, &model->orders))
		model->orders =
		    told_orders_merge(&daemon->orders_told, &model->orders);
}

/*
 * Have a coordinator record what it has noted while the store was away.  One
 * that has given the role up without an answer of the store resumes it, if the
 * record still has its token.
 */
static void
record_noted(proxy_model_t *model, uint32_t daemon_index)
{
	proxy_model_daemon_t *daemon = &model->daemons[daemon_index];

	if (!daemon->unrecorded || daemon->fencing_token == 0 ||
	    model->now_us - daemon->noted_us < RECORD_AGAIN_US)
		return;
	daemon->noted_us = model->now_us;
	if (model->record_unreadable || model->store_era != daemon->store_era)
		return;
	if (!proxy_model_holds_role(model, daemon, daemon_index)) {
		/* another daemon is the coordinator */
		daemon->unrecorded = daemon->is_coordinator;
		return;
	}
	if (daemon->newest_token_seen > daemon->fencing_token)
		return;
	daemon->is_coordinator = true;
	daemon->unrecorded = false;
	if (model->plan->injected_bug == PROXY_BUG_UNRECORDED_FORGOTTEN)
		return;
	model->orders = daemon->written.orders;
	model->open = daemon->written.open;
	model->members = daemon->written.members;
	proxy_model_record_changed(model, daemon);
	proxy_model_own_order_read(model, daemon);
	proxy_model_open_recorded(model, daemon, &model->open, model->now_us);
	model->result->recorded_later++;
}

/*
 * Tell whether the promise of a database may be all that is left of an order:
 * it is a standing one, and the store has not recorded the order yet.
 */
bool
proxy_model_proves_order(const proxy_model_t *model,
    proxy_model_daemon_t *daemon, const db_view_t *view)
{
	return proxy_model_sends_unrecorded(model->plan) && !view->primary &&
	    attempt_term_replaces(view->promised) != 0 &&
	    view->promised > daemon->stored_attempt &&
	    !failover_promise_void(&daemon->failover, view->promised);
}

/*
 * Have a coordinator note the orders that standing promises show, to be
 * recorded.
 */
static void
record_shown(proxy_model_t *model, proxy_model_daemon_t *daemon)
{
	uint32_t i;

	if (!daemon->is_coordinator ||
	    model->now_us - daemon->coordinator_since_us < ORDER_LATE_US)
		return;
	for (i = 0; i < daemon->failover.count; i++) {
		const db_view_t *view = &daemon->failover.views[i];
		told_orders_t shown = {
		    .orders = {.attempt_term = view->promised,
			.replaced_term = attempt_term_replaces(view->promised),
			.era = daemon->orders_read.read_era,
			.told_us = model->now_us}};

		if (!proxy_model_proves_order(model, daemon, view) ||
		    view->promised <= daemon->lease.orders.attempt_term)
			continue;
		note_told(model, daemon, &shown);
		if (told_orders_newer(
			&daemon->orders_told, &daemon->orders_read))
			learn(daemon, &daemon->orders_told.orders);
	}
}

/*
 * Have a daemon read the record when it reaches the store for the first time,
 * record what is noted, and tell its failover what the store has recorded.
 */
void
proxy_model_unrecorded_tick(proxy_model_t *model, uint32_t daemon_index)
{
	proxy_model_daemon_t *daemon = &model->daemons[daemon_index];
	int32_t primary = failover_primary(&daemon->failover);

	if (!proxy_model_sends_unrecorded(model->plan))
		return;
	if (model->now_us >= daemon->object_store_cut_until_us) {
		if (!daemon->token_read && !model->record_unreadable) {
			daemon->token_read = true;
			daemon->newest_token_seen =
			    MAX(daemon->newest_token_seen,
				model->coordinator_token);
		}
		record_noted(model, daemon_index);
	}
	record_shown(model, daemon);
	failover_set_store(
	    &daemon->failover, daemon->store_away, daemon->stored_attempt);
	if (daemon->is_coordinator)
		failover_set_unaware(&daemon->failover,
		    primary < 0 ? 0
				: lease_unaware_since_us(&daemon->lease,
				      daemon->failover.views[primary].promised,
				      model->now_us));
}

/*
 * Lose the newest primary for seconds, and draw whether its successor is lost
 * as well before the store is back.
 */
static void
lose_primary(proxy_model_t *model)
{
	store_away_t *away = &model->store_away;
	int32_t primary = proxy_model_newest_primary(model);
	int64_t until_us =
	    model->now_us + proxy_model_random_us(model, LOSS_MAX_US);
	uint32_t i;

	away->loss_us = proxy_model_chance(model, 500)
	    ? model->now_us + proxy_model_random_us(model, NEXT_LOSS_MAX_US)
	    : 0;
	if (away->loss_us > away->until_us)
		away->loss_us = 0;
	if (primary < 0)
		return;
	if (!proxy_model_chance(model, CUT_OFF_PERMILLE)) {
		model->dbs[primary].down_until_us = until_us;
		return;
	}
	model->dbs[primary].peers_cut_until_us = until_us;
	for (i = 0; i < model->plan->daemons; i++) {
		/* one that reaches it alone has a lease on it */
		if (proxy_model_chance(model, 700))
			model->dbs[primary].daemon_cut_until_us[i] = until_us;
	}
}

/*
 * Have the store be away for all but one daemon, which does not reach the
 * coordinator either.  That one pauses as the primary is lost.
 */
static void
begin_forgotten(proxy_model_t *model, store_away_t *away)
{
	uint32_t i, other;

	away->forgotten = true;
	away->succeeded = false;
	away->former = model->coordinator;
	other = (away->former + 1 +
		    (uint32_t)g_rand_int_range(
			model->rand, 0, (gint32)model->plan->daemons - 1)) %
	    model->plan->daemons;
	away->until_us = model->now_us + AWAY_MAX_US;
	for (i = 0; i < model->plan->daemons; i++) {
		away->restart_us[i] = 0;
		if (i != other)
			model->daemons[i].object_store_cut_until_us =
			    away->until_us;
	}
	refuse_former(model, other, false);
	model->daemons[away->former].paused_until_us =
	    model->now_us + AWAY_MIN_US;
	model->daemons[away->former].pause_began_us = model->now_us;
	away->loss_us = model->now_us + 1;
}

/*
 * Have the other daemons forget the token of a new coordinator that has sent an
 * order and pauses, and the primary be lost again, as the former coordinator
 * goes on.
 */
void
proxy_model_away_ordered(proxy_model_t *model, uint32_t daemon_index)
{
	store_away_t *away = &model->store_away;
	uint32_t i;

	if (!away->forgotten || away->succeeded ||
	    daemon_index == away->former || model->now_us >= away->until_us)
		return;
	away->succeeded = true;
	for (i = 0; i < model->plan->daemons; i++) {
		if (i != daemon_index && i != away->former)
			proxy_model_daemon_restart(model, i);
	}
	model->daemons[away->former].paused_until_us = model->now_us;
	/* the new one does not tell its token once more */
	model->daemons[daemon_index].paused_until_us =
	    model->now_us + AWAY_MIN_US;
	model->daemons[daemon_index].pause_began_us = model->now_us;
	away->loss_us = model->now_us + FIRST_LOSS_MAX_US +
	    proxy_model_random_us(model, FIRST_LOSS_MAX_US);
}

/*
 * Have the store be away for the coordinator, and maybe for others; they may
 * restart, and may refuse each other's connections.
 */
static void
begin_away(proxy_model_t *model, store_away_t *away)
{
	const proxy_model_store_away_t *plan = &model->plan->troubles.away;
	bool all = proxy_model_chance(model, plan->all_permille);
	uint32_t i;

	away->until_us = model->now_us + AWAY_MIN_US +
	    proxy_model_random_us(model, AWAY_MAX_US - AWAY_MIN_US);
	for (i = 0; i < model->plan->daemons; i++) {
		proxy_model_daemon_t *daemon = &model->daemons[i];

		away->restart_us[i] =
		    proxy_model_chance(model, plan->restart_permille)
		    ? model->now_us +
			proxy_model_random_us(model, NEXT_LOSS_MAX_US)
		    : 0;
		if (all || i == model->coordinator ||
		    proxy_model_chance(model, ALSO_AWAY_PERMILLE))
			daemon->object_store_cut_until_us = away->until_us;
	}
	away->loss_us =
	    model->now_us + proxy_model_random_us(model, FIRST_LOSS_MAX_US);
	if (proxy_model_chance(model, plan->refused_permille))
		proxy_model_refuse_links(model, away->until_us,
		    proxy_model_chance(model, 500) ? CONTACT_RESET
						   : CONTACT_REFUSED);
}

/*
 * Begin or continue a time in which the store is away, at random.
 */
void
proxy_model_away_troubles(proxy_model_t *model)
{
	const proxy_model_store_away_t *plan = &model->plan->troubles.away;
	store_away_t *away = &model->store_away;
	uint32_t i;

	if (!proxy_model_sends_unrecorded(model->plan))
		return;
	if (away->loss_us != 0 && model->now_us >= away->loss_us)
		lose_primary(model);
	for (i = 0; i < model->plan->daemons; i++) {
		if (away->restart_us[i] != 0 &&
		    model->now_us >= away->restart_us[i]) {
			away->restart_us[i] = 0;
			proxy_model_daemon_restart(model, i);
		}
	}
	if (model->now_us < away->until_us ||
	    !proxy_model_chance(model, plan->permille))
		return;
	model->result->troubles++;
	away->forgotten = false;
	if (plan->forgotten_permille > 0 &&
	    model->coordinator < model->plan->daemons &&
	    proxy_model_chance(model, plan->forgotten_permille))
		begin_forgotten(model, away);
	else
		begin_away(model, away);
}
