#include "eventq.h"

#include <glib.h>
#include <string.h>

typedef struct node {
	int64_t at_us;
	uint64_t order;
	uint8_t event[];
} node_t;

struct eventq {
	GSequence *nodes; /* of node_t */
	uint32_t event_bytes;
	uint64_t order;
};

/*
 * Order events by time, then by when they were added.
 */
static gint
node_compare(gconstpointer a, gconstpointer b, gpointer context)
{
	const node_t *x = a, *y = b;

	(void)context;
	if (x->at_us != y->at_us)
		return x->at_us < y->at_us ? -1 : 1;
	return x->order < y->order ? -1 : x->order > y->order;
}

/*
 * Make an empty queue of events of this size.
 */
eventq_t *
eventq_new(uint32_t event_bytes)
{
	eventq_t *queue = g_new0(eventq_t, 1);

	queue->nodes = g_sequence_new(g_free);
	queue->event_bytes = event_bytes;
	return queue;
}

/*
 * Free a queue with its events.
 */
void
eventq_free(eventq_t *queue)
{
	g_sequence_free(queue->nodes);
	g_free(queue);
}

/*
 * Add a copy of an event that happens at a time.
 */
void
eventq_add(eventq_t *queue, int64_t at_us, const void *event)
{
	node_t *node = g_malloc(sizeof(*node) + queue->event_bytes);

	node->at_us = at_us;
	node->order = ++queue->order;
	memcpy(node->event, event, queue->event_bytes);
	g_sequence_insert_sorted(queue->nodes, node, node_compare, NULL);
}

/*
 * Take the first event, of which there must be one, into *event.  Returns
 * when it happens.
 */
int64_t
eventq_take(eventq_t *queue, void *event)
{
	GSequenceIter *first = g_sequence_get_begin_iter(queue->nodes);
	const node_t *node = g_sequence_get(first);
	int64_t at_us = node->at_us;

	memcpy(event, node->event, queue->event_bytes);
	g_sequence_remove(first);
	return at_us;
}
