#include "read_log.h"

#include <inttypes.h>

/* What a read or a lease rests on, in the pool's log events. */

/*
 * Format a log position as TERM.INDEX.  Returns NULL if there is none.
 */
char *
format_position(arena_t *arena, position_t position)
{
	return position.term == 0
	    ? NULL
	    : arena_printf(arena, "%" G_GUINT64_FORMAT ".%" G_GUINT64_FORMAT,
		  position.term, position.index);
}

/*
 * Note what the lease of a group rests on, which was just renewed.
 */
void
lease_basis_note(group_t *group, uint32_t primary)
{
	const lease_t *lease = &group->lease;
	lease_basis_t *basis = &group->lease_basis;
	uint32_t i;

	basis->term = lease->term;
	basis->server = group->servers[primary]->key;
	basis->proof = lease->proof;
	basis->asked_us = group->count > 1
	    ? MIN(lease->supported_us, lease->led_us)
	    : lease->supported_us;
	basis->record_us = lease->orders.read_us;
	basis->record_attempt = lease->orders.attempt_term;
	basis->record_era = lease->orders.era;
	basis->record_read_era = lease->orders.read_era;
	basis->block = lease->last_block;
	basis->list_us = group->pool->servers_known_us;
	basis->answers_count = group->count;
	for (i = 0; i < group->count; i++) {
		const db_view_t *view = &group->failover.views[i];

		basis->answers[i] =
		    (lease_answer_t){.server = group->servers[i]->key,
			.known = view->known,
			.primary = view->primary,
			.promised = view->promised,
			.requested_us = view->requested_us,
			.connected_us = view->connected_us};
	}
}

/*
 * Return the id of the server of a group that has a key, or NULL if it is not
 * listed any more.
 */
static char *
server_id(const group_t *group, uint64_t key)
{
	uint32_t i;

	for (i = 0; i < group->count; i++) {
		if (group->servers[i]->key == key)
			return group->servers[i]->id;
	}
	return NULL;
}

/*
 * Return the id of a server for a required field.
 */
static char *
server_name(const group_t *group, uint64_t key)
{
	char *id = server_id(group, key);

	return id == NULL ? (char *)"-" : id;
}

/*
 * Return what the lease of a group rested on when it was last renewed, or NULL
 * if there was none.
 */
Bp__LeaseBasis *
lease_basis_message(arena_t *arena, const group_t *group, int64_t now_us)
{
	const lease_basis_t *basis = &group->lease_basis;
	Bp__LeaseBasis *message;
	uint32_t i;

	if (basis->number == 0)
		return NULL;
	message =
	    (Bp__LeaseBasis *)message_new(arena, &bp__lease_basis__descriptor);
	message->lease = basis->number;
	message->server = server_name(group, basis->server);
	message->term = basis->term;
	message->proof = (Bp__LeaseProof)basis->proof;
	message->asked_ms = (now_us - basis->asked_us) / US_PER_MS;
	message->has_record_ms = message->has_record_attempt =
	    message->has_record_era = message->has_record_read_era =
		basis->record_us != 0;
	message->record_ms = (now_us - basis->record_us) / US_PER_MS;
	message->record_attempt = basis->record_attempt;
	message->record_era = basis->record_era;
	message->record_read_era = basis->record_read_era;
	message->has_block_end = message->has_block_attempt =
	    message->has_block_sign_ms =
		basis->block.ended_by != LEASE_NEVER_BLOCKED;
	message->block_end = (Bp__BlockEnd)basis->block.ended_by;
	message->block_attempt = basis->block.attempt_term;
	message->block_sign_ms = (now_us - basis->block.sign_us) / US_PER_MS;
	message->has_list_ms = basis->list_us != 0;
	message->list_ms = (now_us - basis->list_us) / US_PER_MS;
	message->servers = arena_zalloc(
	    arena, sizeof(message->servers[0]) * (basis->answers_count + 1));
	for (i = 0; i < basis->answers_count; i++) {
		const lease_answer_t *answer = &basis->answers[i];

		message->servers[message->n_servers++] = arena_printf(arena,
		    "%s:%s:%" PRIu64 ":%" PRId64 ":%" PRId64,
		    server_name(group, answer->server),
		    !answer->known        ? "unknown"
			: answer->primary ? "primary"
					  : "replica",
		    answer->promised,
		    (now_us - answer->requested_us) / US_PER_MS,
		    (now_us - answer->connected_us) / US_PER_MS);
	}
	return message;
}

/*
 * Return the sample from which the position follows that a statement required
 * of a replica, or NULL if it required none.
 */
Bp__PositionSample *
read_sample_message(arena_t *arena, const operation_t *operation)
{
	const position_sample_t *sample = &operation->sample;
	Bp__PositionSample *message;

	if (operation->needed.term == 0)
		return NULL;
	message = (Bp__PositionSample *)message_new(
	    arena, &bp__position_sample__descriptor);
	message->position = format_position(arena, sample->position);
	if (message->position == NULL)
		message->position = (char *)"-";
	message->age_ms = (operation->arrived_us - sample->at_us) / US_PER_MS;
	message->server = server_id(operation->group, sample->server);
	message->lease = sample->lease;
	return message;
}

/*
 * Tell whether the position that a statement required of a replica is that of
 * the sample or the session's floor.
 */
Bp__NeededFrom
read_needed_from(const operation_t *operation)
{
	return position_compare(operation->needed, operation->sample.position) >
		0
	    ? BP__NEEDED_FROM__FROM_FLOOR
	    : BP__NEEDED_FROM__FROM_SAMPLE;
}
