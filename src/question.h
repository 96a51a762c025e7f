#ifndef QUESTION_H
#define QUESTION_H

#include "stats.h"
#include "task.h"

#include <libsoup/soup.h>

/*
 * Collects the status page and the metrics for HTTP requests of operators.
 * Each request is sent to several tasks as a StatusRequest; the HTTP response
 * follows once every task has returned its StatusPart.
 */
typedef struct questions questions_t;

/* Format of the response: JSON, or metrics in the Prometheus text format. */
typedef enum question_kind {
	QUESTION_STATUS,
	QUESTION_METRICS,
} question_kind_t;

questions_t *questions_new(const char *daemon);
void questions_free(questions_t *);
void questions_ask(questions_t *, SoupServerMessage *, question_kind_t,
    bool draining, const counters_t *counters, task_t *sender,
    task_t *const *tasks, uint32_t tasks_count);
void questions_part(questions_t *, msg_t *);

#endif
