#ifndef DECIDE_FAILOVER_CHOICE_H
#define DECIDE_FAILOVER_CHOICE_H

#include "failover.h"

/* Choice of the database that a failover promotes. */
uint32_t grants_needed(const failover_t *);
bool promises_suffice(
    const failover_t *, const bool *promised, uint32_t needed);
bool grants_suffice(const failover_t *);
bool order_open_elsewhere(const failover_t *, int32_t database);
int32_t ready_to_promote(const failover_t *, int64_t now_us);
bool candidate_granted(const failover_t *, int64_t now_us);

#endif
