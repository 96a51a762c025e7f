#ifndef DECIDE_DAEMON_RECORD_H
#define DECIDE_DAEMON_RECORD_H

#include <stdbool.h>
#include <stdint.h>

/*
 * The record in the store under a daemon's name, which belongs to one process.
 */
typedef struct daemon_record {
	uint64_t start;      /* of its process, ms of real time; 0: not known */
	const char *address; /* "": the record cannot be read */
	bool leases;         /* its process may rely on it for leases */
} daemon_record_t;

bool daemon_record_is_own(
    const daemon_record_t *, uint64_t start, const char *address);
bool daemon_record_replaceable(const daemon_record_t *, uint64_t start,
    const char *address, int64_t unchanged_us, int64_t lapse_us);

#endif
