#ifndef DECIDE_FAILOVER_STANDING_H
#define DECIDE_FAILOVER_STANDING_H

#include "failover.h"

/* Standing promises: what proves an order that the store has not recorded. */
void standing_begin(failover_t *, uint64_t term);
void standing_ordered(failover_t *, uint64_t term, bool ordered);
void standing_add_shown(failover_t *);
void standing_note_shown(failover_t *, uint64_t promised, int64_t now_us);
bool standing_proves_order(const failover_t *, int32_t chosen);

#endif
