#include "proxy.h"

#include <string.h>

/*
 * The registry's task: what the platform's store says of the configuration
 * and the databases, and the duty to order changes of primary.
 */

#define PART "registry"

/* After a call that was refused or not answered. */
#define AGAIN_MS 250

/* Our record of who may order changes of primary. */
#define DUTY_NAME "promotion"

/*
 * Between taking the duty over and using it, so that what the holder before
 * had under way is over.
 */
#define TAKEOVER_MS 1000

/* One kind of object that is followed. */
typedef struct follower {
	struct registry *registry;
	object_kind_t kind;
	GHashTable *found; /* names, while a list is read */
	char *last;        /* name of the page that was read last */
	bool listing;
	bool known; /* listed whole at least once */
	uint64_t revision;
	GSource *again;
	bool lost; /* the last call failed */
} follower_t;

typedef struct registry {
	const proxy_t *proxy;
	task_t *task;
	objects_t *objects;
	promoter_t *promoter;
	follower_t config;
	follower_t servers;
	arena_t *arena; /* of catalog without the servers */
	Bp__Catalog *catalog;
	GHashTable *entries; /* of entry_t by name */
	bool published;
	uint64_t token; /* while the duty is held */
	bool duty_open; /* a call about it is under way */
	GSource *takeover;
} registry_t;

/* One database's report. */
typedef struct entry {
	arena_t *arena;
	Bp__Server *server;
} entry_t;

static void follow(follower_t *);
static void take_duty(registry_t *, uint64_t revision, uint64_t token);

/*
 * Free a database's report.
 */
static void
entry_free(gpointer p)
{
	entry_t *entry = p;

	arena_free(entry->arena);
	g_free(entry);
}

/*
 * Make the role; it is given to task_new_beside().
 */
void *
registry_new(const proxy_t *proxy)
{
	registry_t *registry = g_new0(registry_t, 1);

	registry->proxy = proxy;
	registry->entries =
	    g_hash_table_new_full(g_str_hash, g_str_equal, g_free, entry_free);
	registry->config.registry = registry->servers.registry = registry;
	registry->config.kind = OBJECTS_CONFIG;
	registry->servers.kind = OBJECTS_SERVERS;
	return registry;
}

/*
 * Free the role after its task has ended.
 */
void
registry_free(void *context)
{
	registry_t *registry = context;

	g_hash_table_unref(registry->entries);
	arena_free(registry->arena);
	g_free(registry);
}

/*
 * Order two reports by name, so that a group keeps its servers' places.
 */
static gint
by_name(gconstpointer a, gconstpointer b)
{
	const Bp__Server *const *x = a, *const *y = b;

	return strcmp((*x)->id, (*y)->id);
}

/*
 * Tell the other tasks what is in force, once both parts are known.
 */
static void
publish(registry_t *registry)
{
	GPtrArray *servers = g_ptr_array_new();
	task_t *to[] = {registry->proxy->pool, registry->proxy->clients};
	Bp__CatalogInForce in_force = BP__CATALOG_IN_FORCE__INIT;
	Bp__Catalog catalog;
	GHashTableIter iter;
	gpointer value;
	uint32_t i;

	if (registry->catalog == NULL || !registry->servers.known) {
		g_ptr_array_unref(servers);
		return;
	}
	if (!registry->published)
		take_duty(registry, 0, 1); /* unless somebody has it */
	registry->published = true;
	g_hash_table_iter_init(&iter, registry->entries);
	while (g_hash_table_iter_next(&iter, NULL, &value))
		g_ptr_array_add(servers, ((entry_t *)value)->server);
	g_ptr_array_sort(servers, by_name);
	catalog = *registry->catalog;
	catalog.servers = (Bp__Server **)servers->pdata;
	catalog.n_servers = servers->len;
	in_force.catalog = &catalog;
	for (i = 0; i < G_N_ELEMENTS(to); i++)
		task_send(to[i], registry->task, msg_copy(&in_force.base));
	g_ptr_array_unref(servers);
}

/*
 * Take a version of the configuration.  Returns whether it is newer.
 */
static bool
take_config(registry_t *registry, const object_t *object)
{
	arena_t *arena = arena_new();
	Bp__Catalog *catalog =
	    (Bp__Catalog *)message_new(arena, &bp__catalog__descriptor);

	if (object->deleted ||
	    !registry->proxy->objects->read_config(object, arena, catalog)) {
		LOG_PART(PART, G_LOG_LEVEL_WARNING,
		    "Configuration %s, revision %" G_GUINT64_FORMAT
		    ", cannot be read; the one before stays in force.",
		    object->name, object->revision);
		arena_free(arena);
		return false;
	}
	if (registry->catalog != NULL &&
	    catalog->version <= registry->catalog->version) {
		arena_free(arena);
		return false;
	}
	arena_free(registry->arena);
	registry->arena = arena;
	registry->catalog = catalog;
	LOG_PART(PART, G_LOG_LEVEL_MESSAGE,
	    "Configuration %" G_GUINT64_FORMAT " is in force.",
	    catalog->version);
	return true;
}

/*
 * Take a database's report.  Returns whether anything has changed.
 */
static bool
take_server(registry_t *registry, const object_t *object)
{
	entry_t *entry;

	if (object->deleted)
		return g_hash_table_remove(registry->entries, object->name);
	entry = g_new0(entry_t, 1);
	entry->arena = arena_new();
	entry->server =
	    registry->proxy->objects->read_server(object, entry->arena);
	if (entry->server == NULL) {
		LOG_PART(PART, G_LOG_LEVEL_INFO,
		    "The report %s names no server to use.", object->name);
		entry_free(entry);
		return g_hash_table_remove(registry->entries, object->name);
	}
	g_hash_table_insert(registry->entries, g_strdup(object->name), entry);
	return true;
}

/*
 * Take the objects of an answer.  Returns whether anything has changed.
 */
static bool
take_objects(follower_t *follower, const objects_answer_t *answer)
{
	registry_t *registry = follower->registry;
	bool changed = false;
	uint32_t i;

	for (i = 0; i < answer->count; i++) {
		const object_t *object = &answer->list[i];

		if (follower->found != NULL)
			g_hash_table_add(
			    follower->found, g_strdup(object->name));
		changed |= follower->kind == OBJECTS_CONFIG
		    ? take_config(registry, object)
		    : take_server(registry, object);
	}
	return changed;
}

/*
 * Forget the reports that a whole list no longer has.
 */
static gboolean
not_found(gpointer name, gpointer entry, gpointer found)
{
	(void)entry;
	return !g_hash_table_contains(found, name);
}

/*
 * It is time for the next call.
 */
static gboolean
on_again(gpointer context)
{
	follower_t *follower = context;

	source_drop(&follower->again);
	follow(follower);
	return G_SOURCE_REMOVE;
}

/*
 * Call again after a while.
 */
static void
follow_later(follower_t *follower, const char *why)
{
	if (!follower->lost)
		LOG_PART(PART, G_LOG_LEVEL_WARNING,
		    "The store does not answer for kind %d: %s.",
		    follower->kind, why);
	follower->lost = true;
	if (follower->again == NULL)
		follower->again = task_timer(
		    follower->registry->task, AGAIN_MS, on_again, follower);
}

/*
 * The store has answered.
 */
static void
note_answer(follower_t *follower)
{
	if (follower->lost)
		LOG_PART(PART, G_LOG_LEVEL_MESSAGE,
		    "The store answers again for kind %d.", follower->kind);
	follower->lost = false;
}

/*
 * A page of a list has come.
 */
static void
on_list(void *context, const objects_answer_t *answer)
{
	follower_t *follower = context;
	registry_t *registry = follower->registry;

	if (answer->status != OBJECTS_OK) {
		g_clear_pointer(&follower->found, g_hash_table_unref);
		g_clear_pointer(&follower->last, g_free);
		follow_later(follower, "no list");
		return;
	}
	note_answer(follower);
	take_objects(follower, answer);
	if (answer->more && answer->count > 0) {
		g_free(follower->last);
		follower->last = g_strdup(answer->list[answer->count - 1].name);
		follow(follower);
		return;
	}
	if (follower->kind == OBJECTS_SERVERS)
		g_hash_table_foreach_remove(
		    registry->entries, not_found, follower->found);
	g_clear_pointer(&follower->found, g_hash_table_unref);
	g_clear_pointer(&follower->last, g_free);
	follower->listing = false;
	follower->known = true;
	follower->revision = answer->revision;
	publish(registry);
	follow(follower);
}

/*
 * Changes have come, or the wait is over.
 */
static void
on_changes(void *context, const objects_answer_t *answer)
{
	follower_t *follower = context;

	switch (answer->status) {
	case OBJECTS_OK:
		note_answer(follower);
		if (answer->revision > follower->revision)
			follower->revision = answer->revision;
		if (take_objects(follower, answer))
			publish(follower->registry);
		follow(follower);
		break;
	case OBJECTS_HISTORY_GONE:
		follower->listing = true;
		follow(follower);
		break;
	default:
		follow_later(follower, "no changes");
		break;
	}
}

/*
 * How long a watch may wait.  One that was put before the store dropped its
 * history hears nothing of changes in between, so it is put anew in time.
 */
static uint32_t
wait_ms(const follower_t *follower)
{
	const Bp__ProxyTimeouts *timeouts =
	    follower->registry->proxy->settings->timeouts;

	return follower->kind == OBJECTS_CONFIG ? timeouts->config_apply_ms / 2
						: timeouts->servers_watch_ms;
}

/*
 * Make the next call of a follower: a page of the list, or a watch.
 */
static void
follow(follower_t *follower)
{
	registry_t *registry = follower->registry;
	const objects_ops_t *objects = registry->proxy->objects;

	if (follower->listing || !follower->known) {
		if (follower->found == NULL)
			follower->found = g_hash_table_new_full(
			    g_str_hash, g_str_equal, g_free, NULL);
		objects->list(registry->objects, follower->kind, follower->last,
		    on_list, follower);
		return;
	}
	objects->watch(registry->objects, follower->kind, follower->revision,
	    wait_ms(follower), on_changes, follower);
}

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
 * The duty's record was read because a change of primary is due: take it.
 * A daemon that was restarted takes it anew, with a higher token.
 */
static void
on_duty_read(void *context, const objects_answer_t *answer)
{
	registry_t *registry = context;
	arena_t *arena = arena_new();
	Bp__DutyRecord *record = record_of(registry, answer, arena);

	registry->duty_open = false;
	if (answer->status == OBJECTS_MISSING)
		take_duty(registry, 0, 1);
	else if (answer->status == OBJECTS_OK && record != NULL)
		take_duty(
		    registry, answer->list[0].revision, record->token + 1);
	else
		tell_duty(registry, false);
	arena_free(arena);
}

/*
 * The pool wants to change a primary.
 */
static void
on_duty_wanted(void *context, msg_t *msg)
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
 * not answer cannot have given the duty to another daemon; one that answers
 * tells.
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
static void
on_promotion_wanted(void *context, msg_t *msg)
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
 * The task starts.
 */
static int32_t
on_start(void *context, task_t *task)
{
	registry_t *registry = context;
	const Bp__ProxySettings *settings = registry->proxy->settings;
	uint32_t timeout_ms = settings->timeouts->store_ms;

	registry->task = task;
	registry->objects =
	    registry->proxy->objects->open(settings->store_address, timeout_ms);
	if (settings->promotion_address != NULL &&
	    settings->promotion_address[0] != '\0')
		registry->promoter = registry->proxy->promoter->open(
		    settings->promotion_address, timeout_ms);
	follow(&registry->config);
	follow(&registry->servers);
	return 0;
}

/*
 * The task ends.
 */
static void
on_stop(void *context)
{
	registry_t *registry = context;
	follower_t *followers[] = {&registry->config, &registry->servers};
	uint32_t i;

	source_drop(&registry->takeover);
	for (i = 0; i < G_N_ELEMENTS(followers); i++) {
		source_drop(&followers[i]->again);
		g_clear_pointer(&followers[i]->found, g_hash_table_unref);
		g_clear_pointer(&followers[i]->last, g_free);
	}
	registry->proxy->objects->close(registry->objects);
	if (registry->promoter != NULL)
		registry->proxy->promoter->close(registry->promoter);
}

static const task_handler_t handlers[] = {
    {&bp__duty_wanted__descriptor, on_duty_wanted},
    {&bp__promotion_wanted__descriptor, on_promotion_wanted},
};

const task_ops_t registry_ops = {
    "registry", on_start, on_stop, handlers, G_N_ELEMENTS(handlers)};
