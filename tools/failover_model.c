#include "failover_model.h"

#include "eventq.h"

#include "../src/bergamotplank.h"
#include "../src/decide/failover.h"
#include "../src/decide/replica.h"

#include <string.h>

#define OWNERS_MAX 4
#define DBS_MAX 5
#define TICK_US (10 * US_PER_MS)
#define PROBE_INTERVAL_US (100 * US_PER_MS)
#define PROBE_TIMEOUT_US (200 * US_PER_MS)
#define NETWORK_DELAY_MAX_US (4 * US_PER_MS)
#define FAULT_DURATION_MAX_US (1500 * US_PER_MS)
#define CHECKED_WRITES_MAX 40 /* newest acknowledged writes checked */
#define READ_MAX_AGE_US (400 * US_PER_MS)
#define STATEMENT_TIMEOUT_US (3000 * US_PER_MS)
#define REQUEST_IDS 64 /* distinct request ids drawn at a time */

/* A log entry. */
typedef struct entry {
	uint64_t term;
	uint64_t write_id;   /* 0: entry that starts a term */
	uint64_t request_id; /* 0: none */
} entry_t;

/* A database.  The _until_us fields are the ends of its faults. */
typedef struct model_db {
	GArray *log;       /* of entry_t */
	uint64_t promised; /* term; calls of older terms are refused */
	bool primary;
	int64_t peers_cut_until_us; /* no replication from or to it */
	int64_t owner_cut_until_us[OWNERS_MAX]; /* partitioned from the owner */
	int64_t frozen_until_us;                /* handles no calls */
} model_db_t;

typedef enum stmt_kind {
	STMT_WRITE,
	STMT_FRESH_READ,
	STMT_REPLICA_READ,
} stmt_kind_t;

/* A statement that an owner has sent and not yet answered. */
typedef struct stmt {
	stmt_kind_t kind;
	uint64_t write_id;   /* 0: a read, or a duplicate request */
	uint64_t request_id; /* 0: none */
	uint32_t db;
	int64_t sent_us;
	/* number of acknowledged writes that a read must see */
	uint64_t acked_when_sent;
	bool missed_write; /* the read missed one of these writes */
	bool executed;
	position_t position; /* end of the log after execution */
} stmt_t;

/* A daemon that considers itself the owner of the group. */
typedef struct owner {
	failover_t failover;
	position_history_t position_history;
	int64_t frozen_until_us;
	int64_t probe_sent_us[DBS_MAX];
	bool probe_pending[DBS_MAX];
	GPtrArray *stmts; /* of stmt_t */
} owner_t;

typedef enum event_kind {
	EVENT_TICK,
	EVENT_REPLICATE,
	EVENT_CALL,   /* a call reaches a database */
	EVENT_ANSWER, /* an answer reaches an owner */
} event_kind_t;

typedef enum call_kind {
	CALL_STATUS,
	CALL_FENCE,
	CALL_PROMOTE,
	CALL_FOLLOW,
	CALL_STATEMENT,
} call_kind_t;

/* A call to a database, or its answer. */
typedef struct event {
	event_kind_t kind;
	uint32_t owner;
	uint32_t db;
	call_kind_t call;
	uint64_t term;
	int64_t sent_us;
	stmt_t *stmt;
	bool ok;
	db_view_t view;
} event_t;

/* An acknowledged write. */
typedef struct acked_write {
	uint64_t write_id;
	position_t position;
	int64_t acked_us;
} acked_write_t;

typedef struct model {
	const failover_model_plan_t *plan;
	failover_model_result_t *result;
	GRand *rand;
	eventq_t *events;
	int64_t now_us;
	model_db_t dbs[DBS_MAX];
	owner_t owners[OWNERS_MAX];
	GArray *acked_writes; /* of acked_write_t, in the order of acked_us */
	uint64_t last_write_id;
	int64_t fault_until_us; /* end of the fault that lasts longest */
	int64_t last_ack_us;
	/* failover_model_write_outage_us(): the time of the primary's failure,
	   and the sending time of the first acknowledged write sent later; 0:
	   none yet */
	int64_t outage_start_us;
	int64_t outage_first_sent_us;
} model_t;

/*
 * Apply the acknowledgement rule of the product: a majority of the databases
 * must hold the write.
 */
bool
failover_model_ack_by_majority(void *context, const db_view_t *views,
    uint32_t count, position_t position, int64_t since_us)
{
	(void)context;
	return majority_holds(views, count, position, since_us);
}

/*
 * Apply a wrong rule that the checks must detect: acknowledge a write on the
 * primary's answer alone.
 */
bool
failover_model_ack_unconfirmed(void *context, const db_view_t *views,
    uint32_t count, position_t position, int64_t since_us)
{
	(void)context;
	(void)views;
	(void)count;
	(void)position;
	(void)since_us;
	return true;
}

/*
 * Return a random number from 0 to bound - 1.
 */
static uint32_t
random_below(model_t *model, uint32_t bound)
{
	return (uint32_t)g_rand_int_range(model->rand, 0, (gint32)bound);
}

/*
 * Schedule an event delay_us from now.
 */
static void
schedule(model_t *model, const event_t *event, int64_t delay_us)
{
	eventq_push(model->events, model->now_us + delay_us, event);
}

/*
 * Return a random network delay.
 */
static int64_t
network_delay_us(model_t *model)
{
	return 200 + (int64_t)random_below(model, NETWORK_DELAY_MAX_US);
}

/*
 * Return the entry at an index of a log; the first index is 1.
 */
static entry_t *
entry_at(const model_db_t *db, uint64_t index)
{
	return &g_array_index(db->log, entry_t, index - 1);
}

/*
 * Return the position of the last entry of a log, {0, 0} when it is empty.
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
 * Build the state that a database reports in its answers.
 */
static db_view_t
db_make_view(const model_db_t *db, int64_t sent_us)
{
	db_view_t view = {0};

	view.known = true;
	view.primary = db->primary;
	view.promised = db->promised;
	view.last_entry = log_end(db);
	view.requested_us = sent_us;
	return view;
}

/*
 * Tell whether a database's log holds the newest CHECKED_WRITES_MAX of the
 * first count acknowledged writes.  Writes of terms above max_term are skipped:
 * a primary that is promoted late, when a primary of a higher term already
 * serves, need not hold that primary's writes.
 */
static bool
log_has_acked_writes(
    model_t *model, const model_db_t *db, uint64_t count, uint64_t max_term)
{
	uint64_t i,
	    first = count > CHECKED_WRITES_MAX ? count - CHECKED_WRITES_MAX : 0;

	for (i = first; i < count; i++) {
		const acked_write_t *acked =
		    &g_array_index(model->acked_writes, acked_write_t, i);

		if (acked->position.term <= max_term &&
		    (acked->position.index > db->log->len ||
			entry_at(db, acked->position.index)->write_id !=
			    acked->write_id))
			return false;
	}
	return true;
}

/*
 * Tell whether a log already holds a request id.
 */
static bool
log_has_request_id(const model_db_t *db, uint64_t request_id)
{
	uint32_t i;

	for (i = db->log->len; i > 0; i--) {
		if (entry_at(db, i)->request_id == request_id)
			return true;
	}
	return false;
}

/*
 * Append an entry to a log.  A request id that the log already holds counts
 * as a violation.
 */
static void
log_append(model_t *model, model_db_t *db, entry_t entry)
{
	if (entry.request_id != 0 && log_has_request_id(db, entry.request_id))
		model->result->duplicate_executions++;
	g_array_append_val(db->log, entry);
}

/*
 * Execute a statement on a database.  Returns false if the database refuses
 * it because it is not the primary of the term that the owner expects.
 */
static bool
db_execute(model_t *model, model_db_t *db, event_t *event)
{
	stmt_t *stmt = event->stmt;
	bool current = db->primary && db->promised == event->term;

	if (stmt->kind != STMT_REPLICA_READ && !current)
		return false;
	if (stmt->kind == STMT_WRITE) {
		if (stmt->request_id != 0 && !model->plan->ignore_request_ids &&
		    log_has_request_id(db, stmt->request_id)) {
			model->result->duplicate_requests++;
			stmt->write_id = 0;
		} else {
			log_append(model, db,
			    (entry_t){db->promised, stmt->write_id,
				stmt->request_id});
		}
	} else {
		stmt->missed_write = !log_has_acked_writes(
		    model, db, stmt->acked_when_sent, UINT64_MAX);
	}
	stmt->position = log_end(db);
	return true;
}

/*
 * Handle a call on a database, and send the answer unless the link is cut.
 */
static void
db_handle_call(model_t *model, event_t *event)
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
	case CALL_PROMOTE:
		event->ok = event->term == db->promised;
		if (event->ok && !db->primary) {
			db->primary = true;
			model->result->primary_changes++;
			if (!log_has_acked_writes(model, db,
				model->acked_writes->len, db->promised))
				model->result->lost_writes++;
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
	case CALL_STATEMENT:
		event->ok = db_execute(model, db, event);
		break;
	}
	event->view = db_make_view(db, event->sent_us);
	event->kind = EVENT_ANSWER;
	if (model->now_us >= db->owner_cut_until_us[event->owner])
		schedule(model, event, network_delay_us(model));
}

/*
 * Replicate from a random database to another, if the first is a primary and
 * the second has promised no newer term: truncate the second log to the common
 * prefix, then append up to 8 entries.
 */
static void
replicate(model_t *model)
{
	model_db_t *from =
	    &model->dbs[random_below(model, model->plan->databases)];
	model_db_t *to =
	    &model->dbs[random_below(model, model->plan->databases)];
	uint32_t i;

	if (from == to || !from->primary || to->promised > from->promised ||
	    model->now_us < from->peers_cut_until_us ||
	    model->now_us < to->peers_cut_until_us ||
	    model->now_us < from->frozen_until_us ||
	    model->now_us < to->frozen_until_us)
		return;
	to->promised = from->promised;
	to->primary = false;
	for (i = 0; i < from->log->len && i < to->log->len; i++) {
		const entry_t *a = entry_at(from, i + 1);
		const entry_t *b = entry_at(to, i + 1);

		if (a->term != b->term || a->write_id != b->write_id)
			break;
	}
	g_array_set_size(to->log, i);
	if (i < from->log->len) {
		uint32_t batch_size = 1 + random_below(model, 8);

		batch_size = MIN(batch_size, from->log->len - i);
		g_array_append_vals(to->log, entry_at(from, i + 1), batch_size);
	}
}

/*
 * Remove a statement from its owner's list.
 */
static void
stmt_remove(owner_t *owner, stmt_t *stmt)
{
	g_ptr_array_remove_fast(owner->stmts, stmt);
}

/*
 * Tell whether an owner still waits for a statement.
 */
static bool
stmt_pending(const owner_t *owner, const stmt_t *stmt)
{
	return g_ptr_array_find(owner->stmts, stmt, NULL);
}

/*
 * Tell whether a primary of a newer term than the write's lacks the write.
 */
static bool
newer_primary_lacks(
    const model_t *model, uint64_t write_id, position_t position)
{
	uint32_t i;

	for (i = 0; i < model->plan->databases; i++) {
		const model_db_t *db = &model->dbs[i];

		if (db->primary && db->promised > position.term &&
		    (db->log->len < position.index ||
			entry_at(db, position.index)->write_id != write_id))
			return true;
	}
	return false;
}

/*
 * Answer a statement: record the acknowledgement of a write, or count a stale
 * read.
 */
static void
stmt_done(model_t *model, owner_t *owner, stmt_t *stmt)
{
	acked_write_t acked = {stmt->write_id, stmt->position, model->now_us};

	if (stmt->kind == STMT_WRITE) {
		model->result->acknowledged++;
		if (model->outage_first_sent_us == 0 &&
		    stmt->sent_us > model->outage_start_us)
			model->outage_first_sent_us = stmt->sent_us;
		if (stmt->write_id != 0) {
			if (newer_primary_lacks(
				model, stmt->write_id, stmt->position))
				model->result->lost_writes++;
			g_array_append_val(model->acked_writes, acked);
		}
		if (model->last_ack_us > model->fault_until_us)
			model->result->longest_ack_gap_us =
			    MAX(model->result->longest_ack_gap_us,
				model->now_us - model->last_ack_us);
		model->last_ack_us = model->now_us;
	} else {
		model->result->reads++;
		if (stmt->missed_write)
			model->result->stale_fresh_reads++;
	}
	stmt_remove(owner, stmt);
}

/*
 * Answer the statements of an owner that are confirmed by now, and drop those
 * that have timed out.
 */
static void
owner_release_confirmed(model_t *model, owner_t *owner)
{
	uint32_t i = owner->stmts->len;

	while (i-- > 0) {
		stmt_t *stmt = g_ptr_array_index(owner->stmts, i);
		bool skip_confirmation = stmt->kind == STMT_FRESH_READ &&
		    model->plan->skip_read_confirmation;

		if (stmt->executed &&
		    (skip_confirmation ||
			model->plan->ack_rule(model->plan->ack_rule_context,
			    owner->failover.views, owner->failover.count,
			    stmt->position, stmt->sent_us))) {
			stmt_done(model, owner, stmt);
		} else if (model->now_us - stmt->sent_us >
		    STATEMENT_TIMEOUT_US) {
			model->result->unconfirmed_timeouts++;
			stmt_remove(owner, stmt);
		}
	}
}

/*
 * Count a read that a replica answered.  It is stale if it missed a write
 * that was acknowledged READ_MAX_AGE_US before the read was sent.
 */
static void
replica_read_done(model_t *model, owner_t *owner, stmt_t *stmt)
{
	model->result->replica_reads++;
	if (stmt->missed_write)
		model->result->stale_replica_reads++;
	stmt_remove(owner, stmt);
}

/*
 * Handle the answer to a call of an owner.
 */
static void
owner_handle_answer(model_t *model, const event_t *event)
{
	owner_t *owner = &model->owners[event->owner];
	failover_t *failover = &owner->failover;
	stmt_t *stmt = event->stmt;
	db_view_t view = event->view;
	position_sample_t sample;
	int32_t primary;

	switch (event->call) {
	case CALL_STATUS:
		owner->probe_pending[event->db] = false;
		failover_merge_view(failover, event->db, &view, model->now_us);
		break;
	case CALL_FENCE:
		if (model->plan->promote_longest_log)
			view.last_entry.term = 0;
		failover_fence_answered(failover, event->db, event->term,
		    event->ok, &view, model->now_us);
		break;
	case CALL_PROMOTE:
		failover_promotion_answered(failover, event->db, event->term,
		    event->ok, &view, model->now_us);
		break;
	case CALL_FOLLOW:
		failover_merge_view(failover, event->db, &view, model->now_us);
		break;
	case CALL_STATEMENT:
		failover_merge_view(failover, event->db, &view, model->now_us);
		if (!stmt_pending(owner, stmt))
			break;
		if (!event->ok)
			stmt_remove(owner, stmt);
		else if (stmt->kind == STMT_REPLICA_READ)
			replica_read_done(model, owner, stmt);
		else
			stmt->executed = true;
		break;
	}
	primary = failover_primary(failover);
	if (primary >= 0 &&
	    position_sample_take(
		failover->views, failover->count, (uint32_t)primary, &sample))
		position_history_add(
		    &owner->position_history, sample, 20 * US_PER_MS);
	owner_release_confirmed(model, owner);
}

/*
 * Send a call from an owner to a database.
 */
static void
send_call(model_t *model, uint32_t owner, uint32_t db, call_kind_t kind,
    uint64_t term, stmt_t *stmt)
{
	event_t event = {.kind = EVENT_CALL,
	    .owner = owner,
	    .db = db,
	    .call = kind,
	    .term = term,
	    .sent_us = model->now_us,
	    .stmt = stmt};

	schedule(model, &event, network_delay_us(model));
}

/*
 * Return the number of writes that had been acknowledged by a time.
 */
static uint64_t
acked_count_by(const model_t *model, int64_t by_us)
{
	uint64_t n = model->acked_writes->len;

	while (n > 0 &&
	    g_array_index(model->acked_writes, acked_write_t, n - 1).acked_us >
		by_us)
		n--;
	return n;
}

/*
 * Send a read that may return data up to READ_MAX_AGE_US old to a replica.
 */
static void
send_replica_read(model_t *model, uint32_t owner_index)
{
	owner_t *owner = &model->owners[owner_index];
	replica_load_t loads[DBS_MAX];
	position_t needed = {0, 0};
	int32_t chosen;
	stmt_t *stmt;
	uint32_t i;

	if (!model->plan->ignore_replica_age &&
	    !position_history_lookup(&owner->position_history, model->now_us,
		READ_MAX_AGE_US, &needed))
		return;
	for (i = 0; i < model->plan->databases; i++)
		loads[i] = (replica_load_t){true, random_below(model, 4), 5};
	chosen = replica_choose(owner->failover.views, loads,
	    model->plan->databases, failover_primary(&owner->failover), needed);
	if (chosen < 0)
		return;
	stmt = g_new0(stmt_t, 1);
	stmt->kind = STMT_REPLICA_READ;
	stmt->db = (uint32_t)chosen;
	stmt->sent_us = model->now_us;
	stmt->acked_when_sent =
	    acked_count_by(model, model->now_us - READ_MAX_AGE_US);
	g_ptr_array_add(owner->stmts, stmt);
	send_call(
	    model, owner_index, (uint32_t)chosen, CALL_STATEMENT, 0, stmt);
}

/*
 * Send a write or a fresh read to the primary that an owner knows.  A third
 * of the writes have a request id, drawn from few, so that ids repeat.
 */
static void
send_to_primary(model_t *model, uint32_t owner_index, stmt_kind_t kind)
{
	owner_t *owner = &model->owners[owner_index];
	int32_t primary = failover_primary(&owner->failover);
	stmt_t *stmt;

	if (primary < 0)
		return;
	stmt = g_new0(stmt_t, 1);
	stmt->kind = kind;
	stmt->write_id = kind == STMT_WRITE ? ++model->last_write_id : 0;
	if (kind == STMT_WRITE && random_below(model, 3) == 0)
		stmt->request_id = 1 +
		    model->last_write_id / REQUEST_IDS * REQUEST_IDS +
		    random_below(model, REQUEST_IDS);
	stmt->db = (uint32_t)primary;
	stmt->sent_us = model->now_us;
	stmt->acked_when_sent = model->acked_writes->len;
	g_ptr_array_add(owner->stmts, stmt);
	send_call(model, owner_index, stmt->db, CALL_STATEMENT,
	    owner->failover.views[primary].promised, stmt);
}

/*
 * Begin a random fault: a database cut off from its peers or from one owner,
 * or a frozen database or owner.
 */
static void
inject_fault(model_t *model)
{
	model_db_t *db =
	    &model->dbs[random_below(model, model->plan->databases)];
	uint32_t owner_index = random_below(model, model->plan->owners);
	int64_t until_us =
	    model->now_us + random_below(model, FAULT_DURATION_MAX_US);

	model->result->faults++;
	model->fault_until_us = MAX(model->fault_until_us, until_us);
	switch (random_below(model, 4)) {
	case 0:
		db->peers_cut_until_us = until_us;
		break;
	case 1:
		db->owner_cut_until_us[owner_index] = until_us;
		break;
	case 2:
		db->frozen_until_us = until_us;
		break;
	default:
		model->owners[owner_index].frozen_until_us = until_us;
		break;
	}
}

/*
 * Send an owner's status probes that are due.  While statements wait for
 * confirmation, each tick probes every database that has no probe pending.
 */
static void
probe_databases(model_t *model, uint32_t owner_index)
{
	owner_t *owner = &model->owners[owner_index];
	uint32_t i;
	bool has_pending = owner->stmts->len > 0;

	for (i = 0; i < model->plan->databases; i++) {
		int64_t elapsed_us = model->now_us - owner->probe_sent_us[i];

		if (owner->probe_pending[i]
			? elapsed_us < PROBE_TIMEOUT_US
			: elapsed_us < PROBE_INTERVAL_US && !has_pending)
			continue;
		owner->probe_pending[i] = true;
		owner->probe_sent_us[i] = model->now_us;
		send_call(model, owner_index, i, CALL_STATUS, 0, NULL);
	}
}

/*
 * Return the sending time of the oldest statement that was executed and is
 * not yet confirmed, or 0.
 */
static int64_t
oldest_unconfirmed_us(const owner_t *owner)
{
	int64_t oldest_us = 0;
	uint32_t i;

	for (i = 0; i < owner->stmts->len; i++) {
		const stmt_t *stmt = g_ptr_array_index(owner->stmts, i);

		if (stmt->executed &&
		    (oldest_us == 0 || stmt->sent_us < oldest_us))
			oldest_us = stmt->sent_us;
	}
	return oldest_us;
}

/*
 * Run one owner's timer: probe, carry out the failover's actions, and send
 * new statements.
 */
static void
owner_tick(model_t *model, uint32_t owner_index)
{
	static const call_kind_t calls[] = {
	    [FAILOVER_FENCE] = CALL_FENCE,
	    [FAILOVER_PROMOTE] = CALL_PROMOTE,
	    [FAILOVER_FOLLOW] = CALL_FOLLOW,
	};
	owner_t *owner = &model->owners[owner_index];
	failover_actions_t actions;
	uint32_t i;

	if (model->now_us < owner->frozen_until_us)
		return;
	probe_databases(model, owner_index);
	failover_set_unconfirmed(
	    &owner->failover, oldest_unconfirmed_us(owner));
	failover_tick(&owner->failover, model->now_us, &actions);
	for (i = 0; i < actions.count; i++) {
		const failover_action_t *action = &actions.list[i];

		if (action->kind == FAILOVER_ASK_WITNESS)
			failover_witness_answered(&owner->failover,
			    owner->failover.witness_request,
			    random_below(model, 2) == 0, model->now_us);
		else
			send_call(model, owner_index, action->database,
			    calls[action->kind], action->term, NULL);
	}
	send_to_primary(model, owner_index, STMT_WRITE);
	if (random_below(model, 2) == 0)
		send_to_primary(model, owner_index, STMT_FRESH_READ);
	if (random_below(model, 2) == 0)
		send_replica_read(model, owner_index);
	owner_release_confirmed(model, owner);
}

/*
 * Run the timer of all owners, and begin a fault by chance.
 */
static void
tick(model_t *model)
{
	event_t next = {.kind = EVENT_TICK};
	uint32_t i;

	if (random_below(model, 1000) < model->plan->fault_permille)
		inject_fault(model);
	for (i = 0; i < model->plan->owners; i++)
		owner_tick(model, i);
	schedule(model, &next, TICK_US);
}

/*
 * Handle one event.  A message to a frozen database or owner is delivered
 * when the freeze ends; a message over a cut link is lost.
 */
static void
handle_event(model_t *model, event_t *event)
{
	event_t next = {.kind = EVENT_REPLICATE};

	switch (event->kind) {
	case EVENT_TICK:
		tick(model);
		break;
	case EVENT_REPLICATE:
		replicate(model);
		schedule(model, &next, 300 + random_below(model, 1500));
		break;
	case EVENT_CALL:
		if (model->now_us <
		    model->dbs[event->db].owner_cut_until_us[event->owner])
			break;
		if (model->now_us < model->dbs[event->db].frozen_until_us)
			schedule(model, event,
			    model->dbs[event->db].frozen_until_us -
				model->now_us);
		else
			db_handle_call(model, event);
		break;
	case EVENT_ANSWER:
		if (model->now_us < model->owners[event->owner].frozen_until_us)
			schedule(model, event,
			    model->owners[event->owner].frozen_until_us -
				model->now_us);
		else
			owner_handle_answer(model, event);
		break;
	}
}

/*
 * Set up a run with empty databases and owners that have no state.
 */
static void
model_init(model_t *model)
{
	static const failover_limits_t limits = {400 * US_PER_MS,
	    200 * US_PER_MS, 2000 * US_PER_MS, 500 * US_PER_MS, 500 * US_PER_MS,
	    50 * US_PER_MS};
	event_t first = {.kind = EVENT_TICK};
	uint32_t i;

	model->rand = g_rand_new_with_seed(model->plan->seed);
	model->events = eventq_new(sizeof(event_t));
	model->acked_writes = g_array_new(FALSE, FALSE, sizeof(acked_write_t));
	for (i = 0; i < model->plan->databases; i++)
		model->dbs[i].log = g_array_new(FALSE, FALSE, sizeof(entry_t));
	for (i = 0; i < model->plan->owners; i++) {
		failover_init(&model->owners[i].failover, &limits,
		    model->plan->databases, model->plan->seed + i, 0);
		model->owners[i].stmts = g_ptr_array_new();
	}
	schedule(model, &first, 0);
	first.kind = EVENT_REPLICATE;
	schedule(model, &first, 0);
}

/*
 * Free a run.  Statements are not freed, since a scheduled event may still
 * point to them.
 */
static void
model_clear(model_t *model)
{
	uint32_t i;

	g_rand_free(model->rand);
	eventq_free(model->events);
	g_array_unref(model->acked_writes);
	for (i = 0; i < model->plan->databases; i++)
		g_array_unref(model->dbs[i].log);
	for (i = 0; i < model->plan->owners; i++) {
		failover_clear(&model->owners[i].failover);
		g_ptr_array_unref(model->owners[i].stmts);
	}
}

/*
 * Advance the clock to the next event, and handle it.
 */
static void
model_step(model_t *model)
{
	event_t event;

	model->now_us = eventq_pop(model->events, &event);
	handle_event(model, &event);
	model->result->steps++;
}

/*
 * Run the model for the number of events in the plan.
 */
void
failover_model_run(
    const failover_model_plan_t *plan, failover_model_result_t *result)
{
	model_t model = {0};

	memset(result, 0, sizeof(*result));
	model.plan = plan;
	model.result = result;
	model_init(&model);
	while (result->steps < plan->steps)
		model_step(&model);
	result->simulated_us = model.now_us;
	model_clear(&model);
}

/*
 * Freeze and cut off the primary for good at a random time, and return the
 * time from then to the first acknowledgement of a write sent afterwards.
 */
int64_t
failover_model_write_outage_us(const failover_model_plan_t *plan)
{
	model_t model = {0};
	failover_model_result_t result = {0};
	int64_t failure_us;
	int32_t primary = -1;
	uint32_t i;

	model.plan = plan;
	model.result = &result;
	model_init(&model);
	failure_us =
	    2000 * US_PER_MS + (int64_t)random_below(&model, 500) * US_PER_MS;
	while (model.now_us < failure_us)
		model_step(&model);
	for (i = 0; i < plan->databases; i++) {
		if (model.dbs[i].primary)
			primary = (int32_t)i;
	}
	g_assert_cmpint(primary, >=, 0);
	model.dbs[primary].frozen_until_us = INT64_MAX / 2;
	model.dbs[primary].peers_cut_until_us = INT64_MAX / 2;
	failure_us = model.now_us;
	model.outage_first_sent_us = 0;
	model.outage_start_us = failure_us;
	while (model.outage_first_sent_us == 0 &&
	    model.now_us < failure_us + 60 * US_PER_SECOND)
		model_step(&model);
	model_clear(&model);
	return model.now_us - failure_us;
}
