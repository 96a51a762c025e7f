#include "revocation.h"

#include "decide.h"

#include <glib.h>

/*
 * Count the daemons that have answered.  The daemon that asks counts as one.
 */
revocation_count_t
revocation_count(const revocation_target_t *targets, uint32_t target_count)
{
	revocation_count_t count = {
	    .daemons = target_count + 1, .answered = 1, .token_recorded = 1};
	uint32_t i;

	for (i = 0; i < target_count; i++) {
		bool answered = contact_shows_state(targets[i].contact);

		count.answered += answered;
		count.token_recorded += answered && targets[i].token_recorded;
		count.holders_left += !answered && targets[i].holds_leases;
	}
	return count;
}

/*
 * Tell how far a revocation is.  incomplete: daemons that were not asked may
 * hold leases.
 */
revocation_progress_t
revocation_progress(const revocation_count_t *count, bool incomplete)
{
	if (count->answered < majority_of(count->daemons))
		return REVOCATION_BEGUN;
	return count->holders_left == 0 && !incomplete ? REVOCATION_BY_ALL
						       : REVOCATION_BY_MOST;
}

/*
 * Tell whether a majority of the daemons, and of at least of_daemons, has
 * confirmed that it knows no newer token.  One that has not read the
 * coordinator record since it started may have forgotten a newer token, so it
 * confirms none.
 */
bool
revocation_confirms_token(const revocation_count_t *count, uint32_t of_daemons)
{
	return count->token_recorded >=
	    majority_of(MAX(count->daemons, of_daemons));
}
