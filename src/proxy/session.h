#ifndef PROXY_SESSION_H
#define PROXY_SESSION_H

#include "lines.h"
#include "listener.h"
#include "log.h"
#include "proxy.h"
#include "sock.h"
#include "stats.h"

#include <libsoup/soup.h>

/*
 * Inside the clients' task.  clients.c: the role, its listeners and its
 * messages.  session.c: one client's session.
 */

typedef struct clients clients_t;

/* What a session prepared under a name. */
typedef struct prepared {
	char *shape;
	bool writes;
} prepared_t;

/* One client's connection, which is its session. */
typedef struct session {
	clients_t *clients;
	uint64_t id; /* the key */
	sock_t *sock;
	lines_t in;
	GString *out;
	char *database; /* NULL: not open yet */
	char *account;
	session_state_t state;
	arena_t *arena;         /* of route */
	const Bp__Route *route; /* that the open transaction goes by */
	bool read_only;         /* the transaction */
	bool sent_any;          /* statements of the transaction */
	bool waiting;           /* for an answer */
	bool for_catalog;       /* its opening waits for the first catalog */
	bool handling;          /* lines are being handled */
	bool ended;             /* to be freed */
	Bp__OperationKind kind; /* of the statement that runs */
	uint64_t sequence;
	GHashTable *values;   /* by name */
	GHashTable *prepared; /* of prepared_t by name */
	char *sent_group;     /* that the statement which runs was sent to */
	char *floor_group;    /* whose log the floor is a position of */
	position_t floor;
} session_t;

typedef enum clients_counter {
	COUNT_SESSIONS_OPENED,
	COUNT_STATEMENTS_REFUSED, /* before they reached the pool */
	COUNT_SESSIONS,           /* a gauge */
	COUNT_CLIENTS_COUNTERS,
} clients_counter_t;

struct clients {
	const proxy_t *proxy;
	const wire_ops_t *wire;
	task_t *task;
	GHashTable *sessions; /* of session_t by id */
	GHashTable *routes;   /* of Bp__Route by database name, in arena */
	arena_t *arena;
	bool known; /* a catalog is in force */
	listener_t *listener;
	SoupServer *probe; /* the balancer's questions */
	uint64_t next_id;
	log_budget_t refusals; /* lines on them */
	uint64_t counts[COUNT_CLIENTS_COUNTERS];
	GSource *tick;
	int64_t leaving_us; /* since; 0: not */
	int64_t grace_us;
};

session_t *session_new(clients_t *, GSocket *);
void session_free(gpointer);
void session_handle(session_t *);
void session_answered(session_t *, const Bp__OperationEnded *);
void session_dropped(session_t *);
void session_abort(session_t *);
void session_opened(session_t *);
bool session_quiet(const session_t *);
void session_end(session_t *);

#endif
