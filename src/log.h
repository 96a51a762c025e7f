#ifndef LOG_H
#define LOG_H

#include "bergamotplank.h"
#include "settings.pb-c.h"

GLogLevelFlags log_highest_of(Bp__LogLevel);

/* Limits the log lines of one kind to a number per second. */
typedef struct log_budget {
	int64_t second_us; /* start of the current one-second window */
	uint32_t lines;    /* lines written in the window */
	uint32_t left_out; /* lines suppressed in the window */
} log_budget_t;

bool log_spend(log_budget_t *, int64_t now_us, uint32_t lines_per_second,
    uint32_t *suppressed);

char *log_clip(arena_t *, const char *text);

#endif
