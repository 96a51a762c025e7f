#ifndef PROXY_RESULT_H
#define PROXY_RESULT_H

#include "bergamotplank.h"
#include "decide/result_budget.h"
#include "log.h"
#include "proxy.pb-c.h"

/*
 * Limits of results, in bytes.  A process has 260 MB.  A result is kept in the
 * pool until it may be answered, then by the clients task, or by the peers
 * task, until the connection has taken it; on each passage it is there twice.
 */

/* One result, and one that is sent to another daemon in a frame. */
#define RESULT_BYTES_MAX (UINT64_C(16) << 20)
#define FORWARDED_RESULT_BYTES_MAX (UINT64_C(3) << 20)

/* All results in the pool, and those that clients or daemons do not take. */
#define POOL_RESULTS_BYTES_MAX (UINT64_C(40) << 20)
#define CLIENTS_RESULTS_BYTES_MAX (UINT64_C(64) << 20)
#define PEERS_RESULTS_BYTES_MAX (UINT64_C(32) << 20)
#define LINK_RESULTS_BYTES_MAX (UINT64_C(8) << 20)

/* Memory that a row takes beside its bytes. */
#define ROW_OVERHEAD_BYTES 128

/* Largest number of log lines a second about discarded results of a task. */
#define RESULT_LOG_LINES_PER_SECOND 5

/* A result that is discarded. */
typedef struct result_discarded {
	result_fit_t fit;
	Bp__OperationKind kind;
	bool in_transaction;
	uint64_t session;
	const char *group; /* NULL: not known */
	uint64_t result_bytes;
	uint64_t held_bytes; /* of other results */
} result_discarded_t;

uint64_t result_bytes(const Bp__OperationEnded *);
Bp__Verdict result_discard(
    const result_discarded_t *, log_rate_limit_t *, const char **text);

#endif
