#ifndef STATS_H
#define STATS_H

#include "bergamotplank.h"
#include "task.h"
#include "task.pb-c.h"

/* Counters of one task: a fixed list of names, counted without locks. */
typedef struct counters {
	const char *const *names;
	uint64_t *values;
	uint32_t count;
	uint32_t gauges; /* the last so many may fall */
} counters_t;

/* The buckets that a metrics page shows. */
#define LATENCY_BOUNDS 12
extern const uint32_t latency_bounds_ms[LATENCY_BOUNDS];

/* One histogram for each team, rank and outcome; belongs to one task. */
typedef struct latencies latencies_t;

void counters_report(const counters_t *, arena_t *, Bp__StatusPart *);
msg_t *counters_answer(const counters_t *, const msg_t *wanted);

latencies_t *latencies_new(const ProtobufCEnumDescriptor *outcomes);
void latencies_free(latencies_t *);
void latencies_add(latencies_t *, const char *team, uint32_t rank,
    uint32_t outcome, int64_t spent_us);
void latencies_report(const latencies_t *, arena_t *, Bp__StatusPart *);

#endif
