#ifndef FRONT_H
#define FRONT_H

#include "caller_conns.h"
#include "daemon.h"
#include "decide/decide.h"
#include "document.h"
#include "status_collector.h"
#include "task.pb-c.h"

#include <libsoup/soup.h>

/*
 * Internals of the front-end task, which serves callers and operators over
 * HTTP.  front.c: the task and the HTTP side for callers.  route.c: the choice
 * of the daemon that runs a statement, and the response.  operator.c: the HTTP
 * side for operators.
 */

typedef struct front_ctx front_ctx_t;

/* Counters of the task; their names in metrics are in operator.c. */
typedef enum front_counter {
	COUNT_REQUESTS,
	COUNT_BAD_REQUESTS,
	COUNT_REQUESTS_TOO_LARGE,
	COUNT_REQUESTS_TOO_SLOW,
	COUNT_CONNECTIONS_REFUSED,
	COUNT_STATEMENTS_REROUTED,
	COUNT_LATE_ANSWERS,
	COUNT_CONNECTIONS, /* a gauge, hence listed last */
	FRONT_COUNTERS,
} front_counter_t;

/* The document in force of one team, parsed. */
typedef struct team_document {
	arena_t *arena;
	Bp__Document *document;
	uint64_t version;
} team_document_t;

/* A caller's request that waits for the answer to its statement. */
typedef struct pending_request {
	front_ctx_t *ctx;
	uint64_t correlation_id; /* identifies the answer; the hash key */
	arena_t *arena;
	SoupServerMessage *message;
	Bp__CallerRequest *request;
	Bp__SessionToken *session;
	Bp__Statement *statement;
	char *daemon;      /* daemon that the statement was sent to last */
	bool repeatable;   /* the statement may safely run twice */
	bool may_have_run; /* an attempt ended without a known outcome */
	uint32_t attempts; /* times the statement was sent */
	int64_t deadline_us;
} pending_request_t;

/* State of the front-end task. */
struct front_ctx {
	const daemon_t *daemon;
	task_t *task;
	SoupServer *caller_server;
	SoupServer *operator_server;
	GHashTable *documents_by_team; /* of team_document_t by team */
	GHashTable *pending; /* of pending_request_t by correlation_id */
	status_collector_t *status_collector;
	GHashTable *partial_requests; /* of partial_request_t by message */
	caller_conns_t *connections;
	GPtrArray *owner_candidates; /* names of possible group owners */
	GHashTable *owner_by_group;  /* cached owners by "team/group" */
	GHashTable *live_members;    /* names of members that are not dead */
	GSource *tick_timer;
	retry_budget_t retry_budget;
	uint64_t next_correlation_id;
	bool draining;     /* Drain was received, or the task is stopping */
	bool stopping;     /* the tasks that run statements have ended */
	bool drained_sent; /* Drained was sent to the control task */
	uint64_t counts[FRONT_COUNTERS];
};

/* route.c */
void route_request(
    front_ctx_t *, SoupServerMessage *, const char *body, uint64_t size_bytes);
void route_handle_answer(front_ctx_t *, const Bp__StatementAnswered *);
void route_expire_pending(front_ctx_t *, int64_t now_us);
void route_fail_pending(front_ctx_t *);
void pending_request_free(gpointer);
void front_refuse(
    front_ctx_t *, SoupServerMessage *, Bp__Reason, const char *text);
void front_check_drained(front_ctx_t *);

/* operator.c */
int32_t operator_start(front_ctx_t *);

#endif
