#include "monitor_internal.h"

/* The coordinator role: its confirmation, and when this daemon asks for it. */

/* Time that a new coordinator has to end a failover that shows no effect. */
#define STUCK_TAKEOVER_US (5000 * US_PER_MS)

/*
 * Time that the coordinator has to replace an unresponsive primary, counted
 * from its last sign of doing so, before another daemon asks for the role.
 * Each daemon adds a random time, so that they do not take the role from each
 * other.
 */
#define TAKEOVER_DELAY_US (900 * US_PER_MS)
#define TAKEOVER_JITTER_US (600 * US_PER_MS)

/*
 * Ask the registry task to check which daemon is the coordinator, and to take
 * the role if possible.
 */
void
request_coordinator_check(pool_t *pool)
{
	if (pool->coordinator_check_pending)
		return;
	pool->coordinator_check_pending = true;
	task_send(pool->proxy->registry, pool->task,
	    msg_new(&bp__duty_wanted__descriptor));
}

/*
 * Tell whether the store has just confirmed that this daemon is the
 * coordinator, and no order of a former one may take effect any more.
 */
bool
coordinator_confirmed(const pool_t *pool, int64_t now_us)
{
	return now_us - pool->coordinator_since_us >= ORDER_LATE_US &&
	    now_us - pool->coordinator_confirmed_us < COORDINATOR_CONFIRMED_US;
}

/*
 * Tell whether the coordinator should replace the primary now: it is
 * unresponsive or leaving, and a server that can take over answers.
 */
static bool
replacement_due(const group_t *group, int64_t now_us)
{
	int32_t primary = failover_primary(&group->failover);

	if (group->unresponsive)
		return failover_candidate_answers(&group->failover, now_us);
	return primary >= 0 && group->servers[primary]->leaving &&
	    failover_handover_possible(&group->failover, now_us);
}

/*
 * Return the time that the coordinator has to act.  due: it should replace the
 * primary now; the time is longer after a mere sign of a failover, which may
 * have to wait for leases to expire.  One that has likely ended has no time,
 * but the random part remains.
 */
static int64_t
takeover_delay_us(const group_t *group, bool due)
{
	if (due && group->revoker_lost)
		return group->pool->takeover_delay_us - TAKEOVER_DELAY_US;
	return group->pool->takeover_delay_us + (due ? 0 : STUCK_TAKEOVER_US);
}

/*
 * Tell whether the coordinator may be waiting for leases to end, since a sign
 * of a change of primary: it gives no other one meanwhile.  One that has likely
 * ended is not waited for.
 */
bool
monitor_leases_awaited(const group_t *group, bool due, int64_t now_us)
{
	return group->failover_seen_us != 0 && !group->revoker_lost &&
	    now_us - group->failover_seen_us < takeover_delay_us(group, due) +
		group->pool->lease_durations.long_us;
}

/*
 * Return the time at which this daemon asks for the coordinator role if the
 * coordinator does not act; 0 if there is nothing to do for it.
 */
int64_t
monitor_takeover_us(const group_t *group, bool due)
{
	return group->failover_due_since_us == 0
	    ? 0
	    : group->failover_due_since_us + takeover_delay_us(group, due);
}

/*
 * Restart the time that the coordinator has for a failover, since the store
 * has just named another daemon as the coordinator.  unknown: the store has not
 * told; ask again after the shortest time.
 */
void
monitor_coordinator_denied(group_t *group, bool unknown, int64_t now_us)
{
	if (group->failover_due_since_us == 0)
		return;
	group->failover_due_since_us = now_us;
	if (unknown)
		group->failover_due_since_us -=
		    takeover_delay_us(group, replacement_due(group, now_us)) -
		    group->pool->takeover_delay_us;
}

/*
 * Choose how long this daemon waits for the coordinator to act before it asks
 * for the role itself.
 */
int64_t
monitor_takeover_delay_us(GRand *rand)
{
	return TAKEOVER_DELAY_US +
	    g_rand_int_range(rand, 0, TAKEOVER_JITTER_US);
}

/*
 * Ask for the coordinator role if the coordinator does not act: the primary
 * has been unresponsive or shutting down for longer than the coordinator
 * should need to replace it, or an abandoned failover holds up the leases.  A
 * coordinator that reaches no server that can take over rightly does not act.
 */
void
check_takeover(group_t *group, int64_t now_us)
{
	bool stuck = !group->unresponsive && group_lease_stuck(group, now_us);
	bool due = replacement_due(group, now_us);

	if (!due && !stuck) {
		group->failover_due_since_us = 0;
		return;
	}
	if (group->failover_due_since_us == 0)
		group->failover_due_since_us = now_us;
	if (now_us >= monitor_takeover_us(group, due) &&
	    !group->pool->is_coordinator &&
	    !monitor_leases_awaited(group, due, now_us))
		request_coordinator_check(group->pool);
}
