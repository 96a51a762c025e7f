#include "read_model_internal.h"

#include "../src/decide/read_balance.h"

#include <string.h>

/* The read model: sessions, daemons and the event loop. */

#define STATUS_INTERVAL_US (40 * US_PER_MS)
#define NO_REPLY_US (300 * US_PER_MS)
#define STATUS_TIMEOUT_US (1000 * US_PER_MS)
#define SAMPLE_SPACING_US (50 * US_PER_MS)
#define APPLIED_MAX_AGE_US (100 * US_PER_MS)
#define STATEMENT_TIMEOUT_US (1500 * US_PER_MS)
#define PAUSE_MAX_US (30 * US_PER_MS)
#define LONG_PAUSE_MAX_US (1000 * US_PER_MS)
#define LONG_PAUSE_PERMILLE 60
#define HELD_MAX_US (1200 * US_PER_MS)
#define FROZEN_MAX_US (1500 * US_PER_MS)
#define SILENT_MAX_US (1500 * US_PER_MS)
#define SLOTS 4

/*
 * Return a random time below a bound.
 */
int64_t
read_model_random_us(model_t *model, int64_t bound_us)
{
	return (int64_t)(g_rand_double(model->rand) * (double)bound_us);
}

/*
 * Return true with a chance.
 */
bool
read_model_chance(model_t *model, uint32_t permille)
{
	return permille > 0 &&
	    (uint32_t)g_rand_int_range(model->rand, 0, 1000) < permille;
}

/*
 * Schedule an event.
 */
void
read_model_schedule(model_t *model, int64_t after_us, const event_t *event)
{
	eventq_push(model->events, model->now_us + after_us, event);
}

/*
 * Return the time that a message takes that may wait for the end of a silence.
 */
static int64_t
message_us(model_t *model, int64_t silent_until_us)
{
	return MAX(0, silent_until_us - model->now_us) +
	    read_model_random_us(model, NETWORK_DELAY_MAX_US);
}

/*
 * Return the time that an answer takes on a connection.  It may be held up.
 */
static int64_t
answer_us(model_t *model, const conn_t *conn)
{
	int64_t delay_us = message_us(model, conn->silent_until_us);

	if (read_model_chance(model, model->plan->troubles.held_permille))
		delay_us += read_model_random_us(model, HELD_MAX_US);
	return delay_us;
}

/*
 * Schedule a step of a statement at a daemon, which may freeze before it.
 */
static void
schedule_step(model_t *model, int64_t after_us, event_t *event)
{
	daemon_state_t *daemon = &model->daemons[event->daemon];

	event->of_daemon = true;
	read_model_schedule(model, after_us, event);
	if (!read_model_chance(model, model->plan->troubles.frozen_permille))
		return;
	model->result->freezes++;
	daemon->frozen_until_us = MAX(daemon->frozen_until_us,
	    model->now_us + read_model_random_us(model, FROZEN_MAX_US));
}

/*
 * Return the latest time at which no open order of a group had taken effect, as
 * a daemon knows it.
 */
static int64_t
checked_us(const model_t *model, uint32_t group, known_group_t *known)
{
	const group_t *g = &model->groups[group];
	int32_t primary = failover_primary(&known->failover);
	uint32_t i;

	for (i = 0; i < DBS; i++)
		known->failover.views[i].order_open =
		    g->open_db == (int32_t)i &&
		    known->failover.views[i].requested_us < g->open_until_us;
	return primary < 0 ? 0
			   : lease_checked_us(&known->lease,
				 known->failover.views, DBS, (uint32_t)primary);
}

/*
 * Ask the store for the recorded orders of a group.
 */
static void
read_orders(model_t *model, uint32_t daemon, uint32_t group)
{
	known_group_t *known = &model->daemons[daemon].groups[group];
	event_t event = {.kind = EVENT_ORDERS_READ,
	    .of_daemon = true,
	    .daemon = daemon,
	    .group = group,
	    .era = model->era,
	    .orders = model->groups[group].recorded};

	if (known->orders_pending)
		return;
	known->orders_pending = true;
	event.orders.read_us = model->now_us;
	event.orders.read_era = model->era;
	read_model_schedule(
	    model, read_model_random_us(model, NETWORK_DELAY_MAX_US), &event);
}

/*
 * Have a daemon learn that the store has come back from an older copy.
 */
static void
on_restored(model_t *model, uint32_t daemon_index, uint64_t era)
{
	daemon_state_t *daemon = &model->daemons[daemon_index];
	uint32_t i;

	if (era <= daemon->era)
		return;
	daemon->era = era;
	daemon->restored_us = model->now_us;
	for (i = 0; i < GROUPS; i++)
		daemon->groups[i].lease.orders.lost_us = model->now_us;
}

/*
 * End a statement at its owner, with its result or without.
 */
static void
finish(model_t *model, known_group_t *known, op_t *op, bool ok)
{
	event_t event = {.kind = EVENT_ACKNOWLEDGED,
	    .daemon = op->entry,
	    .session = op->session,
	    .op = op,
	    .ok = ok};
	int64_t silent_until_us = op->entry == op->owner
	    ? 0
	    : model->daemons[op->entry].link_silent_until_us[op->owner];

	g_ptr_array_remove_fast(known->ops, op);
	op->state = OP_DONE;
	schedule_step(model, message_us(model, silent_until_us), &event);
}

/*
 * Answer the held statements that the lease covers, and queue those reads again
 * that it can not cover any more.
 */
static void
release_held(model_t *model, uint32_t group, known_group_t *known)
{
	int32_t primary = failover_primary(&known->failover);
	int64_t orders_us = checked_us(model, group, known);
	uint32_t i = known->ops->len;

	while (i-- > 0) {
		op_t *op = g_ptr_array_index(known->ops, i);
		bool on_primary = (int32_t)op->db == primary &&
		    op->executed.term == known->lease.term;
		bool covered = on_primary &&
		    (op->write ? model->now_us : op->arrived_us) <=
			known->lease.expires_us &&
		    (op->write ? op->executed_us : op->arrived_us) <= orders_us;

		if (op->state != OP_HELD)
			continue;
		if (covered ||
		    (!op->write &&
			model->plan->injected_bug ==
			    READ_BUG_PRIMARY_UNCONFIRMED))
			finish(model, known, op, true);
		else if (!on_primary &&
		    known->lease.expires_us > model->now_us &&
		    (op->write || op->transaction))
			finish(model, known, op, false);
		else if (!on_primary &&
		    (known->lease.expires_us > model->now_us ||
			(op->route != READ_ROUTE_PRIMARY && !op->write &&
			    !op->transaction && (int32_t)op->db != primary)))
			op->state = OP_QUEUED;
	}
}

/*
 * Renew the lease on the primary of a group, and answer what it covers.
 */
static void
update_lease(model_t *model, uint32_t daemon_index, uint32_t group)
{
	daemon_state_t *daemon = &model->daemons[daemon_index];
	known_group_t *known = &daemon->groups[group];
	int32_t primary = failover_primary(&known->failover);
	uint64_t term = known->lease.term;
	uint32_t i;

	for (i = 0; i < DBS; i++)
		known->failover.views[i].member = known->conns[i].born ==
		    model->groups[group].dbs[i].recorded;
	known->lease.members = DBS;
	checked_us(model, group, known);
	if (primary >= 0)
		lease_renew(&known->lease, known->failover.views, DBS,
		    (uint32_t)primary, model->now_us, &daemon->durations);
	if (known->lease.unverified)
		read_orders(model, daemon_index, group);
	if (model->plan->injected_bug == READ_BUG_SAMPLE_ENDS_WITH_LEASE &&
	    (known->lease.term != term ||
		known->lease.expires_us <= model->now_us))
		known->history.count = 0;
	release_held(model, group, known);
}

/*
 * Take a sample from an answer of the primary to a request.
 */
static void
sample_primary(model_t *model, const event_t *event, known_group_t *known)
{
	read_model_bug_t bug = model->plan->injected_bug;
	int64_t sent_us = bug == READ_BUG_SAMPLE_AGE_OF_ANSWER ? model->now_us
							       : event->sent_us;
	int64_t orders_us = checked_us(model, event->group, known);
	position_sample_t sample = {sent_us, event->position};

	if ((int32_t)event->db != failover_primary(&known->failover))
		return;
	if (bug == READ_BUG_SAMPLE_UNCHECKED)
		orders_us = INT64_MAX;
	if (bug != READ_BUG_SAMPLE_WITHOUT_LEASE &&
	    !position_sample_under_lease(
		&known->lease, event->position, sent_us, orders_us, &sample))
		return;
	position_history_add(&known->history, sample, SAMPLE_SPACING_US);
}

/*
 * Determine the position that a replica must have applied to serve a read.
 */
static bool
required_position(const model_t *model, const op_t *op, position_t *required)
{
	const daemon_state_t *daemon = &model->daemons[op->owner];
	const known_group_t *known = &daemon->groups[op->group];
	const position_history_t *history = &known->history;
	read_model_bug_t bug = model->plan->injected_bug;
	bool own = op->route == READ_ROUTE_OWN && bug != READ_BUG_NO_FLOOR;
	uint32_t last =
	    (history->first + history->count - 1) % POSITION_HISTORY_MAX;
	bool kept =
	    (bug == READ_BUG_SAMPLE_OUTLIVES_RETURN &&
		daemon->restored_us != 0 &&
		model->now_us - daemon->restored_us < 4 * US_PER_SECOND) ||
	    (bug == READ_BUG_SAMPLE_OUTLIVES_LEASE &&
		known->lease.expires_us <= model->now_us);

	if (bug == READ_BUG_FLOOR_WITHOUT_TERM && own &&
	    read_required_position(
		history, op->arrived_us, MAX_AGE_US, NULL, required)) {
		if (op->floor.index > required->index)
			*required = op->floor;
		return true;
	}
	if (read_required_position(history, op->arrived_us, MAX_AGE_US,
		own ? &op->floor : NULL, required))
		return true;
	if (!kept || history->count == 0)
		return false;
	*required = history->samples[last].position;
	if (own)
		*required = position_max(op->floor, *required);
	return true;
}

/*
 * Choose a database for a queued statement.  Returns -1 if there is none now.
 */
static int32_t
choose(model_t *model, op_t *op)
{
	known_group_t *known = &model->daemons[op->owner].groups[op->group];
	int32_t primary = failover_primary(&known->failover);
	int64_t orders_us = checked_us(model, op->group, known);
	bool lease_valid = known->lease.expires_us > model->now_us &&
	    (orders_us == INT64_MAX || model->now_us - orders_us < SUSPECT_US);
	bool replicas = !op->write && op->route != READ_ROUTE_PRIMARY &&
	    required_position(model, op, &op->needed);
	read_candidate_t candidates[DBS] = {0};
	uint32_t i;

	if (model->plan->injected_bug == READ_BUG_PRIMARY_UNCONFIRMED)
		lease_valid = true;
	for (i = 0; i < DBS; i++) {
		read_candidate_t *candidate = &candidates[i];

		candidate->primary = (int32_t)i == primary;
		candidate->usable = known->failover.views[i].known &&
		    model->now_us - known->failover.last_alive_us[i] <
			SUSPECT_US &&
		    (candidate->primary ? lease_valid
					: replicas &&
				(position_compare(
				     known->applied[i], op->needed) >= 0 ||
				    model->now_us - known->applied_us[i] >=
					APPLIED_MAX_AGE_US));
		candidate->slots = candidate->limit = SLOTS;
		candidate->in_flight =
		    (uint32_t)g_rand_int_range(model->rand, 0, SLOTS);
	}
	return read_balance_choose(candidates, DBS);
}

/*
 * Send a queued statement, if a database can run it.
 */
static void
send_statement(model_t *model, op_t *op)
{
	daemon_state_t *daemon = &model->daemons[op->owner];
	known_group_t *known = &daemon->groups[op->group];
	event_t event = {.kind = EVENT_RUN,
	    .daemon = op->owner,
	    .group = op->group,
	    .op = op};
	int32_t chosen = choose(model, op);
	int64_t frozen_us = 0;

	if (chosen < 0)
		return;
	op->state = OP_SENT;
	op->db = event.db = (uint32_t)chosen;
	op->with_position = chosen != failover_primary(&known->failover);
	op->sent_us = event.sent_us = model->now_us;
	event.attempt = ++op->attempt;
	op->born = event.born = known->conns[chosen].born;
	if (read_model_chance(model, model->plan->troubles.frozen_permille)) {
		frozen_us = read_model_random_us(model, FROZEN_MAX_US);
		model->result->freezes++;
		daemon->frozen_until_us = model->now_us + frozen_us;
	}
	read_model_schedule(model,
	    frozen_us + message_us(model, known->conns[chosen].silent_until_us),
	    &event);
}

/*
 * Send the queued statements of a group, give up those whose time is over, and
 * send reads again that have no answer.
 */
static void
dispatch(model_t *model, uint32_t daemon, uint32_t group)
{
	known_group_t *known = &model->daemons[daemon].groups[group];
	uint32_t i = known->ops->len;

	while (i-- > 0) {
		op_t *op = g_ptr_array_index(known->ops, i);

		if (model->now_us - op->arrived_us >= STATEMENT_TIMEOUT_US) {
			finish(model, known, op, false);
			continue;
		}
		if (op->state == OP_SENT && !op->write && !op->second &&
		    model->now_us - op->sent_us >= NO_REPLY_US)
			op->state = OP_QUEUED;
		if (op->state == OP_QUEUED)
			send_statement(model, op);
	}
}

/*
 * Open the connection of a daemon to a database again.
 */
static void
reopen(model_t *model, uint32_t group, uint32_t db, conn_t *conn)
{
	const db_t *reached = &model->groups[group].dbs[db];

	conn->generation++;
	conn->connected_us = model->now_us;
	conn->silent_until_us = 0;
	conn->pending = false;
	conn->born = read_model_db_runs(model, reached) ? reached->born : 0;
}

/*
 * Ask the databases of a group for their status where that is due.  A
 * connection without an answer is opened again.
 */
static void
ask_status(model_t *model, uint32_t daemon, uint32_t group)
{
	known_group_t *known = &model->daemons[daemon].groups[group];
	event_t event = {
	    .kind = EVENT_STATUS, .daemon = daemon, .group = group};

	for (event.db = 0; event.db < DBS; event.db++) {
		conn_t *conn = &known->conns[event.db];

		if (conn->pending &&
		    model->now_us - conn->asked_us >= STATUS_TIMEOUT_US)
			reopen(model, group, event.db, conn);
		if (conn->pending ||
		    model->now_us - conn->asked_us < STATUS_INTERVAL_US)
			continue;
		conn->pending = true;
		conn->asked_us = event.sent_us = model->now_us;
		event.generation = conn->generation;
		event.born = conn->born;
		read_model_schedule(
		    model, message_us(model, conn->silent_until_us), &event);
	}
}

/*
 * Begin a silence of a connection, or of a link between two daemons.
 */
static void
silence(model_t *model, daemon_state_t *daemon, uint32_t group)
{
	uint32_t i = (uint32_t)g_rand_int_range(model->rand, 0, DBS);
	int64_t until_us =
	    model->now_us + read_model_random_us(model, SILENT_MAX_US);

	if (!read_model_chance(model, model->plan->troubles.silent_permille))
		return;
	model->result->silences++;
	if (read_model_chance(model, 500))
		daemon->link_silent_until_us[i] = until_us;
	else
		daemon->groups[group].conns[i].silent_until_us = until_us;
}

/*
 * Do what a daemon does at each tick.
 */
static void
daemon_tick(model_t *model, uint32_t daemon)
{
	event_t event = {
	    .kind = EVENT_DAEMON_TICK, .of_daemon = true, .daemon = daemon};
	uint32_t i;

	for (i = 0; i < GROUPS; i++) {
		silence(model, &model->daemons[daemon], i);
		ask_status(model, daemon, i);
		update_lease(model, daemon, i);
		dispatch(model, daemon, i);
	}
	read_model_schedule(model, TICK_US, &event);
}

/*
 * Send the next statement of a session.
 */
static void
session_sends(model_t *model, uint32_t index)
{
	session_t *session = &model->sessions[index];
	event_t event = {.kind = EVENT_ENTERED, .session = index};
	op_t *op = g_new0(op_t, 1);
	bool one_floor =
	    model->plan->injected_bug == READ_BUG_FLOOR_OF_ONE_GROUP;

	if (read_model_chance(model, model->plan->troubles.moves_permille)) {
		session->group = (session->group + 1) % GROUPS;
		model->result->moves++;
	}
	g_ptr_array_add(model->ops, op);
	session->op = op;
	op->session = index;
	op->group = session->group;
	op->route = session->route;
	op->entry = event.daemon = session->entry;
	op->write = read_model_chance(model, 300);
	op->transaction = !op->write && read_model_chance(model, 200);
	op->begun_us = model->now_us;
	if (!one_floor || session->last_write_group == session->group)
		op->floor = session->floors[session->group];
	event.op = op;
	schedule_step(
	    model, read_model_random_us(model, NETWORK_DELAY_MAX_US), &event);
}

/*
 * Handle a statement at its entry: run it there, or pass it on to another
 * daemon, now or once the link to that daemon is open again.
 */
static void
on_entered(model_t *model, const event_t *event)
{
	daemon_state_t *daemon = &model->daemons[event->daemon];
	op_t *op = event->op;
	event_t accepted = {.kind = EVENT_ACCEPTED, .op = op};
	int64_t silent_us, wait_us = 0;

	op->entry_us =
	    model->plan->injected_bug == READ_BUG_ARRIVAL_BEFORE_FREEZE
	    ? daemon->previous_step_us
	    : model->now_us;
	op->owner = (uint32_t)g_rand_int_range(model->rand, 0, DAEMONS);
	accepted.daemon = op->owner;
	if (op->owner == op->entry) {
		schedule_step(model, 0, &accepted);
		return;
	}
	model->result->passed_on++;
	silent_us =
	    MAX(0, daemon->link_silent_until_us[op->owner] - model->now_us);
	if (read_model_chance(model, 500))
		wait_us = silent_us;
	op->waited_us =
	    (model->now_us + wait_us - op->entry_us) / US_PER_MS * US_PER_MS;
	schedule_step(model,
	    silent_us + read_model_random_us(model, NETWORK_DELAY_MAX_US),
	    &accepted);
}

/*
 * Handle a statement at its owner.
 */
static void
on_accepted(model_t *model, const event_t *event)
{
	daemon_state_t *daemon = &model->daemons[event->daemon];
	event_t chosen = {
	    .kind = EVENT_CHOSEN, .daemon = event->daemon, .op = event->op};
	op_t *op = event->op;

	op->arrived_us = model->now_us - op->waited_us;
	if (model->plan->injected_bug == READ_BUG_WAIT_TWICE)
		op->arrived_us -= op->waited_us;
	if (model->plan->injected_bug == READ_BUG_WAIT_LEFT_OUT)
		op->arrived_us = model->now_us;
	if (op->owner == op->entry)
		op->arrived_us = op->entry_us;
	g_ptr_array_add(daemon->groups[op->group].ops, op);
	schedule_step(model, 0, &chosen);
}

/*
 * Handle the second read of a transaction at its owner: send it on the
 * connection of the first one.
 */
static void
on_continued(model_t *model, const event_t *event)
{
	op_t *op = event->op;
	known_group_t *known = &model->daemons[event->daemon].groups[op->group];
	event_t run = {.kind = EVENT_RUN,
	    .daemon = event->daemon,
	    .group = op->group,
	    .db = op->db,
	    .op = op,
	    .attempt = ++op->attempt,
	    .born = op->born,
	    .sent_us = model->now_us};

	op->second = true;
	op->state = OP_SENT;
	op->sent_us = model->now_us;
	g_ptr_array_add(known->ops, op);
	read_model_schedule(model,
	    message_us(model, known->conns[op->db].silent_until_us), &run);
}

/*
 * Run a statement at a database, unless its connection has ended.
 */
static void
on_run(model_t *model, const event_t *event)
{
	const db_t *db = &model->groups[event->group].dbs[event->db];
	const conn_t *conn = &model->daemons[event->daemon]
				  .groups[event->group]
				  .conns[event->db];
	event_t answer = *event;
	op_t *op = event->op;
	position_t position = read_model_position(db, db->applied);

	if (!read_model_db_runs(model, db) || event->born != db->born ||
	    event->attempt != op->attempt)
		return;
	answer.ok = op->write ? db->primary
			      : !op->with_position || op->second ||
		model->plan->injected_bug == READ_BUG_NO_POSITION ||
		position_compare(position, op->needed) >= 0;
	if (answer.ok && op->write)
		read_model_write(model, op);
	else if (answer.ok)
		read_model_read(model, op);
	answer.kind = EVENT_ANSWERED;
	answer.position = read_model_position(db, db->applied);
	schedule_step(model, answer_us(model, conn), &answer);
}

/*
 * Handle the answer of a database to a statement.
 */
static void
on_answered(model_t *model, const event_t *event)
{
	known_group_t *known =
	    &model->daemons[event->daemon].groups[event->group];
	op_t *op = event->op;
	bool role_at_answer =
	    model->plan->injected_bug == READ_BUG_ROLE_AT_ANSWER &&
	    !op->write && op->route != READ_ROUTE_PRIMARY &&
	    failover_primary(&known->failover) != (int32_t)event->db;

	failover_alive(&known->failover, event->db, model->now_us);
	failover_position_seen(&known->failover, event->db, event->position);
	known->applied[event->db] =
	    position_max(known->applied[event->db], event->position);
	known->applied_us[event->db] = model->now_us;
	if (event->ok && op->write && event->position.term == known->lease.term)
		lease_primary_led(
		    &known->lease, event->position.term, event->sent_us);
	sample_primary(model, event, known);
	if (op->state != OP_SENT || op->attempt != event->attempt)
		return;
	op->executed = event->position;
	op->executed_us = model->now_us;
	if (!event->ok) {
		op->state = OP_QUEUED;
	} else if ((!op->write && op->with_position) || role_at_answer) {
		finish(model, known, op, true);
	} else {
		op->state = OP_HELD;
		release_held(model, event->group, known);
	}
}

/*
 * Handle the end of a statement at its session, which goes on with the next one
 * after a pause.
 */
static void
on_acknowledged(model_t *model, const event_t *event)
{
	session_t *session = &model->sessions[event->session];
	event_t next = {.kind = EVENT_SESSION, .session = event->session};
	op_t *op = event->op;

	if (event->ok)
		read_model_acknowledged(model, op);
	if (event->ok && op->transaction && !op->second) {
		next.kind = EVENT_CONTINUED;
		next.daemon = op->owner;
		next.op = op;
		schedule_step(
		    model, read_model_random_us(model, PAUSE_MAX_US), &next);
		return;
	}
	if (event->ok && op->write) {
		session->floors[op->group] =
		    model->plan->injected_bug == READ_BUG_FLOOR_WITHOUT_TERM &&
			session->floors[op->group].index > op->executed.index
		    ? session->floors[op->group]
		    : position_max(session->floors[op->group], op->executed);
		session->last_write_group = op->group;
	}
	read_model_schedule(model,
	    read_model_random_us(model,
		read_model_chance(model, LONG_PAUSE_PERMILLE)
		    ? LONG_PAUSE_MAX_US
		    : PAUSE_MAX_US),
	    &next);
}

/*
 * Have a database answer a status request.
 */
static void
on_status(model_t *model, const event_t *event)
{
	const db_t *db = &model->groups[event->group].dbs[event->db];
	const conn_t *conn = &model->daemons[event->daemon]
				  .groups[event->group]
				  .conns[event->db];
	event_t answer = *event;

	if (!read_model_db_runs(model, db) || event->born != db->born)
		return;
	answer.kind = EVENT_STATUS_ANSWER;
	answer.of_daemon = true;
	read_model_status(model, event, &answer.view);
	answer.position = read_model_position(db, db->applied);
	read_model_schedule(model, answer_us(model, conn), &answer);
}

/*
 * Handle the answer of a database to a status request, unless the connection
 * was opened again meanwhile.
 */
static void
on_status_answer(model_t *model, const event_t *event)
{
	known_group_t *known =
	    &model->daemons[event->daemon].groups[event->group];
	conn_t *conn = &known->conns[event->db];
	db_view_t view = event->view;

	if (event->generation != conn->generation)
		return;
	conn->pending = false;
	view.connected_us = conn->connected_us;
	view.answered_us = model->now_us;
	if (model->plan->injected_bug == READ_BUG_LEASE_AGE_OF_ANSWER)
		view.requested_us = model->now_us;
	known->applied[event->db] = event->position;
	known->applied_us[event->db] = model->now_us;
	failover_replace_view(
	    &known->failover, event->db, &view, model->now_us);
	update_lease(model, event->daemon, event->group);
	sample_primary(model, event, known);
	dispatch(model, event->daemon, event->group);
}

/*
 * Handle the recorded orders.
 */
static void
on_orders_read(model_t *model, const event_t *event)
{
	daemon_state_t *daemon = &model->daemons[event->daemon];
	known_group_t *known = &daemon->groups[event->group];
	recorded_orders_t orders = event->orders;

	known->orders_pending = false;
	on_restored(model, event->daemon, event->era);
	if (event->era < daemon->era)
		return;
	orders.lost_us = daemon->restored_us;
	lease_orders_read(&known->lease, &orders);
	update_lease(model, event->daemon, event->group);
}

/*
 * Handle an event of a daemon.
 */
static void
daemon_event(model_t *model, const event_t *event)
{
	daemon_state_t *daemon = &model->daemons[event->daemon];

	if (daemon->step_us < model->now_us) {
		daemon->previous_step_us = daemon->step_us;
		daemon->step_us = model->now_us;
	}
	switch (event->kind) {
	case EVENT_DAEMON_TICK:
		daemon_tick(model, event->daemon);
		break;
	case EVENT_ENTERED:
		on_entered(model, event);
		break;
	case EVENT_ACCEPTED:
		on_accepted(model, event);
		break;
	case EVENT_CONTINUED:
		on_continued(model, event);
		break;
	case EVENT_CHOSEN:
		if (event->op->state == OP_QUEUED)
			send_statement(model, event->op);
		break;
	case EVENT_ANSWERED:
		on_answered(model, event);
		break;
	case EVENT_ACKNOWLEDGED:
		on_acknowledged(model, event);
		break;
	case EVENT_STATUS_ANSWER:
		on_status_answer(model, event);
		break;
	case EVENT_REVOKE:
		lease_revoke(&daemon->groups[event->group].lease, event->term,
		    model->now_us);
		break;
	case EVENT_ORDERS_READ:
		on_orders_read(model, event);
		break;
	default:
		on_restored(model, event->daemon, event->era);
		break;
	}
}

/*
 * Handle an event.  One of a frozen daemon waits.
 */
static void
handle(model_t *model, const event_t *event)
{
	const daemon_state_t *daemon = &model->daemons[event->daemon];

	if (event->of_daemon) {
		if (model->now_us < daemon->frozen_until_us)
			eventq_push(
			    model->events, daemon->frozen_until_us, event);
		else
			daemon_event(model, event);
		return;
	}
	switch (event->kind) {
	case EVENT_SESSION:
		session_sends(model, event->session);
		break;
	case EVENT_RUN:
		on_run(model, event);
		break;
	case EVENT_STATUS:
		on_status(model, event);
		break;
	case EVENT_ORDERED:
		read_model_ordered(model, event);
		break;
	case EVENT_PROMOTED:
		read_model_promoted(model, event);
		break;
	default:
		read_model_world_tick(model);
		read_model_schedule(
		    model, TICK_US, &(event_t){.kind = EVENT_WORLD_TICK});
		break;
	}
}

/*
 * Create a daemon, which has connections to all databases.
 */
static void
daemon_init(model_t *model, daemon_state_t *daemon)
{
	failover_limits_t limits = {.suspect_us = SUSPECT_US};
	uint32_t i, j;

	daemon->durations = (lease_duration_t){LEASE_US / 2, LEASE_US, 1};
	for (i = 0; i < GROUPS; i++) {
		known_group_t *known = &daemon->groups[i];

		failover_init(&known->failover, &limits, DBS,
		    g_rand_int(model->rand), model->now_us);
		known->ops = g_ptr_array_new();
		for (j = 0; j < DBS; j++)
			reopen(model, i, j, &known->conns[j]);
	}
}

/*
 * Create the model, and schedule the first events.
 */
static void
model_init(model_t *model)
{
	uint32_t i;

	model->rand = g_rand_new_with_seed(model->plan->seed);
	model->events = eventq_new(sizeof(event_t));
	model->ops = g_ptr_array_new_with_free_func(g_free);
	model->now_us = 100 * US_PER_SECOND;
	model->era = 1;
	read_model_groups_init(model);
	for (i = 0; i < DAEMONS; i++) {
		event_t event = {
		    .kind = EVENT_DAEMON_TICK, .of_daemon = true, .daemon = i};

		daemon_init(model, &model->daemons[i]);
		model->daemons[i].era = model->era;
		read_model_schedule(
		    model, read_model_random_us(model, TICK_US), &event);
	}
	for (i = 0; i < SESSIONS; i++) {
		event_t event = {.kind = EVENT_SESSION, .session = i};

		model->sessions[i].entry = i % DAEMONS;
		model->sessions[i].route = i % READ_ROUTES;
		model->sessions[i].group = i / DAEMONS % GROUPS;
		read_model_schedule(model, US_PER_SECOND, &event);
	}
	read_model_schedule(model, 0, &(event_t){.kind = EVENT_WORLD_TICK});
}

/*
 * Free the model.
 */
static void
model_clear(model_t *model)
{
	uint32_t i, j;

	for (i = 0; i < DAEMONS; i++) {
		for (j = 0; j < GROUPS; j++) {
			g_ptr_array_unref(model->daemons[i].groups[j].ops);
			failover_clear(&model->daemons[i].groups[j].failover);
		}
	}
	read_model_groups_clear(model);
	g_ptr_array_unref(model->ops);
	eventq_free(model->events);
	g_rand_free(model->rand);
	g_free(model);
}

/*
 * Run a plan.
 */
void
read_model_run(const read_model_plan_t *plan, read_model_result_t *result)
{
	model_t *model = g_new0(model_t, 1);
	event_t event;
	uint64_t step;

	memset(result, 0, sizeof(*result));
	model->plan = plan;
	model->result = result;
	model_init(model);
	for (step = 0; step < plan->steps; step++) {
		model->now_us = eventq_pop(model->events, &event);
		handle(model, &event);
	}
	model_clear(model);
}

/*
 * Return the number of violations of a run.
 */
uint64_t
read_model_violations(const read_model_result_t *result)
{
	uint64_t sum = 0;
	uint32_t i;

	for (i = 0; i < READ_ROUTES; i++)
		sum += result->stale[i];
	return sum;
}
