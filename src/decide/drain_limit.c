#include "drain_limit.h"
#include "decide.h"

/*
 * Time that a statement takes to reach a database after the decision to send
 * it, also from a daemon that is slow.
 */
#define DRAIN_MARGIN_MS 500

/*
 * Return the time from which a database that leaves gets no new statements and
 * transactions.  stayed_us: time up to which it is known not to have said that
 * it leaves; 0: none, so that it may have done so at any time.  drain_ms: time
 * from then until which statements may reach it.
 */
int64_t
drain_limit_us(int64_t stayed_us, uint32_t drain_ms)
{
	if (stayed_us == 0 || drain_ms < DRAIN_MARGIN_MS)
		return stayed_us;
	return stayed_us + (int64_t)(drain_ms - DRAIN_MARGIN_MS) * US_PER_MS;
}
