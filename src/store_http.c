#include "http.h"
#include "json.h"
#include "store.h"

#define WATCH_MS 10000 /* a watch is answered well before this */

struct store {
	http_t *http;
	uint32_t timeout_ms;
};

/* One call under way. */
typedef struct call {
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
 * A call has ended: read its answer and hand it over.
 */
static void
on_answer(void *context, uint32_t status, const char *body, uint64_t size_bytes)
{
	call_t *call = context;
	faults_t faults = {arena_new(), NULL, 0, NULL};
	ProtobufCMessage *message = NULL;

	if (body != NULL)
		message = json_read(
		    faults.arena, call->type, body, size_bytes, &faults);
	call->answer(call, message == NULL ? 0 : status, message);
	arena_free(faults.arena);
	g_free(call);
}

/*
 * Make a call whose answer is of a type.
 */
static call_t *
call_new(const ProtobufCMessageDescriptor *type, void *context)
{
	call_t *call = g_new0(call_t, 1);

	call->type = type;
	call->context = context;
	return call;
}

/*
 * Open the way to the object API.  Nothing is sent yet.
 */
static store_t *
store_open(const char *address, uint32_t port, uint32_t timeout_ms)
{
	store_t *store = g_new0(store_t, 1);
	char *place = g_strdup_printf("%s:%u", address, port);

	store->http = http_open(place, timeout_ms);
	store->timeout_ms = timeout_ms;
	g_free(place);
	return store;
}

/*
 * List the objects below a prefix, now or after a change.
 */
static void
store_list(store_t *store, const char *prefix, uint64_t after,
    store_list_cb callback, void *context)
{
	char *path = after == 0
	    ? g_strdup_printf("/list?prefix=%s", prefix)
	    : g_strdup_printf(
		  "/list?prefix=%s&after=%" G_GUINT64_FORMAT, prefix, after);
	call_t *call = call_new(&bp__object_list__descriptor, context);

	call->answer = answer_list;
	call->callback.list = callback;
	http_send(store->http, http_message(store->http, "GET", path), NULL,
	    after == 0 ? 0 : WATCH_MS - MIN(store->timeout_ms, WATCH_MS),
	    on_answer, call);
	g_free(path);
}

/*
 * Update an object if it still has a version.  POST, because the library
 * sends GET and PUT again of itself on a broken connection.
 */
static void
store_update(store_t *store, const char *name, uint64_t version,
    const char *mark, const char *value, store_object_cb callback,
    void *context)
{
	char *path = g_strconcat("/objects/", name, NULL);
	call_t *call = call_new(&bp__object__descriptor, context);
	arena_t *arena = arena_new();
	Bp__ObjectUpdate update = BP__OBJECT_UPDATE__INIT;

	call->answer = answer_object;
	call->callback.object = callback;
	update.version = version;
	update.mark = (char *)mark;
	update.value = (char *)value;
	http_send(store->http, http_message(store->http, "POST", path),
	    json_write(arena, &update.base, NULL), 0, on_answer, call);
	arena_free(arena);
	g_free(path);
}

/*
 * Get the list of VMs.
 */
static void
store_vms(store_t *store, store_vms_cb callback, void *context)
{
	call_t *call = call_new(&bp__vm_list__descriptor, context);

	call->answer = answer_vms;
	call->callback.vms = callback;
	http_send(store->http, http_message(store->http, "GET", "/vms"), NULL,
	    0, on_answer, call);
}

/*
 * End all calls, without an answer to them, and free the store.
 */
static void
store_close(store_t *store)
{
	http_close(store->http);
	g_free(store);
}

const store_ops_t store_http = {
    store_open, store_list, store_update, store_vms, store_close};
