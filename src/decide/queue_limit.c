#include "queue_limit.h"

/*
 * Time for which a statement waits for a server before it is refused.  Load it
 * answers: queues that are longer than the servers can work off, groups without
 * a primary, statements that reach a daemon late because the owner that had
 * them was lost, and servers that have no connections left, for instance after
 * all daemons lost power at once.
 */

/* Maximum time in the queue, in percent of the target latency. */
#define QUEUE_PERCENT 90

/*
 * The same while no server can run the statement; the client may reach a daemon
 * that still has a primary.
 */
#define UNAVAILABLE_PERCENT 20

/* Part of the target latency from which a statement has come late, percent. */
#define LATE_PERCENT 50

/*
 * Minimum time in the queue of a statement that came late: a daemon without
 * connections opens them in that time, or finds that it cannot.
 */
#define LATE_QUEUE_US (300 * INT64_C(1000))

/*
 * Return the time until which a statement waits for a server to become free.
 */
static int64_t
server_limit_us(const queue_wait_t *wait)
{
	int64_t limit_us =
	    wait->arrived_us + wait->target_us * QUEUE_PERCENT / 100;
	int64_t late_us = wait->received_us + LATE_QUEUE_US;

	if (wait->received_us - wait->arrived_us <
	    wait->target_us * LATE_PERCENT / 100)
		return limit_us;
	if (late_us > wait->arrived_us + wait->timeout_us)
		late_us = wait->arrived_us + wait->timeout_us;
	return late_us > limit_us ? late_us : limit_us;
}

/*
 * Return the time at which a statement that still waits is refused.  One that
 * will have no connection until then is refused at once.
 */
int64_t
queue_limit_us(const queue_wait_t *wait)
{
	int64_t limit_us;

	if (wait->unavailable)
		limit_us = wait->arrived_us +
		    wait->target_us * UNAVAILABLE_PERCENT / 100;
	else
		limit_us = server_limit_us(wait);
	return wait->connection_us > limit_us ? wait->received_us : limit_us;
}
