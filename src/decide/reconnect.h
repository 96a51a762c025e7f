#ifndef DECIDE_RECONNECT_H
#define DECIDE_RECONNECT_H

#include "decide.h"

/* Delay between the attempts to connect to a server. */
typedef struct reconnect {
	uint32_t failures; /* consecutive failed attempts */
	int64_t after_us;  /* earliest time of the next attempt */
} reconnect_t;

bool reconnect_allowed(const reconnect_t *, int64_t now_us);
void reconnect_failed(
    reconnect_t *, bool turned_away, double random, int64_t now_us);
void reconnect_succeeded(reconnect_t *);

#endif
