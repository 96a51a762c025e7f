#ifndef DECIDE_LEASE_INTERNAL_H
#define DECIDE_LEASE_INTERNAL_H

#include "decide.h"

/*
 * Private to the lease on a primary.  A file calls only files below it:
 *
 * lease.c		what a lease rests on, and how long it lasts
 * lease_block.c	the block of leases by the signs of an attempt
 * lease_denials.c	moments at which all databases deny a newer primary
 * lease_record.c	what the record and the list of the databases show
 */

/*
 * Time after which an attempt at a failover has led to an order, which the
 * store has recorded, or never will.
 */
#define ATTEMPT_MAX_US (4 * US_PER_SECOND)

/* lease_block.c */
bool renewal_blocked(
    lease_t *, const db_view_t *, uint32_t count, uint32_t primary);

/* lease_denials.c */
void denials_note(lease_t *, const db_view_t *, uint32_t count,
    uint32_t primary, int64_t now_us, const lease_duration_t *);
void denials_forget(lease_t *);

/* lease_record.c */
int64_t lease_duration_us(const lease_duration_t *, int64_t asked_us);
bool promise_blocks(
    const lease_t *, const db_view_t *, const db_view_t *primary);
bool list_outdated(const lease_t *, int64_t at_us);
bool all_unknown(const lease_t *, int64_t at_us);
bool record_outdated(const lease_t *);
uint32_t recorded_members(const lease_t *, uint64_t term);
bool unaware(const lease_t *, uint64_t term);
bool record_allows(const lease_t *, const db_view_t *primary);
bool order_recorded(const lease_t *, const db_view_t *primary);
bool members_missing(const lease_t *, uint64_t term);

#endif
