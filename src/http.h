#ifndef HTTP_H
#define HTTP_H

#include "bergamotplank.h"

#include <libsoup/soup.h>

/* An HTTP client for one server address.  Every request has a timeout. */
typedef struct http_client http_client_t;

/*
 * Callback for a response.  The status is 0 if the request failed or timed out;
 * the body is NULL or ends in a zero byte, which size_bytes does not count.
 */
typedef void (*http_response_cb)(
    void *context, uint32_t status, const char *body, uint64_t size_bytes);

http_client_t *http_client_new(const char *address, uint32_t timeout_ms);
void http_client_limit_delivery(http_client_t *, uint32_t delivery_ms);
SoupMessage *http_request_new(
    http_client_t *, const char *method, const char *path);
void http_request_send(http_client_t *, SoupMessage *, const char *body,
    uint32_t extra_wait_ms, http_response_cb, void *context);
void http_client_free(http_client_t *);

int32_t http_listen(SoupServer *, GSocketAddress *, const char *client_kind);

#endif
