#include "registry.h"

#include <string.h>

/* The duty to order changes of primary, and the orders. */

#define PART "registry"

/* Our record of who has the duty. */
#define DUTY_NAME "promotion"

/*
 * Between taking the duty over and using it, so that what the holder before
 * had under way is over.
 */
#define TAKEOVER_MS 1000

/* How long ago most daemons must have known of no other holder. */
#define HEARD_US ((TAKEOVER_MS - 100) * US_PER_MS)

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

/*
 * The time after taking the duty over has passed.
 */
static gboolean
on_takeover(gpointer context)
{
	registry_t *registry = context;

	source_drop(&registry->takeover);
	tell_duty(registry, true);
	return G_SOURCE_REMOVE;
}

/*
 * The duty was written, or was not.  An answer that got lost is met by
 * reading the record again when the duty is wanted the next time.
 */
static void
on_taken(void *context, const objects_answer_t *answer)
{
	registry_t *registry = context;
	arena_t *arena = arena_new();
	Bp__DutyRecord *record = record_of(registry, answer, arena);

	registry->duty_open = false;
	if (answer->count == 1)
		registry->duty_seen = answer->list[0].revision;
	if ((answer->status == OBJECTS_OK ||
		answer->status == OBJECTS_CONFLICT) &&
	    is_ours(registry, record)) {
		registry->token = record->token;
		if (record->token == 1)
			tell_duty(registry, true);
		else if (registry->takeover == NULL)
			registry->takeover = task_timer(
			    registry->task, TAKEOVER_MS, on_takeover, registry);
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
 * token.
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
 * The pool wants to change a primary.
 */
void
duty_wanted(void *context, msg_t *msg)
{
	registry_t *registry = context;

	msg_free(msg);
	if (registry->duty_open || registry->takeover != NULL)
		return;
	registry->duty_open = true;
	registry->proxy->objects->get(registry->objects, OBJECTS_DUTIES,
	    DUTY_NAME, on_duty_read, registry);
}

/* An order that is being given. */
typedef struct order {
	registry_t *registry;
	msg_t *msg; /* PromotionWanted */
	int64_t began_us;
} order_t;

/*
 * Tell the pool how an order ended, and free it.
 */
static void
order_end(order_t *order, bool accepted)
{
	registry_t *registry = order->registry;
	const Bp__PromotionWanted *wanted =
	    (const Bp__PromotionWanted *)order->msg->body;
	msg_t *msg = msg_new(&bp__promotion_ended__descriptor);
	Bp__PromotionEnded *ended = (Bp__PromotionEnded *)msg->body;

	ended->group = arena_strdup(msg->arena, wanted->group);
	ended->server = arena_strdup(msg->arena, wanted->server);
	ended->term = wanted->term;
	ended->accepted = accepted;
	task_send(registry->proxy->pool, registry->task, msg);
	msg_free(order->msg);
	g_free(order);
}

/*
 * The platform has answered an order.  One without an answer may come into
 * effect.
 */
static void
on_promoted(void *context, promoter_status_t status)
{
	order_t *order = context;
	const Bp__PromotionWanted *wanted =
	    (const Bp__PromotionWanted *)order->msg->body;

	LOG_PART(PART, G_LOG_LEVEL_MESSAGE,
	    "The order to promote %s of %s: %s.", wanted->server, wanted->group,
	    status == PROMOTER_ACCEPTED      ? "accepted"
		: status == PROMOTER_REFUSED ? "refused"
					     : "no answer");
	order_end(order, status != PROMOTER_REFUSED);
}

/*
 * The duty's record was read again just before an order.  A store that does
 * not answer this daemon may have given the duty to another; but that one
 * waits, and then tells most daemons before it gives orders, and most daemons
 * knew of nobody a moment ago.
 */
static void
on_duty_checked(void *context, const objects_answer_t *answer)
{
	order_t *order = context;
	registry_t *registry = order->registry;
	const Bp__PromotionWanted *wanted =
	    (const Bp__PromotionWanted *)order->msg->body;
	arena_t *arena = arena_new();
	Bp__DutyRecord *record = record_of(registry, answer, arena);
	bool lost = answer->status == OBJECTS_MISSING ||
	    (record != NULL &&
		(!is_ours(registry, record) ||
		    record->token != registry->token));

	arena_free(arena);
	lost |= answer->status != OBJECTS_OK &&
	    clock_us() - (int64_t)wanted->heard_us >= HEARD_US;
	if (lost || registry->token == 0) {
		tell_duty(registry, false);
		order_end(order, false);
		return;
	}
	registry->proxy->promoter->promote(registry->promoter, wanted->group,
	    wanted->server, registry->proxy->settings->name, registry->token,
	    on_promoted, order);
}

/*
 * The pool wants a server to become primary.
 */
void
promotion_wanted(void *context, msg_t *msg)
{
	registry_t *registry = context;
	order_t *order = g_new0(order_t, 1);

	order->registry = registry;
	order->msg = msg;
	if (registry->promoter == NULL) {
		order_end(order, false);
		return;
	}
	registry->proxy->objects->get(registry->objects, OBJECTS_DUTIES,
	    DUTY_NAME, on_duty_checked, order);
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
	source_drop(&registry->takeover);
}
