#include "stats.h"

#include <gsl/gsl_histogram.h>
#include <math.h>
#include <string.h>

#define RANKS 3
#define BINS_PER_DECADE 20
#define DECADES 6 /* 0.01 ms to 10 s */
#define BINS ((size_t)BINS_PER_DECADE * DECADES)
#define LOWEST_MS 0.01

typedef struct team {
	gsl_histogram *ranks[RANKS];
	double max_ms[RANKS];
} team_t;

struct latencies {
	GHashTable *teams;
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
	    arena_zero(arena, sizeof(part->counters[0]) * counters->count);
	for (i = 0; i < counters->count; i++) {
		Bp__Counter *counter =
		    (Bp__Counter *)message_new(arena, &bp__counter__descriptor);

		counter->name = (char *)counters->names[i];
		counter->value = counters->values[i];
		part->counters[part->n_counters++] = counter;
	}
}

/*
 * Make a histogram with bins that grow by a constant factor.
 */
static gsl_histogram *
histogram_new(void)
{
	gsl_histogram *histogram = gsl_histogram_alloc(BINS);
	double ranges[BINS + 1];
	size_t i;

	for (i = 0; i <= BINS; i++)
		ranges[i] = LOWEST_MS * pow(10, (double)i / BINS_PER_DECADE);
	ranges[0] = 0;
	gsl_histogram_set_ranges(histogram, ranges, BINS + 1);
	return histogram;
}

/*
 * Free the histograms of one team.
 */
static void
team_free(gpointer p)
{
	team_t *team = p;
	uint32_t i;

	for (i = 0; i < RANKS; i++)
		gsl_histogram_free(team->ranks[i]);
	g_free(team);
}

/*
 * Make an empty set of histograms.
 */
latencies_t *
latencies_new(void)
{
	latencies_t *latencies = g_new0(latencies_t, 1);

	latencies->teams =
	    g_hash_table_new_full(g_str_hash, g_str_equal, g_free, team_free);
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
 * Count one statement.  What is longer than the last bin counts there.
 */
void
latencies_add(
    latencies_t *latencies, const char *name, uint32_t rank, int64_t spent_us)
{
	team_t *team = g_hash_table_lookup(latencies->teams, name);
	double spent_ms = (double)spent_us / US_PER_MS;
	uint32_t i;

	if (team == NULL) {
		team = g_new0(team_t, 1);
		for (i = 0; i < RANKS; i++)
			team->ranks[i] = histogram_new();
		g_hash_table_insert(latencies->teams, g_strdup(name), team);
	}
	team->max_ms[rank] = MAX(team->max_ms[rank], spent_ms);
	spent_ms = MIN(spent_ms, gsl_histogram_max(team->ranks[rank]) * 0.99);
	gsl_histogram_increment(team->ranks[rank], spent_ms);
}

/*
 * The upper end of the bin below which this share of the values lies.
 */
static double
percentile_ms(const gsl_histogram *histogram, double share)
{
	double sum = gsl_histogram_sum(histogram), below = 0;
	double lower, upper = 0;
	uint32_t i;

	for (i = 0; i < BINS; i++) {
		below += gsl_histogram_get(histogram, i);
		if (below >= share * sum) {
			gsl_histogram_get_range(histogram, i, &lower, &upper);
			break;
		}
	}
	return upper;
}

/*
 * Add all histograms that hold something to a part of the status page.
 */
void
latencies_report(
    const latencies_t *latencies, arena_t *arena, Bp__StatusPart *part)
{
	uint32_t teams = g_hash_table_size(latencies->teams), i;
	GHashTableIter iter;
	gpointer name, value;

	part->histograms = arena_zero(
	    arena, sizeof(part->histograms[0]) * (teams + 1) * RANKS);
	g_hash_table_iter_init(&iter, latencies->teams);
	while (g_hash_table_iter_next(&iter, &name, &value)) {
		team_t *team = value;

		for (i = 0; i < RANKS; i++) {
			gsl_histogram *from = team->ranks[i];
			Bp__Histogram *to;

			if (gsl_histogram_sum(from) == 0)
				continue;
			to = (Bp__Histogram *)message_new(
			    arena, &bp__histogram__descriptor);
			to->team = arena_strdup(arena, name);
			to->rank = (Bp__Rank)i;
			to->count = (uint64_t)gsl_histogram_sum(from);
			to->p50_ms = percentile_ms(from, 0.50);
			to->p90_ms = percentile_ms(from, 0.90);
			to->p99_ms = percentile_ms(from, 0.99);
			to->max_ms = team->max_ms[i];
			part->histograms[part->n_histograms++] = to;
		}
	}
}
