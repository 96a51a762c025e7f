#include "backend.h"
#include "h2.h"
#include "json.h"

#include <errno.h>

/* Connections to databases that take JSON over HTTP/2. */

#define HTTP_STATUS_OK 200

struct backend {
	const backend_callbacks_t *callbacks;
	void *context;
	h2_t *h2;
	GHashTable *pending_calls; /* of pending_call_t by stream id */
};

/* A call that has not been answered. */
typedef struct pending_call {
	backend_call_t kind;
	uint64_t tag;
} pending_call_t;

/* Request path and answer message of each kind of call. */
static const struct {
	const char *path;
	const ProtobufCMessageDescriptor *answer;
} call_kinds[BACKEND_CALL_KINDS] = {
    [BACKEND_STATEMENT] = {"/statement", &bp__db_answer__descriptor},
    [BACKEND_STATUS] = {"/status", &bp__db_status__descriptor},
    [BACKEND_FENCE] = {"/fence", &bp__db_answer__descriptor},
    [BACKEND_PROMOTE] = {"/promote", &bp__db_answer__descriptor},
    [BACKEND_FOLLOW] = {"/follow", &bp__db_answer__descriptor},
};

/*
 * Handle an opened connection.
 */
static void
on_opened(void *context)
{
	backend_t *backend = context;

	backend->callbacks->opened(backend->context);
}

/*
 * Handle a complete answer: decode it as the message that its call expects.
 */
static void
on_answered(void *context, int32_t stream, uint32_t status, const char *body,
    uint32_t size_bytes)
{
	backend_t *backend = context;
	pending_call_t *call = g_hash_table_lookup(
	    backend->pending_calls, GINT_TO_POINTER(stream));
	ProtobufCMessage *message = NULL;
	input_errors_t errors = {0};
	pending_call_t answered_call;

	if (call == NULL)
		return;
	answered_call = *call;
	g_hash_table_remove(backend->pending_calls, GINT_TO_POINTER(stream));
	errors.arena = arena_new();
	if (status == HTTP_STATUS_OK)
		message = json_read(errors.arena,
		    call_kinds[answered_call.kind].answer, body, size_bytes,
		    &errors);
	backend->callbacks->answered(
	    backend->context, answered_call.kind, answered_call.tag, message);
	arena_free(errors.arena);
}

/*
 * Handle the database's reply to a ping.
 */
static void
on_ping_acked(void *context)
{
	backend_t *backend = context;

	backend->callbacks->ping_acked(backend->context);
}

/*
 * Handle the end of a connection, or the failure to open it.
 */
static void
on_closed(void *context, int32_t error)
{
	backend_t *backend = context;

	backend->callbacks->closed(backend->context, error);
}

static const h2_ops_t h2_ops = {
    on_opened, on_answered, NULL, on_ping_acked, on_closed};

/*
 * Start to connect to a database.  Returns NULL if the address is invalid or no
 * socket can be created.
 */
static backend_t *
h2_backend_open(GMainContext *main_context, const char *address, uint32_t port,
    const backend_callbacks_t *callbacks, void *context)
{
	backend_t *backend = g_new0(backend_t, 1);

	backend->callbacks = callbacks;
	backend->context = context;
	backend->pending_calls =
	    g_hash_table_new_full(NULL, NULL, NULL, g_free);
	backend->h2 = h2_connect(main_context, address, port, &h2_ops, backend);
	if (backend->h2 == NULL) {
		g_hash_table_unref(backend->pending_calls);
		g_free(backend);
		return NULL;
	}
	return backend;
}

/*
 * Send a call with an optional message as its body.
 */
static int32_t
h2_backend_call(backend_t *backend, backend_call_t kind, uint64_t tag,
    const ProtobufCMessage *message)
{
	arena_t *arena = arena_new();
	uint64_t size_bytes = 0;
	const char *body = "";
	pending_call_t *call;
	int32_t stream;

	if (message != NULL)
		body = json_write(arena, message, &size_bytes);
	stream = h2_submit_request(
	    backend->h2, call_kinds[kind].path, body, (uint32_t)size_bytes);
	arena_free(arena);
	if (stream < 0)
		return stream;
	call = g_new0(pending_call_t, 1);
	call->kind = kind;
	call->tag = tag;
	g_hash_table_insert(
	    backend->pending_calls, GINT_TO_POINTER(stream), call);
	return 0;
}

/*
 * Send a ping; the reply calls ping_acked().
 */
static void
h2_backend_ping(backend_t *backend)
{
	h2_ping(backend->h2);
}

/*
 * Close and free a connection, without a callback.
 */
static void
h2_backend_close(backend_t *backend)
{
	h2_free(backend->h2);
	g_hash_table_unref(backend->pending_calls);
	g_free(backend);
}

const backend_ops_t backend_h2 = {
    h2_backend_open, h2_backend_call, h2_backend_ping, h2_backend_close};
