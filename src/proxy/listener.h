#ifndef PROXY_LISTENER_H
#define PROXY_LISTENER_H

#include <gio/gio.h>
#include <stdint.h>

/* A listening socket in the epoll set of its task. */
typedef struct listener listener_t;

/* The callback owns the socket. */
typedef void (*listener_cb)(void *context, GSocket *);

listener_t *listener_open(
    GMainContext *, const char *address, listener_cb, void *context);
void listener_close(listener_t *);

#endif
