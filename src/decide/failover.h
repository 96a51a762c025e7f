#ifndef DECIDE_FAILOVER_H
#define DECIDE_FAILOVER_H

#include "decide.h"

#include <glib.h>

/*
 * Failover of one group: detects that the primary has failed or is to hand
 * over, and chooses its successor.  Safety rests only on the terms that the
 * databases promise, so any number of daemons may run a failover of the same
 * group at the same time.
 */

/*
 * States of a failover, in the order of ChangeState in schema/event.proto, by
 * which the log names them.
 */
typedef enum failover_state {
	FAILOVER_LEARNING,  /* no primary is known yet */
	FAILOVER_STEADY,    /* a primary is known and is monitored */
	FAILOVER_WITNESS,   /* another daemon is asked to probe the primary */
	FAILOVER_FENCING,   /* a majority is asked to promise a new term */
	FAILOVER_PROMOTING, /* the chosen database is promoted */
	FAILOVER_BACKOFF,   /* the next attempt waits */
} failover_state_t;

/*
 * Actions of a failover, in the order of ChangeStep in schema/event.proto, by
 * which the log names them.
 */
typedef enum failover_action_kind {
	FAILOVER_ASK_WITNESS,   /* ask another daemon to probe the primary */
	FAILOVER_FENCE,         /* ask a database to promise a new term */
	FAILOVER_REVOKE_LEASES, /* tell the daemons to revoke their leases */
	FAILOVER_PROMOTE,       /* order a database to become primary */
	FAILOVER_FOLLOW,        /* tell a database to follow the primary */
	FAILOVER_RELEASE,       /* withdraw the promise of an abandoned term */
	FAILOVER_ANNOUNCE_TERM, /* tell the daemons that a term has begun */
	/* drop the order to promote if it has not been sent yet */
	FAILOVER_CANCEL_PROMOTION,
} failover_action_kind_t;

/* An action that failover_tick() requests. */
typedef struct failover_action {
	failover_action_kind_t kind;
	uint32_t database;
	uint64_t term; /* RELEASE: 0 stands for any promised term */
} failover_action_t;

#define FAILOVER_ACTIONS_MAX (2 * GROUP_DATABASES_MAX)

/* The actions that one call of failover_tick() requests. */
typedef struct failover_actions {
	failover_action_t list[FAILOVER_ACTIONS_MAX];
	uint32_t count;
} failover_actions_t;

/* Time limits of the steps, and what the databases support. */
typedef struct failover_limits {
	/* time without an answer after which a primary is suspected */
	int64_t suspect_us;
	/* limit for the answer of the witness */
	int64_t witness_us;
	/* time without an answer after which a failover starts even if the
	   witness reaches the primary; also how long a write must have waited
	   in vain before its primary counts as isolated */
	int64_t witness_override_us;
	/* limit for the promises of a majority */
	int64_t fence_us;
	/* limit for the promotion */
	int64_t promotion_us;
	/* time after which an order without an answer takes no effect any
	   more; 0: it takes effect before promotion_us or never */
	int64_t order_late_us;
	/* time for which a database that turns connections away, and has not
	   reported its role, counts as a possible primary */
	int64_t turned_away_us;
	/* range of the first random back-off; doubles with each failure */
	int64_t backoff_us;
	/* wait from the last promise to the promotion, until all leases on the
	   old primary have expired; 0: the daemons hold no leases */
	int64_t lease_wait_us;
	/* the same wait when all daemons have confirmed that they revoked
	   their leases; a majority of them must confirm in any case */
	int64_t lease_wait_min_us;
	/* how long a handover waits for a replica to catch up with the primary
	   that has stepped down; 0: a handover fences a majority as any other
	   failover does */
	int64_t catch_up_us;
	/* replicas that must hold a commit before it is acknowledged */
	uint32_t sync_replicas;
	/* the databases can withdraw a promise after a failed attempt; false:
	   a promise ends only with the next failover */
	bool revocable;
} failover_limits_t;

/* An order to promote a database that may still take effect. */
typedef struct failover_order {
	uint64_t term;         /* term that was promised for it; 0: no order */
	uint64_t primary_term; /* term of the primary at that time */
	int32_t database;      /* -1: it has left the group */
	int64_t until_us;      /* time until which it may take effect */
} failover_order_t;

/* Whether the promises for an order that is recorded are held still. */
typedef enum failover_promises {
	FAILOVER_PROMISES_ASKED, /* too few databases have answered so far */
	FAILOVER_PROMISES_HELD,  /* enough of them hold their promises */
	FAILOVER_PROMISES_LOST,  /* too few of them can */
} failover_promises_t;

/* Number of attempts with standing promises that are remembered. */
#define FAILOVER_STANDING_MAX 16

/* An attempt with standing promises. */
typedef struct failover_standing {
	uint64_t term; /* 0: no attempt */
	/* attempt whose order its promises prove; 0: none */
	uint64_t proves;
	uint64_t proved_before; /* the same before its own order was sent */
} failover_standing_t;

/* Number of sets of former members that are kept in the record. */
#define FORMER_MEMBERS_MAX 4

/* Number of sets that a daemon keeps which the store has lost. */
#define LOST_MEMBERS_MAX (FORMER_MEMBERS_MAX + 1)

/* Number of sets that count for a failover besides the members. */
#define FORMER_SETS_MAX (FORMER_MEMBERS_MAX + LOST_MEMBERS_MAX + 3)

/* Members of a group that were recorded before: former_members.c */
typedef struct former_members {
	uint32_t count;                   /* of all */
	uint32_t ended;                   /* of those that have ended since */
	bool member[GROUP_DATABASES_MAX]; /* which databases are among them */
	/* any other database of the group may be one as well: each daemon has
	   these in its list, and some may have more */
	bool open;
} former_members_t;

/* State of the failover of a group. */
typedef struct failover {
	failover_limits_t limits;
	GRand *rand;
	failover_state_t state;

	/* number of databases, and what is known of each */
	uint32_t count;
	db_view_t views[GROUP_DATABASES_MAX];
	/* time of the last answer of each database */
	int64_t last_alive_us[GROUP_DATABASES_MAX];
	/* number of consecutive connections that each database refused */
	uint32_t connect_refusals[GROUP_DATABASES_MAX];
	/* time since which each database has turned connections away without
	   reporting its role, or 0 */
	int64_t turned_away_since_us[GROUP_DATABASES_MAX];
	/* time since which connections to each database have been reset before
	   it answered, or 0 */
	int64_t reset_since_us[GROUP_DATABASES_MAX];

	/* time the state was entered */
	int64_t state_entered_us;
	/* BACKOFF, LEARNING: no attempt before this time */
	int64_t wait_until_us;
	/* FENCING, PROMOTING: the new term */
	uint64_t term;
	/* the same: newest term of a primary that was known when the attempt
	   began */
	uint64_t fenced_from_term;
	/* the last attempts of this process with standing promises */
	failover_standing_t own_standing[FAILOVER_STANDING_MAX];
	uint32_t own_standing_next;
	/* newest attempt whose order standing promises of other processes show,
	   and the newest term that such an order replaces; 0: none */
	uint64_t shown_attempt;
	uint64_t shown_replaced;
	/* newest attempt that standing promises prove; it needs them until the
	   store has recorded it or a later one */
	uint64_t unproven_attempt;
	uint64_t stored_attempt;
	/* term of the last order that was cancelled */
	uint64_t cancelled_term;
	/* time of the last call of failover_tick() */
	int64_t ticked_us;
	/* newest term in which this or another daemon has known a primary */
	uint64_t reported_term;
	/* an open order names a database that is not in the group */
	bool order_open_outside;
	/* an open order cannot take effect any more, and names a database,
	   other than the primary, that has not answered since */
	bool order_unanswered;
	/* time since which the record, as it was read, names all open orders;
	   INT64_MAX: it may not do so */
	int64_t orders_named_us;
	/* the recorded orders, and the time since which they are known */
	recorded_orders_t recorded;
	int64_t recorded_us;
	/* newest replaced term of the record itself */
	uint64_t read_replaced;
	/* time since which orders are known, if earlier ones that are not
	   recorded may have replaced the primary; otherwise 0 */
	int64_t unaware_since_us;
	/* PROMOTING: the database to become primary */
	uint32_t chosen;
	/* the last order, and the one before it */
	failover_order_t order;
	failover_order_t order_before;

	/* the store cannot record an order now, so that the promises for it
	   have to outlast the promotion */
	bool store_away;
	/* FENCING: the term that was promised before that became known; equal
	   to term if it did not */
	uint64_t fenced_term;
	/* FENCING: databases that hold a standing promise for this attempt;
	   they were asked after others were granted */
	bool standing_asked;
	bool standing[GROUP_DATABASES_MAX];

	/* FENCING: time each database was last asked for the promise, 0: not
	   yet; and time of the start of the attempt, or at which one that has
	   joined since was first asked */
	int64_t fence_sent_us[GROUP_DATABASES_MAX];
	int64_t fence_began_us;
	/* FENCING: databases that promised the new term, the last entry of the
	   log of each at that moment, and the time of the last promise */
	bool granted[GROUP_DATABASES_MAX];
	position_t granted_position[GROUP_DATABASES_MAX];
	int64_t granted_us;
	/* the same: when the connection was opened on which each of them did;
	   a promise is certainly gone when that has ended */
	int64_t granted_connected_us[GROUP_DATABASES_MAX];
	/* PROMOTING: time since which the store has recorded the order, so that
	   answers to later requests show which promises are held; 0: not yet */
	int64_t promises_asked_us;
	/* the same: number of promises that it needed when it was decided; the
	   list may have grown since */
	uint32_t promises_needed;
	/* number of members of the group that the store has recorded, 0: none
	   are recorded; and of those that have ended since, so that nothing
	   is left of what they had promised */
	uint32_t members;
	uint32_t members_ended;
	/* databases that are not listed and may hold commits: recorded members
	   in whose place no later start is, and others that have left */
	uint32_t members_absent;
	/* former members that leases of other daemons may rest on, those that
	   may have been recorded, and the present ones with later starts in
	   place of those that have ended */
	former_members_t former[FORMER_SETS_MAX];
	uint32_t former_count;
	/* FENCING: the daemons were told to revoke their leases; all have
	   confirmed; time at which a majority had confirmed, 0: not yet */
	bool revocation_sent;
	bool revoked_by_all;
	int64_t revoked_by_most_us;
	/* FENCING: in a handover, the old primary, which alone is fenced; -1:
	   none */
	int32_t stepping_down;
	/* FENCING: in that handover the others are fenced, too, since the
	   primary may have been replaced */
	bool doubtful;

	/* consecutive failed attempts */
	uint32_t failures;
	/* a handover was requested */
	bool handover;
	/* number of the latest request to a witness */
	uint64_t witness_request;
	/* time FOLLOW was last sent to each database */
	int64_t follow_sent_us[GROUP_DATABASES_MAX];
	/* time since which a promise above the primary's term is seen, or 0 */
	int64_t stray_promise_us;
	/* term of which the daemons were told, so that they take no leases
	   below it, before such a promise is withdrawn; time at which they were
	   first and last told; time at which they had confirmed, 0: not yet */
	uint64_t notice_term;
	int64_t notice_began_us;
	int64_t notice_sent_us;
	int64_t notice_confirmed_us;
	/* such a promise could be withdrawn now, had the daemons confirmed */
	bool release_allowed;
	/* time the log of each database last grew */
	int64_t log_grown_us[GROUP_DATABASES_MAX];
	/* send time of the oldest write that no majority has confirmed, or 0 */
	int64_t unconfirmed_since_us;
	/* FENCING: the isolated primary, which is not fenced; -1: none */
	int32_t isolated;
	/* an attempt is due, but no database that answers can take over */
	bool no_candidate;
} failover_t;

void failover_init(failover_t *, const failover_limits_t *, uint32_t count,
    uint32_t seed, int64_t now_us);
void failover_clear(failover_t *);
void failover_remap(
    failover_t *, const int32_t *old_index, uint32_t count, int64_t);
void failover_members_lost(failover_t *, int64_t now_us);
void failover_set_members(failover_t *, lease_t *, uint32_t count,
    uint32_t ended, uint32_t absent, int64_t now_us);
void failover_set_former(
    failover_t *, const former_members_t *, uint32_t count, int64_t now_us);
uint64_t former_members_until(
    const recorded_orders_t *, uint64_t term, uint64_t unproven);
uint64_t former_members_from(const recorded_orders_t *, uint64_t newest_term);
bool former_members_hold(const failover_t *, const bool *databases, bool ended);
bool former_members_open_hold(const failover_t *, const bool *databases);
bool failover_members_lack(const failover_t *, uint32_t database);
void failover_merge_view(
    failover_t *, uint32_t database, const db_view_t *, int64_t);
void failover_replace_view(
    failover_t *, uint32_t database, const db_view_t *, int64_t);
void failover_leases_revoked(
    failover_t *, uint64_t term, bool all, int64_t now_us);
void failover_notice_confirmed(
    failover_t *, uint64_t term, bool all, int64_t now_us);
void failover_term_reported(failover_t *, uint64_t term, int64_t now_us);
void failover_superseded(failover_t *, uint64_t term, int64_t now_us);
void failover_position_seen(failover_t *, uint32_t database, position_t);
void failover_not_probed(failover_t *, uint32_t database, int64_t now_us);
void failover_alive(failover_t *, uint32_t database, int64_t now_us);
bool failover_answers(const failover_t *, uint32_t database, int64_t now_us);
void failover_turned_away(failover_t *, uint32_t database, int64_t now_us);
bool failover_connection_reset(failover_t *, uint32_t database, int64_t now_us);
void failover_connection_refused(
    failover_t *, uint32_t database, int64_t now_us);
void failover_witness_answered(
    failover_t *, uint64_t request, bool reached, int64_t now_us);
void failover_fence_answered(failover_t *, uint32_t database, uint64_t term,
    bool granted, const db_view_t *, int64_t now_us);
void failover_promotion_answered(failover_t *, uint32_t database, uint64_t term,
    bool ok, const db_view_t *, int64_t now_us);
bool failover_order_stands(const failover_t *, uint64_t term);
bool failover_ask_promises(failover_t *, uint64_t term, int64_t now_us);
bool failover_promise_asked(const failover_t *, uint32_t database);
failover_promises_t failover_promises(const failover_t *);
uint64_t failover_term_to_replace(const failover_t *);
position_t failover_base(const failover_t *);
void failover_orders_recorded(
    failover_t *, const recorded_orders_t *, int64_t now_us);
void failover_set_unaware(failover_t *, int64_t since_us);
void failover_set_unconfirmed(failover_t *, int64_t since_us);
void failover_set_store(failover_t *, bool away, uint64_t stored_attempt);
bool failover_promise_void(failover_t *, uint64_t term);
void failover_request_handover(failover_t *, int64_t now_us);
void failover_tick(failover_t *, int64_t now_us, failover_actions_t *);
void failover_tick_denied(failover_t *, int64_t now_us, failover_actions_t *);
int32_t failover_primary(const failover_t *);
bool failover_primary_suspected(const failover_t *, int64_t now_us);
bool failover_is_new(const failover_t *, uint32_t database);
bool failover_candidate_answers(const failover_t *, int64_t now_us);
bool failover_successor_answers(const failover_t *, int64_t now_us);
bool failover_staying_answers(const failover_t *, int64_t now_us);
bool failover_handover_possible(const failover_t *, int64_t now_us);

#endif
