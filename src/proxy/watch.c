#include "pool.h"

#include <string.h>

/* What is known of the servers of a group, and changes of primary. */

/*
 * From the last grant to the order: leases of daemons that are not listed
 * must be over when the new primary begins, and the platform takes
 * PROMOTE_MIN_US at the least.
 */
#define SETTLE_MIN_US (150 * US_PER_MS)
#define PROMOTE_MIN_US (100 * US_PER_MS)

/* Leases are renewed when so much of them is left, in percent. */
#define RENEW_PERCENT 35

/* Between two questions for one lease, to each server. */
#define ASK_AGAIN_US (60 * US_PER_MS)

/* A server that has answered nothing for this long is asked for its state. */
#define SILENT_US (150 * US_PER_MS)

/* An idle primary is asked this often, so that reads of replicas have a
   position to be compared with. */
#define IDLE_PRIMARY_US (800 * US_PER_MS)

/* Every server is asked this often at the least. */
#define IDLE_SERVER_US (8000 * US_PER_MS)

/*
 * A daemon that has just started changes no primary: the databases may have
 * many connections to open at once.
 */
#define STARTUP_US (1500 * US_PER_MS)

/* What the record said of the duty holds for so long, for this purpose. */
#define DUTY_READ_US (800 * US_PER_MS)

/* A question to the daemons that gives no lease back. */
#define NO_TERM 0

/*
 * A primary that is well hands over only when all daemons have answered this
 * recently, or, after some time, most: else it would step down and leave a gap.
 */
#define HEARD_US (2 * US_PER_SECOND)
#define ASK_DAEMONS_US (500 * US_PER_MS)

/* While a change of primary goes on. */
#define CHANGING_US (40 * US_PER_MS)

#define SAMPLE_SPACING_US (50 * US_PER_MS)
#define CATCH_UP_US (150 * US_PER_MS)
#define FENCE_US (500 * US_PER_MS)
#define RAISE_US (1500 * US_PER_MS)
#define CHANGE_US (1500 * US_PER_MS)
#define BACKOFF_US (100 * US_PER_MS)

/*
 * The holder of the duty is given this long to replace a silent primary, from
 * the last sign that it does; and each daemon a different time more, so that
 * they do not take the duty from each other.
 */
#define DUTY_PATIENCE_US (900 * US_PER_MS)
#define DUTY_SPREAD_US (600 * US_PER_MS)

/*
 * How long each step of a change of primary may take.
 */
void
proxy_limits(const Bp__ProxyTimeouts *timeouts, promote_limits_t *limits)
{
	memset(limits, 0, sizeof(*limits));
	limits->suspect_us = (int64_t)timeouts->suspect_ms * US_PER_MS;
	limits->distrust_us = 5 * limits->suspect_us;
	limits->fence_us = FENCE_US;
	limits->raise_us = RAISE_US;
	limits->backoff_us = BACKOFF_US;
	limits->settle_us =
	    (int64_t)timeouts->lease_ms * US_PER_MS - PROMOTE_MIN_US;
	limits->settle_min_us = SETTLE_MIN_US;
	limits->catch_up_us = CATCH_UP_US;
	limits->revocable = true;
}

/*
 * Begin to watch a group.
 */
void
watch_init(group_t *group, int64_t now_us)
{
	promote_limits_t limits;

	proxy_limits(group->pool->proxy->settings->timeouts, &limits);
	promote_init(&group->promote, &limits, group->count,
	    g_rand_int(group->pool->rand), now_us);
}

/*
 * Work out anew until when the primary is certainly the only one.
 */
static void
lease_update(group_t *group, int64_t now_us)
{
	const promote_t *promote = &group->promote;
	int32_t primary = promote_primary(promote);
	uint64_t before = group->lease.term;

	pool_check_listed(group->pool, now_us);
	if (primary < 0 ||
	    !lease_renew(&group->lease, promote->views, group->count,
		(uint32_t)primary, now_us, &group->pool->spans))
		return;
	if (group->lease.term != before)
		report_primary(group, group->servers[primary], now_us);
	operations_release(group, now_us);
}

/*
 * A server answered something, and said where its log stands.  A newer term
 * than the lease's says that the primary has been replaced.
 */
void
watch_alive(server_t *server, position_t position, int64_t now_us)
{
	group_t *group = server->group;

	if (server->gone)
		return;
	promote_alive(&group->promote, server->index, now_us);
	promote_positioned(&group->promote, server->index, position);
	if (position.term <= group->lease.term || group->lease.term == 0 ||
	    group->lease.until_us == 0)
		return;
	lease_revoke(&group->lease, position.term, now_us);
	group->changing_us = now_us;
}

/*
 * A server refuses connections.
 */
void
watch_refused(server_t *server)
{
	if (!server->gone)
		promote_refused(
		    &server->group->promote, server->index, clock_us());
}

/*
 * The primary answered a statement that was sent at sent_us: whatever was
 * acknowledged before stands at or before its position.
 */
void
watch_primary_answered(server_t *server, position_t position, int64_t sent_us)
{
	group_t *group = server->group;
	sample_t sample = {sent_us, position};

	if (server->gone || position.term != group->lease.term ||
	    (int32_t)server->index != promote_primary(&group->promote) ||
	    group->lease.until_us < sent_us)
		return;
	samples_add(&group->samples, sample, SAMPLE_SPACING_US);
}

/*
 * Ask a server for its state, unless a question is out already.
 */
void
watch_ask(server_t *server, int64_t now_us)
{
	dbconn_t *conn = server->control;

	if (conn == NULL || !conn->open || server->status_open)
		return;
	server->status_open = true;
	server->asked_us = now_us;
	server->group->pool->wire->status(conn->out);
	dbconn_expect(conn, EXPECT_STATUS, 0);
	dbconn_send(conn);
}

/*
 * Most daemons, or all, have given back their leases below a term; or one
 * knows of a newer holder of the duty, and this daemon has it no longer.
 */
void
watch_settled(group_t *group, const Bp__RevokeEnded *ended)
{
	int64_t now_us = clock_us();

	if (ended->state == BP__REVOKE_STATE__OUTDATED) {
		group->pool->duty = false;
		promote_outdated(&group->promote, ended->term, now_us);
		return;
	}
	group->pool->most_heard_us = now_us;
	if (ended->state == BP__REVOKE_STATE__ALL)
		group->pool->all_heard_us = now_us;
	promote_settled(&group->promote, ended->term,
	    ended->state == BP__REVOKE_STATE__ALL, now_us);
}

/*
 * The primary is being replaced by another daemon: give the lease back, and
 * look for the new primary.
 */
void
watch_revoke(group_t *group, uint64_t term, int64_t now_us)
{
	if (term == NO_TERM)
		return; /* it is only asked whether the daemon answers */
	report_lease_given_back(group, term, now_us);
	lease_revoke(&group->lease, term, now_us);
	group->changing_us = now_us;
}

/*
 * The duty is another daemon's: it is given its time from now on.
 */
void
watch_duty_denied(group_t *group, int64_t now_us)
{
	if (group->suspected_us != 0)
		group->suspected_us = now_us;
}

/*
 * A daemon's own patience with the holder of the duty.
 */
int64_t
watch_patience_us(GRand *rand)
{
	return DUTY_PATIENCE_US + g_rand_int_range(rand, 0, DUTY_SPREAD_US);
}

/*
 * Whether a server carried out what was ordered, and what that means for the
 * change of primary under way.
 */
static void
order_answered(server_t *server, const server_status_t *status,
    const expect_t *expect, db_view_t *view, int64_t now_us)
{
	group_t *group = server->group;
	bool granted = expect->kind == EXPECT_STEP_DOWN
	    ? !status->primary
	    : !status->primary && status->held_term >= expect->term;

	if (granted)
		view->promised = MAX(view->promised, expect->term);
	promote_fenced(&group->promote, server->index, expect->term, granted,
	    view, now_us);
}

/*
 * Log what a server says of itself when that has changed.
 */
static void
note_change(
    server_t *server, const server_status_t *status, const expect_t *expect)
{
	if (server->term == status->term &&
	    server->held_term == status->held_term &&
	    server->primary == status->primary)
		return;
	report_server_changed(server, status, expect->sent_us);
	if (status->held_term > server->held_term)
		server->group->changing_us = clock_us();
	server->term = status->term;
	server->held_term = status->held_term;
	server->primary = status->primary;
}

/*
 * A server told its state.
 */
void
watch_status(server_t *server, const server_status_t *status,
    const expect_t *expect, position_t applied)
{
	group_t *group = server->group;
	promote_t *promote = &group->promote;
	int64_t now_us = clock_us();
	db_view_t view = {0};

	if (server->gone)
		return;
	view.known = true;
	view.primary = status->primary;
	view.leaving = server->leaving;
	view.promised = status->primary ? status->term
					: MAX(status->term, status->held_term);
	view.last = status->received;
	view.asked_us = expect->sent_us;
	server->busy = status->busy;
	server->lag_ms = status->lag_ms;
	server->connections = status->connections;
	server->applied = applied;
	note_change(server, status, expect);
	promote_observed(promote, server->index, &view, now_us);
	if (expect->kind == EXPECT_HOLD || expect->kind == EXPECT_STEP_DOWN)
		order_answered(server, status, expect, &view, now_us);
	if (promote->state == PROMOTE_RAISING &&
	    server->index == promote->chosen && status->primary &&
	    status->term > group->lease.term)
		promote_raised(
		    promote, server->index, promote->term, true, &view, now_us);
	lease_update(group, now_us);
	watch_primary_answered(server, status->received, expect->sent_us);
	dispatch(group, now_us);
}

/*
 * Have the registry read whose the duty is, and take it where it may be taken.
 */
static void
ask_for_duty(pool_t *pool)
{
	if (pool->duty_asked)
		return;
	pool->duty_asked = true;
	task_send(pool->proxy->registry, pool->task,
	    msg_new(&bp__duty_wanted__descriptor));
}

/*
 * Whether a hold may be taken back: it is the one that this daemon put, or
 * nobody else can be relying on it, since the record has just said that the
 * duty is ours.
 */
static bool
may_release(const server_t *server, uint64_t term, int64_t now_us)
{
	pool_t *pool = server->group->pool;

	if (term != 0)
		return server->held_term == term;
	if (now_us - pool->duty_read_us < DUTY_READ_US)
		return true;
	ask_for_duty(pool);
	return false;
}

/*
 * Have the registry order that a server becomes the primary.
 */
static void
order_promotion(server_t *server, uint64_t term)
{
	pool_t *pool = server->group->pool;
	msg_t *msg = msg_new(&bp__promotion_wanted__descriptor);
	Bp__PromotionWanted *wanted = (Bp__PromotionWanted *)msg->body;

	report_order(server, term);
	wanted->group = arena_strdup(msg->arena, server->group->name);
	wanted->server = arena_strdup(msg->arena, server->id);
	wanted->term = term;
	wanted->heard_us = (uint64_t)server->group->promote.settled_us;
	task_send(pool->proxy->registry, pool->task, msg);
}

/*
 * Have all daemons give back their leases below a term, this one first.
 */
static void
ask_to_settle(group_t *group, uint64_t term, int64_t now_us)
{
	pool_t *pool = group->pool;
	msg_t *msg = msg_new(&bp__revoke_wanted__descriptor);
	Bp__RevokeWanted *wanted = (Bp__RevokeWanted *)msg->body;

	watch_revoke(group, term, now_us);
	pool->daemons_asked_us = now_us;
	wanted->group = arena_strdup(msg->arena, group->name);
	wanted->term = term;
	wanted->token = pool->token;
	task_send(pool->proxy->registry, pool->task, msg);
}

/*
 * Carry out one step of a change of primary.
 */
static void
act(group_t *group, const promote_action_t *action, int64_t now_us)
{
	server_t *server = group->servers[action->database];
	const wire_ops_t *wire = group->pool->wire;
	dbconn_t *conn = server->control;
	bool primary = group->promote.views[action->database].primary;

	switch (action->kind) {
	case PROMOTE_SETTLE:
		ask_to_settle(group, action->term, now_us);
		return;
	case PROMOTE_ASK_WITNESS:
		promote_witness_heard(
		    &group->promote, group->promote.witness, false, now_us);
		return;
	case PROMOTE_RAISE:
		order_promotion(server, action->term);
		return;
	default:
		break;
	}
	if (conn == NULL || !conn->open ||
	    (action->kind == PROMOTE_RELEASE &&
		!may_release(server, action->term, now_us)))
		return;
	report_step(group, action);
	if (action->kind == PROMOTE_RELEASE) {
		wire->resume(conn->out);
		dbconn_expect(conn, EXPECT_RESUME, 0);
	} else if (primary) {
		wire->step_down(conn->out, action->term);
		dbconn_expect(conn, EXPECT_STEP_DOWN, action->term);
	} else if (action->kind == PROMOTE_FENCE) {
		wire->hold(conn->out, action->term);
		dbconn_expect(conn, EXPECT_HOLD, action->term);
	}
	dbconn_send(conn);
}

/*
 * The order to promote was answered.  That it was accepted shows when the
 * server says so itself.
 */
void
watch_promoted(group_t *group, const Bp__PromotionEnded *ended, int64_t now_us)
{
	promote_t *promote = &group->promote;

	if (ended->accepted || promote->state != PROMOTE_RAISING ||
	    ended->term != promote->term)
		return;
	promote_raised(promote, promote->chosen, promote->term, false,
	    &promote->views[promote->chosen], now_us);
}

/*
 * Tell whether a change of primary goes on, as far as is known here.
 */
bool
watch_changing(const group_t *group, int64_t now_us)
{
	return group->promote.state == PROMOTE_FENCING ||
	    group->promote.state == PROMOTE_RAISING ||
	    now_us - group->changing_us < CHANGE_US;
}

/*
 * How long after the last question a server is asked for its state again.
 * Questions are not free, so there is one for each lease, put to the replica
 * that was asked least recently, and few besides.
 */
static int64_t
ask_after_us(const server_t *server, int64_t now_us)
{
	const group_t *group = server->group;
	const lease_span_t *spans = &group->pool->spans;
	int64_t span_us =
	    spans->known_us != 0 ? spans->long_us : spans->short_us;
	int32_t primary = promote_primary(&group->promote);
	uint32_t i;

	if (watch_changing(group, now_us) || primary < 0)
		return CHANGING_US;
	if (server->unanswered > 0 &&
	    now_us - server->unanswered_us >= SILENT_US)
		return SILENT_US;
	if ((int32_t)server->index == primary)
		return samples_age_us(&group->samples, now_us) >=
			IDLE_PRIMARY_US
		    ? IDLE_PRIMARY_US
		    : IDLE_SERVER_US;
	if (group->lease.until_us - now_us >= span_us * RENEW_PERCENT / 100)
		return IDLE_SERVER_US;
	if (group->lease.until_us - now_us >=
	    span_us * RENEW_PERCENT / 100 - ASK_AGAIN_US) {
		for (i = 0; i < group->count; i++) {
			if ((int32_t)i != primary &&
			    server_usable(group->servers[i], now_us) &&
			    group->servers[i]->asked_us < server->asked_us)
				return IDLE_SERVER_US;
		}
	}
	return ASK_AGAIN_US;
}

/*
 * Keep the control connection of a server open, and ask when it is time.
 */
static void
probe(server_t *server, int64_t now_us)
{
	const Bp__ProxyTimeouts *timeouts =
	    server->group->pool->proxy->settings->timeouts;
	int64_t timeout_us = (int64_t)timeouts->status_timeout_ms * US_PER_MS;
	dbconn_t *conn = server->control;

	if (conn == NULL) {
		if (now_us >= server->reopen_us)
			dbconn_open(server, true);
		return;
	}
	if (conn->expected->len > 0 && conn->operation == NULL &&
	    now_us -
		    MAX(g_array_index(conn->expected, expect_t, 0).sent_us,
			conn->began_us) >=
		timeout_us) {
		dbconn_fail(conn, "a question has no answer");
		return;
	}
	if (now_us - server->asked_us < ask_after_us(server, now_us))
		return;
	/* behind a statement a question waits: another connection shows life */
	if (conn->operation != NULL && server->conns->len == 0)
		dbconns_grow(server, 1, now_us);
	watch_ask(server, now_us);
}

/*
 * Whether a change of primary is due that this daemon does not make: a silent
 * primary, or one that leaves, for longer than the holder of the duty needs.
 */
static void
consider_duty(group_t *group, int64_t now_us)
{
	int32_t primary = promote_primary(&group->promote);
	bool leaving = primary >= 0 && group->servers[primary]->leaving;
	int64_t patience_us;

	if (!leaving && !group->silent) {
		group->suspected_us = 0;
		return;
	}
	if (group->suspected_us == 0)
		group->suspected_us = now_us;
	/* a change that was begun may have to wait for leases to run out */
	patience_us = group->pool->duty_patience_us;
	if (now_us - group->suspected_us >= patience_us && !group->pool->duty &&
	    (group->changing_us == 0 ||
		now_us - group->changing_us >=
		    patience_us + group->pool->spans.long_us))
		ask_for_duty(group->pool);
}

/*
 * Tell whether a server that answers stays, to take over from one that
 * leaves.
 */
static bool
some_stay(const group_t *group, int64_t now_us)
{
	uint32_t i;

	for (i = 0; i < group->count; i++) {
		if (server_usable(group->servers[i], now_us))
			return true;
	}
	return false;
}

/*
 * Tell whether a handover that is due may begin; the daemons are asked first.
 */
static bool
may_hand_over(group_t *group, int64_t now_us)
{
	pool_t *pool = group->pool;

	if (group->handover_us == 0)
		group->handover_us = now_us;
	if (now_us - pool->all_heard_us < HEARD_US ||
	    (now_us - group->handover_us >= HEARD_US &&
		now_us - pool->most_heard_us < HEARD_US))
		return true;
	if (now_us - pool->daemons_asked_us >= ASK_DAEMONS_US)
		ask_to_settle(group, NO_TERM, now_us);
	return false;
}

/*
 * Tell whether the primary has to serve all reads alone, so that a replica is
 * to take over.
 */
static bool
relief_wanted(group_t *group, uint32_t primary, int64_t now_us)
{
	relief_view_t views[GROUP_DATABASES_MAX];
	uint32_t i;

	for (i = 0; i < group->count; i++) {
		const server_t *server = group->servers[i];

		views[i].usable = server_usable(server, now_us);
		views[i].slots = server->slots;
		views[i].reported_busy = server->busy;
		views[i].lag_ms = server->lag_ms;
		views[i].received = group->promote.views[i].last;
	}
	return relief_due(&group->relief, views, group->count, primary, now_us);
}

/*
 * Hand over to a replica when the primary leaves, or has to serve all reads
 * alone.
 */
static void
consider_handover(group_t *group, int64_t now_us)
{
	int32_t primary = promote_primary(&group->promote);
	bool leaving;

	if (primary < 0 || group->promote.state != PROMOTE_STEADY) {
		group->handover_us = 0;
		return;
	}
	leaving = group->servers[primary]->leaving && some_stay(group, now_us);
	if (!leaving && !relief_wanted(group, (uint32_t)primary, now_us)) {
		group->handover_us = 0;
		return;
	}
	if (!may_hand_over(group, now_us))
		return;
	report_handover(group, group->servers[primary], leaving);
	relief_given(&group->relief, now_us);
	promote_handover(&group->promote, now_us);
}

/*
 * Watch the servers of a group, and change its primary when that is due and
 * this daemon's duty.
 */
void
watch_tick(group_t *group, int64_t now_us)
{
	promote_t *promote = &group->promote;
	promote_actions_t actions;
	bool silent;
	uint32_t i;

	for (i = 0; i < group->count; i++) {
		const server_t *server = group->servers[i];

		promote->views[i].leaving = server->leaving;
		if (server->unanswered == 0 && !server->silent)
			promote_idle(promote, i, now_us);
		probe(group->servers[i], now_us);
		dbconns_tick(group->servers[i], now_us);
	}
	silent = promote_suspects(promote, now_us);
	if (silent != group->silent) {
		group->silent = silent;
		report_suspected(group, now_us);
	}
	if (now_us - group->pool->started_us < STARTUP_US)
		return;
	consider_duty(group, now_us);
	if (!group->pool->duty || group->count == 0)
		return;
	consider_handover(group, now_us);
	promote_tick(promote, now_us, &actions);
	for (i = 0; i < actions.count; i++)
		act(group, &actions.list[i], now_us);
}
