#include "group.h"

#include <string.h>

#define PART "group"
#define SAMPLE_SPACING_US (50 * US_PER_MS)
#define LEAVING_GRACE_US (1500 * US_PER_MS)
#define LEAVING_IDLE_US (3000 * US_PER_MS) /* for idle transactions */
#define IDLE_CLOSE_US (INT64_C(5) * G_USEC_PER_SEC)
#define PACE_MS 1

/*
 * How long each step of a change of primary may take.
 */
static promote_limits_t
limits_of(const Bp__Timeouts *timeouts)
{
	promote_limits_t limits = {0};

	limits.suspect_us = (int64_t)US_PER_MS *
	    (timeouts->probe_timeout_ms + 2 * timeouts->probe_interval_ms);
	limits.witness_us = (int64_t)US_PER_MS * timeouts->probe_timeout_ms;
	limits.distrust_us = 5 * limits.suspect_us;
	limits.fence_us = (int64_t)US_PER_MS * timeouts->connect_ms;
	limits.raise_us = (int64_t)US_PER_MS * timeouts->connect_ms;
	limits.backoff_us = 50 * US_PER_MS;
	return limits;
}

/*
 * Make the group that a document describes.  It opens nothing yet.
 */
dbgroup_t *
dbgroup_new(group_role_t *role, const char *team, const Bp__Group *config,
    uint32_t floors[])
{
	dbgroup_t *group = g_new0(dbgroup_t, 1);
	promote_limits_t limits = limits_of(role->daemon->settings->timeouts);
	uint32_t i;

	group->role = role;
	group->arena = arena_new();
	group->config = (Bp__Group *)message_copy(group->arena, &config->base);
	group->team = arena_strdup(group->arena, team);
	group->name = group->config->name;
	group->key = arena_printf(group->arena, "%s/%s", team, config->name);
	group->count = (uint32_t)config->n_databases;
	for (i = 0; i < group->count; i++) {
		const Bp__Database *from = group->config->databases[i];
		database_t *db = &group->dbs[i];

		db->group = group;
		db->index = i;
		db->name = from->name;
		db->address = from->address;
		db->zone = from->zone;
		db->port = from->port;
		db->conns = g_ptr_array_new();
	}
	promote_init(&group->promote, &limits, group->count,
	    g_rand_int(role->rand), clock_us());
	group->budget = budget_split(config->connections_max, config->slots);
	group->primary_lane = rankq_new(floors);
	group->replica_lane = rankq_new(floors);
	g_queue_init(&group->tx_lane);
	g_queue_init(&group->confirming);
	group->txs = g_hash_table_new(g_int64_hash, g_int64_equal);
	group->reqids = reqids_new(role->daemon->settings->limits->request_ids);
	return group;
}

/*
 * Free a group that runs nothing any more.
 */
void
dbgroup_free(dbgroup_t *group)
{
	uint32_t i;

	source_drop(&group->pace);
	for (i = 0; i < group->count; i++) {
		database_close(&group->dbs[i]);
		g_ptr_array_unref(group->dbs[i].conns);
	}
	if (group->before != NULL)
		dbgroup_free(group->before);
	promote_clear(&group->promote);
	rankq_free(group->primary_lane);
	rankq_free(group->replica_lane);
	g_hash_table_unref(group->txs);
	if (!group->retired)
		reqids_free(group->reqids);
	arena_free(group->arena);
	g_free(group);
}

/*
 * Tell whether a group has nothing to do.
 */
bool
dbgroup_idle(const dbgroup_t *group)
{
	return group->runs == 0 && g_hash_table_size(group->txs) == 0 &&
	    (group->before == NULL || dbgroup_idle(group->before));
}

/*
 * Take over from the same group under an older document: what waits moves
 * here; what is under way ends there first, and only then does this group
 * send anything to its primary.
 */
void
dbgroup_replace(dbgroup_t *group, dbgroup_t *before)
{
	reqids_free(group->reqids);
	group->reqids = before->reqids;
	group->acked = before->acked;
	group->owned = before->owned;
	group->service_us = before->service_us;
	before->retired = true;
	before->retired_us = clock_us();
	runs_move(before, group);
	group->before = before;
	if (before->active)
		dbgroup_activate(group, clock_us());
}

/*
 * Tell whether a database leaves, by its own word or by the platform's list.
 */
bool
dbgroup_leaving(const database_t *db)
{
	return db->listed_leaving ||
	    db->group->promote.views[db->index].leaving;
}

/*
 * Begin to act for a group: learn its state anew.
 */
void
dbgroup_activate(dbgroup_t *group, int64_t now_us)
{
	promote_limits_t limits = group->promote.limits;
	uint32_t i;

	group->used_us = now_us;
	if (group->active)
		return;
	group->active = true;
	promote_clear(&group->promote);
	promote_init(&group->promote, &limits, group->count,
	    g_rand_int(group->role->rand), now_us);
	memset(&group->samples, 0, sizeof(group->samples));
	for (i = 0; i < group->count; i++)
		conn_open(&group->dbs[i], true);
}

/*
 * Stop acting for a group that is another daemon's and has no work here.
 */
static void
dbgroup_deactivate(dbgroup_t *group)
{
	uint32_t i;

	group->active = false;
	for (i = 0; i < group->count; i++)
		database_close(&group->dbs[i]);
}

/*
 * Tell whether work for the primary waits: the primary is leaving, and what
 * is there already must end first.
 */
bool
dbgroup_holds_back(const dbgroup_t *group, int64_t now_us)
{
	int32_t primary = promote_primary(&group->promote);
	uint32_t i, staying = 0;

	if (primary < 0 || !dbgroup_leaving(&group->dbs[primary]))
		return false;
	for (i = 0; i < group->count; i++)
		staying += database_usable(&group->dbs[i], now_us);
	if (staying == 0)
		return false;
	return g_hash_table_size(group->txs) == 0 ||
	    now_us - group->leaving_us >= LEAVING_GRACE_US;
}

/*
 * The database that statements for the primary go to now, or -1.
 */
int32_t
dbgroup_primary(const dbgroup_t *group, int64_t now_us)
{
	int32_t primary = promote_primary(&group->promote);

	if (primary < 0 || group->promote.state == PROMOTE_FENCING ||
	    group->promote.state == PROMOTE_RAISING ||
	    group->dbs[primary].control == NULL ||
	    group->promote.views[primary].last.term !=
		group->promote.views[primary].promised ||
	    dbgroup_holds_back(group, now_us) || group->before != NULL)
		return -1;
	return primary;
}

/*
 * Note a sample, so that reads of a stated age find their replicas.
 */
static void
take_sample(dbgroup_t *group)
{
	int32_t primary = promote_primary(&group->promote);
	sample_t sample;

	if (primary < 0 ||
	    !sample_take(
		group->promote.views, group->count, (uint32_t)primary, &sample))
		return;
	samples_add(&group->samples, sample, SAMPLE_SPACING_US);
}

/*
 * Wake up for the next probes of statements that wait for a majority.
 */
static gboolean
on_pace(gpointer context)
{
	dbgroup_t *group = context;
	uint32_t i;

	source_drop(&group->pace);
	if (g_queue_is_empty(&group->confirming))
		return G_SOURCE_REMOVE;
	for (i = 0; i < group->count; i++)
		conn_confirm(&group->dbs[i]);
	return G_SOURCE_REMOVE;
}

/*
 * A database told its state.
 */
void
dbgroup_heard(
    dbgroup_t *group, database_t *db, const db_view_t *view, int64_t now_us)
{
	bool left = dbgroup_leaving(db);

	promote_heard(&group->promote, db->index, view, now_us);
	if (!left && dbgroup_leaving(db))
		log_line(PART, G_LOG_LEVEL_INFO, "Database %s of %s leaves.",
		    db->name, group->key);
	take_sample(group);
	runs_confirm(group, now_us);
	runs_pump(group, now_us);
	if (!g_queue_is_empty(&group->confirming) && group->pace == NULL)
		group->pace =
		    task_timer(group->role->task, PACE_MS, on_pace, group);
}

/*
 * A database answered a step of a change of primary.
 */
void
dbgroup_controlled(dbgroup_t *group, database_t *db, backend_call_t call,
    uint64_t term, const Bp__DbAnswer *answer, const db_view_t *view,
    int64_t now_us)
{
	bool ok = answer->result == BP__DB_RESULT__OK;

	if (call == BACKEND_FENCE) {
		promote_fenced(
		    &group->promote, db->index, term, ok, view, now_us);
	} else if (call == BACKEND_PROMOTE) {
		promote_raised(
		    &group->promote, db->index, term, ok, view, now_us);
		if (ok) {
			group->role->counts[COUNT_CHANGES_OF_PRIMARY]++;
			log_line(PART, G_LOG_LEVEL_MESSAGE,
			    "Group %s has primary %s in term %" G_GUINT64_FORMAT
			    ".",
			    group->key, db->name, term);
		}
	} else {
		promote_heard(&group->promote, db->index, view, now_us);
	}
	dbgroup_tick(group, now_us);
}

/*
 * A control connection is gone, or could not be opened.
 */
void
dbgroup_lost(dbgroup_t *group, database_t *db, bool refused)
{
	if (refused)
		promote_refused(&group->promote, db->index, clock_us());
}

/*
 * Ask the peers' task for a second witness of a database's silence.
 */
static void
ask_witness(dbgroup_t *group, const database_t *db)
{
	msg_t *msg = msg_new(&bp__witness_wanted__descriptor);
	Bp__WitnessWanted *wanted = (Bp__WitnessWanted *)msg->body;

	log_line(PART, G_LOG_LEVEL_INFO,
	    "Primary %s of %s is silent; asking a second witness.", db->name,
	    group->key);
	group->witness = ++group->role->next_witness;
	wanted->id = group->witness;
	wanted->address = arena_strdup(msg->arena, db->address);
	wanted->port = db->port;
	task_send(group->role->daemon->peer, group->role->task, msg);
}

/*
 * Send a database the step of a change of primary that was decided.
 */
static void
act(dbgroup_t *group, const promote_action_t *action)
{
	database_t *db = &group->dbs[action->database];
	Bp__DbFence fence = BP__DB_FENCE__INIT;
	Bp__DbFollow follow = BP__DB_FOLLOW__INIT;
	Bp__DbPromote raise = BP__DB_PROMOTE__INIT;
	Bp__DbAddress addresses[GROUP_DATABASES_MAX];
	Bp__DbAddress *followers[GROUP_DATABASES_MAX];
	uint32_t i;

	if (action->kind == PROMOTE_ASK_WITNESS) {
		ask_witness(group, db);
		return;
	}
	if (db->control == NULL || !db->control->open)
		return;
	if (action->kind == PROMOTE_FENCE) {
		fence.term = action->term;
		backend_h2.call(db->control->backend, BACKEND_FENCE,
		    action->term, &fence.base);
		return;
	}
	if (action->kind == PROMOTE_FOLLOW) {
		follow.term = action->term;
		backend_h2.call(db->control->backend, BACKEND_FOLLOW,
		    action->term, &follow.base);
		return;
	}
	raise.term = action->term;
	raise.followers = followers;
	for (i = 0; i < group->count; i++) {
		if (i == action->database)
			continue;
		bp__db_address__init(&addresses[i]);
		addresses[i].address = group->dbs[i].address;
		addresses[i].port = group->dbs[i].port;
		followers[raise.n_followers++] = &addresses[i];
	}
	backend_h2.call(
	    db->control->backend, BACKEND_PROMOTE, action->term, &raise.base);
}

/*
 * Probe a database when it is time, and give up probes without an answer.
 */
static void
probe(database_t *db, int64_t now_us)
{
	const Bp__Timeouts *timeouts =
	    db->group->role->daemon->settings->timeouts;
	int64_t timeout_us = (int64_t)timeouts->probe_timeout_ms * US_PER_MS;
	int64_t interval_us = (int64_t)timeouts->probe_interval_ms * US_PER_MS;
	bool opening = db->control != NULL && !db->control->open;

	if (opening && now_us - db->control->began_us >= timeout_us) {
		db->reopen_us = now_us + interval_us;
		conn_close(db->control);
	} else if (db->probe_open && now_us - db->probe_sent_us >= timeout_us) {
		conn_condemn(db->control, "a probe has no answer");
	}
	if (db->control == NULL) {
		if (now_us >= db->reopen_us && conn_open(db, true) == NULL)
			db->reopen_us = now_us + interval_us;
		return;
	}
	if (now_us >= db->probe_due_us && db->control->open) {
		db->probe_due_us = now_us + interval_us;
		conn_status(db->control);
	}
}

/*
 * A leaving primary with nothing left to do, and a replica that stays and
 * has all it has: hand over.  Transactions that are open but idle hold that
 * up for a while only, and after the drain time it is handed over in any case.
 */
static void
consider_handover(dbgroup_t *group, int64_t now_us)
{
	const Bp__Timeouts *timeouts = group->role->daemon->settings->timeouts;
	int32_t primary = promote_primary(&group->promote);
	const db_view_t *views = group->promote.views;
	bool idle, quiet, late;
	uint32_t i;

	if (primary < 0 || !dbgroup_leaving(&group->dbs[primary])) {
		group->leaving_us = 0;
		return;
	}
	if (group->leaving_us == 0)
		group->leaving_us = now_us;
	if (!dbgroup_holds_back(group, now_us))
		return;
	idle = group->dbs[primary].in_flight == 0 &&
	    g_queue_is_empty(&group->confirming);
	quiet = idle && g_hash_table_size(group->txs) == 0;
	late = (idle && now_us - group->leaving_us >= LEAVING_IDLE_US) ||
	    now_us - group->leaving_us >=
		(int64_t)timeouts->drain_ms * US_PER_MS;
	if (!quiet && !late)
		return;
	for (i = 0; i < group->count; i++) {
		if (database_usable(&group->dbs[i], now_us) &&
		    views[i].promised == views[primary].promised &&
		    position_compare(views[i].last, views[primary].last) >= 0) {
			promote_handover(&group->promote, now_us);
			return;
		}
	}
}

/*
 * End transactions that nobody has used for long.
 */
static void
expire_txs(dbgroup_t *group, int64_t now_us)
{
	const Bp__Timeouts *timeouts = group->role->daemon->settings->timeouts;
	int64_t idle_us = (int64_t)timeouts->transaction_idle_ms * US_PER_MS;
	GHashTableIter iter;
	gpointer value;

	g_hash_table_iter_init(&iter, group->txs);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		tx_t *tx = value;

		if (tx->run == NULL && now_us - tx->used_us >= idle_us) {
			if (tx->conn != NULL)
				conn_close(tx->conn);
			tx_end(tx);
			return; /* the iterator is void; the rest comes next */
		}
	}
}

/*
 * Probe, look after connections and carry out what is decided.
 */
static void
tick_active(dbgroup_t *group, int64_t now_us)
{
	promote_actions_t actions;
	const run_t *first;
	uint32_t i;

	for (i = 0; i < group->count; i++) {
		/* the list may tell before the database does */
		if (group->dbs[i].listed_leaving)
			group->promote.views[i].leaving = true;
		probe(&group->dbs[i], now_us);
		conns_check(&group->dbs[i], now_us);
		conns_keep_warm(&group->dbs[i], now_us);
	}
	consider_handover(group, now_us);
	first = g_queue_peek_head(&group->confirming);
	promote_waiting(&group->promote, first == NULL ? 0 : first->sent_us);
	if (group->before == NULL && !group->retired &&
	    (group->owned || group->runs > 0)) {
		promote_tick(&group->promote, now_us, &actions);
		for (i = 0; i < actions.count; i++)
			act(group, &actions.list[i]);
	}
	expire_txs(group, now_us);
	runs_confirm(group, now_us);
	runs_pump(group, now_us);
	runs_expire(group, now_us);
}

/*
 * The group that holds a transaction: this one, or what it took over from;
 * NULL when neither does.
 */
dbgroup_t *
dbgroup_holding(dbgroup_t *group, uint64_t transaction)
{
	while (
	    group != NULL && !g_hash_table_contains(group->txs, &transaction))
		group = group->before;
	return group;
}

/*
 * Let a retired group end what it has; after the drain time its transactions
 * are closed.  Returns whether it has ended.
 */
static bool
retired_tick(dbgroup_t *group, int64_t now_us)
{
	int64_t drain_us = (int64_t)US_PER_MS *
	    group->role->daemon->settings->timeouts->drain_ms;
	GHashTableIter iter;
	gpointer value;

	if (now_us - group->retired_us >= drain_us) {
		runs_end(group);
		g_hash_table_iter_init(&iter, group->txs);
		if (g_hash_table_iter_next(&iter, NULL, &value)) {
			tx_t *tx = value;

			if (tx->conn != NULL)
				conn_close(tx->conn);
			tx_end(tx);
		}
	}
	dbgroup_tick(group, now_us);
	return dbgroup_idle(group);
}

/*
 * What is to be done for a group now.  Called often.
 */
void
dbgroup_tick(dbgroup_t *group, int64_t now_us)
{
	if (group->before != NULL && retired_tick(group->before, now_us)) {
		dbgroup_free(group->before);
		group->before = NULL;
	}
	if (!dbgroup_idle(group))
		group->used_us = now_us;
	if (!group->active && group->owned && !group->retired)
		dbgroup_activate(group, now_us);
	if (!group->active)
		return;
	if (!group->owned && now_us - group->used_us >= IDLE_CLOSE_US) {
		dbgroup_deactivate(group);
		return;
	}
	tick_active(group, now_us);
}

/*
 * Fill in the group's part of the status page.
 */
void
dbgroup_report(const dbgroup_t *group, arena_t *arena, Bp__GroupStatus *status)
{
	int32_t primary = promote_primary(&group->promote);
	int64_t now_us = clock_us();
	uint32_t i;

	status->team = arena_strdup(arena, group->team);
	status->name = arena_strdup(arena, group->name);
	status->owner = group->role->daemon->settings->name;
	status->queued =
	    rankq_count(group->primary_lane) + rankq_count(group->replica_lane);
	if (primary >= 0) {
		status->primary = arena_strdup(arena, group->dbs[primary].name);
		status->term = group->promote.views[primary].promised;
	}
	status->databases =
	    arena_zero(arena, sizeof(status->databases[0]) * group->count);
	for (i = 0; i < group->count; i++) {
		const database_t *db = &group->dbs[i];
		const db_view_t *view = &group->promote.views[i];
		Bp__DatabaseStatus *to = (Bp__DatabaseStatus *)message_new(
		    arena, &bp__database_status__descriptor);

		to->name = arena_strdup(arena, db->name);
		to->zone = arena_strdup(arena, db->zone);
		to->reachable = database_usable(db, now_us);
		to->primary = (int32_t)i == primary;
		to->leaving = dbgroup_leaving(db);
		to->promised = view->promised;
		to->term = view->last.term;
		to->position = view->last.index;
		to->connections = db->conns->len + (db->control != NULL);
		to->in_flight = db->in_flight;
		status->databases[status->n_databases++] = to;
	}
}
