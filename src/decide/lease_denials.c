#include "lease_internal.h"

/*
 * Moments at which all databases deny that there is a newer primary or an
 * attempt to make one.
 *
 * The answers of one round belong to different moments, and a promotion may
 * take effect between them: the database that is promoted has started again,
 * forgotten its promise and denied before, and the others deny after it, as it
 * ends their promises.  A second round whose requests were sent once all had
 * denied shows whether that one leads now.
 */

/*
 * Tell whether all databases other than the primary deny, as they last
 * answered, and there are others.  Set the send time of the oldest of these
 * requests, and the time at which the latest of the connections was opened.
 */
static bool
all_deny(const lease_t *lease, const db_view_t *views, uint32_t count,
    uint32_t primary, int64_t *oldest_us, int64_t *connected_us)
{
	uint32_t i;

	*oldest_us = INT64_MAX;
	*connected_us = 0;
	for (i = 0; i < count; i++) {
		if (i == primary)
			continue;
		if (!views[i].known || views[i].likely_ended ||
		    promise_blocks(lease, &views[i], &views[primary]))
			return false;
		if (views[i].requested_us < *oldest_us)
			*oldest_us = views[i].requested_us;
		if (views[i].connected_us > *connected_us)
			*connected_us = views[i].connected_us;
	}
	return *oldest_us != INT64_MAX;
}

/*
 * Forget the rounds of answers: they say nothing of what has come since.
 */
void
denials_forget(lease_t *lease)
{
	lease->denials = (lease_denials_t){0};
}

/*
 * Note a round in which all databases have denied, and whether it shows a
 * moment at which all did: its requests were sent after the answers of a round
 * before, which came on the same connections.  A round before counts only if it
 * took less than half a lease: an order is not sent so soon after the last
 * promise for it, so that a database that had not promised yet, and another one
 * that has forgotten its promise since the order was sent, are not in one.
 */
void
denials_note(lease_t *lease, const db_view_t *views, uint32_t count,
    uint32_t primary, int64_t now_us, const lease_duration_t *durations)
{
	lease_denials_t *denials = &lease->denials;
	int64_t begun_us, connected_us;

	if (denials->term != views[primary].promised ||
	    denials->databases != count)
		denials_forget(lease);
	if (!all_deny(lease, views, count, primary, &begun_us, &connected_us) ||
	    begun_us <= lease->blocked_us) {
		denials_forget(lease);
		return;
	}
	if (begun_us <= denials->ended_us)
		return;
	if (denials->begun_us != 0 && connected_us <= denials->begun_us)
		denials->certain_us = begun_us;
	denials->term = views[primary].promised;
	denials->databases = count;
	denials->connected_us = connected_us;
	denials->ended_us = now_us;
	denials->begun_us =
	    now_us - begun_us < lease_duration_us(durations, begun_us) / 2
	    ? begun_us
	    : 0;
}
