#ifndef DECIDE_MEMBER_H
#define DECIDE_MEMBER_H

#include "decide.h"

#include <glib.h>

/*
 * Membership by probing each other in turn, with suspicion confirmed by more
 * than one witness, and news carried on the probes.
 */

typedef enum member_state {
	MEMBER_ALIVE,
	MEMBER_SUSPECT,
	MEMBER_DRAINED, /* leaves by its own word */
	MEMBER_DEAD,
} member_state_t;

/* What daemons tell each other about one of them. */
typedef struct member_news {
	const char *name;
	const char *address;
	const char *zone;
	uint32_t port;
	uint64_t incarnation;
	member_state_t state;
} member_news_t;

typedef struct member {
	member_news_t news; /* its strings are the table's */
	int64_t since_us;   /* of the state */
	uint32_t told;      /* times passed on */
} member_t;

typedef enum member_kind {
	MEMBER_PING,         /* probe the target */
	MEMBER_UNANSWERED,   /* a direct probe had no answer in time */
	MEMBER_PING_THROUGH, /* ask helper to probe the target */
	MEMBER_CHANGED,      /* the target's state has changed */
} member_kind_t;

typedef struct member_action {
	member_kind_t kind;
	const member_t *target;
	const member_t *helper;
	uint64_t sequence;
} member_action_t;

typedef struct member_limits {
	int64_t interval_us;  /* between probes */
	int64_t timeout_us;   /* for an answer, direct or through helpers */
	int64_t suspicion_us; /* to deny a suspicion */
	int64_t forget_us;    /* the dead are kept this long */
} member_limits_t;

typedef struct members members_t;

members_t *members_new(
    const member_limits_t *, const member_news_t *self, uint32_t seed);
void members_free(members_t *);
bool members_hear(members_t *, const member_news_t *, int64_t now_us);
void members_acked(members_t *, const char *name);
void members_reached(members_t *, uint64_t sequence);
void members_lost(members_t *, const char *name, int64_t now_us);
void members_helper_failed(members_t *, uint64_t sequence);
bool members_tick(members_t *, int64_t now_us, member_action_t *);
void members_leave(members_t *);
const member_t *members_self(const members_t *);
const member_t *members_find(const members_t *, const char *name);
uint32_t members_count(const members_t *);
const member_t *members_at(const members_t *, uint32_t);
uint32_t members_news(members_t *, const member_t **to, uint32_t max);

#endif
