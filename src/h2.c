#include "h2.h"
#include "sock.h"

#include <errno.h>
#include <nghttp2/nghttp2.h>
#include <stdlib.h>
#include <string.h>

#define RECV_BODY_BYTES_MAX (UINT64_C(8) << 20)
#define STREAM_WINDOW_BYTES (1 << 20)

/* A request and its response. */
typedef struct stream {
	GByteArray *recv_body; /* body received so far */
	char *path;            /* server: request path */
	uint32_t status;       /* client: response status */
	GBytes *send_body;     /* body to send, or NULL */
	uint64_t sent_bytes;   /* bytes of send_body sent so far */
} stream_t;

struct h2 {
	const h2_ops_t *ops;
	void *context;
	sock_t *sock;
	nghttp2_session *session;
	GHashTable *streams;     /* of stream_t by id */
	uint32_t callback_depth; /* number of calls into nghttp2 on the stack */
	bool server;
	bool closed;
	bool freed; /* to be freed when callback_depth is 0 */
};

static void h2_flush(h2_t *);

/*
 * Free a stream.
 */
static void
stream_free(gpointer p)
{
	stream_t *stream = p;

	if (stream->recv_body != NULL)
		g_byte_array_unref(stream->recv_body);
	if (stream->send_body != NULL)
		g_bytes_unref(stream->send_body);
	g_free(stream->path);
	g_free(stream);
}

/*
 * Return the stream with the given id, or NULL.
 */
static stream_t *
stream_find(h2_t *h2, int32_t id)
{
	return g_hash_table_lookup(h2->streams, GINT_TO_POINTER(id));
}

/*
 * Add a stream to the connection's table.
 */
static stream_t *
stream_add(h2_t *h2, int32_t id)
{
	stream_t *stream = g_new0(stream_t, 1);

	stream->recv_body = g_byte_array_new();
	g_hash_table_insert(h2->streams, GINT_TO_POINTER(id), stream);
	return stream;
}

/*
 * Free the connection.  Must not be called while nghttp2 is on the stack.
 */
static void
h2_destroy(h2_t *h2)
{
	nghttp2_session_del(h2->session);
	g_hash_table_unref(h2->streams);
	g_free(h2);
}

/*
 * Close the connection and notify its owner, at most once.
 */
static void
h2_close(h2_t *h2, int32_t error)
{
	if (h2->closed)
		return;
	h2->closed = true;
	sock_free(h2->sock);
	if (h2->ops->closed != NULL)
		h2->ops->closed(h2->context, error);
}

/*
 * Close the connection and free it.  May be called from its own callbacks.
 */
void
h2_free(h2_t *h2)
{
	if (h2 == NULL || h2->freed)
		return;
	if (!h2->closed)
		sock_free(h2->sock);
	h2->closed = true;
	h2->freed = true;
	if (h2->callback_depth == 0)
		h2_destroy(h2);
}

/*
 * Store the :path or :status header of a stream.  An nghttp2 callback.
 */
static int
on_header(nghttp2_session *session, const nghttp2_frame *frame,
    const uint8_t *name, size_t name_size, const uint8_t *value,
    size_t value_size, uint8_t flags, void *context)
{
	stream_t *stream = stream_find(context, frame->hd.stream_id);

	(void)session;
	(void)flags;
	if (stream == NULL)
		return 0;
	if (name_size == 5 && memcmp(name, ":path", 5) == 0) {
		g_free(stream->path);
		stream->path = g_strndup((const char *)value, value_size);
	} else if (name_size == 7 && memcmp(name, ":status", 7) == 0) {
		stream->status =
		    (uint32_t)strtoul((const char *)value, NULL, 10);
	}
	return 0;
}

/*
 * Handle the beginning of a header block, at which a server adds a new stream.
 * An nghttp2 callback.
 */
static int
on_begin_headers(
    nghttp2_session *session, const nghttp2_frame *frame, void *context)
{
	h2_t *h2 = context;

	(void)session;
	if (h2->server && stream_find(h2, frame->hd.stream_id) == NULL)
		stream_add(h2, frame->hd.stream_id);
	return 0;
}

/*
 * Append a received chunk to a stream's body.  A body of more than
 * RECV_BODY_BYTES_MAX ends the connection.  An nghttp2 callback.
 */
static int
on_data_chunk(nghttp2_session *session, uint8_t flags, int32_t id,
    const uint8_t *bytes, size_t size, void *context)
{
	stream_t *stream = stream_find(context, id);

	(void)session;
	(void)flags;
	if (stream == NULL)
		return 0;
	if (stream->recv_body->len + size > RECV_BODY_BYTES_MAX)
		return NGHTTP2_ERR_CALLBACK_FAILURE;
	g_byte_array_append(stream->recv_body, bytes, (guint)size);
	return 0;
}

/*
 * Pass a request or response to the owner, once the peer has ended the stream.
 * A zero byte is appended to the body; the size does not count it.
 */
static void
stream_notify_owner(h2_t *h2, int32_t id)
{
	stream_t *stream = stream_find(h2, id);
	uint32_t size_bytes;

	if (stream == NULL || h2->closed)
		return;
	size_bytes = stream->recv_body->len;
	g_byte_array_append(stream->recv_body, (const guint8 *)"", 1);
	if (h2->server && h2->ops->request_received != NULL)
		h2->ops->request_received(h2->context, id,
		    stream->path == NULL ? "" : stream->path,
		    (char *)stream->recv_body->data, size_bytes);
	else if (!h2->server && h2->ops->response_received != NULL)
		h2->ops->response_received(h2->context, id, stream->status,
		    (char *)stream->recv_body->data, size_bytes);
}

/*
 * Handle a complete frame.  An nghttp2 callback.
 */
static int
on_frame_received(
    nghttp2_session *session, const nghttp2_frame *frame, void *context)
{
	h2_t *h2 = context;

	(void)session;
	if (frame->hd.type == NGHTTP2_PING &&
	    (frame->hd.flags & NGHTTP2_FLAG_ACK) &&
	    h2->ops->ping_acked != NULL && !h2->closed)
		h2->ops->ping_acked(h2->context);
	if ((frame->hd.type == NGHTTP2_DATA ||
		frame->hd.type == NGHTTP2_HEADERS) &&
	    (frame->hd.flags & NGHTTP2_FLAG_END_STREAM))
		stream_notify_owner(h2, frame->hd.stream_id);
	return 0;
}

/*
 * Handle a stream that was closed in both directions.  An nghttp2 callback.
 */
static int
on_stream_close(
    nghttp2_session *session, int32_t id, uint32_t code, void *context)
{
	h2_t *h2 = context;

	(void)session;
	(void)code;
	g_hash_table_remove(h2->streams, GINT_TO_POINTER(id));
	return 0;
}

/*
 * Copy the next chunk of a body to be sent.  An nghttp2 callback.
 */
static ssize_t
on_read_send_body(nghttp2_session *session, int32_t id, uint8_t *buffer,
    size_t size, uint32_t *flags, nghttp2_data_source *source, void *context)
{
	stream_t *stream = stream_find(context, id);
	const uint8_t *bytes;
	gsize size_bytes;
	uint64_t chunk_bytes;

	(void)session;
	(void)source;
	if (stream == NULL || stream->send_body == NULL)
		return NGHTTP2_ERR_TEMPORAL_CALLBACK_FAILURE;
	bytes = g_bytes_get_data(stream->send_body, &size_bytes);
	chunk_bytes = MIN(size, size_bytes - stream->sent_bytes);
	if (chunk_bytes > 0)
		memcpy(buffer, bytes + stream->sent_bytes, chunk_bytes);
	stream->sent_bytes += chunk_bytes;
	if (stream->sent_bytes == size_bytes)
		*flags |= NGHTTP2_DATA_FLAG_EOF;
	return (ssize_t)chunk_bytes;
}

/*
 * Send the output that nghttp2 has pending.  Within a callback of nghttp2 this
 * does nothing, as on_sock_received() flushes after nghttp2 has returned.  A
 * failure is reported by closed() later, from the main loop, so the connection
 * is never closed within a call of its owner.
 */
static void
h2_flush(h2_t *h2)
{
	const uint8_t *bytes;
	ssize_t size = 0;
	int32_t error = 0;

	if (h2->callback_depth > 0)
		return;
	h2->callback_depth++;
	while (!h2->closed && error == 0 &&
	    (size = nghttp2_session_mem_send(h2->session, &bytes)) > 0)
		error = sock_write(h2->sock, bytes, (uint64_t)size);
	if (size < 0)
		error = -EPROTO;
	if (error < 0)
		sock_shutdown(h2->sock);
	h2->callback_depth--;
}

/*
 * Handle the completed TCP connection.
 */
static void
on_sock_opened(void *context)
{
	h2_t *h2 = context;

	if (h2->ops->opened != NULL)
		h2->ops->opened(h2->context);
}

/*
 * Pass received data to nghttp2 and send what it has pending.
 */
static void
on_sock_received(void *context, const uint8_t *bytes, uint32_t size_bytes)
{
	h2_t *h2 = context;
	ssize_t n;

	h2->callback_depth++;
	n = nghttp2_session_mem_recv(h2->session, bytes, size_bytes);
	if (n < 0)
		h2_close(h2, -EPROTO);
	h2->callback_depth--;
	if (h2->freed)
		h2_destroy(h2);
	else if (!h2->closed)
		h2_flush(h2);
}

/*
 * Handle the end of the TCP connection.
 */
static void
on_sock_closed(void *context, int32_t error)
{
	h2_close(context, error);
}

static const sock_ops_t sock_ops = {
    on_sock_opened, on_sock_received, on_sock_closed};

/*
 * Create the nghttp2 session of a connection and submit its SETTINGS.
 */
static void
h2_create_session(h2_t *h2)
{
	nghttp2_session_callbacks *callbacks;
	nghttp2_settings_entry settings[] = {
	    {NGHTTP2_SETTINGS_MAX_CONCURRENT_STREAMS, 1000},
	    {NGHTTP2_SETTINGS_INITIAL_WINDOW_SIZE, STREAM_WINDOW_BYTES},
	};

	nghttp2_session_callbacks_new(&callbacks);
	nghttp2_session_callbacks_set_on_header_callback(callbacks, on_header);
	nghttp2_session_callbacks_set_on_begin_headers_callback(
	    callbacks, on_begin_headers);
	nghttp2_session_callbacks_set_on_data_chunk_recv_callback(
	    callbacks, on_data_chunk);
	nghttp2_session_callbacks_set_on_frame_recv_callback(
	    callbacks, on_frame_received);
	nghttp2_session_callbacks_set_on_stream_close_callback(
	    callbacks, on_stream_close);
	if (h2->server)
		nghttp2_session_server_new(&h2->session, callbacks, h2);
	else
		nghttp2_session_client_new(&h2->session, callbacks, h2);
	nghttp2_session_callbacks_del(callbacks);
	nghttp2_submit_settings(
	    h2->session, NGHTTP2_FLAG_NONE, settings, G_N_ELEMENTS(settings));
}

/*
 * Create the structure of a connection; the caller sets its TCP connection.
 */
static h2_t *
h2_new(bool server, const h2_ops_t *ops, void *context)
{
	h2_t *h2 = g_new0(h2_t, 1);

	h2->ops = ops;
	h2->context = context;
	h2->server = server;
	h2->streams = g_hash_table_new_full(NULL, NULL, NULL, stream_free);
	h2_create_session(h2);
	return h2;
}

/*
 * Start connecting to an IP address.  Returns NULL if the address is not valid
 * or no socket can be created; later errors are reported by closed().
 */
h2_t *
h2_connect(GMainContext *main_context, const char *address, uint32_t port,
    const h2_ops_t *ops, void *context)
{
	h2_t *h2 = h2_new(false, ops, context);

	h2->sock = sock_connect(main_context, address, port, &sock_ops, h2);
	if (h2->sock == NULL) {
		h2_destroy(h2);
		return NULL;
	}
	return h2;
}

/*
 * Create a server connection for an accepted socket.  Takes over the caller's
 * reference to the socket.
 */
h2_t *
h2_accept(GMainContext *main_context, GSocket *socket, const h2_ops_t *ops,
    void *context)
{
	h2_t *h2 = h2_new(true, ops, context);

	h2->sock = sock_accept(main_context, socket, &sock_ops, h2);
	h2_flush(h2);
	return h2;
}

/*
 * Set the body to be sent on a stream and return its nghttp2 data provider.
 */
static nghttp2_data_provider
stream_set_send_body(stream_t *stream, const char *body, uint32_t size_bytes)
{
	nghttp2_data_provider provider = {{0}, on_read_send_body};

	stream->send_body = g_bytes_new(body, size_bytes);
	return provider;
}

#define HEADER(name, value) \
	{ \
		(uint8_t *)(name), (uint8_t *)(value), strlen(name), \
		    strlen(value), NGHTTP2_NV_FLAG_NONE \
	}

/*
 * Send a request.  Returns its stream id, or a negative errno value if nothing
 * was sent.
 */
int32_t
h2_submit_request(
    h2_t *h2, const char *path, const char *body, uint32_t size_bytes)
{
	nghttp2_nv headers[] = {
	    HEADER(":method", "POST"),
	    HEADER(":scheme", "http"),
	    HEADER(":authority", "database"),
	    HEADER(":path", path),
	    HEADER("content-type", "application/json"),
	};
	nghttp2_data_provider provider = {{0}, on_read_send_body};
	int32_t id;

	if (h2->closed)
		return -ENOTCONN;
	id = nghttp2_submit_request(
	    h2->session, NULL, headers, G_N_ELEMENTS(headers), &provider, NULL);
	if (id < 0)
		return -EPROTO;
	stream_set_send_body(stream_add(h2, id), body, size_bytes);
	h2_flush(h2);
	return id;
}

/*
 * Send the response to a request.  Returns 0, or -ENOTCONN if the stream or the
 * connection was closed.
 */
int32_t
h2_submit_response(h2_t *h2, int32_t id, uint32_t status, const char *body,
    uint32_t size_bytes)
{
	stream_t *stream = stream_find(h2, id);
	char status_text[16];
	nghttp2_data_provider provider;

	if (h2->closed || stream == NULL)
		return -ENOTCONN;
	g_snprintf(status_text, sizeof(status_text), "%u", status);
	provider = stream_set_send_body(stream, body, size_bytes);
	{
		nghttp2_nv headers[] = {HEADER(":status", status_text)};

		nghttp2_submit_response(h2->session, id, headers, 1, &provider);
	}
	h2_flush(h2);
	return 0;
}

/*
 * Send a PING frame; ping_acked() is called when the peer acknowledges it.
 */
void
h2_ping(h2_t *h2)
{
	if (h2->closed)
		return;
	nghttp2_submit_ping(h2->session, NGHTTP2_FLAG_NONE, NULL);
	h2_flush(h2);
}

/*
 * Discard all further input and output while the connection stays open.  Test
 * servers use this to simulate a database that does not respond.
 */
void
h2_discard_all(h2_t *h2)
{
	sock_discard_all(h2->sock);
}
