#include "decide.h"

/* Each first try earns a tenth of a retry; a few are there from the start. */
#define EARNED_MILLI 100
#define SPENT_MILLI 1000
#define TOKENS_MAX_MILLI 100000
#define TOKENS_START_MILLI 20000

/*
 * Note a first try.  A zeroed retry_t is a full start.
 */
void
retry_earn(retry_t *retry)
{
	retry->tokens_milli += EARNED_MILLI;
	if (retry->tokens_milli > TOKENS_MAX_MILLI - TOKENS_START_MILLI)
		retry->tokens_milli = TOKENS_MAX_MILLI - TOKENS_START_MILLI;
}

/*
 * Ask for one retry.  Returns false when the budget is spent, so that
 * retries never add more than a tenth to an overload.
 */
bool
retry_spend(retry_t *retry)
{
	if (retry->tokens_milli + TOKENS_START_MILLI < SPENT_MILLI)
		return false;
	retry->tokens_milli -= SPENT_MILLI;
	return true;
}
