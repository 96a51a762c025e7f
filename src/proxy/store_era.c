#include "registry.h"

#include "decide/decide.h"
#include "event.pb-c.h"

/*
 * The era of the store.  It rises each time the store comes back from an older
 * copy, without what was written since, and gives its revisions out again.  So
 * revisions are compared within one era only, and what was read and written
 * there is read and written again in the next.
 */

/*
 * Log a new era.
 */
static void
log_restored(const registry_t *registry, uint64_t era)
{
	Bp__StoreRestored restored = BP__STORE_RESTORED__INIT;

	restored.era = era;
	restored.previous_era = registry->store_era;
	log_event(G_LOG_LEVEL_WARNING, &restored.base);
}

/*
 * Note an era that a response of the store or another daemon has told.  0: none
 * was told, so it has not changed.
 */
void
store_era_reached(registry_t *registry, uint64_t era)
{
	object_watch_t *watches[] = {
	    &registry->config_watch, &registry->servers_watch};
	uint32_t i;
	bool first = registry->store_era == 0 && era == STORE_ERA_FIRST;

	if (era <= registry->store_era)
		return;
	if (registry->store_era != 0)
		log_restored(registry, era);
	registry->store_era = era;
	/* databases write their registrations again, as after an outage */
	registry->servers_watch.recovered_us = clock_us();
	if (first && registry->store_first_away_us == 0)
		registry->first_response_us =
		    registry->servers_watch.recovered_us;
	for (i = 0; i < G_N_ELEMENTS(watches); i++) {
		watches[i]->wanted_revision = 0;
		watches[i]->known_us = watches[i]->news_known_us = 0;
		watches[i]->applied_us = 0;
		if (watches[i]->paused)
			watch_request_next(watches[i]);
	}
	/* a daemon that starts cannot know how long ago that was */
	if (era > STORE_ERA_FIRST)
		daemons_store_restored(registry);
	promotions_store_restored(registry);
	coordinator_store_restored(registry);
}

/*
 * Note the era of a response, or that there is none, and return its status.  A
 * response of an older era than one that is known counts as none: what it says
 * is gone.
 */
object_store_status_t
store_response_status(
    registry_t *registry, const object_store_response_t *response)
{
	bool failed = response->status == OBJECT_STORE_NO_RESPONSE ||
	    response->status == OBJECT_STORE_REFUSED;
	bool recovered = !failed && registry->store_failing;

	if (failed && registry->store_first_away_us == 0)
		registry->store_first_away_us = clock_us();
	if (recovered)
		registry->store_recovered_us = clock_us();
	registry->store_failing = failed;
	store_era_reached(registry, response->era);
	if (recovered)
		coordinator_resume(registry);
	return response->era != 0 && response->era < registry->store_era
	    ? OBJECT_STORE_NO_RESPONSE
	    : response->status;
}
