#include "fakedb.h"

#include <string.h>

/*
 * The log of fakedb, the key-value table built from it, and the log of
 * executed statements that tests compare with the answers of clients.
 */

/*
 * Return the term of the last log entry, 0 for an empty log.
 */
uint64_t
db_log_last_term(const db_t *db)
{
	db_log_entry_t *entry;

	if (db->log->len == 0)
		return 0;
	entry = g_ptr_array_index(db->log, db->log->len - 1);
	return entry->term;
}

/*
 * Apply one write, "set K V" or "append K V", to the table.
 */
static void
apply_write(db_t *db, const char *write)
{
	char **words = g_strsplit(write, " ", 3);
	uint32_t n = g_strv_length(words);
	const char *old;

	if (n == 3 && strcmp(words[0], "set") == 0) {
		g_hash_table_replace(
		    db->table, g_strdup(words[1]), g_strdup(words[2]));
	} else if (n == 3) {
		old = g_hash_table_lookup(db->table, words[1]);
		g_hash_table_replace(db->table, g_strdup(words[1]),
		    g_strconcat(old == NULL ? "" : old, words[2], ",", NULL));
	}
	g_strfreev(words);
}

/*
 * Append an entry to the log and apply its writes to the table.
 */
void
db_log_append(db_t *db, db_log_entry_t *entry)
{
	uint32_t i;

	g_ptr_array_add(db->log, entry);
	for (i = 0; i < entry->writes->len; i++)
		apply_write(db, g_ptr_array_index(entry->writes, i));
	if (entry->request_id != NULL)
		g_hash_table_replace(db->request_ids,
		    g_strdup(entry->request_id),
		    GUINT_TO_POINTER(db->log->len));
}

/*
 * Truncate the log to a size and rebuild the table from what remains.  The
 * truncated entries are kept for the execution log.
 */
void
db_log_truncate(db_t *db, uint64_t size)
{
	GPtrArray *remaining = g_ptr_array_new();
	uint64_t i;

	for (i = size; i < db->log->len; i++) {
		dropped_entry_t dropped = {
		    g_ptr_array_index(db->log, i), i + 1};

		g_array_append_val(db->dropped_entries, dropped);
	}
	for (i = 0; i < size; i++)
		g_ptr_array_add(remaining, g_ptr_array_index(db->log, i));
	g_ptr_array_set_size(db->log, 0);
	g_hash_table_remove_all(db->table);
	g_hash_table_remove_all(db->request_ids);
	for (i = 0; i < size; i++)
		db_log_append(db, g_ptr_array_index(remaining, i));
	g_ptr_array_unref(remaining);
}

/*
 * Make a log entry, without writes yet.  An entry without a statement only
 * starts a term.
 */
db_log_entry_t *
db_log_entry_new(uint64_t term, const char *statement, const char *request_id)
{
	db_log_entry_t *entry = g_new0(db_log_entry_t, 1);

	entry->term = term;
	entry->statement = g_strdup(statement);
	entry->request_id = g_strdup(request_id);
	entry->writes = g_ptr_array_new_with_free_func(g_free);
	entry->appended_ms = clock_ms();
	return entry;
}

/*
 * Add the writes of one log entry to the execution log.
 */
static void
execution_log_add(Bp__RanLog *log, arena_t *arena, const db_log_entry_t *entry,
    uint64_t position, bool dropped)
{
	uint32_t i;

	for (i = 0; i < entry->writes->len; i++) {
		Bp__RanEntry *out = (Bp__RanEntry *)message_new(
		    arena, &bp__ran_entry__descriptor);

		out->term = entry->term;
		out->position = position;
		out->dropped = dropped;
		out->request_id = entry->request_id;
		out->statement = g_ptr_array_index(entry->writes, i);
		log->ran[log->n_ran++] = out;
	}
}

/*
 * Handle POST /ran: return the execution log, which includes the entries
 * dropped by truncation, and the counters.
 */
void
on_execution_log(db_client_t *client, int32_t stream, arena_t *arena,
    const ProtobufCMessage *message)
{
	db_t *db = client->db;
	Bp__RanLog *out =
	    (Bp__RanLog *)message_new(arena, &bp__ran_log__descriptor);
	uint32_t i, writes = 0;

	(void)message;
	for (i = 0; i < db->log->len; i++)
		writes += ((db_log_entry_t *)g_ptr_array_index(db->log, i))
			      ->writes->len;
	for (i = 0; i < db->dropped_entries->len; i++)
		writes += g_array_index(db->dropped_entries, dropped_entry_t, i)
			      .entry->writes->len;
	out->ran = arena_zalloc(arena, sizeof(out->ran[0]) * (writes + 1));
	for (i = 0; i < db->log->len; i++)
		execution_log_add(
		    out, arena, g_ptr_array_index(db->log, i), i + 1, false);
	for (i = 0; i < db->dropped_entries->len; i++) {
		dropped_entry_t *dropped =
		    &g_array_index(db->dropped_entries, dropped_entry_t, i);

		execution_log_add(
		    out, arena, dropped->entry, dropped->position, true);
	}
	out->connections_highest = db->connections_highest;
	out->slots_highest = db->jobs_highest;
	out->statements = db->statements;
	out->mixed = db->foreign_statements;
	out->status_calls = db->status_calls;
	out->connections_opened = db->connections_opened;
	send_answer(client, stream, &out->base);
	arena_free(arena);
}
