#ifndef PROXY_OBJECTS_H
#define PROXY_OBJECTS_H

#include "bergamotplank.h"
#include "proxy.pb-c.h"

#include <gio/gio.h>

/*
 * Client of the platform's object store, behind a table of callbacks: calls on
 * versioned objects, and parsers for their contents.  Each asynchronous call
 * runs its callback exactly once, in the main loop of the task that made the
 * call, unless the client is closed first.
 */
typedef struct object_store object_store_t;

/* Kinds of object that the daemon reads or writes. */
typedef enum object_kind {
	OBJECT_CONFIG,      /* the configuration; written by the operator */
	OBJECT_SERVER,      /* one object per server; written by the server */
	OBJECT_COORDINATOR, /* DutyRecord: names the coordinator */
	OBJECT_DAEMON,      /* DaemonRecord: one object per proxy daemon */
	OBJECT_KINDS,
} object_kind_t;

/* Which objects a list may show. */
typedef enum object_age {
	OBJECTS_LATEST,
	OBJECTS_OLD, /* may be seconds old; costs the store less */
} object_age_t;

/* Log of the objects that could not be used. */
typedef struct rejections rejections_t;

/* One version of an object; valid only during the callback. */
typedef struct object {
	const char *name;
	uint64_t revision;
	bool deleted;
	/* parsed JSON; argument of the read_ functions; NULL: not readable */
	const void *content;
	const char *problem;      /* why the content is not readable, or NULL */
	rejections_t *rejections; /* of the client; NULL: nothing is logged */
} object_t;

typedef enum object_store_status {
	OBJECT_STORE_OK,
	/* the object has another revision, or exists already */
	OBJECT_STORE_CONFLICT,
	OBJECT_STORE_NOT_FOUND,
	OBJECT_STORE_COMPACTED,   /* watch revision too old; list again */
	OBJECT_STORE_REFUSED,     /* call not executed; retry later */
	OBJECT_STORE_NO_RESPONSE, /* call may have been executed */
} object_store_status_t;

/*
 * Response to a call.  After a conflict the list may hold the object's current
 * version.
 */
typedef struct object_store_response {
	object_store_status_t status;
	const object_t *list;
	uint32_t count;
	uint64_t revision; /* store revision from which to watch for changes */
	/* rises when the store comes back from an older copy, and revisions are
	   given out again; 0: not known */
	uint64_t era;
} object_store_response_t;

typedef void (*object_store_cb)(void *context, const object_store_response_t *);

typedef struct object_store_ops {
	object_store_t *(*open)(const char *address, uint32_t timeout_ms);
	/* lists all objects of a kind; some may be newer than the response's
	   revision */
	void (*list)(object_store_t *, object_kind_t, object_age_t,
	    object_store_cb, void *context);
	/* long poll: completes when an object has changed after the revision,
	   or after wait_ms */
	void (*watch)(object_store_t *, object_kind_t, uint64_t revision,
	    uint32_t wait_ms, object_store_cb, void *context);
	void (*get)(object_store_t *, object_kind_t, const char *name,
	    object_store_cb, void *context);
	/* writes if the object still has this revision; 0: creates it */
	void (*put_coordinator)(object_store_t *, const char *name,
	    uint64_t revision, const Bp__DutyRecord *, object_store_cb,
	    void *context);
	void (*put_daemon)(object_store_t *, uint64_t revision,
	    const Bp__DaemonRecord *, object_store_cb, void *context);
	void (*remove)(object_store_t *, object_kind_t, const char *name,
	    uint64_t revision, object_store_cb, void *context);
	void (*close)(object_store_t *);
	/* parsers; false or NULL: the content is malformed or invalid, which
	   they log once for each revision */
	bool (*read_config)(const object_t *, arena_t *, Bp__Catalog *);
	Bp__Server *(*read_server)(const object_t *, arena_t *);
	Bp__DutyRecord *(*read_coordinator)(const object_t *, arena_t *);
	Bp__DaemonRecord *(*read_daemon)(const object_t *, arena_t *);
} object_store_ops_t;

/* Client of the platform's call that makes a server primary of its group. */
typedef struct promoter promoter_t;

typedef enum promoter_status {
	PROMOTER_ACCEPTED,
	PROMOTER_REFUSED, /* server down, or the fencing token is outdated */
	PROMOTER_NO_RESPONSE, /* the promotion may still take effect */
} promoter_status_t;

typedef void (*promoter_cb)(void *context, promoter_status_t);

typedef struct promoter_ops {
	/* delivery_ms: time in which an order is written, and again in which
	   it is received; it is given up otherwise */
	promoter_t *(*open)(
	    const char *address, uint32_t timeout_ms, uint32_t delivery_ms);
	/* holder, token: the caller's name and fencing token, from the
	   coordinator record */
	void (*promote)(promoter_t *, const char *group, const char *server,
	    const char *holder, uint64_t token, promoter_cb, void *context);
	void (*close)(promoter_t *);
} promoter_ops_t;

#endif
