#include "status_collector.h"

#include "json.h"

#include <string.h>

#define STATUS_PARTS_MAX 4

/* An HTTP request that waits for the tasks' parts of the response. */
typedef struct status_request {
	uint64_t id; /* key in collector->pending_requests */
	status_collector_t *collector;
	arena_t *arena;
	SoupServerMessage *message;
	status_format_t format;
	bool draining; /* the daemon accepts no new work */
	uint32_t parts_pending;
	/* the first part holds the calling task's own counters */
	Bp__StatusPart *parts[STATUS_PARTS_MAX + 1];
	uint32_t parts_count;
} status_request_t;

struct status_collector {
	const char *daemon;
	int64_t started_us;
	uint64_t next_id;
	GHashTable *pending_requests; /* of status_request_t by id */
};

/* Append a repeated field of a part to the same field of the page. */
#define APPEND_REPEATED(page, part, field) \
	do { \
		if ((part)->n_##field > 0) \
			memcpy((page)->field + (page)->n_##field, \
			    (part)->field, \
			    sizeof((page)->field[0]) * (part)->n_##field); \
		(page)->n_##field += (part)->n_##field; \
	} while (0)

/* Allocate a repeated field of the page for the entries of all parts. */
#define ALLOCATE_REPEATED(arena, request, page, field) \
	do { \
		size_t count_ = 1; \
		uint32_t i_; \
		for (i_ = 0; i_ < (request)->parts_count; i_++) \
			count_ += (request)->parts[i_]->n_##field; \
		(page)->field = \
		    arena_zalloc(arena, sizeof((page)->field[0]) * count_); \
	} while (0)

/*
 * Free a request that has been answered or abandoned.
 */
static void
status_request_free(gpointer p)
{
	status_request_t *request = p;

	g_object_unref(request->message);
	arena_free(request->arena);
}

/*
 * Create a status collector for the daemon with the given name.
 */
status_collector_t *
status_collector_new(const char *daemon)
{
	status_collector_t *collector = g_new0(status_collector_t, 1);

	collector->daemon = daemon;
	collector->started_us = clock_us();
	collector->pending_requests = g_hash_table_new_full(
	    g_int64_hash, g_int64_equal, NULL, status_request_free);
	return collector;
}

/*
 * Free the collector and abandon all pending requests.
 */
void
status_collector_free(status_collector_t *collector)
{
	g_hash_table_unref(collector->pending_requests);
	g_free(collector);
}

/*
 * Merge the parts of a request into a status page.
 */
static Bp__StatusPage *
page_merge_parts(const status_request_t *request)
{
	const status_collector_t *collector = request->collector;
	arena_t *arena = request->arena;
	Bp__StatusPage *page =
	    (Bp__StatusPage *)message_new(arena, &bp__status_page__descriptor);
	uint32_t i;

	page->daemon = (char *)collector->daemon;
	page->version = (char *)BP_VERSION;
	page->draining = request->draining;
	page->uptime_ms =
	    (uint64_t)(clock_us() - collector->started_us) / US_PER_MS;
	ALLOCATE_REPEATED(arena, request, page, members);
	ALLOCATE_REPEATED(arena, request, page, groups);
	ALLOCATE_REPEATED(arena, request, page, documents);
	ALLOCATE_REPEATED(arena, request, page, counters);
	ALLOCATE_REPEATED(arena, request, page, histograms);
	for (i = 0; i < request->parts_count; i++) {
		APPEND_REPEATED(page, request->parts[i], members);
		APPEND_REPEATED(page, request->parts[i], groups);
		APPEND_REPEATED(page, request->parts[i], documents);
		APPEND_REPEATED(page, request->parts[i], counters);
		APPEND_REPEATED(page, request->parts[i], histograms);
	}
	return page;
}

/*
 * Append a label value, escaped as the Prometheus text format requires.
 */
static void
append_label_value(GString *to, const char *value)
{
	for (; *value != '\0'; value++) {
		if (*value == '\n') {
			g_string_append(to, "\\n");
			continue;
		}
		if (*value == '"' || *value == '\\')
			g_string_append_c(to, '\\');
		g_string_append_c(to, *value);
	}
}

/*
 * Append one histogram.  The last bucket, le="+Inf", counts all samples.
 */
static void
append_histogram(const Bp__Histogram *histogram, GString *to)
{
	GString *labels = g_string_new("database=\"");
	char *rank = g_ascii_strdown(
	    bp__rank__descriptor.values[histogram->rank].name, -1);
	size_t i;

	append_label_value(labels, histogram->team);
	g_string_append_printf(
	    labels, "\",rank=\"%s\",outcome=\"%s\"", rank, histogram->outcome);
	for (i = 0; i < histogram->n_buckets; i++)
		g_string_append_printf(to,
		    "bergamotplank_statement_seconds_bucket{%s,le=\"%g\"} "
		    "%" G_GUINT64_FORMAT "\n",
		    labels->str, latency_bounds_ms[i] / (double)MS_PER_S,
		    histogram->buckets[i]);
	g_string_append_printf(to,
	    "bergamotplank_statement_seconds_bucket{%s,le=\"+Inf\"} "
	    "%" G_GUINT64_FORMAT "\n"
	    "bergamotplank_statement_seconds_sum{%s} %.6f\n"
	    "bergamotplank_statement_seconds_count{%s} %" G_GUINT64_FORMAT "\n",
	    labels->str, histogram->count, labels->str,
	    histogram->sum_ms / MS_PER_S, labels->str, histogram->count);
	g_free(rank);
	g_string_free(labels, TRUE);
}

/* A gauge with one sample for each group or for each database of a group. */
typedef struct gauge {
	const char *name;
	/* return the value of a group or of a database; the other is NULL */
	double (*group)(const Bp__GroupStatus *);
	double (*database)(const Bp__DatabaseStatus *);
} gauge_t;

/*
 * Return the number of statements queued for a group.
 */
static double
group_queued(const Bp__GroupStatus *group)
{
	return group->queued;
}

/*
 * Return the term of a group's primary.
 */
static double
group_term(const Bp__GroupStatus *group)
{
	return (double)group->term;
}

/*
 * Return 1 if the primary of a group is known, else 0.
 */
static double
group_has_primary(const Bp__GroupStatus *group)
{
	return group->primary != NULL;
}

/*
 * Return 1 if a database answers, else 0.
 */
static double
database_is_reachable(const Bp__DatabaseStatus *database)
{
	return database->reachable;
}

/*
 * Return 1 if a database is the primary of its group, else 0.
 */
static double
database_is_primary(const Bp__DatabaseStatus *database)
{
	return database->primary;
}

/*
 * Return the number of connections from this daemon to a database.
 */
static double
database_connections(const Bp__DatabaseStatus *database)
{
	return database->connections;
}

/*
 * Return the number of this daemon's statements that a database is running.
 */
static double
database_in_flight(const Bp__DatabaseStatus *database)
{
	return database->in_flight;
}

static const gauge_t gauges[] = {
    {"group_queued", group_queued, NULL},
    {"group_term", group_term, NULL},
    {"group_has_primary", group_has_primary, NULL},
    {"server_reachable", NULL, database_is_reachable},
    {"server_primary", NULL, database_is_primary},
    {"server_connections", NULL, database_connections},
    {"server_in_flight", NULL, database_in_flight},
};

/*
 * Append the samples of one gauge for all groups.
 */
static void
append_gauge(const gauge_t *gauge, const Bp__StatusPage *page, GString *to)
{
	size_t i, j;

	g_string_append_printf(
	    to, "# TYPE bergamotplank_%s gauge\n", gauge->name);
	for (i = 0; i < page->n_groups; i++) {
		const Bp__GroupStatus *group = page->groups[i];

		if (gauge->group != NULL)
			g_string_append_printf(to,
			    "bergamotplank_%s{group=\"%s\"} %g\n", gauge->name,
			    group->name, gauge->group(group));
		for (j = 0; gauge->database != NULL && j < group->n_databases;
		     j++)
			g_string_append_printf(to,
			    "bergamotplank_%s{group=\"%s\",server=\"%s\"} "
			    "%g\n",
			    gauge->name, group->name, group->databases[j]->name,
			    gauge->database(group->databases[j]));
	}
}

/*
 * Format a status page as metrics in the Prometheus text format.
 */
static char *
metrics_format(const Bp__StatusPage *page)
{
	GString *text = g_string_new(NULL);
	size_t i;

	for (i = 0; i < page->n_counters; i++)
		g_string_append_printf(text,
		    "# TYPE bergamotplank_%s %s\n"
		    "bergamotplank_%s %" G_GUINT64_FORMAT "\n",
		    page->counters[i]->name,
		    page->counters[i]->gauge ? "gauge" : "counter",
		    page->counters[i]->name, page->counters[i]->value);
	for (i = 0; i < G_N_ELEMENTS(gauges); i++)
		append_gauge(&gauges[i], page, text);
	g_string_append(
	    text, "# TYPE bergamotplank_statement_seconds histogram\n");
	for (i = 0; i < page->n_histograms; i++)
		append_histogram(page->histograms[i], text);
	return g_string_free(text, FALSE);
}

/*
 * Merge the parts of a request and send the HTTP response.
 */
static void
status_request_finish(status_request_t *request)
{
	Bp__StatusPage *page = page_merge_parts(request);
	uint64_t size_bytes;
	char *body;

	soup_server_message_set_status(request->message, 200, NULL);
	if (request->format == STATUS_FORMAT_METRICS) {
		body = metrics_format(page);
		soup_server_message_set_response(request->message,
		    "text/plain; version=0.0.4", SOUP_MEMORY_TAKE, body,
		    strlen(body));
	} else {
		body = json_write(request->arena, &page->base, &size_bytes);
		soup_server_message_set_response(request->message,
		    "application/json", SOUP_MEMORY_COPY, body, size_bytes);
	}
	soup_server_message_unpause(request->message);
	g_hash_table_remove(request->collector->pending_requests, &request->id);
}

/*
 * Pause an HTTP request and ask other tasks, at most STATUS_PARTS_MAX, for
 * their parts of the response.  The counters are those of the calling task.
 */
void
status_collector_request(status_collector_t *collector,
    SoupServerMessage *message, status_format_t format, bool draining,
    const counters_t *counters, task_t *sender, task_t *const *tasks,
    uint32_t tasks_count)
{
	arena_t *arena = arena_new();
	status_request_t *request = arena_zalloc(arena, sizeof(*request));
	Bp__StatusRequest part_request = BP__STATUS_REQUEST__INIT;
	uint32_t i;

	g_assert(tasks_count <= STATUS_PARTS_MAX);
	request->id = ++collector->next_id;
	request->collector = collector;
	request->arena = arena;
	request->message = g_object_ref(message);
	request->format = format;
	request->draining = draining;
	request->parts_pending = tasks_count;
	request->parts[0] =
	    (Bp__StatusPart *)message_new(arena, &bp__status_part__descriptor);
	counters_report(counters, arena, request->parts[0]);
	request->parts_count = 1;
	g_hash_table_insert(collector->pending_requests, &request->id, request);
	soup_server_message_pause(message);
	part_request.id = request->id;
	for (i = 0; i < tasks_count; i++)
		task_send(tasks[i], sender, msg_copy(&part_request.base));
}

/*
 * Add a task's part to its request and respond once no part is missing.  Takes
 * over the message, which is freed with the request.
 */
void
status_collector_add_part(status_collector_t *collector, msg_t *msg)
{
	const Bp__StatusPart *part = (const Bp__StatusPart *)msg->body;
	status_request_t *request =
	    g_hash_table_lookup(collector->pending_requests, &part->id);

	if (request == NULL || request->parts_count > STATUS_PARTS_MAX) {
		msg_free(msg);
		return;
	}
	arena_steal(request->arena, msg->arena);
	request->parts[request->parts_count++] = (Bp__StatusPart *)part;
	if (--request->parts_pending == 0)
		status_request_finish(request);
}
