#ifndef LOG_H
#define LOG_H

#include "bergamotplank.h"
#include "settings.pb-c.h"

GLogLevelFlags log_level_to_glib(Bp__LogLevel);

/* State that limits the log lines of one kind to a number per second. */
typedef struct log_rate_limit {
	int64_t window_start_us;   /* start of the current one-second window */
	uint32_t lines_written;    /* lines written in the window */
	uint32_t lines_suppressed; /* lines suppressed in the window */
} log_rate_limit_t;

bool log_rate_limit_allow(log_rate_limit_t *, int64_t now_us,
    uint32_t lines_per_second, uint32_t *suppressed);

char *log_truncate_text(arena_t *, const char *text);

#endif
