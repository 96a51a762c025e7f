#ifndef DECIDE_REFRESH_H
#define DECIDE_REFRESH_H

#include "decide.h"

/* Requests for changes that are repeated after each change. */
typedef struct refresh {
	int64_t requested_us; /* time of the last request; 0: none */
	uint32_t doublings;   /* of the interval, while changes follow fast */
} refresh_t;

/* Longest interval between two requests. */
#define REFRESH_INTERVAL_MAX_MS 1000

int64_t refresh_due_us(const refresh_t *);
void refresh_requested(refresh_t *, int64_t now_us);
bool refresh_accepts_old(int64_t wanted_us, int64_t now_us);
bool refresh_by_list(bool followed, uint32_t length);

#endif
