#include "fakedb.h"

#include <errno.h>

/* Replication: the primary pushes, a follower drops what differs. */

#define APPEND_ENTRIES_MAX 500
#define RECONNECT_MS 50
#define APPEND_TIMEOUT_MS 500

static void on_follower_closed(void *, int32_t);

/*
 * Free one follower.
 */
void
follower_free(gpointer p)
{
	follower_t *follower = p;

	h2_free(follower->h2);
	source_drop(&follower->timer);
	g_free(follower->address);
	g_free(follower);
}

/*
 * POST /append: replication from the primary of a term.
 */
void
on_append(client_t *client, int32_t stream, arena_t *arena,
    const ProtobufCMessage *message)
{
	const Bp__AppendAsk *ask = (const Bp__AppendAsk *)message;
	db_t *db = client->db;
	Bp__AppendAnswer out = BP__APPEND_ANSWER__INIT;
	uint64_t at = ask->before;
	uint32_t i, j;

	if (db->cut) {
		h2_mute(client->h2);
		arena_free(arena);
		return;
	}
	if (ask->term >= db->promised) {
		if (ask->term > db->promised)
			db->primary = false;
		db->promised = ask->term;
		out.accepted = at == 0 ||
		    (at <= db->log->len &&
			((entry_t *)g_ptr_array_index(db->log, at - 1))->term ==
			    ask->before_term);
	}
	for (i = 0; out.accepted && i < ask->n_entries; i++, at++) {
		Bp__LogEntry *in = ask->entries[i];
		entry_t *entry;

		if (at < db->log->len &&
		    ((entry_t *)g_ptr_array_index(db->log, at))->term ==
			in->term)
			continue;
		if (at < db->log->len)
			log_truncate(db, at);
		entry = entry_new(in->term, in->statement, in->request_id);
		for (j = 0; j < in->n_writes; j++)
			g_ptr_array_add(entry->writes, g_strdup(in->writes[j]));
		log_append(db, entry);
	}
	/* entries of an older primary beyond the new one's are dropped too */
	if (out.accepted && last_term(db) != ask->term &&
	    db->log->len > ask->before + ask->n_entries)
		log_truncate(db, ask->before + ask->n_entries);
	out.promised = db->promised;
	out.position = db->log->len;
	answer(client, stream, &out.base);
	arena_free(arena);
}

/*
 * The lag of replication is over.
 */
static gboolean
on_lag_over(gpointer data)
{
	follower_t *follower = data;

	source_drop(&follower->timer);
	replicate(follower->db);
	return G_SOURCE_REMOVE;
}

/*
 * Look at a follower again a little later.
 */
static void
follower_later(follower_t *follower, uint32_t ms)
{
	if (follower->timer != NULL)
		return;
	follower->timer = g_timeout_source_new(ms);
	g_source_set_callback(follower->timer, on_lag_over, follower, NULL);
	g_source_attach(follower->timer, follower->db->main);
}

/*
 * A follower is connected.
 */
static void
on_follower_open(void *context)
{
	follower_t *follower = context;

	follower->open = true;
	replicate(follower->db);
}

/*
 * A follower has answered an append.
 */
static void
on_follower_answer(void *context, int32_t stream, uint32_t status,
    const char *body, uint32_t size_bytes)
{
	follower_t *follower = context;
	arena_t *arena = arena_new();
	faults_t faults = {arena, NULL, 0, NULL};
	Bp__AppendAnswer *in = (Bp__AppendAnswer *)json_read(
	    arena, &bp__append_answer__descriptor, body, size_bytes, &faults);
	db_t *db = follower->db;

	(void)stream;
	(void)status;
	follower->busy = false;
	if (in != NULL && in->promised > db->promised) {
		db->promised = in->promised;
		db->primary = false;
	} else if (in != NULL && in->accepted) {
		follower->next = MAX(follower->next, in->position);
		follower->next = MIN(follower->next, db->log->len);
	} else if (in != NULL && follower->next > 0) {
		follower->next = MIN(follower->next - 1, in->position);
	}
	arena_free(arena);
	replicate(db);
}

/*
 * The connection to a follower is gone: try again a little later.
 */
static void
on_follower_closed(void *context, int32_t error)
{
	follower_t *follower = context;

	(void)error;
	h2_free(follower->h2);
	follower->h2 = NULL;
	follower->open = follower->busy = false;
	follower_later(follower, RECONNECT_MS);
}

static const h2_ops_t follower_ops = {
    on_follower_open, on_follower_answer, NULL, NULL, on_follower_closed};

/*
 * Send a follower the next entries that are old enough, if it is idle.
 */
static void
follower_send(follower_t *follower)
{
	db_t *db = follower->db;
	arena_t *arena;
	Bp__AppendAsk *ask;
	uint64_t size_bytes, at;
	char *body;

	if (!follower->open || follower->busy)
		return;
	arena = arena_new();
	ask = (Bp__AppendAsk *)message_new(arena, &bp__append_ask__descriptor);
	ask->term = db->promised;
	ask->before = follower->next;
	if (ask->before > 0)
		ask->before_term =
		    ((entry_t *)g_ptr_array_index(db->log, ask->before - 1))
			->term;
	ask->entries =
	    arena_zero(arena, sizeof(ask->entries[0]) * APPEND_ENTRIES_MAX);
	for (at = ask->before;
	     at < db->log->len && ask->n_entries < APPEND_ENTRIES_MAX; at++) {
		entry_t *entry = g_ptr_array_index(db->log, at);
		int64_t wait_ms = entry->at_ms + db->lag_ms - clock_ms();
		Bp__LogEntry *out;

		if (db->lag_ms > 0 && wait_ms > 0) {
			follower_later(follower, (uint32_t)wait_ms);
			break;
		}
		out = (Bp__LogEntry *)message_new(
		    arena, &bp__log_entry__descriptor);
		out->term = entry->term;
		out->statement = entry->statement;
		out->request_id = entry->request_id;
		out->n_writes = entry->writes->len;
		out->writes = (char **)entry->writes->pdata;
		ask->entries[ask->n_entries++] = out;
	}
	if (ask->n_entries > 0) {
		body = json_write(arena, &ask->base, &size_bytes);
		follower->busy = true;
		follower->busy_ms = clock_ms();
		follower_later(follower, APPEND_TIMEOUT_MS);
		h2_ask(follower->h2, "/append", body, (uint32_t)size_bytes);
	}
	arena_free(arena);
}

/*
 * Push what followers lack.
 */
void
replicate(db_t *db)
{
	uint32_t i;

	if (!db->primary || db->cut)
		return;
	for (i = 0; i < db->followers->len; i++) {
		follower_t *follower = g_ptr_array_index(db->followers, i);

		if (follower->busy &&
		    clock_ms() - follower->busy_ms >= APPEND_TIMEOUT_MS)
			on_follower_closed(follower, -ETIMEDOUT);
		if (follower->h2 == NULL) {
			follower->h2 = h2_connect(db->main, follower->address,
			    follower->port, &follower_ops, follower);
			continue;
		}
		follower_send(follower);
	}
}
