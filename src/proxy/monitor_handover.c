#include "monitor_internal.h"

/* Begin of a handover from a healthy primary. */

/*
 * A healthy primary hands over only if all daemons have answered within
 * DAEMONS_ANSWERED_US or, when the handover has been due for that long, a
 * majority.  Otherwise it would step down, and the group would have no primary
 * until the leases have expired.
 */
#define DAEMONS_ANSWERED_US (2 * US_PER_SECOND)
#define DAEMONS_QUERY_INTERVAL_US (500 * US_PER_MS)

/*
 * Tell whether the group has a usable server, which could take over from a
 * primary that is shutting down.
 */
static bool
has_usable_server(const group_t *group, int64_t now_us)
{
	uint32_t i;

	for (i = 0; i < group->count; i++) {
		if (server_usable(group->servers[i], now_us))
			return true;
	}
	return false;
}

/*
 * Tell whether a handover that is due may begin.  It requires the daemons to
 * revoke their leases in time, so they are first asked whether they answer.
 * all: all of them must.
 */
static bool
handover_allowed(group_t *group, bool all, int64_t now_us)
{
	pool_t *pool = group->pool;

	if (group->handover_due_since_us == 0)
		group->handover_due_since_us = now_us;
	if (now_us - pool->all_answered_us < DAEMONS_ANSWERED_US ||
	    (!all &&
		now_us - group->handover_due_since_us >= DAEMONS_ANSWERED_US &&
		now_us - pool->majority_answered_us < DAEMONS_ANSWERED_US))
		return true;
	if (now_us - pool->daemons_queried_us >= DAEMONS_QUERY_INTERVAL_US)
		request_revocation(group, NO_TERM, false, now_us);
	return false;
}

/*
 * Tell whether the primary is overloaded because it serves all reads alone, so
 * that a handover to a replica would help.
 */
static bool
overload_handover_wanted(group_t *group, uint32_t primary, int64_t now_us)
{
	overload_view_t views[GROUP_DATABASES_MAX];
	uint32_t i;

	for (i = 0; i < group->count; i++) {
		const server_t *server = group->servers[i];

		views[i].usable = server_usable(server, now_us);
		views[i].slots = server->slots;
		views[i].reported_busy = server->busy;
		views[i].lag_ms = server->lag_ms;
		views[i].received = group->failover.views[i].last_entry;
	}
	return overload_handover_due(
	    &group->overload_handover, views, group->count, primary, now_us);
}

/*
 * Tell whether an order may have promoted a server that cannot be asked.
 * Nothing is answered until a term begins that is newer than any that the order
 * may have begun.
 */
static bool
order_left_open(const group_t *group, int64_t now_us)
{
	return group->failover.order_unanswered &&
	    failover_successor_answers(&group->failover, now_us);
}

/*
 * Tell whether the record names all open orders, so that daemons that do not
 * answer read of them.
 */
static bool
orders_named(const group_t *group)
{
	return group->failover.orders_named_us != INT64_MAX;
}

/*
 * Tell whether there is a primary that is shutting down.
 */
static bool
primary_leaving(const group_t *group)
{
	int32_t primary = failover_primary(&group->failover);

	return primary >= 0 && group->servers[primary]->leaving;
}

/*
 * Note since when a handover is due because the primary is shutting down, at a
 * daemon that is not the coordinator: it may get the role before the one that
 * has it may begin the handover.
 */
void
watch_handover(group_t *group, int64_t now_us)
{
	if (!primary_leaving(group))
		group->handover_due_since_us = 0;
	else if (group->handover_due_since_us == 0)
		group->handover_due_since_us = now_us;
}

/*
 * Begin a handover to a replica if the primary is shutting down, or overloaded
 * because it serves all reads alone, or an order stays open.
 */
void
check_handover(group_t *group, int64_t now_us)
{
	int32_t primary = failover_primary(&group->failover);
	bool leaving, order_open;

	if (primary < 0 || group->failover.state != FAILOVER_STEADY) {
		group->handover_due_since_us = 0;
		return;
	}
	leaving = primary_leaving(group) &&
	    failover_answers(&group->failover, (uint32_t)primary, now_us) &&
	    has_usable_server(group, now_us);
	order_open = !leaving && order_left_open(group, now_us);
	if (!leaving && !order_open &&
	    !overload_handover_wanted(group, (uint32_t)primary, now_us)) {
		if (!primary_leaving(group))
			group->handover_due_since_us = 0;
		return;
	}
	if (!handover_allowed(
		group, order_open && !orders_named(group), now_us) ||
	    group->failover.handover)
		return;
	log_handover_due(group, group->servers[primary], leaving, order_open);
	overload_handover_begun(&group->overload_handover, now_us);
	failover_request_handover(&group->failover, now_us);
}
