#include "document.h"

#include "json.h"

#include <gio/gio.h>
#include <string.h>

#define RANKS 3
#define DATABASES_MAX 9 /* as GROUP_DATABASES_MAX of decide.h */
#define FLOORS_MAX_PERCENT 90
#define NAME_BYTES_MAX 64
#define OWNERS_AT_ONCE 3

/*
 * Tell whether a name is short and holds only letters, digits, - _ and dots.
 */
static bool
name_is_plain(const char *name)
{
	const char *p;

	for (p = name; *p != '\0'; p++) {
		if (!g_ascii_isalnum(*p) && strchr("-_.", *p) == NULL)
			return false;
	}
	return p != name && p - name <= NAME_BYTES_MAX;
}

/*
 * Note a fault unless the name is plain.
 */
static void
check_name(faults_t *faults, uint32_t line, const char *what, const char *name)
{
	if (!name_is_plain(name))
		faults_add(faults, line,
		    "%s \"%.80s\" must be 1 to %d letters, digits, '-', '_' "
		    "or '.'",
		    what, name, NAME_BYTES_MAX);
}

/*
 * Note a fault unless the address is an IP number.
 */
static void
check_address(faults_t *faults, uint32_t line, const char *address)
{
	if (!g_hostname_is_ip_address(address))
		faults_add(faults, line,
		    "\"address\" must be an IP number, not \"%.80s\"", address);
}

/*
 * Remember a name; note a fault when it was there already.
 */
static void
check_once(faults_t *faults, GHashTable *seen, uint32_t line, const char *what,
    const char *name)
{
	if (!g_hash_table_add(seen, g_strdup(name)))
		faults_add(faults, line, "%s \"%s\" stands twice", what, name);
}

/*
 * A set of names.
 */
static GHashTable *
names_new(void)
{
	return g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL);
}

/*
 * Give the parts of the settings that may be left out their defaults.
 */
static void
settings_fill(arena_t *arena, Bp__Settings *settings)
{
	if (settings->limits == NULL)
		settings->limits =
		    (Bp__Limits *)message_new(arena, &bp__limits__descriptor);
	if (settings->timeouts == NULL)
		settings->timeouts = (Bp__Timeouts *)message_new(
		    arena, &bp__timeouts__descriptor);
}

/*
 * Read the settings of a daemon from JSON.  Returns NULL, with every fault
 * noted, unless they can be used.
 */
Bp__Settings *
settings_read(
    arena_t *arena, const char *text, uint64_t size_bytes, faults_t *faults)
{
	uint32_t before = faults->count, line;
	Bp__Settings *settings = (Bp__Settings *)json_read(
	    arena, &bp__settings__descriptor, text, size_bytes, faults);
	size_t i;

	if (settings == NULL)
		return NULL;
	line = faults_line(faults, settings);
	settings_fill(arena, settings);
	check_name(faults, line, "name", settings->name);
	check_name(faults, line, "zone", settings->zone);
	check_address(faults, line, settings->address);
	check_address(faults, faults_line(faults, settings->platform),
	    settings->platform->address);
	for (i = 0; i < settings->n_seeds; i++)
		check_address(faults, faults_line(faults, settings->seeds[i]),
		    settings->seeds[i]->address);
	if (settings->caller_port == settings->operator_port ||
	    settings->caller_port == settings->peer_port ||
	    settings->operator_port == settings->peer_port)
		faults_add(faults, line,
		    "caller_port, operator_port and peer_port must differ");
	return faults->count == before ? settings : NULL;
}

/*
 * Check the groups of a document and their databases.
 */
static void
check_groups(const Bp__Document *document, faults_t *faults)
{
	GHashTable *groups = names_new(), *names = names_new();
	GHashTable *places = names_new();
	size_t i, j;

	if (document->n_groups == 0)
		faults_add(faults, faults_line(faults, document),
		    "\"groups\" must name at least one group");
	for (i = 0; i < document->n_groups; i++) {
		const Bp__Group *group = document->groups[i];
		uint32_t line = faults_line(faults, group);

		check_name(faults, line, "group", group->name);
		check_once(faults, groups, line, "group", group->name);
		if (group->n_databases < 1 ||
		    group->n_databases > DATABASES_MAX)
			faults_add(faults, line,
			    "a group must have 1 to %d databases",
			    DATABASES_MAX);
		if (group->connections_max / OWNERS_AT_ONCE < 2)
			faults_add(faults, line,
			    "\"connections_max\" must be at least %d",
			    2 * OWNERS_AT_ONCE);
		for (j = 0; j < group->n_databases; j++) {
			const Bp__Database *db = group->databases[j];
			char *place =
			    g_strdup_printf("%s:%u", db->address, db->port);

			line = faults_line(faults, db);
			check_name(faults, line, "database", db->name);
			check_once(faults, names, line, "database", db->name);
			check_name(faults, line, "zone", db->zone);
			check_address(faults, line, db->address);
			check_once(faults, places, line, "address", place);
			g_free(place);
		}
	}
	g_hash_table_unref(groups);
	g_hash_table_unref(names);
	g_hash_table_unref(places);
}

/*
 * Check that each rank stands once and the floors leave room.
 */
static void
check_ranks(const Bp__Document *document, faults_t *faults)
{
	uint32_t seen[RANKS] = {0}, floors = 0;
	uint32_t line = faults_line(faults, document);
	size_t i;

	for (i = 0; i < document->n_ranks; i++) {
		const Bp__RankPolicy *rank = document->ranks[i];

		floors += rank->floor_percent;
		if (seen[rank->rank]++ > 0)
			faults_add(faults, faults_line(faults, rank),
			    "a rank stands twice");
	}
	for (i = 0; i < RANKS; i++) {
		if (seen[i] == 0)
			faults_add(faults, line, "rank \"%s\" is missing",
			    bp__rank__descriptor.values[i].name);
	}
	if (floors > FLOORS_MAX_PERCENT)
		faults_add(faults, line,
		    "the floor shares sum up to %u percent, more than %d",
		    floors, FLOORS_MAX_PERCENT);
}

/*
 * Check the kinds of work and the accounts.
 */
static void
check_work(const Bp__Document *document, faults_t *faults)
{
	GHashTable *names = names_new(), *accounts = names_new();
	uint32_t line = faults_line(faults, document);
	size_t i;

	if (document->n_work == 0)
		faults_add(
		    faults, line, "\"work\" must name at least one kind");
	if (document->n_accounts == 0)
		faults_add(faults, line, "\"accounts\" must name at least one");
	for (i = 0; i < document->n_work; i++) {
		const Bp__Work *work = document->work[i];
		uint32_t at = faults_line(faults, work);

		check_name(faults, at, "work", work->name);
		check_once(faults, names, at, "work", work->name);
		if (work->access == BP__ACCESS__WRITE && work->max_age_ms > 0)
			faults_add(faults, at,
			    "work \"%s\" writes, so it cannot have a "
			    "\"max_age_ms\"",
			    work->name);
	}
	for (i = 0; i < document->n_accounts; i++) {
		check_name(faults, line, "account", document->accounts[i]);
		check_once(
		    faults, accounts, line, "account", document->accounts[i]);
	}
	g_hash_table_unref(names);
	g_hash_table_unref(accounts);
}

/*
 * Read a team's document from JSON.  Returns NULL, with every fault noted,
 * unless it can be put in force.
 */
Bp__Document *
document_read(
    arena_t *arena, const char *text, uint64_t size_bytes, faults_t *faults)
{
	uint32_t before = faults->count;
	Bp__Document *document = (Bp__Document *)json_read(
	    arena, &bp__document__descriptor, text, size_bytes, faults);

	if (document == NULL)
		return NULL;
	check_name(
	    faults, faults_line(faults, document), "team", document->team);
	check_groups(document, faults);
	check_ranks(document, faults);
	check_work(document, faults);
	return faults->count == before ? document : NULL;
}

/*
 * Tell whether a group has a database of this name and place.
 */
static bool
group_has_database(const Bp__Group *group, const Bp__Database *wanted)
{
	size_t i;

	for (i = 0; i < group->n_databases; i++) {
		const Bp__Database *db = group->databases[i];

		if (strcmp(db->name, wanted->name) == 0 &&
		    strcmp(db->address, wanted->address) == 0 &&
		    db->port == wanted->port)
			return true;
	}
	return false;
}

/*
 * Check a valid document against the one it replaces: a group may gain or
 * lose one database at a time, for only then does every majority of the old
 * group share a database with every majority of the new one.
 */
void
document_check_change(
    const Bp__Document *old, const Bp__Document *changed, faults_t *faults)
{
	size_t i, j;

	for (i = 0; i < changed->n_groups; i++) {
		const Bp__Group *to = changed->groups[i];
		const Bp__Group *from = document_group(old, to->name);
		uint32_t differences = 0;

		if (from == NULL)
			continue;
		for (j = 0; j < to->n_databases; j++)
			differences +=
			    !group_has_database(from, to->databases[j]);
		for (j = 0; j < from->n_databases; j++)
			differences +=
			    !group_has_database(to, from->databases[j]);
		if (differences > 1)
			faults_add(faults, faults_line(faults, to),
			    "group \"%s\" differs in %u databases from the "
			    "document in force; change one at a time",
			    to->name, differences);
	}
}

/*
 * The kind of work of this name, or NULL.
 */
const Bp__Work *
document_work(const Bp__Document *document, const char *name)
{
	size_t i;

	for (i = 0; i < document->n_work; i++) {
		if (strcmp(document->work[i]->name, name) == 0)
			return document->work[i];
	}
	return NULL;
}

/*
 * The policy of a rank; a valid document has one for each.
 */
const Bp__RankPolicy *
document_rank(const Bp__Document *document, Bp__Rank rank)
{
	size_t i;

	for (i = 0; i < document->n_ranks; i++) {
		if (document->ranks[i]->rank == rank)
			return document->ranks[i];
	}
	g_assert_not_reached();
}

/*
 * The group of this name, or NULL.
 */
const Bp__Group *
document_group(const Bp__Document *document, const char *name)
{
	size_t i;

	for (i = 0; i < document->n_groups; i++) {
		if (strcmp(document->groups[i]->name, name) == 0)
			return document->groups[i];
	}
	return NULL;
}

/*
 * Tell whether an account may call.
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
