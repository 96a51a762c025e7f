#include "registry.h"

#include "decide/decide.h"

#include <string.h>

/*
 * The coordinator role.  At most one daemon at a time may order changes of
 * primary: the coordinator, which is named in an object in the platform's
 * store.  Each new coordinator increases the fencing token in this record,
 * which orders carry (promotion.c).  The record also holds the orders and the
 * members of the groups (orders.c).  The store, the messages and the log call
 * the role the duty.
 */

/* Interval of writes of orders that are not recorded yet. */
#define RECORD_AGAIN_US (1000 * US_PER_MS)

/*
 * Tell the pool task whether this daemon is the coordinator.  unknown: it is
 * not, as far as is known, since the store did not tell.
 */
static void
send_changed(registry_t *registry, bool held, bool unknown)
{
	msg_t *msg = msg_new(&bp__duty_changed__descriptor);
	Bp__DutyChanged *changed = (Bp__DutyChanged *)msg->body;

	if (!held)
		registry->fencing_token = 0;
	changed->held = held;
	changed->token = registry->fencing_token;
	changed->has_unknown = changed->unknown = unknown;
	changed->has_first = changed->first = held && registry->first_token;
	changed->has_asked_us = held;
	changed->asked_us = held ? (uint64_t)registry->coordinator_sent_us : 0;
	task_send(registry->proxy->pool, registry->task, msg);
}

/*
 * Tell the pool task whether this daemon is the coordinator.
 */
void
coordinator_send_changed(registry_t *registry, bool held)
{
	send_changed(registry, held, false);
}

/*
 * Tell the pool task that this daemon has not become the coordinator with a
 * call that had this status.
 */
static void
send_denied(registry_t *registry, object_store_status_t status)
{
	send_changed(registry, false,
	    status == OBJECT_STORE_REFUSED ||
		status == OBJECT_STORE_NO_RESPONSE);
}

/*
 * Parse the coordinator record in a response, and complete its token, with
 * which it was begun, if the store has just created it.  Returns NULL if there
 * is none.
 */
Bp__DutyRecord *
coordinator_record(const registry_t *registry,
    const object_store_response_t *response, arena_t *arena)
{
	Bp__DutyRecord *record;

	if (response->count != 1)
		return NULL;
	record = registry->proxy->objects->read_coordinator(
	    &response->list[0], arena);
	if (record != NULL && record->created) {
		record->token = fencing_token_created(
		    record->token, response->list[0].revision);
		record->has_created = record->created = 0;
		record->has_begun = 1;
		record->begun = record->token;
	}
	return record;
}

/*
 * Tell whether the record names this daemon, or a previous process of it, as
 * the coordinator.
 */
bool
coordinator_is_named(const registry_t *registry, const Bp__DutyRecord *record)
{
	return record != NULL &&
	    strcmp(record->holder, registry->proxy->settings->name) == 0;
}

/*
 * Tell whether a response has a coordinator record that cannot be read.
 */
bool
coordinator_record_unreadable(
    const object_store_response_t *response, const Bp__DutyRecord *record)
{
	return response->count == 1 && record == NULL;
}

/*
 * Tell whether the record names another process under this daemon's name, which
 * has taken the role since.
 */
static bool
held_by_other_process(const registry_t *registry, const Bp__DutyRecord *record)
{
	return registry->fencing_token != 0 &&
	    record->token != registry->fencing_token;
}

/*
 * Note the token of a record that was read and, if it names this process, the
 * revision for its next write.
 */
void
coordinator_note_record(registry_t *registry, object_store_status_t status,
    const object_store_response_t *response, const Bp__DutyRecord *record)
{
	if (status == OBJECT_STORE_NO_RESPONSE)
		return;
	if (coordinator_is_named(registry, record) &&
	    !held_by_other_process(registry, record))
		registry->coordinator_revision = response->list[0].revision;
	if (record == NULL)
		return;
	registry->coordinator_token = record->token;
	registry->record_begun = record->begun;
	registry->highest_token = MAX(registry->highest_token, record->token);
	if (!coordinator_is_named(registry, record) ||
	    record->token != registry->written_token)
		restore_forget(registry);
}

/*
 * Tell whether a token is the newest one.  The record has an older one if it
 * was deleted, or replaced by another writer.
 */
static bool
token_is_newest(const registry_t *registry, uint64_t token)
{
	return token >= registry->highest_token &&
	    fencing_token_is_current(registry->store_era, token);
}

/*
 * Handle TokenSeen: note a token that another daemon knows.  It ends the role
 * under an older one, also while the store does not answer.
 */
void
token_seen(void *context, msg_t *msg)
{
	registry_t *registry = context;

	registry->highest_token = MAX(
	    registry->highest_token, ((const Bp__TokenSeen *)msg->body)->token);
	if (registry->fencing_token != 0 &&
	    registry->fencing_token < registry->highest_token)
		coordinator_send_changed(registry, false);
	msg_free(msg);
}

/*
 * Handle the response to a write of the coordinator record.  After a conflict,
 * a record that names this daemon was written by a previous process or by a
 * call whose response was lost.  In both cases orders with its token may still
 * be in flight, so the record is written again with a higher token.  So it is
 * when the store came back from an older copy meanwhile: another daemon may
 * have used the token.
 */
static void
on_coordinator_written(void *context, const object_store_response_t *response)
{
	registry_t *registry = context;
	object_store_status_t status =
	    store_response_status(registry, response);
	arena_t *arena = arena_new();
	Bp__DutyRecord *record = coordinator_record(registry, response, arena);
	bool held_here = coordinator_is_named(registry, record);
	bool first = registry->highest_token == 0 &&
	    registry->store_era <= STORE_ERA_FIRST;

	registry->coordinator_call_pending = registry->role_wanted = false;
	coordinator_note_record(registry, status, response, record);
	if (record != NULL)
		orders_report_token(registry, record);
	if (status == OBJECT_STORE_OK && held_here &&
	    token_is_newest(registry, record->token)) {
		registry->fencing_token = record->token;
		registry->coordinator_revision = response->list[0].revision;
		restore_note_written(
		    registry, record->token, response->list[0].revision);
		orders_report(registry, record, registry->coordinator_sent_us);
		/* no previous coordinator to wait for is known */
		registry->order_sent = registry->first_token = first;
		coordinator_send_changed(registry, true);
	} else if ((status == OBJECT_STORE_OK ||
		       status == OBJECT_STORE_CONFLICT) &&
	    held_here) {
		orders_take(registry, record);
		coordinator_write(
		    registry, response->list[0].revision, record->token);
	} else {
		send_denied(registry, status);
	}
	arena_free(arena);
}

/*
 * Write the coordinator record, with the noted orders, so that it names this
 * daemon.  revision: of the record that is replaced; 0: it is created.
 */
void
coordinator_put_record(registry_t *registry, uint64_t revision, uint64_t token,
    object_store_cb callback, void *context)
{
	arena_t *arena = arena_new();
	Bp__DutyRecord record = BP__DUTY_RECORD__INIT;

	record.holder = registry->proxy->settings->name;
	record.token = token;
	record.has_created = record.created = revision == 0;
	record.has_begun = 1;
	record.begun = revision != 0 && registry->record_begun != 0
	    ? registry->record_begun
	    : token;
	orders_fill(registry, arena, &record);
	registry->proxy->objects->put_coordinator(registry->objects,
	    COORDINATOR_OBJECT_NAME, revision, &record, callback, context);
	arena_free(arena);
}

/*
 * Write the coordinator record to take over the role, with a token above the
 * one in it, all others that are known, and all that were used under a record
 * that is gone.
 */
void
coordinator_write(
    registry_t *registry, uint64_t revision, uint64_t recorded_token)
{
	registry->coordinator_call_pending = true;
	registry->coordinator_sent_us = clock_us();
	coordinator_put_record(registry, revision,
	    fencing_token_next(registry->store_era,
		MAX(recorded_token, registry->highest_token), revision),
	    on_coordinator_written, registry);
}

static void write_noted_orders(registry_t *);

/*
 * Handle the response to a write of noted or withdrawn orders.  It is repeated
 * if the store did not answer, or if another write of this process came first.
 */
static void
on_orders_updated(void *context, const object_store_response_t *response)
{
	registry_t *registry = context;
	object_store_status_t status =
	    store_response_status(registry, response);
	arena_t *arena = arena_new();
	Bp__DutyRecord *record = coordinator_record(registry, response, arena);

	coordinator_note_record(registry, status, response, record);
	registry->orders_updating = false;
	if (status == OBJECT_STORE_CONFLICT &&
	    !coordinator_is_named(registry, record))
		registry->orders_changed = registry->orders_unrecorded = false;
	else if (status == OBJECT_STORE_OK)
		registry->orders_unrecorded = registry->orders_changed;
	if (status == OBJECT_STORE_OK)
		orders_report(registry, record, registry->orders_written_us);
	if (status == OBJECT_STORE_CONFLICT &&
	    coordinator_record_unreadable(response, record))
		coordinator_read(registry);
	else if (status == OBJECT_STORE_OK && registry->orders_changed &&
	    registry->fencing_token != 0)
		write_noted_orders(registry);
	arena_free(arena);
}

/*
 * Write the noted orders into the coordinator record.
 */
static void
write_noted_orders(registry_t *registry)
{
	registry->orders_updating = true;
	registry->orders_changed = false;
	registry->orders_written_us = clock_us();
	coordinator_put_record(registry, registry->coordinator_revision,
	    registry->fencing_token, on_orders_updated, registry);
}

/*
 * Note that the record lacks what is noted, also what is being written.
 */
void
coordinator_note_unrecorded(registry_t *registry)
{
	registry->orders_unrecorded = registry->orders_changed = true;
}

/*
 * Write the noted orders into the coordinator record, if this daemon is still
 * the coordinator.  What is noted during a write is written after it.
 */
void
coordinator_update_orders(registry_t *registry)
{
	if (registry->fencing_token == 0)
		return;
	coordinator_note_unrecorded(registry);
	if (!registry->orders_updating)
		write_noted_orders(registry);
}

/*
 * Write the noted orders again if the last write has failed.
 */
void
coordinator_record_orders(registry_t *registry)
{
	if (registry->orders_unrecorded &&
	    clock_us() - registry->orders_written_us >= RECORD_AGAIN_US)
		coordinator_update_orders(registry);
}

/*
 * Tell whether the record still has the token with which this process is or was
 * the coordinator.  Then no other daemon has had the role since: this one had
 * given it up only because the store did not answer.
 */
static bool
token_kept(const registry_t *registry, const Bp__DutyRecord *record)
{
	return coordinator_is_named(registry, record) &&
	    (record->token == registry->fencing_token ||
		(record->token == registry->written_token &&
		    token_is_newest(registry, record->token)));
}

/*
 * Handle the coordinator record, read because the pool wants to change a
 * primary, or to resume the role.  The coordinator, also one that has given the
 * role up without an answer of the store, only verifies that the record still
 * has its token.  Any other daemon takes over the role with a higher token, if
 * the pool wants it, unless the token has changed since that daemon last read
 * it, so that a new coordinator has time to act.  A restarted daemon that the
 * record names takes over at once.  A record that cannot be read is replaced by
 * the one that wrote the last.
 */
static void
on_coordinator_read(void *context, const object_store_response_t *response)
{
	registry_t *registry = context;
	object_store_status_t status =
	    store_response_status(registry, response);
	arena_t *arena = arena_new();
	Bp__DutyRecord *record = coordinator_record(registry, response, arena);
	uint64_t known_token = registry->coordinator_token;
	bool wanted = registry->role_wanted;

	registry->coordinator_call_pending = registry->role_wanted = false;
	coordinator_note_record(registry, status, response, record);
	if (status == OBJECT_STORE_NOT_FOUND) {
		restore_forget(registry);
		coordinator_write(registry, 0, 0);
	} else if (status == OBJECT_STORE_OK && token_kept(registry, record)) {
		registry->fencing_token = record->token;
		registry->coordinator_revision = response->list[0].revision;
		coordinator_send_changed(registry, true);
		if (orders_recorded(registry, record))
			orders_report(
			    registry, record, registry->coordinator_sent_us);
		else
			coordinator_update_orders(registry);
	} else if (status == OBJECT_STORE_OK && record != NULL &&
	    (coordinator_is_named(registry, record) ||
		(wanted && record->token == known_token))) {
		orders_take(registry, record);
		coordinator_write(
		    registry, response->list[0].revision, record->token);
	} else if (status != OBJECT_STORE_OK ||
	    !coordinator_record_unreadable(response, record) ||
	    !restore_begin(registry, response->list[0].revision)) {
		send_denied(registry, status);
	}
	arena_free(arena);
}

/*
 * Read the coordinator record, unless it is being read or written.
 */
static void
read_record(registry_t *registry)
{
	if (registry->coordinator_call_pending)
		return;
	registry->coordinator_call_pending = true;
	registry->coordinator_sent_us = clock_us();
	registry->proxy->objects->get(registry->objects, OBJECT_COORDINATOR,
	    COORDINATOR_OBJECT_NAME, on_coordinator_read, registry);
}

/*
 * Read the coordinator record, to take the role or to verify it.
 */
void
coordinator_read(registry_t *registry)
{
	registry->role_wanted = true;
	read_record(registry);
}

/*
 * Read the coordinator record, since the store answers again: if this process
 * has given up the role without an answer and may still be named in it, or if
 * it is the coordinator and takes the store to be away.
 */
void
coordinator_resume(registry_t *registry)
{
	if (registry->fencing_token != 0 ? registry->away_told
					 : registry->written_token != 0 &&
		    token_is_newest(registry, registry->written_token))
		read_record(registry);
}

/*
 * Handle DutyWanted: the pool wants to change a primary, or to verify that
 * this daemon is still the coordinator.
 */
void
coordinator_check(void *context, msg_t *msg)
{
	msg_free(msg);
	coordinator_read(context);
}

/*
 * Handle the return of the store from an older copy, where this daemon may not
 * be the coordinator, or with an older token: give up the role and the
 * attempts, and take it again with a new token if the record names this daemon.
 */
void
coordinator_store_restored(registry_t *registry)
{
	bool held = registry->fencing_token != 0;
	Bp__AttemptsVoid attempts_void = BP__ATTEMPTS_VOID__INIT;

	registry->coordinator_revision = registry->coordinator_token = 0;
	restore_store_returned(registry);
	attempts_void.era = registry->store_era;
	task_send(registry->proxy->pool, registry->task,
	    msg_copy(&attempts_void.base));
	if (!held)
		return;
	coordinator_send_changed(registry, false);
	coordinator_read(registry);
}

/*
 * Take the coordinator role if the record does not exist yet or names this
 * daemon.
 */
void
coordinator_claim(registry_t *registry)
{
	coordinator_write(registry, 0, 0);
}
