#include "promote_choice.h"

/*
 * The granted database with the highest position; among equals one that
 * stays is better than one that leaves.  Only sound with a majority granted.
 */
static uint32_t
choose(const promote_t *promote)
{
	uint32_t i, best = UINT32_MAX;
	int32_t order;

	for (i = 0; i < promote->count; i++) {
		if (!promote->granted[i])
			continue;
		if (best == UINT32_MAX) {
			best = i;
			continue;
		}
		order = position_compare(
		    promote->granted_at[i], promote->granted_at[best]);
		if (order > 0 ||
		    (order == 0 && promote->views[best].leaving &&
			!promote->views[i].leaving))
			best = i;
	}
	return best;
}

/*
 * How many databases have granted the term.
 */
static uint32_t
granted_count(const promote_t *promote)
{
	uint32_t i, n = 0;

	for (i = 0; i < promote->count; i++)
		n += promote->granted[i];
	return n;
}

/*
 * How many grants a choice needs: a majority, and enough to meet a holder of
 * each commit that was acknowledged when so many replicas had it.
 */
static uint32_t
grants_needed(const promote_t *promote)
{
	uint32_t sync = promote->limits.sync_replicas;
	uint32_t needed = majority_of(promote->count);

	if (sync > 0 && sync < promote->count)
		needed = MAX(needed, promote->count - sync);
	return needed;
}

/*
 * The database that stays and is furthest, when the leaving primary has
 * stepped down: it must have all that the primary had, or as much as the
 * time to catch up allows.  Returns -1 while there is none.
 */
static int32_t
choose_successor(const promote_t *promote, int64_t now_us)
{
	const promote_limits_t *limits = &promote->limits;
	int32_t i, best = -1;

	for (i = 0; i < (int32_t)promote->count; i++) {
		const db_view_t *view = &promote->views[i];

		if (i == promote->stepping_down || !view->known ||
		    view->leaving ||
		    now_us - promote->heard_us[i] >= limits->suspect_us)
			continue;
		if (best < 0 ||
		    position_compare(view->last, promote->views[best].last) > 0)
			best = i;
	}
	if (best < 0 ||
	    position_compare(promote->views[best].last,
		promote->granted_at[promote->stepping_down]) >= 0)
		return best;
	return limits->sync_replicas == 0 &&
		now_us - promote->granted_us >= limits->catch_up_us
	    ? best
	    : -1;
}

/*
 * Tell whether the grants suffice: of the leaving primary alone, or of so
 * many that no primary before can go on.
 */
bool
grants_suffice(const promote_t *promote)
{
	return promote->stepping_down >= 0
	    ? promote->granted[promote->stepping_down]
	    : granted_count(promote) >= grants_needed(promote);
}

/*
 * The database to raise now, or -1 while grants or time are lacking.
 */
int32_t
ready_to_raise(const promote_t *promote, int64_t now_us)
{
	const promote_limits_t *limits = &promote->limits;

	if (!grants_suffice(promote) ||
	    (limits->settle_us > 0 && promote->settled_us == 0) ||
	    now_us - promote->granted_us <
		(promote->settled ? limits->settle_min_us : limits->settle_us))
		return -1;
	return promote->stepping_down >= 0 ? choose_successor(promote, now_us)
					   : (int32_t)choose(promote);
}
