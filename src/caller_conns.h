#ifndef CALLER_CONNS_H
#define CALLER_CONNS_H

#include "bergamotplank.h"

#include <libsoup/soup.h>

/*
 * The HTTP connections of callers.  GLib's main loop polls every source each
 * time it wakes up, so idle keep-alive connections are kept out of it: they
 * are taken from libsoup and parked in the epoll set of the task, and handed
 * back to libsoup when bytes arrive.  A connection that libsoup has is active.
 */
typedef struct caller_conns caller_conns_t;

caller_conns_t *caller_conns_new(SoupServer *, GMainContext *, uint32_t max);
void caller_conns_refuse_new(caller_conns_t *);
void caller_conns_free(caller_conns_t *);
void caller_conns_message_started(caller_conns_t *, SoupServerMessage *);
void caller_conns_mark_busy(caller_conns_t *, SoupServerMessage *);
uint64_t caller_conns_refused(const caller_conns_t *);
uint32_t caller_conns_count(const caller_conns_t *);
bool caller_conns_in_use(const caller_conns_t *, int64_t since_us);
void caller_conns_shutdown(caller_conns_t *, SoupServerMessage *);

#endif
