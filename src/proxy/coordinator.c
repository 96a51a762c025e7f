#include "registry.h"

#include "decide/decide.h"
#include "event.pb-c.h"

#include <string.h>

/*
 * The coordinator role and promotion orders.  At most one daemon at a time may
 * order changes of primary: the coordinator, which is named in an object in
 * the platform's store.  Each new coordinator increases the fencing token in
 * this record.  Orders carry the token, and the platform refuses those with an
 * older one.  Each order is recorded there before it is sent (orders.c), and
 * sent once the servers have said that they hold their promises still.  The
 * store, the messages and the log call the role the duty.
 */

/*
 * The first order under a new token is sent FIRST_ORDER_DELAY_US after most
 * daemons were told of the token.  While the store is unreachable, an order is
 * sent only if most daemons confirm the token within CONFIRM_TIMEOUT_MS.
 * Therefore the previous coordinator either learns of the new token before it
 * sends an order, or its order reaches the platform before the new
 * coordinator's first one.
 */

/*
 * Number of writes of an order that get no answer before the order is given up.
 * None is awaited for longer than COORDINATOR_CHECK_MAX_AGE_US.
 */
#define ORDER_WRITES_MAX 4

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
 * Parse the coordinator record in a response, and complete its token if the
 * store has just created it.  Returns NULL if there is none.
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
	}
	return record;
}

/*
 * Tell whether the record names this daemon, or a previous process of it, as
 * the coordinator.
 */
static bool
names_this_daemon(const registry_t *registry, const Bp__DutyRecord *record)
{
	return record != NULL &&
	    strcmp(record->holder, registry->proxy->settings->name) == 0;
}

/*
 * Tell whether a response has a coordinator record that cannot be read.
 */
static bool
record_unreadable(
    const object_store_response_t *response, const Bp__DutyRecord *record)
{
	return response->count == 1 && record == NULL;
}

/*
 * Note the token of a record that was read and, if it names this daemon, the
 * revision for its next write.
 */
static void
note_coordinator_record(registry_t *registry, object_store_status_t status,
    const object_store_response_t *response, const Bp__DutyRecord *record)
{
	if (status == OBJECT_STORE_NO_RESPONSE)
		return;
	if (names_this_daemon(registry, record))
		registry->coordinator_revision = response->list[0].revision;
	if (record == NULL)
		return;
	registry->coordinator_token = record->token;
	registry->highest_token = MAX(registry->highest_token, record->token);
	if (!names_this_daemon(registry, record) ||
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
	bool held_here = names_this_daemon(registry, record);
	bool first = registry->highest_token == 0 &&
	    registry->store_era <= STORE_ERA_FIRST;

	registry->coordinator_call_pending = false;
	note_coordinator_record(registry, status, response, record);
	if (record != NULL)
		orders_report_token(registry, record);
	if (status == OBJECT_STORE_OK && held_here &&
	    token_is_newest(registry, record->token)) {
		registry->fencing_token = record->token;
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
static void
put_coordinator_record(registry_t *registry, uint64_t revision, uint64_t token,
    object_store_cb callback, void *context)
{
	arena_t *arena = arena_new();
	Bp__DutyRecord record = BP__DUTY_RECORD__INIT;

	record.holder = registry->proxy->settings->name;
	record.token = token;
	record.has_created = record.created = revision == 0;
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
	put_coordinator_record(registry, revision,
	    fencing_token_next(registry->store_era,
		MAX(recorded_token, registry->highest_token), revision),
	    on_coordinator_written, registry);
}

static void read_coordinator(registry_t *);
static void write_noted_orders(registry_t *);

/*
 * Handle the response to a write of noted or withdrawn orders.  It is repeated
 * if the store did not answer, or if another write of this daemon came first.
 */
static void
on_orders_updated(void *context, const object_store_response_t *response)
{
	registry_t *registry = context;
	object_store_status_t status =
	    store_response_status(registry, response);
	arena_t *arena = arena_new();
	Bp__DutyRecord *record = coordinator_record(registry, response, arena);

	note_coordinator_record(registry, status, response, record);
	registry->orders_updating = false;
	if (status == OBJECT_STORE_CONFLICT &&
	    !names_this_daemon(registry, record))
		registry->orders_changed = registry->orders_unrecorded = false;
	else if (status == OBJECT_STORE_OK)
		registry->orders_unrecorded = registry->orders_changed;
	if (status == OBJECT_STORE_OK)
		orders_report(registry, record, registry->orders_written_us);
	if (status == OBJECT_STORE_CONFLICT &&
	    record_unreadable(response, record))
		read_coordinator(registry);
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
	put_coordinator_record(registry, registry->coordinator_revision,
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
static void
update_recorded_orders(registry_t *registry)
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
		update_recorded_orders(registry);
}

/*
 * Handle the coordinator record, read because the pool wants to change a
 * primary.  The coordinator only verifies that the record still has its token.
 * Any other daemon takes over the role with a higher token, unless the token
 * has changed since that daemon last read it, so that a new coordinator has
 * time to act.  A restarted daemon that the record names takes over at once.
 * A record that cannot be read is replaced by the one that wrote the last.
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

	registry->coordinator_call_pending = false;
	note_coordinator_record(registry, status, response, record);
	if (status == OBJECT_STORE_NOT_FOUND) {
		restore_forget(registry);
		coordinator_write(registry, 0, 0);
	} else if (status == OBJECT_STORE_OK &&
	    names_this_daemon(registry, record) &&
	    record->token == registry->fencing_token) {
		coordinator_send_changed(registry, true);
		if (!orders_recorded(registry, record))
			update_recorded_orders(registry);
	} else if (status == OBJECT_STORE_OK && record != NULL &&
	    (names_this_daemon(registry, record) ||
		record->token == known_token)) {
		orders_take(registry, record);
		coordinator_write(
		    registry, response->list[0].revision, record->token);
	} else if (status != OBJECT_STORE_OK ||
	    !record_unreadable(response, record) ||
	    !restore_begin(registry, response->list[0].revision)) {
		send_denied(registry, status);
	}
	arena_free(arena);
}

/*
 * Read the coordinator record, to take the role or to verify it.
 */
static void
read_coordinator(registry_t *registry)
{
	if (registry->coordinator_call_pending)
		return;
	registry->coordinator_call_pending = true;
	registry->proxy->objects->get(registry->objects, OBJECT_COORDINATOR,
	    COORDINATOR_OBJECT_NAME, on_coordinator_read, registry);
}

/*
 * Handle DutyWanted: the pool wants to change a primary, or to verify that
 * this daemon is still the coordinator.
 */
void
coordinator_check(void *context, msg_t *msg)
{
	msg_free(msg);
	read_coordinator(context);
}

/* A promotion order that is not sent yet, or has no response yet. */
typedef struct order {
	registry_t *registry;
	msg_t *msg;     /* the PromotionWanted message */
	GSource *timer; /* delay of a first order, or confirmation timeout */
	bool cancelled; /* the pool does not want it any more */
	uint64_t token; /* fencing token under which it was decided */
	bool noted;     /* it is among the orders to be recorded */
	bool recording; /* it is sent when a write with it was confirmed */
	bool written;   /* the write that is under way has it */
	uint32_t unanswered; /* writes that had it and got no answer in time */
	bool checking;       /* the pool checks the promises for it */
	bool promised;       /* it has found that they are held */
	int64_t put_us;      /* time of the write that recorded it */
	int64_t asked_us;    /* time of the request to confirm the token */
} order_t;

/*
 * Return the message that requested an order.
 */
static const Bp__PromotionWanted *
order_request(const order_t *order)
{
	return (const Bp__PromotionWanted *)order->msg->body;
}

/*
 * Free an order.
 */
static void
order_free(gpointer p)
{
	order_t *order = p;

	source_clear(&order->timer);
	msg_free(order->msg);
	g_free(order);
}

/*
 * Tell the daemons of the last listing that an order they were told of is not
 * sent, or was refused.
 */
static void
tell_withdrawn(const order_t *order)
{
	registry_t *registry = order->registry;
	msg_t *msg = msg_new(&bp__revoke_wanted__descriptor);
	Bp__RevokeWanted *request = (Bp__RevokeWanted *)msg->body;

	request->group = arena_strdup(msg->arena, order_request(order)->group);
	request->token = order->token;
	request->has_confirms = request->confirms = 1;
	revoke_from_last_listed(registry, msg);
}

/*
 * Log the outcome of an order, report it to the pool, and free the order.  An
 * order without a response counts as accepted, since it may take effect.
 */
static void
order_finish(order_t *order, Bp__PromotionAnswer answer)
{
	registry_t *registry = order->registry;
	const Bp__PromotionWanted *wanted = order_request(order);
	msg_t *msg = msg_new(&bp__promotion_ended__descriptor);
	Bp__PromotionEnded *ended = (Bp__PromotionEnded *)msg->body;
	Bp__PromotionAnswered answered = BP__PROMOTION_ANSWERED__INIT;

	answered.group = wanted->group;
	answered.server = wanted->server;
	answered.term = wanted->term;
	answered.answer = answer;
	log_event(G_LOG_LEVEL_MESSAGE, &answered.base);
	if (answer == BP__PROMOTION_ANSWER__ORDER_ACCEPTED)
		orders_accepted(registry, wanted);
	else if (answer != BP__PROMOTION_ANSWER__ORDER_UNANSWERED &&
	    order->noted &&
	    orders_withdraw(registry, wanted,
		answer == BP__PROMOTION_ANSWER__ORDER_REFUSED)) {
		update_recorded_orders(registry);
		if (orders_announced(registry, wanted->group))
			tell_withdrawn(order);
	}
	ended->group = arena_strdup(msg->arena, wanted->group);
	ended->server = arena_strdup(msg->arena, wanted->server);
	ended->term = wanted->term;
	ended->accepted = answer == BP__PROMOTION_ANSWER__ORDER_ACCEPTED ||
	    answer == BP__PROMOTION_ANSWER__ORDER_UNANSWERED;
	task_send(registry->proxy->pool, registry->task, msg);
	registry->pending_orders =
	    g_list_remove(registry->pending_orders, order);
	order_free(order);
}

/*
 * Handle the platform's response to an order, or the lack of one.
 */
static void
on_promote_response(void *context, promoter_status_t status)
{
	order_finish(context,
	    status == PROMOTER_ACCEPTED ? BP__PROMOTION_ANSWER__ORDER_ACCEPTED
		: status == PROMOTER_REFUSED
		? BP__PROMOTION_ANSWER__ORDER_REFUSED
		: BP__PROMOTION_ANSWER__ORDER_UNANSWERED);
}

/*
 * Tell whether an order was decided too long ago or is not wanted any more: the
 * group may have a newer primary since, on which daemons hold leases.
 */
static bool
order_outdated(const order_t *order)
{
	return order->cancelled ||
	    clock_us() - (int64_t)order_request(order)->decided_us >
	    ORDER_MAX_AGE_US;
}

/*
 * End an order that is outdated, or that was decided under another fencing
 * token than the present one.  Returns whether it has ended.
 */
static bool
order_end_if_void(order_t *order)
{
	if (order_outdated(order))
		order_finish(order, BP__PROMOTION_ANSWER__ORDER_OUTDATED);
	else if (order->token != order->registry->fencing_token)
		order_finish(order, BP__PROMOTION_ANSWER__ORDER_WITHHELD);
	else
		return false;
	return true;
}

/*
 * Note an order, to be recorded.
 */
static void
order_note(order_t *order)
{
	order->noted = true;
	orders_note(order->registry, order_request(order));
}

static void write_orders(registry_t *);

/*
 * Send an order to the platform, unless it is outdated.
 */
static void
order_send(order_t *order)
{
	registry_t *registry = order->registry;
	const Bp__PromotionWanted *wanted = order_request(order);

	source_clear(&order->timer);
	if (order_end_if_void(order))
		return;
	registry->order_sent = true;
	orders_sent(registry, wanted);
	registry->proxy->promoter->promote(registry->promoter, wanted->group,
	    wanted->server, registry->proxy->settings->name,
	    registry->fencing_token, on_promote_response, order);
}

/*
 * Drop an order because another daemon is the coordinator, or may be.
 */
static void
order_withhold(order_t *order)
{
	coordinator_send_changed(order->registry, false);
	order_finish(order, BP__PROMOTION_ANSWER__ORDER_WITHHELD);
}

/*
 * Drop an order because the promises for it were not shown to be held in time.
 */
static gboolean
on_promises_timeout(gpointer context)
{
	order_t *order = context;
	registry_t *registry = order->registry;

	order_finish(order, BP__PROMOTION_ANSWER__ORDER_OUTDATED);
	write_orders(registry);
	return G_SOURCE_REMOVE;
}

/*
 * Have the pool check that the promises for an order, which is recorded now,
 * are held still.  Those that a server had forgotten, as it has started again,
 * do not keep a daemon that was not told of the attempt, and has read the
 * record before, from a lease on the primary that is replaced.
 */
static void
order_check_promises(order_t *order)
{
	registry_t *registry = order->registry;
	const Bp__PromotionWanted *wanted = order_request(order);
	int64_t left_us =
	    (int64_t)wanted->decided_us + ORDER_MAX_AGE_US - clock_us();
	Bp__PromisesWanted check = BP__PROMISES_WANTED__INIT;

	order->checking = true;
	order->timer = task_timer(registry->task,
	    (uint32_t)(MAX(left_us, 0) / US_PER_MS) + 1, on_promises_timeout,
	    order);
	check.group = wanted->group;
	check.term = wanted->term;
	task_send(registry->proxy->pool, registry->task, msg_copy(&check.base));
}

/*
 * Handle that an order is recorded.  After its promises were checked it may
 * have been recorded once more, to verify the role.
 */
static void
order_recorded(order_t *order)
{
	order->put_us = order->registry->orders_put_us;
	if (order->promised)
		order_send(order);
	else if (!order_end_if_void(order))
		order_check_promises(order);
}

/* What the answer to a write of the record with orders shows. */
typedef enum orders_write {
	ORDERS_WRITE_CONFIRMED, /* the record has the orders */
	ORDERS_WRITE_AGAIN,     /* this daemon is the coordinator still */
	ORDERS_WRITE_UNKNOWN,   /* nothing, as there was none in time */
	ORDERS_WRITE_DENIED, /* another daemon is the coordinator, or may be */
} orders_write_t;

/*
 * Handle that a write which had an order got no answer in time.  It may have
 * been carried out, or may be later.  The order is written again, which shows
 * who is the coordinator, or withdrawn after ORDER_WRITES_MAX writes.
 */
static void
order_unanswered(order_t *order)
{
	if (++order->unanswered == ORDER_WRITES_MAX)
		order_finish(order, BP__PROMOTION_ANSWER__ORDER_WITHHELD);
	else
		order->recording = true;
}

/*
 * Handle the orders of a write of the record that has ended: check the promises
 * for them or send them, have them written again, or drop them.
 */
static void
finish_written_orders(registry_t *registry, orders_write_t result)
{
	GList *l, *previous;

	for (l = g_list_last(registry->pending_orders); l != NULL;
	     l = previous) {
		order_t *order = l->data;

		previous = l->prev;
		if (!order->written || result == ORDERS_WRITE_AGAIN)
			continue;
		order->written = order->recording = false;
		if (result == ORDERS_WRITE_CONFIRMED)
			order_recorded(order);
		else if (result == ORDERS_WRITE_UNKNOWN)
			order_unanswered(order);
		else
			order_withhold(order);
	}
}

/*
 * Return what the answer to a write of the record with orders shows.  Its
 * success shows that this daemon is still the coordinator, and a conflict with
 * another write of this daemon does too; then, or if the answer took too long,
 * the orders are written again.
 */
static orders_write_t
orders_write_result(const registry_t *registry, object_store_status_t status,
    const Bp__DutyRecord *record)
{
	bool held_here = registry->fencing_token != 0 &&
	    names_this_daemon(registry, record) &&
	    record->token == registry->fencing_token;

	if (status == OBJECT_STORE_NO_RESPONSE && registry->fencing_token != 0)
		return ORDERS_WRITE_UNKNOWN;
	if (!held_here ||
	    (status != OBJECT_STORE_OK && status != OBJECT_STORE_CONFLICT))
		return ORDERS_WRITE_DENIED;
	return status == OBJECT_STORE_CONFLICT ||
		clock_us() - registry->orders_put_us >
		    COORDINATOR_CHECK_MAX_AGE_US
	    ? ORDERS_WRITE_AGAIN
	    : ORDERS_WRITE_CONFIRMED;
}

/* A write of the record with orders. */
typedef struct orders_put {
	registry_t *registry;
	uint64_t number; /* of the write */
} orders_put_t;

/*
 * Handle the response to a write of the coordinator record with orders.  It
 * shows nothing if it comes after the time for it: another write has followed,
 * or the orders were withdrawn.
 */
static void
on_orders_written(void *context, const object_store_response_t *response)
{
	orders_put_t *put = context;
	registry_t *registry = put->registry;
	object_store_status_t status =
	    store_response_status(registry, response);
	bool late = registry->orders_put_timer == NULL ||
	    put->number != registry->orders_put_number;
	arena_t *arena;
	Bp__DutyRecord *record;
	orders_write_t result;
	bool unreadable;

	g_free(put);
	if (late)
		return;
	arena = arena_new();
	record = coordinator_record(registry, response, arena);
	result = orders_write_result(registry, status, record);
	unreadable = record_unreadable(response, record);
	source_clear(&registry->orders_put_timer);
	note_coordinator_record(registry, status, response, record);
	if (status == OBJECT_STORE_OK && result != ORDERS_WRITE_DENIED)
		orders_report(registry, record, registry->orders_put_us);
	arena_free(arena);
	finish_written_orders(registry, result);
	write_orders(registry);
	if (unreadable)
		read_coordinator(registry);
}

/*
 * Handle that a write of the record with orders got no answer in time.
 */
static gboolean
on_orders_put_timeout(gpointer context)
{
	registry_t *registry = context;

	source_clear(&registry->orders_put_timer);
	finish_written_orders(registry, ORDERS_WRITE_UNKNOWN);
	write_orders(registry);
	return G_SOURCE_REMOVE;
}

/*
 * Begin a write of the record with the noted orders that are to be sent.
 */
static void
put_orders(registry_t *registry)
{
	orders_put_t *put = g_new0(orders_put_t, 1);

	put->registry = registry;
	put->number = ++registry->orders_put_number;
	registry->orders_put_us = clock_us();
	registry->orders_put_timer =
	    task_timer(registry->task, COORDINATOR_CHECK_MAX_AGE_US / US_PER_MS,
		on_orders_put_timeout, registry);
	put_coordinator_record(registry, registry->coordinator_revision,
	    registry->fencing_token, on_orders_written, put);
}

/*
 * Write the coordinator record with all orders that are to be recorded before
 * they are sent.  As writes at the same time would conflict, only one is under
 * way; orders that come meanwhile wait for the next.  The record has one
 * attempt of each group, so a later order of the group waits, too, also while
 * the promises for the earlier one are checked.
 */
static void
write_orders(registry_t *registry)
{
	GHashTable *groups;
	GList *l, *previous;
	bool any = false;

	if (registry->orders_put_timer != NULL)
		return;
	groups = g_hash_table_new(g_str_hash, g_str_equal);
	/* the oldest order first */
	for (l = g_list_last(registry->pending_orders); l != NULL;
	     l = previous) {
		order_t *order = l->data;

		previous = l->prev;
		if (order->checking)
			g_hash_table_add(groups, order_request(order)->group);
		if (!order->recording || order_end_if_void(order))
			continue;
		order->written =
		    g_hash_table_add(groups, order_request(order)->group);
		if (order->written)
			order_note(order);
		any |= order->written;
	}
	g_hash_table_unref(groups);
	if (any)
		put_orders(registry);
}

/*
 * Record an order in the coordinator record before it is sent, unless another
 * daemon has become the coordinator.
 */
static gboolean
order_record(gpointer context)
{
	order_t *order = context;

	source_clear(&order->timer);
	order->recording = true;
	write_orders(order->registry);
	return G_SOURCE_REMOVE;
}

/*
 * Handle PromisesChecked: send an order if the promises for it are held, or
 * record it again first if it was recorded too long ago.
 */
void
promises_checked(void *context, msg_t *msg)
{
	const Bp__PromisesChecked *checked =
	    (const Bp__PromisesChecked *)msg->body;
	registry_t *registry = context;
	GList *l;

	for (l = registry->pending_orders; l != NULL; l = l->next) {
		order_t *order = l->data;

		if (!order->checking ||
		    order_request(order)->term != checked->term ||
		    strcmp(order_request(order)->group, checked->group) != 0)
			continue;
		source_clear(&order->timer);
		order->checking = false;
		order->promised = checked->held;
		if (!checked->held)
			order_finish(
			    order, BP__PROMOTION_ANSWER__ORDER_UNPROMISED);
		else if (clock_us() - order->put_us >
		    COORDINATOR_CHECK_MAX_AGE_US)
			order->recording = true;
		else
			order_send(order);
		break;
	}
	write_orders(registry);
	msg_free(msg);
}

/*
 * Drop an order because too few daemons confirmed the token in time.
 */
static gboolean
on_confirm_timeout(gpointer context)
{
	order_t *order = context;

	source_clear(&order->timer);
	order_finish(order, BP__PROMOTION_ANSWER__ORDER_UNCONFIRMED);
	return G_SOURCE_REMOVE;
}

/*
 * Tell the daemons of the last successful listing of the order, and ask whether
 * they know of a newer coordinator.  While the store is unreachable, this is
 * the only way to learn of one, and without the store nobody else would know of
 * the order if this process ended.
 */
static void
order_ask_daemons(order_t *order)
{
	registry_t *registry = order->registry;
	const Bp__PromotionWanted *wanted = order_request(order);
	msg_t *msg = msg_new(&bp__revoke_wanted__descriptor);
	Bp__RevokeWanted *request = (Bp__RevokeWanted *)msg->body;

	order_note(order);
	request->group = arena_strdup(msg->arena, wanted->group);
	request->term = wanted->term;
	request->token = registry->fencing_token;
	request->has_confirms = request->confirms = 1;
	order->asked_us = clock_us();
	order->timer = task_timer(
	    registry->task, CONFIRM_TIMEOUT_MS, on_confirm_timeout, order);
	revoke_from_last_listed(registry, msg);
}

/*
 * Send an order that the store cannot record now.  It is recorded when the
 * store answers again.
 */
static void
order_send_unrecorded(order_t *order)
{
	registry_t *registry = order->registry;

	coordinator_note_unrecorded(registry);
	orders_report_noted(registry);
	order_send(order);
}

/*
 * Handle RevokeEnded: send the order if a majority of the daemons, or all, have
 * confirmed this daemon's token; drop it if one of them knows a newer token, a
 * primary newer than those that the order replaces, or an order that was not
 * known when this one was decided.  The replacement of a record that cannot be
 * read also waits for it.
 */
void
order_confirmed(void *context, msg_t *msg)
{
	const Bp__RevokeEnded *ended = (const Bp__RevokeEnded *)msg->body;
	registry_t *registry = context;
	GList *l;

	restore_confirmed(registry, ended);
	for (l = registry->pending_orders; l != NULL; l = l->next) {
		order_t *order = l->data;

		if (order->timer == NULL || order->checking ||
		    order_request(order)->term != ended->term ||
		    strcmp(order_request(order)->group, ended->group) != 0)
			continue;
		if (ended->state == BP__REVOKE_STATE__OUTDATED ||
		    registry->fencing_token == 0)
			order_withhold(order);
		else if (ended->newest_term >
			order_request(order)->replaced_term ||
		    (ended->order != NULL &&
			orders_learn(registry, ended->order)))
			order_finish(
			    order, BP__PROMOTION_ANSWER__ORDER_OUTDATED);
		else if (clock_us() - order->asked_us >
		    CONFIRM_TIMEOUT_MS * US_PER_MS)
			/* suspended; the timer has not run yet */
			order_finish(
			    order, BP__PROMOTION_ANSWER__ORDER_UNCONFIRMED);
		else
			order_send_unrecorded(order);
		break;
	}
	msg_free(msg);
}

/*
 * Tell whether most daemons were told of the present token before an order was
 * decided.  The attempt may have begun under an earlier one.
 */
static bool
token_was_told(const registry_t *registry, const order_t *order)
{
	return order_request(order)->heard_token == registry->fencing_token;
}

/*
 * Handle PromotionWanted: the pool wants a server to become primary.  While the
 * store is unreachable, only a coordinator that has already sent an order under
 * its token may send another, and only for an attempt with standing promises.
 */
void
promotion_wanted(void *context, msg_t *msg)
{
	registry_t *registry = context;
	order_t *order = g_new0(order_t, 1);
	int64_t waited_us;

	order->registry = registry;
	order->msg = msg;
	order->token = registry->fencing_token;
	registry->pending_orders =
	    g_list_prepend(registry->pending_orders, order);
	if (registry->promoter == NULL || registry->fencing_token == 0 ||
	    !token_was_told(registry, order)) {
		order_finish(order, BP__PROMOTION_ANSWER__ORDER_WITHHELD);
		return;
	}
	waited_us = clock_us() - (int64_t)order_request(order)->heard_us;
	if (registry->daemons_list_failed &&
	    (!registry->order_sent ||
		attempt_term_replaces(order_request(order)->term) == 0))
		order_finish(order, BP__PROMOTION_ANSWER__ORDER_WITHHELD);
	else if (registry->daemons_list_failed)
		order_ask_daemons(order);
	else if (!registry->order_sent && waited_us < FIRST_ORDER_DELAY_US)
		order->timer = task_timer(registry->task,
		    (uint32_t)((FIRST_ORDER_DELAY_US - waited_us) / US_PER_MS) +
			1,
		    order_record, order);
	else
		order_record(order);
}

/*
 * Handle OrderLearned: record an order of a former coordinator.  Orders for
 * earlier attempts that have not been sent yet are not sent: they were decided
 * without it.
 */
void
order_learned(void *context, msg_t *msg)
{
	const Bp__RecordedOrder *learned =
	    ((const Bp__OrderLearned *)msg->body)->order;
	registry_t *registry = context;
	GList *l;

	for (l = registry->pending_orders; l != NULL; l = l->next) {
		order_t *order = l->data;

		if (order_request(order)->term < learned->attempt_term &&
		    strcmp(order_request(order)->group, learned->group) == 0)
			order->cancelled = true;
	}
	if (orders_learn(registry, learned))
		update_recorded_orders(registry);
	msg_free(msg);
}

/*
 * Handle PromotionCancelled: the pool does not want an order any more that has
 * not been sent yet.
 */
void
promotion_cancelled(void *context, msg_t *msg)
{
	const Bp__PromotionCancelled *cancelled =
	    (const Bp__PromotionCancelled *)msg->body;
	registry_t *registry = context;
	GList *l;

	for (l = registry->pending_orders; l != NULL; l = l->next) {
		order_t *order = l->data;

		if (order_request(order)->term == cancelled->term &&
		    strcmp(order_request(order)->group, cancelled->group) == 0)
			order->cancelled = true;
	}
	msg_free(msg);
}

/*
 * Handle the return of the store from an older copy, where this daemon may not
 * be the coordinator, or with an older token: give up the role, the attempts
 * and the orders that were not sent, and take it again with a new token if the
 * record names this daemon.
 */
void
coordinator_store_restored(registry_t *registry)
{
	bool held = registry->fencing_token != 0;
	GList *l;

	registry->coordinator_revision = registry->coordinator_token = 0;
	restore_store_returned(registry);
	task_send(registry->proxy->pool, registry->task,
	    msg_new(&bp__attempts_void__descriptor));
	if (!held)
		return;
	for (l = registry->pending_orders; l != NULL; l = l->next)
		((order_t *)l->data)->cancelled = true;
	coordinator_send_changed(registry, false);
	read_coordinator(registry);
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

/*
 * Free the pending orders, since the task stops.
 */
void
coordinator_stop(registry_t *registry)
{
	g_list_free_full(registry->pending_orders, order_free);
	registry->pending_orders = NULL;
	source_clear(&registry->orders_put_timer);
	restore_stop(registry);
}
