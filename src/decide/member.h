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

/* Attributes of a member, which the daemons send to each other. */
typedef struct member_attrs {
	const char *name;
	const char *address;
	const char *zone;
	uint32_t port;
	uint64_t incarnation;
	member_state_t state;
} member_attrs_t;

/* Entry of the table of members. */
typedef struct member {
	member_attrs_t attrs;     /* strings are owned by the table */
	int64_t state_changed_us; /* time of the last change of state */
	uint32_t transmits; /* number of messages that carried this state */
} member_t;

typedef enum member_action_kind {
	MEMBER_PING,          /* probe the target */
	MEMBER_PING_TIMEOUT,  /* the target did not answer the probe in time */
	MEMBER_PING_INDIRECT, /* ask the helper to probe the target */
	MEMBER_STATE_CHANGED, /* the target's state has changed */
} member_action_kind_t;

/* An action that members_tick() requests, or a change that it reports. */
typedef struct member_action {
	member_action_kind_t kind;
	const member_t *target;
	const member_t *helper;
	uint64_t sequence;
} member_action_t;

/* Time limits of the protocol. */
typedef struct member_limits {
	/* time between probes */
	int64_t interval_us;
	/* time limit for a direct probe, and again for the helpers' probes */
	int64_t timeout_us;
	/* time for a suspected member to refute the suspicion */
	int64_t suspicion_us;
	/* time that dead members are kept in the table */
	int64_t dead_retention_us;
} member_limits_t;

/* Table of the members that this daemon knows. */
typedef struct members members_t;

members_t *members_new(
    const member_limits_t *, const member_attrs_t *self, uint32_t seed);
void members_free(members_t *);
bool members_merge(members_t *, const member_attrs_t *, int64_t now_us);
void members_ack(members_t *, const char *name);
void members_indirect_ack(members_t *, uint64_t sequence);
void members_probe_next(members_t *, const char *name, int64_t now_us);
void members_indirect_nack(members_t *, uint64_t sequence);
bool members_tick(members_t *, int64_t now_us, member_action_t *);
void members_leave(members_t *);
const member_t *members_self(const members_t *);
const member_t *members_find(const members_t *, const char *name);
uint32_t members_count(const members_t *);
const member_t *members_at(const members_t *, uint32_t);
uint32_t members_pick_updates(
    members_t *, const member_t **chosen, uint32_t max);

#endif
