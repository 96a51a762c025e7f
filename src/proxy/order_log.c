#include "order_log.h"

#include "decide/failover_choice.h"

#include <inttypes.h>

/* What an order to promote a server rests on, in the pool's log events. */

/*
 * Return the name of a reason for the log, "-" if there is none.
 */
static const char *
removal_name(start_removal_t removal)
{
	const ProtobufCEnumValue *value = protobuf_c_enum_descriptor_get_value(
	    &bp__removal_reason__descriptor, (int)removal);

	return value == NULL ? "-" : value->name;
}

/*
 * Return the votes of the servers of a group for an attempt, as written in
 * PromotionBasis.
 */
static char **
format_votes(
    arena_t *arena, const group_t *group, int64_t now_us, size_t *count)
{
	const failover_t *failover = &group->failover;
	char **votes =
	    arena_zalloc(arena, sizeof(votes[0]) * (group->count + 1));
	uint32_t i;

	for (i = 0; i < group->count; i++) {
		const db_view_t *view = &failover->views[i];

		votes[i] = arena_printf(arena,
		    "%s:%s%s:%" PRIu64 ":%" PRId64 ":%" PRId64,
		    group->servers[i]->id, failover->granted[i] ? "" : "!",
		    view->member ? "member" : "other", view->promised,
		    view->known ? (now_us - view->requested_us) / US_PER_MS
				: -1,
		    view->known ? (now_us - view->connected_us) / US_PER_MS
				: -1);
	}
	*count = group->count;
	return votes;
}

/*
 * Return the recorded members of a group, as written in PromotionBasis.
 */
static char **
format_members(arena_t *arena, const group_t *group, size_t *count)
{
	char **members = arena_zalloc(
	    arena, sizeof(members[0]) * (group->members_count + 1));
	uint32_t i;

	for (i = 0; i < group->members_count; i++) {
		const member_t *member = &group->members[i];

		members[i] = arena_printf(arena, "%s:%" PRIu64 ":%s",
		    member->id, member->born,
		    removal_name(group_member_ended_by(group, member)));
	}
	*count = group->members_count;
	return members;
}

/*
 * Return the ids of the servers that are not promoted, as other daemons may not
 * know of them.  In a handover that does not matter.
 */
static char **
new_servers(arena_t *arena, const group_t *group, size_t *count)
{
	char **ids = arena_zalloc(arena, sizeof(ids[0]) * (group->count + 1));
	size_t n = 0;
	uint32_t i;

	for (i = 0; i < group->count; i++) {
		if (group->failover.stepping_down < 0 &&
		    failover_is_new(&group->failover, i))
			ids[n++] = arena_strdup(arena, group->servers[i]->id);
	}
	*count = n;
	return ids;
}

/*
 * Return what allows the order of the attempt under way.
 */
Bp__PromotionBasis *
promotion_basis_message(arena_t *arena, const group_t *group, int64_t now_us)
{
	const failover_t *failover = &group->failover;
	Bp__PromotionBasis *basis = (Bp__PromotionBasis *)message_new(
	    arena, &bp__promotion_basis__descriptor);

	basis->needed = grants_needed(failover);
	basis->members_needed =
	    failover->members == 0 ? 0 : majority_of(failover->members);
	basis->members_ended = failover->members_ended;
	basis->members = format_members(arena, group, &basis->n_members);
	basis->servers = format_votes(arena, group, now_us, &basis->n_servers);
	basis->promised_ms = (now_us - failover->granted_us) / US_PER_MS;
	basis->revoked_by_all = failover->revoked_by_all;
	basis->replaced_term = failover_term_to_replace(failover);
	basis->passed_over = new_servers(arena, group, &basis->n_passed_over);
	return basis;
}

/*
 * Log whether the servers hold their promises for an order that is recorded.
 */
void
log_promises_counted(const group_t *group, uint64_t term, bool held)
{
	Bp__PromisesCounted counted = BP__PROMISES_COUNTED__INIT;
	arena_t *arena = arena_new();

	counted.group = group->name;
	counted.term = term;
	counted.held = held;
	counted.servers =
	    format_votes(arena, group, clock_us(), &counted.n_servers);
	log_event(G_LOG_LEVEL_INFO, &counted.base);
	arena_free(arena);
}
