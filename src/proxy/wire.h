#ifndef PROXY_WIRE_H
#define PROXY_WIRE_H

#include "bergamotplank.h"
#include "decide/decide.h"
#include "proxy.pb-c.h"

/*
 * What clients and databases exchange, one line a message, behind a table of
 * callbacks: the proxy knows what a message holds, not how it is spelled.
 */

typedef enum request_kind {
	REQUEST_OPEN,  /* a session: database, account */
	REQUEST_QUERY, /* id, statement and what belongs to it */
	REQUEST_CLOSE,
	REQUEST_UNKNOWN,
} request_kind_t;

typedef enum statement_kind {
	STATEMENT_READ,
	STATEMENT_WRITE,
	STATEMENT_EXECUTE, /* name, text: the arguments */
	STATEMENT_BEGIN,   /* read_only */
	STATEMENT_COMMIT,
	STATEMENT_ROLLBACK,
	STATEMENT_SET,        /* name, value */
	STATEMENT_PREPARE,    /* name, writes, value: the shape */
	STATEMENT_DEALLOCATE, /* name */
	STATEMENT_UNKNOWN,
} statement_kind_t;

/* One message of a client.  The strings lie in the line that was read. */
typedef struct request {
	request_kind_t kind;
	statement_kind_t statement;
	const char *database;
	const char *account;
	const char *id;
	const char *text; /* READ, WRITE, COMMIT: as the client sent it */
	const char *name;
	const char *value;
	bool writes;
	bool read_only;
} request_t;

typedef enum session_state {
	SESSION_IDLE,
	SESSION_IN_TRANSACTION,
	SESSION_FAILED, /* in a transaction that can only end */
} session_state_t;

typedef enum reply_kind {
	REPLY_READY, /* state, position */
	REPLY_ROW,   /* text */
	REPLY_DONE,  /* text: the proof */
	REPLY_ERROR, /* verdict, text */
	REPLY_UNKNOWN,
} reply_kind_t;

/* One message of a database.  The strings lie in the line that was read. */
typedef struct reply {
	reply_kind_t kind;
	session_state_t state;
	position_t position; /* zero: none */
	Bp__Verdict verdict;
	const char *text;
} reply_t;

/* What a database says of itself. */
typedef struct server_status {
	bool primary;
	uint64_t term;
	position_t received;
	uint64_t held_term; /* it receives nothing before this one; 0: none */
	uint32_t lag_ms;
	uint32_t busy;        /* slots */
	uint32_t connections; /* of all daemons */
} server_status_t;

typedef struct wire_ops {
	/* what a client sent; cuts the line up */
	void (*read_request)(char *line, request_t *);
	/* to clients */
	void (*write_ready)(GString *, session_state_t, position_t);
	void (*write_row)(GString *, const char *text);
	void (*write_done)(GString *, const char *proof); /* NULL: our own */
	void (*write_error)(GString *, Bp__Verdict, const char *text);
	/* what a database sent; cuts the line up */
	void (*read_reply)(char *line, reply_t *);
	bool (*read_status)(const char *row, server_status_t *);
	/* to databases; after: NULL, or a position that the log must have */
	void (*open_session)(GString *, const char *group, const char *server);
	void (*reset)(GString *);
	void (*set_value)(GString *, const char *name, const char *value);
	void (*prepare)(
	    GString *, const char *name, bool writes, const char *shape);
	void (*begin)(GString *, bool read_only, const position_t *after);
	void (*rollback)(GString *);
	void (*run)(GString *, const char *id, const position_t *after,
	    const char *text);
	void (*execute)(GString *, const char *id, const position_t *after,
	    const char *name, const char *arguments);
	void (*status)(GString *);
	void (*hold)(GString *, uint64_t term);
	void (*resume)(GString *);
	void (*step_down)(GString *, uint64_t term);
	uint32_t line_bytes_max;
} wire_ops_t;

#endif
