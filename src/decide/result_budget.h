#ifndef DECIDE_RESULT_BUDGET_H
#define DECIDE_RESULT_BUDGET_H

#include <stdbool.h>
#include <stdint.h>

/* Memory for the results of statements that are kept until they are sent. */

/* A result of at most this size is kept also when the budget is used up. */
#define RESULT_SMALL_BYTES (UINT64_C(16) << 10)

typedef struct result_budget {
	uint64_t held_bytes;
	uint64_t held_bytes_max;
} result_budget_t;

typedef enum result_fit {
	RESULT_FITS,
	RESULT_TOO_LARGE, /* above the limit of one result */
	RESULT_NO_ROOM,   /* other results use the budget */
} result_fit_t;

/* How a statement ends that has run and whose result is discarded. */
typedef enum result_refusal {
	RESULT_REFUSAL_FAILED,   /* a read; again it would be as large */
	RESULT_REFUSAL_BUSY,     /* a read; nothing of it is kept */
	RESULT_REFUSAL_ABORTED,  /* its transaction is rolled back */
	RESULT_REFUSAL_IN_DOUBT, /* it has taken effect, without a proof */
} result_refusal_t;

result_fit_t result_budget_check(const result_budget_t *, uint64_t result_bytes,
    uint64_t added_bytes, uint64_t result_bytes_max);
void result_budget_hold(result_budget_t *, uint64_t size_bytes);
void result_budget_release(result_budget_t *, uint64_t *size_bytes);
result_refusal_t result_refusal(
    result_fit_t, bool takes_effect, bool in_transaction);

#endif
