#ifndef PLATFORM_API_H
#define PLATFORM_API_H

#include "bergamotplank.h"
#include "platform.pb-c.h"

#include <gio/gio.h>

/*
 * The platform's object API, as a table of callbacks.  The callback of each
 * call is called exactly once, from the main loop of the task that made the
 * call, unless close() comes first.
 */
typedef struct platform_api platform_api_t;

/*
 * The object or list is NULL if there was no answer or it could not be
 * decoded.
 */
typedef void (*platform_api_object_cb)(
    void *context, uint32_t status, const Bp__Object *);
typedef void (*platform_api_list_cb)(void *context, const Bp__ObjectList *);
typedef void (*platform_api_vms_cb)(void *context, const Bp__VmList *);

/* Operations of the object API. */
typedef struct platform_api_ops {
	platform_api_t *(*open)(
	    const char *address, uint32_t port, uint32_t timeout_ms);
	/* lists the objects at once if after_revision is 0, else as soon as the
	   revision is higher */
	void (*list_objects)(platform_api_t *, const char *prefix,
	    uint64_t after_revision, platform_api_list_cb, void *context);
	/* the status is PLATFORM_API_CONFLICT, with the current object, if the
	   version is outdated */
	void (*update_object)(platform_api_t *, const char *name,
	    uint64_t version, const char *mark, const char *value,
	    platform_api_object_cb, void *);
	void (*list_vms)(platform_api_t *, platform_api_vms_cb, void *context);
	void (*close)(platform_api_t *);
} platform_api_ops_t;

#define PLATFORM_API_OK 200
#define PLATFORM_API_CONFLICT 409

extern const platform_api_ops_t platform_api_http;

#endif
