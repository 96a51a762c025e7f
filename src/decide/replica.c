#include "replica.h"

/*
 * The i-th oldest sample.
 */
static sample_t *
sample_at(const samples_t *samples, uint32_t i)
{
	return (sample_t *)&samples->list[(samples->first + i) % SAMPLES_MAX];
}

/*
 * Add a sample, newest last.  Closer than spacing_us to the one before the
 * last, it takes the place of the last, so that the ring spans some time.
 */
void
samples_add(samples_t *samples, sample_t sample, int64_t spacing_us)
{
	if (samples->count > 0 &&
	    sample.at_us <= sample_at(samples, samples->count - 1)->at_us)
		return;
	if (samples->count > 1 &&
	    sample.at_us - sample_at(samples, samples->count - 2)->at_us <
		spacing_us) {
		*sample_at(samples, samples->count - 1) = sample;
		return;
	}
	if (samples->count == SAMPLES_MAX) {
		samples->first = (samples->first + 1) % SAMPLES_MAX;
		samples->count--;
	}
	*sample_at(samples, samples->count++) = sample;
}

/*
 * How old the newest sample is; INT64_MAX when there is none.
 */
int64_t
samples_age_us(const samples_t *samples, int64_t now_us)
{
	return samples->count == 0
	    ? INT64_MAX
	    : now_us - sample_at(samples, samples->count - 1)->at_us;
}

/*
 * The position that a database must have reached to be at most max_age_us
 * old: that of the oldest sample taken no earlier than now - max_age.
 * Returns false when there is no such sample.
 */
bool
samples_needed(const samples_t *samples, int64_t now_us, int64_t max_age_us,
    position_t *needed)
{
	uint32_t i;

	for (i = 0; i < samples->count; i++) {
		if (sample_at(samples, i)->at_us >= now_us - max_age_us) {
			*needed = sample_at(samples, i)->position;
			return true;
		}
	}
	return false;
}

/*
 * Make a sample of what is known: a majority, each asked at at_us or later,
 * still promised the primary's term, and the primary, asked no earlier,
 * stood at the position.  Returns false when no majority did.
 */
bool
sample_take(
    const db_view_t *views, uint32_t count, uint32_t primary, sample_t *sample)
{
	const db_view_t *of = &views[primary];
	uint32_t i, j, younger, needed = majority_of(count);
	bool found = false;

	if (!of->known || !of->primary || of->last.term != of->promised)
		return false;
	for (i = 0; i < count; i++) {
		if (!views[i].known || views[i].promised != of->promised)
			continue;
		for (j = younger = 0; j < count; j++)
			younger += views[j].known &&
			    views[j].promised == of->promised &&
			    views[j].asked_us >= views[i].asked_us;
		if (younger >= needed &&
		    (!found || views[i].asked_us > sample->at_us)) {
			sample->at_us = views[i].asked_us;
			found = true;
		}
	}
	if (found && of->asked_us < sample->at_us)
		sample->at_us = of->asked_us;
	sample->position = of->last;
	return found;
}

/*
 * The least loaded replica that has reached a position; REPLICA_BUSY when
 * those that have are full, REPLICA_NONE when there are none.  The primary
 * is never chosen here; the caller falls back to it.
 */
int32_t
replica_choose(const db_view_t *views, const replica_load_t *loads,
    uint32_t count, int32_t primary, position_t needed)
{
	int32_t best = REPLICA_NONE;
	uint32_t i;

	for (i = 0; i < count; i++) {
		if ((int32_t)i == primary || !loads[i].usable ||
		    !views[i].known ||
		    position_compare(views[i].last, needed) < 0)
			continue;
		if (loads[i].in_flight >= loads[i].slots) {
			if (best == REPLICA_NONE)
				best = REPLICA_BUSY;
			continue;
		}
		if (best < 0 || loads[i].in_flight < loads[best].in_flight ||
		    (loads[i].in_flight == loads[best].in_flight &&
			position_compare(views[i].last, views[best].last) > 0))
			best = (int32_t)i;
	}
	return best;
}
