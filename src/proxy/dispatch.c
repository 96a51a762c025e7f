#include "pool.h"

#include "decide/read_balance.h"

#include <string.h>

/* Selection of a server and connection for each queued statement. */

/* Age from which a replica's last reported position is ignored. */
#define APPLIED_MAX_AGE_US (100 * US_PER_MS)

/* Maximum age of a server's status while statements wait for a free slot. */
#define STATUS_MAX_AGE_US (250 * US_PER_MS)

/*
 * Run a statement on a connection.  The first statement of a transaction binds
 * the transaction to the connection.
 */
static void
run_on_connection(
    operation_t *operation, dbconn_t *conn, const position_t *after)
{
	transaction_t *transaction = operation->transaction;

	operation->state = OPERATION_SENT;
	operation->needed = after == NULL ? (position_t){0, 0} : *after;
	operation->on_primary = after == NULL;
	if (transaction != NULL) {
		transaction->conn = conn;
		transaction->on_replica = after != NULL;
		conn->transaction = transaction;
	}
	dbconn_run(conn, operation, after);
}

/*
 * Return how many statements this daemon may run at once on a server, including
 * the given statement.  The limit depends on the statement's rank and on the
 * number of busy slots.
 */
static uint32_t
in_flight_limit(const server_t *server, const operation_t *operation)
{
	return concurrency_limit(
	    server->slots, server->busy, operation->item.rank);
}

/*
 * Request the status of a server, to learn how many of its slots are busy,
 * unless the status was requested recently.
 */
static void
refresh_status(server_t *server, int64_t now_us)
{
	if (now_us - server->status_sent_us >= STATUS_MAX_AGE_US)
		monitor_request_status(server, now_us);
}

/*
 * Send statements that need the primary while it has free slots and idle
 * connections and is not drained, this daemon's lease on it is valid, and the
 * servers that open orders name answer.
 */
static void
dispatch_primary(group_t *group, int64_t now_us)
{
	int32_t primary = group_primary(group);
	operation_t *operation;
	server_t *server;
	dbconn_t *conn;

	if (primary < 0 || group->lease.expires_us <= now_us ||
	    !group_orders_checkable(group, now_us))
		return;
	server = group->servers[primary];
	if (server->unlisted || server_drained(server, now_us))
		return;
	while (rankq_count(group->primary_backlog) > 0 &&
	    server->in_flight < server->slots) {
		operation = rankq_pop(group->primary_backlog)->owner;
		if (server->in_flight >= in_flight_limit(server, operation)) {
			operation_queue(operation, true);
			break;
		}
		conn = dbconn_find_idle(server, operation->run);
		if (conn == NULL) {
			operation_queue(operation, true);
			dbconns_grow(server, server->conns->len + 1, now_us);
			return;
		}
		run_on_connection(operation, conn, NULL);
	}
	if (rankq_count(group->primary_backlog) > 0)
		refresh_status(server, now_us);
}

/*
 * Determine the log position that a replica must have applied to serve a read:
 * recent enough for the route's maximum staleness and, where a session must see
 * its own writes, not before the last of them (the session's floor).  Returns
 * false if no known position is recent enough, so that only the primary may
 * serve the read.
 */
static bool
required_position(operation_t *operation, position_t *required)
{
	const Bp__RunOperation *run = operation->run;
	position_t floor = {run->floor_term, run->floor_index};
	const position_sample_t *sample = read_required_position(
	    &operation->group->position_history, operation->arrived_us,
	    (int64_t)run->route->max_age_ms * US_PER_MS,
	    run->route->freshness == BP__FRESHNESS__OWN_WRITES ? &floor : NULL,
	    required);

	if (sample == NULL)
		return false;
	operation->sample = *sample;
	return true;
}

/*
 * Tell whether a read may be sent to a replica: the replica has reported the
 * required position, or its last report is out of date.  A replica refuses a
 * read that requires a position which it has not applied.
 */
static bool
may_have_applied(const server_t *server, position_t required, int64_t now_us)
{
	return position_compare(server->applied, required) >= 0 ||
	    now_us - server->applied_us >= APPLIED_MAX_AGE_US;
}

/*
 * Tell whether a primary that leaves may still get reads that no replica can
 * serve.
 */
static bool
leaving_primary_serves(const server_t *primary, int64_t now_us)
{
	return primary->leaving && !primary->unlisted &&
	    !server_drained(primary, now_us) && server_answers(primary, now_us);
}

/*
 * Send a read to the most suitable server of its group.  Returns false if no
 * server is available now.
 */
static bool
dispatch_read(operation_t *operation, int64_t now_us)
{
	group_t *group = operation->group;
	int32_t primary = group_primary(group);
	read_candidate_t candidates[GROUP_DATABASES_MAX];
	bool lease_valid = group->lease.expires_us > now_us &&
	    group_orders_checkable(group, now_us);
	position_t required;
	bool replicas_allowed = required_position(operation, &required);
	server_t *server;
	dbconn_t *conn;
	int32_t chosen;
	uint32_t i;

	for (i = 0; i < group->count; i++) {
		read_candidate_t *candidate = &candidates[i];

		server = group->servers[i];
		candidate->primary = (int32_t)i == primary;
		candidate->usable = server_usable(server, now_us) &&
		    (candidate->primary ? lease_valid
					: replicas_allowed &&
				may_have_applied(server, required, now_us));
		candidate->same_zone = server->same_zone;
		candidate->tried =
		    operation->tries > 0 && operation->server == server;
		candidate->slots = server->slots;
		candidate->in_flight = server->in_flight;
		candidate->limit = in_flight_limit(server, operation);
		candidate->reported_busy = server->busy;
	}
	chosen = read_balance_choose(candidates, group->count);
	if (chosen == READ_BALANCE_NONE && primary >= 0 && lease_valid &&
	    leaving_primary_serves(group->servers[primary], now_us)) {
		candidates[primary].usable = true;
		chosen = read_balance_choose(candidates, group->count);
	}
	if (chosen < 0) {
		for (i = 0; chosen == READ_BALANCE_BUSY && i < group->count;
		     i++) {
			if (candidates[i].usable)
				refresh_status(group->servers[i], now_us);
		}
		return false;
	}
	server = group->servers[chosen];
	conn = dbconn_find_idle(server, operation->run);
	if (conn == NULL) {
		dbconns_grow(server, server->conns->len + 1, now_us);
		return false;
	}
	if (chosen != primary &&
	    position_compare(server->applied, required) < 0)
		server->applied_us = now_us;
	run_on_connection(
	    operation, conn, chosen == primary ? NULL : &required);
	return true;
}

/*
 * Send reads that replicas may serve.  Up to RANKS reads that cannot be sent
 * now are skipped to reach those behind them, and keep their place in the
 * backlog.
 */
static void
dispatch_reads(group_t *group, int64_t now_us)
{
	operation_t *deferred[RANKS];
	uint32_t deferred_count = 0;

	while (
	    rankq_count(group->replica_backlog) > 0 && deferred_count < RANKS) {
		operation_t *operation =
		    rankq_pop(group->replica_backlog)->owner;

		if (!dispatch_read(operation, now_us))
			deferred[deferred_count++] = operation;
	}
	while (deferred_count > 0)
		operation_queue(deferred[--deferred_count], true);
}

/*
 * Send every statement of a group that can be sent now.
 */
void
dispatch(group_t *group, int64_t now_us)
{
	if (rankq_count(group->primary_backlog) > 0)
		dispatch_primary(group, now_us);
	if (rankq_count(group->replica_backlog) > 0)
		dispatch_reads(group, now_us);
}
