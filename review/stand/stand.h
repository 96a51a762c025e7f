#ifndef STAND_H
#define STAND_H

#include <fcntl.h>
#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>
#include <sys/types.h>

#define DATABASES 3
#define DAEMONS_MAX 3
#define CONNECTIONS_MAX 34
#define PROMOTE_MS 300
#define HEARTBEAT_MS 1200
#define TERMS_MAX 1000

typedef struct database database_t;

/* A read, write or commit that a database has run. */
typedef struct run {
	int64_t at_ms;
	int database;
	long term;
	bool write;
	char id[64];
	char *text;
} run_t;

/* A daemon: its process and its ports. */
typedef struct daemon {
	pid_t pid;
	int client_port, ready_port, peer_port, metrics_port;
} daemon_t;

typedef struct client {
	int fd;
	char *in;
	size_t size, room;
	bool ended; /* the connection has ended */
} client_t;

/* What an answer had besides its last line. */
typedef struct answer {
	int rows;
	long bytes;
	char first_row[128]; /* of the last row */
} answer_t;

/* A link from a daemon to the platform that can stall. */
typedef struct stall {
	int port, listener;
	bool stalled;
	int64_t resend_at_ms; /* when the bytes that were held up are sent */
	int number;           /* database that the first order names */
	/* called with the lock held */
	void (*on_order)(struct stall *, const char *order);
} stall_t;

/* A case: returns 0 if the rule held, 1 if it was broken, 2 if it cannot run. */
typedef struct test_case {
	const char *name;
	int (*run)(bool trouble);
} case_t;

extern const case_t cases[];
extern daemon_t daemons[DAEMONS_MAX];
extern int cloud_port;
extern bool lower_token_seen;
extern long promotions;
extern int64_t lag_ms;
extern int rows_of_large, row_bytes_of_large;

int64_t now_ms(void);
void sleep_ms(int64_t);
void record(const char *format, ...) __attribute__((format(printf, 1, 2)));
void cannot_run(const char *why);
void database_cut(int number);
void database_join(int number);
void database_drain(int number);
int64_t term_began_ms(long term, int *number);
bool value_kept(const char *value);
int primary_number(void);
void thread_start(void *(*run)(void *), void *context);
void store_stop(void);
void store_return(const int64_t *after_ms);
int runs_get(const run_t **);
void daemon_start(int number, int cloud);
void daemon_signal(int number, int signal_number);
void daemon_wait_end(int number);
long daemon_memory_mb(int number);
void daemons_stop(void);
bool daemon_wait_ready(int number, int64_t ms);
client_t *client_open(int daemon, const char *database);
void client_close(client_t *);
bool client_send(client_t *, const char *id, const char *text);
char *client_line(client_t *, int64_t ms);
char *client_query(client_t *, const char *id, const char *text, int64_t ms,
    answer_t *);
void stall_start(stall_t *);
void stall_end(stall_t *);

#endif
