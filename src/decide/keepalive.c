#include "decide.h"

/*
 * Record activity on a connection: the idle time starts again, and a pending
 * ping counts as answered.
 */
void
keepalive_reset(keepalive_t *keepalive, int64_t now_us)
{
	keepalive->last_activity_us = now_us;
	keepalive->ping_sent_us = 0;
}

/*
 * Decide what to do about an idle connection: it is pinged after idle_us
 * without activity, and closed after a further timeout_us without activity.
 */
keepalive_action_t
keepalive_check(
    keepalive_t *keepalive, int64_t now_us, int64_t idle_us, int64_t timeout_us)
{
	if (keepalive->ping_sent_us != 0)
		return now_us - keepalive->ping_sent_us >= timeout_us
		    ? KEEPALIVE_CLOSE
		    : KEEPALIVE_NONE;
	if (now_us - keepalive->last_activity_us < idle_us)
		return KEEPALIVE_NONE;
	keepalive->ping_sent_us = now_us;
	return KEEPALIVE_PING;
}
