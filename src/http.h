#ifndef HTTP_H
#define HTTP_H

#include "bergamotplank.h"

#include <libsoup/soup.h>

/* HTTP calls to one address, each with a bound on its time; and listening. */
typedef struct http http_t;

/* status 0: no answer.  body is NULL or ends in a zero byte. */
typedef void (*http_cb)(
    void *context, uint32_t status, const char *body, uint64_t size_bytes);

http_t *http_open(const char *address, uint32_t timeout_ms);
SoupMessage *http_message(http_t *, const char *method, const char *path);
void http_send(http_t *, SoupMessage *, const char *body,
    uint32_t extra_wait_ms, http_cb, void *context);
void http_close(http_t *);

int32_t http_listen(SoupServer *, GSocketAddress *, const char *who);

#endif
