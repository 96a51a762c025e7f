#include "pool.h"

/*
 * Promises for an order of this daemon that the store has recorded.  Before the
 * order is sent the servers are asked whether they hold them still.
 */

/*
 * Ask the servers that have not answered since the order was recorded.  One
 * whose answer is outstanding, or that was busy, is asked again later.
 */
static void
ask_servers(group_t *group, int64_t now_us)
{
	uint32_t i;

	for (i = 0; i < group->count; i++) {
		if (failover_promise_asked(&group->failover, i))
			monitor_request_status(group->servers[i], now_us);
	}
}

/*
 * Report to the registry task whether the promises for the order are held, once
 * that is known.  They do not matter any more when the attempt is over.
 */
void
group_promises_update(group_t *group, int64_t now_us)
{
	const failover_t *failover = &group->failover;
	Bp__PromisesChecked checked = BP__PROMISES_CHECKED__INIT;
	failover_promises_t promises = FAILOVER_PROMISES_LOST;
	pool_t *pool = group->pool;

	if (group->promises_term == 0)
		return;
	if (failover_order_stands(failover, group->promises_term))
		promises = failover_promises(failover);
	if (promises == FAILOVER_PROMISES_ASKED) {
		ask_servers(group, now_us);
		return;
	}
	checked.group = group->name;
	checked.term = group->promises_term;
	checked.held = promises == FAILOVER_PROMISES_HELD;
	log_promises_counted(group, checked.term, checked.held);
	group->promises_term = 0;
	task_send(pool->proxy->registry, pool->task, msg_copy(&checked.base));
}

/*
 * Check whether the promises for an order are held, as the store has recorded
 * it by now.
 */
void
group_promises_wanted(group_t *group, uint64_t term, int64_t now_us)
{
	group->promises_term = term;
	failover_ask_promises(&group->failover, term, now_us);
	group_promises_update(group, now_us);
}
