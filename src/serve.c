#include "command.h"
#include "daemon.h"
#include "document.h"
#include "log.h"

#include <unistd.h>

#define PART "serve"

/*
 * Start the tasks, run until the control task ends, and stop the others: the
 * groups first, so that their last answers still reach the callers.
 */
static int32_t
daemon_run(daemon_t *daemon)
{
	void *control = control_new(daemon), *front = front_new(daemon);
	void *peer = peer_new(daemon), *group = group_new(daemon);
	void *platform = platform_new(daemon);
	task_t *order[4];
	int32_t error = 0;
	uint32_t i;

	daemon->control = task_new(&control_ops, control);
	daemon->front = task_new(&front_ops, front);
	daemon->peer = task_new(&peer_ops, peer);
	daemon->group = task_new(&group_ops, group);
	daemon->platform = task_new(&platform_ops, platform);
	order[0] = daemon->group;
	order[1] = daemon->peer;
	order[2] = daemon->platform;
	order[3] = daemon->front;
	for (i = 0; error == 0 && i < G_N_ELEMENTS(order); i++)
		error = task_start(order[i]);
	if (error == 0) {
		log_line(PART, G_LOG_LEVEL_MESSAGE, "Daemon %s serves.",
		    daemon->settings->name);
		error = task_run_here(daemon->control);
		for (i = 0; i < G_N_ELEMENTS(order); i++)
			task_stop(order[i]);
		for (i = 0; i < G_N_ELEMENTS(order); i++)
			task_free(order[i]);
		task_free(daemon->control);
		log_line(PART, G_LOG_LEVEL_MESSAGE, "Daemon %s has ended.",
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
 * Read the settings of the daemon.
 */
static void *
read_settings(
    arena_t *arena, const char *text, uint64_t size_bytes, faults_t *faults)
{
	return settings_read(arena, text, size_bytes, faults);
}

/*
 * Run the daemon with its settings.
 */
static int32_t
run(const void *settings)
{
	daemon_t daemon = {0};

	daemon.settings = settings;
	daemon.incarnation = (uint64_t)g_get_real_time();
	log_start(log_highest_of(daemon.settings->log_level), STDOUT_FILENO);
	return daemon_run(&daemon);
}

/*
 * bergamotplank serve -f FILE
 */
int32_t
command_serve(int argc, char **argv)
{
	static const settings_command_t command = {"serve", read_settings, run};

	return command_with_settings(&command, argc, argv);
}
