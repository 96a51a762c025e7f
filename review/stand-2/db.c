#include "db.h"

#include <stdarg.h>
#include <stdlib.h>
#include <string.h>

/* Interval of replication and of the timers of the group. */
#define TICK_MS 2

/* Interval at which a database writes its entry. */
#define HEARTBEAT_MS 1200

/* Time of silence after which an entry lapses: three heartbeats. */
#define LAPSE_MS (3 * HEARTBEAT_MS)

/* Time after which an old primary that reaches the new one follows it. */
#define REJOIN_MS 1000

#define LINE_BYTES_MAX (1 << 20)

/* A connection of a daemon to a database. */
typedef struct conn {
	db_t *db;
	sock_t *sock;
	line_buffer_t in;
	bool open;
	bool closing;
	char state; /* I, T or E */
	bool read_only;
	GPtrArray *writes; /* of entry_t, of the open transaction */
	GHashTable *prepared;
	/* the query that is being answered, until its time, and until so many
	   entries are held by a replica */
	bool busy;
	int64_t due_ms;
	uint32_t wait_index; /* 0: no commit waits */
	char *answer;
} conn_t;

static uint64_t proofs;

int64_t
site_now_ms(const site_t *site)
{
	return g_get_monotonic_time() / 1000 - site->start_ms;
}

void
site_note(site_t *site, const char *format, ...)
{
	va_list ap;

	fprintf(site->record, "%8.3f ", (double)site_now_ms(site) / 1000);
	va_start(ap, format);
	vfprintf(site->record, format, ap);
	va_end(ap);
	fputc('\n', site->record);
	fflush(site->record);
}

static void
entry_free(gpointer p)
{
	entry_t *entry = p;

	g_free(entry->id);
	g_free(entry->item);
	g_free(entry->data);
	g_free(entry);
}

static entry_t *
entry_new(const char *id, const char *item, const char *data)
{
	entry_t *entry = g_new0(entry_t, 1);

	entry->id = g_strdup(id);
	entry->item = g_strdup(item);
	entry->data = g_strdup(data);
	return entry;
}

static const entry_t *
entry_at(const db_t *db, uint32_t i)
{
	return g_ptr_array_index(db->log, i);
}

static uint64_t
last_term(const db_t *db)
{
	return db->log->len == 0 ? 1 : entry_at(db, db->log->len - 1)->term;
}

bool
db_has_query(const db_t *db, const char *id)
{
	uint32_t i;

	for (i = 0; i < db->log->len; i++) {
		if (strcmp(entry_at(db, i)->id, id) == 0)
			return true;
	}
	return false;
}

/*
 * Write the entry of a database into the store.
 */
void
db_publish(db_t *db)
{
	char *spec = g_strdup_printf(
	    "{\"backend\":\"%s\",\"address\":\"%s:%u\",\"zone\":\"z-a\","
	    "\"version\":\"v1\",\"capacity\":5,\"state\":\"%s\","
	    "\"cold-remaining-ms\":0,\"db-role\":\"%s\",\"sequence\":%u,"
	    "\"born\":%" G_GUINT64_FORMAT "}",
	    db->site->service, db->address, db->port,
	    db->draining ? "draining" : "ready",
	    db->primary ? "primary" : "replica", ++db->sequence, db->born);

	object_store_put(db->site->store, "servers", db->id, spec);
	g_free(spec);
}

void
site_publish_config(site_t *site, const char *json)
{
	object_store_put(site->store, "config", "main", json);
}

db_t *
site_primary(site_t *site)
{
	db_t *newest = NULL;
	uint32_t i;

	for (i = 0; i < site->count; i++) {
		db_t *db = site->dbs[i];

		if (db->running && db->primary &&
		    (newest == NULL || db->term > newest->term))
			newest = db;
	}
	return newest;
}

static void
conn_free(conn_t *conn)
{
	conn->db->conns = g_list_remove(conn->db->conns, conn);
	sock_free(conn->sock);
	line_buffer_clear(&conn->in);
	g_ptr_array_unref(conn->writes);
	g_hash_table_unref(conn->prepared);
	g_free(conn->answer);
	g_free(conn);
}

static void
conn_write(conn_t *conn, const char *text)
{
	sock_write(conn->sock, (const uint8_t *)text, strlen(text));
}

/*
 * Write READY.
 */
static void
conn_ready(conn_t *conn)
{
	const db_t *db = conn->db;
	uint64_t term = last_term(db);
	char *text;

	if (db->primary && db->term > term)
		term = db->term;
	text = g_strdup_printf("READY %c %" G_GUINT64_FORMAT ".%u\r\n",
	    conn->state, term, db->log->len);
	conn_write(conn, text);
	g_free(text);
}

static void
conn_error(conn_t *conn, const char *code)
{
	char *text = g_strdup_printf("ERR %s %s\r\n", code, conn->db->id);

	if (conn->state == 'T')
		conn->state = 'E';
	conn_write(conn, text);
	conn_ready(conn);
	g_free(text);
}

static void
conn_done(conn_t *conn)
{
	conn_write(conn, "DONE -\r\n");
	conn_ready(conn);
}

/*
 * Answer a read, write or commit after its work, and after a replica has
 * received what it wrote where commits are synchronous.
 */
static void
conn_answer_later(conn_t *conn, const char *row, uint32_t wait_index)
{
	conn->busy = true;
	conn->due_ms = site_now_ms(conn->db->site) + conn->db->work_ms;
	conn->wait_index = conn->db->site->sync_replicas > 0 ? wait_index : 0;
	g_free(conn->answer);
	conn->answer =
	    g_strdup_printf("%s%s%sDONE %" G_GUINT64_FORMAT ".%s\r\n",
		row == NULL ? "" : "ROW ", row == NULL ? "" : row,
		row == NULL ? "" : "\r\n", ++proofs, conn->db->id);
}

static void
append(db_t *db, entry_t *entry)
{
	entry->term = db->term;
	entry->at_ms = site_now_ms(db->site);
	g_ptr_array_add(db->log, entry);
	site_note(db->site, "run %s at %s, entry %" G_GUINT64_FORMAT ".%u",
	    entry->id, db->id, entry->term, db->log->len);
}

static const char *
find_value(const db_t *db, const char *item)
{
	uint32_t i = db->log->len;

	while (i-- > 0) {
		if (strcmp(entry_at(db, i)->item, item) == 0)
			return entry_at(db, i)->data;
	}
	return "none";
}

static void
access_item(conn_t *conn, const char *id, bool writes, const char *item,
    const char *data)
{
	db_t *db = conn->db;

	if (conn->state == 'E') {
		conn_error(conn, "MALFORMED");
	} else if ((writes && (!db->primary || conn->read_only)) ||
	    (conn->state == 'T' && !conn->read_only && !db->primary)) {
		conn_error(conn, "READONLY");
	} else if (!writes) {
		site_note(db->site, "run %s at %s, a read", id, db->id);
		conn_answer_later(conn, find_value(db, item), 0);
	} else if (conn->state == 'T') {
		g_ptr_array_add(conn->writes, entry_new(id, item, data));
		conn_answer_later(conn, NULL, 0);
	} else {
		append(db, entry_new(id, item, data));
		conn_answer_later(conn, NULL, db->log->len);
	}
}

static void
commit(conn_t *conn)
{
	db_t *db = conn->db;
	uint32_t i, n = conn->writes->len;

	if (conn->state != 'T') {
		conn_error(conn, "MALFORMED");
		return;
	}
	conn->state = 'I';
	if (n > 0 && !db->primary) {
		g_ptr_array_set_size(conn->writes, 0);
		conn_error(conn, "READONLY");
		return;
	}
	for (i = 0; i < n; i++) {
		const entry_t *entry = g_ptr_array_index(conn->writes, i);

		append(db, entry_new(entry->id, entry->item, entry->data));
	}
	g_ptr_array_set_size(conn->writes, 0);
	conn_answer_later(conn, NULL, n > 0 ? db->log->len : 0);
}

/*
 * Carry out STATUS, PAUSE, RESUME or STEPDOWN, and answer with the status.
 */
static void
control(conn_t *conn, char **words)
{
	db_t *db = conn->db;
	uint64_t term = words[1] == NULL ? 0 : strtoull(words[1], NULL, 10);
	char *row;

	if (strcmp(words[0], "PAUSE") == 0 && !db->primary &&
	    term > MAX(db->term, db->paused_term))
		db->paused_term = term;
	else if (strcmp(words[0], "RESUME") == 0)
		db->paused_term = 0;
	else if (strcmp(words[0], "STEPDOWN") == 0 && db->primary &&
	    db->term < term) {
		db->primary = false;
		db_publish(db);
	}
	if (strcmp(words[0], "STATUS") != 0)
		site_note(db->site, "%s %s at %s", words[0],
		    words[1] == NULL ? "" : words[1], db->id);
	row = g_strdup_printf("ROW %s %" G_GUINT64_FORMAT " %" G_GUINT64_FORMAT
			      ".%u %" G_GUINT64_FORMAT " %u 0 %u\r\n",
	    db->primary ? "primary" : "replica", db->term, last_term(db),
	    db->log->len, db->paused_term, db->primary ? 0 : db->lag_ms,
	    g_list_length(db->conns));
	conn_write(conn, row);
	conn_done(conn);
	g_free(row);
}

/*
 * Tell whether the log has a position.
 */
static bool
has_position(const db_t *db, const char *text)
{
	char *end;
	uint64_t term = strtoull(text, &end, 10);
	uint64_t index = *end == '.' ? strtoull(end + 1, NULL, 10) : 0;

	return db->log->len >= index && MAX(db->term, last_term(db)) >= term;
}

static void
on_query(conn_t *conn, const char *id, char *text)
{
	char **words, **more;

	if (g_str_has_prefix(text, "AFTER ")) {
		char *position = text + strlen("AFTER ");

		text = strchr(position, ' ');
		*text++ = '\0';
		if (!has_position(conn->db, position)) {
			conn_error(conn, "LAGGING");
			return;
		}
	}
	words = g_strsplit(text, " ", 3);
	if (strcmp(words[0], "READ") == 0) {
		access_item(conn, id, false, words[1], "");
	} else if (strcmp(words[0], "WRITE") == 0) {
		access_item(
		    conn, id, true, words[1], words[2] == NULL ? "" : words[2]);
	} else if (strcmp(words[0], "EXEC") == 0) {
		const char *access =
		    g_hash_table_lookup(conn->prepared, words[1]);

		more = words[2] == NULL ? NULL : g_strsplit(words[2], " ", 2);
		if (access == NULL || more == NULL)
			conn_error(conn, "NOSTMT");
		else
			access_item(conn, id, g_str_has_prefix(access, "WRITE"),
			    more[0], more[1] == NULL ? "" : more[1]);
		g_strfreev(more);
	} else if (strcmp(words[0], "PREPARE") == 0) {
		/* its access; the shape does not matter here */
		g_hash_table_replace(conn->prepared, g_strdup(words[1]),
		    g_strndup(words[2], strlen("WRITE")));
		conn_done(conn);
	} else if (strcmp(words[0], "BEGIN") == 0) {
		conn->read_only = words[1] != NULL;
		if (conn->state != 'I') {
			conn_error(conn, "MALFORMED");
		} else if (!conn->read_only && !conn->db->primary) {
			conn_error(conn, "READONLY");
		} else {
			conn->state = 'T';
			conn_done(conn);
		}
	} else if (strcmp(words[0], "COMMIT") == 0) {
		commit(conn);
	} else if (strcmp(words[0], "ROLLBACK") == 0) {
		conn->state = 'I';
		g_ptr_array_set_size(conn->writes, 0);
		conn_done(conn);
	} else if (strcmp(words[0], "RESET") == 0) {
		g_hash_table_remove_all(conn->prepared);
		conn_done(conn);
	} else if (strcmp(words[0], "SET") == 0 ||
	    strcmp(words[0], "DEALLOC") == 0) {
		conn_done(conn);
	} else {
		control(conn, words);
	}
	g_strfreev(words);
}

static void
on_line(conn_t *conn, char *line)
{
	db_t *db = conn->db;
	char **words = g_strsplit(line, " ", 4);
	uint32_t n = g_strv_length(words);

	if (!conn->open && n >= 3 && strcmp(words[0], "START") == 0) {
		if (strcmp(words[1], db->site->service) == 0 &&
		    (n < 4 || strcmp(words[3], db->id) == 0)) {
			conn->open = true;
			conn_ready(conn);
		} else {
			conn_write(conn, "ERR WRONGNODE here\r\n");
			conn->closing = true;
		}
	} else if (conn->open && n >= 3 && strcmp(words[0], "QUERY") == 0) {
		on_query(conn, words[1],
		    line + strlen("QUERY ") + strlen(words[1]) + 1);
	} else {
		conn->closing = true;
	}
	g_strfreev(words);
}

/*
 * Handle the lines that have come, up to one that takes time.  May free the
 * connection.
 */
static void
conn_process(conn_t *conn)
{
	uint32_t size_bytes;
	char *line;

	while (!conn->db->dark && !conn->busy && !conn->closing &&
	    (line = line_buffer_next(&conn->in, &size_bytes)) != NULL)
		on_line(conn, line);
	if (conn->closing)
		conn_free(conn);
}

static void
on_received(void *context, const uint8_t *bytes, uint32_t size_bytes)
{
	conn_t *conn = context;

	line_buffer_append(&conn->in, bytes, size_bytes);
	conn_process(conn);
}

static void
on_closed(void *context, int32_t error)
{
	(void)error;
	conn_free(context);
}

static const sock_ops_t sock_ops = {NULL, on_received, on_closed};

static gboolean
on_accept(GSocket *listener, GIOCondition condition, gpointer context)
{
	db_t *db = context;
	GSocket *socket = g_socket_accept(listener, NULL, NULL);
	conn_t *conn;

	(void)condition;
	if (socket == NULL)
		return G_SOURCE_CONTINUE;
	conn = g_new0(conn_t, 1);
	conn->db = db;
	conn->state = 'I';
	conn->writes = g_ptr_array_new_with_free_func(entry_free);
	conn->prepared =
	    g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
	line_buffer_init(&conn->in, LINE_BYTES_MAX + 64);
	conn->sock =
	    sock_accept(g_main_context_default(), socket, &sock_ops, conn);
	db->conns = g_list_prepend(db->conns, conn);
	return G_SOURCE_CONTINUE;
}

static void
db_listen(db_t *db)
{
	GSocketAddress *address =
	    g_inet_socket_address_new_from_string(db->address, db->port);
	GError *error = NULL;

	db->listener = sock_listen(address, &error);
	if (db->listener == NULL) {
		fprintf(stderr, "%s: %s\n", db->address, error->message);
		exit(2);
	}
	g_socket_set_blocking(db->listener, FALSE);
	db->accept_source = g_socket_create_source(db->listener, G_IO_IN, NULL);
	g_source_set_callback(
	    db->accept_source, G_SOURCE_FUNC(on_accept), db, NULL);
	g_source_attach(db->accept_source, NULL);
	g_object_unref(address);
}

/*
 * End the process of a database: its connections break, and its address
 * refuses others.  Its entry lapses.
 */
void
db_kill(db_t *db)
{
	site_note(db->site, "%s is killed", db->id);
	db->running = false;
	db->lapses_ms = site_now_ms(db->site) + LAPSE_MS;
	g_source_destroy(db->accept_source);
	g_clear_pointer(&db->accept_source, g_source_unref);
	g_socket_close(db->listener, NULL);
	g_clear_object(&db->listener);
	while (db->conns != NULL)
		conn_free(db->conns->data);
}

/*
 * Start a killed database under its id: it holds and knows nothing of before.
 */
void
db_reborn(db_t *db)
{
	g_ptr_array_set_size(db->log, 0);
	db->term = 1;
	db->paused_term = 0;
	db->primary = false;
	db->sequence = 0;
	db->born = (uint64_t)(g_get_real_time() / 1000);
	db->running = true;
	db->lapses_ms = 0;
	db_listen(db);
	db_publish(db);
	site_note(
	    db->site, "%s starts again under its id, without a log", db->id);
}

/*
 * A database crashes and is silent.
 */
void
db_go_dark(db_t *db)
{
	site_note(db->site, "%s goes dark", db->id);
	db->dark = true;
	db->lapses_ms = site_now_ms(db->site) + LAPSE_MS;
}

/*
 * A dark database is back with its log, as a replica if another one was
 * promoted.
 */
void
db_return(db_t *db)
{
	const db_t *primary = NULL;
	uint32_t i;

	for (i = 0; i < db->site->count; i++) {
		const db_t *other = db->site->dbs[i];

		if (other->term > db->term)
			primary = other;
	}
	while (db->conns != NULL)
		conn_free(db->conns->data);
	db->dark = false;
	db->lapses_ms = 0;
	db->paused_term = 0;
	if (primary != NULL)
		db->primary = false;
	db_publish(db);
	site_note(db->site, "%s is back with its log, as %s", db->id,
	    db->primary ? "primary" : "replica");
}

/*
 * Replicate to one replica.
 */
static void
replicate(db_t *replica, const db_t *primary)
{
	int64_t now_ms = site_now_ms(replica->site);
	uint32_t i;

	if (replica->paused_term != 0 || replica->deaf || replica->dark ||
	    replica->term > primary->term)
		return;
	replica->term = primary->term;
	while (replica->log->len > 0 &&
	    (replica->log->len > primary->log->len ||
		entry_at(replica, replica->log->len - 1)->term !=
		    entry_at(primary, replica->log->len - 1)->term))
		g_ptr_array_set_size(
		    replica->log, (int32_t)replica->log->len - 1);
	for (i = replica->log->len; i < primary->log->len; i++) {
		const entry_t *entry = entry_at(primary, i);
		entry_t *copy;

		if (now_ms - entry->at_ms < replica->lag_ms)
			return;
		copy = entry_new(entry->id, entry->item, entry->data);
		copy->term = entry->term;
		copy->at_ms = entry->at_ms;
		g_ptr_array_add(replica->log, copy);
	}
}

static void
complete_promotion(site_t *site)
{
	db_t *successor = site->promoting;
	uint64_t term = 0;
	uint32_t i;

	site->promoting = NULL;
	if (!successor->running || successor->dark || successor->primary)
		return;
	for (i = 0; i < site->count; i++)
		term = MAX(term, site->dbs[i]->term);
	term++;
	for (i = 0; i < site->count; i++) {
		if (site->dbs[i]->paused_term <= term)
			site->dbs[i]->paused_term = 0;
	}
	successor->primary = true;
	successor->term = term;
	successor->paused_term = 0;
	site->promoted_ms = site_now_ms(site);
	site_note(site, "%s leads term %" G_GUINT64_FORMAT " with %u entries",
	    successor->id, term, successor->log->len);
	if (site->promoted != NULL)
		site->promoted(successor);
	db_publish(successor);
}

bool
site_promote(site_t *site, const char *id)
{
	uint32_t i;

	for (i = 0; i < site->count; i++) {
		db_t *db = site->dbs[i];

		if (strcmp(db->id, id) != 0 || !db->running || db->dark)
			continue;
		site_note(site, "an order to promote %s", id);
		site->promoting = db;
		site->promote_due_ms = site_now_ms(site) + site->promote_ms;
		return true;
	}
	site_note(site, "an order to promote %s, which does not run", id);
	return false;
}

/*
 * Tell whether a commit is at as many replicas as it needs.
 */
static bool
is_received(const db_t *db, uint32_t index)
{
	uint32_t i, n = 0;

	for (i = 0; i < db->site->count; i++) {
		const db_t *other = db->site->dbs[i];

		n += other != db && other->running && !other->dark &&
		    other->log->len >= index &&
		    entry_at(other, index - 1)->term ==
			entry_at(db, index - 1)->term;
	}
	return n >= db->site->sync_replicas;
}

/*
 * Send the answers of a database that are due.
 */
static void
send_answers(db_t *db)
{
	int64_t now_ms = site_now_ms(db->site);
	GList *l = db->conns;

	while (l != NULL && !db->dark) {
		conn_t *conn = l->data;

		l = l->next;
		if (!conn->busy || now_ms < conn->due_ms ||
		    (conn->wait_index > 0 &&
			(conn->wait_index > db->log->len ||
			    !is_received(db, conn->wait_index))))
			continue;
		conn->busy = false;
		conn_write(conn, conn->answer);
		conn_ready(conn);
		conn_process(conn);
	}
}

static gboolean
on_tick(gpointer context)
{
	site_t *site = context;
	int64_t now_ms = site_now_ms(site);
	db_t *primary;
	uint32_t i;

	if (site->promoting != NULL && now_ms >= site->promote_due_ms)
		complete_promotion(site);
	primary = site_primary(site);
	for (i = 0; i < site->count; i++) {
		db_t *db = site->dbs[i];

		if (db->lapses_ms != 0 && now_ms >= db->lapses_ms) {
			db->lapses_ms = 0;
			object_store_remove(site->store, "servers", db->id);
			site_note(site, "the entry of %s lapses", db->id);
		}
		if (primary == NULL || primary->dark || db == primary ||
		    !db->running || db->dark)
			continue;
		if (db->primary && now_ms - site->promoted_ms >= REJOIN_MS) {
			db->primary = false;
			db_publish(db);
		}
		if (!db->primary)
			replicate(db, primary);
	}
	for (i = 0; i < site->count; i++)
		send_answers(site->dbs[i]);
	return G_SOURCE_CONTINUE;
}

static gboolean
on_heartbeat(gpointer context)
{
	site_t *site = context;
	uint32_t i;

	for (i = 0; i < site->count; i++) {
		if (site->dbs[i]->running && !site->dbs[i]->dark)
			db_publish(site->dbs[i]);
	}
	return G_SOURCE_CONTINUE;
}

static void
on_promote(SoupServer *server, SoupServerMessage *message, const char *path,
    GHashTable *query, gpointer context)
{
	GBytes *bytes = soup_message_body_flatten(
	    soup_server_message_get_request_body(message));
	char *body =
	    g_strndup(g_bytes_get_data(bytes, NULL), g_bytes_get_size(bytes));
	const char *at = strstr(body, "\"id\":\"");
	char *id = at == NULL ? g_strdup("") : g_strdup(at + 6);

	(void)server;
	(void)path;
	(void)query;
	if (strchr(id, '"') != NULL)
		*strchr(id, '"') = '\0';
	soup_server_message_set_status(
	    message, site_promote(context, id) ? 200 : 409, NULL);
	soup_server_message_set_response(
	    message, "application/json", SOUP_MEMORY_STATIC, "{}", 2);
	g_free(id);
	g_free(body);
	g_bytes_unref(bytes);
}

/*
 * Listen for the calls to the store and to the promotion endpoint.
 */
bool
site_listen(site_t *site, SoupServer *server, uint32_t port)
{
	char *host = g_strdup_printf("%s.1", site->base);
	GSocketAddress *address =
	    g_inet_socket_address_new_from_string(host, port);
	GSocket *socket = sock_listen(address, NULL);
	bool listens = socket != NULL &&
	    soup_server_listen_socket(
		server, socket, (SoupServerListenOptions)0, NULL);

	soup_server_add_handler(server, "/promote", on_promote, site, NULL);
	g_object_unref(address);
	g_free(host);
	return listens;
}

/*
 * Create a group of databases; the first one is the primary.
 */
site_t *
site_new(const char *base, const char *service, uint32_t count, FILE *record)
{
	site_t *site = g_new0(site_t, 1);
	uint32_t i;

	site->base = base;
	site->service = service;
	site->count = count;
	site->promote_ms = 300;
	site->record = record;
	site->start_ms = g_get_monotonic_time() / 1000;
	for (i = 0; i < count; i++) {
		db_t *db = g_new0(db_t, 1);

		db->site = site;
		db->id = g_strdup_printf("i-%08x", 0x7f3a9100 + i);
		db->address = g_strdup_printf("%s.%u", base, 101 + i);
		db->port = 8149;
		db->running = true;
		db->primary = i == 0;
		db->term = 1;
		db->lag_ms = 8;
		db->work_ms = 4;
		db->born = (uint64_t)(g_get_real_time() / 1000) - 60000;
		db->log = g_ptr_array_new_with_free_func(entry_free);
		site->dbs[i] = db;
		db_listen(db);
	}
	g_timeout_add(TICK_MS, on_tick, site);
	g_timeout_add(HEARTBEAT_MS, on_heartbeat, site);
	return site;
}
