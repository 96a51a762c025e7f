#include "failover_internal.h"

#include <string.h>

#define BACKOFF_DOUBLINGS_MAX 4

/*
 * Enter a state.  Its time limit is counted from now on.
 */
void
enter_state(failover_t *failover, failover_state_t state, int64_t now_us)
{
	failover->state = state;
	failover->state_entered_us = now_us;
}

/*
 * Initialize the failover of a group of count databases whose state is not
 * known yet.  The seed determines the random back-offs.
 */
void
failover_init(failover_t *failover, const failover_limits_t *limits,
    uint32_t count, uint32_t seed, int64_t now_us)
{
	uint32_t i;

	memset(failover, 0, sizeof(*failover));
	failover->limits = *limits;
	failover->count = count;
	failover->rand = g_rand_new_with_seed(seed);
	failover->wait_until_us = now_us + LEARNING_US;
	failover->isolated = -1;
	failover->stepping_down = -1;
	failover->orders_named_us = INT64_MAX;
	for (i = 0; i < count; i++)
		failover->last_alive_us[i] = now_us;
	enter_state(failover, FAILOVER_LEARNING, now_us);
}

/*
 * Free what failover_init() allocated.
 */
void
failover_clear(failover_t *failover)
{
	g_rand_free(failover->rand);
	failover->rand = NULL;
}

/*
 * Return the new index of a database that had the index old, or -1 when it is
 * no longer in the group.
 */
static int32_t
new_index(const int32_t *old_index, uint32_t count, int32_t old)
{
	uint32_t i;

	for (i = 0; i < count; i++) {
		if (old >= 0 && old_index[i] == old)
			return (int32_t)i;
	}
	return -1;
}

/*
 * Change the databases of the group: the database with index i had index
 * old_index[i] before, or is new when that is negative.  A failover under way
 * continues unless the database to be promoted, or the primary that hands over,
 * has left the group.  A handover from a primary that has left is not wanted
 * any more.
 */
void
failover_remap(failover_t *failover, const int32_t *old_index, uint32_t count,
    int64_t now_us)
{
	failover_t old = *failover;
	int32_t chosen = new_index(old_index, count, (int32_t)old.chosen);
	int32_t primary = failover_primary(&old);
	uint32_t i;

	failover->count = count;
	failover->isolated = new_index(old_index, count, old.isolated);
	failover->stepping_down =
	    new_index(old_index, count, old.stepping_down);
	for (i = 0; i < count; i++) {
		int32_t j = old_index[i];

		memset(&failover->views[i], 0, sizeof(failover->views[i]));
		failover->last_alive_us[i] = now_us;
		failover->connect_refusals[i] = 0;
		failover->turned_away_since_us[i] = 0;
		failover->reset_since_us[i] = 0;
		failover->granted[i] = failover->standing[i] = false;
		failover->fence_sent_us[i] = 0;
		failover->follow_sent_us[i] = failover->log_grown_us[i] = 0;
		if (j < 0)
			continue;
		failover->views[i] = old.views[j];
		failover->last_alive_us[i] = old.last_alive_us[j];
		failover->connect_refusals[i] = old.connect_refusals[j];
		failover->turned_away_since_us[i] = old.turned_away_since_us[j];
		failover->reset_since_us[i] = old.reset_since_us[j];
		failover->fence_sent_us[i] = old.fence_sent_us[j];
		failover->granted[i] = old.granted[j];
		failover->granted_position[i] = old.granted_position[j];
		failover->granted_connected_us[i] = old.granted_connected_us[j];
		failover->standing[i] = old.standing[j];
		failover->follow_sent_us[i] = old.follow_sent_us[j];
		failover->log_grown_us[i] = old.log_grown_us[j];
	}
	if ((old.state == FAILOVER_PROMOTING && chosen < 0) ||
	    (old.stepping_down >= 0 && failover->stepping_down < 0)) {
		failover->wait_until_us = now_us;
		enter_state(failover, FAILOVER_LEARNING, now_us);
	}
	failover->handover &=
	    primary < 0 || new_index(old_index, count, primary) >= 0;
	if (majority_of(count) < majority_of(old.count))
		failover_members_lost(failover, now_us);
	failover->chosen = chosen < 0 ? 0 : (uint32_t)chosen;
	failover->order.database =
	    new_index(old_index, count, old.order.database);
	failover->order_before.database =
	    new_index(old_index, count, old.order_before.database);
}

/*
 * Note that databases have ended or left the group, so that fewer promises may
 * suffice for the attempt under way.  The leases that rest on their last
 * answers have to expire before the promotion, as if the promises were given
 * now.
 */
void
failover_members_lost(failover_t *failover, int64_t now_us)
{
	if (failover->state == FAILOVER_FENCING && failover->granted_us != 0)
		failover->granted_us = MAX(failover->granted_us, now_us);
}

/*
 * Set the number of members of the group that the store has recorded, of those
 * that have ended, and of those in whose place no database is listed.  If so
 * many have ended that the others are no majority, none counts as recorded
 * until they are recorded again; they are absent nevertheless.
 */
void
failover_set_members(failover_t *failover, lease_t *lease, uint32_t count,
    uint32_t ended, uint32_t absent, int64_t now_us)
{
	lease->members_ended = count > 0 && count - ended < majority_of(count);
	if (lease->members_ended)
		count = ended = 0;
	if (count < failover->members || ended > failover->members_ended)
		failover_members_lost(failover, now_us);
	lease->members = failover->members = count;
	failover->members_ended = ended;
	failover->members_absent = absent;
}

/*
 * Give up an attempt and wait for a random time before the next.  The range
 * of the wait doubles with each failure, so that of two daemons that compete
 * one soon succeeds.
 */
void
back_off(failover_t *failover, int64_t now_us)
{
	uint32_t doublings = MIN(failover->failures, BACKOFF_DOUBLINGS_MAX);
	int64_t base_us = failover->limits.backoff_us << doublings;

	failover->failures++;
	/* requested again if it is still due */
	failover->handover &= !failover->limits.revocable;
	failover->isolated = -1;
	failover->stepping_down = -1;
	failover->wait_until_us = now_us +
	    (int64_t)(g_rand_double(failover->rand) * (double)base_us) +
	    failover->limits.backoff_us / 4;
	enter_state(failover, FAILOVER_BACKOFF, now_us);
}
