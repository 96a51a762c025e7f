#ifndef DECIDE_FAILOVER_INTERNAL_H
#define DECIDE_FAILOVER_INTERNAL_H

#include "failover.h"

/*
 * Private to the failover of a group.  A file calls only files below it:
 *
 * failover.c		the state machine
 * failover_fencing.c	promises of a new term, and their withdrawal
 * failover_promotion.c	the order to promote a database, and what follows
 * failover_handover.c	a primary that hands over
 * failover_choice.c	the database that is promoted
 * failover_orders.c	recorded orders, and what they may have replaced
 * failover_views.c	what is known of each database, and of the primary
 * failover_standing.c	standing promises
 * former_members.c	members that were recorded before
 * failover_state.c	change of the state and of the databases; back-off
 */

/* Time for the databases to answer before a failover is attempted. */
#define LEARNING_US (US_PER_SECOND / 4)

/* failover_fencing.c */
void start_fencing(
    failover_t *, bool handover, int64_t now_us, failover_actions_t *);
void revoke_again(failover_t *);
void ask_again(failover_t *, int64_t now_us, failover_actions_t *);
void request_standing(failover_t *, int32_t chosen, failover_actions_t *);
void release_attempt_promises(
    failover_t *, int64_t now_us, failover_actions_t *);
bool stray_promise(failover_t *, int64_t now_us);
bool stray_promises_releasable(
    failover_t *, int64_t now_us, failover_actions_t *);
void release_stray_promises(failover_t *, failover_actions_t *);

/* failover_promotion.c */
void note_order(failover_t *, int64_t now_us);
bool order_pending(failover_t *, int64_t now_us);
bool order_pending_elsewhere(failover_t *, int32_t chosen, int64_t now_us);
int64_t promises_held_since(const failover_t *, uint64_t term, int64_t now_us);
void send_follow(failover_t *, int64_t now_us, failover_actions_t *);

/* failover_handover.c */
bool can_hand_over(const failover_t *, int64_t now_us);
bool handover_waits(const failover_t *, int64_t now_us);

/* failover_orders.c */
uint64_t newest_number(const failover_t *);
bool maybe_replaced(const failover_t *);

/* failover_views.c */
uint64_t newest_term(const failover_t *);
uint64_t highest_promised_term(const failover_t *);
uint32_t known_count(const failover_t *);
bool full_primary_possible(const failover_t *, int64_t now_us);
bool primary_unresponsive(const failover_t *, int64_t now_us, int64_t limit_us);
bool primary_isolated(const failover_t *, int64_t now_us);
bool primary_replaced(const failover_t *);

/* failover_state.c */
void enter_state(failover_t *, failover_state_t, int64_t now_us);
void back_off(failover_t *, int64_t now_us);

#endif
