#include "registry.h"

#include "event.pb-c.h"

/*
 * News of the store.  In a large fleet a few daemons of each zone watch the
 * store.  The others get news from one of them: the revisions of the last
 * changes, and the time up to which that daemon knows all changes.  They list
 * the objects once after each change, and watch the store themselves when that
 * time is too long ago.
 */

/* Longest time between two news. */
#define NEWS_INTERVAL_MS 500

static void schedule_timer(registry_t *);

/*
 * Tell whether another daemon watches a kind of object for this one.
 */
bool
news_covers(const object_watch_t *watch)
{
	return watch->registry->following && watch_has_list(watch);
}

/*
 * Start or stop to rely on the news of another daemon.
 */
static void
set_following(registry_t *registry, bool following)
{
	Bp__StoreFollowed event = BP__STORE_FOLLOWED__INIT;

	registry->following = following;
	event.followed = following;
	log_event(G_LOG_LEVEL_MESSAGE, &event.base);
}

/*
 * Tell whether news can say up to when all changes of a kind are known.
 */
static bool
watch_has_news(const object_watch_t *watch)
{
	return watch_has_list(watch) && !watch->failing && watch->known_us != 0;
}

/*
 * Return the age in ms of what is known of a kind.
 */
static uint32_t
known_age_ms(const object_watch_t *watch, int64_t now_us)
{
	int64_t age_ms = (now_us - watch->known_us + US_PER_MS - 1) / US_PER_MS;

	return (uint32_t)MIN(age_ms, UINT32_MAX);
}

/*
 * Send news to the daemons that have asked for them, if this daemon watches the
 * store.
 */
void
news_send(registry_t *registry)
{
	int64_t now_us = clock_us();
	msg_t *msg;
	Bp__StoreNews *news;

	if (registry->following || registry->followers == 0 ||
	    !watch_has_news(&registry->config_watch) ||
	    !watch_has_news(&registry->servers_watch))
		return;
	msg = msg_new(&bp__store_news__descriptor);
	news = (Bp__StoreNews *)msg->body;
	news->config_revision = registry->config_watch.changed_revision;
	news->servers_revision = registry->servers_watch.changed_revision;
	news->has_era = 1;
	news->era = registry->store_era;
	news->has_sent_us = 1;
	news->sent_us = now_us;
	news->has_config_age_ms = 1;
	news->config_age_ms = known_age_ms(&registry->config_watch, now_us);
	news->has_servers_age_ms = 1;
	news->servers_age_ms = known_age_ms(&registry->servers_watch, now_us);
	task_send(registry->proxy->peers, registry->task, msg);
	schedule_timer(registry);
}

/*
 * Handle StoreFollowers: the number of daemons that want news has changed.
 */
void
news_followers(void *context, msg_t *msg)
{
	registry_t *registry = context;

	registry->followers =
	    ((const Bp__StoreFollowers *)msg->body)->followers;
	msg_free(msg);
	if (registry->news_timer == NULL)
		schedule_timer(registry);
}

/*
 * Return the time until which this daemon relies on the news.  What they say of
 * the servers may be older than what they say of the configuration, by as much
 * as the watches differ.
 */
static int64_t
news_valid_until_us(const registry_t *registry)
{
	const config_delay_t *delay = &registry->config_delay;
	int64_t config_valid_ms = delay->news_valid_ms;
	int64_t servers_valid_ms = config_valid_ms - delay->news_watch_ms +
	    registry->proxy->settings->timeouts->servers_watch_ms;

	return MIN(
	    registry->config_watch.news_known_us + config_valid_ms * US_PER_MS,
	    registry->servers_watch.news_known_us +
		servers_valid_ms * US_PER_MS);
}

/*
 * Handle the news of one kind of object.
 */
static void
watch_news(object_watch_t *watch, uint64_t revision)
{
	if (watch->wanted_revision <= watch->watch_revision)
		watch->wanted_us = watch->registry->news_us;
	watch->wanted_revision = MAX(watch->wanted_revision, revision);
	watch_note_applied(watch);
	if (watch->paused && watch->wanted_revision > watch->watch_revision)
		watch_request_next(watch);
}

/*
 * Handle StoreNews from the daemon that watches the store for this one.  News
 * of an older era are dropped: that daemon does not know yet that the store has
 * come back from a copy.
 */
void
news_received(void *context, msg_t *msg)
{
	const Bp__StoreNews *news = (const Bp__StoreNews *)msg->body;
	registry_t *registry = context;
	object_watch_t *config = &registry->config_watch;
	object_watch_t *servers = &registry->servers_watch;

	store_era_reached(registry, news->era);
	if (registry->published && news->era == registry->store_era &&
	    news->has_sent_us) {
		registry->news_us = clock_us();
		config->news_known_us = MAX(config->news_known_us,
		    news->sent_us - news->config_age_ms * US_PER_MS);
		servers->news_known_us = MAX(servers->news_known_us,
		    news->sent_us - news->servers_age_ms * US_PER_MS);
		if (!registry->following &&
		    registry->news_us < news_valid_until_us(registry)) {
			set_following(registry, true);
			schedule_timer(registry);
		}
		watch_news(config, news->config_revision);
		watch_news(servers, news->servers_revision);
		registry_servers_known(registry);
	}
	msg_free(msg);
}

/*
 * Watch the store, since the news are too old.
 */
static void
stop_following(registry_t *registry)
{
	object_watch_t *watches[] = {
	    &registry->config_watch, &registry->servers_watch};
	uint32_t i;

	set_following(registry, false);
	for (i = 0; i < G_N_ELEMENTS(watches); i++) {
		if (watches[i]->paused)
			watch_request_next(watches[i]);
	}
}

/*
 * Handle the timer: send news, or check whether those of another daemon are too
 * old.
 */
static gboolean
on_timer(gpointer context)
{
	registry_t *registry = context;

	source_clear(&registry->news_timer);
	if (!registry->following)
		news_send(registry);
	else if (clock_us() >= news_valid_until_us(registry))
		stop_following(registry);
	if (registry->news_timer == NULL)
		schedule_timer(registry);
	task_dispatch_local();
	return G_SOURCE_REMOVE;
}

/*
 * Start the timer anew: until the news of another daemon are too old, or until
 * this one is to send news again.  It does not run if neither may come.
 */
static void
schedule_timer(registry_t *registry)
{
	int64_t delay_ms = NEWS_INTERVAL_MS;

	source_clear(&registry->news_timer);
	if (registry->following)
		delay_ms =
		    (news_valid_until_us(registry) - clock_us()) / US_PER_MS +
		    1;
	else if (registry->followers == 0)
		return;
	registry->news_timer = task_timer(
	    registry->task, (uint32_t)MAX(delay_ms, 0), on_timer, registry);
}

/*
 * Stop the timer, since the task stops.
 */
void
news_stop(registry_t *registry)
{
	source_clear(&registry->news_timer);
}
