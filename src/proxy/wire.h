#ifndef PROXY_WIRE_H
#define PROXY_WIRE_H

#include "bergamotplank.h"
#include "decide/decide.h"
#include "proxy.pb-c.h"

/*
 * The wire protocol of clients and databases, with one line per message.  It
 * is reached through a table of callbacks, so that the proxy deals with decoded
 * messages and is independent of their encoding.
 */

typedef enum request_kind {
	REQUEST_OPEN,  /* open a session: database, account */
	REQUEST_QUERY, /* run a statement: id, statement and its fields */
	REQUEST_CLOSE, /* close the session */
	REQUEST_UNKNOWN,
} request_kind_t;

/* Statements, with the fields of request_t that each one uses. */
typedef enum statement_kind {
	STATEMENT_READ,
	STATEMENT_WRITE,
	STATEMENT_EXECUTE, /* name, text (the arguments) */
	STATEMENT_BEGIN,   /* read_only */
	STATEMENT_COMMIT,
	STATEMENT_ROLLBACK,
	STATEMENT_SET,        /* name, value */
	STATEMENT_PREPARE,    /* name, writes, value (the template) */
	STATEMENT_DEALLOCATE, /* name */
	STATEMENT_WITH_NUL,   /* cannot be carried, as texts are C strings */
	STATEMENT_UNKNOWN,
} statement_kind_t;

/* A decoded message of a client; its strings point into the line. */
typedef struct request {
	request_kind_t kind;
	statement_kind_t statement;
	const char *database;
	const char *account;
	const char *id;
	const char *text; /* READ, WRITE, COMMIT: the whole statement */
	const char *name;
	const char *value;
	bool writes;    /* WRITE, PREPARE: the statement writes */
	bool read_only; /* BEGIN: a read-only transaction */
} request_t;

/* The transaction state of a session. */
typedef enum transaction_state {
	TRANSACTION_NONE,
	TRANSACTION_OPEN,
	TRANSACTION_FAILED, /* rolled back; awaits COMMIT or ROLLBACK */
} transaction_state_t;

/* Messages of a database, with the fields of reply_t that each one uses. */
typedef enum reply_kind {
	REPLY_READY, /* state, position; ends an answer */
	REPLY_ROW,   /* text */
	REPLY_DONE,  /* text (the acknowledgement token) */
	REPLY_ERROR, /* verdict, text */
	REPLY_UNKNOWN,
} reply_kind_t;

/* A decoded message of a database; its strings point into the line. */
typedef struct reply {
	reply_kind_t kind;
	transaction_state_t state;
	position_t position; /* position in the group's log; zero: none */
	Bp__Verdict verdict;
	const char *text;
} reply_t;

/* The status that a database reports. */
typedef struct server_status {
	bool primary; /* false: replica */
	uint64_t term;
	position_t received;        /* last log entry received */
	uint64_t paused_until_term; /* replication from primaries below this
			       term is paused; 0: not paused */
	uint32_t lag_ms;            /* replication lag */
	uint32_t busy;              /* execution slots in use */
	uint32_t connections;       /* open connections, of all daemons */
} server_status_t;

typedef struct wire_ops {
	/* decodes a message of a client; modifies the line */
	void (*read_request)(char *line, uint32_t size_bytes, request_t *);
	/* encode messages to clients */
	void (*write_ready)(GString *, transaction_state_t, position_t);
	void (*write_row)(GString *, const char *text);
	void (*write_done)(GString *, const char *ack_token); /* NULL: none */
	void (*write_error)(GString *, Bp__Verdict, const char *text);
	/* decodes a message of a database; modifies the line */
	void (*read_reply)(char *line, uint32_t size_bytes, reply_t *);
	/* decodes the row that answers status(); false: invalid */
	bool (*read_status)(const char *row, server_status_t *);
	/* encode messages to databases; after: the log position that the server
	   must have reached before it runs the statement, or NULL */
	void (*open_session)(GString *, const char *group, const char *server);
	/* clears the session variables and prepared statements */
	void (*reset)(GString *);
	void (*set_value)(GString *, const char *name, const char *value);
	void (*prepare)(GString *, const char *name, bool writes,
	    const char *statement_template);
	void (*begin)(GString *, bool read_only, const position_t *after);
	void (*rollback)(GString *);
	void (*run)(GString *, const char *id, const position_t *after,
	    const char *text);
	void (*execute)(GString *, const char *id, const position_t *after,
	    const char *name, const char *arguments);
	void (*status)(GString *);
	/* a replica receives nothing from primaries below the term */
	void (*pause_replication)(GString *, uint64_t term);
	void (*resume_replication)(GString *);
	/* a primary below the term becomes a replica */
	void (*step_down)(GString *, uint64_t term);
	uint32_t line_bytes_max;
} wire_ops_t;

#endif
