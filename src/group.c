#include "group.h"

#include "decide/owner.h"

#include <string.h>

/* The groups' task: its messages, its documents and its members. */

#define PART "group"
#define TICK_BUSY_MS 10
#define TICK_IDLE_MS 50

static const char *const counter_names[COUNT_GROUP_COUNTERS] = {
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
    [COUNT_CONNECTIONS_CONDEMNED] = "connections_condemned",
    [COUNT_CHANGES_OF_PRIMARY] = "changes_of_primary",
};

/* A probe of a database on behalf of another daemon. */
typedef struct witness {
	group_role_t *role;
	uint64_t id;
	backend_t *backend;
	GSource *timeout;
} witness_t;

/*
 * Free a document in force.
 */
static void
team_free(gpointer p)
{
	team_t *team = p;

	arena_free(team->arena);
}

/*
 * Free a group of the table.
 */
static void
group_value_free(gpointer p)
{
	dbgroup_free(p);
}

/*
 * Make the role; it is given to task_new().
 */
void *
group_new(const daemon_t *daemon)
{
	group_role_t *role = g_new0(group_role_t, 1);

	role->daemon = daemon;
	role->teams =
	    g_hash_table_new_full(g_str_hash, g_str_equal, NULL, team_free);
	role->groups = g_hash_table_new_full(
	    g_str_hash, g_str_equal, NULL, group_value_free);
	role->leaving =
	    g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL);
	role->witnesses = g_hash_table_new(g_int64_hash, g_int64_equal);
	role->members = g_ptr_array_new_with_free_func(g_free);
	g_ptr_array_add(role->members, g_strdup(daemon->settings->name));
	role->rand = g_rand_new();
	role->latencies = latencies_new(&bp__outcome__descriptor);
	role->next_tx = daemon->incarnation; /* above all of earlier starts */
	return role;
}

/*
 * Free the role after its task has ended.
 */
void
group_free(void *context)
{
	group_role_t *role = context;

	g_hash_table_unref(role->groups);
	g_hash_table_unref(role->teams);
	g_hash_table_unref(role->leaving);
	g_hash_table_unref(role->witnesses);
	g_ptr_array_unref(role->members);
	g_rand_free(role->rand);
	latencies_free(role->latencies);
	g_free(role);
}

/*
 * Tell the control task once everything here has ended.
 */
static void
drain_check(group_role_t *role)
{
	GHashTableIter iter;
	gpointer value;
	msg_t *msg;

	if (!role->draining || role->drained)
		return;
	g_hash_table_iter_init(&iter, role->groups);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		if (!dbgroup_idle(value))
			return;
	}
	role->drained = true;
	msg = msg_new(&bp__drained__descriptor);
	((Bp__Drained *)msg->body)->task = arena_strdup(msg->arena, "group");
	task_send(role->daemon->control, role->task, msg);
}

/*
 * Look at every group, and soon again if one has something to do.
 */
static gboolean
on_tick(gpointer context)
{
	group_role_t *role = context;
	int64_t now_us = clock_us();
	bool busy = false;
	GHashTableIter iter;
	gpointer value;

	g_hash_table_iter_init(&iter, role->groups);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		dbgroup_t *group = value;

		dbgroup_tick(group, now_us);
		busy |= !dbgroup_idle(group) ||
		    (group->active && group->promote.state != PROMOTE_STEADY);
	}
	drain_check(role);
	source_drop(&role->tick);
	role->tick = task_timer(
	    role->task, busy ? TICK_BUSY_MS : TICK_IDLE_MS, on_tick, role);
	return G_SOURCE_REMOVE;
}

/*
 * The task starts.
 */
static int32_t
on_start(void *context, task_t *task)
{
	group_role_t *role = context;

	role->task = task;
	role->tick = task_timer(task, TICK_BUSY_MS, on_tick, role);
	return 0;
}

/*
 * The task ends: answer what is left, close everything.
 */
static void
on_stop(void *context)
{
	group_role_t *role = context;
	GHashTableIter iter;
	gpointer value;

	source_drop(&role->tick);
	g_hash_table_iter_init(&iter, role->groups);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		dbgroup_t *group = value;

		runs_end(group);
		if (group->before != NULL)
			runs_end(group->before);
	}
	g_hash_table_remove_all(role->groups);
}

/*
 * Work out anew which groups are this daemon's, by the members now known.
 */
static void
owners_update(group_role_t *role)
{
	const char *self = role->daemon->settings->name;
	const char *const *members = (const char *const *)role->members->pdata;
	GHashTableIter iter;
	gpointer key, value;

	g_hash_table_iter_init(&iter, role->groups);
	while (g_hash_table_iter_next(&iter, &key, &value)) {
		dbgroup_t *group = value;
		int32_t owner = owner_pick(members, role->members->len, key);
		bool owned = owner >= 0 && strcmp(members[owner], self) == 0;

		if (owned != group->owned)
			log_line(PART, G_LOG_LEVEL_INFO,
			    "Group %s is %s this daemon's.", group->key,
			    owned ? "now" : "no longer");
		group->owned = owned;
	}
}

/*
 * Mark the databases that the platform lists as leaving.
 */
static void
leaving_update(group_role_t *role)
{
	GHashTableIter iter;
	gpointer value;
	uint32_t i;

	g_hash_table_iter_init(&iter, role->groups);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		dbgroup_t *group = value;

		for (i = 0; i < group->count; i++) {
			database_t *db = &group->dbs[i];
			char *place =
			    g_strdup_printf("%s:%u", db->address, db->port);

			db->listed_leaving =
			    g_hash_table_contains(role->leaving, place);
			g_free(place);
		}
	}
}

/*
 * The members have changed.
 */
static void
on_members(void *context, msg_t *msg)
{
	const Bp__MembersChanged *changed =
	    (const Bp__MembersChanged *)msg->body;
	group_role_t *role = context;
	size_t i;

	g_ptr_array_set_size(role->members, 0);
	for (i = 0; i < changed->n_members; i++) {
		const Bp__Member *member = changed->members[i];

		if (member->state == BP__MEMBER_STATE__ALIVE ||
		    member->state == BP__MEMBER_STATE__SUSPECT)
			g_ptr_array_add(role->members, g_strdup(member->name));
	}
	owners_update(role);
	msg_free(msg);
}

/*
 * Whether two descriptions name the same databases in the same order.
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
 * The floor shares of the ranks of a document.
 */
static void
floors_of(const Bp__Document *document, uint32_t floors[RANKS])
{
	uint32_t i;

	for (i = 0; i < RANKS; i++)
		floors[i] = document_rank(document, (Bp__Rank)i)->floor_percent;
}

/*
 * Put one group of a document in force.
 */
static void
group_install(
    group_role_t *role, const Bp__Document *document, const Bp__Group *config)
{
	uint32_t floors[RANKS];
	char *key = g_strdup_printf("%s/%s", document->team, config->name);
	dbgroup_t *old = g_hash_table_lookup(role->groups, key), *group;

	floors_of(document, floors);
	if (old != NULL && same_databases(old->config, config)) {
		old->config->slots = config->slots;
		old->config->connections_max = config->connections_max;
		old->budget =
		    budget_split(config->connections_max, config->slots);
		rankq_set_floors(old->primary_lane, floors);
		rankq_set_floors(old->replica_lane, floors);
		g_free(key);
		return;
	}
	group = dbgroup_new(role, document->team, config, floors);
	if (old != NULL) {
		g_hash_table_steal(role->groups, key);
		dbgroup_replace(group, old);
	}
	g_hash_table_insert(role->groups, group->key, group);
	g_free(key);
}

/*
 * Groups that a document no longer names get no new work; they are removed
 * once they have nothing left to do.
 */
static void
groups_remove(group_role_t *role, const Bp__Document *document)
{
	GHashTableIter iter;
	gpointer value;

	g_hash_table_iter_init(&iter, role->groups);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		dbgroup_t *group = value;

		if (strcmp(group->team, document->team) != 0 ||
		    document_group(document, group->name) != NULL)
			continue;
		runs_end(group);
		g_hash_table_iter_remove(&iter);
	}
}

/*
 * A document is in force from now on.
 */
static void
on_document(void *context, msg_t *msg)
{
	const Bp__Accepted *accepted =
	    ((const Bp__DocumentInForce *)msg->body)->accepted;
	group_role_t *role = context;
	arena_t *arena = arena_new();
	faults_t faults = {arena, NULL, 0, NULL};
	Bp__Document *document = document_read(
	    arena, accepted->document, strlen(accepted->document), &faults);
	team_t *team;
	size_t i;

	if (document == NULL) {
		log_line(PART, G_LOG_LEVEL_WARNING,
		    "Document %s version %" G_GUINT64_FORMAT
		    " cannot be read here; the older one stays.",
		    accepted->team, accepted->version);
		arena_free(arena);
		msg_free(msg);
		return;
	}
	for (i = 0; i < document->n_groups; i++)
		group_install(role, document, document->groups[i]);
	groups_remove(role, document);
	team = arena_zero(arena, sizeof(*team));
	team->arena = arena;
	team->document = document;
	team->version = accepted->version;
	g_hash_table_replace(role->teams, document->team, team);
	owners_update(role);
	leaving_update(role);
	msg_free(msg);
}

/*
 * The platform's list of leaving endpoints.
 */
static void
on_leaving(void *context, msg_t *msg)
{
	const Bp__DatabasesLeaving *leaving =
	    (const Bp__DatabasesLeaving *)msg->body;
	group_role_t *role = context;
	size_t i;

	g_hash_table_remove_all(role->leaving);
	for (i = 0; i < leaving->n_addresses; i++)
		g_hash_table_add(
		    role->leaving, g_strdup(leaving->addresses[i]));
	leaving_update(role);
	msg_free(msg);
}

/*
 * A statement for one of the groups, from a caller here or by another daemon.
 */
static void
on_run(void *context, msg_t *msg)
{
	const Bp__Statement *statement =
	    ((const Bp__RunStatement *)msg->body)->statement;
	group_role_t *role = context;
	char key[256];
	dbgroup_t *group;
	team_t *team = g_hash_table_lookup(role->teams, statement->team);

	g_snprintf(
	    key, sizeof(key), "%s/%s", statement->team, statement->group);
	group = g_hash_table_lookup(role->groups, key);
	if (team == NULL || group == NULL) {
		run_refuse(role, msg, BP__REASON__NO_DOCUMENT,
		    "no document in force here names this group");
		return;
	}
	if (statement->has_transaction) {
		dbgroup_t *holding =
		    dbgroup_holding(group, statement->transaction);

		if (holding != NULL)
			group = holding;
	}
	run_begin(group, msg, team, role->draining);
}

/*
 * A second witness has answered.
 */
static void
on_witness_heard(void *context, msg_t *msg)
{
	const Bp__WitnessHeard *heard = (const Bp__WitnessHeard *)msg->body;
	group_role_t *role = context;
	int64_t now_us = clock_us();
	GHashTableIter iter;
	gpointer value;

	g_hash_table_iter_init(&iter, role->groups);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		dbgroup_t *group = value;

		if (group->witness == heard->id) {
			promote_witness_heard(&group->promote,
			    group->promote.witness, heard->reached, now_us);
			dbgroup_tick(group, now_us);
		}
	}
	msg_free(msg);
}

/*
 * End a probe for another daemon and tell it what was seen.
 */
static void
witness_end(witness_t *witness, bool reached)
{
	group_role_t *role = witness->role;
	msg_t *msg = msg_new(&bp__witness_heard__descriptor);
	Bp__WitnessHeard *heard = (Bp__WitnessHeard *)msg->body;

	heard->id = witness->id;
	heard->reached = reached;
	task_send(role->daemon->peer, role->task, msg);
	source_drop(&witness->timeout);
	if (witness->backend != NULL)
		backend_h2.close(witness->backend);
	g_hash_table_remove(role->witnesses, &witness->id);
	g_free(witness);
}

/*
 * The probed database is connected: it must also answer.
 */
static void
on_witness_opened(void *context)
{
	witness_t *witness = context;

	backend_h2.call(witness->backend, BACKEND_STATUS, 0, NULL);
}

/*
 * The probed database answered.
 */
static void
on_witness_answered(void *context, backend_call_t call, uint64_t tag,
    const ProtobufCMessage *message)
{
	(void)call;
	(void)tag;
	witness_end(context, message != NULL);
}

/*
 * The probed database gave a sign of life that says nothing.
 */
static void
on_witness_alive(void *context)
{
	(void)context;
}

/*
 * The probed database is gone.
 */
static void
on_witness_closed(void *context, int32_t error)
{
	(void)error;
	witness_end(context, false);
}

static const backend_events_t witness_events = {on_witness_opened,
    on_witness_answered, on_witness_alive, on_witness_closed};

/*
 * The probed database was silent for too long.
 */
static gboolean
on_witness_timeout(gpointer context)
{
	witness_end(context, false);
	return G_SOURCE_REMOVE;
}

/*
 * Another daemon wants a second witness of a database's silence.
 */
static void
on_witness_wanted(void *context, msg_t *msg)
{
	const Bp__WitnessWanted *wanted = (const Bp__WitnessWanted *)msg->body;
	group_role_t *role = context;
	const Bp__Timeouts *timeouts = role->daemon->settings->timeouts;
	witness_t *witness = g_new0(witness_t, 1);

	witness->role = role;
	witness->id = wanted->id;
	g_hash_table_insert(role->witnesses, &witness->id, witness);
	witness->timeout =
	    task_timer(role->task, MAX(timeouts->probe_timeout_ms * 3 / 4, 1),
		on_witness_timeout, witness);
	witness->backend = backend_h2.open(task_context(role->task),
	    wanted->address, wanted->port, &witness_events, witness);
	if (witness->backend == NULL)
		witness_end(witness, false);
	msg_free(msg);
}

/*
 * Take no new statements; end what is here.
 */
static void
on_drain(void *context, msg_t *msg)
{
	group_role_t *role = context;

	role->draining = true;
	drain_check(role);
	msg_free(msg);
}

/*
 * Give this task's part of the status page.
 */
static void
on_status(void *context, msg_t *msg)
{
	group_role_t *role = context;
	counters_t counters = {
	    counter_names, role->counts, COUNT_GROUP_COUNTERS, 0};
	msg_t *out = counters_answer(&counters, msg);
	Bp__StatusPart *part = (Bp__StatusPart *)out->body;
	GHashTableIter iter;
	gpointer value;

	latencies_report(role->latencies, out->arena, part);
	part->groups = arena_zero(out->arena,
	    sizeof(part->groups[0]) * (g_hash_table_size(role->groups) + 1));
	g_hash_table_iter_init(&iter, role->groups);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		const dbgroup_t *group = value;
		Bp__GroupStatus *status;

		if (!group->active)
			continue;
		status = (Bp__GroupStatus *)message_new(
		    out->arena, &bp__group_status__descriptor);
		dbgroup_report(group, out->arena, status);
		part->groups[part->n_groups++] = status;
	}
	task_send(msg->from, role->task, out);
	msg_free(msg);
}

static const task_handler_t handlers[] = {
    {&bp__run_statement__descriptor, on_run},
    {&bp__members_changed__descriptor, on_members},
    {&bp__document_in_force__descriptor, on_document},
    {&bp__databases_leaving__descriptor, on_leaving},
    {&bp__witness_heard__descriptor, on_witness_heard},
    {&bp__witness_wanted__descriptor, on_witness_wanted},
    {&bp__drain__descriptor, on_drain},
    {&bp__status_wanted__descriptor, on_status},
};

const task_ops_t group_ops = {
    "group", on_start, on_stop, handlers, G_N_ELEMENTS(handlers)};
