#include "pool.h"

#include "decide/start.h"

#include <string.h>

/*
 * Former members of a group: leases of other daemons may still rest on them, so
 * that a change of the primary needs a majority of each set of them as well.
 */

/*
 * Free the former members of a group.
 */
void
group_former_clear(group_t *group)
{
	uint32_t i;

	for (i = 0; i < group->former_count; i++)
		group_members_free(
		    group->former[i].members, group->former[i].count);
	group->former_count = 0;
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
	size_t i, j;

	if (read_us < group->members_read_us)
		return;
	lease_members_read(&group->lease, replaced_term, read_us);
	group_former_clear(group);
	for (i = 0; i < count && i < FORMER_MEMBERS_MAX; i++) {
		former_set_t *set = &group->former[group->former_count++];

		set->until_term = list[i]->until_term;
		set->count = 0;
		for (j = 0; j < list[i]->n_members && j < GROUP_DATABASES_MAX;
		     j++) {
			const Bp__RecordedMember *member = list[i]->members[j];

			set->members[set->count++] =
			    (member_t){.id = g_strdup(member->server),
				.born = member->born,
				.address = g_strdup(member->address)};
		}
	}
}

/*
 * Tell whether a member of a former set has ended.
 */
static bool
has_ended(const group_t *group, const member_t *member)
{
	uint32_t i;

	for (i = 0; i < group->members_count; i++) {
		const member_t *present = &group->members[i];

		if (strcmp(present->id, member->id) == 0 &&
		    present->born == member->born)
			member = present;
	}
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
 * Return the newest term of the group that is known to have begun.
 */
static uint64_t
newest_term_known(const group_t *group)
{
	return MAX(
	    lease_newest_term(&group->lease), group->failover.reported_term);
}

/*
 * Set the former members that count for the failover of a group.
 */
void
group_former_update(group_t *group)
{
	former_members_t list[FORMER_MEMBERS_MAX + 1];
	uint64_t from =
	    former_members_from(&group->lease.orders, newest_term_known(group));
	uint32_t i, count = 0;

	for (i = 0; i < group->former_count; i++) {
		const former_set_t *set = &group->former[i];

		if (set->until_term >= from)
			list[count++] =
			    former_of(group, set->members, set->count);
	}
	if (group->failover.members_ended > 0)
		list[count++] =
		    former_of(group, group->members, group->members_count);
	failover_set_former(&group->failover, list, count, clock_us());
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
	return change;
}
