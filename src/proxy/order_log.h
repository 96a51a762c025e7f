#ifndef PROXY_ORDER_LOG_H
#define PROXY_ORDER_LOG_H

#include "event.pb-c.h"
#include "pool.h"

/* What an order to promote a server rests on, in the pool's log events. */

Bp__PromotionBasis *promotion_basis_message(
    arena_t *, const group_t *, int64_t now_us);

#endif
