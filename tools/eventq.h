#ifndef EVENTQ_H
#define EVENTQ_H

#include <stdint.h>

/*
 * A queue of the events of a simulation, ordered by their simulated time;
 * events of the same time keep the order in which they were added.
 */
typedef struct eventq eventq_t;

eventq_t *eventq_new(uint32_t event_bytes);
void eventq_free(eventq_t *);
void eventq_push(eventq_t *, int64_t at_us, const void *event);
int64_t eventq_pop(eventq_t *, void *event);

#endif
