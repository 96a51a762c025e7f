#include "decide.h"

/*
 * While the daemons disagree about the membership, up to this many of them
 * may act as the owner of a group at the same time.  Their shares together
 * stay within the connection limit; with more owners the database itself
 * refuses connections.
 */
#define CONCURRENT_OWNERS 3

/* Connections of each share reserved for status requests and failover. */
#define CONTROL_CONNECTIONS 1

/*
 * Divide the connection limit of a database.  The share covers all slots of
 * the database first.  What remains, at least one connection, is for open
 * transactions, which occupy a connection also while they are idle.
 */
conn_budget_t
conn_budget_split(uint32_t limit, uint32_t slots)
{
	conn_budget_t budget;
	uint32_t share = limit / CONCURRENT_OWNERS;

	budget.max_open =
	    share > CONTROL_CONNECTIONS ? share - CONTROL_CONNECTIONS : 1;
	budget.min_open = slots < budget.max_open ? slots : budget.max_open;
	budget.max_transactions =
	    budget.max_open > slots ? budget.max_open - slots : 1;
	return budget;
}
