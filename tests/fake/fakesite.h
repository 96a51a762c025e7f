#ifndef FAKESITE_H
#define FAKESITE_H

#include "../../src/bergamotplank.h"

#include <gio/gio.h>
#include <libsoup/soup.h>

/*
 * Internals of fakesite, which simulates the platform that the proxy runs on:
 * an object store, an endpoint that promotes databases, and one group of
 * databases that speak the line protocol.
 *
 * fakesite.c: the program and the endpoints for promotion and for tests.
 * fakestore.c: the object store.
 * fakegroup.c: the databases.
 */

#define GROUP_DATABASES_MAX 5

/*
 * Number of connections to a port that wait to be accepted.  The kernel drops
 * those of further ones, which are tried again only after a second.
 */
#define LISTEN_BACKLOG 512

/* The object store. */
typedef struct object_store object_store_t;

object_store_t *object_store_new(SoupServer *);
void object_store_put(
    object_store_t *, const char *kind, const char *name, const char *spec);
void object_store_remove(object_store_t *, const char *kind, const char *name);
uint32_t object_store_watch_requests(const object_store_t *);
uint32_t object_store_requests(const object_store_t *);
void object_store_inject_fault(object_store_t *, const char *fault);
void object_store_daemons_at(object_store_t *, const char *address);
void object_store_port_address(
    object_store_t *, uint16_t port, const char *address);
bool object_store_port_fault(
    object_store_t *, uint16_t port, const char *fault);

/* A group of databases. */
typedef struct db_group db_group_t;

typedef struct db_group_plan {
	const char *name;
	uint32_t first_number; /* of its databases, which also have their ids */
	uint32_t first_port;
	uint32_t databases_count;
	uint32_t lag_ms;
	uint32_t service_ms;
} db_group_plan_t;

db_group_t *db_group_new(object_store_t *, const db_group_plan_t *);
bool db_group_promote(db_group_t *, const char *id);
bool db_group_inject_fault(db_group_t *, const char *fault, uint32_t database);
char *db_group_item_value(db_group_t *, const char *item);
const char *db_group_outdated(const db_group_t *);
const char *db_group_drained(const db_group_t *);
const char *db_group_promoted(const db_group_t *);
const char *db_group_revived(const db_group_t *);
const char *db_group_executed(const db_group_t *);
const char *db_group_received(const db_group_t *);

#endif
