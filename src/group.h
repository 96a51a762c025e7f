#ifndef GROUP_H
#define GROUP_H

#include "backend.h"
#include "daemon.h"
#include "decide/promote.h"
#include "decide/rankq.h"
#include "decide/replica.h"
#include "decide/reqid.h"
#include "document.h"
#include "stats.h"
#include "task.pb-c.h"

/*
 * Inside the groups' task.  group.c: the role and its messages.  course.c:
 * the course of one statement.  admit.c: whether it is taken in.  pump.c: what
 * is sent when.  dbgroup.c: one
 * database group, its probes and its changes of primary.  conn.c: connections
 * to one database.
 */

typedef struct group_role group_role_t;
typedef struct dbgroup dbgroup_t;
typedef struct database database_t;
typedef struct conn conn_t;
typedef struct stmt stmt_t;
typedef struct tx tx_t;

typedef enum group_counter {
	COUNT_DONE,
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
	stmt_t *stmt; /* in flight */
	tx_t *tx;     /* the transaction that owns it */
	uint64_t tag;
	int64_t connect_started_us;
	silence_t silence;
};

/* One database of a group. */
struct database {
	dbgroup_t *group;
	uint32_t index;
	char *name;
	char *address;
	char *zone;
	uint32_t port;
	bool listed_leaving; /* by the platform's list */
	conn_t *control;
	GPtrArray *conns; /* of conn_t, for work */
	uint32_t in_flight;
	bool probe_pending;
	int64_t probe_sent_us;
	int64_t probe_due_us;
	int64_t reconnect_after_us; /* no new connection before */
};

/* One database group that this daemon acts for. */
struct dbgroup {
	group_role_t *role;
	char *key; /* "team/group" */
	char *team;
	char *name;
	Bp__Group *config; /* in arena */
	arena_t *arena;
	uint32_t db_count;
	database_t dbs[GROUP_DATABASES_MAX];
	promote_t promote;
	budget_t budget;
	rankq_t *primary_backlog;
	rankq_t *replica_backlog;
	GQueue tx_backlog;  /* of run_t: statements of open transactions */
	GQueue unconfirmed; /* of run_t, in the order they ran */
	GHashTable *txs;    /* by id */
	samples_t samples;
	position_t acked_position;
	reqids_t *reqids;
	retry_t retry;
	dbgroup_t *predecessor; /* the same group under an older document */
	bool owned;             /* by the members now known */
	bool active;            /* has connections */
	int64_t retired_us;     /* when */
	bool retired;           /* a newer document has replaced it */
	int64_t last_used_us;
	int64_t leaving_since_us; /* the primary was first seen leaving */
	uint32_t stmt_count;      /* queued, sent or confirming */
	double mean_service_us;   /* mean time of a statement at a database */
	uint64_t witness_request; /* the question asked last */
	GSource *confirm_timer;   /* next confirming probes */
};

/* An open transaction. */
struct tx {
	uint64_t id;
	char *account;
	dbgroup_t *group;
	conn_t *conn;
	uint64_t term;
	int64_t last_used_us;
	stmt_t *stmt; /* in flight or waiting */
};

typedef enum stmt_state {
	STMT_QUEUED,
	STMT_SENT,
	STMT_UNCONFIRMED,
} stmt_state_t;

/* One statement. */
struct stmt {
	dbgroup_t *group;
	msg_t *msg; /* RunStatement; owns everything here */
	const Bp__Statement *statement;
	rankq_item_t item;
	rankq_t *backlog; /* where item waits */
	stmt_state_t state;
	Bp__Access access;
	bool repeatable;
	bool track_request_id;
	int64_t max_age_us;
	int64_t arrived_us;
	int64_t deadline_us;
	bool may_have_run;
	bool primary_only; /* no replica could serve it */
	conn_t *conn;
	database_t *db;
	tx_t *tx;
	int64_t sent_us;
	position_t min_position;
	position_t executed_position;
	char *result_text;
	bool duplicate;
	GList link; /* in confirming or tx_lane */
};

/* One document in force, shared by nothing outside the task. */
typedef struct team {
	arena_t *arena;
	Bp__Document *document;
	uint64_t version;
} team_t;

struct group_role {
	const daemon_t *daemon;
	task_t *task;
	GHashTable *teams;  /* of team_t by name */
	GHashTable *groups; /* of dbgroup_t by key */
	GHashTable
	    *leaving_endpoints;     /* "address:port" of the platform's list */
	GHashTable *witness_probes; /* of witness_t by id: probes for others */
	GPtrArray *member_names; /* names of the living, without the leaving */
	GSource *tick_timer;
	bool draining;
	bool drained;
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
dbgroup_t *dbgroup_new(group_role_t *, const char *team, const Bp__Group *,
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

/* course.c */
void stmt_begin(dbgroup_t *, msg_t *, const team_t *, bool draining);
void stmt_refuse(group_role_t *, msg_t *, Bp__Reason, const char *text);
void stmt_answered(stmt_t *, const Bp__DbAnswer *, int64_t now_us);
void stmt_connection_lost(stmt_t *, Bp__Reason);
void stmt_queue(stmt_t *, bool front);
void stmt_abort_queued(stmt_t *, Bp__Reason);
void stmts_confirm(dbgroup_t *, int64_t now_us);
void stmts_expire(dbgroup_t *, int64_t now_us);
void stmts_abort_all(dbgroup_t *);
void stmts_move(dbgroup_t *from, dbgroup_t *to);
void tx_free(tx_t *);

/* admit.c */
#define RETRY_AFTER_MIN_MS 20

bool stmt_meets_deadline(const stmt_t *, uint32_t *retry_after_ms);
bool backlog_admits(const dbgroup_t *, const Bp__Work *, const Bp__Statement *);

/* pump.c */
void stmts_dispatch(dbgroup_t *, int64_t now_us);
void backlog_expire(dbgroup_t *, rankq_t *, int64_t now_us);

#endif
