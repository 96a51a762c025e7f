#include "fakedb.h"

#include <string.h>

/* The log of the stand-in, its table of keys, and what ran. */

/*
 * The last entry's term, 0 for an empty log.
 */
uint64_t
last_term(const db_t *db)
{
	entry_t *entry;

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
	char **word = g_strsplit(write, " ", 3);
	uint32_t n = g_strv_length(word);
	const char *old;

	if (n == 3 && strcmp(word[0], "set") == 0) {
		g_hash_table_replace(
		    db->keys, g_strdup(word[1]), g_strdup(word[2]));
	} else if (n == 3) {
		old = g_hash_table_lookup(db->keys, word[1]);
		g_hash_table_replace(db->keys, g_strdup(word[1]),
		    g_strconcat(old == NULL ? "" : old, word[2], ",", NULL));
	}
	g_strfreev(word);
}

/*
 * Put an entry at the end of the log and into the table.
 */
void
log_append(db_t *db, entry_t *entry)
{
	uint32_t i;

	g_ptr_array_add(db->log, entry);
	for (i = 0; i < entry->writes->len; i++)
		apply_write(db, g_ptr_array_index(entry->writes, i));
	if (entry->request_id != NULL)
		g_hash_table_replace(db->ids, g_strdup(entry->request_id),
		    GUINT_TO_POINTER(db->log->len));
}

/*
 * Drop the log from a position on, and build the table anew.
 */
void
log_truncate(db_t *db, uint64_t size)
{
	GPtrArray *kept = g_ptr_array_new();
	uint64_t i;

	for (i = size; i < db->log->len; i++) {
		ran_t ran = {g_ptr_array_index(db->log, i), i + 1};

		g_array_append_val(db->dropped, ran);
	}
	for (i = 0; i < size; i++)
		g_ptr_array_add(kept, g_ptr_array_index(db->log, i));
	g_ptr_array_set_size(db->log, 0);
	g_hash_table_remove_all(db->keys);
	g_hash_table_remove_all(db->ids);
	for (i = 0; i < size; i++)
		log_append(db, g_ptr_array_index(kept, i));
	g_ptr_array_unref(kept);
}

/*
 * Make an entry of the given writes.
 */
entry_t *
entry_new(uint64_t term, const char *statement, const char *request_id)
{
	entry_t *entry = g_new0(entry_t, 1);

	entry->term = term;
	entry->statement = g_strdup(statement);
	entry->request_id = g_strdup(request_id);
	entry->writes = g_ptr_array_new_with_free_func(g_free);
	entry->at_ms = clock_ms();
	return entry;
}

/*
 * Add the writes of one entry to the log of what ran.
 */
static void
ran_add(Bp__RanLog *log, arena_t *arena, const entry_t *entry,
    uint64_t position, bool dropped)
{
	uint32_t i;

	for (i = 0; i < entry->writes->len; i++) {
		Bp__RanEntry *ran = (Bp__RanEntry *)message_new(
		    arena, &bp__ran_entry__descriptor);

		ran->term = entry->term;
		ran->position = position;
		ran->dropped = dropped;
		ran->request_id = entry->request_id;
		ran->statement = g_ptr_array_index(entry->writes, i);
		log->ran[log->n_ran++] = ran;
	}
}

/*
 * POST /ran: what ran here, what was dropped again, and the highest counts.
 */
void
on_ran(client_t *client, int32_t stream, arena_t *arena,
    const ProtobufCMessage *message)
{
	db_t *db = client->db;
	Bp__RanLog *out =
	    (Bp__RanLog *)message_new(arena, &bp__ran_log__descriptor);
	uint32_t i, count = 0;

	(void)message;
	for (i = 0; i < db->log->len; i++)
		count +=
		    ((entry_t *)g_ptr_array_index(db->log, i))->writes->len;
	for (i = 0; i < db->dropped->len; i++)
		count +=
		    g_array_index(db->dropped, ran_t, i).entry->writes->len;
	out->ran = arena_zero(arena, sizeof(out->ran[0]) * (count + 1));
	for (i = 0; i < db->log->len; i++)
		ran_add(
		    out, arena, g_ptr_array_index(db->log, i), i + 1, false);
	for (i = 0; i < db->dropped->len; i++) {
		ran_t *ran = &g_array_index(db->dropped, ran_t, i);

		ran_add(out, arena, ran->entry, ran->position, true);
	}
	out->connections_highest = db->connections_highest;
	out->slots_highest = db->asked_highest;
	out->statements = db->statements;
	out->mixed = db->mixed;
	out->status_calls = db->status_calls;
	out->connections_opened = db->connections_opened;
	answer(client, stream, &out->base);
	arena_free(arena);
}
