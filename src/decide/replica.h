#ifndef DECIDE_REPLICA_H
#define DECIDE_REPLICA_H

#include "decide.h"

/*
 * Which database may serve a read of a stated age.  A sample says: everything
 * acknowledged before at_us stands at or before this position.
 */
#define SAMPLES_MAX 128

typedef struct sample {
	int64_t at_us;
	position_t position;
} sample_t;

typedef struct samples {
	sample_t list[SAMPLES_MAX]; /* a ring, oldest first */
	uint32_t first;
	uint32_t count;
} samples_t;

/* What a choice is made from, beside the view. */
typedef struct replica_load {
	bool usable; /* connected, not leaving, not removed */
	uint32_t in_flight;
	uint32_t slots;
} replica_load_t;

#define REPLICA_NONE (-1)
#define REPLICA_BUSY (-2)

bool sample_take(
    const db_view_t *, uint32_t count, uint32_t primary, sample_t *);
int64_t samples_age_us(const samples_t *, int64_t now_us);
void samples_add(samples_t *, sample_t, int64_t spacing_us);
bool samples_needed(
    const samples_t *, int64_t now_us, int64_t max_age_us, position_t *);
int32_t replica_choose(const db_view_t *, const replica_load_t *,
    uint32_t count, int32_t primary, position_t needed);

#endif
