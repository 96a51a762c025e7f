#include "pool.h"

#include "decide/spread.h"

#include <string.h>

/* What is sent where, and when. */

/* What a replica had applied is not known any more after this time. */
#define APPLIED_US (100 * US_PER_MS)

/* How old the word of a full server may be while statements wait for it. */
#define BUSY_US (250 * US_PER_MS)

/*
 * Hand a statement to a connection; the first of a transaction ties the
 * transaction to it.
 */
static void
send_to(operation_t *operation, dbconn_t *conn, const position_t *after)
{
	transaction_t *transaction = operation->transaction;

	operation->state = OPERATION_SENT;
	operation->needed = after == NULL ? (position_t){0, 0} : *after;
	if (transaction != NULL) {
		transaction->conn = conn;
		transaction->on_replica = after != NULL;
		conn->transaction = transaction;
	}
	dbconn_run(conn, operation, after);
}

/*
 * How many statements this daemon has at a server at once, when the next is
 * this one.
 */
static uint32_t
in_flight_limit(const server_t *server, const operation_t *operation)
{
	return spread_limit(server->slots, server->busy, operation->item.rank);
}

/*
 * Learn how busy a server is while statements wait for it.
 */
static void
ask_when_old(server_t *server, int64_t now_us)
{
	if (now_us - server->asked_us >= BUSY_US)
		watch_ask(server, now_us);
}

/*
 * Send what waits for the primary while it has slots and connections.
 */
static void
dispatch_primary(group_t *group, int64_t now_us)
{
	int32_t primary = group_primary(group);
	operation_t *operation;
	server_t *server;
	dbconn_t *conn;

	if (primary < 0 || group->lease.until_us <= now_us)
		return;
	server = group->servers[primary];
	while (rankq_count(group->primary_lane) > 0 &&
	    server->in_flight < server->slots) {
		operation = rankq_pop(group->primary_lane)->owner;
		if (server->in_flight >= in_flight_limit(server, operation)) {
			operation_queue(operation, true);
			break;
		}
		conn = dbconn_idle(server, operation->run);
		if (conn == NULL) {
			operation_queue(operation, true);
			dbconns_grow(server, server->conns->len + 1, now_us);
			return;
		}
		send_to(operation, conn, NULL);
	}
	if (rankq_count(group->primary_lane) > 0)
		ask_when_old(server, now_us);
}

/*
 * The position a replica needs to serve a read: past the session's floor,
 * and young enough.  Returns false when no replica can be shown to be.
 */
static bool
needed_position(const operation_t *operation, position_t *needed)
{
	const Bp__RunOperation *run = operation->run;
	position_t floor = {run->floor_term, run->floor_index};

	if (!samples_needed(&operation->group->samples, operation->arrived_us,
		(int64_t)run->route->max_age_ms * US_PER_MS, needed))
		return false;
	if (run->route->freshness == BP__FRESHNESS__OWN_WRITES &&
	    position_compare(floor, *needed) > 0)
		*needed = floor;
	return true;
}

/*
 * Tell whether a replica may be tried with a read: it is known to have the
 * position, or nothing has been heard of it for a while.  It refuses a read
 * whose position it lacks.
 */
static bool
may_have(const server_t *server, position_t needed, int64_t now_us)
{
	return position_compare(server->applied, needed) >= 0 ||
	    now_us - server->applied_us >= APPLIED_US;
}

/*
 * Send a read to the database of its group that suits best.  Returns false
 * when it has to wait.
 */
static bool
send_read(operation_t *operation, int64_t now_us)
{
	group_t *group = operation->group;
	int32_t primary = group_primary(group);
	spread_t candidates[GROUP_DATABASES_MAX];
	bool certain = group->lease.until_us > now_us;
	position_t needed;
	bool known = needed_position(operation, &needed);
	server_t *server;
	dbconn_t *conn;
	int32_t chosen;
	uint32_t i;

	for (i = 0; i < group->count; i++) {
		spread_t *candidate = &candidates[i];

		server = group->servers[i];
		candidate->primary = (int32_t)i == primary;
		candidate->usable = server_usable(server, now_us) &&
		    (candidate->primary
			    ? certain
			    : known && may_have(server, needed, now_us));
		candidate->same_zone = server->same_zone;
		candidate->tried =
		    operation->tries > 0 && operation->server == server;
		candidate->slots = server->slots;
		candidate->in_flight = server->in_flight;
		candidate->limit = in_flight_limit(server, operation);
		candidate->reported_busy = server->busy;
	}
	chosen = spread_choose(candidates, group->count);
	if (chosen < 0) {
		for (i = 0; chosen == SPREAD_BUSY && i < group->count; i++) {
			if (candidates[i].usable)
				ask_when_old(group->servers[i], now_us);
		}
		return false;
	}
	server = group->servers[chosen];
	conn = dbconn_idle(server, operation->run);
	if (conn == NULL) {
		dbconns_grow(server, server->conns->len + 1, now_us);
		return false;
	}
	if (position_compare(server->applied, needed) < 0)
		server->applied_us = now_us;
	send_to(operation, conn, chosen == primary ? NULL : &needed);
	return true;
}

/*
 * Send reads that any database of the group may serve.  Those that have to
 * wait keep their place; a few of them are looked past.
 */
static void
dispatch_reads(group_t *group, int64_t now_us)
{
	operation_t *waiting[RANKS];
	uint32_t n = 0;

	while (rankq_count(group->replica_lane) > 0 && n < RANKS) {
		operation_t *operation = rankq_pop(group->replica_lane)->owner;

		if (!send_read(operation, now_us))
			waiting[n++] = operation;
	}
	while (n > 0)
		operation_queue(waiting[--n], true);
}

/*
 * Send everything that can go out now.
 */
void
dispatch(group_t *group, int64_t now_us)
{
	if (rankq_count(group->primary_lane) > 0)
		dispatch_primary(group, now_us);
	if (rankq_count(group->replica_lane) > 0)
		dispatch_reads(group, now_us);
}
