#include "../../gen/platform.pb-c.h"
#include "../../gen/standin.pb-c.h"
#include "../../src/json.h"

#include <argtable2.h>
#include <glib-unix.h>
#include <libsoup/soup.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

/*
 * Stand-in for the platform's object API.
 *
 * GET /objects/NAME            one object
 * GET /list?prefix=P&after=R   objects under a prefix; with after, wait
 *                              until the revision is above R (a watch)
 * POST /objects/NAME           conditional update
 * GET /vms                     the lagging list; POST /vms sets it
 * POST /fault, GET /calls
 */

#define WATCH_MS_MAX 5000

typedef struct object {
	char *name;
	uint64_t version;
	char *mark;
	char *value;
	uint64_t revision;
} object_t;

typedef struct watch {
	struct platform *platform;
	SoupServerMessage *message;
	char *prefix;
	uint64_t after;
	guint timer;
} watch_t;

typedef struct platform {
	SoupServer *server;
	GHashTable *objects;
	GList *watches;
	uint64_t revision;
	char *vms;      /* as clients see it */
	char *vms_next; /* as it really is */
	int64_t outage_until_ms;
	uint32_t slow_ms;
	uint32_t vm_lag_ms;
	bool lose_next;
	Bp__PlatformCalls calls;
} platform_t;

/*
 * Answer with a message as JSON.
 */
static void
answer(SoupServerMessage *to, uint32_t status, const ProtobufCMessage *message)
{
	arena_t *arena = arena_new();
	uint64_t size_bytes;
	char *body = json_write(arena, message, &size_bytes);

	soup_server_message_set_status(to, status, NULL);
	soup_server_message_set_response(
	    to, "application/json", SOUP_MEMORY_COPY, body, size_bytes);
	arena_free(arena);
}

/*
 * An object as a message in the arena.
 */
static Bp__Object *
object_message(arena_t *arena, const object_t *object, const char *name)
{
	Bp__Object *out =
	    (Bp__Object *)message_new(arena, &bp__object__descriptor);

	out->name = (char *)name;
	if (object != NULL) {
		out->version = object->version;
		out->mark = object->mark;
		out->value = object->value;
	}
	return out;
}

/*
 * All objects under a prefix, and the revision.
 */
static void
answer_list(platform_t *platform, SoupServerMessage *to, const char *prefix)
{
	arena_t *arena = arena_new();
	Bp__ObjectList *list =
	    (Bp__ObjectList *)message_new(arena, &bp__object_list__descriptor);
	GHashTableIter iter;
	gpointer value;

	list->revision = platform->revision;
	list->objects = arena_zero(arena,
	    sizeof(list->objects[0]) *
		(g_hash_table_size(platform->objects) + 1));
	g_hash_table_iter_init(&iter, platform->objects);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		object_t *object = value;

		if (g_str_has_prefix(object->name, prefix))
			list->objects[list->n_objects++] =
			    object_message(arena, object, object->name);
	}
	answer(to, 200, &list->base);
	arena_free(arena);
}

/*
 * End a watch with the list as it is now.
 */
static void
watch_end(watch_t *watch)
{
	platform_t *platform = watch->platform;

	platform->watches = g_list_remove(platform->watches, watch);
	answer_list(platform, watch->message, watch->prefix);
	soup_server_message_unpause(watch->message);
	if (watch->timer != 0)
		g_source_remove(watch->timer);
	g_object_unref(watch->message);
	g_free(watch->prefix);
	g_free(watch);
}

/*
 * A watch has waited long enough.
 */
static gboolean
on_watch_timeout(gpointer data)
{
	watch_t *watch = data;

	watch->timer = 0;
	watch_end(watch);
	return G_SOURCE_REMOVE;
}

/*
 * GET /list.
 */
static void
on_list(platform_t *platform, SoupServerMessage *message, GHashTable *query)
{
	const char *prefix =
	    query == NULL ? NULL : g_hash_table_lookup(query, "prefix");
	const char *after =
	    query == NULL ? NULL : g_hash_table_lookup(query, "after");
	watch_t *watch;

	prefix = prefix == NULL ? "" : prefix;
	if (after == NULL ||
	    g_ascii_strtoull(after, NULL, 10) < platform->revision) {
		platform->calls.reads++;
		answer_list(platform, message, prefix);
		return;
	}
	platform->calls.watches++;
	watch = g_new0(watch_t, 1);
	watch->platform = platform;
	watch->message = g_object_ref(message);
	watch->prefix = g_strdup(prefix);
	watch->after = g_ascii_strtoull(after, NULL, 10);
	watch->timer = g_timeout_add(WATCH_MS_MAX, on_watch_timeout, watch);
	platform->watches = g_list_prepend(platform->watches, watch);
	soup_server_message_pause(message);
}

/*
 * Wake the watches that a change of this object concerns.
 */
static void
watches_wake(platform_t *platform, const char *name)
{
	GList *l = platform->watches;

	while (l != NULL) {
		watch_t *watch = l->data;

		l = l->next;
		if (g_str_has_prefix(name, watch->prefix))
			watch_end(watch);
	}
}

/*
 * POST /objects/NAME: update when the version is still the one given.
 */
static void
on_update(platform_t *platform, SoupServerMessage *message, const char *name)
{
	arena_t *arena = arena_new();
	faults_t faults = {arena, NULL, 0, NULL};
	SoupMessageBody *body = soup_server_message_get_request_body(message);
	Bp__ObjectUpdate *update =
	    (Bp__ObjectUpdate *)json_read(arena, &bp__object_update__descriptor,
		body->data, (uint64_t)body->length, &faults);
	object_t *object = g_hash_table_lookup(platform->objects, name);
	uint64_t version = object == NULL ? 0 : object->version;

	platform->calls.writes++;
	if (update == NULL) {
		soup_server_message_set_status(message, 400, NULL);
	} else if (update->version != version) {
		answer(
		    message, 409, &object_message(arena, object, name)->base);
	} else {
		if (object == NULL) {
			object = g_new0(object_t, 1);
			object->name = g_strdup(name);
			g_hash_table_insert(
			    platform->objects, object->name, object);
		}
		object->version++;
		object->revision = ++platform->revision;
		g_free(object->mark);
		g_free(object->value);
		object->mark = g_strdup(update->mark);
		object->value = g_strdup(update->value);
		answer(
		    message, 200, &object_message(arena, object, name)->base);
		watches_wake(platform, name);
	}
	arena_free(arena);
}

/*
 * The list of VMs has caught up.
 */
static gboolean
on_vms_lagged(gpointer data)
{
	platform_t *platform = data;

	g_free(platform->vms);
	platform->vms = g_strdup(platform->vms_next);
	return G_SOURCE_REMOVE;
}

/*
 * GET and POST /vms.
 */
static void
on_vms(platform_t *platform, SoupServerMessage *message)
{
	SoupMessageBody *body = soup_server_message_get_request_body(message);

	if (strcmp(soup_server_message_get_method(message), "POST") == 0) {
		g_free(platform->vms_next);
		platform->vms_next = g_strndup(body->data, (gsize)body->length);
		g_timeout_add(platform->vm_lag_ms, on_vms_lagged, platform);
	} else {
		platform->calls.reads++;
	}
	soup_server_message_set_status(message, 200, NULL);
	soup_server_message_set_response(message, "application/json",
	    SOUP_MEMORY_COPY, platform->vms, strlen(platform->vms));
}

/*
 * POST /fault.
 */
static void
on_fault(platform_t *platform, SoupServerMessage *message)
{
	arena_t *arena = arena_new();
	faults_t faults = {arena, NULL, 0, NULL};
	SoupMessageBody *body = soup_server_message_get_request_body(message);
	Bp__PlatformFault *fault = (Bp__PlatformFault *)json_read(arena,
	    &bp__platform_fault__descriptor, body->data, (uint64_t)body->length,
	    &faults);

	soup_server_message_set_status(message, fault == NULL ? 400 : 200, "");
	if (fault != NULL && fault->has_outage_ms)
		platform->outage_until_ms = clock_ms() + fault->outage_ms;
	if (fault != NULL && fault->has_slow_ms)
		platform->slow_ms = fault->slow_ms;
	if (fault != NULL && fault->has_lose_next_answer)
		platform->lose_next = fault->lose_next_answer;
	if (fault != NULL && fault->has_vm_lag_ms)
		platform->vm_lag_ms = fault->vm_lag_ms;
	arena_free(arena);
}

/*
 * An answer that waited for the slowness of the platform.
 */
static gboolean
on_slow_over(gpointer data)
{
	soup_server_message_unpause(data);
	g_object_unref(data);
	return G_SOURCE_REMOVE;
}

/*
 * Cut the connection of a request, so that its answer is lost.
 */
static void
lose(SoupServerMessage *message)
{
	g_socket_shutdown(
	    soup_server_message_get_socket(message), TRUE, TRUE, NULL);
}

/*
 * Every request to the object API.
 */
static void
on_request(SoupServer *server, SoupServerMessage *message, const char *path,
    GHashTable *query, gpointer context)
{
	platform_t *platform = context;
	const char *method = soup_server_message_get_method(message);
	arena_t *arena;

	(void)server;
	if (strcmp(path, "/fault") == 0) {
		on_fault(platform, message);
		return;
	}
	if (strcmp(path, "/calls") == 0) {
		answer(message, 200, &platform->calls.base);
		return;
	}
	if (clock_ms() < platform->outage_until_ms) {
		lose(message);
		soup_server_message_set_status(message, 503, NULL);
		return;
	}
	if (strcmp(path, "/vms") == 0) {
		on_vms(platform, message);
	} else if (strcmp(path, "/list") == 0) {
		on_list(platform, message, query);
		return;
	} else if (g_str_has_prefix(path, "/objects/")) {
		const char *name = path + strlen("/objects/");

		if (strcmp(method, "POST") == 0) {
			on_update(platform, message, name);
			if (platform->lose_next)
				lose(message);
			platform->lose_next = false;
		} else {
			platform->calls.reads++;
			arena = arena_new();
			answer(message, 200,
			    &object_message(arena,
				g_hash_table_lookup(platform->objects, name),
				name)
				 ->base);
			arena_free(arena);
		}
	} else {
		soup_server_message_set_status(message, 404, NULL);
	}
	if (platform->slow_ms > 0) {
		soup_server_message_pause(message);
		g_timeout_add(
		    platform->slow_ms, on_slow_over, g_object_ref(message));
	}
}

/*
 * SIGTERM ends the stand-in.
 */
static gboolean
on_term(gpointer loop)
{
	g_main_loop_quit(loop);
	return G_SOURCE_REMOVE;
}

/*
 * fakeplatform --port N
 */
int
main(int argc, char **argv)
{
	struct arg_int *port = arg_int1(NULL, "port", "N", NULL);
	struct arg_end *end = arg_end(5);
	void *table[] = {port, end};
	platform_t platform = {0};
	GMainLoop *loop = g_main_loop_new(NULL, FALSE);
	GError *error = NULL;

	if (arg_parse(argc, argv, table) > 0) {
		arg_print_errors(stderr, end, "fakeplatform");
		return 2;
	}
	bp__platform_calls__init(&platform.calls);
	platform.objects = g_hash_table_new(g_str_hash, g_str_equal);
	platform.vms = g_strdup("{\"vms\":[]}");
	platform.vms_next = g_strdup(platform.vms);
	platform.server = soup_server_new(NULL, NULL);
	soup_server_add_handler(
	    platform.server, NULL, on_request, &platform, NULL);
	if (!soup_server_listen_local(platform.server, (guint)port->ival[0],
		SOUP_SERVER_LISTEN_IPV4_ONLY, &error)) {
		fprintf(stderr, "fakeplatform: %s\n", error->message);
		return 1;
	}
	g_unix_signal_add(SIGTERM, on_term, loop);
	g_main_loop_run(loop);
	return 0;
}
