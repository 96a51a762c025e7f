#ifndef FRAME_H
#define FRAME_H

#include "peer.pb-c.h"
#include "sock.h"

/* Peer messages on one stream: a length of 4 bytes, big endian, and a body. */
typedef struct frame_link frame_link_t;

typedef struct frame_ops {
	void (*opened)(void *context);
	void (*received)(void *context, arena_t *, Bp__PeerMessage *);
	/* the last call; the owner then calls frame_free() */
	void (*closed)(void *context, int32_t error);
} frame_ops_t;

frame_link_t *frame_connect(GMainContext *, const char *address, uint32_t port,
    uint32_t frame_bytes_max, const frame_ops_t *, void *context);
frame_link_t *frame_accept(GMainContext *, GSocket *, uint32_t frame_bytes_max,
    const frame_ops_t *, void *context);
int32_t frame_send(frame_link_t *, const Bp__PeerMessage *);
int64_t frame_partial_since_us(const frame_link_t *);
void frame_free(frame_link_t *);

#endif
