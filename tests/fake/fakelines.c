#include "../../src/proxy/lines.h"
#include "../../src/sock.h"
#include "fakesite.h"

#include <stdlib.h>
#include <string.h>

/* One group of databases with the line protocol. */

#define LINE_BYTES_MAX (1 << 20)
#define TICK_MS 5
#define PROMOTE_MS 200

/* An old primary that reaches the new one follows it after this time. */
#define REJOIN_MS 1000

typedef struct entry {
	uint64_t term;
	uint64_t index;
	char *item;
	char *value;
	int64_t at_ms;
} entry_t;

typedef struct database {
	group_state_t *group;
	uint32_t number;
	char *id;
	uint32_t port;
	bool primary;
	bool alive;
	bool mute; /* takes connections and answers nothing */
	bool deaf; /* receives nothing from the primary */
	bool leaving;
	uint64_t term;
	uint64_t held;
	GPtrArray *log; /* of entry_t */
	GSocketService *service;
	GList *conns;
} database_t;

typedef struct conn {
	database_t *database;
	sock_t *sock;
	lines_t in;
	bool open;
	bool broken;
	bool worked; /* the answers are of an item or a commit */
	char state;
	bool read_only;
	GPtrArray *writes; /* of entry_t, of the transaction */
	GHashTable *prepared;
	GString *answers; /* that wait for the end of the work */
	guint timer;
} conn_t;

struct group_state {
	store_state_t *store;
	char *name;
	uint32_t count;
	uint32_t lag_ms;
	uint32_t work_ms;
	database_t databases[SITE_DATABASES_MAX];
	database_t *promoted; /* is to lead */
	int64_t promote_at_ms;
	int64_t begun_ms; /* the present primary */
	uint64_t proofs;
	bool crash_on_commit; /* the next commit is not answered */
};

/*
 * The last index of a log.
 */
static uint64_t
last_index(const database_t *database)
{
	return database->log->len == 0
	    ? 0
	    : ((entry_t *)g_ptr_array_index(
		   database->log, database->log->len - 1))
		  ->index;
}

/*
 * The term of the last entry of a log; an empty log is of the first term.
 */
static uint64_t
last_term(const database_t *database)
{
	return database->log->len == 0
	    ? 1
	    : ((entry_t *)g_ptr_array_index(
		   database->log, database->log->len - 1))
		  ->term;
}

/*
 * Free an entry of a log.
 */
static void
entry_free(gpointer p)
{
	entry_t *entry = p;

	g_free(entry->item);
	g_free(entry->value);
	g_free(entry);
}

/*
 * The primary of the newest term that is alive, or NULL.
 */
static database_t *
leader(group_state_t *group)
{
	database_t *best = NULL;
	uint32_t i;

	for (i = 0; i < group->count; i++) {
		database_t *database = &group->databases[i];

		if (database->alive && database->primary &&
		    (best == NULL || database->term > best->term))
			best = database;
	}
	return best;
}

/*
 * Write a database's report into the store.
 */
static void
report(database_t *database)
{
	char *content;

	if (!database->alive) {
		store_remove(database->group->store, "servers", database->id);
		return;
	}
	content = g_strdup_printf(
	    "{\"backend\":\"%s\",\"address\":\"127.0.0.1:%u\",\"zone\":\"z\","
	    "\"version\":\"v1\",\"capacity\":4,\"state\":\"%s\","
	    "\"cold-remaining-ms\":0,\"db-role\":\"%s\",\"sequence\":1,"
	    "\"born\":1}",
	    database->group->name, database->port,
	    database->leaving ? "draining" : "ready",
	    database->primary ? "primary" : "replica");
	store_put(database->group->store, "servers", database->id, content);
	g_free(content);
}

/*
 * The newest value of an item in a log, or NULL.
 */
static const char *
value_of(const database_t *database, const char *item)
{
	uint32_t i = database->log->len;

	while (i-- > 0) {
		const entry_t *entry = g_ptr_array_index(database->log, i);

		if (strcmp(entry->item, item) == 0)
			return entry->value;
	}
	return NULL;
}

/*
 * What an item holds at the primary; to be freed.
 */
char *
group_state_value(group_state_t *group, const char *item)
{
	database_t *database = leader(group);

	return g_strdup(database == NULL ? NULL : value_of(database, item));
}

/*
 * Append an entry to a log.
 */
static void
append(database_t *database, uint64_t term, uint64_t index, const char *item,
    const char *value)
{
	entry_t *entry = g_new0(entry_t, 1);

	entry->term = term;
	entry->index = index;
	entry->item = g_strdup(item);
	entry->value = g_strdup(value);
	entry->at_ms = g_get_monotonic_time() / US_PER_MS;
	g_ptr_array_add(database->log, entry);
}

/*
 * Let a replica receive what it lacks and is old enough.
 */
static void
receive(database_t *replica, const database_t *from, int64_t now_ms)
{
	uint32_t i;

	if (replica->held != 0 || replica->deaf || replica->mute)
		return;
	replica->term = from->term;
	/* what differs from the leader's log goes */
	while (replica->log->len > 0) {
		const entry_t *mine =
		    g_ptr_array_index(replica->log, replica->log->len - 1);
		const entry_t *other = replica->log->len > from->log->len
		    ? NULL
		    : g_ptr_array_index(from->log, replica->log->len - 1);

		if (other != NULL && other->term == mine->term)
			break;
		g_ptr_array_set_size(replica->log, (int)replica->log->len - 1);
	}
	for (i = replica->log->len; i < from->log->len; i++) {
		const entry_t *entry = g_ptr_array_index(from->log, i);

		if (now_ms - entry->at_ms < replica->group->lag_ms)
			return;
		append(replica, entry->term, entry->index, entry->item,
		    entry->value);
	}
}

/*
 * Let the promoted database lead.
 */
static void
lead(group_state_t *group, int64_t now_ms)
{
	database_t *old = leader(group), *chosen = group->promoted;
	uint64_t term = 0;
	uint32_t i;

	for (i = 0; i < group->count; i++) {
		term = MAX(term, group->databases[i].term);
		group->databases[i].held = 0;
	}
	group->promoted = NULL;
	if (!chosen->alive || old == chosen)
		return;
	chosen->primary = true;
	chosen->term = term + 1;
	group->begun_ms = now_ms;
	report(chosen);
}

/*
 * Replication, promotions, and old primaries that follow.
 */
static gboolean
on_tick(gpointer context)
{
	group_state_t *group = context;
	int64_t now_ms = g_get_monotonic_time() / US_PER_MS;
	database_t *from;
	uint32_t i;

	if (group->promoted != NULL && now_ms >= group->promote_at_ms)
		lead(group, now_ms);
	from = leader(group);
	for (i = 0; from != NULL && i < group->count; i++) {
		database_t *database = &group->databases[i];

		if (database == from || !database->alive)
			continue;
		if (database->primary && !database->deaf &&
		    now_ms - group->begun_ms >= REJOIN_MS) {
			database->primary = false;
			report(database);
		}
		if (!database->primary)
			receive(database, from, now_ms);
	}
	return G_SOURCE_CONTINUE;
}

/*
 * Order a promotion.  Returns false for a database that does not run.
 */
bool
group_state_promote(group_state_t *group, const char *id)
{
	uint32_t i;

	for (i = 0; i < group->count; i++) {
		database_t *database = &group->databases[i];

		if (strcmp(database->id, id) != 0 || !database->alive)
			continue;
		group->promoted = database;
		group->promote_at_ms =
		    g_get_monotonic_time() / US_PER_MS + PROMOTE_MS;
		return true;
	}
	return false;
}

/*
 * Forget a connection.
 */
static void
conn_free(conn_t *conn)
{
	conn->database->conns = g_list_remove(conn->database->conns, conn);
	if (conn->timer != 0)
		g_source_remove(conn->timer);
	sock_free(conn->sock);
	lines_clear(&conn->in);
	g_ptr_array_unref(conn->writes);
	g_hash_table_unref(conn->prepared);
	g_string_free(conn->answers, TRUE);
	g_free(conn);
}

/*
 * Send what was gathered.
 */
static gboolean
on_worked(gpointer context)
{
	conn_t *conn = context;

	conn->timer = 0;
	conn->worked = false;
	if (!conn->database->mute)
		sock_write(conn->sock, (const uint8_t *)conn->answers->str,
		    conn->answers->len);
	g_string_truncate(conn->answers, 0);
	return G_SOURCE_REMOVE;
}

/*
 * Close a statement's answer.
 */
static void
ready(conn_t *conn)
{
	const database_t *database = conn->database;

	g_string_append_printf(conn->answers,
	    "READY %c %" G_GUINT64_FORMAT ".%" G_GUINT64_FORMAT "\r\n",
	    conn->state,
	    MAX(last_term(database), database->primary ? database->term : 0),
	    last_index(database));
}

/*
 * Answer with an error; a transaction has then failed.
 */
static void
refuse(conn_t *conn, const char *text)
{
	if (conn->state == 'T')
		conn->state = 'E';
	g_string_append_printf(conn->answers, "ERR %s\r\n", text);
	ready(conn);
}

/*
 * Answer with success.
 */
static void
done(conn_t *conn, bool proof)
{
	if (proof)
		g_string_append_printf(conn->answers,
		    "DONE p%" G_GUINT64_FORMAT ".%s\r\n",
		    ++conn->database->group->proofs, conn->database->id);
	else
		g_string_append(conn->answers, "DONE -\r\n");
	ready(conn);
}

/*
 * Read or write an item.
 */
static void
access_item(conn_t *conn, bool writes, const char *item, const char *value)
{
	database_t *database = conn->database;
	const char *found;
	entry_t *entry;

	conn->worked = true;
	if (conn->state == 'E') {
		refuse(conn, "MALFORMED the transaction has failed");
	} else if (writes && (!database->primary || conn->read_only)) {
		refuse(conn, "READONLY here");
	} else if (conn->state == 'T' && !conn->read_only &&
	    !database->primary) {
		refuse(conn, "READONLY here");
	} else if (!writes) {
		found = value_of(database, item);
		g_string_append_printf(conn->answers, "ROW %s\r\n",
		    found == NULL ? "none" : found);
		done(conn, true);
	} else if (conn->state == 'T') {
		entry = g_new0(entry_t, 1);
		entry->item = g_strdup(item);
		entry->value = g_strdup(value);
		g_ptr_array_add(conn->writes, entry);
		done(conn, true);
	} else {
		append(database, database->term, last_index(database) + 1, item,
		    value);
		done(conn, true);
	}
}

/*
 * Commit a transaction.
 */
static void
commit(conn_t *conn)
{
	database_t *database = conn->database;
	bool wrote = conn->writes->len > 0;
	uint32_t i;

	conn->worked = true;
	if (conn->state != 'T') {
		refuse(conn, "MALFORMED no transaction");
		return;
	}
	conn->state = 'I';
	if (wrote && !database->primary) {
		g_ptr_array_set_size(conn->writes, 0);
		refuse(conn, "READONLY here");
		return;
	}
	for (i = 0; i < conn->writes->len; i++) {
		const entry_t *entry = g_ptr_array_index(conn->writes, i);

		append(database, database->term, last_index(database) + 1,
		    entry->item, entry->value);
	}
	g_ptr_array_set_size(conn->writes, 0);
	if (database->group->crash_on_commit) {
		database->group->crash_on_commit = false;
		conn->broken = true;
		return;
	}
	done(conn, true);
}

/*
 * PREPARE name READ|WRITE shape, EXEC name item [data].
 */
static void
prepared(conn_t *conn, char **words)
{
	const char *kind;

	if (strcmp(words[0], "PREPARE") == 0 && g_strv_length(words) >= 4) {
		g_hash_table_insert(
		    conn->prepared, g_strdup(words[1]), g_strdup(words[2]));
		done(conn, false);
		return;
	}
	kind = words[1] == NULL ? NULL
				: g_hash_table_lookup(conn->prepared, words[1]);
	if (kind == NULL || words[2] == NULL)
		refuse(conn, "NOSTMT no such name");
	else
		access_item(conn, strcmp(kind, "WRITE") == 0, words[2],
		    words[3] == NULL ? "" : words[3]);
}

/*
 * STATUS, PAUSE, RESUME, STEPDOWN: all answer with the state.
 */
static void
control(conn_t *conn, char **words)
{
	database_t *database = conn->database;
	uint64_t term = words[1] == NULL ? 0 : strtoull(words[1], NULL, 10);

	if (strcmp(words[0], "PAUSE") == 0 && !database->primary &&
	    term > MAX(database->term, database->held))
		database->held = term;
	else if (strcmp(words[0], "RESUME") == 0)
		database->held = 0;
	else if (strcmp(words[0], "STEPDOWN") == 0 && database->primary &&
	    database->term < term) {
		database->primary = false;
		report(database);
	}
	g_string_append_printf(conn->answers,
	    "ROW %s %" G_GUINT64_FORMAT " %" G_GUINT64_FORMAT
	    ".%" G_GUINT64_FORMAT " %" G_GUINT64_FORMAT " 0 0 %u\r\n",
	    database->primary ? "primary" : "replica", database->term,
	    last_term(database), last_index(database), database->held,
	    g_list_length(database->conns));
	done(conn, false);
}

/*
 * Whether the log has a position TERM.NUMBER.
 */
static bool
has_position(const database_t *database, const char *position)
{
	char *end;
	uint64_t term = strtoull(position, &end, 10);
	uint64_t index = strtoull(end + 1, NULL, 10);

	return last_term(database) > term || last_index(database) >= index;
}

/*
 * One statement.
 */
static void
statement(conn_t *conn, char *text)
{
	char **all = g_strsplit(text, " ", 0), **words = all;

	if (strcmp(words[0], "AFTER") == 0 && g_strv_length(words) >= 3) {
		if (!has_position(conn->database, words[1])) {
			refuse(conn, "LAGGING here");
			g_strfreev(all);
			return;
		}
		words += 2;
	}
	if (strcmp(words[0], "READ") == 0 || strcmp(words[0], "WRITE") == 0) {
		access_item(conn, words[0][0] == 'W', words[1],
		    words[1] == NULL || words[2] == NULL ? "" : words[2]);
	} else if (strcmp(words[0], "BEGIN") == 0) {
		conn->worked = true;
		conn->read_only = words[1] != NULL;
		if (!conn->read_only && !conn->database->primary) {
			refuse(conn, "READONLY here");
		} else {
			conn->state = 'T';
			done(conn, false);
		}
	} else if (strcmp(words[0], "COMMIT") == 0) {
		commit(conn);
	} else if (strcmp(words[0], "ROLLBACK") == 0) {
		conn->state = 'I';
		g_ptr_array_set_size(conn->writes, 0);
		done(conn, false);
	} else if (strcmp(words[0], "SET") == 0) {
		done(conn, false);
	} else if (strcmp(words[0], "RESET") == 0) {
		g_hash_table_remove_all(conn->prepared);
		done(conn, false);
	} else if (strcmp(words[0], "PREPARE") == 0 ||
	    strcmp(words[0], "EXEC") == 0) {
		prepared(conn, words);
	} else {
		control(conn, words);
	}
	g_strfreev(all);
}

/*
 * One line of a daemon.
 */
static void
on_line(conn_t *conn, char *line)
{
	database_t *database = conn->database;
	char **words = g_strsplit(line, " ", 4);
	uint32_t n = g_strv_length(words);

	if (!conn->open && n >= 2 && strcmp(words[0], "START") == 0 &&
	    strcmp(words[1], database->group->name) == 0 &&
	    (n < 4 || strcmp(words[3], database->id) == 0)) {
		conn->open = true;
		ready(conn);
	} else if (!conn->open) {
		g_string_append(conn->answers, "ERR WRONGNODE here\r\n");
		conn->broken = true;
	} else if (n >= 3 && strcmp(words[0], "QUERY") == 0) {
		statement(conn, line + strlen(words[0]) + strlen(words[1]) + 2);
	} else {
		conn->broken = true;
	}
	g_strfreev(words);
}

/*
 * Bytes have come.
 */
static void
on_received(void *context, const uint8_t *bytes, uint32_t size_bytes)
{
	conn_t *conn = context;
	char *line;

	lines_add(&conn->in, bytes, size_bytes);
	while (!conn->broken && (line = lines_next(&conn->in)) != NULL)
		on_line(conn, line);
	if (conn->broken) {
		on_worked(conn);
		conn_free(conn);
	} else if (conn->timer == 0 && conn->answers->len > 0) {
		if (!conn->worked || conn->database->group->work_ms == 0)
			on_worked(conn);
		else
			conn->timer = g_timeout_add(
			    conn->database->group->work_ms, on_worked, conn);
	}
}

/*
 * A daemon is gone: what it had open is rolled back.
 */
static void
on_closed(void *context, int32_t error)
{
	(void)error;
	conn_free(context);
}

static const sock_ops_t sock_ops = {NULL, on_received, on_closed};

/*
 * A daemon has connected.
 */
static gboolean
on_incoming(GSocketService *service, GSocketConnection *connection,
    GObject *source, gpointer context)
{
	database_t *database = context;
	conn_t *conn;

	(void)service;
	(void)source;
	if (!database->alive)
		return TRUE;
	conn = g_new0(conn_t, 1);
	conn->database = database;
	conn->state = 'I';
	conn->writes = g_ptr_array_new_with_free_func(entry_free);
	conn->prepared =
	    g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
	conn->answers = g_string_new(NULL);
	lines_init(&conn->in, LINE_BYTES_MAX);
	conn->sock = sock_accept(g_main_context_default(),
	    g_object_ref(g_socket_connection_get_socket(connection)), &sock_ops,
	    conn);
	/* the stream must not close the socket that is ours now */
	g_object_set_data(G_OBJECT(connection), "kept", conn);
	g_object_ref(connection);
	database->conns = g_list_prepend(database->conns, conn);
	return TRUE;
}

/*
 * Listen on a database's port.
 */
static void
listen_on(database_t *database)
{
	GSocketAddress *at =
	    g_inet_socket_address_new_from_string("127.0.0.1", database->port);
	GError *error = NULL;

	database->service = g_socket_service_new();
	if (!g_socket_listener_add_address(G_SOCKET_LISTENER(database->service),
		at, G_SOCKET_TYPE_STREAM, G_SOCKET_PROTOCOL_TCP, NULL, NULL,
		&error))
		g_error("port %u: %s", database->port, error->message);
	g_signal_connect(
	    database->service, "incoming", G_CALLBACK(on_incoming), database);
	g_object_unref(at);
}

/*
 * A database dies, and its connections with it.
 */
static void
crash(database_t *database)
{
	database->alive = false;
	g_socket_service_stop(database->service);
	g_socket_listener_close(G_SOCKET_LISTENER(database->service));
	g_clear_object(&database->service);
	while (database->conns != NULL)
		conn_free(database->conns->data);
}

/*
 * Put a fault into force.  Returns false when it is not known.
 */
bool
group_state_fault(group_state_t *group, const char *what, uint32_t number)
{
	database_t *database =
	    number < group->count ? &group->databases[number] : leader(group);

	if (database == NULL)
		return false;
	if (strcmp(what, "crash") == 0) {
		crash(database);
	} else if (strcmp(what, "return") == 0) {
		database->alive = true;
		listen_on(database);
		report(database);
	} else if (strcmp(what, "mute") == 0) {
		database->mute = true;
	} else if (strcmp(what, "speak") == 0) {
		database->mute = false;
	} else if (strcmp(what, "deaf") == 0) {
		database->deaf = true;
	} else if (strcmp(what, "leave") == 0) {
		database->leaving = true;
		report(database);
	} else if (strcmp(what, "lose-commit") == 0) {
		group->crash_on_commit = true;
	} else {
		return false;
	}
	return true;
}

/*
 * Make a group; its first database is the primary.
 */
group_state_t *
group_state_new(store_state_t *store, const char *name, uint32_t first_port,
    uint32_t count, uint32_t lag_ms, uint32_t work_ms)
{
	group_state_t *group = g_new0(group_state_t, 1);
	uint32_t i;

	group->store = store;
	group->name = g_strdup(name);
	group->count = count;
	group->lag_ms = lag_ms;
	group->work_ms = work_ms;
	for (i = 0; i < count; i++) {
		database_t *database = &group->databases[i];

		database->group = group;
		database->number = i;
		database->id = g_strdup_printf("i-%u", i);
		database->port = first_port + i;
		database->primary = i == 0;
		database->alive = true;
		database->term = 1;
		database->log = g_ptr_array_new_with_free_func(entry_free);
		listen_on(database);
		report(database);
	}
	g_timeout_add(TICK_MS, on_tick, group);
	return group;
}
