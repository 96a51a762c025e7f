#ifndef DECIDE_H
#define DECIDE_H

#include <stdbool.h>
#include <stdint.h>

/*
 * Decision logic, kept free of side effects.  Functions take plain values and
 * the current time and return plain values; they use no sockets, no encoding
 * and no clock, and draw random numbers only from a seed that is passed in.
 */

#define US_PER_MS INT64_C(1000)
#define US_PER_SECOND INT64_C(1000000)

/* Maximum number of databases in a group. */
#define GROUP_DATABASES_MAX 9

/* Number of priority classes of statements; rank 0 is the most urgent. */
#define RANKS 3

/*
 * Position in the replicated log of a group.  Each failover starts a new,
 * higher term.  Positions compare by term first, since a replaced primary and
 * its successor may use the same index for different entries.
 */
typedef struct position {
	uint64_t term;
	uint64_t index;
} position_t;

int32_t position_compare(position_t, position_t);
position_t position_max(position_t, position_t);

/* State of one database, as reported in its latest answers. */
typedef struct db_view {
	bool known;            /* at least one answer has arrived */
	bool primary;          /* the database reports itself as primary */
	bool leaving;          /* draining: about to leave the group */
	uint64_t promised;     /* the database refuses terms older than this */
	position_t last_entry; /* position of the last entry of its log */
	int64_t requested_us;  /* time the status request was sent */
	uint64_t term;         /* term that it leads or follows; 0: not told */
	/* time the connection was opened on which it answered: it has not
	   restarted since, and knows what it has promised since */
	int64_t connected_us;
	bool unlisted; /* has no entry in the store: not to be promoted */
	/* it has been listed for less than new_database_us() */
	bool newly_listed;
	/* it was ordered to become primary, and may still do so */
	bool order_open;
	/* the store has recorded it as a member of its group, and it has not
	   been started again since */
	bool member;
	uint64_t key; /* identifies the database; 0: not known */
	/* it has been leaving for so long that it gets no more work */
	bool expired;
	/* this start of it has likely ended: start_likely_ended() */
	bool likely_ended;
	/* time the answer came: the database may have answered any time from
	   the request until then */
	int64_t answered_us;
} db_view_t;

void db_view_merge(db_view_t *, const db_view_t *answer);

/* Durability of a write on a majority of the group: majority.c */
bool majority_holds(const db_view_t *, uint32_t count, position_t, int64_t);
uint32_t majority_of(uint32_t count);

/* Numbers of attempts at a failover: attempt_term.c */
uint64_t attempt_term_next(uint64_t newest);
uint64_t attempt_term_standing(uint64_t newest, uint64_t replaced_term);
uint64_t attempt_term_replaces(uint64_t attempt);

/* Time in which an order that the platform has not answered takes effect. */
#define ORDER_LATE_US (US_PER_SECOND * 7 / 2)

/*
 * Time in which an order whose outcome is not known may take effect.  The
 * platform may carry it out seconds after it was sent, and the network may
 * deliver it late.
 */
#define ORDER_OPEN_US (10 * US_PER_SECOND)

/* Time for which a list shows all databases that may have been promoted. */
#define LIST_VALID_US (12 * US_PER_SECOND)

int64_t new_database_us(int64_t lease_us);
bool started_for_long(uint64_t started_ms, int64_t now_ms, int64_t lease_us);

/* Number of earlier orders whose effect on the logs is known. */
#define EARLIER_ORDERS_MAX 8

/* An order to replace a primary, as far as the logs of a group show it. */
typedef struct earlier_order {
	uint64_t
	    replaced_term; /* newest term whose primary it was to replace */
	position_t base;   /* the new term begins after it */
} earlier_order_t;

/*
 * What the store has recorded of the orders to replace a primary of a group,
 * each before it was sent.  Three eras of the store matter: that in which the
 * last order was recorded, that in which the record was read, and the newest
 * one that is known (lease_store_era()).
 */
typedef struct recorded_orders {
	/* newest term whose primary one of them was to replace; 0: none */
	uint64_t replaced_term;
	/* term that was promised for the last of them */
	uint64_t attempt_term;
	/* time the request to the store was sent; 0: not read yet */
	int64_t read_us;
	/* end of the log of the database that the last of them named: the new
	   term begins after it */
	position_t base;
	/* time at which the store was known to have come back from an older
	   copy, which may lack orders; 0: never */
	int64_t lost_us;
	uint64_t read_era; /* era of the store when they were read */
	uint64_t era;      /* that in which the last of them was recorded */
	/* the newest of the others, in no order; at most one for each
	   replaced_term, which is not that of the last one */
	earlier_order_t earlier[EARLIER_ORDERS_MAX];
	uint32_t earlier_count;
	/* key of the database that the last of them named; 0: not known */
	uint64_t named;
	/* time at which the coordinator of the last of them, or a database that
	   holds its promise, told of it; 0: the record has it */
	int64_t told_us;
} recorded_orders_t;

/* Which terms the orders may have begun, and after which entries:
   recorded_orders.c */
void recorded_orders_add(
    recorded_orders_t *, uint64_t replaced_term, position_t base);
void recorded_orders_add_earlier(recorded_orders_t *, const earlier_order_t *);
bool recorded_orders_newer(
    const recorded_orders_t *, const recorded_orders_t *);
void recorded_orders_update(recorded_orders_t *, const recorded_orders_t *);
bool recorded_orders_may_replace(
    const recorded_orders_t *, uint64_t term, uint64_t key);
position_t recorded_orders_used_end(
    const recorded_orders_t *, uint64_t newest_term, position_t end);
bool recorded_orders_given_up(
    const recorded_orders_t *, uint64_t newest_term, position_t end);
bool recorded_orders_base_unknown(const recorded_orders_t *, uint64_t limit,
    uint64_t newest_term, uint64_t followed_term);

/*
 * What a coordinator has told of the orders to replace a primary of a group:
 * told_orders.c
 */
typedef struct told_orders {
	uint64_t token;    /* fencing token of the coordinator; 0: not known */
	uint64_t sequence; /* grows with each message of a coordinator */
	recorded_orders_t orders;
} told_orders_t;

bool told_orders_note(told_orders_t *, const told_orders_t *);
bool told_orders_newer(const told_orders_t *, const recorded_orders_t *);
recorded_orders_t told_orders_merge(
    const told_orders_t *, const recorded_orders_t *);

/* What shows that the answers that a lease rests on hide no newer primary. */
typedef enum lease_proof {
	LEASE_BY_ALL,    /* all databases have answered */
	LEASE_BY_RECORD, /* the recorded orders, read after the requests */
	LEASE_CONTINUED, /* an earlier certain time, less than a lease ago */
	LEASE_ALONE,     /* the primary has no replicas */
} lease_proof_t;

/* What ended the last block of leases by the signs of an attempt. */
typedef enum lease_unblock {
	LEASE_NEVER_BLOCKED,
	LEASE_UNBLOCKED_BY_ALL,     /* all databases have answered since */
	LEASE_UNBLOCKED_BY_ATTEMPT, /* the record names the attempt */
	LEASE_UNBLOCKED_BY_TIME,    /* it would name its order by now */
} lease_unblock_t;

/* The last block that has ended, for the log. */
typedef struct lease_last_block {
	lease_unblock_t ended_by;
	uint64_t attempt_term;
	int64_t sign_us; /* time of the latest sign of the attempt */
} lease_last_block_t;

/*
 * Rounds of answers in which all databases other than the primary deny that
 * there is a newer one, or an attempt to make one: lease_denials.c
 */
typedef struct lease_denials {
	uint64_t term;      /* of the primary; 0: there was no round */
	uint32_t databases; /* number of them in the group */
	/* send time of the oldest request of the last round; 0: it took too
	   long to prove anything */
	int64_t begun_us;
	/* time at which all answers of that round had come */
	int64_t ended_us;
	/* latest time at which all certainly denied at once; 0: unknown */
	int64_t certain_us;
	/* time at which the latest of the connections was opened on which the
	   last round came */
	int64_t connected_us;
} lease_denials_t;

/*
 * Support for a lease shown by answers that came before the record of the
 * orders was asked for; kept until that is read, as later answers replace them.
 */
typedef struct lease_answers {
	int64_t noted_us; /* 0: none are noted */
	/* send time of the requests, as in lease_t.supported_us */
	int64_t asked_us;
	uint64_t term;
	uint64_t primary_key;
} lease_answers_t;

/*
 * Lease on a primary: until it expires, no other database can have become
 * primary, so this daemon may rely on the primary: lease.c, lease_block.c
 */
typedef struct lease {
	uint64_t term;
	/* what its last renewal rested on, besides the answers */
	lease_proof_t proof;
	/* time of expiry; 0: no lease */
	int64_t expires_us;
	/* a failover is under way: no lease in this term or an older one is
	   renewed; 0: no failover */
	uint64_t blocked_term;
	/* term that was to be promised for that failover */
	uint64_t attempt_term;
	/* time of the latest sign of that failover */
	int64_t blocked_us;
	lease_last_block_t last_block;
	lease_denials_t denials;
	/* newest term that any database was known to lead or follow */
	uint64_t newest_term;
	/* latest time at which there was certainly no newer primary than the
	   one known then; 0: unknown */
	int64_t verified_us;
	/* latest time at which the primary certainly led led_term */
	int64_t led_us;
	uint64_t led_term;
	/* send time of the other databases' answers that the lease rests on;
	   0: they support none */
	int64_t supported_us;
	recorded_orders_t orders;
	/* time since which this process watches the group: it has not been told
	   of an order that was sent before and is not recorded; 0: there is
	   none */
	int64_t watched_since_us;
	/* attempt of the last order when the record was first read, and the
	   era of the store then */
	uint64_t first_attempt_term;
	uint64_t first_read_era;
	/* newest era of the store that is known; 0: none */
	uint64_t store_era;
	/* a database has left the list without having said so: the others do
	   not know whether it leads a newer term */
	bool incomplete;
	/* one has been removed that may run, and may be promoted */
	bool removed_alive;
	/* the list shows all databases that may have been promoted until then;
	   0: it does not change */
	int64_t list_until_us;
	/* members were recorded, and so many have ended since that the others
	   are no majority */
	bool members_ended;
	/* the list may still lack databases, since it is new */
	bool list_new;
	/* and the store was away before it came */
	bool list_after_outage;
	/* the last renewal failed only because the recorded orders have to be
	   read first */
	bool unverified;
	/* a database that is not among those of the group was ordered to become
	   primary, and may still do so */
	bool order_open_outside;
	/* number of members of the group that the store has recorded; 0: none
	   are recorded */
	uint32_t members;
	/* newest term in which a lease may rest on them: lease_members_read();
	   0: they were not read */
	uint64_t members_term;
	/* era of the store when they were read, and the time of the last read
	 */
	uint64_t members_era;
	int64_t members_read_us;
	/* newest term in which a primary was seen, and the time of that */
	uint64_t seen_term;
	int64_t seen_us;
	lease_answers_t answers; /* that wait for the record */
} lease_t;

/*
 * Duration of a lease, counted from the status requests that it rests on.  A
 * listed daemon is one that is registered in the platform, so that the other
 * daemons know of it.
 */
typedef struct lease_duration {
	/* for a daemon that is not listed */
	int64_t short_us;
	/* for a listed daemon, which is told to revoke its lease before a
	   promotion */
	int64_t long_us;
	/* time since which the daemon is listed; requests sent from then on get
	   the long duration; 0: not listed */
	int64_t listed_since_us;
} lease_duration_t;

bool lease_renew(lease_t *, const db_view_t *, uint32_t count, uint32_t primary,
    int64_t now_us, const lease_duration_t *);
int64_t lease_supported_until_us(
    const lease_t *, const lease_duration_t *, bool primary);
int64_t lease_checked_us(
    const lease_t *, const db_view_t *, uint32_t count, uint32_t primary);
void lease_revoke(lease_t *, uint64_t term, int64_t now_us);
uint64_t lease_newest_term(const lease_t *);
void lease_term_begun(lease_t *, uint64_t term);
void lease_primary_led(lease_t *, uint64_t term, int64_t at_us);
bool lease_extendable(const lease_t *, const lease_duration_t *);
void lease_orders_read(lease_t *, const recorded_orders_t *);
void lease_members_read(
    lease_t *, uint64_t replaced_term, uint64_t era, int64_t read_us);
void lease_store_era(lease_t *, uint64_t era);
void lease_note_answers(lease_t *, const db_view_t *, uint32_t count,
    uint32_t primary, int64_t now_us);
bool lease_held_up(const lease_t *, int64_t now_us);
int64_t lease_unaware_since_us(const lease_t *, uint64_t term, int64_t now_us);
void lease_member_lost(lease_t *, bool ended);
void lease_cancel(lease_t *);

/* Detection of dead connections by pings: keepalive.c */
typedef enum keepalive_action {
	KEEPALIVE_NONE,
	KEEPALIVE_PING,
	KEEPALIVE_CLOSE, /* the ping was not answered: close the connection */
} keepalive_action_t;

/* Activity and pings of one connection. */
typedef struct keepalive {
	int64_t last_activity_us;
	int64_t ping_sent_us; /* time of the unanswered ping; 0: none */
} keepalive_t;

void keepalive_reset(keepalive_t *, int64_t now_us);
keepalive_action_t keepalive_check(
    keepalive_t *, int64_t now_us, int64_t idle_us, int64_t timeout_us);

/*
 * Number of connections that this daemon may open to one database:
 * conn_budget.c
 */
typedef struct conn_budget {
	/* maximum number of open connections */
	uint32_t max_open;
	/* number of connections outside of transactions to keep open */
	uint32_t min_open;
	/* maximum number of open transactions */
	uint32_t max_transactions;
} conn_budget_t;

conn_budget_t conn_budget_split(uint32_t limit, uint32_t slots);

/* Limit on retries, as a token bucket: retry_budget.c */
typedef struct retry_budget {
	int64_t tokens_milli; /* in thousandths; 1000 pay for a retry */
} retry_budget_t;

void retry_budget_deposit(retry_budget_t *);
bool retry_budget_withdraw(retry_budget_t *);

/* Versions of a team's configuration document: version.c */
bool version_supersedes(uint64_t offered, uint64_t in_force);
bool version_needs_validation(
    uint64_t team_version, uint64_t accepted, uint64_t validated);

/* Era of a store that has never come back from an older copy. */
#define STORE_ERA_FIRST 1

/* Fencing tokens of the coordinator: fencing_token.c */
uint64_t fencing_token_next(uint64_t era, uint64_t known, uint64_t revision);
uint64_t fencing_token_created(uint64_t token, uint64_t revision);
bool fencing_token_is_current(uint64_t era, uint64_t token);
uint64_t fencing_token_highest(
    uint64_t token, uint64_t written_revision, uint64_t revision);

#endif
