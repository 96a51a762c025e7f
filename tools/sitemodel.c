#include "sitemodel_in.h"

#include "../src/proxy/proxy.h"

#include <string.h>

/* The daemons of the model. */

#define TICK_US (20 * US_PER_MS)
#define ASK_US (60 * US_PER_MS)
#define ASK_TIMEOUT_US (200 * US_PER_MS)
#define RUN_TIMEOUT_US (1000 * US_PER_MS)
#define FAULT_MAX_US (4 * US_PER_SECOND)
#define PROMOTE_MIN_US (100 * US_PER_MS)
#define PROMOTE_SPREAD_US (200 * US_PER_MS)
#define LATE_MAX_US (3 * US_PER_SECOND)
#define PATIENCE_US (900 * US_PER_MS)
#define PATIENCE_SPREAD_US (600 * US_PER_MS)

/*
 * Call a database; no answer comes where a link is cut.
 */
static void
call(site_model_t *model, uint32_t daemon, uint32_t db, call_kind_t kind,
    uint64_t term, run_t *run)
{
	event_t event = {.kind = EVENT_CALL,
	    .call = kind,
	    .daemon = daemon,
	    .db = db,
	    .term = term,
	    .asked_us = model->now_us,
	    .run = run};

	site_later(model, site_below(model, DELAY_MAX_US), &event);
}

/*
 * Answer a statement, and check that it may be answered.
 */
static void
run_done(site_model_t *model, const run_t *run)
{
	if (run->read) {
		model->result->reads++;
		model->result->stale += run->begun_before > run->at.term;
		return;
	}
	model->result->acknowledged++;
	model->result->split += model->begun > run->at.term;
	g_array_append_val(model->acked, run->id);
}

/*
 * Answer what may be answered, and give up the rest in time.
 */
static void
runs_release(site_model_t *model, site_daemon_t *daemon)
{
	const lease_t *lease = &daemon->lease;
	int32_t primary = promote_primary(&daemon->promote);
	uint32_t i = daemon->runs->len;

	while (i-- > 0) {
		const run_t *run = g_ptr_array_index(daemon->runs, i);
		int64_t needed_us = run->read ? run->asked_us : model->now_us;
		bool confirmed = run->at.term == lease->term &&
		    (int32_t)run->db == primary && needed_us <= lease->until_us;
		bool copied = run->read || model->plan->sync_replicas == 0 ||
		    site_copies(model, run->db, run->id) > 0;

		if (run->ran && copied &&
		    (confirmed || model->plan->wrong == SITE_ACK_UNCONFIRMED))
			run_done(model, run);
		else if (model->now_us - run->asked_us < RUN_TIMEOUT_US)
			continue;
		g_ptr_array_remove_index_fast(daemon->runs, i);
	}
}

/*
 * Whether a daemon still waits for a statement.
 */
static bool
run_waits(const site_daemon_t *daemon, const run_t *run)
{
	return g_ptr_array_find(daemon->runs, run, NULL);
}

/*
 * An answer of a database reaches a daemon.
 */
static void
on_answer(site_model_t *model, const event_t *event)
{
	site_daemon_t *daemon = &model->daemons[event->daemon];
	promote_t *promote = &daemon->promote;
	db_view_t view = event->view;
	int32_t primary;

	if (event->call == CALL_RUN) {
		if (!run_waits(daemon, event->run))
			return;
		event->run->ran = event->ok;
		event->run->at = view.last;
		if (!event->ok)
			event->run->asked_us = 0; /* given up */
		runs_release(model, daemon);
		return;
	}
	if (event->call == CALL_STATUS)
		daemon->asking[event->db] = false;
	promote_observed(promote, event->db, &view, model->now_us);
	if (event->call == CALL_HOLD || event->call == CALL_STEP_DOWN) {
		if (event->ok)
			view.promised = MAX(view.promised, event->term);
		promote_fenced(promote, event->db, event->term, event->ok,
		    &view, model->now_us);
	}
	if (promote->state == PROMOTE_RAISING && event->db == promote->chosen &&
	    view.primary && view.promised > daemon->lease.term)
		promote_raised(promote, event->db, promote->term, true, &view,
		    model->now_us);
	primary = promote_primary(promote);
	if (primary >= 0)
		lease_renew(&daemon->lease, promote->views,
		    model->plan->databases, (uint32_t)primary, model->now_us,
		    &daemon->spans);
	runs_release(model, daemon);
}

/*
 * Have all daemons give back their leases below a term.
 */
static void
settle(site_model_t *model, uint32_t number, uint64_t term)
{
	site_daemon_t *daemon = &model->daemons[number];
	event_t event = {.kind = EVENT_SETTLE,
	    .daemon = number,
	    .term = term,
	    .token = daemon->token};
	uint32_t i;

	lease_revoke(&daemon->lease, term, model->now_us);
	daemon->settle_term = term;
	daemon->settle_answers = 1;
	for (i = 0; i < model->plan->daemons; i++) {
		event.other = i;
		if (i != number)
			site_later(
			    model, site_below(model, DELAY_MAX_US), &event);
	}
}

/*
 * Another daemon changes the primary.
 */
static void
on_settle(site_model_t *model, const event_t *event)
{
	site_daemon_t *daemon = &model->daemons[event->other];
	event_t answer = *event;

	answer.kind = EVENT_SETTLED;
	answer.ok = daemon->newest_token <= event->token;
	daemon->newest_token = MAX(daemon->newest_token, event->token);
	lease_revoke(&daemon->lease, event->term, model->now_us);
	site_later(model, site_below(model, DELAY_MAX_US), &answer);
}

/*
 * Another daemon has given its lease back, or knows of a newer holder.
 */
static void
on_settled(site_model_t *model, const event_t *event)
{
	site_daemon_t *daemon = &model->daemons[event->daemon];
	uint32_t all = model->plan->daemons;

	if (event->term != daemon->settle_term)
		return;
	if (!event->ok) {
		daemon->duty = false;
		promote_outdated(&daemon->promote, event->term, model->now_us);
		return;
	}
	if (++daemon->settle_answers >= majority_of(all))
		promote_settled(&daemon->promote, event->term,
		    daemon->settle_answers == all, model->now_us);
}

/*
 * Read the record of the duty before an order.
 */
static void
order_check(site_model_t *model, uint32_t number, uint32_t db, uint64_t term)
{
	const site_daemon_t *daemon = &model->daemons[number];
	event_t event = {.kind = EVENT_CHECKED,
	    .daemon = number,
	    .db = db,
	    .term = term,
	    .asked_us = model->now_us};

	event.ok = model->now_us >= daemon->no_store_us &&
	    model->holder == number && model->token == daemon->token;
	site_later(model, site_below(model, DELAY_MAX_US), &event);
}

/*
 * The record has reached the daemon: give the order.
 */
static void
on_checked(site_model_t *model, const event_t *event)
{
	site_daemon_t *daemon = &model->daemons[event->daemon];
	promote_t *promote = &daemon->promote;
	event_t effect = {.kind = EVENT_PROMOTE, .db = event->db};
	int64_t after_us =
	    PROMOTE_MIN_US + site_below(model, PROMOTE_SPREAD_US);

	if (promote->state != PROMOTE_RAISING || promote->term != event->term)
		return;
	if (event->ok && model->plan->wrong != SITE_ORDER_OVER_PAUSE &&
	    model->now_us - event->asked_us > DUTY_CHECKED_US) {
		order_check(model, event->daemon, event->db, event->term);
		return;
	}
	if (!event->ok || model->now_us < model->dbs[event->db].down_us) {
		daemon->duty &= event->ok;
		promote_raised(promote, event->db, event->term, false,
		    &promote->views[event->db], model->now_us);
		return;
	}
	model->result->orders++;
	if (site_chance(model, 50)) {
		after_us += site_below(model, LATE_MAX_US);
		model->result->late_orders++;
	}
	site_later(model, after_us, &effect);
}

/*
 * Carry out one step of a change of primary.
 */
static void
act(site_model_t *model, uint32_t number, const promote_action_t *action)
{
	site_daemon_t *daemon = &model->daemons[number];
	const db_view_t *view = &daemon->promote.views[action->database];
	bool record = model->now_us >= daemon->no_store_us &&
	    model->holder == number && model->token == daemon->token;

	switch (action->kind) {
	case PROMOTE_SETTLE:
		settle(model, number, action->term);
		break;
	case PROMOTE_ASK_WITNESS:
		promote_witness_heard(&daemon->promote, daemon->promote.witness,
		    false, model->now_us);
		break;
	case PROMOTE_RAISE:
		order_check(model, number, action->database, action->term);
		break;
	case PROMOTE_RELEASE:
		if (action->term != 0 ? view->promised == action->term : record)
			call(model, number, action->database, CALL_RESUME, 0,
			    NULL);
		break;
	case PROMOTE_FENCE:
	case PROMOTE_FOLLOW:
		if (view->primary)
			call(model, number, action->database, CALL_STEP_DOWN,
			    action->term, NULL);
		else if (action->kind == PROMOTE_FENCE)
			call(model, number, action->database, CALL_HOLD,
			    action->term, NULL);
		break;
	}
}

/*
 * Take the duty when a change of primary is due and its holder does nothing.
 */
static void
consider_duty(site_model_t *model, uint32_t number)
{
	site_daemon_t *daemon = &model->daemons[number];

	if (daemon->duty)
		return;
	if (!promote_suspects(&daemon->promote, model->now_us)) {
		daemon->suspected_us = 0;
		return;
	}
	if (daemon->suspected_us == 0)
		daemon->suspected_us = model->now_us;
	if (model->now_us - daemon->suspected_us < daemon->patience_us ||
	    model->now_us < daemon->no_store_us)
		return;
	daemon->suspected_us = model->now_us;
	if (model->holder != number && model->token != daemon->seen_token) {
		daemon->seen_token = model->token;
		return;
	}
	model->holder = number;
	daemon->token = daemon->newest_token = ++model->token;
	daemon->duty = true;
}

/*
 * Change the primary at once, without a majority.
 */
static void
promote_unfenced(site_model_t *model, uint32_t number)
{
	site_daemon_t *daemon = &model->daemons[number];
	event_t effect = {.kind = EVENT_PROMOTE};
	int32_t primary = promote_primary(&daemon->promote);
	uint32_t count = model->plan->databases;

	if (count == 0 || primary < 0 ||
	    !promote_suspects(&daemon->promote, model->now_us) ||
	    !site_chance(model, 20))
		return;
	effect.db = ((uint32_t)primary + 1) % count;
	site_later(model, PROMOTE_MIN_US, &effect);
}

/*
 * Begin a statement at the primary that a daemon believes in.
 */
static void
begin_run(site_model_t *model, uint32_t number)
{
	site_daemon_t *daemon = &model->daemons[number];
	int32_t primary = promote_primary(&daemon->promote);
	run_t *run;

	if (primary < 0 ||
	    (model->plan->wrong != SITE_ACK_UNCONFIRMED &&
		daemon->lease.until_us <= model->now_us))
		return;
	run = arena_zero(model->arena, sizeof(*run));
	run->read = site_chance(model, 500);
	run->db = (uint32_t)primary;
	run->id = ++model->next_id;
	run->asked_us = model->now_us;
	run->begun_before = model->begun;
	g_ptr_array_add(daemon->runs, run);
	call(model, number, run->db, CALL_RUN, 0, run);
}

/*
 * Put a random fault into force.
 */
static void
begin_fault(site_model_t *model, uint32_t number)
{
	site_daemon_t *daemon = &model->daemons[number];
	uint32_t db =
	    (uint32_t)g_rand_int_range(model->rand, 0, model->plan->databases);
	int64_t until_us = model->now_us + site_below(model, FAULT_MAX_US);

	model->result->faults++;
	switch (g_rand_int_range(model->rand, 0, 6)) {
	case 0:
		daemon->paused_us = until_us;
		daemon->pause_began_us = model->now_us;
		break;
	case 1:
		daemon->no_store_us = until_us;
		break;
	case 2:
		model->dbs[db].down_us = until_us;
		break;
	case 3:
		model->dbs[db].cut_us[number] = until_us;
		break;
	case 4:
		model->dbs[db].cut_peers_us = until_us;
		break;
	default:
		model->dbs[db].cut_peers_us = until_us;
		model->dbs[db].cut_us[number] = until_us;
		break;
	}
}

/*
 * A daemon looks at everything.
 */
static void
on_tick(site_model_t *model, const event_t *event)
{
	site_daemon_t *daemon = &model->daemons[event->daemon];
	promote_actions_t actions;
	uint32_t i;

	if (daemon->pause_began_us != 0) {
		if (model->plan->wrong == SITE_LEASE_OVER_PAUSE)
			daemon->lease.until_us +=
			    model->now_us - daemon->pause_began_us;
		daemon->pause_began_us = 0;
	}
	for (i = 0; i < model->plan->databases; i++) {
		if (daemon->asking[i] &&
		    model->now_us - daemon->asked_us[i] < ASK_TIMEOUT_US)
			continue;
		if (model->now_us - daemon->asked_us[i] < ASK_US)
			continue;
		daemon->asking[i] = true;
		daemon->asked_us[i] = model->now_us;
		call(model, event->daemon, i, CALL_STATUS, 0, NULL);
	}
	runs_release(model, daemon);
	begin_run(model, event->daemon);
	consider_duty(model, event->daemon);
	if (daemon->duty && model->plan->wrong == SITE_PROMOTE_UNFENCED) {
		promote_unfenced(model, event->daemon);
	} else if (daemon->duty) {
		promote_tick(&daemon->promote, model->now_us, &actions);
		for (i = 0; i < actions.count; i++)
			act(model, event->daemon, &actions.list[i]);
	}
	if (site_chance(model, model->plan->fault_permille))
		begin_fault(model, event->daemon);
	site_later(model, TICK_US, event);
}

/*
 * Handle one event.  What reaches a paused daemon waits there.
 */
static void
handle(site_model_t *model, const event_t *event)
{
	uint32_t at =
	    event->kind == EVENT_SETTLE ? event->other : event->daemon;

	if (event->kind != EVENT_CALL && event->kind != EVENT_REPLICATE &&
	    event->kind != EVENT_PROMOTE &&
	    model->now_us < model->daemons[at].paused_us) {
		site_later(
		    model, model->daemons[at].paused_us - model->now_us, event);
		return;
	}
	switch (event->kind) {
	case EVENT_TICK:
		on_tick(model, event);
		break;
	case EVENT_REPLICATE:
		site_replicate(model, event);
		break;
	case EVENT_CALL:
		site_call(model, event);
		break;
	case EVENT_ANSWER:
		on_answer(model, event);
		break;
	case EVENT_SETTLE:
		on_settle(model, event);
		break;
	case EVENT_SETTLED:
		on_settled(model, event);
		break;
	case EVENT_CHECKED:
		on_checked(model, event);
		break;
	case EVENT_PROMOTE:
		site_promote(model, event);
		break;
	}
}

/*
 * Make a daemon that is listed since ever.
 */
static void
daemon_init(site_model_t *model, uint32_t number)
{
	site_daemon_t *daemon = &model->daemons[number];
	Bp__ProxyTimeouts timeouts = BP__PROXY_TIMEOUTS__INIT;
	event_t tick = {.kind = EVENT_TICK, .daemon = number};
	promote_limits_t limits;

	proxy_limits(&timeouts, &limits);
	limits.sync_replicas = model->plan->sync_replicas;
	if (model->plan->wrong == SITE_SETTLE_AT_ONCE)
		limits.settle_us = limits.settle_min_us = 0;
	promote_init(&daemon->promote, &limits, model->plan->databases,
	    g_rand_int(model->rand), model->now_us);
	daemon->spans = (lease_span_t){
	    limits.settle_min_us, (int64_t)timeouts.lease_ms * US_PER_MS, 1};
	daemon->patience_us =
	    PATIENCE_US + site_below(model, PATIENCE_SPREAD_US);
	daemon->runs = g_ptr_array_new();
	site_later(model, site_below(model, TICK_US), &tick);
}

/*
 * Run the model of a plan, from its seed alone.
 */
void
site_model_run(const site_model_plan_t *plan, site_model_result_t *result)
{
	site_model_t model = {.plan = plan,
	    .result = result,
	    .rand = g_rand_new_with_seed(plan->seed),
	    .now_us = US_PER_SECOND,
	    .begun = 1,
	    .arena = arena_new()};
	event_t replicate = {.kind = EVENT_REPLICATE};
	uint32_t i;

	memset(result, 0, sizeof(*result));
	model.events = eventq_new(sizeof(event_t));
	model.acked = g_array_new(FALSE, FALSE, sizeof(uint64_t));
	for (i = 0; i < plan->databases; i++) {
		model.dbs[i].log = g_array_new(FALSE, FALSE, sizeof(entry_t));
		model.dbs[i].primary = i == 0;
		model.dbs[i].term = 1;
	}
	for (i = 0; i < plan->daemons; i++)
		daemon_init(&model, i);
	model.holder = 0;
	model.token = 1;
	model.daemons[0].duty = true;
	model.daemons[0].token = model.daemons[0].newest_token = 1;
	site_later(&model, REPLICATE_US, &replicate);
	while (result->steps++ < plan->steps) {
		event_t event;

		model.now_us = eventq_take(model.events, &event);
		handle(&model, &event);
	}
	for (i = 0; i < plan->databases; i++)
		g_array_unref(model.dbs[i].log);
	for (i = 0; i < plan->daemons; i++) {
		promote_clear(&model.daemons[i].promote);
		g_ptr_array_unref(model.daemons[i].runs);
	}
	g_array_unref(model.acked);
	arena_free(model.arena);
	eventq_free(model.events);
	g_rand_free(model.rand);
}
