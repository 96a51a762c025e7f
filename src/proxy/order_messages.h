#ifndef PROXY_ORDER_MESSAGES_H
#define PROXY_ORDER_MESSAGES_H

#include "bergamotplank.h"
#include "decide/open_orders.h"

#include "catalog.pb-c.h"

/*
 * Conversion of recorded orders between messages and the types of the
 * decisions.  The open ones among them are a set of their own.
 */

uint64_t server_key(const char *id);
recorded_orders_t recorded_order_read(const Bp__RecordedOrder *);
Bp__RecordedOrder *recorded_order_write(
    const recorded_orders_t *, const char *group, arena_t *);

Bp__OpenOrder **open_orders_write(
    const open_orders_t *, arena_t *, int64_t now_us, size_t *count);
Bp__OpenOrder **open_orders_write_over(
    const open_orders_t *, arena_t *, int64_t now_us, size_t *count);
Bp__OpenOrder **open_orders_copy(
    arena_t *, Bp__OpenOrder *const *list, size_t count);
open_order_t open_order_read(
    const Bp__OpenOrder *, open_order_source_t, int64_t now_us);
bool open_orders_read(open_orders_t *, Bp__OpenOrder *const *list, size_t count,
    open_order_source_t, int64_t now_us);

#endif
