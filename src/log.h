#ifndef LOG_H
#define LOG_H

#include "bergamotplank.h"
#include "settings.pb-c.h"

GLogLevelFlags log_highest_of(Bp__LogLevel);

/* How many lines of one kind are written in each second. */
typedef struct log_budget {
	int64_t second_us; /* began then */
	uint32_t lines;    /* written since */
	uint32_t left_out; /* the same */
} log_budget_t;

bool log_spend(log_budget_t *, int64_t now_us, uint32_t lines_per_second,
    uint32_t *left_out);

char *log_clip(arena_t *, const char *text);

#endif
