#include "fakedb.h"

#include <argtable2.h>
#include <glib-unix.h>
#include <stdio.h>
#include <string.h>
#include <unistd.h>

/*
 * Stand-in for one database of a group: a log with terms, a table of keys,
 * asynchronous replication, and faults that a test can set.
 *
 * Statements: "get KEY", "set KEY VALUE", "append KEY VALUE", "fail".
 */

#define CONNECT_MS_DEFAULT 12
#define SERVICE_MS_DEFAULT 1

/*
 * Send a message as the answer on a stream.
 */
void
answer(client_t *client, int32_t stream, const ProtobufCMessage *message)
{
	arena_t *arena = arena_new();
	uint64_t size_bytes;
	char *body = json_write(arena, message, &size_bytes);

	h2_answer(client->h2, stream, 200, body, (uint32_t)size_bytes);
	arena_free(arena);
}

/*
 * Fill in where the log stands.
 */
static void
answer_state(db_t *db, Bp__DbAnswer *out)
{
	out->has_term = out->has_position = out->has_promised = 1;
	out->term = last_term(db);
	out->position = db->log->len;
	out->promised = db->promised;
}

/*
 * Answer with only a result and where the log stands.
 */
static void
answer_result(client_t *client, int32_t stream, Bp__DbResult result)
{
	Bp__DbAnswer out = BP__DB_ANSWER__INIT;

	out.result = result;
	answer_state(client->db, &out);
	answer(client, stream, &out.base);
}

/*
 * Run a read or a write; the result goes to out.
 */
static void
run_statement(client_t *client, const Bp__DbStatement *ask, Bp__DbAnswer *out)
{
	db_t *db = client->db;
	char **word = g_strsplit(ask->statement, " ", 3);
	entry_t *entry;

	out->result = BP__DB_RESULT__OK;
	if (g_strv_length(word) >= 2 && strcmp(word[0], "get") == 0) {
		out->value = g_hash_table_lookup(db->keys, word[1]);
	} else if (g_strv_length(word) == 3 &&
	    ask->access == BP__ACCESS__WRITE &&
	    (strcmp(word[0], "set") == 0 || strcmp(word[0], "append") == 0)) {
		if (client->transaction && ask->in_transaction) {
			g_ptr_array_add(
			    client->writes, g_strdup(ask->statement));
		} else {
			entry = entry_new(
			    db->promised, ask->statement, ask->request_id);
			g_ptr_array_add(
			    entry->writes, g_strdup(ask->statement));
			log_append(db, entry);
		}
	} else {
		out->result = BP__DB_RESULT__ERROR_RAN;
		out->value = (char *)"no such statement";
	}
	g_strfreev(word);
	db->statements++;
}

/*
 * End the transaction of a connection, keeping its writes or not.
 */
static void
end_transaction(client_t *client, const Bp__DbStatement *ask, bool keep)
{
	db_t *db = client->db;
	entry_t *entry;
	uint32_t i;

	if (keep) {
		entry = entry_new(db->promised, "commit", ask->request_id);
		for (i = 0; i < client->writes->len; i++)
			g_ptr_array_add(entry->writes,
			    g_strdup(g_ptr_array_index(client->writes, i)));
		log_append(db, entry);
	}
	g_ptr_array_set_size(client->writes, 0);
	client->transaction = false;
}

/*
 * Carry out one statement of a connection.
 */
static void
execute(client_t *client, const Bp__DbStatement *ask, Bp__DbAnswer *out)
{
	db_t *db = client->db;
	bool needs_primary = ask->access == BP__ACCESS__WRITE || ask->term != 0;

	if (needs_primary && (!db->primary || ask->term != db->promised)) {
		out->result = BP__DB_RESULT__OLD_TERM;
	} else if (ask->request_id != NULL &&
	    g_hash_table_contains(db->ids, ask->request_id)) {
		out->result = BP__DB_RESULT__DUPLICATE;
	} else if (ask->in_transaction && !client->transaction) {
		out->result = BP__DB_RESULT__REFUSED;
	} else if (ask->action == BP__ACTION__BEGIN) {
		client->transaction = true;
		out->result = BP__DB_RESULT__OK;
	} else if (ask->action == BP__ACTION__COMMIT ||
	    ask->action == BP__ACTION__ROLLBACK) {
		end_transaction(client, ask, ask->action == BP__ACTION__COMMIT);
		out->result = BP__DB_RESULT__OK;
	} else {
		run_statement(client, ask, out);
	}
	answer_state(db, out);
}

/*
 * Free a job.
 */
static void
job_free(job_t *job)
{
	job->client->db->asked_now--;
	arena_free(job->arena);
}

/*
 * Tell whether the client of a job is still connected.
 */
static bool
job_alive(const job_t *job)
{
	return g_ptr_array_find(job->client->db->clients, job->client, NULL);
}

/*
 * Send the answer of a job that has run, perhaps damaged by a fault.
 */
static gboolean
job_answer(gpointer data)
{
	job_t *job = data;
	db_t *db = job->client->db;

	if (job_alive(job)) {
		if (db->drop_next) {
			db->drop_next = false;
			h2_mute(job->client->h2);
		} else if (db->truncate_next) {
			db->truncate_next = false;
			h2_answer(job->client->h2, job->stream, 200, job->body,
			    (uint32_t)job->body_bytes / 2);
		} else {
			h2_answer(job->client->h2, job->stream, 200, job->body,
			    (uint32_t)job->body_bytes);
		}
	}
	job_free(job);
	return G_SOURCE_REMOVE;
}

static gboolean job_run(gpointer);

/*
 * Give free slots to the jobs that wait.
 */
static void
jobs_pump(db_t *db)
{
	while (db->slots_used < db->slots && !g_queue_is_empty(&db->waiting)) {
		job_t *job = g_queue_pop_head(&db->waiting);

		db->slots_used++;
		if (db->service_ms == 0)
			g_idle_add_full(G_PRIORITY_DEFAULT, job_run, job, NULL);
		else
			g_timeout_add(db->service_ms, job_run, job);
	}
}

/*
 * The service time of a job is over: run it, free its slot and answer.
 */
static gboolean
job_run(gpointer data)
{
	job_t *job = data;
	db_t *db = job->client->db;
	Bp__DbAnswer out = BP__DB_ANSWER__INIT;

	db->slots_used--;
	if (job_alive(job)) {
		execute(job->client, job->ask, &out);
		job->body = json_write(job->arena, &out.base, &job->body_bytes);
		replicate(db);
	}
	if (db->late_ms > 0)
		g_timeout_add(db->late_ms, job_answer, job);
	else
		job_answer(job);
	jobs_pump(db);
	return G_SOURCE_REMOVE;
}

/*
 * POST /statement: wait for a slot.
 */
static void
on_statement(client_t *client, int32_t stream, arena_t *arena,
    const ProtobufCMessage *message)
{
	db_t *db = client->db;
	job_t *job = arena_zero(arena, sizeof(*job));

	if (client->transaction &&
	    !((const Bp__DbStatement *)message)->in_transaction)
		db->mixed++;
	job->client = client;
	job->stream = stream;
	job->ask = (Bp__DbStatement *)message;
	job->arena = arena;
	db->asked_now++;
	db->asked_highest = MAX(db->asked_highest, db->asked_now);
	g_queue_push_tail(&db->waiting, job);
	jobs_pump(db);
}

/*
 * POST /status.
 */
static void
on_status(client_t *client, int32_t stream, arena_t *arena,
    const ProtobufCMessage *message)
{
	db_t *db = client->db;
	Bp__DbStatus out = BP__DB_STATUS__INIT;

	(void)message;
	db->status_calls++;
	out.promised = db->promised;
	out.term = last_term(db);
	out.position = db->log->len;
	out.primary = db->primary;
	out.has_leaving = out.has_connections = out.has_slots_used = 1;
	out.leaving = db->leaving;
	out.connections = db->connections;
	out.slots_used = db->slots_used;
	answer(client, stream, &out.base);
	arena_free(arena);
}

/*
 * POST /fence: promise a term, if it is above all promised before.
 */
static void
on_fence(client_t *client, int32_t stream, arena_t *arena,
    const ProtobufCMessage *message)
{
	db_t *db = client->db;
	uint64_t term = ((const Bp__DbFence *)message)->term;
	bool higher = term > db->promised;

	if (higher) {
		db->promised = term;
		db->primary = false;
	}
	answer_result(client, stream,
	    higher ? BP__DB_RESULT__OK : BP__DB_RESULT__OLD_TERM);
	arena_free(arena);
}

/*
 * POST /follow: accept the primary of a term at least as high.
 */
static void
on_follow(client_t *client, int32_t stream, arena_t *arena,
    const ProtobufCMessage *message)
{
	db_t *db = client->db;
	uint64_t term = ((const Bp__DbFollow *)message)->term;

	if (term > db->promised) {
		db->promised = term;
		db->primary = false;
	}
	answer_result(client, stream,
	    term == db->promised ? BP__DB_RESULT__OK : BP__DB_RESULT__OLD_TERM);
	arena_free(arena);
}

/*
 * POST /promote: become primary of the promised term and write its record.
 */
static void
on_promote(client_t *client, int32_t stream, arena_t *arena,
    const ProtobufCMessage *message)
{
	const Bp__DbPromote *ask = (const Bp__DbPromote *)message;
	db_t *db = client->db;
	uint32_t i;

	if (ask->term != db->promised || last_term(db) > ask->term) {
		answer_result(client, stream, BP__DB_RESULT__OLD_TERM);
		arena_free(arena);
		return;
	}
	if (!db->primary) {
		db->primary = true;
		g_ptr_array_set_size(db->followers, 0);
		for (i = 0; i < ask->n_followers; i++) {
			follower_t *follower = g_new0(follower_t, 1);

			follower->db = db;
			follower->address =
			    g_strdup(ask->followers[i]->address);
			follower->port = ask->followers[i]->port;
			follower->next = db->log->len;
			g_ptr_array_add(db->followers, follower);
		}
		log_append(db, entry_new(db->promised, NULL, NULL));
	}
	answer_result(client, stream, BP__DB_RESULT__OK);
	arena_free(arena);
	replicate(db);
}

/*
 * POST /fault: misbehave from now on.
 */
static void
on_fault(client_t *client, int32_t stream, arena_t *arena,
    const ProtobufCMessage *message)
{
	const Bp__DbFault *fault = (const Bp__DbFault *)message;
	db_t *db = client->db;
	uint32_t i;

	if (fault->has_lag_ms)
		db->lag_ms = fault->lag_ms;
	if (fault->has_late_ms)
		db->late_ms = fault->late_ms;
	if (fault->has_cut)
		db->cut = fault->cut;
	if (fault->has_leaving)
		db->leaving = fault->leaving;
	if (fault->has_truncate_next)
		db->truncate_next = fault->truncate_next;
	if (fault->has_drop_answer)
		db->drop_next = fault->drop_answer;
	for (i = 0; fault->has_silence_connections && i < db->clients->len;
	     i++) {
		client_t *other = g_ptr_array_index(db->clients, i);

		if (other != client)
			h2_mute(other->h2);
	}
	answer_result(client, stream, BP__DB_RESULT__OK);
	if (fault->has_freeze_ms)
		g_usleep((gulong)fault->freeze_ms * US_PER_MS);
	arena_free(arena);
	replicate(db);
}

typedef struct path {
	const char *path;
	const ProtobufCMessageDescriptor *type;
	void (*handle)(
	    client_t *, int32_t, arena_t *, const ProtobufCMessage *);
} path_t;

static const path_t paths[] = {
    {"/statement", &bp__db_statement__descriptor, on_statement},
    {"/status", NULL, on_status},
    {"/fence", &bp__db_fence__descriptor, on_fence},
    {"/follow", &bp__db_follow__descriptor, on_follow},
    {"/promote", &bp__db_promote__descriptor, on_promote},
    {"/append", &bp__append_ask__descriptor, on_append},
    {"/fault", &bp__db_fault__descriptor, on_fault},
    {"/ran", NULL, on_ran},
};

/*
 * A request: find its path, read its body, hand it on with its arena.
 */
static void
on_asked(void *context, int32_t stream, const char *path, const char *body,
    uint32_t size_bytes)
{
	client_t *client = context;
	arena_t *arena = arena_new();
	faults_t faults = {arena, NULL, 0, NULL};
	ProtobufCMessage *message = NULL;
	uint32_t i;

	for (i = 0; i < G_N_ELEMENTS(paths); i++) {
		if (strcmp(paths[i].path, path) != 0)
			continue;
		if (paths[i].type != NULL)
			message = json_read(
			    arena, paths[i].type, body, size_bytes, &faults);
		if (faults.count > 0)
			break;
		paths[i].handle(client, stream, arena, message);
		return;
	}
	h2_answer(client->h2, stream, 400, "", 0);
	arena_free(arena);
}

/*
 * A client has gone; its transaction is rolled back.
 */
static void
on_closed(void *context, int32_t error)
{
	client_t *client = context;

	(void)error;
	g_ptr_array_remove_fast(client->db->clients, client);
	client->db->connections--;
	client->transaction = false;
	h2_free(client->h2);
	client->h2 = NULL;
	/* jobs may still point here: the few bytes stay */
}

static const h2_ops_t client_ops = {NULL, NULL, on_asked, NULL, on_closed};

typedef struct arrival {
	db_t *db;
	GSocket *socket;
} arrival_t;

/*
 * The cost of a new connection is paid: serve it.
 */
static gboolean
on_arrived(gpointer data)
{
	arrival_t *arrival = data;
	db_t *db = arrival->db;
	client_t *client = g_new0(client_t, 1);

	client->db = db;
	client->writes = g_ptr_array_new_with_free_func(g_free);
	g_ptr_array_add(db->clients, client);
	client->h2 = h2_accept(db->main, arrival->socket, &client_ops, client);
	g_free(arrival);
	return G_SOURCE_REMOVE;
}

/*
 * A connection is made; over the limit it is refused.
 */
static gboolean
on_incoming(GSocketService *service, GSocketConnection *connection,
    GObject *source, gpointer context)
{
	db_t *db = context;
	arrival_t *arrival;

	(void)service;
	(void)source;
	if (db->connections >= db->connections_max) {
		g_io_stream_close(G_IO_STREAM(connection), NULL, NULL);
		return TRUE;
	}
	db->connections++;
	db->connections_opened++;
	db->connections_highest = MAX(db->connections_highest, db->connections);
	arrival = g_new0(arrival_t, 1);
	arrival->db = db;
	arrival->socket =
	    g_object_ref(g_socket_connection_get_socket(connection));
	g_object_set_data_full(G_OBJECT(arrival->socket), "connection",
	    g_object_ref(connection), NULL);
	if (db->connect_ms > 0)
		g_timeout_add(db->connect_ms, on_arrived, arrival);
	else
		on_arrived(arrival);
	return TRUE;
}

/*
 * SIGTERM ends the stand-in.
 */
static gboolean
on_term(gpointer loop)
{
	g_main_loop_quit(loop);
	return G_SOURCE_REMOVE;
}

/*
 * Serve on a port of 127.0.0.1 until the end.
 */
static int
serve(db_t *db, uint32_t port)
{
	GSocketService *service = g_socket_service_new();
	GInetAddress *loopback =
	    g_inet_address_new_loopback(G_SOCKET_FAMILY_IPV4);
	GSocketAddress *address =
	    g_inet_socket_address_new(loopback, (guint16)port);
	GError *error = NULL;

	if (!g_socket_listener_add_address(G_SOCKET_LISTENER(service), address,
		G_SOCKET_TYPE_STREAM, G_SOCKET_PROTOCOL_TCP, NULL, NULL,
		&error)) {
		fprintf(stderr, "fakedb: %s\n", error->message);
		return 1;
	}
	g_signal_connect(service, "incoming", G_CALLBACK(on_incoming), db);
	g_unix_signal_add(SIGTERM, on_term, db->loop);
	g_main_loop_run(db->loop);
	return 0;
}

/*
 * fakedb --port N [--slots N] [--connections N] [--service-ms N]
 *     [--connect-ms N] [--lag-ms N]
 */
int
main(int argc, char **argv)
{
	struct arg_int *port = arg_int1(NULL, "port", "N", NULL);
	struct arg_int *slots = arg_int0(NULL, "slots", "N", NULL);
	struct arg_int *connections = arg_int0(NULL, "connections", "N", NULL);
	struct arg_int *service_ms = arg_int0(NULL, "service-ms", "N", NULL);
	struct arg_int *connect_ms = arg_int0(NULL, "connect-ms", "N", NULL);
	struct arg_int *lag_ms = arg_int0(NULL, "lag-ms", "N", NULL);
	struct arg_end *end = arg_end(5);
	void *table[] = {
	    port, slots, connections, service_ms, connect_ms, lag_ms, end};
	db_t *db = g_new0(db_t, 1);

	slots->ival[0] = 5;
	connections->ival[0] = 35;
	service_ms->ival[0] = SERVICE_MS_DEFAULT;
	connect_ms->ival[0] = CONNECT_MS_DEFAULT;
	lag_ms->ival[0] = 0;
	if (arg_parse(argc, argv, table) > 0) {
		arg_print_errors(stderr, end, "fakedb");
		return 2;
	}
	log_start(G_LOG_LEVEL_WARNING, STDERR_FILENO);
	db->loop = g_main_loop_new(NULL, FALSE);
	db->main = g_main_context_default();
	db->log = g_ptr_array_new();
	db->keys =
	    g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
	db->ids = g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL);
	db->dropped = g_array_new(FALSE, TRUE, sizeof(ran_t));
	db->clients = g_ptr_array_new();
	db->followers = g_ptr_array_new_with_free_func(follower_free);
	g_queue_init(&db->waiting);
	db->slots = (uint32_t)slots->ival[0];
	db->connections_max = (uint32_t)connections->ival[0];
	db->service_ms = (uint32_t)service_ms->ival[0];
	db->connect_ms = (uint32_t)connect_ms->ival[0];
	db->lag_ms = (uint32_t)lag_ms->ival[0];
	return serve(db, (uint32_t)port->ival[0]);
}
