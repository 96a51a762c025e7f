#ifndef PROXY_OBJECTS_H
#define PROXY_OBJECTS_H

#include "bergamotplank.h"
#include "proxy.pb-c.h"

#include <gio/gio.h>

/*
 * The platform, behind tables of callbacks: its store of versioned objects,
 * what lies in them, and the calls that one daemon at a time may make.  Every
 * call is answered exactly once, from the loop of the task that made it,
 * unless the client is closed before.
 */
typedef struct objects objects_t;

/* The kinds of object that the daemon reads or writes. */
typedef enum object_kind {
	OBJECTS_CONFIG,  /* one, written by the operator */
	OBJECTS_SERVERS, /* one for each database, by itself */
	OBJECTS_DUTIES,  /* our own: DutyRecord */
	OBJECTS_DAEMONS, /* our own: DaemonRecord */
	OBJECT_KINDS,
} object_kind_t;

/* One object; valid during the callback. */
typedef struct object {
	const char *name;
	uint64_t revision;
	bool deleted;
	const void *content; /* for the decoders */
} object_t;

typedef enum objects_status {
	OBJECTS_OK,
	OBJECTS_CONFLICT, /* changed meanwhile, or exists already */
	OBJECTS_MISSING,
	OBJECTS_HISTORY_GONE, /* list anew */
	OBJECTS_REFUSED,      /* not done; try later */
	OBJECTS_NO_ANSWER,    /* may have been done */
} objects_status_t;

typedef struct objects_answer {
	objects_status_t status;
	const object_t *list;
	uint32_t count;
	uint64_t revision; /* of the store: watch on from here */
} objects_answer_t;

typedef void (*objects_cb)(void *context, const objects_answer_t *);

typedef struct objects_ops {
	objects_t *(*open)(const char *address, uint32_t timeout_ms);
	/* all objects of a kind; some may be newer than the revision */
	void (*list)(objects_t *, object_kind_t, objects_cb, void *context);
	/* answered when something has changed, or after wait_ms */
	void (*watch)(objects_t *, object_kind_t, uint64_t revision,
	    uint32_t wait_ms, objects_cb, void *context);
	void (*get)(objects_t *, object_kind_t, const char *name, objects_cb,
	    void *context);
	/* revision 0 creates */
	void (*put_duty)(objects_t *, const char *name, uint64_t revision,
	    const Bp__DutyRecord *, objects_cb, void *context);
	void (*put_daemon)(objects_t *, uint64_t revision,
	    const Bp__DaemonRecord *, objects_cb, void *context);
	void (*remove)(objects_t *, object_kind_t, const char *name,
	    uint64_t revision, objects_cb, void *context);
	void (*close)(objects_t *);
	/* false: it cannot be read, or means nothing here */
	bool (*read_config)(const object_t *, arena_t *, Bp__Catalog *);
	Bp__Server *(*read_server)(const object_t *, arena_t *);
	Bp__DutyRecord *(*read_duty)(const object_t *, arena_t *);
	Bp__DaemonRecord *(*read_daemon)(const object_t *, arena_t *);
} objects_ops_t;

/* The order to make a server the primary of its group. */
typedef struct promoter promoter_t;

typedef enum promoter_status {
	PROMOTER_ACCEPTED,
	PROMOTER_REFUSED,   /* the server is not running, or a newer holder */
	PROMOTER_NO_ANSWER, /* it may come into effect */
} promoter_status_t;

typedef void (*promoter_cb)(void *context, promoter_status_t);

typedef struct promoter_ops {
	promoter_t *(*open)(const char *address, uint32_t timeout_ms);
	void (*promote)(promoter_t *, const char *group, const char *server,
	    const char *holder, uint64_t token, promoter_cb, void *context);
	void (*close)(promoter_t *);
} promoter_ops_t;

#endif
