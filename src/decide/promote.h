#ifndef DECIDE_PROMOTE_H
#define DECIDE_PROMOTE_H

#include "decide.h"

#include <glib.h>

/*
 * Change of primary for one group, by the databases' terms alone.  Any number
 * of daemons may run this at once for the same group.
 */

typedef enum promote_state {
	PROMOTE_LEARNING, /* no primary is known yet */
	PROMOTE_STEADY,
	PROMOTE_WITNESS, /* a second witness is asked */
	PROMOTE_FENCING, /* a majority is asked to promise a term */
	PROMOTE_RAISING, /* the chosen one is told to be primary */
	PROMOTE_BACKOFF,
} promote_state_t;

typedef enum promote_kind {
	PROMOTE_ASK_WITNESS,
	PROMOTE_FENCE,
	PROMOTE_SETTLE, /* have the daemons give back what they believe */
	PROMOTE_RAISE,
	PROMOTE_FOLLOW,
	PROMOTE_RELEASE, /* a grant of a term that is given up */
} promote_kind_t;

typedef struct promote_action {
	promote_kind_t kind;
	uint32_t database;
	uint64_t term;
} promote_action_t;

#define PROMOTE_ACTIONS_MAX (2 * GROUP_DATABASES_MAX)

typedef struct promote_actions {
	promote_action_t list[PROMOTE_ACTIONS_MAX];
	uint32_t count;
} promote_actions_t;

/* How long each step may take. */
typedef struct promote_limits {
	int64_t suspect_us;  /* silence before a witness is asked */
	int64_t witness_us;  /* wait for the witness's answer */
	int64_t distrust_us; /* silence after which a witness's "reached"
				no longer holds a change back */
	int64_t fence_us;    /* for a majority */
	int64_t raise_us;
	int64_t backoff_us; /* smallest random back-off; doubles */
	/* from the last grant until the new primary may begin: until what
	   daemons believe of the old one has run out, or, when all say that
	   they have given it back, settle_min_us; most must have said so in
	   any case; 0: nothing to run out */
	int64_t settle_us;
	int64_t settle_min_us;
	/* a primary that steps down is waited for by replicas this long;
	   0: a handover fences a majority like any other change */
	int64_t catch_up_us;
	uint32_t sync_replicas; /* hold each acknowledged commit */
	/* a promise that leads nowhere is taken back; false: it ends with the
	   next change only */
	bool revocable;
} promote_limits_t;

typedef struct promote {
	promote_limits_t limits;
	GRand *rand;
	promote_state_t state;
	uint32_t count;
	db_view_t views[GROUP_DATABASES_MAX];
	int64_t heard_us[GROUP_DATABASES_MAX];
	uint32_t refused[GROUP_DATABASES_MAX]; /* connections, in a row */
	int64_t since_us;                      /* the state began */
	int64_t wait_us;                       /* BACKOFF, LEARNING: until */
	uint64_t term;                         /* FENCING, RAISING */
	uint32_t chosen;                       /* RAISING */
	uint64_t ordered;        /* term of an order that may come into
				    effect; 0: none */
	uint64_t ordered_before; /* the same, without the one under way */
	bool granted[GROUP_DATABASES_MAX];
	position_t granted_at[GROUP_DATABASES_MAX];
	int64_t granted_us;    /* the last grant came */
	bool settling;         /* FENCING: the daemons were asked */
	bool settled;          /* and have all answered */
	int64_t settled_us;    /* most of them have, at this time; 0: not yet */
	int32_t stepping_down; /* FENCING: the leaving primary alone, or -1 */
	uint32_t failures;
	bool handover;    /* the primary is leaving and has no work left */
	uint64_t witness; /* number of the question */
	int64_t follow_us[GROUP_DATABASES_MAX];
	int64_t odd_us; /* a higher promise than the primary's was seen */
	int64_t moved_us[GROUP_DATABASES_MAX]; /* its log last grew */
	int64_t stall_since_us; /* oldest write not confirmed; 0: none */
	int32_t avoid;          /* FENCING: the cut-off primary, or -1 */
} promote_t;

void promote_init(promote_t *, const promote_limits_t *, uint32_t count,
    uint32_t seed, int64_t now_us);
void promote_clear(promote_t *);
void promote_remap(promote_t *, const int32_t *from, uint32_t count, int64_t);
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
    promote_t *, uint64_t witness, bool reached, int64_t now_us);
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
