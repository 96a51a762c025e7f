#include "model_pool.h"

#include <errno.h>
#include <glib.h>
#include <signal.h>
#include <sys/socket.h>
#include <sys/wait.h>
#include <unistd.h>

/*
 * The processes share one end of a socket: each takes a plan from it, says that
 * it plays it, and then gives the result.
 */

/* Plans that wait or are played, for each process. */
#define PLANS_PER_PROCESS 2

/* A message of a process. */
typedef struct played {
	uint32_t process;
	bool done; /* the result is there */
	proxy_model_plan_t plan;
	proxy_model_result_t result;
} played_t;

/* A process, as its parent knows it. */
typedef struct process {
	pid_t pid;
	bool plays;
	proxy_model_plan_t plan;
} process_t;

typedef struct pool {
	process_t *processes;
	uint32_t jobs;
	int socket;
	bool ended; /* there are no more plans */
	model_pool_next_t next;
	model_pool_played_t played;
	void *context;
} pool_t;

/*
 * Receive a message of size_bytes.  Returns false at the end of the
 * connection.
 */
static bool
receive(int socket, void *message, uint64_t size_bytes)
{
	ssize_t got_bytes;

	do
		got_bytes = recv(socket, message, size_bytes, 0);
	while (got_bytes < 0 && errno == EINTR);
	return got_bytes == (ssize_t)size_bytes;
}

/*
 * Send a message of size_bytes.  Returns false if nobody receives it.
 */
static bool
send_message(int socket, const void *message, uint64_t size_bytes)
{
	ssize_t sent_bytes;

	do
		sent_bytes = send(socket, message, size_bytes, MSG_NOSIGNAL);
	while (sent_bytes < 0 && errno == EINTR);
	return sent_bytes == (ssize_t)size_bytes;
}

/*
 * Play the plans that arrive, until the connection ends.
 */
static void
play_all(int socket, uint32_t process)
{
	played_t message = {.process = process};

	while (receive(socket, &message.plan, sizeof(message.plan))) {
		message.done = false;
		if (!send_message(socket, &message, sizeof(message)))
			return;
		proxy_model_run(&message.plan, &message.result);
		message.done = true;
		if (!send_message(socket, &message, sizeof(message)))
			return;
	}
}

/*
 * Send the next plan to the processes, or tell them that there is none.
 */
static void
send_next(pool_t *pool)
{
	proxy_model_plan_t plan;

	if (pool->ended)
		return;
	pool->ended = !pool->next(pool->context, &plan) ||
	    !send_message(pool->socket, &plan, sizeof(plan));
	if (pool->ended)
		shutdown(pool->socket, SHUT_WR);
}

/*
 * Start the processes.
 */
static void
start(pool_t *pool)
{
	int sockets[2];
	uint32_t i;

	if (socketpair(AF_UNIX, SOCK_SEQPACKET | SOCK_CLOEXEC, 0, sockets) != 0)
		g_error("socketpair: %s", g_strerror(errno));
	for (i = 0; i < pool->jobs; i++) {
		pid_t pid = fork();

		if (pid < 0)
			g_error("fork: %s", g_strerror(errno));
		if (pid == 0) {
			close(sockets[0]);
			play_all(sockets[1], i);
			_exit(0);
		}
		pool->processes[i].pid = pid;
	}
	close(sockets[1]);
	pool->socket = sockets[0];
}

/*
 * Wait for the end of the processes, and report the plays of those that have
 * not ended by themselves.
 */
static void
stop(pool_t *pool)
{
	uint32_t i;

	close(pool->socket);
	for (i = 0; i < pool->jobs; i++) {
		process_t *process = &pool->processes[i];

		while (waitpid(process->pid, NULL, 0) < 0 && errno == EINTR)
			;
		if (process->plays)
			pool->played(pool->context, &process->plan, NULL);
	}
}

/*
 * Play plans on a number of processes until there are no more.
 */
void
model_pool_run(uint32_t jobs, model_pool_next_t next,
    model_pool_played_t played, void *context)
{
	pool_t pool = {.processes = g_new0(process_t, jobs),
	    .jobs = jobs,
	    .next = next,
	    .played = played,
	    .context = context};
	played_t message;
	uint32_t i;

	start(&pool);
	for (i = 0; i < jobs * PLANS_PER_PROCESS; i++)
		send_next(&pool);
	while (receive(pool.socket, &message, sizeof(message))) {
		process_t *process = &pool.processes[message.process];

		process->plays = !message.done;
		process->plan = message.plan;
		if (!message.done)
			continue;
		played(context, &message.plan, &message.result);
		send_next(&pool);
	}
	stop(&pool);
	g_free(pool.processes);
}
