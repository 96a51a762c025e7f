#ifndef HISTORY_H
#define HISTORY_H

#include "../gen/standin.pb-c.h"
#include "../gen/statement.pb-c.h"
#include "../src/bergamotplank.h"

/*
 * A recorded history of the operations that callers invoked and of the logs of
 * the databases, and a checker of its consistency.  Values are unique: each
 * contains its key and the number of the operation that wrote it.
 */

/* A read or write of one key. */
typedef struct operation {
	uint32_t session;
	const char *group;
	char *key;
	bool is_write;
	char *value; /* value written or read; NULL: none */
	char *request_id;
	bool not_repeatable;
	int64_t max_age_us; /* maximum age of the data of a read */
	uint32_t rank;
	int64_t invoked_us;
	int64_t completed_us;
	Bp__Outcome outcome;
	Bp__Reason reason;
	bool answered; /* false: the connection ended without an answer */
	bool connection_broken; /* connection failed once established */
	bool from_replica;      /* answered by a replica */
	uint64_t term;
	uint64_t position;
	uint32_t transaction; /* number of the transaction; 0: none */
	uint32_t attempt; /* number of this attempt at the request; 0: first */
} operation_t;

/* An entry of a database's log, or one that the database has dropped. */
typedef struct executed_entry {
	const char *group;
	uint32_t database;
	uint64_t term;
	uint64_t position;
	char *key;
	char *value;
	char *request_id;
	bool dropped;
	bool in_final_log; /* in the log of the primary at the end of the run */
} executed_entry_t;

/* The version of a document that a daemon reported to be in force. */
typedef struct observed_version {
	uint32_t daemon;
	uint64_t incarnation;
	const char *team;
	uint64_t version;
	int64_t observed_us;
} observed_version_t;

typedef struct history {
	GPtrArray *operations;        /* of operation_t, in the order invoked */
	GPtrArray *executed_entries;  /* of executed_entry_t */
	GPtrArray *observed_versions; /* of observed_version_t */
	/* statements executed in the transaction of another session */
	uint64_t foreign_statements;
} history_t;

typedef enum violation_kind {
	VIOLATION_LOST_WRITE,
	VIOLATION_NON_MONOTONIC_SESSION,
	VIOLATION_STALE_READ,
	VIOLATION_DUPLICATE_EXECUTION,
	VIOLATION_REFUSED_BUT_EXECUTED,
	VIOLATION_WRONG_ANSWER,
	VIOLATION_PARTIAL_TRANSACTION,
	VIOLATION_FOREIGN_TRANSACTION,
	VIOLATION_NON_MONOTONIC_VERSION,
	VIOLATION_KINDS,
} violation_kind_t;

typedef struct violations {
	uint32_t counts[VIOLATION_KINDS];
	GString *text; /* a line for each of the first violations */
} violations_t;

extern const char *const violation_names[VIOLATION_KINDS];

history_t *history_new(void);
void history_free(history_t *);
operation_t *history_add_operation(history_t *);
void history_add_log(history_t *, const char *group, uint32_t database,
    bool primary, const Bp__RanLog *);
executed_entry_t *history_add_entry(history_t *);
observed_version_t *history_add_version(history_t *);
uint32_t history_check(const history_t *, violations_t *);

#endif
