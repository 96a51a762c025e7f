#include "pool.h"

/* The pool's part of the status page and the metrics. */

static const char *const counter_names[COUNT_POOL_COUNTERS] = {
    [COUNT_SENT] = "statements_sent",
    [COUNT_SENT_TO_REPLICAS] = "statements_sent_to_replicas",
    [COUNT_RETRIED] = "statements_retried",
    [COUNT_HELD] = "statements_held",
    [COUNT_CONNECTIONS_OPENED] = "server_connections_opened",
    [COUNT_CONNECTIONS_LOST] = "server_connections_lost",
    [COUNT_PRIMARIES_CONFIRMED] = "primaries_confirmed",
    [COUNT_ORDERS] = "promotions_ordered",
    [COUNT_LINES_LEFT_OUT] = "log_lines_left_out",
    [COUNT_TRANSACTIONS_OPEN] = "transactions_open",
    [COUNT_DAEMONS] = "daemons_known",
};

/*
 * What is known of one server.
 */
static Bp__DatabaseStatus *
server_page(const server_t *server, arena_t *arena, int64_t now_us)
{
	const group_t *group = server->group;
	const db_view_t *view = &group->promote.views[server->index];
	Bp__DatabaseStatus *to = (Bp__DatabaseStatus *)message_new(
	    arena, &bp__database_status__descriptor);

	to->name = arena_strdup(arena, server->id);
	to->zone = (char *)(server->same_zone ? "own" : "other");
	to->reachable = server_usable(server, now_us);
	to->primary =
	    promote_primary(&group->promote) == (int32_t)server->index;
	to->leaving = server->leaving;
	to->promised = view->promised;
	to->term = view->last.term;
	to->position = view->last.index;
	to->connections = server->conns->len + (server->control != NULL);
	to->in_flight = server->in_flight;
	return to;
}

/*
 * What is known of one group.
 */
static Bp__GroupStatus *
group_page(const group_t *group, arena_t *arena, int64_t now_us)
{
	Bp__GroupStatus *to = (Bp__GroupStatus *)message_new(
	    arena, &bp__group_status__descriptor);
	int32_t primary = promote_primary(&group->promote);
	uint32_t i;

	to->team = (char *)"";
	to->name = arena_strdup(arena, group->name);
	to->owner = (char *)"";
	to->term = group->lease.term;
	if (primary >= 0)
		to->primary = arena_strdup(arena, group->servers[primary]->id);
	to->queued =
	    rankq_count(group->primary_lane) + rankq_count(group->replica_lane);
	to->databases =
	    arena_zero(arena, sizeof(to->databases[0]) * (group->count + 1));
	for (i = 0; i < group->count; i++)
		to->databases[to->n_databases++] =
		    server_page(group->servers[i], arena, now_us);
	return to;
}

/*
 * An operator wants to know.
 */
void
pool_status(void *context, msg_t *msg)
{
	pool_t *pool = context;
	counters_t counters = {
	    counter_names, pool->counts, COUNT_POOL_COUNTERS, POOL_GAUGES};
	int64_t now_us = clock_us();
	GHashTableIter iter;
	Bp__StatusPart *part;
	gpointer value;
	msg_t *out;

	pool->counts[COUNT_TRANSACTIONS_OPEN] =
	    g_hash_table_size(pool->transactions);
	pool->counts[COUNT_DAEMONS] = pool->daemons;
	out = counters_answer(&counters, msg);
	part = (Bp__StatusPart *)out->body;
	latencies_report(pool->latencies, out->arena, part);
	part->groups = arena_zero(out->arena,
	    sizeof(part->groups[0]) * (g_hash_table_size(pool->groups) + 1));
	g_hash_table_iter_init(&iter, pool->groups);
	while (g_hash_table_iter_next(&iter, NULL, &value))
		part->groups[part->n_groups++] =
		    group_page(value, out->arena, now_us);
	task_send(msg->from, pool->task, out);
	msg_free(msg);
}
