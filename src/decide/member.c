#include "member.h"

#include <string.h>

#define HELPERS 2
#define TOLD_FACTOR 4 /* times log2 of the members that news is passed on */

typedef enum probe_state {
	PROBE_NONE,
	PROBE_DIRECT,
	PROBE_THROUGH,
} probe_state_t;

struct members {
	member_limits_t limits;
	GRand *rand;
	GHashTable *by_name;
	GPtrArray *list;  /* of member_t; self is the first */
	GPtrArray *round; /* still to probe in this round */
	GQueue changed;   /* of member_t */
	probe_state_t probe;
	member_t *target;
	uint64_t sequence;
	int64_t probe_us;
	int64_t next_us;
	uint32_t helpers_asked;
	uint32_t helpers_failed;
	bool unanswered; /* to be told once */
	GQueue helpers;  /* of member_t, still to be asked */
};

/*
 * Free one member.
 */
static void
member_free(gpointer p)
{
	member_t *member = p;

	g_free((char *)member->news.name);
	g_free((char *)member->news.address);
	g_free((char *)member->news.zone);
	g_free(member);
}

/*
 * Add a member to the table.
 */
static member_t *
member_add(members_t *members, const member_news_t *news, int64_t now_us)
{
	member_t *member = g_new0(member_t, 1);

	member->news = *news;
	member->news.name = g_strdup(news->name);
	member->news.address = g_strdup(news->address);
	member->news.zone = g_strdup(news->zone);
	member->since_us = now_us;
	g_ptr_array_add(members->list, member);
	g_hash_table_insert(
	    members->by_name, (char *)member->news.name, member);
	return member;
}

/*
 * Make a table that knows only this daemon itself.
 */
members_t *
members_new(
    const member_limits_t *limits, const member_news_t *self, uint32_t seed)
{
	members_t *members = g_new0(members_t, 1);

	members->limits = *limits;
	members->rand = g_rand_new_with_seed(seed);
	members->by_name = g_hash_table_new(g_str_hash, g_str_equal);
	members->list = g_ptr_array_new_with_free_func(member_free);
	members->round = g_ptr_array_new();
	g_queue_init(&members->changed);
	g_queue_init(&members->helpers);
	member_add(members, self, 0);
	return members;
}

/*
 * Free the table.
 */
void
members_free(members_t *members)
{
	g_rand_free(members->rand);
	g_hash_table_unref(members->by_name);
	g_ptr_array_unref(members->round);
	g_queue_clear(&members->changed);
	g_queue_clear(&members->helpers);
	g_ptr_array_unref(members->list);
	g_free(members);
}

/*
 * This daemon's own entry.
 */
const member_t *
members_self(const members_t *members)
{
	return g_ptr_array_index(members->list, 0);
}

/*
 * The member of this name, or NULL.
 */
const member_t *
members_find(const members_t *members, const char *name)
{
	return g_hash_table_lookup(members->by_name, name);
}

/*
 * How many members the table holds, with this daemon and the dead.
 */
uint32_t
members_count(const members_t *members)
{
	return members->list->len;
}

/*
 * The i-th member.
 */
const member_t *
members_at(const members_t *members, uint32_t i)
{
	return g_ptr_array_index(members->list, i);
}

/*
 * Give a member a state; its news is then passed on anew.
 */
static void
member_set(
    members_t *members, member_t *member, member_state_t state, int64_t now_us)
{
	member->news.state = state;
	member->since_us = now_us;
	member->told = 0;
	if (g_queue_find(&members->changed, member) == NULL)
		g_queue_push_tail(&members->changed, member);
}

/*
 * News about this daemon itself: deny what is not so under a higher
 * incarnation, which outdoes every older word.
 */
static bool
hear_of_self(members_t *members, const member_news_t *news)
{
	member_t *self = g_ptr_array_index(members->list, 0);

	if (news->incarnation < self->news.incarnation ||
	    (news->incarnation == self->news.incarnation &&
		news->state <= self->news.state))
		return false;
	self->news.incarnation = news->incarnation + 1;
	self->told = 0;
	return true;
}

/*
 * Take in news about a member.  A higher incarnation decides, then the worse
 * state.  Returns whether anything changed.
 */
bool
members_hear(members_t *members, const member_news_t *news, int64_t now_us)
{
	member_t *member = g_hash_table_lookup(members->by_name, news->name);

	if (member == members_self(members))
		return hear_of_self(members, news);
	if (member == NULL) {
		if (news->state == MEMBER_DEAD)
			return false;
		member = member_add(members, news, now_us);
		member_set(members, member, news->state, now_us);
		return true;
	}
	if (news->incarnation < member->news.incarnation ||
	    (news->incarnation == member->news.incarnation &&
		news->state <= member->news.state))
		return false;
	if (news->incarnation > member->news.incarnation) {
		member->news.incarnation = news->incarnation;
		if (strcmp(member->news.address, news->address) != 0) {
			g_free((char *)member->news.address);
			member->news.address = g_strdup(news->address);
		}
		member->news.port = news->port;
	}
	member_set(members, member, news->state, now_us);
	return true;
}

/*
 * A member answered a probe itself.
 */
void
members_acked(members_t *members, const char *name)
{
	if (members->probe != PROBE_NONE &&
	    strcmp(members->target->news.name, name) == 0)
		members->probe = PROBE_NONE;
}

/*
 * A helper reached the target of this probe.
 */
void
members_reached(members_t *members, uint64_t sequence)
{
	if (members->probe == PROBE_THROUGH && sequence == members->sequence)
		members->probe = PROBE_NONE;
}

/*
 * A connection to a member broke: probe it next.
 */
void
members_lost(members_t *members, const char *name, int64_t now_us)
{
	member_t *member = g_hash_table_lookup(members->by_name, name);

	if (member == NULL || member->news.state == MEMBER_DEAD)
		return;
	g_ptr_array_remove(members->round, member);
	g_ptr_array_add(members->round, member);
	if (members->probe == PROBE_NONE)
		members->next_us = now_us;
}

/*
 * A helper did not reach the target of this probe either.
 */
void
members_helper_failed(members_t *members, uint64_t sequence)
{
	if (members->probe == PROBE_THROUGH && sequence == members->sequence)
		members->helpers_failed++;
}

/*
 * This daemon leaves: say so to the others.
 */
void
members_leave(members_t *members)
{
	member_t *self = g_ptr_array_index(members->list, 0);

	self->news.incarnation++;
	self->news.state = MEMBER_DRAINED;
	self->told = 0;
}

/*
 * Begin a new round: all others but the dead, in random order.
 */
static void
round_fill(members_t *members)
{
	uint32_t i, j;

	for (i = 1; i < members->list->len; i++) {
		member_t *member = g_ptr_array_index(members->list, i);

		if (member->news.state != MEMBER_DEAD)
			g_ptr_array_add(members->round, member);
	}
	for (i = members->round->len; i > 1; i--) {
		gpointer *items = members->round->pdata, swap;

		j = (uint32_t)g_rand_int_range(members->rand, 0, (gint32)i);
		swap = items[i - 1];
		items[i - 1] = items[j];
		items[j] = swap;
	}
}

/*
 * Choose up to HELPERS other living members at random.
 */
static void
helpers_choose(members_t *members)
{
	uint32_t i, tries;

	g_queue_clear(&members->helpers);
	members->helpers_asked = members->helpers_failed = 0;
	for (tries = 0;
	     tries < 8 * HELPERS && members->helpers.length < HELPERS;
	     tries++) {
		member_t *helper;

		i = (uint32_t)g_rand_int_range(
		    members->rand, 0, (gint32)members->list->len);
		helper = g_ptr_array_index(members->list, i);
		if (i > 0 && helper != members->target &&
		    helper->news.state == MEMBER_ALIVE &&
		    g_queue_find(&members->helpers, helper) == NULL)
			g_queue_push_tail(&members->helpers, helper);
	}
	members->helpers_asked = members->helpers.length;
}

/*
 * Nobody was heard of the target in time.  Where helpers were asked, one of
 * them must have failed to reach it too: else the fault may be ours.
 */
static void
probe_failed(members_t *members, int64_t now_us)
{
	member_t *target = members->target;

	members->probe = PROBE_NONE;
	if (members->helpers_asked > 0 && members->helpers_failed == 0)
		return;
	if (target->news.state == MEMBER_ALIVE)
		member_set(members, target, MEMBER_SUSPECT, now_us);
	else if (target->news.state == MEMBER_DRAINED)
		member_set(members, target, MEMBER_DEAD, now_us);
}

/*
 * Move the probe that is under way.
 */
static void
probe_advance(members_t *members, int64_t now_us)
{
	if (members->probe == PROBE_NONE ||
	    now_us - members->probe_us < members->limits.timeout_us)
		return;
	if (members->probe == PROBE_DIRECT) {
		members->probe = PROBE_THROUGH;
		members->probe_us = now_us;
		members->unanswered = true;
		helpers_choose(members);
		if (members->helpers_asked == 0)
			probe_failed(members, now_us);
	} else {
		probe_failed(members, now_us);
	}
}

/*
 * Declare dead who did not deny a suspicion in time, and forget the dead
 * after long enough.  Returns the one to forget, or NULL.
 */
static member_t *
suspects_advance(members_t *members, int64_t now_us)
{
	uint32_t i;

	for (i = 1; i < members->list->len; i++) {
		member_t *member = g_ptr_array_index(members->list, i);
		int64_t spent_us = now_us - member->since_us;

		if (member->news.state == MEMBER_SUSPECT &&
		    spent_us >= members->limits.suspicion_us)
			member_set(members, member, MEMBER_DEAD, now_us);
		else if (member->news.state == MEMBER_DEAD &&
		    spent_us >= members->limits.forget_us &&
		    member != members->target)
			return member;
	}
	return NULL;
}

/*
 * Begin the next probe when it is time.
 */
static bool
probe_begin(members_t *members, int64_t now_us, member_action_t *action)
{
	member_t *target;

	if (members->probe != PROBE_NONE || now_us < members->next_us)
		return false;
	if (members->round->len == 0)
		round_fill(members);
	if (members->round->len == 0)
		return false;
	target = g_ptr_array_index(members->round, members->round->len - 1);
	g_ptr_array_set_size(members->round, (gint)members->round->len - 1);
	members->target = target;
	members->probe = PROBE_DIRECT;
	members->probe_us = now_us;
	members->next_us = now_us + members->limits.interval_us;
	*action =
	    (member_action_t){MEMBER_PING, target, NULL, ++members->sequence};
	return true;
}

/*
 * Take a member out of the table, into an action that must be done with
 * before the next tick.
 */
static void
member_forget(members_t *members, member_t *member)
{
	g_ptr_array_remove(members->round, member);
	g_queue_remove(&members->changed, member);
	g_queue_remove(&members->helpers, member);
	g_hash_table_remove(members->by_name, member->news.name);
	g_ptr_array_remove(members->list, member);
}

/*
 * Give the next thing to do, if there is one; call until it returns false.
 */
bool
members_tick(members_t *members, int64_t now_us, member_action_t *action)
{
	member_t *member;

	probe_advance(members, now_us);
	member = suspects_advance(members, now_us);
	if (member != NULL)
		member_forget(members, member);
	member = g_queue_pop_head(&members->changed);
	if (member != NULL) {
		*action = (member_action_t){MEMBER_CHANGED, member, NULL, 0};
		return true;
	}
	if (members->unanswered) {
		members->unanswered = false;
		*action = (member_action_t){
		    MEMBER_UNANSWERED, members->target, NULL, 0};
		return true;
	}
	member = g_queue_pop_head(&members->helpers);
	if (member != NULL && members->probe == PROBE_THROUGH) {
		*action = (member_action_t){MEMBER_PING_THROUGH,
		    members->target, member, members->sequence};
		return true;
	}
	return probe_begin(members, now_us, action);
}

/*
 * How often news is passed on: a few times the logarithm of the members.
 */
static uint32_t
told_max(const members_t *members)
{
	return TOLD_FACTOR * (g_bit_storage(members->list->len) + 1);
}

/*
 * Tell whether news goes before other news: the newer first, so that what
 * has just happened is not held up by much that is old; then that less often
 * passed on.
 */
static bool
news_before(const member_t *a, const member_t *b)
{
	if (a->since_us != b->since_us)
		return a->since_us > b->since_us;
	return a->told < b->told;
}

/*
 * Choose the news to go with a message.  Returns how many; each counts as
 * passed on.
 */
uint32_t
members_news(members_t *members, const member_t **to, uint32_t max)
{
	uint32_t i, j, n = 0, bound = told_max(members);

	for (i = 0; i < members->list->len; i++) {
		member_t *member = g_ptr_array_index(members->list, i);

		if (member->told >= bound)
			continue;
		for (j = n; j > 0 && news_before(member, to[j - 1]); j--) {
			if (j < max)
				to[j] = to[j - 1];
		}
		if (j < max)
			to[j] = member;
		n = MIN(n + 1, max);
	}
	for (i = 0; i < n; i++)
		((member_t *)to[i])->told++;
	return n;
}
