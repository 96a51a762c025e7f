#ifndef FAKEDB_H
#define FAKEDB_H

#include "../../gen/database.pb-c.h"
#include "../../gen/standin.pb-c.h"
#include "../../src/h2.h"
#include "../../src/json.h"
#include "../../src/task.h"

/*
 * Inside the stand-in for a database.  fakedb.c: its calls.  fakelog.c: the
 * log and the table of keys.  fakerepl.c: replication.
 */

typedef struct entry {
	uint64_t term;
	char *statement; /* NULL: record of a new term */
	char *request_id;
	GPtrArray *writes;
	int64_t at_ms;
} entry_t;

typedef struct ran {
	entry_t *entry;
	uint64_t position;
} ran_t;

typedef struct db db_t;

typedef struct client {
	db_t *db;
	h2_t *h2;
	bool transaction;
	GPtrArray *writes; /* of the transaction */
} client_t;

typedef struct follower {
	db_t *db;
	char *address;
	uint32_t port;
	h2_t *h2;
	bool open;
	bool busy;
	int64_t busy_ms; /* since */
	uint64_t next;   /* entries before this one are there */
	GSource *timer;
} follower_t;

/* A statement that holds a slot or waits for one. */
typedef struct job {
	client_t *client;
	int32_t stream;
	Bp__DbStatement *ask;
	arena_t *arena;
	char *body; /* the answer, once it has run */
	uint64_t body_bytes;
} job_t;

struct db {
	GMainLoop *loop;
	GMainContext *main;
	GPtrArray *log; /* of entry_t */
	GHashTable *keys;
	GHashTable *ids; /* request id to position + 1 */
	GArray *dropped; /* of ran_t */
	GPtrArray *clients;
	GPtrArray *followers;
	GQueue waiting; /* of job_t */
	uint64_t promised;
	bool primary;
	bool leaving;
	bool cut;
	uint32_t slots;
	uint32_t slots_used;
	uint32_t asked_now;
	uint32_t asked_highest;
	uint32_t connections_max;
	uint32_t connections;
	uint32_t connections_highest;
	uint64_t connections_opened;
	uint64_t statements;
	uint64_t status_calls;
	uint64_t mixed; /* statements from outside an open transaction */
	uint32_t connect_ms;
	uint32_t service_ms;
	uint32_t lag_ms;
	uint32_t late_ms;
	bool truncate_next;
	bool drop_next;
};

/* fakedb.c */
void answer(client_t *, int32_t stream, const ProtobufCMessage *);

/* fakelog.c */
uint64_t last_term(const db_t *);
entry_t *entry_new(
    uint64_t term, const char *statement, const char *request_id);
void log_append(db_t *, entry_t *);
void log_truncate(db_t *, uint64_t size);
void on_ran(client_t *, int32_t stream, arena_t *, const ProtobufCMessage *);

/* fakerepl.c */
void replicate(db_t *);
void follower_free(gpointer);
void on_append(client_t *, int32_t stream, arena_t *, const ProtobufCMessage *);

#endif
