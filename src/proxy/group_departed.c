#include "pool.h"

#include "decide/start.h"

#include <string.h>

/*
 * Databases that have left a group.  A later start of one holds commits, and
 * receives more, before it is listed, also when the record has it no more.  So
 * each counts as absent until it or a later start is listed, or for
 * START_LOST_US.
 */

/*
 * Forget the databases that have left a group.
 */
void
group_departed_clear(group_t *group)
{
	group_members_free(group->departed, group->departed_count);
	group->departed_count = 0;
}

/*
 * Tell whether two starts are of one database.
 */
static bool
same_database(const member_t *a, const member_t *b)
{
	start_t first = {a->id, a->address, a->born};
	start_t second = {b->id, b->address, b->born};

	return strcmp(a->id, b->id) == 0 || start_follows(&first, &second) ||
	    start_follows(&second, &first);
}

/*
 * Forget a database that has left a group.
 */
static void
departed_remove(group_t *group, uint32_t index)
{
	group_members_free(&group->departed[index], 1);
	group->departed_count--;
	memmove(&group->departed[index], &group->departed[index + 1],
	    sizeof(group->departed[0]) * (group->departed_count - index));
}

/*
 * Note that a start is not in a group any more.  The time counts from the last
 * one of its database.  If there is no room, the oldest one goes.
 */
void
group_departed_note(group_t *group, const char *id, uint64_t born,
    const char *address, int64_t now_us)
{
	member_t start = {g_strdup(id), born, g_strdup(address), START_STAYS,
	    now_us + START_LOST_US};
	uint32_t i = group->departed_count;

	while (i-- > 0) {
		if (same_database(&group->departed[i], &start))
			departed_remove(group, i);
	}
	if (group->departed_count == GROUP_DATABASES_MAX)
		departed_remove(group, 0);
	group->departed[group->departed_count++] = start;
}

/*
 * Tell whether a start of a database is a recorded member of a group.
 */
static bool
database_recorded(const group_t *group, const member_t *start)
{
	uint32_t i;

	for (i = 0; i < group->members_count; i++) {
		if (same_database(&group->members[i], start))
			return true;
	}
	return false;
}

/*
 * Return the number of databases that have left a group and may run, without
 * the recorded members.  Forget those that are listed again, or have not been
 * for START_LOST_US.
 */
uint32_t
group_departed_count(group_t *group, int64_t now_us)
{
	uint32_t i = group->departed_count, n = 0;

	while (i-- > 0) {
		const member_t *start = &group->departed[i];

		if (now_us >= start->kept_until_us ||
		    !group_member_absent(group, start))
			departed_remove(group, i);
		else
			n += !database_recorded(group, start);
	}
	return n;
}
