#include "result_budget.h"

#include <assert.h>

/*
 * Decide whether a part of a result may be kept.  result_bytes: the parts of
 * this result that are kept already; added_bytes: the new part;
 * result_bytes_max: limit of one result.
 */
result_fit_t
result_budget_check(const result_budget_t *budget, uint64_t result_bytes,
    uint64_t added_bytes, uint64_t result_bytes_max)
{
	if (result_bytes + added_bytes > result_bytes_max)
		return RESULT_TOO_LARGE;
	if (result_bytes + added_bytes > RESULT_SMALL_BYTES &&
	    budget->held_bytes + added_bytes > budget->held_bytes_max)
		return RESULT_NO_ROOM;
	return RESULT_FITS;
}

/*
 * Count bytes as kept.
 */
void
result_budget_hold(result_budget_t *budget, uint64_t size_bytes)
{
	budget->held_bytes += size_bytes;
}

/*
 * Count bytes as no longer kept, and set their number to 0.
 */
void
result_budget_release(result_budget_t *budget, uint64_t *size_bytes)
{
	assert(budget->held_bytes >= *size_bytes);
	budget->held_bytes -= *size_bytes;
	*size_bytes = 0;
}

/*
 * Decide how a statement ends that has run and whose result is discarded.
 * takes_effect: it commits, by itself or a transaction; in_transaction: it
 * belongs to a transaction, which can still be rolled back.
 */
result_refusal_t
result_refusal(result_fit_t fit, bool takes_effect, bool in_transaction)
{
	if (takes_effect)
		return RESULT_REFUSAL_IN_DOUBT;
	if (fit == RESULT_TOO_LARGE)
		return RESULT_REFUSAL_FAILED;
	return in_transaction ? RESULT_REFUSAL_ABORTED : RESULT_REFUSAL_BUSY;
}
