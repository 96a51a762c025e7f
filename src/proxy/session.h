#ifndef PROXY_SESSION_H
#define PROXY_SESSION_H

#include "decide/session_floors.h"
#include "lines.h"
#include "listener.h"
#include "log.h"
#include "proxy.h"
#include "result.h"
#include "sock.h"
#include "stats.h"

#include <libsoup/soup.h>

/*
 * Private to the clients task, which serves the client connections.
 * clients.c: start, stop, the listeners and the messages of other tasks.
 * session.c: the session of one client connection.
 */

typedef struct clients clients_t;

/* A prepared statement of a session; its name is the key of the table. */
typedef struct prepared_statement {
	char *statement_template;
	bool writes; /* false: it only reads */
} prepared_statement_t;

/*
 * A client connection and its session.  Statements run one at a time: input
 * that arrives while one is running stays in the buffer.  Statements are sent
 * to the pool task, which runs them on a database.
 */
typedef struct session {
	clients_t *clients;
	uint64_t id; /* key in clients->sessions */
	sock_t *sock;
	line_buffer_t in; /* received and not yet processed */
	GString *out;     /* output that is not yet sent */
	/* output that the connection has not taken, part of clients->output;
	   meanwhile no input is processed */
	uint64_t output_bytes;
	char *database; /* NULL before the client has opened the session */
	char *account;
	transaction_state_t state;
	arena_t *route_arena;               /* owns transaction_route */
	const Bp__Route *transaction_route; /* route of the open transaction */
	bool read_only;        /* the open transaction is read-only */
	bool transaction_sent; /* the pool has part of the open transaction */
	bool waiting;          /* input waits for the pool or the catalog */
	bool awaiting_catalog; /* the client waits for the first catalog */
	bool processing_input; /* session_process_input() is running */
	bool close_pending;    /* freed once the input has been processed */
	Bp__OperationKind operation_kind; /* kind of the last statement sent */
	uint64_t sequence;               /* number of the last statement sent */
	GHashTable *values;              /* session variables by name */
	GHashTable *prepared_statements; /* of prepared_statement_t by name */
	char *sent_group;                /* group of the last statement sent */
	session_floors_t floors;         /* by its acknowledged writes */
} session_t;

/* Counters and gauges of the clients task. */
typedef enum clients_counter {
	COUNT_SESSIONS_OPENED,
	COUNT_STATEMENTS_REFUSED, /* by this task, without the pool */
	COUNT_SESSIONS,           /* open now; a gauge */
	CLIENTS_COUNTERS,
} clients_counter_t;

struct clients {
	const proxy_t *proxy;
	const wire_ops_t *wire;
	task_t *task;
	GHashTable *sessions;      /* of session_t by id */
	GHashTable *routes;        /* of Bp__Route by database name */
	arena_t *arena;            /* owns the routes */
	bool has_catalog;          /* a catalog has been received */
	listener_t *listener;      /* accepts clients */
	SoupServer *health_server; /* for the load balancer's health checks */
	uint64_t last_session_id;
	log_rate_limit_t refusal_log_limit; /* limit of log lines on refusals */
	result_budget_t output; /* output that connections have not taken */
	log_rate_limit_t results_log_limit;
	uint64_t counts[CLIENTS_COUNTERS];
	GSource *drain_timer;     /* checks the sessions during a drain */
	int64_t drain_started_us; /* start of the drain; 0: not draining */
	int64_t grace_us;         /* longest duration of a drain */
};

session_t *session_new(clients_t *, GSocket *);
void session_free(gpointer);
void session_process_input(session_t *);
void session_operation_ended(session_t *, const Bp__OperationEnded *);
void session_transaction_dropped(session_t *);
void session_abort_transaction(session_t *);
void session_catalog_ready(session_t *);
bool session_is_idle(const session_t *);
void session_close(session_t *);

#endif
