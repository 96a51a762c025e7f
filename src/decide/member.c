#include "member.h"

#include <string.h>

/* Number of members that are asked to probe a target which has not answered. */
#define HELPERS 2

/*
 * Number of messages with which a member passes on a change, as a multiple of
 * the logarithm to base 2 of the number of members.
 */
#define TRANSMIT_FACTOR 4

/* Stage of the current probe. */
typedef enum probe_state {
	PROBE_NONE,
	PROBE_DIRECT,
	PROBE_INDIRECT,
} probe_state_t;

struct members {
	member_limits_t limits;
	GRand *rand;
	GHashTable *by_name;
	GPtrArray *list;     /* of member_t; the first is this daemon */
	GPtrArray *unprobed; /* of member_t: still to be probed in this round */
	GQueue changed;      /* of member_t: state changes to be reported */
	probe_state_t probe;
	member_t *target;         /* of the current or the last probe */
	uint64_t sequence;        /* number of the last probe */
	int64_t stage_started_us; /* start of the current stage of the probe */
	int64_t next_probe_us;    /* time of the next probe */
	uint32_t helpers_asked;   /* helpers of the current probe */
	uint32_t helpers_failed;  /* helpers that did not reach the target */
	bool timeout_pending;     /* a timeout is to be reported */
	GQueue pending_helpers;   /* of member_t: still to be asked */
};

/*
 * Free one member.
 */
static void
member_free(gpointer p)
{
	member_t *member = p;

	g_free((char *)member->attrs.name);
	g_free((char *)member->attrs.address);
	g_free((char *)member->attrs.zone);
	g_free(member);
}

/*
 * Add a member to the table.
 */
static member_t *
member_add(members_t *members, const member_attrs_t *update, int64_t now_us)
{
	member_t *member = g_new0(member_t, 1);

	member->attrs = *update;
	member->attrs.name = g_strdup(update->name);
	member->attrs.address = g_strdup(update->address);
	member->attrs.zone = g_strdup(update->zone);
	member->state_changed_us = now_us;
	g_ptr_array_add(members->list, member);
	g_hash_table_insert(
	    members->by_name, (char *)member->attrs.name, member);
	return member;
}

/*
 * Create a table that contains only this daemon itself.
 */
members_t *
members_new(
    const member_limits_t *limits, const member_attrs_t *self, uint32_t seed)
{
	members_t *members = g_new0(members_t, 1);

	members->limits = *limits;
	members->rand = g_rand_new_with_seed(seed);
	members->by_name = g_hash_table_new(g_str_hash, g_str_equal);
	members->list = g_ptr_array_new_with_free_func(member_free);
	members->unprobed = g_ptr_array_new();
	g_queue_init(&members->changed);
	g_queue_init(&members->pending_helpers);
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
	g_ptr_array_unref(members->unprobed);
	g_queue_clear(&members->changed);
	g_queue_clear(&members->pending_helpers);
	g_ptr_array_unref(members->list);
	g_free(members);
}

/*
 * Return the entry of this daemon.
 */
const member_t *
members_self(const members_t *members)
{
	return g_ptr_array_index(members->list, 0);
}

/*
 * Return the member with a name, or NULL.
 */
const member_t *
members_find(const members_t *members, const char *name)
{
	return g_hash_table_lookup(members->by_name, name);
}

/*
 * Return the number of members in the table, including this daemon and dead
 * members.
 */
uint32_t
members_count(const members_t *members)
{
	return members->list->len;
}

/*
 * Return the i-th member; this daemon has index 0.
 */
const member_t *
members_at(const members_t *members, uint32_t i)
{
	return g_ptr_array_index(members->list, i);
}

/*
 * Set the state of a member, report the change and start to spread it.
 */
static void
member_set_state(
    members_t *members, member_t *member, member_state_t state, int64_t now_us)
{
	member->attrs.state = state;
	member->state_changed_us = now_us;
	member->transmits = 0;
	if (g_queue_find(&members->changed, member) == NULL)
		g_queue_push_tail(&members->changed, member);
}

/*
 * Process an update about this daemon itself.  An update that would override
 * the daemon's own state is refuted by a higher incarnation.
 */
static bool
refute(members_t *members, const member_attrs_t *update)
{
	member_t *self = g_ptr_array_index(members->list, 0);

	if (update->incarnation < self->attrs.incarnation ||
	    (update->incarnation == self->attrs.incarnation &&
		update->state <= self->attrs.state))
		return false;
	self->attrs.incarnation = update->incarnation + 1;
	self->transmits = 0;
	return true;
}

/*
 * Process an update about a member.  An update with a higher incarnation
 * overrides the entry, and at the same incarnation one with a later state in
 * the order of member_state_t.  Returns whether anything has changed.
 */
bool
members_merge(members_t *members, const member_attrs_t *update, int64_t now_us)
{
	member_t *member = g_hash_table_lookup(members->by_name, update->name);

	if (member == members_self(members))
		return refute(members, update);
	if (member == NULL) {
		if (update->state == MEMBER_DEAD)
			return false;
		member = member_add(members, update, now_us);
		member_set_state(members, member, update->state, now_us);
		return true;
	}
	if (update->incarnation < member->attrs.incarnation ||
	    (update->incarnation == member->attrs.incarnation &&
		update->state <= member->attrs.state))
		return false;
	if (update->incarnation > member->attrs.incarnation) {
		member->attrs.incarnation = update->incarnation;
		if (strcmp(member->attrs.address, update->address) != 0) {
			g_free((char *)member->attrs.address);
			member->attrs.address = g_strdup(update->address);
		}
		member->attrs.port = update->port;
	}
	member_set_state(members, member, update->state, now_us);
	return true;
}

/*
 * Record that a member has answered a probe directly.
 */
void
members_ack(members_t *members, const char *name)
{
	if (members->probe != PROBE_NONE &&
	    strcmp(members->target->attrs.name, name) == 0)
		members->probe = PROBE_NONE;
}

/*
 * Record that a helper has reached the target of a probe.
 */
void
members_indirect_ack(members_t *members, uint64_t sequence)
{
	if (members->probe == PROBE_INDIRECT && sequence == members->sequence)
		members->probe = PROBE_NONE;
}

/*
 * Probe a member next, because the connection to it was lost.
 */
void
members_probe_next(members_t *members, const char *name, int64_t now_us)
{
	member_t *member = g_hash_table_lookup(members->by_name, name);

	if (member == NULL || member->attrs.state == MEMBER_DEAD)
		return;
	g_ptr_array_remove(members->unprobed, member);
	g_ptr_array_add(members->unprobed, member);
	if (members->probe == PROBE_NONE)
		members->next_probe_us = now_us;
}

/*
 * Record that a helper has not reached the target of a probe either.
 */
void
members_indirect_nack(members_t *members, uint64_t sequence)
{
	if (members->probe == PROBE_INDIRECT && sequence == members->sequence)
		members->helpers_failed++;
}

/*
 * Announce that this daemon is leaving.
 */
void
members_leave(members_t *members)
{
	member_t *self = g_ptr_array_index(members->list, 0);

	self->attrs.incarnation++;
	self->attrs.state = MEMBER_DRAINED;
	self->transmits = 0;
}

/*
 * Start a new round of probes: all other members that are not dead, in random
 * order.
 */
static void
start_round(members_t *members)
{
	uint32_t i, j;

	for (i = 1; i < members->list->len; i++) {
		member_t *member = g_ptr_array_index(members->list, i);

		if (member->attrs.state != MEMBER_DEAD)
			g_ptr_array_add(members->unprobed, member);
	}
	for (i = members->unprobed->len; i > 1; i--) {
		gpointer *items = members->unprobed->pdata, swap;

		j = (uint32_t)g_rand_int_range(members->rand, 0, (gint32)i);
		swap = items[i - 1];
		items[i - 1] = items[j];
		items[j] = swap;
	}
}

/*
 * Choose up to HELPERS other members that are alive at random.
 */
static void
choose_helpers(members_t *members)
{
	uint32_t i, tries;

	g_queue_clear(&members->pending_helpers);
	members->helpers_asked = members->helpers_failed = 0;
	for (tries = 0;
	     tries < 8 * HELPERS && members->pending_helpers.length < HELPERS;
	     tries++) {
		member_t *helper;

		i = (uint32_t)g_rand_int_range(
		    members->rand, 0, (gint32)members->list->len);
		helper = g_ptr_array_index(members->list, i);
		if (i > 0 && helper != members->target &&
		    helper->attrs.state == MEMBER_ALIVE &&
		    g_queue_find(&members->pending_helpers, helper) == NULL)
			g_queue_push_tail(&members->pending_helpers, helper);
	}
	members->helpers_asked = members->pending_helpers.length;
}

/*
 * Handle a probe without any answer: a live target becomes suspected, and one
 * that has announced its leaving is dead.  If helpers were asked, this happens
 * only when at least one of them has reported a failure as well; otherwise the
 * network of this daemon may be at fault.
 */
static void
probe_failed(members_t *members, int64_t now_us)
{
	member_t *target = members->target;

	members->probe = PROBE_NONE;
	if (members->helpers_asked > 0 && members->helpers_failed == 0)
		return;
	if (target->attrs.state == MEMBER_ALIVE)
		member_set_state(members, target, MEMBER_SUSPECT, now_us);
	else if (target->attrs.state == MEMBER_DRAINED)
		member_set_state(members, target, MEMBER_DEAD, now_us);
}

/*
 * Advance the current probe when its time is over: from the direct probe to
 * the helpers, and from these to failure.
 */
static void
advance_probe(members_t *members, int64_t now_us)
{
	if (members->probe == PROBE_NONE ||
	    now_us - members->stage_started_us < members->limits.timeout_us)
		return;
	if (members->probe == PROBE_DIRECT) {
		members->probe = PROBE_INDIRECT;
		members->stage_started_us = now_us;
		members->timeout_pending = true;
		choose_helpers(members);
		if (members->helpers_asked == 0)
			probe_failed(members, now_us);
	} else {
		probe_failed(members, now_us);
	}
}

/*
 * Declare suspected members dead that have not refuted the suspicion in time.
 * Returns a dead member whose retention time is over, or NULL.
 */
static member_t *
expire_states(members_t *members, int64_t now_us)
{
	uint32_t i;

	for (i = 1; i < members->list->len; i++) {
		member_t *member = g_ptr_array_index(members->list, i);
		int64_t elapsed_us = now_us - member->state_changed_us;

		if (member->attrs.state == MEMBER_SUSPECT &&
		    elapsed_us >= members->limits.suspicion_us)
			member_set_state(members, member, MEMBER_DEAD, now_us);
		else if (member->attrs.state == MEMBER_DEAD &&
		    elapsed_us >= members->limits.dead_retention_us &&
		    member != members->target)
			return member;
	}
	return NULL;
}

/*
 * Start the next probe when it is due.  Returns whether it was started.
 */
static bool
start_probe(members_t *members, int64_t now_us, member_action_t *action)
{
	member_t *target;

	if (members->probe != PROBE_NONE || now_us < members->next_probe_us)
		return false;
	if (members->unprobed->len == 0)
		start_round(members);
	if (members->unprobed->len == 0)
		return false;
	target =
	    g_ptr_array_index(members->unprobed, members->unprobed->len - 1);
	g_ptr_array_set_size(
	    members->unprobed, (gint)members->unprobed->len - 1);
	members->target = target;
	members->probe = PROBE_DIRECT;
	members->stage_started_us = now_us;
	members->next_probe_us = now_us + members->limits.interval_us;
	*action =
	    (member_action_t){MEMBER_PING, target, NULL, ++members->sequence};
	return true;
}

/*
 * Remove a member from the table and free it.  Actions returned by earlier
 * calls of members_tick() may still point to the member, and must not be used
 * any more.
 */
static void
member_remove(members_t *members, member_t *member)
{
	g_ptr_array_remove(members->unprobed, member);
	g_queue_remove(&members->changed, member);
	g_queue_remove(&members->pending_helpers, member);
	g_hash_table_remove(members->by_name, member->attrs.name);
	g_ptr_array_remove(members->list, member);
}

/*
 * Return the next action in *action.  To be called repeatedly until it returns
 * false, which means that nothing is due.
 */
bool
members_tick(members_t *members, int64_t now_us, member_action_t *action)
{
	member_t *member;

	advance_probe(members, now_us);
	member = expire_states(members, now_us);
	if (member != NULL)
		member_remove(members, member);
	member = g_queue_pop_head(&members->changed);
	if (member != NULL) {
		*action =
		    (member_action_t){MEMBER_STATE_CHANGED, member, NULL, 0};
		return true;
	}
	if (members->timeout_pending) {
		members->timeout_pending = false;
		*action = (member_action_t){
		    MEMBER_PING_TIMEOUT, members->target, NULL, 0};
		return true;
	}
	member = g_queue_pop_head(&members->pending_helpers);
	if (member != NULL && members->probe == PROBE_INDIRECT) {
		*action = (member_action_t){MEMBER_PING_INDIRECT,
		    members->target, member, members->sequence};
		return true;
	}
	return start_probe(members, now_us, action);
}

/*
 * Return the number of messages with which a change is passed on.
 */
static uint32_t
transmits_max(const members_t *members)
{
	return TRANSMIT_FACTOR * (g_bit_storage(members->list->len) + 1);
}

/*
 * Tell whether the change of member a is sent before that of member b: the
 * more recent one first, so that old changes do not delay new ones, then the
 * one that was sent less often.
 */
static bool
sent_before(const member_t *a, const member_t *b)
{
	if (a->state_changed_us != b->state_changed_us)
		return a->state_changed_us > b->state_changed_us;
	return a->transmits < b->transmits;
}

/*
 * Choose up to max members whose changes go with the next message, and count
 * them as sent.  Returns their number.
 */
uint32_t
members_pick_updates(members_t *members, const member_t **chosen, uint32_t max)
{
	uint32_t i, j, n = 0, bound = transmits_max(members);

	for (i = 0; i < members->list->len; i++) {
		member_t *member = g_ptr_array_index(members->list, i);

		if (member->transmits >= bound)
			continue;
		for (j = n; j > 0 && sent_before(member, chosen[j - 1]); j--) {
			if (j < max)
				chosen[j] = chosen[j - 1];
		}
		if (j < max)
			chosen[j] = member;
		n = MIN(n + 1, max);
	}
	for (i = 0; i < n; i++)
		((member_t *)chosen[i])->transmits++;
	return n;
}
