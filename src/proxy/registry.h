#ifndef PROXY_REGISTRY_H
#define PROXY_REGISTRY_H

#include "proxy.h"

/*
 * Inside the registry's task.  registry.c: the role, the configuration and
 * the databases.  duty.c: the duty to order changes of primary, and the
 * orders.  daemons.c: the records of the daemons.
 */

typedef struct registry registry_t;

/* One kind of object that is followed. */
typedef struct follower {
	registry_t *registry;
	object_kind_t kind;
	bool listing;
	bool known; /* listed at least once */
	uint64_t revision;
	GSource *again;
	bool lost;       /* the last call failed */
	int64_t lost_us; /* since when */
	int64_t back_us; /* since when it answers again */
} follower_t;

struct registry {
	const proxy_t *proxy;
	task_t *task;
	objects_t *objects;
	promoter_t *promoter;
	follower_t config;
	follower_t servers;
	arena_t *arena; /* of catalog without the servers */
	Bp__Catalog *catalog;
	GHashTable *entries; /* of entry_t by name */
	GSource *lapse;      /* while some are missing */
	bool published;
	uint64_t token;     /* while the duty is held */
	bool duty_open;     /* a call about it is under way */
	uint64_t duty_seen; /* revision of the record, as it was read last */
	bool ordered;       /* under this token */
	bool store_lost;    /* when the daemons were to be listed last */
	GList *orders;      /* of order_t, that wait for something */
	/* the daemons */
	uint32_t daemons;  /* that were listed last */
	uint64_t revision; /* of our own record; 0: not known */
	uint64_t beat;     /* of our own record */
	bool leaving;
	int64_t listed_us; /* since; 0: our record may be gone */
	int64_t beaten_us; /* the last beat that was answered was sent */
	int64_t beat_sent_us;
	int64_t looked_us; /* at the records, the last time */
	bool beat_open;    /* a call about it is under way */
	GHashTable *beats; /* of beat_t by name */
	GSource *beat_tick;
};

/* duty.c */
void duty_claim(registry_t *);
void duty_wanted(void *registry, msg_t *);
void promotion_wanted(void *registry, msg_t *);
void order_confirmed(void *registry, msg_t *);
void duty_stop(registry_t *);

/* daemons.c */
void daemons_start(registry_t *);
void daemons_leave(registry_t *);
void daemons_stop(registry_t *);
void revoke_wanted(void *registry, msg_t *);
void daemons_ask_last(registry_t *, msg_t *);

#endif
