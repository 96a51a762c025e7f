#ifndef POLLER_H
#define POLLER_H

#include "bergamotplank.h"

#include <gio/gio.h>

/*
 * An epoll instance for all sockets of a main context.  GLib's main loop checks
 * every GSource at each wakeup, so the sockets share a single GSource.
 */
typedef struct poller poller_t;

/* A polled file descriptor; embedded in its owner's structure. */
typedef struct poller_item {
	/* called in the main context's thread with the ready events */
	void (*ready)(void *context, uint32_t events);
	void *context;
	poller_t *poller; /* NULL if not polled */
	int32_t fd;
	uint32_t events; /* EPOLLIN etc. that are polled for */
} poller_item_t;

void poller_add(poller_item_t *, GMainContext *, int32_t fd, uint32_t events);
void poller_modify(poller_item_t *, uint32_t events);
void poller_remove(poller_item_t *);

#endif
