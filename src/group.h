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
typedef struct run run_t;
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
	COUNT_CONNECTIONS_CONDEMNED,
	COUNT_CHANGES_OF_PRIMARY,
	COUNT_GROUP_COUNTERS,
} group_counter_t;

/* One connection to a database. */
struct conn {
	database_t *db;
	backend_t *backend;
	bool open;
	bool control;
	run_t *run; /* in flight */
	tx_t *tx;   /* the transaction that owns it */
	uint64_t tag;
	int64_t began_us;
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
	bool probe_open;
	int64_t probe_sent_us;
	int64_t probe_due_us;
	int64_t reopen_us; /* no new connection before */
};

/* One database group that this daemon acts for. */
struct dbgroup {
	group_role_t *role;
	char *key; /* "team/group" */
	char *team;
	char *name;
	Bp__Group *config; /* in arena */
	arena_t *arena;
	uint32_t count;
	database_t dbs[GROUP_DATABASES_MAX];
	promote_t promote;
	budget_t budget;
	rankq_t *primary_lane;
	rankq_t *replica_lane;
	GQueue tx_lane;    /* of run_t: statements of open transactions */
	GQueue confirming; /* of run_t, in the order they ran */
	GHashTable *txs;   /* by id */
	samples_t samples;
	position_t acked;
	reqids_t *reqids;
	retry_t retry;
	dbgroup_t *before;  /* the same group under an older document */
	bool owned;         /* by the members now known */
	bool active;        /* has connections */
	int64_t retired_us; /* when */
	bool retired;       /* a newer document has replaced it */
	int64_t used_us;
	int64_t leaving_us; /* the primary was first seen leaving */
	uint32_t runs;      /* queued, sent or confirming */
	double service_us;  /* mean time of a statement at a database */
	uint64_t witness;   /* the question asked last */
	GSource *pace;      /* next confirming probes */
};

/* An open transaction. */
struct tx {
	uint64_t id;
	char *account;
	dbgroup_t *group;
	conn_t *conn;
	uint64_t term;
	int64_t used_us;
	run_t *run; /* in flight or waiting */
};

typedef enum run_state {
	RUN_QUEUED,
	RUN_SENT,
	RUN_CONFIRMING,
} run_state_t;

/* One statement. */
struct run {
	dbgroup_t *group;
	msg_t *msg; /* RunStatement; owns everything here */
	const Bp__Statement *statement;
	rankq_item_t item;
	rankq_t *lane; /* where item waits */
	run_state_t state;
	Bp__Access access;
	bool repeatable;
	bool track_id;
	int64_t max_age_us;
	int64_t arrived_us;
	int64_t deadline_us;
	bool may_have_run;
	bool primary_only; /* no replica could serve it */
	conn_t *conn;
	database_t *db;
	tx_t *tx;
	int64_t sent_us;
	position_t needed;
	position_t ran_at;
	char *value;
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
	GHashTable *teams;     /* of team_t by name */
	GHashTable *groups;    /* of dbgroup_t by key */
	GHashTable *leaving;   /* "address:port" of the platform's list */
	GHashTable *witnesses; /* of witness_t by id: probes for others */
	GPtrArray *members;    /* names of the living, without the leaving */
	GSource *tick;
	bool draining;
	bool drained;
	uint64_t next_tag;
	uint64_t next_tx;
	uint64_t next_witness;
	GRand *rand;
	latencies_t *latencies;
	uint64_t counts[COUNT_GROUP_COUNTERS];
};

/* conn.c */
conn_t *conn_open(database_t *, bool control);
void conn_close(conn_t *);
void conn_condemn(conn_t *, const char *why);
conn_t *conn_idle(database_t *);
void conns_keep_warm(database_t *, int64_t now_us);
void conns_check(database_t *, int64_t now_us);
void database_close(database_t *);
bool database_usable(const database_t *, int64_t now_us);
void conn_status(conn_t *);
void conn_confirm(database_t *);

/* dbgroup.c */
dbgroup_t *dbgroup_new(
    group_role_t *, const char *team, const Bp__Group *, uint32_t floors[]);
void dbgroup_free(dbgroup_t *);
void dbgroup_replace(dbgroup_t *, dbgroup_t *before);
bool dbgroup_idle(const dbgroup_t *);
dbgroup_t *dbgroup_holding(dbgroup_t *, uint64_t transaction);
void dbgroup_activate(dbgroup_t *, int64_t now_us);
void dbgroup_tick(dbgroup_t *, int64_t now_us);
void dbgroup_heard(dbgroup_t *, database_t *, const db_view_t *, int64_t);
void dbgroup_controlled(dbgroup_t *, database_t *, backend_call_t,
    uint64_t term, const Bp__DbAnswer *, const db_view_t *, int64_t);
void dbgroup_lost(dbgroup_t *, database_t *, bool refused);
int32_t dbgroup_primary(const dbgroup_t *, int64_t now_us);
bool dbgroup_holds_back(const dbgroup_t *, int64_t now_us);
void dbgroup_report(const dbgroup_t *, arena_t *, Bp__GroupStatus *);
bool dbgroup_leaving(const database_t *);

/* course.c */
void run_begin(dbgroup_t *, msg_t *, const team_t *, bool draining);
void run_refuse(group_role_t *, msg_t *, Bp__Reason, const char *text);
void run_answered(run_t *, const Bp__DbAnswer *, int64_t now_us);
void run_lost(run_t *, Bp__Reason);
void run_queue(run_t *, bool front);
void run_give_up(run_t *, Bp__Reason);
void runs_confirm(dbgroup_t *, int64_t now_us);
void runs_expire(dbgroup_t *, int64_t now_us);
void runs_end(dbgroup_t *);
void runs_move(dbgroup_t *from, dbgroup_t *to);
void tx_end(tx_t *);

/* admit.c */
#define RETRY_AFTER_MIN_MS 20

bool run_has_time(const run_t *, uint32_t *retry_after_ms);
bool lane_admits(const dbgroup_t *, const Bp__Work *, const Bp__Statement *);

/* pump.c */
void runs_pump(dbgroup_t *, int64_t now_us);
void lane_expire(dbgroup_t *, rankq_t *, int64_t now_us);

#endif
