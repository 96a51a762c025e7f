#include "router.h"

#include <string.h>

/*
 * The router task: selection of the daemon that runs a statement, and the
 * messages of the task.
 */

/* Name in place of a group's, by which the watchers of the store are chosen. */
#define STORE_KEY "store"

/* Time for which an owner that does not reach the databases is avoided. */
#define UNABLE_US (1000 * US_PER_MS)

/* Interval of the checks of the links and of the statements sent on them. */
#define TICK_MS 50

/*
 * When two ticks are this far apart, the process was not running in between,
 * which does not show that an owner is silent.
 */
#define PAUSE_MIN_US (200 * US_PER_MS)

/* The daemons as candidates; index 0 is this daemon. */
typedef struct candidates {
	placement_daemon_t *daemons;
	owner_t **owners;
	uint32_t count;
} candidates_t;

/*
 * Create the context of the router task, for task_new_hosted().
 */
void *
router_new(const proxy_t *proxy)
{
	router_t *router = g_new0(router_t, 1);

	router->proxy = proxy;
	router->owners =
	    g_hash_table_new_full(g_str_hash, g_str_equal, NULL, owner_free);
	router->groups =
	    g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
	router->sessions = g_hash_table_new_full(
	    g_int64_hash, g_int64_equal, NULL, remote_session_free);
	return router;
}

/*
 * Free the context of the router task, after the task has been freed.
 */
void
router_free(void *context)
{
	router_t *router = context;

	g_hash_table_unref(router->sessions);
	g_hash_table_unref(router->groups);
	g_hash_table_unref(router->owners);
	g_free(router);
}

/*
 * Collect the daemons that may own groups.
 */
static void
candidates_collect(router_t *router, candidates_t *candidates)
{
	const Bp__ProxySettings *settings = router->proxy->settings;
	uint32_t size = g_hash_table_size(router->owners) + 1;
	GHashTableIter iter;
	gpointer value;

	candidates->daemons = g_new0(placement_daemon_t, size);
	candidates->owners = g_new0(owner_t *, size);
	candidates->daemons[0] = (placement_daemon_t){
	    settings->name, settings->zone, settings->core_share, false};
	candidates->count = 1;
	g_hash_table_iter_init(&iter, router->owners);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		owner_t *owner = value;

		if (!owner->listed)
			continue;
		candidates->owners[candidates->count] = owner;
		candidates->daemons[candidates->count++] =
		    (placement_daemon_t){owner->name, owner->zone,
			owner->weight, owner_avoided(owner)};
	}
}

/*
 * Free the arrays of the candidates.
 */
static void
candidates_clear(candidates_t *candidates)
{
	g_free(candidates->daemons);
	g_free(candidates->owners);
}

/*
 * Forget which owners were chosen, because the daemons have changed or others
 * are to be avoided.
 */
void
router_forget_choices(router_t *router)
{
	GHashTableIter iter;
	gpointer value;

	g_hash_table_iter_init(&iter, router->groups);
	while (g_hash_table_iter_next(&iter, NULL, &value))
		((group_owners_t *)value)->chosen = false;
	router->watchers.chosen = false;
}

/*
 * Tell whether an owner has recently not reached the databases of a group.
 */
static bool
owner_is_unable(const owner_t *owner, const char *group, int64_t now_us)
{
	const int64_t *until_us = g_hash_table_lookup(owner->unable, group);

	return until_us != NULL && now_us < *until_us;
}

/*
 * Choose one of the owners of a group, or of the watchers of the store. Returns
 * NULL for this daemon.
 */
static owner_t *
choose_owner(router_t *router, group_owners_t *group, const char *name)
{
	int64_t now_us = clock_us();
	candidates_t candidates;
	int32_t chosen;
	uint32_t i;

	if (now_us >= group->unable_until_us) {
		group->unable_until_us = INT64_MAX;
		group->chosen = false;
	}
	if (group->chosen)
		return group->choice;
	candidates_collect(router, &candidates);
	candidates.daemons[0].avoid = group->unable;
	for (i = 1; i < candidates.count; i++)
		candidates.daemons[i].avoid |=
		    owner_is_unable(candidates.owners[i], name, now_us);
	chosen = placement_choose(
	    candidates.daemons, candidates.count, 0, name, group->owners);
	group->chosen = true;
	group->choice =
	    chosen == PLACEMENT_NONE ? NULL : candidates.owners[chosen];
	candidates_clear(&candidates);
	return group->choice;
}

/*
 * Return the daemon that the statements of a group are sent to, or NULL if this
 * daemon runs them.
 */
owner_t *
router_choose(router_t *router, const char *name)
{
	group_owners_t *group = g_hash_table_lookup(router->groups, name);

	return group == NULL ? NULL : choose_owner(router, group, name);
}

/*
 * Send the statements of a group to another daemon than an owner for some time,
 * because the owner does not reach the databases.
 */
void
router_owner_unable(owner_t *owner, const char *name)
{
	group_owners_t *group =
	    g_hash_table_lookup(owner->router->groups, name);

	if (group == NULL)
		return;
	group->unable_until_us = clock_us() + UNABLE_US;
	group->chosen = false;
	g_hash_table_replace(owner->unable, g_strdup(name),
	    g_memdup2(&group->unable_until_us, sizeof(group->unable_until_us)));
}

/*
 * Handle GroupUnable: this daemon does not reach the databases of a group, or
 * does again.
 */
static void
on_group_unable(void *context, msg_t *msg)
{
	const Bp__GroupUnable *message = (const Bp__GroupUnable *)msg->body;
	router_t *router = context;
	group_owners_t *group =
	    g_hash_table_lookup(router->groups, message->group);

	if (group != NULL) {
		group->unable = message->unable;
		group->chosen = false;
	}
	msg_free(msg);
}

/*
 * Ask a daemon for news of the store, or no longer.
 */
static void
send_follow(owner_t *owner, bool follow)
{
	Bp__PeerMessage message = BP__PEER_MESSAGE__INIT;
	Bp__StoreFollow request = BP__STORE_FOLLOW__INIT;

	owner->followed = follow;
	owner->news_us = clock_us();
	request.follow = follow;
	message.body_case = BP__PEER_MESSAGE__BODY_STORE_FOLLOW;
	message.store_follow = &request;
	frame_send(owner->link, &message);
}

/*
 * In a large fleet, have another daemon send news of the store.
 */
static void
follow_store(router_t *router)
{
	owner_t *watcher = router->watchers.owners == 0
	    ? NULL
	    : choose_owner(router, &router->watchers, STORE_KEY);

	if (router->watcher != NULL && router->watcher != watcher &&
	    router->watcher->open && router->watcher->followed)
		send_follow(router->watcher, false);
	router->watcher = watcher;
	if (watcher == NULL)
		return;
	if (!watcher->open)
		owner_connect(watcher);
	else if (!watcher->followed)
		send_follow(watcher, true);
}

/*
 * Determine the owners of all groups, and tell the pool task which groups this
 * daemon owns.
 */
static void
place_groups(router_t *router)
{
	msg_t *msg = msg_new(&bp__groups_placed__descriptor);
	Bp__GroupsPlaced *placed = (Bp__GroupsPlaced *)msg->body;
	candidates_t candidates;
	GHashTableIter iter;
	gpointer name, value;

	router_forget_choices(router);
	router->counts[COUNT_GROUPS_OWNED] = 0;
	candidates_collect(router, &candidates);
	placed->settled = router->settled;
	placed->groups = arena_zalloc(msg->arena,
	    sizeof(placed->groups[0]) *
		(g_hash_table_size(router->groups) + 1));
	g_hash_table_iter_init(&iter, router->groups);
	while (g_hash_table_iter_next(&iter, &name, &value)) {
		group_owners_t *group = value;
		Bp__GroupOwnership *ownership =
		    (Bp__GroupOwnership *)message_new(
			msg->arena, &bp__group_ownership__descriptor);

		group->owners = placement_owners(group->connections_max,
		    candidates.count, g_hash_table_size(router->groups));
		group->owned = placement_is_owner(candidates.daemons,
		    candidates.count, 0, name, group->owners);
		router->counts[COUNT_GROUPS_OWNED] += group->owned;
		ownership->group = arena_strdup(msg->arena, name);
		ownership->owned = group->owned && router->settled;
		ownership->owners = group->owners;
		ownership->shared = group->owners < candidates.count;
		placed->groups[placed->n_groups++] = ownership;
	}
	router->watchers.owners =
	    placement_watchers(candidates.daemons, candidates.count, 0);
	candidates_clear(&candidates);
	task_send(router->proxy->pool, router->task, msg);
}

/*
 * Handle GroupsListed: note the groups of the configuration.
 */
static void
on_groups_listed(void *context, msg_t *msg)
{
	const Bp__GroupsListed *listed = (const Bp__GroupsListed *)msg->body;
	router_t *router = context;
	GHashTable *old = router->groups;
	size_t i;

	router->groups =
	    g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
	for (i = 0; i < listed->n_groups; i++) {
		const char *name = listed->groups[i]->name;
		const group_owners_t *known = g_hash_table_lookup(old, name);
		group_owners_t *group = g_new0(group_owners_t, 1);

		group->connections_max = listed->groups[i]->connections_max;
		group->unable = known != NULL && known->unable;
		g_hash_table_replace(router->groups, g_strdup(name), group);
	}
	g_hash_table_unref(old);
	place_groups(router);
	msg_free(msg);
}

/*
 * Handle DaemonsListed: note the daemons that may own groups.  A daemon that is
 * no longer listed keeps its transactions.
 */
static void
on_daemons_listed(void *context, msg_t *msg)
{
	const Bp__DaemonsListed *listed = (const Bp__DaemonsListed *)msg->body;
	router_t *router = context;
	GHashTableIter iter;
	gpointer value;
	size_t i;

	router->settled |= listed->n_daemons > 0 &&
	    listed->n_daemons == router->daemons_listed;
	router->daemons_listed = (uint32_t)listed->n_daemons;
	g_hash_table_iter_init(&iter, router->owners);
	while (g_hash_table_iter_next(&iter, NULL, &value))
		((owner_t *)value)->listed = false;
	for (i = 0; i < listed->n_daemons; i++) {
		const Bp__DaemonRecord *record = listed->daemons[i];
		owner_t *owner =
		    g_hash_table_lookup(router->owners, record->name);

		if (record->zone == NULL || record->weight <= 0 ||
		    strcmp(record->name, router->proxy->settings->name) == 0)
			continue;
		if (owner == NULL) {
			owner = owner_new(router, record);
			g_hash_table_insert(router->owners, owner->name, owner);
		}
		owner_update(owner, record);
	}
	place_groups(router);
	msg_free(msg);
}

/*
 * Tell whether a daemon that the store does not list is not needed any more.
 */
static gboolean
owner_unused(gpointer name, gpointer value, gpointer context)
{
	const router_t *router = context;
	const owner_t *owner = value;

	(void)name;
	return !owner->listed && owner != router->watcher &&
	    g_queue_is_empty((GQueue *)&owner->sessions);
}

/*
 * Check the links to all owners and the statements sent there.
 */
static gboolean
on_tick(gpointer context)
{
	router_t *router = context;
	int64_t now_us = clock_us();
	bool paused = router->last_tick_us != 0 &&
	    now_us - router->last_tick_us >= PAUSE_MIN_US;
	GHashTableIter iter;
	gpointer value;

	router->last_tick_us = now_us;
	if (g_hash_table_foreach_remove(router->owners, owner_unused, router) >
	    0)
		router_forget_choices(router);
	follow_store(router);
	g_hash_table_iter_init(&iter, router->owners);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		if (paused)
			owner_restart_timeouts(value, now_us);
		owner_tick(value, now_us);
	}
	task_dispatch_local();
	return G_SOURCE_CONTINUE;
}

/*
 * Start the task.
 */
static int32_t
on_start(void *context, task_t *task)
{
	router_t *router = context;

	router->task = task;
	router->tick_timer = task_timer(task, TICK_MS, on_tick, router);
	return 0;
}

/*
 * Stop the task: end the statements at other daemons.
 */
static void
on_stop(void *context)
{
	router_t *router = context;

	source_clear(&router->tick_timer);
	remote_abort_all(router);
}

/*
 * Handle RunOperation: run a statement of a client, here or at an owner.
 */
static void
on_run_operation(void *context, msg_t *msg)
{
	remote_run(context, msg);
}

/*
 * Handle DropTransaction: roll back the transaction of a session.
 */
static void
on_drop_transaction(void *context, msg_t *msg)
{
	remote_drop(context, msg);
}

static const char *const counter_names[ROUTER_COUNTERS] = {
    [COUNT_FORWARDED] = "statements_forwarded",
    [COUNT_FORWARDED_AGAIN] = "statements_forwarded_again",
    [COUNT_FORWARDED_LOST] = "statements_forwarded_lost",
    [COUNT_OWNERS_LOST] = "owners_lost",
    [COUNT_OWNERS_LINKED] = "owners_linked",
    [COUNT_GROUPS_OWNED] = "groups_owned",
};

/*
 * Handle StatusRequest: send this task's counters for the status page.
 */
static void
on_status(void *context, msg_t *msg)
{
	router_t *router = context;
	counters_t counters = {
	    counter_names, router->counts, ROUTER_COUNTERS, ROUTER_GAUGES};

	task_send(
	    msg->from, router->task, counters_status_part(&counters, msg));
	msg_free(msg);
}

static const task_handler_t handlers[] = {
    {&bp__run_operation__descriptor, on_run_operation},
    {&bp__drop_transaction__descriptor, on_drop_transaction},
    {&bp__groups_listed__descriptor, on_groups_listed},
    {&bp__daemons_listed__descriptor, on_daemons_listed},
    {&bp__group_unable__descriptor, on_group_unable},
    {&bp__status_request__descriptor, on_status},
};

const task_ops_t router_ops = {
    "router", on_start, on_stop, handlers, G_N_ELEMENTS(handlers)};
