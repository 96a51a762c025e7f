#include "eventq.h"

#include <glib.h>
#include <string.h>

/* A queued event. */
typedef struct eventq_entry {
	int64_t at_us;
	uint64_t sequence; /* orders events of the same time */
	uint8_t event[];
} eventq_entry_t;

struct eventq {
	GSequence *entries; /* of eventq_entry_t */
	uint32_t event_bytes;
	uint64_t sequence; /* sequence number of the entry added last */
};

/*
 * Compare entries by time, then by the order in which they were added.
 */
static gint
eventq_entry_compare(gconstpointer a, gconstpointer b, gpointer context)
{
	const eventq_entry_t *x = a, *y = b;

	(void)context;
	if (x->at_us != y->at_us)
		return x->at_us < y->at_us ? -1 : 1;
	return x->sequence < y->sequence ? -1 : x->sequence > y->sequence;
}

/*
 * Create an empty queue for events of event_bytes bytes each.
 */
eventq_t *
eventq_new(uint32_t event_bytes)
{
	eventq_t *queue = g_new0(eventq_t, 1);

	queue->entries = g_sequence_new(g_free);
	queue->event_bytes = event_bytes;
	return queue;
}

/*
 * Free a queue and the events in it.
 */
void
eventq_free(eventq_t *queue)
{
	g_sequence_free(queue->entries);
	g_free(queue);
}

/*
 * Add a copy of an event that is due at at_us.
 */
void
eventq_push(eventq_t *queue, int64_t at_us, const void *event)
{
	eventq_entry_t *entry = g_malloc(sizeof(*entry) + queue->event_bytes);

	entry->at_us = at_us;
	entry->sequence = ++queue->sequence;
	memcpy(entry->event, event, queue->event_bytes);
	g_sequence_insert_sorted(
	    queue->entries, entry, eventq_entry_compare, NULL);
}

/*
 * Remove the earliest event, copy it to *event and return the time at which it
 * is due.  The queue must not be empty.
 */
int64_t
eventq_pop(eventq_t *queue, void *event)
{
	GSequenceIter *first = g_sequence_get_begin_iter(queue->entries);
	const eventq_entry_t *entry = g_sequence_get(first);
	int64_t at_us = entry->at_us;

	memcpy(event, entry->event, queue->event_bytes);
	g_sequence_remove(first);
	return at_us;
}
