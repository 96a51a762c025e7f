#ifndef DECIDE_CLOCK_OFFSET_H
#define DECIDE_CLOCK_OFFSET_H

#include "decide.h"

/*
 * Difference between this daemon's clock and that of another one, whose
 * messages carry their send times.  The smallest difference that was seen is
 * used, so that a message that was delayed more than others does not seem to
 * have been sent later than it was.
 */
typedef struct clock_offset {
	bool known;
	int64_t window_us;   /* start of the present window */
	int64_t current_us;  /* smallest difference in it */
	int64_t previous_us; /* and in the one before */
} clock_offset_t;

/* Length of a window.  The clocks differ in speed, and one may have stood. */
#define CLOCK_OFFSET_WINDOW_US (30 * US_PER_SECOND)

int64_t clock_offset_convert(clock_offset_t *, int64_t sent_us, int64_t now_us);

#endif
