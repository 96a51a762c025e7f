#include "model.h"

#include "eventq.h"

#include "../src/bergamotplank.h"
#include "../src/decide/promote.h"
#include "../src/decide/replica.h"

#include <string.h>

#define OWNERS_MAX 4
#define DBS_MAX 5
#define TICK_US (10 * US_PER_MS)
#define PROBE_US (100 * US_PER_MS)
#define PROBE_TIMEOUT_US (200 * US_PER_MS)
#define DELAY_MAX_US (4 * US_PER_MS)
#define FAULT_MAX_US (1500 * US_PER_MS)
#define CHECKED_BACK 40
#define MAX_AGE_US (400 * US_PER_MS)
#define RUN_TIMEOUT_US (3000 * US_PER_MS)
#define IDS 64

typedef struct entry {
	uint64_t term;
	uint64_t id;    /* 0: the record of a term */
	uint64_t reqid; /* 0: none */
} entry_t;

typedef struct model_db {
	GArray *log; /* of entry_t */
	uint64_t promised;
	bool primary;
	int64_t cut_peers_us;             /* until */
	int64_t cut_owner_us[OWNERS_MAX]; /* until */
	int64_t frozen_us;                /* until */
} model_db_t;

typedef enum run_kind {
	RUN_WRITE,
	RUN_READ,
	RUN_REPLICA_READ,
} run_kind_t;

/* A statement under way in one daemon. */
typedef struct run {
	run_kind_t kind;
	uint64_t id;
	uint64_t reqid;
	uint32_t db;
	int64_t asked_us;
	uint64_t acked_before; /* how many were acknowledged when asked */
	bool missing;          /* a read did not see all of them */
	bool ran;
	position_t ran_at;
} run_t;

typedef struct owner {
	promote_t promote;
	samples_t samples;
	int64_t frozen_us; /* until */
	int64_t probe_us[DBS_MAX];
	bool probing[DBS_MAX];
	GPtrArray *runs; /* of run_t */
} owner_t;

typedef enum event_kind {
	EVENT_TICK,
	EVENT_REPLICATE,
	EVENT_AT_DB,
	EVENT_AT_OWNER,
} event_kind_t;

typedef enum call_kind {
	CALL_STATUS,
	CALL_FENCE,
	CALL_RAISE,
	CALL_FOLLOW,
	CALL_RUN,
} call_kind_t;

/* A call to a database, or its answer. */
typedef struct event {
	event_kind_t kind;
	uint32_t owner;
	uint32_t db;
	call_kind_t call;
	uint64_t term;
	int64_t asked_us;
	run_t *run;
	bool ok;
	db_view_t view;
} event_t;

/* An acknowledged write. */
typedef struct acked {
	uint64_t id;
	position_t at;
	int64_t at_us;
} acked_t;

typedef struct model {
	const model_plan_t *plan;
	model_result_t *result;
	GRand *rand;
	eventq_t *events;
	int64_t now_us;
	model_db_t dbs[DBS_MAX];
	owner_t owners[OWNERS_MAX];
	GArray *acked; /* of acked_t */
	uint64_t next_id;
	int64_t fault_until_us;
	int64_t quiet_since_us; /* no fault and no acknowledgement */
	int64_t asked_after_us; /* for a gap: writes asked after this */
	int64_t first_asked_us; /* the first of them that was acknowledged */
} model_t;

/*
 * The rule of the product.
 */
bool
model_hold_right(void *context, const db_view_t *views, uint32_t count,
    position_t position, int64_t since_us)
{
	(void)context;
	return hold_confirmed(views, count, position, since_us);
}

/*
 * Wrong on purpose: the primary's own word is enough.
 */
bool
model_hold_at_once(void *context, const db_view_t *views, uint32_t count,
    position_t position, int64_t since_us)
{
	(void)context;
	(void)views;
	(void)count;
	(void)position;
	(void)since_us;
	return true;
}

/*
 * A random number below a bound.
 */
static uint32_t
below(model_t *model, uint32_t bound)
{
	return (uint32_t)g_rand_int_range(model->rand, 0, (gint32)bound);
}

/*
 * Put an event into the queue, some time from now.
 */
static void
event_add(model_t *model, const event_t *event, int64_t delay_us)
{
	eventq_add(model->events, model->now_us + delay_us, event);
}

/*
 * A random delay of the network.
 */
static int64_t
delay(model_t *model)
{
	return 200 + (int64_t)below(model, DELAY_MAX_US);
}

/*
 * The entry at an index of a log, from 1.
 */
static entry_t *
entry_at(const model_db_t *db, uint64_t index)
{
	return &g_array_index(db->log, entry_t, index - 1);
}

/*
 * Where a log ends.
 */
static position_t
log_end(const model_db_t *db)
{
	position_t end = {0, 0};

	end.index = db->log->len;
	if (db->log->len > 0)
		end.term = entry_at(db, db->log->len)->term;
	return end;
}

/*
 * What a database tells of itself.
 */
static db_view_t
view_of(const model_db_t *db, int64_t asked_us)
{
	db_view_t view = {0};

	view.known = true;
	view.primary = db->primary;
	view.promised = db->promised;
	view.last = log_end(db);
	view.asked_us = asked_us;
	return view;
}

/*
 * Whether a database's log holds the newest acknowledged writes out of the
 * first count, those of terms above the given one left out: a primary that
 * is raised late, below another that already works, need not hold them.
 */
static bool
holds_acked(model_t *model, const model_db_t *db, uint64_t count, uint64_t term)
{
	uint64_t i, first = count > CHECKED_BACK ? count - CHECKED_BACK : 0;

	for (i = first; i < count; i++) {
		const acked_t *acked = &g_array_index(model->acked, acked_t, i);

		if (acked->at.term <= term &&
		    (acked->at.index > db->log->len ||
			entry_at(db, acked->at.index)->id != acked->id))
			return false;
	}
	return true;
}

/*
 * Whether a log holds a request id already.
 */
static bool
log_has_reqid(const model_db_t *db, uint64_t reqid)
{
	uint32_t i;

	for (i = db->log->len; i > 0; i--) {
		if (entry_at(db, i)->reqid == reqid)
			return true;
	}
	return false;
}

/*
 * The first time a request id stands twice in a log is a violation.
 */
static void
log_append(model_t *model, model_db_t *db, entry_t entry)
{
	if (entry.reqid != 0 && log_has_reqid(db, entry.reqid))
		model->result->twice++;
	g_array_append_val(db->log, entry);
}

/*
 * A statement reaches a database.
 */
static bool
db_run(model_t *model, model_db_t *db, event_t *event)
{
	run_t *run = event->run;
	bool current = db->primary && db->promised == event->term;

	if (run->kind != RUN_REPLICA_READ && !current)
		return false;
	if (run->kind == RUN_WRITE) {
		if (run->reqid != 0 && !model->plan->ids_unrecorded &&
		    log_has_reqid(db, run->reqid)) {
			model->result->duplicates++;
			run->id = 0;
		} else {
			log_append(model, db,
			    (entry_t){db->promised, run->id, run->reqid});
		}
	} else {
		run->missing =
		    !holds_acked(model, db, run->acked_before, UINT64_MAX);
	}
	run->ran_at = log_end(db);
	return true;
}

/*
 * A call reaches a database.
 */
static void
at_db(model_t *model, event_t *event)
{
	model_db_t *db = &model->dbs[event->db];

	switch (event->call) {
	case CALL_STATUS:
		event->ok = true;
		break;
	case CALL_FENCE:
		event->ok = event->term > db->promised;
		if (event->ok) {
			db->promised = event->term;
			db->primary = false;
		}
		break;
	case CALL_RAISE:
		event->ok = event->term == db->promised;
		if (event->ok && !db->primary) {
			db->primary = true;
			model->result->changes++;
			if (!holds_acked(
				model, db, model->acked->len, db->promised))
				model->result->lost++;
			log_append(model, db, (entry_t){db->promised, 0, 0});
		}
		break;
	case CALL_FOLLOW:
		if (event->term > db->promised) {
			db->promised = event->term;
			db->primary = false;
		}
		event->ok = event->term == db->promised;
		break;
	case CALL_RUN:
		event->ok = db_run(model, db, event);
		break;
	}
	event->view = view_of(db, event->asked_us);
	event->kind = EVENT_AT_OWNER;
	if (model->now_us >= db->cut_owner_us[event->owner])
		event_add(model, event, delay(model));
}

/*
 * One primary pushes one entry, or more, to one other database.
 */
static void
replicate(model_t *model)
{
	model_db_t *from = &model->dbs[below(model, model->plan->databases)];
	model_db_t *to = &model->dbs[below(model, model->plan->databases)];
	uint32_t i;

	if (from == to || !from->primary || to->promised > from->promised ||
	    model->now_us < from->cut_peers_us ||
	    model->now_us < to->cut_peers_us ||
	    model->now_us < from->frozen_us || model->now_us < to->frozen_us)
		return;
	to->promised = from->promised;
	to->primary = false;
	for (i = 0; i < from->log->len && i < to->log->len; i++) {
		const entry_t *a = entry_at(from, i + 1);
		const entry_t *b = entry_at(to, i + 1);

		if (a->term != b->term || a->id != b->id)
			break;
	}
	g_array_set_size(to->log, i);
	if (i < from->log->len) {
		uint32_t many = 1 + below(model, 8);

		many = MIN(many, from->log->len - i);
		g_array_append_vals(to->log, entry_at(from, i + 1), many);
	}
}

/*
 * Forget a statement.
 */
static void
run_end(owner_t *owner, run_t *run)
{
	g_ptr_array_remove_fast(owner->runs, run);
}

/*
 * Tell whether a statement is still under way.
 */
static bool
run_alive(const owner_t *owner, const run_t *run)
{
	return g_ptr_array_find(owner->runs, run, NULL);
}

/*
 * Whether a primary of a later term than this position lacks the write that
 * stands there.
 */
static bool
replaced_without(const model_t *model, uint64_t id, position_t at)
{
	uint32_t i;

	for (i = 0; i < model->plan->databases; i++) {
		const model_db_t *db = &model->dbs[i];

		if (db->primary && db->promised > at.term &&
		    (db->log->len < at.index ||
			entry_at(db, at.index)->id != id))
			return true;
	}
	return false;
}

/*
 * A statement is done: note an acknowledgement, or judge a read.
 */
static void
run_done(model_t *model, owner_t *owner, run_t *run)
{
	acked_t acked = {run->id, run->ran_at, model->now_us};

	if (run->kind == RUN_WRITE) {
		model->result->acknowledged++;
		if (model->first_asked_us == 0 &&
		    run->asked_us > model->asked_after_us)
			model->first_asked_us = run->asked_us;
		if (run->id != 0) {
			if (replaced_without(model, run->id, run->ran_at))
				model->result->lost++;
			g_array_append_val(model->acked, acked);
		}
		if (model->quiet_since_us > model->fault_until_us)
			model->result->longest_gap_us =
			    MAX(model->result->longest_gap_us,
				model->now_us - model->quiet_since_us);
		model->quiet_since_us = model->now_us;
	} else {
		model->result->reads++;
		if (run->missing)
			model->result->stale++;
	}
	run_end(owner, run);
}

/*
 * Answer what is confirmed now, give up what is overdue.
 */
static void
confirm(model_t *model, owner_t *owner)
{
	uint32_t i = owner->runs->len;

	while (i-- > 0) {
		run_t *run = g_ptr_array_index(owner->runs, i);
		bool trusted =
		    run->kind == RUN_READ && model->plan->reads_unconfirmed;

		if (run->ran &&
		    (trusted ||
			model->plan->hold(model->plan->hold_context,
			    owner->promote.views, owner->promote.count,
			    run->ran_at, run->asked_us))) {
			run_done(model, owner, run);
		} else if (model->now_us - run->asked_us > RUN_TIMEOUT_US) {
			model->result->unknown++;
			run_end(owner, run);
		}
	}
}

/*
 * A read came back from a replica: it must have been young enough when it
 * was asked, and at or past the floor.
 */
static void
replica_answered(model_t *model, owner_t *owner, run_t *run)
{
	model->result->replica_reads++;
	if (run->missing)
		model->result->replica_stale++;
	run_end(owner, run);
}

/*
 * An answer reaches a daemon.
 */
static void
at_owner(model_t *model, const event_t *event)
{
	owner_t *owner = &model->owners[event->owner];
	promote_t *promote = &owner->promote;
	run_t *run = event->run;
	db_view_t view = event->view;
	sample_t sample;
	int32_t primary;

	switch (event->call) {
	case CALL_STATUS:
		owner->probing[event->db] = false;
		promote_heard(promote, event->db, &view, model->now_us);
		break;
	case CALL_FENCE:
		if (model->plan->longest_log)
			view.last.term = 0;
		promote_fenced(promote, event->db, event->term, event->ok,
		    &view, model->now_us);
		break;
	case CALL_RAISE:
		promote_raised(promote, event->db, event->term, event->ok,
		    &view, model->now_us);
		break;
	case CALL_FOLLOW:
		promote_heard(promote, event->db, &view, model->now_us);
		break;
	case CALL_RUN:
		promote_heard(promote, event->db, &view, model->now_us);
		if (!run_alive(owner, run))
			break;
		if (!event->ok)
			run_end(owner, run);
		else if (run->kind == RUN_REPLICA_READ)
			replica_answered(model, owner, run);
		else
			run->ran = true;
		break;
	}
	primary = promote_primary(promote);
	if (primary >= 0 &&
	    sample_take(
		promote->views, promote->count, (uint32_t)primary, &sample))
		samples_add(&owner->samples, sample, 20 * US_PER_MS);
	confirm(model, owner);
}

/*
 * Send a call from a daemon to a database.
 */
static void
call(model_t *model, uint32_t owner, uint32_t db, call_kind_t kind,
    uint64_t term, run_t *run)
{
	event_t event = {.kind = EVENT_AT_DB,
	    .owner = owner,
	    .db = db,
	    .call = kind,
	    .term = term,
	    .asked_us = model->now_us,
	    .run = run};

	event_add(model, &event, delay(model));
}

/*
 * How many writes had been acknowledged by a time.
 */
static uint64_t
acked_by(const model_t *model, int64_t by_us)
{
	uint64_t n = model->acked->len;

	while (
	    n > 0 && g_array_index(model->acked, acked_t, n - 1).at_us > by_us)
		n--;
	return n;
}

/*
 * A caller's read that may be MAX_AGE_US old.
 */
static void
ask_replica(model_t *model, uint32_t number)
{
	owner_t *owner = &model->owners[number];
	replica_load_t loads[DBS_MAX];
	position_t needed = {0, 0};
	int32_t chosen;
	run_t *run;
	uint32_t i;

	if (!model->plan->replicas_unaged &&
	    !samples_needed(
		&owner->samples, model->now_us, MAX_AGE_US, &needed))
		return;
	for (i = 0; i < model->plan->databases; i++)
		loads[i] = (replica_load_t){true, below(model, 4), 5};
	chosen = replica_choose(owner->promote.views, loads,
	    model->plan->databases, promote_primary(&owner->promote), needed);
	if (chosen < 0)
		return;
	run = g_new0(run_t, 1);
	run->kind = RUN_REPLICA_READ;
	run->db = (uint32_t)chosen;
	run->asked_us = model->now_us;
	run->acked_before = acked_by(model, model->now_us - MAX_AGE_US);
	g_ptr_array_add(owner->runs, run);
	call(model, number, (uint32_t)chosen, CALL_RUN, 0, run);
}

/*
 * A caller's write or fresh read.
 */
static void
ask_primary(model_t *model, uint32_t number, run_kind_t kind)
{
	owner_t *owner = &model->owners[number];
	int32_t primary = promote_primary(&owner->promote);
	run_t *run;

	if (primary < 0)
		return;
	run = g_new0(run_t, 1);
	run->kind = kind;
	run->id = kind == RUN_WRITE ? ++model->next_id : 0;
	if (kind == RUN_WRITE && below(model, 3) == 0)
		run->reqid = 1 + model->next_id / IDS * IDS + below(model, IDS);
	run->db = (uint32_t)primary;
	run->asked_us = model->now_us;
	run->acked_before = model->acked->len;
	g_ptr_array_add(owner->runs, run);
	call(model, number, run->db, CALL_RUN,
	    owner->promote.views[primary].promised, run);
}

/*
 * Something goes wrong for some time.
 */
static void
fault(model_t *model)
{
	model_db_t *db = &model->dbs[below(model, model->plan->databases)];
	uint32_t number = below(model, model->plan->owners);
	int64_t until_us = model->now_us + below(model, FAULT_MAX_US);

	model->result->faults++;
	model->fault_until_us = MAX(model->fault_until_us, until_us);
	switch (below(model, 4)) {
	case 0:
		db->cut_peers_us = until_us;
		break;
	case 1:
		db->cut_owner_us[number] = until_us;
		break;
	case 2:
		db->frozen_us = until_us;
		break;
	default:
		model->owners[number].frozen_us = until_us;
		break;
	}
}

/*
 * Probe the databases of one daemon as it is time.
 */
static void
probe(model_t *model, uint32_t number)
{
	owner_t *owner = &model->owners[number];
	uint32_t i;
	bool waits = owner->runs->len > 0;

	for (i = 0; i < model->plan->databases; i++) {
		int64_t spent_us = model->now_us - owner->probe_us[i];

		if (owner->probing[i] ? spent_us < PROBE_TIMEOUT_US
				      : spent_us < PROBE_US && !waits)
			continue;
		owner->probing[i] = true;
		owner->probe_us[i] = model->now_us;
		call(model, number, i, CALL_STATUS, 0, NULL);
	}
}

/*
 * When the oldest statement was sent that has run and is not confirmed.
 */
static int64_t
oldest_waiting(const owner_t *owner)
{
	int64_t oldest_us = 0;
	uint32_t i;

	for (i = 0; i < owner->runs->len; i++) {
		const run_t *run = g_ptr_array_index(owner->runs, i);

		if (run->ran && (oldest_us == 0 || run->asked_us < oldest_us))
			oldest_us = run->asked_us;
	}
	return oldest_us;
}

/*
 * One daemon does what it decides to.
 */
static void
owner_tick(model_t *model, uint32_t number)
{
	static const call_kind_t calls[] = {
	    [PROMOTE_FENCE] = CALL_FENCE,
	    [PROMOTE_RAISE] = CALL_RAISE,
	    [PROMOTE_FOLLOW] = CALL_FOLLOW,
	};
	owner_t *owner = &model->owners[number];
	promote_actions_t actions;
	uint32_t i;

	if (model->now_us < owner->frozen_us)
		return;
	probe(model, number);
	promote_waiting(&owner->promote, oldest_waiting(owner));
	promote_tick(&owner->promote, model->now_us, &actions);
	for (i = 0; i < actions.count; i++) {
		const promote_action_t *action = &actions.list[i];

		if (action->kind == PROMOTE_ASK_WITNESS)
			promote_witness_heard(&owner->promote,
			    owner->promote.witness, below(model, 2) == 0,
			    model->now_us);
		else
			call(model, number, action->database,
			    calls[action->kind], action->term, NULL);
	}
	ask_primary(model, number, RUN_WRITE);
	if (below(model, 2) == 0)
		ask_primary(model, number, RUN_READ);
	if (below(model, 2) == 0)
		ask_replica(model, number);
	confirm(model, owner);
}

/*
 * Everybody's tick; faults begin here.
 */
static void
tick(model_t *model)
{
	event_t next = {.kind = EVENT_TICK};
	uint32_t i;

	if (below(model, 1000) < model->plan->fault_permille)
		fault(model);
	for (i = 0; i < model->plan->owners; i++)
		owner_tick(model, i);
	event_add(model, &next, TICK_US);
}

/*
 * Carry out one event.  What meets a frozen party waits for it; what meets a
 * cut is lost.
 */
static void
step(model_t *model, event_t *event)
{
	event_t next = {.kind = EVENT_REPLICATE};

	switch (event->kind) {
	case EVENT_TICK:
		tick(model);
		break;
	case EVENT_REPLICATE:
		replicate(model);
		event_add(model, &next, 300 + below(model, 1500));
		break;
	case EVENT_AT_DB:
		if (model->now_us <
		    model->dbs[event->db].cut_owner_us[event->owner])
			break;
		if (model->now_us < model->dbs[event->db].frozen_us)
			event_add(model, event,
			    model->dbs[event->db].frozen_us - model->now_us);
		else
			at_db(model, event);
		break;
	case EVENT_AT_OWNER:
		if (model->now_us < model->owners[event->owner].frozen_us)
			event_add(model, event,
			    model->owners[event->owner].frozen_us -
				model->now_us);
		else
			at_owner(model, event);
		break;
	}
}

/*
 * Begin: empty databases, daemons that know nothing.
 */
static void
model_start(model_t *model)
{
	static const promote_limits_t limits = {400 * US_PER_MS,
	    200 * US_PER_MS, 2000 * US_PER_MS, 500 * US_PER_MS, 500 * US_PER_MS,
	    50 * US_PER_MS};
	event_t first = {.kind = EVENT_TICK};
	uint32_t i;

	model->rand = g_rand_new_with_seed(model->plan->seed);
	model->events = eventq_new(sizeof(event_t));
	model->acked = g_array_new(FALSE, FALSE, sizeof(acked_t));
	for (i = 0; i < model->plan->databases; i++)
		model->dbs[i].log = g_array_new(FALSE, FALSE, sizeof(entry_t));
	for (i = 0; i < model->plan->owners; i++) {
		promote_init(&model->owners[i].promote, &limits,
		    model->plan->databases, model->plan->seed + i, 0);
		model->owners[i].runs = g_ptr_array_new();
	}
	event_add(model, &first, 0);
	first.kind = EVENT_REPLICATE;
	event_add(model, &first, 0);
}

/*
 * Free everything.  Statements that were given up are left to the process.
 */
static void
model_end(model_t *model)
{
	uint32_t i;

	g_rand_free(model->rand);
	eventq_free(model->events);
	g_array_unref(model->acked);
	for (i = 0; i < model->plan->databases; i++)
		g_array_unref(model->dbs[i].log);
	for (i = 0; i < model->plan->owners; i++) {
		promote_clear(&model->owners[i].promote);
		g_ptr_array_unref(model->owners[i].runs);
	}
}

/*
 * Carry out the next event.
 */
static void
model_step(model_t *model)
{
	event_t event;

	model->now_us = eventq_take(model->events, &event);
	step(model, &event);
	model->result->steps++;
}

/*
 * Run the model for a number of steps.
 */
void
model_run(const model_plan_t *plan, model_result_t *result)
{
	model_t model = {0};

	memset(result, 0, sizeof(*result));
	model.plan = plan;
	model.result = result;
	model_start(&model);
	while (result->steps < plan->steps)
		model_step(&model);
	result->simulated_us = model.now_us;
	model_end(&model);
}

/*
 * Let the primary fall silent for good at a random time, and return the time
 * to the next acknowledgement of a write that was asked afterwards.
 */
int64_t
model_gap_us(const model_plan_t *plan)
{
	model_t model = {0};
	model_result_t result = {0};
	int64_t silent_us;
	int32_t primary = -1;
	uint32_t i;

	model.plan = plan;
	model.result = &result;
	model_start(&model);
	silent_us = 2000 * US_PER_MS + (int64_t)below(&model, 500) * US_PER_MS;
	while (model.now_us < silent_us)
		model_step(&model);
	for (i = 0; i < plan->databases; i++) {
		if (model.dbs[i].primary)
			primary = (int32_t)i;
	}
	g_assert_cmpint(primary, >=, 0);
	model.dbs[primary].frozen_us = INT64_MAX / 2;
	model.dbs[primary].cut_peers_us = INT64_MAX / 2;
	silent_us = model.now_us;
	model.first_asked_us = 0;
	model.asked_after_us = silent_us;
	while (model.first_asked_us == 0 &&
	    model.now_us < silent_us + 60 * US_PER_SECOND)
		model_step(&model);
	model_end(&model);
	return model.now_us - silent_us;
}
