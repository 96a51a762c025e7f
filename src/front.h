#ifndef FRONT_H
#define FRONT_H

#include "callers.h"
#include "daemon.h"
#include "decide/decide.h"
#include "document.h"
#include "question.h"
#include "task.pb-c.h"

#include <libsoup/soup.h>

/*
 * Inside the callers' task.  front.c: the role and the callers' HTTP side.
 * route.c: where a statement goes, and what is answered.  oper.c: the
 * operators' HTTP side.
 */

typedef struct front_role front_role_t;

typedef enum front_counter {
	COUNT_REQUESTS,
	COUNT_BAD_REQUESTS,
	COUNT_TOO_LARGE,
	COUNT_TOO_SLOW,
	COUNT_TOO_MANY,
	COUNT_REROUTED,
	COUNT_LATE_ANSWERS,
	COUNT_CONNECTIONS, /* a gauge, the last */
	COUNT_FRONT_COUNTERS,
} front_counter_t;

/* A document in force, as this task keeps it. */
typedef struct front_team {
	arena_t *arena;
	Bp__Document *document;
	uint64_t version;
} front_team_t;

/* One caller's request that waits for its answer. */
typedef struct pending {
	front_role_t *role;
	uint64_t route; /* the key */
	arena_t *arena;
	SoupServerMessage *message;
	Bp__CallerRequest *request;
	Bp__SessionToken *session;
	Bp__Statement *statement;
	char *daemon; /* that has it now */
	bool repeatable;
	bool may_have_run;
	uint32_t tries;
	int64_t deadline_us;
} pending_t;

struct front_role {
	const daemon_t *daemon;
	task_t *task;
	SoupServer *callers;
	SoupServer *operators;
	GHashTable *teams;   /* of front_team_t */
	GHashTable *pending; /* of pending_t by route */
	questions_t *questions;
	GHashTable *bodies; /* of body_t: requests being read */
	callers_t *connections;
	GPtrArray *members; /* names that may own a group */
	GHashTable *owners; /* of them, by group, until members change */
	GHashTable *living; /* names of members that may hold something */
	GSource *tick;
	retry_t retry;
	uint64_t next_route;
	bool draining;
	bool drained;
	uint64_t counts[COUNT_FRONT_COUNTERS];
};

/* route.c */
void route_begin(
    front_role_t *, SoupServerMessage *, const char *body, uint64_t size_bytes);
void route_answered(front_role_t *, const Bp__StatementAnswered *);
void route_expire(front_role_t *, int64_t now_us);
void route_end(front_role_t *);
void pending_free(gpointer);
void front_refuse(
    front_role_t *, SoupServerMessage *, Bp__Reason, const char *text);
void front_drain_check(front_role_t *);

/* oper.c */
int32_t oper_start(front_role_t *);

#endif
