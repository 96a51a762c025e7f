#include "daemon_record.h"

#include <string.h>

/*
 * Tell whether the record under a process's name is its own, or was left by a
 * process that has ended: it names the process's own start, or an earlier one
 * at its address, at which one process at a time listens.  One that cannot be
 * read names nobody.
 */
bool
daemon_record_is_own(
    const daemon_record_t *record, uint64_t start, const char *address)
{
	return (record->start != 0 && record->start == start) ||
	    record->address[0] == '\0' ||
	    (strcmp(record->address, address) == 0 && record->start <= start);
}

/*
 * Tell whether a process may write its own record over the one under its name.
 * That of another process, elsewhere, stands for leases for as long as that one
 * relies on it, so it stays until then.  unchanged_us: time for which it is
 * known not to have changed; lapse_us: time after which an unchanged record is
 * relied on no more.
 */
bool
daemon_record_replaceable(const daemon_record_t *record, uint64_t start,
    const char *address, int64_t unchanged_us, int64_t lapse_us)
{
	return daemon_record_is_own(record, start, address) ||
	    !record->leases || unchanged_us >= lapse_us;
}
