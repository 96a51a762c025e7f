#ifndef PROXY_PROMOTION_INTERNAL_H
#define PROXY_PROMOTION_INTERNAL_H

#include "event.pb-c.h"
#include "registry.h"

/*
 * Private to the promotion orders of a coordinator.  A file calls only files
 * below it; what the rest of the registry task calls is declared in registry.h:
 *
 * promotion.c		orders that the pool wants or cancels; answers of others
 * promotion_record.c	writes of the coordinator record with orders
 * promotion_order.c	one order: validity, sending, outcome
 */

/* A promotion order that is not sent yet, or has no response yet. */
typedef struct order {
	registry_t *registry;
	msg_t *msg;     /* the PromotionWanted message */
	GSource *timer; /* delay of a first order, or confirmation timeout */
	bool cancelled; /* the pool does not want it any more */
	uint64_t token; /* fencing token under which it was decided */
	bool noted;     /* it is among the orders to be recorded */
	bool recording; /* it is sent when a write with it was confirmed */
	bool written;   /* the write that is under way has it */
	uint32_t unanswered; /* writes that had it and got no answer in time */
	bool checking;       /* the pool checks the promises for it */
	bool promised;       /* it has found that they are held */
	int64_t put_us;      /* time of the write that recorded it */
	int64_t asked_us; /* time of the request to confirm it; 0: not asked */
} order_t;

/* promotion_record.c */
void write_orders(registry_t *);
gboolean order_record(gpointer order);

/* promotion_order.c */
const Bp__PromotionWanted *order_request(const order_t *);
void order_free(gpointer order);
void order_note(order_t *);
bool order_end_if_void(order_t *);
void order_send(order_t *);
void order_withhold(order_t *);
void order_finish(order_t *, Bp__PromotionAnswer);

#endif
