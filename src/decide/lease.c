#include "decide.h"

/* A change of primary that was begun has shown itself by then, or failed. */
#define BARRED_US (2 * US_PER_SECOND)

/*
 * How long a lease lasts after a question that was put at asked_us.
 */
static int64_t
span_of(const lease_span_t *span, int64_t asked_us)
{
	return span->known_us != 0 && asked_us >= span->known_us
	    ? span->long_us
	    : span->short_us;
}

/*
 * Until when it is certain that no other primary has begun.  A change of
 * primary first has a majority promise a newer term, and then waits the span:
 * so the term stands for that long after questions, put to so many replicas
 * that every majority meets one of them or the primary itself, found no newer
 * promise.  Returns 0 when that is not known.  A primary that is alone in its
 * group needs no questions.
 */
static int64_t
certain_until_us(const db_view_t *views, uint32_t count, uint32_t primary,
    int64_t now_us, const lease_span_t *span)
{
	uint32_t needed = majority_of(count) - 1, i, j, younger;
	uint64_t term = views[primary].promised;
	int64_t asked_us = 0;

	if (needed == 0)
		return now_us + span_of(span, now_us);
	for (i = 0; i < count; i++) {
		if (i == primary || !views[i].known || views[i].promised > term)
			continue;
		for (j = younger = 0; j < count; j++)
			younger += j != primary && views[j].known &&
			    views[j].promised <= term &&
			    views[j].asked_us >= views[i].asked_us;
		if (younger >= needed && views[i].asked_us > asked_us)
			asked_us = views[i].asked_us;
	}
	return asked_us == 0 ? 0 : asked_us + span_of(span, asked_us);
}

/*
 * Note promises above the primary's term.  They bar its lease also when they
 * are no longer seen, since a change of primary ends them: until every
 * database has denied that there was one, or, when one does not answer, a
 * majority for some time.
 */
static bool
barred(lease_t *lease, const db_view_t *views, uint32_t count, uint64_t term,
    int64_t now_us)
{
	uint32_t i, denied = 0;

	for (i = 0; i < count; i++) {
		if (!views[i].known || views[i].promised <= term)
			continue;
		/* the latest sign counts */
		if (lease->barred < term ||
		    views[i].asked_us > lease->barred_us)
			lease->barred_us = views[i].asked_us;
		lease->barred = term;
	}
	if (lease->barred < term || lease->barred == 0)
		return false;
	for (i = 0; i < count; i++)
		denied += views[i].known && views[i].promised <= term &&
		    views[i].asked_us > lease->barred_us;
	if (denied < majority_of(count) ||
	    (denied < count && now_us - lease->barred_us < BARRED_US))
		return true;
	lease->barred = 0;
	return false;
}

/*
 * Renew a lease by what is known of the databases.  Returns whether it has
 * changed.  A lease of an older term never comes back.
 */
bool
lease_renew(lease_t *lease, const db_view_t *views, uint32_t count,
    uint32_t primary, int64_t now_us, const lease_span_t *span)
{
	const db_view_t *view = &views[primary];
	int64_t until_us;

	if (!view->known || !view->primary || view->promised < lease->term ||
	    barred(lease, views, count, view->promised, now_us))
		return false;
	until_us = certain_until_us(views, count, primary, now_us, span);
	if (view->promised == lease->term && until_us <= lease->until_us)
		return false;
	lease->term = view->promised;
	lease->until_us = until_us;
	return true;
}

/*
 * Void a lease of a term below this one: a change of primary is under way.
 */
void
lease_revoke(lease_t *lease, uint64_t term, int64_t now_us)
{
	if (lease->term >= term)
		return;
	lease->until_us = 0;
	lease->barred = term - 1; /* also of a term not seen yet */
	lease->barred_us = now_us;
}

/*
 * The daemon is no longer listed among those that are asked to give back
 * their leases: one that rests on being listed is over.
 */
void
lease_unlisted(lease_t *lease)
{
	lease->until_us = 0;
}
