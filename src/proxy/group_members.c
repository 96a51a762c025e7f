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
 * Mark the servers of a group that are recorded members, and count those that
 * have ended.
 */
void
group_members_update(group_t *group)
{
	failover_t *failover = &group->failover;
	uint32_t i, ended = 0, count = group->members_count;

	for (i = 0; i < group->count; i++) {
		const server_t *server = group->servers[i];
		const member_t *member = member_find(group, server->id);

		failover->views[i].member = member != NULL &&
		    member->born == server->generation &&
		    member->ended == START_STAYS;
	}
	for (i = 0; i < count; i++)
		ended += group_member_ended_by(group, &group->members[i]) !=
		    START_STAYS;
	failover_set_members(failover, &group->lease, count, ended, clock_us());
}

/*
 * Note by what the process of a server is known to have ended.
 */
void
group_member_ended(group_t *group, const server_t *server, start_removal_t by)
{
	uint32_t i;

	for (i = 0; i < group->members_count; i++) {
		member_t *member = &group->members[i];

		if (strcmp(member->id, server->id) == 0 &&
		    member->born == server->generation)
			member->ended = by;
	}
}

/*
 * Note that a server is listed that was not known.  If it was taken as ended
 * before, the list was one of before its start.
 */
void
group_member_listed(group_t *group, const server_t *server)
{
	group_member_ended(group, server, START_STAYS);
}

/*
 * Free members.
 */
static void
members_free(member_t *members, uint32_t count)
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
	members_free(group->members, group->members_count);
	group->members_count = 0;
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

		members[n++] = (member_t){g_strdup(list[i]->server),
		    list[i]->born, g_strdup(list[i]->address),
		    known != NULL && known->born == list[i]->born
			? known->ended
			: START_STAYS};
	}
	group_members_clear(group);
	memcpy(group->members, members, sizeof(members[0]) * n);
	group->members_count = n;
	group_members_update(group);
}

/*
 * Return the servers of a group, to be recorded, as messages in an arena.
 */
Bp__RecordedMember **
group_members_write(const group_t *group, arena_t *arena, size_t *count)
{
	Bp__RecordedMember **list =
	    arena_zalloc(arena, sizeof(list[0]) * (group->count + 1));
	uint32_t i;

	for (i = 0; i < group->count; i++) {
		list[i] = (Bp__RecordedMember *)message_new(
		    arena, &bp__recorded_member__descriptor);
		list[i]->server = arena_strdup(arena, group->servers[i]->id);
		list[i]->born = group->servers[i]->generation;
		list[i]->address = server_address(group->servers[i], arena);
	}
	*count = group->count;
	return list;
}

/*
 * Tell whether the store has recorded exactly the servers of a group.
 */
static bool
members_current(const group_t *group)
{
	uint32_t i, found = 0;

	for (i = 0; i < group->count; i++) {
		const member_t *member =
		    member_find(group, group->servers[i]->id);

		found += member != NULL &&
		    member->born == group->servers[i]->generation;
	}
	return found == group->count && found == group->members_count;
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
	    group_list_new(group, now_us) || members_current(group) ||
	    now_us - group->members_sent_us < MEMBERS_INTERVAL_US)
		return;
	group->members_sent_us = now_us;
	msg = msg_new(&bp__group_members_wanted__descriptor);
	wanted = (Bp__GroupMembersWanted *)msg->body;
	wanted->group = arena_strdup(msg->arena, group->name);
	wanted->members =
	    group_members_write(group, msg->arena, &wanted->n_members);
	task_send(group->pool->proxy->registry, group->pool->task, msg);
}
