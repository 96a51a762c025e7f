#ifndef GROUP_H
#define GROUP_H

#include "backend.h"
#include "daemon.h"
#include "decide/failover.h"
#include "decide/rankq.h"
#include "decide/replica.h"
#include "decide/reqid.h"
#include "document.h"
#include "stats.h"
#include "task.pb-c.h"

/*
 * Internals of the task that runs statements on database groups.
 *
 * group.c      state of the task, and handlers of its messages
 * stmt.c       life cycle of a statement: queue, execute, confirm, answer
 * admission.c  admission control of new statements
 * stmt_dispatch.c  sends queued statements to databases
 * dbgroup.c    one database group: probes, failover, handover
 * conn.c       connections to one database
 *
 * A statement that ran on the primary is confirmed, and only then answered,
 * once a majority of the group's databases holds its log position.
 */

typedef struct group_ctx group_ctx_t;
typedef struct dbgroup dbgroup_t;
typedef struct database database_t;
typedef struct conn conn_t;
typedef struct stmt stmt_t;
typedef struct tx tx_t;

/* Counters of the task; their names in metrics are in group.c. */
typedef enum group_counter {
	COUNT_DONE, /* the first four in the order of Bp__Outcome */
	COUNT_FAILED,
	COUNT_NOT_RUN,
	COUNT_UNKNOWN,
	COUNT_REPLICA_READS,
	COUNT_PRIMARY_READS,
	COUNT_WRITES,
	COUNT_RETRIES,
	COUNT_REFUSED_EARLY,
	COUNT_EXPIRED,
	COUNT_DUPLICATE_IDS,
	COUNT_PROBES,
	COUNT_CONFIRM_PROBES,
	COUNT_CONNECTIONS_OPENED,
	COUNT_CONNECTIONS_ABORTED,
	COUNT_PROMOTIONS,
	GROUP_COUNTERS,
} group_counter_t;

/* One connection to a database. */
struct conn {
	database_t *db;
	backend_t *backend;
	bool connected;
	bool is_control;
	stmt_t *stmt; /* statement in flight, or NULL */
	tx_t *tx;     /* transaction that owns the connection, or NULL */
	uint64_t tag; /* call tag of the statement sent last */
	int64_t connect_started_us;
	keepalive_t keepalive;
};

/* One database of a group. */
struct database {
	dbgroup_t *group;
	uint32_t index;
	char *name;
	char *address;
	char *zone;
	uint32_t port;
	bool listed_leaving; /* the platform lists the endpoint as leaving */
	conn_t *control;     /* carries probes and failover calls, or NULL */
	GPtrArray *conns;    /* of conn_t, for statements */
	uint32_t in_flight;  /* statements sent and not yet answered */
	bool probe_pending;
	int64_t probe_sent_us;
	int64_t probe_due_us;
	int64_t reconnect_after_us; /* earliest time of the next connect */
};

/* One database group. */
struct dbgroup {
	group_ctx_t *ctx;
	char *key; /* "team/group" */
	char *team;
	char *name;
	Bp__Group *config; /* allocated in arena */
	arena_t *arena;
	uint32_t db_count;
	database_t dbs[GROUP_DATABASES_MAX];
	failover_t failover;
	conn_budget_t conn_budget;
	rankq_t *primary_backlog;
	rankq_t *replica_backlog;
	GQueue tx_backlog;  /* of stmt_t: statements of open transactions */
	GQueue unconfirmed; /* of stmt_t, in the order of execution */
	GHashTable *txs;    /* of tx_t by id */
	position_history_t position_history;
	position_t acked_position; /* highest position confirmed to a caller */
	reqids_t *reqids;
	retry_budget_t retry_budget;
	/* the same group under an older document, until its statements and
	   transactions have ended; else NULL */
	dbgroup_t *predecessor;
	bool owned;               /* this daemon is the group's owner */
	bool active;              /* databases are probed and connected */
	int64_t retired_us;       /* time a newer document replaced the group */
	bool retired;             /* a newer document has replaced the group */
	int64_t last_used_us;     /* time of the last work on the group */
	int64_t leaving_since_us; /* primary first seen leaving; 0: it stays */
	uint32_t stmt_count;      /* statements queued, sent or unconfirmed */
	double mean_service_us;   /* moving average, from sending to answer */
	uint64_t witness_request_id; /* id of the last witness request */
	GSource *confirm_timer; /* starts the next round of confirm probes */
};

/* An open transaction. */
struct tx {
	uint64_t id;
	char *account;
	dbgroup_t *group;
	conn_t *conn;         /* NULL: the connection is lost */
	uint64_t term;        /* term of the primary at BEGIN */
	int64_t last_used_us; /* end of the last statement */
	stmt_t *stmt;         /* statement queued or in flight, or NULL */
};

typedef enum stmt_state {
	STMT_QUEUED,
	STMT_SENT,
	STMT_UNCONFIRMED, /* executed; waits for a majority */
} stmt_state_t;

/* A statement in progress. */
struct stmt {
	dbgroup_t *group;
	msg_t *msg; /* RunStatement; its arena holds this structure */
	const Bp__Statement *statement;
	rankq_item_t item; /* entry in backlog */
	rankq_t *backlog;
	stmt_state_t state;
	Bp__Access access;
	bool repeatable;       /* retried even if it may have run */
	bool track_request_id; /* dbgroup.reqids records the outcome */
	int64_t max_age_us;    /* maximum staleness; 0: primary only */
	int64_t arrived_us;
	int64_t deadline_us;
	bool may_have_run; /* an earlier attempt had an unknown outcome */
	bool primary_only; /* no replica could serve the read */
	conn_t *conn;      /* STMT_SENT: connection in use */
	database_t *db;    /* database of the last attempt */
	tx_t *tx;          /* open transaction, or NULL */
	int64_t sent_us;
	position_t min_position;      /* session floor of the caller */
	position_t executed_position; /* log position after execution */
	char *result_text;            /* result or error of the database */
	bool duplicate; /* the database had run this request id before */
	GList link;     /* in unconfirmed or tx_backlog */
};

/* The document in force of one team. */
typedef struct active_document {
	arena_t *arena;
	Bp__Document *document;
	uint64_t version;
} active_document_t;

/* State of the group task. */
struct group_ctx {
	const daemon_t *daemon;
	task_t *task;
	GHashTable *documents_by_team; /* of active_document_t by team */
	GHashTable *groups;            /* of dbgroup_t by key */
	GHashTable *leaving_endpoints; /* set of "address:port" */
	GHashTable *witness_probes;    /* of witness_probe_t by request id */
	GPtrArray *owner_candidates;   /* daemons in state ALIVE or SUSPECT */
	GSource *tick_timer;
	bool draining;     /* no new statements are accepted */
	bool drained_sent; /* Drained has been sent to the control task */
	uint64_t last_call_tag;
	uint64_t last_tx_id;
	uint64_t last_witness_request;
	GRand *rand;
	latencies_t *latencies;
	uint64_t counts[GROUP_COUNTERS];
};

/* conn.c */
conn_t *conn_open(database_t *, bool control);
void conn_close(conn_t *);
void conn_abort(conn_t *, const char *reason);
conn_t *conn_find_idle(database_t *);
void conns_open_min(database_t *, int64_t now_us);
void conns_check_timeouts(database_t *, int64_t now_us);
void database_disconnect(database_t *);
bool database_usable(const database_t *, int64_t now_us);
void conn_request_status(conn_t *);
void database_send_confirm_probe(database_t *);

/* dbgroup.c */
dbgroup_t *dbgroup_new(group_ctx_t *, const char *team, const Bp__Group *,
    uint32_t floor_percent[]);
void dbgroup_free(dbgroup_t *);
void dbgroup_replace(dbgroup_t *, dbgroup_t *predecessor);
bool dbgroup_is_idle(const dbgroup_t *);
dbgroup_t *dbgroup_with_tx(dbgroup_t *, uint64_t transaction);
void dbgroup_activate(dbgroup_t *, int64_t now_us);
void dbgroup_tick(dbgroup_t *, int64_t now_us);
void dbgroup_status_received(
    dbgroup_t *, database_t *, const db_view_t *, int64_t);
void dbgroup_control_answered(dbgroup_t *, database_t *, backend_call_t,
    uint64_t term, const Bp__DbAnswer *, const db_view_t *, int64_t);
void dbgroup_control_lost(dbgroup_t *, database_t *, bool connect_failed);
int32_t dbgroup_ready_primary(const dbgroup_t *, int64_t now_us);
bool dbgroup_primary_paused(const dbgroup_t *, int64_t now_us);
void dbgroup_fill_status(const dbgroup_t *, arena_t *, Bp__GroupStatus *);
bool database_is_leaving(const database_t *);

/* stmt.c */
void stmt_submit(
    dbgroup_t *, msg_t *, const active_document_t *, bool draining);
void stmt_refuse(group_ctx_t *, msg_t *, Bp__Reason, const char *text);
void stmt_answered(stmt_t *, const Bp__DbAnswer *, int64_t now_us);
void stmt_connection_lost(stmt_t *, Bp__Reason);
void stmt_queue(stmt_t *, bool front);
void stmt_abort_queued(stmt_t *, Bp__Reason);
void stmts_confirm(dbgroup_t *, int64_t now_us);
void stmts_expire(dbgroup_t *, int64_t now_us);
void stmts_abort_all(dbgroup_t *);
void stmts_move(dbgroup_t *from, dbgroup_t *to);
void tx_free(tx_t *);

/* admission.c */
/* Shortest delay after which a caller is told to retry. */
#define RETRY_AFTER_MIN_MS 20

bool stmt_meets_deadline(const stmt_t *, uint32_t *retry_after_ms);
bool backlog_admits(const dbgroup_t *, const Bp__Work *, const Bp__Statement *);

/* stmt_dispatch.c */
void stmts_dispatch(dbgroup_t *, int64_t now_us);
void backlog_expire(dbgroup_t *, rankq_t *, int64_t now_us);

#endif
