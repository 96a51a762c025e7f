#include "start.h"

#include "decide.h"

#include <string.h>

/* Time without an answer after which a start that is not listed has left. */
#define UNLISTED_SILENT_US (10 * US_PER_SECOND)

/*
 * Tell whether a listed start shows that another one has ended: it has the same
 * id, or was started later at the same address.  The entry of the earlier one
 * may not have lapsed yet.
 */
bool
start_follows(const start_t *later, const start_t *start)
{
	if (strcmp(later->id, start->id) == 0)
		return later->born != start->born;
	return later->address != NULL && start->address != NULL &&
	    strcmp(later->address, start->address) == 0 &&
	    later->born > start->born;
}

/*
 * Tell whether a start has ended.  One that is silent or slow has not.  Nor has
 * one that is listed and refuses connections: something between may refuse them
 * in its place.
 */
bool
start_ended(const start_evidence_t *evidence)
{
	return evidence->followed || evidence->denied ||
	    (evidence->refused && !evidence->listed);
}

/*
 * Tell whether a start that is not listed stays in its group: it has not said
 * that it leaves, or is a recorded member, and may be alive.  The list of
 * another daemon may still have it, or have it again, so its answers count for
 * leases and failovers, as its promises do there.
 */
bool
start_stays(const start_evidence_t *evidence)
{
	return evidence->known && !evidence->left && !start_ended(evidence) &&
	    evidence->silent_us < UNLISTED_SILENT_US;
}
