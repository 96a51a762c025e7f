#ifndef PROXY_POOL_H
#define PROXY_POOL_H

#include "decide/failover.h"
#include "decide/overload_handover.h"
#include "decide/rankq.h"
#include "decide/replica.h"
#include "lines.h"
#include "log.h"
#include "proxy.h"
#include "sock.h"
#include "stats.h"

/*
 * Private to the pool task, which owns the connections to the databases.
 *
 * pool.c		task callbacks and message handlers
 * server.c		groups and servers of the catalog
 * dbconn.c		one connection to a database
 * operation.c		life cycle of a statement
 * dispatch.c		selection of a server and connection for a statement
 * monitor.c		server status, leases and failover
 * pool_log.c		log events
 * pool_status.c	status page and metrics
 *
 * The terms used here:
 *
 * lease	time span in which no other server can be the primary; answers
 *		of the primary are valid only within it
 * coordinator	the one daemon that may order changes of primary; it is named
 *		by a record in the object store and guarded by a fencing token.
 *		The store, the messages and the log call this role the duty.
 * listed	the store has a record of this daemon, so that the coordinator
 *		asks it to give up its lease before a failover
 */

typedef struct pool pool_t;
typedef struct group group_t;
typedef struct server server_t;
typedef struct dbconn dbconn_t;
typedef struct operation operation_t;
typedef struct transaction transaction_t;

/* Kind of request that a reply on a connection answers. */
typedef enum expected_answer_kind {
	EXPECT_OPEN,
	EXPECT_SESSION_SETUP, /* session values and prepared statements */
	EXPECT_BEGIN,
	EXPECT_OPERATION,
	EXPECT_ROLLBACK,
	EXPECT_STATUS,
	EXPECT_PAUSE,
	EXPECT_RESUME,
	EXPECT_STEP_DOWN,
} expected_answer_kind_t;

typedef struct expected_answer {
	expected_answer_kind_t kind;
	uint64_t term; /* EXPECT_PAUSE, EXPECT_STEP_DOWN: requested term */
	int64_t sent_us;
} expected_answer_t;

/* One connection to a database. */
struct dbconn {
	server_t *server;
	sock_t *sock;
	line_buffer_t in;
	GString *out;
	GArray *expected; /* of expected_answer_t: outstanding replies, oldest
			     first */
	bool control; /* for status requests, failover commands and, when idle,
			 single statements */
	bool open;    /* the database session is established */
	bool rolling_back; /* waits for the reply to a ROLLBACK of its own */
	bool abandoned;    /* runs a read whose result will be discarded */
	operation_t *operation;
	transaction_t *transaction;
	GPtrArray *rows;        /* of the reply being read */
	char *ack_token;        /* its acknowledgement token */
	char *error;            /* its error text */
	Bp__Verdict verdict;    /* of the error */
	GHashTable *values;     /* session values set here, by name */
	GHashTable *prepared;   /* names of statements prepared here */
	int64_t last_change_us; /* time of the last change of state */
};

/* One database server, as listed in the catalog. */
struct server {
	group_t *group;
	uint32_t index; /* in group->servers; invalid once removed */
	char *id;
	char *address;
	uint32_t port;
	uint32_t slots;      /* statements that it runs at once */
	uint64_t generation; /* differs after each restart of the server */
	bool same_zone;      /* as this daemon */
	bool leaving;        /* shutting down: gets no new work */
	bool removed;        /* not in the catalog: finishes what it runs */
	dbconn_t *control;   /* NULL: not connected */
	GPtrArray *conns;    /* of dbconn_t */
	uint32_t in_flight;  /* statements sent by this daemon */
	uint64_t term;       /* as last reported and logged */
	uint64_t held_term;  /* the same: replication is paused until this term;
				0: not paused */
	bool primary;        /* the same */
	position_t applied;  /* lower bound of the log applied */
	int64_t
	    applied_us; /* time of the last reply, or of a read sent to find out
			   whether it has applied the required position */
	uint32_t connections;   /* reported: open, from all daemons */
	uint32_t busy;          /* reported: slots in use */
	uint32_t lag_ms;        /* reported: age of the applied log */
	bool status_pending;    /* a status request is outstanding */
	int64_t status_sent_us; /* time of the last status request */
	uint32_t outstanding;   /* outstanding replies, on all connections */
	int64_t outstanding_since_us; /* time of the last reply or, if none was
				  outstanding, of the first request since */
	bool unresponsive; /* a connection failed with replies outstanding, and
			no reply has come since */
	int64_t unreachable_since_us; /* since when no connection opens; 0: one
					 did */
	int64_t reconnect_after_us;   /* earliest time of the next connection
					 attempt */
};

/* A primary and its replicas, as listed in the catalog. */
struct group {
	pool_t *pool;
	char *name;
	uint32_t connections_max; /* to one server, from all daemons */
	uint32_t count;           /* of servers */
	server_t *servers[GROUP_DATABASES_MAX];
	GPtrArray *removed; /* of server_t: removed, but not yet idle */
	failover_t failover;
	rankq_t *primary_backlog; /* statements that only the primary may run */
	rankq_t *replica_backlog; /* reads that any server may run */
	GQueue held; /* of operation_t: run, and waiting for the lease to
			cover the result */
	position_history_t
	    position_history; /* log positions of the primary over time */
	lease_t lease;
	int64_t began_us;  /* time at which this record was created */
	bool unresponsive; /* the primary does not reply, but a majority of the
			group does */
	int64_t failover_due_since_us; /* since when a failover or handover is
				 due; 0: none is */
	int64_t failover_seen_us; /* last sign of a change of primary under way;
				0: none */
	overload_handover_t overload_handover;
	int64_t handover_due_since_us; /* since when a handover is due here; 0:
					  none */
};

/* Transaction of a client, from its first statement on. */
struct transaction {
	pool_t *pool;
	uint64_t session; /* id of the client's session, the table's key */
	group_t *group;
	dbconn_t *conn;
	bool read_only;
	bool begun;      /* the database has acknowledged BEGIN */
	bool on_replica; /* runs on a replica, at or after a log position */
	bool abandoned;  /* to be rolled back when its statement ends */
	int64_t began_us;
	int64_t last_used_us;   /* time of its last statement or reply */
	operation_t *operation; /* queued, running or held; or NULL */
};

/* Kinds of log events whose number per second is limited. */
typedef enum limited_event {
	LIMITED_STATEMENT_FAILED, /* statements that failed */
	LIMITED_STATEMENT_LATE,   /* that succeeded, but not within the target
				     time */
	LIMITED_STATEMENT_DONE,   /* that succeeded in time */
	LIMITED_STATEMENT_RETRIED,
	LIMITED_TRANSACTION_ROLLED_BACK,
	LIMITED_CONNECTION_LOST,
	LIMITED_EVENTS,
} limited_event_t;

typedef enum pool_counter {
	COUNT_SENT, /* statements sent to databases, with retries */
	COUNT_SENT_TO_REPLICAS,
	COUNT_RETRIED,
	COUNT_HELD, /* statements whose result waited for the lease */
	COUNT_CONNECTIONS_OPENED,
	COUNT_CONNECTIONS_LOST,
	COUNT_PRIMARIES_CONFIRMED,
	COUNT_PROMOTIONS_ORDERED,
	COUNT_LINES_LEFT_OUT,
	/* gauges */
	COUNT_TRANSACTIONS_OPEN,
	COUNT_DAEMONS,
	POOL_COUNTERS,
} pool_counter_t;

/* Number of gauges at the end of pool_counter_t. */
#define POOL_GAUGES 2

typedef enum operation_state {
	OPERATION_QUEUED,
	OPERATION_SENT,
	OPERATION_HELD, /* run, and waiting for the lease */
} operation_state_t;

/* One statement of a client, until it is answered. */
struct operation {
	group_t *group;
	msg_t *msg; /* RunOperation; its arena holds this structure */
	const Bp__RunOperation *run; /* body of msg */
	operation_state_t state;
	rankq_item_t item;          /* entry in backlog */
	rankq_t *backlog;           /* one of the two queues of the group */
	dbconn_t *conn;             /* that it runs on, or NULL */
	transaction_t *transaction; /* NULL: a single statement */
	server_t *server; /* it was last sent to; for comparison only, as the
			     server may have been freed */
	const char *server_id; /* of that server */
	position_t needed;     /* log position required of it; 0: none */
	position_t applied;    /* its known position when sent */
	int64_t sent_us;
	uint32_t tries; /* retries so far */
	int64_t arrived_us;
	int64_t deadline_us;          /* end of the statement's timeout */
	position_t executed_position; /* log position in the reply */
	const char *ack_token; /* acknowledgement token of the database */
	GPtrArray *rows;
	GList link; /* in group->held */
};

struct pool {
	const proxy_t *proxy;
	const wire_ops_t *wire;
	task_t *task;
	GHashTable *groups;       /* of group_t by name */
	GHashTable *transactions; /* of transaction_t by session */
	GSource *tick_timer;
	int64_t last_tick_us; /* time of the last tick; 0: none */
	int64_t started_us;
	uint32_t transaction_idle_ms;
	bool is_coordinator;            /* this daemon is the coordinator */
	uint64_t fencing_token;         /* token of the coordinator role */
	bool coordinator_check_pending; /* the answer is outstanding */
	int64_t takeover_delay_us; /* time that a change of primary is left to
				      the coordinator */
	int64_t
	    majority_answered_us;   /* last time that a majority of the daemons
				answered and knew of no newer coordinator */
	int64_t all_answered_us;    /* last time that all of them did */
	int64_t daemons_queried_us; /* time of the last request to them */
	int64_t coordinator_confirmed_us; /* last time that the store named this
					     daemon as the coordinator */
	uint32_t daemons_count; /* that share the connections to each server */
	bool listed;            /* this daemon is one of them */
	lease_duration_t lease_durations;
	int64_t listed_until_us; /* end of the time for which this daemon is
				    certainly listed; -1: over, and the leases
				    that relied on it have been cancelled */
	GRand *rand;
	uint64_t config_version; /* of the catalog in force */
	log_rate_limit_t event_limits[LIMITED_EVENTS];
	uint64_t counts[POOL_COUNTERS];
	latencies_t *latencies;
	retry_budget_t retry_budget; /* limits retries of reads that got no
					reply in time */
};

/* pool.c */
void pool_check_listed(pool_t *, int64_t now_us);

/* server.c */
group_t *group_get(pool_t *, const char *name);
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
void dbconn_expect_answer(dbconn_t *, expected_answer_kind_t, uint64_t term);
dbconn_t *dbconn_find_idle(server_t *, const Bp__RunOperation *);
void dbconn_run(dbconn_t *, operation_t *, const position_t *after);
void dbconn_rollback(dbconn_t *);
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
void operations_release_held(group_t *, int64_t now_us);
void operations_abort(group_t *);
void transaction_end(transaction_t *);
void transaction_drop(transaction_t *);
void transactions_expire(pool_t *, int64_t now_us);

/* pool_status.c */
void pool_status(void *pool, msg_t *msg);

/* pool_log.c */
void log_statement_ended(const operation_t *, Bp__Verdict, const char *text);
void log_statement_retried(const operation_t *, Bp__Verdict, const char *text);
void log_transaction_rolled_back(const transaction_t *, int64_t now_us);
void log_connection_lost(const dbconn_t *, const char *text);
void log_server_reached(const server_t *, int64_t now_us);
void log_server_changed(
    const server_t *, const server_status_t *, int64_t asked_us);
void log_server_listed(const server_t *);
void log_primary_confirmed(const group_t *, const server_t *, int64_t now_us);
void log_primary_suspected(const group_t *, int64_t now_us);
void log_handover_due(const group_t *, const server_t *primary, bool leaving);
void log_lease_given_back(const group_t *, uint64_t term, int64_t now_us);
void log_change_step(const group_t *, const failover_action_t *);
void log_promotion_ordered(const server_t *, uint64_t term);
void log_process_paused(int64_t paused_ms);
void log_coordinator_changed(bool held, uint64_t token);
void log_daemons_known(const pool_t *);

/* dispatch.c */
void dispatch(group_t *, int64_t now_us);

/* monitor.c */
void monitor_init(group_t *, int64_t now_us);
void monitor_tick(group_t *, int64_t now_us);
void monitor_status_received(
    server_t *, const server_status_t *, const expected_answer_t *, position_t);
void monitor_reply_received(server_t *, position_t, int64_t now_us);
void monitor_sample_primary(server_t *, position_t, int64_t sent_us);
void monitor_connection_refused(server_t *);
bool group_failover_in_progress(const group_t *, int64_t now_us);
void monitor_request_status(server_t *, int64_t now_us);
void monitor_coordinator_denied(group_t *, int64_t now_us);
int64_t monitor_takeover_delay_us(GRand *);
void monitor_revocation_progress(group_t *, const Bp__RevokeEnded *);
void monitor_revoke_lease(group_t *, uint64_t term, int64_t now_us);
void monitor_promotion_ended(
    group_t *, const Bp__PromotionEnded *, int64_t now_us);

#endif
