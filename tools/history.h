#ifndef HISTORY_H
#define HISTORY_H

#include "../gen/standin.pb-c.h"
#include "../gen/statement.pb-c.h"
#include "../src/bergamotplank.h"

/*
 * What callers asked and were told, and what the databases' own logs say of
 * it.  Values are unique: each names its key and the operation that wrote it.
 */

typedef struct operation {
	uint32_t session;
	const char *group;
	char *key;
	bool write;
	char *value; /* written, or read; NULL: no such key */
	char *request_id;
	bool unrepeatable;
	int64_t max_age_us; /* of a read */
	uint32_t rank;
	int64_t asked_us;
	int64_t answered_us;
	Bp__Outcome outcome;
	Bp__Reason reason;
	bool answered; /* false: the connection ended without an answer */
	bool cut;      /* it had been made, and broke */
	bool replica;
	uint64_t term;
	uint64_t position;
	uint32_t transaction; /* number of a transaction, 0: none */
	uint32_t attempt;     /* of its request id */
} operation_t;

/* One entry that a database's log holds, or held and dropped. */
typedef struct ran_entry {
	const char *group;
	uint32_t database;
	uint64_t term;
	uint64_t position;
	char *key;
	char *value;
	char *request_id;
	bool dropped;
	bool on_primary; /* of the database that is primary at the end */
} ran_entry_t;

/* A document's version as seen in force on a daemon. */
typedef struct version_seen {
	uint32_t daemon;
	uint64_t incarnation;
	const char *team;
	uint64_t version;
	int64_t at_us;
} version_seen_t;

typedef struct history {
	GPtrArray *operations; /* of operation_t, in the order asked */
	GPtrArray *ran;        /* of ran_entry_t */
	GPtrArray *versions;   /* of version_seen_t */
	uint64_t mixed;        /* statements that met another's transaction */
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
	GString *text; /* a line for each of the first few */
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
