#include "reconnect.h"

/*
 * Back-off of connection attempts.  Load it answers: daemons that outnumber the
 * connections of a server, or that all start at once.  Attempts at a fixed
 * interval keep such a server busy with refusing them.
 */

#define DELAY_US (100 * INT64_C(1000))

/*
 * Number of doublings of the delay.  A server that does not answer may return
 * at any moment; one that turns connections away has none free for a while.
 */
#define DOUBLINGS_MAX 2
#define TURNED_AWAY_DOUBLINGS_MAX 4

/* Failures before the delay grows, so that a restart is noticed soon. */
#define FAILURES_AT_BASE_DELAY 4

/* Part of the delay that is random, in percent. */
#define JITTER_PERCENT 50

/*
 * Tell whether a connection may be attempted now.
 */
bool
reconnect_allowed(const reconnect_t *reconnect, int64_t now_us)
{
	return now_us >= reconnect->after_us;
}

/*
 * Set the time of the next attempt after one that failed.  turned_away: the
 * server is alive but accepts no more connections.  random: from 0 to 1.
 */
void
reconnect_failed(
    reconnect_t *reconnect, bool turned_away, double random, int64_t now_us)
{
	uint32_t doublings = reconnect->failures;
	uint32_t doublings_max = TURNED_AWAY_DOUBLINGS_MAX;
	int64_t delay_us;

	/* of attempts that were under way together, the first counts */
	if (!reconnect_allowed(reconnect, now_us))
		return;
	if (!turned_away) {
		doublings = doublings < FAILURES_AT_BASE_DELAY
		    ? 0
		    : doublings - FAILURES_AT_BASE_DELAY;
		doublings_max = DOUBLINGS_MAX;
	}
	if (doublings > doublings_max)
		doublings = doublings_max;
	delay_us = DELAY_US << doublings;
	if (turned_away)
		delay_us +=
		    (int64_t)((double)delay_us * random * JITTER_PERCENT / 100);
	reconnect->failures++;
	reconnect->after_us = now_us + delay_us;
}

/*
 * Note that a connection was opened.
 */
void
reconnect_succeeded(reconnect_t *reconnect)
{
	reconnect->failures = 0;
	reconnect->after_us = 0;
}
