#ifndef TASK_H
#define TASK_H

#include "bergamotplank.h"

#include <gio/gio.h>

/*
 * A task owns its sockets and its state.  Tasks communicate only by messages.
 * A task has its own thread and GMainContext, or it is hosted by another task
 * and shares that task's thread and GMainContext.
 */
typedef struct task task_t;

/*
 * A message between tasks.  It owns the arena that it is allocated in.  Sending
 * a message passes ownership to the receiver, whose handler frees it.
 */
typedef struct msg {
	arena_t *arena;
	ProtobufCMessage *body;
	task_t *from; /* sender; may be NULL */
	task_t *to;   /* receiver; set only between tasks of one thread */
	GList link;   /* node in the local queue of that thread */
} msg_t;

/* The handler of a task for one type of message.  It frees the message. */
typedef struct task_handler {
	const ProtobufCMessageDescriptor *type;
	void (*handle)(void *context, msg_t *);
} task_handler_t;

/*
 * Callbacks that implement a task; they run in its thread.  Their context
 * holds the state of the task, such as front_ctx_t.
 */
typedef struct task_ops {
	const char *name;
	/* returns 0 or a negative errno value */
	int32_t (*start)(void *context, task_t *);
	void (*stop)(void *context);
	const task_handler_t *handlers;
	uint32_t handlers_count;
} task_ops_t;

task_t *task_new(const task_ops_t *, void *context);
task_t *task_new_hosted(const task_ops_t *, void *context, task_t *host);
int32_t task_start_hosted(task_t *);
void task_stop_hosted(task_t *);
int32_t task_start(task_t *);
void task_stop(task_t *);
void task_free(task_t *);
int32_t task_run_in_caller(task_t *);
void task_quit(task_t *);
GMainContext *task_main_context(task_t *);

msg_t *msg_new(const ProtobufCMessageDescriptor *);
msg_t *msg_adopt(arena_t *, ProtobufCMessage *);
msg_t *msg_copy(const ProtobufCMessage *);
void msg_free(msg_t *);
void task_send(task_t *to, task_t *from, msg_t *);
void task_dispatch_local(void);

/* A timer of the running task; its callback may destroy it. */
GSource *task_timer(task_t *, uint32_t interval_ms, GSourceFunc, void *context);
void source_clear(GSource **);

#endif
