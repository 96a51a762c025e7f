#include "history.h"

#include <string.h>

#define LINES_MAX 20

const char *const violation_names[VIOLATION_KINDS] = {
    [VIOLATION_LOST_WRITE] = "acknowledged write lost",
    [VIOLATION_STALE_SESSION] = "stale read in a session",
    [VIOLATION_STALE_READ] = "read older than it may be",
    [VIOLATION_DOUBLE_RUN] = "ran twice",
    [VIOLATION_REFUSED_BUT_RAN] = "refused but ran",
    [VIOLATION_WRONG_ANSWER] = "another caller's answer",
    [VIOLATION_HALF_TRANSACTION] = "half a transaction",
    [VIOLATION_MIXED] = "met another's transaction",
    [VIOLATION_DOCUMENT_BACK] = "older document after newer",
};

/*
 * Where a value stands in the log of the last primary.  A write that its
 * document declares repeatable may stand there more than once.
 */
typedef struct place {
	uint64_t first; /* order in the log */
	uint64_t last;
} place_t;

/* The log of the last primaries, by value. */
typedef struct logs {
	GHashTable *places; /* of place_t */
	GHashTable *any;    /* values that any database ran, dropped or not */
} logs_t;

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
 * Free an entry.
 */
static void
ran_free(gpointer p)
{
	ran_entry_t *ran = p;

	g_free(ran->key);
	g_free(ran->value);
	g_free(ran->request_id);
	g_free(ran);
}

/*
 * Make an empty history.
 */
history_t *
history_new(void)
{
	history_t *history = g_new0(history_t, 1);

	history->operations = g_ptr_array_new_with_free_func(operation_free);
	history->ran = g_ptr_array_new_with_free_func(ran_free);
	history->versions = g_ptr_array_new_with_free_func(g_free);
	return history;
}

/*
 * Free a history.
 */
void
history_free(history_t *history)
{
	g_ptr_array_unref(history->operations);
	g_ptr_array_unref(history->ran);
	g_ptr_array_unref(history->versions);
	g_free(history);
}

/*
 * Add an operation, to be filled in.
 */
operation_t *
history_operation(history_t *history)
{
	operation_t *op = g_new0(operation_t, 1);

	g_ptr_array_add(history->operations, op);
	return op;
}

/*
 * Add an entry, to be filled in.
 */
ran_entry_t *
history_ran_one(history_t *history)
{
	ran_entry_t *ran = g_new0(ran_entry_t, 1);

	g_ptr_array_add(history->ran, ran);
	return ran;
}

/*
 * Add a version, to be filled in.
 */
version_seen_t *
history_version(history_t *history)
{
	version_seen_t *seen = g_new0(version_seen_t, 1);

	g_ptr_array_add(history->versions, seen);
	return seen;
}

/*
 * Add what one database ran.
 */
void
history_ran(history_t *history, const char *group, uint32_t database,
    bool primary, const Bp__RanLog *log)
{
	size_t i;

	history->mixed += log->mixed;
	for (i = 0; i < log->n_ran; i++) {
		const Bp__RanEntry *from = log->ran[i];
		ran_entry_t *to = history_ran_one(history);
		char **word = g_strsplit(from->statement, " ", 3);

		to->group = group;
		to->database = database;
		to->term = from->term;
		to->position = from->position;
		to->request_id = g_strdup(from->request_id);
		to->dropped = from->dropped;
		to->on_primary = primary && !from->dropped;
		to->key = g_strdup(word[1]);
		to->value = g_strdup(word[2]);
		g_strfreev(word);
	}
}

/*
 * Note a violation, with a line for the first few.
 */
static void G_GNUC_PRINTF(3, 4) violate(
    violations_t *violations, violation_kind_t kind, const char *format, ...)
{
	uint32_t i, total = 0;
	va_list ap;

	violations->counts[kind]++;
	for (i = 0; i < VIOLATION_KINDS; i++)
		total += violations->counts[i];
	if (total > LINES_MAX)
		return;
	g_string_append_printf(violations->text, "%s: ", violation_names[kind]);
	va_start(ap, format);
	g_string_append_vprintf(violations->text, format, ap);
	va_end(ap);
	g_string_append_c(violations->text, '\n');
}

/*
 * The order of an entry in its log; i tells apart those of one position.
 */
static uint64_t
order_of(const ran_entry_t *ran, uint32_t i)
{
	return ran->position << 32 | i;
}

/*
 * Index what ran by its value.
 */
static void
logs_fill(logs_t *logs, const history_t *history)
{
	uint32_t i;

	logs->places =
	    g_hash_table_new_full(g_str_hash, g_str_equal, NULL, g_free);
	logs->any = g_hash_table_new(g_str_hash, g_str_equal);
	for (i = 0; i < history->ran->len; i++) {
		ran_entry_t *ran = g_ptr_array_index(history->ran, i);
		uint64_t order = order_of(ran, i);
		place_t *place;

		g_hash_table_add(logs->any, ran->value);
		if (!ran->on_primary)
			continue;
		place = g_hash_table_lookup(logs->places, ran->value);
		if (place == NULL) {
			place = g_new0(place_t, 1);
			place->first = order;
			g_hash_table_insert(logs->places, ran->value, place);
		}
		place->first = MIN(place->first, order);
		place->last = MAX(place->last, order);
	}
}

/*
 * Whether what was read is certainly older than what is known: its last run
 * comes before the known one's first.  NULL comes before all.
 */
static bool
place_older(const place_t *got, const place_t *known)
{
	if (known == NULL)
		return false;
	return got == NULL || got->last < known->first;
}

/*
 * Whether a place is certainly newer than the newest known so far.
 */
static bool
place_newer(const place_t *place, const place_t *known)
{
	return place != NULL && (known == NULL || place->first > known->first);
}

/*
 * Writes: what was acknowledged is there, in the term it was acknowledged
 * in; what was refused ran nowhere.
 */
static void
check_writes(
    const history_t *history, const logs_t *logs, violations_t *violations)
{
	uint32_t i;

	for (i = 0; i < history->operations->len; i++) {
		operation_t *op = g_ptr_array_index(history->operations, i);
		const place_t *place;

		if (!op->write || op->value == NULL || !op->answered)
			continue;
		place = g_hash_table_lookup(logs->places, op->value);
		if (op->outcome == BP__OUTCOME__DONE && place == NULL)
			violate(violations, VIOLATION_LOST_WRITE,
			    "%s (term %" G_GUINT64_FORMAT
			    ", position %" G_GUINT64_FORMAT ")",
			    op->value, op->term, op->position);
		if (op->outcome == BP__OUTCOME__NOT_RUN && op->attempt == 0 &&
		    g_hash_table_contains(logs->any, op->value))
			violate(violations, VIOLATION_REFUSED_BUT_RAN, "%s",
			    op->value);
	}
}

/*
 * Request ids: none stands twice in the log of a last primary.
 */
static void
check_double_runs(const history_t *history, violations_t *violations)
{
	GHashTable *seen =
	    g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL);
	uint32_t i;

	for (i = 0; i < history->ran->len; i++) {
		ran_entry_t *ran = g_ptr_array_index(history->ran, i);
		char *id;

		if (!ran->on_primary || ran->request_id == NULL)
			continue;
		id = g_strdup_printf(
		    "%s %s %s", ran->group, ran->request_id, ran->value);
		if (!g_hash_table_add(seen, id))
			violate(violations, VIOLATION_DOUBLE_RUN,
			    "request id %s", ran->request_id);
	}
	g_hash_table_unref(seen);
}

/* The newest place of a key that somebody may rely on. */
typedef struct known {
	int64_t answered_us;
	const place_t *place;
} known_t;

/*
 * Order acknowledged writes by the time they were acknowledged.
 */
static gint
known_compare(gconstpointer a, gconstpointer b)
{
	int64_t x = ((const known_t *)a)->answered_us;
	int64_t y = ((const known_t *)b)->answered_us;

	return (x > y) - (x < y);
}

/*
 * The acknowledged writes of every key, each with the newest place up to
 * then, in the order of their acknowledgement.
 */
static GHashTable *
acknowledged(const history_t *history, const logs_t *logs)
{
	GHashTable *keys = g_hash_table_new_full(
	    g_str_hash, g_str_equal, NULL, (GDestroyNotify)g_array_unref);
	GHashTableIter iter;
	gpointer value;
	uint32_t i;

	for (i = 0; i < history->operations->len; i++) {
		operation_t *op = g_ptr_array_index(history->operations, i);
		known_t known = {op->answered_us, NULL};
		GArray *list;

		if (!op->write || op->value == NULL || !op->answered ||
		    op->outcome != BP__OUTCOME__DONE)
			continue;
		known.place = g_hash_table_lookup(logs->places, op->value);
		list = g_hash_table_lookup(keys, op->key);
		if (list == NULL) {
			list = g_array_new(FALSE, FALSE, sizeof(known_t));
			g_hash_table_insert(keys, op->key, list);
		}
		g_array_append_val(list, known);
	}
	g_hash_table_iter_init(&iter, keys);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		GArray *list = value;

		g_array_sort(list, known_compare);
		for (i = 1; i < list->len; i++) {
			known_t *at = &g_array_index(list, known_t, i);

			if (!place_newer(at->place, (at - 1)->place))
				at->place = (at - 1)->place;
		}
	}
	return keys;
}

/*
 * The newest place of a key that was acknowledged before a time, or NULL.
 */
static const place_t *
acknowledged_before(GHashTable *keys, const char *key, int64_t before_us)
{
	GArray *list = g_hash_table_lookup(keys, key);
	uint32_t low = 0, high = list == NULL ? 0 : list->len;

	while (low < high) {
		uint32_t middle = (low + high) / 2;

		if (g_array_index(list, known_t, middle).answered_us <
		    before_us)
			low = middle + 1;
		else
			high = middle;
	}
	return low == 0 ? NULL : g_array_index(list, known_t, low - 1).place;
}

/*
 * Reads: of the right key, and no older than their kind allows.
 */
static void
check_reads(
    const history_t *history, const logs_t *logs, violations_t *violations)
{
	GHashTable *keys = acknowledged(history, logs);
	uint32_t i;

	for (i = 0; i < history->operations->len; i++) {
		operation_t *op = g_ptr_array_index(history->operations, i);
		const place_t *got, *needed;
		char *prefix;

		if (op->write || !op->answered ||
		    op->outcome != BP__OUTCOME__DONE)
			continue;
		prefix = g_strconcat(op->key, "=", NULL);
		if (op->value != NULL && !g_str_has_prefix(op->value, prefix))
			violate(violations, VIOLATION_WRONG_ANSWER,
			    "asked for %s, got %s", op->key, op->value);
		g_free(prefix);
		got = op->value == NULL
		    ? NULL
		    : g_hash_table_lookup(logs->places, op->value);
		if (op->value != NULL && got == NULL && op->max_age_us > 0)
			continue; /* a write that nobody acknowledged */
		needed = acknowledged_before(
		    keys, op->key, op->asked_us - op->max_age_us);
		if (place_older(got, needed))
			violate(violations, VIOLATION_STALE_READ,
			    "%s gave %s, which may not be that old", op->key,
			    op->value == NULL ? "none" : op->value);
	}
	g_hash_table_unref(keys);
}

/*
 * Sessions: a read is never older than what the session was already told.
 */
static void
check_sessions(
    const history_t *history, const logs_t *logs, violations_t *violations)
{
	GHashTable *newest =
	    g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL);
	uint32_t i;

	for (i = 0; i < history->operations->len; i++) {
		operation_t *op = g_ptr_array_index(history->operations, i);
		const place_t *known, *place;
		char *at;

		if (!op->answered || op->outcome != BP__OUTCOME__DONE ||
		    (op->write && op->value == NULL))
			continue;
		at = g_strdup_printf("%u %s", op->session, op->key);
		known = g_hash_table_lookup(newest, at);
		place = op->value == NULL
		    ? NULL
		    : g_hash_table_lookup(logs->places, op->value);
		if (!op->write && !(op->value != NULL && place == NULL) &&
		    place_older(place, known))
			violate(violations, VIOLATION_STALE_SESSION,
			    "session %u read %s of %s", op->session,
			    op->value == NULL ? "none" : op->value, op->key);
		if (place_newer(place, known))
			g_hash_table_replace(newest, at, (gpointer)place);
		else
			g_free(at);
	}
	g_hash_table_unref(newest);
}

/*
 * Transactions: all of one's writes are there, or none.
 */
static void
check_transactions(
    const history_t *history, const logs_t *logs, violations_t *violations)
{
	GHashTable *seen = g_hash_table_new(NULL, NULL);
	uint32_t i;

	for (i = 0; i < history->operations->len; i++) {
		operation_t *op = g_ptr_array_index(history->operations, i);
		gpointer key = GUINT_TO_POINTER(op->transaction), old;
		bool there;

		if (op->transaction == 0 || !op->write || op->value == NULL)
			continue;
		there = g_hash_table_contains(logs->places, op->value);
		if (!g_hash_table_lookup_extended(seen, key, NULL, &old))
			g_hash_table_insert(seen, key, GINT_TO_POINTER(there));
		else if (GPOINTER_TO_INT(old) != there)
			violate(violations, VIOLATION_HALF_TRANSACTION,
			    "transaction %u", op->transaction);
	}
	g_hash_table_unref(seen);
}

/*
 * Documents: none goes back on a daemon.
 */
static void
check_versions(const history_t *history, violations_t *violations)
{
	GHashTable *newest =
	    g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL);
	uint32_t i;

	for (i = 0; i < history->versions->len; i++) {
		version_seen_t *seen = g_ptr_array_index(history->versions, i);
		char *at = g_strdup_printf("%u %" G_GUINT64_FORMAT " %s",
		    seen->daemon, seen->incarnation, seen->team);
		uint64_t old =
		    GPOINTER_TO_SIZE(g_hash_table_lookup(newest, at));

		if (seen->version < old)
			violate(violations, VIOLATION_DOCUMENT_BACK,
			    "daemon %u, %s: %" G_GUINT64_FORMAT
			    " after %" G_GUINT64_FORMAT,
			    seen->daemon, seen->team, seen->version, old);
		g_hash_table_replace(
		    newest, at, GSIZE_TO_POINTER(seen->version));
	}
	g_hash_table_unref(newest);
}

/*
 * Check a whole history.  Returns the number of violations; violations must
 * be zeroed, and its text is the caller's to free.
 */
uint32_t
history_check(const history_t *history, violations_t *violations)
{
	logs_t logs;
	uint32_t i, total = 0;

	violations->text = g_string_new(NULL);
	logs_fill(&logs, history);
	check_writes(history, &logs, violations);
	check_double_runs(history, violations);
	check_reads(history, &logs, violations);
	check_sessions(history, &logs, violations);
	check_transactions(history, &logs, violations);
	check_versions(history, violations);
	if (history->mixed > 0)
		violate(violations, VIOLATION_MIXED,
		    "%" G_GUINT64_FORMAT " statements", history->mixed);
	g_hash_table_unref(logs.places);
	g_hash_table_unref(logs.any);
	for (i = 0; i < VIOLATION_KINDS; i++)
		total += violations->counts[i];
	return total;
}
