#include "pool.h"

#include "decide/drain_limit.h"
#include "decide/start.h"
#include "order_messages.h"

#include <string.h>

/*
 * Groups and servers of the catalog.  A group is active at its owners, at the
 * coordinator, and at a daemon that has had statements for it recently.  Only
 * an active group has connections, a lease and status requests.
 */

/* Time after the last statement until a group that is not owned is inactive. */
#define UNUSED_US (3 * US_PER_SECOND)

/*
 * Time without the connections that a group needs until the router is told to
 * send the statements elsewhere.
 */
#define UNABLE_US (300 * US_PER_MS)

/* Number of owners assumed until it is known. */
#define OWNERS_ASSUMED 12

/*
 * Minimum share of each rank in the statements that a group serves, so that a
 * flood of statements of other ranks does not starve it.
 */
static const uint32_t floor_percent[RANKS] = {0, 10, 5};

/*
 * Return the group of a name.  An unknown group is created without servers.
 */
group_t *
group_get(pool_t *pool, const char *name)
{
	group_t *group = g_hash_table_lookup(pool->groups, name);

	if (group != NULL)
		return group;
	group = g_new0(group_t, 1);
	group->pool = pool;
	group->name = g_strdup(name);
	group->removed = g_ptr_array_new();
	group->owners = OWNERS_ASSUMED;
	group->created_us = clock_us();
	group->primary_backlog = rankq_new(floor_percent);
	group->replica_backlog = rankq_new(floor_percent);
	g_queue_init(&group->held);
	open_orders_init(&group->open_orders);
	monitor_init(group, clock_us());
	g_hash_table_insert(pool->groups, group->name, group);
	return group;
}

/*
 * Free a server that runs no statements, and close its connections.
 */
static void
server_free(server_t *server)
{
	uint32_t i = server->conns->len;

	if (server->control != NULL)
		dbconn_close(server->control);
	while (i-- > 0)
		dbconn_close(g_ptr_array_index(server->conns, i));
	g_ptr_array_unref(server->conns);
	g_free(server->id);
	g_free(server->address);
	g_free(server);
}

/*
 * Free a group that runs no statements, and its servers.
 */
void
server_group_free(group_t *group)
{
	uint32_t i;

	for (i = 0; i < group->count; i++)
		server_free(group->servers[i]);
	for (i = 0; i < group->removed->len; i++)
		server_free(g_ptr_array_index(group->removed, i));
	g_ptr_array_unref(group->removed);
	open_orders_clear(&group->open_orders);
	group_members_clear(group);
	group_departed_clear(group);
	group_former_clear(group);
	failover_clear(&group->failover);
	rankq_free(group->primary_backlog);
	rankq_free(group->replica_backlog);
	g_free(group->name);
	g_free(group);
}

/*
 * Tell the registry task whether this daemon needs leases.
 */
static void
send_leases_needed(pool_t *pool, bool needed)
{
	msg_t *msg = msg_new(&bp__leases_needed__descriptor);

	((Bp__LeasesNeeded *)msg->body)->needed = needed;
	task_send(pool->proxy->registry, pool->task, msg);
}

/*
 * Tell the router whether it should send the statements of a group elsewhere.
 */
static void
set_unable(group_t *group, bool unable)
{
	pool_t *pool = group->pool;
	msg_t *msg;
	Bp__GroupUnable *message;

	if (group->unable == unable)
		return;
	group->unable = unable;
	msg = msg_new(&bp__group_unable__descriptor);
	message = (Bp__GroupUnable *)msg->body;
	message->group = arena_strdup(msg->arena, group->name);
	message->unable = unable;
	task_send(pool->proxy->router, pool->task, msg);
}

/*
 * Tell whether this daemon is connected to a majority of a group's servers, and
 * to the primary, unless that may be down.  A primary that only has no
 * connections left serves other daemons.  Where all daemons are owners, servers
 * that are silent here are likely silent for all, and may answer again soon.
 */
static bool
group_connected(const group_t *group)
{
	int32_t primary = failover_primary(&group->failover);
	uint32_t i, connected = 0, full = 0;

	for (i = 0; i < group->count; i++) {
		const server_t *server = group->servers[i];

		if (server->control != NULL && server->control->open) {
			connected++;
			continue;
		}
		full += server->full;
		if (server->full && (primary < 0 || primary == (int32_t)i))
			return false;
	}
	return connected >= majority_of(group->count) ||
	    (!group->shared && full == 0);
}

/*
 * Check whether this daemon can serve a group.  While it cannot, another owner
 * may have the connections.
 */
static void
check_connected(group_t *group, int64_t now_us)
{
	if (group->connected != group_connected(group)) {
		group->connected = !group->connected;
		group->connected_changed_us = now_us;
	}
	if (group->connected)
		set_unable(group, false);
	else if (now_us - group->connected_changed_us >= UNABLE_US)
		set_unable(group, true);
}

/*
 * Open the connections of a group that gets a statement.  What was known of its
 * servers before is out of date.
 */
void
group_activate(group_t *group, int64_t now_us)
{
	group->used_us = now_us;
	if (group->active)
		return;
	group->active = true;
	if (group->pool->active_groups++ == 0)
		send_leases_needed(group->pool, true);
	group->created_us = group->connected_changed_us = now_us;
	group->lease_seen_us = now_us;
	group->connected = false;
	failover_clear(&group->failover);
	monitor_init(group, now_us);
	monitor_tick(group, now_us);
}

/*
 * Tell whether a server has no statement or transaction.
 */
static bool
server_is_idle(const server_t *server)
{
	uint32_t i;

	for (i = 0; i < server->conns->len; i++) {
		const dbconn_t *conn = g_ptr_array_index(server->conns, i);

		if (conn->operation != NULL || conn->transaction != NULL)
			return false;
	}
	return server->control == NULL || server->control->operation == NULL;
}

/*
 * Close the connections of a group without statements, and give up its lease.
 */
static void
group_deactivate(group_t *group)
{
	uint32_t i, j;

	for (i = 0; i < group->count; i++) {
		server_t *server = group->servers[i];

		if (server->control != NULL)
			dbconn_close(server->control);
		for (j = server->conns->len; j-- > 0;)
			dbconn_close(g_ptr_array_index(server->conns, j));
		server->unresponsive = false;
		server->unreachable_since_us = 0;
		reconnect_succeeded(&server->reconnect);
	}
	group->active = false;
	set_unable(group, false);
	if (--group->pool->active_groups == 0)
		send_leases_needed(group->pool, false);
	group->unresponsive = group->primary_silent = false;
	lease_cancel(&group->lease);
}

/*
 * Activate or deactivate a group.  One that has statements or transactions
 * stays active.
 */
static void
group_check_active(group_t *group, int64_t now_us)
{
	uint32_t i;

	if (group->owned || group->pool->is_coordinator) {
		if (!group->active)
			group_activate(group, now_us);
		return;
	}
	if (!group->active || now_us - group->used_us < UNUSED_US ||
	    rankq_count(group->primary_backlog) > 0 ||
	    rankq_count(group->replica_backlog) > 0 ||
	    !g_queue_is_empty(&group->held))
		return;
	for (i = 0; i < group->count; i++) {
		if (!server_is_idle(group->servers[i]))
			return;
	}
	group_deactivate(group);
}

/*
 * Note which groups this daemon owns, and with how many others.  With none, it
 * needs no leases.
 */
void
groups_place(pool_t *pool, const Bp__GroupsPlaced *placed)
{
	uint32_t owned_count = 0;
	size_t i;

	for (i = 0; i < placed->n_groups; i++) {
		const Bp__GroupOwnership *ownership = placed->groups[i];
		group_t *group = group_get(pool, ownership->group);

		/* connections that are not needed any more are closed later */
		if (group->owned && !ownership->owned)
			group->used_us = clock_us();
		group->owned = ownership->owned;
		group->owners = MAX(ownership->owners, 1);
		group->shared = ownership->shared;
		owned_count += group->owned;
	}
	if (placed->settled && owned_count == 0 && pool->active_groups == 0)
		send_leases_needed(pool, false);
}

/*
 * Return the index of the server that receives statements for the primary, or
 * -1 when no primary is known or this daemon is changing the primary.
 */
int32_t
group_primary(const group_t *group)
{
	const failover_t *failover = &group->failover;
	int32_t primary = failover_primary(failover);

	if (primary < 0 || group->servers[primary]->departed ||
	    failover->state == FAILOVER_FENCING ||
	    failover->state == FAILOVER_PROMOTING)
		return -1;
	return primary;
}

/*
 * Tell whether a server is connected and has replied recently.
 */
bool
server_answers(const server_t *server, int64_t now_us)
{
	const failover_t *failover = &server->group->failover;

	return !server->removed && server->control != NULL &&
	    server->control->open && failover->views[server->index].known &&
	    now_us - failover->last_alive_us[server->index] <
	    failover->limits.suspect_us;
}

/*
 * Tell whether a server may get new work: it is listed, not shutting down, and
 * has replied recently.
 */
bool
server_usable(const server_t *server, int64_t now_us)
{
	return !server->leaving && server_answers(server, now_us);
}

/*
 * Tell whether a server that leaves may get no new statements and transactions
 * any more, also as the primary.
 */
bool
server_drained(const server_t *server, int64_t now_us)
{
	return server->leaving && (!server->unlisted || server->departed) &&
	    now_us >= server->drain_limit_us;
}

/*
 * Tell whether a server was listed so recently that other daemons may not know
 * of it.
 */
bool
server_newly_listed(const server_t *server, int64_t now_us)
{
	return now_us - server->listed_us <
	    new_database_us(server->group->pool->lease_durations.long_us);
}

/*
 * Tell whether the primary of a group is drained and no other one is about to
 * replace it, so that statements for a primary cannot be served.
 */
bool
group_primary_drained(const group_t *group, int64_t now_us)
{
	int32_t primary = group_primary(group);

	return primary >= 0 &&
	    server_drained(group->servers[primary], now_us) &&
	    !group_failover_in_progress(group, now_us);
}

/*
 * Return the server of a group that has an id, or NULL if there is none.
 */
server_t *
server_find(const group_t *group, const char *id)
{
	uint32_t i;

	for (i = 0; i < group->count; i++) {
		if (strcmp(group->servers[i]->id, id) == 0)
			return group->servers[i];
	}
	return NULL;
}

/*
 * Tell whether a server that a list has is listed for long by the time of its
 * start.  What a process sees appear after its first list is not.  before: as
 * for server_new().
 */
static bool
listed_long_before(const group_t *group, const Bp__Server *entry,
    const server_t *before, int64_t now_us)
{
	const pool_t *pool = group->pool;

	if (before != NULL)
		return before->started_for_long;
	return group->listed_us == 0 &&
	    (pool->listed_first_us == 0 || pool->listed_first_us == now_us) &&
	    started_for_long(entry->born, g_get_real_time() / US_PER_MS,
		pool->lease_durations.long_us);
}

/*
 * Create a server from its catalog entry, without a connection.  before: an
 * earlier start of it, or NULL; daemons that know that one ask the new one.
 */
static server_t *
server_new(group_t *group, const Bp__Server *entry, const server_t *before,
    int64_t now_us)
{
	server_t *server = g_new0(server_t, 1);

	server->group = group;
	server->id = g_strdup(entry->id);
	server->key = server_key(entry->id);
	server->address = g_strdup(entry->address);
	server->port = entry->port;
	server->generation = entry->born;
	server->listed_us = before == NULL ? now_us : before->listed_us;
	server->started_for_long =
	    listed_long_before(group, entry, before, now_us);
	server->same_zone =
	    strcmp(entry->zone, group->pool->proxy->settings->zone) == 0;
	server->conns = g_ptr_array_new();
	log_server_listed(server);
	return server;
}

/*
 * Update the properties that a running server may change.
 */
static void
server_update(server_t *server, const Bp__Server *entry, int64_t now_us)
{
	server->slots = entry->slots;
	if (server->unlisted) {
		server->listed_us = now_us;
		server->started_for_long = false;
	}
	server->drain_limit_us = drain_limit_us((int64_t)entry->stayed_us,
	    server->group->pool->proxy->settings->timeouts->drain_ms);
	if (server->leaving == entry->leaving && !server->unlisted)
		return;
	server->leaving = entry->leaving;
	server->unlisted = server->departed = false;
	log_server_listed(server);
}

/*
 * Remove a server from its group.  It gets no new statements and is freed once
 * those it runs have ended.
 */
static void
server_remove(server_t *server)
{
	server->removed = true;
	open_orders_forget_leader(&server->group->open_orders, server->id);
	log_server_listed(server);
	if (server->control != NULL)
		dbconn_close(server->control);
	g_ptr_array_add(server->group->removed, server);
}

/*
 * Return the entry of an id, or NULL if there is none.  entries: of Bp__Server,
 * or NULL.
 */
static const Bp__Server *
entry_find(const GPtrArray *entries, const char *id)
{
	uint32_t i;

	for (i = 0; entries != NULL && i < entries->len; i++) {
		const Bp__Server *entry = g_ptr_array_index(entries, i);

		if (strcmp(entry->id, id) == 0)
			return entry;
	}
	return NULL;
}

/*
 * Tell whether an entry describes a server as it is known.  One that was
 * restarted or has a new address counts as a different server, since it has
 * none of the previous server's state.
 */
static bool
same_server(const server_t *server, const Bp__Server *entry)
{
	return server->generation == entry->born &&
	    strcmp(server->address, entry->address) == 0 &&
	    server->port == entry->port;
}

/*
 * Tell whether a later start than that of a server is listed.  entries: of
 * Bp__Server, or NULL.
 */
static bool
server_followed(const char *id, const char *address, uint32_t port,
    uint64_t born, const GPtrArray *entries)
{
	arena_t *arena = arena_new();
	start_t start = {id, arena_printf(arena, "%s:%u", address, port), born};
	bool followed = false;
	uint32_t i;

	for (i = 0; entries != NULL && i < entries->len && !followed; i++) {
		const Bp__Server *entry = g_ptr_array_index(entries, i);
		start_t other = {entry->id,
		    arena_printf(arena, "%s:%u", entry->address, entry->port),
		    entry->born};

		followed = start_follows(&other, &start);
	}
	arena_free(arena);
	return followed;
}

/*
 * Return what is known of a server since the last list.
 */
static start_evidence_t
server_evidence(const server_t *server, int64_t now_us)
{
	const failover_t *failover = &server->group->failover;
	const db_view_t *view = &failover->views[server->index];

	return (start_evidence_t){.listed = !server->unlisted,
	    .denied = server->denied,
	    .refused = failover->connect_refusals[server->index] > 0,
	    .leaving = server->unlisted ? server->departed : server->leaving,
	    .member = view->member && server->group->active,
	    .known = view->known && server->group->active,
	    .silent_us = server->unlisted
		? now_us - MAX(view->requested_us, server->unlisted_us)
		: 0};
}

/*
 * Tell whether the process of a server of the group has likely ended, by what
 * is known since the last list.
 */
bool
server_likely_ended(const server_t *server, int64_t now_us)
{
	start_evidence_t evidence = server_evidence(server, now_us);

	return start_likely_ended(&evidence);
}

/*
 * Decide by what is known of a server whether it stays in its group, and note
 * why if not.  Returns whether it does.
 */
static bool
server_stays(server_t *server, const start_evidence_t *evidence, int64_t now_us)
{
	server->removal = start_removal(evidence);
	if (server->removal == START_STAYS)
		return true;
	if (start_ended(evidence))
		group_member_ended(server->group, server, server->removal);
	else
		group_member_removed(
		    server->group, server, server->removal, now_us);
	return false;
}

/*
 * Note that a server is not listed any more, but stays a member of its group.
 */
static void
server_unlist(server_t *server, int64_t now_us)
{
	if (server->unlisted)
		return;
	server->unlisted_us = now_us;
	server->departed = server->leaving;
	server->unlisted = server->leaving = true;
	log_server_listed(server);
}

/*
 * Tell whether a server was removed because this start of it has ended, or is
 * known at another address.
 */
static bool
removed_ended(start_removal_t removal)
{
	return removal == START_FOLLOWED || removal == START_MOVED ||
	    removal == START_DENIED;
}

/*
 * Replace the servers of a group.
 */
static void
servers_replace(
    group_t *group, server_t *const *servers, uint32_t count, int64_t now_us)
{
	uint32_t i, j, old_count = group->count;
	server_t *old[GROUP_DATABASES_MAX];
	int32_t old_index[GROUP_DATABASES_MAX] = {0};
	bool changed;

	memcpy(old, group->servers, sizeof(old));
	changed = count != old_count;
	for (i = 0; i < count; i++)
		changed |= i >= old_count || servers[i] != old[i];
	if (!changed)
		return;
	memcpy(group->servers, servers, sizeof(servers[0]) * count);
	group->count = count;
	for (i = 0; i < count; i++) {
		for (j = 0; j < old_count && old[j] != servers[i]; j++)
			;
		old_index[i] = j < old_count ? (int32_t)j : -1;
		if (j < old_count)
			old[j] = NULL;
		servers[i]->index = i;
	}
	failover_remap(&group->failover, old_index, count, now_us);
	for (i = 0; i < old_count; i++) {
		if (old[i] != NULL)
			group_server_departed(group, old[i], now_us);
	}
	group_members_update(group);
	/* the lease relied on the previous set of servers */
	lease_cancel(&group->lease);
	for (i = 0; i < old_count; i++) {
		if (old[i] == NULL)
			continue;
		if (!old[i]->leaving || (old[i]->unlisted && !old[i]->departed))
			lease_member_lost(
			    &group->lease, removed_ended(old[i]->removal));
		server_remove(old[i]);
	}
}

/*
 * Replace the servers of a group by those that the catalog lists for it, and
 * those that stay members without being listed, but for those that are known to
 * have ended.  entries: of Bp__Server; NULL: the catalog lists none.
 */
static void
servers_apply(group_t *group, const GPtrArray *entries, int64_t now_us)
{
	server_t *servers[GROUP_DATABASES_MAX];
	uint32_t i, count = 0;

	for (i = 0; i < group->count; i++) {
		server_t *server = group->servers[i];
		const Bp__Server *entry = entry_find(entries, server->id);
		start_evidence_t evidence = server_evidence(server, now_us);

		evidence.listed = entry != NULL;
		evidence.followed = server_followed(server->id, server->address,
		    server->port, server->generation, entries);
		evidence.moved = entry != NULL && !same_server(server, entry);
		if (!server_stays(server, &evidence, now_us))
			continue;
		if (entry == NULL)
			server_unlist(server, now_us);
		else
			server_update(server, entry, now_us);
		servers[count++] = server;
	}
	for (i = 0;
	     entries != NULL && i < entries->len && count < GROUP_DATABASES_MAX;
	     i++) {
		const Bp__Server *entry = g_ptr_array_index(entries, i);
		const server_t *known = server_find(group, entry->id);

		if ((known != NULL && same_server(known, entry)) ||
		    server_followed(entry->id, entry->address, entry->port,
			entry->born, entries))
			continue;
		servers[count] = server_new(group, entry, known, now_us);
		group_member_runs(group, servers[count]);
		server_update(servers[count++], entry, now_us);
	}
	if (group->listed_us == 0 && count > 0)
		group_first_listed(group, now_us);
	servers_replace(group, servers, count, now_us);
}

/*
 * Remove the servers that are not listed and do not stay members any longer.
 */
static void
remove_unlisted(group_t *group, int64_t now_us)
{
	server_t *servers[GROUP_DATABASES_MAX];
	uint32_t i, count = 0;

	for (i = 0; i < group->count; i++) {
		server_t *server = group->servers[i];
		start_evidence_t evidence = server_evidence(server, now_us);

		if (server_stays(server, &evidence, now_us))
			servers[count++] = server;
	}
	if (count < group->count)
		servers_replace(group, servers, count, now_us);
}

/*
 * Free the removed servers that have no connections left.
 */
static void
free_removed_servers(group_t *group, int64_t now_us)
{
	uint32_t i = group->removed->len;

	while (i-- > 0) {
		server_t *server = g_ptr_array_index(group->removed, i);

		dbconns_tick(server, now_us);
		if (server->conns->len == 0) {
			g_ptr_array_remove_index_fast(group->removed, i);
			server_free(server);
		}
	}
}

/*
 * Free an array of servers by group.
 */
static void
entries_free(gpointer entries)
{
	g_ptr_array_unref(entries);
}

/*
 * Return the servers of a catalog by the name of their group, in the order of
 * the catalog.
 */
static GHashTable *
servers_by_group(const Bp__Catalog *catalog)
{
	GHashTable *groups =
	    g_hash_table_new_full(g_str_hash, g_str_equal, NULL, entries_free);
	size_t i;

	for (i = 0; i < catalog->n_servers; i++) {
		Bp__Server *entry = catalog->servers[i];
		GPtrArray *entries = g_hash_table_lookup(groups, entry->group);

		if (entries == NULL) {
			entries = g_ptr_array_new();
			g_hash_table_insert(groups, entry->group, entries);
		}
		g_ptr_array_add(entries, entry);
	}
	return groups;
}

/*
 * Apply a new catalog to the groups and their servers.
 */
void
catalog_apply(pool_t *pool, const Bp__Catalog *catalog)
{
	GHashTable *servers = servers_by_group(catalog);
	int64_t now_us = clock_us();
	GHashTableIter iter;
	gpointer name, value;
	size_t i;

	pool->transaction_idle_ms = catalog->transaction_idle_ms;
	for (i = 0; i < catalog->n_groups; i++) {
		const Bp__ServerGroup *entry = catalog->groups[i];
		group_t *group = group_get(pool, entry->name);

		group->connections_max = entry->connections_max;
		group->sync_replicas = entry->sync_replicas;
		group->failover.limits.sync_replicas = entry->sync_replicas;
	}
	g_hash_table_iter_init(&iter, pool->groups);
	while (g_hash_table_iter_next(&iter, &name, &value))
		servers_apply(
		    value, g_hash_table_lookup(servers, name), now_us);
	g_hash_table_unref(servers);
}

/*
 * Do the periodic work of a group: probe its servers, send queued statements
 * and end statements whose time is over.
 */
void
group_tick(group_t *group, int64_t now_us)
{
	if (!group->active && !group->owned && !group->pool->is_coordinator &&
	    group->removed->len == 0)
		return;
	group_check_active(group, now_us);
	if (group->active) {
		monitor_tick(group, now_us);
		check_connected(group, now_us);
	}
	remove_unlisted(group, now_us);
	free_removed_servers(group, now_us);
	dispatch(group, now_us);
	operations_expire(group, now_us);
}
