#include "registry.h"

#include "decide/daemon_record.h"

#include <string.h>

/*
 * Membership of the daemons.  Each daemon keeps a record with a heartbeat in
 * the platform's store.  Before a primary is changed, all daemons with a record
 * are asked to revoke their leases.  The number of records also determines each
 * daemon's share of the database connections.
 */

#define LOG_PART "registry"

/* Interval of the timer that checks whether a heartbeat or listing is due. */
#define TICK_MS 1000

/*
 * Interval between listings of the records.  The coordinator lists more often,
 * since it removes the records of dead daemons.
 */
#define LIST_INTERVAL_US (INT64_C(8) * G_USEC_PER_SEC)
#define COORDINATOR_LIST_INTERVAL_US (INT64_C(3) * G_USEC_PER_SEC)

/* Interval after a listing with another number of daemons. */
#define CHANGED_LIST_INTERVAL_US (INT64_C(2) * G_USEC_PER_SEC)

/* Interval between heartbeats in a daemon's own record. */
#define HEARTBEAT_INTERVAL_US (INT64_C(4) * G_USEC_PER_SEC)

/*
 * A daemon counts itself as listed until RECORD_VALID_US after it sent its
 * last acknowledged heartbeat.  The coordinator removes a record whose
 * heartbeat has not changed for REMOVE_AFTER_US.  This time is longer and
 * starts when the coordinator first sees the heartbeat, so a daemon always
 * stops relying on its record before the record is removed.
 */
#define RECORD_VALID_US (INT64_C(9) * G_USEC_PER_SEC)
#define REMOVE_AFTER_US (INT64_C(13) * G_USEC_PER_SEC)

/*
 * The same for a daemon that holds no leases, which nobody waits for.  Its
 * record only shows that it may own groups.
 */
#define IDLE_HEARTBEAT_INTERVAL_US (INT64_C(15) * G_USEC_PER_SEC)
#define REMOVE_IDLE_AFTER_US (INT64_C(40) * G_USEC_PER_SEC)

/*
 * After the store has come back from an older copy, its records may lack
 * daemons that relied on theirs before, and say of others that they hold no
 * leases.  Each daemon relies on its record no longer than RECORD_VALID_US, so
 * for that time a listing may be incomplete.
 */
#define LISTING_INCOMPLETE_US RECORD_VALID_US

/* Last known heartbeat of a daemon. */
typedef struct heartbeat {
	uint64_t start;     /* number of its process; 0: not known */
	uint64_t counter;   /* counter that each heartbeat increases */
	int64_t changed_us; /* time at which the counter last changed */
	char *address;      /* address for other daemons */
	char *zone;         /* NULL: the daemon cannot own groups */
	double weight;      /* share of a core */
	bool leases;        /* the daemon may hold leases */
	bool listed;        /* the current listing has the record */
} heartbeat_t;

static void write_record(registry_t *);

/*
 * Tell the pool task how many daemons there are, and the time span in which
 * this daemon counts as listed.
 */
static void
send_daemons_counted(registry_t *registry)
{
	msg_t *msg = msg_new(&bp__daemons_counted__descriptor);
	Bp__DaemonsCounted *counted = (Bp__DaemonsCounted *)msg->body;

	counted->count = MAX(registry->daemons_count, 1);
	counted->listed_us = (uint64_t)registry->record_listed_us;
	counted->until_us = registry->record_listed_us == 0
	    ? 0
	    : (uint64_t)(registry->leases_acked_us + RECORD_VALID_US);
	task_send(registry->proxy->pool, registry->task, msg);
}

/*
 * Handle a record that was not replaced, as it has another revision.  Write
 * over one that was left by a previous process of this daemon.  If it is that
 * of another process that may rely on it, this one does not count as listed,
 * and tries again with each tick.
 */
static void
record_conflict(registry_t *registry, const object_t *object)
{
	const proxy_t *proxy = registry->proxy;
	int64_t now_us = clock_us();
	arena_t *arena = arena_new();
	const Bp__DaemonRecord *other =
	    proxy->objects->read_daemon(object, arena);
	daemon_record_t record = {other->start, other->address, other->leases};

	if (registry->other_revision != object->revision) {
		registry->other_revision = object->revision;
		registry->other_seen_us = now_us;
	}
	if (daemon_record_replaceable(&record, proxy->start,
		proxy->settings->peer_address, now_us - registry->other_seen_us,
		REMOVE_AFTER_US)) {
		registry->record_revision = object->revision;
		write_record(registry);
	} else {
		if (registry->other_seen_us == now_us)
			log_line(LOG_PART, G_LOG_LEVEL_WARNING,
			    "The record of this daemon is that of another "
			    "process, at %s, started at %" G_GUINT64_FORMAT
			    "; this one is not listed while that one may hold "
			    "leases.",
			    other->address, other->start);
		registry->record_revision = 0;
		registry->record_listed_us = 0;
		send_daemons_counted(registry);
	}
	arena_free(arena);
}

/*
 * Handle the response to a heartbeat.  Create a missing record again.
 */
static void
on_record_written(void *context, const object_store_response_t *response)
{
	registry_t *registry = context;
	object_store_status_t status =
	    store_response_status(registry, response);

	registry->heartbeat_pending = false;
	switch (status) {
	case OBJECT_STORE_OK:
		if (response->count == 1)
			registry->record_revision = response->list[0].revision;
		registry->heartbeat_acked_us = registry->heartbeat_sent_us;
		if (registry->record_leases) {
			registry->leases_acked_us = registry->heartbeat_sent_us;
			if (registry->record_listed_us == 0)
				registry->record_listed_us = clock_us();
		} else {
			registry->record_listed_us = 0;
		}
		send_daemons_counted(registry);
		if (registry->leases_needed && !registry->record_leases)
			write_record(registry);
		break;
	case OBJECT_STORE_CONFLICT:
		if (response->count == 1)
			record_conflict(registry, &response->list[0]);
		break;
	case OBJECT_STORE_NOT_FOUND:
		registry->record_revision = 0;
		registry->record_listed_us = 0;
		send_daemons_counted(registry);
		write_record(registry);
		break;
	default:
		break; /* the next tick writes the record again */
	}
}

/*
 * Write this daemon's record with a new heartbeat.
 */
static void
write_record(registry_t *registry)
{
	const Bp__ProxySettings *settings = registry->proxy->settings;
	Bp__DaemonRecord record = BP__DAEMON_RECORD__INIT;

	if (registry->heartbeat_pending || registry->deregistered)
		return;
	record.name = settings->name;
	record.address = settings->peer_address;
	record.beat = ++registry->heartbeat;
	record.zone = settings->zone;
	record.has_weight = 1;
	record.weight = settings->core_share;
	record.has_leases = 1;
	record.leases = registry->record_leases = registry->leases_needed;
	record.has_start = 1;
	record.start = registry->proxy->start;
	/* from here on the store may list this daemon without leases */
	if (!record.leases && registry->record_listed_us != 0) {
		registry->record_listed_us = 0;
		send_daemons_counted(registry);
	}
	registry->heartbeat_pending = true;
	registry->heartbeat_sent_us = clock_us();
	registry->proxy->objects->put_daemon(registry->objects,
	    registry->record_revision, &record, on_record_written, registry);
}

/*
 * Log a failed removal of a record.  It is not retried here, since the next
 * listing shows whether the record still exists.
 */
static void
on_record_removed(void *context, const object_store_response_t *response)
{
	object_store_status_t status = store_response_status(context, response);

	if (status != OBJECT_STORE_OK)
		log_line(LOG_PART, G_LOG_LEVEL_INFO,
		    "Cannot remove a daemon's record: status %d.", status);
}

/*
 * Note the heartbeat in a daemon's record.  If it has not changed for too long,
 * and this daemon is the coordinator, remove the record.
 */
static void
note_heartbeat(registry_t *registry, const object_t *object,
    const Bp__DaemonRecord *record, int64_t now_us)
{
	heartbeat_t *heartbeat =
	    g_hash_table_lookup(registry->heartbeats, object->name);

	if (heartbeat == NULL) {
		heartbeat = g_new0(heartbeat_t, 1);
		g_hash_table_insert(
		    registry->heartbeats, g_strdup(object->name), heartbeat);
		heartbeat->changed_us = now_us;
	}
	if (heartbeat->counter != record->beat) {
		heartbeat->counter = record->beat;
		heartbeat->changed_us = now_us;
	}
	g_free(heartbeat->address);
	g_free(heartbeat->zone);
	heartbeat->start = record->start;
	heartbeat->address = g_strdup(record->address);
	heartbeat->zone = g_strdup(record->zone);
	heartbeat->weight = record->weight;
	heartbeat->leases = record->leases;
	heartbeat->listed = true;
	if (registry->fencing_token == 0 ||
	    now_us - heartbeat->changed_us <
		(record->leases ? REMOVE_AFTER_US : REMOVE_IDLE_AFTER_US))
		return;
	log_line(LOG_PART, G_LOG_LEVEL_MESSAGE,
	    "No recent heartbeat from daemon %s; removing its record.",
	    object->name);
	registry->proxy->objects->remove(registry->objects, OBJECT_DAEMON,
	    object->name, object->revision, on_record_removed, registry);
}

/*
 * Tell whether a listing of the daemons may be incomplete, because the store
 * has come back from an older copy.
 */
static bool
listing_incomplete(const registry_t *registry)
{
	return registry->records_lost_us != 0 &&
	    clock_us() - registry->records_lost_us < LISTING_INCOMPLETE_US;
}

/*
 * Tell whether a daemon is missing from the current listing, so that its entry
 * is removed from the table.  Clears the entry's mark for the next listing.
 */
static gboolean
was_unlisted(gpointer name, gpointer value, gpointer context)
{
	heartbeat_t *heartbeat = value;
	bool listed = heartbeat->listed;

	(void)name;
	heartbeat->listed = false;
	return !listed && !listing_incomplete(context);
}

/*
 * Free a daemon's heartbeat entry.
 */
static void
heartbeat_free(gpointer p)
{
	heartbeat_t *heartbeat = p;

	g_free(heartbeat->address);
	g_free(heartbeat->zone);
	g_free(heartbeat);
}

/*
 * Append the records of the last listing to a message.
 */
static Bp__DaemonRecord **
copy_records(const registry_t *registry, arena_t *arena, size_t *count)
{
	Bp__DaemonRecord **records = arena_zalloc(arena,
	    sizeof(records[0]) * (g_hash_table_size(registry->heartbeats) + 1));
	GHashTableIter iter;
	gpointer name, value;

	*count = 0;
	g_hash_table_iter_init(&iter, registry->heartbeats);
	while (g_hash_table_iter_next(&iter, &name, &value)) {
		const heartbeat_t *heartbeat = value;
		Bp__DaemonRecord *record = (Bp__DaemonRecord *)message_new(
		    arena, &bp__daemon_record__descriptor);

		record->name = arena_strdup(arena, name);
		record->address = arena_strdup(arena, heartbeat->address);
		record->zone = arena_strdup(arena, heartbeat->zone);
		record->weight = heartbeat->weight;
		record->leases = heartbeat->leases;
		record->has_start = 1;
		record->start = heartbeat->start;
		records[(*count)++] = record;
	}
	return records;
}

/*
 * Tell the router task which daemons there are.
 */
static void
send_daemons_listed(registry_t *registry)
{
	msg_t *msg = msg_new(&bp__daemons_listed__descriptor);
	Bp__DaemonsListed *listed = (Bp__DaemonsListed *)msg->body;

	listed->daemons =
	    copy_records(registry, msg->arena, &listed->n_daemons);
	task_send(registry->proxy->router, registry->task, msg);
}

/*
 * Handle a listing of the records: update the heartbeats and the number of
 * daemons.
 */
static void
on_records_listed(void *context, const object_store_response_t *response)
{
	registry_t *registry = context;
	int64_t now_us = clock_us();
	arena_t *arena = arena_new();
	bool answered =
	    store_response_status(registry, response) == OBJECT_STORE_OK;
	uint32_t i, count = 0;

	for (i = 0; answered && i < response->count; i++) {
		Bp__DaemonRecord *record =
		    registry->proxy->objects->read_daemon(
			&response->list[i], arena);

		if (record != NULL)
			note_heartbeat(
			    registry, &response->list[i], record, now_us);
	}
	if (answered) {
		registry->daemons_listed = true;
		g_hash_table_foreach_remove(
		    registry->heartbeats, was_unlisted, registry);
		count = g_hash_table_size(registry->heartbeats);
	} else {
		log_line(LOG_PART, G_LOG_LEVEL_INFO,
		    "Cannot list the daemons: status %d.", response->status);
	}
	registry->daemons_changed = count != registry->daemons_count;
	if (count > 0 && count != registry->daemons_count) {
		registry->daemons_count = count;
		restore_note_daemons(registry);
		send_daemons_counted(registry);
	}
	arena_free(arena);
	if (answered)
		send_daemons_listed(registry);
	registry->daemons_list_ended = true;
	registry_publish_first(registry);
}

/*
 * Request a listing of the records.
 */
static void
list_records(registry_t *registry)
{
	registry->daemons_list_sent_us = clock_us();
	registry->proxy->objects->list(registry->objects, OBJECT_DAEMON,
	    OBJECTS_OLD, on_records_listed, registry);
}

/*
 * Handle the timer: send a heartbeat and list the records if due.  If the last
 * acknowledged heartbeat is too old, this daemon no longer counts itself as
 * listed.
 */
static gboolean
on_tick(gpointer context)
{
	registry_t *registry = context;
	int64_t now_us = clock_us();
	int64_t list_interval_us = registry->daemons_changed
	    ? CHANGED_LIST_INTERVAL_US
	    : registry->fencing_token != 0 ? COORDINATOR_LIST_INTERVAL_US
					   : LIST_INTERVAL_US;

	if (registry->record_listed_us != 0 &&
	    now_us - registry->leases_acked_us >= RECORD_VALID_US) {
		registry->record_listed_us = 0;
		send_daemons_counted(registry);
	}
	if ((registry->leases_needed && registry->record_listed_us == 0) ||
	    now_us - registry->heartbeat_acked_us >=
		(registry->leases_needed ? HEARTBEAT_INTERVAL_US
					 : IDLE_HEARTBEAT_INTERVAL_US))
		write_record(registry);
	if (now_us - registry->daemons_list_sent_us >= list_interval_us)
		list_records(registry);
	coordinator_record_orders(registry);
	return G_SOURCE_CONTINUE;
}

/*
 * Request the first listing of the records.
 */
void
daemons_init(registry_t *registry)
{
	registry->heartbeats = g_hash_table_new_full(
	    g_str_hash, g_str_equal, g_free, heartbeat_free);
	registry->leases_needed = true;
	list_records(registry);
}

/*
 * Handle LeasesNeeded: the pool begins or ceases to need leases.  A record that
 * says so is needed first; one that is no longer needed ends by itself.
 */
void
daemons_leases_needed(void *context, msg_t *msg)
{
	registry_t *registry = context;

	registry->leases_needed = ((const Bp__LeasesNeeded *)msg->body)->needed;
	if (registry->leases_needed && registry->heartbeat_timer != NULL)
		write_record(registry);
	msg_free(msg);
}

/*
 * Register this daemon in the store, and start heartbeats and listings.
 */
void
daemons_start(registry_t *registry)
{
	registry->daemons_changed = true; /* this daemon is new */
	registry->heartbeat = (uint64_t)g_get_real_time() / US_PER_MS;
	write_record(registry);
	registry->heartbeat_timer =
	    task_timer(registry->task, TICK_MS, on_tick, registry);
}

/*
 * Handle the return of the store from an older copy: this daemon's record there
 * may be gone, so it does not count as listed, and writes the record again.
 * List the records soon.
 */
void
daemons_store_restored(registry_t *registry)
{
	registry->records_lost_us = clock_us();
	registry->record_revision = registry->other_revision = 0;
	registry->record_listed_us = registry->heartbeat_acked_us = 0;
	registry->daemons_changed = true;
	if (registry->heartbeat_timer == NULL)
		return;
	send_daemons_counted(registry);
	write_record(registry);
}

/*
 * Remove this daemon's record because the daemon shuts down.
 */
void
daemons_deregister(registry_t *registry)
{
	registry->deregistered = true;
	if (registry->heartbeat_timer == NULL)
		return;
	registry->record_listed_us = 0;
	send_daemons_counted(registry);
	if (registry->record_revision != 0)
		registry->proxy->objects->remove(registry->objects,
		    OBJECT_DAEMON, registry->proxy->settings->name,
		    registry->record_revision, on_record_removed, registry);
}

/*
 * Stop the timer and free the heartbeats, since the task stops.
 */
void
daemons_stop(registry_t *registry)
{
	source_clear(&registry->heartbeat_timer);
	g_clear_pointer(&registry->heartbeats, g_hash_table_unref);
}

/* A revocation of leases that waits for a listing of the daemons. */
typedef struct pending_revocation {
	registry_t *registry;
	msg_t *msg; /* the RevokeWanted message */
} pending_revocation_t;

/*
 * Tell whether two records are of processes at one address, under one name.
 */
static bool
same_place(const Bp__DaemonRecord *a, const Bp__DaemonRecord *b)
{
	return strcmp(a->name, b->name) == 0 &&
	    strcmp(a->address, b->address) == 0;
}

/*
 * Add the daemons that were listed last to those of a revocation, except those
 * that it has already.  They may have leases, whatever their record said.  One
 * name may be that of two processes, at two addresses.
 */
static void
add_last_listed(const registry_t *registry, msg_t *msg)
{
	Bp__RevokeWanted *wanted = (Bp__RevokeWanted *)msg->body;
	size_t i, j, n_last, n_listed = wanted->n_daemons;
	Bp__DaemonRecord **last = copy_records(registry, msg->arena, &n_last);
	Bp__DaemonRecord **all =
	    arena_zalloc(msg->arena, sizeof(all[0]) * (n_listed + n_last + 1));

	for (i = 0; i < n_listed; i++)
		all[i] = wanted->daemons[i];
	wanted->daemons = all;
	for (i = 0; i < n_last; i++) {
		for (j = 0; j < n_listed && !same_place(all[j], last[i]); j++)
			;
		if (j < n_listed)
			continue;
		last[i]->leases = true;
		all[wanted->n_daemons++] = last[i];
	}
}

/*
 * Forward a revocation of leases, or a request to confirm an order, to the
 * peers task with the daemons of the last successful listing.  Used while the
 * store is unreachable.  If there was none, nothing is known of the other
 * daemons, and nobody is asked.  msg: RevokeWanted.
 */
void
revoke_from_last_listed(registry_t *registry, msg_t *msg)
{
	Bp__RevokeWanted *wanted = (Bp__RevokeWanted *)msg->body;

	if (!registry->daemons_listed) {
		log_line(LOG_PART, G_LOG_LEVEL_WARNING,
		    "The daemons were never listed; the primary of group %s is "
		    "not changed.",
		    wanted->group);
		msg_free(msg);
		return;
	}
	add_last_listed(registry, msg);
	orders_tell(registry, msg);
	wanted->has_incomplete = 1;
	wanted->incomplete = listing_incomplete(registry);
	task_send(registry->proxy->peers, registry->task, msg);
}

/*
 * Add the daemons of a listing to those of a revocation.
 */
void
daemons_add_listed(
    registry_t *registry, msg_t *msg, const object_store_response_t *response)
{
	Bp__RevokeWanted *wanted = (Bp__RevokeWanted *)msg->body;
	uint32_t i;

	wanted->daemons = arena_zalloc(
	    msg->arena, sizeof(wanted->daemons[0]) * (response->count + 1));
	for (i = 0; i < response->count; i++) {
		Bp__DaemonRecord *record =
		    registry->proxy->objects->read_daemon(
			&response->list[i], msg->arena);

		if (record != NULL)
			wanted->daemons[wanted->n_daemons++] = record;
	}
	if (listing_incomplete(registry)) {
		add_last_listed(registry, msg);
		wanted->has_incomplete = wanted->incomplete = 1;
	}
}

/*
 * Handle the listing for a revocation: have the peers task ask the listed
 * daemons, or those of the last listing if the store did not answer.
 */
static void
on_revoke_listed(void *context, const object_store_response_t *response)
{
	pending_revocation_t *pending = context;
	registry_t *registry = pending->registry;
	msg_t *msg = pending->msg;
	Bp__RevokeWanted *wanted = (Bp__RevokeWanted *)msg->body;

	g_free(pending);
	registry->daemons_list_failed =
	    store_response_status(registry, response) != OBJECT_STORE_OK;
	if (registry->daemons_list_failed) {
		registry->away_told = true;
		task_send(registry->proxy->pool, registry->task,
		    msg_new(&bp__store_away__descriptor));
		log_line(LOG_PART, G_LOG_LEVEL_INFO,
		    "The store does not list the daemons; revoking the leases "
		    "on group %s of those listed last.",
		    wanted->group);
		revoke_from_last_listed(registry, msg);
		return;
	}
	daemons_add_listed(registry, msg, response);
	orders_tell(registry, msg);
	task_send(registry->proxy->peers, registry->task, msg);
}

/*
 * Handle RevokeWanted: the pool has begun a change of primary, before which all
 * daemons must revoke their leases on the old one.
 */
void
revoke_wanted(void *context, msg_t *msg)
{
	registry_t *registry = context;
	pending_revocation_t *pending = g_new0(pending_revocation_t, 1);

	pending->registry = registry;
	pending->msg = msg;
	registry->proxy->objects->list(registry->objects, OBJECT_DAEMON,
	    OBJECTS_LATEST, on_revoke_listed, pending);
}
