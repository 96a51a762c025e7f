#include "monitor_internal.h"

#include <string.h>

/* Initial state and tick of the monitoring of a group. */

/*
 * A promotion is ordered no earlier than LEASE_WAIT_MIN_US after the last
 * server was fenced, and the platform takes at least PROMOTION_MIN_US to carry
 * it out.  Together they last UNLISTED_LEASE_US: the leases of daemons that
 * cannot be asked to revoke them have expired when the new primary starts.
 */
#define LEASE_WAIT_MIN_US (150 * US_PER_MS)
#define PROMOTION_MIN_US (100 * US_PER_MS)

/*
 * A daemon that has just started changes no primary: the databases may be
 * busy opening many connections at once.
 */
#define STARTUP_US (1500 * US_PER_MS)

/* Time limit for a replica to catch up with a primary that has stepped down. */
#define CATCH_UP_US (150 * US_PER_MS)

/* Time limit for fencing a majority of the servers. */
#define FENCE_TIMEOUT_US (500 * US_PER_MS)

/* Time limit for an ordered promotion to show in the server's status. */
#define PROMOTION_TIMEOUT_US (1500 * US_PER_MS)

/*
 * Time for which a server that turns connections away may be the primary.
 * Servers keep the connections of machines that lost power for three seconds,
 * and the last delay between two attempts to connect is half as long.
 */
#define TURNED_AWAY_US (5000 * US_PER_MS)

/* Base of the random delay after a failed failover; doubles each time. */
#define BACKOFF_US (100 * US_PER_MS)

/*
 * Set the time limits of failovers from the settings.
 */
void
proxy_failover_limits(
    const Bp__ProxyTimeouts *timeouts, failover_limits_t *limits)
{
	memset(limits, 0, sizeof(*limits));
	limits->suspect_us = (int64_t)timeouts->suspect_ms * US_PER_MS;
	limits->witness_override_us = 5 * limits->suspect_us;
	limits->fence_us = FENCE_TIMEOUT_US;
	limits->promotion_us = PROMOTION_TIMEOUT_US;
	limits->order_late_us = ORDER_LATE_US;
	limits->turned_away_us = TURNED_AWAY_US;
	limits->backoff_us = BACKOFF_US;
	limits->lease_wait_us =
	    (int64_t)timeouts->lease_ms * US_PER_MS - PROMOTION_MIN_US;
	limits->lease_wait_min_us = LEASE_WAIT_MIN_US;
	limits->catch_up_us = CATCH_UP_US;
	limits->revocable = true;
}

/*
 * Initialize the failover state of a new group.
 */
void
monitor_init(group_t *group, int64_t now_us)
{
	failover_limits_t limits;

	proxy_failover_limits(group->pool->proxy->settings->timeouts, &limits);
	limits.sync_replicas = group->sync_replicas;
	failover_init(&group->failover, &limits, group->count,
	    g_rand_int(group->pool->rand), now_us);
	failover_orders_recorded(
	    &group->failover, &group->lease.orders, now_us);
	group_members_update(group);
}

/*
 * Note whether a change of primary is due and no server can take over.
 */
static void
set_no_candidate(group_t *group, bool no_candidate, int64_t now_us)
{
	if (group->no_candidate == no_candidate)
		return;
	group->no_candidate = no_candidate;
	log_no_candidate(group, now_us);
}

/*
 * Log when the primary falls silent, also if so many others do that it cannot
 * be replaced, and when it answers again.
 */
static void
check_primary_silent(group_t *group, int64_t now_us)
{
	int32_t primary = failover_primary(&group->failover);
	bool silent = group->unresponsive ||
	    (primary >= 0 &&
		!failover_answers(&group->failover, (uint32_t)primary, now_us));

	if (silent == group->primary_silent)
		return;
	group->primary_silent = silent;
	log_primary_suspected(group, now_us);
}

/*
 * Carry out the actions of a failover.
 */
static void
execute_actions(
    group_t *group, const failover_actions_t *actions, int64_t now_us)
{
	uint32_t i;

	for (i = 0; i < actions->count; i++)
		execute_action(group, &actions->list[i], now_us);
}

/*
 * Probe the servers of a group, and run failovers and handovers if this daemon
 * is the coordinator.  One that has lost the role gives up its attempt, or
 * would wait with the statements until it is the coordinator again.
 */
void
monitor_tick(group_t *group, int64_t now_us)
{
	failover_t *failover = &group->failover;
	failover_actions_t actions;
	int32_t primary;
	uint32_t i;

	if (group->lease.expires_us > now_us)
		group->lease_seen_us = now_us;
	group_orders_update(group, now_us);
	group_promises_update(group, now_us);
	for (i = 0; i < group->count; i++) {
		const server_t *server = group->servers[i];

		failover->views[i].leaving = server->leaving;
		failover->views[i].expired = server_drained(server, now_us);
		failover->views[i].unlisted = server->unlisted;
		failover->views[i].newly_listed =
		    server_newly_listed(server, now_us);
		failover->views[i].likely_ended =
		    server_likely_ended(server, now_us);
		if (server->outstanding == 0 && !server->unresponsive)
			failover_not_probed(failover, i, now_us);
		probe_server(group->servers[i], now_us);
		dbconns_tick(group->servers[i], now_us);
	}
	/* the servers that each daemon should know grow with time */
	if (group->members_count == 0)
		group_former_update(group);
	failover_set_store(
	    failover, group->pool->store_away, group->stored_attempt_term);
	group->unresponsive = failover_primary_suspected(failover, now_us);
	check_primary_silent(group, now_us);
	if (now_us - group->pool->started_us < STARTUP_US)
		return;
	check_takeover(group, now_us);
	if (!group->pool->is_coordinator || group->count == 0) {
		set_no_candidate(group, false, now_us);
		watch_handover(group, now_us);
		failover_tick_denied(failover, now_us, &actions);
		execute_actions(group, &actions, now_us);
		return;
	}
	check_handover(group, now_us);
	group_orders_record_shown(group, now_us);
	failover_term_reported(
	    failover, lease_newest_term(&group->lease), now_us);
	primary = failover_primary(failover);
	failover_set_unaware(failover,
	    primary < 0 ? 0
			: lease_unaware_since_us(&group->lease,
			      failover->views[primary].promised, now_us));
	group_members_check(group, now_us);
	failover->release_allowed = coordinator_confirmed(group->pool, now_us);
	failover_tick(failover, now_us, &actions);
	set_no_candidate(group, failover->no_candidate, now_us);
	execute_actions(group, &actions, now_us);
}
