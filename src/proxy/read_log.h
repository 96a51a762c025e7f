#ifndef PROXY_READ_LOG_H
#define PROXY_READ_LOG_H

#include "event.pb-c.h"
#include "pool.h"

/* What a read or a lease rests on, in the pool's log events. */

Bp__LeaseBasis *lease_basis_message(arena_t *, const group_t *, int64_t now_us);
Bp__PositionSample *read_sample_message(arena_t *, const operation_t *);
Bp__NeededFrom read_needed_from(const operation_t *);
char *format_position(arena_t *, position_t);

#endif
