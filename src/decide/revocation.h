#ifndef DECIDE_REVOCATION_H
#define DECIDE_REVOCATION_H

#include "contact.h"

/*
 * Revocation of the leases of a group at all other daemons, before its primary
 * is changed.
 */

/* A daemon that is asked to revoke its lease. */
typedef struct revocation_target {
	contact_t contact;
	/* its record says so, or it must learn of a new term or of open orders
	   in any case */
	bool holds_leases;
	/* it has answered, and has read a fencing token from the coordinator
	   record */
	bool token_recorded;
} revocation_target_t;

/* Number of the daemons, including the one that asks. */
typedef struct revocation_count {
	uint32_t daemons;
	uint32_t answered;
	uint32_t token_recorded; /* of those that have answered */
	uint32_t holders_left;   /* may hold leases, and have not answered */
} revocation_count_t;

/* How far a revocation is. */
typedef enum revocation_progress {
	REVOCATION_BEGUN,
	REVOCATION_BY_MOST, /* a majority of the daemons has answered */
	REVOCATION_BY_ALL,  /* and so have all that may hold leases */
} revocation_progress_t;

revocation_count_t revocation_count(
    const revocation_target_t *, uint32_t target_count);
revocation_progress_t revocation_progress(
    const revocation_count_t *, bool incomplete);
bool revocation_confirms_token(const revocation_count_t *, uint32_t of_daemons);

#endif
