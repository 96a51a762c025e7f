#ifndef DECIDE_REPLICA_H
#define DECIDE_REPLICA_H

#include "decide.h"

/*
 * Choice of a replica for a read that accepts data up to a maximum age.  The
 * age of a replica's data follows from samples of the primary's log position:
 * each entry that was acknowledged before at_us is at or before the sampled
 * position.
 */
#define POSITION_HISTORY_MAX 128

/* Position of the primary's log at a time. */
typedef struct position_sample {
	int64_t at_us;
	position_t position;
	/* for the log: key of the primary, and number of the lease on it */
	uint64_t server;
	uint64_t lease;
} position_sample_t;

/* Ring buffer of the latest samples. */
typedef struct position_history {
	position_sample_t samples[POSITION_HISTORY_MAX];
	uint32_t first; /* index of the oldest sample */
	uint32_t count;
} position_history_t;

/* Load of a database, on which the choice depends besides its state. */
typedef struct replica_load {
	bool usable;        /* connected and not leaving the group */
	uint32_t in_flight; /* unanswered statements of this daemon */
	uint32_t slots;     /* maximum of in_flight */
} replica_load_t;

/*
 * Results of replica_choose(): no replica is recent enough; or those that are
 * have no free slot.
 */
#define REPLICA_NONE (-1)
#define REPLICA_BUSY (-2)

bool position_sample_take(
    const db_view_t *, uint32_t count, uint32_t primary, position_sample_t *);
int64_t position_history_age_us(const position_history_t *, int64_t now_us);
void position_history_add(
    position_history_t *, position_sample_t, int64_t spacing_us);
const position_sample_t *position_history_find(
    const position_history_t *, int64_t now_us, int64_t max_age_us);
bool position_history_lookup(const position_history_t *, int64_t now_us,
    int64_t max_age_us, position_t *);
bool position_sample_under_lease(const lease_t *, position_t, int64_t sent_us,
    int64_t checked_us, position_sample_t *);
const position_sample_t *read_required_position(const position_history_t *,
    int64_t arrived_us, int64_t max_age_us, const position_t *last_write,
    position_t *required);
int32_t replica_choose(const db_view_t *, const replica_load_t *,
    uint32_t count, int32_t primary, position_t needed);

#endif
