#ifndef H2_H
#define H2_H

#include "bergamotplank.h"

#include <gio/gio.h>

/*
 * An HTTP/2 connection (cleartext, with prior knowledge) on nghttp2.  It never
 * reconnects and never resends a request.
 */
typedef struct h2 h2_t;

/* Callbacks to the owner of a connection; each may be NULL. */
typedef struct h2_ops {
	void (*opened)(void *context);
	/* client: the response to a request */
	void (*response_received)(void *context, int32_t stream,
	    uint32_t status, const char *body, uint32_t size_bytes);
	/* server: a request to be answered by h2_submit_response() */
	void (*request_received)(void *context, int32_t stream,
	    const char *path, const char *body, uint32_t size_bytes);
	/* the peer acknowledged a ping */
	void (*ping_acked)(void *context);
	/* last callback; the owner then calls h2_free() */
	void (*closed)(void *context, int32_t error);
} h2_ops_t;

h2_t *h2_connect(GMainContext *, const char *address, uint32_t port,
    const h2_ops_t *, void *context);
h2_t *h2_accept(GMainContext *, GSocket *, const h2_ops_t *, void *context);
int32_t h2_submit_request(h2_t *, const char *path, const char *body, uint32_t);
int32_t h2_submit_response(
    h2_t *, int32_t stream, uint32_t status, const char *body, uint32_t);
void h2_ping(h2_t *);
void h2_discard_all(h2_t *);
void h2_free(h2_t *);

#endif
