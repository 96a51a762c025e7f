#include "registry.h"

#include "event.pb-c.h"

#include <string.h>

/* The duty to order changes of primary, and the orders. */

/* Our record of who has the duty. */
#define DUTY_NAME "promotion"

/*
 * The first order under a new token leaves this long after most daemons were
 * told of it; one that is given without the store leaves within CONFIRM_MS of
 * the question to most daemons.  So whoever had the duty before either learns
 * of the new token, or its order comes first.
 */
#define FIRST_ORDER_US (300 * US_PER_MS)
#define CONFIRM_MS 200

/*
 * Tell the pool whether this daemon has the duty.
 */
static void
tell_duty(registry_t *registry, bool held)
{
	msg_t *msg = msg_new(&bp__duty_changed__descriptor);
	Bp__DutyChanged *changed = (Bp__DutyChanged *)msg->body;

	if (!held)
		registry->token = 0;
	changed->held = held;
	changed->token = registry->token;
	task_send(registry->proxy->pool, registry->task, msg);
}

/*
 * The record that an answer holds, or NULL.
 */
static Bp__DutyRecord *
record_of(
    const registry_t *registry, const objects_answer_t *answer, arena_t *arena)
{
	return answer->count != 1
	    ? NULL
	    : registry->proxy->objects->read_duty(&answer->list[0], arena);
}

/*
 * Whether the record says that this very start of the daemon is the holder.
 */
static bool
is_ours(const registry_t *registry, const Bp__DutyRecord *record)
{
	return record != NULL &&
	    strcmp(record->holder, registry->proxy->settings->name) == 0;
}

static void take_duty(registry_t *, uint64_t revision, uint64_t token);

/*
 * The duty was written, or was not.  A record that names this daemon already
 * is of an earlier start, or of a call whose answer was lost: in both cases
 * orders may be under way with its token, so a newer one is taken.
 */
static void
on_taken(void *context, const objects_answer_t *answer)
{
	registry_t *registry = context;
	arena_t *arena = arena_new();
	Bp__DutyRecord *record = record_of(registry, answer, arena);
	bool ours = is_ours(registry, record);

	registry->duty_open = false;
	if (answer->count == 1)
		registry->duty_seen = answer->list[0].revision;
	if (answer->status == OBJECTS_OK && ours) {
		registry->token = record->token;
		registry->ordered = record->token == 1;
		tell_duty(registry, true);
	} else if (answer->status == OBJECTS_CONFLICT && ours) {
		take_duty(
		    registry, answer->list[0].revision, record->token + 1);
	} else {
		tell_duty(registry, false);
	}
	arena_free(arena);
}

/*
 * Write the duty's record with this daemon as the holder.
 */
static void
take_duty(registry_t *registry, uint64_t revision, uint64_t token)
{
	Bp__DutyRecord record = BP__DUTY_RECORD__INIT;

	record.holder = registry->proxy->settings->name;
	record.token = token;
	registry->duty_open = true;
	registry->proxy->objects->put_duty(registry->objects, DUTY_NAME,
	    revision, &record, on_taken, registry);
}

/*
 * The duty's record was read because a change of primary is due: take it,
 * unless another daemon has taken it since the record was read last; that one
 * is given time.  A daemon that was restarted takes it anew, with a higher
 * token.  The holder reads it to be sure that it still is.
 */
static void
on_duty_read(void *context, const objects_answer_t *answer)
{
	registry_t *registry = context;
	arena_t *arena = arena_new();
	Bp__DutyRecord *record = record_of(registry, answer, arena);

	registry->duty_open = false;
	if (answer->status == OBJECTS_MISSING) {
		take_duty(registry, 0, 1);
	} else if (answer->status == OBJECTS_OK && is_ours(registry, record) &&
	    record->token == registry->token) {
		tell_duty(registry, true);
	} else if (answer->status == OBJECTS_OK && record != NULL &&
	    (is_ours(registry, record) ||
		answer->list[0].revision == registry->duty_seen)) {
		take_duty(
		    registry, answer->list[0].revision, record->token + 1);
	} else {
		if (answer->count == 1)
			registry->duty_seen = answer->list[0].revision;
		tell_duty(registry, false);
	}
	arena_free(arena);
}

/*
 * The pool wants to change a primary, or to be sure that it still may.
 */
void
duty_wanted(void *context, msg_t *msg)
{
	registry_t *registry = context;

	msg_free(msg);
	if (registry->duty_open)
		return;
	registry->duty_open = true;
	registry->proxy->objects->get(registry->objects, OBJECTS_DUTIES,
	    DUTY_NAME, on_duty_read, registry);
}

/* An order that is being given. */
typedef struct order {
	registry_t *registry;
	msg_t *msg;       /* PromotionWanted */
	GSource *timer;   /* while it waits */
	int64_t asked_us; /* the duty's record was asked for */
} order_t;

/*
 * What an order is to do.
 */
static const Bp__PromotionWanted *
wanted_of(const order_t *order)
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

	source_drop(&order->timer);
	msg_free(order->msg);
	g_free(order);
}

/*
 * Log how an order ended, tell the pool, and free it.  One without an answer
 * may come into effect.
 */
static void
order_end(order_t *order, Bp__PromotionAnswer answer)
{
	registry_t *registry = order->registry;
	const Bp__PromotionWanted *wanted = wanted_of(order);
	msg_t *msg = msg_new(&bp__promotion_ended__descriptor);
	Bp__PromotionEnded *ended = (Bp__PromotionEnded *)msg->body;
	Bp__PromotionAnswered answered = BP__PROMOTION_ANSWERED__INIT;

	answered.group = wanted->group;
	answered.server = wanted->server;
	answered.term = wanted->term;
	answered.answer = answer;
	log_event(G_LOG_LEVEL_MESSAGE, &answered.base);
	ended->group = arena_strdup(msg->arena, wanted->group);
	ended->server = arena_strdup(msg->arena, wanted->server);
	ended->term = wanted->term;
	ended->accepted = answer == BP__PROMOTION_ANSWER__ORDER_ACCEPTED ||
	    answer == BP__PROMOTION_ANSWER__ORDER_UNANSWERED;
	task_send(registry->proxy->pool, registry->task, msg);
	registry->orders = g_list_remove(registry->orders, order);
	order_free(order);
}

/*
 * The platform has answered an order, or has not.
 */
static void
on_promoted(void *context, promoter_status_t status)
{
	order_end(context,
	    status == PROMOTER_ACCEPTED ? BP__PROMOTION_ANSWER__ORDER_ACCEPTED
		: status == PROMOTER_REFUSED
		? BP__PROMOTION_ANSWER__ORDER_REFUSED
		: BP__PROMOTION_ANSWER__ORDER_UNANSWERED);
}

/*
 * Give an order.
 */
static void
order_give(order_t *order)
{
	registry_t *registry = order->registry;
	const Bp__PromotionWanted *wanted = wanted_of(order);

	source_drop(&order->timer);
	registry->ordered = true;
	registry->proxy->promoter->promote(registry->promoter, wanted->group,
	    wanted->server, registry->proxy->settings->name, registry->token,
	    on_promoted, order);
}

/*
 * The duty is another daemon's by now, or may be.
 */
static void
order_refuse(order_t *order)
{
	tell_duty(order->registry, false);
	order_end(order, BP__PROMOTION_ANSWER__ORDER_WITHHELD);
}

static gboolean order_check(gpointer);

/*
 * The duty's record was read again just before an order.
 */
static void
on_duty_checked(void *context, const objects_answer_t *answer)
{
	order_t *order = context;
	registry_t *registry = order->registry;
	arena_t *arena = arena_new();
	Bp__DutyRecord *record = record_of(registry, answer, arena);
	bool ours = answer->status == OBJECTS_OK && registry->token != 0 &&
	    is_ours(registry, record) && record->token == registry->token;

	arena_free(arena);
	if (ours && clock_us() - order->asked_us > DUTY_CHECKED_US)
		order_check(order);
	else if (ours)
		order_give(order);
	else
		order_refuse(order);
}

/*
 * Read the duty's record before an order.
 */
static gboolean
order_check(gpointer context)
{
	order_t *order = context;
	registry_t *registry = order->registry;

	source_drop(&order->timer);
	order->asked_us = clock_us();
	registry->proxy->objects->get(registry->objects, OBJECTS_DUTIES,
	    DUTY_NAME, on_duty_checked, order);
	return G_SOURCE_REMOVE;
}

/*
 * Too few daemons have answered in time.
 */
static gboolean
on_unconfirmed(gpointer context)
{
	order_t *order = context;

	source_drop(&order->timer);
	order_end(order, BP__PROMOTION_ANSWER__ORDER_UNCONFIRMED);
	return G_SOURCE_REMOVE;
}

/*
 * The store does not answer, and may have given the duty to another daemon:
 * ask the daemons that were listed last whether they know of one.
 */
static void
order_confirm(order_t *order)
{
	registry_t *registry = order->registry;
	const Bp__PromotionWanted *wanted = wanted_of(order);
	msg_t *msg = msg_new(&bp__revoke_wanted__descriptor);
	Bp__RevokeWanted *ask = (Bp__RevokeWanted *)msg->body;

	ask->group = arena_strdup(msg->arena, wanted->group);
	ask->term = wanted->term;
	ask->token = registry->token;
	ask->has_confirms = ask->confirms = 1;
	order->timer =
	    task_timer(registry->task, CONFIRM_MS, on_unconfirmed, order);
	daemons_ask_last(registry, msg);
}

/*
 * How far the daemons have confirmed that an order may be given.
 */
void
order_confirmed(void *context, msg_t *msg)
{
	const Bp__RevokeEnded *ended = (const Bp__RevokeEnded *)msg->body;
	registry_t *registry = context;
	GList *l;

	for (l = registry->orders; l != NULL; l = l->next) {
		order_t *order = l->data;

		if (order->timer == NULL ||
		    wanted_of(order)->term != ended->term ||
		    strcmp(wanted_of(order)->group, ended->group) != 0)
			continue;
		if (ended->state == BP__REVOKE_STATE__OUTDATED ||
		    registry->token == 0)
			order_refuse(order);
		else
			order_give(order);
		break;
	}
	msg_free(msg);
}

/*
 * The pool wants a server to become primary.
 */
void
promotion_wanted(void *context, msg_t *msg)
{
	registry_t *registry = context;
	order_t *order = g_new0(order_t, 1);
	int64_t waited_us;

	order->registry = registry;
	order->msg = msg;
	registry->orders = g_list_prepend(registry->orders, order);
	if (registry->promoter == NULL || registry->token == 0) {
		order_end(order, BP__PROMOTION_ANSWER__ORDER_WITHHELD);
		return;
	}
	waited_us = clock_us() - (int64_t)wanted_of(order)->heard_us;
	if (!registry->ordered && registry->store_lost)
		order_end(order,
		    BP__PROMOTION_ANSWER__ORDER_WITHHELD); /* a new holder needs
							      the store */
	else if (registry->store_lost)
		order_confirm(order);
	else if (!registry->ordered && waited_us < FIRST_ORDER_US)
		order->timer = task_timer(registry->task,
		    (uint32_t)((FIRST_ORDER_US - waited_us) / US_PER_MS) + 1,
		    order_check, order);
	else
		order_check(order);
}

/*
 * Take the duty unless somebody has it.
 */
void
duty_claim(registry_t *registry)
{
	take_duty(registry, 0, 1);
}

/*
 * The task ends.
 */
void
duty_stop(registry_t *registry)
{
	g_list_free_full(registry->orders, order_free);
	registry->orders = NULL;
}
