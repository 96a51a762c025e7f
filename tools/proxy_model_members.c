#include "proxy_model_internal.h"

#include <string.h>

/*
 * The proxy model: a sequence in which the members of the group change while
 * one daemon, which has read the former ones, does not hear of that.
 *
 * The daemon loses the store and the other daemons.  Databases get their first
 * entries; others say that they leave, lose their entries, and are reached by
 * this daemon alone.  The coordinator records that, in most cases.  Then the
 * primary, and others so that they are a majority of the former members, are
 * reached by this daemon alone, and the other databases by the others.  Or the
 * primary alone is, and the other former members, which all daemons reach,
 * follow a new primary late or not at all: their promises are gone before they
 * know of it.
 */

/* Time after the start of a run before which the sequence does not begin. */
#define BEGINS_AFTER_US (2 * US_PER_SECOND)

/* Time in which databases that are added get recorded. */
#define ADDED_MIN_US (300 * US_PER_MS)
#define ADDED_SPREAD_US (2 * US_PER_SECOND)

/* Time in which the daemons hear that a member leaves. */
#define LEAVING_HEARD_US (400 * US_PER_MS)

/* Time after which a member that leaves and is silent is dropped. */
#define DROPPED_AFTER_US (12 * US_PER_SECOND)

/* Time in which a primary that leaves hands over. */
#define HANDOVER_US (3 * US_PER_SECOND)

/* Time for which members fall behind before the primary is cut off. */
#define BEHIND_US (200 * US_PER_MS)

/* Time for which the primary is cut off. */
#define CUT_US (8 * US_PER_SECOND)

/*
 * Return the number of databases that are members from the start.  The others
 * have no entry until the sequence begins.
 */
uint32_t
proxy_model_first_members(const proxy_model_plan_t *plan)
{
	return plan->databases - plan->troubles.members.added;
}

/*
 * Tell whether a database has not been added to the group yet.
 */
bool
proxy_model_added_later(const proxy_model_t *model, uint32_t db)
{
	return db >= proxy_model_first_members(model->plan) &&
	    model->members_sequence.until_us == 0;
}

/*
 * Take the entries of the databases that are added later.
 */
void
proxy_model_members_init(proxy_model_t *model)
{
	uint32_t i;

	for (i = proxy_model_first_members(model->plan);
	     i < model->plan->databases; i++)
		proxy_model_entry_lost(model, i, INT64_MAX);
}

/*
 * Have a database be reached by one daemon alone until a time.
 */
static void
cut_off(proxy_model_t *model, uint32_t db, uint32_t daemon, int64_t until_us)
{
	uint32_t i;

	for (i = 0; i < model->plan->daemons; i++)
		model->dbs[db].daemon_cut_until_us[i] =
		    i == daemon ? 0 : until_us;
	model->dbs[db].peers_cut_until_us = until_us;
	model->dbs[db].down_until_us = 0;
}

/*
 * Have some databases get their first entries, and others leave.
 */
static void
change_lists(proxy_model_t *model)
{
	const proxy_model_members_change_t *change =
	    &model->plan->troubles.members;
	members_sequence_t *sequence = &model->members_sequence;
	uint32_t i, first = proxy_model_first_members(model->plan);

	for (i = first; i < model->plan->databases; i++) {
		model->dbs[i].entry_back_us = model->now_us;
		model->dbs[i].restarted_us = model->dbs[i].listed_start_us =
		    model->now_us;
	}
	for (i = 0; i < change->dropped; i++) {
		uint32_t db = (sequence->primary + 1 + i) % first;

		model->dbs[db].leaves_us = INT64_MAX;
	}
	sequence->silent_us = model->now_us + LEAVING_HEARD_US;
}

/*
 * Have the members that leave be reached by the daemon alone, and lose their
 * entries.
 */
static void
silence_leaving(proxy_model_t *model)
{
	members_sequence_t *sequence = &model->members_sequence;
	uint32_t i, first = proxy_model_first_members(model->plan);

	for (i = 0; i < model->plan->troubles.members.dropped; i++) {
		uint32_t db = (sequence->primary + 1 + i) % first;

		cut_off(model, db, sequence->daemon, sequence->until_us);
		proxy_model_entry_lost(model, db, INT64_MAX);
	}
	sequence->silent_us = INT64_MAX;
}

/*
 * Have the daemon lose the store, and the other daemons if it is not told of a
 * revocation first.
 */
static void
cut_daemon(proxy_model_t *model)
{
	members_sequence_t *sequence = &model->members_sequence;
	proxy_model_daemon_t *daemon = &model->daemons[sequence->daemon];

	if (!model->plan->troubles.members.told)
		daemon->daemons_cut_until_us = sequence->until_us;
	daemon->object_store_cut_until_us = sequence->until_us;
}

/*
 * Begin the sequence at random, with a daemon that is not the coordinator, has
 * a lease and knows the members from the start.
 */
static void
begin(proxy_model_t *model, uint32_t daemon_index)
{
	const proxy_model_members_change_t *change =
	    &model->plan->troubles.members;
	const proxy_model_daemon_t *daemon = &model->daemons[daemon_index];
	members_sequence_t *sequence = &model->members_sequence;
	int32_t primary = proxy_model_primary(daemon);

	if (sequence->until_us != 0 || model->now_us < BEGINS_AFTER_US ||
	    daemon->is_coordinator || primary < 0 ||
	    daemon->lease.expires_us <= model->now_us ||
	    daemon->lease.term != model->newest_term ||
	    (change->first_unrecorded && daemon->members.now.count > 0) ||
	    !proxy_model_chance(model, change->permille))
		return;
	model->result->troubles++;
	sequence->daemon = daemon_index;
	sequence->primary = (uint32_t)primary;
	sequence->cut_us = model->now_us + ADDED_MIN_US +
	    proxy_model_random_us(model, ADDED_SPREAD_US);
	sequence->cut_us += change->wait_us;
	if (change->dropped > 0)
		sequence->cut_us += DROPPED_AFTER_US;
	if (proxy_model_chance(model, change->unrecorded_permille))
		sequence->cut_us = model->now_us;
	sequence->leaves_us = INT64_MAX;
	if (change->handover) {
		sequence->leaves_us = sequence->cut_us;
		sequence->cut_us += HANDOVER_US;
	}
	sequence->behind_us = INT64_MAX;
	if (change->former_reached) {
		sequence->behind_us = sequence->cut_us;
		sequence->cut_us += BEHIND_US;
	}
	sequence->until_us =
	    sequence->cut_us + CUT_US + proxy_model_random_us(model, CUT_US);
	cut_daemon(model);
	if (proxy_model_chance(model, change->store_permille))
		sequence->store_us = model->now_us +
		    proxy_model_random_us(
			model, sequence->cut_us + CUT_US / 2 - model->now_us);
	change_lists(model);
}

/*
 * Have the former members other than the primary get no replication, or get it
 * late.  They fall behind, so that one of the others is promoted.
 */
static void
cut_replication(proxy_model_t *model)
{
	int64_t slow_max_us = model->plan->troubles.members.slow_max_us;
	members_sequence_t *sequence = &model->members_sequence;
	uint32_t i, first = proxy_model_first_members(model->plan);

	for (i = 1; i < first; i++) {
		proxy_model_db_t *db =
		    &model->dbs[(sequence->primary + i) % first];

		if (slow_max_us == 0) {
			db->peers_cut_until_us = sequence->until_us;
			continue;
		}
		db->slow_until_us = sequence->until_us;
		db->slow_us = proxy_model_random_us(model, slow_max_us);
		db->replicated_us = model->now_us;
	}
	sequence->behind_us = INT64_MAX;
}

/*
 * Tell whether replication arrives at a database.  Where that is slow, it takes
 * its time after the last arrival, and after a promotion.
 */
bool
proxy_model_replicates(proxy_model_t *model, uint32_t db_index)
{
	proxy_model_db_t *db = &model->dbs[db_index];
	int64_t since_us = db->replicated_us;

	if (model->now_us >= db->slow_until_us)
		return true;
	if (model->terms_us->len > 0)
		since_us = MAX(since_us,
		    g_array_index(
			model->terms_us, int64_t, model->terms_us->len - 1));
	if (model->now_us - since_us < db->slow_us)
		return false;
	db->replicated_us = model->now_us;
	return true;
}

/*
 * Have the primary, and others so that they are a majority of the members from
 * the start, be reached by the daemon alone, and the other databases by the
 * other daemons; or the primary alone, and the other former members by all.
 */
static void
cut_primary(proxy_model_t *model)
{
	const proxy_model_plan_t *plan = model->plan;
	const proxy_model_members_change_t *change = &plan->troubles.members;
	members_sequence_t *sequence = &model->members_sequence;
	uint32_t i, first = proxy_model_first_members(plan);
	uint32_t left = change->former_reached ? 1 : majority_of(first);
	int32_t primary = proxy_model_newest_primary(model);

	/* after a handover to a new database there is no such majority */
	if (change->handover && primary >= 0 && (uint32_t)primary < first)
		sequence->primary = (uint32_t)primary;
	for (i = 0; i < first; i++) {
		uint32_t db = (sequence->primary + i) % first;

		if (i < left)
			cut_off(
			    model, db, sequence->daemon, sequence->until_us);
		else if (!change->former_reached)
			model->dbs[db].daemon_cut_until_us[sequence->daemon] =
			    sequence->until_us;
	}
	for (i = first; i < plan->databases; i++)
		model->dbs[i].daemon_cut_until_us[sequence->daemon] =
		    sequence->until_us;
	sequence->cut_us = INT64_MAX;
	sequence->cut = true;
}

/*
 * Have the primary leave, so that it hands over.
 */
static void
hand_over(proxy_model_t *model)
{
	model->dbs[model->members_sequence.primary].leaves_us = INT64_MAX;
	model->members_sequence.leaves_us = INT64_MAX;
}

/*
 * Begin the sequence at random, or go on with it.
 */
void
proxy_model_members_tick(proxy_model_t *model, uint32_t daemon)
{
	members_sequence_t *sequence = &model->members_sequence;

	if (model->plan->troubles.members.permille == 0)
		return;
	begin(model, daemon);
	if (sequence->until_us == 0 || daemon != sequence->daemon)
		return;
	if (model->now_us >= sequence->silent_us)
		silence_leaving(model);
	if (model->now_us >= sequence->leaves_us)
		hand_over(model);
	if (model->now_us >= sequence->behind_us)
		cut_replication(model);
	if (model->now_us >= sequence->cut_us)
		cut_primary(model);
	if (sequence->store_us != 0 && model->now_us >= sequence->store_us) {
		/* it reaches the store again, and not the other daemons */
		model->daemons[daemon].object_store_cut_until_us = 0;
		sequence->store_us = 0;
	}
}

/*
 * Tell whether members may be recorded: where none are at first, the databases
 * must have been added, and the primary be cut off if that is long after.
 */
bool
proxy_model_members_begun(const proxy_model_t *model)
{
	const proxy_model_members_change_t *change =
	    &model->plan->troubles.members;
	const members_sequence_t *sequence = &model->members_sequence;

	return !change->first_unrecorded || sequence->cut ||
	    (sequence->until_us != 0 && change->wait_us == 0);
}

/*
 * Handle that a daemon has confirmed a revocation.  The one of the sequence is
 * alone from then on, if the primary has been cut off.
 */
void
proxy_model_members_revoked(proxy_model_t *model, uint32_t daemon)
{
	const members_sequence_t *sequence = &model->members_sequence;

	if (!model->plan->troubles.members.told || !sequence->cut ||
	    daemon != sequence->daemon || model->now_us >= sequence->until_us)
		return;
	model->daemons[daemon].daemons_cut_until_us = sequence->until_us;
}

/*
 * Tell whether two sets of members are the same.
 */
bool
proxy_model_members_equal(const member_set_t *a, const member_set_t *b)
{
	bool equal = a->count == b->count;
	uint32_t i;

	for (i = 0; i < DBS_MAX; i++)
		equal &= a->member[i] == b->member[i] &&
		    (!a->member[i] || a->born_us[i] == b->born_us[i]);
	return equal;
}

/*
 * Tell whether a daemon takes a member of a set as ended.
 */
static bool
has_ended(const proxy_model_t *model, const proxy_model_daemon_t *daemon,
    const member_set_t *set, uint32_t db)
{
	const member_set_t *now = &daemon->members.now;
	int32_t server = proxy_model_index(daemon, db);

	if (!set->member[db])
		return false;
	if (now->member[db] && now->born_us[db] == set->born_us[db])
		return proxy_model_member_ended(model, daemon, db);
	return (now->member[db] && now->born_us[db] > set->born_us[db]) ||
	    (server >= 0 && daemon->born_us[db] > set->born_us[db]);
}

/*
 * Tell whether members are replaced that have all ended, and as many are new: a
 * majority of these and one of the former ones have a member in common.
 */
static bool
only_ended(const proxy_model_t *model, const proxy_model_daemon_t *daemon,
    const member_set_t *before, const member_set_t *members)
{
	uint32_t i;

	if (before->count != members->count)
		return false;
	for (i = 0; i < DBS_MAX; i++) {
		if (before->member[i] &&
		    !(members->member[i] &&
			members->born_us[i] == before->born_us[i]) &&
		    !has_ended(model, daemon, before, i))
			return false;
	}
	return true;
}

/*
 * Return the newest term that a daemon knows to have begun.
 */
static uint64_t
newest_known(const proxy_model_daemon_t *daemon)
{
	return MAX(
	    lease_newest_term(&daemon->lease), daemon->failover.reported_term);
}

/*
 * Return the members that leases may rest on where the record has none: those
 * that a daemon has known, or the databases that each daemon should know.
 */
static member_set_t
members_before(const proxy_model_t *model, const proxy_model_daemon_t *daemon)
{
	member_set_t before = daemon->members.now;
	uint32_t i;

	if (before.count > 0 || !proxy_model_has_lists(model->plan))
		return before;
	for (i = 0; i < daemon->failover.count; i++) {
		uint32_t db = daemon->servers[i];

		before.member[db] = proxy_model_known_to_all(model, daemon, db);
		before.born_us[db] = daemon->born_us[db];
		before.count += before.member[db];
	}
	return before;
}

/*
 * Replace the recorded members, and keep the former ones as long as leases may
 * rest on them.  If there is no room, nothing changes.
 */
void
proxy_model_members_replace(proxy_model_t *model,
    const proxy_model_daemon_t *daemon, const member_set_t *members,
    uint64_t term)
{
	recorded_members_t *recorded = &model->members;
	recorded_members_t next = {.now = *members};
	uint64_t from =
	    former_members_from(&model->orders, newest_known(daemon));
	member_set_t before = recorded->now.count > 0
	    ? recorded->now
	    : members_before(model, daemon);
	uint32_t i;

	before.until_term = former_members_until(&model->orders, term, 0);
	for (i = 0; i < recorded->former_count; i++) {
		const member_set_t *former = &recorded->former[i];

		if (proxy_model_members_equal(former, &before))
			before.until_term =
			    MAX(before.until_term, former->until_term);
		else if (former->until_term >= from &&
		    !proxy_model_members_equal(former, members))
			next.former[next.former_count++] = *former;
	}
	if (before.count > 0 && !proxy_model_members_equal(&before, members) &&
	    !only_ended(model, daemon, &before, members)) {
		if (next.former_count == FORMER_MEMBERS_MAX)
			return;
		next.former[next.former_count++] = before;
	}
	*recorded = next;
}

/*
 * Keep a set of members that the store may have lost.  If there is no room, the
 * oldest one goes.
 */
static void
keep_set(proxy_model_daemon_t *daemon, const member_set_t *set)
{
	uint32_t i;

	for (i = 0; i < daemon->lost_count; i++) {
		if (!proxy_model_members_equal(&daemon->lost[i], set))
			continue;
		daemon->lost[i].until_term =
		    MAX(daemon->lost[i].until_term, set->until_term);
		return;
	}
	if (daemon->lost_count == LOST_MEMBERS_MAX)
		memmove(&daemon->lost[0], &daemon->lost[1],
		    sizeof(daemon->lost[0]) * --daemon->lost_count);
	daemon->lost[daemon->lost_count++] = *set;
}

/*
 * Tell whether a record has a set of members for as long as it counts.
 */
static bool
has_set(const recorded_members_t *members, const member_set_t *set)
{
	bool has = proxy_model_members_equal(&members->now, set);
	uint32_t i;

	for (i = 0; i < members->former_count; i++)
		has |= proxy_model_members_equal(&members->former[i], set) &&
		    members->former[i].until_term >= set->until_term;
	return has;
}

/*
 * Forget the sets that a record has.
 */
static void
drop_found(proxy_model_daemon_t *daemon, const recorded_members_t *read)
{
	uint32_t i, n = 0;

	for (i = 0; i < daemon->lost_count; i++) {
		if (!has_set(read, &daemon->lost[i]))
			daemon->lost[n++] = daemon->lost[i];
	}
	daemon->lost_count = n;
}

/*
 * Have a daemon keep the members that it has read if the store has come back
 * from an older copy, or the record was begun again with a token, since.
 */
static void
keep_sets(
    const proxy_model_t *model, proxy_model_daemon_t *daemon, uint64_t begun)
{
	const recorded_members_t *members = &daemon->members;
	member_set_t now = members->now;
	uint32_t i;

	if (daemon->store_era <= daemon->members_era &&
	    begun == daemon->members_begun)
		return;
	daemon->members_era = daemon->store_era;
	daemon->members_begun = begun;
	if (model->plan->lost_members_forgotten ||
	    model->plan->injected_bug == PROXY_BUG_LOST_FORGOTTEN)
		return;
	for (i = 0; i < members->former_count; i++)
		keep_set(daemon, &members->former[i]);
	now.until_term = former_members_until(&daemon->lease.orders,
	    MAX(newest_known(daemon), daemon->lease.members_term),
	    daemon->failover.unproven_attempt);
	if (now.count > 0)
		keep_set(daemon, &now);
}

/*
 * Have a daemon keep the members that it has read and that a record lacks which
 * it reads now, since the store has come back from an older copy, or the record
 * was begun again with a token.
 */
void
proxy_model_members_keep(const proxy_model_t *model,
    proxy_model_daemon_t *daemon, const recorded_members_t *read,
    uint64_t begun)
{
	keep_sets(model, daemon, begun);
	drop_found(daemon, read);
}

/*
 * Return how a set of members counts for the failover of a daemon.  A later
 * start takes the place of a member: daemons that do not know of it yet take
 * its answers as those of the member.
 */
static former_members_t
former_of(const proxy_model_t *model, const proxy_model_daemon_t *daemon,
    const member_set_t *set)
{
	former_members_t former = {.count = set->count};
	uint32_t i;

	for (i = 0; i < model->plan->databases; i++)
		former.ended += proxy_model_index(daemon, i) < 0 &&
		    has_ended(model, daemon, set, i);
	for (i = 0; i < daemon->failover.count; i++) {
		uint32_t db = daemon->servers[i];

		former.member[i] =
		    set->member[db] && daemon->born_us[db] >= set->born_us[db];
	}
	return former;
}

/*
 * Return the databases of the group of a daemon that each daemon should know,
 * where no members are recorded.  Where commits are synchronous, the time of a
 * start does not suffice.
 */
static member_set_t
listed_for_long(const proxy_model_t *model, const proxy_model_daemon_t *daemon)
{
	member_set_t set = members_before(model, daemon);
	uint32_t i;

	if (model->plan->sync_replicas == 0 ||
	    model->plan->injected_bug == PROXY_BUG_FIRST_LIST_COMPLETE)
		return set;
	for (i = 0; i < daemon->failover.count; i++) {
		uint32_t db = daemon->servers[i];

		if (!set.member[db] ||
		    !proxy_model_newly_listed(model, daemon, db))
			continue;
		set.member[db] = false;
		set.count--;
	}
	return set;
}

/*
 * Set the former members that count for the failover of a daemon.
 */
void
proxy_model_former_update(proxy_model_t *model, proxy_model_daemon_t *daemon)
{
	const recorded_members_t *recorded = &daemon->members;
	proxy_model_bug_t bug = model->plan->injected_bug;
	former_members_t list[FORMER_SETS_MAX];
	uint64_t from =
	    former_members_from(&daemon->lease.orders, newest_known(daemon));
	uint32_t i, count = 0;

	if (model->plan->injected_bug == PROXY_BUG_FORMER_IGNORED)
		return;
	for (i = 0; i < recorded->former_count; i++) {
		if (recorded->former[i].until_term >= from)
			list[count++] =
			    former_of(model, daemon, &recorded->former[i]);
	}
	for (i = 0; i < daemon->lost_count; i++) {
		if (daemon->lost[i].until_term >= from)
			list[count++] =
			    former_of(model, daemon, &daemon->lost[i]);
	}
	if (daemon->failover.members_ended > 0)
		list[count++] = former_of(model, daemon, &recorded->now);
	if (recorded->now.count == 0) {
		member_set_t before = listed_for_long(model, daemon);

		list[count] = former_of(model, daemon, &before);
		list[count].open = bug != PROXY_BUG_JUST_STARTED;
		count += before.count > 0 ||
		    (list[count].open && proxy_model_has_lists(model->plan) &&
			daemon->failover.count > 0);
	}
	failover_set_former(&daemon->failover, list, count, model->now_us);
}
