#ifndef STATS_H
#define STATS_H

#include "bergamotplank.h"
#include "task.h"
#include "task.pb-c.h"

/*
 * The counters of one task.  Only that task changes them, so they need no
 * locks.
 */
typedef struct counters {
	const char *const *names;
	uint64_t *values;
	uint32_t count;
	uint32_t gauges_count; /* number of gauges, which are listed last */
} counters_t;

/* Upper bounds of the histogram buckets on the metrics page. */
#define LATENCY_BOUNDS 12
extern const uint32_t latency_bounds_ms[LATENCY_BOUNDS];

/*
 * Latency histograms by team, rank and outcome, owned by one task.  In the
 * proxy, the team is the name of the database.
 */
typedef struct latencies latencies_t;

void counters_report(const counters_t *, arena_t *, Bp__StatusPart *);
msg_t *counters_status_part(const counters_t *, const msg_t *request);

latencies_t *latencies_new(const ProtobufCEnumDescriptor *outcomes);
void latencies_free(latencies_t *);
void latencies_add(latencies_t *, const char *team, uint32_t rank,
    uint32_t outcome, int64_t duration_us);
void latencies_report(const latencies_t *, arena_t *, Bp__StatusPart *);

#endif
