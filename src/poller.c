#include "poller.h"
#include "task.h"

#include <sys/epoll.h>
#include <unistd.h>

#define EVENTS_MAX 64

struct poller {
	GSource source;
	GMainContext *main;
	gpointer tag;
	int32_t epoll;
	uint32_t items;
	struct epoll_event events[EVENTS_MAX];
	int32_t pending; /* of events, being handed out */
};

/* The sets of the running thread, by main context. */
static GPrivate sets = G_PRIVATE_INIT((GDestroyNotify)g_hash_table_unref);

/*
 * Forget a set that watches nothing any more; its main context may go next.
 */
static void
poller_end(poller_t *poller)
{
	g_hash_table_remove(g_private_get(&sets), poller->main);
	close(poller->epoll);
	g_source_destroy(&poller->source);
	g_source_unref(&poller->source);
}

/*
 * Hand out what is ready.  A callback may remove any item of the set.
 */
static gboolean
poller_dispatch(GSource *source, GSourceFunc callback, gpointer context)
{
	poller_t *poller = (poller_t *)source;
	int32_t i;

	(void)callback;
	(void)context;
	poller->pending =
	    epoll_wait(poller->epoll, poller->events, EVENTS_MAX, 0);
	for (i = 0; i < poller->pending; i++) {
		poller_item_t *item = poller->events[i].data.ptr;

		if (item != NULL)
			item->ready(item->context, poller->events[i].events);
	}
	poller->pending = 0;
	if (poller->items == 0) {
		poller_end(poller);
		return G_SOURCE_REMOVE;
	}
	task_deliver();
	return G_SOURCE_CONTINUE;
}

static GSourceFuncs poller_funcs = {
    NULL, NULL, poller_dispatch, NULL, NULL, NULL};

/*
 * The set of a main context, made when there is none.
 */
static poller_t *
poller_of(GMainContext *main)
{
	GHashTable *table = g_private_get(&sets);
	poller_t *poller;

	if (table == NULL) {
		table = g_hash_table_new(NULL, NULL);
		g_private_set(&sets, table);
	}
	poller = g_hash_table_lookup(table, main);
	if (poller != NULL)
		return poller;
	poller = (poller_t *)g_source_new(&poller_funcs, sizeof(*poller));
	poller->main = main;
	poller->epoll = epoll_create1(EPOLL_CLOEXEC);
	g_assert(poller->epoll >= 0);
	poller->tag =
	    g_source_add_unix_fd(&poller->source, poller->epoll, G_IO_IN);
	g_source_attach(&poller->source, main);
	g_hash_table_insert(table, main, poller);
	return poller;
}

/*
 * Watch a file descriptor from now on; ready and context of the item are set.
 */
void
poller_add(poller_item_t *item, GMainContext *main, int32_t fd, uint32_t events)
{
	struct epoll_event event = {.events = events, .data = {.ptr = item}};

	item->poller = poller_of(main);
	item->fd = fd;
	item->events = events;
	item->poller->items++;
	g_assert(
	    epoll_ctl(item->poller->epoll, EPOLL_CTL_ADD, fd, &event) == 0);
}

/*
 * Watch for other events.
 */
void
poller_change(poller_item_t *item, uint32_t events)
{
	struct epoll_event event = {.events = events, .data = {.ptr = item}};

	if (item->events == events)
		return;
	item->events = events;
	epoll_ctl(item->poller->epoll, EPOLL_CTL_MOD, item->fd, &event);
}

/*
 * Stop watching; to be called before the file descriptor is closed.  The last
 * item takes the set with it.
 */
void
poller_remove(poller_item_t *item)
{
	poller_t *poller = item->poller;
	int32_t i;

	if (poller == NULL)
		return;
	item->poller = NULL;
	epoll_ctl(poller->epoll, EPOLL_CTL_DEL, item->fd, NULL);
	for (i = 0; i < poller->pending; i++) {
		if (poller->events[i].data.ptr == item)
			poller->events[i].data.ptr = NULL;
	}
	if (--poller->items == 0 && poller->pending == 0)
		poller_end(poller);
}
