#include "failover_choice.h"
#include "failover_internal.h"
#include "failover_standing.h"

/*
 * Longest time between two calls of failover_tick() in an attempt.  What a
 * process knows of the databases is out of date after a longer pause.
 */
#define TICK_GAP_MAX_US (US_PER_SECOND * 2 / 5)

/*
 * Tell whether an attempt can succeed: a database that can take over answers.
 * Otherwise no promise is asked for, since those that hold leases on the newest
 * primary would lose them in vain.
 */
static bool
attempt_possible(failover_t *failover, int64_t now_us)
{
	failover->no_candidate =
	    !(failover->handover && can_hand_over(failover, now_us)
		    ? failover_successor_answers(failover, now_us)
		    : failover_candidate_answers(failover, now_us));
	return !failover->no_candidate;
}

/*
 * Process the answer of the witness.  When the witness reaches the primary,
 * the failover waits until the primary has not answered for
 * witness_override_us.
 */
void
failover_witness_answered(
    failover_t *failover, uint64_t request, bool reached, int64_t now_us)
{
	if (failover->state != FAILOVER_WITNESS ||
	    request != failover->witness_request)
		return;
	if (reached) {
		failover->wait_until_us = now_us + failover->limits.suspect_us;
		enter_state(failover, FAILOVER_BACKOFF, now_us);
	} else {
		/* expire the time limit: the next tick starts to fence */
		failover->state_entered_us =
		    now_us - failover->limits.witness_us;
	}
}

/*
 * Handle LEARNING and BACKOFF: go to STEADY when a primary answers and no
 * handover is requested; where promises cannot be withdrawn, there must be none
 * above the primary's term either.  Otherwise start an attempt when the wait is
 * over, a majority of the databases has answered, and no other one may be the
 * primary.
 */
static void
tick_waiting(failover_t *failover, int64_t now_us, failover_actions_t *actions)
{
	int32_t primary = failover_primary(failover);

	if (primary >= 0 &&
	    (failover->limits.revocable ||
		failover->views[primary].promised ==
		    highest_promised_term(failover)) &&
	    !primary_unresponsive(
		failover, now_us, failover->limits.suspect_us) &&
	    !failover->handover) {
		failover->failures = 0;
		enter_state(failover, FAILOVER_STEADY, now_us);
		return;
	}
	if (now_us < failover->wait_until_us ||
	    known_count(failover) < majority_of(failover->count) ||
	    (primary < 0 && full_primary_possible(failover, now_us)))
		return;
	if (primary >= 0 && failover->failures == 0 && !failover->handover &&
	    !primary_unresponsive(
		failover, now_us, failover->limits.witness_override_us)) {
		/*
		 * The witness reached the primary: ask again until the primary
		 * has been unresponsive for long enough to act in spite of it.
		 */
		failover->witness_request++;
		actions->list[actions->count++] = (failover_action_t){
		    FAILOVER_ASK_WITNESS, (uint32_t)primary, 0};
		enter_state(failover, FAILOVER_WITNESS, now_us);
		return;
	}
	if (!handover_waits(failover, now_us) &&
	    attempt_possible(failover, now_us))
		start_fencing(failover, failover->handover, now_us, actions);
}

/*
 * Handle STEADY: make the other databases follow the primary.  Start a failover
 * when the primary is unresponsive, isolated or to hand over, or when a stray
 * promise cannot be withdrawn.  Look for the new primary when it has been
 * replaced.
 */
static void
tick_steady(failover_t *failover, int64_t now_us, failover_actions_t *actions)
{
	int32_t primary = failover_primary(failover);

	if (primary < 0) {
		failover->wait_until_us = now_us;
		enter_state(failover, FAILOVER_LEARNING, now_us);
		return;
	}
	if (primary_replaced(failover)) {
		failover->wait_until_us = now_us + LEARNING_US;
		enter_state(failover, FAILOVER_LEARNING, now_us);
		return;
	}
	if (maybe_replaced(failover) &&
	    now_us - MAX(failover->recorded_us, failover->unaware_since_us) >=
		failover->limits.order_late_us &&
	    failover_successor_answers(failover, now_us)) {
		/* a newer term shows which primary is the newest */
		start_fencing(failover, true, now_us, actions);
		return;
	}
	if (failover->limits.revocable && !failover->store_away &&
	    !order_pending(failover, now_us) && !maybe_replaced(failover) &&
	    stray_promise(failover, now_us) &&
	    stray_promises_releasable(failover, now_us, actions))
		/* again with each tick, until the coordinator may do so */
		release_stray_promises(failover, actions);
	if (((failover->handover && !handover_waits(failover, now_us)) ||
		(stray_promise(failover, now_us) &&
		    (!failover->limits.revocable ||
			order_pending(failover, now_us)))) &&
	    attempt_possible(failover, now_us)) {
		failover->stray_promise_us = 0;
		start_fencing(failover, failover->handover, now_us, actions);
		return;
	}
	if (primary_isolated(failover, now_us)) {
		failover->isolated = primary;
		if (attempt_possible(failover, now_us)) {
			start_fencing(
			    failover, failover->handover, now_us, actions);
			return;
		}
		failover->isolated = -1;
	}
	send_follow(failover, now_us, actions);
	if (primary_unresponsive(
		failover, now_us, failover->limits.suspect_us)) {
		failover->witness_request++;
		actions->list[actions->count++] = (failover_action_t){
		    FAILOVER_ASK_WITNESS, (uint32_t)primary, 0};
		enter_state(failover, FAILOVER_WITNESS, now_us);
	}
}

/*
 * Handle WITNESS: return to STEADY when the primary answers again.  Start to
 * fence when the witness does not reach the primary or does not answer in time.
 */
static void
tick_witness(failover_t *failover, int64_t now_us, failover_actions_t *actions)
{
	if (!primary_unresponsive(
		failover, now_us, failover->limits.suspect_us))
		enter_state(failover, FAILOVER_STEADY, now_us);
	else if (now_us - failover->state_entered_us >=
		failover->limits.witness_us &&
	    attempt_possible(failover, now_us))
		start_fencing(failover, failover->handover, now_us, actions);
}

/*
 * Handle FENCING: until enough databases have promised the term, ask those as
 * well that answer only now.  Then tell the daemons to revoke their leases,
 * wait until these have ended, and promote the most advanced database.  Back
 * off when that takes too long, or when none can be promoted.
 */
static void
tick_fencing(failover_t *failover, int64_t now_us, failover_actions_t *actions)
{
	int32_t chosen = ready_to_promote(failover, now_us);
	bool enough = grants_suffice(failover);
	bool provable =
	    !failover->store_away || standing_proves_order(failover, chosen);

	if (!enough) {
		revoke_again(failover);
		ask_again(failover, now_us, actions);
	}
	if (enough && !failover->revocation_sent &&
	    failover->limits.lease_wait_us > 0) {
		failover->revocation_sent = true;
		actions->list[actions->count++] = (failover_action_t){
		    FAILOVER_REVOKE_LEASES, 0, failover->term};
	}
	if (newest_term(failover) > failover->fenced_from_term) {
		back_off(failover, now_us);
		failover->wait_until_us =
		    MAX(failover->wait_until_us, now_us + LEARNING_US);
	} else if (chosen >= 0 && !provable && !failover->standing_asked) {
		request_standing(failover, chosen, actions);
	} else if (chosen >= 0 &&
	    !order_pending_elsewhere(failover, chosen, now_us) && provable) {
		failover->chosen = (uint32_t)chosen;
		actions->list[actions->count++] = (failover_action_t){
		    FAILOVER_PROMOTE, failover->chosen, failover->term};
		standing_ordered(failover, failover->term, true);
		note_order(failover, now_us);
		enter_state(failover, FAILOVER_PROMOTING, now_us);
	} else if (enough && failover->stepping_down < 0 &&
	    !candidate_granted(failover, now_us)) {
		failover->no_candidate = true;
		release_attempt_promises(failover, now_us, actions);
		back_off(failover, now_us);
	} else if (now_us - failover->fence_began_us >=
	    failover->limits.fence_us +
		(enough ? failover->limits.lease_wait_us : 0)) {
		release_attempt_promises(failover, now_us, actions);
		back_off(failover, now_us);
	}
}

/*
 * Handle PROMOTING: cancel the order when a newer term has begun, in case it
 * has not been sent yet.  The attempt ends when another database is the primary
 * of that term, or the order has shown no effect in time; a replica may report
 * the term of the promoted database before that one does.
 */
static void
tick_promoting(
    failover_t *failover, int64_t now_us, failover_actions_t *actions)
{
	bool stands = failover_order_stands(failover, failover->term);
	bool expired = now_us - failover->state_entered_us >=
	    failover->limits.promotion_us;
	int32_t primary = failover_primary(failover);

	if ((!stands || expired) && failover->limits.revocable &&
	    failover->cancelled_term != failover->term) {
		failover->cancelled_term = failover->term;
		actions->list[actions->count++] =
		    (failover_action_t){FAILOVER_CANCEL_PROMOTION,
			failover->chosen, failover->term};
	}
	if (expired ||
	    (!stands && primary >= 0 && primary != (int32_t)failover->chosen))
		back_off(failover, now_us);
}

/*
 * Advance the state machine and return the actions to carry out now.  To be
 * called at intervals far below suspect_us.
 */
void
failover_tick(failover_t *failover, int64_t now_us, failover_actions_t *actions)
{
	bool paused = now_us - failover->ticked_us > TICK_GAP_MAX_US;

	actions->count = 0;
	failover->ticked_us = now_us;
	if (paused && failover->state == FAILOVER_FENCING)
		back_off(failover, now_us);
	switch (failover->state) {
	case FAILOVER_LEARNING:
	case FAILOVER_BACKOFF:
		tick_waiting(failover, now_us, actions);
		break;
	case FAILOVER_STEADY:
		tick_steady(failover, now_us, actions);
		break;
	case FAILOVER_WITNESS:
		tick_witness(failover, now_us, actions);
		break;
	case FAILOVER_FENCING:
		tick_fencing(failover, now_us, actions);
		break;
	case FAILOVER_PROMOTING:
		tick_promoting(failover, now_us, actions);
		break;
	}
	if (failover->state == FAILOVER_STEADY && !failover->handover &&
	    !primary_unresponsive(
		failover, now_us, failover->limits.suspect_us))
		failover->no_candidate = false;
}

/*
 * Advance what is left of an attempt of a daemon that has lost the right to
 * change the primary.  Promises that are not complete lead to no order any
 * more; an order that was decided may have been sent, and may take effect.
 */
void
failover_tick_denied(
    failover_t *failover, int64_t now_us, failover_actions_t *actions)
{
	actions->count = 0;
	if (failover->state == FAILOVER_FENCING)
		back_off(failover, now_us);
	else if (failover->state == FAILOVER_PROMOTING)
		tick_promoting(failover, now_us, actions);
}
