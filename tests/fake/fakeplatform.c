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
 * Fake object API of the platform, for tests of "bergamotplank serve".
 *
 * GET /objects/NAME            one object
 * GET /list?prefix=P&after=R   objects under a prefix; with after, wait until
 *                              the revision is above R (a watch)
 * POST /objects/NAME           conditional update
 * GET /vms                     list of VMs, as published after a delay
 * POST /vms                    replace the list of VMs
 * POST /fault                  inject faults
 * GET /calls                   numbers of reads, writes and watches
 */

#define WATCH_TIMEOUT_MS 5000

typedef struct object {
	char *name;
	uint64_t version;
	char *mark;
	char *value;
	uint64_t revision; /* revision of the store at the last update */
} object_t;

typedef struct watch {
	struct platform *platform;
	SoupServerMessage *message;
	char *prefix;
	uint64_t after_revision;
	guint timer;
} watch_t;

typedef struct platform {
	SoupServer *server;
	GHashTable *objects;
	GList *watches;
	uint64_t revision;
	char *published_vms; /* list of VMs that clients get */
	char *pending_vms;   /* list of VMs to be published after vm_lag_ms */
	int64_t outage_until_ms;
	uint32_t answer_delay_ms;
	uint32_t vm_lag_ms;
	bool lose_next_answer;
	Bp__PlatformCalls calls;
} platform_t;

/*
 * Answer with a message as JSON.
 */
static void
send_message(SoupServerMessage *request, uint32_t status,
    const ProtobufCMessage *message)
{
	arena_t *arena = arena_new();
	uint64_t size_bytes;
	char *body = json_write(arena, message, &size_bytes);

	soup_server_message_set_status(request, status, NULL);
	soup_server_message_set_response(
	    request, "application/json", SOUP_MEMORY_COPY, body, size_bytes);
	arena_free(arena);
}

/*
 * Return an object as a message in the arena, with only its name if it does
 * not exist.
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
 * Answer with all objects under a prefix and the current revision.
 */
static void
answer_list(
    platform_t *platform, SoupServerMessage *request, const char *prefix)
{
	arena_t *arena = arena_new();
	Bp__ObjectList *list =
	    (Bp__ObjectList *)message_new(arena, &bp__object_list__descriptor);
	GHashTableIter iter;
	gpointer value;

	list->revision = platform->revision;
	list->objects = arena_zalloc(arena,
	    sizeof(list->objects[0]) *
		(g_hash_table_size(platform->objects) + 1));
	g_hash_table_iter_init(&iter, platform->objects);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		object_t *object = value;

		if (g_str_has_prefix(object->name, prefix))
			list->objects[list->n_objects++] =
			    object_message(arena, object, object->name);
	}
	send_message(request, 200, &list->base);
	arena_free(arena);
}

/*
 * Answer a watch with the current objects, and free it.
 */
static void
watch_complete(watch_t *watch)
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
 * Answer a watch whose maximum wait has passed.
 */
static gboolean
on_watch_timeout(gpointer data)
{
	watch_t *watch = data;

	watch->timer = 0;
	watch_complete(watch);
	return G_SOURCE_REMOVE;
}

/*
 * Handle GET /list: answer at once, or as a watch once the revision is above
 * the given one.
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
	watch->after_revision = g_ascii_strtoull(after, NULL, 10);
	watch->timer = g_timeout_add(WATCH_TIMEOUT_MS, on_watch_timeout, watch);
	platform->watches = g_list_prepend(platform->watches, watch);
	soup_server_message_pause(message);
}

/*
 * Answer the watches whose prefix matches the name of a changed object.
 */
static void
complete_watches(platform_t *platform, const char *name)
{
	GList *l = platform->watches;

	while (l != NULL) {
		watch_t *watch = l->data;

		l = l->next;
		if (g_str_has_prefix(name, watch->prefix))
			watch_complete(watch);
	}
}

/*
 * Handle POST /objects/NAME: update the object if its version is the given one.
 */
static void
on_update(platform_t *platform, SoupServerMessage *message, const char *name)
{
	arena_t *arena = arena_new();
	input_errors_t errors = {arena, NULL, 0, NULL};
	SoupMessageBody *body = soup_server_message_get_request_body(message);
	Bp__ObjectUpdate *update =
	    (Bp__ObjectUpdate *)json_read(arena, &bp__object_update__descriptor,
		body->data, (uint64_t)body->length, &errors);
	object_t *object = g_hash_table_lookup(platform->objects, name);
	uint64_t version = object == NULL ? 0 : object->version;

	platform->calls.writes++;
	if (update == NULL) {
		soup_server_message_set_status(message, 400, NULL);
	} else if (update->version != version) {
		send_message(
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
		send_message(
		    message, 200, &object_message(arena, object, name)->base);
		complete_watches(platform, name);
	}
	arena_free(arena);
}

/*
 * Publish the pending list of VMs, after the delay.
 */
static gboolean
publish_vms(gpointer data)
{
	platform_t *platform = data;

	g_free(platform->published_vms);
	platform->published_vms = g_strdup(platform->pending_vms);
	return G_SOURCE_REMOVE;
}

/*
 * Handle GET /vms, which returns the published list of VMs, and POST /vms,
 * which replaces it after a delay.
 */
static void
on_vms(platform_t *platform, SoupServerMessage *message)
{
	SoupMessageBody *body = soup_server_message_get_request_body(message);

	if (strcmp(soup_server_message_get_method(message), "POST") == 0) {
		g_free(platform->pending_vms);
		platform->pending_vms =
		    g_strndup(body->data, (gsize)body->length);
		g_timeout_add(platform->vm_lag_ms, publish_vms, platform);
	} else {
		platform->calls.reads++;
	}
	soup_server_message_set_status(message, 200, NULL);
	soup_server_message_set_response(message, "application/json",
	    SOUP_MEMORY_COPY, platform->published_vms,
	    strlen(platform->published_vms));
}

/*
 * Handle POST /fault: inject the faults that a test requests.
 */
static void
on_fault(platform_t *platform, SoupServerMessage *message)
{
	arena_t *arena = arena_new();
	input_errors_t errors = {arena, NULL, 0, NULL};
	SoupMessageBody *body = soup_server_message_get_request_body(message);
	Bp__PlatformFault *fault = (Bp__PlatformFault *)json_read(arena,
	    &bp__platform_fault__descriptor, body->data, (uint64_t)body->length,
	    &errors);

	soup_server_message_set_status(message, fault == NULL ? 400 : 200, "");
	if (fault != NULL && fault->has_outage_ms)
		platform->outage_until_ms = clock_ms() + fault->outage_ms;
	if (fault != NULL && fault->has_slow_ms)
		platform->answer_delay_ms = fault->slow_ms;
	if (fault != NULL && fault->has_lose_next_answer)
		platform->lose_next_answer = fault->lose_next_answer;
	if (fault != NULL && fault->has_vm_lag_ms)
		platform->vm_lag_ms = fault->vm_lag_ms;
	arena_free(arena);
}

/*
 * Send an answer after the delay that a test has requested.
 */
static gboolean
on_answer_delay_over(gpointer data)
{
	soup_server_message_unpause(data);
	g_object_unref(data);
	return G_SOURCE_REMOVE;
}

/*
 * Shut down the connection of a request so that the answer is lost.
 */
static void
shutdown_connection(SoupServerMessage *message)
{
	g_socket_shutdown(
	    soup_server_message_get_socket(message), TRUE, TRUE, NULL);
}

/*
 * Handle a request.  Faults do not apply to /fault and /calls.
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
		send_message(message, 200, &platform->calls.base);
		return;
	}
	if (clock_ms() < platform->outage_until_ms) {
		shutdown_connection(message);
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
			if (platform->lose_next_answer)
				shutdown_connection(message);
			platform->lose_next_answer = false;
		} else {
			platform->calls.reads++;
			arena = arena_new();
			send_message(message, 200,
			    &object_message(arena,
				g_hash_table_lookup(platform->objects, name),
				name)
				 ->base);
			arena_free(arena);
		}
	} else {
		soup_server_message_set_status(message, 404, NULL);
	}
	if (platform->answer_delay_ms > 0) {
		soup_server_message_pause(message);
		g_timeout_add(platform->answer_delay_ms, on_answer_delay_over,
		    g_object_ref(message));
	}
}

/*
 * Stop the server on SIGTERM.
 */
static gboolean
on_sigterm(gpointer loop)
{
	g_main_loop_quit(loop);
	return G_SOURCE_REMOVE;
}

/*
 * Run the fake platform.
 *
 * Usage: fakeplatform --port N
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
	platform.published_vms = g_strdup("{\"vms\":[]}");
	platform.pending_vms = g_strdup(platform.published_vms);
	platform.server = soup_server_new(NULL, NULL);
	soup_server_add_handler(
	    platform.server, NULL, on_request, &platform, NULL);
	if (!soup_server_listen_local(platform.server, (guint)port->ival[0],
		SOUP_SERVER_LISTEN_IPV4_ONLY, &error)) {
		fprintf(stderr, "fakeplatform: %s\n", error->message);
		return 1;
	}
	g_unix_signal_add(SIGTERM, on_sigterm, loop);
	g_main_loop_run(loop);
	return 0;
}
