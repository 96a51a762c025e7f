#include "fakedb.h"

#include <errno.h>

/*
 * Replication of fakedb: the primary sends its log to each follower, which
 * truncates the entries that differ from the primary's.
 */

#define APPEND_ENTRIES_MAX 500
#define RECONNECT_MS 50
#define APPEND_TIMEOUT_MS 500

static void on_follower_closed(void *, int32_t);

/*
 * Disconnect from a follower and free it.
 */
void
follower_free(gpointer p)
{
	follower_t *follower = p;

	h2_free(follower->h2);
	source_clear(&follower->retry_timer);
	g_free(follower->address);
	g_free(follower);
}

/*
 * Handle POST /append: append entries from the primary of a term.  They are
 * accepted if the term is not older than the promised one and the entry before
 * the first new entry has the same term on both sides.
 */
void
on_append(db_client_t *client, int32_t stream, arena_t *arena,
    const ProtobufCMessage *message)
{
	const Bp__AppendAsk *request = (const Bp__AppendAsk *)message;
	db_t *db = client->db;
	Bp__AppendAnswer out = BP__APPEND_ANSWER__INIT;
	uint64_t index = request->before;
	uint32_t i, j;

	if (db->replication_blocked) {
		h2_discard_all(client->h2);
		arena_free(arena);
		return;
	}
	if (request->term >= db->promised_term) {
		if (request->term > db->promised_term)
			db->primary = false;
		db->promised_term = request->term;
		out.accepted = index == 0 ||
		    (index <= db->log->len &&
			((db_log_entry_t *)g_ptr_array_index(
			     db->log, index - 1))
				->term == request->before_term);
	}
	for (i = 0; out.accepted && i < request->n_entries; i++, index++) {
		Bp__LogEntry *in = request->entries[i];
		db_log_entry_t *entry;

		if (index < db->log->len &&
		    ((db_log_entry_t *)g_ptr_array_index(db->log, index))
			    ->term == in->term)
			continue;
		if (index < db->log->len)
			db_log_truncate(db, index);
		entry =
		    db_log_entry_new(in->term, in->statement, in->request_id);
		for (j = 0; j < in->n_writes; j++)
			g_ptr_array_add(entry->writes, g_strdup(in->writes[j]));
		db_log_append(db, entry);
	}
	/* also drop entries of an older primary after the last new entry */
	if (out.accepted && db_log_last_term(db) != request->term &&
	    db->log->len > request->before + request->n_entries)
		db_log_truncate(db, request->before + request->n_entries);
	out.promised = db->promised_term;
	out.position = db->log->len;
	send_answer(client, stream, &out.base);
	arena_free(arena);
}

/*
 * Retry a follower after the replication lag, the reconnection delay or the
 * append timeout.
 */
static gboolean
on_follower_retry(gpointer data)
{
	follower_t *follower = data;

	source_clear(&follower->retry_timer);
	replicate(follower->db);
	return G_SOURCE_REMOVE;
}

/*
 * Schedule the next attempt for a follower, unless one is scheduled.
 */
static void
follower_schedule_retry(follower_t *follower, uint32_t delay_ms)
{
	if (follower->retry_timer != NULL)
		return;
	follower->retry_timer = g_timeout_source_new(delay_ms);
	g_source_set_callback(
	    follower->retry_timer, on_follower_retry, follower, NULL);
	g_source_attach(follower->retry_timer, follower->db->main_context);
}

/*
 * Handle the opening of the connection to a follower: start to replicate.
 */
static void
on_follower_open(void *context)
{
	follower_t *follower = context;

	follower->connected = true;
	replicate(follower->db);
}

/*
 * Handle a follower's answer to an append.  A higher promised term ends this
 * primary's term; a refused append moves next_index back in the log to find the
 * last common entry.
 */
static void
on_follower_answer(void *context, int32_t stream, uint32_t status,
    const char *body, uint32_t size_bytes)
{
	follower_t *follower = context;
	arena_t *arena = arena_new();
	input_errors_t errors = {arena, NULL, 0, NULL};
	Bp__AppendAnswer *in = (Bp__AppendAnswer *)json_read(
	    arena, &bp__append_answer__descriptor, body, size_bytes, &errors);
	db_t *db = follower->db;

	(void)stream;
	(void)status;
	follower->append_pending = false;
	if (in != NULL && in->promised > db->promised_term) {
		db->promised_term = in->promised;
		db->primary = false;
	} else if (in != NULL && in->accepted) {
		follower->next_index = MAX(follower->next_index, in->position);
		follower->next_index = MIN(follower->next_index, db->log->len);
	} else if (in != NULL && follower->next_index > 0) {
		follower->next_index =
		    MIN(follower->next_index - 1, in->position);
	}
	arena_free(arena);
	replicate(db);
}

/*
 * Handle the loss of the connection to a follower: reconnect after a delay.
 */
static void
on_follower_closed(void *context, int32_t error)
{
	follower_t *follower = context;

	(void)error;
	h2_free(follower->h2);
	follower->h2 = NULL;
	follower->connected = follower->append_pending = false;
	follower_schedule_retry(follower, RECONNECT_MS);
}

static const h2_ops_t follower_ops = {
    on_follower_open, on_follower_answer, NULL, NULL, on_follower_closed};

/*
 * Send a follower the next entries that are older than the replication lag,
 * unless an append is unanswered.
 */
static void
follower_send(follower_t *follower)
{
	db_t *db = follower->db;
	arena_t *arena;
	Bp__AppendAsk *request;
	uint64_t size_bytes, index;
	char *body;

	if (!follower->connected || follower->append_pending)
		return;
	arena = arena_new();
	request =
	    (Bp__AppendAsk *)message_new(arena, &bp__append_ask__descriptor);
	request->term = db->promised_term;
	request->before = follower->next_index;
	if (request->before > 0)
		request->before_term = ((db_log_entry_t *)g_ptr_array_index(
					    db->log, request->before - 1))
					   ->term;
	request->entries = arena_zalloc(
	    arena, sizeof(request->entries[0]) * APPEND_ENTRIES_MAX);
	for (index = request->before;
	     index < db->log->len && request->n_entries < APPEND_ENTRIES_MAX;
	     index++) {
		db_log_entry_t *entry = g_ptr_array_index(db->log, index);
		int64_t wait_ms = entry->appended_ms + db->lag_ms - clock_ms();
		Bp__LogEntry *out;

		if (db->lag_ms > 0 && wait_ms > 0) {
			follower_schedule_retry(follower, (uint32_t)wait_ms);
			break;
		}
		out = (Bp__LogEntry *)message_new(
		    arena, &bp__log_entry__descriptor);
		out->term = entry->term;
		out->statement = entry->statement;
		out->request_id = entry->request_id;
		out->n_writes = entry->writes->len;
		out->writes = (char **)entry->writes->pdata;
		request->entries[request->n_entries++] = out;
	}
	if (request->n_entries > 0) {
		body = json_write(arena, &request->base, &size_bytes);
		follower->append_pending = true;
		follower->append_sent_ms = clock_ms();
		follower_schedule_retry(follower, APPEND_TIMEOUT_MS);
		h2_submit_request(
		    follower->h2, "/append", body, (uint32_t)size_bytes);
	}
	arena_free(arena);
}

/*
 * Send every follower the entries that it lacks.  Connects to those that are
 * not connected and closes connections whose append has timed out.
 */
void
replicate(db_t *db)
{
	uint32_t i;

	if (!db->primary || db->replication_blocked)
		return;
	for (i = 0; i < db->followers->len; i++) {
		follower_t *follower = g_ptr_array_index(db->followers, i);

		if (follower->append_pending &&
		    clock_ms() - follower->append_sent_ms >= APPEND_TIMEOUT_MS)
			on_follower_closed(follower, -ETIMEDOUT);
		if (follower->h2 == NULL) {
			follower->h2 =
			    h2_connect(db->main_context, follower->address,
				follower->port, &follower_ops, follower);
			continue;
		}
		follower_send(follower);
	}
}
