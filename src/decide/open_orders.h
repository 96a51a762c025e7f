#ifndef DECIDE_OPEN_ORDERS_H
#define DECIDE_OPEN_ORDERS_H

#include "decide.h"

#include <glib.h>

/*
 * The open orders of a group: orders to promote a database whose outcome is not
 * known.  The network or the platform may hold an order up for seconds, and
 * then it replaces whichever database leads by then.  An order is open until a
 * term is known that it began, or its database was asked for its status after
 * the time in which it may take effect.
 */

/* Where an open order is known from. */
typedef enum open_order_source {
	OPEN_ORDER_TOLD,     /* another daemon */
	OPEN_ORDER_RECORDED, /* the coordinator record, or this daemon's own */
} open_order_source_t;

typedef struct open_order {
	char *database;         /* name of the database to be promoted */
	uint64_t attempt_term;  /* term that it is for */
	uint64_t replaced_term; /* newest term whose primary it replaces */
	int64_t until_us;       /* time until which it may take effect */
	open_order_source_t source;
	/* first term that it may have begun; 0: none.  If no other order may
	   have begun that term, this one did, and is not open any more. */
	uint64_t begun_term;
	/* it stays open although no other order is known that may have begun
	   that term */
	bool in_doubt;
	bool checked; /* its database was asked after until_us */
} open_order_t;

/* A database that was seen to lead a term. */
typedef struct seen_leader {
	char *database;
	uint64_t term; /* the newest one */
} seen_leader_t;

typedef struct open_orders {
	GPtrArray *list;    /* of open_order_t, oldest first */
	GPtrArray *leaders; /* of seen_leader_t, one for each database */
} open_orders_t;

/*
 * Callback for each open order.
 */
typedef void (*open_order_cb)(void *context, const open_order_t *);

void open_orders_init(open_orders_t *);
void open_orders_clear(open_orders_t *);
bool open_orders_add(open_orders_t *, const open_order_t *);
void open_orders_remove(
    open_orders_t *, const char *database, uint64_t attempt_term);
void open_orders_forget(
    open_orders_t *, const char *database, uint64_t attempt_term);
void open_orders_shorten(open_orders_t *, const char *database,
    uint64_t attempt_term, int64_t until_us);
void open_orders_replace_recorded(
    open_orders_t *, const open_order_t *recorded, uint32_t count);
void open_orders_store_restored(open_orders_t *);
void open_orders_term_begun(
    open_orders_t *, const char *database, uint64_t term);
void open_orders_forget_leader(open_orders_t *, const char *database);
void open_orders_checked(
    open_orders_t *, const char *database, int64_t asked_us);
void open_orders_expire(open_orders_t *, bool all, int64_t now_us);
uint32_t open_orders_count(const open_orders_t *);
bool open_orders_has(const open_orders_t *, const char *database);
void open_orders_each(const open_orders_t *, open_order_cb, void *context);
void open_orders_each_over(const open_orders_t *, open_order_cb, void *context);

#endif
