#include "pool.h"

/* The pool task's part of the status page and the metrics. */

static const char *const counter_names[POOL_COUNTERS] = {
    [COUNT_SENT] = "statements_sent",
    [COUNT_SENT_TO_REPLICAS] = "statements_sent_to_replicas",
    [COUNT_RETRIED] = "statements_retried",
    [COUNT_HELD] = "statements_held",
    [COUNT_CONNECTIONS_OPENED] = "server_connections_opened",
    [COUNT_CONNECTIONS_LOST] = "server_connections_lost",
    [COUNT_PRIMARIES_CONFIRMED] = "primaries_confirmed",
    [COUNT_PROMOTIONS_ORDERED] = "promotions_ordered",
    [COUNT_LINES_LEFT_OUT] = "log_lines_left_out",
    [COUNT_TRANSACTIONS_OPEN] = "transactions_open",
    [COUNT_DAEMONS] = "daemons_known",
};

/*
 * Create the status of one server for the status page.
 */
static Bp__DatabaseStatus *
database_status_new(const server_t *server, arena_t *arena, int64_t now_us)
{
	const group_t *group = server->group;
	const db_view_t *view = &group->failover.views[server->index];
	Bp__DatabaseStatus *status = (Bp__DatabaseStatus *)message_new(
	    arena, &bp__database_status__descriptor);

	status->name = arena_strdup(arena, server->id);
	status->zone = (char *)(server->same_zone ? "own" : "other");
	status->reachable = server_usable(server, now_us);
	status->primary =
	    failover_primary(&group->failover) == (int32_t)server->index;
	status->leaving = server->leaving;
	status->promised = view->promised;
	status->term = view->last_entry.term;
	status->position = view->last_entry.index;
	status->connections = server->conns->len + (server->control != NULL);
	status->in_flight = server->in_flight;
	return status;
}

/*
 * Create the status of one group for the status page.
 */
static Bp__GroupStatus *
group_status_new(const group_t *group, arena_t *arena, int64_t now_us)
{
	Bp__GroupStatus *status = (Bp__GroupStatus *)message_new(
	    arena, &bp__group_status__descriptor);
	int32_t primary = failover_primary(&group->failover);
	uint32_t i;

	status->team = (char *)"";
	status->name = arena_strdup(arena, group->name);
	status->owner = (char *)"";
	status->term = group->lease.term;
	if (primary >= 0)
		status->primary =
		    arena_strdup(arena, group->servers[primary]->id);
	status->queued = rankq_count(group->primary_backlog) +
	    rankq_count(group->replica_backlog);
	status->databases = arena_zalloc(
	    arena, sizeof(status->databases[0]) * (group->count + 1));
	for (i = 0; i < group->count; i++)
		status->databases[status->n_databases++] =
		    database_status_new(group->servers[i], arena, now_us);
	return status;
}

/*
 * Handle StatusRequest: answer with the counters, latencies and groups of the
 * pool.
 */
void
pool_status(void *context, msg_t *msg)
{
	pool_t *pool = context;
	counters_t counters = {
	    counter_names, pool->counts, POOL_COUNTERS, POOL_GAUGES};
	int64_t now_us = clock_us();
	GHashTableIter iter;
	Bp__StatusPart *part;
	gpointer value;
	msg_t *out;

	pool->counts[COUNT_TRANSACTIONS_OPEN] =
	    g_hash_table_size(pool->transactions);
	pool->counts[COUNT_DAEMONS] = pool->daemons_count;
	out = counters_status_part(&counters, msg);
	part = (Bp__StatusPart *)out->body;
	latencies_report(pool->latencies, out->arena, part);
	part->groups = arena_zalloc(out->arena,
	    sizeof(part->groups[0]) * (g_hash_table_size(pool->groups) + 1));
	g_hash_table_iter_init(&iter, pool->groups);
	while (g_hash_table_iter_next(&iter, NULL, &value))
		part->groups[part->n_groups++] =
		    group_status_new(value, out->arena, now_us);
	task_send(msg->from, pool->task, out);
	msg_free(msg);
}
