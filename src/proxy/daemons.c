#include "registry.h"

#include <string.h>

/*
 * The records of the daemons in the store: whoever changes a primary asks all
 * that are listed to give back their leases, and connections are shared by
 * their number.
 */

#define PART "registry"

/* How often it is looked whether anything is due. */
#define TICK_MS 1000

/* Between two looks at the records; the holder of the duty removes the dead. */
#define LOOK_US (INT64_C(8) * G_USEC_PER_SEC)
#define HOLDER_LOOK_US (INT64_C(3) * G_USEC_PER_SEC)

/* Between two beats of a daemon's own record. */
#define BEAT_US (INT64_C(4) * G_USEC_PER_SEC)

/*
 * A daemon counts itself as listed until this long after its last beat was
 * sent.  It is removed REMOVE_US after that beat was seen, which is later.
 */
#define LISTED_US (INT64_C(9) * G_USEC_PER_SEC)
#define REMOVE_US (INT64_C(13) * G_USEC_PER_SEC)

/* The beat of a daemon, and since when it has been the same. */
typedef struct beat {
	uint64_t beat;
	int64_t since_us;
	char *address;
	bool listed; /* by the look that goes on */
} beat_t;

static void record_put(registry_t *);

/*
 * Tell the pool how many daemons there are, and whether this one is listed.
 */
static void
tell(registry_t *registry)
{
	msg_t *msg = msg_new(&bp__daemons_counted__descriptor);
	Bp__DaemonsCounted *counted = (Bp__DaemonsCounted *)msg->body;

	counted->count = MAX(registry->daemons, 1);
	counted->listed_us = (uint64_t)registry->listed_us;
	counted->until_us = registry->listed_us == 0
	    ? 0
	    : (uint64_t)(registry->beaten_us + LISTED_US);
	task_send(registry->proxy->pool, registry->task, msg);
}

/*
 * Our record was written, or was not.  A record of an earlier start is
 * replaced.
 */
static void
on_put(void *context, const objects_answer_t *answer)
{
	registry_t *registry = context;

	registry->beat_open = false;
	switch (answer->status) {
	case OBJECTS_OK:
		if (answer->count == 1)
			registry->revision = answer->list[0].revision;
		registry->beaten_us = registry->beat_sent_us;
		if (registry->listed_us == 0)
			registry->listed_us = clock_us();
		tell(registry);
		break;
	case OBJECTS_CONFLICT:
		if (answer->count != 1)
			break;
		registry->revision = answer->list[0].revision;
		record_put(registry);
		break;
	case OBJECTS_MISSING:
		registry->revision = 0;
		registry->listed_us = 0;
		tell(registry);
		record_put(registry);
		break;
	default:
		break; /* the next tick tries again */
	}
}

/*
 * Write our record.
 */
static void
record_put(registry_t *registry)
{
	const Bp__ProxySettings *settings = registry->proxy->settings;
	Bp__DaemonRecord record = BP__DAEMON_RECORD__INIT;

	if (registry->beat_open || registry->leaving)
		return;
	record.name = settings->name;
	record.address = settings->peer_address;
	record.beat = ++registry->beat;
	registry->beat_open = true;
	registry->beat_sent_us = clock_us();
	registry->proxy->objects->put_daemon(
	    registry->objects, registry->revision, &record, on_put, registry);
}

/*
 * The removal of a record needs no answer: the next look shows it.
 */
static void
on_removed(void *context, const objects_answer_t *answer)
{
	(void)context;
	if (answer->status != OBJECTS_OK)
		log_line(PART, G_LOG_LEVEL_INFO,
		    "A daemon's record was not removed: status %d.",
		    answer->status);
}

/*
 * Note a daemon's beat.  One that has had none for long is taken from the
 * list by the daemon that has the duty.
 */
static void
note_beat(registry_t *registry, const object_t *object,
    const Bp__DaemonRecord *record, int64_t now_us)
{
	beat_t *beat = g_hash_table_lookup(registry->beats, object->name);

	if (beat == NULL) {
		beat = g_new0(beat_t, 1);
		g_hash_table_insert(
		    registry->beats, g_strdup(object->name), beat);
		beat->since_us = now_us;
	}
	if (beat->beat != record->beat) {
		beat->beat = record->beat;
		beat->since_us = now_us;
	}
	g_free(beat->address);
	beat->address = g_strdup(record->address);
	beat->listed = true;
	if (registry->token == 0 || now_us - beat->since_us < REMOVE_US)
		return;
	log_line(PART, G_LOG_LEVEL_MESSAGE,
	    "Daemon %s has not been heard of for long; its record goes.",
	    object->name);
	registry->proxy->objects->remove(registry->objects, OBJECTS_DAEMONS,
	    object->name, object->revision, on_removed, registry);
}

/*
 * Forget the daemons that a look did not list.
 */
static gboolean
not_listed(gpointer name, gpointer value, gpointer context)
{
	beat_t *beat = value;
	bool listed = beat->listed;

	(void)name;
	(void)context;
	beat->listed = false;
	return !listed;
}

/*
 * Free what is kept of a daemon.
 */
static void
beat_free(gpointer p)
{
	beat_t *beat = p;

	g_free(beat->address);
	g_free(beat);
}

/*
 * The records have come.
 */
static void
on_look(void *context, const objects_answer_t *answer)
{
	registry_t *registry = context;
	int64_t now_us = clock_us();
	arena_t *arena = arena_new();
	uint32_t i, count = 0;

	for (i = 0; answer->status == OBJECTS_OK && i < answer->count; i++) {
		Bp__DaemonRecord *record =
		    registry->proxy->objects->read_daemon(
			&answer->list[i], arena);

		if (record == NULL)
			continue;
		count++;
		note_beat(registry, &answer->list[i], record, now_us);
	}
	if (count > 0)
		g_hash_table_foreach_remove(registry->beats, not_listed, NULL);
	if (count > 0 && count != registry->daemons) {
		registry->daemons = count;
		tell(registry);
	}
	arena_free(arena);
}

/*
 * Look at the records, and beat, when it is time.
 */
static gboolean
on_tick(gpointer context)
{
	registry_t *registry = context;
	int64_t now_us = clock_us();
	int64_t look_us = registry->token != 0 ? HOLDER_LOOK_US : LOOK_US;

	if (registry->listed_us != 0 &&
	    now_us - registry->beaten_us >= LISTED_US) {
		registry->listed_us = 0;
		tell(registry);
	}
	if (registry->listed_us == 0 || now_us - registry->beaten_us >= BEAT_US)
		record_put(registry);
	if (now_us - registry->looked_us >= look_us) {
		registry->looked_us = now_us;
		registry->proxy->objects->list(
		    registry->objects, OBJECTS_DAEMONS, on_look, registry);
	}
	return G_SOURCE_CONTINUE;
}

/*
 * Begin to be listed, and to look at the others.
 */
void
daemons_start(registry_t *registry)
{
	registry->beats =
	    g_hash_table_new_full(g_str_hash, g_str_equal, g_free, beat_free);
	registry->beat = (uint64_t)g_get_real_time() / US_PER_MS;
	record_put(registry);
	registry->beat_tick =
	    task_timer(registry->task, TICK_MS, on_tick, registry);
}

/*
 * The daemon leaves: it is listed no longer.
 */
void
daemons_leave(registry_t *registry)
{
	registry->leaving = true;
	if (registry->beats == NULL)
		return;
	registry->listed_us = 0;
	tell(registry);
	if (registry->revision != 0)
		registry->proxy->objects->remove(registry->objects,
		    OBJECTS_DAEMONS, registry->proxy->settings->name,
		    registry->revision, on_removed, registry);
}

/*
 * The task ends.
 */
void
daemons_stop(registry_t *registry)
{
	source_drop(&registry->beat_tick);
	g_clear_pointer(&registry->beats, g_hash_table_unref);
}

/* Leases to be given back, while the daemons are being listed. */
typedef struct revoke {
	registry_t *registry;
	msg_t *msg; /* RevokeWanted */
} revoke_t;

/*
 * Ask the daemons that were listed last, for a time when the store does not
 * answer.  msg: RevokeWanted.
 */
void
daemons_ask_last(registry_t *registry, msg_t *msg)
{
	Bp__RevokeWanted *wanted = (Bp__RevokeWanted *)msg->body;
	GHashTableIter iter;
	gpointer name, value;

	wanted->daemons = arena_zero(msg->arena,
	    sizeof(wanted->daemons[0]) *
		(g_hash_table_size(registry->beats) + 1));
	g_hash_table_iter_init(&iter, registry->beats);
	while (g_hash_table_iter_next(&iter, &name, &value)) {
		Bp__DaemonRecord *record = (Bp__DaemonRecord *)message_new(
		    msg->arena, &bp__daemon_record__descriptor);

		record->name = arena_strdup(msg->arena, name);
		record->address =
		    arena_strdup(msg->arena, ((beat_t *)value)->address);
		wanted->daemons[wanted->n_daemons++] = record;
	}
	task_send(registry->proxy->peers, registry->task, msg);
}

/*
 * The daemons that are listed now, or were last: the peers' task asks them.
 */
static void
on_listed(void *context, const objects_answer_t *answer)
{
	revoke_t *revoke = context;
	registry_t *registry = revoke->registry;
	msg_t *msg = revoke->msg;
	Bp__RevokeWanted *wanted = (Bp__RevokeWanted *)msg->body;
	uint32_t i;

	g_free(revoke);
	registry->store_lost = answer->status != OBJECTS_OK;
	if (answer->status != OBJECTS_OK) {
		log_line(PART, G_LOG_LEVEL_INFO,
		    "The store does not list the daemons; those that it "
		    "listed last are asked for their leases of %s.",
		    wanted->group);
		daemons_ask_last(registry, msg);
		return;
	}
	wanted->daemons = arena_zero(
	    msg->arena, sizeof(wanted->daemons[0]) * (answer->count + 1));
	for (i = 0; i < answer->count; i++) {
		Bp__DaemonRecord *record =
		    registry->proxy->objects->read_daemon(
			&answer->list[i], msg->arena);

		if (record != NULL)
			wanted->daemons[wanted->n_daemons++] = record;
	}
	task_send(registry->proxy->peers, registry->task, msg);
}

/*
 * The pool has begun a change of primary.
 */
void
revoke_wanted(void *context, msg_t *msg)
{
	registry_t *registry = context;
	revoke_t *revoke = g_new0(revoke_t, 1);

	revoke->registry = registry;
	revoke->msg = msg;
	registry->proxy->objects->list(
	    registry->objects, OBJECTS_DAEMONS, on_listed, revoke);
}
