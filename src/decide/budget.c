#include "decide.h"

/*
 * While membership is disputed, up to this many daemons may each take
 * themselves for a group's owner; their shares together stay within the
 * limit.  Beyond that the database itself refuses.
 */
#define OWNERS_AT_ONCE 3

/* Of each share, one connection carries probes and changes of primary. */
#define CONTROL_CONNECTIONS 1

/*
 * Split a database's limit on connections.  The share has room for all slots
 * first; transactions, which hold a connection while idle, get what is left
 * and at least one.
 */
budget_t
budget_split(uint32_t limit, uint32_t slots)
{
	budget_t budget;
	uint32_t share = limit / OWNERS_AT_ONCE;

	budget.share =
	    share > CONTROL_CONNECTIONS ? share - CONTROL_CONNECTIONS : 1;
	budget.warm = slots < budget.share ? slots : budget.share;
	budget.transactions = budget.share > slots ? budget.share - slots : 1;
	return budget;
}
