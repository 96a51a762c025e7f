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
	bool write;
	char *value; /* written or read; NULL: no value */
	char *request_id;
	bool unrepeatable;
	int64_t max_age_us; /* of a read */
	uint32_t rank;
	int64_t asked_us;
	int64_t answered_us;
	Bp__Outcome outcome;
	Bp__Reason reason;
	bool answered; /* false: the connection ended without an answer */
	bool cut;      /* the connection failed after it was established */
	bool replica;  /* answered by a replica */
	uint64_t term;
	uint64_t position;
	uint32_t transaction; /* its number; 0: not in a transaction */
	uint32_t attempt;     /* with this request id; 0: the first */
} operation_t;

/* An entry of a database's log, or one that the database has dropped. */
typedef struct ran_entry {
	const char *group;
	uint32_t database;
	uint64_t term;
	uint64_t position;
	char *key;
	char *value;
	char *request_id;
	bool dropped;
	bool on_primary; /* in the log of the primary at the end of the run */
} ran_entry_t;

/* The version of a document that a daemon reported to be in force. */
typedef struct version_seen {
	uint32_t daemon;
	uint64_t incarnation;
	const char *team;
	uint64_t version;
	int64_t at_us;
} version_seen_t;

typedef struct history {
	GPtrArray *operations; /* of operation_t, in the order invoked */
	GPtrArray *ran;        /* of executed_entry_t */
	GPtrArray *versions;   /* of observed_version_t */
	/* statements that a database executed in another session's transaction
	 */
	uint64_t mixed;
} history_t;

typedef enum violation_kind {
	VIOLATION_LOST_WRITE,
	VIOLATION_STALE_SESSION,
	VIOLATION_STALE_READ,
	VIOLATION_DOUBLE_RUN,
	VIOLATION_REFUSED_BUT_RAN,
	VIOLATION_WRONG_ANSWER,
	VIOLATION_HALF_TRANSACTION,
	VIOLATION_MIXED,
	VIOLATION_DOCUMENT_BACK,
	VIOLATION_KINDS,
} violation_kind_t;

typedef struct violations {
	uint32_t counts[VIOLATION_KINDS];
	GString *text; /* a line for each of the first violations */
} violations_t;

extern const char *const violation_names[VIOLATION_KINDS];

history_t *history_new(void);
void history_free(history_t *);
operation_t *history_operation(history_t *);
void history_ran(history_t *, const char *group, uint32_t database,
    bool primary, const Bp__RanLog *);
ran_entry_t *history_ran_one(history_t *);
version_seen_t *history_version(history_t *);
uint32_t history_check(const history_t *, violations_t *);

#endif
