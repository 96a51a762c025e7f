#include "daemon.h"
#include "task.pb-c.h"

#include <glib-unix.h>
#include <string.h>

/* The control task: handles signals and shuts the daemon down. */

#define LOG_PART "control"
#define TASKS_TO_DRAIN 3

/*
 * How long the daemon keeps running after it has drained.  Statements that
 * other daemons forwarded before they learned that this one is leaving get an
 * explicit refusal, which can be retried, instead of a broken connection.
 */
#define LINGER_MS 500

/* State of the control task. */
typedef struct control_ctx {
	const daemon_t *daemon;
	task_t *task;
	GSource *sigterm_source;
	GSource *sigint_source;
	GSource *drain_timer;
	GSource *linger_timer;
	bool draining;
	uint32_t drained_count;
} control_ctx_t;

/*
 * Create the state of the control task, to be passed to task_new().
 */
void *
control_new(const daemon_t *daemon)
{
	control_ctx_t *ctx = g_new0(control_ctx_t, 1);

	ctx->daemon = daemon;
	return ctx;
}

/*
 * Free the state of the control task after the task has ended.
 */
void
control_free(void *context)
{
	g_free(context);
}

/*
 * Handle the end of the drain timeout: stop the daemon.  Requests that are
 * still pending are answered without a result when their tasks stop.
 */
static gboolean
on_drain_timeout(gpointer context)
{
	control_ctx_t *ctx = context;

	log_line(LOG_PART, G_LOG_LEVEL_MESSAGE,
	    "The drain timeout expired; stopping.");
	task_quit(ctx->task);
	return G_SOURCE_REMOVE;
}

/*
 * Stop the daemon: all tasks have drained and LINGER_MS has passed.
 */
static gboolean
on_linger_timeout(gpointer context)
{
	task_quit(((control_ctx_t *)context)->task);
	return G_SOURCE_REMOVE;
}

/*
 * Handle SIGTERM or SIGINT: the first one starts to drain, the second one
 * stops the daemon at once.
 */
static gboolean
on_signal(gpointer context)
{
	control_ctx_t *ctx = context;
	const daemon_t *daemon = ctx->daemon;
	task_t *to[TASKS_TO_DRAIN] = {
	    daemon->peer, daemon->front, daemon->group};
	uint32_t drain_ms = daemon->settings->timeouts->drain_ms;
	Bp__Drain drain = BP__DRAIN__INIT;
	uint32_t i;

	if (ctx->draining) {
		log_line(LOG_PART, G_LOG_LEVEL_MESSAGE, "Stopping at once.");
		task_quit(ctx->task);
		return G_SOURCE_CONTINUE;
	}
	ctx->draining = true;
	log_line(LOG_PART, G_LOG_LEVEL_MESSAGE, "Draining for up to %u ms.",
	    drain_ms);
	drain.timeout_ms = drain_ms;
	for (i = 0; i < TASKS_TO_DRAIN; i++)
		task_send(to[i], ctx->task, msg_copy(&drain.base));
	ctx->drain_timer =
	    task_timer(ctx->task, drain_ms, on_drain_timeout, ctx);
	return G_SOURCE_CONTINUE;
}

/*
 * Create a source that calls on_signal() for one signal.
 */
static GSource *
signal_source_new(control_ctx_t *ctx, int signal)
{
	GSource *source = g_unix_signal_source_new(signal);

	g_source_set_callback(source, on_signal, ctx, NULL);
	g_source_attach(source, task_main_context(ctx->task));
	return source;
}

/*
 * Start the task: handle SIGTERM and SIGINT.
 */
static int32_t
on_start(void *context, task_t *task)
{
	control_ctx_t *ctx = context;

	ctx->task = task;
	ctx->sigterm_source = signal_source_new(ctx, SIGTERM);
	ctx->sigint_source = signal_source_new(ctx, SIGINT);
	return 0;
}

/*
 * Stop the task: remove its signal handlers and timers.
 */
static void
on_stop(void *context)
{
	control_ctx_t *ctx = context;

	source_clear(&ctx->sigterm_source);
	source_clear(&ctx->sigint_source);
	source_clear(&ctx->drain_timer);
	source_clear(&ctx->linger_timer);
}

/*
 * Handle Drained: a task has no work left.  When all have drained, the daemon
 * stops after LINGER_MS.
 */
static void
on_drained(void *context, msg_t *msg)
{
	control_ctx_t *ctx = context;

	log_line(LOG_PART, G_LOG_LEVEL_INFO, "Task %s is drained.",
	    ((const Bp__Drained *)msg->body)->task);
	if (++ctx->drained_count == TASKS_TO_DRAIN)
		ctx->linger_timer =
		    task_timer(ctx->task, LINGER_MS, on_linger_timeout, ctx);
	msg_free(msg);
}

static const task_handler_t handlers[] = {
    {&bp__drained__descriptor, on_drained},
};

const task_ops_t control_ops = {
    "control", on_start, on_stop, handlers, G_N_ELEMENTS(handlers)};
