#include "proxy_model_internal.h"

#include "../src/decide/start.h"

/*
 * The proxy model: the databases that the store lists, those that each daemon
 * has in its group, and which of them it takes as ended.  Without troubles of
 * the lists all databases are in each group.
 */

/* Longest time for which a database that runs has no entry. */
#define ENTRY_MISSING_MAX_US (14 * US_PER_SECOND)

/* Time within which the entry of a database that has ended lapses. */
#define ENTRY_LAPSES_MAX_US (1500 * US_PER_MS)

#define REFUSED_MAX_US (6 * US_PER_SECOND)
#define CRASH_MAX_US (4 * US_PER_SECOND)

/* Time before a run at which the first members started. */
#define FIRST_STARTED_FOR_US (600 * US_PER_SECOND)

/* Chance per tick that a daemon reads the list. */
#define LIST_READ_PERMILLE 200

/*
 * Tell whether the lists of a plan change.
 */
bool
proxy_model_has_lists(const proxy_model_plan_t *plan)
{
	const proxy_model_troubles_t *troubles = &plan->troubles;

	return troubles->lapse_permille + troubles->refused_permille +
	    troubles->crash_permille + troubles->most_refused_permille +
	    troubles->members.permille >
	    0;
}

/*
 * Return the index of a database in the group of a daemon, or -1.
 */
int32_t
proxy_model_index(const proxy_model_daemon_t *daemon, uint32_t db)
{
	uint32_t i;

	for (i = 0; i < daemon->failover.count; i++) {
		if (daemon->servers[i] == db)
			return (int32_t)i;
	}
	return -1;
}

/*
 * Return the database that a daemon knows as the primary, or -1.
 */
int32_t
proxy_model_primary(const proxy_model_daemon_t *daemon)
{
	int32_t primary = failover_primary(&daemon->failover);

	return primary < 0 ? -1 : (int32_t)daemon->servers[primary];
}

/*
 * Initialize the group of a daemon that has started.  Where lists change, it
 * has none until it has read one.
 */
void
proxy_model_lists_init(proxy_model_t *model, proxy_model_daemon_t *daemon)
{
	uint32_t i;

	for (i = 0; i < model->plan->databases; i++)
		daemon->servers[i] = i;
	if (proxy_model_has_lists(model->plan))
		daemon->failover.count = 0;
}

/*
 * Return what a daemon knows of a database of its group since the last list.
 */
static start_evidence_t
evidence_of(const proxy_model_t *model, const proxy_model_daemon_t *daemon,
    uint32_t server)
{
	const failover_t *failover = &daemon->failover;
	const db_view_t *view = &failover->views[server];
	uint32_t db = daemon->servers[server];

	return (start_evidence_t){.listed = !daemon->unlisted[db],
	    .denied = daemon->denied[db],
	    .refused = failover->connect_refusals[server] > 0,
	    .leaving = view->leaving,
	    .member = view->member,
	    .known = view->known,
	    .silent_us = daemon->unlisted[db] ? model->now_us -
		    MAX(view->requested_us, daemon->unlisted_us[db])
					      : 0};
}

/*
 * Note that the start of a database that a daemon has in its group has ended.
 */
static void
member_gone(proxy_model_daemon_t *daemon, uint32_t db)
{
	daemon->member_gone[db] |= daemon->members.now.member[db] &&
	    daemon->members.now.born_us[db] == daemon->born_us[db];
}

/*
 * Note that another process has answered a daemon in place of a database.
 */
void
proxy_model_denied(
    proxy_model_t *model, proxy_model_daemon_t *daemon, uint32_t db)
{
	daemon->denied[db] = true;
	member_gone(daemon, db);
	proxy_model_members_update(model, daemon);
}

/*
 * Tell whether a daemon takes a recorded member as ended.
 */
bool
proxy_model_member_ended(
    const proxy_model_t *model, const proxy_model_daemon_t *daemon, uint32_t db)
{
	int32_t server = proxy_model_index(daemon, db);
	bool other_start = server >= 0 &&
	    daemon->members.now.born_us[db] != daemon->born_us[db];

	if (!daemon->members.now.member[db])
		return false;
	if (!proxy_model_has_lists(model->plan))
		return daemon->failover.views[server].known && other_start;
	return daemon->member_gone[db] || other_start;
}

/*
 * Note the members that a record has no more, and that are not in the group of
 * a daemon.
 */
void
proxy_model_departed(const proxy_model_t *model, proxy_model_daemon_t *daemon,
    const recorded_members_t *members)
{
	uint32_t i;

	for (i = 0; i < model->plan->databases; i++) {
		if (daemon->members.now.member[i] && !members->now.member[i] &&
		    proxy_model_index(daemon, i) < 0)
			daemon->departed_until_us[i] =
			    model->now_us + START_LOST_US;
	}
}

/*
 * Tell whether a daemon has no start of a database in its group, and one may
 * hold commits: it is a recorded member, or has left the group lately.
 */
bool
proxy_model_absent(
    const proxy_model_t *model, const proxy_model_daemon_t *daemon, uint32_t db)
{
	proxy_model_bug_t bug = model->plan->injected_bug;

	if (proxy_model_index(daemon, db) >= 0)
		return false;
	if (daemon->members.now.member[db] &&
	    bug != PROXY_BUG_MEMBERS_IGNORED &&
	    !(bug == PROXY_BUG_ENDED_HOLDS_NOTHING &&
		proxy_model_member_ended(model, daemon, db)))
		return true;
	return model->now_us < daemon->departed_until_us[db] &&
	    bug != PROXY_BUG_DEPARTED_HOLDS_NOTHING &&
	    bug != PROXY_BUG_ENDED_HOLDS_NOTHING;
}

/*
 * Have the group of a daemon consist of these databases.  old_index: as for
 * failover_remap().  lost: one has left that had not said so.
 */
static void
replace_servers(proxy_model_t *model, proxy_model_daemon_t *daemon,
    const uint32_t *dbs, const int32_t *old_index, uint32_t count, bool lost)
{
	uint32_t i;

	for (i = 0; i < daemon->failover.count; i++)
		daemon->departed_until_us[daemon->servers[i]] =
		    model->now_us + START_LOST_US;
	failover_remap(&daemon->failover, old_index, count, model->now_us);
	for (i = 0; i < count; i++) {
		daemon->servers[i] = dbs[i];
		daemon->departed_until_us[dbs[i]] = 0;
	}
	proxy_model_members_update(model, daemon);
	lease_cancel(&daemon->lease);
	if (lost)
		lease_member_lost(&daemon->lease, true);
}

/*
 * Tell whether the store has an entry of a database.
 */
static bool
has_entry(const proxy_model_t *model, uint32_t db)
{
	const proxy_model_db_t *database = &model->dbs[db];

	return model->now_us < database->entry_lapses_us ||
	    model->now_us >= database->entry_back_us;
}

/*
 * Tell whether an injected bug removes a database from a group.
 */
static bool
removed_by_bug(const proxy_model_t *model, const start_evidence_t *evidence)
{
	proxy_model_bug_t bug = model->plan->injected_bug;

	return (bug == PROXY_BUG_REFUSED_ENDS ||
		   bug == PROXY_BUG_REFUSED_UNRECORDED) &&
	    start_likely_ended(evidence);
}

/*
 * Tell whether a database stays in the group of a daemon, and note its end if
 * not.  followed: a later start is listed.
 */
static bool
keep_server(proxy_model_t *model, proxy_model_daemon_t *daemon, uint32_t server,
    bool listed, bool followed)
{
	uint32_t db = daemon->servers[server];
	start_evidence_t evidence = evidence_of(model, daemon, server);

	evidence.listed = listed;
	evidence.followed = followed;
	if (start_removal(&evidence) == START_STAYS &&
	    !removed_by_bug(model, &evidence)) {
		if (!daemon->unlisted[db] && !listed)
			daemon->unlisted_us[db] = model->now_us;
		daemon->unlisted[db] = !listed;
		return true;
	}
	open_orders_forget_leader(
	    &daemon->open_orders, proxy_model_db_name(db));
	if (start_ended(&evidence) ||
	    (model->plan->injected_bug == PROXY_BUG_REFUSED_ENDS &&
		start_likely_ended(&evidence)))
		member_gone(daemon, db);
	else
		lease_member_lost(&daemon->lease, false);
	daemon->member_refused[db] = removed_by_bug(model, &evidence);
	daemon->member_dropped[db] = start_removal(&evidence) == START_SILENT;
	return false;
}

/*
 * Tell whether a database that a daemon finds in its first list is listed for
 * long by the time of its start.  The times of day begin when the first members
 * started, which have the start 0.
 */
static bool
started_long_before(
    const proxy_model_t *model, const proxy_model_daemon_t *daemon, uint32_t db)
{
	int64_t before_us = model->plan->troubles.members.just_started
	    ? 0
	    : FIRST_STARTED_FOR_US;
	int64_t start_us = model->dbs[db].listed_start_us;

	if (daemon->listed_us != 0 ||
	    model->plan->injected_bug == PROXY_BUG_JUST_STARTED)
		return false;
	return started_for_long(
	    start_us == 0 ? 0 : (uint64_t)((before_us + start_us) / US_PER_MS),
	    (before_us + model->now_us) / US_PER_MS,
	    daemon->lease_durations.long_us);
}

/*
 * Add a database to the group of a daemon, which has not asked it yet.
 * started: an earlier start of it under the same id was in the group.
 */
static void
add_server(proxy_model_t *model, proxy_model_daemon_t *daemon, uint32_t db,
    bool started)
{
	if (!started) {
		daemon->listed_since_us[db] = model->now_us;
		daemon->started_for_long[db] =
		    started_long_before(model, daemon, db);
	}
	daemon->born_us[db] = model->dbs[db].listed_start_us;
	daemon->unlisted[db] = daemon->denied[db] = false;
	daemon->status_pending[db] = false;
	daemon->connected_us[db] = 0;
	daemon->added_us[db] = model->now_us;
	daemon->member_dropped[db] = false;
	if (daemon->members.now.born_us[db] == daemon->born_us[db])
		daemon->member_gone[db] = daemon->member_refused[db] = false;
}

/*
 * Have a daemon read the list of the databases.
 */
static void
read_list(proxy_model_t *model, proxy_model_daemon_t *daemon)
{
	uint32_t i, count = 0, before = daemon->failover.count;
	int32_t old_index[DBS_MAX];
	uint32_t dbs[DBS_MAX];
	bool kept[DBS_MAX] = {false}, started[DBS_MAX] = {false};
	bool changed = false;

	for (i = 0; i < before; i++) {
		uint32_t db = daemon->servers[i];

		bool listed = has_entry(model, db);
		bool followed = listed &&
		    model->dbs[db].listed_start_us != daemon->born_us[db];

		started[db] = followed && !model->dbs[db].new_id;
		if (listed && daemon->unlisted[db]) {
			daemon->listed_since_us[db] = model->now_us;
			daemon->started_for_long[db] = false;
		}
		if (!keep_server(model, daemon, i, listed, followed))
			continue;
		kept[db] = true;
		old_index[count] = (int32_t)i;
		dbs[count++] = db;
	}
	changed = count < before;
	for (i = 0; i < model->plan->databases; i++) {
		if (kept[i] || !has_entry(model, i))
			continue;
		add_server(model, daemon, i, started[i]);
		old_index[count] = -1;
		dbs[count++] = i;
		changed = true;
	}
	daemon->list_read_us = model->now_us;
	if (daemon->listed_us == 0) {
		daemon->listed_us = model->now_us;
		daemon->lease.watched_since_us = model->now_us;
	}
	if (changed)
		replace_servers(
		    model, daemon, dbs, old_index, count, before > 0);
}

/*
 * Remove the databases that are not listed and do not stay.
 */
static void
remove_unlisted(proxy_model_t *model, proxy_model_daemon_t *daemon)
{
	uint32_t i, count = 0, before = daemon->failover.count;
	int32_t old_index[DBS_MAX];
	uint32_t dbs[DBS_MAX];

	for (i = 0; i < before; i++) {
		uint32_t db = daemon->servers[i];

		if (!keep_server(
			model, daemon, i, !daemon->unlisted[db], false))
			continue;
		old_index[count] = (int32_t)i;
		dbs[count++] = db;
	}
	if (count < before)
		replace_servers(model, daemon, dbs, old_index, count, true);
}

/*
 * Return the time until which the list of a daemon shows all databases that may
 * have been promoted; 0: it does not change.
 */
int64_t
proxy_model_list_until_us(
    const proxy_model_t *model, const proxy_model_daemon_t *daemon)
{
	if (!proxy_model_has_lists(model->plan) ||
	    model->plan->injected_bug == PROXY_BUG_OLD_LIST)
		return 0;
	return daemon->listed_us == 0 ? 1
				      : daemon->list_read_us + LIST_VALID_US;
}

/*
 * Tell whether a daemon has listed a database so recently that others may not
 * know of it.
 */
bool
proxy_model_newly_listed(
    const proxy_model_t *model, const proxy_model_daemon_t *daemon, uint32_t db)
{
	return proxy_model_has_lists(model->plan) &&
	    model->plan->injected_bug != PROXY_BUG_NEW_PROMOTED &&
	    model->now_us - daemon->listed_since_us[db] <
	    new_database_us(daemon->lease_durations.long_us);
}

/*
 * Tell whether a daemon takes it that each daemon has a database in its list.
 */
bool
proxy_model_known_to_all(
    const proxy_model_t *model, const proxy_model_daemon_t *daemon, uint32_t db)
{
	return daemon->started_for_long[db] ||
	    !proxy_model_newly_listed(model, daemon, db);
}

/*
 * Have a daemon read the list at random, and note what has ended.
 */
void
proxy_model_lists_tick(proxy_model_t *model, uint32_t daemon_index)
{
	proxy_model_daemon_t *daemon = &model->daemons[daemon_index];
	uint32_t i;

	if (!proxy_model_has_lists(model->plan))
		return;
	if (model->now_us >= daemon->object_store_cut_until_us &&
	    proxy_model_chance(model, LIST_READ_PERMILLE))
		read_list(model, daemon);
	remove_unlisted(model, daemon);
	for (i = 0; i < daemon->failover.count; i++) {
		start_evidence_t evidence = evidence_of(model, daemon, i);
		db_view_t *view = &daemon->failover.views[i];

		view->unlisted = daemon->unlisted[daemon->servers[i]];
		view->newly_listed =
		    proxy_model_newly_listed(model, daemon, daemon->servers[i]);
		view->likely_ended = start_likely_ended(&evidence);
	}
}

/*
 * Return a database drawn at random.
 */
static uint32_t
draw_db(proxy_model_t *model)
{
	return (uint32_t)g_rand_int_range(
	    model->rand, 0, (gint32)model->plan->databases);
}

/*
 * Have the store lose the entry of a database that runs, until a time.
 */
void
proxy_model_entry_lost(proxy_model_t *model, uint32_t db, int64_t until_us)
{
	model->dbs[db].entry_lapses_us = model->now_us;
	model->dbs[db].entry_back_us = until_us;
}

/*
 * End a database, which starts again later, under its id or a new one.
 */
static void
crash(proxy_model_t *model, uint32_t db_index)
{
	proxy_model_db_t *db = &model->dbs[db_index];

	proxy_model_db_restart(model, db_index);
	db->refuses = true;
	db->new_id = proxy_model_chance(model, 500);
	db->down_until_us =
	    model->now_us + proxy_model_random_us(model, CRASH_MAX_US);
	db->start_listed_at_us = db->down_until_us +
	    proxy_model_random_us(
		model, model->plan->troubles.start_listed_max_us);
	db->entry_lapses_us =
	    model->now_us + proxy_model_random_us(model, ENTRY_LAPSES_MAX_US);
	db->entry_back_us = MAX(db->start_listed_at_us, db->entry_lapses_us);
}

/*
 * Have the store lose entries, daemons be refused and databases end at random.
 */
void
proxy_model_list_troubles(proxy_model_t *model)
{
	const proxy_model_troubles_t *troubles = &model->plan->troubles;
	uint32_t i, db;

	if (!proxy_model_has_lists(model->plan))
		return;
	if (proxy_model_chance(model, troubles->lapse_permille)) {
		db = draw_db(model);
		model->result->troubles++;
		proxy_model_entry_lost(model, db,
		    model->now_us +
			proxy_model_random_us(model, ENTRY_MISSING_MAX_US));
	}
	if (proxy_model_chance(model, troubles->refused_permille)) {
		db = draw_db(model);
		model->result->troubles++;
		for (i = 0; i < model->plan->daemons; i++) {
			if (proxy_model_chance(model, 600))
				model->dbs[db].refused_until_us[i] =
				    model->now_us +
				    proxy_model_random_us(
					model, REFUSED_MAX_US);
		}
	}
	if (proxy_model_chance(model, troubles->crash_permille)) {
		model->result->troubles++;
		crash(model, draw_db(model));
	}
}
