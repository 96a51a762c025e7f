#include "proxy_model_internal.h"

/* The proxy model: the orders that may still take effect. */

static char *const db_names[DBS_MAX] = {"0", "1", "2", "3", "4"};

/*
 * Append an order to a list.
 */
static void
append_order(void *context, const open_order_t *order)
{
	open_list_t *list = context;
	uint32_t db = (uint32_t)(order->database[0] - '0');

	if (list->count == OPEN_LIST_MAX)
		return;
	list->orders[list->count] = *order;
	list->orders[list->count++].database = db_names[db];
}

/*
 * Return the open orders that a daemon knows.
 */
void
proxy_model_open_list(const proxy_model_t *model,
    const proxy_model_daemon_t *daemon, open_list_t *list)
{
	list->count = 0;
	(void)model;
	open_orders_each(&daemon->open_orders, append_order, list);
}

/*
 * Have a daemon note the open orders that another one has told.  Returns
 * whether one of them was not known.
 */
bool
proxy_model_open_told(
    proxy_model_t *model, proxy_model_daemon_t *daemon, const open_list_t *list)
{
	bool added = false;
	uint32_t i;

	for (i = 0; i < list->count; i++) {
		open_order_t order = list->orders[i];

		order.source = OPEN_ORDER_TOLD;
		added |= open_orders_add(&daemon->open_orders, &order);
	}
	proxy_model_open_update(model, daemon);
	return added;
}

/*
 * Have a daemon note the open orders that the store has recorded.
 */
void
proxy_model_open_recorded(
    proxy_model_t *model, proxy_model_daemon_t *daemon, const open_list_t *list)
{
	open_list_t recorded = *list;
	uint32_t i;

	for (i = 0; i < recorded.count; i++) {
		recorded.orders[i].source = OPEN_ORDER_RECORDED;
		/* each process counts from when it reads the record */
		recorded.orders[i].until_us = model->now_us + ORDER_OPEN_US;
	}
	open_orders_replace_recorded(
	    &daemon->open_orders, recorded.orders, recorded.count);
	proxy_model_open_update(model, daemon);
}

/*
 * Note an order of a daemon's failover as open, and record it.
 */
void
proxy_model_open_note(
    proxy_model_t *model, proxy_model_daemon_t *daemon, uint32_t db)
{
	open_order_t order = {.database = db_names[db],
	    .attempt_term = daemon->failover.term,
	    .replaced_term = model->orders.replaced_term,
	    .until_us = model->now_us + ORDER_OPEN_US,
	    .source = OPEN_ORDER_RECORDED};

	if (model->plan->open_orders_unknown)
		return;
	open_orders_term_begun(&daemon->open_orders, NULL,
	    failover_term_to_replace(&daemon->failover));
	open_orders_expire(&daemon->open_orders, true, model->now_us);

	open_orders_remove(
	    &daemon->open_orders, order.database, order.attempt_term);
	open_orders_add(&daemon->open_orders, &order);
	proxy_model_open_list(model, daemon, &model->open);
}

/*
 * Withdraw an order that was refused or not sent.
 */
void
proxy_model_open_withdraw(
    proxy_model_t *model, proxy_model_daemon_t *daemon, uint32_t db)
{
	open_orders_remove(
	    &daemon->open_orders, db_names[db], daemon->failover.term);
	if (!model->plan->open_orders_unknown)
		proxy_model_open_list(model, daemon, &model->open);
}

/*
 * Note that the platform has accepted an order.
 */
void
proxy_model_open_accepted(
    proxy_model_daemon_t *daemon, uint32_t db, int64_t now_us)
{
	open_orders_shorten(&daemon->open_orders, db_names[db],
	    daemon->failover.term, now_us + ORDER_LATE_US);
}

/*
 * Bring the open orders of a daemon up to date, and mark the databases that
 * they name.
 */
void
proxy_model_open_update(proxy_model_t *model, proxy_model_daemon_t *daemon)
{
	failover_t *failover = &daemon->failover;
	int32_t primary = failover_primary(failover);
	uint32_t i;

	for (i = 0; i < model->plan->databases; i++) {
		if (failover->views[i].known)
			open_orders_checked(&daemon->open_orders, db_names[i],
			    failover->views[i].requested_us);
	}
	if (primary >= 0)
		open_orders_term_begun(&daemon->open_orders, db_names[primary],
		    failover->views[primary].promised);
	open_orders_expire(&daemon->open_orders, false, model->now_us);
	for (i = 0; i < model->plan->databases; i++)
		failover->views[i].order_open =
		    open_orders_has(&daemon->open_orders, db_names[i]);
}

/*
 * Return the latest time at which it is certain that no open order had taken
 * effect; INT64_MAX if there is none.
 */
int64_t
proxy_model_checked_us(
    const proxy_model_t *model, const proxy_model_daemon_t *daemon)
{
	int32_t primary = failover_primary(&daemon->failover);

	if (model->plan->injected_bug == PROXY_BUG_OPEN_ORDERS)
		return INT64_MAX;
	return primary < 0
	    ? 0
	    : lease_checked_us(&daemon->lease, daemon->failover.views,
		  model->plan->databases, (uint32_t)primary);
}
