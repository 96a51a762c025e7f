#include "pool.h"

#include "decide/start.h"

#include <string.h>

/*
 * Members of a group: the servers that the store has recorded for it.  The list
 * of the servers may lack some, since an entry ends while its server does not
 * reach the store, so a majority of it may not be one of the group.
 */

/* Interval at which the registry is asked to record the members. */
#define MEMBERS_INTERVAL_US (1000 * US_PER_MS)

/*
 * Return the recorded member with the id of a server, or NULL.
 */
static const member_t *
member_find(const group_t *group, const char *id)
{
	uint32_t i;

	for (i = 0; i < group->members_count; i++) {
		if (strcmp(group->members[i].id, id) == 0)
			return &group->members[i];
	}
	return NULL;
}

/*
 * Return the address of a server in an arena.
 */
static char *
server_address(const server_t *server, arena_t *arena)
{
	return arena_printf(arena, "%s:%u", server->address, server->port);
}

/*
 * Return what shows that a recorded member has ended, or START_STAYS.  A server
 * that is started holds and knows nothing of before.
 */
start_removal_t
group_member_ended_by(const group_t *group, const member_t *member)
{
	start_t start = {member->id, member->address, member->born};
	arena_t *arena = arena_new();
	start_removal_t ended = member->ended;
	uint32_t i;

	for (i = 0; i < group->count && ended == START_STAYS; i++) {
		const server_t *server = group->servers[i];
		start_t other = {server->id, server_address(server, arena),
		    server->generation};

		if (start_follows(&other, &start))
			ended = START_FOLLOWED;
	}
	arena_free(arena);
	return ended;
}

/*
 * Tell whether no server of a group is a recorded member or a later start of
 * it.
 */
bool
group_member_absent(const group_t *group, const member_t *member)
{
	start_t start = {member->id, member->address, member->born};
	arena_t *arena = arena_new();
	bool absent = true;
	uint32_t i;

	for (i = 0; i < group->count && absent; i++) {
		const server_t *server = group->servers[i];
		start_t other = {server->id, server_address(server, arena),
		    server->generation};

		absent = strcmp(server->id, member->id) != 0 &&
		    !start_follows(&other, &start);
	}
	arena_free(arena);
	return absent;
}

/*
 * Note that a server was removed from a group.
 */
void
group_server_departed(group_t *group, const server_t *server, int64_t now_us)
{
	arena_t *arena = arena_new();

	group_departed_note(group, server->id, server->generation,
	    server_address(server, arena), now_us);
	arena_free(arena);
}

/*
 * Mark the servers of a group that are recorded members, and count those that
 * have ended or are absent.  Databases that have left count as absent as well.
 */
void
group_members_update(group_t *group)
{
	failover_t *failover = &group->failover;
	uint32_t i, ended = 0, absent = 0, count = group->members_count;
	int64_t now_us = clock_us();

	for (i = 0; i < group->count; i++) {
		const server_t *server = group->servers[i];
		const member_t *member = member_find(group, server->id);

		failover->views[i].member = member != NULL &&
		    member->born == server->generation &&
		    member->ended == START_STAYS;
	}
	for (i = 0; i < count; i++) {
		ended += group_member_ended_by(group, &group->members[i]) !=
		    START_STAYS;
		absent += group_member_absent(group, &group->members[i]);
	}
	absent += group_departed_count(group, now_us);
	failover_set_members(
	    failover, &group->lease, count, ended, absent, now_us);
	group_former_update(group);
}

/*
 * Return the index of a start among members, or -1.
 */
int32_t
group_member_index(
    const member_t *members, uint32_t count, const char *id, uint64_t born)
{
	uint32_t i;

	for (i = 0; i < count; i++) {
		if (strcmp(members[i].id, id) == 0 && members[i].born == born)
			return (int32_t)i;
	}
	return -1;
}

/*
 * Return the recorded member that is this start of a server, or NULL.
 */
static member_t *
member_of_server(group_t *group, const server_t *server)
{
	int32_t i = group_member_index(group->members, group->members_count,
	    server->id, server->generation);

	return i < 0 ? NULL : &group->members[i];
}

/*
 * Note that the process of a server is known to have ended, and by what.
 */
void
group_member_ended(group_t *group, const server_t *server, start_removal_t by)
{
	member_t *member = member_of_server(group, server);

	if (member != NULL)
		member->ended = by;
}

/*
 * Note that a server was removed from the group without having ended.  One that
 * has left, or was silent for long, is no member any more when the members are
 * recorded next.
 */
void
group_member_removed(
    group_t *group, const server_t *server, start_removal_t by, int64_t now_us)
{
	member_t *member = member_of_server(group, server);

	if (member != NULL)
		member->kept_until_us = by == START_LEFT || by == START_SILENT
		    ? 0
		    : now_us + START_LOST_US;
}

/*
 * Note that a server runs that may have been taken as ended: it is listed
 * again, so that the list was one of before its start, or answers at its
 * address.
 */
void
group_member_runs(group_t *group, const server_t *server)
{
	group_member_ended(group, server, START_STAYS);
}

/*
 * Free members.
 */
void
group_members_free(member_t *members, uint32_t count)
{
	uint32_t i;

	for (i = 0; i < count; i++) {
		g_free(members[i].id);
		g_free(members[i].address);
	}
}

/*
 * Forget the recorded members of a group.
 */
void
group_members_clear(group_t *group)
{
	group_members_free(group->members, group->members_count);
	group->members_count = 0;
}

/*
 * Note the members that are recorded no more, and are not in the group.
 */
static void
note_departed(group_t *group, Bp__RecordedMember *const *list, size_t count)
{
	uint32_t i;
	size_t j;

	for (i = 0; i < group->members_count; i++) {
		const member_t *member = &group->members[i];

		for (j = 0;
		     j < count && strcmp(list[j]->server, member->id) != 0; j++)
			;
		if (j == count && group_member_absent(group, member))
			group_departed_note(group, member->id, member->born,
			    member->address, clock_us());
	}
}

/*
 * Note which servers of a group the store had recorded when it was asked at
 * read_us.
 */
void
group_members_recorded(group_t *group, Bp__RecordedMember *const *list,
    size_t count, int64_t read_us)
{
	member_t members[GROUP_DATABASES_MAX];
	uint32_t n = 0;
	size_t i;

	if (read_us < group->members_read_us)
		return;
	group->members_read_us = read_us;
	for (i = 0; i < count && i < GROUP_DATABASES_MAX; i++) {
		const member_t *known = member_find(group, list[i]->server);

		members[n] = (member_t){g_strdup(list[i]->server),
		    list[i]->born, g_strdup(list[i]->address), START_STAYS,
		    clock_us() + START_LOST_US};
		if (known != NULL && known->born == list[i]->born) {
			members[n].ended = known->ended;
			members[n].kept_until_us = known->kept_until_us;
		}
		n++;
	}
	note_departed(group, list, count);
	group_members_clear(group);
	memcpy(group->members, members, sizeof(members[0]) * n);
	group->members_count = n;
	group_members_confirmed(group, read_us);
	group_members_update(group);
}

/*
 * Tell whether a recorded member that is not in the group stays a member: it is
 * not known to have ended, and may be alive.  Another daemon may rest a lease
 * on it.
 */
static bool
member_kept(const group_t *group, const member_t *member, int64_t now_us)
{
	return server_find(group, member->id) == NULL &&
	    now_us < member->kept_until_us &&
	    group_member_ended_by(group, member) == START_STAYS;
}

/*
 * Return a member to be recorded, as a message in an arena.
 */
Bp__RecordedMember *
group_member_write(
    arena_t *arena, const char *id, uint64_t born, const char *address)
{
	Bp__RecordedMember *member = (Bp__RecordedMember *)message_new(
	    arena, &bp__recorded_member__descriptor);

	member->server = arena_strdup(arena, id);
	member->born = born;
	member->address = arena_strdup(arena, address);
	return member;
}

/*
 * Return a server as a member to be recorded, as a message in an arena.
 */
Bp__RecordedMember *
group_server_write(arena_t *arena, const server_t *server)
{
	return group_member_write(arena, server->id, server->generation,
	    server_address(server, arena));
}

/*
 * Return the members of a group to be recorded, as messages in an arena: its
 * servers, and the recorded members that are kept.
 */
Bp__RecordedMember **
group_members_write(const group_t *group, arena_t *arena, size_t *count)
{
	Bp__RecordedMember **list =
	    arena_zalloc(arena, sizeof(list[0]) * (GROUP_DATABASES_MAX + 1));
	int64_t now_us = clock_us();
	uint32_t i, n = 0;

	for (i = 0; i < group->count; i++)
		list[n++] = group_server_write(arena, group->servers[i]);
	for (i = 0; i < group->members_count && n < GROUP_DATABASES_MAX; i++) {
		const member_t *member = &group->members[i];

		if (member_kept(group, member, now_us))
			list[n++] = group_member_write(
			    arena, member->id, member->born, member->address);
	}
	*count = n;
	return list;
}

/*
 * Tell whether the store has recorded exactly the members that it should.
 */
static bool
members_current(const group_t *group, int64_t now_us)
{
	uint32_t i, found = 0, kept = 0;

	for (i = 0; i < group->count; i++) {
		const member_t *member =
		    member_find(group, group->servers[i]->id);

		found += member != NULL &&
		    member->born == group->servers[i]->generation;
	}
	for (i = 0; i < group->members_count; i++)
		kept += member_kept(group, &group->members[i], now_us);
	return found == group->count && found + kept == group->members_count;
}

/*
 * Have the servers of a group recorded as its members, if others are.  Called
 * by the coordinator, while its lease shows that the primary has not been
 * replaced and nothing changes that.
 */
void
group_members_check(group_t *group, int64_t now_us)
{
	const failover_t *failover = &group->failover;
	int32_t primary = failover_primary(failover);
	msg_t *msg;
	Bp__GroupMembersWanted *wanted;

	if (primary < 0 || failover->state != FAILOVER_STEADY ||
	    failover->handover || group_failover_in_progress(group, now_us) ||
	    group->lease.expires_us <= now_us ||
	    group->lease.term != failover->views[primary].promised ||
	    group_list_new(group, now_us) || members_current(group, now_us) ||
	    now_us - group->members_sent_us < MEMBERS_INTERVAL_US)
		return;
	group->members_sent_us = now_us;
	msg = msg_new(&bp__group_members_wanted__descriptor);
	wanted = (Bp__GroupMembersWanted *)msg->body;
	wanted->group = arena_strdup(msg->arena, group->name);
	wanted->members =
	    group_members_write(group, msg->arena, &wanted->n_members);
	wanted->change =
	    group_members_change(group, group->lease.term, msg->arena);
	group_members_sent(group, wanted->members, wanted->n_members, now_us);
	task_send(group->pool->proxy->registry, group->pool->task, msg);
}
