#include "task.h"

#include <errno.h>
#include <talloc.h>

#define DISPATCH_MAX 64

/*
 * Queue of the messages between the tasks of one thread, shared by these tasks.
 * It needs neither a lock nor a wakeup of the main loop.
 */
typedef struct local_queue {
	GSource source;
	GQueue messages; /* of msg_t, oldest first */
} local_queue_t;

struct task {
	const task_ops_t *ops;
	void *context;
	GMainContext *main_context;
	GMainLoop *loop;
	GThread *thread;
	task_t *host; /* task in whose thread this one runs, or NULL */
	local_queue_t *local_queue; /* messages from tasks of the same thread */
	GSource *inbox;             /* dispatches messages from other threads */
	GMutex lock;
	GQueue messages; /* of msg_t from other threads; under lock */
	GCond started;
	bool has_started; /* start() has returned; under lock */
	int32_t error;    /* result of start(); under lock */
};

/* GSource of a task's messages from other threads. */
typedef struct inbox {
	GSource source;
	task_t *task;
} inbox_t;

/* Local queue of the running thread. */
static GPrivate running_local_queue;

/*
 * Remove the oldest message from a task's inbox and return it, or NULL.
 */
static msg_t *
inbox_pop(task_t *task)
{
	msg_t *msg;

	g_mutex_lock(&task->lock);
	msg = g_queue_pop_head(&task->messages);
	g_mutex_unlock(&task->lock);
	return msg;
}

/*
 * Tell whether the inbox has messages.  A GSource check callback.
 */
static gboolean
inbox_check(GSource *source)
{
	task_t *task = ((inbox_t *)source)->task;
	gboolean ready;

	g_mutex_lock(&task->lock);
	ready = !g_queue_is_empty(&task->messages);
	g_mutex_unlock(&task->lock);
	return ready;
}

/*
 * Tell whether the inbox has messages and set no limit on the poll timeout.  A
 * GSource prepare callback.
 */
static gboolean
inbox_prepare(GSource *source, gint *timeout_ms)
{
	*timeout_ms = -1;
	return inbox_check(source);
}

/*
 * Call the task's handler for the type of a message.
 */
static void
task_handle(task_t *task, msg_t *msg)
{
	uint32_t i;

	for (i = 0; i < task->ops->handlers_count; i++) {
		const task_handler_t *handler = &task->ops->handlers[i];

		if (handler->type == msg->body->descriptor) {
			handler->handle(task->context, msg);
			return;
		}
	}
	g_error("task %s has no handler for %s", task->ops->name,
	    msg->body->descriptor->name);
}

/*
 * Tell whether the local queue has messages.  A GSource check callback.
 */
static gboolean
local_queue_check(GSource *source)
{
	return !g_queue_is_empty(&((local_queue_t *)source)->messages);
}

/*
 * Tell whether the local queue has messages and set no limit on the poll
 * timeout.  A GSource prepare callback.
 */
static gboolean
local_queue_prepare(GSource *source, gint *timeout_ms)
{
	*timeout_ms = -1;
	return local_queue_check(source);
}

/*
 * Handle the messages in the running thread's local queue, at most
 * DISPATCH_MAX of them, so that sockets and timers are served in between.
 */
void
task_dispatch_local(void)
{
	local_queue_t *local_queue = g_private_get(&running_local_queue);
	uint32_t i;

	for (i = 0; local_queue != NULL && i < DISPATCH_MAX; i++) {
		GList *link = g_queue_pop_head_link(&local_queue->messages);
		msg_t *msg;

		if (link == NULL)
			break;
		msg = link->data;
		task_handle(msg->to, msg);
	}
}

/*
 * Handle the messages that task_dispatch_local() did not already handle at the
 * end of a socket's callback.  A GSource dispatch callback.
 */
static gboolean
local_queue_dispatch(GSource *source, GSourceFunc callback, gpointer context)
{
	(void)source;
	(void)callback;
	(void)context;
	task_dispatch_local();
	return G_SOURCE_CONTINUE;
}

static GSourceFuncs local_queue_funcs = {local_queue_prepare, local_queue_check,
    local_queue_dispatch, NULL, NULL, NULL};

/*
 * Handle at most DISPATCH_MAX messages, so that sockets and timers are served
 * in between.  A GSource dispatch callback.  A message without a type ends the
 * task.
 */
static gboolean
inbox_dispatch(GSource *source, GSourceFunc callback, gpointer context)
{
	task_t *task = ((inbox_t *)source)->task;
	uint32_t i;

	(void)callback;
	(void)context;
	for (i = 0; i < DISPATCH_MAX; i++) {
		msg_t *msg = inbox_pop(task);

		if (msg == NULL)
			break;
		if (msg->body->descriptor == NULL) {
			msg_free(msg);
			g_main_loop_quit(task->loop);
			break;
		}
		task_handle(task, msg);
	}
	return G_SOURCE_CONTINUE;
}

static GSourceFuncs inbox_funcs = {
    inbox_prepare, inbox_check, inbox_dispatch, NULL, NULL, NULL};

/*
 * Call start() of a task, run its main loop and call stop().
 */
static gpointer
task_thread_main(gpointer data)
{
	task_t *task = data;
	int32_t error;

	g_main_context_push_thread_default(task->main_context);
	g_private_set(&running_local_queue, task->local_queue);
	error = task->ops->start(task->context, task);
	g_mutex_lock(&task->lock);
	task->error = error;
	task->has_started = true;
	g_cond_signal(&task->started);
	g_mutex_unlock(&task->lock);
	if (error == 0) {
		g_main_loop_run(task->loop);
		task->ops->stop(task->context);
	}
	g_main_context_pop_thread_default(task->main_context);
	return NULL;
}

/*
 * Create a task with a main context, a main loop and a local queue, and take
 * over the caller's references to them.
 */
static task_t *
task_create(const task_ops_t *ops, void *context, GMainContext *main_context,
    GMainLoop *loop, local_queue_t *local_queue)
{
	task_t *task = g_new0(task_t, 1);

	task->ops = ops;
	task->context = context;
	task->main_context = main_context;
	task->loop = loop;
	task->local_queue = local_queue;
	g_mutex_init(&task->lock);
	g_cond_init(&task->started);
	g_queue_init(&task->messages);
	task->inbox = g_source_new(&inbox_funcs, sizeof(inbox_t));
	((inbox_t *)task->inbox)->task = task;
	g_source_attach(task->inbox, task->main_context);
	return task;
}

/*
 * Create a task with a main context of its own.  Messages can be sent to it at
 * once; they are handled after it has started.
 */
task_t *
task_new(const task_ops_t *ops, void *context)
{
	GMainContext *main_context = g_main_context_new();
	local_queue_t *local_queue = (local_queue_t *)g_source_new(
	    &local_queue_funcs, sizeof(*local_queue));

	g_queue_init(&local_queue->messages);
	g_source_attach(&local_queue->source, main_context);
	return task_create(ops, context, main_context,
	    g_main_loop_new(main_context, FALSE), local_queue);
}

/*
 * Create a task that runs in the thread of its host, on the host's main
 * context.  It has its own sockets and state like any other task.  Messages
 * between tasks of one thread need neither a lock nor a wakeup.
 */
task_t *
task_new_hosted(const task_ops_t *ops, void *context, task_t *host)
{
	task_t *task;

	g_source_ref(&host->local_queue->source);
	task = task_create(ops, context, g_main_context_ref(host->main_context),
	    g_main_loop_ref(host->loop), host->local_queue);
	task->host = host;
	return task;
}

/*
 * Start a task that was created by task_new_hosted().  Must be called from the
 * thread of the host.  Returns 0 or the negative errno value of start().
 */
int32_t
task_start_hosted(task_t *task)
{
	task->has_started = true;
	task->error = task->ops->start(task->context, task);
	return task->error;
}

/*
 * Stop a task that was started by task_start_hosted().
 */
void
task_stop_hosted(task_t *task)
{
	if (task->has_started && task->error == 0)
		task->ops->stop(task->context);
	task->has_started = false;
}

/*
 * Start the thread of a task and wait until its start() has returned.  Returns
 * 0 or the negative errno value of start().
 */
int32_t
task_start(task_t *task)
{
	int32_t error;

	task->thread = g_thread_new(task->ops->name, task_thread_main, task);
	g_mutex_lock(&task->lock);
	while (!task->has_started)
		g_cond_wait(&task->started, &task->lock);
	error = task->error;
	g_mutex_unlock(&task->lock);
	return error;
}

/*
 * Run the task in the calling thread until task_quit() is called.  Returns 0 or
 * the negative errno value of start().
 */
int32_t
task_run_in_caller(task_t *task)
{
	task_thread_main(task);
	return task->error;
}

/*
 * End the main loop of the running task.
 */
void
task_quit(task_t *task)
{
	g_main_loop_quit(task->loop);
}

/*
 * End a task after the messages that were already sent to it, and wait for its
 * thread.  Later messages are accepted but not handled.
 */
void
task_stop(task_t *task)
{
	static const ProtobufCMessage end = {0};
	arena_t *arena;

	if (task->thread == NULL)
		return;
	arena = arena_new();
	task_send(task, NULL,
	    msg_adopt(arena, arena_memdup(arena, &end, sizeof(end))));
	g_thread_join(task->thread);
	task->thread = NULL;
}

/*
 * Free a task that has ended.  No other task may send to it any more.
 */
void
task_free(task_t *task)
{
	msg_t *msg;

	while ((msg = inbox_pop(task)) != NULL)
		msg_free(msg);
	g_source_destroy(task->inbox);
	g_source_unref(task->inbox);
	if (task->host == NULL) {
		GList *link;

		while ((link = g_queue_pop_head_link(
			    &task->local_queue->messages)) != NULL)
			msg_free(link->data);
		g_source_destroy(&task->local_queue->source);
	}
	g_source_unref(&task->local_queue->source);
	g_main_loop_unref(task->loop);
	g_main_context_unref(task->main_context);
	g_mutex_clear(&task->lock);
	g_cond_clear(&task->started);
	g_free(task);
}

/*
 * Return the main context that a task attaches its sources to.
 */
GMainContext *
task_main_context(task_t *task)
{
	return task->main_context;
}

/*
 * Create an empty message of the given type, in a new arena.
 */
msg_t *
msg_new(const ProtobufCMessageDescriptor *type)
{
	arena_t *arena = arena_new();

	return msg_adopt(arena, message_new(arena, type));
}

/*
 * Create a message for a body that was allocated in the arena.  The message
 * takes over the arena.
 */
msg_t *
msg_adopt(arena_t *arena, ProtobufCMessage *body)
{
	msg_t *msg = arena_zalloc(arena, sizeof(*msg));

	msg->arena = arena;
	msg->body = body;
	return msg;
}

/*
 * Create a message with a copy of the body, in a new arena.
 */
msg_t *
msg_copy(const ProtobufCMessage *body)
{
	arena_t *arena = arena_new();

	return msg_adopt(arena, message_copy(arena, body));
}

/*
 * Free a message and its arena.
 */
void
msg_free(msg_t *msg)
{
	arena_free(msg->arena);
}

/*
 * Send a message to a task, which takes it over.  May be called from any
 * thread.
 */
void
task_send(task_t *to, task_t *from, msg_t *msg)
{
	bool was_empty;

	msg->from = from;
	if (to->local_queue == g_private_get(&running_local_queue)) {
		msg->to = to;
		msg->link.data = msg;
		g_queue_push_tail_link(&to->local_queue->messages, &msg->link);
		return;
	}
	g_mutex_lock(&to->lock);
	was_empty = g_queue_is_empty(&to->messages);
	g_queue_push_tail(&to->messages, msg);
	g_mutex_unlock(&to->lock);
	if (was_empty)
		g_main_context_wakeup(to->main_context);
}

/*
 * Call a function every interval_ms until it returns FALSE or the source is
 * destroyed.  The caller owns the returned source.
 */
GSource *
task_timer(
    task_t *task, uint32_t interval_ms, GSourceFunc callback, void *context)
{
	GSource *source = g_timeout_source_new(interval_ms);

	g_source_set_callback(source, callback, context, NULL);
	g_source_attach(source, task->main_context);
	return source;
}

/*
 * Destroy a source, release the reference and set the pointer to NULL.  Does
 * nothing if the pointer is NULL already.
 */
void
source_clear(GSource **source)
{
	if (*source == NULL)
		return;
	g_source_destroy(*source);
	g_source_unref(*source);
	*source = NULL;
}
