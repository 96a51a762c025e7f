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
	PROMOTE_LEARNING, /* no primary is known yet */
	PROMOTE_STEADY,   /* a primary is known and is monitored */
	PROMOTE_WITNESS,  /* another daemon is asked to probe the primary */
	PROMOTE_FENCING,  /* a majority is asked to promise a new term */
	PROMOTE_RAISING,  /* the chosen database is promoted */
	PROMOTE_BACKOFF,  /* the next attempt waits */
} promote_state_t;

/*
 * Actions of a failover, in the order of ChangeStep in schema/event.proto, by
 * which the log names them.
 */
typedef enum failover_action_kind {
	PROMOTE_ASK_WITNESS, /* ask another daemon to probe the primary */
	PROMOTE_FENCE,       /* ask a database to promise a new term */
	PROMOTE_SETTLE,      /* tell the daemons to revoke their leases */
	PROMOTE_RAISE,       /* order a database to become primary */
	PROMOTE_FOLLOW,      /* tell a database to follow the primary */
	PROMOTE_RELEASE,     /* withdraw the promise of an abandoned term */
} promote_kind_t;

typedef struct failover_action {
	promote_kind_t kind;
	uint32_t database;
	uint64_t term; /* RELEASE: 0 stands for any promised term */
} promote_action_t;

#define PROMOTE_ACTIONS_MAX (2 * GROUP_DATABASES_MAX)

typedef struct failover_actions {
	promote_action_t list[PROMOTE_ACTIONS_MAX];
	uint32_t count;
} promote_actions_t;

/* Time limits of the steps, and what the databases support. */
typedef struct failover_limits {
	/* silence after which a primary is suspected */
	int64_t suspect_us;
	/* limit for the answer of the witness */
	int64_t witness_us;
	/* silence after which a failover starts even if the witness reaches the
	   primary; also how long a write must have waited in vain before its
	   primary counts as isolated */
	int64_t distrust_us;
	/* limit for the promises of a majority */
	int64_t fence_us;
	/* limit for the promotion */
	int64_t raise_us;
	/* range of the first random back-off; doubles with each failure */
	int64_t backoff_us;
	/* wait from the last promise to the promotion, until all leases on the
	   old primary have expired; 0: the daemons hold no leases */
	int64_t settle_us;
	/* the same wait when all daemons have confirmed that they revoked
	   their leases; a majority of them must confirm in any case */
	int64_t settle_min_us;
	/* how long a handover waits for a replica to catch up with the primary
	   that has stepped down; 0: a handover fences a majority as any other
	   failover does */
	int64_t catch_up_us;
	/* replicas that must hold a commit before it is acknowledged */
	uint32_t sync_replicas;
	/* the databases can withdraw a promise after a failed attempt; false:
	   a promise ends only with the next failover */
	bool revocable;
} promote_limits_t;

typedef struct failover {
	promote_limits_t limits;
	GRand *rand;
	promote_state_t state;

	/* number of databases, and what is known of each */
	uint32_t count;
	db_view_t views[GROUP_DATABASES_MAX];
	/* time of the last answer */
	int64_t heard_us[GROUP_DATABASES_MAX];
	/* number of consecutive connections refused */
	uint32_t refused[GROUP_DATABASES_MAX];

	/* time the state was entered */
	int64_t since_us;
	/* BACKOFF, LEARNING: no attempt before this time */
	int64_t wait_us;
	/* FENCING, PROMOTING: the new term */
	uint64_t term;
	/* PROMOTING: the database to become primary */
	uint32_t chosen;
	/* term of a promotion that was ordered and may still take effect; 0:
	   none */
	uint64_t ordered;
	/* value of ordered_term before the current order */
	uint64_t ordered_before;

	/* FENCING: databases that promised the new term, the last entry of the
	   log of each at that moment, and the time of the last promise */
	bool granted[GROUP_DATABASES_MAX];
	position_t granted_at[GROUP_DATABASES_MAX];
	int64_t granted_us;
	/* FENCING: the daemons were told to revoke their leases; all have
	   confirmed; time at which a majority had confirmed, 0: not yet */
	bool settling;
	bool settled;
	int64_t settled_us;
	/* FENCING: in a handover, the old primary, which alone is fenced; -1:
	   none */
	int32_t stepping_down;

	/* consecutive failed attempts */
	uint32_t failures;
	/* a handover was requested */
	bool handover;
	/* number of the latest request to a witness */
	uint64_t witness;
	/* time FOLLOW was last sent */
	int64_t follow_us[GROUP_DATABASES_MAX];
	/* time since which a promise above the primary's term is seen, or 0 */
	int64_t odd_us;
	/* time the log of a database last grew */
	int64_t moved_us[GROUP_DATABASES_MAX];
	/* send time of the oldest write that no majority has confirmed, or 0 */
	int64_t stall_since_us;
	/* FENCING: the isolated primary, which is not fenced; -1: none */
	int32_t avoid;
} promote_t;

void promote_init(promote_t *, const promote_limits_t *, uint32_t count,
    uint32_t seed, int64_t now_us);
void promote_clear(promote_t *);
void promote_remap(
    promote_t *, const int32_t *old_index, uint32_t count, int64_t);
void promote_heard(promote_t *, uint32_t database, const db_view_t *, int64_t);
void promote_observed(
    promote_t *, uint32_t database, const db_view_t *, int64_t);
void promote_settled(promote_t *, uint64_t term, bool all, int64_t now_us);
void promote_outdated(promote_t *, uint64_t term, int64_t now_us);
void promote_positioned(promote_t *, uint32_t database, position_t);
void promote_idle(promote_t *, uint32_t database, int64_t now_us);
void promote_alive(promote_t *, uint32_t database, int64_t now_us);
void promote_refused(promote_t *, uint32_t database, int64_t now_us);
void promote_witness_heard(
    promote_t *, uint64_t request, bool reached, int64_t now_us);
void promote_fenced(promote_t *, uint32_t database, uint64_t term, bool granted,
    const db_view_t *, int64_t now_us);
void promote_raised(promote_t *, uint32_t database, uint64_t term, bool ok,
    const db_view_t *, int64_t now_us);
void promote_waiting(promote_t *, int64_t since_us);
void promote_handover(promote_t *, int64_t now_us);
void promote_tick(promote_t *, int64_t now_us, promote_actions_t *);
int32_t promote_primary(const promote_t *);
bool promote_suspects(const promote_t *, int64_t now_us);

#endif
