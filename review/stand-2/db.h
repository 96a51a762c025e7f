#ifndef REVIEW_DB_H
#define REVIEW_DB_H

#include "../../src/bergamotplank.h"
#include "../../src/proxy/lines.h"
#include "../../src/sock.h"
#include "../../tests/fake/fakesite.h"

#include <stdio.h>

/*
 * Stand-ins for the cases of this folder: a group of databases that speak the
 * line protocol and replicate, and the endpoint that promotes one of them.  The
 * object store is the project's own, tests/fake/fakestore.c.
 */

#define DBS_MAX 5

/* One commit in the log of a database. */
typedef struct entry {
	uint64_t term;
	char *id; /* of the consumer's query that wrote it */
	char *item;
	char *data;
	int64_t at_ms; /* time of the commit at the primary */
} entry_t;

typedef struct db db_t;

/* A group of databases. */
typedef struct site {
	object_store_t *store;
	const char *base;    /* first three bytes of all addresses */
	const char *service; /* name of the service */
	uint32_t count;
	uint32_t sync_replicas;
	uint32_t promote_ms;
	db_t *dbs[DBS_MAX];
	db_t *promoting; /* database that is being promoted, or NULL */
	int64_t promote_due_ms;
	int64_t promoted_ms; /* time of the last promotion */
	/* called when a promotion takes effect, before logs are truncated */
	void (*promoted)(db_t *);
	FILE *record;
	int64_t start_ms;
} site_t;

struct db {
	site_t *site;
	char *id;
	char *address;
	uint32_t port;
	bool running;
	bool dark; /* answers nothing */
	bool deaf; /* receives nothing from the primary */
	bool primary;
	bool draining;
	uint64_t term;
	uint64_t paused_term;
	uint64_t born;
	uint32_t lag_ms;  /* time after which a commit is received */
	uint32_t work_ms; /* time that a read or write takes */
	uint32_t sequence;
	int64_t lapses_ms; /* time at which its entry lapses; 0: it does not */
	GPtrArray *log;
	GSocket *listener;
	GSource *accept_source;
	GList *conns;
};

site_t *site_new(
    const char *base, const char *service, uint32_t count, FILE *record);
bool site_listen(site_t *, SoupServer *, uint32_t port);
void site_note(site_t *, const char *format, ...) G_GNUC_PRINTF(2, 3);
int64_t site_now_ms(const site_t *);
db_t *site_primary(site_t *);
bool site_promote(site_t *, const char *id);
void site_publish_config(site_t *, const char *json);
void db_publish(db_t *);
void db_kill(db_t *);
void db_reborn(db_t *);
void db_go_dark(db_t *);
void db_return(db_t *);
bool db_has_query(const db_t *, const char *id);

#endif
