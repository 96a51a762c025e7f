#include "command.h"
#include "daemon.h"
#include "document.h"
#include "log.h"

#include <unistd.h>

#define LOG_PART "serve"

/*
 * Start the tasks, run until the control task ends, and stop the other tasks.
 * The group task stops first, so that its last answers still reach the callers.
 */
static int32_t
run_tasks(daemon_t *daemon)
{
	void *control = control_new(daemon), *front = front_new(daemon);
	void *peer = peer_new(daemon), *group = group_new(daemon);
	void *platform = platform_new(daemon);
	task_t *stop_order[4];
	int32_t error = 0;
	uint32_t i;

	daemon->control = task_new(&control_ops, control);
	daemon->front = task_new(&front_ops, front);
	daemon->peer = task_new(&peer_ops, peer);
	daemon->group = task_new(&group_ops, group);
	daemon->platform = task_new(&platform_ops, platform);
	stop_order[0] = daemon->group;
	stop_order[1] = daemon->peer;
	stop_order[2] = daemon->platform;
	stop_order[3] = daemon->front;
	for (i = 0; error == 0 && i < G_N_ELEMENTS(stop_order); i++)
		error = task_start(stop_order[i]);
	if (error == 0) {
		log_line(LOG_PART, G_LOG_LEVEL_MESSAGE, "Daemon %s started.",
		    daemon->settings->name);
		error = task_run_in_caller(daemon->control);
		for (i = 0; i < G_N_ELEMENTS(stop_order); i++)
			task_stop(stop_order[i]);
		for (i = 0; i < G_N_ELEMENTS(stop_order); i++)
			task_free(stop_order[i]);
		task_free(daemon->control);
		log_line(LOG_PART, G_LOG_LEVEL_MESSAGE, "Daemon %s stopped.",
		    daemon->settings->name);
		platform_free(platform);
		group_free(group);
		peer_free(peer);
		front_free(front);
		control_free(control);
	}
	return error;
}

/*
 * Parse the daemon's settings.
 */
static void *
parse_settings(arena_t *arena, const char *text, uint64_t size_bytes,
    input_errors_t *errors)
{
	return settings_read(arena, text, size_bytes, errors);
}

/*
 * Run the daemon with the given settings.
 */
static int32_t
run_daemon(const void *settings)
{
	daemon_t daemon = {0};

	daemon.settings = settings;
	daemon.incarnation = (uint64_t)g_get_real_time();
	log_start(log_level_to_glib(daemon.settings->log_level), STDOUT_FILENO);
	return run_tasks(&daemon);
}

/*
 * Run "bergamotplank serve -f FILE": the daemon, with the settings in FILE.
 */
int32_t
command_serve(int argc, char **argv)
{
	static const settings_command_t command = {
	    "serve", parse_settings, run_daemon};

	return command_with_settings(&command, argc, argv);
}
