#include "sitemodel.h"

#include "../src/bergamotplank.h"
#include "../src/decide/promote.h"
#include "../src/proxy/proxy.h"

#include <string.h>

#define DAEMONS_MAX 5
#define DBS_MAX 5
#define TICK_US (20 * US_PER_MS)
#define REPLICATE_US (5 * US_PER_MS)
#define ASK_US (60 * US_PER_MS)
#define ASK_TIMEOUT_US (200 * US_PER_MS)
#define RUN_TIMEOUT_US (1000 * US_PER_MS)
#define DELAY_MAX_US (4 * US_PER_MS)
#define FAULT_MAX_US (4 * US_PER_SECOND)
#define PROMOTE_MIN_US (100 * US_PER_MS)
#define PROMOTE_SPREAD_US (200 * US_PER_MS)
#define LATE_MAX_US (3 * US_PER_SECOND)
#define OLD_PRIMARY_US US_PER_SECOND
#define PATIENCE_US (900 * US_PER_MS)
#define PATIENCE_SPREAD_US (600 * US_PER_MS)
#define CHECKED_BACK 60
#define SEARCHED_BACK 4000

typedef struct entry {
	uint64_t term;
	uint64_t id;
} entry_t;

typedef struct site_db {
	GArray *log; /* of entry_t */
	bool primary;
	uint64_t term;
	uint64_t held;   /* 0: receives */
	int64_t down_us; /* answers nothing until */
	int64_t cut_us[DAEMONS_MAX];
	int64_t cut_peers_us;
	int64_t reached_us; /* an old primary reaches the new one since */
} site_db_t;

/* A statement of one daemon. */
typedef struct run {
	bool read;
	bool ran;
	uint32_t db;
	uint64_t id;
	position_t at;
	int64_t asked_us;
	uint64_t begun_before; /* the newest term when it was asked */
} run_t;

typedef struct site_daemon {
	promote_t promote;
	lease_t lease;
	lease_span_t spans;
	int64_t paused_us; /* until */
	int64_t pause_began_us;
	int64_t no_store_us; /* until */
	bool duty;
	bool ordered; /* under this token */
	uint64_t token;
	uint64_t newest_token; /* of anybody, as heard */
	uint64_t seen_token;   /* in the record, at the last look */
	int64_t suspected_us;
	int64_t patience_us;
	int64_t asked_us[DBS_MAX];
	bool asking[DBS_MAX];
	uint64_t settle_term;
	uint32_t settle_answers;
	GPtrArray *runs; /* of run_t */
} site_daemon_t;

typedef enum event_kind {
	EVENT_TICK,
	EVENT_REPLICATE,
	EVENT_CALL,    /* reaches a database */
	EVENT_ANSWER,  /* reaches a daemon */
	EVENT_SETTLE,  /* reaches another daemon */
	EVENT_SETTLED, /* its answer reaches the daemon */
	EVENT_CHECKED, /* the record that was read reaches the daemon */
	EVENT_PROMOTE, /* takes effect */
} event_kind_t;

typedef enum call_kind {
	CALL_STATUS,
	CALL_HOLD,
	CALL_STEP_DOWN,
	CALL_RESUME,
	CALL_RUN,
} call_kind_t;

typedef struct event {
	int64_t at_us;
	uint64_t order;
	event_kind_t kind;
	call_kind_t call;
	uint32_t daemon;
	uint32_t other; /* daemon */
	uint32_t db;
	uint64_t term;
	uint64_t token;
	int64_t asked_us;
	bool ok;
	run_t *run;
	db_view_t view;
} event_t;

typedef struct site_model {
	const site_model_plan_t *plan;
	site_model_result_t *result;
	GRand *rand;
	GSequence *events;
	uint64_t order;
	int64_t now_us;
	site_db_t dbs[DBS_MAX];
	site_daemon_t daemons[DAEMONS_MAX];
	uint64_t begun; /* the newest term */
	uint32_t holder;
	uint64_t token; /* of the record; 0: nobody has the duty */
	uint64_t next_id;
	GArray *acked; /* of uint64_t */
	arena_t *arena;
} site_model_t;

/*
 * Order events by time, then by when they were made.
 */
static gint
event_order(gconstpointer a, gconstpointer b, gpointer context)
{
	const event_t *x = a, *y = b;

	(void)context;
	if (x->at_us != y->at_us)
		return x->at_us < y->at_us ? -1 : 1;
	return x->order < y->order ? -1 : x->order > y->order;
}

/*
 * A random time below a bound.
 */
static int64_t
below(site_model_t *model, int64_t bound_us)
{
	return (int64_t)(g_rand_double(model->rand) * (double)bound_us);
}

/*
 * Whether a thing with this chance happens.
 */
static bool
chance(site_model_t *model, uint32_t permille)
{
	return (uint32_t)g_rand_int_range(model->rand, 0, 1000) < permille;
}

/*
 * Have an event happen after a while.
 */
static void
later(site_model_t *model, int64_t after_us, const event_t *from)
{
	event_t *event = g_new(event_t, 1);

	*event = *from;
	event->at_us = model->now_us + after_us;
	event->order = ++model->order;
	g_sequence_insert_sorted(model->events, event, event_order, NULL);
}

/*
 * Whether a daemon and a database reach each other.
 */
static bool
linked(const site_model_t *model, uint32_t daemon, uint32_t db)
{
	const site_db_t *of = &model->dbs[db];

	return model->now_us >= of->down_us &&
	    model->now_us >= of->cut_us[daemon];
}

/*
 * The last entry of a database's log.
 */
static position_t
log_end(const site_db_t *db)
{
	const entry_t *last;

	if (db->log->len == 0)
		return (position_t){0, 0};
	last = &g_array_index(db->log, entry_t, db->log->len - 1);
	return (position_t){last->term, db->log->len};
}

/*
 * What a database says of itself.
 */
static db_view_t
view_of(const site_db_t *db, int64_t asked_us)
{
	db_view_t view = {.known = true,
	    .primary = db->primary,
	    .promised = db->primary ? db->term : MAX(db->term, db->held),
	    .last = log_end(db),
	    .asked_us = asked_us};

	/* the platform tells positions in the term that a primary leads */
	view.last.term = db->primary ? db->term : MAX(view.last.term, 1);
	return view;
}

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

	later(model, below(model, DELAY_MAX_US), &event);
}

/*
 * A call reaches a database.
 */
static void
on_call(site_model_t *model, const event_t *event)
{
	site_db_t *db = &model->dbs[event->db];
	event_t answer = *event;
	entry_t entry;

	if (!linked(model, event->daemon, event->db))
		return;
	answer.kind = EVENT_ANSWER;
	answer.ok = true;
	switch (event->call) {
	case CALL_HOLD:
		if (!db->primary && event->term > MAX(db->term, db->held))
			db->held = event->term;
		answer.ok = !db->primary && db->held >= event->term;
		break;
	case CALL_STEP_DOWN:
		if (db->primary && db->term < event->term)
			db->primary = false;
		answer.ok = !db->primary;
		break;
	case CALL_RESUME:
		db->held = 0;
		break;
	case CALL_RUN:
		answer.ok = db->primary;
		if (!db->primary)
			break;
		if (!event->run->read) {
			entry = (entry_t){db->term, event->run->id};
			g_array_append_val(db->log, entry);
		}
		break;
	case CALL_STATUS:
		break;
	}
	answer.view = view_of(db, event->asked_us);
	later(model, below(model, DELAY_MAX_US), &answer);
}

/*
 * How many other databases have an entry.
 */
static uint32_t
copies(const site_model_t *model, uint32_t except, uint64_t id)
{
	uint32_t i, j, n = 0;

	for (i = 0; i < model->plan->databases; i++) {
		const GArray *log = model->dbs[i].log;

		for (j = log->len;
		     i != except && j-- > 0 && log->len - j < SEARCHED_BACK;) {
			if (g_array_index(log, entry_t, j).id == id) {
				n++;
				break;
			}
		}
	}
	return n;
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
		    copies(model, run->db, run->id) > 0;

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
			later(model, below(model, DELAY_MAX_US), &event);
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
	later(model, below(model, DELAY_MAX_US), &answer);
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
	later(model, below(model, DELAY_MAX_US), &event);
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
	int64_t after_us = PROMOTE_MIN_US + below(model, PROMOTE_SPREAD_US);

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
	daemon->ordered = true;
	model->result->orders++;
	if (chance(model, 50)) {
		after_us += below(model, LATE_MAX_US);
		model->result->late_orders++;
	}
	later(model, after_us, &effect);
}

/*
 * A database begins to lead, with what it has.
 */
static void
on_promote(site_model_t *model, const event_t *event)
{
	site_db_t *db = &model->dbs[event->db];
	uint32_t i;

	if (model->now_us < db->down_us || db->primary)
		return;
	db->term = ++model->begun;
	db->primary = true;
	db->held = 0;
	model->result->changes++;
	for (i = model->acked->len > CHECKED_BACK
		 ? model->acked->len - CHECKED_BACK
		 : 0;
	     model->plan->sync_replicas > 0 && i < model->acked->len; i++) {
		uint64_t id = g_array_index(model->acked, uint64_t, i);

		model->result->lost +=
		    copies(model, DBS_MAX, id) - copies(model, event->db, id) ==
		    0;
	}
	/* what it lacks is gone */
	g_array_set_size(model->acked, 0);
}

/*
 * The database that leads the newest term, or NULL.
 */
static site_db_t *
leader(site_model_t *model)
{
	uint32_t i;

	for (i = 0; i < model->plan->databases; i++) {
		if (model->dbs[i].primary && model->dbs[i].term == model->begun)
			return &model->dbs[i];
	}
	return NULL;
}

/*
 * One step of the replication: the log of the newest primary that is reached.
 */
static void
on_replicate(site_model_t *model, const event_t *event)
{
	site_db_t *from = leader(model);
	uint32_t i, same;
	bool up = from != NULL && model->now_us >= from->down_us &&
	    model->now_us >= from->cut_peers_us;

	for (i = 0; up && i < model->plan->databases; i++) {
		site_db_t *to = &model->dbs[i];

		if (to == from || model->now_us < to->down_us ||
		    model->now_us < to->cut_peers_us) {
			to->reached_us = 0;
			continue;
		}
		if (to->primary) {
			if (to->reached_us == 0)
				to->reached_us = model->now_us;
			to->primary =
			    model->now_us - to->reached_us < OLD_PRIMARY_US;
			continue;
		}
		if (to->held > from->term ||
		    (to->held != 0 && to->term == from->term) ||
		    chance(model, 300))
			continue;
		to->held = 0;
		to->term = from->term;
		for (same = MIN(to->log->len, from->log->len); same > 0 &&
		     g_array_index(to->log, entry_t, same - 1).id !=
			 g_array_index(from->log, entry_t, same - 1).id;
		     same--)
			;
		g_array_set_size(to->log, same);
		g_array_append_vals(to->log,
		    &g_array_index(from->log, entry_t, same),
		    from->log->len - same);
	}
	later(model, REPLICATE_US, event);
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
	daemon->ordered = false;
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
	    !chance(model, 20))
		return;
	effect.db = ((uint32_t)primary + 1) % count;
	later(model, PROMOTE_MIN_US, &effect);
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
	run->read = chance(model, 500);
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
	int64_t until_us = model->now_us + below(model, FAULT_MAX_US);

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
	if (chance(model, model->plan->fault_permille))
		begin_fault(model, event->daemon);
	later(model, TICK_US, event);
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
		later(
		    model, model->daemons[at].paused_us - model->now_us, event);
		return;
	}
	switch (event->kind) {
	case EVENT_TICK:
		on_tick(model, event);
		break;
	case EVENT_REPLICATE:
		on_replicate(model, event);
		break;
	case EVENT_CALL:
		on_call(model, event);
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
		on_promote(model, event);
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
	daemon->patience_us = PATIENCE_US + below(model, PATIENCE_SPREAD_US);
	daemon->runs = g_ptr_array_new();
	later(model, below(model, TICK_US), &tick);
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
	GSequenceIter *first;
	uint32_t i;

	memset(result, 0, sizeof(*result));
	model.events = g_sequence_new(g_free);
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
	later(&model, REPLICATE_US, &replicate);
	while (result->steps++ < plan->steps) {
		event_t event;

		first = g_sequence_get_begin_iter(model.events);
		event = *(event_t *)g_sequence_get(first);
		g_sequence_remove(first);
		model.now_us = event.at_us;
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
	g_sequence_free(model.events);
	g_rand_free(model.rand);
}
