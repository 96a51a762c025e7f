#include "group.h"

#include "decide/owner.h"

#include <string.h>

/*
 * The group task, which runs statements on database groups: handlers of its
 * messages, the documents in force, and which groups this daemon owns.
 */

#define LOG_PART "group"
#define TICK_BUSY_MS 10
#define TICK_IDLE_MS 50

static const char *const counter_names[GROUP_COUNTERS] = {
    [COUNT_DONE] = "statements_done",
    [COUNT_FAILED] = "statements_failed",
    [COUNT_NOT_RUN] = "statements_not_run",
    [COUNT_UNKNOWN] = "statements_unknown",
    [COUNT_REPLICA_READS] = "reads_by_replicas",
    [COUNT_PRIMARY_READS] = "reads_by_primaries",
    [COUNT_WRITES] = "writes",
    [COUNT_RETRIES] = "retries",
    [COUNT_REFUSED_EARLY] = "refused_early",
    [COUNT_EXPIRED] = "expired_in_queue",
    [COUNT_DUPLICATE_IDS] = "duplicate_request_ids",
    [COUNT_PROBES] = "database_probes",
    [COUNT_CONFIRM_PROBES] = "confirming_probes",
    [COUNT_CONNECTIONS_OPENED] = "connections_opened",
    [COUNT_CONNECTIONS_ABORTED] = "connections_condemned",
    [COUNT_PROMOTIONS] = "changes_of_primary",
};

/* A probe of a database on behalf of another daemon. */
typedef struct witness_probe {
	group_ctx_t *ctx;
	uint64_t id;
	backend_t *backend;
	GSource *timeout;
} witness_probe_t;

/*
 * Free a team's document; value destructor of ctx->documents_by_team.
 */
static void
active_document_free(gpointer p)
{
	active_document_t *active = p;

	arena_free(active->arena);
}

/*
 * Free a group; value destructor of ctx->groups.
 */
static void
destroy_group(gpointer p)
{
	dbgroup_free(p);
}

/*
 * Create the state of the group task, to be passed to task_new().
 */
void *
group_new(const daemon_t *daemon)
{
	group_ctx_t *ctx = g_new0(group_ctx_t, 1);

	ctx->daemon = daemon;
	ctx->documents_by_team = g_hash_table_new_full(
	    g_str_hash, g_str_equal, NULL, active_document_free);
	ctx->groups =
	    g_hash_table_new_full(g_str_hash, g_str_equal, NULL, destroy_group);
	ctx->leaving_endpoints =
	    g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL);
	ctx->witness_probes = g_hash_table_new(g_int64_hash, g_int64_equal);
	ctx->owner_candidates = g_ptr_array_new_with_free_func(g_free);
	g_ptr_array_add(
	    ctx->owner_candidates, g_strdup(daemon->settings->name));
	ctx->rand = g_rand_new();
	ctx->latencies = latencies_new(&bp__outcome__descriptor);
	/* higher than the ids of earlier incarnations */
	ctx->last_tx_id = daemon->incarnation;
	return ctx;
}

/*
 * Free the state of the group task after the task has ended.
 */
void
group_free(void *context)
{
	group_ctx_t *ctx = context;

	g_hash_table_unref(ctx->groups);
	g_hash_table_unref(ctx->documents_by_team);
	g_hash_table_unref(ctx->leaving_endpoints);
	g_hash_table_unref(ctx->witness_probes);
	g_ptr_array_unref(ctx->owner_candidates);
	g_rand_free(ctx->rand);
	latencies_free(ctx->latencies);
	g_free(ctx);
}

/*
 * While draining, tell the control task when all groups have become idle.
 */
static void
check_drained(group_ctx_t *ctx)
{
	GHashTableIter iter;
	gpointer value;
	msg_t *msg;

	if (!ctx->draining || ctx->drained_sent)
		return;
	g_hash_table_iter_init(&iter, ctx->groups);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		if (!dbgroup_is_idle(value))
			return;
	}
	ctx->drained_sent = true;
	msg = msg_new(&bp__drained__descriptor);
	((Bp__Drained *)msg->body)->task = arena_strdup(msg->arena, "group");
	task_send(ctx->daemon->control, ctx->task, msg);
}

/*
 * Do the periodic work of every group.  A timer callback.  The next interval is
 * shorter while a group has work or a failover is in progress.
 */
static gboolean
on_tick(gpointer context)
{
	group_ctx_t *ctx = context;
	int64_t now_us = clock_us();
	bool busy = false;
	GHashTableIter iter;
	gpointer value;

	g_hash_table_iter_init(&iter, ctx->groups);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		dbgroup_t *group = value;

		dbgroup_tick(group, now_us);
		busy |= !dbgroup_is_idle(group) ||
		    (group->active && group->failover.state != FAILOVER_STEADY);
	}
	check_drained(ctx);
	source_clear(&ctx->tick_timer);
	ctx->tick_timer = task_timer(
	    ctx->task, busy ? TICK_BUSY_MS : TICK_IDLE_MS, on_tick, ctx);
	return G_SOURCE_REMOVE;
}

/*
 * Start the task.
 */
static int32_t
on_start(void *context, task_t *task)
{
	group_ctx_t *ctx = context;

	ctx->task = task;
	ctx->tick_timer = task_timer(task, TICK_BUSY_MS, on_tick, ctx);
	return 0;
}

/*
 * Stop the task: answer the remaining statements and close all connections.
 */
static void
on_stop(void *context)
{
	group_ctx_t *ctx = context;
	GHashTableIter iter;
	gpointer value;

	source_clear(&ctx->tick_timer);
	g_hash_table_iter_init(&iter, ctx->groups);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		dbgroup_t *group = value;

		stmts_abort_all(group);
		if (group->predecessor != NULL)
			stmts_abort_all(group->predecessor);
	}
	g_hash_table_remove_all(ctx->groups);
}

/*
 * Recompute which groups this daemon owns, from the current members.
 */
static void
update_ownership(group_ctx_t *ctx)
{
	const char *self = ctx->daemon->settings->name;
	const char *const *members =
	    (const char *const *)ctx->owner_candidates->pdata;
	GHashTableIter iter;
	gpointer key, value;

	g_hash_table_iter_init(&iter, ctx->groups);
	while (g_hash_table_iter_next(&iter, &key, &value)) {
		dbgroup_t *group = value;
		int32_t owner =
		    owner_pick(members, ctx->owner_candidates->len, key);
		bool owned = owner >= 0 && strcmp(members[owner], self) == 0;

		if (owned != group->owned)
			log_line(LOG_PART, G_LOG_LEVEL_INFO,
			    "Group %s is %s owned by this daemon.", group->key,
			    owned ? "now" : "no longer");
		group->owned = owned;
	}
}

/*
 * Mark the databases whose endpoints the platform lists as leaving.
 */
static void
update_leaving_databases(group_ctx_t *ctx)
{
	GHashTableIter iter;
	gpointer value;
	uint32_t i;

	g_hash_table_iter_init(&iter, ctx->groups);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		dbgroup_t *group = value;

		for (i = 0; i < group->db_count; i++) {
			database_t *db = &group->dbs[i];
			char *endpoint =
			    g_strdup_printf("%s:%u", db->address, db->port);

			db->listed_leaving = g_hash_table_contains(
			    ctx->leaving_endpoints, endpoint);
			g_free(endpoint);
		}
	}
}

/*
 * Handle MembersChanged: replace the list of members that may own groups.
 */
static void
on_members_changed(void *context, msg_t *msg)
{
	const Bp__MembersChanged *changed =
	    (const Bp__MembersChanged *)msg->body;
	group_ctx_t *ctx = context;
	size_t i;

	g_ptr_array_set_size(ctx->owner_candidates, 0);
	for (i = 0; i < changed->n_members; i++) {
		const Bp__Member *member = changed->members[i];

		if (member->state == BP__MEMBER_STATE__ALIVE ||
		    member->state == BP__MEMBER_STATE__SUSPECT)
			g_ptr_array_add(
			    ctx->owner_candidates, g_strdup(member->name));
	}
	update_ownership(ctx);
	msg_free(msg);
}

/*
 * Tell whether two configurations of a group have the same databases in the
 * same order.
 */
static bool
same_databases(const Bp__Group *a, const Bp__Group *b)
{
	size_t i;

	if (a->n_databases != b->n_databases)
		return false;
	for (i = 0; i < a->n_databases; i++) {
		if (strcmp(a->databases[i]->name, b->databases[i]->name) != 0 ||
		    strcmp(a->databases[i]->address,
			b->databases[i]->address) != 0 ||
		    a->databases[i]->port != b->databases[i]->port)
			return false;
	}
	return true;
}

/*
 * Copy the guaranteed minimum share of each rank from a document.
 */
static void
rank_floors(const Bp__Document *document, uint32_t floor_percent[RANKS])
{
	uint32_t i;

	for (i = 0; i < RANKS; i++)
		floor_percent[i] =
		    document_rank_policy(document, (Bp__Rank)i)->floor_percent;
}

/*
 * Apply the configuration of one group of a document.  A group whose databases
 * are unchanged is updated in place; otherwise a new group replaces it.
 */
static void
group_apply_config(
    group_ctx_t *ctx, const Bp__Document *document, const Bp__Group *config)
{
	uint32_t floor_percent[RANKS];
	char *key = g_strdup_printf("%s/%s", document->team, config->name);
	dbgroup_t *old = g_hash_table_lookup(ctx->groups, key), *group;

	rank_floors(document, floor_percent);
	if (old != NULL && same_databases(old->config, config)) {
		old->config->slots = config->slots;
		old->config->connections_max = config->connections_max;
		old->conn_budget =
		    conn_budget_split(config->connections_max, config->slots);
		rankq_set_floors(old->primary_backlog, floor_percent);
		rankq_set_floors(old->replica_backlog, floor_percent);
		g_free(key);
		return;
	}
	group = dbgroup_new(ctx, document->team, config, floor_percent);
	if (old != NULL) {
		g_hash_table_steal(ctx->groups, key);
		dbgroup_replace(group, old);
	}
	g_hash_table_insert(ctx->groups, group->key, group);
	g_free(key);
}

/*
 * Remove the team's groups that the document no longer names.  Their
 * statements are aborted.
 */
static void
groups_remove_unlisted(group_ctx_t *ctx, const Bp__Document *document)
{
	GHashTableIter iter;
	gpointer value;

	g_hash_table_iter_init(&iter, ctx->groups);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		dbgroup_t *group = value;

		if (strcmp(group->team, document->team) != 0 ||
		    document_find_group(document, group->name) != NULL)
			continue;
		stmts_abort_all(group);
		g_hash_table_iter_remove(&iter);
	}
}

/*
 * Handle DocumentInForce: apply a team's document.
 */
static void
on_document_in_force(void *context, msg_t *msg)
{
	const Bp__Accepted *accepted =
	    ((const Bp__DocumentInForce *)msg->body)->accepted;
	group_ctx_t *ctx = context;
	arena_t *arena = arena_new();
	input_errors_t errors = {arena, NULL, 0, NULL};
	Bp__Document *document = document_read(
	    arena, accepted->document, strlen(accepted->document), &errors);
	active_document_t *active;
	size_t i;

	if (document == NULL) {
		log_line(LOG_PART, G_LOG_LEVEL_WARNING,
		    "Document of team %s, version %" G_GUINT64_FORMAT
		    ", cannot be parsed; the previous version stays in force.",
		    accepted->team, accepted->version);
		arena_free(arena);
		msg_free(msg);
		return;
	}
	for (i = 0; i < document->n_groups; i++)
		group_apply_config(ctx, document, document->groups[i]);
	groups_remove_unlisted(ctx, document);
	active = arena_zalloc(arena, sizeof(*active));
	active->arena = arena;
	active->document = document;
	active->version = accepted->version;
	g_hash_table_replace(ctx->documents_by_team, document->team, active);
	update_ownership(ctx);
	update_leaving_databases(ctx);
	msg_free(msg);
}

/*
 * Handle DatabasesLeaving: replace the list of endpoints that are leaving.
 */
static void
on_databases_leaving(void *context, msg_t *msg)
{
	const Bp__DatabasesLeaving *leaving =
	    (const Bp__DatabasesLeaving *)msg->body;
	group_ctx_t *ctx = context;
	size_t i;

	g_hash_table_remove_all(ctx->leaving_endpoints);
	for (i = 0; i < leaving->n_addresses; i++)
		g_hash_table_add(
		    ctx->leaving_endpoints, g_strdup(leaving->addresses[i]));
	update_leaving_databases(ctx);
	msg_free(msg);
}

/*
 * Handle RunStatement: run a statement that a caller of this daemon sent or
 * another daemon forwarded.
 */
static void
on_run_statement(void *context, msg_t *msg)
{
	const Bp__Statement *statement =
	    ((const Bp__RunStatement *)msg->body)->statement;
	group_ctx_t *ctx = context;
	char key[256];
	dbgroup_t *group;
	active_document_t *active =
	    g_hash_table_lookup(ctx->documents_by_team, statement->team);

	g_snprintf(
	    key, sizeof(key), "%s/%s", statement->team, statement->group);
	group = g_hash_table_lookup(ctx->groups, key);
	if (active == NULL || group == NULL) {
		stmt_refuse(ctx, msg, BP__REASON__NO_DOCUMENT,
		    "no document in force here names this group");
		return;
	}
	if (statement->has_transaction) {
		dbgroup_t *tx_group =
		    dbgroup_with_tx(group, statement->transaction);

		if (tx_group != NULL)
			group = tx_group;
	}
	stmt_submit(group, msg, active, ctx->draining);
}

/*
 * Handle WitnessProbeResult: another daemon has probed a primary that does not
 * respond to this one.
 */
static void
on_witness_probe_result(void *context, msg_t *msg)
{
	const Bp__WitnessProbeResult *result =
	    (const Bp__WitnessProbeResult *)msg->body;
	group_ctx_t *ctx = context;
	int64_t now_us = clock_us();
	GHashTableIter iter;
	gpointer value;

	g_hash_table_iter_init(&iter, ctx->groups);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		dbgroup_t *group = value;

		if (group->witness_request_id == result->id) {
			failover_witness_answered(&group->failover,
			    group->failover.witness_request, result->reached,
			    now_us);
			dbgroup_tick(group, now_us);
		}
	}
	msg_free(msg);
}

/*
 * Send the result of a probe to the daemon that requested it, and free the
 * probe.
 */
static void
witness_probe_finish(witness_probe_t *probe, bool reached)
{
	group_ctx_t *ctx = probe->ctx;
	msg_t *msg = msg_new(&bp__witness_probe_result__descriptor);
	Bp__WitnessProbeResult *result = (Bp__WitnessProbeResult *)msg->body;

	result->id = probe->id;
	result->reached = reached;
	task_send(ctx->daemon->peer, ctx->task, msg);
	source_clear(&probe->timeout);
	if (probe->backend != NULL)
		backend_h2.close(probe->backend);
	g_hash_table_remove(ctx->witness_probes, &probe->id);
	g_free(probe);
}

/*
 * Handle the opened connection of a probe: request the database's status, since
 * an open connection alone does not show that the database responds.
 */
static void
on_probe_opened(void *context)
{
	witness_probe_t *probe = context;

	backend_h2.call(probe->backend, BACKEND_STATUS, 0, NULL);
}

/*
 * Handle the probed database's answer to the status request.
 */
static void
on_probe_answered(void *context, backend_call_t call, uint64_t tag,
    const ProtobufCMessage *message)
{
	(void)call;
	(void)tag;
	witness_probe_finish(context, message != NULL);
}

/*
 * Ignore a ping reply; probes send no pings.
 */
static void
on_probe_ping_acked(void *context)
{
	(void)context;
}

/*
 * Handle the end of the probe's connection.
 */
static void
on_probe_closed(void *context, int32_t error)
{
	(void)error;
	witness_probe_finish(context, false);
}

static const backend_callbacks_t probe_callbacks = {
    on_probe_opened, on_probe_answered, on_probe_ping_acked, on_probe_closed};

/*
 * Handle a probe that the database has not answered in time.  A timer callback.
 */
static gboolean
on_probe_timeout(gpointer context)
{
	witness_probe_finish(context, false);
	return G_SOURCE_REMOVE;
}

/*
 * Handle WitnessProbeRequest: probe a primary that does not respond to another
 * daemon.
 */
static void
on_witness_probe_request(void *context, msg_t *msg)
{
	const Bp__WitnessProbeRequest *request =
	    (const Bp__WitnessProbeRequest *)msg->body;
	group_ctx_t *ctx = context;
	const Bp__Timeouts *timeouts = ctx->daemon->settings->timeouts;
	witness_probe_t *probe = g_new0(witness_probe_t, 1);

	probe->ctx = ctx;
	probe->id = request->id;
	g_hash_table_insert(ctx->witness_probes, &probe->id, probe);
	probe->timeout =
	    task_timer(ctx->task, MAX(timeouts->probe_timeout_ms * 3 / 4, 1),
		on_probe_timeout, probe);
	probe->backend = backend_h2.open(task_main_context(ctx->task),
	    request->address, request->port, &probe_callbacks, probe);
	if (probe->backend == NULL)
		witness_probe_finish(probe, false);
	msg_free(msg);
}

/*
 * Handle Drain: accept no new statements, and let those in progress end.
 */
static void
on_drain(void *context, msg_t *msg)
{
	group_ctx_t *ctx = context;

	ctx->draining = true;
	check_drained(ctx);
	msg_free(msg);
}

/*
 * Handle StatusRequest: answer with this task's part of the status page.
 */
static void
on_status_request(void *context, msg_t *msg)
{
	group_ctx_t *ctx = context;
	counters_t counters = {counter_names, ctx->counts, GROUP_COUNTERS, 0};
	msg_t *out = counters_status_part(&counters, msg);
	Bp__StatusPart *part = (Bp__StatusPart *)out->body;
	GHashTableIter iter;
	gpointer value;

	latencies_report(ctx->latencies, out->arena, part);
	part->groups = arena_zalloc(out->arena,
	    sizeof(part->groups[0]) * (g_hash_table_size(ctx->groups) + 1));
	g_hash_table_iter_init(&iter, ctx->groups);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		const dbgroup_t *group = value;
		Bp__GroupStatus *status;

		if (!group->active)
			continue;
		status = (Bp__GroupStatus *)message_new(
		    out->arena, &bp__group_status__descriptor);
		dbgroup_fill_status(group, out->arena, status);
		part->groups[part->n_groups++] = status;
	}
	task_send(msg->from, ctx->task, out);
	msg_free(msg);
}

static const task_handler_t handlers[] = {
    {&bp__run_statement__descriptor, on_run_statement},
    {&bp__members_changed__descriptor, on_members_changed},
    {&bp__document_in_force__descriptor, on_document_in_force},
    {&bp__databases_leaving__descriptor, on_databases_leaving},
    {&bp__witness_probe_result__descriptor, on_witness_probe_result},
    {&bp__witness_probe_request__descriptor, on_witness_probe_request},
    {&bp__drain__descriptor, on_drain},
    {&bp__status_request__descriptor, on_status_request},
};

const task_ops_t group_ops = {
    "group", on_start, on_stop, handlers, G_N_ELEMENTS(handlers)};
