#include "decide.h"

/*
 * Note a sign of life of a connection.
 */
void
silence_heard(silence_t *silence, int64_t now_us)
{
	silence->heard_us = now_us;
	silence->pinged_us = 0;
}

/*
 * Decide about a connection that has been quiet: after quiet_us it is asked
 * for a sign of life; answer_us later it is condemned.
 */
silence_verdict_t
silence_check(
    silence_t *silence, int64_t now_us, int64_t quiet_us, int64_t answer_us)
{
	if (silence->pinged_us != 0)
		return now_us - silence->pinged_us >= answer_us
		    ? SILENCE_CONDEMN
		    : SILENCE_NONE;
	if (now_us - silence->heard_us < quiet_us)
		return SILENCE_NONE;
	silence->pinged_us = now_us;
	return SILENCE_PING;
}
