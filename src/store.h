#ifndef STORE_H
#define STORE_H

#include "bergamotplank.h"
#include "platform.pb-c.h"

#include <gio/gio.h>

/*
 * The platform's object API, behind a table of callbacks.  Every call is
 * answered exactly once, from the loop of the task that made it.
 */
typedef struct store store_t;

/* NULL object, list or VMs: no answer, or one that cannot be read. */
typedef void (*store_object_cb)(
    void *context, uint32_t status, const Bp__Object *);
typedef void (*store_list_cb)(void *context, const Bp__ObjectList *);
typedef void (*store_vms_cb)(void *context, const Bp__VmList *);

typedef struct store_ops {
	store_t *(*open)(
	    const char *address, uint32_t port, uint32_t timeout_ms);
	/* after 0 lists at once; else waits until the revision is above it */
	void (*list)(store_t *, const char *prefix, uint64_t after,
	    store_list_cb, void *context);
	void (*update)(store_t *, const char *name, uint64_t version,
	    const char *mark, const char *value, store_object_cb, void *);
	void (*vms)(store_t *, store_vms_cb, void *context);
	void (*close)(store_t *);
} store_ops_t;

#define STORE_OK 200
#define STORE_CONFLICT 409

extern const store_ops_t store_http;

#endif
