#include "fakedb.h"

#include <argtable2.h>
#include <glib-unix.h>
#include <stdio.h>
#include <string.h>
#include <unistd.h>

/*
 * Fake database server for tests: one database of a group.  It keeps a log
 * with terms and a key-value table built from it, replicates asynchronously,
 * and injects the faults that a test requests.
 *
 * Statements: "get KEY", "set KEY VALUE", "append KEY VALUE". Any other
 * statement, such as "fail", returns an error.
 */

#define CONNECT_MS_DEFAULT 12
#define SERVICE_MS_DEFAULT 1

/*
 * Send a message as the JSON response on a stream.
 */
void
send_answer(
    db_client_t *client, int32_t stream, const ProtobufCMessage *message)
{
	arena_t *arena = arena_new();
	uint64_t size_bytes;
	char *body = json_write(arena, message, &size_bytes);

	h2_submit_response(client->h2, stream, 200, body, (uint32_t)size_bytes);
	arena_free(arena);
}

/*
 * Add the log's last term and position and the promised term to an answer.
 */
static void
fill_log_state(db_t *db, Bp__DbAnswer *out)
{
	out->has_term = out->has_position = out->has_promised = 1;
	out->term = db_log_last_term(db);
	out->position = db->log->len;
	out->promised = db->promised_term;
}

/*
 * Answer with a result code and the state of the log.
 */
static void
send_result(db_client_t *client, int32_t stream, Bp__DbResult result)
{
	Bp__DbAnswer out = BP__DB_ANSWER__INIT;

	out.result = result;
	fill_log_state(client->db, &out);
	send_answer(client, stream, &out.base);
}

/*
 * Execute a get, set or append.  A write in a transaction is deferred until
 * the commit.
 */
static void
execute_operation(
    db_client_t *client, const Bp__DbStatement *request, Bp__DbAnswer *out)
{
	db_t *db = client->db;
	char **words = g_strsplit(request->statement, " ", 3);
	db_log_entry_t *entry;

	out->result = BP__DB_RESULT__OK;
	if (g_strv_length(words) >= 2 && strcmp(words[0], "get") == 0) {
		out->value = g_hash_table_lookup(db->table, words[1]);
	} else if (g_strv_length(words) == 3 &&
	    request->access == BP__ACCESS__WRITE &&
	    (strcmp(words[0], "set") == 0 || strcmp(words[0], "append") == 0)) {
		if (client->in_transaction && request->in_transaction) {
			g_ptr_array_add(client->pending_writes,
			    g_strdup(request->statement));
		} else {
			entry = db_log_entry_new(db->promised_term,
			    request->statement, request->request_id);
			g_ptr_array_add(
			    entry->writes, g_strdup(request->statement));
			db_log_append(db, entry);
		}
	} else {
		out->result = BP__DB_RESULT__ERROR_RAN;
		out->value = (char *)"no such statement";
	}
	g_strfreev(words);
	db->statements++;
}

/*
 * End the transaction of a connection: commit its writes as one log entry,
 * or discard them.
 */
static void
end_transaction(
    db_client_t *client, const Bp__DbStatement *request, bool commit)
{
	db_t *db = client->db;
	db_log_entry_t *entry;
	uint32_t i;

	if (commit) {
		entry = db_log_entry_new(
		    db->promised_term, "commit", request->request_id);
		for (i = 0; i < client->pending_writes->len; i++)
			g_ptr_array_add(entry->writes,
			    g_strdup(
				g_ptr_array_index(client->pending_writes, i)));
		db_log_append(db, entry);
	}
	g_ptr_array_set_size(client->pending_writes, 0);
	client->in_transaction = false;
}

/*
 * Execute one statement of a connection, or refuse it: a write or a read that
 * names a term runs only on the primary of that term, a known request id is a
 * duplicate, and a statement of a transaction is refused unless the transaction
 * is open.
 */
static void
execute_statement(
    db_client_t *client, const Bp__DbStatement *request, Bp__DbAnswer *out)
{
	db_t *db = client->db;
	bool needs_primary =
	    request->access == BP__ACCESS__WRITE || request->term != 0;

	if (needs_primary &&
	    (!db->primary || request->term != db->promised_term)) {
		out->result = BP__DB_RESULT__OLD_TERM;
	} else if (request->request_id != NULL &&
	    g_hash_table_contains(db->request_ids, request->request_id)) {
		out->result = BP__DB_RESULT__DUPLICATE;
	} else if (request->in_transaction && !client->in_transaction) {
		out->result = BP__DB_RESULT__REFUSED;
	} else if (request->action == BP__ACTION__BEGIN) {
		client->in_transaction = true;
		out->result = BP__DB_RESULT__OK;
	} else if (request->action == BP__ACTION__COMMIT ||
	    request->action == BP__ACTION__ROLLBACK) {
		end_transaction(
		    client, request, request->action == BP__ACTION__COMMIT);
		out->result = BP__DB_RESULT__OK;
	} else {
		execute_operation(client, request, out);
	}
	fill_log_state(db, out);
}

/*
 * Free a job that has been answered or whose client has disconnected.
 */
static void
job_free(job_t *job)
{
	job->client->db->jobs--;
	arena_free(job->arena);
}

/*
 * Tell whether the client of a job is still connected.
 */
static bool
job_client_connected(const job_t *job)
{
	return g_ptr_array_find(job->client->db->clients, job->client, NULL);
}

/*
 * Send the answer of an executed job, or drop or truncate it if a test has
 * requested that.
 */
static gboolean
job_answer(gpointer data)
{
	job_t *job = data;
	db_t *db = job->client->db;

	if (job_client_connected(job)) {
		if (db->drop_next_answer) {
			db->drop_next_answer = false;
			h2_discard_all(job->client->h2);
		} else if (db->truncate_next_answer) {
			db->truncate_next_answer = false;
			h2_submit_response(job->client->h2, job->stream, 200,
			    job->response, (uint32_t)job->response_bytes / 2);
		} else {
			h2_submit_response(job->client->h2, job->stream, 200,
			    job->response, (uint32_t)job->response_bytes);
		}
	}
	job_free(job);
	return G_SOURCE_REMOVE;
}

static gboolean job_run(gpointer);

/*
 * Start waiting jobs while execution slots are free.
 */
static void
start_waiting_jobs(db_t *db)
{
	while (db->slots_used < db->slots &&
	    !g_queue_is_empty(&db->waiting_jobs)) {
		job_t *job = g_queue_pop_head(&db->waiting_jobs);

		db->slots_used++;
		if (db->service_ms == 0)
			g_idle_add_full(G_PRIORITY_DEFAULT, job_run, job, NULL);
		else
			g_timeout_add(db->service_ms, job_run, job);
	}
}

/*
 * Execute a job when its service time has passed, free its slot and answer.
 */
static gboolean
job_run(gpointer data)
{
	job_t *job = data;
	db_t *db = job->client->db;
	Bp__DbAnswer out = BP__DB_ANSWER__INIT;

	db->slots_used--;
	if (job_client_connected(job)) {
		execute_statement(job->client, job->request, &out);
		job->response =
		    json_write(job->arena, &out.base, &job->response_bytes);
		replicate(db);
	}
	if (db->late_ms > 0)
		g_timeout_add(db->late_ms, job_answer, job);
	else
		job_answer(job);
	start_waiting_jobs(db);
	return G_SOURCE_REMOVE;
}

/*
 * Handle POST /statement: queue a statement for an execution slot.
 */
static void
on_statement(db_client_t *client, int32_t stream, arena_t *arena,
    const ProtobufCMessage *message)
{
	db_t *db = client->db;
	job_t *job = arena_zalloc(arena, sizeof(*job));

	if (client->in_transaction &&
	    !((const Bp__DbStatement *)message)->in_transaction)
		db->foreign_statements++;
	job->client = client;
	job->stream = stream;
	job->request = (Bp__DbStatement *)message;
	job->arena = arena;
	db->jobs++;
	db->jobs_highest = MAX(db->jobs_highest, db->jobs);
	g_queue_push_tail(&db->waiting_jobs, job);
	start_waiting_jobs(db);
}

/*
 * Handle POST /status: report the role, the log and the load.
 */
static void
on_status(db_client_t *client, int32_t stream, arena_t *arena,
    const ProtobufCMessage *message)
{
	db_t *db = client->db;
	Bp__DbStatus out = BP__DB_STATUS__INIT;

	(void)message;
	db->status_calls++;
	out.promised = db->promised_term;
	out.term = db_log_last_term(db);
	out.position = db->log->len;
	out.primary = db->primary;
	out.has_leaving = out.has_connections = out.has_slots_used = 1;
	out.leaving = db->draining;
	out.connections = db->connections;
	out.slots_used = db->slots_used;
	send_answer(client, stream, &out.base);
	arena_free(arena);
}

/*
 * Handle POST /fence: promise to refuse requests of terms below the given one,
 * which must be higher than the term promised before.  A primary steps down.
 */
static void
on_fence(db_client_t *client, int32_t stream, arena_t *arena,
    const ProtobufCMessage *message)
{
	db_t *db = client->db;
	uint64_t term = ((const Bp__DbFence *)message)->term;
	bool promised = term > db->promised_term;

	if (promised) {
		db->promised_term = term;
		db->primary = false;
	}
	send_result(client, stream,
	    promised ? BP__DB_RESULT__OK : BP__DB_RESULT__OLD_TERM);
	arena_free(arena);
}

/*
 * Handle POST /follow: follow the primary of a term, unless a higher term has
 * been promised.
 */
static void
on_follow(db_client_t *client, int32_t stream, arena_t *arena,
    const ProtobufCMessage *message)
{
	db_t *db = client->db;
	uint64_t term = ((const Bp__DbFollow *)message)->term;

	if (term > db->promised_term) {
		db->promised_term = term;
		db->primary = false;
	}
	send_result(client, stream,
	    term == db->promised_term ? BP__DB_RESULT__OK
				      : BP__DB_RESULT__OLD_TERM);
	arena_free(arena);
}

/*
 * Handle POST /promote: become primary of the promised term, with a log entry
 * that starts the term, and replicate to the given followers.
 */
static void
on_promote(db_client_t *client, int32_t stream, arena_t *arena,
    const ProtobufCMessage *message)
{
	const Bp__DbPromote *request = (const Bp__DbPromote *)message;
	db_t *db = client->db;
	uint32_t i;

	if (request->term != db->promised_term ||
	    db_log_last_term(db) > request->term) {
		send_result(client, stream, BP__DB_RESULT__OLD_TERM);
		arena_free(arena);
		return;
	}
	if (!db->primary) {
		db->primary = true;
		g_ptr_array_set_size(db->followers, 0);
		for (i = 0; i < request->n_followers; i++) {
			follower_t *follower = g_new0(follower_t, 1);

			follower->db = db;
			follower->address =
			    g_strdup(request->followers[i]->address);
			follower->port = request->followers[i]->port;
			follower->next_index = db->log->len;
			g_ptr_array_add(db->followers, follower);
		}
		db_log_append(
		    db, db_log_entry_new(db->promised_term, NULL, NULL));
	}
	send_result(client, stream, BP__DB_RESULT__OK);
	arena_free(arena);
	replicate(db);
}

/*
 * Handle POST /fault: apply the faults that a test requests.
 */
static void
on_fault(db_client_t *client, int32_t stream, arena_t *arena,
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
		db->replication_blocked = fault->cut;
	if (fault->has_leaving)
		db->draining = fault->leaving;
	if (fault->has_truncate_next)
		db->truncate_next_answer = fault->truncate_next;
	if (fault->has_drop_answer)
		db->drop_next_answer = fault->drop_answer;
	for (i = 0; fault->has_silence_connections && i < db->clients->len;
	     i++) {
		db_client_t *other = g_ptr_array_index(db->clients, i);

		if (other != client)
			h2_discard_all(other->h2);
	}
	send_result(client, stream, BP__DB_RESULT__OK);
	if (fault->has_freeze_ms)
		g_usleep((gulong)fault->freeze_ms * US_PER_MS);
	arena_free(arena);
	replicate(db);
}

typedef struct endpoint {
	const char *path;
	const ProtobufCMessageDescriptor *type;
	void (*handle)(
	    db_client_t *, int32_t, arena_t *, const ProtobufCMessage *);
} endpoint_t;

static const endpoint_t endpoints[] = {
    {"/statement", &bp__db_statement__descriptor, on_statement},
    {"/status", NULL, on_status},
    {"/fence", &bp__db_fence__descriptor, on_fence},
    {"/follow", &bp__db_follow__descriptor, on_follow},
    {"/promote", &bp__db_promote__descriptor, on_promote},
    {"/append", &bp__append_ask__descriptor, on_append},
    {"/fault", &bp__db_fault__descriptor, on_fault},
    {"/ran", NULL, on_execution_log},
};

/*
 * Handle a request: find the endpoint, parse the body and call the handler,
 * which frees the arena.
 */
static void
on_request(void *context, int32_t stream, const char *path, const char *body,
    uint32_t size_bytes)
{
	db_client_t *client = context;
	arena_t *arena = arena_new();
	input_errors_t errors = {arena, NULL, 0, NULL};
	ProtobufCMessage *message = NULL;
	uint32_t i;

	for (i = 0; i < G_N_ELEMENTS(endpoints); i++) {
		if (strcmp(endpoints[i].path, path) != 0)
			continue;
		if (endpoints[i].type != NULL)
			message = json_read(arena, endpoints[i].type, body,
			    size_bytes, &errors);
		if (errors.count > 0)
			break;
		endpoints[i].handle(client, stream, arena, message);
		return;
	}
	h2_submit_response(client->h2, stream, 400, "", 0);
	arena_free(arena);
}

/*
 * Handle the end of a client's connection: roll back its open transaction.
 */
static void
on_closed(void *context, int32_t error)
{
	db_client_t *client = context;

	(void)error;
	g_ptr_array_remove_fast(client->db->clients, client);
	client->db->connections--;
	client->in_transaction = false;
	h2_free(client->h2);
	client->h2 = NULL;
	/* not freed: jobs may still point to the client */
}

static const h2_ops_t client_ops = {NULL, NULL, on_request, NULL, on_closed};

/* An accepted connection that waits for the connection delay. */
typedef struct pending_connection {
	db_t *db;
	GSocket *socket;
} pending_connection_t;

/*
 * Serve a connection once the connection delay has passed.
 */
static gboolean
on_connect_delay_over(gpointer data)
{
	pending_connection_t *pending = data;
	db_t *db = pending->db;
	db_client_t *client = g_new0(db_client_t, 1);

	client->db = db;
	client->pending_writes = g_ptr_array_new_with_free_func(g_free);
	g_ptr_array_add(db->clients, client);
	client->h2 =
	    h2_accept(db->main_context, pending->socket, &client_ops, client);
	g_free(pending);
	return G_SOURCE_REMOVE;
}

/*
 * Accept a connection, or close it if the maximum number is open.
 */
static gboolean
on_incoming(GSocketService *service, GSocketConnection *connection,
    GObject *source, gpointer context)
{
	db_t *db = context;
	pending_connection_t *pending;

	(void)service;
	(void)source;
	if (db->connections >= db->connections_max) {
		g_io_stream_close(G_IO_STREAM(connection), NULL, NULL);
		return TRUE;
	}
	db->connections++;
	db->connections_opened++;
	db->connections_highest = MAX(db->connections_highest, db->connections);
	pending = g_new0(pending_connection_t, 1);
	pending->db = db;
	pending->socket =
	    g_object_ref(g_socket_connection_get_socket(connection));
	g_object_set_data_full(G_OBJECT(pending->socket), "connection",
	    g_object_ref(connection), NULL);
	if (db->connect_ms > 0)
		g_timeout_add(db->connect_ms, on_connect_delay_over, pending);
	else
		on_connect_delay_over(pending);
	return TRUE;
}

/*
 * Stop the server on SIGTERM.
 */
static gboolean
on_sigterm(gpointer loop)
{
	g_main_loop_quit(loop);
	return G_SOURCE_REMOVE;
}

/*
 * Listen on a port of 127.0.0.1 and serve until SIGTERM.
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
	g_unix_signal_add(SIGTERM, on_sigterm, db->loop);
	g_main_loop_run(db->loop);
	return 0;
}

/*
 * Run a fake database server.
 *
 * Usage: fakedb --port N [--slots N] [--connections N] [--service-ms N]
 * [--connect-ms N] [--lag-ms N]
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
	db->main_context = g_main_context_default();
	db->log = g_ptr_array_new();
	db->table =
	    g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
	db->request_ids =
	    g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL);
	db->dropped_entries = g_array_new(FALSE, TRUE, sizeof(dropped_entry_t));
	db->clients = g_ptr_array_new();
	db->followers = g_ptr_array_new_with_free_func(follower_free);
	g_queue_init(&db->waiting_jobs);
	db->slots = (uint32_t)slots->ival[0];
	db->connections_max = (uint32_t)connections->ival[0];
	db->service_ms = (uint32_t)service_ms->ival[0];
	db->connect_ms = (uint32_t)connect_ms->ival[0];
	db->lag_ms = (uint32_t)lag_ms->ival[0];
	return serve(db, (uint32_t)port->ival[0]);
}
