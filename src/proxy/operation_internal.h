#ifndef PROXY_OPERATION_INTERNAL_H
#define PROXY_OPERATION_INTERNAL_H

#include "pool.h"

/*
 * Private to the life cycle of a statement.  A file calls only files below it;
 * what the rest of the pool calls is declared in pool.h:
 *
 * operation_expire.c	statements whose time is over, or whose group is gone
 * operation_answer.c	answers of servers; results that are held
 * operation.c		begin, queue, retry, refusal and end of a statement
 */

/* Maximum number of attempts at a statement that did not run or only read. */
#define TRIES_MAX 4

/* operation.c */
void operation_drop_rows(operation_t *);
void operation_finish(operation_t *, Bp__Verdict, const char *text);
void operation_retry(operation_t *, Bp__Verdict, const char *reason);

#endif
