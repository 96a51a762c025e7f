#ifndef DECIDE_OPEN_ORDERS_H
#define DECIDE_OPEN_ORDERS_H

#include "failover.h"

#include <glib.h>

/*
 * The open orders of a group: orders to promote a database whose outcome is not
 * known.  The network or the platform may hold an order up for seconds, and
 * then it replaces whichever database leads by then.  An order is open until an
 * answer of its database shows the outcome, or a term is led that began when it
 * could not take effect any more.
 */

/* What ends an order: open_orders_end.c */
typedef enum open_order_end {
	OPEN_ORDER_OPEN,       /* nothing yet */
	OPEN_ORDER_ASKED,      /* its database has answered after its time */
	OPEN_ORDER_LED,        /* its database leads the term that it began */
	OPEN_ORDER_OVERTAKEN,  /* a term is led that began after its time */
	OPEN_ORDER_REFUSED,    /* it was refused or not sent */
	OPEN_ORDER_UNRECORDED, /* a later record lacks it */
} open_order_end_t;

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
	int64_t recorded_us; /* last time at which the record had it */
	/* time since which the record, as it was read, names it; 0: it may not
	   do so */
	int64_t named_since_us;
	/* first term that it may have begun; 0: none.  If no other order to its
	   database may have begun that term, this one did, and is not open any
	   more. */
	uint64_t begun_term;
	/* it stays open although no other order is known that may have begun
	   that term */
	bool in_doubt;
	/* attempt of the first order that was recorded after until_us; 0: none
	   is known */
	uint64_t followed_by;
	bool checked;   /* its database was asked after until_us */
	bool overtaken; /* a term that began after until_us is led */
	bool was_open;  /* it was open when that was noted last */
} open_order_t;

/* What the answers of a database have shown. */
typedef struct seen_leader {
	char *database;
	/* newest term that it was seen to lead as the primary of the group; 0:
	   none */
	uint64_t term;
	uint64_t told_term; /* newest one that it said to lead; 0: none */
	int64_t asked_us;   /* send time of the last answered request */
	/* a time at which told_term had not begun; 0: none is known */
	int64_t before_us;
} seen_leader_t;

typedef struct open_orders {
	GPtrArray *list;       /* of open_order_t, oldest first */
	GPtrArray *leaders;    /* of seen_leader_t, one for each database */
	uint64_t record_begun; /* of the record that was read last; 0: none */
	open_order_end_t last_end; /* of the order that has ended last */
} open_orders_t;

/*
 * Callback for each open order.
 */
typedef void (*open_order_cb)(void *context, const open_order_t *);

/*
 * Callback that returns the name of a database of the group.
 */
typedef const char *(*database_name_cb)(void *context, uint32_t database);

void open_orders_init(open_orders_t *);
void open_orders_clear(open_orders_t *);
bool open_orders_add(open_orders_t *, const open_order_t *);
void open_orders_note(
    open_orders_t *, const open_order_t *noted, int64_t now_us);
void open_orders_remove(
    open_orders_t *, const char *database, uint64_t attempt_term);
void open_orders_forget(
    open_orders_t *, const char *database, uint64_t attempt_term);
void open_orders_shorten(open_orders_t *, const char *database,
    uint64_t attempt_term, int64_t until_us);
void open_orders_replace_recorded(open_orders_t *, const open_order_t *recorded,
    uint32_t count, uint64_t begun, int64_t asked_us, int64_t now_us);
void open_orders_store_restored(open_orders_t *);
void open_orders_term_begun(
    open_orders_t *, const char *database, uint64_t term);
void open_orders_forget_leader(open_orders_t *, const char *database);
void open_orders_checked(
    open_orders_t *, const char *database, uint64_t led_term, int64_t asked_us);
void open_orders_expire(open_orders_t *, int64_t now_us);
void open_orders_settle(
    open_orders_t *, const open_order_t *open, uint32_t count, int64_t now_us);
void open_orders_add_all(open_orders_t *, const open_orders_t *added);
uint32_t open_orders_count(const open_orders_t *);
bool open_orders_has(const open_orders_t *, const char *database);
void open_orders_each(const open_orders_t *, open_order_cb, void *context);
void open_orders_update(open_orders_t *, failover_t *, lease_t *,
    database_name_cb, void *context, int64_t now_us);
void open_orders_each_named(
    const open_orders_t *, bool named, open_order_cb, void *context);

#endif
