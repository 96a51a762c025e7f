#ifndef READ_PLAN_H
#define READ_PLAN_H

#include <glib.h>

#include "read_model.h"

/*
 * Plans of the read model (read_model.h) that are drawn at random from a seed,
 * with several troubles at once.
 */

void read_plan_draw(uint32_t seed, read_model_plan_t *);
void read_plan_print(const read_model_plan_t *, GString *);

#endif
