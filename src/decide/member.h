#ifndef DECIDE_MEMBER_H
#define DECIDE_MEMBER_H

#include "decide.h"

#include <glib.h>

/*
 * Group membership of the daemons by the SWIM protocol: members probe each
 * other in random order, a failed probe makes a member suspect only if another
 * member cannot reach it either, and changes spread on the probe messages.
 */

/* At the same incarnation a later state overrides an earlier one. */
typedef enum member_state {
	MEMBER_ALIVE,
	MEMBER_SUSPECT,
	MEMBER_DRAINED, /* has announced that it is leaving */
	MEMBER_DEAD,
} member_state_t;

/* Attributes of a member, as the daemons tell them to each other. */
typedef struct member_attrs {
	const char *name;
	const char *address;
	const char *zone;
	uint32_t port;
	uint64_t incarnation;
	member_state_t state;
} member_news_t;

typedef struct member {
	member_news_t news; /* strings are owned by the table */
	int64_t since_us;   /* time of the last change of state */
	uint32_t told;      /* number of messages that carried this state */
} member_t;

typedef enum member_action_kind {
	MEMBER_PING,         /* probe the target */
	MEMBER_UNANSWERED,   /* the target did not answer the probe in time */
	MEMBER_PING_THROUGH, /* ask the helper to probe the target */
	MEMBER_CHANGED,      /* the target's state has changed */
} member_kind_t;

typedef struct member_action {
	member_kind_t kind;
	const member_t *target;
	const member_t *helper;
	uint64_t sequence;
} member_action_t;

typedef struct member_limits {
	/* between probes */
	int64_t interval_us;
	/* for the answer to a direct probe, and again for the helpers */
	int64_t timeout_us;
	/* for a suspected member to refute the suspicion */
	int64_t suspicion_us;
	/* dead members are kept in the table for this time */
	int64_t forget_us;
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
uint32_t members_news(members_t *, const member_t **chosen, uint32_t max);

#endif
