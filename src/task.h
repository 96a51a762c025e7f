#ifndef TASK_H
#define TASK_H

#include "bergamotplank.h"

#include <gio/gio.h>

/*
 * A task owns its sockets and its state; other tasks reach it by messages
 * only.  It is a thread with its own GMainContext, or runs beside others in
 * the thread of one.
 */
typedef struct task task_t;

/* A message owns its arena, and whoever holds the message owns both. */
typedef struct msg {
	arena_t *arena;
	ProtobufCMessage *body;
	task_t *from;
	task_t *to; /* between tasks of one thread */
	GList link; /* the same */
} msg_t;

/* What a task does with one type of message; it frees the message. */
typedef struct task_handler {
	const ProtobufCMessageDescriptor *type;
	void (*handle)(void *context, msg_t *);
} task_handler_t;

/* What one role gives its task.  All run in the task's own thread. */
typedef struct task_ops {
	const char *name;
	int32_t (*start)(void *context, task_t *);
	void (*stop)(void *context);
	const task_handler_t *handlers;
	uint32_t handlers_count;
} task_ops_t;

task_t *task_new(const task_ops_t *, void *context);
task_t *task_new_beside(const task_ops_t *, void *context, task_t *host);
int32_t task_start_beside(task_t *);
void task_stop_beside(task_t *);
int32_t task_start(task_t *);
void task_stop(task_t *);
void task_free(task_t *);
int32_t task_run_here(task_t *);
void task_quit(task_t *);
GMainContext *task_context(task_t *);

msg_t *msg_new(const ProtobufCMessageDescriptor *);
msg_t *msg_adopt(arena_t *, ProtobufCMessage *);
msg_t *msg_copy(const ProtobufCMessage *);
void msg_free(msg_t *);
void task_send(task_t *to, task_t *from, msg_t *);
void task_deliver(void);

/* A timer of the running task; the callback may remove it. */
GSource *task_timer(task_t *, uint32_t interval_ms, GSourceFunc, void *context);
void source_drop(GSource **);

#endif
