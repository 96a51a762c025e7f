#include "task.h"

#include <errno.h>
#include <talloc.h>

#define HANDLED_AT_ONCE 64

struct task {
	const task_ops_t *ops;
	void *context;
	GMainContext *main;
	GMainLoop *loop;
	GThread *thread;
	GSource *inbox;
	GMutex lock;
	GQueue waiting; /* of msg_t, under lock */
	GCond started;
	bool has_started; /* under lock */
	int32_t error;    /* of start; under lock */
};

typedef struct inbox {
	GSource source;
	task_t *task;
} inbox_t;

/*
 * Take the oldest waiting message, or NULL.
 */
static msg_t *
inbox_take(task_t *task)
{
	msg_t *msg;

	g_mutex_lock(&task->lock);
	msg = g_queue_pop_head(&task->waiting);
	g_mutex_unlock(&task->lock);
	return msg;
}

/*
 * Tell the main loop whether a message waits.
 */
static gboolean
inbox_ready(GSource *source)
{
	task_t *task = ((inbox_t *)source)->task;
	gboolean ready;

	g_mutex_lock(&task->lock);
	ready = !g_queue_is_empty(&task->waiting);
	g_mutex_unlock(&task->lock);
	return ready;
}

/*
 * As inbox_ready(); the loop may sleep as long as it likes otherwise.
 */
static gboolean
inbox_prepare(GSource *source, gint *timeout_ms)
{
	*timeout_ms = -1;
	return inbox_ready(source);
}

/*
 * Hand one message to the handler of its type.
 */
static void
inbox_handle(task_t *task, msg_t *msg)
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
 * Handle a bounded number of messages, so that sockets get their turn.
 */
static gboolean
inbox_dispatch(GSource *source, GSourceFunc callback, gpointer context)
{
	task_t *task = ((inbox_t *)source)->task;
	uint32_t i;

	(void)callback;
	(void)context;
	for (i = 0; i < HANDLED_AT_ONCE; i++) {
		msg_t *msg = inbox_take(task);

		if (msg == NULL)
			break;
		if (msg->body->descriptor == NULL) {
			msg_free(msg);
			g_main_loop_quit(task->loop);
			break;
		}
		inbox_handle(task, msg);
	}
	return G_SOURCE_CONTINUE;
}

static GSourceFuncs inbox_funcs = {
    inbox_prepare, inbox_ready, inbox_dispatch, NULL, NULL, NULL};

/*
 * The thread of a task: start the role, run its loop, stop the role.
 */
static gpointer
task_run(gpointer data)
{
	task_t *task = data;
	int32_t error;

	g_main_context_push_thread_default(task->main);
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
	g_main_context_pop_thread_default(task->main);
	return NULL;
}

/*
 * Make a task; it takes messages at once and handles them once started.
 */
task_t *
task_new(const task_ops_t *ops, void *context)
{
	task_t *task = g_new0(task_t, 1);

	task->ops = ops;
	task->context = context;
	task->main = g_main_context_new();
	task->loop = g_main_loop_new(task->main, FALSE);
	g_mutex_init(&task->lock);
	g_cond_init(&task->started);
	g_queue_init(&task->waiting);
	task->inbox = g_source_new(&inbox_funcs, sizeof(inbox_t));
	((inbox_t *)task->inbox)->task = task;
	g_source_attach(task->inbox, task->main);
	return task;
}

/*
 * Start the thread and wait until its role has started.  Returns 0 or the
 * negative error number of the role.
 */
int32_t
task_start(task_t *task)
{
	int32_t error;

	task->thread = g_thread_new(task->ops->name, task_run, task);
	g_mutex_lock(&task->lock);
	while (!task->has_started)
		g_cond_wait(&task->started, &task->lock);
	error = task->error;
	g_mutex_unlock(&task->lock);
	return error;
}

/*
 * Run the task in the calling thread until task_quit().  Returns 0 or the
 * negative error number of the role.
 */
int32_t
task_run_here(task_t *task)
{
	task_run(task);
	return task->error;
}

/*
 * End the loop of the running task.
 */
void
task_quit(task_t *task)
{
	g_main_loop_quit(task->loop);
}

/*
 * Ask the task to end after the messages it already has, and wait.  It may
 * still be sent messages; they are not handled.
 */
void
task_stop(task_t *task)
{
	static const ProtobufCMessage end = {0};
	arena_t *arena;

	if (task->thread == NULL)
		return;
	arena = arena_new();
	task_send(
	    task, NULL, msg_adopt(arena, arena_copy(arena, &end, sizeof(end))));
	g_thread_join(task->thread);
	task->thread = NULL;
}

/*
 * Free a task that has ended, once no other task can send to it any more.
 */
void
task_free(task_t *task)
{
	msg_t *msg;

	while ((msg = inbox_take(task)) != NULL)
		msg_free(msg);
	g_source_destroy(task->inbox);
	g_source_unref(task->inbox);
	g_main_loop_unref(task->loop);
	g_main_context_unref(task->main);
	g_mutex_clear(&task->lock);
	g_cond_clear(&task->started);
	g_free(task);
}

/*
 * The main context that the task's own sources belong to.
 */
GMainContext *
task_context(task_t *task)
{
	return task->main;
}

/*
 * Make an empty message of a type, in an arena of its own.
 */
msg_t *
msg_new(const ProtobufCMessageDescriptor *type)
{
	arena_t *arena = arena_new();

	return msg_adopt(arena, message_new(arena, type));
}

/*
 * Make a message of a body that already lives in the arena.  The message
 * owns the arena from now on.
 */
msg_t *
msg_adopt(arena_t *arena, ProtobufCMessage *body)
{
	msg_t *msg = arena_zero(arena, sizeof(*msg));

	msg->arena = arena;
	msg->body = body;
	return msg;
}

/*
 * Make a message that is a copy of a body.
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
 * Give a message to a task.  The sender must not touch it afterwards.
 */
void
task_send(task_t *to, task_t *from, msg_t *msg)
{
	bool first;

	msg->from = from;
	g_mutex_lock(&to->lock);
	first = g_queue_is_empty(&to->waiting);
	g_queue_push_tail(&to->waiting, msg);
	g_mutex_unlock(&to->lock);
	if (first)
		g_main_context_wakeup(to->main);
}

/*
 * Call back every interval_ms until the callback returns FALSE or the source
 * is dropped.  The caller owns the returned source.
 */
GSource *
task_timer(
    task_t *task, uint32_t interval_ms, GSourceFunc callback, void *context)
{
	GSource *source = g_timeout_source_new(interval_ms);

	g_source_set_callback(source, callback, context, NULL);
	g_source_attach(source, task->main);
	return source;
}

/*
 * End a source and forget it; NULL is allowed.
 */
void
source_drop(GSource **source)
{
	if (*source == NULL)
		return;
	g_source_destroy(*source);
	g_source_unref(*source);
	*source = NULL;
}
