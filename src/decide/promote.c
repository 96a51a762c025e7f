#include "promote_choice.h"

#include <string.h>

#define BACKOFF_DOUBLINGS_MAX 4
#define REFUSED_SUSPECT 2
#define FOLLOW_REPEAT_US (US_PER_SECOND / 5)
#define ODD_PROMISE_US (US_PER_SECOND / 2)
#define LEARNING_US (US_PER_SECOND / 4)

/*
 * Enter a state.
 */
static void
enter(promote_t *promote, promote_state_t state, int64_t now_us)
{
	promote->state = state;
	promote->since_us = now_us;
}

/*
 * Begin with nothing known.  The seed gives the back-offs.
 */
void
promote_init(promote_t *promote, const promote_limits_t *limits, uint32_t count,
    uint32_t seed, int64_t now_us)
{
	uint32_t i;

	memset(promote, 0, sizeof(*promote));
	promote->limits = *limits;
	promote->count = count;
	promote->rand = g_rand_new_with_seed(seed);
	promote->wait_us = now_us + LEARNING_US;
	promote->avoid = -1;
	promote->stepping_down = -1;
	for (i = 0; i < count; i++)
		promote->heard_us[i] = now_us;
	enter(promote, PROMOTE_LEARNING, now_us);
}

/*
 * Free what promote_init() made.
 */
void
promote_clear(promote_t *promote)
{
	g_rand_free(promote->rand);
	promote->rand = NULL;
}

/*
 * Where a database has moved to, or -1 when it is gone.
 */
static int32_t
moved_to(const int32_t *from, uint32_t count, int32_t old)
{
	uint32_t i;

	for (i = 0; i < count; i++) {
		if (old >= 0 && from[i] == old)
			return (int32_t)i;
	}
	return -1;
}

/*
 * The group has other databases from now on: the i-th was number from[i]
 * before, or is new when that is negative.  A change under way goes on unless
 * the database it was to end with is gone.
 */
void
promote_remap(
    promote_t *promote, const int32_t *from, uint32_t count, int64_t now_us)
{
	promote_t old = *promote;
	int32_t chosen = moved_to(from, count, (int32_t)old.chosen);
	uint32_t i;

	promote->count = count;
	promote->avoid = moved_to(from, count, old.avoid);
	promote->stepping_down = moved_to(from, count, old.stepping_down);
	for (i = 0; i < count; i++) {
		int32_t j = from[i];

		memset(&promote->views[i], 0, sizeof(promote->views[i]));
		promote->heard_us[i] = now_us;
		promote->refused[i] = 0;
		promote->granted[i] = false;
		promote->follow_us[i] = promote->moved_us[i] = 0;
		if (j < 0)
			continue;
		promote->views[i] = old.views[j];
		promote->heard_us[i] = old.heard_us[j];
		promote->refused[i] = old.refused[j];
		promote->granted[i] = old.granted[j];
		promote->granted_at[i] = old.granted_at[j];
		promote->follow_us[i] = old.follow_us[j];
		promote->moved_us[i] = old.moved_us[j];
	}
	if ((old.state == PROMOTE_RAISING && chosen < 0) ||
	    (old.stepping_down >= 0 && promote->stepping_down < 0)) {
		promote->wait_us = now_us;
		enter(promote, PROMOTE_LEARNING, now_us);
	}
	promote->chosen = chosen < 0 ? 0 : (uint32_t)chosen;
}

/*
 * The database that is primary in the highest term known, or -1.  It is only
 * a hint: a majority may already be past its term.
 */
int32_t
promote_primary(const promote_t *promote)
{
	int32_t best = -1;
	uint32_t i;

	for (i = 0; i < promote->count; i++) {
		const db_view_t *view = &promote->views[i];

		if (view->known && view->primary &&
		    (best < 0 ||
			view->promised > promote->views[best].promised))
			best = (int32_t)i;
	}
	return best;
}

/*
 * The highest term that any database was seen to promise.
 */
static uint64_t
highest_promise(const promote_t *promote)
{
	uint64_t term = 0;
	uint32_t i;

	for (i = 0; i < promote->count; i++) {
		if (promote->views[i].known)
			term = MAX(term, promote->views[i].promised);
	}
	return term;
}

/*
 * How many databases are known.
 */
static uint32_t
known_count(const promote_t *promote)
{
	uint32_t i, n = 0;

	for (i = 0; i < promote->count; i++)
		n += promote->views[i].known;
	return n;
}

/*
 * Wait a random time before anything else is tried; it doubles with each
 * failure, so that two daemons that race soon leave each other room.
 */
static void
back_off(promote_t *promote, int64_t now_us)
{
	uint32_t doublings = MIN(promote->failures, BACKOFF_DOUBLINGS_MAX);
	int64_t base_us = promote->limits.backoff_us << doublings;

	promote->failures++;
	promote->avoid = -1;
	promote->stepping_down = -1;
	promote->wait_us = now_us +
	    (int64_t)(g_rand_double(promote->rand) * (double)base_us) +
	    promote->limits.backoff_us / 4;
	enter(promote, PROMOTE_BACKOFF, now_us);
}

/*
 * A database answered a question about its state.
 */
void
promote_heard(promote_t *promote, uint32_t database, const db_view_t *heard,
    int64_t now_us)
{
	db_view_t *view = &promote->views[database];
	position_t before = view->last;

	view_update(view, heard);
	promote->heard_us[database] = now_us;
	promote->refused[database] = 0;
	if (position_compare(view->last, before) != 0)
		promote->moved_us[database] = now_us;
}

/*
 * As promote_heard(), of a database that may take a promise back: the later
 * question decides alone.
 */
void
promote_observed(promote_t *promote, uint32_t database, const db_view_t *heard,
    int64_t now_us)
{
	db_view_t *view = &promote->views[database];

	promote_alive(promote, database, now_us);
	if (view->known && heard->asked_us < view->asked_us)
		return;
	if (position_compare(view->last, heard->last) != 0)
		promote->moved_us[database] = now_us;
	*view = *heard;
	view->known = true;
}

/*
 * Most daemons, or all, have given back what they believed of the primary
 * before a term, and know of nobody else who changes it.
 */
void
promote_settled(promote_t *promote, uint64_t term, bool all, int64_t now_us)
{
	if (promote->state != PROMOTE_FENCING || term != promote->term)
		return;
	promote->settled_us = now_us;
	promote->settled |= all;
}

/*
 * A daemon knows of somebody else who changes the primary.
 */
void
promote_outdated(promote_t *promote, uint64_t term, int64_t now_us)
{
	if (promote->state == PROMOTE_FENCING && term == promote->term)
		back_off(promote, now_us);
}

/*
 * An answer of any kind showed where the log of a database stands.
 */
void
promote_positioned(promote_t *promote, uint32_t database, position_t position)
{
	db_view_t *view = &promote->views[database];

	if (!view->known || position_compare(position, view->last) <= 0)
		return;
	view->last = position;
	if (position.term <= view->promised)
		return;
	/* who leads that term is not told by a position */
	view->promised = position.term;
	view->primary = false;
}

/*
 * A database was asked nothing, so its silence says nothing.
 */
void
promote_idle(promote_t *promote, uint32_t database, int64_t now_us)
{
	promote->heard_us[database] = now_us;
}

/*
 * A database gave a sign of life.
 */
void
promote_alive(promote_t *promote, uint32_t database, int64_t now_us)
{
	promote->heard_us[database] = now_us;
	promote->refused[database] = 0;
}

/*
 * A database refused a connection: stronger than silence.
 */
void
promote_refused(promote_t *promote, uint32_t database, int64_t now_us)
{
	(void)now_us;
	promote->refused[database]++;
}

/*
 * Tell whether the primary has given no sign of life for this long.
 */
static bool
primary_silent(const promote_t *promote, int64_t now_us, int64_t bound_us)
{
	int32_t primary = promote_primary(promote);

	if (primary < 0)
		return true;
	return promote->refused[primary] >= REFUSED_SUSPECT ||
	    now_us - promote->heard_us[primary] >= bound_us;
}

/*
 * The oldest statement that waits for a majority was sent at this time; 0
 * when none waits.
 */
void
promote_waiting(promote_t *promote, int64_t since_us)
{
	promote->stall_since_us = since_us;
}

/*
 * Tell whether the primary is cut off from the rest of its group: it answers
 * us, is ahead, and for long no other database that answers has got any
 * further.  A replica that merely lags does get further.
 */
static bool
primary_cut_off(const promote_t *promote, int64_t now_us)
{
	int64_t bound_us = promote->limits.distrust_us;
	int32_t primary = promote_primary(promote);
	uint32_t i, behind = 0;

	if (promote->stall_since_us == 0 ||
	    now_us - promote->stall_since_us < bound_us)
		return false;
	for (i = 0; i < promote->count; i++) {
		if ((int32_t)i == primary ||
		    now_us - promote->heard_us[i] >= bound_us)
			continue;
		if (now_us - promote->moved_us[i] < bound_us ||
		    position_compare(promote->views[i].last,
			promote->views[primary].last) >= 0)
			return false;
		behind++;
	}
	return behind >= majority_of(promote->count);
}

/*
 * Ask every database to promise a term above all seen; a primary that is cut
 * off is left out, or it would be chosen again.
 */
static void
begin_fencing(promote_t *promote, int64_t now_us, promote_actions_t *actions)
{
	uint32_t i;

	promote->term = highest_promise(promote) + 1;
	memset(promote->granted, 0, sizeof(promote->granted));
	promote->settling = promote->settled = false;
	promote->settled_us = 0;
	promote->stepping_down = -1;
	if (promote->handover && promote->limits.catch_up_us > 0)
		promote->stepping_down = promote_primary(promote);
	for (i = 0; i < promote->count; i++) {
		if ((int32_t)i == promote->avoid ||
		    (promote->stepping_down >= 0 &&
			(int32_t)i != promote->stepping_down))
			continue;
		actions->list[actions->count++] =
		    (promote_action_t){PROMOTE_FENCE, i, promote->term};
	}
	enter(promote, PROMOTE_FENCING, now_us);
}

/*
 * The witness answered.  When it reaches the primary, the change waits until
 * the silence has lasted long enough to stand against the witness.
 */
void
promote_witness_heard(
    promote_t *promote, uint64_t witness, bool reached, int64_t now_us)
{
	if (promote->state != PROMOTE_WITNESS || witness != promote->witness)
		return;
	if (reached) {
		promote->wait_us = now_us + promote->limits.suspect_us;
		enter(promote, PROMOTE_BACKOFF, now_us);
	} else {
		/* the next tick goes on at once */
		promote->since_us = now_us - promote->limits.witness_us;
	}
}

/*
 * A database answered a fence.  Only a grant of the term now being tried
 * counts, with the position the database had when it promised.
 */
void
promote_fenced(promote_t *promote, uint32_t database, uint64_t term,
    bool granted, const db_view_t *view, int64_t now_us)
{
	promote_heard(promote, database, view, now_us);
	if (promote->state != PROMOTE_FENCING || term != promote->term)
		return;
	if (granted) {
		promote->granted[database] = true;
		promote->granted_at[database] = view->last;
		promote->granted_us = now_us;
	} else if (view->promised >= term) {
		back_off(promote, now_us); /* another daemon is ahead */
	}
}

/*
 * The chosen database answered.
 */
void
promote_raised(promote_t *promote, uint32_t database, uint64_t term, bool ok,
    const db_view_t *view, int64_t now_us)
{
	promote_heard(promote, database, view, now_us);
	if (promote->state != PROMOTE_RAISING || term != promote->term ||
	    database != promote->chosen)
		return;
	if (!ok) {
		promote->ordered = promote->ordered_before;
		back_off(promote, now_us);
		return;
	}
	promote->ordered = 0;
	promote->failures = 0;
	promote->handover = false;
	promote->avoid = -1;
	promote->stall_since_us = 0;
	enter(promote, PROMOTE_STEADY, now_us);
}

/*
 * The primary is leaving, has no work left, and a database that stays holds
 * all it holds: change over now.
 */
void
promote_handover(promote_t *promote, int64_t now_us)
{
	(void)now_us;
	promote->handover = true;
}

/*
 * Tell every database that is behind the primary's term to follow it; an old
 * primary that came back steps down by this.
 */
static void
follow_stragglers(
    promote_t *promote, int64_t now_us, promote_actions_t *actions)
{
	int32_t primary = promote_primary(promote);
	uint64_t term = promote->views[primary].promised;
	uint32_t i;

	for (i = 0; i < promote->count; i++) {
		if ((int32_t)i == primary || !promote->views[i].known ||
		    promote->views[i].promised >= term ||
		    now_us - promote->follow_us[i] < FOLLOW_REPEAT_US)
			continue;
		promote->follow_us[i] = now_us;
		actions->list[actions->count++] =
		    (promote_action_t){PROMOTE_FOLLOW, i, term};
	}
}

/*
 * Tell whether the log of a database has entries of a newer term than the
 * primary's: that one has been replaced, even if the new one has not yet told
 * so itself.
 */
static bool
overtaken(const promote_t *promote)
{
	int32_t primary = promote_primary(promote);
	uint32_t i;

	for (i = 0; primary >= 0 && i < promote->count; i++) {
		if (promote->views[i].known &&
		    promote->views[i].last.term >
			promote->views[primary].promised)
			return true;
	}
	return false;
}

/*
 * Take back the promises above the primary's term.
 */
static void
release_promises(promote_t *promote, promote_actions_t *actions)
{
	int32_t primary = promote_primary(promote);
	uint32_t i;

	for (i = 0; i < promote->count; i++) {
		if (promote->views[i].known &&
		    promote->views[i].promised >
			promote->views[primary].promised)
			actions->list[actions->count++] =
			    (promote_action_t){PROMOTE_RELEASE, i, 0};
	}
}

/*
 * Tell whether a database has for some time promised a term above the
 * primary's: a change that was begun and never ended.  That database takes
 * no replication until a still higher term begins.
 */
static bool
promise_stuck(promote_t *promote, int64_t now_us)
{
	int32_t primary = promote_primary(promote);

	if (highest_promise(promote) <= promote->views[primary].promised) {
		promote->odd_us = 0;
		return false;
	}
	if (promote->odd_us == 0)
		promote->odd_us = now_us;
	return now_us - promote->odd_us >= ODD_PROMISE_US;
}

/*
 * LEARNING and BACKOFF: go on when a primary shows itself, or try when the
 * wait is over and a majority is known.
 */
static void
tick_waiting(promote_t *promote, int64_t now_us, promote_actions_t *actions)
{
	int32_t primary = promote_primary(promote);

	if (primary >= 0 &&
	    (promote->limits.revocable ||
		promote->views[primary].promised == highest_promise(promote)) &&
	    !primary_silent(promote, now_us, promote->limits.suspect_us) &&
	    !promote->handover) {
		promote->failures = 0;
		enter(promote, PROMOTE_STEADY, now_us);
		return;
	}
	if (now_us < promote->wait_us ||
	    known_count(promote) < majority_of(promote->count))
		return;
	if (primary >= 0 && promote->failures == 0 && !promote->handover &&
	    !primary_silent(promote, now_us, promote->limits.distrust_us)) {
		/* the witness reached it: ask again while the silence lasts */
		promote->witness++;
		actions->list[actions->count++] = (promote_action_t){
		    PROMOTE_ASK_WITNESS, (uint32_t)primary, 0};
		enter(promote, PROMOTE_WITNESS, now_us);
		return;
	}
	begin_fencing(promote, now_us, actions);
}

/*
 * STEADY: keep the others behind the primary, and watch it.
 */
static void
tick_steady(promote_t *promote, int64_t now_us, promote_actions_t *actions)
{
	int32_t primary = promote_primary(promote);

	if (primary < 0) {
		promote->wait_us = now_us;
		enter(promote, PROMOTE_LEARNING, now_us);
		return;
	}
	if (overtaken(promote)) {
		promote->wait_us = now_us + LEARNING_US;
		enter(promote, PROMOTE_LEARNING, now_us);
		return;
	}
	if (promote->limits.revocable && promote->ordered == 0 &&
	    promise_stuck(promote, now_us)) {
		promote->odd_us = 0;
		release_promises(promote, actions);
	}
	if (promote->handover || promise_stuck(promote, now_us)) {
		promote->odd_us = 0;
		begin_fencing(promote, now_us, actions);
		return;
	}
	if (primary_cut_off(promote, now_us)) {
		promote->avoid = primary;
		begin_fencing(promote, now_us, actions);
		return;
	}
	follow_stragglers(promote, now_us, actions);
	if (primary_silent(promote, now_us, promote->limits.suspect_us)) {
		promote->witness++;
		actions->list[actions->count++] = (promote_action_t){
		    PROMOTE_ASK_WITNESS, (uint32_t)primary, 0};
		enter(promote, PROMOTE_WITNESS, now_us);
	}
}

/*
 * WITNESS: the primary spoke again, or the witness did not reach it either,
 * or there is none.
 */
static void
tick_witness(promote_t *promote, int64_t now_us, promote_actions_t *actions)
{
	if (!primary_silent(promote, now_us, promote->limits.suspect_us))
		enter(promote, PROMOTE_STEADY, now_us);
	else if (now_us - promote->since_us >= promote->limits.witness_us)
		begin_fencing(promote, now_us, actions);
}

/*
 * Take back the grants of a term that leads nowhere, where that can be done:
 * not while an earlier order may come into effect, since then they are what
 * keeps the primary before from going on.
 */
static void
release_grants(promote_t *promote, promote_actions_t *actions)
{
	uint32_t i;

	if (!promote->limits.revocable || promote->ordered != 0)
		return;
	for (i = 0; i < promote->count; i++) {
		if (promote->granted[i] && (int32_t)i != promote->stepping_down)
			actions->list[actions->count++] = (promote_action_t){
			    PROMOTE_RELEASE, i, promote->term};
	}
}

/*
 * FENCING: with a majority, raise the one that is furthest.
 */
static void
tick_fencing(promote_t *promote, int64_t now_us, promote_actions_t *actions)
{
	int32_t chosen = ready_to_raise(promote, now_us);
	bool enough = grants_suffice(promote);

	if (enough && !promote->settling && promote->limits.settle_us > 0) {
		promote->settling = true;
		actions->list[actions->count++] =
		    (promote_action_t){PROMOTE_SETTLE, 0, promote->term};
	}
	if (chosen >= 0) {
		promote->chosen = (uint32_t)chosen;
		actions->list[actions->count++] = (promote_action_t){
		    PROMOTE_RAISE, promote->chosen, promote->term};
		promote->ordered_before = promote->ordered;
		promote->ordered = promote->term;
		enter(promote, PROMOTE_RAISING, now_us);
	} else if (now_us - promote->since_us >= promote->limits.fence_us +
		(enough ? promote->limits.settle_us : 0)) {
		release_grants(promote, actions);
		back_off(promote, now_us);
	}
}

/*
 * Tell whether the primary is silent while a majority of the group answers:
 * a change of primary could be carried out.
 */
bool
promote_suspects(const promote_t *promote, int64_t now_us)
{
	uint32_t i, heard = 0;

	for (i = 0; i < promote->count; i++)
		heard += promote->views[i].known &&
		    now_us - promote->heard_us[i] < promote->limits.suspect_us;
	return promote_primary(promote) >= 0 &&
	    heard >= majority_of(promote->count) &&
	    primary_silent(promote, now_us, promote->limits.suspect_us);
}

/*
 * Decide what to do now.  Called often; actions are appended to an empty
 * list.
 */
void
promote_tick(promote_t *promote, int64_t now_us, promote_actions_t *actions)
{
	actions->count = 0;
	switch (promote->state) {
	case PROMOTE_LEARNING:
	case PROMOTE_BACKOFF:
		tick_waiting(promote, now_us, actions);
		break;
	case PROMOTE_STEADY:
		tick_steady(promote, now_us, actions);
		break;
	case PROMOTE_WITNESS:
		tick_witness(promote, now_us, actions);
		break;
	case PROMOTE_FENCING:
		tick_fencing(promote, now_us, actions);
		break;
	case PROMOTE_RAISING:
		if (now_us - promote->since_us >= promote->limits.raise_us)
			back_off(promote, now_us);
		break;
	}
}
