#include "result.h"

#include "event.pb-c.h"

#include <string.h>

/* Results that are too large to be passed on. */

/* Answers in place of a result, by refusal.  No text says that nothing ran. */
static const struct {
	Bp__Verdict verdict;
	const char *text;
} answers[] = {
    [RESULT_REFUSAL_FAILED] = {BP__VERDICT__STATEMENT_FAILED,
	"the result is too large"},
    [RESULT_REFUSAL_BUSY] = {BP__VERDICT__BUSY,
	"no memory is free for the result; retry-after-ms=50"},
    [RESULT_REFUSAL_ABORTED] = {BP__VERDICT__ABORTED,
	"no memory is free for the result; the transaction was rolled back"},
    [RESULT_REFUSAL_IN_DOUBT] = {BP__VERDICT__IN_DOUBT,
	"the statement has run, and its result is too large"},
};

/*
 * Return the size of the rows of a result.
 */
uint64_t
result_bytes(const Bp__OperationEnded *ended)
{
	uint64_t size_bytes = 0;
	size_t i;

	for (i = 0; i < ended->n_rows; i++)
		size_bytes += strlen(ended->rows[i]) + ROW_OVERHEAD_BYTES;
	return size_bytes;
}

/*
 * Return the verdict, and its text in *text, with which a statement ends whose
 * result is discarded.  The caller rolls the transaction back, if there is one.
 * Logs the event within the rate limit.
 */
Bp__Verdict
result_discard(const result_discarded_t *discarded, log_rate_limit_t *limit,
    const char **text)
{
	bool takes_effect =
	    discarded->kind == BP__OPERATION_KIND__COMMIT_TRANSACTION ||
	    (discarded->kind == BP__OPERATION_KIND__WRITE_ITEM &&
		!discarded->in_transaction);
	result_refusal_t refusal = result_refusal(
	    discarded->fit, takes_effect, discarded->in_transaction);
	Bp__ResultDiscarded event = BP__RESULT_DISCARDED__INIT;

	*text = answers[refusal].text;
	if (log_rate_limit_allow(limit, clock_us(), RESULT_LOG_LINES_PER_SECOND,
		&event.left_out)) {
		event.has_left_out = event.left_out > 0;
		event.session = discarded->session;
		event.group = (char *)discarded->group;
		event.kind = discarded->kind;
		event.in_transaction = discarded->in_transaction;
		event.verdict = answers[refusal].verdict;
		event.result_bytes = discarded->result_bytes;
		event.held_bytes = discarded->held_bytes;
		log_event(G_LOG_LEVEL_WARNING, &event.base);
	}
	return answers[refusal].verdict;
}
