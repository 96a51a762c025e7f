#ifndef H2_H
#define H2_H

#include "bergamotplank.h"

#include <gio/gio.h>

/*
 * One HTTP/2 connection (cleartext, prior knowledge) on nghttp2.  It is
 * opened once, never reconnects and never sends anything twice.
 */
typedef struct h2 h2_t;

/* What the owner of a connection is told; NULL callbacks are left out. */
typedef struct h2_ops {
	void (*opened)(void *context);
	void (*answered)(void *context, int32_t stream, uint32_t status,
	    const char *body, uint32_t size_bytes);
	void (*asked)(void *context, int32_t stream, const char *path,
	    const char *body, uint32_t size_bytes);
	void (*ponged)(void *context);
	/* the last call; the owner then calls h2_free() */
	void (*closed)(void *context, int32_t error);
} h2_ops_t;

h2_t *h2_connect(GMainContext *, const char *address, uint32_t port,
    const h2_ops_t *, void *context);
h2_t *h2_accept(GMainContext *, GSocket *, const h2_ops_t *, void *context);
int32_t h2_ask(h2_t *, const char *path, const char *body, uint32_t);
int32_t h2_answer(
    h2_t *, int32_t stream, uint32_t status, const char *body, uint32_t);
void h2_ping(h2_t *);
void h2_mute(h2_t *);
void h2_free(h2_t *);

#endif
