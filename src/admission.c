#include "group.h"

/* Admission control of new statements. */

/*
 * Estimate the statements per second that the group serves from a queue when
 * all slots are in use; 0 if no service time is known yet.  All usable
 * databases but one count as replicas, and at least one.
 */
static double
backlog_service_rate(const dbgroup_t *group, bool primary)
{
	int64_t now_us = clock_us();
	uint32_t i, usable = 0;

	if (group->mean_service_us <= 0)
		return 0;
	for (i = 0; i < group->db_count; i++)
		usable += database_usable(&group->dbs[i], now_us);
	usable = primary || usable < 2 ? 1 : usable - 1;
	return usable * group->config->slots * (double)G_USEC_PER_SEC /
	    group->mean_service_us;
}

/*
 * Tell whether a new statement is expected to finish before its deadline.  If
 * not, retry_after_ms gets the delay after which to retry.
 */
bool
stmt_meets_deadline(const stmt_t *stmt, uint32_t *retry_after_ms)
{
	const dbgroup_t *group = stmt->group;
	bool primary =
	    stmt->access == BP__ACCESS__WRITE || stmt->max_age_us == 0;
	int64_t wait_us = rankq_expected_wait_us(
	    primary ? group->primary_backlog : group->replica_backlog,
	    stmt->item.rank, stmt->item.account,
	    backlog_service_rate(group, primary));
	int64_t excess_us = stmt->arrived_us + wait_us +
	    (int64_t)group->mean_service_us - stmt->deadline_us;

	if (excess_us < 0)
		return true;
	*retry_after_ms =
	    (uint32_t)(excess_us / US_PER_MS) + RETRY_AFTER_MIN_MS;
	return false;
}

/*
 * Tell whether the queue for a statement has room for it.
 */
bool
backlog_admits(const dbgroup_t *group, const Bp__Work *work,
    const Bp__Statement *statement)
{
	const Bp__Limits *limits = group->ctx->daemon->settings->limits;
	bool replica = work->access == BP__ACCESS__READ &&
	    work->max_age_ms > 0 && !statement->fresh;

	return rankq_admits(
	    replica ? group->replica_backlog : group->primary_backlog,
	    work->rank, statement->account, limits->queue_statements);
}
