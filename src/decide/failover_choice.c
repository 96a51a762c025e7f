#include "failover_choice.h"

#include <string.h>

/*
 * Return the newest term that is known to have begun.
 */
static uint64_t
newest_begun(const failover_t *failover)
{
	uint64_t newest = failover->reported_term;
	uint32_t i;

	for (i = 0; i < failover->count; i++) {
		if (failover->views[i].known)
			newest = MAX(newest, failover->views[i].term);
	}
	return newest;
}

/* The logs that a choice is made from. */
typedef struct log_set {
	bool heard[GROUP_DATABASES_MAX];
	bool eligible[GROUP_DATABASES_MAX]; /* heard, and may take over */
	position_t ends[GROUP_DATABASES_MAX];
	uint32_t count; /* of those that were heard */
} log_set_t;

/*
 * Tell whether a database was listed so recently that a daemon may not know of
 * it, and takes the answers of the others for those of all.
 */
bool
failover_is_new(const failover_t *failover, uint32_t database)
{
	return failover->views[database].newly_listed &&
	    failover_members_lack(failover, database);
}

/*
 * Tell whether a database is listed, and is not new.  Where commits are
 * synchronous, one that is not listed may be the only one that holds the last;
 * so may a new one, for which best_known_log() waits.
 */
static bool
may_be_promoted(const failover_t *failover, uint32_t database)
{
	return failover->limits.sync_replicas > 0 ||
	    (!failover->views[database].unlisted &&
		!failover_is_new(failover, database));
}

/*
 * Return the logs of the databases that have promised the term.
 */
static log_set_t
granted_logs(const failover_t *failover)
{
	log_set_t logs = {0};
	uint32_t i;

	for (i = 0; i < failover->count; i++) {
		logs.heard[i] = failover->granted[i];
		logs.eligible[i] =
		    logs.heard[i] && may_be_promoted(failover, i);
		logs.ends[i] = failover->granted_position[i];
		logs.count += logs.heard[i];
	}
	return logs;
}

/*
 * Return the logs of the databases that answer, as last reported.  An isolated
 * primary is not promoted.
 */
static log_set_t
answering_logs(const failover_t *failover, int64_t now_us)
{
	log_set_t logs = {0};
	uint32_t i;

	for (i = 0; i < failover->count; i++) {
		logs.heard[i] = failover_answers(failover, i, now_us);
		logs.eligible[i] = logs.heard[i] &&
		    (int32_t)i != failover->isolated &&
		    may_be_promoted(failover, i);
		logs.ends[i] = failover->views[i].last_entry;
		logs.count += logs.heard[i];
	}
	return logs;
}

/*
 * Return the same where a primary in a term hands over.  Only a database that
 * is not leaving and has received that term may succeed it: any other one lacks
 * what the primary has acknowledged, and may have entries that the group has
 * given up.
 */
static log_set_t
succeeding_logs(
    const failover_t *failover, int32_t primary, uint64_t term, int64_t now_us)
{
	log_set_t logs = answering_logs(failover, now_us);
	uint32_t i;

	for (i = 0; i < failover->count; i++)
		logs.eligible[i] = logs.heard[i] && (int32_t)i != primary &&
		    !failover->views[i].leaving &&
		    failover->views[i].term >= term;
	return logs;
}

/*
 * Return the newest term that a database has led or followed.
 */
static uint64_t
followed_term(const failover_t *failover, const log_set_t *logs, uint32_t i)
{
	return MAX(failover->views[i].term, logs->ends[i].term);
}

/*
 * Tell whether a term may have begun after an entry that is not known, and a
 * database has not followed it.
 */
static bool
base_unknown(const failover_t *failover, const log_set_t *logs, uint32_t i,
    uint64_t limit)
{
	return recorded_orders_base_unknown(&failover->recorded, limit,
	    newest_begun(failover), followed_term(failover, logs, i));
}

/*
 * Tell whether a log is a prefix of another, which has not followed the newest
 * term either.
 */
static bool
is_prefix(
    const failover_t *failover, const log_set_t *logs, uint32_t a, uint32_t b)
{
	uint64_t a_term = followed_term(failover, logs, a);
	uint64_t b_term = followed_term(failover, logs, b);

	return logs->ends[a].index <= logs->ends[b].index &&
	    position_compare(logs->ends[a], logs->ends[b]) <= 0 &&
	    !recorded_orders_base_unknown(
		&failover->recorded, b_term, b_term, a_term);
}

/*
 * Tell whether a log is clean: it has certainly no entries that the group has
 * given up.
 * Where a term may have begun after an unknown entry, this holds for the
 * shortest log of a majority alone: a promotion names a log that contains those
 * of so many databases that promised it that each majority includes one of
 * them.  limit: orders to replace a primary of this term or a newer one have
 * not taken effect.
 */
static bool
is_clean(const failover_t *failover, const log_set_t *logs, uint32_t i,
    uint64_t limit)
{
	uint32_t j;

	if (recorded_orders_given_up(&failover->recorded, limit, logs->ends[i]))
		return false;
	if (!base_unknown(failover, logs, i, limit))
		return true;
	if (logs->count < majority_of(MAX(failover->count, failover->members)))
		return false;
	for (j = 0; j < failover->count; j++) {
		if (j != i && logs->heard[j] &&
		    (!base_unknown(failover, logs, j, limit) ||
			!is_prefix(failover, logs, i, j)))
			return false;
	}
	return true;
}

/*
 * Tell whether a log that may have given up entries must not be used.  Where
 * commits are synchronous, it may be the only one that holds the last commits;
 * without promises that can be withdrawn, each promotion needs a log that
 * contains all that was acknowledged.
 */
static bool
only_clean_logs(const failover_t *failover)
{
	return failover->limits.revocable &&
	    failover->limits.sync_replicas == 0;
}

/*
 * Tell whether the last recorded order has certainly had no effect, nor those
 * before it in the same term: each database of the group was asked after it
 * could take effect, and follows no newer term.
 */
static bool
last_order_void(const failover_t *failover)
{
	uint32_t i, members = 0;

	if (failover->order_open_outside)
		return false;
	for (i = 0; i < failover->count; i++) {
		const db_view_t *view = &failover->views[i];

		members += view->member;
		if (!view->known || view->order_open ||
		    view->term > failover->recorded.replaced_term ||
		    view->requested_us <
			failover->recorded_us + failover->limits.order_late_us)
			return false;
	}
	return members >= failover->members;
}

/*
 * Make those databases ineligible whose log must not be used.  First assume
 * that each recorded order has begun a term.  If that leaves no database, and
 * the last order has certainly begun none, count only the terms that are known
 * to have begun.
 */
static void
exclude_given_up(const failover_t *failover, log_set_t *logs)
{
	bool clean[GROUP_DATABASES_MAX] = {false};
	uint64_t limit = UINT64_MAX;
	bool any = false;
	uint32_t i;

	if (!only_clean_logs(failover))
		return;
	for (;;) {
		for (i = 0; i < failover->count; i++) {
			clean[i] = logs->eligible[i] &&
			    is_clean(failover, logs, i, limit);
			any |= clean[i];
		}
		if (any || limit != UINT64_MAX || !last_order_void(failover))
			break;
		limit = newest_begun(failover);
	}
	memcpy(logs->eligible, clean, sizeof(clean));
}

/*
 * Tell whether any database is eligible.
 */
static bool
any_eligible(const failover_t *failover, const log_set_t *logs)
{
	uint32_t i;

	for (i = 0; i < failover->count; i++) {
		if (logs->eligible[i])
			return true;
	}
	return false;
}

/*
 * Compare the logs of two databases as candidates for a promotion: one without
 * given up entries is better, then the one that reaches further.  Where commits
 * are synchronous, first the one whose entries that were not given up reach
 * further, since it may be the only one that holds the last commits.
 */
static int32_t
compare_logs(const failover_t *failover, position_t a, position_t b)
{
	const recorded_orders_t *recorded = &failover->recorded;
	uint64_t newest = newest_begun(failover);
	position_t a_used = recorded_orders_used_end(recorded, newest, a);
	position_t b_used = recorded_orders_used_end(recorded, newest, b);
	bool a_given_up = position_compare(a_used, a) != 0;
	bool b_given_up = position_compare(b_used, b) != 0;

	if (failover->limits.sync_replicas > 0 &&
	    position_compare(a_used, b_used) != 0)
		return position_compare(a_used, b_used);
	if (a_given_up != b_given_up)
		return a_given_up ? -1 : 1;
	return position_compare(a, b);
}

/*
 * Tell whether a database is preferred to another with an equal log.
 */
static bool
preferred(const failover_t *failover, uint32_t a, uint32_t b)
{
	const db_view_t *views = failover->views;

	if (failover_is_new(failover, a) != failover_is_new(failover, b))
		return failover_is_new(failover, b);
	return views[a].leaving != views[b].leaving
	    ? views[b].leaving
	    : views[a].order_open && !views[b].order_open;
}

/*
 * Return the database with the best log among the eligible ones, or UINT32_MAX
 * if there is none.  staying: leave out those that are leaving.  Of equal ones,
 * a database that is not new is preferred, then one that is not leaving, then
 * one to which an order is open, since another order to the same database does
 * no harm.
 */
static uint32_t
best_log(const failover_t *failover, const log_set_t *logs, bool staying)
{
	const db_view_t *views = failover->views;
	uint32_t i, best = UINT32_MAX;
	int32_t cmp;

	for (i = 0; i < failover->count; i++) {
		if (!logs->eligible[i] || (staying && views[i].leaving))
			continue;
		if (best == UINT32_MAX) {
			best = i;
			continue;
		}
		cmp = compare_logs(failover, logs->ends[i], logs->ends[best]);
		if (cmp > 0 || (cmp == 0 && preferred(failover, i, best)))
			best = i;
	}
	return best;
}

/*
 * Tell whether a log contains the logs of so many others that each majority of
 * the group includes one of these databases, as is_clean() requires of each
 * promotion.
 */
static bool
contains_enough(
    const failover_t *failover, const log_set_t *logs, uint32_t chosen)
{
	uint32_t i, n = 0, count = MAX(failover->count, failover->members);

	for (i = 0; i < failover->count; i++)
		n += logs->heard[i] &&
		    (i == chosen || is_prefix(failover, logs, i, chosen));
	return n > count - majority_of(count);
}

/*
 * Return the database with the best log among those that stay in the group, or
 * UINT32_MAX if there is none that may be promoted past a longer log.
 */
static uint32_t
best_staying(const failover_t *failover, const log_set_t *logs)
{
	uint32_t best = best_log(failover, logs, true);

	return best != UINT32_MAX && contains_enough(failover, logs, best)
	    ? best
	    : UINT32_MAX;
}

/*
 * Tell whether an order to another database is open.
 */
bool
order_open_elsewhere(const failover_t *failover, int32_t database)
{
	bool elsewhere = failover->order_open_outside;
	int32_t i;

	for (i = 0; i < (int32_t)failover->count; i++)
		elsewhere |= i != database && failover->views[i].order_open;
	return elsewhere;
}

/*
 * Tell whether each daemon that was not told of the open orders reads of them
 * before it has a lease in the next term: the record has named them since
 * before the last promise of this attempt.  Its lease in an older term ends
 * before a database is promoted, and one in the next term rests on a record
 * that was read later than the duration of a lease before: members_outdated()
 * in lease.c; unless the order was sent without a record.
 */
static bool
open_orders_will_be_read(const failover_t *failover)
{
	return !failover->store_away &&
	    attempt_term_replaces(failover->term) == 0 &&
	    attempt_term_replaces(failover->fenced_term) == 0 &&
	    failover->orders_named_us <= failover->granted_us;
}

/*
 * Tell whether the open orders allow the promotion of a database.  An order to
 * another one may take effect after this promotion, and the daemons check that
 * for each answer of the new primary.  So all of them must know of it before
 * they have a lease on that one; those that have revoked their leases for this
 * attempt were told, and the others wait for their leases to end:
 * ready_to_promote().
 */
static bool
open_orders_allow(const failover_t *failover, int32_t chosen)
{
	return !order_open_elsewhere(failover, chosen) ||
	    failover->revoked_by_all || open_orders_will_be_read(failover);
}

/*
 * Return the database with the best log among the eligible ones, or UINT32_MAX
 * if there is none, or it is new: then it has to be waited for, as only it may
 * hold the last commits.
 */
static uint32_t
best_known_log(const failover_t *failover, const log_set_t *logs)
{
	uint32_t best = best_log(failover, logs, false);

	return best != UINT32_MAX && failover_is_new(failover, best)
	    ? UINT32_MAX
	    : best;
}

/*
 * Return the best database to promote among those that promised the term and
 * are listed, or UINT32_MAX if there is none whose log may be used.  Where
 * commits need no replica, one that is leaving is promoted only if no other can
 * be: it would have to be replaced again at once.  The result may be promoted
 * only when grants_suffice() is true.
 */
static uint32_t
choose_most_advanced(const failover_t *failover)
{
	log_set_t logs = granted_logs(failover);
	uint32_t staying = UINT32_MAX;

	exclude_given_up(failover, &logs);
	if (only_clean_logs(failover))
		staying = best_staying(failover, &logs);
	if (staying != UINT32_MAX &&
	    open_orders_allow(failover, (int32_t)staying))
		return staying;
	return best_known_log(failover, &logs);
}

/*
 * Return the number of databases that have promised the term.
 */
static uint32_t
promised_count(const failover_t *failover, const bool *promised)
{
	uint32_t i, n = 0;

	for (i = 0; i < failover->count; i++)
		n += promised[i];
	return n;
}

/*
 * Return the number of promises that a choice needs: a majority, and so many
 * that at least one of these databases holds each acknowledged commit, given
 * that a commit is acknowledged once sync_replicas replicas besides the primary
 * hold it.  A later start of a member that has ended may be one of these before
 * it is listed.
 */
uint32_t
grants_needed(const failover_t *failover)
{
	uint32_t sync = failover->limits.sync_replicas;
	uint32_t needed = majority_of(failover->count);
	uint32_t all = failover->count + failover->members_absent;

	if (sync > 0 && sync < all)
		needed = MAX(needed, all - sync);
	return needed;
}

/*
 * Choose the successor of a primary that has stepped down for a handover: the
 * most advanced database that answers and may succeed it.  It must have the
 * primary's whole log; only without synchronous replicas may it lack entries
 * when the time to catch up is over.  Returns -1 while there is none.
 */
static int32_t
choose_successor(const failover_t *failover, int64_t now_us)
{
	const failover_limits_t *limits = &failover->limits;
	log_set_t logs = succeeding_logs(failover, failover->stepping_down,
	    failover->fenced_from_term, now_us);
	int32_t i, best = -1;

	exclude_given_up(failover, &logs);
	for (i = 0; i < (int32_t)failover->count; i++) {
		if (!logs.eligible[i])
			continue;
		if (best < 0 ||
		    compare_logs(failover, logs.ends[i], logs.ends[best]) > 0)
			best = i;
	}
	if (best < 0 ||
	    position_compare(failover->views[best].last_entry,
		failover->granted_position[failover->stepping_down]) >= 0)
		return best;
	return limits->sync_replicas == 0 &&
		now_us - failover->granted_us >= limits->catch_up_us
	    ? best
	    : -1;
}

/*
 * Tell whether a majority of the recorded members, and of each set of former
 * ones that leases may rest on, has promised the term, or there are none.
 * Leases rest on such a majority.  One that has ended counts: it cannot support
 * a lease.
 */
static bool
members_promised(const failover_t *failover, const bool *promised)
{
	uint32_t i, n = failover->members_ended;

	for (i = 0; i < failover->count; i++)
		n += promised[i] && failover->views[i].member;
	return (failover->members == 0 ||
		   n >= majority_of(failover->members)) &&
	    former_members_hold(failover, promised, true);
}

/*
 * Tell whether the promises of certain databases are enough that no older
 * primary can continue, given the number that is needed.  In a handover that of
 * the primary itself is enough, unless it may have been replaced.
 */
bool
promises_suffice(
    const failover_t *failover, const bool *promised, uint32_t needed)
{
	if (failover->stepping_down >= 0 && !promised[failover->stepping_down])
		return false;
	return (failover->stepping_down >= 0 && !failover->doubtful) ||
	    (promised_count(failover, promised) >= needed &&
		members_promised(failover, promised));
}

/*
 * Tell whether enough databases have promised the term.
 */
bool
grants_suffice(const failover_t *failover)
{
	return promises_suffice(
	    failover, failover->granted, grants_needed(failover));
}

/*
 * Tell whether a promotion is in vain: nobody uses the database any more, and
 * one that stays may be promoted once it has promised the term as well.
 */
static bool
promoted_in_vain(const failover_t *failover, int32_t chosen, int64_t now_us)
{
	return chosen >= 0 && failover->views[chosen].leaving &&
	    failover->views[chosen].expired &&
	    failover_staying_answers(failover, now_us);
}

/*
 * Return the database to promote now, or -1 while promises are missing, leases
 * on the old primary may still be valid, open orders forbid it, or it would be
 * in vain.
 */
int32_t
ready_to_promote(const failover_t *failover, int64_t now_us)
{
	const failover_limits_t *limits = &failover->limits;
	int32_t chosen;

	if (!grants_suffice(failover) ||
	    (limits->lease_wait_us > 0 && failover->revoked_by_most_us == 0) ||
	    now_us - failover->granted_us < (failover->revoked_by_all
						    ? limits->lease_wait_min_us
						    : limits->lease_wait_us))
		return -1;
	chosen = failover->stepping_down >= 0
	    ? choose_successor(failover, now_us)
	    : (int32_t)choose_most_advanced(failover);
	return open_orders_allow(failover, chosen) &&
		!promoted_in_vain(failover, chosen, now_us)
	    ? chosen
	    : -1;
}

/*
 * Tell whether no database that answers may be promoted, and one of them may be
 * later, as it is new.
 */
static bool
only_new_answer(const failover_t *failover, const log_set_t *logs)
{
	bool any_new = false;
	uint32_t i;

	for (i = 0; i < failover->count; i++)
		any_new |= logs->heard[i] && failover_is_new(failover, i);
	return any_new && !any_eligible(failover, logs);
}

/*
 * Tell whether a database that answers can take over, or whether there is no
 * doubt about any log, so that the promises of a majority show it.  Where
 * commits are synchronous, the one with the best log must not be new.
 */
bool
failover_candidate_answers(const failover_t *failover, int64_t now_us)
{
	log_set_t logs = answering_logs(failover, now_us);
	bool doubt = false;
	uint32_t i;

	if (!only_clean_logs(failover))
		return !any_eligible(failover, &logs) ||
		    best_known_log(failover, &logs) != UINT32_MAX;
	if (only_new_answer(failover, &logs))
		return false;
	for (i = 0; i < failover->count; i++)
		doubt |= failover->views[i].known &&
		    (base_unknown(failover, &logs, i, UINT64_MAX) ||
			recorded_orders_given_up(
			    &failover->recorded, UINT64_MAX, logs.ends[i]));
	exclude_given_up(failover, &logs);
	return !doubt || any_eligible(failover, &logs);
}

/*
 * Tell whether a database that answers can succeed the primary in a handover
 * that asks for no other promise than the primary's.
 */
bool
failover_successor_answers(const failover_t *failover, int64_t now_us)
{
	int32_t primary = failover_primary(failover);
	log_set_t logs;

	if (primary < 0)
		return false;
	logs = succeeding_logs(
	    failover, primary, failover->views[primary].term, now_us);
	exclude_given_up(failover, &logs);
	return any_eligible(failover, &logs);
}

/*
 * Tell whether the databases that answer include one that stays in the group
 * and would be promoted if they all promised a term.
 */
bool
failover_staying_answers(const failover_t *failover, int64_t now_us)
{
	log_set_t logs = answering_logs(failover, now_us);

	if (!only_clean_logs(failover))
		return false;
	exclude_given_up(failover, &logs);
	return best_staying(failover, &logs) != UINT32_MAX;
}

/*
 * Tell whether a database that has promised the term, or that answers, can take
 * over.
 */
bool
candidate_granted(const failover_t *failover, int64_t now_us)
{
	return choose_most_advanced(failover) != UINT32_MAX ||
	    failover_candidate_answers(failover, now_us);
}
