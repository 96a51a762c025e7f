#include "frame.h"

#include <errno.h>
#include <string.h>

#define HEADER_BYTES 4

struct frame_link {
	const frame_ops_t *ops;
	void *context;
	sock_t *sock;
	GByteArray *in; /* the beginning of a frame */
	uint32_t frame_bytes_max;
	int64_t partial_since_us; /* 0: nothing partial is waiting */
	uint32_t depth;
	bool closed;
	bool freed;
};

/*
 * Free everything; only with none of our callbacks on the stack.
 */
static void
frame_destroy(frame_link_t *link)
{
	g_byte_array_unref(link->in);
	g_free(link);
}

/*
 * Close the link and free it.  Safe within its own callbacks.
 */
void
frame_free(frame_link_t *link)
{
	if (link == NULL || link->freed)
		return;
	sock_free(link->sock);
	link->closed = link->freed = true;
	if (link->depth == 0)
		frame_destroy(link);
}

/*
 * End the link and tell its owner, once.
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
 * Hand one whole frame to the owner.  Returns 0 or a negative error number.
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
 * Deliver every whole frame that has come.
 */
static int32_t
frame_deliver_all(frame_link_t *link)
{
	uint32_t size_bytes, at = 0;
	int32_t error = 0;

	while (
	    error == 0 && !link->closed && link->in->len - at >= HEADER_BYTES) {
		memcpy(&size_bytes, link->in->data + at, HEADER_BYTES);
		size_bytes = GUINT32_FROM_BE(size_bytes);
		if (size_bytes > link->frame_bytes_max)
			return -EMSGSIZE;
		if (link->in->len - at < HEADER_BYTES + size_bytes)
			break;
		error = frame_deliver(
		    link, link->in->data + at + HEADER_BYTES, size_bytes);
		at += HEADER_BYTES + size_bytes;
	}
	if (at > 0)
		g_byte_array_remove_range(link->in, 0, at);
	if (link->in->len == 0)
		link->partial_since_us = 0;
	else if (at > 0 || link->partial_since_us == 0)
		link->partial_since_us = clock_us();
	return error;
}

/*
 * The stream is connected.
 */
static void
on_opened(void *context)
{
	frame_link_t *link = context;

	if (link->ops->opened != NULL)
		link->ops->opened(link->context);
}

/*
 * Bytes have come.
 */
static void
on_received(void *context, const uint8_t *bytes, uint32_t size_bytes)
{
	frame_link_t *link = context;
	int32_t error;

	link->depth++;
	g_byte_array_append(link->in, bytes, size_bytes);
	error = frame_deliver_all(link);
	if (error < 0)
		frame_close(link, error);
	link->depth--;
	if (link->freed && link->depth == 0)
		frame_destroy(link);
}

/*
 * The stream has ended.
 */
static void
on_closed(void *context, int32_t error)
{
	frame_close(context, error);
}

static const sock_ops_t sock_ops = {on_opened, on_received, on_closed};

/*
 * Make a link that has no stream yet.
 */
static frame_link_t *
frame_new(uint32_t frame_bytes_max, const frame_ops_t *ops, void *context)
{
	frame_link_t *link = g_new0(frame_link_t, 1);

	link->ops = ops;
	link->context = context;
	link->frame_bytes_max = frame_bytes_max;
	link->in = g_byte_array_new();
	return link;
}

/*
 * Begin to connect to another daemon; NULL when the address cannot be used.
 */
frame_link_t *
frame_connect(GMainContext *main, const char *address, uint32_t port,
    uint32_t frame_bytes_max, const frame_ops_t *ops, void *context)
{
	frame_link_t *link = frame_new(frame_bytes_max, ops, context);

	link->sock = sock_connect(main, address, port, &sock_ops, link);
	if (link->sock == NULL) {
		frame_destroy(link);
		return NULL;
	}
	return link;
}

/*
 * Serve a stream that was accepted.  Takes the socket over.
 */
frame_link_t *
frame_accept(GMainContext *main, GSocket *socket, uint32_t frame_bytes_max,
    const frame_ops_t *ops, void *context)
{
	frame_link_t *link = frame_new(frame_bytes_max, ops, context);

	link->sock = sock_accept(main, socket, &sock_ops, link);
	return link;
}

/*
 * Send one message.  Returns 0, or a negative error number when not all of
 * it was taken; the link is then of no more use, and closed() follows.
 */
int32_t
frame_send(frame_link_t *link, const Bp__PeerMessage *message)
{
	arena_t *arena = arena_new();
	uint32_t size_bytes =
		     (uint32_t)bp__peer_message__get_packed_size(message),
		 header = GUINT32_TO_BE(size_bytes);
	uint8_t *bytes = arena_zero(arena, HEADER_BYTES + size_bytes);
	int32_t error;

	memcpy(bytes, &header, HEADER_BYTES);
	bp__peer_message__pack(message, bytes + HEADER_BYTES);
	error = link->closed
	    ? -ENOTCONN
	    : sock_write(link->sock, bytes, HEADER_BYTES + size_bytes);
	if (error < 0 && !link->closed)
		sock_break(link->sock);
	arena_free(arena);
	return error;
}

/*
 * Since when a frame has been only partly there; 0 when none is.
 */
int64_t
frame_partial_since_us(const frame_link_t *link)
{
	return link->partial_since_us;
}
