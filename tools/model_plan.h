#ifndef MODEL_PLAN_H
#define MODEL_PLAN_H

#include <glib.h>

#include "proxy_model.h"

/*
 * Plans of the proxy model (proxy_model.h) that are drawn at random from a
 * seed, with several troubles at once.
 */

/* Number of events in a play, as in the tests of the proxy model. */
#define MODEL_PLAN_STEPS 60000

/* Combinations of troubles that KNOWN-RED.txt has a finding of. */
typedef enum model_finding {
	MODEL_FINDING_NONE,
	/* the coordinator record is deleted, and daemons restart */
	MODEL_FINDING_RECORD_DELETED,
	/* databases are added, and the store goes back */
	MODEL_FINDING_ADDED_RETURNS,
	/* no members are recorded at first, and daemons restart */
	MODEL_FINDING_UNRECORDED,
	/* lists change, daemons restart, and the store goes back */
	MODEL_FINDING_LISTS_RETURNS,
	MODEL_FINDINGS,
} model_finding_t;

/* A field of a plan that is drawn. */
typedef struct model_field {
	const char *name; /* as a designator */
	uint64_t offset_bytes;
	uint64_t size_bytes;
	uint32_t low; /* lowest value, if it is not 0 */
	uint32_t high;
	uint32_t unit; /* factor of the value */
} model_field_t;

uint32_t model_plan_fields(void);
const model_field_t *model_plan_field(uint32_t index);
int64_t model_plan_value(const proxy_model_plan_t *, const model_field_t *);
bool model_plan_equal(const proxy_model_plan_t *, const proxy_model_plan_t *);
bool model_plan_clear(proxy_model_plan_t *, const model_field_t *);
void model_plan_draw(uint32_t seed, proxy_model_plan_t *);
void model_plan_restrict(proxy_model_plan_t *);
void model_plan_print(const proxy_model_plan_t *, GString *);
model_finding_t model_plan_finding(const proxy_model_plan_t *);
const char *model_finding_name(model_finding_t);

#endif
