#ifndef FRAME_H
#define FRAME_H

#include "peer.pb-c.h"
#include "sock.h"

/*
 * A TCP connection between daemons that carries PeerMessages.  Each frame is a
 * length of 4 bytes, big endian, followed by the encoded message.
 */
typedef struct frame_link frame_link_t;

/* Callbacks to the owner of a link.  opened may be NULL. */
typedef struct frame_ops {
	void (*opened)(void *context);
	/* the owner takes over the arena, which holds the message */
	void (*received)(void *context, arena_t *, Bp__PeerMessage *);
	/* last callback; the owner then calls frame_free() */
	void (*closed)(void *context, int32_t error);
} frame_ops_t;

frame_link_t *frame_connect(GMainContext *, const char *address, uint32_t port,
    uint32_t frame_bytes_max, const frame_ops_t *, void *context);
frame_link_t *frame_accept(GMainContext *, GSocket *, uint32_t frame_bytes_max,
    const frame_ops_t *, void *context);
int32_t frame_send(frame_link_t *, const Bp__PeerMessage *);
uint64_t frame_buffered_bytes(const frame_link_t *);
int64_t frame_partial_since_us(const frame_link_t *);
void frame_free(frame_link_t *);

#endif
