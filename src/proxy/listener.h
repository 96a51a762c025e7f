#ifndef PROXY_LISTENER_H
#define PROXY_LISTENER_H

#include <gio/gio.h>
#include <stdint.h>

/* A listening TCP socket, polled in the epoll set of its task. */
typedef struct listener listener_t;

/* Called for each accepted connection; takes ownership of the socket. */
typedef void (*listener_cb)(void *context, GSocket *);

listener_t *listener_open(
    GMainContext *, const char *address, listener_cb, void *context);
void listener_close(listener_t *);

#endif
