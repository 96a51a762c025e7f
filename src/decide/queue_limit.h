#ifndef DECIDE_QUEUE_LIMIT_H
#define DECIDE_QUEUE_LIMIT_H

#include "decide.h"

/* A statement that waits for a server. */
typedef struct queue_wait {
	int64_t arrived_us;  /* time it arrived from the client */
	int64_t received_us; /* time it reached this daemon */
	int64_t target_us;   /* target latency of its route */
	int64_t timeout_us;  /* timeout of its route */
	bool unavailable;    /* no server of the group can run it */
	/* earliest time of a connection on which it can run; 0: there is one,
	   or one may be opened at once */
	int64_t connection_us;
} queue_wait_t;

int64_t queue_limit_us(const queue_wait_t *);

#endif
