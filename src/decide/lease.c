#include "decide.h"

/*
 * Until when it is certain that no other primary has begun.  A change of
 * primary first has a majority promise a newer term, and then waits span_us:
 * so the term stands for that long after questions, put to so many replicas
 * that every majority meets one of them or the primary itself, found no newer
 * promise.  Returns 0 when that is not known, INT64_MAX for a primary alone.
 */
int64_t
lease_until_us(
    const db_view_t *views, uint32_t count, uint32_t primary, int64_t span_us)
{
	uint32_t needed = majority_of(count) - 1, i, j, younger;
	int64_t asked_us = 0;

	if (!views[primary].known || !views[primary].primary)
		return 0;
	if (needed == 0)
		return INT64_MAX;
	for (i = 0; i < count; i++) {
		if (i == primary || !views[i].known ||
		    views[i].promised > views[primary].promised)
			continue;
		for (j = younger = 0; j < count; j++)
			younger += j != primary && views[j].known &&
			    views[j].promised <= views[primary].promised &&
			    views[j].asked_us >= views[i].asked_us;
		if (younger >= needed && views[i].asked_us > asked_us)
			asked_us = views[i].asked_us;
	}
	return asked_us == 0 ? 0 : asked_us + span_us;
}
