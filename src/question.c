#include "question.h"

#include "json.h"

#include <string.h>

#define PARTS_MAX 4

/* One question that waits for the parts of its answer. */
typedef struct question {
	uint64_t id; /* the key */
	questions_t *questions;
	arena_t *arena;
	SoupServerMessage *message;
	question_kind_t kind;
	bool draining;
	uint32_t waiting;
	Bp__StatusPart *parts[PARTS_MAX + 1];
	uint32_t parts_count;
} question_t;

struct questions {
	const char *daemon;
	int64_t started_us;
	uint64_t next_id;
	GHashTable *open; /* of question_t by id */
};

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
 * Free a question that is answered, or that nobody waits for.
 */
static void
question_free(gpointer p)
{
	question_t *question = p;

	g_object_unref(question->message);
	arena_free(question->arena);
}

/*
 * Begin to take questions for a daemon of this name.
 */
questions_t *
questions_new(const char *daemon)
{
	questions_t *questions = g_new0(questions_t, 1);

	questions->daemon = daemon;
	questions->started_us = clock_us();
	questions->open = g_hash_table_new_full(
	    g_int64_hash, g_int64_equal, NULL, question_free);
	return questions;
}

/*
 * Drop the questions that wait.
 */
void
questions_free(questions_t *questions)
{
	g_hash_table_unref(questions->open);
	g_free(questions);
}

/*
 * Put the parts together.
 */
static Bp__StatusPage *
page_join(const question_t *question)
{
	const questions_t *questions = question->questions;
	arena_t *arena = question->arena;
	Bp__StatusPage *page =
	    (Bp__StatusPage *)message_new(arena, &bp__status_page__descriptor);
	uint32_t i;

	page->daemon = (char *)questions->daemon;
	page->version = (char *)BP_VERSION;
	page->draining = question->draining;
	page->uptime_ms =
	    (uint64_t)(clock_us() - questions->started_us) / US_PER_MS;
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
 * Add a value of a label, with what the format has escaped.
 */
static void
label_add(GString *to, const char *value)
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
 * One histogram.  The last bucket has everything.
 */
static void
histogram_text(const Bp__Histogram *histogram, GString *to)
{
	GString *labels = g_string_new("database=\"");
	char *rank = g_ascii_strdown(
	    bp__rank__descriptor.values[histogram->rank].name, -1);
	size_t i;

	label_add(labels, histogram->team);
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

/* A number of each database or group. */
typedef struct gauge {
	const char *name;
	double (*group)(const Bp__GroupStatus *);
	double (*database)(const Bp__DatabaseStatus *);
} gauge_t;

/*
 * How many statements wait for a group.
 */
static double
group_queued(const Bp__GroupStatus *group)
{
	return group->queued;
}

/*
 * The term that a group's primary has.
 */
static double
group_term(const Bp__GroupStatus *group)
{
	return (double)group->term;
}

/*
 * Whether the primary of a group is known: 1 or 0.
 */
static double
group_has_primary(const Bp__GroupStatus *group)
{
	return group->primary != NULL;
}

/*
 * Whether a database answers: 1 or 0.
 */
static double
database_reachable(const Bp__DatabaseStatus *database)
{
	return database->reachable;
}

/*
 * Whether a database is the primary: 1 or 0.
 */
static double
database_primary(const Bp__DatabaseStatus *database)
{
	return database->primary;
}

/*
 * How many connections this daemon has to a database.
 */
static double
database_connections(const Bp__DatabaseStatus *database)
{
	return database->connections;
}

/*
 * How many statements of this daemon a database runs.
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
    {"server_reachable", NULL, database_reachable},
    {"server_primary", NULL, database_primary},
    {"server_connections", NULL, database_connections},
    {"server_in_flight", NULL, database_in_flight},
};

/*
 * One gauge of all groups.
 */
static void
gauge_text(const gauge_t *gauge, const Bp__StatusPage *page, GString *to)
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
 * A page as metrics, in the text format of Prometheus.
 */
static char *
metrics_text(const Bp__StatusPage *page)
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
		gauge_text(&gauges[i], page, text);
	g_string_append(
	    text, "# TYPE bergamotplank_statement_seconds histogram\n");
	for (i = 0; i < page->n_histograms; i++)
		histogram_text(page->histograms[i], text);
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
	if (question->kind == QUESTION_METRICS) {
		body = metrics_text(page);
		soup_server_message_set_response(question->message,
		    "text/plain; version=0.0.4", SOUP_MEMORY_TAKE, body,
		    strlen(body));
	} else {
		body = json_write(question->arena, &page->base, &size_bytes);
		soup_server_message_set_response(question->message,
		    "application/json", SOUP_MEMORY_COPY, body, size_bytes);
	}
	soup_server_message_unpause(question->message);
	g_hash_table_remove(question->questions->open, &question->id);
}

/*
 * Ask some tasks, at most PARTS_MAX, what an operator wants to know.  own: the
 * counters of the asking task.
 */
void
questions_ask(questions_t *questions, SoupServerMessage *message,
    question_kind_t kind, bool draining, const counters_t *own, task_t *from,
    task_t *const *to, uint32_t to_count)
{
	arena_t *arena = arena_new();
	question_t *question = arena_zero(arena, sizeof(*question));
	Bp__StatusWanted wanted = BP__STATUS_WANTED__INIT;
	uint32_t i;

	g_assert(to_count <= PARTS_MAX);
	question->id = ++questions->next_id;
	question->questions = questions;
	question->arena = arena;
	question->message = g_object_ref(message);
	question->kind = kind;
	question->draining = draining;
	question->waiting = to_count;
	question->parts[0] =
	    (Bp__StatusPart *)message_new(arena, &bp__status_part__descriptor);
	counters_report(own, arena, question->parts[0]);
	question->parts_count = 1;
	g_hash_table_insert(questions->open, &question->id, question);
	soup_server_message_pause(message);
	wanted.id = question->id;
	for (i = 0; i < to_count; i++)
		task_send(to[i], from, msg_copy(&wanted.base));
}

/*
 * A task gave its part; the message is freed with the question.
 */
void
questions_part(questions_t *questions, msg_t *msg)
{
	const Bp__StatusPart *part = (const Bp__StatusPart *)msg->body;
	question_t *question = g_hash_table_lookup(questions->open, &part->id);

	if (question == NULL || question->parts_count > PARTS_MAX) {
		msg_free(msg);
		return;
	}
	arena_steal(question->arena, msg->arena);
	question->parts[question->parts_count++] = (Bp__StatusPart *)part;
	if (--question->waiting == 0)
		question_end(question);
}
