#ifndef BACKEND_H
#define BACKEND_H

#include "bergamotplank.h"
#include "database.pb-c.h"

#include <gio/gio.h>

/*
 * A connection to one database, behind a table of callbacks so that another
 * kind of database can be met without a change to the groups' task.
 */
typedef struct backend backend_t;

typedef enum backend_call {
	BACKEND_STATEMENT, /* DbStatement -> DbAnswer */
	BACKEND_STATUS,    /* nothing -> DbStatus */
	BACKEND_FENCE,     /* DbFence -> DbAnswer */
	BACKEND_PROMOTE,   /* DbPromote -> DbAnswer */
	BACKEND_FOLLOW,    /* DbFollow -> DbAnswer */
	BACKEND_CALL_KINDS,
} backend_call_t;

/* What the owner of a connection is told. */
typedef struct backend_callbacks {
	void (*opened)(void *context);
	/* NULL: the answer could not be read; tag is that of the call */
	void (*answered)(void *context, backend_call_t, uint64_t tag,
	    const ProtobufCMessage *);
	void (*ponged)(void *context);
	/* the last call; the owner then calls close */
	void (*closed)(void *context, int32_t error);
} backend_callbacks_t;

typedef struct backend_ops {
	backend_t *(*open)(GMainContext *, const char *address, uint32_t port,
	    const backend_callbacks_t *, void *context);
	/* 0, or a negative error number when nothing was sent */
	int32_t (*call)(backend_t *, backend_call_t, uint64_t tag,
	    const ProtobufCMessage *);
	void (*ping)(backend_t *);
	void (*close)(backend_t *);
} backend_ops_t;

extern const backend_ops_t backend_h2;

#endif
