#ifndef POLLER_H
#define POLLER_H

#include "bergamotplank.h"

#include <gio/gio.h>

/*
 * One epoll set for all sockets of a main context.  GLib's main loop looks at
 * every source each time it wakes, so the sockets share a single one.
 */
typedef struct poller poller_t;

/* One file descriptor of a set; part of its owner's structure. */
typedef struct poller_item {
	void (*ready)(void *context, uint32_t events);
	void *context;
	poller_t *poller;
	int32_t fd;
	uint32_t events; /* EPOLLIN and so on, as watched now */
} poller_item_t;

void poller_add(poller_item_t *, GMainContext *, int32_t fd, uint32_t events);
void poller_change(poller_item_t *, uint32_t events);
void poller_remove(poller_item_t *);

#endif
