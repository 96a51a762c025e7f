#include "lease_internal.h"

#include <glib.h>

/* Time for which noted answers wait for a record. */
#define ANSWERS_NOTED_MAX_US (1 * US_PER_SECOND)

/*
 * Return the send time of the latest status requests, answered by before_us,
 * that found no newer promise at so many replicas that every majority contains
 * one of them or the primary itself; or 0.  Only answers on connections that
 * were opened by connected_us count.  members: number of recorded members,
 * which alone count; 0: the majority is one of all databases.
 */
static int64_t
supported_us(const lease_t *lease, const db_view_t *views, uint32_t count,
    uint32_t primary, int64_t before_us, int64_t connected_us, uint32_t members)
{
	uint32_t needed = members == 0
	    ? majority_of(count) - 1
	    : majority_of(members) - views[primary].member;
	uint32_t i, j, as_recent;
	bool counts[GROUP_DATABASES_MAX];
	int64_t asked_us = 0;

	/* the primary is the only member */
	if (members > 0 && needed == 0)
		return before_us;
	for (i = 0; i < count; i++)
		counts[i] = i != primary && views[i].known &&
		    !views[i].likely_ended &&
		    !promise_blocks(lease, &views[i], &views[primary]) &&
		    views[i].connected_us <= connected_us &&
		    views[i].requested_us <= before_us &&
		    views[i].answered_us <= before_us &&
		    (members == 0 || views[i].member);
	for (i = 0; i < count; i++) {
		if (!counts[i])
			continue;
		for (j = as_recent = 0; j < count; j++)
			as_recent += counts[j] &&
			    views[j].requested_us >= views[i].requested_us;
		if (as_recent >= needed && views[i].requested_us > asked_us)
			asked_us = views[i].requested_us;
	}
	return asked_us;
}

/*
 * Return the latest time at which all databases other than the primary
 * certainly denied that there is a newer one, or an attempt to make one; or 0.
 * None led a newer term then, nor did any other one, unless the list is out of
 * date.
 * members: number of recorded members, which must be among them; 0: none are
 * recorded.  Those that are no members count as well, since they may have been
 * recorded after this process read the record.
 */
static int64_t
denied_by_all_us(const lease_t *lease, const db_view_t *views, uint32_t count,
    uint32_t members)
{
	int64_t denied_us = lease->denials.certain_us;
	uint32_t i, found = 0;

	for (i = 0; i < count; i++)
		found += views[i].member;
	return found < members || all_unknown(lease, denied_us) ? 0 : denied_us;
}

/*
 * Note that every order that was sent before this process began to watch the
 * group has taken effect or never will, and that it led to no newer primary
 * than this one: that was verified since, or all databases have said so.  A
 * promise of a newer term does not matter for that.
 */
static void
note_aware(
    lease_t *lease, const db_view_t *views, uint32_t count, uint32_t primary)
{
	int64_t ended_us = lease->watched_since_us + ATTEMPT_MAX_US;
	bool all = !lease->incomplete && !all_unknown(lease, ended_us);
	uint32_t i;

	for (i = 0; i < count; i++)
		all &= views[i].known && views[i].requested_us >= ended_us &&
		    views[i].term <= views[primary].promised;
	if (all || lease->verified_us >= ended_us)
		lease->watched_since_us = 0;
}

/*
 * Return the send time of the requests whose answers were noted, if the record
 * was read after them, names no members, and they support a lease on a primary;
 * or 0.
 */
static int64_t
noted_answers_us(
    const lease_t *lease, const db_view_t *primary, uint32_t members)
{
	const lease_answers_t *answers = &lease->answers;

	return members == 0 && answers->noted_us != 0 &&
		answers->noted_us <= lease->orders.read_us &&
		answers->term == primary->promised &&
		answers->primary_key == primary->key
	    ? answers->asked_us
	    : 0;
}

/*
 * Note what the answers support that have come, before the record of the orders
 * is asked for.  Those that were noted before stay until a record that was
 * asked for after them is read, for ANSWERS_NOTED_MAX_US at most.  Only where
 * no members are recorded, as those that the next record names may be others.
 */
void
lease_note_answers(lease_t *lease, const db_view_t *views, uint32_t count,
    uint32_t primary, int64_t now_us)
{
	uint64_t term = views[primary].promised;
	uint32_t members = recorded_members(lease, term);
	lease_answers_t *answers = &lease->answers;
	int64_t asked_us;

	/* other members may be recorded in the record that is to be read */
	if (members > 0 || lease->blocked_term >= term ||
	    (answers->noted_us > lease->orders.read_us &&
		now_us - answers->noted_us < ANSWERS_NOTED_MAX_US))
		return;
	asked_us =
	    supported_us(lease, views, count, primary, now_us, INT64_MAX, 0);
	*answers = (lease_answers_t){.noted_us = asked_us == 0 ? 0 : now_us,
	    .asked_us = asked_us,
	    .term = term,
	    .primary_key = views[primary].key};
}

/*
 * Return the latest time at which it is certain that there was no newer primary
 * and no promise of a newer term at enough databases; or 0.
 *
 * An answer without a promise does not show that: a promotion ends the promises
 * also of databases that have not heard of it, and a database that restarts
 * forgets its own.  A promotion takes effect no earlier than the duration of a
 * lease after the last database has promised its term.  So answers that come
 * within that time after such a certain time, on connections that were open
 * then, do show it.  Otherwise all databases must have denied at one moment, or
 * the store must have recorded no order to replace the primary when it was read
 * after the answers had come: an order is recorded before it is sent.  Which of
 * these it was goes to *proof.
 */
static int64_t
certain_us(lease_t *lease, const db_view_t *views, uint32_t count,
    uint32_t primary, const lease_duration_t *durations, lease_proof_t *proof)
{
	uint32_t members = recorded_members(lease, views[primary].promised);
	int64_t known_us = denied_by_all_us(lease, views, count, members);
	int64_t asked_us;

	if (members_missing(lease, views[primary].promised) ||
	    order_recorded(lease, &views[primary]))
		known_us = 0;
	if (record_allows(lease, &views[primary])) {
		asked_us = supported_us(lease, views, count, primary,
		    lease->orders.read_us, INT64_MAX, members);
		asked_us = MAX(asked_us,
		    noted_answers_us(lease, &views[primary], members));
		if (asked_us > known_us) {
			known_us = asked_us;
			*proof = LEASE_BY_RECORD;
		}
	}
	if (known_us > lease->verified_us)
		lease->verified_us = known_us;
	asked_us = supported_us(lease, views, count, primary,
	    lease->verified_us +
		lease_duration_us(durations, lease->verified_us),
	    lease->verified_us, members);
	if (lease->verified_us != 0 && asked_us > known_us) {
		known_us = asked_us;
		*proof = LEASE_CONTINUED;
	}
	return known_us;
}

/*
 * Return the time at which it is certain that a primary without replicas was
 * not replaced: it needs no answers of others, unless it had replicas, or they
 * may not be listed yet.  Where the members are recorded, it must be the only
 * one; then nobody replaces it without its promise, whatever is listed.  Where
 * most of them have ended, their later starts may have promised a newer term,
 * which the record does not show before the order.
 */
static int64_t
alone_us(const lease_t *lease, const db_view_t *view, int64_t now_us)
{
	uint64_t term = view->promised;
	uint32_t members = recorded_members(lease, term);

	if (lease->members_ended ||
	    (members > 0 && (members > 1 || !view->member)))
		return 0;
	if (!members_missing(lease, term) && !order_recorded(lease, view) &&
	    (members > 0 || !all_unknown(lease, now_us)))
		return now_us;
	return record_allows(lease, view) ? lease->orders.read_us : 0;
}

/*
 * Tell whether a term is over because a database leads or follows a newer one.
 * Unlike a promise, such a term is not withdrawn, also when its primary is
 * gone.
 */
static bool
term_is_over(
    lease_t *lease, const db_view_t *views, uint32_t count, uint64_t term)
{
	uint32_t i;

	for (i = 0; i < count; i++) {
		if (views[i].known && views[i].term > lease->newest_term)
			lease->newest_term = views[i].term;
	}
	return term < lease->newest_term;
}

/*
 * Note that the primary led a term at a time: it has answered a request that
 * was sent then, which it carries out only as the primary.
 */
void
lease_primary_led(lease_t *lease, uint64_t term, int64_t at_us)
{
	if (term < lease->led_term ||
	    (term == lease->led_term && at_us <= lease->led_us))
		return;
	lease->led_term = term;
	lease->led_us = at_us;
}

/*
 * Note that the members were read from a record that was asked for at read_us,
 * in an era of the store.  Leases may rest on them in the term that its last
 * order leads to, and in the newest one that was seen before.  replaced_term:
 * the newest term whose primary that order was to replace.  In a new era the
 * orders of the one before may be lost, and others lead to their terms.
 */
void
lease_members_read(
    lease_t *lease, uint64_t replaced_term, uint64_t era, int64_t read_us)
{
	uint64_t term = replaced_term + 1;

	if (era > lease->members_era) {
		lease->members_era = era;
		lease->members_term = 0;
	}
	if (read_us >= lease->seen_us && lease->seen_term > term)
		term = lease->seen_term;
	if (term > lease->members_term)
		lease->members_term = term;
	if (read_us > lease->members_read_us)
		lease->members_read_us = read_us;
}

/*
 * Tell whether a database shows, since the newest term was seen, that the last
 * order was sent without a record: it holds the standing promise for it.  One
 * that was refused may have been followed by another order.
 */
static bool
unrecorded_order_shown(
    const lease_t *lease, const db_view_t *views, uint32_t count)
{
	const recorded_orders_t *orders = &lease->orders;
	uint32_t i;

	if (attempt_term_replaces(orders->attempt_term) == 0)
		return false;
	for (i = 0; i < count; i++) {
		if (views[i].known &&
		    views[i].promised == orders->attempt_term &&
		    views[i].requested_us >= lease->seen_us)
			return true;
	}
	return false;
}

/*
 * Tell whether the members must be read before a lease rests on them in a term,
 * or on the list where none were recorded: others may have been recorded in the
 * term before, and the former ones do not count any more.  They still do if the
 * order that led to the term was sent without a record: former_members_from().
 * So must the record be that may name an open order which this daemon was not
 * told of: failover_choice.c.  The next order takes effect no earlier than the
 * duration of a lease after the record has named that one.
 */
static bool
members_outdated(lease_t *lease, const db_view_t *views, uint32_t count,
    uint64_t term, int64_t long_us)
{
	if (lease->members_term == 0)
		return false;
	if (term == lease->members_term + 1 &&
	    lease->orders.replaced_term == lease->members_term &&
	    unrecorded_order_shown(lease, views, count)) {
		lease->members_term = term;
		lease->members_read_us = lease->seen_us;
	}
	return term > lease->members_term ||
	    lease->seen_us - lease->members_read_us > long_us;
}

/*
 * Note the newest term in which a primary is seen.
 */
static void
note_seen(lease_t *lease, uint64_t term, int64_t now_us)
{
	if (term <= lease->seen_term)
		return;
	lease->seen_term = term;
	lease->seen_us = now_us;
}

/*
 * Renew a lease from the status answers of the databases.  Returns whether
 * the lease has changed.  A lease never goes back to an older term.
 *
 * A failover first obtains promises of a newer term from a majority, and then
 * waits for the duration of the leases before it promotes.  So the primary's
 * term is safe for that duration after status requests that found no newer
 * promise at enough replicas, if no newer primary had begun by then.  In a
 * handover the promise of the primary alone suffices, so the lease also rests
 * on its own answers: it ends its term before the wait begins.  A process
 * that has not read the recorded orders yet does not know of any order, and has
 * no lease.
 */
bool
lease_renew(lease_t *lease, const db_view_t *views, uint32_t count,
    uint32_t primary, int64_t now_us, const lease_duration_t *durations)
{
	const db_view_t *view = &views[primary];
	lease_proof_t proof = count == 1 ? LEASE_ALONE : LEASE_BY_ALL;
	int64_t asked_us, until_us, ends_us;

	lease->unverified = false;
	if (!view->known || !view->primary || view->promised < lease->term ||
	    term_is_over(lease, views, count, view->promised))
		return false;
	note_aware(lease, views, count, primary);
	denials_note(lease, views, count, primary, now_us, durations);
	note_seen(lease, view->promised, now_us);
	if (renewal_blocked(lease, views, count, primary)) {
		lease->answers.noted_us = 0;
		return false;
	}
	if (lease->orders.read_us == 0 || record_outdated(lease) ||
	    members_outdated(
		lease, views, count, view->promised, durations->long_us) ||
	    (recorded_members(lease, view->promised) == 0 &&
		list_outdated(lease, now_us))) {
		lease->unverified = true;
		return false;
	}
	asked_us = count == 1
	    ? alone_us(lease, view, now_us)
	    : certain_us(lease, views, count, primary, durations, &proof);
	if (asked_us > lease->verified_us)
		lease->verified_us = asked_us;
	lease_primary_led(lease, view->promised, view->requested_us);
	lease->supported_us = asked_us;
	if (count > 1 && asked_us > lease->led_us)
		asked_us = lease->led_us;
	until_us = asked_us + lease_duration_us(durations, asked_us);
	if (lease->supported_us == 0 ||
	    lease->supported_us +
		    lease_duration_us(durations, lease->supported_us) <=
		now_us)
		lease->unverified = count == 1 ||
		    supported_us(lease, views, count, primary, INT64_MAX,
			INT64_MAX, 0) > lease->supported_us;
	ends_us = view->promised == lease->term ? lease->expires_us : now_us;
	if (asked_us == 0 || until_us <= ends_us)
		return false;
	lease->incomplete &= view->promised == lease->term;
	lease->removed_alive &= view->promised == lease->term;
	lease->term = view->promised;
	lease->expires_us = until_us;
	lease->proof = proof;
	return true;
}

/*
 * Return the time until which the answers of the primary, or those of the other
 * databases, support a lease; 0 if they do not.
 */
int64_t
lease_supported_until_us(
    const lease_t *lease, const lease_duration_t *durations, bool primary)
{
	int64_t asked_us = primary ? lease->led_us : lease->supported_us;

	return asked_us == 0
	    ? 0
	    : asked_us + lease_duration_us(durations, asked_us);
}

/*
 * Tell whether a lease, if renewed now, may last longer: it rested on an answer
 * of the primary that was older than those of the other databases, and the
 * primary has carried out a write since.
 */
bool
lease_extendable(const lease_t *lease, const lease_duration_t *durations)
{
	return lease->led_term == lease->term &&
	    lease_supported_until_us(lease, durations, true) >
	    lease->expires_us &&
	    lease_supported_until_us(lease, durations, false) >
	    lease->expires_us;
}

/*
 * Return the latest time at which it is certain that no open order to promote
 * another database than the primary had taken effect: each of these databases
 * was asked for its status then, and has answered that it follows.  INT64_MAX
 * if there is no such order; 0 if one of these has led or followed a newer term
 * than that of the lease, also if the primary has begun a newer one since.  The
 * promises of an attempt keep a lease safe from its own order only, so an
 * answer of the primary is valid only if both the lease and this time cover it.
 */
int64_t
lease_checked_us(const lease_t *lease, const db_view_t *views, uint32_t count,
    uint32_t primary)
{
	int64_t checked_us = lease->order_open_outside ? 0 : INT64_MAX;
	uint32_t i;

	for (i = 0; i < count; i++) {
		const db_view_t *view = &views[i];

		if (i == primary || !view->order_open)
			continue;
		if (!view->known || view->term > views[primary].promised ||
		    (lease->term != 0 && view->term > lease->term))
			return 0;
		if (view->requested_us < checked_us)
			checked_us = view->requested_us;
	}
	return checked_us;
}

/*
 * Return the newest term in which a primary is known.
 */
uint64_t
lease_newest_term(const lease_t *lease)
{
	return lease->term > lease->newest_term ? lease->term
						: lease->newest_term;
}

/*
 * Note that a primary leads a term: there are no leases in an older one.
 */
void
lease_term_begun(lease_t *lease, uint64_t term)
{
	if (term > lease->newest_term)
		lease->newest_term = term;
}

/*
 * Note what the store has recorded of the orders to replace a primary of the
 * group.
 */
void
lease_orders_read(lease_t *lease, const recorded_orders_t *orders)
{
	if (orders->read_us < lease->orders.read_us)
		return;
	if (lease->orders.read_us == 0) {
		lease->first_attempt_term = orders->attempt_term;
		lease->first_read_era = orders->read_era;
	}
	recorded_orders_update(&lease->orders, orders);
}

/*
 * Note the era of the store.  If it is newer than that of the last read of the
 * record, there is no lease before the record is read again.
 */
void
lease_store_era(lease_t *lease, uint64_t era)
{
	if (era > lease->store_era)
		lease->store_era = era;
}

/*
 * Note that a database has been removed from the group that had not said that
 * it leaves.  ended: its process has ended for certain.
 */
void
lease_member_lost(lease_t *lease, bool ended)
{
	lease->incomplete = true;
	lease->removed_alive |= !ended;
	lease->answers.noted_us = 0;
	denials_forget(lease);
}

/*
 * Tell whether there is no lease because of a failover that may have been
 * abandoned, or an order that may have taken no effect.
 */
bool
lease_held_up(const lease_t *lease, int64_t now_us)
{
	return lease->expires_us <= now_us &&
	    (lease->blocked_term != 0 || lease->unverified);
}

/*
 * Return the time since which this process watches the group, if there is no
 * lease on the primary of a term because an earlier order may have been sent
 * that is not recorded; otherwise 0.
 */
int64_t
lease_unaware_since_us(const lease_t *lease, uint64_t term, int64_t now_us)
{
	return lease_held_up(lease, now_us) && unaware(lease, term)
	    ? lease->watched_since_us
	    : 0;
}

/*
 * End a lease because what it relied on is gone: the daemon is no longer
 * listed, and not told to revoke its lease, or the servers of the group have
 * changed.
 */
void
lease_cancel(lease_t *lease)
{
	lease->expires_us = lease->supported_us = lease->answers.noted_us = 0;
	denials_forget(lease);
}
