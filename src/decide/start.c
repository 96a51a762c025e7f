#include "start.h"

#include <string.h>

/* The same as START_LOST_US where it has said that it leaves. */
#define LEAVING_LOST_US (10 * US_PER_SECOND)

/*
 * Tell whether a listed start shows that another one has ended: it was started
 * later, under the same id or at the same address.  The entry of the earlier
 * one may not have lapsed yet.
 */
bool
start_follows(const start_t *later, const start_t *start)
{
	if (strcmp(later->id, start->id) == 0)
		return later->born > start->born;
	return later->address != NULL && start->address != NULL &&
	    strcmp(later->address, start->address) == 0 &&
	    later->born > start->born;
}

/*
 * Tell whether a start has ended, as every daemon will find.  One that is
 * silent, slow or not listed has not, nor has one that refuses connections:
 * something between may refuse them in its place, while others reach it.
 */
bool
start_ended(const start_evidence_t *evidence)
{
	return evidence->followed || evidence->denied;
}

/*
 * Tell whether a start has likely ended: it refuses connections, and its entry
 * has lapsed.
 */
bool
start_likely_ended(const start_evidence_t *evidence)
{
	return start_ended(evidence) ||
	    (evidence->refused && !evidence->listed);
}

/*
 * Tell whether and why a start is removed from its group.  One that is not
 * listed stays if it has not said that it leaves, or is a recorded member, and
 * may be alive: the list of another daemon may still have it, or have it again,
 * so its answers count for leases and failovers, as its promises do there.
 */
start_removal_t
start_removal(const start_evidence_t *evidence)
{
	if (evidence->followed)
		return START_FOLLOWED;
	if (evidence->moved)
		return START_MOVED;
	if (evidence->denied && !evidence->listed)
		return START_DENIED;
	if (evidence->listed)
		return START_STAYS;
	if (!evidence->member && evidence->leaving)
		return START_LEFT;
	if (!evidence->member && !evidence->known)
		return START_UNANSWERED;
	return evidence->silent_us <
		(evidence->leaving ? LEAVING_LOST_US : START_LOST_US)
	    ? START_STAYS
	    : START_SILENT;
}
