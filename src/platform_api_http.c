#include "http.h"
#include "json.h"
#include "platform_api.h"

/* Longer than the platform holds a watch on objects that do not change. */
#define WATCH_TIMEOUT_MS 10000

struct platform_api {
	http_client_t *http;
	uint32_t timeout_ms;
};

/* One call that has not been answered yet. */
typedef struct call {
	const ProtobufCMessageDescriptor *type;
	void (*deliver)(struct call *, uint32_t status, ProtobufCMessage *);
	union {
		platform_api_object_cb object;
		platform_api_list_cb list;
		platform_api_vms_cb vms;
	} callback;
	void *context;
} call_t;

/*
 * Pass an object to the caller's callback.
 */
static void
deliver_object(call_t *call, uint32_t status, ProtobufCMessage *message)
{
	call->callback.object(
	    call->context, status, (const Bp__Object *)message);
}

/*
 * Pass a list of objects to the caller's callback.
 */
static void
deliver_list(call_t *call, uint32_t status, ProtobufCMessage *message)
{
	call->callback.list(call->context,
	    status == PLATFORM_API_OK ? (const Bp__ObjectList *)message : NULL);
}

/*
 * Pass a list of VMs to the caller's callback.
 */
static void
deliver_vms(call_t *call, uint32_t status, ProtobufCMessage *message)
{
	call->callback.vms(call->context,
	    status == PLATFORM_API_OK ? (const Bp__VmList *)message : NULL);
}

/*
 * Decode the response of a call and pass it to the caller's callback.
 */
static void
on_response(
    void *context, uint32_t status, const char *body, uint64_t size_bytes)
{
	call_t *call = context;
	input_errors_t errors = {arena_new(), NULL, 0, NULL};
	ProtobufCMessage *message = NULL;

	if (body != NULL)
		message = json_read(
		    errors.arena, call->type, body, size_bytes, &errors);
	call->deliver(call, message == NULL ? 0 : status, message);
	arena_free(errors.arena);
	g_free(call);
}

/*
 * Create a call that expects a response of the given type.
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
 * Create a client of the object API.  The client connects with its first call.
 */
static platform_api_t *
api_open(const char *address, uint32_t port, uint32_t timeout_ms)
{
	platform_api_t *api = g_new0(platform_api_t, 1);
	char *host_port = g_strdup_printf("%s:%u", address, port);

	api->http = http_client_new(host_port, timeout_ms);
	api->timeout_ms = timeout_ms;
	g_free(host_port);
	return api;
}

/*
 * List the objects whose names begin with a prefix: at once, or when the
 * revision has become higher than after_revision.
 */
static void
api_list_objects(platform_api_t *api, const char *prefix,
    uint64_t after_revision, platform_api_list_cb callback, void *context)
{
	char *path = after_revision == 0
	    ? g_strdup_printf("/list?prefix=%s", prefix)
	    : g_strdup_printf("/list?prefix=%s&after=%" G_GUINT64_FORMAT,
		  prefix, after_revision);
	call_t *call = call_new(&bp__object_list__descriptor, context);

	call->deliver = deliver_list;
	call->callback.list = callback;
	http_request_send(api->http, http_request_new(api->http, "GET", path),
	    NULL,
	    after_revision == 0
		? 0
		: WATCH_TIMEOUT_MS - MIN(api->timeout_ms, WATCH_TIMEOUT_MS),
	    on_response, call);
	g_free(path);
}

/*
 * Update an object if it still has the given version.  POST is used because
 * libsoup retries idempotent methods such as GET and PUT itself when the
 * connection breaks.
 */
static void
api_update_object(platform_api_t *api, const char *name, uint64_t version,
    const char *mark, const char *value, platform_api_object_cb callback,
    void *context)
{
	char *path = g_strconcat("/objects/", name, NULL);
	call_t *call = call_new(&bp__object__descriptor, context);
	arena_t *arena = arena_new();
	Bp__ObjectUpdate update = BP__OBJECT_UPDATE__INIT;

	call->deliver = deliver_object;
	call->callback.object = callback;
	update.version = version;
	update.mark = (char *)mark;
	update.value = (char *)value;
	http_request_send(api->http, http_request_new(api->http, "POST", path),
	    json_write(arena, &update.base, NULL), 0, on_response, call);
	arena_free(arena);
	g_free(path);
}

/*
 * List the VMs.
 */
static void
api_list_vms(platform_api_t *api, platform_api_vms_cb callback, void *context)
{
	call_t *call = call_new(&bp__vm_list__descriptor, context);

	call->deliver = deliver_vms;
	call->callback.vms = callback;
	http_request_send(api->http, http_request_new(api->http, "GET", "/vms"),
	    NULL, 0, on_response, call);
}

/*
 * Cancel all calls without calling their callbacks, and free the client.
 */
static void
api_close(platform_api_t *api)
{
	http_client_free(api->http);
	g_free(api);
}

const platform_api_ops_t platform_api_http = {
    api_open, api_list_objects, api_update_object, api_list_vms, api_close};
