#include "../../src/proxy/lines.h"
#include "../../src/sock.h"
#include "fakesite.h"

#include <stdlib.h>
#include <string.h>
#include <sys/socket.h>

/*
 * A group of fake databases that speak the line protocol of the proxy:
 * replication, promotion and faults.  All databases of the group run in this
 * process, each with a port of its own.
 */

#define LINE_BYTES_MAX (1 << 20)
#define TICK_MS 5
#define PROMOTE_MS 200

/*
 * Time after its successor's promotion at which an old primary rejoins as a
 * replica.
 */
#define REJOIN_MS 1000

/* Time after which the entry of a database that has ended lapses. */
#define ENTRY_LAPSES_MS 2100

/* Shape that the databases refuse to prepare. */
#define REFUSED_SHAPE "refused"

/* READ large.ROWS.BYTES returns so many rows of so many bytes. */
#define LARGE_ITEM "large."

/* Output that is sent at once, and the interval between two pieces. */
#define OUTPUT_PIECE_BYTES (4 << 20)
#define OUTPUT_PIECE_MS 1

/* A log entry: the write of one item. */
typedef struct write_entry {
	uint64_t term;
	uint64_t index;
	char *item;
	char *value;
	int64_t appended_ms;
} write_entry_t;

typedef struct database {
	db_group_t *group;
	uint32_t number;
	char *id;
	uint32_t port;
	bool primary;
	bool running;
	bool unresponsive;        /* accepts connections but sends no answers */
	bool unreachable;         /* and receives nothing from daemons */
	bool full;                /* resets new connections */
	bool slow_open;           /* opens sessions after the service time */
	bool replication_blocked; /* receives nothing from the primary */
	bool draining;
	int64_t draining_since_us;
	bool unlisted; /* has no entry in the store */
	uint64_t term;
	uint64_t replication_paused_term; /* term of the last PAUSE; 0: none */
	uint64_t born;  /* changes when it starts as another one */
	GPtrArray *log; /* of write_entry_t */
	GSocketService *service;
	GList *conns;
} database_t;

typedef struct conn {
	database_t *database;
	sock_t *sock;
	line_buffer_t input;
	bool session_open;
	bool close_pending;
	bool delay_answers; /* the output waits for the service time */
	char session_state; /* I: idle, T: in a transaction, E: failed */
	bool read_only;
	bool begun; /* in a transaction, with no statement of a client yet */
	GPtrArray *pending_writes; /* write_entry_t of the transaction */
	GHashTable *prepared_statements;
	GString *output; /* answers held back for the service time */
	guint answer_timer;
} conn_t;

/* A promotion that took effect. */
typedef struct promotion {
	uint64_t term;
	uint64_t base_index; /* end of the log of the promoted database */
} promotion_t;

struct db_group {
	object_store_t *store;
	char *name;
	uint32_t databases_count;
	uint32_t lag_ms;
	uint32_t service_ms;
	database_t databases[GROUP_DATABASES_MAX];
	database_t *promotion_target; /* database to be promoted, or NULL */
	int64_t promotion_due_ms;
	int64_t promoted_ms; /* when the current primary was promoted */
	uint64_t ack_tokens_issued;
	/* close the connection instead of answering the next commit */
	bool lose_next_commit_answer;
	GArray *promotions; /* of promotion_t */
	/* values that clients wrote, and items that they read, at a primary
	   that had been replaced */
	GString *outdated;
	/* promotions that took effect, and those of a database with entries
	   that an earlier one had given up: ID.TERM, each between blanks */
	GString *promoted;
	GString *revived;
	/* single statements and first ones of a transaction that a database
	   received while it left: ID.MS between blanks, with the time since it
	   said so */
	GString *drained;
	/* prepared statements that were run: [access shape|item|data] */
	GString *executed;
	/* statements that were received, other than those that daemons issue
	   themselves: [id|text], the text in hexadecimal digits */
	GString *received;
};

/*
 * Return the index of the last log entry, 0 for an empty log.
 */
static uint64_t
database_last_index(const database_t *database)
{
	return database->log->len == 0
	    ? 0
	    : ((write_entry_t *)g_ptr_array_index(
		   database->log, database->log->len - 1))
		  ->index;
}

/*
 * Return the term of the last log entry.  An empty log counts as the first
 * term.
 */
static uint64_t
database_last_term(const database_t *database)
{
	return database->log->len == 0
	    ? 1
	    : ((write_entry_t *)g_ptr_array_index(
		   database->log, database->log->len - 1))
		  ->term;
}

/*
 * Free a log entry.
 */
static void
entry_free(gpointer p)
{
	write_entry_t *entry = p;

	g_free(entry->item);
	g_free(entry->value);
	g_free(entry);
}

/*
 * Return the running primary with the highest term, or NULL.
 */
static database_t *
group_primary(db_group_t *group)
{
	database_t *newest = NULL;
	uint32_t i;

	for (i = 0; i < group->databases_count; i++) {
		database_t *database = &group->databases[i];

		if (database->running && database->primary &&
		    (newest == NULL || database->term > newest->term))
			newest = database;
	}
	return newest;
}

/*
 * Publish the server object of a database, or delete it if the database has
 * crashed or is not listed.
 */
static void
publish_server(database_t *database)
{
	char *content;

	if (!database->running || database->unlisted) {
		object_store_remove(
		    database->group->store, "servers", database->id);
		return;
	}
	content = g_strdup_printf(
	    "{\"backend\":\"%s\",\"address\":\"127.0.0.1:%u\",\"zone\":\"z\","
	    "\"version\":\"v1\",\"capacity\":4,\"state\":\"%s\","
	    "\"cold-remaining-ms\":0,\"db-role\":\"%s\",\"sequence\":1,"
	    "\"born\":%" G_GUINT64_FORMAT "}",
	    database->group->name, database->port,
	    database->draining ? "draining" : "ready",
	    database->primary ? "primary" : "replica", database->born);
	object_store_put(
	    database->group->store, "servers", database->id, content);
	g_free(content);
}

/*
 * Return the newest value of an item in a log, or NULL.
 */
static const char *
database_find_value(const database_t *database, const char *item)
{
	uint32_t i = database->log->len;

	while (i-- > 0) {
		const write_entry_t *entry =
		    g_ptr_array_index(database->log, i);

		if (strcmp(entry->item, item) == 0)
			return entry->value;
	}
	return NULL;
}

/*
 * Return the value of an item at the primary, to be freed by the caller, or
 * NULL.
 */
char *
db_group_item_value(db_group_t *group, const char *item)
{
	database_t *database = group_primary(group);

	return g_strdup(
	    database == NULL ? NULL : database_find_value(database, item));
}

/*
 * Append an entry to the log of a database.
 */
static void
database_append(database_t *database, uint64_t term, uint64_t index,
    const char *item, const char *value)
{
	write_entry_t *entry = g_new0(write_entry_t, 1);

	entry->term = term;
	entry->index = index;
	entry->item = g_strdup(item);
	entry->value = g_strdup(value);
	entry->appended_ms = g_get_monotonic_time() / US_PER_MS;
	g_ptr_array_add(database->log, entry);
}

/*
 * Replicate to one replica: truncate what differs from the primary's log,
 * then append the missing entries that are older than the replication lag.
 * Nothing is replicated while replication is paused or blocked.
 */
static void
replicate_to(database_t *replica, const database_t *primary, int64_t now_ms)
{
	uint32_t i;

	if (replica->replication_paused_term != 0 ||
	    replica->replication_blocked || replica->unresponsive)
		return;
	replica->term = primary->term;
	/* truncate the entries that differ from the primary's */
	while (replica->log->len > 0) {
		const write_entry_t *replica_entry =
		    g_ptr_array_index(replica->log, replica->log->len - 1);
		const write_entry_t *primary_entry =
		    replica->log->len > primary->log->len
		    ? NULL
		    : g_ptr_array_index(primary->log, replica->log->len - 1);

		if (primary_entry != NULL &&
		    primary_entry->term == replica_entry->term)
			break;
		g_ptr_array_set_size(replica->log, (int)replica->log->len - 1);
	}
	for (i = replica->log->len; i < primary->log->len; i++) {
		const write_entry_t *entry = g_ptr_array_index(primary->log, i);

		if (now_ms - entry->appended_ms < replica->group->lag_ms)
			return;
		database_append(replica, entry->term, entry->index, entry->item,
		    entry->value);
	}
}

/*
 * Tell whether a log has entries that a promotion gave up: those after its
 * base, in older terms.
 */
static bool
has_given_up_entries(const db_group_t *group, const database_t *database)
{
	uint32_t i, j;

	for (i = 0; i < group->promotions->len; i++) {
		const promotion_t *promotion =
		    &g_array_index(group->promotions, promotion_t, i);

		for (j = 0; j < database->log->len; j++) {
			const write_entry_t *entry =
			    g_ptr_array_index(database->log, j);

			if (entry->term < promotion->term &&
			    entry->index > promotion->base_index)
				return true;
		}
	}
	return false;
}

/*
 * Note that a database leads a new term.
 */
static void
note_promotion(db_group_t *group, const database_t *successor)
{
	promotion_t promotion = {
	    successor->term, database_last_index(successor)};

	g_string_append_printf(group->promoted, "%s.%" G_GUINT64_FORMAT " ",
	    successor->id, successor->term);
	if (has_given_up_entries(group, successor))
		g_string_append_printf(group->revived,
		    "%s.%" G_GUINT64_FORMAT " ", successor->id,
		    successor->term);
	g_array_append_val(group->promotions, promotion);
}

/*
 * Complete the requested promotion with a new term.  It ends the pauses for
 * that term and older ones at all databases, also at those that it does not
 * reach, and any pause of the promoted one.  The old primary stays primary
 * until it rejoins as a replica, as after a network partition.
 */
static void
complete_promotion(db_group_t *group, int64_t now_ms)
{
	database_t *old_primary = group_primary(group),
		   *successor = group->promotion_target;
	uint64_t term = 0;
	uint32_t i;

	for (i = 0; i < group->databases_count; i++)
		term = MAX(term, group->databases[i].term);
	term++;
	group->promotion_target = NULL;
	if (!successor->running || old_primary == successor)
		return;
	for (i = 0; i < group->databases_count; i++) {
		database_t *database = &group->databases[i];

		if (database->replication_paused_term <= term)
			database->replication_paused_term = 0;
	}
	successor->primary = true;
	successor->term = term;
	successor->replication_paused_term = 0;
	group->promoted_ms = now_ms;
	note_promotion(group, successor);
	publish_server(successor);
}

/*
 * Handle the timer: complete a promotion that is due, replicate, and turn old
 * primaries that reach the new one into replicas.
 */
static gboolean
on_tick(gpointer context)
{
	db_group_t *group = context;
	int64_t now_ms = g_get_monotonic_time() / US_PER_MS;
	database_t *primary;
	uint32_t i;

	if (group->promotion_target != NULL &&
	    now_ms >= group->promotion_due_ms)
		complete_promotion(group, now_ms);
	primary = group_primary(group);
	for (i = 0; primary != NULL && i < group->databases_count; i++) {
		database_t *database = &group->databases[i];

		if (database == primary || !database->running)
			continue;
		if (database->primary && !database->replication_blocked &&
		    now_ms - group->promoted_ms >= REJOIN_MS) {
			database->primary = false;
			publish_server(database);
		}
		if (!database->primary)
			replicate_to(database, primary, now_ms);
	}
	return G_SOURCE_CONTINUE;
}

/*
 * Request the promotion of a database, which takes effect after PROMOTE_MS.
 * Returns false if the database is unknown or not running.
 */
bool
db_group_promote(db_group_t *group, const char *id)
{
	uint32_t i;

	for (i = 0; i < group->databases_count; i++) {
		database_t *database = &group->databases[i];

		if (strcmp(database->id, id) != 0 || !database->running)
			continue;
		group->promotion_target = database;
		group->promotion_due_ms =
		    g_get_monotonic_time() / US_PER_MS + PROMOTE_MS;
		return true;
	}
	return false;
}

/*
 * Close a connection and free it.
 */
static void
conn_free(conn_t *conn)
{
	conn->database->conns = g_list_remove(conn->database->conns, conn);
	if (conn->answer_timer != 0)
		g_source_remove(conn->answer_timer);
	sock_free(conn->sock);
	line_buffer_clear(&conn->input);
	g_ptr_array_unref(conn->pending_writes);
	g_hash_table_unref(conn->prepared_statements);
	g_string_free(conn->output, TRUE);
	g_free(conn);
}

/*
 * Send the buffered answers, or discard them if the database does not answer.
 * Large ones are sent in pieces.
 */
static gboolean
send_output(gpointer context)
{
	conn_t *conn = context;

	gsize size_bytes = MIN(conn->output->len, OUTPUT_PIECE_BYTES);

	conn->answer_timer = 0;
	conn->delay_answers = false;
	if (sock_buffered_bytes(conn->sock) > OUTPUT_PIECE_BYTES)
		size_bytes = 0;
	if (!conn->database->unresponsive && !conn->database->unreachable)
		sock_write(
		    conn->sock, (const uint8_t *)conn->output->str, size_bytes);
	g_string_erase(conn->output, 0, (gssize)size_bytes);
	if (conn->output->len > 0)
		conn->answer_timer =
		    g_timeout_add(OUTPUT_PIECE_MS, send_output, conn);
	return G_SOURCE_REMOVE;
}

/*
 * End the answer to a statement with READY, the session state and the
 * position of the log.
 */
static void
answer_ready(conn_t *conn)
{
	const database_t *database = conn->database;

	g_string_append_printf(conn->output,
	    "READY %c %" G_GUINT64_FORMAT ".%" G_GUINT64_FORMAT "\r\n",
	    conn->session_state,
	    MAX(database_last_term(database),
		database->primary ? database->term : 0),
	    database_last_index(database));
}

/*
 * Answer with an error, which also fails an open transaction.
 */
static void
answer_error(conn_t *conn, const char *text)
{
	if (conn->session_state == 'T')
		conn->session_state = 'E';
	g_string_append_printf(conn->output, "ERR %s\r\n", text);
	answer_ready(conn);
}

/*
 * Answer with success, with or without an acknowledgement token.
 */
static void
answer_done(conn_t *conn, bool with_token)
{
	if (with_token)
		g_string_append_printf(conn->output,
		    "DONE p%" G_GUINT64_FORMAT ".%s\r\n",
		    ++conn->database->group->ack_tokens_issued,
		    conn->database->id);
	else
		g_string_append(conn->output, "DONE -\r\n");
	answer_ready(conn);
}

/*
 * Note a value that a client writes, or an item that it reads, at a primary
 * that has been replaced.
 */
static void
note_outdated(const database_t *database, const char *text)
{
	if (database->primary && group_primary(database->group) != database)
		g_string_append_printf(database->group->outdated, "%s ", text);
}

/*
 * Append a client's write to the log of a primary.
 */
static void
append_client_write(database_t *database, const char *item, const char *value)
{
	note_outdated(database, value);
	database_append(database, database->term,
	    database_last_index(database) + 1, item, value);
}

/*
 * Append the rows of an item LARGE_ITEM.
 */
static void
append_large(conn_t *conn, const char *item)
{
	char **fields = g_strsplit(item, ".", 3);
	uint64_t i, rows = strtoull(fields[1], NULL, 10);
	char *row = g_strnfill(strtoull(fields[2], NULL, 10), 'x');

	for (i = 0; i < rows; i++)
		g_string_append_printf(conn->output, "ROW %s\r\n", row);
	g_free(row);
	g_strfreev(fields);
}

/*
 * Read or write an item.  A write in a transaction is deferred until the
 * commit.
 */
static void
access_item(conn_t *conn, bool writes, const char *item, const char *value)
{
	database_t *database = conn->database;
	const char *current_value;
	write_entry_t *entry;

	conn->delay_answers = true;
	if (conn->session_state == 'E') {
		answer_error(conn, "MALFORMED the transaction has failed");
	} else if (writes && (!database->primary || conn->read_only)) {
		answer_error(conn, "READONLY here");
	} else if (conn->session_state == 'T' && !conn->read_only &&
	    !database->primary) {
		answer_error(conn, "READONLY here");
	} else if (!writes && g_str_has_prefix(item, LARGE_ITEM)) {
		append_large(conn, item);
		answer_done(conn, true);
	} else if (!writes) {
		note_outdated(database, item);
		current_value = database_find_value(database, item);
		g_string_append_printf(conn->output, "ROW %s\r\n",
		    current_value == NULL ? "none" : current_value);
		answer_done(conn, true);
	} else if (conn->session_state == 'T') {
		entry = g_new0(write_entry_t, 1);
		entry->item = g_strdup(item);
		entry->value = g_strdup(value);
		g_ptr_array_add(conn->pending_writes, entry);
		answer_done(conn, true);
	} else {
		append_client_write(database, item, value);
		answer_done(conn, true);
	}
}

/*
 * Commit a transaction: append its writes to the log.
 */
static void
commit_transaction(conn_t *conn)
{
	database_t *database = conn->database;
	bool wrote = conn->pending_writes->len > 0;
	uint32_t i;

	conn->delay_answers = true;
	if (conn->session_state != 'T') {
		answer_error(conn, "MALFORMED no transaction");
		return;
	}
	conn->session_state = 'I';
	if (wrote && !database->primary) {
		g_ptr_array_set_size(conn->pending_writes, 0);
		answer_error(conn, "READONLY here");
		return;
	}
	for (i = 0; i < conn->pending_writes->len; i++) {
		const write_entry_t *entry =
		    g_ptr_array_index(conn->pending_writes, i);

		append_client_write(database, entry->item, entry->value);
	}
	g_ptr_array_set_size(conn->pending_writes, 0);
	if (database->group->lose_next_commit_answer) {
		database->group->lose_next_commit_answer = false;
		conn->close_pending = true;
		return;
	}
	answer_done(conn, true);
}

/*
 * Handle PREPARE name READ|WRITE shape.  words: PREPARE, name, access and
 * shape.
 */
static void
handle_prepare(conn_t *conn, char **words)
{
	const char *shape;

	if (g_strv_length(words) < 4 ||
	    (strcmp(words[2], "READ") != 0 && strcmp(words[2], "WRITE") != 0)) {
		answer_error(conn, "MALFORMED not a statement to prepare");
		return;
	}
	shape = words[3];
	if (strcmp(shape, REFUSED_SHAPE) == 0) {
		answer_error(conn, "FAILED this shape is refused");
	} else {
		g_hash_table_insert(conn->prepared_statements,
		    g_strdup(words[1]),
		    g_strdup_printf("%s %s", words[2], shape));
		answer_done(conn, false);
	}
}

/*
 * Handle EXEC name item [data].
 */
static void
handle_execute(conn_t *conn, char **words)
{
	const char *statement = words[1] == NULL
	    ? NULL
	    : g_hash_table_lookup(conn->prepared_statements, words[1]);

	if (statement == NULL || words[2] == NULL) {
		answer_error(conn, "NOSTMT no such name");
		return;
	}
	g_string_append_printf(conn->database->group->executed, "[%s|%s|%s]",
	    statement, words[2], words[3] == NULL ? "" : words[3]);
	access_item(conn, g_str_has_prefix(statement, "WRITE "), words[2],
	    words[3] == NULL ? "" : words[3]);
}

/*
 * Handle STATUS, PAUSE, RESUME and STEPDOWN.  All answer with the state of
 * the database.
 */
static void
handle_control(conn_t *conn, char **words)
{
	database_t *database = conn->database;
	uint64_t term = words[1] == NULL ? 0 : strtoull(words[1], NULL, 10);

	if (strcmp(words[0], "PAUSE") == 0 && !database->primary &&
	    term > MAX(database->term, database->replication_paused_term))
		database->replication_paused_term = term;
	else if (strcmp(words[0], "RESUME") == 0)
		database->replication_paused_term = 0;
	else if (strcmp(words[0], "STEPDOWN") == 0 && database->primary &&
	    database->term < term) {
		database->primary = false;
		publish_server(database);
	}
	g_string_append_printf(conn->output,
	    "ROW %s %" G_GUINT64_FORMAT " %" G_GUINT64_FORMAT
	    ".%" G_GUINT64_FORMAT " %" G_GUINT64_FORMAT " 0 0 %u\r\n",
	    database->primary ? "primary" : "replica", database->term,
	    database_last_term(database), database_last_index(database),
	    database->replication_paused_term, g_list_length(database->conns));
	answer_done(conn, false);
}

/*
 * Tell whether the log has reached a position TERM.INDEX.
 */
static bool
database_has_position(const database_t *database, const char *position)
{
	char *end;
	uint64_t term = strtoull(position, &end, 10);
	uint64_t index = strtoull(end + 1, NULL, 10);

	return database_last_term(database) > term ||
	    database_last_index(database) >= index;
}

/*
 * Note a statement that a client sent, byte for byte.
 */
static void
note_received(db_group_t *group, const char *id, const char *text)
{
	const char *c;

	if (strcmp(id, "-") == 0)
		return;
	g_string_append_printf(group->received, "[%s|", id);
	for (c = text; *c != '\0'; c++)
		g_string_append_printf(group->received, "%02x", (guint8)*c);
	g_string_append_c(group->received, ']');
}

/*
 * Note a statement that a client sent to a database that leaves, unless it
 * belongs to a transaction that has had one.
 */
static void
note_drained(conn_t *conn, const char *id)
{
	const database_t *database = conn->database;

	if (strcmp(id, "-") == 0)
		return;
	if (database->draining && (conn->session_state == 'I' || conn->begun))
		g_string_append_printf(database->group->drained,
		    "%s.%" G_GINT64_FORMAT " ", id,
		    (g_get_monotonic_time() - database->draining_since_us) /
			G_TIME_SPAN_MILLISECOND);
	conn->begun = false;
}

/*
 * Handle one statement, which may be prefixed by AFTER and the position that
 * the log must have reached.
 */
static void
handle_statement(conn_t *conn, const char *id, const char *text)
{
	char **prefix = g_strsplit(text, " ", 3), **words, *data;
	bool after =
	    strcmp(prefix[0], "AFTER") == 0 && g_strv_length(prefix) == 3;

	if (after && !database_has_position(conn->database, prefix[1])) {
		answer_error(conn, "LAGGING here");
		g_strfreev(prefix);
		return;
	}
	if (after)
		text = prefix[2];
	note_received(conn->database->group, id, text);
	note_drained(conn, id);
	words = g_strsplit(text, " ", 4);
	if (strcmp(words[0], "READ") == 0) {
		access_item(conn, false, text + strlen("READ "), "");
	} else if (strcmp(words[0], "WRITE") == 0) {
		data = words[1] == NULL ? g_strdup("")
					: g_strjoinv(" ", &words[2]);
		access_item(conn, true, words[1], data);
		g_free(data);
	} else if (strcmp(words[0], "BEGIN") == 0) {
		conn->delay_answers = true;
		conn->read_only = words[1] != NULL;
		if (!conn->read_only && !conn->database->primary) {
			answer_error(conn, "READONLY here");
		} else {
			conn->session_state = 'T';
			conn->begun = true;
			answer_done(conn, false);
		}
	} else if (strcmp(words[0], "COMMIT") == 0) {
		commit_transaction(conn);
	} else if (strcmp(words[0], "ROLLBACK") == 0) {
		conn->session_state = 'I';
		g_ptr_array_set_size(conn->pending_writes, 0);
		answer_done(conn, false);
	} else if (strcmp(words[0], "SET") == 0) {
		answer_done(conn, false);
	} else if (strcmp(words[0], "RESET") == 0) {
		g_hash_table_remove_all(conn->prepared_statements);
		answer_done(conn, false);
	} else if (strcmp(words[0], "PREPARE") == 0) {
		handle_prepare(conn, words);
	} else if (strcmp(words[0], "EXEC") == 0) {
		handle_execute(conn, words);
	} else {
		handle_control(conn, words);
	}
	g_strfreev(words);
	g_strfreev(prefix);
}

/*
 * Handle one line of a daemon: START opens the session, QUERY runs a
 * statement.  Any other line closes the connection.
 */
static void
on_line(conn_t *conn, char *line)
{
	database_t *database = conn->database;
	char **words = g_strsplit(line, " ", 4);
	uint32_t n = g_strv_length(words);

	if (!conn->session_open && n >= 2 && strcmp(words[0], "START") == 0 &&
	    strcmp(words[1], database->group->name) == 0 &&
	    (n < 4 || strcmp(words[3], database->id) == 0)) {
		conn->session_open = true;
		conn->delay_answers = database->slow_open;
		answer_ready(conn);
	} else if (!conn->session_open) {
		g_string_append(conn->output, "ERR WRONGNODE here\r\n");
		conn->close_pending = true;
	} else if (n >= 3 && strcmp(words[0], "QUERY") == 0) {
		handle_statement(conn, words[1],
		    line + strlen(words[0]) + strlen(words[1]) + 2);
	} else {
		conn->close_pending = true;
	}
	g_strfreev(words);
}

/*
 * Handle the complete lines among the received bytes, then send the answers,
 * after the service time if there was an item access or a commit.
 */
static void
on_received(void *context, const uint8_t *bytes, uint32_t size_bytes)
{
	conn_t *conn = context;
	uint32_t line_bytes;
	char *line;

	if (conn->database->unreachable)
		return;
	line_buffer_append(&conn->input, bytes, size_bytes);
	while (!conn->close_pending &&
	    (line = line_buffer_next(&conn->input, &line_bytes)) != NULL)
		on_line(conn, line);
	if (conn->close_pending) {
		send_output(conn);
		conn_free(conn);
	} else if (conn->answer_timer == 0 && conn->output->len > 0) {
		if (!conn->delay_answers ||
		    conn->database->group->service_ms == 0)
			send_output(conn);
		else
			conn->answer_timer =
			    g_timeout_add(conn->database->group->service_ms,
				send_output, conn);
	}
}

/*
 * Handle a connection that the daemon has closed: roll back its open
 * transaction.
 */
static void
on_closed(void *context, int32_t error)
{
	(void)error;
	conn_free(context);
}

static const sock_ops_t sock_ops = {NULL, on_received, on_closed};

/*
 * Make the close of a socket reset its connection.
 */
static void
socket_reset(GSocket *socket)
{
	struct linger linger = {.l_onoff = 1, .l_linger = 0};

	setsockopt(g_socket_get_fd(socket), SOL_SOCKET, SO_LINGER, &linger,
	    sizeof(linger));
}

/*
 * Accept a connection of a daemon, unless the database has crashed.
 */
static gboolean
on_incoming(GSocketService *service, GSocketConnection *connection,
    GObject *source, gpointer context)
{
	database_t *database = context;
	conn_t *conn;

	(void)service;
	(void)source;
	if (!database->running)
		return TRUE;
	if (database->full) {
		socket_reset(g_socket_connection_get_socket(connection));
		return TRUE;
	}
	conn = g_new0(conn_t, 1);
	conn->database = database;
	conn->session_state = 'I';
	conn->pending_writes = g_ptr_array_new_with_free_func(entry_free);
	conn->prepared_statements =
	    g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
	conn->output = g_string_new(NULL);
	line_buffer_init(&conn->input, LINE_BYTES_MAX);
	conn->sock = sock_accept(g_main_context_default(),
	    g_object_ref(g_socket_connection_get_socket(connection)), &sock_ops,
	    conn);
	/* keep the stream: its end would close the socket of conn->sock */
	g_object_set_data(G_OBJECT(connection), "kept", conn);
	g_object_ref(connection);
	database->conns = g_list_prepend(database->conns, conn);
	return TRUE;
}

/*
 * Listen on the port of a database.
 */
static void
database_listen(database_t *database)
{
	GSocketAddress *address =
	    g_inet_socket_address_new_from_string("127.0.0.1", database->port);
	GError *error = NULL;

	database->service = g_socket_service_new();
	g_socket_listener_set_backlog(
	    G_SOCKET_LISTENER(database->service), LISTEN_BACKLOG);
	if (!g_socket_listener_add_address(G_SOCKET_LISTENER(database->service),
		address, G_SOCKET_TYPE_STREAM, G_SOCKET_PROTOCOL_TCP, NULL,
		NULL, &error))
		g_error("cannot listen on port %u: %s", database->port,
		    error->message);
	g_signal_connect(
	    database->service, "incoming", G_CALLBACK(on_incoming), database);
	g_object_unref(address);
}

/*
 * Crash a database: close its port and its connections.
 */
static void
database_crash(database_t *database)
{
	database->running = false;
	g_socket_service_stop(database->service);
	g_socket_listener_close(G_SOCKET_LISTENER(database->service));
	g_clear_object(&database->service);
	while (database->conns != NULL)
		conn_free(database->conns->data);
}

/*
 * Start a database that has crashed, with its log and without its pause; as a
 * replica if another one was promoted meanwhile.
 */
static void
database_restart(database_t *database)
{
	const database_t *primary = group_primary(database->group);

	database->running = true;
	database->replication_paused_term = 0;
	if (primary != NULL && primary->term > database->term)
		database->primary = false;
	database_listen(database);
	publish_server(database);
}

/*
 * Start a database that has crashed under its id, as a replica that knows
 * nothing of before.
 */
static void
database_reborn(database_t *database)
{
	g_ptr_array_set_size(database->log, 0);
	database->term = 1;
	database->primary = false;
	database->born++;
	database_restart(database);
}

/*
 * Start a database that has crashed, with its log, under a new id.
 */
static void
database_renewed(database_t *database)
{
	object_store_remove(database->group->store, "servers", database->id);
	g_free(database->id);
	database->id = g_strdup_printf(
	    "i-%u-%" G_GUINT64_FORMAT, database->number, ++database->born);
	database_restart(database);
}

/* An entry of a database that has ended, which has not lapsed yet. */
typedef struct former_entry {
	object_store_t *store;
	char *id;
} former_entry_t;

/*
 * Remove the entry of a database that has ended.
 */
static gboolean
on_entry_lapsed(gpointer context)
{
	former_entry_t *former = context;

	object_store_remove(former->store, "servers", former->id);
	g_free(former->id);
	g_free(former);
	return G_SOURCE_REMOVE;
}

/*
 * Start a database that has crashed, with its log, under a new id.  The entry
 * of its former start stays until it lapses.
 */
static void
database_again(database_t *database)
{
	former_entry_t *former = g_new0(former_entry_t, 1);

	former->store = database->group->store;
	former->id = database->id;
	g_timeout_add(ENTRY_LAPSES_MS, on_entry_lapsed, former);
	database->id = g_strdup_printf(
	    "i-%u-%" G_GUINT64_FORMAT, database->number, ++database->born);
	database_restart(database);
}

/*
 * Reach a database again.  Its connections from before are gone.
 */
static void
database_heal(database_t *database)
{
	database->unreachable = false;
	while (database->conns != NULL)
		conn_free(database->conns->data);
}

/*
 * Inject or end a fault: crash, return, renewed, again, reborn; mute, speak;
 * cut (off from the daemons, though not from the other databases), heal; deaf
 * (receives nothing from the primary), hear; unlist, list; leave, full (also
 * closes the open connections), crowded, slow-open, lose-commit.  Applies to
 * the primary if no database has that number. Returns false if the fault is
 * unknown or there is no primary.
 */
bool
db_group_inject_fault(db_group_t *group, const char *fault, uint32_t number)
{
	database_t *database = number < group->databases_count
	    ? &group->databases[number]
	    : group_primary(group);

	if (database == NULL)
		return false;
	if (strcmp(fault, "crash") == 0) {
		database_crash(database);
	} else if (strcmp(fault, "return") == 0) {
		database_restart(database);
	} else if (strcmp(fault, "renewed") == 0) {
		database_renewed(database);
	} else if (strcmp(fault, "again") == 0) {
		database_again(database);
	} else if (strcmp(fault, "reborn") == 0) {
		database_reborn(database);
	} else if (strcmp(fault, "mute") == 0) {
		database->unresponsive = true;
	} else if (strcmp(fault, "speak") == 0) {
		database->unresponsive = false;
	} else if (strcmp(fault, "cut") == 0) {
		database->unreachable = true;
	} else if (strcmp(fault, "heal") == 0) {
		database_heal(database);
	} else if (strcmp(fault, "deaf") == 0 || strcmp(fault, "hear") == 0) {
		database->replication_blocked = strcmp(fault, "deaf") == 0;
	} else if (strcmp(fault, "unlist") == 0 || strcmp(fault, "list") == 0) {
		database->unlisted = strcmp(fault, "unlist") == 0;
		publish_server(database);
	} else if (strcmp(fault, "leave") == 0) {
		database->draining = true;
		database->draining_since_us = g_get_monotonic_time();
		publish_server(database);
	} else if (strcmp(fault, "crowded") == 0) {
		database->full = true;
	} else if (strcmp(fault, "slow-open") == 0) {
		database->slow_open = true;
	} else if (strcmp(fault, "full") == 0) {
		database->full = true;
		while (database->conns != NULL)
			conn_free(database->conns->data);
	} else if (strcmp(fault, "lose-commit") == 0) {
		group->lose_next_commit_answer = true;
	} else {
		return false;
	}
	return true;
}

/*
 * Return the values that clients wrote, and the items that they read, at a
 * primary that had been replaced, each between blanks.
 */
const char *
db_group_outdated(const db_group_t *group)
{
	return group->outdated->str;
}

/*
 * Return the statements that began at a database that left: ID.MS, between
 * blanks.
 */
const char *
db_group_drained(const db_group_t *group)
{
	return group->drained->str;
}

/*
 * Return the promotions that took effect, each ID.TERM between blanks.
 */
const char *
db_group_promoted(const db_group_t *group)
{
	return group->promoted->str;
}

/*
 * Return the promotions of databases with entries that an earlier promotion had
 * given up, each ID.TERM between blanks.
 */
const char *
db_group_revived(const db_group_t *group)
{
	return group->revived->str;
}

/*
 * Return the prepared statements that were run.
 */
const char *
db_group_executed(const db_group_t *group)
{
	return group->executed->str;
}

/*
 * Return the statements of clients that were received.
 */
const char *
db_group_received(const db_group_t *group)
{
	return group->received->str;
}

/*
 * Create a group and listen on its ports, which follow each other.  The
 * first database is the primary.
 */
db_group_t *
db_group_new(object_store_t *store, const db_group_plan_t *plan)
{
	db_group_t *group = g_new0(db_group_t, 1);
	uint32_t i;

	group->store = store;
	group->name = g_strdup(plan->name);
	group->databases_count = plan->databases_count;
	group->lag_ms = plan->lag_ms;
	group->service_ms = plan->service_ms;
	group->promotions = g_array_new(FALSE, FALSE, sizeof(promotion_t));
	group->outdated = g_string_new(" ");
	group->drained = g_string_new(" ");
	group->promoted = g_string_new(" ");
	group->revived = g_string_new(" ");
	group->executed = g_string_new(NULL);
	group->received = g_string_new(NULL);
	for (i = 0; i < plan->databases_count; i++) {
		database_t *database = &group->databases[i];

		database->group = group;
		database->number = plan->first_number + i;
		database->id = g_strdup_printf("i-%u", database->number);
		database->port = plan->first_port + i;
		database->primary = i == 0;
		database->running = true;
		database->term = 1;
		database->born = 1;
		database->log = g_ptr_array_new_with_free_func(entry_free);
		database_listen(database);
		publish_server(database);
	}
	g_timeout_add(TICK_MS, on_tick, group);
	return group;
}
