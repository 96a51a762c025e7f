#include "registry.h"

#include "event.pb-c.h"

/*
 * Lists and watches of the store: the calls, their repetition after a failure,
 * and what they have read.
 */

/*
 * A daemon for which another one watches the store doubles the delay after a
 * failed call with each failure, so that a fleet does not call a store that is
 * away.
 */
#define RETRY_DOUBLINGS_MAX 3

/* Time for which a watch waits whose response is needed at once. */
#define WAIT_MIN_MS 1

/*
 * Handle the retry timer: repeat the call that failed, or make the one that was
 * delayed.
 */
static gboolean
on_retry_timer(gpointer context)
{
	object_watch_t *watch = context;

	source_clear(&watch->retry_timer);
	watch_request_next(watch);
	return G_SOURCE_REMOVE;
}

/*
 * Make the next call after a delay.
 */
static void
watch_delay(object_watch_t *watch, uint32_t delay_ms)
{
	if (watch->retry_timer == NULL)
		watch->retry_timer = task_timer(
		    watch->registry->task, delay_ms, on_retry_timer, watch);
}

/*
 * Return the name by which the log refers to what a watch reads.
 */
static char *
dependency_name(const object_watch_t *watch)
{
	return (char *)(watch->kind == OBJECT_CONFIG ? "store: configuration"
						     : "store: servers");
}

/*
 * Handle a failed call: log it if the previous call succeeded, and schedule a
 * retry.
 */
static void
watch_retry_later(object_watch_t *watch, const char *why)
{
	Bp__DependencyLost lost = BP__DEPENDENCY_LOST__INIT;
	uint32_t delay_ms;

	if (!watch->failing) {
		lost.dependency = dependency_name(watch);
		lost.text = (char *)why;
		log_event(G_LOG_LEVEL_WARNING, &lost.base);
		watch->failing_since_us = clock_us();
	}
	watch->failing = true;
	watch->refresh = (refresh_t){0};
	delay_ms = STORE_RETRY_MS;
	if (watch->registry->news_us != 0)
		delay_ms <<= MIN(watch->failures, RETRY_DOUBLINGS_MAX);
	watch->failures++;
	watch_delay(watch, delay_ms);
}

/*
 * Handle a successful call: log the recovery if the previous call failed.
 */
static void
watch_recovered(object_watch_t *watch)
{
	Bp__DependencyRegained regained = BP__DEPENDENCY_REGAINED__INIT;

	watch->failures = 0;
	if (!watch->failing)
		return;
	regained.dependency = dependency_name(watch);
	regained.lost_ms = (clock_us() - watch->failing_since_us) / US_PER_MS;
	log_event(G_LOG_LEVEL_MESSAGE, &regained.base);
	watch->failing = false;
	watch->recovered_us = clock_us();
}

/*
 * Tell whether the objects were listed in the newest era of the store, and the
 * changes since that list are known.
 */
bool
watch_has_list(const object_watch_t *watch)
{
	return watch->synced && !watch->relist &&
	    watch->era == watch->registry->store_era;
}

/*
 * Return the lowest revision of a list that is not older than what is known.
 */
static uint64_t
needed_revision(const object_watch_t *watch)
{
	return watch->era == watch->registry->store_era
	    ? MAX(watch->wanted_revision, watch->watch_revision)
	    : watch->wanted_revision;
}

/*
 * Log that a list was ignored, unless the one before was, too.
 */
static void
log_list_ignored(object_watch_t *watch, uint64_t revision)
{
	Bp__StoreListIgnored ignored = BP__STORE_LIST_IGNORED__INIT;

	if (watch->ignoring)
		return;
	watch->ignoring = true;
	ignored.dependency = dependency_name(watch);
	ignored.revision = revision;
	ignored.needed_revision = needed_revision(watch);
	ignored.era = watch->registry->store_era;
	log_event(G_LOG_LEVEL_WARNING, &ignored.base);
}

/*
 * Note the time up to which all changes were applied: that up to which they are
 * known, unless there is news of one that was not read yet.
 */
void
watch_note_applied(object_watch_t *watch)
{
	if (watch->wanted_revision <= watch->watch_revision)
		watch->applied_us = MAX(watch->known_us, watch->news_known_us);
}

/*
 * Apply a list.
 */
static void
apply_list(object_watch_t *watch, const object_store_response_t *response)
{
	registry_t *registry = watch->registry;

	registry_apply_objects(watch, response);
	if (watch->list_age == OBJECTS_LATEST)
		watch->known_us = watch->requested_us;
	if (watch->kind == OBJECT_SERVER)
		registry_find_missing(registry, response);
	watch->relist = watch->ignoring = false;
	watch->synced = true;
	watch->era = registry->store_era;
	watch->watch_revision = watch->changed_revision = response->revision;
	watch_note_applied(watch);
	registry_publish(registry);
	registry_servers_known(registry);
	news_send(registry);
}

/*
 * Handle the response to a list request.
 */
static void
on_list(void *context, const object_store_response_t *response)
{
	object_watch_t *watch = context;

	if (store_response_status(watch->registry, response) !=
	    OBJECT_STORE_OK) {
		watch_retry_later(watch, "the list request failed");
		return;
	}
	watch_recovered(watch);
	watch->list_length = response->count;
	if (response->revision >= needed_revision(watch)) {
		apply_list(watch, response);
	} else if (watch->list_age == OBJECTS_LATEST) {
		log_list_ignored(watch, response->revision);
		watch_delay(watch, STORE_RETRY_MS);
		return;
	}
	watch_request_next(watch);
}

/*
 * Note that all changes are known that the store had when it responded to a
 * watch.  That was not before the end of its wait if there were none.
 */
static void
note_changes_known(
    object_watch_t *watch, const object_store_response_t *response)
{
	int64_t waited_us =
	    watch->requested_us + (int64_t)watch->wait_ms * US_PER_MS;

	watch->known_us = response->count == 0 && waited_us <= clock_us()
	    ? waited_us
	    : watch->requested_us;
}

/*
 * Handle the response to a watch request: the changes, if any, during its wait.
 * In a new era the request's revision may have been given out again, and
 * changes before it be missing, so the objects are listed.
 */
static void
on_changes(void *context, const object_store_response_t *response)
{
	object_watch_t *watch = context;
	bool changed;

	switch (store_response_status(watch->registry, response)) {
	case OBJECT_STORE_OK:
		watch_recovered(watch);
		if (!watch_has_list(watch)) {
			watch_request_next(watch);
			break;
		}
		if (response->revision > watch->watch_revision)
			watch->watch_revision = response->revision;
		changed = registry_apply_objects(watch, response);
		note_changes_known(watch, response);
		watch_note_applied(watch);
		if (changed) {
			watch->changed_revision = watch->watch_revision;
			registry_publish(watch->registry);
		}
		registry_servers_known(watch->registry);
		news_send(watch->registry);
		watch_request_next(watch);
		break;
	case OBJECT_STORE_COMPACTED:
		watch->relist = true;
		watch_request_next(watch);
		break;
	default:
		watch_retry_later(watch, "the watch request failed");
		break;
	}
}

/*
 * Return the longest time for which a watch waits for changes.  If the store
 * compacts its history while a watch is waiting, that watch misses the changes
 * in between, so it is ended and requested again after this time.
 */
static uint32_t
longest_wait_ms(const object_watch_t *watch)
{
	const registry_t *registry = watch->registry;

	if (watch->kind != OBJECT_CONFIG)
		return registry->proxy->settings->timeouts->servers_watch_ms;
	return registry->followers > 0 ? registry->config_delay.news_watch_ms
				       : registry->config_delay.watch_ms;
}

/*
 * Return the time for which a watch waits for changes.  One that other daemons
 * rely on ends no later than the longest wait after the time up to which all
 * changes are known.  One whose last call failed does not wait, as a store that
 * is silent ends it only with its wait; nor does the first one after a list of
 * the servers that may be old, as leases rest on the age of that.
 */
static uint32_t
watch_wait_ms(const object_watch_t *watch, int64_t now_us)
{
	uint32_t longest_ms = longest_wait_ms(watch);
	int64_t known_ms = (now_us - watch->known_us) / US_PER_MS;

	if (news_covers(watch) || watch->failing ||
	    (watch->kind == OBJECT_SERVER && watch->known_us == 0))
		return WAIT_MIN_MS;
	if (watch->registry->followers == 0 || watch->known_us == 0)
		return longest_ms;
	return known_ms < longest_ms ? longest_ms - (uint32_t)known_ms
				     : WAIT_MIN_MS;
}

/*
 * Tell whether a list that may be old will do.  The first list of the servers
 * may be, since the watch that follows starts from its revision.
 */
static bool
old_list_suffices(const object_watch_t *watch, int64_t now_us)
{
	if (watch->relist)
		return false;
	if (!watch->synced)
		return watch->kind == OBJECT_SERVER;
	if (!watch_has_list(watch))
		return false;
	return refresh_accepts_old(watch->wanted_us, now_us);
}

/*
 * Request the list, or the changes since the last response, now or when the
 * next request for changes is due.  While another daemon watches the store for
 * this one, do so only when there is news of a change.
 */
void
watch_request_next(object_watch_t *watch)
{
	registry_t *registry = watch->registry;
	const object_store_ops_t *objects = registry->proxy->objects;
	int64_t now_us = clock_us(), due_us = refresh_due_us(&watch->refresh);
	bool complete = watch_has_list(watch);

	watch->paused = news_covers(watch) &&
	    watch->wanted_revision <= watch->watch_revision;
	if (watch->paused)
		return;
	if (complete && now_us < due_us) {
		watch_delay(
		    watch, (uint32_t)((due_us - now_us) / US_PER_MS) + 1);
		return;
	}
	if (complete)
		refresh_requested(&watch->refresh, now_us);
	watch->requested_us = now_us;
	watch->listing = !complete ||
	    refresh_by_list(news_covers(watch), watch->list_length);
	if (watch->listing) {
		watch->list_age = old_list_suffices(watch, now_us)
		    ? OBJECTS_OLD
		    : OBJECTS_LATEST;
		objects->list(registry->objects, watch->kind, watch->list_age,
		    on_list, watch);
	} else {
		watch->wait_ms = watch_wait_ms(watch, now_us);
		objects->watch(registry->objects, watch->kind,
		    watch->watch_revision, watch->wait_ms, on_changes, watch);
	}
}
