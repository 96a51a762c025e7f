#include "model_plan.h"

#include "../src/bergamotplank.h"
#include "../src/decide/decide.h"

#include <stddef.h>
#include <string.h>

/* Numbers of databases from the start, and of daemons. */
#define MEMBERS_MIN 3
#define MEMBERS_MAX 5
#define DAEMONS_MIN 2
#define DAEMONS_MAX 5

/* The most databases that the model has, with those that are added. */
#define DATABASES_MAX 7

/* Daemons that the sequences of a late order and of a paused sender have. */
#define SEQUENCE_DAEMONS 3

/* Longest time in which a new start is listed, unless it is drawn. */
#define START_LISTED_MAX_US 1000000

/* Second number of the seed that plans are drawn from. */
#define DRAW_SEED 0x706c616e

#define FIELD(name, low, high, unit) \
	{ \
		"." #name, offsetof(proxy_model_plan_t, name), \
		    sizeof(((proxy_model_plan_t *)0)->name), low, high, unit \
	}

/*
 * The fields that are drawn, besides the seed, the steps and the numbers of
 * databases and daemons.  The settings in which something hides no injected bug
 * are not drawn.
 */
static const model_field_t fields[] = {
    FIELD(fault_permille, 2, 16, 1),
    FIELD(sync_replicas, 1, 1, 1),
    FIELD(placement_permille, 10, 60, 1),
    FIELD(daemon_restart_permille, 1, 10, 1),
    FIELD(database_restart_permille, 1, 10, 1),
    FIELD(order_held_permille, 50, 1000, 1),
    FIELD(order_late_permille, 100, 700, 1),
    FIELD(sender_paused_permille, 100, 700, 1),
    FIELD(primary_cut_permille, 1, 4, 1),
    FIELD(alone_permille, 200, 1000, 1),
    FIELD(returns_permille, 1, 5, 1),
    FIELD(troubles.order_held_permille[PROXY_PLACE_SENDER], 100, 700, 1),
    FIELD(troubles.order_held_permille[PROXY_PLACE_SOCKET], 100, 700, 1),
    FIELD(troubles.order_held_permille[PROXY_PLACE_PLATFORM], 100, 700, 1),
    FIELD(troubles.role_late_permille, 100, 400, 1),
    FIELD(troubles.record_deleted_permille, 1, 3, 1),
    FIELD(troubles.record_unreadable_permille, 1, 5, 1),
    FIELD(troubles.member_restart_permille, 1, 4, 1),
    FIELD(troubles.start_listed_max_us, 100, 1000, US_PER_MS),
    FIELD(troubles.leaving_permille, 1, 5, 1),
    FIELD(troubles.lapse_permille, 1, 6, 1),
    FIELD(troubles.refused_permille, 1, 8, 1),
    FIELD(troubles.crash_permille, 1, 4, 1),
    FIELD(troubles.most_refused_permille, 1, 4, 1),
    FIELD(troubles.members.permille, 2, 40, 1),
    FIELD(troubles.members.added, 1, 3, 1),
    FIELD(troubles.members.dropped, 1, 2, 1),
    FIELD(troubles.members.store_permille, 200, 1000, 1),
    FIELD(troubles.members.unrecorded_permille, 200, 1000, 1),
    FIELD(troubles.members.handover, 1, 1, 1),
    FIELD(troubles.members.former_reached, 1, 1, 1),
    FIELD(troubles.members.slow_max_us, 100, 600, US_PER_MS),
    FIELD(troubles.members.told, 1, 1, 1),
    FIELD(troubles.members.wait_us, 1, 16, US_PER_SECOND),
    FIELD(troubles.members.first_unrecorded, 1, 1, 1),
    FIELD(troubles.peers.permille, 1, 8, 1),
    FIELD(troubles.peers.reset_permille, 100, 1000, 1),
    FIELD(troubles.peers.one_way_permille, 100, 1000, 1),
    FIELD(troubles.peers.store_cut_permille, 100, 1000, 1),
    FIELD(troubles.away.permille, 1, 8, 1),
    FIELD(troubles.away.all_permille, 100, 1000, 1),
    FIELD(troubles.away.restart_permille, 100, 500, 1),
    FIELD(troubles.away.refused_permille, 100, 1000, 1),
    FIELD(troubles.away.forgotten_permille, 100, 1000, 1),
};

#define FIRST_MEMBERS_FIELD \
	offsetof(proxy_model_plan_t, troubles.members.permille)

#define FIRST_PEERS_FIELD offsetof(proxy_model_plan_t, troubles.peers.permille)

#define FIRST_AWAY_FIELD offsetof(proxy_model_plan_t, troubles.away.permille)

/* Chances that a field is drawn; each plan has one of them. */
static const uint32_t chances_permille[] = {40, 80, 160, 320};

/* Chances of faults, and of the fields of a change of the members, of
   refused connections between daemons and of a store that is away. */
#define FAULT_CHANCE_PERMILLE 950
#define MEMBERS_CHANCE_PERMILLE 250
#define DETAIL_CHANCE_PERMILLE 350

/*
 * Return the number of fields that are drawn.
 */
uint32_t
model_plan_fields(void)
{
	return G_N_ELEMENTS(fields);
}

/*
 * Return a field that is drawn.
 */
const model_field_t *
model_plan_field(uint32_t index)
{
	return &fields[index];
}

/*
 * Return the value of a field.
 */
int64_t
model_plan_value(const proxy_model_plan_t *plan, const model_field_t *field)
{
	const char *at = (const char *)plan + field->offset_bytes;
	int64_t value_us;
	uint32_t value;

	if (field->size_bytes == sizeof(bool))
		return *at != 0;
	if (field->size_bytes == sizeof(value)) {
		memcpy(&value, at, sizeof(value));
		return value;
	}
	memcpy(&value_us, at, sizeof(value_us));
	return value_us;
}

/*
 * Set the value of a field.
 */
static void
set_value(proxy_model_plan_t *plan, const model_field_t *field, int64_t value)
{
	char *at = (char *)plan + field->offset_bytes;
	uint32_t number = (uint32_t)value;

	if (field->size_bytes == sizeof(bool))
		*at = value != 0;
	else if (field->size_bytes == sizeof(number))
		memcpy(at, &number, sizeof(number));
	else
		memcpy(at, &value, sizeof(value));
}

/*
 * Tell whether the lists of the databases change in a plan.
 */
static bool
lists_change(const proxy_model_plan_t *plan)
{
	const proxy_model_troubles_t *troubles = &plan->troubles;

	return troubles->lapse_permille + troubles->refused_permille +
	    troubles->crash_permille + troubles->most_refused_permille +
	    troubles->members.permille >
	    0;
}

/*
 * Tell whether the processes of daemons may end in a plan.
 */
static bool
daemons_restart(const proxy_model_plan_t *plan)
{
	return plan->daemon_restart_permille > 0 ||
	    plan->troubles.away.restart_permille +
		plan->troubles.away.forgotten_permille >
	    0 ||
	    plan->troubles.order_held_permille[PROXY_PLACE_SOCKET] > 0;
}

/*
 * Bring the change of the members within what the model supports.  databases is
 * the number of those from the start.
 */
static void
restrict_members(proxy_model_members_change_t *members, uint32_t databases)
{
	if (members->permille == 0 || members->added + members->dropped == 0) {
		*members = (proxy_model_members_change_t){0};
		return;
	}
	/* those that leave are a minority of the members */
	members->dropped = MIN(members->dropped, (databases - 1) / 2);
	members->added = MIN(members->added, DATABASES_MAX - databases);
	/* these tell how former members that all daemons reach follow */
	if (!members->former_reached)
		members->slow_max_us = 0;
	if (members->added + members->dropped == 0)
		*members = (proxy_model_members_change_t){0};
}

/*
 * Bring a plan within what the model supports: clear what has no effect there,
 * and what cannot be combined.  The databases stay the same from the start; the
 * number of those that are added is brought up to date.
 */
void
model_plan_restrict(proxy_model_plan_t *plan)
{
	proxy_model_troubles_t *troubles = &plan->troubles;
	uint32_t databases = plan->databases - troubles->members.added;

	/* copies in databases that have left are not told from others */
	if (plan->sync_replicas > 0)
		troubles->members.dropped = 0;
	restrict_members(&troubles->members, databases);
	plan->databases = databases + troubles->members.added;
	/* the sequences are of a sender, its successor and another daemon */
	if (plan->daemons < SEQUENCE_DAEMONS)
		plan->order_late_permille = plan->sender_paused_permille = 0;
	/* these tell how connections between daemons are refused */
	if (troubles->peers.permille == 0)
		troubles->peers = (proxy_model_peers_refused_t){0};
	/* these tell how the store is away */
	if (troubles->away.permille == 0)
		troubles->away = (proxy_model_store_away_t){0};
	/* a daemon is alone with a primary that is cut off, or as its record
	   or entry in the store changes */
	if (plan->primary_cut_permille + plan->placement_permille +
		plan->returns_permille ==
	    0)
		plan->alone_permille = 0;
	if (troubles->members.added > 0) {
		/* its sequence takes all databases as listed */
		troubles->most_refused_permille = 0;
		/* entries that lapse or are renewed would be listed before the
		   databases are added, and copies there do not count yet */
		if (plan->sync_replicas > 0)
			troubles->lapse_permille = troubles->crash_permille = 0;
	}
	/* where lists change, new starts are listed after some time */
	if (lists_change(plan) && troubles->start_listed_max_us == 0)
		troubles->start_listed_max_us = START_LISTED_MAX_US;
}

/*
 * Tell whether two plans are the same in what is drawn.
 */
bool
model_plan_equal(const proxy_model_plan_t *a, const proxy_model_plan_t *b)
{
	bool equal = a->seed == b->seed && a->steps == b->steps &&
	    a->databases == b->databases && a->daemons == b->daemons;
	uint32_t i;

	for (i = 0; i < G_N_ELEMENTS(fields); i++)
		equal &= model_plan_value(a, &fields[i]) ==
		    model_plan_value(b, &fields[i]);
	return equal;
}

/*
 * Set a field to 0, and the fields that need it.  Returns whether it was not
 * 0 before, and is now.
 */
bool
model_plan_clear(proxy_model_plan_t *plan, const model_field_t *field)
{
	proxy_model_members_change_t *members = &plan->troubles.members;
	uint32_t databases = plan->databases - members->added;
	bool was_set = model_plan_value(plan, field) != 0;

	set_value(plan, field, 0);
	if (members->permille == 0)
		*members = (proxy_model_members_change_t){0};
	plan->databases = databases + members->added;
	model_plan_restrict(plan);
	return was_set && model_plan_value(plan, field) == 0;
}

/*
 * Return the chance that a field is drawn.
 */
static uint32_t
chance_of(const model_field_t *field, uint32_t chance_permille)
{
	if (field->offset_bytes == offsetof(proxy_model_plan_t, fault_permille))
		return FAULT_CHANCE_PERMILLE;
	if (field->offset_bytes == FIRST_MEMBERS_FIELD)
		return MEMBERS_CHANCE_PERMILLE;
	if (field->offset_bytes == FIRST_AWAY_FIELD)
		return chance_permille;
	return field->offset_bytes > FIRST_PEERS_FIELD ? DETAIL_CHANCE_PERMILLE
						       : chance_permille;
}

/*
 * Draw the value of a field.
 */
static int64_t
draw_value(GRand *rand, const model_field_t *field)
{
	int64_t value =
	    g_rand_int_range(rand, (gint32)field->low, (gint32)field->high + 1);

	return value * field->unit;
}

/*
 * Draw a plan.  The seed determines it, and is the seed of its play.
 */
void
model_plan_draw(uint32_t seed, proxy_model_plan_t *plan)
{
	const guint32 seeds[] = {seed, DRAW_SEED};
	GRand *rand = g_rand_new_with_seed_array(seeds, G_N_ELEMENTS(seeds));
	uint32_t i, chance_permille;

	memset(plan, 0, sizeof(*plan));
	plan->seed = seed;
	plan->steps = MODEL_PLAN_STEPS;
	plan->databases =
	    (uint32_t)g_rand_int_range(rand, MEMBERS_MIN, MEMBERS_MAX + 1);
	plan->daemons =
	    (uint32_t)g_rand_int_range(rand, DAEMONS_MIN, DAEMONS_MAX + 1);
	chance_permille = chances_permille[g_rand_int_range(
	    rand, 0, G_N_ELEMENTS(chances_permille))];
	for (i = 0; i < G_N_ELEMENTS(fields); i++) {
		int64_t value = draw_value(rand, &fields[i]);

		if ((uint32_t)g_rand_int_range(rand, 0, 1000) <
		    chance_of(&fields[i], chance_permille))
			set_value(plan, &fields[i], value);
	}
	plan->databases += plan->troubles.members.added;
	model_plan_restrict(plan);
	g_rand_free(rand);
}

/*
 * Append a plan to a text, as a row of tests/t_proxy_model.c or
 * tests/t_members_model.c.
 */
void
model_plan_print(const proxy_model_plan_t *plan, GString *text)
{
	uint32_t i;

	g_string_append_printf(text,
	    "{\"seed %u\", .first_seed = %u, .seeds = 1, .databases = %u, "
	    ".daemons = %u",
	    plan->seed, plan->seed, plan->databases, plan->daemons);
	for (i = 0; i < G_N_ELEMENTS(fields); i++) {
		int64_t value = model_plan_value(plan, &fields[i]);

		if (value == 0)
			continue;
		if (fields[i].size_bytes == sizeof(bool))
			g_string_append_printf(
			    text, ", %s = true", fields[i].name);
		else
			g_string_append_printf(text, ", %s = %" G_GINT64_FORMAT,
			    fields[i].name, value);
	}
	if (plan->replica_reads_permille > 0)
		g_string_append_printf(text, ", .replica_reads_permille = %u",
		    plan->replica_reads_permille);
	g_string_append(text, "},");
}

/*
 * Return the finding whose troubles a plan has.
 */
model_finding_t
model_plan_finding(const proxy_model_plan_t *plan)
{
	const proxy_model_troubles_t *troubles = &plan->troubles;

	if (troubles->record_deleted_permille > 0 && daemons_restart(plan))
		return MODEL_FINDING_RECORD_DELETED;
	if (troubles->members.added > 0 && plan->returns_permille > 0)
		return MODEL_FINDING_ADDED_RETURNS;
	if (troubles->members.first_unrecorded && daemons_restart(plan))
		return MODEL_FINDING_UNRECORDED;
	if (lists_change(plan) && plan->returns_permille > 0 &&
	    daemons_restart(plan))
		return MODEL_FINDING_LISTS_RETURNS;
	return MODEL_FINDING_NONE;
}

/*
 * Return what troubles a finding has.
 */
const char *
model_finding_name(model_finding_t finding)
{
	static const char *const names[MODEL_FINDINGS] = {
	    [MODEL_FINDING_NONE] = "none that is known",
	    [MODEL_FINDING_RECORD_DELETED] =
		"the coordinator record is deleted, daemons restart",
	    [MODEL_FINDING_ADDED_RETURNS] =
		"databases are added, the store goes back",
	    [MODEL_FINDING_UNRECORDED] =
		"no members recorded at first, daemons restart",
	    [MODEL_FINDING_LISTS_RETURNS] =
		"lists change, daemons restart, the store goes back",
	};

	return names[finding];
}
