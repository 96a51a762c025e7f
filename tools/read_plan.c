#include "read_plan.h"

#include <stddef.h>
#include <string.h>

/* Number of events in a play, as in the tests of the read model. */
#define READ_PLAN_STEPS 30000

/* Second number of the seed that plans are drawn from. */
#define DRAW_SEED 0x72656164

#define FIELD(name, low, high) \
	{ \
		"." #name, offsetof(read_model_troubles_t, name), low, high \
	}

/* A trouble that is drawn. */
typedef struct read_field {
	const char *name; /* as a designator */
	uint64_t offset_bytes;
	uint32_t low; /* lowest value, if it is not 0 */
	uint32_t high;
} read_field_t;

static const read_field_t fields[] = {
    FIELD(held_permille, 5, 300),
    FIELD(frozen_permille, 1, 20),
    FIELD(silent_permille, 2, 60),
    FIELD(lag_permille, 2, 60),
    FIELD(restart_permille, 1, 20),
    FIELD(change_permille, 2, 60),
    FIELD(returns_permille, 1, 20),
    FIELD(late_permille, 100, 1000),
    FIELD(moves_permille, 5, 100),
};

/* Chances that a trouble is drawn; each plan has one of them. */
static const uint32_t chances_permille[] = {250, 500, 750};

/*
 * Return where a trouble is in a plan.
 */
static void *
field_at(read_model_troubles_t *troubles, const read_field_t *field)
{
	return (char *)troubles + field->offset_bytes;
}

/*
 * Draw a plan.  The seed determines it, and is the seed of its play.
 */
void
read_plan_draw(uint32_t seed, read_model_plan_t *plan)
{
	const guint32 seeds[] = {seed, DRAW_SEED};
	GRand *rand = g_rand_new_with_seed_array(seeds, G_N_ELEMENTS(seeds));
	uint32_t chance_permille = chances_permille[g_rand_int_range(
	    rand, 0, G_N_ELEMENTS(chances_permille))];
	uint32_t i;

	memset(plan, 0, sizeof(*plan));
	plan->seed = seed;
	plan->steps = READ_PLAN_STEPS;
	for (i = 0; i < G_N_ELEMENTS(fields); i++) {
		uint32_t value = (uint32_t)g_rand_int_range(
		    rand, (gint32)fields[i].low, (gint32)fields[i].high + 1);

		if ((uint32_t)g_rand_int_range(rand, 0, 1000) < chance_permille)
			memcpy(field_at(&plan->troubles, &fields[i]), &value,
			    sizeof(value));
	}
	g_rand_free(rand);
}

/*
 * Append a plan to a text, with its troubles as in a row of
 * tests/t_read_model.c.
 */
void
read_plan_print(const read_model_plan_t *plan, GString *text)
{
	read_model_troubles_t troubles = plan->troubles;
	uint32_t i, value;

	g_string_append_printf(text, "seed %u: {", plan->seed);
	for (i = 0; i < G_N_ELEMENTS(fields); i++) {
		memcpy(&value, field_at(&troubles, &fields[i]), sizeof(value));
		if (value > 0)
			g_string_append_printf(
			    text, "%s = %u, ", fields[i].name, value);
	}
	g_string_append_c(text, '}');
}
