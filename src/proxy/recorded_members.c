#include "recorded_members.h"

#include <string.h>

/*
 * Return copies of members in an arena.
 */
static Bp__RecordedMember **
copy_members(arena_t *arena, Bp__RecordedMember *const *list, size_t count)
{
	Bp__RecordedMember **copy =
	    arena_zalloc(arena, sizeof(copy[0]) * (count + 1));
	size_t i;

	for (i = 0; i < count; i++)
		copy[i] =
		    (Bp__RecordedMember *)message_copy(arena, &list[i]->base);
	return copy;
}

/*
 * Replace the members and the former ones by copies of lists.
 */
void
recorded_members_set(recorded_members_t *members,
    Bp__RecordedMember *const *list, size_t count,
    Bp__FormerMembers *const *former, size_t former_count)
{
	recorded_members_t copy = {.count = count};
	size_t i;

	if (count + former_count > 0) {
		copy.arena = arena_new();
		copy.list = copy_members(copy.arena, list, count);
		copy.former = arena_zalloc(
		    copy.arena, sizeof(copy.former[0]) * (former_count + 1));
	}
	for (i = 0; i < former_count; i++)
		copy.former[copy.former_count++] =
		    (Bp__FormerMembers *)message_copy(
			copy.arena, &former[i]->base);
	arena_free(members->arena);
	*members = copy;
}

/*
 * Tell whether a start is in a list of members.
 */
static bool
has_start(Bp__RecordedMember *const *list, size_t count,
    const Bp__RecordedMember *member)
{
	size_t i;

	for (i = 0; i < count; i++) {
		if (strcmp(list[i]->server, member->server) == 0 &&
		    list[i]->born == member->born)
			return true;
	}
	return false;
}

/*
 * Tell whether two lists have the same members, in any order.
 */
static bool
lists_equal(Bp__RecordedMember *const *a, size_t a_count,
    Bp__RecordedMember *const *b, size_t b_count)
{
	size_t i;

	if (a_count != b_count)
		return false;
	for (i = 0; i < a_count; i++) {
		if (!has_start(b, b_count, a[i]))
			return false;
	}
	return true;
}

/*
 * Tell whether the members that are replaced have all ended, and as many are
 * new: each majority of these has a member in common with each of those that
 * run.
 */
static bool
only_ended(const Bp__FormerMembers *before, Bp__RecordedMember *const *list,
    size_t count, const Bp__MembersChange *change)
{
	size_t i;

	if (before->n_members != count)
		return false;
	for (i = 0; i < count; i++) {
		const Bp__RecordedMember *member = before->members[i];

		if (!has_start(list, count, member) &&
		    !has_start(change->ended, change->n_ended, member))
			return false;
	}
	return true;
}

/*
 * Replace the members, and keep the former ones as long as leases may rest on
 * them.  If there is no room, nothing changes.  change: what it rests on; NULL:
 * no former ones need be kept.  orders: those that are recorded with the
 * members now.
 */
void
recorded_members_replace(recorded_members_t *members,
    Bp__RecordedMember *const *list, size_t count,
    const Bp__MembersChange *change, const recorded_orders_t *orders)
{
	Bp__FormerMembers *former[FORMER_MEMBERS_MAX + 1];
	Bp__FormerMembers before = BP__FORMER_MEMBERS__INIT;
	size_t i, n = 0;
	uint64_t from;

	if (change == NULL) {
		recorded_members_set(members, list, count, NULL, 0);
		return;
	}
	from = former_members_from(orders, change->newest_term);
	before.members = members->count > 0 ? members->list : change->before;
	before.n_members =
	    members->count > 0 ? members->count : change->n_before;
	before.until_term =
	    former_members_until(orders, change->term, change->unproven);
	for (i = 0; i < members->former_count; i++) {
		Bp__FormerMembers *set = members->former[i];

		if (lists_equal(set->members, set->n_members, before.members,
			before.n_members))
			before.until_term =
			    MAX(before.until_term, set->until_term);
		else if (set->until_term >= from &&
		    !lists_equal(set->members, set->n_members, list, count))
			former[n++] = set;
	}
	if (before.n_members > 0 &&
	    !lists_equal(before.members, before.n_members, list, count) &&
	    !only_ended(&before, list, count, change)) {
		if (n == FORMER_MEMBERS_MAX)
			return;
		former[n++] = &before;
	}
	recorded_members_set(members, list, count, former, n);
}

/*
 * Tell whether a record has the same members, and the same former ones.
 */
bool
recorded_members_equal(
    const recorded_members_t *members, const Bp__RecordedOrder *order)
{
	size_t i;

	if (!lists_equal(members->list, members->count, order->members,
		order->n_members) ||
	    members->former_count != order->n_former)
		return false;
	for (i = 0; i < order->n_former; i++) {
		const Bp__FormerMembers *a = members->former[i];
		const Bp__FormerMembers *b = order->former[i];

		if (a->until_term != b->until_term ||
		    !lists_equal(
			a->members, a->n_members, b->members, b->n_members))
			return false;
	}
	return true;
}

/*
 * Free the lists.
 */
void
recorded_members_clear(recorded_members_t *members)
{
	arena_free(members->arena);
	*members = (recorded_members_t){0};
}
