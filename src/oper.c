#include "front.h"

#include "json.h"

#include <errno.h>
#include <string.h>

/* The operators' HTTP side: the status page and the counters. */

#define PARTS 3 /* group, peer, platform */
#define PART "front"

/* One question of an operator that waits for the parts of its answer. */
typedef struct question {
	uint64_t id; /* the key */
	front_role_t *role;
	arena_t *arena;
	SoupServerMessage *message;
	bool metrics;
	uint32_t waiting;
	Bp__StatusPart *parts[PARTS + 1];
	uint32_t parts_count;
} question_t;

#define JOIN(page, part, field) \
	do { \
		if ((part)->n_##field > 0) \
			memcpy((page)->field + (page)->n_##field, \
			    (part)->field, \
			    sizeof((page)->field[0]) * (part)->n_##field); \
		(page)->n_##field += (part)->n_##field; \
	} while (0)

#define ROOM(arena, question, page, field) \
	do { \
		size_t room_ = 1; \
		uint32_t i_; \
		for (i_ = 0; i_ < (question)->parts_count; i_++) \
			room_ += (question)->parts[i_]->n_##field; \
		(page)->field = \
		    arena_zero(arena, sizeof((page)->field[0]) * room_); \
	} while (0)

/*
 * Put the parts together.
 */
static Bp__StatusPage *
page_join(const question_t *question)
{
	arena_t *arena = question->arena;
	Bp__StatusPage *page =
	    (Bp__StatusPage *)message_new(arena, &bp__status_page__descriptor);
	uint32_t i;

	page->daemon = question->role->daemon->settings->name;
	page->version = (char *)BP_VERSION;
	page->draining = question->role->draining;
	page->uptime_ms =
	    (uint64_t)(clock_us() - question->role->started_us) / US_PER_MS;
	ROOM(arena, question, page, members);
	ROOM(arena, question, page, groups);
	ROOM(arena, question, page, documents);
	ROOM(arena, question, page, counters);
	ROOM(arena, question, page, histograms);
	for (i = 0; i < question->parts_count; i++) {
		JOIN(page, question->parts[i], members);
		JOIN(page, question->parts[i], groups);
		JOIN(page, question->parts[i], documents);
		JOIN(page, question->parts[i], counters);
		JOIN(page, question->parts[i], histograms);
	}
	return page;
}

/*
 * The counters and histograms as lines of text.
 */
static char *
metrics_text(const Bp__StatusPage *page)
{
	GString *text = g_string_new(NULL);
	char *rank;
	size_t i;

	for (i = 0; i < page->n_counters; i++)
		g_string_append_printf(text,
		    "bergamotplank_%s %" G_GUINT64_FORMAT "\n",
		    page->counters[i]->name, page->counters[i]->value);
	for (i = 0; i < page->n_histograms; i++) {
		const Bp__Histogram *h = page->histograms[i];

		rank = g_ascii_strdown(
		    bp__rank__descriptor.values[h->rank].name, -1);
		g_string_append_printf(text,
		    "bergamotplank_latency_ms{team=\"%s\",rank=\"%s\","
		    "quantile=\"0.5\"} %.3f\n"
		    "bergamotplank_latency_ms{team=\"%s\",rank=\"%s\","
		    "quantile=\"0.9\"} %.3f\n"
		    "bergamotplank_latency_ms{team=\"%s\",rank=\"%s\","
		    "quantile=\"0.99\"} %.3f\n"
		    "bergamotplank_latency_ms_count{team=\"%s\",rank=\"%s\"} "
		    "%" G_GUINT64_FORMAT "\n",
		    h->team, rank, h->p50_ms, h->team, rank, h->p90_ms, h->team,
		    rank, h->p99_ms, h->team, rank, h->count);
		g_free(rank);
	}
	return g_string_free(text, FALSE);
}

/*
 * All parts are there: answer the operator.
 */
static void
question_end(question_t *question)
{
	Bp__StatusPage *page = page_join(question);
	uint64_t size_bytes;
	char *body;

	soup_server_message_set_status(question->message, 200, NULL);
	if (question->metrics) {
		body = metrics_text(page);
		soup_server_message_set_response(question->message,
		    "text/plain", SOUP_MEMORY_TAKE, body, strlen(body));
	} else {
		body = json_write(question->arena, &page->base, &size_bytes);
		soup_server_message_set_response(question->message,
		    "application/json", SOUP_MEMORY_COPY, body, size_bytes);
	}
	soup_server_message_unpause(question->message);
	g_object_unref(question->message);
	g_hash_table_remove(question->role->queries, &question->id);
	arena_free(question->arena);
}

/*
 * A task gave its part.
 */
void
oper_part(front_role_t *role, const Bp__StatusPart *part, arena_t *arena)
{
	question_t *question = g_hash_table_lookup(role->queries, &part->id);

	if (question == NULL || question->parts_count > PARTS) {
		arena_free(arena);
		return;
	}
	arena_steal(question->arena, arena);
	question->parts[question->parts_count++] = (Bp__StatusPart *)part;
	if (--question->waiting == 0)
		question_end(question);
}

static const char *const counter_names[COUNT_FRONT_COUNTERS] = {
    [COUNT_REQUESTS] = "requests",
    [COUNT_BAD_REQUESTS] = "bad_requests",
    [COUNT_TOO_LARGE] = "requests_too_large",
    [COUNT_TOO_SLOW] = "requests_too_slow",
    [COUNT_TOO_MANY] = "connections_refused",
    [COUNT_CONNECTIONS] = "caller_connections",
    [COUNT_REROUTED] = "statements_rerouted",
    [COUNT_LATE_ANSWERS] = "late_answers",
};

/*
 * GET /v1/status and GET /v1/metrics.
 */
static void
on_request(SoupServer *server, SoupServerMessage *message, const char *path,
    GHashTable *query, gpointer context)
{
	front_role_t *role = context;
	task_t *to[PARTS] = {
	    role->daemon->group, role->daemon->peer, role->daemon->platform};
	counters_t counters = {
	    counter_names, role->counts, COUNT_FRONT_COUNTERS};
	Bp__StatusWanted wanted = BP__STATUS_WANTED__INIT;
	arena_t *arena;
	question_t *question;
	uint32_t i;

	(void)server;
	(void)query;
	if (strcmp(path, "/v1/status") != 0 &&
	    strcmp(path, "/v1/metrics") != 0) {
		soup_server_message_set_status(message, 404, NULL);
		return;
	}
	arena = arena_new();
	question = arena_zero(arena, sizeof(*question));
	question->id = ++role->next_route;
	question->role = role;
	question->arena = arena;
	question->message = g_object_ref(message);
	question->metrics = strcmp(path, "/v1/metrics") == 0;
	question->waiting = PARTS;
	question->parts[0] =
	    (Bp__StatusPart *)message_new(arena, &bp__status_part__descriptor);
	role->counts[COUNT_TOO_MANY] = callers_refused(role->connections);
	role->counts[COUNT_CONNECTIONS] = callers_count(role->connections);
	counters_report(&counters, arena, question->parts[0]);
	question->parts_count = 1;
	g_hash_table_insert(role->queries, &question->id, question);
	soup_server_message_pause(message);
	wanted.id = question->id;
	for (i = 0; i < PARTS; i++)
		task_send(to[i], role->task, msg_copy(&wanted.base));
}

/*
 * Listen for operators.  Returns 0 or a negative error number.
 */
int32_t
oper_start(front_role_t *role)
{
	const Bp__Settings *settings = role->daemon->settings;
	GSocketAddress *address = g_inet_socket_address_new_from_string(
	    settings->address, settings->operator_port);
	GError *error = NULL;
	bool listens;

	role->operators = soup_server_new(NULL, NULL);
	soup_server_add_handler(role->operators, NULL, on_request, role, NULL);
	listens = soup_server_listen(
	    role->operators, address, (SoupServerListenOptions)0, &error);
	g_object_unref(address);
	if (listens)
		return 0;
	log_line(PART, G_LOG_LEVEL_WARNING, "Cannot listen for operators: %s.",
	    error->message);
	g_error_free(error);
	return -EADDRINUSE;
}
