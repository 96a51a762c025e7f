#include "session_floors.h"

#include <glib.h>
#include <string.h>

/*
 * Move a floor to the front, since its group was written to last.
 */
static session_floor_t *
move_to_front(session_floors_t *floors, uint32_t i)
{
	session_floor_t floor = floors->floors[i];

	memmove(&floors->floors[1], &floors->floors[0],
	    sizeof(floors->floors[0]) * i);
	floors->floors[0] = floor;
	return &floors->floors[0];
}

/*
 * Add a floor at the front.  If there are too many, drop that of the group
 * whose last write is the oldest.
 */
static session_floor_t *
add(session_floors_t *floors, const char *group)
{
	session_floor_t *last;

	if (floors->count == SESSION_FLOORS_MAX) {
		floors->dropped = true;
		g_free(floors->floors[--floors->count].group);
	} else {
		floors->floors =
		    g_renew(session_floor_t, floors->floors, floors->count + 1);
	}
	last = &floors->floors[floors->count++];
	last->group = g_strdup(group);
	last->position = (position_t){0, 0};
	return move_to_front(floors, floors->count - 1);
}

/*
 * Note the position of an acknowledged write to a group.  A floor never falls.
 */
void
session_floors_note(
    session_floors_t *floors, const char *group, position_t position)
{
	session_floor_t *floor;
	uint32_t i = 0;

	while (i < floors->count && strcmp(floors->floors[i].group, group) != 0)
		i++;
	floor =
	    i < floors->count ? move_to_front(floors, i) : add(floors, group);
	floor->position = position_max(floor->position, position);
}

/*
 * Look up the floor of a group, of term 0 if the session has not written to it.
 * Returns false if its floor may have been dropped, so that only the primary is
 * known to have the session's writes.
 */
bool
session_floors_find(
    const session_floors_t *floors, const char *group, position_t *position)
{
	uint32_t i;

	*position = (position_t){0, 0};
	for (i = 0; i < floors->count; i++) {
		if (strcmp(floors->floors[i].group, group) == 0) {
			*position = floors->floors[i].position;
			return true;
		}
	}
	return !floors->dropped;
}

/*
 * Free the floors.
 */
void
session_floors_clear(session_floors_t *floors)
{
	uint32_t i;

	for (i = 0; i < floors->count; i++)
		g_free(floors->floors[i].group);
	g_free(floors->floors);
	memset(floors, 0, sizeof(*floors));
}
