#include "group.h"

#include <string.h>

#define LOG_PART "group"

/* Minimum spacing of samples in the position history. */
#define SAMPLE_SPACING_US (50 * US_PER_MS)

/*
 * A leaving primary takes statements until its transactions have ended, at
 * most for HANDOVER_GRACE_US.  Transactions that are open but idle delay the
 * handover until HANDOVER_IDLE_TX_US at most.
 */
#define HANDOVER_GRACE_US (1500 * US_PER_MS)
#define HANDOVER_IDLE_TX_US (3000 * US_PER_MS)

/* Idle time after which connections of a group owned elsewhere are closed. */
#define UNOWNED_CLOSE_US (INT64_C(5) * G_USEC_PER_SEC)

/* Delay between probes while statements are unconfirmed. */
#define CONFIRM_INTERVAL_MS 1

/*
 * Derive the time limits of a failover from the configured timeouts.
 */
static failover_limits_t
failover_limits_from(const Bp__Timeouts *timeouts)
{
	failover_limits_t limits = {0};

	limits.suspect_us = (int64_t)US_PER_MS *
	    (timeouts->probe_timeout_ms + 2 * timeouts->probe_interval_ms);
	limits.witness_us = (int64_t)US_PER_MS * timeouts->probe_timeout_ms;
	limits.witness_override_us = 5 * limits.suspect_us;
	limits.fence_us = (int64_t)US_PER_MS * timeouts->connect_ms;
	limits.promotion_us = (int64_t)US_PER_MS * timeouts->connect_ms;
	limits.backoff_us = 50 * US_PER_MS;
	return limits;
}

/*
 * Create a group from its configuration in a document.  No connection is
 * opened before dbgroup_activate().
 */
dbgroup_t *
dbgroup_new(group_ctx_t *ctx, const char *team, const Bp__Group *config,
    uint32_t floor_percent[])
{
	dbgroup_t *group = g_new0(dbgroup_t, 1);
	failover_limits_t limits =
	    failover_limits_from(ctx->daemon->settings->timeouts);
	uint32_t i;

	group->ctx = ctx;
	group->arena = arena_new();
	group->config = (Bp__Group *)message_copy(group->arena, &config->base);
	group->team = arena_strdup(group->arena, team);
	group->name = group->config->name;
	group->key = arena_printf(group->arena, "%s/%s", team, config->name);
	group->db_count = (uint32_t)config->n_databases;
	for (i = 0; i < group->db_count; i++) {
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
	failover_init(&group->failover, &limits, group->db_count,
	    g_rand_int(ctx->rand), clock_us());
	group->conn_budget =
	    conn_budget_split(config->connections_max, config->slots);
	group->primary_backlog = rankq_new(floor_percent);
	group->replica_backlog = rankq_new(floor_percent);
	g_queue_init(&group->tx_backlog);
	g_queue_init(&group->unconfirmed);
	group->txs = g_hash_table_new(g_int64_hash, g_int64_equal);
	group->reqids = reqids_new(ctx->daemon->settings->limits->request_ids);
	return group;
}

/*
 * Free a group that has no statements left.
 */
void
dbgroup_free(dbgroup_t *group)
{
	uint32_t i;

	source_clear(&group->confirm_timer);
	for (i = 0; i < group->db_count; i++) {
		database_disconnect(&group->dbs[i]);
		g_ptr_array_unref(group->dbs[i].conns);
	}
	if (group->predecessor != NULL)
		dbgroup_free(group->predecessor);
	failover_clear(&group->failover);
	rankq_free(group->primary_backlog);
	rankq_free(group->replica_backlog);
	g_hash_table_unref(group->txs);
	if (!group->retired)
		reqids_free(group->reqids);
	arena_free(group->arena);
	g_free(group);
}

/*
 * Tell whether a group and its predecessor have no statements and no open
 * transactions.
 */
bool
dbgroup_is_idle(const dbgroup_t *group)
{
	return group->stmt_count == 0 && g_hash_table_size(group->txs) == 0 &&
	    (group->predecessor == NULL || dbgroup_is_idle(group->predecessor));
}

/*
 * Replace the same group under an older document.  Queued statements move to
 * the new group.  Statements in flight and open transactions end in the
 * predecessor; until then the new group sends nothing to its primary.
 */
void
dbgroup_replace(dbgroup_t *group, dbgroup_t *predecessor)
{
	reqids_free(group->reqids);
	group->reqids = predecessor->reqids;
	group->acked_position = predecessor->acked_position;
	group->owned = predecessor->owned;
	group->mean_service_us = predecessor->mean_service_us;
	predecessor->retired = true;
	predecessor->retired_us = clock_us();
	stmts_move(predecessor, group);
	group->predecessor = predecessor;
	if (predecessor->active)
		dbgroup_activate(group, clock_us());
}

/*
 * Tell whether a database is leaving, as reported by its own status or by the
 * platform.
 */
bool
database_is_leaving(const database_t *db)
{
	return db->listed_leaving ||
	    db->group->failover.views[db->index].leaving;
}

/*
 * Open the control connections of a group and discard the known state of its
 * databases.
 */
void
dbgroup_activate(dbgroup_t *group, int64_t now_us)
{
	failover_limits_t limits = group->failover.limits;
	uint32_t i;

	group->last_used_us = now_us;
	if (group->active)
		return;
	group->active = true;
	failover_clear(&group->failover);
	failover_init(&group->failover, &limits, group->db_count,
	    g_rand_int(group->ctx->rand), now_us);
	memset(&group->position_history, 0, sizeof(group->position_history));
	for (i = 0; i < group->db_count; i++)
		conn_open(&group->dbs[i], true);
}

/*
 * Close the connections of an idle group that another daemon owns.
 */
static void
dbgroup_deactivate(dbgroup_t *group)
{
	uint32_t i;

	group->active = false;
	for (i = 0; i < group->db_count; i++)
		database_disconnect(&group->dbs[i]);
}

/*
 * Tell whether new statements for the primary are held in the queue: the
 * primary is leaving, another database can take over, and the primary's
 * transactions have ended or their grace period is over.
 */
bool
dbgroup_primary_paused(const dbgroup_t *group, int64_t now_us)
{
	int32_t primary = failover_primary(&group->failover);
	uint32_t i, usable = 0;

	if (primary < 0 || !database_is_leaving(&group->dbs[primary]))
		return false;
	for (i = 0; i < group->db_count; i++)
		usable += database_usable(&group->dbs[i], now_us);
	if (usable == 0)
		return false;
	return g_hash_table_size(group->txs) == 0 ||
	    now_us - group->leaving_since_us >= HANDOVER_GRACE_US;
}

/*
 * Return the index of the primary if statements may be sent to it now, or -1.
 */
int32_t
dbgroup_ready_primary(const dbgroup_t *group, int64_t now_us)
{
	int32_t primary = failover_primary(&group->failover);

	if (primary < 0 || group->failover.state == FAILOVER_FENCING ||
	    group->failover.state == FAILOVER_PROMOTING ||
	    group->dbs[primary].control == NULL ||
	    group->failover.views[primary].last_entry.term !=
		group->failover.views[primary].promised ||
	    dbgroup_primary_paused(group, now_us) || group->predecessor != NULL)
		return -1;
	return primary;
}

/*
 * Record the primary's position in the history that gives the position a
 * replica must have reached to serve a read with a maximum staleness.
 */
static void
record_position_sample(dbgroup_t *group)
{
	int32_t primary = failover_primary(&group->failover);
	position_sample_t sample;

	if (primary < 0 ||
	    !position_sample_take(group->failover.views, group->db_count,
		(uint32_t)primary, &sample))
		return;
	position_history_add(
	    &group->position_history, sample, SAMPLE_SPACING_US);
}

/*
 * Probe all databases again while statements are unconfirmed.  A timer
 * callback.
 */
static gboolean
on_confirm_timer(gpointer context)
{
	dbgroup_t *group = context;
	uint32_t i;

	source_clear(&group->confirm_timer);
	if (g_queue_is_empty(&group->unconfirmed))
		return G_SOURCE_REMOVE;
	for (i = 0; i < group->db_count; i++)
		database_send_confirm_probe(&group->dbs[i]);
	return G_SOURCE_REMOVE;
}

/*
 * Process the status that a database returned to a probe.
 */
void
dbgroup_status_received(
    dbgroup_t *group, database_t *db, const db_view_t *view, int64_t now_us)
{
	bool was_leaving = database_is_leaving(db);

	failover_merge_view(&group->failover, db->index, view, now_us);
	if (!was_leaving && database_is_leaving(db))
		log_line(LOG_PART, G_LOG_LEVEL_INFO,
		    "Database %s of %s is leaving.", db->name, group->key);
	record_position_sample(group);
	stmts_confirm(group, now_us);
	stmts_dispatch(group, now_us);
	if (!g_queue_is_empty(&group->unconfirmed) &&
	    group->confirm_timer == NULL)
		group->confirm_timer = task_timer(group->ctx->task,
		    CONFIRM_INTERVAL_MS, on_confirm_timer, group);
}

/*
 * Process a database's answer to a fence, promote or follow call.
 */
void
dbgroup_control_answered(dbgroup_t *group, database_t *db, backend_call_t call,
    uint64_t term, const Bp__DbAnswer *answer, const db_view_t *view,
    int64_t now_us)
{
	bool ok = answer->result == BP__DB_RESULT__OK;

	if (call == BACKEND_FENCE) {
		failover_fence_answered(
		    &group->failover, db->index, term, ok, view, now_us);
	} else if (call == BACKEND_PROMOTE) {
		failover_promotion_answered(
		    &group->failover, db->index, term, ok, view, now_us);
		if (ok) {
			group->ctx->counts[COUNT_PROMOTIONS]++;
			log_line(LOG_PART, G_LOG_LEVEL_MESSAGE,
			    "Group %s: database %s became primary in term "
			    "%" G_GUINT64_FORMAT ".",
			    group->key, db->name, term);
		}
	} else {
		failover_merge_view(&group->failover, db->index, view, now_us);
	}
	dbgroup_tick(group, now_us);
}

/*
 * Handle the loss of a control connection.  A connection that could not be
 * opened counts as refused by the database.
 */
void
dbgroup_control_lost(dbgroup_t *group, database_t *db, bool connect_failed)
{
	if (connect_failed)
		failover_connection_refused(
		    &group->failover, db->index, clock_us());
}

/*
 * Ask the peer task to have another daemon probe the primary, which does not
 * respond to this one.
 */
static void
request_witness(dbgroup_t *group, const database_t *db)
{
	msg_t *msg = msg_new(&bp__witness_probe_request__descriptor);
	Bp__WitnessProbeRequest *request = (Bp__WitnessProbeRequest *)msg->body;

	log_line(LOG_PART, G_LOG_LEVEL_INFO,
	    "Primary %s of %s does not respond; asking another daemon to "
	    "probe it.",
	    db->name, group->key);
	group->witness_request_id = ++group->ctx->last_witness_request;
	request->id = group->witness_request_id;
	request->address = arena_strdup(msg->arena, db->address);
	request->port = db->port;
	task_send(group->ctx->daemon->peer, group->ctx->task, msg);
}

/*
 * Execute an action that the failover state machine decided on.
 */
static void
execute_failover_action(dbgroup_t *group, const failover_action_t *action)
{
	database_t *db = &group->dbs[action->database];
	Bp__DbFence fence = BP__DB_FENCE__INIT;
	Bp__DbFollow follow = BP__DB_FOLLOW__INIT;
	Bp__DbPromote promotion = BP__DB_PROMOTE__INIT;
	Bp__DbAddress addresses[GROUP_DATABASES_MAX];
	Bp__DbAddress *followers[GROUP_DATABASES_MAX];
	uint32_t i;

	if (action->kind == FAILOVER_ASK_WITNESS) {
		request_witness(group, db);
		return;
	}
	if (db->control == NULL || !db->control->connected)
		return;
	if (action->kind == FAILOVER_FENCE) {
		fence.term = action->term;
		backend_h2.call(db->control->backend, BACKEND_FENCE,
		    action->term, &fence.base);
		return;
	}
	if (action->kind == FAILOVER_FOLLOW) {
		follow.term = action->term;
		backend_h2.call(db->control->backend, BACKEND_FOLLOW,
		    action->term, &follow.base);
		return;
	}
	promotion.term = action->term;
	promotion.followers = followers;
	for (i = 0; i < group->db_count; i++) {
		if (i == action->database)
			continue;
		bp__db_address__init(&addresses[i]);
		addresses[i].address = group->dbs[i].address;
		addresses[i].port = group->dbs[i].port;
		followers[promotion.n_followers++] = &addresses[i];
	}
	backend_h2.call(db->control->backend, BACKEND_PROMOTE, action->term,
	    &promotion.base);
}

/*
 * Probe a database if a probe is due.  A control connection that does not
 * open, or on which a probe is not answered in time, is closed; a missing one
 * is opened.
 */
static void
probe_database(database_t *db, int64_t now_us)
{
	const Bp__Timeouts *timeouts =
	    db->group->ctx->daemon->settings->timeouts;
	int64_t timeout_us = (int64_t)timeouts->probe_timeout_ms * US_PER_MS;
	int64_t interval_us = (int64_t)timeouts->probe_interval_ms * US_PER_MS;
	bool connecting = db->control != NULL && !db->control->connected;

	if (connecting &&
	    now_us - db->control->connect_started_us >= timeout_us) {
		db->reconnect_after_us = now_us + interval_us;
		conn_close(db->control);
	} else if (db->probe_pending &&
	    now_us - db->probe_sent_us >= timeout_us) {
		conn_abort(db->control, "probe timed out");
	}
	if (db->control == NULL) {
		if (now_us >= db->reconnect_after_us &&
		    conn_open(db, true) == NULL)
			db->reconnect_after_us = now_us + interval_us;
		return;
	}
	if (now_us >= db->probe_due_us && db->control->connected) {
		db->probe_due_us = now_us + interval_us;
		conn_request_status(db->control);
	}
}

/*
 * Request a handover when the primary is leaving, has no work left, and a
 * replica that stays holds its whole log.  Transactions that are open but idle
 * delay the handover for HANDOVER_IDLE_TX_US at most.  After the drain timeout
 * it is requested even if work is left.
 */
static void
check_handover(dbgroup_t *group, int64_t now_us)
{
	const Bp__Timeouts *timeouts = group->ctx->daemon->settings->timeouts;
	int32_t primary = failover_primary(&group->failover);
	const db_view_t *views = group->failover.views;
	bool no_statements, no_work, overdue;
	uint32_t i;

	if (primary < 0 || !database_is_leaving(&group->dbs[primary])) {
		group->leaving_since_us = 0;
		return;
	}
	if (group->leaving_since_us == 0)
		group->leaving_since_us = now_us;
	if (!dbgroup_primary_paused(group, now_us))
		return;
	no_statements = group->dbs[primary].in_flight == 0 &&
	    g_queue_is_empty(&group->unconfirmed);
	no_work = no_statements && g_hash_table_size(group->txs) == 0;
	overdue =
	    (no_statements &&
		now_us - group->leaving_since_us >= HANDOVER_IDLE_TX_US) ||
	    now_us - group->leaving_since_us >=
		(int64_t)timeouts->drain_ms * US_PER_MS;
	if (!no_work && !overdue)
		return;
	for (i = 0; i < group->db_count; i++) {
		if (database_usable(&group->dbs[i], now_us) &&
		    views[i].promised == views[primary].promised &&
		    position_compare(
			views[i].last_entry, views[primary].last_entry) >= 0) {
			failover_request_handover(&group->failover, now_us);
			return;
		}
	}
}

/*
 * End a transaction that has been idle beyond the configured timeout, at most
 * one in each call.
 */
static void
expire_txs(dbgroup_t *group, int64_t now_us)
{
	const Bp__Timeouts *timeouts = group->ctx->daemon->settings->timeouts;
	int64_t idle_us = (int64_t)timeouts->transaction_idle_ms * US_PER_MS;
	GHashTableIter iter;
	gpointer value;

	g_hash_table_iter_init(&iter, group->txs);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		tx_t *tx = value;

		if (tx->stmt == NULL && now_us - tx->last_used_us >= idle_us) {
			if (tx->conn != NULL)
				conn_close(tx->conn);
			tx_free(tx);
			return; /* tx_free() invalidated the iterator */
		}
	}
}

/*
 * Do the periodic work of an active group: probes, connection checks,
 * failover, and statements that can be confirmed, sent or expired.
 */
static void
dbgroup_tick_active(dbgroup_t *group, int64_t now_us)
{
	failover_actions_t actions;
	const stmt_t *oldest;
	uint32_t i;

	for (i = 0; i < group->db_count; i++) {
		/* the platform may report leaving before the database does */
		if (group->dbs[i].listed_leaving)
			group->failover.views[i].leaving = true;
		probe_database(&group->dbs[i], now_us);
		conns_check_timeouts(&group->dbs[i], now_us);
		conns_open_min(&group->dbs[i], now_us);
	}
	check_handover(group, now_us);
	oldest = g_queue_peek_head(&group->unconfirmed);
	failover_set_unconfirmed(
	    &group->failover, oldest == NULL ? 0 : oldest->sent_us);
	if (group->predecessor == NULL && !group->retired &&
	    (group->owned || group->stmt_count > 0)) {
		failover_tick(&group->failover, now_us, &actions);
		for (i = 0; i < actions.count; i++)
			execute_failover_action(group, &actions.list[i]);
	}
	expire_txs(group, now_us);
	stmts_confirm(group, now_us);
	stmts_dispatch(group, now_us);
	stmts_expire(group, now_us);
}

/*
 * Return the group that holds a transaction: this one, a predecessor, or NULL.
 */
dbgroup_t *
dbgroup_with_tx(dbgroup_t *group, uint64_t transaction)
{
	while (
	    group != NULL && !g_hash_table_contains(group->txs, &transaction))
		group = group->predecessor;
	return group;
}

/*
 * Do the periodic work of a replaced group.  After the drain timeout its
 * statements are aborted and its transactions closed.  Returns whether the
 * group has become idle.
 */
static bool
dbgroup_tick_retired(dbgroup_t *group, int64_t now_us)
{
	int64_t drain_us = (int64_t)US_PER_MS *
	    group->ctx->daemon->settings->timeouts->drain_ms;
	GHashTableIter iter;
	gpointer value;

	if (now_us - group->retired_us >= drain_us) {
		stmts_abort_all(group);
		g_hash_table_iter_init(&iter, group->txs);
		if (g_hash_table_iter_next(&iter, NULL, &value)) {
			tx_t *tx = value;

			if (tx->conn != NULL)
				conn_close(tx->conn);
			tx_free(tx);
		}
	}
	dbgroup_tick(group, now_us);
	return dbgroup_is_idle(group);
}

/*
 * Do the periodic work of a group; also called after each event that the
 * failover state machine should act on at once.
 */
void
dbgroup_tick(dbgroup_t *group, int64_t now_us)
{
	if (group->predecessor != NULL &&
	    dbgroup_tick_retired(group->predecessor, now_us)) {
		dbgroup_free(group->predecessor);
		group->predecessor = NULL;
	}
	if (!dbgroup_is_idle(group))
		group->last_used_us = now_us;
	if (!group->active && group->owned && !group->retired)
		dbgroup_activate(group, now_us);
	if (!group->active)
		return;
	if (!group->owned && now_us - group->last_used_us >= UNOWNED_CLOSE_US) {
		dbgroup_deactivate(group);
		return;
	}
	dbgroup_tick_active(group, now_us);
}

/*
 * Fill in a group's entry of the status page.
 */
void
dbgroup_fill_status(
    const dbgroup_t *group, arena_t *arena, Bp__GroupStatus *status)
{
	int32_t primary = failover_primary(&group->failover);
	int64_t now_us = clock_us();
	uint32_t i;

	status->team = arena_strdup(arena, group->team);
	status->name = arena_strdup(arena, group->name);
	status->owner = group->ctx->daemon->settings->name;
	status->queued = rankq_count(group->primary_backlog) +
	    rankq_count(group->replica_backlog);
	if (primary >= 0) {
		status->primary = arena_strdup(arena, group->dbs[primary].name);
		status->term = group->failover.views[primary].promised;
	}
	status->databases =
	    arena_zalloc(arena, sizeof(status->databases[0]) * group->db_count);
	for (i = 0; i < group->db_count; i++) {
		const database_t *db = &group->dbs[i];
		const db_view_t *view = &group->failover.views[i];
		Bp__DatabaseStatus *entry = (Bp__DatabaseStatus *)message_new(
		    arena, &bp__database_status__descriptor);

		entry->name = arena_strdup(arena, db->name);
		entry->zone = arena_strdup(arena, db->zone);
		entry->reachable = database_usable(db, now_us);
		entry->primary = (int32_t)i == primary;
		entry->leaving = database_is_leaving(db);
		entry->promised = view->promised;
		entry->term = view->last_entry.term;
		entry->position = view->last_entry.index;
		entry->connections = db->conns->len + (db->control != NULL);
		entry->in_flight = db->in_flight;
		status->databases[status->n_databases++] = entry;
	}
}
