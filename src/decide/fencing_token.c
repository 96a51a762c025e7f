#include "decide.h"

/*
 * Fencing tokens of the coordinator.  When the store comes back from an older
 * copy, the record with the last token is gone or has an older one, and another
 * daemon may have ordered with a higher one since.  So the era of the store is
 * the upper part of the token: all tokens of an era are higher than those of
 * the eras before.
 */
#define ERA_SHIFT 32

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
 * Return the token of a new coordinator.  recorded: token in the record of the
 * last one; 0: there is no record.
 */
uint64_t
fencing_token_next(uint64_t era, uint64_t recorded)
{
	uint64_t base = era_base(era);

	return (recorded > base ? recorded : base) + 1;
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
 * overwritten at another revision.  Each new coordinator raises the token by
 * one with a write, which raises the revision; one that has replaced an
 * overwritten record raises the token by less than the revision.
 */
uint64_t
fencing_token_highest(
    uint64_t token, uint64_t written_revision, uint64_t revision)
{
	return token + (revision - written_revision) - 1;
}
