#ifndef MODEL_POOL_H
#define MODEL_POOL_H

#include "proxy_model.h"

/*
 * Processes that play plans of the proxy model.
 */

/* Set the next plan to play.  Returns false if there is none any more. */
typedef bool (*model_pool_next_t)(void *context, proxy_model_plan_t *);

/* Handle a play; no result: its process has ended before. */
typedef void (*model_pool_played_t)(
    void *context, const proxy_model_plan_t *, const proxy_model_result_t *);

void model_pool_run(
    uint32_t jobs, model_pool_next_t, model_pool_played_t, void *context);

#endif
