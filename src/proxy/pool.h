#ifndef PROXY_POOL_H
#define PROXY_POOL_H

#include "decide/failover.h"
#include "decide/open_orders.h"
#include "decide/overload_handover.h"
#include "decide/rankq.h"
#include "decide/reconnect.h"
#include "decide/replica.h"
#include "decide/start.h"
#include "lines.h"
#include "log.h"
#include "proxy.h"
#include "result.h"
#include "sock.h"
#include "stats.h"

/*
 * Private to the pool task, which owns the connections to the databases.
 *
 * pool.c		task callbacks and message handlers
 * server.c		groups and servers of the catalog
 * dbconn.c		one connection to a database
 * operation.c		life cycle of a statement; operation_internal.h lists
 *			its files
 * transaction.c	end of transactions
 * dispatch.c		selection of a server and connection for a statement
 * monitor.c		server status and failover; monitor_internal.h lists its
 *			files
 * group_lease.c	lease on the primary of a group
 * group_orders.c	orders to promote a server: open ones, those told
 * group_former.c	those that it had recorded before
 * group_members.c	servers that the store has recorded for a group
 * group_promises.c	promises behind an order of this daemon
 * pool_log.c		log events
 * read_log.c		what a read or a lease rests on, in log events
 * order_log.c		what an order to promote a server rests on, the same
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
 *		asks it to revoke its lease before a failover
 * answer	all messages of a database in response to one request
 * statement	a client's statement, represented by an operation_t
 */

typedef struct pool pool_t;
typedef struct group group_t;
typedef struct server server_t;
typedef struct dbconn dbconn_t;
typedef struct operation operation_t;
typedef struct transaction transaction_t;

/* Kind of request to a database, to which its answer is matched. */
typedef enum expected_answer_kind {
	EXPECT_OPEN,          /* opening of the database session */
	EXPECT_SESSION_SETUP, /* session values */
	EXPECT_PREPARE,       /* prepared statement */
	EXPECT_BEGIN,
	EXPECT_OPERATION, /* statement of a client */
	EXPECT_ROLLBACK,
	EXPECT_STATUS,
	EXPECT_PAUSE,     /* pause of replication */
	EXPECT_RESUME,    /* resumption of replication */
	EXPECT_STEP_DOWN, /* change from primary to replica */
} expected_answer_kind_t;

/* An outstanding answer on a connection. */
typedef struct expected_answer {
	expected_answer_kind_t kind;
	uint64_t term;   /* EXPECT_PAUSE, EXPECT_STEP_DOWN: requested term */
	int64_t sent_us; /* time at which the request was sent */
} expected_answer_t;

/* One connection to a database. */
struct dbconn {
	server_t *server;
	sock_t *sock;
	line_buffer_t in; /* input not processed yet */
	GString *out;     /* requests not sent yet */
	GArray *expected; /* of expected_answer_t: outstanding answers, oldest
			     first */
	bool control; /* the control connection: for status requests, failover
			 commands and, when idle, single statements */
	bool open;    /* the database session is established */
	bool turned_away;  /* the server is alive but refused the session */
	bool rolling_back; /* waits for the answer to a ROLLBACK */
	bool abandoned;    /* runs a read whose result will be discarded */
	operation_t *operation;     /* statement that runs here, or NULL */
	transaction_t *transaction; /* transaction open here, or NULL */
	GPtrArray *rows;            /* rows of the answer being read */
	uint64_t rows_bytes;        /* their size, part of pool->results */
	/* whether the rows of that answer are kept; if not, the others are
	   read and discarded */
	result_fit_t rows_fit;
	uint64_t discarded_bytes; /* size at which that was found */
	char *ack_token;          /* acknowledgement token of that answer */
	char *error;              /* error text of that answer, or NULL */
	Bp__Verdict verdict;      /* kind of that error */
	GHashTable *values;       /* session variables set here, by name */
	/* names of the statements prepared here, by access and text */
	GHashTable *prepared;
	uint32_t last_prepared; /* number in the last of these names */
	/* text of the refusal to prepare the statement that is executed, or
	   NULL */
	char *prepare_error;
	int64_t last_change_us; /* time of the last change of state */
};

/* One database server, as listed in the catalog. */
struct server {
	group_t *group;
	uint32_t index; /* index in group->servers; invalid once removed */
	char *id;
	char *address;
	uint32_t port;
	uint32_t slots;      /* number of statements that it runs at once */
	uint64_t key;        /* as in db_view_t */
	uint64_t generation; /* differs after each restart of the server */
	bool same_zone;      /* the server is in the zone of this daemon */
	/* shutting down: gets no new work, except that a primary gets it until
	   drain_limit_us */
	bool leaving;
	int64_t drain_limit_us;
	bool removed;            /* not in the catalog: finishes what it runs */
	start_removal_t removal; /* why */
	/* not in the catalog, but did not say that it leaves: it gets no new
	   work, and its answers count for leases and failovers */
	bool unlisted;
	int64_t unlisted_us; /* time at which that became known */
	int64_t listed_us;   /* time since which its id is in the catalog */
	/* by the time of its start it was listed long before the first list */
	bool started_for_long;
	/* the same, although it said so: it counts until its process is known
	   to have ended */
	bool departed;
	dbconn_t *control;  /* control connection; NULL: not connected */
	GPtrArray *conns;   /* of dbconn_t: the other connections */
	uint32_t in_flight; /* statements sent here and not yet answered */
	/* status that was last reported and logged */
	uint64_t term;
	uint64_t paused_until_term; /* replication from primaries below this
			       term is paused; 0: not paused */
	bool primary;
	/* lower bound of the log position that the server has applied */
	position_t applied;
	/* time of the last answer, or of a read sent to find out whether the
	   server has applied the required position */
	int64_t applied_us;
	/* open connections of all daemons, as reported, and those that this
	   daemon has opened since */
	uint32_t connections;
	uint32_t busy;          /* reported number of slots in use */
	uint32_t lag_ms;        /* reported replication lag */
	bool status_pending;    /* a status request is outstanding */
	int64_t control_us;     /* time it answered on the control connection */
	int64_t status_sent_us; /* time of the last status request */
	uint32_t outstanding;   /* outstanding answers, on all connections */
	/* time of the last answer or, if none was outstanding then, of the
	   first request since */
	int64_t outstanding_since_us;
	/* a connection was closed with answers outstanding, and no answer has
	   come since */
	bool unresponsive;
	/* time of the first failed attempt to connect since the last success;
	   0: none */
	int64_t unreachable_since_us;
	reconnect_t reconnect; /* delay of the next attempt to connect */
	/* the last attempt to connect was turned away */
	bool full;
	/* the process at its address has said that it is another one */
	bool denied;
};

/* A server that the store has recorded as a member of its group. */
typedef struct member {
	char *id;
	uint64_t born;         /* server_t.generation */
	char *address;         /* "IP:PORT", or NULL */
	start_removal_t ended; /* by what; START_STAYS: not known to have */
	/* until then it stays a member without being in the group */
	int64_t kept_until_us;
} member_t;

/* Number of sets of members whose record is not confirmed yet. */
#define PENDING_MEMBERS_MAX 2

/* Members that were recorded before, or that are to be. */
typedef struct former_set {
	uint64_t until_term; /* leases may rest on the former ones until it */
	int64_t sent_us;     /* time at which the others were sent */
	member_t members[GROUP_DATABASES_MAX];
	uint32_t count;
} former_set_t;

/* An answer of a server that a lease rests on. */
typedef struct lease_answer {
	uint64_t server; /* server_t.key */
	bool known;
	bool primary;
	uint64_t promised;
	int64_t requested_us;
	int64_t connected_us;
} lease_answer_t;

/* What a lease rests on, for the log. */
typedef struct lease_basis {
	uint64_t number; /* of the lease; 0: none yet */
	uint64_t term;
	uint64_t server; /* key of the primary */
	lease_proof_t proof;
	int64_t asked_us; /* time that it is counted from */
	int64_t
	    record_us; /* send time of the request for the orders; 0: none */
	uint64_t record_attempt;
	uint64_t record_era;
	uint64_t record_read_era;
	lease_last_block_t block;
	int64_t list_us; /* all servers that had registered by then are known;
			    0: not known */
	uint32_t answers_count;
	lease_answer_t answers[GROUP_DATABASES_MAX];
} lease_basis_t;

/* A primary and its replicas, as listed in the catalog. */
struct group {
	pool_t *pool;
	char *name;
	uint32_t connections_max; /* limit for one server, of all daemons */
	uint32_t owners; /* number of daemons that share the connections */
	bool owned;      /* this daemon is one of them */
	bool shared;     /* other daemons send their statements to owners */
	bool active;     /* has connections to the servers, or opens them */
	int64_t used_us; /* time of the last statement; 0: none */
	/* time since which this daemon has the connections that it needs, or
	   has not */
	bool connected;
	int64_t connected_changed_us;
	bool unable;    /* not connected for UNABLE_US */
	uint32_t count; /* number of servers */
	server_t *servers[GROUP_DATABASES_MAX];
	GPtrArray *removed; /* of server_t: removed, but not yet idle */
	failover_t failover;
	rankq_t *primary_backlog; /* statements that only the primary may run */
	rankq_t *replica_backlog; /* reads that any server may run */
	/* of operation_t: statements that have run and whose results wait for
	   the lease to cover them */
	GQueue held;
	/* log positions of the primary over time */
	position_history_t position_history;
	lease_t lease;              /* lease of this daemon on the primary */
	lease_basis_t lease_basis;  /* of its last renewal */
	open_orders_t open_orders;  /* orders that may still take effect */
	uint32_t open_orders_count; /* as last logged */
	/* orders to replace a primary that the store has recorded, and those
	   that a coordinator has told */
	recorded_orders_t orders_read;
	told_orders_t orders_told;
	/* attempt of the last order that the store has confirmed; 0: none */
	uint64_t stored_attempt_term;
	/* members that the store has recorded, the send time of the request
	   that showed them, and the time at which others were last sent to be
	   recorded */
	member_t members[GROUP_DATABASES_MAX];
	uint32_t members_count;
	/* databases that have left the group, and may run */
	member_t departed[GROUP_DATABASES_MAX];
	uint32_t departed_count;
	former_set_t former[FORMER_MEMBERS_MAX];
	uint32_t former_count;
	/* those that were sent to be recorded, and may have been */
	former_set_t pending[PENDING_MEMBERS_MAX];
	uint32_t pending_count;
	/* those that were read in an older era of the store, or from a record
	   that was deleted since, and that the record may lack now; and the
	   era of the last read and the token with which its record was begun */
	former_set_t lost[LOST_MEMBERS_MAX];
	uint32_t lost_count;
	uint64_t members_era;
	uint64_t members_begun;
	int64_t members_read_us;
	int64_t members_sent_us;
	/* fencing token that most daemons were told in the last revocation */
	uint64_t heard_token;
	/* time at which a lease in its term was last seen to be valid */
	int64_t lease_seen_us;
	int64_t created_us; /* time at which this structure was created */
	int64_t listed_us;  /* time of the first list of its servers; 0: none */
	/* replicas that must hold a commit before it is acknowledged */
	uint32_t sync_replicas;
	/* the primary does not respond, but a majority of the group does */
	bool unresponsive;
	bool primary_silent; /* the primary does not respond, as was logged */
	/* term of an order of this daemon whose promises are to be checked; 0:
	   none */
	uint64_t promises_term;
	/* this daemon is the coordinator, a change of primary is due, and no
	   server that answers can take over */
	bool no_candidate;
	/* time since which a failover or handover is due; 0: not due */
	int64_t failover_due_since_us;
	/* time of the last sign of a change of primary under way; 0: none */
	int64_t failover_seen_us;
	/* connection on which leases were last revoked for an attempt; its
	   daemon has likely ended, or cannot go on */
	uint64_t revoker_link;
	bool revoker_lost;
	overload_handover_t overload_handover;
	/* time of the last request to revoke leases for an attempt */
	int64_t leases_asked_us;
	/* time since which a handover is due; 0: not due */
	int64_t handover_due_since_us;
};

/* Transaction of a client, from its first statement on. */
struct transaction {
	pool_t *pool;
	uint64_t session;  /* id of the session; key in pool->transactions */
	task_t *requester; /* clients, or peers for another daemon's session */
	group_t *group;
	dbconn_t *conn; /* connection on which it runs, or NULL */
	bool read_only;
	bool begun;       /* the database has acknowledged BEGIN */
	bool on_replica;  /* runs on a replica, at or after a log position */
	bool abandoned;   /* to be rolled back when its statement ends */
	int64_t began_us; /* arrival of the first statement */
	int64_t last_used_us;   /* time of the last statement or answer */
	operation_t *operation; /* statement not yet answered, or NULL */
};

/* Kinds of log events whose number per second is limited. */
typedef enum limited_event {
	LIMITED_STATEMENT_FAILED,
	LIMITED_STATEMENT_LATE, /* succeeded after the target latency */
	LIMITED_STATEMENT_DONE, /* succeeded within the target latency */
	LIMITED_STATEMENT_RETRIED,
	LIMITED_TRANSACTION_ROLLED_BACK,
	LIMITED_CONNECTION_LOST,
	LIMITED_EVENTS,
} limited_event_t;

/* Counters and gauges of the pool task. */
typedef enum pool_counter {
	COUNT_SENT, /* statements sent to databases, including retries */
	COUNT_SENT_TO_REPLICAS,
	COUNT_RETRIED,
	COUNT_HELD, /* statements whose result waited for the lease */
	COUNT_CONNECTIONS_OPENED,
	COUNT_CONNECTIONS_LOST,
	COUNT_PRIMARIES_CONFIRMED,
	COUNT_PROMOTIONS_ORDERED,
	COUNT_LINES_LEFT_OUT, /* log lines suppressed by rate limits */
	/* gauges */
	COUNT_TRANSACTIONS_OPEN,
	COUNT_DAEMONS, /* daemons listed in the store */
	POOL_COUNTERS,
} pool_counter_t;

/* Number of gauges at the end of pool_counter_t. */
#define POOL_GAUGES 2

typedef enum operation_state {
	OPERATION_QUEUED,
	OPERATION_SENT,
	OPERATION_HELD, /* has run; the result waits for the lease */
} operation_state_t;

/* One statement of a client, until it is answered. */
struct operation {
	group_t *group;
	msg_t *msg; /* RunOperation; its arena holds this structure */
	const Bp__RunOperation *run; /* body of msg */
	operation_state_t state;
	rankq_item_t item; /* entry in backlog */
	rankq_t *backlog;  /* one of the two queues of the group */
	/* earliest time of a connection on which it can run; 0: there is one,
	   or one may be opened at once */
	int64_t connection_us;
	dbconn_t *conn;             /* connection on which it runs, or NULL */
	transaction_t *transaction; /* NULL: a single statement */
	/* server to which it was last sent; only for comparison, since the
	   server may have been freed */
	server_t *server;
	const char *server_id; /* id of that server; NULL: not sent yet */
	position_t needed; /* log position required of the server; 0: none */
	position_sample_t sample; /* that it follows from; at_us 0: none */
	bool on_primary;          /* it was sent to a server as the primary */
	position_t applied; /* position known of the server when it was sent */
	int64_t sent_us;    /* time at which it was last sent */
	/* number of retries, including the last one if TRIES_MAX prevented it;
	   set to TRIES_MAX to prevent any further retry */
	uint32_t tries;
	bool unable; /* refused because the servers are not reached */
	int64_t arrived_us;
	int64_t deadline_us;          /* end of the statement's timeout */
	position_t executed_position; /* log position in the answer */
	int64_t executed_us;          /* time of the answer */
	const char *ack_token; /* acknowledgement token of the database */
	GPtrArray *rows;       /* rows of the result, or NULL */
	uint64_t rows_bytes;   /* their size, part of pool->results */
	GList link;            /* entry in group->held */
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
	/* time of the first list of the servers of any group; 0: none */
	int64_t listed_first_us;
	/* time up to which all servers that registered are known; 0: none */
	int64_t servers_known_us;
	/* time at which the store first refused or did not answer a call of
	   this process, as last told with the recorded orders; 0: never */
	int64_t store_first_away_us;
	uint32_t transaction_idle_ms;
	bool is_coordinator;
	bool first_coordinator; /* nobody was the coordinator before */
	uint64_t fencing_token; /* token of this daemon's coordinator role */
	uint64_t last_token;    /* with which it has last had the role */
	bool coordinator_check_pending; /* a request to check or take the role
					   is outstanding */
	/* time that the coordinator has for a change of primary before this
	   daemon asks for the role */
	int64_t takeover_delay_us;
	/* last time at which a majority of the daemons had answered and knew
	   of no newer coordinator */
	int64_t majority_answered_us;
	/* last time at which all daemons had answered and knew of no
	   newer coordinator */
	int64_t all_answered_us;
	/* time of the last request to the daemons */
	int64_t daemons_queried_us;
	/* time at which this daemon became the coordinator; 0: there was none
	   before */
	int64_t coordinator_since_us;
	/* time of the last request to which the store named this daemon as the
	   coordinator */
	int64_t coordinator_confirmed_us;
	uint32_t daemons_count; /* number of daemons in the store */
	uint32_t active_groups; /* number of groups that are active */
	/* the recorded orders were requested, and the time of that request */
	bool orders_pending;
	int64_t orders_requested_us;
	/* the store did not list the daemons for the last attempt, and has not
	   answered since */
	bool store_away;
	bool leaving; /* the daemon shuts down */
	bool listed;  /* the store lists this daemon */
	lease_duration_t lease_durations;
	/* end of the time for which this daemon is certainly listed; -1: over,
	   and the leases that relied on it have been cancelled */
	int64_t listed_until_us;
	GRand *rand;
	uint64_t config_version; /* version of the catalog in force */
	log_rate_limit_t event_limits[LIMITED_EVENTS];
	uint64_t counts[POOL_COUNTERS];
	latencies_t *latencies;
	retry_budget_t retry_budget; /* limits the retries of overdue reads */
	result_budget_t results;     /* rows that were read and not answered */
	log_rate_limit_t results_log_limit;
};

/* pool.c */
void pool_check_listed(pool_t *, int64_t now_us);

/* server.c */
group_t *group_get(pool_t *, const char *name);
void group_activate(group_t *, int64_t now_us);
void groups_place(pool_t *, const Bp__GroupsPlaced *);
void server_group_free(group_t *);
void group_tick(group_t *, int64_t now_us);
void catalog_apply(pool_t *, const Bp__Catalog *);
int32_t group_primary(const group_t *);
bool server_answers(const server_t *, int64_t now_us);
bool server_usable(const server_t *, int64_t now_us);
bool server_drained(const server_t *, int64_t now_us);
bool server_newly_listed(const server_t *, int64_t now_us);
server_t *server_find(const group_t *, const char *id);
bool server_likely_ended(const server_t *, int64_t now_us);
bool group_primary_drained(const group_t *, int64_t now_us);

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
bool dbconns_available(const server_t *, const Bp__RunOperation *);
void dbconns_grow(server_t *, uint32_t wanted, int64_t now_us);

/* operation.c */
void operation_begin(pool_t *, msg_t *);
void operation_queue(operation_t *, bool front);
void operation_answered(operation_t *, dbconn_t *, int64_t now_us);
void operation_lost(operation_t *);
void operation_refuse(operation_t *, const char *text);
void operation_refuse_drained(operation_t *);
void operation_fail(operation_t *, Bp__Verdict, const char *text);
void operations_expire(group_t *, int64_t now_us);
void operations_release_held(group_t *, int64_t now_us);
void operations_abort(group_t *);

/* transaction.c */
void transaction_end(transaction_t *);
void transaction_drop(transaction_t *);
void transactions_expire(pool_t *, int64_t now_us);

/* pool_status.c */
void pool_status(void *pool, msg_t *msg);

/* pool_log.c */
void lease_basis_note(group_t *, uint32_t primary);
void log_statement_ended(const operation_t *, Bp__Verdict, const char *text);
void log_statement_retried(const operation_t *, Bp__Verdict, const char *text);
void log_transaction_rolled_back(const transaction_t *, int64_t now_us);
void log_connection_lost(const dbconn_t *, const char *text);
void log_server_reached(const server_t *, int64_t now_us);
void log_server_changed(
    const server_t *, const server_status_t *, int64_t requested_us);
void log_server_listed(const server_t *);
void log_primary_confirmed(const group_t *, const server_t *, int64_t now_us);
void log_primary_suspected(const group_t *, int64_t now_us);
void log_no_candidate(const group_t *, int64_t now_us);
void log_handover_due(
    const group_t *, const server_t *primary, bool leaving, bool order_open);
void log_lease_revoked(const group_t *, uint64_t term, int64_t now_us);
void log_open_orders(const group_t *);
void log_lease_regained(
    const group_t *, const server_t *primary, int64_t ended_us);
void log_change_step(const group_t *, const failover_action_t *);
void log_promotion_ordered(const server_t *, uint64_t term);
void log_promises_counted(const group_t *, uint64_t term, bool held);
void log_process_paused(int64_t paused_ms);
void log_coordinator_changed(bool held, uint64_t token);
void log_daemons_known(const pool_t *);

/* group_orders.c */
void group_orders_update(group_t *, int64_t now_us);
bool group_orders_told(
    group_t *, Bp__OpenOrder *const *, size_t count, int64_t now_us);
void group_orders_recorded(group_t *, Bp__OpenOrder *const *, size_t count,
    uint64_t begun, int64_t asked_us, int64_t now_us);
Bp__OpenOrder **group_orders_write(const group_t *, arena_t *, size_t *count);
Bp__OpenOrder **group_orders_write_over(
    const group_t *, arena_t *, size_t *count);
void group_orders_told_note(group_t *, const told_orders_t *, int64_t now_us);
Bp__RecordedOrder *group_orders_told_write(const group_t *, arena_t *);
void group_orders_learned(
    group_t *, const Bp__RecordedOrder *, uint64_t term, int64_t now_us);
void group_orders_report(const group_t *);
void group_orders_shown(group_t *, uint64_t promised, int64_t now_us);
bool group_orders_proved_by(const server_t *);
void group_orders_record_shown(group_t *, int64_t now_us);
int64_t group_orders_checked_us(const group_t *);
bool group_orders_checkable(const group_t *, int64_t now_us);

/* group_members.c */
void group_members_update(group_t *);
void group_members_recorded(
    group_t *, Bp__RecordedMember *const *, size_t count, int64_t read_us);
void group_members_clear(group_t *);
void group_member_ended(group_t *, const server_t *, start_removal_t);
void group_member_removed(
    group_t *, const server_t *, start_removal_t, int64_t now_us);
void group_member_runs(group_t *, const server_t *);
start_removal_t group_member_ended_by(const group_t *, const member_t *);
bool group_member_absent(const group_t *, const member_t *);
void group_server_departed(group_t *, const server_t *, int64_t now_us);
int32_t group_member_index(
    const member_t *, uint32_t count, const char *id, uint64_t born);
Bp__RecordedMember **group_members_write(
    const group_t *, arena_t *, size_t *count);
void group_members_check(group_t *, int64_t now_us);

Bp__RecordedMember *group_server_write(arena_t *, const server_t *);
Bp__RecordedMember *group_member_write(
    arena_t *, const char *id, uint64_t born, const char *address);
void group_members_free(member_t *, uint32_t count);

/* group_departed.c */
void group_departed_note(group_t *, const char *id, uint64_t born,
    const char *address, int64_t now_us);
uint32_t group_departed_count(group_t *, int64_t now_us);
void group_departed_clear(group_t *);

/* group_former.c */
void group_former_recorded(group_t *, Bp__FormerMembers *const *, size_t count,
    uint64_t replaced_term, int64_t read_us);
void group_former_keep(group_t *, uint64_t era, uint64_t begun);
void group_former_clear(group_t *);
void group_members_sent(
    group_t *, Bp__RecordedMember *const *, size_t count, int64_t now_us);
void group_members_confirmed(group_t *, int64_t read_us);
void group_former_update(group_t *);
Bp__MembersChange *group_members_change(
    const group_t *, uint64_t term, arena_t *);

/* group_promises.c */
void group_promises_wanted(group_t *, uint64_t term, int64_t now_us);
void group_promises_update(group_t *, int64_t now_us);

/* dispatch.c */
void dispatch(group_t *, int64_t now_us);

/*
 * Term of a revocation that revokes no lease; it only shows whether the
 * daemons answer.
 */
#define NO_TERM 0

/* A lease is renewed when less than this percentage of its duration is left. */
#define LEASE_RENEW_PERCENT 35

/* group_lease.c */
void group_first_listed(group_t *, int64_t now_us);
bool group_list_new(const group_t *, int64_t now_us);
void group_first_coordinator(group_t *);
void group_sample_primary(server_t *, position_t, int64_t sent_us);
void group_primary_led(server_t *, position_t, int64_t sent_us);
void group_lease_revoke(group_t *, uint64_t term, bool begun, int64_t now_us);
void group_lease_orders_read(
    group_t *, const recorded_orders_t *, int64_t now_us);
void group_lease_update(group_t *, int64_t now_us);
bool group_lease_stuck(const group_t *, int64_t now_us);

/* monitor.c */
void monitor_init(group_t *, int64_t now_us);
void monitor_tick(group_t *, int64_t now_us);

/* monitor_answers.c */
void monitor_status_received(
    server_t *, const server_status_t *, const expected_answer_t *, position_t);
void monitor_reply_received(server_t *, position_t, int64_t now_us);
void monitor_turned_away(server_t *, position_t, int64_t now_us);
bool monitor_connection_reset(server_t *, int64_t now_us);
void monitor_connection_refused(server_t *);
void monitor_denied(server_t *);
void monitor_denial_over(server_t *);

/* monitor_probe.c */
void monitor_request_status(server_t *, int64_t now_us);

/* monitor_change.c */
bool group_failover_in_progress(const group_t *, int64_t now_us);
void monitor_revocation_progress(group_t *, const Bp__RevokeEnded *);
void monitor_promotion_ended(
    group_t *, const Bp__PromotionEnded *, int64_t now_us);

/* monitor_role.c */
void monitor_coordinator_denied(group_t *, bool unknown, int64_t now_us);
int64_t monitor_takeover_delay_us(GRand *);

#endif
