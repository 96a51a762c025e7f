#ifndef PROXY_RECORDED_MEMBERS_H
#define PROXY_RECORDED_MEMBERS_H

#include "bergamotplank.h"
#include "decide/failover.h"
#include "proxy.pb-c.h"

/*
 * The members of a group as they are recorded, or to be, and the former ones on
 * which leases may still rest.
 */
typedef struct recorded_members {
	arena_t *arena; /* of the lists; NULL: none */
	Bp__RecordedMember **list;
	size_t count;
	Bp__FormerMembers **former;
	size_t former_count;
} recorded_members_t;

void recorded_members_set(recorded_members_t *, Bp__RecordedMember *const *,
    size_t count, Bp__FormerMembers *const *former, size_t former_count);
void recorded_members_replace(recorded_members_t *, Bp__RecordedMember *const *,
    size_t count, const Bp__MembersChange *, const recorded_orders_t *);
bool recorded_members_equal(
    const recorded_members_t *, const Bp__RecordedOrder *);
void recorded_members_clear(recorded_members_t *);

#endif
