#ifndef HTTP_H
#define HTTP_H

#include "bergamotplank.h"

#include <libsoup/soup.h>

/* An HTTP client for one server address.  Every request has a timeout. */
typedef struct http http_t;

/*
 * Receives a response.  The status is 0 if the request failed or timed out; the
 * body is NULL or ends in a zero byte, which size_bytes does not count.
 */
typedef void (*http_cb)(
    void *context, uint32_t status, const char *body, uint64_t size_bytes);

http_t *http_open(const char *address, uint32_t timeout_ms);
SoupMessage *http_message(http_t *, const char *method, const char *path);
void http_send(http_t *, SoupMessage *, const char *body,
    uint32_t extra_wait_ms, http_cb, void *context);
void http_close(http_t *);

/* Makes an HTTP server listen. */
int32_t http_listen(SoupServer *, GSocketAddress *, const char *client_kind);

#endif
