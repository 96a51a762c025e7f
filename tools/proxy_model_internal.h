#ifndef PROXY_MODEL_INTERNAL_H
#define PROXY_MODEL_INTERNAL_H

#include "../src/bergamotplank.h"
#include "../src/decide/failover.h"
#include "../src/decide/open_orders.h"
#include "../src/decide/replica.h"
#include "../src/decide/revocation.h"
#include "../src/decide/session_floors.h"
#include "eventq.h"
#include "proxy_model.h"

/*
 * Internal to the proxy model.  proxy_model.c: the daemons and the event loop.
 * proxy_model_records.c: the daemons' records in the store, which say who may
 * hold leases.
 * proxy_model_role.c: the coordinator role.
 * proxy_model_peers.c: requests between daemons, and what may refuse them.
 * proxy_model_orders.c: orders to promote a database.
 * proxy_model_unrecorded.c: orders that the store cannot record.
 * proxy_model_open.c: the orders that may still take effect.
 * proxy_model_lists.c: the lists of the databases, and what has ended.
 * proxy_model_members.c: members that change while a daemon has former ones.
 * proxy_model_reads.c: samples of the primary's position, and reads that
 * replicas may serve.
 * proxy_model_sequences.c: directed sequences of faults.
 * proxy_model_dbs.c: the databases, their replication and promotions, and the
 * simulated clock.
 */

#define DAEMONS_MAX 5
#define DBS_MAX 7
#define OPEN_LIST_MAX 64
#define READ_MISSING_MAX 16
#define SESSIONS_PER_DAEMON 2
#define REPLICATE_INTERVAL_US (5 * US_PER_MS)
#define PROMOTION_MIN_US (100 * US_PER_MS)
#define RESTART_DURATION_MAX_US (1 * US_PER_SECOND)
#define NETWORK_DELAY_MAX_US (4 * US_PER_MS)

/* A log entry. */
typedef struct entry {
	uint64_t term;
	uint64_t write_id;
} entry_t;

/* A database.  The _until_us fields are the ends of its faults. */
typedef struct proxy_model_db {
	GArray *log; /* of entry_t */
	bool primary;
	uint64_t term; /* term that the database leads or follows */
	uint64_t replication_paused_term; /* term of the pause; 0: not paused */
	int64_t down_until_us;            /* handles no calls */
	int64_t daemon_cut_until_us[DAEMONS_MAX]; /* no link to the daemon */
	int64_t peers_cut_until_us;               /* no replication */
	int64_t slow_until_us;                    /* replication is slow */
	int64_t slow_us;                          /* time that it takes then */
	int64_t replicated_us;                    /* its last arrival then */
	int64_t restarted_us;                     /* time of the last restart */
	/* since when an old primary reaches the newest; 0: not reached */
	int64_t new_primary_seen_us;
	int64_t listed_start_us; /* last restart that the store lists */
	int64_t start_listed_at_us;
	int64_t leaves_us; /* time at which it ends; 0: it does not leave */
	/* something between refuses the connections of the daemon */
	int64_t refused_until_us[DAEMONS_MAX];
	bool refuses; /* while it is down */
	bool new_id;  /* its last start has another id than the one before */
	/* the store has no entry from the one time to the other */
	int64_t entry_lapses_us;
	int64_t entry_back_us;
} proxy_model_db_t;

/* A statement that a daemon has sent and not yet answered. */
typedef struct stmt {
	bool is_read;
	bool executed;
	uint32_t db;
	uint64_t write_id;
	position_t position; /* end of the log after execution */
	int64_t sent_us;
	int64_t executed_us; /* time of the database's answer */
	uint64_t newest_term_when_sent;
	uint64_t newest_term_when_executed;
	uint64_t session; /* that has sent it; 0: none */
} stmt_t;

typedef enum routed_read_state {
	ROUTED_READ_QUEUED,
	ROUTED_READ_SENT,
	ROUTED_READ_HELD, /* the primary has run it, the lease is awaited */
} routed_read_state_t;

/* A read that replicas may serve. */
typedef struct routed_read {
	routed_read_state_t state;
	bool own;             /* it has to see the writes of its session */
	bool with_position;   /* it was sent to a replica */
	uint32_t db;          /* that it was sent to */
	uint32_t attempt;     /* number of times it was sent */
	uint64_t session;     /* that has sent it */
	position_t floor;     /* last write of that session */
	position_t needed;    /* position that a replica must have applied */
	position_t position;  /* of the database's log when it ran */
	int64_t staleness_us; /* maximum staleness of the route */
	int64_t begun_us;     /* time at which the session sent it */
	int64_t arrived_us;   /* at the daemon that runs it */
	int64_t sent_us;
	/* acknowledged writes that it had to see, and did not */
	uint32_t missing[READ_MISSING_MAX];
	uint32_t missing_count;
} routed_read_t;

typedef struct proxy_model_reads proxy_model_reads_t;

/* Members of the group. */
typedef struct member_set {
	uint32_t count; /* 0: none are recorded */
	bool member[DBS_MAX];
	int64_t born_us[DBS_MAX]; /* last restart of each when recorded */
	uint64_t until_term; /* former ones: leases may rest on them until it */
} member_set_t;

/* The members of the group that the store has recorded, and former ones. */
typedef struct recorded_members {
	member_set_t now;
	member_set_t former[FORMER_MEMBERS_MAX];
	uint32_t former_count;
} recorded_members_t;

/* An open order in a message. */
typedef struct listed_order {
	uint32_t db;
	uint32_t left_ms; /* time for which it may take effect */
	uint64_t attempt_term;
	uint64_t replaced_term;
	uint64_t followed_by;
} listed_order_t;

/* Open orders in a message. */
typedef struct open_list {
	listed_order_t orders[OPEN_LIST_MAX];
	uint32_t count;
	/* of a record: token with which it was begun; 0: there is none */
	uint64_t record_begun;
} open_list_t;

/* What the coordinator record says, without the role. */
typedef struct coordinator_record {
	recorded_orders_t orders;
	open_list_t open;
	recorded_members_t members;
} coordinator_record_t;

/* An order that waits until the promises for it are shown to be held. */
typedef struct waiting_order {
	uint64_t term; /* 0: none */
	uint32_t db;
	int64_t put_us; /* time of the write that recorded it */
} waiting_order_t;

/* The record in the store, and what a daemon knows of it, while the daemon
   changes what it has noted. */
typedef struct store_record {
	coordinator_record_t record;
	uint64_t revision;
	uint64_t stored_attempt;
	bool store_away;
} store_record_t;

/* An order that waits until most daemons have confirmed the token. */
typedef struct confirmation {
	uint64_t id; /* of the revocation; 0: none */
	uint64_t term;
	uint64_t token;
	uint64_t replaced_term;
	uint32_t db;
	int64_t asked_us;
	uint64_t newest_term;       /* that a daemon has reported */
	recorded_orders_t reported; /* newest order that one has reported */
	/* the other daemons, by their index */
	revocation_target_t targets[DAEMONS_MAX - 1];
} confirmation_t;

/* A daemon that proxies the statements of its callers to the group. */
typedef struct proxy_model_daemon {
	failover_t failover;
	lease_t lease;
	lease_duration_t lease_durations;
	open_orders_t open_orders;
	int64_t paused_until_us; /* the process does not run till then */
	int64_t pause_began_us;  /* start of the pause; 0: not paused */
	int64_t object_store_cut_until_us; /* no access to the store */
	int64_t daemons_cut_until_us;      /* revocations do not arrive */
	bool is_coordinator; /* this daemon may change the primary */
	bool order_sent; /* it has ordered a promotion since it took the role */
	bool orders_pending; /* the recorded orders are being read */
	/* what the store had recorded before the last order */
	recorded_orders_t orders_before;
	open_list_t open_before;
	int64_t coordinator_since_us; /* time it took the role */
	int64_t role_confirmed_us; /* last time the record named it; 0: never */
	waiting_order_t waiting_order;
	uint64_t fencing_token;     /* token received as coordinator */
	uint64_t newest_token_seen; /* highest fencing token known */
	uint64_t last_read_token;   /* token last read in the record */
	/* token and revision of the last write of the record by which this
	   process took the role, unless another one was read since; 0: none */
	uint64_t written_token;
	uint64_t written_revision;
	bool token_read;       /* a token was read from the record */
	int64_t role_asked_us; /* time of a write without an answer */
	/* what its last write of the record said, or, if unrecorded, what it
	   has noted since, to be recorded */
	coordinator_record_t written;
	bool unrecorded;
	int64_t noted_us; /* last time at which it tried to record that */
	bool list_failed; /* the store did not list the daemons */
	bool store_away;  /* nor has it answered since */
	uint64_t stored_attempt; /* last order that the store had recorded */
	told_orders_t orders_told;
	recorded_orders_t orders_read;
	uint64_t heard_token; /* that daemons were told in its revocation */
	confirmation_t confirmation;
	int64_t failover_due_since_us; /* 0: the primary is not suspected */
	int64_t lease_seen_us;         /* last time with a lease */
	int64_t takeover_delay_us;
	int64_t status_sent_us[DBS_MAX];
	bool status_pending[DBS_MAX];
	int64_t connected_us[DBS_MAX]; /* time the connection was opened */
	uint64_t revocation_term;      /* leases of lower terms are revoked */
	bool revocation_begun;         /* it tells that a primary leads it */
	uint64_t revocation;           /* identifies its last revocation */
	int64_t revocation_us;         /* time at which that began */
	/* the other daemons, by their index */
	revocation_target_t revocation_targets[DAEMONS_MAX - 1];
	bool owner;          /* sends statements, and needs leases */
	bool record_leases;  /* its record in the store says so */
	bool record_written; /* what the last write of the record said */
	bool record_pending; /* that write is not acknowledged yet */
	uint64_t process;    /* rises with each restart */
	int64_t restarting_until_us; /* its last start */
	uint64_t store_era;          /* newest era of the store that it knows */
	int64_t
	    store_restored_us;    /* time at which it learned of it; 0: never */
	int64_t store_answers_us; /* time at which it learns of a newer one */
	GPtrArray *stmts;         /* of stmt_t */
	recorded_members_t members;
	int64_t members_read_us;
	uint64_t members_era;   /* of the store when they were read */
	uint64_t members_begun; /* token with which that record was begun */
	/* sets that were read in an older era, and that the store may lack */
	member_set_t lost[LOST_MEMBERS_MAX];
	uint32_t lost_count;
	bool member_gone[DBS_MAX]; /* recorded member that has ended */
	/* what the store had recorded before the last order */
	member_set_t members_before;
	bool member_dropped[DBS_MAX]; /* it was removed as silent */
	/* the same, that was removed since it refuses connections */
	bool member_refused[DBS_MAX];
	/* database of each index of the failover */
	uint32_t servers[DBS_MAX];
	bool unlisted[DBS_MAX]; /* in the group, but not in the last list */
	int64_t unlisted_us[DBS_MAX]; /* time at which that became known */
	bool denied[DBS_MAX]; /* another process has answered in its place */
	/* it has left the group, and counts as absent until then */
	int64_t departed_until_us[DBS_MAX];
	int64_t added_us[DBS_MAX]; /* time it was added to the group */
	int64_t listed_us;         /* time of the first list; 0: none yet */
	int64_t list_read_us;      /* time of the last one */
	/* by its start it was listed long before the first list */
	bool started_for_long[DBS_MAX];
	int64_t listed_since_us[DBS_MAX]; /* time since which it has each id */
	int64_t born_us[DBS_MAX];   /* as the databases have answered, or as
				       listed */
	position_history_t history; /* samples of the primary's position */
} proxy_model_daemon_t;

typedef enum event_kind {
	EVENT_TICK,
	EVENT_REPLICATE,
	EVENT_CALL,                /* a call reaches a database */
	EVENT_ANSWER,              /* a database's answer reaches a daemon */
	EVENT_REVOKE,              /* a lease revocation reaches a peer */
	EVENT_REVOKED,             /* a peer's answer reaches the daemon */
	EVENT_PEER_CLOSED,         /* the connection to a peer has ended */
	EVENT_REVOKE_AGAIN,        /* the peer is to be asked once more */
	EVENT_COORDINATOR_WRITTEN, /* the store's answer to the coordinator */
	EVENT_UNCONFIRMED,         /* too few have confirmed the token */
	EVENT_ORDERS_READ,         /* the recorded orders reach the daemon */
	EVENT_ORDER_SENT,          /* an order is written to the socket */
	EVENT_ORDER_GIVEN_UP,      /* its sender does not wait any longer */
	EVENT_PROMOTED,            /* a promotion takes effect */
	EVENT_ROLE_STORED,         /* the store carries out a late write */
	EVENT_RECORD_STORED,       /* a daemon's record reaches the store */
	EVENT_RECORD_ACKED,        /* the store's answer reaches the daemon */
	EVENT_READ_ARRIVES,        /* a read reaches the daemon that runs it */
} event_kind_t;

typedef enum call_kind {
	CALL_STATUS,
	CALL_PAUSE_REPLICATION,
	CALL_STEP_DOWN,
	CALL_RESUME_REPLICATION,
	CALL_STATEMENT,
	CALL_READ,
} call_kind_t;

/* A message that arrives, or a timer that expires. */
typedef struct event {
	event_kind_t kind;
	call_kind_t call;
	uint32_t daemon;
	uint32_t peer; /* daemon that is to revoke its lease */
	uint32_t db;
	uint64_t term;
	uint64_t token;     /* the sender's fencing token */
	uint64_t store_era; /* of the store's answer */
	int64_t sent_us;
	uint64_t order;        /* identifies an order */
	uint64_t process;      /* that wrote a record */
	uint64_t revocation;   /* identifies a revocation */
	contact_t contact;     /* what a connection has shown that has ended */
	bool answer_lost;      /* the connection of a revocation is reset */
	bool confirms;         /* a revocation asks for a newer token */
	bool token_recorded;   /* its receiver has read a token */
	uint64_t newest_token; /* that the receiver knows */
	bool told;             /* the orders are told */
	uint64_t revision;     /* that the record must have for a write of it */
	bool ok;
	bool refused; /* the connection was refused */
	bool denied;  /* the process is another one, by its word */
	stmt_t *stmt;
	routed_read_t *read;
	uint32_t attempt; /* of the read */
	db_view_t view;
	recorded_orders_t orders;
	open_list_t open;
	recorded_members_t members;
	int64_t born_us; /* last restart of the database that answers */
} event_t;

/* A directed sequence of faults. */
typedef struct sequence {
	int64_t until_us;     /* its end; 0: there was none */
	uint32_t primary;     /* the old primary */
	uint32_t coordinator; /* the daemon that replaces it once more */
	bool order_late;      /* the first order has not taken effect */
	uint32_t promoted;    /* the database that it promotes */
	bool restarts;        /* a member has to start again */
	uint32_t member;      /* that member */
	int64_t member_restarts_us;
	int64_t member_cut_us; /* time at which it is cut off; 0: never */
} sequence_t;

/* The sequence in which the members change. */
typedef struct members_sequence {
	int64_t until_us;  /* its end; 0: it has not begun */
	int64_t leaves_us; /* time at which the primary leaves */
	int64_t silent_us; /* time at which members that leave are cut off */
	int64_t behind_us; /* time at which former members fall behind */
	int64_t cut_us;    /* time at which the primary is cut off */
	int64_t store_us;  /* time at which the store is back; 0: it is not */
	uint32_t daemon;   /* the daemon that is alone */
	uint32_t primary;
	bool cut; /* the primary has been cut off */
} members_sequence_t;

/* Connections between daemons that something between refuses or resets. */
typedef struct refused_peers {
	int64_t until_us; /* its end; 0: there was none */
	contact_t contact;
	bool ends[DAEMONS_MAX][DAEMONS_MAX]; /* from the one to the other */
	/* time at which the primary is cut off from some daemons; 0: never */
	int64_t primary_cut_us;
} refused_peers_t;

/* A time in which the store is away. */
typedef struct store_away {
	int64_t until_us; /* its end; 0: there was none */
	int64_t loss_us;  /* time at which the primary is lost; 0: never */
	int64_t restart_us[DAEMONS_MAX]; /* of each daemon; 0: never */
	/* where others forget a token: the former coordinator, and the one that
	   has sent an order since */
	bool forgotten;
	uint32_t former;
	bool succeeded;
} store_away_t;

typedef struct proxy_model {
	const proxy_model_plan_t *plan;
	proxy_model_result_t *result;
	GRand *rand;
	eventq_t *events;
	int64_t now_us;
	proxy_model_db_t dbs[DBS_MAX];
	proxy_model_daemon_t daemons[DAEMONS_MAX];
	uint64_t newest_term;       /* highest term of any primary */
	GArray *terms_us;           /* int64_t times at which terms began */
	uint32_t coordinator;       /* index of the coordinator */
	uint64_t coordinator_token; /* its fencing token; 0: none yet */
	uint64_t record_revision;   /* of its last change or deletion */
	bool record_unreadable;
	/* the role in an older copy of the record */
	uint32_t older_coordinator;
	uint64_t older_token;
	uint64_t older_revision;
	/* the daemon that has used each token, and the highest of them */
	GHashTable *token_users;
	uint64_t highest_token_sent;
	/* time of the last order of each daemon, 0: none; the daemon and the
	   token of the last order */
	int64_t order_sent_us[DAEMONS_MAX];
	uint32_t last_sender;
	uint64_t last_token_sent;
	uint64_t last_order;        /* identifies the last order */
	GHashTable *dropped_orders; /* held up, and dropped by their sender */
	recorded_orders_t orders;   /* recorded in the store */
	open_list_t open;           /* recorded with them */
	recorded_members_t members; /* recorded with them */
	uint64_t last_write_id;
	uint64_t store_era;      /* rises when the store goes back */
	int64_t records_lost_us; /* time of the last return; 0: never */
	uint32_t old_holders;    /* bit set: holders in an old listing */
	int64_t old_holders_us;  /* time of that listing */
	GArray *acked_writes; /* uint64_t write ids, since the last promotion */
	sequence_t sequence;  /* the last one */
	members_sequence_t members_sequence;
	proxy_model_reads_t *reads;
	refused_peers_t refused_peers; /* the last ones */
	store_away_t store_away;       /* the last time */
	uint64_t last_revocation;      /* identifies the last revocation */
	arena_t *arena;
} proxy_model_t;

int64_t proxy_model_random_us(proxy_model_t *, int64_t bound_us);
bool proxy_model_chance(proxy_model_t *, uint32_t permille);
void proxy_model_schedule(proxy_model_t *, int64_t after_us, const event_t *);
void proxy_model_send_call(proxy_model_t *, uint32_t daemon, uint32_t db,
    call_kind_t, uint64_t term, stmt_t *);
void proxy_model_place(proxy_model_t *, uint32_t daemon);
contact_t proxy_model_contact(
    const proxy_model_t *, uint32_t daemon, uint32_t peer);
void proxy_model_revoke(
    proxy_model_t *, uint32_t daemon, uint64_t term, bool begun);
void proxy_model_asked_to_revoke(proxy_model_t *, const event_t *);
void proxy_model_revoked(proxy_model_t *, const event_t *);
void proxy_model_peer_closed(proxy_model_t *, const event_t *);
void proxy_model_revoke_again(proxy_model_t *, const event_t *);
void proxy_model_peer_troubles(proxy_model_t *);
void proxy_model_era_reached(
    proxy_model_t *, proxy_model_daemon_t *, uint64_t era);
void proxy_model_record_stored(proxy_model_t *, const event_t *);
void proxy_model_record_acked(proxy_model_t *, const event_t *);
uint32_t proxy_model_holders(proxy_model_t *, uint32_t coordinator);
char *proxy_model_db_name(uint32_t db);
void proxy_model_open_list(
    const proxy_model_t *, const proxy_model_daemon_t *, open_list_t *);
bool proxy_model_open_told(
    proxy_model_t *, proxy_model_daemon_t *, const open_list_t *);
void proxy_model_open_recorded(proxy_model_t *, proxy_model_daemon_t *,
    const open_list_t *, int64_t asked_us);
void proxy_model_open_rewrite(proxy_model_t *, const proxy_model_daemon_t *);
void proxy_model_open_note(
    proxy_model_t *, proxy_model_daemon_t *, uint32_t db);
void proxy_model_open_withdraw(
    proxy_model_t *, proxy_model_daemon_t *, uint32_t db);
void proxy_model_open_accepted(
    proxy_model_daemon_t *, uint32_t db, int64_t now_us);
void proxy_model_open_update(proxy_model_t *, proxy_model_daemon_t *);
void proxy_model_members_update(proxy_model_t *, proxy_model_daemon_t *);
bool proxy_model_has_lists(const proxy_model_plan_t *);
void proxy_model_lists_init(proxy_model_t *, proxy_model_daemon_t *);
void proxy_model_lists_tick(proxy_model_t *, uint32_t daemon);
void proxy_model_list_troubles(proxy_model_t *);
int64_t proxy_model_list_until_us(
    const proxy_model_t *, const proxy_model_daemon_t *);
bool proxy_model_known_to_all(
    const proxy_model_t *, const proxy_model_daemon_t *, uint32_t db);
bool proxy_model_newly_listed(
    const proxy_model_t *, const proxy_model_daemon_t *, uint32_t db);
void proxy_model_entry_lost(proxy_model_t *, uint32_t db, int64_t until_us);
void proxy_model_denied(proxy_model_t *, proxy_model_daemon_t *, uint32_t db);
void proxy_model_departed(
    const proxy_model_t *, proxy_model_daemon_t *, const recorded_members_t *);
bool proxy_model_absent(
    const proxy_model_t *, const proxy_model_daemon_t *, uint32_t db);
bool proxy_model_member_ended(
    const proxy_model_t *, const proxy_model_daemon_t *, uint32_t db);
int32_t proxy_model_index(const proxy_model_daemon_t *, uint32_t db);
int32_t proxy_model_primary(const proxy_model_daemon_t *);
void proxy_model_members_read(proxy_model_t *, proxy_model_daemon_t *,
    const recorded_members_t *, uint64_t begun, uint64_t replaced_term,
    int64_t read_us);
bool proxy_model_members_equal(const member_set_t *, const member_set_t *);
void proxy_model_members_replace(proxy_model_t *, const proxy_model_daemon_t *,
    const member_set_t *, uint64_t term);
void proxy_model_former_update(proxy_model_t *, proxy_model_daemon_t *);
void proxy_model_members_keep(const proxy_model_t *, proxy_model_daemon_t *,
    const recorded_members_t *read, uint64_t begun);
void proxy_model_members_check(proxy_model_t *, uint32_t daemon);
void proxy_model_members_record(
    proxy_model_t *, proxy_model_daemon_t *, uint64_t term);
uint32_t proxy_model_first_members(const proxy_model_plan_t *);
bool proxy_model_added_later(const proxy_model_t *, uint32_t db);
void proxy_model_members_init(proxy_model_t *);
void proxy_model_members_tick(proxy_model_t *, uint32_t daemon);
bool proxy_model_members_begun(const proxy_model_t *);
void proxy_model_members_revoked(proxy_model_t *, uint32_t daemon);
bool proxy_model_replicates(proxy_model_t *, uint32_t db);
int64_t proxy_model_checked_us(
    const proxy_model_t *, const proxy_model_daemon_t *);
bool proxy_model_sends_unrecorded(const proxy_model_plan_t *);
void proxy_model_orders_known(
    proxy_model_t *, proxy_model_daemon_t *, const recorded_orders_t *);
void proxy_model_failover_orders(proxy_model_t *, proxy_model_daemon_t *);
void proxy_model_store_answered(
    proxy_model_daemon_t *, const recorded_orders_t *);
void proxy_model_orders_tell(
    const proxy_model_t *, const proxy_model_daemon_t *, event_t *revocation);
void proxy_model_orders_told(proxy_model_t *, proxy_model_daemon_t *,
    const event_t *revocation, event_t *answer);
void proxy_model_orders_learned(
    proxy_model_t *, proxy_model_daemon_t *, const event_t *answer);
void proxy_model_orders_take(proxy_model_t *, proxy_model_daemon_t *);
void proxy_model_daemons_listed(proxy_model_t *, proxy_model_daemon_t *);
bool proxy_model_store_failed(
    const proxy_model_t *, const proxy_model_daemon_t *);
void proxy_model_order_ask(proxy_model_t *, const event_t *order);
void proxy_model_confirmed(proxy_model_t *, const event_t *);
void proxy_model_confirm_closed(proxy_model_t *, const event_t *);
void proxy_model_unconfirmed(proxy_model_t *, const event_t *);
bool proxy_model_proves_order(
    const proxy_model_t *, proxy_model_daemon_t *, const db_view_t *);
void proxy_model_unrecorded_tick(proxy_model_t *, uint32_t daemon);
void proxy_model_away_troubles(proxy_model_t *);
void proxy_model_away_ordered(proxy_model_t *, uint32_t daemon);
void proxy_model_refuse_links(proxy_model_t *, int64_t until_us, contact_t);
void proxy_model_send_request(proxy_model_t *, const event_t *);
void proxy_model_open_add_missing(proxy_model_t *, const open_list_t *);
void proxy_model_record_order(
    proxy_model_t *, proxy_model_daemon_t *, uint32_t db);
void proxy_model_own_order_read(proxy_model_t *, proxy_model_daemon_t *);
void proxy_model_withdraw_order(
    proxy_model_t *, proxy_model_daemon_t *, uint32_t db);
void proxy_model_order_failed(proxy_model_t *, const event_t *);
bool proxy_model_order_stands(
    const proxy_model_t *, const proxy_model_daemon_t *, uint64_t term);
void proxy_model_send_order(proxy_model_t *, const event_t *order);
void proxy_model_write_order(
    proxy_model_t *, uint32_t daemon, uint32_t db, uint64_t term);
void proxy_model_order_written(proxy_model_t *, const event_t *);
void proxy_model_order_waits(proxy_model_t *, uint32_t daemon);
void proxy_model_order_sent(proxy_model_t *, const event_t *);
void proxy_model_order_given_up(proxy_model_t *, const event_t *);
bool proxy_model_order_dropped(proxy_model_t *, const event_t *);
bool proxy_model_orders_overtake(const proxy_model_plan_t *);
void proxy_model_role_stored(proxy_model_t *, const event_t *);
void proxy_model_record_troubles(proxy_model_t *);
bool proxy_model_role_confirmed(proxy_model_t *, uint32_t daemon_index);
bool proxy_model_holds_role(
    const proxy_model_t *, const proxy_model_daemon_t *, uint32_t daemon);
void proxy_model_record_changed(proxy_model_t *, proxy_model_daemon_t *);
void proxy_model_daemon_restart(proxy_model_t *, uint32_t daemon);
void proxy_model_db_restart(proxy_model_t *, uint32_t db);
void proxy_model_db_troubles(proxy_model_t *);
void proxy_model_member_restarts(proxy_model_t *);
void proxy_model_member_cut(proxy_model_t *, uint32_t daemon);
void proxy_model_take_role(proxy_model_t *, uint32_t daemon);
void proxy_model_sender_paused(proxy_model_t *, uint32_t daemon, uint32_t db);
void proxy_model_primary_cut(proxy_model_t *, uint32_t daemon);
void proxy_model_most_refused(proxy_model_t *, uint32_t daemon);
void proxy_model_unlisted_cut(proxy_model_t *, uint32_t daemon);
int64_t proxy_model_order_late(proxy_model_t *, uint32_t daemon, uint32_t db);
void proxy_model_order_followed(proxy_model_t *, uint32_t daemon);
bool proxy_model_order_over(proxy_model_t *, const event_t *);
bool proxy_model_hurries(const proxy_model_t *, uint32_t daemon);
void proxy_model_steps_down(proxy_model_t *, uint32_t daemon, uint32_t db);
void proxy_model_stepped_down(proxy_model_t *, uint32_t daemon, uint32_t db);
void proxy_model_handle_call(proxy_model_t *, const event_t *);
uint32_t proxy_model_count_copies(
    const proxy_model_t *, uint32_t except, uint64_t write_id);
void proxy_model_promote(proxy_model_t *, const event_t *);
int32_t proxy_model_newest_primary(const proxy_model_t *);
uint64_t proxy_model_newest_term_at(const proxy_model_t *, int64_t at_us);
void proxy_model_replicate(proxy_model_t *, const event_t *);
proxy_model_reads_t *proxy_model_reads_new(void);
void proxy_model_reads_free(proxy_model_reads_t *);
void proxy_model_reads_restart(proxy_model_t *, uint32_t daemon);
void proxy_model_reads_tick(proxy_model_t *, uint32_t daemon);
uint64_t proxy_model_reads_writer(proxy_model_t *, uint32_t daemon);
void proxy_model_reads_acked(proxy_model_t *, uint32_t daemon, const stmt_t *);
void proxy_model_reads_promoted(proxy_model_t *, uint32_t db);
void proxy_model_sample(proxy_model_t *, proxy_model_daemon_t *, uint32_t db,
    position_t, int64_t sent_us);
bool proxy_model_primary_led(
    const proxy_model_t *, proxy_model_daemon_t *, const event_t *answer);
void proxy_model_read_arrives(proxy_model_t *, const event_t *);
bool proxy_model_read_run(proxy_model_t *, const event_t *);
void proxy_model_read_answered(proxy_model_t *, const event_t *);

#endif
