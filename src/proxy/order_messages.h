#ifndef PROXY_ORDER_MESSAGES_H
#define PROXY_ORDER_MESSAGES_H

#include "bergamotplank.h"
#include "decide/open_orders.h"

#include "catalog.pb-c.h"

/* Conversion of open orders between their set and messages. */

Bp__OpenOrder **open_orders_write(
    const open_orders_t *, arena_t *, int64_t now_us, size_t *count);
Bp__OpenOrder **open_orders_copy(
    arena_t *, Bp__OpenOrder *const *list, size_t count);
open_order_t open_order_read(
    const Bp__OpenOrder *, open_order_source_t, int64_t now_us);
bool open_orders_read(open_orders_t *, Bp__OpenOrder *const *list, size_t count,
    open_order_source_t, int64_t now_us);

#endif
