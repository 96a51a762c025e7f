#ifndef PROXY_POOL_H
#define PROXY_POOL_H

#include "decide/promote.h"
#include "decide/rankq.h"
#include "decide/relief.h"
#include "decide/replica.h"
#include "lines.h"
#include "log.h"
#include "proxy.h"
#include "sock.h"
#include "stats.h"

/*
 * Inside the pool's task.  pool.c: the role and its messages.  server.c: the
 * groups of the catalog and their servers.  dbconn.c: one connection to a
 * database.  operation.c: the life of one statement.  dispatch.c: what is
 * sent where.  watch.c: what is known of the servers, and changes of primary.
 * report.c: the lines of the log.  page.c: the part of the status page.
 */

typedef struct pool pool_t;
typedef struct group group_t;
typedef struct server server_t;
typedef struct dbconn dbconn_t;
typedef struct operation operation_t;
typedef struct transaction transaction_t;

/* What the next answer on a connection belongs to. */
typedef enum expect_kind {
	EXPECT_OPEN,
	EXPECT_CONTEXT, /* values and prepared statements */
	EXPECT_BEGIN,
	EXPECT_OPERATION,
	EXPECT_ROLLBACK,
	EXPECT_STATUS,
	EXPECT_HOLD,
	EXPECT_RESUME,
	EXPECT_STEP_DOWN,
} expect_kind_t;

typedef struct expect {
	expect_kind_t kind;
	uint64_t term; /* HOLD, STEP_DOWN */
	int64_t sent_us;
} expect_t;

/* One connection to a database. */
struct dbconn {
	server_t *server;
	sock_t *sock;
	lines_t in;
	GString *out;
	GArray *expected; /* of expect_t, oldest first */
	bool control;     /* carries questions about the server only */
	bool open;
	bool ending;    /* rolls back what nobody waits for */
	bool abandoned; /* runs a read that nobody waits for */
	operation_t *operation;
	transaction_t *transaction;
	GPtrArray *rows; /* of the answer being read */
	char *proof;
	char *error;
	Bp__Verdict verdict;
	GHashTable *values;   /* by name, as set here */
	GHashTable *prepared; /* names prepared here */
	int64_t began_us;     /* opening, or idle */
};

/* One database. */
struct server {
	group_t *group;
	uint32_t index; /* in the group; meaningless once it is gone */
	char *id;
	char *address;
	uint32_t port;
	uint32_t slots;
	uint64_t born;
	bool same_zone;
	bool leaving;
	bool gone; /* no longer listed: it ends what it has */
	dbconn_t *control;
	GPtrArray *conns; /* of dbconn_t */
	uint32_t in_flight;
	uint64_t term;      /* by its own word, as last logged */
	uint64_t held_term; /* the same */
	bool primary;       /* the same */
	position_t applied; /* what its reads show, at the least */
	int64_t
	    applied_us; /* when that was heard, or a read sent to find out */
	uint32_t connections;  /* of all daemons, by its own word */
	uint32_t busy;         /* slots, by its own word */
	uint32_t lag_ms;       /* of what it has applied, by its own word */
	bool status_open;      /* a question is out */
	int64_t asked_us;      /* for its state, the last time */
	uint32_t unanswered;   /* questions and statements */
	int64_t unanswered_us; /* since when it has answered none of them */
	bool silent;           /* some were given up, and none answered since */
	int64_t lost_us;       /* since when no connection opens; 0: one did */
	int64_t reopen_us;     /* no new connection before */
};

/* A primary and its replicas. */
struct group {
	pool_t *pool;
	char *name;
	uint32_t connections_max;
	uint32_t count;
	server_t *servers[GROUP_DATABASES_MAX];
	GPtrArray *gone; /* of server_t */
	promote_t promote;
	rankq_t *primary_lane;
	rankq_t *replica_lane;
	GQueue held; /* of operation_t: ran, and wait for the lease */
	samples_t samples;
	lease_t lease;
	int64_t began_us;     /* to be known here */
	bool silent;          /* the primary has answered nothing for long */
	int64_t suspected_us; /* since; 0: not */
	int64_t changing_us;  /* another daemon began to change the primary */
	relief_t relief;
	int64_t handover_us; /* one is due, since; 0: not */
};

/* A client's transaction, from its first statement on. */
struct transaction {
	pool_t *pool;
	uint64_t session; /* the key */
	group_t *group;
	dbconn_t *conn;
	bool read_only;
	bool begun;      /* at the database */
	bool on_replica; /* began there, behind a position */
	bool abandoned;  /* rolled back once its statement has ended */
	int64_t began_us;
	int64_t used_us;
	operation_t *operation; /* running or waiting */
};

/* Lines of the log that are written up to a number in each second. */
typedef enum report_kind {
	REPORT_FAILED, /* statements, by how they ended */
	REPORT_LATE,
	REPORT_DONE,
	REPORT_RETRIED,
	REPORT_TRANSACTION,
	REPORT_CONNECTION,
	REPORTS,
} report_kind_t;

typedef enum pool_counter {
	COUNT_SENT, /* statements to databases, tries each */
	COUNT_SENT_TO_REPLICAS,
	COUNT_RETRIED,
	COUNT_HELD, /* that waited for the lease */
	COUNT_CONNECTIONS_OPENED,
	COUNT_CONNECTIONS_LOST,
	COUNT_PRIMARIES_CONFIRMED,
	COUNT_ORDERS,
	COUNT_LINES_LEFT_OUT,
	COUNT_TRANSACTIONS_OPEN, /* a gauge */
	COUNT_DAEMONS,           /* a gauge */
	COUNT_POOL_COUNTERS,
} pool_counter_t;

#define POOL_GAUGES 2

typedef enum operation_state {
	OPERATION_QUEUED,
	OPERATION_SENT,
	OPERATION_HELD,
} operation_state_t;

/* One statement of a client. */
struct operation {
	group_t *group;
	msg_t *msg; /* RunOperation; owns everything here */
	const Bp__RunOperation *run;
	operation_state_t state;
	rankq_item_t item;
	rankq_t *lane;
	dbconn_t *conn;
	transaction_t *transaction;
	server_t *server; /* that it was sent to last; only to compare */
	const char *server_id;
	position_t needed;  /* that this server had to have; 0: none */
	position_t applied; /* that it was known to have */
	int64_t sent_us;
	uint32_t tries;
	int64_t arrived_us;
	int64_t deadline_us;
	position_t ran_at;
	const char *proof;
	GPtrArray *rows;
	GList link; /* in held */
};

struct pool {
	const proxy_t *proxy;
	const wire_ops_t *wire;
	task_t *task;
	GHashTable *groups;       /* of group_t by name */
	GHashTable *transactions; /* of transaction_t by session */
	GSource *tick;
	int64_t ticked_us;
	int64_t started_us;
	uint32_t transaction_idle_ms;
	bool duty;
	uint64_t token; /* of the duty */
	bool duty_asked;
	int64_t duty_patience_us;
	int64_t most_heard_us; /* most daemons know of no newer holder */
	int64_t all_heard_us;  /* all do */
	int64_t daemons_asked_us;
	int64_t
	    duty_read_us;   /* the record said that it is ours, at this time */
	uint32_t daemons;   /* that share the connections */
	bool listed;        /* this one is among them, as last told */
	lease_span_t spans; /* of leases */
	int64_t listed_until_us; /* then long leases end; -1: they have */
	GRand *rand;
	uint64_t config_version;
	log_budget_t reports[REPORTS];
	uint64_t counts[COUNT_POOL_COUNTERS];
	latencies_t *latencies;
	retry_t retry; /* of reads that are not answered */
};

/* pool.c */
void pool_check_listed(pool_t *, int64_t now_us);

/* server.c */
group_t *group_of(pool_t *, const char *name);
void server_group_free(group_t *);
void group_tick(group_t *, int64_t now_us);
void catalog_apply(pool_t *, const Bp__Catalog *);
int32_t group_primary(const group_t *);
bool server_usable(const server_t *, int64_t now_us);

/* dbconn.c */
dbconn_t *dbconn_open(server_t *, bool control);
void dbconn_close(dbconn_t *);
void dbconn_fail(dbconn_t *, const char *why);
void dbconn_send(dbconn_t *);
void dbconn_expect(dbconn_t *, expect_kind_t, uint64_t term);
dbconn_t *dbconn_idle(server_t *, const Bp__RunOperation *);
void dbconn_run(dbconn_t *, operation_t *, const position_t *after);
void dbconn_roll_back(dbconn_t *);
void dbconn_abandon(dbconn_t *);
void dbconns_tick(server_t *, int64_t now_us);
uint32_t dbconns_share(const server_t *);
void dbconns_grow(server_t *, uint32_t wanted, int64_t now_us);

/* operation.c */
void operation_begin(pool_t *, msg_t *);
void operation_queue(operation_t *, bool front);
void operation_answered(operation_t *, dbconn_t *, int64_t now_us);
void operation_lost(operation_t *);
void operation_refuse(operation_t *, const char *text);
void operation_fail(operation_t *, Bp__Verdict, const char *text);
void operations_expire(group_t *, int64_t now_us);
void operations_release(group_t *, int64_t now_us);
void operations_end(group_t *);
void transaction_end(transaction_t *);
void transaction_drop(transaction_t *);
void transactions_expire(pool_t *, int64_t now_us);

/* page.c */
void pool_status(void *pool, msg_t *msg);

/* report.c */
void report_ended(const operation_t *, Bp__Verdict, const char *text);
void report_retried(const operation_t *, Bp__Verdict, const char *text);
void report_rolled_back(const transaction_t *, int64_t now_us);
void report_connection(const dbconn_t *, const char *text);
void report_reached(const server_t *, int64_t now_us);
void report_server_changed(
    const server_t *, const server_status_t *, int64_t asked_us);
void report_server_listed(const server_t *);
void report_primary(const group_t *, const server_t *, int64_t now_us);
void report_suspected(const group_t *, int64_t now_us);
void report_handover(const group_t *, const server_t *primary, bool leaving);
void report_lease_given_back(const group_t *, uint64_t term, int64_t now_us);
void report_step(const group_t *, const promote_action_t *);
void report_order(const server_t *, uint64_t term);
void report_paused(int64_t paused_ms);
void report_duty(bool held, uint64_t token);
void report_daemons(const pool_t *);

/* dispatch.c */
void dispatch(group_t *, int64_t now_us);

/* watch.c */
void watch_init(group_t *, int64_t now_us);
void watch_tick(group_t *, int64_t now_us);
void watch_status(
    server_t *, const server_status_t *, const expect_t *, position_t);
void watch_alive(server_t *, position_t, int64_t now_us);
void watch_primary_answered(server_t *, position_t, int64_t sent_us);
void watch_refused(server_t *);
bool watch_changing(const group_t *, int64_t now_us);
void watch_ask(server_t *, int64_t now_us);
void watch_duty_denied(group_t *, int64_t now_us);
int64_t watch_patience_us(GRand *);
void watch_settled(group_t *, const Bp__RevokeEnded *);
void watch_revoke(group_t *, uint64_t term, int64_t now_us);
void watch_promoted(group_t *, const Bp__PromotionEnded *, int64_t now_us);

#endif
