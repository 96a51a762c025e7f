#include "h2.h"
#include "sock.h"

#include <errno.h>
#include <nghttp2/nghttp2.h>
#include <stdlib.h>
#include <string.h>

#define BODY_BYTES_MAX (UINT64_C(8) << 20)
#define WINDOW_BYTES (1 << 20)

/* One request or answer, in either direction. */
typedef struct stream {
	GByteArray *in;
	char *path;
	uint32_t status;
	GBytes *out;
	uint64_t sent_bytes;
} stream_t;

struct h2 {
	const h2_ops_t *ops;
	void *context;
	sock_t *sock;
	nghttp2_session *session;
	GHashTable *streams; /* of stream_t by id */
	uint32_t depth;      /* calls of nghttp2 on the stack */
	bool server;
	bool closed;
	bool freed;
};

static void h2_flush(h2_t *);

/*
 * Free one stream.
 */
static void
stream_free(gpointer p)
{
	stream_t *stream = p;

	if (stream->in != NULL)
		g_byte_array_unref(stream->in);
	if (stream->out != NULL)
		g_bytes_unref(stream->out);
	g_free(stream->path);
	g_free(stream);
}

/*
 * The stream of this number, or NULL.
 */
static stream_t *
stream_find(h2_t *h2, int32_t id)
{
	return g_hash_table_lookup(h2->streams, GINT_TO_POINTER(id));
}

/*
 * Begin to keep a stream.
 */
static stream_t *
stream_add(h2_t *h2, int32_t id)
{
	stream_t *stream = g_new0(stream_t, 1);

	stream->in = g_byte_array_new();
	g_hash_table_insert(h2->streams, GINT_TO_POINTER(id), stream);
	return stream;
}

/*
 * Free everything; only with no call of nghttp2 on the stack.
 */
static void
h2_destroy(h2_t *h2)
{
	nghttp2_session_del(h2->session);
	g_hash_table_unref(h2->streams);
	g_free(h2);
}

/*
 * End the connection and tell its owner, once.
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
 * Close the connection and free it.  Safe within its own callbacks.
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
	if (h2->depth == 0)
		h2_destroy(h2);
}

/*
 * nghttp2: a header of a stream.
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
 * nghttp2: headers begin; a server meets a new stream here.
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
 * nghttp2: a piece of a body.
 */
static int
on_data(nghttp2_session *session, uint8_t flags, int32_t id,
    const uint8_t *bytes, size_t size, void *context)
{
	stream_t *stream = stream_find(context, id);

	(void)session;
	(void)flags;
	if (stream == NULL)
		return 0;
	if (stream->in->len + size > BODY_BYTES_MAX)
		return NGHTTP2_ERR_CALLBACK_FAILURE;
	g_byte_array_append(stream->in, bytes, (guint)size);
	return 0;
}

/*
 * Tell the owner about a stream that the other side has ended.
 */
static void
stream_complete(h2_t *h2, int32_t id)
{
	stream_t *stream = stream_find(h2, id);
	uint32_t size_bytes;

	if (stream == NULL || h2->closed)
		return;
	size_bytes = stream->in->len;
	g_byte_array_append(stream->in, (const guint8 *)"", 1);
	if (h2->server && h2->ops->asked != NULL)
		h2->ops->asked(h2->context, id,
		    stream->path == NULL ? "" : stream->path,
		    (char *)stream->in->data, size_bytes);
	else if (!h2->server && h2->ops->answered != NULL)
		h2->ops->answered(h2->context, id, stream->status,
		    (char *)stream->in->data, size_bytes);
}

/*
 * nghttp2: a whole frame has come.
 */
static int
on_frame(nghttp2_session *session, const nghttp2_frame *frame, void *context)
{
	h2_t *h2 = context;

	(void)session;
	if (frame->hd.type == NGHTTP2_PING &&
	    (frame->hd.flags & NGHTTP2_FLAG_ACK) && h2->ops->ponged != NULL &&
	    !h2->closed)
		h2->ops->ponged(h2->context);
	if ((frame->hd.type == NGHTTP2_DATA ||
		frame->hd.type == NGHTTP2_HEADERS) &&
	    (frame->hd.flags & NGHTTP2_FLAG_END_STREAM))
		stream_complete(h2, frame->hd.stream_id);
	return 0;
}

/*
 * nghttp2: a stream is gone in both directions.
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
 * nghttp2: give the next piece of a body to send.
 */
static ssize_t
on_body_wanted(nghttp2_session *session, int32_t id, uint8_t *to, size_t size,
    uint32_t *flags, nghttp2_data_source *source, void *context)
{
	stream_t *stream = stream_find(context, id);
	const uint8_t *bytes;
	gsize size_bytes;
	uint64_t part_bytes;

	(void)session;
	(void)source;
	if (stream == NULL || stream->out == NULL)
		return NGHTTP2_ERR_TEMPORAL_CALLBACK_FAILURE;
	bytes = g_bytes_get_data(stream->out, &size_bytes);
	part_bytes = MIN(size, size_bytes - stream->sent_bytes);
	if (part_bytes > 0)
		memcpy(to, bytes + stream->sent_bytes, part_bytes);
	stream->sent_bytes += part_bytes;
	if (stream->sent_bytes == size_bytes)
		*flags |= NGHTTP2_DATA_FLAG_EOF;
	return (ssize_t)part_bytes;
}

/*
 * Send all that nghttp2 has ready.  Within a callback of nghttp2 this is
 * left to the caller of nghttp2.  A failure shows up as closed() later, so
 * that no caller of ours loses the connection under its feet.
 */
static void
h2_flush(h2_t *h2)
{
	const uint8_t *bytes;
	ssize_t size = 0;
	int32_t error = 0;

	if (h2->depth > 0)
		return;
	h2->depth++;
	while (!h2->closed && error == 0 &&
	    (size = nghttp2_session_mem_send(h2->session, &bytes)) > 0)
		error = sock_write(h2->sock, bytes, (uint64_t)size);
	if (size < 0)
		error = -EPROTO;
	if (error < 0)
		sock_break(h2->sock);
	h2->depth--;
}

/*
 * The stream below is connected.
 */
static void
on_opened(void *context)
{
	h2_t *h2 = context;

	if (h2->ops->opened != NULL)
		h2->ops->opened(h2->context);
}

/*
 * Bytes have come.
 */
static void
on_received(void *context, const uint8_t *bytes, uint32_t size_bytes)
{
	h2_t *h2 = context;
	ssize_t n;

	h2->depth++;
	n = nghttp2_session_mem_recv(h2->session, bytes, size_bytes);
	if (n < 0)
		h2_close(h2, -EPROTO);
	h2->depth--;
	if (h2->freed)
		h2_destroy(h2);
	else if (!h2->closed)
		h2_flush(h2);
}

/*
 * The stream below has ended.
 */
static void
on_closed(void *context, int32_t error)
{
	h2_close(context, error);
}

static const sock_ops_t sock_ops = {on_opened, on_received, on_closed};

/*
 * Make the nghttp2 side of a connection and queue its settings.
 */
static void
h2_start_session(h2_t *h2)
{
	nghttp2_session_callbacks *callbacks;
	nghttp2_settings_entry settings[] = {
	    {NGHTTP2_SETTINGS_MAX_CONCURRENT_STREAMS, 1000},
	    {NGHTTP2_SETTINGS_INITIAL_WINDOW_SIZE, WINDOW_BYTES},
	};

	nghttp2_session_callbacks_new(&callbacks);
	nghttp2_session_callbacks_set_on_header_callback(callbacks, on_header);
	nghttp2_session_callbacks_set_on_begin_headers_callback(
	    callbacks, on_begin_headers);
	nghttp2_session_callbacks_set_on_data_chunk_recv_callback(
	    callbacks, on_data);
	nghttp2_session_callbacks_set_on_frame_recv_callback(
	    callbacks, on_frame);
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
 * Make a connection that has no stream below it yet.
 */
static h2_t *
h2_new(bool server, const h2_ops_t *ops, void *context)
{
	h2_t *h2 = g_new0(h2_t, 1);

	h2->ops = ops;
	h2->context = context;
	h2->server = server;
	h2->streams = g_hash_table_new_full(NULL, NULL, NULL, stream_free);
	h2_start_session(h2);
	return h2;
}

/*
 * Begin to connect to an IP number.  Returns NULL when the address is not
 * one or no socket can be had; any later failure comes through closed().
 */
h2_t *
h2_connect(GMainContext *main, const char *address, uint32_t port,
    const h2_ops_t *ops, void *context)
{
	h2_t *h2 = h2_new(false, ops, context);

	h2->sock = sock_connect(main, address, port, &sock_ops, h2);
	if (h2->sock == NULL) {
		h2_destroy(h2);
		return NULL;
	}
	return h2;
}

/*
 * Serve a connection that was accepted.  Takes the socket over.
 */
h2_t *
h2_accept(
    GMainContext *main, GSocket *socket, const h2_ops_t *ops, void *context)
{
	h2_t *h2 = h2_new(true, ops, context);

	h2->sock = sock_accept(main, socket, &sock_ops, h2);
	h2_flush(h2);
	return h2;
}

/*
 * Keep a body for sending and give nghttp2 the way to it.
 */
static nghttp2_data_provider
stream_body(stream_t *stream, const char *body, uint32_t size_bytes)
{
	nghttp2_data_provider provider = {{0}, on_body_wanted};

	stream->out = g_bytes_new(body, size_bytes);
	return provider;
}

#define HEADER(name, value) \
	{ \
		(uint8_t *)(name), (uint8_t *)(value), strlen(name), \
		    strlen(value), NGHTTP2_NV_FLAG_NONE \
	}

/*
 * Send a request.  Returns its stream number, or a negative error number
 * when nothing was sent.
 */
int32_t
h2_ask(h2_t *h2, const char *path, const char *body, uint32_t size_bytes)
{
	nghttp2_nv headers[] = {
	    HEADER(":method", "POST"),
	    HEADER(":scheme", "http"),
	    HEADER(":authority", "database"),
	    HEADER(":path", path),
	    HEADER("content-type", "application/json"),
	};
	nghttp2_data_provider provider = {{0}, on_body_wanted};
	int32_t id;

	if (h2->closed)
		return -ENOTCONN;
	id = nghttp2_submit_request(
	    h2->session, NULL, headers, G_N_ELEMENTS(headers), &provider, NULL);
	if (id < 0)
		return -EPROTO;
	stream_body(stream_add(h2, id), body, size_bytes);
	h2_flush(h2);
	return id;
}

/*
 * Answer a request.  A stream that is gone is passed over.
 */
int32_t
h2_answer(h2_t *h2, int32_t id, uint32_t status, const char *body,
    uint32_t size_bytes)
{
	stream_t *stream = stream_find(h2, id);
	char text[16];
	nghttp2_data_provider provider;

	if (h2->closed || stream == NULL)
		return -ENOTCONN;
	g_snprintf(text, sizeof(text), "%u", status);
	provider = stream_body(stream, body, size_bytes);
	{
		nghttp2_nv headers[] = {HEADER(":status", text)};

		nghttp2_submit_response(h2->session, id, headers, 1, &provider);
	}
	h2_flush(h2);
	return 0;
}

/*
 * Ask for a sign of life; ponged() tells of it.
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
 * For stand-ins: neither read nor write any more, yet stay open.
 */
void
h2_mute(h2_t *h2)
{
	sock_mute(h2->sock);
}
