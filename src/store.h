#ifndef STORE_H
#define STORE_H

#include "bergamotplank.h"
#include "platform.pb-c.h"

#include <gio/gio.h>

/*
 * The platform's object API, as a table of callbacks.  The callback of each
 * call is called exactly once, from the main loop of the task that made the
 * call, unless close() comes first.
 */
typedef struct store store_t;

/*
 * The object or list is NULL if there was no answer or it could not be
 * decoded.
 */
typedef void (*store_object_cb)(
    void *context, uint32_t status, const Bp__Object *);
typedef void (*store_list_cb)(void *context, const Bp__ObjectList *);
typedef void (*store_vms_cb)(void *context, const Bp__VmList *);

typedef struct store_ops {
	store_t *(*open)(
	    const char *address, uint32_t port, uint32_t timeout_ms);
	/* at once if after_revision is 0, else at a later revision */
	void (*list)(store_t *, const char *prefix, uint64_t after_revision,
	    store_list_cb, void *context);
	/* if the version is outdated: a conflict, with the current object */
	void (*update)(store_t *, const char *name, uint64_t version,
	    const char *mark, const char *value, store_object_cb, void *);
	void (*vms)(store_t *, store_vms_cb, void *context);
	void (*close)(store_t *);
} store_ops_t;

#define STORE_OK 200
#define STORE_CONFLICT 409

extern const store_ops_t store_http;

#endif
