#include "registry.h"

#include "decide/decide.h"

/*
 * Replacement of a coordinator record that cannot be read.  Others write into
 * the store too, so that the orders and the members in the record may be lost.
 * The process that has held the role under the newest token knows them all,
 * since each of its writes holds all of them.  It writes them again if most
 * daemons confirm that they know of no newer token: a later coordinator sends
 * no order before most daemons were told of its token, and records none after
 * the record was overwritten.  Nobody else may replace the record: an order
 * that it proved may have promoted a server that does not answer.
 */

#define LOG_PART "registry"

/* Time limit for most daemons to confirm the token. */
#define RESTORE_TIMEOUT_MS 1000

/*
 * End an attempt to replace the record without success.
 */
static void
restore_end(registry_t *registry, const char *why)
{
	source_clear(&registry->restore_timer);
	registry->restore_revision = 0;
	registry->coordinator_call_pending = false;
	log_line(LOG_PART, G_LOG_LEVEL_WARNING,
	    "The coordinator record cannot be read, and is not replaced: %s.",
	    why);
	coordinator_send_changed(registry, false);
}

/*
 * Give up since too few daemons have confirmed the token in time.
 */
static gboolean
on_timeout(gpointer context)
{
	restore_end(context, "too few daemons confirm the last token");
	return G_SOURCE_REMOVE;
}

/*
 * Handle the listing of the daemons: ask them whether they know of a newer
 * token.
 */
static void
on_listed(void *context, const object_store_response_t *response)
{
	registry_t *registry = context;
	object_store_status_t status =
	    store_response_status(registry, response);
	msg_t *msg;
	Bp__RevokeWanted *wanted;

	if (registry->restore_revision == 0)
		return;
	if (status != OBJECT_STORE_OK) {
		restore_end(registry, "the store does not list the daemons");
		return;
	}
	msg = msg_new(&bp__revoke_wanted__descriptor);
	wanted = (Bp__RevokeWanted *)msg->body;
	wanted->group = arena_strdup(msg->arena, "");
	wanted->token = registry->written_token;
	wanted->has_confirms = wanted->confirms = 1;
	wanted->has_unreadable_revision = 1;
	wanted->unreadable_revision = registry->restore_revision;
	wanted->has_of_daemons = 1;
	wanted->of_daemons = registry->daemons_most;
	daemons_add_listed(registry, msg, response);
	task_send(registry->proxy->peers, registry->task, msg);
}

/*
 * Note the token with which this process has taken the role, and the revision
 * of the record that says so.
 */
void
restore_note_written(registry_t *registry, uint64_t token, uint64_t revision)
{
	registry->written_token = token;
	registry->written_revision = revision;
	registry->daemons_most = registry->daemons_count;
}

/*
 * Note how many daemons are listed.  Those that are gone may have been told of
 * a newer token, so most of all must confirm that there is none.
 */
void
restore_note_daemons(registry_t *registry)
{
	registry->daemons_most =
	    MAX(registry->daemons_most, registry->daemons_count);
}

/*
 * Note that another record followed, or may have: this process does not know
 * what it says.
 */
void
restore_forget(registry_t *registry)
{
	registry->written_token = 0;
}

/*
 * Begin to replace a record that cannot be read, which the store has at this
 * revision.  Returns false if this process may not.  Otherwise the pool task is
 * told later whether it has succeeded.
 */
bool
restore_begin(registry_t *registry, uint64_t revision)
{
	if (registry->written_token == 0 ||
	    revision <= registry->written_revision)
		return false;
	registry->coordinator_call_pending = true;
	registry->restore_revision = revision;
	registry->restore_timer = task_timer(
	    registry->task, RESTORE_TIMEOUT_MS, on_timeout, registry);
	registry->proxy->objects->list(registry->objects, OBJECT_DAEMON,
	    OBJECTS_LATEST, on_listed, registry);
	return true;
}

/*
 * Handle the answer of most daemons, or of one that knows a newer token.
 */
void
restore_confirmed(registry_t *registry, const Bp__RevokeEnded *ended)
{
	uint64_t revision = registry->restore_revision;

	if (revision == 0 || ended->unreadable_revision != revision)
		return;
	if (ended->state == BP__REVOKE_STATE__OUTDATED) {
		restore_forget(registry);
		restore_end(registry, "another daemon was coordinator last");
		return;
	}
	source_clear(&registry->restore_timer);
	registry->restore_revision = 0;
	log_line(LOG_PART, G_LOG_LEVEL_WARNING,
	    "Replacing the coordinator record, which cannot be read, with the "
	    "%u groups that this daemon has recorded.",
	    g_hash_table_size(registry->orders));
	coordinator_write(registry, revision,
	    fencing_token_highest(
		registry->written_token, registry->written_revision, revision));
}

/*
 * Handle the return of the store from an older copy: what this process has
 * written may be gone.
 */
void
restore_store_returned(registry_t *registry)
{
	restore_forget(registry);
	if (registry->restore_revision != 0)
		restore_end(registry, "the store came back from an older copy");
}

/*
 * Stop the timer, since the task stops.
 */
void
restore_stop(registry_t *registry)
{
	source_clear(&registry->restore_timer);
	registry->restore_revision = 0;
}
