#include "document.h"

#include "json.h"

#include <gio/gio.h>
#include <string.h>

#define RANKS 3
#define DATABASES_MAX 9 /* same as GROUP_DATABASES_MAX in decide.h */
#define FLOOR_SUM_MAX_PERCENT 90
#define NAME_BYTES_MAX 64

/*
 * While membership is disputed, up to this many daemons may each consider
 * themselves the owner of a group and open their share of the connections.
 */
#define CONCURRENT_OWNERS_MAX 3

/*
 * Tell whether a name has 1 to NAME_BYTES_MAX letters, digits, '-', '_' or '.'.
 */
static bool
name_is_valid(const char *name)
{
	const char *p;

	for (p = name; *p != '\0'; p++) {
		if (!g_ascii_isalnum(*p) && strchr("-_.", *p) == NULL)
			return false;
	}
	return p != name && p - name <= NAME_BYTES_MAX;
}

/*
 * Report an error unless the name is valid.
 */
static void
check_name(
    input_errors_t *errors, uint32_t line, const char *label, const char *name)
{
	if (!name_is_valid(name))
		input_errors_add(errors, line,
		    "%s \"%.80s\" must be 1 to %d letters, digits, '-', '_' "
		    "or '.'",
		    label, name, NAME_BYTES_MAX);
}

/*
 * Report an error unless the address is a numeric IP address.
 */
static void
check_address(input_errors_t *errors, uint32_t line, const char *address)
{
	if (!g_hostname_is_ip_address(address))
		input_errors_add(errors, line,
		    "\"address\" must be an IP number, not \"%.80s\"", address);
}

/*
 * Add a name to the set of those seen, and report an error if it is a
 * duplicate.
 */
static void
check_unique(input_errors_t *errors, GHashTable *seen, uint32_t line,
    const char *label, const char *name)
{
	if (!g_hash_table_add(seen, g_strdup(name)))
		input_errors_add(
		    errors, line, "%s \"%s\" stands twice", label, name);
}

/*
 * Create an empty set of names.
 */
static GHashTable *
name_set_new(void)
{
	return g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL);
}

/*
 * Fill in the optional sections of the settings with their defaults.
 */
static void
settings_apply_defaults(arena_t *arena, Bp__Settings *settings)
{
	if (settings->limits == NULL)
		settings->limits =
		    (Bp__Limits *)message_new(arena, &bp__limits__descriptor);
	if (settings->timeouts == NULL)
		settings->timeouts = (Bp__Timeouts *)message_new(
		    arena, &bp__timeouts__descriptor);
}

/*
 * Parse and validate the settings of a daemon from JSON.  Returns NULL, with
 * every error reported, if they are not valid.
 */
Bp__Settings *
settings_read(arena_t *arena, const char *text, uint64_t size_bytes,
    input_errors_t *errors)
{
	uint32_t errors_before = errors->count, line;
	Bp__Settings *settings = (Bp__Settings *)json_read(
	    arena, &bp__settings__descriptor, text, size_bytes, errors);
	size_t i;

	if (settings == NULL)
		return NULL;
	line = input_errors_line_of(errors, settings);
	settings_apply_defaults(arena, settings);
	check_name(errors, line, "name", settings->name);
	check_name(errors, line, "zone", settings->zone);
	check_address(errors, line, settings->address);
	check_address(errors, input_errors_line_of(errors, settings->platform),
	    settings->platform->address);
	for (i = 0; i < settings->n_seeds; i++)
		check_address(errors,
		    input_errors_line_of(errors, settings->seeds[i]),
		    settings->seeds[i]->address);
	if (settings->caller_port == settings->operator_port ||
	    settings->caller_port == settings->peer_port ||
	    settings->operator_port == settings->peer_port)
		input_errors_add(errors, line,
		    "caller_port, operator_port and peer_port must differ");
	return errors->count == errors_before ? settings : NULL;
}

/*
 * Validate the groups of a document and their databases.  Each concurrent
 * owner needs at least two connections of connections_max: one for probes and
 * failover, and one for statements.
 */
static void
check_groups(const Bp__Document *document, input_errors_t *errors)
{
	GHashTable *group_names = name_set_new(),
		   *database_names = name_set_new();
	GHashTable *endpoints = name_set_new();
	size_t i, j;

	if (document->n_groups == 0)
		input_errors_add(errors, input_errors_line_of(errors, document),
		    "\"groups\" must name at least one group");
	for (i = 0; i < document->n_groups; i++) {
		const Bp__Group *group = document->groups[i];
		uint32_t line = input_errors_line_of(errors, group);

		check_name(errors, line, "group", group->name);
		check_unique(errors, group_names, line, "group", group->name);
		if (group->n_databases < 1 ||
		    group->n_databases > DATABASES_MAX)
			input_errors_add(errors, line,
			    "a group must have 1 to %d databases",
			    DATABASES_MAX);
		if (group->connections_max / CONCURRENT_OWNERS_MAX < 2)
			input_errors_add(errors, line,
			    "\"connections_max\" must be at least %d",
			    2 * CONCURRENT_OWNERS_MAX);
		for (j = 0; j < group->n_databases; j++) {
			const Bp__Database *db = group->databases[j];
			char *endpoint =
			    g_strdup_printf("%s:%u", db->address, db->port);

			line = input_errors_line_of(errors, db);
			check_name(errors, line, "database", db->name);
			check_unique(
			    errors, database_names, line, "database", db->name);
			check_name(errors, line, "zone", db->zone);
			check_address(errors, line, db->address);
			check_unique(
			    errors, endpoints, line, "address", endpoint);
			g_free(endpoint);
		}
	}
	g_hash_table_unref(group_names);
	g_hash_table_unref(database_names);
	g_hash_table_unref(endpoints);
}

/*
 * Check that each rank is listed exactly once, and that the guaranteed shares
 * of capacity (floors) do not add up to more than FLOOR_SUM_MAX_PERCENT.
 */
static void
check_ranks(const Bp__Document *document, input_errors_t *errors)
{
	uint32_t seen[RANKS] = {0}, floor_sum = 0;
	uint32_t line = input_errors_line_of(errors, document);
	size_t i;

	for (i = 0; i < document->n_ranks; i++) {
		const Bp__RankPolicy *rank = document->ranks[i];

		floor_sum += rank->floor_percent;
		if (seen[rank->rank]++ > 0)
			input_errors_add(errors,
			    input_errors_line_of(errors, rank),
			    "a rank stands twice");
	}
	for (i = 0; i < RANKS; i++) {
		if (seen[i] == 0)
			input_errors_add(errors, line, "rank \"%s\" is missing",
			    bp__rank__descriptor.values[i].name);
	}
	if (floor_sum > FLOOR_SUM_MAX_PERCENT)
		input_errors_add(errors, line,
		    "the floor shares sum up to %u percent, more than %d",
		    floor_sum, FLOOR_SUM_MAX_PERCENT);
}

/*
 * Validate the kinds of work and the accounts.
 */
static void
check_work(const Bp__Document *document, input_errors_t *errors)
{
	GHashTable *work_names = name_set_new(),
		   *account_names = name_set_new();
	uint32_t line = input_errors_line_of(errors, document);
	size_t i;

	if (document->n_work == 0)
		input_errors_add(
		    errors, line, "\"work\" must name at least one kind");
	if (document->n_accounts == 0)
		input_errors_add(
		    errors, line, "\"accounts\" must name at least one");
	for (i = 0; i < document->n_work; i++) {
		const Bp__Work *work = document->work[i];
		uint32_t work_line = input_errors_line_of(errors, work);

		check_name(errors, work_line, "work", work->name);
		check_unique(errors, work_names, work_line, "work", work->name);
		if (work->access == BP__ACCESS__WRITE && work->max_age_ms > 0)
			input_errors_add(errors, work_line,
			    "work \"%s\" writes, so it cannot have a "
			    "\"max_age_ms\"",
			    work->name);
	}
	for (i = 0; i < document->n_accounts; i++) {
		check_name(errors, line, "account", document->accounts[i]);
		check_unique(errors, account_names, line, "account",
		    document->accounts[i]);
	}
	g_hash_table_unref(work_names);
	g_hash_table_unref(account_names);
}

/*
 * Parse and validate a team's document from JSON.  Returns NULL, with every
 * error reported, if it is not valid.
 */
Bp__Document *
document_read(arena_t *arena, const char *text, uint64_t size_bytes,
    input_errors_t *errors)
{
	uint32_t errors_before = errors->count;
	Bp__Document *document = (Bp__Document *)json_read(
	    arena, &bp__document__descriptor, text, size_bytes, errors);

	if (document == NULL)
		return NULL;
	check_name(errors, input_errors_line_of(errors, document), "team",
	    document->team);
	check_groups(document, errors);
	check_ranks(document, errors);
	check_work(document, errors);
	return errors->count == errors_before ? document : NULL;
}

/*
 * Tell whether a group has a database with the name, address and port of the
 * given one.
 */
static bool
group_has_database(const Bp__Group *group, const Bp__Database *database)
{
	size_t i;

	for (i = 0; i < group->n_databases; i++) {
		const Bp__Database *db = group->databases[i];

		if (strcmp(db->name, database->name) == 0 &&
		    strcmp(db->address, database->address) == 0 &&
		    db->port == database->port)
			return true;
	}
	return false;
}

/*
 * Check a valid document against the one that it replaces: a group may gain or
 * lose only one database at a time, because only then does every majority of
 * the old group share a database with every majority of the new one.
 */
void
document_check_change(const Bp__Document *old, const Bp__Document *replacement,
    input_errors_t *errors)
{
	size_t i, j;

	for (i = 0; i < replacement->n_groups; i++) {
		const Bp__Group *new_group = replacement->groups[i];
		const Bp__Group *old_group =
		    document_find_group(old, new_group->name);
		uint32_t differences = 0;

		if (old_group == NULL)
			continue;
		for (j = 0; j < new_group->n_databases; j++)
			differences += !group_has_database(
			    old_group, new_group->databases[j]);
		for (j = 0; j < old_group->n_databases; j++)
			differences += !group_has_database(
			    new_group, old_group->databases[j]);
		if (differences > 1)
			input_errors_add(errors,
			    input_errors_line_of(errors, new_group),
			    "group \"%s\" differs in %u databases from the "
			    "document in force; change one at a time",
			    new_group->name, differences);
	}
}

/*
 * Find a kind of work by name.  Returns NULL if there is none.
 */
const Bp__Work *
document_find_work(const Bp__Document *document, const char *name)
{
	size_t i;

	for (i = 0; i < document->n_work; i++) {
		if (strcmp(document->work[i]->name, name) == 0)
			return document->work[i];
	}
	return NULL;
}

/*
 * Return the policy of a rank.  A valid document has one for each rank.
 */
const Bp__RankPolicy *
document_rank_policy(const Bp__Document *document, Bp__Rank rank)
{
	size_t i;

	for (i = 0; i < document->n_ranks; i++) {
		if (document->ranks[i]->rank == rank)
			return document->ranks[i];
	}
	g_assert_not_reached();
}

/*
 * Find a group by name.  Returns NULL if there is none.
 */
const Bp__Group *
document_find_group(const Bp__Document *document, const char *name)
{
	size_t i;

	for (i = 0; i < document->n_groups; i++) {
		if (strcmp(document->groups[i]->name, name) == 0)
			return document->groups[i];
	}
	return NULL;
}

/*
 * Tell whether the document lists an account.
 */
bool
document_has_account(const Bp__Document *document, const char *name)
{
	size_t i;

	for (i = 0; i < document->n_accounts; i++) {
		if (strcmp(document->accounts[i], name) == 0)
			return true;
	}
	return false;
}
