#include "clock_offset.h"

/*
 * Return the send time of a message that has just arrived, in this daemon's
 * clock.  sent_us: in the clock of the daemon that sent it.
 */
int64_t
clock_offset_convert(clock_offset_t *offset, int64_t sent_us, int64_t now_us)
{
	int64_t difference_us = now_us - sent_us;
	int64_t window_age_us = now_us - offset->window_us;

	if (!offset->known || window_age_us >= CLOCK_OFFSET_WINDOW_US) {
		offset->previous_us =
		    offset->known && window_age_us < 2 * CLOCK_OFFSET_WINDOW_US
		    ? offset->current_us
		    : difference_us;
		offset->known = true;
		offset->window_us = now_us;
		offset->current_us = difference_us;
	}
	if (difference_us < offset->current_us)
		offset->current_us = difference_us;
	return sent_us +
	    (offset->current_us < offset->previous_us ? offset->current_us
						      : offset->previous_us);
}
