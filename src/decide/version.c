#include "decide.h"

/*
 * Tell whether an accepted document replaces the one in force.  Versions are
 * those of the team's object in the platform; a daemon never goes back to an
 * older version.
 */
bool
version_supersedes(uint64_t offered, uint64_t in_force)
{
	return offered > in_force;
}

/*
 * Tell whether a version of the team's object still has to be validated: it
 * must be newer than the accepted version and than the last one that was
 * validated, whether that was accepted or rejected.
 */
bool
version_needs_validation(
    uint64_t team_version, uint64_t accepted, uint64_t validated)
{
	return team_version > accepted && team_version > validated;
}
