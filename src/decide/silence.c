#include "decide.h"

/*
 * Record activity on a connection: the idle time starts again, and a pending
 * ping counts as answered.
 */
void
silence_heard(silence_t *keepalive, int64_t now_us)
{
	keepalive->heard_us = now_us;
	keepalive->pinged_us = 0;
}

/*
 * Decide what to do about an idle connection: after idle_us without
 * activity it is pinged; when timeout_us more pass without any, it is closed.
 */
silence_verdict_t
silence_check(
    silence_t *keepalive, int64_t now_us, int64_t idle_us, int64_t timeout_us)
{
	if (keepalive->pinged_us != 0)
		return now_us - keepalive->pinged_us >= timeout_us
		    ? SILENCE_CONDEMN
		    : SILENCE_NONE;
	if (now_us - keepalive->heard_us < idle_us)
		return SILENCE_NONE;
	keepalive->pinged_us = now_us;
	return SILENCE_PING;
}
