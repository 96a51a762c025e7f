#ifndef FAKEDB_H
#define FAKEDB_H

#include "../../gen/database.pb-c.h"
#include "../../gen/standin.pb-c.h"
#include "../../src/h2.h"
#include "../../src/json.h"
#include "../../src/task.h"

/*
 * Internals of fakedb, a fake database server for tests.
 *
 * fakedb.c: HTTP/2 endpoints and statement execution.
 * fakelog.c: the replicated log and the key-value table built from it.
 * fakerepl.c: replication from the primary to its followers.
 */

typedef struct db_log_entry {
	uint64_t term;
	char *statement; /* NULL: empty entry that starts a new term */
	char *request_id;
	GPtrArray *writes;   /* statements to apply to the table */
	int64_t appended_ms; /* when this database appended the entry */
} db_log_entry_t;

/* An entry that was truncated from the log, and its former position. */
typedef struct dropped_entry {
	db_log_entry_t *entry;
	uint64_t position;
} dropped_entry_t;

typedef struct db db_t;

typedef struct db_client {
	db_t *db;
	h2_t *h2;
	bool in_transaction;
	GPtrArray *pending_writes; /* statements of the open transaction */
} db_client_t;

typedef struct follower {
	db_t *db;
	char *address;
	uint32_t port;
	h2_t *h2;
	bool connected;
	bool append_pending;    /* an append request is unanswered */
	int64_t append_sent_ms; /* time that request was sent */
	uint64_t next_index;    /* log index of the first entry to send */
	GSource *retry_timer;
} follower_t;

/* A statement that occupies an execution slot or waits for one. */
typedef struct job {
	db_client_t *client;
	int32_t stream;
	Bp__DbStatement *request;
	arena_t *arena;
	char *response; /* JSON; NULL until the statement has run */
	uint64_t response_bytes;
} job_t;

struct db {
	GMainLoop *loop;
	GMainContext *main_context;
	GPtrArray *log;          /* of db_log_entry_t */
	GHashTable *table;       /* key to value */
	GHashTable *request_ids; /* request id to position, from 1 */
	GArray *dropped_entries; /* of dropped_entry_t */
	GPtrArray *clients;      /* of db_client_t */
	GPtrArray *followers;    /* of follower_t */
	GQueue waiting_jobs;     /* of job_t that wait for a slot */
	uint64_t promised_term;  /* requests of older terms are refused */
	bool primary;
	bool draining;            /* only reported in the status */
	bool replication_blocked; /* no entries are sent or accepted */
	uint32_t slots;           /* statements executed concurrently */
	uint32_t slots_used;
	uint32_t jobs; /* jobs that wait, run or are unanswered */
	uint32_t jobs_highest;
	uint32_t connections_max;
	uint32_t connections;
	uint32_t connections_highest;
	uint64_t connections_opened;
	uint64_t statements; /* statements executed so far */
	uint64_t status_calls;
	/* statements outside the open transaction of their connection */
	uint64_t foreign_statements;
	uint32_t connect_ms; /* delay of a new connection */
	uint32_t service_ms; /* execution time of a statement */
	uint32_t lag_ms;     /* replication lag */
	uint32_t late_ms;    /* delay of an answer after execution */
	bool truncate_next_answer;
	bool drop_next_answer;
};

/* fakedb.c */
void send_answer(db_client_t *, int32_t stream, const ProtobufCMessage *);

/* fakelog.c */
uint64_t db_log_last_term(const db_t *);
db_log_entry_t *db_log_entry_new(
    uint64_t term, const char *statement, const char *request_id);
void db_log_append(db_t *, db_log_entry_t *);
void db_log_truncate(db_t *, uint64_t size);
void on_execution_log(
    db_client_t *, int32_t stream, arena_t *, const ProtobufCMessage *);

/* fakerepl.c */
void replicate(db_t *);
void follower_free(gpointer);
void on_append(
    db_client_t *, int32_t stream, arena_t *, const ProtobufCMessage *);

#endif
