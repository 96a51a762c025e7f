#ifndef BACKEND_H
#define BACKEND_H

#include "bergamotplank.h"
#include "database.pb-c.h"

#include <gio/gio.h>

/*
 * A connection to a database.  The operations are called through a table, so
 * that another database protocol can be added without changes to the task that
 * runs the statements.
 */
typedef struct backend backend_t;

/* Kinds of calls, each with its messages: request -> answer. */
typedef enum backend_call {
	BACKEND_STATEMENT, /* DbStatement -> DbAnswer */
	BACKEND_STATUS,    /* no body -> DbStatus */
	BACKEND_FENCE,     /* DbFence -> DbAnswer */
	BACKEND_PROMOTE,   /* DbPromote -> DbAnswer */
	BACKEND_FOLLOW,    /* DbFollow -> DbAnswer */
	BACKEND_CALL_KINDS,
} backend_call_t;

/* Callbacks to the owner of a connection. */
typedef struct backend_callbacks {
	void (*opened)(void *context);
	/* the answer to the call with this tag has arrived; it is NULL if it
	   could not be decoded or reports an error */
	void (*answered)(void *context, backend_call_t, uint64_t tag,
	    const ProtobufCMessage *);
	void (*ping_acked)(void *context);
	/* last callback; the owner then calls close() */
	void (*closed)(void *context, int32_t error);
} backend_callbacks_t;

/* Operations of a connection. */
typedef struct backend_ops {
	backend_t *(*open)(GMainContext *, const char *address, uint32_t port,
	    const backend_callbacks_t *, void *context);
	/* returns 0, or a negative error number if nothing was sent */
	int32_t (*call)(backend_t *, backend_call_t, uint64_t tag,
	    const ProtobufCMessage *);
	void (*ping)(backend_t *);
	void (*close)(backend_t *);
} backend_ops_t;

extern const backend_ops_t backend_h2;

#endif
