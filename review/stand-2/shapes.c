#include "db.h"

#include <signal.h>
#include <stdlib.h>
#include <string.h>
#include <sys/wait.h>
#include <unistd.h>

/*
 * Sessions that prepare a statement, execute it and deallocate it, again and
 * again, each time of another shape, in a message of half the size that the
 * pages allow, on two daemons.  A daemon that takes more memory than its limit
 * is killed and started again, as the platform does.
 *
 * Usage: shapes BASE PORT TROUBLE RECORD SETTINGS...
 */

#define DAEMONS 2
#define FRONT_PORT 8784
#define HOST "huvo11a"
#define SERVICE "tickets-db-1"

/* A few consumers, half of them at each daemon. */
#define SESSIONS 8

/* Size of the message that prepares a statement. */
#define MESSAGE_BYTES (512 << 10)
#define MESSAGE_BYTES_CALM 1024

/* limits.memory-mb of the settings. */
#define MEMORY_BYTES (INT64_C(260) << 20)

#define KILLS_MAX 3
#define START_MS 4000
#define RESTART_MS 500
#define RECONNECT_MS 200
#define TICK_MS 5
#define CYCLE_MS 20
#define END_MS 70000

typedef struct session {
	uint32_t number;
	sock_t *sock;
	line_buffer_t in;
	uint32_t cycle; /* number of the shape */
	uint32_t step;  /* of its three requests, the next one */
	bool idle;      /* the session awaits nothing */
	int64_t at_ms;
} session_t;

typedef struct process {
	char *settings;
	pid_t pid; /* 0: it does not run */
	int64_t start_at_ms;
	int64_t peak_bytes;
	uint32_t kills; /* because of its memory */
	uint32_t ends;  /* by itself */
} process_t;

static site_t *site;
static GMainLoop *loop;
static session_t sessions[SESSIONS];
static process_t processes[DAEMONS];
static uint32_t message_bytes, prepared, executed, refused, lost;

static const sock_ops_t sock_ops;

static void
process_start(process_t *process)
{
	process->pid = fork();
	if (process->pid != 0)
		return;
	if (freopen("/dev/null", "w", stdout) == NULL)
		_exit(127);
	execl("target/bergamotplank", "bergamotplank", "proxy", "-f",
	    process->settings, (char *)NULL);
	_exit(127);
}

/*
 * Return the resident memory of a process.
 */
static int64_t
resident_bytes(pid_t pid)
{
	char *path = g_strdup_printf("/proc/%d/statm", (int32_t)pid), *text;
	int64_t pages = 0;

	if (g_file_get_contents(path, &text, NULL, NULL)) {
		if (strchr(text, ' ') != NULL)
			pages =
			    g_ascii_strtoll(strchr(text, ' ') + 1, NULL, 10);
		g_free(text);
	}
	g_free(path);
	return pages * sysconf(_SC_PAGESIZE);
}

static void
session_close(session_t *session)
{
	sock_free(session->sock);
	session->sock = NULL;
	line_buffer_clear(&session->in);
	session->idle = false;
	session->step = 0;
	session->at_ms = site_now_ms(site);
}

/*
 * Send a message, and record it, or its beginning if it is long.
 */
static void
session_send(session_t *session, char *text)
{
	site_note(site, "session %u sends %.*s, %zu bytes", session->number,
	    (int32_t)MIN(strcspn(text, "\r"), 60), text, strlen(text));
	sock_write(session->sock, (const uint8_t *)text, strlen(text));
	session->idle = false;
	session->at_ms = site_now_ms(site);
	g_free(text);
}

/*
 * Send the next request: prepare a statement of a new shape, execute it, or
 * deallocate it.
 */
static void
send_next(session_t *session)
{
	char *start, *shape;

	if (session->step == 0) {
		session->cycle++;
		start = g_strdup_printf("QUERY p%u-%u PREPARE s1 READ q%u-%u-",
		    session->number, session->cycle, session->number,
		    session->cycle);
		shape = g_strnfill(message_bytes - strlen(start) - 2, 'x');
		session_send(
		    session, g_strdup_printf("%s%s\r\n", start, shape));
		g_free(shape);
		g_free(start);
	} else if (session->step == 1) {
		session_send(session,
		    g_strdup_printf("QUERY e%u-%u EXEC s1 k%u\r\n",
			session->number, session->cycle, session->number));
	} else {
		session_send(session,
		    g_strdup_printf("QUERY d%u-%u DEALLOC s1\r\n",
			session->number, session->cycle));
	}
	session->step = (session->step + 1) % 3;
}

static void
on_line(session_t *session, const char *line)
{
	site_note(site, "session %u is answered %.60s", session->number, line);
	if (strcmp(line, "DONE -") == 0) {
		prepared += session->step == 1;
	} else if (g_str_has_prefix(line, "DONE ")) {
		executed++;
	} else if (g_str_has_prefix(line, "ERR ")) {
		refused++;
	} else if (g_str_has_prefix(line, "READY ")) {
		session->idle = true;
		session->at_ms = site_now_ms(site);
	}
}

static void
on_received(void *context, const uint8_t *bytes, uint32_t size_bytes)
{
	session_t *session = context;
	uint32_t line_bytes;
	char *line;

	line_buffer_append(&session->in, bytes, size_bytes);
	while ((line = line_buffer_next(&session->in, &line_bytes)) != NULL)
		on_line(session, line);
}

static void
on_closed(void *context, int32_t error)
{
	session_t *session = context;

	(void)error;
	site_note(
	    site, "session %u: its connection has ended", session->number);
	lost += session->cycle > 0;
	session_close(session);
}

static const sock_ops_t sock_ops = {NULL, on_received, on_closed};

static gboolean
on_session_tick(gpointer context)
{
	int64_t now_ms = site_now_ms(site);
	uint32_t i;

	(void)context;
	for (i = 0; i < SESSIONS && now_ms >= START_MS; i++) {
		session_t *session = &sessions[i];
		const process_t *process = &processes[i % DAEMONS];
		char *address;

		if (session->sock == NULL && process->pid != 0 &&
		    now_ms - session->at_ms >= RECONNECT_MS) {
			address = g_strdup_printf(
			    "%s.%u", site->base, 11 + i % DAEMONS);
			session->at_ms = now_ms;
			session->sock = sock_connect(g_main_context_default(),
			    address, FRONT_PORT, &sock_ops, session);
			line_buffer_init(&session->in, 1 << 20);
			session_send(session,
			    g_strdup_printf("START %s u%u\r\n", HOST, i));
			g_free(address);
		} else if (session->sock != NULL && session->idle &&
		    (session->step > 0 ||
			now_ms - session->at_ms >= CYCLE_MS)) {
			send_next(session);
		}
	}
	return G_SOURCE_CONTINUE;
}

static void
finish(void)
{
	uint32_t i;
	int32_t status = 0;

	for (i = 0; i < DAEMONS; i++) {
		site_note(site,
		    "daemon %u: peak %" G_GINT64_FORMAT
		    " MiB, killed %u times for its memory, ended "
		    "%u times by itself",
		    i + 1, processes[i].peak_bytes >> 20, processes[i].kills,
		    processes[i].ends);
		if (processes[i].kills + processes[i].ends > 0)
			status = 1;
		if (processes[i].pid > 0)
			kill(processes[i].pid, SIGKILL);
	}
	site_note(site,
	    "%u statements prepared, %u executed, %u refused, %u "
	    "sessions lost: exit %d",
	    prepared, executed, refused, lost, status);
	exit(executed < 100 && status == 0 ? 2 : status);
}

static gboolean
on_process_tick(gpointer context)
{
	int64_t now_ms = site_now_ms(site);
	uint32_t i, done = 0;

	(void)context;
	for (i = 0; i < DAEMONS; i++) {
		process_t *process = &processes[i];
		int64_t bytes;
		int32_t how;

		done += process->kills + process->ends >= KILLS_MAX;
		if (process->pid == 0) {
			if (now_ms >= process->start_at_ms)
				process_start(process);
			continue;
		}
		if (waitpid(process->pid, &how, WNOHANG) == process->pid) {
			site_note(site, "daemon %u ended by itself, status %d",
			    i + 1, how);
			process->ends++;
			process->pid = 0;
			process->start_at_ms = now_ms + RESTART_MS;
			continue;
		}
		bytes = resident_bytes(process->pid);
		process->peak_bytes = MAX(process->peak_bytes, bytes);
		if (bytes <= MEMORY_BYTES)
			continue;
		site_note(site,
		    "daemon %u takes %" G_GINT64_FORMAT " MiB and is killed",
		    i + 1, bytes >> 20);
		process->kills++;
		kill(process->pid, SIGKILL);
		waitpid(process->pid, &how, 0);
		process->pid = 0;
		process->start_at_ms = now_ms + RESTART_MS;
	}
	if (done == DAEMONS || now_ms >= END_MS)
		finish();
	return G_SOURCE_CONTINUE;
}

static void
on_terminate(int number)
{
	uint32_t i;

	(void)number;
	for (i = 0; i < DAEMONS; i++) {
		if (processes[i].pid > 0)
			kill(processes[i].pid, SIGKILL);
	}
	_exit(2);
}

int
main(int argc, char **argv)
{
	SoupServer *server = soup_server_new(NULL, NULL);
	uint32_t i;

	if (argc != 5 + DAEMONS)
		return 2;
	signal(SIGPIPE, SIG_IGN);
	signal(SIGTERM, on_terminate);
	signal(SIGINT, on_terminate);
	loop = g_main_loop_new(NULL, FALSE);
	message_bytes =
	    strcmp(argv[3], "0") == 0 ? MESSAGE_BYTES_CALM : MESSAGE_BYTES;
	site = site_new(argv[1], SERVICE, 3, fopen(argv[4], "w"));
	site->store = object_store_new(server);
	/* our pages name no such header */
	object_store_inject_fault(site->store, "hidden-era");
	if (!site_listen(site, server, (uint32_t)atoi(argv[2])))
		return 2;
	for (i = 0; i < site->count; i++)
		db_publish(site->dbs[i]);
	site_publish_config(site,
	    "{\"version\":7,\"routes\":[{\"name\":\"r-1\",\"host\":\"" HOST
	    "\",\"type\":\"primary\",\"timeout-ms\":1000,"
	    "\"target-latency-ms\":200,\"priority\":0,\"backend\":\"" SERVICE
	    "\"}],\"services\":[{\"name\":\"" SERVICE
	    "\",\"max-conns\":34,\"sync-replicas\":0}],"
	    "\"limits\":{\"tx-idle-ms\":2000}}");
	for (i = 0; i < SESSIONS; i++)
		sessions[i].number = i;
	for (i = 0; i < DAEMONS; i++) {
		processes[i].settings = argv[5 + i];
		process_start(&processes[i]);
	}
	g_timeout_add(TICK_MS, on_session_tick, NULL);
	g_timeout_add(TICK_MS, on_process_tick, NULL);
	g_main_loop_run(loop);
	return 0;
}
