#include "pool.h"

/*
 * The lease of this daemon on the primary of a group: what it rests on, and
 * what changes with it.
 */

/* Shortest time without a lease after which a new one is logged. */
#define LEASE_GAP_LOGGED_US (200 * US_PER_MS)

/*
 * Time after the first list of a group's servers in which servers may still be
 * missing from it: entries that expired while the store was unavailable come
 * back one by one within two seconds of its return.
 */
#define LIST_NEW_US (3 * US_PER_SECOND)

/*
 * Time without a lease, because of a failover that shows no effect, after which
 * its coordinator may be lost.
 */
#define LEASE_STUCK_US (1500 * US_PER_MS)

/* Minimum time between two requests for the recorded orders. */
#define ORDERS_INTERVAL_US (200 * US_PER_MS)

/* Minimum time between two samples of the primary's log position. */
#define SAMPLE_SPACING_US (50 * US_PER_MS)

/*
 * Note that the servers of a group are listed for the first time.  A process
 * that has lists of other groups for some time has been told of all orders that
 * may still matter.
 */
void
group_first_listed(group_t *group, int64_t now_us)
{
	pool_t *pool = group->pool;

	group->listed_us = now_us;
	if (pool->listed_first_us == 0)
		pool->listed_first_us = now_us;
	if (pool->first_coordinator ||
	    now_us - pool->listed_first_us >= LIST_NEW_US)
		return;
	group->lease.watched_since_us = now_us;
}

/*
 * Note that this daemon is the first coordinator: nobody has sent an order.
 */
void
group_first_coordinator(group_t *group)
{
	group->lease.watched_since_us = 0;
}

/*
 * Tell whether servers of a group may be missing from the list, since it is
 * new.
 */
bool
group_list_new(const group_t *group, int64_t now_us)
{
	return now_us - group->listed_us < LIST_NEW_US;
}

/*
 * Tell whether the store refused or did not answer a call of this process
 * before its first list, so that entries may have expired.
 */
static bool
list_after_outage(const pool_t *pool)
{
	return pool->store_first_away_us != 0 &&
	    pool->store_first_away_us <= pool->listed_first_us;
}

/*
 * Return the time until which the list shows all servers that may have been
 * promoted, or one that is over if it does not.
 */
static int64_t
list_until_us(const pool_t *pool)
{
	return pool->servers_known_us == 0
	    ? 1
	    : pool->servers_known_us + LIST_VALID_US;
}

/*
 * Ask the registry task for the recorded orders, unless that was done recently.
 */
static void
request_orders(pool_t *pool, int64_t now_us)
{
	if (pool->orders_pending ||
	    now_us - pool->orders_requested_us < ORDERS_INTERVAL_US)
		return;
	pool->orders_pending = true;
	pool->orders_requested_us = now_us;
	task_send(pool->proxy->registry, pool->task,
	    msg_new(&bp__orders_wanted__descriptor));
}

/*
 * Renew the lease of a group from the latest status of its servers, and answer
 * the held statements that the lease now covers.
 */
void
group_lease_update(group_t *group, int64_t now_us)
{
	const failover_t *failover = &group->failover;
	int32_t primary = failover_primary(failover);
	uint64_t before = group->lease.term;
	bool renewed;

	pool_check_listed(group->pool, now_us);
	group_orders_update(group, now_us);
	group->lease.list_new = group_list_new(group, now_us);
	group->lease.list_after_outage = list_after_outage(group->pool);
	group->lease.list_until_us = list_until_us(group->pool);
	renewed = primary >= 0 &&
	    lease_renew(&group->lease, failover->views, group->count,
		(uint32_t)primary, now_us, &group->pool->lease_durations);
	if (group->lease.unverified) {
		if (primary >= 0)
			lease_note_answers(&group->lease, failover->views,
			    group->count, (uint32_t)primary, now_us);
		request_orders(group->pool, now_us);
	}
	if (!renewed) {
		/* the status may have shown that no open order took effect */
		if (!g_queue_is_empty(&group->held))
			operations_release_held(group, now_us);
		return;
	}
	lease_basis_note(group, (uint32_t)primary);
	if (group->lease.term != before) {
		group->revoker_lost = false;
		group->lease_basis.number++;
		log_primary_confirmed(group, group->servers[primary], now_us);
	} else if (group->lease.expires_us > now_us &&
	    now_us - group->lease_seen_us >= LEASE_GAP_LOGGED_US) {
		group->lease_basis.number++;
		log_lease_regained(
		    group, group->servers[primary], group->lease_seen_us);
	}
	operations_release_held(group, now_us);
}

/*
 * Note which orders to replace the primary of a group the store has recorded.
 * Those that a coordinator has told count as recorded, too.
 */
void
group_lease_orders_read(
    group_t *group, const recorded_orders_t *recorded, int64_t now_us)
{
	recorded_orders_t merged;

	if (recorded->read_us < group->orders_read.read_us)
		return;
	group->orders_read = *recorded;
	merged = told_orders_merge(&group->orders_told, recorded);
	lease_orders_read(&group->lease, &merged);
	failover_orders_recorded(&group->failover, &merged, now_us);
	if (!group->active || !group->lease.unverified)
		return;
	group_lease_update(group, now_us);
	dispatch(group, now_us);
}

/*
 * Record the log position in an answer of the primary to a request that was
 * sent at sent_us, if the lease covers it.
 */
void
group_sample_primary(server_t *server, position_t position, int64_t sent_us)
{
	group_t *group = server->group;
	position_sample_t sample = {
	    .server = server->key, .lease = group->lease_basis.number};

	if (server->removed ||
	    (int32_t)server->index != failover_primary(&group->failover) ||
	    !position_sample_under_lease(&group->lease, position, sent_us,
		group_orders_checked_us(group), &sample))
		return;
	position_history_add(
	    &group->position_history, sample, SAMPLE_SPACING_US);
}

/*
 * Note that a server has carried out a request that only a primary does, which
 * was sent at sent_us.  Renew the lease if it is due, or then lasts longer: the
 * primary is not asked until as long after the request as after a status.
 */
void
group_primary_led(server_t *server, position_t position, int64_t sent_us)
{
	group_t *group = server->group;
	int64_t now_us = clock_us();

	if (server->removed || position.term != group->lease.term ||
	    (int32_t)server->index != failover_primary(&group->failover))
		return;
	lease_primary_led(&group->lease, position.term, sent_us);
	if (lease_extendable(&group->lease, &group->pool->lease_durations) ||
	    group->lease.expires_us - now_us <
		group->pool->lease_durations.long_us * LEASE_RENEW_PERCENT /
		    100)
		group_lease_update(group, now_us);
}

/*
 * Revoke the lease of a group below a term because its primary is being
 * replaced or, if the term has begun, was replaced, and poll the servers often
 * until the new primary is known.
 */
void
group_lease_revoke(group_t *group, uint64_t term, bool begun, int64_t now_us)
{
	if (term == NO_TERM)
		return; /* the request only tests whether this daemon answers */
	log_lease_revoked(group, term, now_us);
	lease_revoke(&group->lease, term, now_us);
	if (begun)
		lease_term_begun(&group->lease, term);
	group->failover_seen_us = now_us;
}

/*
 * Tell whether the primary answers, but an abandoned failover has kept this
 * daemon from a lease on it for longer than a failover takes.
 */
bool
group_lease_stuck(const group_t *group, int64_t now_us)
{
	return !group_failover_in_progress(group, now_us) &&
	    lease_held_up(&group->lease, now_us) &&
	    now_us - group->lease_seen_us >= LEASE_STUCK_US;
}
