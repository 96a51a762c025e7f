#include "daemon.h"
#include "task.pb-c.h"

#include <glib-unix.h>
#include <string.h>

/* The control task: signals, and an orderly end. */

#define PART "control"
#define TASKS_TO_DRAIN 3

/*
 * What other daemons sent before they learned that this one leaves is still
 * refused properly for this long.
 */
#define LINGER_MS 500

typedef struct control_role {
	const daemon_t *daemon;
	task_t *task;
	GSource *term;
	GSource *interrupt;
	GSource *bound;
	GSource *linger;
	bool draining;
	uint32_t drained;
} control_role_t;

/*
 * Make the role; it is given to task_new().
 */
void *
control_new(const daemon_t *daemon)
{
	control_role_t *role = g_new0(control_role_t, 1);

	role->daemon = daemon;
	return role;
}

/*
 * Free the role after its task has ended.
 */
void
control_free(void *context)
{
	g_free(context);
}

/*
 * The time to drain is over: what is left is answered as it stands.
 */
static gboolean
on_bound(gpointer context)
{
	control_role_t *role = context;

	log_line(
	    PART, G_LOG_LEVEL_MESSAGE, "The time to drain is over; stopping.");
	task_quit(role->task);
	return G_SOURCE_REMOVE;
}

/*
 * Everything has ended, and the others know.
 */
static gboolean
on_linger(gpointer context)
{
	task_quit(((control_role_t *)context)->task);
	return G_SOURCE_REMOVE;
}

/*
 * The first signal drains, the second ends the process at once.
 */
static gboolean
on_signal(gpointer context)
{
	control_role_t *role = context;
	const daemon_t *daemon = role->daemon;
	task_t *to[TASKS_TO_DRAIN] = {
	    daemon->peer, daemon->front, daemon->group};
	uint32_t drain_ms = daemon->settings->timeouts->drain_ms;
	Bp__Drain drain = BP__DRAIN__INIT;
	uint32_t i;

	if (role->draining) {
		log_line(PART, G_LOG_LEVEL_MESSAGE, "Stopping at once.");
		task_quit(role->task);
		return G_SOURCE_CONTINUE;
	}
	role->draining = true;
	log_line(
	    PART, G_LOG_LEVEL_MESSAGE, "Draining for up to %u ms.", drain_ms);
	drain.timeout_ms = drain_ms;
	for (i = 0; i < TASKS_TO_DRAIN; i++)
		task_send(to[i], role->task, msg_copy(&drain.base));
	role->bound = task_timer(role->task, drain_ms, on_bound, role);
	return G_SOURCE_CONTINUE;
}

/*
 * Listen to one signal.
 */
static GSource *
signal_source(control_role_t *role, int signal)
{
	GSource *source = g_unix_signal_source_new(signal);

	g_source_set_callback(source, on_signal, role, NULL);
	g_source_attach(source, task_context(role->task));
	return source;
}

/*
 * The task starts.
 */
static int32_t
on_start(void *context, task_t *task)
{
	control_role_t *role = context;

	role->task = task;
	role->term = signal_source(role, SIGTERM);
	role->interrupt = signal_source(role, SIGINT);
	return 0;
}

/*
 * The task ends.
 */
static void
on_stop(void *context)
{
	control_role_t *role = context;

	source_drop(&role->term);
	source_drop(&role->interrupt);
	source_drop(&role->bound);
	source_drop(&role->linger);
}

/*
 * A task has nothing left to do.
 */
static void
on_drained(void *context, msg_t *msg)
{
	control_role_t *role = context;

	log_line(PART, G_LOG_LEVEL_INFO, "Task %s is drained.",
	    ((const Bp__Drained *)msg->body)->task);
	if (++role->drained == TASKS_TO_DRAIN)
		role->linger =
		    task_timer(role->task, LINGER_MS, on_linger, role);
	msg_free(msg);
}

static const task_handler_t handlers[] = {
    {&bp__drained__descriptor, on_drained},
};

const task_ops_t control_ops = {
    "control", on_start, on_stop, handlers, G_N_ELEMENTS(handlers)};
