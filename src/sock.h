#ifndef SOCK_H
#define SOCK_H

#include "bergamotplank.h"

#include <gio/gio.h>

/* A TCP connection owned by a task.  Nonblocking; it never reconnects. */
typedef struct sock sock_t;

/* Callbacks to the owner of a connection.  opened may be NULL. */
typedef struct sock_ops {
	void (*opened)(void *context);
	void (*received)(
	    void *context, const uint8_t *bytes, uint32_t size_bytes);
	/* last callback; the owner then calls sock_free() */
	void (*closed)(void *context, int32_t error);
	/* the peer has taken buffered data; may be NULL */
	void (*written)(void *context);
} sock_ops_t;

/* Maximum number of connections that wait to be accepted. */
#define SOCK_BACKLOG 512

GSocket *sock_listen(GSocketAddress *, GError **);
sock_t *sock_connect(GMainContext *, const char *address, uint32_t port,
    const sock_ops_t *, void *context);
sock_t *sock_accept(
    GMainContext *, GSocket *, const sock_ops_t *, void *context);
int32_t sock_write(sock_t *, const uint8_t *bytes, uint64_t size_bytes);
uint64_t sock_buffered_bytes(const sock_t *);
void sock_shutdown(sock_t *);
void sock_discard_all(sock_t *);
void sock_free(sock_t *);

#endif
