#include "frame.h"

#include <errno.h>
#include <string.h>

#define LENGTH_BYTES 4

/* A receive buffer that was larger is freed when it is empty. */
#define RECV_BUFFER_BYTES_KEPT 65536

struct frame_link {
	const frame_ops_t *ops;
	void *context;
	sock_t *sock;
	GByteArray *recv_buffer; /* received data that is not yet delivered */
	uint32_t frame_bytes_max;
	int64_t partial_since_us; /* start of the incomplete frame, or 0 */
	/* number of on_sock_received() calls on the stack */
	uint32_t callback_depth;
	bool closed;
	bool freed; /* to be freed when callback_depth is 0 */
};

/*
 * Free the structure.  Must not be called while on_sock_received() is on the
 * stack.
 */
static void
frame_destroy(frame_link_t *link)
{
	g_byte_array_unref(link->recv_buffer);
	g_free(link);
}

/*
 * Close the link and free it.  May be called from its own callbacks.
 */
void
frame_free(frame_link_t *link)
{
	if (link == NULL || link->freed)
		return;
	sock_free(link->sock);
	link->closed = link->freed = true;
	if (link->callback_depth == 0)
		frame_destroy(link);
}

/*
 * Close the link and notify its owner, at most once.
 */
static void
frame_close(frame_link_t *link, int32_t error)
{
	if (link->closed)
		return;
	link->closed = true;
	link->ops->closed(link->context, error);
}

/*
 * Decode a frame and pass its message to the owner, which takes over the arena.
 * Returns 0, or -EBADMSG if the frame is not a valid message.
 */
static int32_t
frame_deliver(frame_link_t *link, const uint8_t *body, uint32_t size_bytes)
{
	arena_t *arena = arena_new();
	Bp__PeerMessage *message = (Bp__PeerMessage *)message_unpack(
	    arena, &bp__peer_message__descriptor, body, size_bytes);

	if (message == NULL ||
	    message->body_case == BP__PEER_MESSAGE__BODY__NOT_SET) {
		arena_free(arena);
		return -EBADMSG;
	}
	link->ops->received(link->context, arena, message);
	return 0;
}

/*
 * Deliver all complete frames of the receive buffer.  Returns 0 or a negative
 * errno value.
 */
static int32_t
frame_deliver_complete(frame_link_t *link)
{
	uint32_t size_bytes, offset = 0;
	int32_t error = 0;

	while (error == 0 && !link->closed &&
	    link->recv_buffer->len - offset >= LENGTH_BYTES) {
		memcpy(&size_bytes, link->recv_buffer->data + offset,
		    LENGTH_BYTES);
		size_bytes = GUINT32_FROM_BE(size_bytes);
		if (size_bytes > link->frame_bytes_max)
			return -EMSGSIZE;
		if (link->recv_buffer->len - offset < LENGTH_BYTES + size_bytes)
			break;
		error = frame_deliver(link,
		    link->recv_buffer->data + offset + LENGTH_BYTES,
		    size_bytes);
		offset += LENGTH_BYTES + size_bytes;
	}
	if (offset > RECV_BUFFER_BYTES_KEPT &&
	    offset == link->recv_buffer->len) {
		g_byte_array_unref(link->recv_buffer);
		link->recv_buffer = g_byte_array_new();
	} else if (offset > 0) {
		g_byte_array_remove_range(link->recv_buffer, 0, offset);
	}
	if (link->recv_buffer->len == 0)
		link->partial_since_us = 0;
	else if (offset > 0 || link->partial_since_us == 0)
		link->partial_since_us = clock_us();
	return error;
}

/*
 * Handle the completed TCP connection.
 */
static void
on_sock_opened(void *context)
{
	frame_link_t *link = context;

	if (link->ops->opened != NULL)
		link->ops->opened(link->context);
}

/*
 * Buffer received data and deliver the complete frames.
 */
static void
on_sock_received(void *context, const uint8_t *bytes, uint32_t size_bytes)
{
	frame_link_t *link = context;
	int32_t error;

	link->callback_depth++;
	g_byte_array_append(link->recv_buffer, bytes, size_bytes);
	error = frame_deliver_complete(link);
	if (error < 0)
		frame_close(link, error);
	link->callback_depth--;
	if (link->freed && link->callback_depth == 0)
		frame_destroy(link);
}

/*
 * Handle the end of the TCP connection.
 */
static void
on_sock_closed(void *context, int32_t error)
{
	frame_close(context, error);
}

static const sock_ops_t sock_ops = {
    on_sock_opened, on_sock_received, on_sock_closed};

/*
 * Create the structure of a link; the caller sets its TCP connection.
 */
static frame_link_t *
frame_new(uint32_t frame_bytes_max, const frame_ops_t *ops, void *context)
{
	frame_link_t *link = g_new0(frame_link_t, 1);

	link->ops = ops;
	link->context = context;
	link->frame_bytes_max = frame_bytes_max;
	link->recv_buffer = g_byte_array_new();
	return link;
}

/*
 * Start connecting to another daemon.  Returns NULL if the address is not valid
 * or no socket can be created; later errors are reported by closed().
 */
frame_link_t *
frame_connect(GMainContext *main_context, const char *address, uint32_t port,
    uint32_t frame_bytes_max, const frame_ops_t *ops, void *context)
{
	frame_link_t *link = frame_new(frame_bytes_max, ops, context);

	link->sock = sock_connect(main_context, address, port, &sock_ops, link);
	if (link->sock == NULL) {
		frame_destroy(link);
		return NULL;
	}
	return link;
}

/*
 * Create a link for an accepted socket.  Takes over the caller's reference to
 * the socket.
 */
frame_link_t *
frame_accept(GMainContext *main_context, GSocket *socket,
    uint32_t frame_bytes_max, const frame_ops_t *ops, void *context)
{
	frame_link_t *link = frame_new(frame_bytes_max, ops, context);

	link->sock = sock_accept(main_context, socket, &sock_ops, link);
	return link;
}

/*
 * Send a message.  Returns 0 or a negative errno value.  After an error the
 * frame may have been sent in part, so the link is shut down, and closed()
 * follows unless it was called before.
 */
int32_t
frame_send(frame_link_t *link, const Bp__PeerMessage *message)
{
	arena_t *arena = arena_new();
	uint32_t size_bytes =
		     (uint32_t)bp__peer_message__get_packed_size(message),
		 length_be = GUINT32_TO_BE(size_bytes);
	uint8_t *bytes = arena_zalloc(arena, LENGTH_BYTES + size_bytes);
	int32_t error;

	memcpy(bytes, &length_be, LENGTH_BYTES);
	bp__peer_message__pack(message, bytes + LENGTH_BYTES);
	error = link->closed
	    ? -ENOTCONN
	    : sock_write(link->sock, bytes, LENGTH_BYTES + size_bytes);
	if (error < 0 && !link->closed)
		sock_shutdown(link->sock);
	arena_free(arena);
	return error;
}

/*
 * Return when the first part of an incomplete frame was received, or 0 if no
 * frame is incomplete.
 */
int64_t
frame_partial_since_us(const frame_link_t *link)
{
	return link->partial_since_us;
}

/*
 * Return the size of the frames that were sent and that the connection has not
 * taken yet.
 */
uint64_t
frame_buffered_bytes(const frame_link_t *link)
{
	return link->closed ? 0 : sock_buffered_bytes(link->sock);
}
