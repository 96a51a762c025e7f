#include "decide.h"

/*
 * Each first attempt adds a tenth of a retry.  The reserve allows the first
 * retries before any attempt has added to the budget.
 */
#define DEPOSIT_MILLI 100
#define RETRY_COST_MILLI 1000
#define TOKENS_MAX_MILLI 100000
#define RESERVE_MILLI 20000

/*
 * Credit the budget for a first attempt.  The reserve is not part of
 * tokens_milli, so a zeroed retry_budget_t starts with the whole reserve.
 */
void
retry_budget_deposit(retry_budget_t *budget)
{
	budget->tokens_milli += DEPOSIT_MILLI;
	if (budget->tokens_milli > TOKENS_MAX_MILLI - RESERVE_MILLI)
		budget->tokens_milli = TOKENS_MAX_MILLI - RESERVE_MILLI;
}

/*
 * Take the cost of one retry from the budget.  Returns false when the budget
 * is exhausted: thus retries add at most a tenth to the load of an overloaded
 * database.
 */
bool
retry_budget_withdraw(retry_budget_t *budget)
{
	if (budget->tokens_milli + RESERVE_MILLI < RETRY_COST_MILLI)
		return false;
	budget->tokens_milli -= RETRY_COST_MILLI;
	return true;
}
