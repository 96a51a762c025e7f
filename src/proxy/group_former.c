#include "pool.h"

#include "decide/start.h"

#include <string.h>

/*
 * Former members of a group: leases of other daemons may still rest on them, so
 * that a change of the primary needs a majority of each set of them as well.
 */

/* Time after which a write of the record has taken effect or never will. */
#define WRITE_LATE_US (10 * US_PER_SECOND)

/*
 * Free sets of members.
 */
static void
sets_free(former_set_t *sets, uint32_t count)
{
	uint32_t i;

	for (i = 0; i < count; i++)
		group_members_free(sets[i].members, sets[i].count);
}

/*
 * Forget the former members of a group, and those that are to be recorded.
 */
void
group_former_clear(group_t *group)
{
	sets_free(group->former, group->former_count);
	sets_free(group->pending, group->pending_count);
	sets_free(group->lost, group->lost_count);
	group->former_count = group->pending_count = group->lost_count = 0;
}

/*
 * Copy a list of members into a set.
 */
static void
set_fill(former_set_t *set, Bp__RecordedMember *const *list, size_t count)
{
	size_t i;

	*set = (former_set_t){0};
	for (i = 0; i < count && i < GROUP_DATABASES_MAX; i++)
		set->members[set->count++] =
		    (member_t){.id = g_strdup(list[i]->server),
			.born = list[i]->born,
			.address = g_strdup(list[i]->address)};
}

/*
 * Tell whether two sets have the same members.
 */
static bool
sets_equal(
    const member_t *a, uint32_t a_count, const member_t *b, uint32_t b_count)
{
	uint32_t i;

	for (i = 0; i < a_count; i++) {
		if (group_member_index(b, b_count, a[i].id, a[i].born) < 0)
			return false;
	}
	return a_count == b_count;
}

/*
 * Note members that are sent to be recorded.  They count besides the present
 * ones until the record shows what came of that: the store may carry out
 * a write that it does not confirm.
 */
void
group_members_sent(group_t *group, Bp__RecordedMember *const *list,
    size_t count, int64_t now_us)
{
	former_set_t sent;
	uint32_t i;

	set_fill(&sent, list, count);
	sent.sent_us = now_us;
	for (i = 0; i < group->pending_count; i++) {
		former_set_t *pending = &group->pending[i];

		if (!sets_equal(pending->members, pending->count, sent.members,
			sent.count))
			continue;
		sets_free(pending, 1);
		*pending = sent;
		return;
	}
	if (group->pending_count == PENDING_MEMBERS_MAX) {
		sets_free(group->pending, 1);
		group->pending[0] = group->pending[1];
		group->pending_count--;
	}
	group->pending[group->pending_count++] = sent;
	group_former_update(group);
}

/*
 * Return the newest term of the group that is known to have begun.
 */
static uint64_t
newest_term_known(const group_t *group)
{
	return MAX(
	    lease_newest_term(&group->lease), group->failover.reported_term);
}

/*
 * Keep a set of members that the store may have lost.  If there is no room, the
 * oldest one goes.
 */
static void
keep_set(group_t *group, const member_t *members, uint32_t count,
    uint64_t until_term)
{
	former_set_t *set;
	uint32_t i;

	for (i = 0; i < group->lost_count; i++) {
		set = &group->lost[i];
		if (!sets_equal(set->members, set->count, members, count))
			continue;
		set->until_term = MAX(set->until_term, until_term);
		return;
	}
	if (group->lost_count == LOST_MEMBERS_MAX) {
		sets_free(group->lost, 1);
		memmove(&group->lost[0], &group->lost[1],
		    sizeof(group->lost[0]) * --group->lost_count);
	}
	set = &group->lost[group->lost_count++];
	*set = (former_set_t){.until_term = until_term};
	for (i = 0; i < count; i++)
		set->members[set->count++] =
		    (member_t){.id = g_strdup(members[i].id),
			.born = members[i].born,
			.address = g_strdup(members[i].address)};
}

/*
 * Keep the members that were read in an older era than that of the record which
 * is read now, or from a record that was deleted since, and the former ones
 * with them.  The record is one of an older copy, or was begun again, and may
 * lack them, but a daemon that has not heard of that may rest a lease on them.
 * They count like the former ones of the record.  begun: token with which the
 * record was begun.  Called before group_former_recorded().
 */
void
group_former_keep(group_t *group, uint64_t era, uint64_t begun)
{
	uint32_t i;

	if (era <= group->members_era && begun == group->members_begun)
		return;
	group->members_era = MAX(era, group->members_era);
	group->members_begun = begun;
	for (i = 0; i < group->former_count; i++) {
		const former_set_t *set = &group->former[i];

		keep_set(group, set->members, set->count, set->until_term);
	}
	if (group->members_count > 0)
		keep_set(group, group->members, group->members_count,
		    former_members_until(&group->lease.orders,
			MAX(newest_term_known(group),
			    group->lease.members_term),
			group->failover.unproven_attempt));
}

/*
 * Tell whether the record has a set of members for as long as it counts.
 */
static bool
set_recorded(const group_t *group, const former_set_t *set)
{
	bool has = sets_equal(
	    set->members, set->count, group->members, group->members_count);
	uint32_t i;

	for (i = 0; i < group->former_count; i++) {
		const former_set_t *former = &group->former[i];

		has |= former->until_term >= set->until_term &&
		    sets_equal(set->members, set->count, former->members,
			former->count);
	}
	return has;
}

/*
 * Forget the sets that were kept and that the record has.
 */
static void
drop_found(group_t *group)
{
	uint32_t i, n = 0;

	for (i = 0; i < group->lost_count; i++) {
		if (set_recorded(group, &group->lost[i]))
			sets_free(&group->lost[i], 1);
		else
			group->lost[n++] = group->lost[i];
	}
	group->lost_count = n;
}

/*
 * Note that the record was read at read_us: members that it has, or that were
 * sent long before, are not pending any more, and those that it has are not
 * lost.
 */
void
group_members_confirmed(group_t *group, int64_t read_us)
{
	uint32_t i, j, n = 0;

	for (i = 0; i < group->pending_count; i++) {
		former_set_t *set = &group->pending[i];
		bool over = read_us >= set->sent_us + WRITE_LATE_US ||
		    sets_equal(set->members, set->count, group->members,
			group->members_count);

		for (j = 0; j < group->former_count; j++)
			over |= sets_equal(set->members, set->count,
			    group->former[j].members, group->former[j].count);
		if (over)
			sets_free(set, 1);
		else
			group->pending[n++] = *set;
	}
	group->pending_count = n;
	drop_found(group);
}

/*
 * Note which former members the store had recorded when it was asked at
 * read_us, with orders to replace the primary of a term.  Called before
 * group_members_recorded().
 */
void
group_former_recorded(group_t *group, Bp__FormerMembers *const *list,
    size_t count, uint64_t replaced_term, int64_t read_us)
{
	size_t i;

	if (read_us < group->members_read_us)
		return;
	lease_members_read(
	    &group->lease, replaced_term, group->members_era, read_us);
	sets_free(group->former, group->former_count);
	group->former_count = 0;
	for (i = 0; i < count && i < FORMER_MEMBERS_MAX; i++) {
		former_set_t *set = &group->former[group->former_count++];

		set_fill(set, list[i]->members, list[i]->n_members);
		set->until_term = list[i]->until_term;
	}
}

/*
 * Tell whether a member of a former set has ended.
 */
static bool
has_ended(const group_t *group, const member_t *member)
{
	int32_t present = group_member_index(
	    group->members, group->members_count, member->id, member->born);

	if (present >= 0)
		member = &group->members[present];
	return group_member_ended_by(group, member) != START_STAYS;
}

/*
 * Return how a set of members counts for a failover.  A later start takes the
 * place of a member: daemons that do not know of it yet take its answers as
 * those of the member.
 */
static former_members_t
former_of(const group_t *group, const member_t *members, uint32_t count)
{
	former_members_t former = {.count = count};
	uint32_t i;

	for (i = 0; i < count; i++) {
		const server_t *server = server_find(group, members[i].id);

		if (server == NULL)
			former.ended += has_ended(group, &members[i]);
		else
			former.member[server->index] =
			    server->generation >= members[i].born;
	}
	return former;
}

/*
 * Return the servers of a group that each daemon should know, as an open set:
 * those that this process has listed for long, or, by_start, that were listed
 * long before its first list.  Where no members are recorded, leases rest on
 * the daemons' lists, which may lack the others.
 */
static former_members_t
listed_for_long(const group_t *group, bool by_start)
{
	former_members_t former = {.open = true};
	int64_t now_us = clock_us();
	uint32_t i;

	for (i = 0; i < group->count; i++) {
		const server_t *server = group->servers[i];

		former.member[i] = (by_start && server->started_for_long) ||
		    !server_newly_listed(server, now_us);
		former.count += former.member[i];
	}
	return former;
}

/*
 * Set the former members that count for the failover of a group.  Where commits
 * are synchronous and no members are recorded, the time of a start does not
 * suffice: the first list of a process may lack databases whose entries are
 * missing for the moment, and these may alone hold the last commits.
 */
void
group_former_update(group_t *group)
{
	former_members_t list[FORMER_SETS_MAX];
	uint64_t from =
	    former_members_from(&group->lease.orders, newest_term_known(group));
	uint32_t i, count = 0;

	for (i = 0; i < group->former_count; i++) {
		const former_set_t *set = &group->former[i];

		if (set->until_term >= from)
			list[count++] =
			    former_of(group, set->members, set->count);
	}
	for (i = 0; i < group->lost_count; i++) {
		const former_set_t *set = &group->lost[i];

		if (set->until_term >= from)
			list[count++] =
			    former_of(group, set->members, set->count);
	}
	for (i = 0; i < group->pending_count; i++)
		list[count++] = former_of(
		    group, group->pending[i].members, group->pending[i].count);
	if (group->failover.members_ended > 0)
		list[count++] =
		    former_of(group, group->members, group->members_count);
	if (group->members_count == 0 && group->count > 0)
		list[count++] = listed_for_long(
		    group, group->failover.limits.sync_replicas == 0);
	failover_set_former(&group->failover, list, count, clock_us());
}

/*
 * Return the members that leases may rest on where the record has none, as
 * messages in an arena.
 */
static Bp__RecordedMember **
members_before(const group_t *group, arena_t *arena, size_t *count)
{
	former_members_t listed = listed_for_long(group, true);
	Bp__RecordedMember **list =
	    arena_zalloc(arena, sizeof(list[0]) * (GROUP_DATABASES_MAX + 1));
	uint32_t i;

	*count = 0;
	for (i = 0; i < group->members_count; i++) {
		const member_t *member = &group->members[i];

		list[(*count)++] = group_member_write(
		    arena, member->id, member->born, member->address);
	}
	for (i = 0; i < group->count && group->members_count == 0; i++) {
		if (listed.member[i])
			list[(*count)++] =
			    group_server_write(arena, group->servers[i]);
	}
	return list;
}

/*
 * Return what a change of the members rests on, as a message in an arena.
 * term: of the leases now, or the one whose primary is to be replaced.
 */
Bp__MembersChange *
group_members_change(const group_t *group, uint64_t term, arena_t *arena)
{
	Bp__MembersChange *change = (Bp__MembersChange *)message_new(
	    arena, &bp__members_change__descriptor);
	uint32_t i;

	change->term = term;
	change->newest_term = newest_term_known(group);
	change->unproven = group->failover.unproven_attempt;
	change->ended = arena_zalloc(
	    arena, sizeof(change->ended[0]) * (group->members_count + 1));
	for (i = 0; i < group->members_count; i++) {
		const member_t *member = &group->members[i];

		if (group_member_ended_by(group, member) != START_STAYS)
			change->ended[change->n_ended++] = group_member_write(
			    arena, member->id, member->born, member->address);
	}
	change->before = members_before(group, arena, &change->n_before);
	return change;
}
