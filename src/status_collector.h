#ifndef STATUS_COLLECTOR_H
#define STATUS_COLLECTOR_H

#include "stats.h"
#include "task.h"

#include <libsoup/soup.h>

/*
 * A collector of the status page and the metrics for HTTP requests of
 * operators.  Each request is sent to several tasks as a StatusRequest; the
 * HTTP response follows once every task has returned its StatusPart.
 */
typedef struct status_collector status_collector_t;

/* Format of the response: JSON, or metrics in the Prometheus text format. */
typedef enum status_format {
	STATUS_FORMAT_JSON,
	STATUS_FORMAT_METRICS,
} status_format_t;

status_collector_t *status_collector_new(const char *daemon);
void status_collector_free(status_collector_t *);
void status_collector_request(status_collector_t *, SoupServerMessage *,
    status_format_t, bool draining, const counters_t *counters, task_t *sender,
    task_t *const *tasks, uint32_t tasks_count);
void status_collector_add_part(status_collector_t *, msg_t *);

#endif
