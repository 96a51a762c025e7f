#ifndef ATTEMPT_H
#define ATTEMPT_H

#include "../src/decide/failover.h"

#include <glib.h>

/* What tests of attempts to replace a primary share. */

#define MS(n) ((int64_t)(n)*INT64_C(1000))
#define DATABASES 3

static const failover_limits_t test_limits = {
    .suspect_us = MS(100),
    .witness_us = MS(1),
    .witness_override_us = MS(100),
    .fence_us = MS(500),
    .promotion_us = MS(1500),
    .order_late_us = MS(3500),
    .backoff_us = MS(2000),
    .lease_wait_us = MS(1900),
    .lease_wait_min_us = MS(150),
    .revocable = true,
};

/*
 * Have a database report its state.
 */
static void
report(failover_t *failover, uint32_t database, bool primary, uint64_t term,
    uint64_t paused_term, int64_t now_us)
{
	db_view_t view = {true, primary, false, MAX(term, paused_term),
	    {term, 8}, now_us, .term = term};

	failover_replace_view(failover, database, &view, now_us);
}

#endif
