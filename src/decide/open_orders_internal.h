#ifndef DECIDE_OPEN_ORDERS_INTERNAL_H
#define DECIDE_OPEN_ORDERS_INTERNAL_H

#include "open_orders.h"

/*
 * Private to the open orders.  A file calls only files below it:
 *
 * open_orders.c	what is known of the orders, and what becomes known
 * open_orders_end.c	which of them are over, and which are open
 */

open_order_t *order_at(const open_orders_t *, uint32_t i);
open_order_end_t order_end(const open_orders_t *, const open_order_t *);
bool order_done(const open_orders_t *, const open_order_t *);
bool order_open(const open_orders_t *, const open_order_t *);

#endif
