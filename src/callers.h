#ifndef CALLERS_H
#define CALLERS_H

#include "bergamotplank.h"

#include <libsoup/soup.h>

/*
 * The HTTP connections of callers.  GLib's main loop polls every source each
 * time it wakes up, so idle keep-alive connections are kept out of it: they
 * are taken from libsoup and parked in the epoll set of the task, and handed
 * back to libsoup when bytes arrive.  A connection that libsoup has is active.
 */
typedef struct callers callers_t;

callers_t *callers_new(SoupServer *, GMainContext *, uint32_t max);
void callers_refuse_new(callers_t *);
void callers_free(callers_t *);
void callers_started(callers_t *, SoupServerMessage *);
void callers_busy(callers_t *, SoupServerMessage *);
uint64_t callers_refused(const callers_t *);
uint32_t callers_count(const callers_t *);
uint32_t callers_active(const callers_t *);
void callers_cut(callers_t *, SoupServerMessage *);

#endif
