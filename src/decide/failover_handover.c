#include "failover_internal.h"

/*
 * Tell whether the primary has been leaving for so long that nobody uses it,
 * and is replaced by a database without its whole log, since none that answers
 * can have it.
 */
static bool
replaces_expired(const failover_t *failover, int64_t now_us)
{
	int32_t primary = failover_primary(failover);

	return primary >= 0 && failover->views[primary].leaving &&
	    failover->views[primary].expired &&
	    !failover_successor_answers(failover, now_us) &&
	    failover_staying_answers(failover, now_us);
}

/*
 * Tell whether there is a primary that answers, as it must to step down.
 */
static bool
primary_answers(const failover_t *failover, int64_t now_us)
{
	int32_t primary = failover_primary(failover);

	return primary >= 0 &&
	    failover_answers(failover, (uint32_t)primary, now_us);
}

/*
 * Tell whether there is a primary that steps down alone in a handover.
 */
bool
can_hand_over(const failover_t *failover, int64_t now_us)
{
	return failover->limits.catch_up_us > 0 &&
	    primary_answers(failover, now_us) &&
	    !replaces_expired(failover, now_us);
}

/*
 * Tell whether a handover that is requested waits until it is clear whether the
 * primary answers.  It, or something between, has refused a connection; its
 * next answer, refusal or silence shows which.
 */
bool
handover_waits(const failover_t *failover, int64_t now_us)
{
	int32_t primary = failover_primary(failover);

	return failover->handover && primary >= 0 &&
	    failover->connect_refusals[primary] > 0 &&
	    !replaces_expired(failover, now_us) &&
	    !primary_unresponsive(
		failover, now_us, failover->limits.suspect_us);
}

/*
 * Tell whether a primary that is leaving can be replaced now.
 */
bool
failover_handover_possible(const failover_t *failover, int64_t now_us)
{
	return (primary_answers(failover, now_us) &&
		   failover_successor_answers(failover, now_us)) ||
	    replaces_expired(failover, now_us);
}

/*
 * Request that the primary hands over to a replica.  The caller has checked
 * that the handover is due and that a replica can take over.
 */
void
failover_request_handover(failover_t *failover, int64_t now_us)
{
	(void)now_us;
	failover->handover = true;
}
