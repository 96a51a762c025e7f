#ifndef FAKESITE_H
#define FAKESITE_H

#include "../../src/bergamotplank.h"

#include <gio/gio.h>
#include <libsoup/soup.h>

/*
 * Stand-in for the users' platform: a store of objects, the order to promote,
 * and one group of databases with the line protocol.  fakesite.c: the program
 * and its faults.  fakestore.c: the store.  fakelines.c: the databases.
 */

#define SITE_DATABASES_MAX 5

/* Store. */
typedef struct store_state store_state_t;

store_state_t *store_new(SoupServer *);
void store_put(
    store_state_t *, const char *kind, const char *name, const char *content);
void store_remove(store_state_t *, const char *kind, const char *name);
void store_fault(store_state_t *, const char *what);

/* Databases. */
typedef struct group_state group_state_t;

group_state_t *group_state_new(store_state_t *, const char *name,
    uint32_t first_port, uint32_t count, uint32_t lag_ms, uint32_t work_ms);
bool group_state_promote(group_state_t *, const char *id);
bool group_state_fault(group_state_t *, const char *what, uint32_t database);
char *group_state_value(group_state_t *, const char *item);

#endif
