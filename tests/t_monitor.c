#include "../src/proxy/monitor_internal.h"
#include "cases.h"

/*
 * Test that a position of a newer term, in any answer of a server, still counts
 * after the server has left the list.
 */
static void
test_position_kept(void)
{
	failover_limits_t limits = {.suspect_us = 1, .revocable = true};
	group_t group = {
	    .count = 3, .lease = {.term = 1, .expires_us = INT64_MAX}};
	server_t server = {.group = &group, .index = 2};

	failover_init(&group.failover, &limits, group.count, 1, 0);
	monitor_reply_received(&server, (position_t){2, 60}, 1000);
	g_assert_cmpuint(lease_newest_term(&group.lease), ==, 2);
	failover_clear(&group.failover);
}

typedef struct denied_case {
	const char *name;
	bool unresponsive; /* the primary does not answer */
	bool unknown;      /* the store has not told who is the coordinator */
	int64_t due_ms;    /* time since which there is something to do */
	int64_t asked_ms;  /* next time of asking for the role */
} denied_case_t;

#define DENIED_MS 8000
#define DELAY_MS 1000

static const denied_case_t denied_cases[] = {
    {"another daemon, and the primary is silent", true, false, 7000, 9000},
    {"no answer, and the primary is silent", true, true, 7000, 9000},
    {"another daemon, and leases are held up", false, false, 2000, 14000},
    {"no answer, and leases are held up", false, true, 2000, 9000},
    {"there is nothing to do", false, true, 0, 0},
};

/*
 * Test when a daemon asks for the coordinator role again.  A single answer of
 * the store that was lost does not cost the time that a coordinator has.
 */
static void
test_denied(gconstpointer data)
{
	const denied_case_t *c = data;
	pool_t pool = {.takeover_delay_us = DELAY_MS * US_PER_MS};
	group_t group = {.pool = &pool,
	    .unresponsive = c->unresponsive,
	    .failover_due_since_us = c->due_ms * US_PER_MS};

	monitor_coordinator_denied(&group, c->unknown, DENIED_MS * US_PER_MS);
	g_assert_cmpint(monitor_takeover_us(&group, c->unresponsive), ==,
	    c->asked_ms * US_PER_MS);
}

#define SEEN_MS 1000
#define LEASE_MS 2000

typedef struct awaited_case {
	const char *name;
	bool due;          /* the primary is unresponsive */
	bool revoker_lost; /* the connection of the coordinator has ended */
	int64_t after_ms;  /* time since the last sign of the attempt */
	bool awaited;      /* expected */
	int64_t asked_ms;  /* the same: when the role is asked for */
} awaited_case_t;

static const awaited_case_t awaited_cases[] = {
    {"leases may have to end", true, false, LEASE_MS + DELAY_MS - 1, true,
	SEEN_MS + DELAY_MS},
    {"leases have ended", true, false, LEASE_MS + DELAY_MS, false,
	SEEN_MS + DELAY_MS},
    {"the coordinator has likely ended", true, true, 1, false,
	SEEN_MS + DELAY_MS - 900},
    {"a mere sign, and the coordinator has likely ended", false, true, 1, false,
	SEEN_MS + DELAY_MS + 5000},
};

/*
 * Test how long a daemon waits for a coordinator that may be waiting for leases
 * to end, before it asks for the role.
 */
static void
test_awaited(gconstpointer data)
{
	const awaited_case_t *c = data;
	pool_t pool = {.takeover_delay_us = DELAY_MS * US_PER_MS,
	    .lease_durations = {.long_us = LEASE_MS * US_PER_MS}};
	group_t group = {.pool = &pool,
	    .unresponsive = c->due,
	    .revoker_lost = c->revoker_lost,
	    .failover_seen_us = SEEN_MS * US_PER_MS,
	    .failover_due_since_us = SEEN_MS * US_PER_MS};

	g_assert_cmpint(monitor_leases_awaited(&group, c->due,
			    (SEEN_MS + c->after_ms) * US_PER_MS),
	    ==, c->awaited);
	g_assert_cmpint(
	    monitor_takeover_us(&group, c->due), ==, c->asked_ms * US_PER_MS);
}

#define PROMOTION_MS 1500

typedef struct role_lost_case {
	const char *name;
	failover_state_t state; /* of the attempt, as the role is lost */
	int64_t after_ms;       /* time since then */
	bool in_progress;       /* expected: statements wait for the attempt */
} role_lost_case_t;

static const role_lost_case_t role_lost_cases[] = {
    {"promises are asked for", FAILOVER_FENCING, 0, false},
    {"the order may take effect", FAILOVER_PROMOTING, PROMOTION_MS - 1, true},
    {"the order has shown no effect", FAILOVER_PROMOTING, PROMOTION_MS, false},
};

/*
 * Test that a daemon that has lost the role of coordinator does not go on with
 * its attempt, for which statements that need the primary wait.
 */
static void
test_role_lost(gconstpointer data)
{
	const role_lost_case_t *c = data;
	failover_limits_t limits = {.suspect_us = 1,
	    .promotion_us = PROMOTION_MS * US_PER_MS,
	    .backoff_us = US_PER_MS,
	    .revocable = true};
	int64_t now_us = DENIED_MS * US_PER_MS;
	pool_t pool = {.is_coordinator = false};
	group_t group = {.pool = &pool};

	failover_init(&group.failover, &limits, 0, 1, now_us);
	open_orders_init(&group.open_orders);
	group.failover.state = c->state;
	monitor_tick(&group, now_us + c->after_ms * US_PER_MS);
	g_assert_cmpint(group_failover_in_progress(
			    &group, now_us + c->after_ms * US_PER_MS),
	    ==, c->in_progress);
	open_orders_clear(&group.open_orders);
	failover_clear(&group.failover);
}

typedef struct confirmed_case {
	const char *name;
	bool held;
	int64_t answered_ms; /* age of the request when its answer arrives */
	bool confirmed;
} confirmed_case_t;

static const confirmed_case_t confirmed_cases[] = {
    {"an answer at once", true, 0, true},
    {"a late answer", true, 600, true},
    {"an answer that is too late", true, 900, false},
    {"another daemon is named", false, 0, false},
};

/*
 * Test that the role counts as confirmed for a while after the request that the
 * store has answered with it, however late the answer is.
 */
static void
test_confirmed(gconstpointer data)
{
	const confirmed_case_t *c = data;
	Bp__ProxyTimeouts timeouts = BP__PROXY_TIMEOUTS__INIT;
	Bp__ProxySettings settings = BP__PROXY_SETTINGS__INIT;
	proxy_t proxy = {.settings = &settings};
	msg_t *msg = msg_new(&bp__duty_changed__descriptor);
	Bp__DutyChanged *changed = (Bp__DutyChanged *)msg->body;
	int64_t now_us = clock_us();
	pool_t *pool;
	uint32_t i;

	settings.timeouts = &timeouts;
	pool = pool_new(&proxy);
	changed->held = c->held;
	changed->token = c->held ? 5 : 0;
	changed->has_first = changed->first = c->held;
	changed->has_asked_us = c->held;
	changed->asked_us =
	    c->held ? (uint64_t)(now_us - c->answered_ms * US_PER_MS) : 0;
	for (i = 0; i < pool_ops.handlers_count; i++) {
		if (pool_ops.handlers[i].type == msg->body->descriptor)
			break;
	}
	g_assert_cmpuint(i, <, pool_ops.handlers_count);
	pool_ops.handlers[i].handle(pool, msg);
	g_assert_cmpint(pool->is_coordinator, ==, c->held);
	g_assert_cmpint(
	    coordinator_confirmed(pool, clock_us()), ==, c->confirmed);
	pool_free(pool);
}

typedef struct due_case {
	const char *name;
	bool leaving;
	bool primary;     /* there is one */
	int64_t since_ms; /* noted before; 0: not due */
	int64_t due_ms;   /* expected */
} due_case_t;

#define DUE_MS 8000

static const due_case_t due_cases[] = {
    {"the primary has begun to leave", true, true, 0, DUE_MS},
    {"it has been leaving", true, true, 6000, 6000},
    {"it stays", false, true, 6000, 0},
    {"no primary is known", true, false, 6000, 0},
};

/*
 * Test since when a handover is due at a daemon that is not the coordinator: it
 * does not wait anew when it gets the role.
 */
static void
test_due(gconstpointer data)
{
	const due_case_t *c = data;
	failover_limits_t limits = {.suspect_us = US_PER_SECOND};
	server_t server = {.leaving = c->leaving};
	group_t group = {
	    .count = 1, .handover_due_since_us = c->since_ms * US_PER_MS};

	group.servers[0] = &server;
	failover_init(&group.failover, &limits, group.count, 1, 0);
	group.failover.views[0] =
	    (db_view_t){.known = true, .primary = c->primary, .promised = 1};
	watch_handover(&group, DUE_MS * US_PER_MS);
	g_assert_cmpint(group.handover_due_since_us, ==, c->due_ms * US_PER_MS);
	failover_clear(&group.failover);
}

typedef struct progress_case {
	const char *name;
	Bp__RevokeState state;
	int64_t asked_ms; /* time of the request that was answered */
	uint64_t token;
	bool begun;       /* it told that a primary leads the term */
	bool revoked;     /* expected: all have revoked their leases */
	bool told;        /* expected: all know that a primary leads it */
	bool coordinator; /* this daemon still is */
} progress_case_t;

/* Time and token of the last request; an earlier one had the same number. */
#define ASKED_MS 5000
#define ASKED_TOKEN 7

static const progress_case_t progress_cases[] = {
    {"the last request", BP__REVOKE_STATE__ALL, ASKED_MS, ASKED_TOKEN, false,
	true, false, true},
    {"a notice of the same number", BP__REVOKE_STATE__ALL, ASKED_MS + 400,
	ASKED_TOKEN, true, false, true, true},
    {"an earlier request of the same number", BP__REVOKE_STATE__ALL,
	ASKED_MS - 400, ASKED_TOKEN, false, false, false, true},
    {"a newer token", BP__REVOKE_STATE__OUTDATED, ASKED_MS, ASKED_TOKEN, false,
	false, false, false},
    {"a newer token than one that was replaced here",
	BP__REVOKE_STATE__OUTDATED, ASKED_MS - 400, ASKED_TOKEN - 1, false,
	false, false, true},
};

/*
 * Test that an answer counts for the request that it answers.
 */
static void
test_progress(gconstpointer data)
{
	const progress_case_t *c = data;
	failover_limits_t limits = {.suspect_us = 1, .revocable = true};
	pool_t pool = {.is_coordinator = true, .fencing_token = ASKED_TOKEN};
	group_t group = {
	    .pool = &pool, .leases_asked_us = ASKED_MS * US_PER_MS};
	Bp__RevokeEnded ended = BP__REVOKE_ENDED__INIT;

	failover_init(&group.failover, &limits, 0, 1, 0);
	open_orders_init(&group.open_orders);
	group.failover.state = FAILOVER_FENCING;
	group.failover.term = group.failover.fenced_term = ended.term = 2;
	group.failover.notice_term = 2;
	ended.group = (char *)"ledger";
	ended.state = c->state;
	ended.token = c->token;
	ended.begun = c->begun;
	ended.asked_us = (uint64_t)(c->asked_ms * US_PER_MS);
	monitor_revocation_progress(&group, &ended);
	g_assert_cmpint(group.failover.revoked_by_all, ==, c->revoked);
	g_assert_cmpint(group.failover.notice_confirmed_us != 0, ==, c->told);
	g_assert_cmpint(pool.is_coordinator, ==, c->coordinator);
	open_orders_clear(&group.open_orders);
	failover_clear(&group.failover);
}

/*
 * Register the tests and run them.
 */
int
main(int argc, char **argv)
{
	g_test_init(&argc, &argv, NULL);
	g_test_set_nonfatal_assertions();
	g_test_add_func("/monitor/position-kept", test_position_kept);
	CASES("/monitor/awaited", awaited_cases, test_awaited);
	CASES("/monitor/coordinator-denied", denied_cases, test_denied);
	CASES("/monitor/role-lost", role_lost_cases, test_role_lost);
	CASES("/monitor/confirmed", confirmed_cases, test_confirmed);
	CASES("/monitor/handover-due", due_cases, test_due);
	CASES("/monitor/progress", progress_cases, test_progress);
	return g_test_run();
}
