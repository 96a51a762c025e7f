#include "poller.h"
#include "task.h"

#include <sys/epoll.h>
#include <unistd.h>

#define EVENTS_PER_DISPATCH_MAX 64

struct poller {
	GSource source;
	GMainContext *main_context;
	gpointer fd_tag;
	int32_t epoll_fd;
	uint32_t items; /* number of polled file descriptors */
	struct epoll_event events[EVENTS_PER_DISPATCH_MAX];
	int32_t pending_events; /* size of events[] during a dispatch, else 0 */
};

/* Pollers of the running thread, by main context. */
static GPrivate thread_pollers =
    G_PRIVATE_INIT((GDestroyNotify)g_hash_table_unref);

/*
 * Free a poller without items.  Pollers are looked up by the address of their
 * main context, which may be reused once the main context is freed.
 */
static void
poller_destroy(poller_t *poller)
{
	g_hash_table_remove(
	    g_private_get(&thread_pollers), poller->main_context);
	close(poller->epoll_fd);
	g_source_destroy(&poller->source);
	g_source_unref(&poller->source);
}

/*
 * Call ready() for each ready file descriptor; ready() may remove any item of
 * the poller.  A GSource dispatch callback.
 */
static gboolean
poller_dispatch(GSource *source, GSourceFunc callback, gpointer context)
{
	poller_t *poller = (poller_t *)source;
	int32_t i;

	(void)callback;
	(void)context;
	poller->pending_events = epoll_wait(
	    poller->epoll_fd, poller->events, EVENTS_PER_DISPATCH_MAX, 0);
	for (i = 0; i < poller->pending_events; i++) {
		poller_item_t *item = poller->events[i].data.ptr;

		if (item != NULL)
			item->ready(item->context, poller->events[i].events);
	}
	poller->pending_events = 0;
	if (poller->items == 0) {
		poller_destroy(poller);
		return G_SOURCE_REMOVE;
	}
	task_dispatch_local();
	return G_SOURCE_CONTINUE;
}

static GSourceFuncs poller_funcs = {
    NULL, NULL, poller_dispatch, NULL, NULL, NULL};

/*
 * Return the poller of a main context, created if there is none.
 */
static poller_t *
poller_get(GMainContext *main_context)
{
	GHashTable *pollers = g_private_get(&thread_pollers);
	poller_t *poller;

	if (pollers == NULL) {
		pollers = g_hash_table_new(NULL, NULL);
		g_private_set(&thread_pollers, pollers);
	}
	poller = g_hash_table_lookup(pollers, main_context);
	if (poller != NULL)
		return poller;
	poller = (poller_t *)g_source_new(&poller_funcs, sizeof(*poller));
	poller->main_context = main_context;
	poller->epoll_fd = epoll_create1(EPOLL_CLOEXEC);
	g_assert(poller->epoll_fd >= 0);
	poller->fd_tag =
	    g_source_add_unix_fd(&poller->source, poller->epoll_fd, G_IO_IN);
	g_source_attach(&poller->source, main_context);
	g_hash_table_insert(pollers, main_context, poller);
	return poller;
}

/*
 * Start polling a file descriptor.  The caller has set the item's ready and
 * context.
 */
void
poller_add(poller_item_t *item, GMainContext *main_context, int32_t fd,
    uint32_t events)
{
	struct epoll_event event = {.events = events, .data = {.ptr = item}};

	item->poller = poller_get(main_context);
	item->fd = fd;
	item->events = events;
	item->poller->items++;
	g_assert(
	    epoll_ctl(item->poller->epoll_fd, EPOLL_CTL_ADD, fd, &event) == 0);
}

/*
 * Change the events that an item is polled for.
 */
void
poller_modify(poller_item_t *item, uint32_t events)
{
	struct epoll_event event = {.events = events, .data = {.ptr = item}};

	if (item->events == events)
		return;
	item->events = events;
	epoll_ctl(item->poller->epoll_fd, EPOLL_CTL_MOD, item->fd, &event);
}

/*
 * Stop polling a file descriptor.  Must be called before the file descriptor is
 * closed.  The poller is freed with its last item, or at the end of the
 * dispatch if it is dispatching.
 */
void
poller_remove(poller_item_t *item)
{
	poller_t *poller = item->poller;
	int32_t i;

	if (poller == NULL)
		return;
	item->poller = NULL;
	epoll_ctl(poller->epoll_fd, EPOLL_CTL_DEL, item->fd, NULL);
	for (i = 0; i < poller->pending_events; i++) {
		if (poller->events[i].data.ptr == item)
			poller->events[i].data.ptr = NULL;
	}
	if (--poller->items == 0 && poller->pending_events == 0)
		poller_destroy(poller);
}
