#ifndef SITEMODEL_H
#define SITEMODEL_H

#include <stdbool.h>
#include <stdint.h>

/*
 * One group of databases on the users' platform and several proxies before
 * it, in one process over a seeded clock: the product's decisions on leases
 * and changes of primary, driven by random events and faults, and checked
 * against what must hold.  Databases hold, step down and take back a hold;
 * only the platform makes a primary, some time after the order.
 */

/* Rules that must break something, one at a time. */
typedef enum site_wrong {
	SITE_RIGHT,
	SITE_ACK_UNCONFIRMED,  /* the lease is not asked */
	SITE_LEASE_OVER_PAUSE, /* a pause does not use up a lease */
	SITE_PROMOTE_UNFENCED, /* no majority holds, no lease is given back */
	SITE_ORDER_OVER_PAUSE, /* a duty that was checked long ago will do */
	SITE_SETTLE_AT_ONCE,   /* nobody waits for the daemons' leases */
} site_wrong_t;

typedef struct site_model_plan {
	uint32_t seed;
	uint64_t steps;          /* events to run */
	uint32_t databases;      /* 3 to 5 */
	uint32_t daemons;        /* 2 to 5 */
	uint32_t fault_permille; /* chance of a fault in 20 ms */
	uint32_t sync_replicas;  /* 0 or 1 */
	site_wrong_t wrong;
} site_model_plan_t;

typedef struct site_model_result {
	uint64_t steps;
	uint64_t acknowledged; /* writes */
	uint64_t reads;
	uint64_t changes; /* of primary */
	uint64_t orders;
	uint64_t late_orders; /* that took effect seconds later */
	uint64_t faults;
	/* violations */
	uint64_t split; /* acknowledged after a newer primary had begun */
	uint64_t stale; /* reads of a primary that was replaced when asked */
	uint64_t
	    lost; /* with sync_replicas: acknowledged, not in the new log */
} site_model_result_t;

void site_model_run(const site_model_plan_t *, site_model_result_t *);

#endif
