#include "config_delay.h"

#include "refresh.h"

/* Shares of the bound, in percent. */
#define WATCH_PERCENT 50
#define NEWS_WATCH_PERCENT 25
#define NEWS_VALID_PERCENT 38

/* Shortest wait that is derived from the bound. */
#define DERIVED_WAIT_MIN_MS 50

/*
 * Return the time that a read takes if its first call is lost.
 */
static uint32_t
lost_call_ms(const config_delay_t *delay)
{
	return delay->store_ms + STORE_RETRY_MS + delay->store_ms;
}

/*
 * Return a share of the bound, less if a lost call would not fit beside it.
 */
static uint32_t
share_ms(const config_delay_t *delay, uint32_t percent)
{
	uint32_t share = (uint32_t)((uint64_t)delay->apply_ms * percent / 100);
	uint32_t lost = lost_call_ms(delay);
	uint32_t left = delay->apply_ms > lost ? delay->apply_ms - lost
					       : DERIVED_WAIT_MIN_MS;

	if (share > left)
		share = left;
	return share < DERIVED_WAIT_MIN_MS ? DERIVED_WAIT_MIN_MS : share;
}

/*
 * Derive the waits that are 0 from the bound.
 */
void
config_delay_fill(config_delay_t *delay)
{
	if (delay->watch_ms == 0)
		delay->watch_ms = share_ms(delay, WATCH_PERCENT);
	if (delay->news_valid_ms == 0)
		delay->news_valid_ms = share_ms(delay, NEWS_VALID_PERCENT);
	if (delay->news_watch_ms == 0)
		delay->news_watch_ms =
		    (uint32_t)((uint64_t)delay->news_valid_ms *
			NEWS_WATCH_PERCENT / NEWS_VALID_PERCENT);
}

/*
 * Return the time in which a daemon that watches the store for itself has a
 * change, if the answer of a watch is lost.
 */
uint32_t
config_delay_own_ms(const config_delay_t *delay)
{
	return delay->watch_ms + lost_call_ms(delay);
}

/*
 * Return the time in which a daemon has a change for which another one watches
 * the store, if that one has lost it and the first call is lost.
 */
uint32_t
config_delay_news_ms(const config_delay_t *delay)
{
	uint32_t relied_ms = delay->news_valid_ms > REFRESH_INTERVAL_MAX_MS
	    ? delay->news_valid_ms
	    : REFRESH_INTERVAL_MAX_MS;

	return relied_ms + lost_call_ms(delay);
}
