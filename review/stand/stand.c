/*
 * Stand-ins for the platform, the databases and the clients, and the scripts of
 * the cases.  One process: a thread for each connection, one lock for all state.
 *
 * stand CASE RECORD TROUBLE
 *
 * Exits with 0 if the rule held, 1 if it was broken, 2 if the case could not
 * run.  Everything listens on 127.0.0.1, on free ports.
 */
#define _GNU_SOURCE
#include <arpa/inet.h>
#include <errno.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <pthread.h>
#include <signal.h>
#include <stdarg.h>
#include <stdbool.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/prctl.h>
#include <sys/socket.h>
#include <sys/stat.h>
#include <sys/wait.h>
#include <time.h>
#include <unistd.h>

#include "stand.h"

static pthread_mutex_t lock = PTHREAD_MUTEX_INITIALIZER;
static pthread_cond_t changed = PTHREAD_COND_INITIALIZER;
static FILE *record_file;
static int64_t start_ms;
static char work_dir[64];

/* ---- time, record ---- */

int64_t
now_ms(void)
{
	struct timespec ts;

	clock_gettime(CLOCK_MONOTONIC, &ts);
	return (int64_t)ts.tv_sec * 1000 + ts.tv_nsec / 1000000 - start_ms;
}

void
sleep_ms(int64_t ms)
{
	struct timespec ts = {ms / 1000, ms % 1000 * 1000000};

	if (ms <= 0)
		return;
	while (nanosleep(&ts, &ts) < 0 && errno == EINTR)
		;
}

/* Write a line of the record.  Control characters are shown as \xNN. */
void
record(const char *format, ...)
{
	char text[4096];
	va_list ap;
	size_t i;

	va_start(ap, format);
	vsnprintf(text, sizeof(text), format, ap);
	va_end(ap);
	flockfile(record_file);
	fprintf(record_file, "%7.3f  ", (double)now_ms() / 1000);
	for (i = 0; text[i] != '\0' && i < 600; i++) {
		if ((unsigned char)text[i] < ' ')
			fprintf(record_file, "\\x%02x", (unsigned char)text[i]);
		else
			fputc(text[i], record_file);
	}
	fprintf(record_file, i == 600 ? " ...\n" : "\n");
	fflush(record_file);
	funlockfile(record_file);
}

static void
work_dir_remove(void)
{
	char command[128];

	if (getenv("KEEP") != NULL) {
		fprintf(stderr, "logs: %s\n", work_dir);
		return;
	}
	snprintf(command, sizeof(command), "rm -rf %s", work_dir);
	if (system(command) != 0)
		fprintf(stderr, "cannot remove %s\n", work_dir);
}

void
cannot_run(const char *why)
{
	record("the case could not run: %s", why);
	daemons_stop();
	work_dir_remove();
	_exit(2);
}

static void
wait_changed(int64_t ms)
{
	struct timespec ts;

	clock_gettime(CLOCK_REALTIME, &ts);
	ts.tv_nsec += ms % 1000 * 1000000;
	ts.tv_sec += ms / 1000 + ts.tv_nsec / 1000000000;
	ts.tv_nsec %= 1000000000;
	pthread_cond_timedwait(&changed, &lock, &ts);
}

/* ---- sockets ---- */

static int
listen_on_free_port(int *port)
{
	struct sockaddr_in address = {.sin_family = AF_INET,
	    .sin_addr.s_addr = htonl(INADDR_LOOPBACK)};
	socklen_t size = sizeof(address);
	int fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);

	if (fd < 0 || bind(fd, (struct sockaddr *)&address, size) < 0 ||
	    listen(fd, 512) < 0 ||
	    getsockname(fd, (struct sockaddr *)&address, &size) < 0)
		cannot_run("no free port");
	*port = ntohs(address.sin_port);
	return fd;
}

static int
free_port(void)
{
	int port, fd = listen_on_free_port(&port);

	close(fd);
	return port;
}

static int
connect_to(int port)
{
	struct sockaddr_in address = {.sin_family = AF_INET,
	    .sin_addr.s_addr = htonl(INADDR_LOOPBACK),
	    .sin_port = htons((uint16_t)port)};
	int fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0), one = 1;

	if (connect(fd, (struct sockaddr *)&address, sizeof(address)) < 0) {
		close(fd);
		return -1;
	}
	setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &one, sizeof(one));
	return fd;
}

static bool
send_all(int fd, const char *bytes, size_t size)
{
	ssize_t n;

	for (; size > 0; bytes += n, size -= (size_t)n) {
		n = send(fd, bytes, size, MSG_NOSIGNAL);
		if (n <= 0)
			return false;
	}
	return true;
}

void
thread_start(void *(*run)(void *), void *context)
{
	pthread_t thread;

	if (pthread_create(&thread, NULL, run, context) != 0)
		cannot_run("no thread");
	pthread_detach(thread);
}

/* Growing text. */
typedef struct text {
	char *bytes;
	size_t size;
} text_t;

static void
append(text_t *text, const char *format, ...)
{
	char *more = NULL;
	va_list ap;
	int n;

	va_start(ap, format);
	n = vasprintf(&more, format, ap);
	va_end(ap);
	text->bytes = realloc(text->bytes, text->size + (size_t)n + 1);
	memcpy(text->bytes + text->size, more, (size_t)n + 1);
	text->size += (size_t)n;
	free(more);
}

/* ---- the platform's store ---- */

typedef struct object {
	char kind[64], name[128];
	char *spec;
	long revision;
	bool deleted;
} object_t;

static object_t objects[256];
static int objects_count;
static long revision = 100;
bool store_down; /* requests get 503, and nothing is done */

static object_t *
object_find(const char *kind, const char *name)
{
	int i;

	for (i = 0; i < objects_count; i++) {
		if (strcmp(objects[i].kind, kind) == 0 &&
		    strcmp(objects[i].name, name) == 0)
			return &objects[i];
	}
	return NULL;
}

static object_t *
object_put(const char *kind, const char *name, const char *spec)
{
	object_t *object = object_find(kind, name);

	if (object == NULL) {
		object = &objects[objects_count++];
		snprintf(object->kind, sizeof(object->kind), "%s", kind);
		snprintf(object->name, sizeof(object->name), "%s", name);
	}
	if (object->spec != NULL && !object->deleted &&
	    strcmp(object->spec, spec) == 0)
		return object;
	free(object->spec);
	object->spec = strdup(spec);
	object->deleted = false;
	object->revision = ++revision;
	pthread_cond_broadcast(&changed);
	return object;
}

static void
object_delete(const char *kind, const char *name)
{
	object_t *object = object_find(kind, name);

	if (object == NULL || object->deleted)
		return;
	object->deleted = true;
	object->revision = ++revision;
	pthread_cond_broadcast(&changed);
}

static void
append_object(text_t *out, const object_t *object)
{
	append(out,
	    "{\"meta\":{\"name\":\"%s\",\"revision\":%ld,\"created\":1,"
	    "\"finalizers\":[],\"deleting\":false},\"spec\":%s,"
	    "\"status\":null}",
	    object->name, object->revision, object->spec);
}

static int
append_events(text_t *out, const char *kind, long after)
{
	int i, n = 0;

	append(out, "{\"events\":[");
	for (i = 0; i < objects_count; i++) {
		if (strcmp(objects[i].kind, kind) != 0 ||
		    objects[i].revision <= after)
			continue;
		append(out, "%s{\"deleted\":%s,\"object\":", n++ > 0 ? "," : "",
		    objects[i].deleted ? "true" : "false");
		append_object(out, &objects[i]);
		append(out, "}");
	}
	append(out, "],\"current-rev\":%ld}", revision);
	return n;
}

static void
append_list(text_t *out, const char *kind)
{
	int i, n = 0;

	append(out, "{\"items\":[");
	for (i = 0; i < objects_count; i++) {
		if (strcmp(objects[i].kind, kind) != 0 || objects[i].deleted)
			continue;
		append(out, n++ > 0 ? "," : "");
		append_object(out, &objects[i]);
	}
	append(out, "],\"has-more\":false,\"current-rev\":%ld}", revision);
}

/* Copy the text of the member "spec", the last one that the daemons send. */
static char *
body_spec(const char *body)
{
	const char *at = strstr(body, "\"spec\":");
	size_t size = at == NULL ? 0 : strlen(at + 7);

	return size == 0 ? NULL : strndup(at + 7, size - 1);
}

static long
body_revision(const char *body)
{
	const char *spec = strstr(body, "\"spec\":");
	const char *at = strstr(body, "\"revision\":");

	return at == NULL || (spec != NULL && at > spec) ? 0 : atol(at + 11);
}

static long
query_number(const char *query, const char *name)
{
	const char *at = query == NULL ? NULL : strstr(query, name);

	return at == NULL ? -1 : atol(at + strlen(name));
}

/* Carry out a request to the store.  Returns the status. */
static int
store_request(
    const char *method, char *path, const char *body, text_t *out)
{
	char *query = strchr(path, '?'), *kind, *name, *spec, created[128];
	object_t *object;
	long watch, wait, wanted;
	int64_t end;
	int n;

	if (query != NULL)
		*query++ = '\0';
	if (strncmp(path, "/objects/", 9) != 0)
		return 404;
	kind = path + 9;
	name = strchr(kind, '/');
	if (name != NULL)
		*name++ = '\0';
	if (strcmp(method, "GET") == 0 && name == NULL) {
		watch = query_number(query, "watch=");
		if (watch < 0) {
			append_list(out, kind);
			return 200;
		}
		wait = query_number(query, "wait-ms=");
		end = now_ms() + (wait < 0 ? 0 : wait);
		for (;;) {
			n = append_events(out, kind, watch);
			if (n > 0 || now_ms() >= end || store_down)
				return 200;
			free(out->bytes);
			out->bytes = NULL;
			out->size = 0;
			wait_changed(end - now_ms());
		}
	}
	if (strcmp(method, "POST") == 0 && name == NULL) {
		name = strstr(body, "\"name\":\"");
		if (name == NULL)
			return 400;
		snprintf(created, sizeof(created), "%s", name + 8);
		created[strcspn(created, "\"")] = '\0';
		object = object_find(kind, created);
		if (object != NULL && !object->deleted) {
			append_object(out, object);
			return 409;
		}
		spec = body_spec(body);
		append_object(out, object_put(kind, created, spec));
		free(spec);
		return 200;
	}
	object = name == NULL ? NULL : object_find(kind, name);
	if (object == NULL || object->deleted)
		return 404;
	wanted = strcmp(method, "DELETE") == 0
	    ? query_number(query, "revision=")
	    : body_revision(body);
	if (strcmp(method, "GET") != 0 && wanted > 0 &&
	    wanted != object->revision) {
		append_object(out, object);
		return 409;
	}
	if (strcmp(method, "PUT") == 0) {
		spec = body_spec(body);
		object_put(kind, name, spec);
		free(spec);
	}
	append_object(out, object);
	if (strcmp(method, "DELETE") == 0)
		object_delete(kind, name);
	return 200;
}

/* ---- databases ---- */

typedef struct entry {
	long term;
	char *item, *value;
	int64_t received_ms;
} entry_t;

struct database {
	int number, port, listener;
	bool primary;
	long term;         /* that it leads or follows */
	long paused;       /* 0: not paused */
	entry_t log[16384];
	int length;
	bool cut;          /* from the daemons and the store */
	bool apart;        /* from the other databases */
	int64_t joined_ms; /* since when it reaches the other databases */
	int64_t cut_ms;
	int epoch;         /* of its connections; older ones are gone */
	int connections;
	bool listed, draining;
	int64_t led_ms; /* when it was promoted last */
	int64_t listed_from_ms; /* it does not register before */
};

database_t databases[DATABASES];
int64_t lag_ms = 8; /* time after which a replica applies what it received */
int rows_of_large, row_bytes_of_large;
static long proofs;

/* Who leads a term, and since when. */
typedef struct led {
	int number;
	int64_t at_ms;
} led_t;

static led_t led[TERMS_MAX];
long promotions;

static void
database_register(database_t *db)
{
	char spec[512], name[16];

	snprintf(name, sizeof(name), "i-%d", db->number);
	snprintf(spec, sizeof(spec),
	    "{\"backend\":\"ledger\",\"address\":\"127.0.0.1:%d\","
	    "\"zone\":\"z-a\",\"version\":\"v1\",\"capacity\":4,"
	    "\"state\":\"%s\",\"cold-remaining-ms\":0,\"db-role\":\"%s\","
	    "\"sequence\":1,\"born\":1700000000000}",
	    db->port, db->draining ? "draining" : "ready",
	    db->primary ? "primary" : "replica");
	object_put("servers", name, spec);
	if (!db->listed)
		record("the store lists i-%d", db->number);
	db->listed = true;
}

/* Remove the entry of a database that the store has not heard. */
static void
database_expire(database_t *db)
{
	char name[16];

	snprintf(name, sizeof(name), "i-%d", db->number);
	object_delete("servers", name);
	db->listed = false;
	record("the entry of i-%d expires", db->number);
}

static database_t *
newest_primary(void)
{
	database_t *newest = NULL;
	int i;

	for (i = 0; i < DATABASES; i++) {
		if (databases[i].primary && !databases[i].apart &&
		    (newest == NULL || databases[i].term > newest->term))
			newest = &databases[i];
	}
	return newest;
}

/* received_ms: 0: it is applied at once */
static void
log_append(database_t *db, long term, const char *item, const char *value,
    int64_t received_ms)
{
	db->log[db->length].term = term;
	db->log[db->length].received_ms = received_ms;
	db->log[db->length].item = strdup(item);
	db->log[db->length++].value = strdup(value);
}

/* Return the number of entries that a database has applied. */
static int
applied(const database_t *db)
{
	int length = db->length;

	while (!db->primary && length > 0 &&
	    db->log[length - 1].received_ms != 0 &&
	    now_ms() - db->log[length - 1].received_ms < lag_ms)
		length--;
	return length;
}

/* Return the term of the position after a number of entries. */
static long
position_term(const database_t *db, int length)
{
	if (db->primary)
		return db->term;
	return length == 0 ? 1 : db->log[length - 1].term;
}

/* Let the replicas that reach the newest primary receive its log. */
static void
replicate(void)
{
	database_t *primary = newest_primary();
	int i, same;

	for (i = 0; primary != NULL && i < DATABASES; i++) {
		database_t *db = &databases[i];

		if (db == primary || db->apart)
			continue;
		if (db->primary) {
			/* it continues until a second after it reaches it */
			if (now_ms() - db->joined_ms < 1000 ||
			    now_ms() - primary->led_ms < 1000)
				continue;
			db->primary = false;
			record("i-%d finds that i-%d leads, and follows it",
			    db->number, primary->number);
		}
		if (db->paused != 0)
			continue;
		for (same = 0; same < db->length && same < primary->length &&
		     db->log[same].term == primary->log[same].term;
		     same++)
			;
		if (same < db->length)
			record("i-%d drops %d commits that i-%d lacks",
			    db->number, db->length - same, primary->number);
		db->length = same;
		while (db->length < primary->length) {
			const entry_t *entry = &primary->log[db->length];

			log_append(db, entry->term, entry->item, entry->value,
			    now_ms());
		}
		db->term = primary->term;
	}
}

/* Heartbeats, replication, and the end of an old primary, each 5 ms. */
static void *
databases_run(void *unused)
{
	int i;

	(void)unused;
	for (;; sleep_ms(5)) {
		pthread_mutex_lock(&lock);
		replicate();
		for (i = 0; i < DATABASES; i++) {
			database_t *db = &databases[i];

			if (!db->cut && !store_down &&
			    now_ms() >= db->listed_from_ms)
				database_register(db);
			else if (db->cut && db->listed &&
			    now_ms() - db->cut_ms >= 3 * HEARTBEAT_MS)
				database_expire(db);
		}
		pthread_mutex_unlock(&lock);
	}
	return NULL;
}

/* Part i-N from the daemons and the store, and from the other databases. */
void
database_cut(int number)
{
	pthread_mutex_lock(&lock);
	databases[number].cut = databases[number].apart = true;
	databases[number].cut_ms = now_ms();
	record("i-%d is cut off from the replicas, the store and the daemons",
	    number);
	pthread_mutex_unlock(&lock);
}

/* End the partition.  After 3 s, the connections of before are gone. */
void
database_join(int number)
{
	database_t *db = &databases[number];

	pthread_mutex_lock(&lock);
	db->cut = db->apart = false;
	db->joined_ms = now_ms();
	if (now_ms() - db->cut_ms >= 3000)
		db->epoch++;
	record("the partition of i-%d ends, after %.1f s", number,
	    (double)(now_ms() - db->cut_ms) / 1000);
	pthread_cond_broadcast(&changed);
	pthread_mutex_unlock(&lock);
}

/* Planned work: i-N is to be replaced, and reports that it drains. */
void
database_drain(int number)
{
	pthread_mutex_lock(&lock);
	databases[number].draining = true;
	record("i-%d reports that it drains", number);
	pthread_mutex_unlock(&lock);
}

/* Return when a term began by a promote, or 0, and which database leads it. */
int64_t
term_began_ms(long term, int *number)
{
	int64_t at_ms;

	pthread_mutex_lock(&lock);
	*number = led[term].number;
	at_ms = led[term].at_ms;
	pthread_mutex_unlock(&lock);
	return at_ms;
}

/* Return the number of the newest primary, or -1. */
int
primary_number(void)
{
	const database_t *primary;
	int number;

	pthread_mutex_lock(&lock);
	primary = newest_primary();
	number = primary == NULL ? -1 : primary->number;
	pthread_mutex_unlock(&lock);
	return number;
}

/* Tell whether the newest primary has a value in its log. */
bool
value_kept(const char *value)
{
	const database_t *primary;
	bool found = false;
	int i;

	pthread_mutex_lock(&lock);
	primary = newest_primary();
	for (i = 0; primary != NULL && i < primary->length; i++)
		found |= strcmp(primary->log[i].value, value) == 0;
	pthread_mutex_unlock(&lock);
	return found;
}

/* The store goes down, and the entries of the databases expire meanwhile. */
void
store_stop(void)
{
	int i;

	pthread_mutex_lock(&lock);
	store_down = true;
	record("the platform's store is down");
	for (i = 0; i < DATABASES; i++)
		database_expire(&databases[i]);
	pthread_cond_broadcast(&changed);
	pthread_mutex_unlock(&lock);
}

/* The store returns; i-N registers again after_ms[N] later. */
void
store_return(const int64_t *after_ms)
{
	int i;

	pthread_mutex_lock(&lock);
	store_down = false;
	for (i = 0; i < DATABASES; i++)
		databases[i].listed_from_ms = now_ms() + after_ms[i];
	record("the platform's store is back");
	pthread_cond_broadcast(&changed);
	pthread_mutex_unlock(&lock);
}

/* A session at a database. */
typedef struct session {
	database_t *db;
	int fd, epoch;
	char state; /* I, T, E */
	bool read_only;
	entry_t pending[64];
	int pending_count;
	char prepared[64][2][128]; /* name; "READ shape" or "WRITE shape" */
	int prepared_count;
	text_t out;
} session_t;

static run_t runs[65536];
static int runs_count;

int
runs_get(const run_t **list)
{
	*list = runs;
	return runs_count;
}

static void
note_run(const session_t *s, const char *id, const char *text, bool write)
{
	run_t *run = &runs[runs_count++];

	run->at_ms = now_ms();
	run->database = s->db->number;
	run->term = s->db->term;
	run->write = write;
	snprintf(run->id, sizeof(run->id), "%s", id);
	run->text = strdup(text);
	record("i-%d (%s, term %ld) runs %s: %s", s->db->number,
	    s->db->primary ? "primary" : "replica", s->db->term, id, text);
}

static void
ready(session_t *s)
{
	int length = applied(s->db);

	append(&s->out, "READY %c %ld.%d\r\n", s->state,
	    position_term(s->db, length), length);
}

static void
fail(session_t *s, const char *text)
{
	if (s->state == 'T')
		s->state = 'E';
	append(&s->out, "ERR %s\r\n", text);
	ready(s);
}

static void
done(session_t *s, bool proof)
{
	if (proof)
		append(&s->out, "DONE %ld.i-%d\r\n", ++proofs, s->db->number);
	else
		append(&s->out, "DONE -\r\n");
	ready(s);
}

static void
status(session_t *s)
{
	const database_t *db = s->db;

	append(&s->out, "ROW %s %ld %ld.%d %ld 0 0 %d\r\n",
	    db->primary ? "primary" : "replica", db->term,
	    position_term(db, db->length), db->length, db->paused,
	    db->connections);
	done(s, false);
}

static void
read_item(session_t *s, const char *item)
{
	int i, j;

	if (strcmp(item, "large") == 0) {
		for (i = 0; i < rows_of_large; i++) {
			char *row = malloc((size_t)row_bytes_of_large + 1);

			memset(row, 'a' + i % 26, (size_t)row_bytes_of_large);
			row[row_bytes_of_large] = '\0';
			append(&s->out, "ROW %s\r\n", row);
			free(row);
		}
		done(s, true);
		return;
	}
	for (j = applied(s->db) - 1; j >= 0; j--) {
		if (strcmp(s->db->log[j].item, item) == 0)
			break;
	}
	append(&s->out, "ROW %s\r\n", j < 0 ? "none" : s->db->log[j].value);
	done(s, true);
}

static void
write_item(session_t *s, const char *item, const char *value)
{
	if (!s->db->primary || s->read_only) {
		fail(s, "READONLY here");
	} else if (s->state == 'T') {
		s->pending[s->pending_count].item = strdup(item);
		s->pending[s->pending_count++].value = strdup(value);
		done(s, true);
	} else {
		log_append(s->db, s->db->term, item, value, 0);
		replicate();
		done(s, true);
	}
}

static void
query(session_t *s, const char *id, char *text)
{
	database_t *db = s->db;
	char *words[5] = {NULL}, copy[4096], *rest = copy, *space;
	long after_term, after_number, term;
	int i, n, used = 0;

	if (sscanf(text, "AFTER %ld.%ld %n", &after_term, &after_number,
		&used) == 2 &&
	    used > 0) {
		text += used;
		term = position_term(db, applied(db));
		if (after_term > term ||
		    (after_term == term && after_number > applied(db))) {
			fail(s, "LAGGING here");
			return;
		}
	}
	snprintf(copy, sizeof(copy), "%s", text);
	/* the last word extends to the end of the line */
	for (n = 0; n < 4; n++) {
		words[n] = rest;
		space = strchr(rest, ' ');
		if (space == NULL || n == 3) {
			n++;
			break;
		}
		*space = '\0';
		rest = space + 1;
	}
	if (strcmp(words[0], "STATUS") == 0) {
		status(s);
	} else if (strcmp(words[0], "PAUSE") == 0 && n == 2) {
		if (!db->primary && atol(words[1]) > db->term)
			db->paused = atol(words[1]);
		status(s);
	} else if (strcmp(words[0], "RESUME") == 0) {
		db->paused = 0;
		status(s);
	} else if (strcmp(words[0], "STEPDOWN") == 0 && n == 2) {
		if (db->primary && atol(words[1]) > db->term) {
			db->primary = false;
			record("i-%d steps down", db->number);
		}
		status(s);
	} else if (strcmp(words[0], "RESET") == 0) {
		s->prepared_count = 0;
		done(s, false);
	} else if (strcmp(words[0], "SET") == 0 && n >= 3) {
		done(s, false);
	} else if (strcmp(words[0], "PREPARE") == 0) {
		/* PREPARE name READ|WRITE shape */
		if (n < 4 ||
		    (strcmp(words[2], "READ") != 0 &&
			strcmp(words[2], "WRITE") != 0)) {
			record("i-%d refuses: %s", db->number, text);
			fail(s, "MALFORMED no such access");
			return;
		}
		snprintf(s->prepared[s->prepared_count][0], 128, "%s",
		    words[1]);
		snprintf(s->prepared[s->prepared_count++][1], 128, "%s %s",
		    words[2], words[3]);
		done(s, false);
	} else if (strcmp(words[0], "ROLLBACK") == 0) {
		s->state = 'I';
		s->pending_count = 0;
		s->read_only = false;
		done(s, false);
	} else if (s->state == 'E') {
		fail(s, "MALFORMED the transaction has failed");
	} else if (strcmp(words[0], "BEGIN") == 0) {
		if (n == 1 && !db->primary) {
			fail(s, "READONLY here");
			return;
		}
		s->state = 'T';
		s->read_only = n > 1;
		done(s, false);
	} else if (strcmp(words[0], "COMMIT") == 0) {
		if (s->pending_count > 0 && !db->primary) {
			s->state = 'I';
			s->pending_count = 0;
			fail(s, "READONLY here");
			return;
		}
		note_run(s, id, text, s->pending_count > 0);
		for (i = 0; i < s->pending_count; i++)
			log_append(db, db->term, s->pending[i].item,
			    s->pending[i].value, 0);
		s->pending_count = 0;
		s->state = 'I';
		s->read_only = false;
		replicate();
		done(s, true);
	} else if (strcmp(words[0], "READ") == 0 && n >= 2) {
		note_run(s, id, text, false);
		read_item(s, text + 5);
	} else if (strcmp(words[0], "WRITE") == 0 && n >= 3) {
		if (db->primary)
			note_run(s, id, text, true);
		space = strchr(text + 6, ' ');
		*space = '\0';
		write_item(s, text + 6, space + 1);
	} else if (strcmp(words[0], "EXEC") == 0 && n >= 3) {
		for (i = s->prepared_count - 1; i >= 0; i--) {
			if (strcmp(s->prepared[i][0], words[1]) == 0)
				break;
		}
		if (i < 0) {
			fail(s, "NOSTMT no such name");
		} else {
			char shown[4096];

			snprintf(shown, sizeof(shown),
			    "shape [%s] item [%s] data [%s]",
			    strchr(s->prepared[i][1], ' ') + 1, words[2],
			    n > 3 ? words[3] : "");
			note_run(s, id, shown, s->prepared[i][1][0] == 'W');
			if (s->prepared[i][1][0] == 'W')
				write_item(s, words[2], n > 3 ? words[3] : "");
			else
				read_item(s, words[2]);
		}
	} else {
		fail(s, "MALFORMED not known");
	}
}

/* Handle a message.  Returns false to close the connection. */
static bool
message(session_t *s, char *line, bool *started)
{
	char group[64] = "", who[64] = "", id[64] = "", own[16], *space;

	if (strncmp(line, "START ", 6) == 0 && !*started) {
		sscanf(line + 6, "%63s %63s %63s", group, who, id);
		snprintf(own, sizeof(own), "i-%d", s->db->number);
		if (strcmp(group, "ledger") != 0 ||
		    (id[0] != '\0' && strcmp(id, own) != 0)) {
			append(&s->out, "ERR WRONGNODE %s\r\n", own);
			return false;
		}
		if (s->db->connections > CONNECTIONS_MAX) {
			append(&s->out, "ERR TOOMANY connections\r\n");
			return false;
		}
		*started = true;
		ready(s);
		return true;
	}
	if (strncmp(line, "QUERY ", 6) != 0 || !*started)
		return false;
	space = strchr(line + 6, ' ');
	if (space == NULL)
		return false;
	*space = '\0';
	query(s, line + 6, space + 1);
	return true;
}

/* Serve a connection to a database.  A line ends with CR LF. */
static void *
database_serve(void *context)
{
	session_t *s = context;
	size_t size = 0, room = 4 << 20;
	char *in = malloc(room), *end;
	bool open = true, started = false;
	ssize_t n;

	pthread_mutex_lock(&lock);
	s->db->connections++;
	pthread_mutex_unlock(&lock);
	while (open && (n = recv(s->fd, in + size, room - size - 1, 0)) > 0) {
		size += (size_t)n;
		in[size] = '\0';
		pthread_mutex_lock(&lock);
		while (s->db->cut)
			wait_changed(1000);
		open = s->epoch == s->db->epoch;
		while (open &&
		    (end = memmem(in, size, "\r\n", 2)) != NULL) {
			*end = '\0';
			open = message(s, in, &started);
			size -= (size_t)(end + 2 - in);
			memmove(in, end + 2, size + 1);
		}
		pthread_mutex_unlock(&lock);
		if (s->out.size > 0 &&
		    !send_all(s->fd, s->out.bytes, s->out.size))
			open = false;
		s->out.size = 0;
	}
	pthread_mutex_lock(&lock);
	s->db->connections--;
	pthread_mutex_unlock(&lock);
	close(s->fd);
	free(s->out.bytes);
	free(s);
	free(in);
	return NULL;
}

static void *
database_listen(void *context)
{
	database_t *db = context;
	int fd, one = 1;

	while ((fd = accept4(db->listener, NULL, NULL, SOCK_CLOEXEC)) >= 0) {
		session_t *s = calloc(1, sizeof(*s));

		setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &one, sizeof(one));
		s->db = db;
		s->fd = fd;
		s->state = 'I';
		pthread_mutex_lock(&lock);
		s->epoch = db->epoch;
		pthread_mutex_unlock(&lock);
		thread_start(database_serve, s);
	}
	return NULL;
}

/* ---- promotions ---- */

typedef struct order {
	int number;
} order_t;

static long highest_token;
bool lower_token_seen;

/* Carry out a promotion some hundred ms after the call. */
static void *
promote(void *context)
{
	int number = ((order_t *)context)->number, i;
	long term = 0;

	free(context);
	sleep_ms(PROMOTE_MS);
	pthread_mutex_lock(&lock);
	if (!databases[number].primary) {
		for (i = 0; i < DATABASES; i++) {
			if (databases[i].term > term)
				term = databases[i].term;
			databases[i].paused = 0;
		}
		databases[number].primary = true;
		databases[number].term = term + 1;
		databases[number].led_ms = now_ms();
		led[term + 1] = (led_t){number, now_ms()};
		promotions++;
		record("i-%d leads term %ld", number, term + 1);
		pthread_cond_broadcast(&changed);
	}
	pthread_mutex_unlock(&lock);
	return NULL;
}

static int
cloud_request(const char *head, const char *body)
{
	const char *token = strcasestr(head, "Bergamotplank-Fencing-Token: ");
	const char *holder = strcasestr(head, "Bergamotplank-Lease-Holder: ");
	const char *id = strstr(body, "\"id\":\"i-");
	char name[64] = "";
	order_t *order;
	long number;

	if (token == NULL || holder == NULL || id == NULL)
		return 400;
	sscanf(holder + 28, "%63s", name);
	number = atol(token + 29);
	record("the platform gets POST /promote of i-%d, holder %s, token %ld"
	       "%s",
	    atoi(id + 8), name, number,
	    number < highest_token ? ", LOWER than one that it has seen" : "");
	if (number < highest_token)
		lower_token_seen = true;
	else
		highest_token = number;
	if (databases[atoi(id + 8)].cut)
		return 409;
	order = calloc(1, sizeof(*order));
	order->number = atoi(id + 8);
	thread_start(promote, order);
	return 200;
}

/* ---- HTTP ---- */

int store_port, cloud_port;
static int store_listener, cloud_listener;

typedef struct http {
	int fd;
	bool cloud;
} http_t;

static void *
http_serve(void *context)
{
	http_t *http = context;
	size_t size = 0, room = 1 << 20, length;
	char *in = malloc(room), *end, *at, method[16], path[512];
	text_t out = {NULL, 0}, reply;
	ssize_t n;
	int code;
	bool cut_off;

	while ((n = recv(http->fd, in + size, room - size - 1, 0)) > 0) {
		size += (size_t)n;
		in[size] = '\0';
		end = strstr(in, "\r\n\r\n");
		if (end == NULL)
			continue;
		at = strcasestr(in, "Content-Length: ");
		length = at == NULL || at > end ? 0 : (size_t)atol(at + 16);
		if (size < (size_t)(end + 4 - in) + length)
			continue;
		*end = '\0';
		if (sscanf(in, "%15s %511s", method, path) != 2)
			break;
		pthread_mutex_lock(&lock);
		out.size = 0;
		code = http->cloud ? cloud_request(in, end + 4)
		    : store_down   ? 503
				   : store_request(method, path, end + 4, &out);
		cut_off = !http->cloud && store_down && code != 503;
		pthread_mutex_unlock(&lock);
		if (cut_off)
			break; /* a watch that waited when the store went down */
		reply = (text_t){NULL, 0};
		append(&reply,
		    "HTTP/1.1 %d X\r\nContent-Type: application/json\r\n"
		    "Content-Length: %zu\r\n\r\n%s",
		    code, out.size, out.size == 0 ? "" : out.bytes);
		if (!send_all(http->fd, reply.bytes, reply.size)) {
			free(reply.bytes);
			break;
		}
		free(reply.bytes);
		size -= (size_t)(end + 4 - in) + length;
		memmove(in, end + 4 + length, size);
		in[size] = '\0';
	}
	close(http->fd);
	free(out.bytes);
	free(in);
	free(http);
	return NULL;
}

static void *
http_listen(void *context)
{
	bool cloud = context != NULL;
	int fd, one = 1;

	while ((fd = accept4(cloud ? cloud_listener : store_listener, NULL,
		    NULL, SOCK_CLOEXEC)) >= 0) {
		http_t *http = calloc(1, sizeof(*http));

		setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &one, sizeof(one));
		http->fd = fd;
		http->cloud = cloud;
		thread_start(http_serve, http);
	}
	return NULL;
}

/* Write the configuration of the operator. */
static void
configure(void)
{
	object_put("config", "main",
	    "{\"version\":3,\"routes\":["
	    "{\"name\":\"r-1\",\"host\":\"intake\",\"type\":\"primary\","
	    "\"timeout-ms\":1000,\"target-latency-ms\":200,\"priority\":0,"
	    "\"backend\":\"ledger\"},"
	    "{\"name\":\"r-2\",\"host\":\"lookup\",\"type\":\"bounded\","
	    "\"timeout-ms\":3000,\"target-latency-ms\":1500,\"priority\":2,"
	    "\"backend\":\"ledger\",\"max-staleness-ms\":1500}],"
	    "\"services\":[{\"name\":\"ledger\",\"max-conns\":34,"
	    "\"sync-replicas\":0}],\"limits\":{\"tx-idle-ms\":3000}}");
}

static void
platform_start(void)
{
	int i;

	store_listener = listen_on_free_port(&store_port);
	cloud_listener = listen_on_free_port(&cloud_port);
	configure();
	for (i = 0; i < DATABASES; i++) {
		database_t *db = &databases[i];

		db->number = i;
		db->listener = listen_on_free_port(&db->port);
		db->primary = i == 0;
		db->term = 1;
		db->joined_ms = -10000;
		database_register(db);
		thread_start(database_listen, db);
	}
	thread_start(databases_run, NULL);
	thread_start(http_listen, NULL);
	thread_start(http_listen, &cloud_port);
}

/* ---- daemons ---- */

daemon_t daemons[DAEMONS_MAX];

/*
 * Start a daemon with the command of the deploy file and settings like those of
 * its template.  Its ports stay the same when it is started again.
 */
void
daemon_start(int number, int cloud)
{
	daemon_t *d = &daemons[number];
	char path[128], log_path[128];
	FILE *file;
	pid_t parent = getpid();

	if (d->client_port == 0) {
		d->client_port = free_port();
		d->ready_port = free_port();
		d->peer_port = free_port();
		d->metrics_port = free_port();
	}
	snprintf(path, sizeof(path), "%s/local-%d.yaml", work_dir, number);
	snprintf(log_path, sizeof(log_path), "%s/daemon-%d.log", work_dir,
	    number);
	file = fopen(path, "w");
	if (file == NULL)
		cannot_run("no settings file");
	fprintf(file,
	    "{\"name\": \"front-z-a-%d\", \"zone\": \"z-a\",\n"
	    "\"client_address\": \"127.0.0.1:%d\",\n"
	    "\"ready_address\": \"127.0.0.1:%d\",\n"
	    "\"peer_address\": \"127.0.0.1:%d\",\n"
	    "\"metrics_address\": \"127.0.0.1:%d\",\n"
	    "\"store_address\": \"127.0.0.1:%d\",\n"
	    "\"promotion_address\": \"127.0.0.1:%d\",\n"
	    "\"core_share\": 0.25, \"grace_s\": 6,\n"
	    "\"timeouts\": {\"config_apply_ms\": 3000}}\n",
	    number + 1, d->client_port, d->ready_port, d->peer_port,
	    d->metrics_port, store_port, cloud);
	fclose(file);
	d->pid = fork();
	if (d->pid == 0) {
		int log_fd = open(log_path, O_WRONLY | O_CREAT | O_APPEND, 0600);

		prctl(PR_SET_PDEATHSIG, SIGKILL);
		if (getppid() != parent)
			_exit(2);
		dup2(log_fd, 1);
		dup2(log_fd, 2);
		execl("target/bergamotplank", "bergamotplank", "proxy", "-f",
		    path, (char *)NULL);
		_exit(127);
	}
	record("front-z-a-%d starts", number + 1);
}

void
daemon_signal(int number, int signal_number)
{
	record("front-z-a-%d gets signal %d (%s)", number + 1, signal_number,
	    strsignal(signal_number));
	kill(daemons[number].pid, signal_number);
	if (signal_number == SIGKILL) {
		waitpid(daemons[number].pid, NULL, 0);
		daemons[number].pid = 0;
	}
}

/* Wait for the end of a daemon that was told to stop. */
void
daemon_wait_end(int number)
{
	waitpid(daemons[number].pid, NULL, 0);
	daemons[number].pid = 0;
	record("front-z-a-%d has ended", number + 1);
}

/* Return the memory that a daemon uses, in MB, or 0 if it has ended. */
long
daemon_memory_mb(int number)
{
	char path[64], line[256];
	long kb = 0;
	FILE *file;

	snprintf(path, sizeof(path), "/proc/%d/status", daemons[number].pid);
	file = fopen(path, "r");
	while (file != NULL && fgets(line, sizeof(line), file) != NULL)
		sscanf(line, "VmRSS: %ld", &kb);
	if (file != NULL)
		fclose(file);
	return kb / 1024;
}

void
daemons_stop(void)
{
	int i;

	for (i = 0; i < DAEMONS_MAX; i++) {
		if (daemons[i].pid > 0) {
			kill(daemons[i].pid, SIGKILL);
			waitpid(daemons[i].pid, NULL, 0);
			daemons[i].pid = 0;
		}
	}
}

/* Wait until a daemon's ready probe answers 200. */
bool
daemon_wait_ready(int number, int64_t ms)
{
	static const char get[] = "GET /ready HTTP/1.1\r\nHost: a\r\n\r\n";
	int64_t end = now_ms() + ms;
	char answer[64];
	int fd;
	ssize_t n;

	for (; now_ms() < end; sleep_ms(20)) {
		fd = connect_to(daemons[number].ready_port);
		if (fd < 0)
			continue;
		n = 0;
		if (send_all(fd, get, sizeof(get) - 1))
			n = recv(fd, answer, sizeof(answer) - 1, 0);
		close(fd);
		if (n > 12 && strncmp(answer + 9, "200", 3) == 0)
			return true;
	}
	return false;
}

/* ---- clients ---- */

/*
 * Read the next line into a new string, without CR LF.  NULL: the connection
 * has ended, or there is none in time.
 */
char *
client_line(client_t *c, int64_t ms)
{
	int64_t end_ms = now_ms() + ms;
	char *end, *line;
	ssize_t n;

	for (;;) {
		struct pollfd poll_fd = {c->fd, POLLIN, 0};

		end = memmem(c->in, c->size, "\r\n", 2);
		if (end != NULL) {
			line = strndup(c->in, (size_t)(end - c->in));
			c->size -= (size_t)(end + 2 - c->in);
			memmove(c->in, end + 2, c->size);
			return line;
		}
		if (end_ms <= now_ms() ||
		    poll(&poll_fd, 1, (int)(end_ms - now_ms())) <= 0)
			return NULL;
		if (c->room - c->size < 1 << 17)
			c->in = realloc(c->in, c->room *= 2);
		n = recv(c->fd, c->in + c->size, 1 << 17, 0);
		if (n <= 0) {
			c->ended = true;
			return NULL;
		}
		c->size += (size_t)n;
	}
}

void
client_close(client_t *c)
{
	close(c->fd);
	free(c->in);
	free(c);
}

/* Open a session.  NULL: it was not opened in time. */
client_t *
client_open(int daemon, const char *database)
{
	client_t *c = calloc(1, sizeof(*c));
	char line[128], *answer;

	c->room = 1 << 18;
	c->in = malloc(c->room);
	c->fd = connect_to(daemons[daemon].client_port);
	snprintf(line, sizeof(line), "START %s u1\r\n", database);
	if (c->fd < 0 || !send_all(c->fd, line, strlen(line)) ||
	    (answer = client_line(c, 2000)) == NULL) {
		client_close(c);
		return NULL;
	}
	if (strncmp(answer, "READY", 5) != 0) {
		free(answer);
		client_close(c);
		return NULL;
	}
	free(answer);
	return c;
}

bool
client_send(client_t *c, const char *id, const char *text)
{
	text_t out = {NULL, 0};
	bool sent;

	append(&out, "QUERY %s %s\r\n", id, text);
	record("client sends %s: %s", id, text);
	sent = send_all(c->fd, out.bytes, out.size);
	free(out.bytes);
	return sent;
}

/*
 * Send a statement and read the whole answer.  Returns the line DONE or ERR as
 * a new string, and counts the rows; NULL: there is no complete answer.
 */
char *
client_query(
    client_t *c, const char *id, const char *text, int64_t ms, answer_t *answer)
{
	int64_t end_ms = now_ms() + ms;
	char *line, *result = NULL;

	memset(answer, 0, sizeof(*answer));
	if (!client_send(c, id, text))
		return NULL;
	while ((line = client_line(c, end_ms - now_ms())) != NULL) {
		if (strncmp(line, "ROW ", 4) == 0) {
			answer->rows++;
			answer->bytes += strlen(line);
			snprintf(answer->first_row, sizeof(answer->first_row),
			    "%s", line + 4);
		} else if (strncmp(line, "READY", 5) == 0) {
			free(line);
			record("client gets for %s: %d rows, %ld bytes, %s", id,
			    answer->rows, answer->bytes,
			    result == NULL ? "nothing" : result);
			return result;
		} else {
			free(result);
			result = strdup(line);
		}
		free(line);
	}
	record("client gets for %s no complete answer: %s", id,
	    c->ended ? "the connection has ended" : "it took too long");
	free(result);
	return NULL;
}

/* ---- a link to the platform that can stall ---- */

typedef struct relay {
	int from, to;
	stall_t *stall;
	bool forward;
	bool early; /* opened before the stall ended */
} relay_t;

/*
 * Pass bytes on.  While the link is stalled they are held up; those of a
 * connection that was open then are sent again some time after its end, as TCP
 * does.
 */
static void *
relay_run(void *context)
{
	relay_t *relay = context;
	char bytes[65536], byte;
	ssize_t n;

	while ((n = recv(relay->from, bytes, sizeof(bytes), 0)) > 0) {
		pthread_mutex_lock(&lock);
		if (relay->forward && relay->stall->on_order != NULL &&
		    memmem(bytes, (size_t)n, "POST /promote", 13) != NULL)
			relay->stall->on_order(relay->stall, bytes);
		if (relay->stall->stalled) {
			record("the link holds up %zd bytes to the platform",
			    n);
			while (relay->stall->stalled)
				wait_changed(1000);
			pthread_mutex_unlock(&lock);
			sleep_ms(relay->stall->resend_at_ms - now_ms());
			pthread_mutex_lock(&lock);
			/* lost if their sender has reset the connection */
			if (recv(relay->from, &byte, 1,
				MSG_PEEK | MSG_DONTWAIT) < 0 &&
			    errno == ECONNRESET) {
				record("the sender has reset the connection");
				pthread_mutex_unlock(&lock);
				break;
			}
		}
		pthread_mutex_unlock(&lock);
		if (!send_all(relay->to, bytes, (size_t)n))
			break;
	}
	shutdown(relay->to, SHUT_WR);
	return NULL;
}

static void *
relay_listen(void *context)
{
	stall_t *stall = context;
	int fd, to;

	while ((fd = accept4(stall->listener, NULL, NULL, SOCK_CLOEXEC)) >= 0) {
		relay_t *there = calloc(1, sizeof(*there)),
			*back = calloc(1, sizeof(*back));

		pthread_mutex_lock(&lock);
		while (stall->stalled)
			wait_changed(1000);
		pthread_mutex_unlock(&lock);
		to = connect_to(cloud_port);
		*there = (relay_t){.from = fd, .to = to, .stall = stall,
		    .forward = true};
		*back = (relay_t){.from = to, .to = fd, .stall = stall};
		thread_start(relay_run, there);
		thread_start(relay_run, back);
	}
	return NULL;
}

void
stall_start(stall_t *stall)
{
	stall->listener = listen_on_free_port(&stall->port);
	thread_start(relay_listen, stall);
}

void
stall_end(stall_t *stall)
{
	pthread_mutex_lock(&lock);
	stall->stalled = false;
	stall->on_order = NULL;
	record("the link to the platform works again");
	pthread_cond_broadcast(&changed);
	pthread_mutex_unlock(&lock);
}

int
main(int argc, char **argv)
{
	struct timespec ts;
	const case_t *c;
	int result;

	if (argc != 4 || (record_file = fopen(argv[2], "w")) == NULL)
		return 2;
	clock_gettime(CLOCK_MONOTONIC, &ts);
	start_ms = (int64_t)ts.tv_sec * 1000 + ts.tv_nsec / 1000000;
	signal(SIGPIPE, SIG_IGN);
	snprintf(work_dir, sizeof(work_dir), "%s/review.XXXXXX",
	    getenv("TMPDIR") == NULL ? "/tmp" : getenv("TMPDIR"));
	if (mkdtemp(work_dir) == NULL)
		return 2;
	for (c = cases; c->name != NULL && strcmp(c->name, argv[1]) != 0; c++)
		;
	if (c->name == NULL)
		return 2;
	record("case %s, %s the disruption", c->name,
	    strcmp(argv[3], "0") == 0 ? "without" : "with");
	platform_start();
	result = c->run(strcmp(argv[3], "0") != 0);
	record(result == 0     ? "the rule held"
		: result == 1 ? "the rule was broken"
			      : "the case could not run");
	daemons_stop();
	work_dir_remove();
	return result;
}
