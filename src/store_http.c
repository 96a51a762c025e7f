#include "json.h"
#include "store.h"
#include "task.h"

#include <libsoup/soup.h>

#define CONNECTIONS_MAX 8 /* two of them wait in watches */
#define WATCH_MS 10000    /* a watch is answered well before this */

struct store {
	SoupSession *session;
	char *base;
	uint32_t timeout_ms;
	GCancellable *closing;
};

/* One call under way. */
typedef struct call {
	store_t *store;
	SoupMessage *message;
	GCancellable *cancellable;
	GSource *timeout;
	const ProtobufCMessageDescriptor *type;
	void (*answer)(struct call *, uint32_t status, ProtobufCMessage *);
	union {
		store_object_cb object;
		store_list_cb list;
		store_vms_cb vms;
	} callback;
	void *context;
} call_t;

/*
 * Hand an object to the caller.
 */
static void
answer_object(call_t *call, uint32_t status, ProtobufCMessage *message)
{
	call->callback.object(
	    call->context, status, (const Bp__Object *)message);
}

/*
 * Hand a list to the caller.
 */
static void
answer_list(call_t *call, uint32_t status, ProtobufCMessage *message)
{
	call->callback.list(call->context,
	    status == STORE_OK ? (const Bp__ObjectList *)message : NULL);
}

/*
 * Hand the VMs to the caller.
 */
static void
answer_vms(call_t *call, uint32_t status, ProtobufCMessage *message)
{
	call->callback.vms(call->context,
	    status == STORE_OK ? (const Bp__VmList *)message : NULL);
}

/*
 * Free a call.
 */
static void
call_free(call_t *call)
{
	source_drop(&call->timeout);
	g_object_unref(call->message);
	g_object_unref(call->cancellable);
	g_free(call);
}

/*
 * A call has ended: read its answer and hand it over, unless we close.
 */
static void
on_sent(GObject *session, GAsyncResult *result, gpointer context)
{
	call_t *call = context;
	GError *error = NULL;
	GBytes *body = soup_session_send_and_read_finish(
	    SOUP_SESSION(session), result, &error);
	faults_t faults = {arena_new(), NULL, 0, NULL};
	ProtobufCMessage *message = NULL;
	uint32_t status = 0;
	const char *text;
	gsize size;

	if (g_cancellable_is_cancelled(call->store->closing)) {
		g_clear_error(&error);
	} else {
		if (body != NULL) {
			status = soup_message_get_status(call->message);
			text = g_bytes_get_data(body, &size);
			message = json_read(faults.arena, call->type,
			    text == NULL ? "" : text, size, &faults);
		}
		g_clear_error(&error);
		call->answer(call, message == NULL ? 0 : status, message);
	}
	if (body != NULL)
		g_bytes_unref(body);
	arena_free(faults.arena);
	call_free(call);
}

/*
 * A call has taken too long.
 */
static gboolean
on_timeout(gpointer context)
{
	call_t *call = context;

	g_cancellable_cancel(call->cancellable);
	return G_SOURCE_REMOVE;
}

/*
 * Make a call to a path below the base.
 */
static call_t *
call_new(store_t *store, const char *method, const char *path,
    const ProtobufCMessageDescriptor *type, void *context)
{
	call_t *call = g_new0(call_t, 1);
	char *url = g_strconcat(store->base, path, NULL);

	call->store = store;
	call->type = type;
	call->context = context;
	call->message = soup_message_new(method, url);
	call->cancellable = g_cancellable_new();
	g_free(url);
	return call;
}

/*
 * Send a call and bound its time.
 */
static void
call_send(call_t *call, uint32_t timeout_ms)
{
	call->timeout = g_timeout_source_new(timeout_ms);
	g_source_set_callback(call->timeout, on_timeout, call, NULL);
	g_source_attach(call->timeout, g_main_context_get_thread_default());
	soup_session_send_and_read_async(call->store->session, call->message,
	    G_PRIORITY_DEFAULT, call->cancellable, on_sent, call);
}

/*
 * Open the way to the object API.  Nothing is sent yet.
 */
static store_t *
http_open(const char *address, uint32_t port, uint32_t timeout_ms)
{
	store_t *store = g_new0(store_t, 1);

	store->session = soup_session_new_with_options("max-conns-per-host",
	    CONNECTIONS_MAX, "proxy-resolver", NULL, NULL);
	store->base = g_strdup_printf("http://%s:%u", address, port);
	store->timeout_ms = timeout_ms;
	store->closing = g_cancellable_new();
	return store;
}

/*
 * List the objects below a prefix, now or after a change.
 */
static void
http_list(store_t *store, const char *prefix, uint64_t after,
    store_list_cb callback, void *context)
{
	char *path = after == 0
	    ? g_strdup_printf("/list?prefix=%s", prefix)
	    : g_strdup_printf(
		  "/list?prefix=%s&after=%" G_GUINT64_FORMAT, prefix, after);
	call_t *call =
	    call_new(store, "GET", path, &bp__object_list__descriptor, context);

	call->answer = answer_list;
	call->callback.list = callback;
	g_free(path);
	call_send(call, after == 0 ? store->timeout_ms : WATCH_MS);
}

/*
 * Update an object if it still has a version.  POST, because the library
 * sends GET and PUT again of itself on a broken connection.
 */
static void
http_update(store_t *store, const char *name, uint64_t version,
    const char *mark, const char *value, store_object_cb callback,
    void *context)
{
	char *path = g_strconcat("/objects/", name, NULL);
	call_t *call =
	    call_new(store, "POST", path, &bp__object__descriptor, context);
	arena_t *arena = arena_new();
	Bp__ObjectUpdate update = BP__OBJECT_UPDATE__INIT;
	uint64_t size_bytes;
	char *body;
	GBytes *bytes;

	call->answer = answer_object;
	call->callback.object = callback;
	update.version = version;
	update.mark = (char *)mark;
	update.value = (char *)value;
	body = json_write(arena, &update.base, &size_bytes);
	bytes = g_bytes_new(body, size_bytes);
	soup_message_set_request_body_from_bytes(
	    call->message, "application/json", bytes);
	g_bytes_unref(bytes);
	arena_free(arena);
	g_free(path);
	call_send(call, store->timeout_ms);
}

/*
 * Get the list of VMs.
 */
static void
http_vms(store_t *store, store_vms_cb callback, void *context)
{
	call_t *call =
	    call_new(store, "GET", "/vms", &bp__vm_list__descriptor, context);

	call->answer = answer_vms;
	call->callback.vms = callback;
	call_send(call, store->timeout_ms);
}

/*
 * End all calls, without an answer to them, and free the store.
 */
static void
http_close(store_t *store)
{
	g_cancellable_cancel(store->closing);
	soup_session_abort(store->session);
	/* the calls' ends are still to be met by the loop */
	while (g_main_context_iteration(
	    g_main_context_get_thread_default(), FALSE))
		;
	g_object_unref(store->session);
	g_object_unref(store->closing);
	g_free(store->base);
	g_free(store);
}

const store_ops_t store_http = {
    http_open, http_list, http_update, http_vms, http_close};
