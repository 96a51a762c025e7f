#include "decide.h"

/*
 * Tell whether an accepted document replaces the one in force.  Versions are
 * those of the team's object; a daemon never steps back.
 */
bool
version_supersedes(uint64_t offered, uint64_t in_force)
{
	return offered > in_force;
}

/*
 * Tell whether a version of the team's object is still to be judged: it is
 * newer than the accepted one and than the last that was judged.
 */
bool
version_to_judge(uint64_t team, uint64_t accepted, uint64_t judged)
{
	return team > accepted && team > judged;
}
