#include "decide.h"

/*
 * Fencing tokens of the coordinator.  No token is used twice, also if the
 * record is deleted, replaced by an older one or lost while all daemons
 * restart, since a token rests on the store's revision, which grows with each
 * change and is never reset: each token is above the revision of the record
 * that it replaces, or is the one at which the store created the record, and is
 * at most the revision of its own record.  So it is above those of all records
 * before, in whatever they say.  A token that is known to be higher all the
 * same was not chosen so; the next one is above it.
 *
 * When the store comes back from an older copy, it gives revisions out again.
 * So the era of the store is the upper part of the token: all tokens of an era
 * are higher than those of the eras before.
 */
#define ERA_SHIFT 40

/*
 * Return the number above which the tokens of an era are.
 */
static uint64_t
era_base(uint64_t era)
{
	return era <= STORE_ERA_FIRST ? 0
				      : (era - STORE_ERA_FIRST) << ERA_SHIFT;
}

/*
 * Return the token of a new coordinator.  known: highest token that is known,
 * in the record of the last one or elsewhere; 0: none.  revision: of the record
 * that is replaced; 0: there is none, so the token is not complete before the
 * store has created one; see fencing_token_created().
 */
uint64_t
fencing_token_next(uint64_t era, uint64_t known, uint64_t revision)
{
	uint64_t written = era_base(era) + revision;

	return (known > written ? known : written) + 1;
}

/*
 * Return the token of a coordinator whose record did not exist before.  token:
 * what the record says; revision: the one at which the store created it.
 */
uint64_t
fencing_token_created(uint64_t token, uint64_t revision)
{
	uint64_t created = (token >> ERA_SHIFT << ERA_SHIFT) + revision;

	return token > created ? token : created;
}

/*
 * Tell whether a token is of this era or a later one.
 */
bool
fencing_token_is_current(uint64_t era, uint64_t token)
{
	return token > era_base(era);
}

/*
 * Return the highest token that a coordinator may have had after the one with
 * this token, whose record had written_revision, until the record was
 * overwritten at another revision.  Each new coordinator raises a token that is
 * not below the revisions by one with a write, which raises the revision; a
 * token that is below them counts for nothing in the choice of the next.
 */
uint64_t
fencing_token_highest(
    uint64_t token, uint64_t written_revision, uint64_t revision)
{
	return token + (revision - written_revision) - 1;
}
