#ifndef QUESTION_H
#define QUESTION_H

#include "stats.h"
#include "task.h"

#include <libsoup/soup.h>

/*
 * Operators' questions over HTTP.  A question goes to several tasks as
 * StatusWanted; the answer is sent once each has given its StatusPart.
 */
typedef struct questions questions_t;

/* What is asked: the status page as JSON, or the metrics as text. */
typedef enum question_kind {
	QUESTION_STATUS,
	QUESTION_METRICS,
} question_kind_t;

questions_t *questions_new(const char *daemon);
void questions_free(questions_t *);
void questions_ask(questions_t *, SoupServerMessage *, question_kind_t,
    bool draining, const counters_t *own, task_t *from, task_t *const *to,
    uint32_t to_count);
void questions_part(questions_t *, msg_t *);

#endif
