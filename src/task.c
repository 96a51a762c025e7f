#include "task.h"

#include <errno.h>
#include <talloc.h>

#define HANDLED_AT_ONCE 64

/* The tasks of one thread: messages between them need no lock or wake-up. */
typedef struct home {
	GSource source;
	GQueue waiting; /* of msg_t */
} home_t;

struct task {
	const task_ops_t *ops;
	void *context;
	GMainContext *main;
	GMainLoop *loop;
	GThread *thread;
	task_t *host; /* whose thread this one runs in, or NULL */
	home_t *home;
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

/* Of the running thread. */
static GPrivate running_home;

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
 * Tell the main loop whether messages between tasks of its thread wait.
 */
static gboolean
home_ready(GSource *source)
{
	return !g_queue_is_empty(&((home_t *)source)->waiting);
}

/*
 * As home_ready(); the loop may sleep as long as it likes otherwise.
 */
static gboolean
home_prepare(GSource *source, gint *timeout_ms)
{
	*timeout_ms = -1;
	return home_ready(source);
}

/*
 * Handle the messages that tasks of this thread have sent each other, a
 * bounded number at once.
 */
void
task_deliver(void)
{
	home_t *home = g_private_get(&running_home);
	uint32_t i;

	for (i = 0; home != NULL && i < HANDLED_AT_ONCE; i++) {
		GList *link = g_queue_pop_head_link(&home->waiting);
		msg_t *msg;

		if (link == NULL)
			break;
		msg = link->data;
		inbox_handle(msg->to, msg);
	}
}

/*
 * Messages wait that no socket's callback has left for task_deliver().
 */
static gboolean
home_dispatch(GSource *source, GSourceFunc callback, gpointer context)
{
	(void)source;
	(void)callback;
	(void)context;
	task_deliver();
	return G_SOURCE_CONTINUE;
}

static GSourceFuncs home_funcs = {
    home_prepare, home_ready, home_dispatch, NULL, NULL, NULL};

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
	g_private_set(&running_home, task->home);
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
 * Make a task on a main context and a home, which it takes over.
 */
static task_t *
task_make(const task_ops_t *ops, void *context, GMainContext *main,
    GMainLoop *loop, home_t *home)
{
	task_t *task = g_new0(task_t, 1);

	task->ops = ops;
	task->context = context;
	task->main = main;
	task->loop = loop;
	task->home = home;
	g_mutex_init(&task->lock);
	g_cond_init(&task->started);
	g_queue_init(&task->waiting);
	task->inbox = g_source_new(&inbox_funcs, sizeof(inbox_t));
	((inbox_t *)task->inbox)->task = task;
	g_source_attach(task->inbox, task->main);
	return task;
}

/*
 * Make a task; it takes messages at once and handles them once started.
 */
task_t *
task_new(const task_ops_t *ops, void *context)
{
	GMainContext *main = g_main_context_new();
	home_t *home = (home_t *)g_source_new(&home_funcs, sizeof(*home));

	g_queue_init(&home->waiting);
	g_source_attach(&home->source, main);
	return task_make(
	    ops, context, main, g_main_loop_new(main, FALSE), home);
}

/*
 * Make a task that runs in the thread of another, on its main context.  It
 * owns its sockets and state all the same; messages between the two need no
 * lock and wake nobody.
 */
task_t *
task_new_beside(const task_ops_t *ops, void *context, task_t *host)
{
	task_t *task;

	g_source_ref(&host->home->source);
	task = task_make(ops, context, g_main_context_ref(host->main),
	    g_main_loop_ref(host->loop), host->home);
	task->host = host;
	return task;
}

/*
 * Start a task that was made by task_new_beside(), from the thread of its
 * host.  Returns 0 or the negative error number of the role.
 */
int32_t
task_start_beside(task_t *task)
{
	task->has_started = true;
	task->error = task->ops->start(task->context, task);
	return task->error;
}

/*
 * Stop a task that was started by task_start_beside().
 */
void
task_stop_beside(task_t *task)
{
	if (task->has_started && task->error == 0)
		task->ops->stop(task->context);
	task->has_started = false;
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
	if (task->host == NULL) {
		GList *link;

		while ((link = g_queue_pop_head_link(&task->home->waiting)) !=
		    NULL)
			msg_free(link->data);
		g_source_destroy(&task->home->source);
	}
	g_source_unref(&task->home->source);
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
	if (to->home == g_private_get(&running_home)) {
		msg->to = to;
		msg->link.data = msg;
		g_queue_push_tail_link(&to->home->waiting, &msg->link);
		return;
	}
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
