#include "history.h"

#include <string.h>

#define REPORT_LINES_MAX 20

const char *const violation_names[VIOLATION_KINDS] = {
    [VIOLATION_LOST_WRITE] = "acknowledged write lost",
    [VIOLATION_NON_MONOTONIC_SESSION] = "non-monotonic session read",
    [VIOLATION_STALE_READ] = "read beyond its maximum age",
    [VIOLATION_DUPLICATE_EXECUTION] = "executed twice",
    [VIOLATION_REFUSED_BUT_EXECUTED] = "refused but executed",
    [VIOLATION_WRONG_ANSWER] = "answer to another request",
    [VIOLATION_PARTIAL_TRANSACTION] = "partial transaction",
    [VIOLATION_FOREIGN_TRANSACTION] = "ran in another's transaction",
    [VIOLATION_NON_MONOTONIC_VERSION] = "document version decreased",
};

/*
 * The first and last entry of a final log that write a value.  A write that
 * its document declares repeatable may have been executed more than once.
 */
typedef struct log_range {
	uint64_t first; /* entry_order() of the first entry */
	uint64_t last;  /* entry_order() of the last entry */
} log_range_t;

/*
 * Entries by the value that they write.  A group's final log is the log of the
 * database that is primary at the end of the run.
 */
typedef struct log_index {
	GHashTable *ranges; /* log_range_t of each value in a final log */
	GHashTable *executed_values; /* values of all entries, dropped too */
} log_index_t;

/*
 * Free an operation.
 */
static void
operation_free(gpointer p)
{
	operation_t *op = p;

	g_free(op->key);
	g_free(op->value);
	g_free(op->request_id);
	g_free(op);
}

/*
 * Free a log entry.
 */
static void
executed_entry_free(gpointer p)
{
	executed_entry_t *entry = p;

	g_free(entry->key);
	g_free(entry->value);
	g_free(entry->request_id);
	g_free(entry);
}

/*
 * Make an empty history.
 */
history_t *
history_new(void)
{
	history_t *history = g_new0(history_t, 1);

	history->operations = g_ptr_array_new_with_free_func(operation_free);
	history->executed_entries =
	    g_ptr_array_new_with_free_func(executed_entry_free);
	history->observed_versions = g_ptr_array_new_with_free_func(g_free);
	return history;
}

/*
 * Free a history.
 */
void
history_free(history_t *history)
{
	g_ptr_array_unref(history->operations);
	g_ptr_array_unref(history->executed_entries);
	g_ptr_array_unref(history->observed_versions);
	g_free(history);
}

/*
 * Add an operation, which the caller fills in.
 */
operation_t *
history_add_operation(history_t *history)
{
	operation_t *op = g_new0(operation_t, 1);

	g_ptr_array_add(history->operations, op);
	return op;
}

/*
 * Add a log entry, which the caller fills in.
 */
executed_entry_t *
history_add_entry(history_t *history)
{
	executed_entry_t *entry = g_new0(executed_entry_t, 1);

	g_ptr_array_add(history->executed_entries, entry);
	return entry;
}

/*
 * Add a document version seen in force, which the caller fills in.
 */
observed_version_t *
history_add_version(history_t *history)
{
	observed_version_t *seen = g_new0(observed_version_t, 1);

	g_ptr_array_add(history->observed_versions, seen);
	return seen;
}

/*
 * Add the log of one database.
 */
void
history_add_log(history_t *history, const char *group, uint32_t database,
    bool primary, const Bp__RanLog *log)
{
	size_t i;

	history->foreign_statements += log->mixed;
	for (i = 0; i < log->n_ran; i++) {
		const Bp__RanEntry *entry = log->ran[i];
		executed_entry_t *added = history_add_entry(history);
		char **words = g_strsplit(entry->statement, " ", 3);

		added->group = group;
		added->database = database;
		added->term = entry->term;
		added->position = entry->position;
		added->request_id = g_strdup(entry->request_id);
		added->dropped = entry->dropped;
		added->in_final_log = primary && !entry->dropped;
		added->key = g_strdup(words[1]);
		added->value = g_strdup(words[2]);
		g_strfreev(words);
	}
}

/*
 * Count a violation.  The first REPORT_LINES_MAX also get a line of text.
 */
static void G_GNUC_PRINTF(3, 4) report_violation(
    violations_t *violations, violation_kind_t kind, const char *format, ...)
{
	uint32_t i, total = 0;
	va_list ap;

	violations->counts[kind]++;
	for (i = 0; i < VIOLATION_KINDS; i++)
		total += violations->counts[i];
	if (total > REPORT_LINES_MAX)
		return;
	g_string_append_printf(violations->text, "%s: ", violation_names[kind]);
	va_start(ap, format);
	g_string_append_vprintf(violations->text, format, ap);
	va_end(ap);
	g_string_append_c(violations->text, '\n');
}

/*
 * Return a number that orders the entries of a log.  The index i of the entry
 * orders the entries of one position.
 */
static uint64_t
entry_order(const executed_entry_t *entry, uint32_t i)
{
	return entry->position << 32 | i;
}

/*
 * Index the log entries of a history by the value that they write.
 */
static void
log_index_build(log_index_t *logs, const history_t *history)
{
	uint32_t i;

	logs->ranges =
	    g_hash_table_new_full(g_str_hash, g_str_equal, NULL, g_free);
	logs->executed_values = g_hash_table_new(g_str_hash, g_str_equal);
	for (i = 0; i < history->executed_entries->len; i++) {
		executed_entry_t *entry =
		    g_ptr_array_index(history->executed_entries, i);
		uint64_t order = entry_order(entry, i);
		log_range_t *range;

		g_hash_table_add(logs->executed_values, entry->value);
		if (!entry->in_final_log)
			continue;
		range = g_hash_table_lookup(logs->ranges, entry->value);
		if (range == NULL) {
			range = g_new0(log_range_t, 1);
			range->first = order;
			g_hash_table_insert(logs->ranges, entry->value, range);
		}
		range->first = MIN(range->first, order);
		range->last = MAX(range->last, order);
	}
}

/*
 * Tell whether a read value is certainly older than a known one: its last
 * entry comes before the first entry of the known one.  NULL stands for a key
 * without a value, which is older than any value.
 */
static bool
range_before(const log_range_t *read_range, const log_range_t *known)
{
	if (known == NULL)
		return false;
	return read_range == NULL || read_range->last < known->first;
}

/*
 * Tell whether a value is certainly newer than the newest known one.
 */
static bool
range_after(const log_range_t *range, const log_range_t *known)
{
	return range != NULL && (known == NULL || range->first > known->first);
}

/*
 * Check that each acknowledged write is in a final log, and that no database
 * has executed a refused write.
 */
static void
check_writes(
    const history_t *history, const log_index_t *logs, violations_t *violations)
{
	uint32_t i;

	for (i = 0; i < history->operations->len; i++) {
		operation_t *op = g_ptr_array_index(history->operations, i);
		const log_range_t *range;

		if (!op->is_write || op->value == NULL || !op->answered)
			continue;
		range = g_hash_table_lookup(logs->ranges, op->value);
		if (op->outcome == BP__OUTCOME__DONE && range == NULL)
			report_violation(violations, VIOLATION_LOST_WRITE,
			    "%s (term %" G_GUINT64_FORMAT
			    ", position %" G_GUINT64_FORMAT ")",
			    op->value, op->term, op->position);
		if (op->outcome == BP__OUTCOME__NOT_RUN && op->attempt == 0 &&
		    g_hash_table_contains(logs->executed_values, op->value))
			report_violation(violations,
			    VIOLATION_REFUSED_BUT_EXECUTED, "%s", op->value);
	}
}

/*
 * Check that no request id occurs twice with the same value in the final log
 * of a group.
 */
static void
check_duplicates(const history_t *history, violations_t *violations)
{
	GHashTable *seen =
	    g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL);
	uint32_t i;

	for (i = 0; i < history->executed_entries->len; i++) {
		executed_entry_t *entry =
		    g_ptr_array_index(history->executed_entries, i);
		char *id;

		if (!entry->in_final_log || entry->request_id == NULL)
			continue;
		id = g_strdup_printf(
		    "%s %s %s", entry->group, entry->request_id, entry->value);
		if (!g_hash_table_add(seen, id))
			report_violation(violations,
			    VIOLATION_DUPLICATE_EXECUTION, "request id %s",
			    entry->request_id);
	}
	g_hash_table_unref(seen);
}

/*
 * An acknowledged write, and the newest value of its key that had been
 * acknowledged by then.
 */
typedef struct acked_write {
	int64_t acked_us;
	const log_range_t *newest;
} acked_write_t;

/*
 * Compare acknowledged writes by the time of their acknowledgement.
 */
static gint
acked_write_compare(gconstpointer a, gconstpointer b)
{
	int64_t x = ((const acked_write_t *)a)->acked_us;
	int64_t y = ((const acked_write_t *)b)->acked_us;

	return (x > y) - (x < y);
}

/*
 * List the acknowledged writes of each key in the order of acknowledgement,
 * each with the newest value of the key that had been acknowledged by then.
 */
static GHashTable *
acked_writes_by_key(const history_t *history, const log_index_t *logs)
{
	GHashTable *keys = g_hash_table_new_full(
	    g_str_hash, g_str_equal, NULL, (GDestroyNotify)g_array_unref);
	GHashTableIter iter;
	gpointer value;
	uint32_t i;

	for (i = 0; i < history->operations->len; i++) {
		operation_t *op = g_ptr_array_index(history->operations, i);
		acked_write_t write = {op->completed_us, NULL};
		GArray *list;

		if (!op->is_write || op->value == NULL || !op->answered ||
		    op->outcome != BP__OUTCOME__DONE)
			continue;
		write.newest = g_hash_table_lookup(logs->ranges, op->value);
		list = g_hash_table_lookup(keys, op->key);
		if (list == NULL) {
			list = g_array_new(FALSE, FALSE, sizeof(acked_write_t));
			g_hash_table_insert(keys, op->key, list);
		}
		g_array_append_val(list, write);
	}
	g_hash_table_iter_init(&iter, keys);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		GArray *list = value;

		g_array_sort(list, acked_write_compare);
		for (i = 1; i < list->len; i++) {
			acked_write_t *write =
			    &g_array_index(list, acked_write_t, i);

			if (!range_after(write->newest, (write - 1)->newest))
				write->newest = (write - 1)->newest;
		}
	}
	return keys;
}

/*
 * Return the newest value of a key acknowledged before a time, or NULL.
 */
static const log_range_t *
newest_acked_before(GHashTable *keys, const char *key, int64_t before_us)
{
	GArray *list = g_hash_table_lookup(keys, key);
	uint32_t low = 0, high = list == NULL ? 0 : list->len;

	while (low < high) {
		uint32_t middle = (low + high) / 2;

		if (g_array_index(list, acked_write_t, middle).acked_us <
		    before_us)
			low = middle + 1;
		else
			high = middle;
	}
	return low == 0 ? NULL
			: g_array_index(list, acked_write_t, low - 1).newest;
}

/*
 * Check that each read returned a value of its key, and that no newer value
 * had been acknowledged longer than the read's maximum age before the read was
 * sent.
 */
static void
check_reads(
    const history_t *history, const log_index_t *logs, violations_t *violations)
{
	GHashTable *keys = acked_writes_by_key(history, logs);
	uint32_t i;

	for (i = 0; i < history->operations->len; i++) {
		operation_t *op = g_ptr_array_index(history->operations, i);
		const log_range_t *read_range, *needed;
		char *prefix;

		if (op->is_write || !op->answered ||
		    op->outcome != BP__OUTCOME__DONE)
			continue;
		prefix = g_strconcat(op->key, "=", NULL);
		if (op->value != NULL && !g_str_has_prefix(op->value, prefix))
			report_violation(violations, VIOLATION_WRONG_ANSWER,
			    "asked for %s, got %s", op->key, op->value);
		g_free(prefix);
		read_range = op->value == NULL
		    ? NULL
		    : g_hash_table_lookup(logs->ranges, op->value);
		if (op->value != NULL && read_range == NULL &&
		    op->max_age_us > 0)
			continue; /* an unacknowledged write, dropped since */
		needed = newest_acked_before(
		    keys, op->key, op->invoked_us - op->max_age_us);
		if (range_before(read_range, needed))
			report_violation(violations, VIOLATION_STALE_READ,
			    "%s read as %s, older than its maximum age",
			    op->key, op->value == NULL ? "none" : op->value);
	}
	g_hash_table_unref(keys);
}

/*
 * Check that no read of a session is older than a value that the session has
 * already written or read.
 */
static void
check_sessions(
    const history_t *history, const log_index_t *logs, violations_t *violations)
{
	GHashTable *newest =
	    g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL);
	uint32_t i;

	for (i = 0; i < history->operations->len; i++) {
		operation_t *op = g_ptr_array_index(history->operations, i);
		const log_range_t *known, *range;
		char *session_key;

		if (!op->answered || op->outcome != BP__OUTCOME__DONE ||
		    (op->is_write && op->value == NULL))
			continue;
		session_key = g_strdup_printf("%u %s", op->session, op->key);
		known = g_hash_table_lookup(newest, session_key);
		range = op->value == NULL
		    ? NULL
		    : g_hash_table_lookup(logs->ranges, op->value);
		if (!op->is_write && !(op->value != NULL && range == NULL) &&
		    range_before(range, known))
			report_violation(violations,
			    VIOLATION_NON_MONOTONIC_SESSION,
			    "session %u read %s of %s", op->session,
			    op->value == NULL ? "none" : op->value, op->key);
		if (range_after(range, known))
			g_hash_table_replace(
			    newest, session_key, (gpointer)range);
		else
			g_free(session_key);
	}
	g_hash_table_unref(newest);
}

/*
 * Check that all writes of a transaction are in the final log, or none.
 */
static void
check_transactions(
    const history_t *history, const log_index_t *logs, violations_t *violations)
{
	GHashTable *seen = g_hash_table_new(NULL, NULL);
	uint32_t i;

	for (i = 0; i < history->operations->len; i++) {
		operation_t *op = g_ptr_array_index(history->operations, i);
		gpointer key = GUINT_TO_POINTER(op->transaction), first_present;
		bool present;

		if (op->transaction == 0 || !op->is_write || op->value == NULL)
			continue;
		present = g_hash_table_contains(logs->ranges, op->value);
		if (!g_hash_table_lookup_extended(
			seen, key, NULL, &first_present))
			g_hash_table_insert(
			    seen, key, GINT_TO_POINTER(present));
		else if (GPOINTER_TO_INT(first_present) != present)
			report_violation(violations,
			    VIOLATION_PARTIAL_TRANSACTION, "transaction %u",
			    op->transaction);
	}
	g_hash_table_unref(seen);
}

/*
 * Check that the version of a document in force on a daemon never decreases
 * within an incarnation of the daemon.
 */
static void
check_document_versions(const history_t *history, violations_t *violations)
{
	GHashTable *previous =
	    g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL);
	uint32_t i;

	for (i = 0; i < history->observed_versions->len; i++) {
		observed_version_t *seen =
		    g_ptr_array_index(history->observed_versions, i);
		char *document = g_strdup_printf("%u %" G_GUINT64_FORMAT " %s",
		    seen->daemon, seen->incarnation, seen->team);
		uint64_t previous_version =
		    GPOINTER_TO_SIZE(g_hash_table_lookup(previous, document));

		if (seen->version < previous_version)
			report_violation(violations,
			    VIOLATION_NON_MONOTONIC_VERSION,
			    "daemon %u, %s: %" G_GUINT64_FORMAT
			    " after %" G_GUINT64_FORMAT,
			    seen->daemon, seen->team, seen->version,
			    previous_version);
		g_hash_table_replace(
		    previous, document, GSIZE_TO_POINTER(seen->version));
	}
	g_hash_table_unref(previous);
}

/*
 * Check a history.  Returns the number of violations.  The caller zeroes
 * violations beforehand, and frees its text.
 */
uint32_t
history_check(const history_t *history, violations_t *violations)
{
	log_index_t logs;
	uint32_t i, total = 0;

	violations->text = g_string_new(NULL);
	log_index_build(&logs, history);
	check_writes(history, &logs, violations);
	check_duplicates(history, violations);
	check_reads(history, &logs, violations);
	check_sessions(history, &logs, violations);
	check_transactions(history, &logs, violations);
	check_document_versions(history, violations);
	if (history->foreign_statements > 0)
		report_violation(violations, VIOLATION_FOREIGN_TRANSACTION,
		    "%" G_GUINT64_FORMAT " statements",
		    history->foreign_statements);
	g_hash_table_unref(logs.ranges);
	g_hash_table_unref(logs.executed_values);
	for (i = 0; i < VIOLATION_KINDS; i++)
		total += violations->counts[i];
	return total;
}
