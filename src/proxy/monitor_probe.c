#include "monitor_internal.h"

/* Status requests to the servers of a group. */

/* Interval of status requests to a server while a lease has to be renewed. */
#define RENEW_INTERVAL_US (60 * US_PER_MS)

/*
 * A server with outstanding answers that has sent none for this long gets a
 * status request, repeated at the same interval.
 */
#define NO_REPLY_US (150 * US_PER_MS)

/*
 * Interval of status requests to a primary without statements.  Replicas serve
 * reads only while the position of the primary is known, since theirs is
 * compared with it.
 */
#define IDLE_PRIMARY_INTERVAL_US (800 * US_PER_MS)

/* Longest interval of status requests to any server. */
#define STATUS_INTERVAL_MAX_US (8000 * US_PER_MS)

/* Interval of status requests to a server that is not listed. */
#define UNLISTED_INTERVAL_US (1000 * US_PER_MS)

/* Interval of status requests during a change of primary. */
#define FAILOVER_INTERVAL_US (40 * US_PER_MS)

/*
 * Send a status request to a server, unless a status request is outstanding.
 */
void
monitor_request_status(server_t *server, int64_t now_us)
{
	dbconn_t *conn = server->control;

	if (conn == NULL || !conn->open || server->status_pending)
		return;
	server->status_pending = true;
	server->status_sent_us = now_us;
	server->group->pool->wire->status(conn->out);
	dbconn_expect_answer(conn, EXPECT_STATUS, 0);
	dbconn_send(conn);
}

/*
 * Return the current interval of status requests to a server.  As each request
 * costs the server some work, a lease is renewed by one request to the primary,
 * unless it has carried out a write recently, and one to the replica with the
 * oldest status; the other replicas get one only if that replica does not
 * answer within RENEW_INTERVAL_US.
 */
static int64_t
status_interval_us(const server_t *server, int64_t now_us)
{
	const group_t *group = server->group;
	const lease_duration_t *durations = &group->pool->lease_durations;
	int64_t duration_us = durations->listed_since_us != 0
	    ? durations->long_us
	    : durations->short_us;
	int64_t renew_us = duration_us * LEASE_RENEW_PERCENT / 100, left_us;
	int32_t primary = failover_primary(&group->failover);
	uint32_t i;

	if (group_failover_in_progress(group, now_us) || primary < 0)
		return FAILOVER_INTERVAL_US;
	if (group->lease.unverified ||
	    group->failover.views[server->index].order_open)
		return RENEW_INTERVAL_US;
	if (server->unlisted)
		return UNLISTED_INTERVAL_US;
	if (server->outstanding > 0 &&
	    now_us - server->outstanding_since_us >= NO_REPLY_US)
		return NO_REPLY_US;
	left_us = lease_supported_until_us(&group->lease, durations,
		      (int32_t)server->index == primary) -
	    now_us;
	if ((int32_t)server->index == primary) {
		if (left_us < renew_us)
			return RENEW_INTERVAL_US;
		return position_history_age_us(&group->position_history,
			   now_us) >= IDLE_PRIMARY_INTERVAL_US
		    ? IDLE_PRIMARY_INTERVAL_US
		    : STATUS_INTERVAL_MAX_US;
	}
	if (left_us >= renew_us)
		return STATUS_INTERVAL_MAX_US;
	if (left_us >= renew_us - RENEW_INTERVAL_US) {
		for (i = 0; i < group->count; i++) {
			if ((int32_t)i != primary &&
			    server_usable(group->servers[i], now_us) &&
			    group->servers[i]->status_sent_us <
				server->status_sent_us)
				return STATUS_INTERVAL_MAX_US;
		}
	}
	return RENEW_INTERVAL_US;
}

/*
 * Keep the control connection of a server open, and send a status request when
 * one is due.
 */
void
probe_server(server_t *server, int64_t now_us)
{
	const Bp__ProxyTimeouts *timeouts =
	    server->group->pool->proxy->settings->timeouts;
	int64_t timeout_us = (int64_t)timeouts->status_timeout_ms * US_PER_MS;
	dbconn_t *conn = server->control;

	if (conn == NULL) {
		if (reconnect_allowed(&server->reconnect, now_us))
			dbconn_open(server, true);
		return;
	}
	if (conn->expected->len > 0 && conn->operation == NULL &&
	    now_us -
		    MAX(g_array_index(conn->expected, expected_answer_t, 0)
			    .sent_us,
			conn->last_change_us) >=
		timeout_us) {
		dbconn_fail(conn, "no answer on the control connection");
		return;
	}
	if (now_us - server->status_sent_us <
	    status_interval_us(server, now_us))
		return;
	/* the status request waits behind the statement that runs on the
	   control connection, but a server that opens another connection is
	   alive */
	if (conn->operation != NULL && server->conns->len == 0)
		dbconns_grow(server, 1, now_us);
	monitor_request_status(server, now_us);
}
