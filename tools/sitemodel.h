#ifndef SITEMODEL_H
#define SITEMODEL_H

#include <stdbool.h>
#include <stdint.h>

/*
 * Deterministic simulation of one group of databases on the users' platform
 * and the proxies in front of it.  Random events and faults from a seed, on a
 * simulated clock, drive the product's rules on leases and failover; each run
 * counts the violations of what they guarantee.  Databases can pause
 * replication, resume it, and step down; only the platform promotes a
 * database, some time after the order.
 */

/* Wrong rules that the checks must detect, one per run. */
typedef enum site_wrong {
	SITE_RIGHT,
	SITE_ACK_UNCONFIRMED,  /* statements are answered without a lease */
	SITE_LEASE_OVER_PAUSE, /* a lease does not expire while paused */
	SITE_PROMOTE_UNFENCED, /* no majority promises, no lease is revoked */
	SITE_ORDER_OVER_PAUSE, /* an old check of the duty record suffices */
	SITE_SETTLE_AT_ONCE,   /* no wait for leases to expire */
} site_wrong_t;

typedef struct site_model_plan {
	uint32_t seed;
	uint64_t steps;          /* events to run */
	uint32_t databases;      /* 3 to 5 */
	uint32_t daemons;        /* 2 to 5 */
	uint32_t fault_permille; /* chance per daemon and 20 ms tick */
	uint32_t sync_replicas;  /* 0 or 1 */
	site_wrong_t wrong;
} site_model_plan_t;

typedef struct site_model_result {
	uint64_t steps;
	uint64_t acknowledged; /* writes */
	uint64_t reads;
	uint64_t changes;     /* of primary */
	uint64_t orders;      /* promotions ordered */
	uint64_t late_orders; /* those that take effect seconds later */
	uint64_t faults;
	/* violations */
	uint64_t split; /* acknowledged while a newer primary existed */
	uint64_t stale; /* reads sent after their primary was replaced */
	uint64_t lost;  /* with sync_replicas: not in the new primary's log */
} site_model_result_t;

void site_model_run(const site_model_plan_t *, site_model_result_t *);

#endif
