#include "stats.h"

#include "decide/decide.h"

#include <gsl/gsl_histogram.h>
#include <math.h>
#include <string.h>

#define BINS_PER_DECADE 20
#define DECADES 6 /* 0.01 ms to 10 s */
#define BINS ((size_t)BINS_PER_DECADE * DECADES)
#define BINS_LOWEST_MS 0.01

const uint32_t latency_bounds_ms[LATENCY_BOUNDS] = {
    1, 2, 5, 10, 20, 50, 100, 200, 500, 1000, 2000, 5000};

/* Latency distribution of the statements of one team, rank and outcome. */
typedef struct latency {
	gsl_histogram *histogram;
	double max_ms;
	double sum_ms;
	uint64_t buckets[LATENCY_BOUNDS]; /* counts, not cumulative */
} latency_t;

struct latencies {
	const ProtobufCEnumDescriptor *outcomes;
	GHashTable *teams; /* by name; arrays of latency_t, indexed by rank and
			      outcome */
};

/*
 * Add a task's counters to its part of the status page.
 */
void
counters_report(
    const counters_t *counters, arena_t *arena, Bp__StatusPart *part)
{
	uint32_t i;

	part->counters =
	    arena_zalloc(arena, sizeof(part->counters[0]) * counters->count);
	for (i = 0; i < counters->count; i++) {
		Bp__Counter *counter =
		    (Bp__Counter *)message_new(arena, &bp__counter__descriptor);

		counter->name = (char *)counters->names[i];
		counter->value = counters->values[i];
		counter->has_gauge = counter->gauge =
		    i + counters->gauges_count >= counters->count;
		part->counters[part->n_counters++] = counter;
	}
}

/*
 * Create a task's reply to StatusRequest: a StatusPart that contains the task's
 * counters.
 */
msg_t *
counters_status_part(const counters_t *counters, const msg_t *request)
{
	msg_t *out = msg_new(&bp__status_part__descriptor);
	Bp__StatusPart *part = (Bp__StatusPart *)out->body;

	part->id = ((const Bp__StatusRequest *)request->body)->id;
	counters_report(counters, out->arena, part);
	return out;
}

/*
 * Create a histogram whose bins grow by a constant factor.
 */
static gsl_histogram *
histogram_new(void)
{
	gsl_histogram *histogram = gsl_histogram_alloc(BINS);
	double ranges[BINS + 1];
	size_t i;

	for (i = 0; i <= BINS; i++)
		ranges[i] =
		    BINS_LOWEST_MS * pow(10, (double)i / BINS_PER_DECADE);
	ranges[0] = 0;
	gsl_histogram_set_ranges(histogram, ranges, BINS + 1);
	return histogram;
}

/*
 * Free the histogram of one team, rank and outcome.
 */
static void
latency_clear(gpointer p)
{
	latency_t *latency = p;

	if (latency->histogram != NULL)
		gsl_histogram_free(latency->histogram);
}

/*
 * Create an empty set of histograms, with one histogram for each value of the
 * outcomes enum.
 */
latencies_t *
latencies_new(const ProtobufCEnumDescriptor *outcomes)
{
	latencies_t *latencies = g_new0(latencies_t, 1);

	latencies->outcomes = outcomes;
	latencies->teams = g_hash_table_new_full(
	    g_str_hash, g_str_equal, g_free, (GDestroyNotify)g_array_unref);
	return latencies;
}

/*
 * Free a set of histograms.
 */
void
latencies_free(latencies_t *latencies)
{
	g_hash_table_unref(latencies->teams);
	g_free(latencies);
}

/*
 * Return the histogram of a team, rank and outcome, creating it if necessary.
 */
static latency_t *
latency_get(
    latencies_t *latencies, const char *name, uint32_t rank, uint32_t outcome)
{
	GArray *team = g_hash_table_lookup(latencies->teams, name);
	uint32_t outcomes = latencies->outcomes->n_values;
	latency_t *latency;

	if (team == NULL) {
		team = g_array_new(FALSE, TRUE, sizeof(latency_t));
		g_array_set_clear_func(team, latency_clear);
		g_array_set_size(team, RANKS * outcomes);
		g_hash_table_insert(latencies->teams, g_strdup(name), team);
	}
	latency = &g_array_index(team, latency_t, rank * outcomes + outcome);
	if (latency->histogram == NULL)
		latency->histogram = histogram_new();
	return latency;
}

/*
 * Record the latency of one statement.  Latencies above the last bin are
 * counted in the last bin.
 */
void
latencies_add(latencies_t *latencies, const char *name, uint32_t rank,
    uint32_t outcome, int64_t duration_us)
{
	latency_t *latency = latency_get(latencies, name, rank, outcome);
	double duration_ms = (double)duration_us / US_PER_MS;
	uint32_t i;

	latency->max_ms = MAX(latency->max_ms, duration_ms);
	latency->sum_ms += duration_ms;
	for (i = 0; i < LATENCY_BOUNDS && duration_ms > latency_bounds_ms[i];
	     i++)
		;
	if (i < LATENCY_BOUNDS)
		latency->buckets[i]++;
	duration_ms =
	    MIN(duration_ms, gsl_histogram_max(latency->histogram) * 0.99);
	gsl_histogram_increment(latency->histogram, duration_ms);
}

/*
 * Return the upper end of the bin that contains the given percentile, as a
 * fraction from 0 to 1.
 */
static double
percentile_ms(const gsl_histogram *histogram, double fraction)
{
	double total = gsl_histogram_sum(histogram), below = 0;
	double lower, upper = 0;
	uint32_t i;

	for (i = 0; i < BINS; i++) {
		below += gsl_histogram_get(histogram, i);
		if (below >= fraction * total) {
			gsl_histogram_get_range(histogram, i, &lower, &upper);
			break;
		}
	}
	return upper;
}

/*
 * Create the status page's entry for one histogram, with percentiles and
 * cumulative buckets.
 */
static Bp__Histogram *
histogram_to_message(const latencies_t *latencies, arena_t *arena,
    const char *name, uint32_t index, const latency_t *from)
{
	Bp__Histogram *to =
	    (Bp__Histogram *)message_new(arena, &bp__histogram__descriptor);
	uint32_t outcomes = latencies->outcomes->n_values, i;
	char *outcome = g_ascii_strdown(
	    latencies->outcomes->values[index % outcomes].name, -1);
	uint64_t sum = 0;

	to->team = arena_strdup(arena, name);
	to->rank = (Bp__Rank)(index / outcomes);
	to->outcome = arena_strdup(arena, outcome);
	to->count = (uint64_t)gsl_histogram_sum(from->histogram);
	to->p50_ms = percentile_ms(from->histogram, 0.50);
	to->p90_ms = percentile_ms(from->histogram, 0.90);
	to->p99_ms = percentile_ms(from->histogram, 0.99);
	to->max_ms = from->max_ms;
	to->sum_ms = from->sum_ms;
	to->buckets =
	    arena_zalloc(arena, sizeof(to->buckets[0]) * LATENCY_BOUNDS);
	for (i = 0; i < LATENCY_BOUNDS; i++) {
		sum += from->buckets[i];
		to->buckets[to->n_buckets++] = sum;
	}
	g_free(outcome);
	return to;
}

/*
 * Add all non-empty histograms to a part of the status page.
 */
void
latencies_report(
    const latencies_t *latencies, arena_t *arena, Bp__StatusPart *part)
{
	uint32_t team_classes = RANKS * latencies->outcomes->n_values, i;
	GHashTableIter iter;
	gpointer name, value;

	part->histograms = arena_zalloc(arena,
	    sizeof(part->histograms[0]) *
		(g_hash_table_size(latencies->teams) + 1) * team_classes);
	g_hash_table_iter_init(&iter, latencies->teams);
	while (g_hash_table_iter_next(&iter, &name, &value)) {
		for (i = 0; i < team_classes; i++) {
			const latency_t *from =
			    &g_array_index((GArray *)value, latency_t, i);

			if (from->histogram != NULL)
				part->histograms[part->n_histograms++] =
				    histogram_to_message(
					latencies, arena, name, i, from);
		}
	}
}
