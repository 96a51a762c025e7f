#include "order_log.h"
#include "read_log.h"

#include <inttypes.h>

/*
 * The pool's log events: the outcome of statements, and changes in the observed
 * state of the servers and groups.
 */

/* Rate limits by kind of event.  Lines beyond the limit are only counted. */
static const uint32_t log_lines_per_second[LIMITED_EVENTS] = {
    [LIMITED_STATEMENT_FAILED] = 20,
    [LIMITED_STATEMENT_LATE] = 10,
    [LIMITED_STATEMENT_DONE] = 5,
    [LIMITED_STATEMENT_RETRIED] = 10,
    [LIMITED_TRANSACTION_ROLLED_BACK] = 10,
    [LIMITED_CONNECTION_LOST] = 10,
};

/*
 * Tell whether the rate limit permits an event now.  Sets *left_out to the
 * number of lines suppressed before the event.
 */
static bool
may_log(pool_t *pool, limited_event_t kind, int64_t now_us, uint32_t *left_out)
{
	bool allowed = log_rate_limit_allow(&pool->event_limits[kind], now_us,
	    log_lines_per_second[kind], left_out);

	pool->counts[COUNT_LINES_LEFT_OUT] += !allowed;
	return allowed;
}

/*
 * Set *left_ms to the remaining time of a group's lease, negative if it has
 * expired.  Returns false if the group has no lease.
 */
static bool
lease_left_ms(const group_t *group, int64_t now_us, int64_t *left_ms)
{
	*left_ms = (group->lease.expires_us - now_us) / US_PER_MS;
	return group->lease.expires_us != 0;
}

/*
 * Create the record of a group's state as this daemon knows it.  A server is
 * written as ID:IN_FLIGHT/BUSY/CONNECTIONS, with a leading "!" if it is
 * unusable.
 */
static Bp__GroupBelief *
group_belief_new(arena_t *arena, const group_t *group, int64_t now_us)
{
	Bp__GroupBelief *belief = (Bp__GroupBelief *)message_new(
	    arena, &bp__group_belief__descriptor);
	int32_t primary = failover_primary(&group->failover);
	uint32_t i;

	if (primary >= 0)
		belief->primary = group->servers[primary]->id;
	belief->term = group->lease.term;
	belief->has_lease_ms = lease_left_ms(group, now_us, &belief->lease_ms);
	belief->has_change = group->pool->is_coordinator;
	belief->change = (Bp__ChangeState)group->failover.state;
	belief->has_sample_age_ms = group->position_history.count > 0;
	belief->sample_age_ms =
	    position_history_age_us(&group->position_history, now_us) /
	    US_PER_MS;
	belief->primary_queue = rankq_count(group->primary_backlog);
	belief->replica_queue = rankq_count(group->replica_backlog);
	belief->servers = arena_zalloc(
	    arena, sizeof(belief->servers[0]) * (group->count + 1));
	for (i = 0; i < group->count; i++) {
		const server_t *server = group->servers[i];

		belief->servers[belief->n_servers++] =
		    arena_printf(arena, "%s%s:%u/%u/%u",
			server_usable(server, now_us) ? "" : "!", server->id,
			server->in_flight, server->busy, server->conns->len);
	}
	return belief;
}

/*
 * Record the latency of a statement that has ended, and log it within the rate
 * limit.
 */
void
log_statement_ended(
    const operation_t *operation, Bp__Verdict verdict, const char *text)
{
	const Bp__RunOperation *run = operation->run;
	const group_t *group = operation->group;
	pool_t *pool = group->pool;
	int64_t now_us = clock_us();
	int64_t spent_us = now_us - operation->arrived_us;
	position_t floor = {run->floor_term, run->floor_index};
	Bp__StatementEnded ended = BP__STATEMENT_ENDED__INIT;
	limited_event_t kind = verdict != BP__VERDICT__SUCCEEDED
	    ? LIMITED_STATEMENT_FAILED
	    : spent_us >= (int64_t)run->route->target_ms * US_PER_MS
	    ? LIMITED_STATEMENT_LATE
	    : LIMITED_STATEMENT_DONE;
	arena_t *arena;

	latencies_add(pool->latencies, run->route->database,
	    operation->item.rank, verdict, spent_us);
	if (!may_log(pool, kind, now_us, &ended.left_out))
		return;
	arena = arena_new();
	ended.has_left_out = ended.left_out > 0;
	ended.request = log_truncate_text(arena, run->id);
	ended.session = run->session;
	ended.database = log_truncate_text(arena, run->route->database);
	ended.group = group->name;
	ended.kind = run->kind;
	ended.freshness = run->route->freshness;
	ended.max_age_ms = run->route->max_age_ms;
	ended.in_transaction = run->in_transaction;
	ended.verdict = verdict;
	ended.text = log_truncate_text(arena, text);
	ended.spent_ms = spent_us / US_PER_MS;
	ended.target_ms = run->route->target_ms;
	ended.tries = operation->tries + (operation->server_id != NULL);
	if (operation->server_id != NULL) {
		ended.has_running_ms = 1;
		ended.running_ms = (now_us - operation->sent_us) / US_PER_MS;
		ended.server = (char *)operation->server_id;
		ended.applied = format_position(arena, operation->applied);
	}
	ended.needed = format_position(arena, operation->needed);
	ended.floor = format_position(arena, floor);
	ended.has_needed_from = operation->needed.term != 0;
	ended.needed_from = read_needed_from(operation);
	ended.sample = read_sample_message(arena, operation);
	if (run->kind == BP__OPERATION_KIND__READ_ITEM && operation->on_primary)
		ended.lease = lease_basis_message(arena, group, now_us);
	ended.config = pool->config_version;
	if (kind != LIMITED_STATEMENT_DONE)
		ended.belief = group_belief_new(arena, group, now_us);
	log_event(G_LOG_LEVEL_INFO, &ended.base);
	arena_free(arena);
}

/*
 * Log the retry of a statement that did not run or only read.
 */
void
log_statement_retried(
    const operation_t *operation, Bp__Verdict verdict, const char *text)
{
	int64_t now_us = clock_us();
	Bp__StatementRetried retried = BP__STATEMENT_RETRIED__INIT;
	pool_t *pool = operation->group->pool;
	arena_t *arena;

	pool->counts[COUNT_RETRIED]++;
	if (!may_log(
		pool, LIMITED_STATEMENT_RETRIED, now_us, &retried.left_out))
		return;
	arena = arena_new();
	retried.has_left_out = retried.left_out > 0;
	retried.request = log_truncate_text(arena, operation->run->id);
	retried.group = operation->group->name;
	retried.server = (char *)operation->server_id;
	retried.applied = format_position(arena, operation->applied);
	retried.verdict = verdict;
	retried.text = log_truncate_text(arena, text);
	retried.tries = operation->tries;
	retried.spent_ms = (now_us - operation->arrived_us) / US_PER_MS;
	retried.needed = format_position(arena, operation->needed);
	retried.has_needed_from = operation->needed.term != 0;
	retried.needed_from = read_needed_from(operation);
	retried.sample = read_sample_message(arena, operation);
	log_event(G_LOG_LEVEL_INFO, &retried.base);
	arena_free(arena);
}

/*
 * Log that a transaction is rolled back because it was idle for too long.
 */
void
log_transaction_rolled_back(const transaction_t *transaction, int64_t now_us)
{
	Bp__TransactionRolledBack event = BP__TRANSACTION_ROLLED_BACK__INIT;

	if (!may_log(transaction->pool, LIMITED_TRANSACTION_ROLLED_BACK, now_us,
		&event.left_out))
		return;
	event.has_left_out = event.left_out > 0;
	event.session = transaction->session;
	event.group = transaction->group->name;
	event.idle_ms = (now_us - transaction->last_used_us) / US_PER_MS;
	log_event(G_LOG_LEVEL_INFO, &event.base);
}

/*
 * Log that a connection to a server has failed or could not be opened.
 */
void
log_connection_lost(const dbconn_t *conn, const char *text)
{
	Bp__ServerConnectionLost lost = BP__SERVER_CONNECTION_LOST__INIT;
	const server_t *server = conn->server;
	pool_t *pool = server->group->pool;
	arena_t *arena;

	if (!may_log(pool, LIMITED_CONNECTION_LOST, clock_us(), &lost.left_out))
		return;
	arena = arena_new();
	lost.has_left_out = lost.left_out > 0;
	lost.server = server->id;
	lost.group = server->group->name;
	lost.text = log_truncate_text(arena, text);
	lost.opened = conn->open;
	if (conn->operation != NULL)
		lost.request =
		    log_truncate_text(arena, conn->operation->run->id);
	log_event(G_LOG_LEVEL_INFO, &lost.base);
	arena_free(arena);
}

/*
 * Log that a connection to a server was opened after failed attempts.
 */
void
log_server_reached(const server_t *server, int64_t now_us)
{
	Bp__ServerReached reached = BP__SERVER_REACHED__INIT;

	reached.server = server->id;
	reached.group = server->group->name;
	reached.lost_ms = (now_us - server->unreachable_since_us) / US_PER_MS;
	log_event(G_LOG_LEVEL_INFO, &reached.base);
}

/*
 * Log that the reported status of a server has changed.  The status was
 * requested at requested_us.
 */
void
log_server_changed(
    const server_t *server, const server_status_t *status, int64_t requested_us)
{
	Bp__ServerChanged changed = BP__SERVER_CHANGED__INIT;
	arena_t *arena = arena_new();

	changed.server = server->id;
	changed.group = server->group->name;
	changed.primary = status->primary;
	changed.term = status->term;
	changed.held_term = status->paused_until_term;
	changed.received = format_position(arena, status->received);
	if (changed.received == NULL)
		changed.received = (char *)"-";
	changed.age_ms = (clock_us() - requested_us) / US_PER_MS;
	log_event(G_LOG_LEVEL_INFO, &changed.base);
	arena_free(arena);
}

/*
 * Log that a server was added to the catalog or removed from it, or that its
 * mark as leaving has changed.
 */
void
log_server_listed(const server_t *server)
{
	Bp__ServerListed listed = BP__SERVER_LISTED__INIT;
	arena_t *arena = arena_new();

	listed.server = server->id;
	listed.group = server->group->name;
	listed.address =
	    arena_printf(arena, "%s:%u", server->address, server->port);
	listed.leaving = server->leaving;
	listed.has_unlisted = server->unlisted;
	listed.unlisted = server->unlisted;
	listed.gone = server->removed;
	listed.has_reason = server->removed;
	listed.reason = (Bp__RemovalReason)server->removal;
	log_event(G_LOG_LEVEL_INFO, &listed.base);
	arena_free(arena);
}

/*
 * Log that the lease of a group was obtained in a new term.
 */
void
log_primary_confirmed(
    const group_t *group, const server_t *server, int64_t now_us)
{
	Bp__PrimaryConfirmed confirmed = BP__PRIMARY_CONFIRMED__INIT;
	arena_t *arena = arena_new();

	group->pool->counts[COUNT_PRIMARIES_CONFIRMED]++;
	confirmed.group = group->name;
	confirmed.server = server->id;
	confirmed.term = group->lease.term;
	confirmed.has_lease_ms =
	    lease_left_ms(group, now_us, &confirmed.lease_ms);
	confirmed.basis = lease_basis_message(arena, group, now_us);
	log_event(G_LOG_LEVEL_INFO, &confirmed.base);
	arena_free(arena);
}

/*
 * Log that the primary has stopped responding, or responds again.
 */
void
log_primary_suspected(const group_t *group, int64_t now_us)
{
	Bp__PrimarySuspected suspected = BP__PRIMARY_SUSPECTED__INIT;
	int32_t primary = failover_primary(&group->failover);
	arena_t *arena = arena_new();

	suspected.group = group->name;
	if (primary >= 0)
		suspected.server = group->servers[primary]->id;
	suspected.silent = group->primary_silent;
	suspected.belief = group_belief_new(arena, group, now_us);
	log_event(G_LOG_LEVEL_INFO, &suspected.base);
	arena_free(arena);
}

/*
 * Log that no server of a group can take over from the primary, or that this
 * has ended.
 */
void
log_no_candidate(const group_t *group, int64_t now_us)
{
	Bp__NoCandidate no_candidate = BP__NO_CANDIDATE__INIT;
	char *servers[GROUP_DATABASES_MAX];
	arena_t *arena = arena_new();
	uint32_t i;

	no_candidate.group = group->name;
	no_candidate.begun = group->no_candidate;
	for (i = 0; i < group->count; i++) {
		const db_view_t *view = &group->failover.views[i];
		const char *received = format_position(arena, view->last_entry);

		servers[i] = arena_printf(arena, "%s:%" PRIu64 ":%s:%" PRId64,
		    group->servers[i]->id, view->term,
		    received == NULL ? "-" : received,
		    (now_us - view->requested_us) / US_PER_MS);
	}
	no_candidate.servers = servers;
	no_candidate.n_servers = group->count;
	log_event(G_LOG_LEVEL_MESSAGE, &no_candidate.base);
	arena_free(arena);
}

/*
 * Log that a handover from a working primary to a replica is due.
 */
void
log_handover_due(const group_t *group, const server_t *primary, bool leaving,
    bool order_open)
{
	Bp__HandoverDue handover = BP__HANDOVER_DUE__INIT;

	handover.group = group->name;
	handover.server = primary->id;
	handover.leaving = leaving;
	handover.has_order_open = handover.order_open = order_open;
	log_event(G_LOG_LEVEL_MESSAGE, &handover.base);
}

/*
 * Log that the lease of a group was revoked below a term, since the primary is
 * being replaced.
 */
void
log_lease_revoked(const group_t *group, uint64_t term, int64_t now_us)
{
	Bp__LeaseGivenBack given_back = BP__LEASE_GIVEN_BACK__INIT;

	given_back.group = group->name;
	given_back.term = term;
	given_back.has_lease_ms =
	    lease_left_ms(group, now_us, &given_back.lease_ms);
	log_event(G_LOG_LEVEL_INFO, &given_back.base);
}

/* What shows that an order is over, in the log. */
static const Bp__OrderEnd order_ends[] = {
    [OPEN_ORDER_ASKED] = BP__ORDER_END__SERVER_ASKED,
    [OPEN_ORDER_LED] = BP__ORDER_END__SERVER_LED,
    [OPEN_ORDER_OVERTAKEN] = BP__ORDER_END__TERM_BEGUN,
    [OPEN_ORDER_REFUSED] = BP__ORDER_END__NOT_CARRIED_OUT,
    [OPEN_ORDER_UNRECORDED] = BP__ORDER_END__NOT_RECORDED,
};

/*
 * Append the server that an open order names to an event.
 */
static void
append_server(void *context, const open_order_t *order)
{
	Bp__OpenOrdersChanged *changed = context;

	changed->servers[changed->n_servers++] = order->database;
}

/*
 * Log that the open orders of a group have changed.
 */
void
log_open_orders(const group_t *group)
{
	Bp__OpenOrdersChanged changed = BP__OPEN_ORDERS_CHANGED__INIT;

	changed.group = group->name;
	changed.servers = g_new0(char *, group->open_orders_count + 1);
	open_orders_each(&group->open_orders, append_server, &changed);
	changed.has_ended_by = group->open_orders.last_end != OPEN_ORDER_OPEN;
	changed.ended_by = order_ends[group->open_orders.last_end];
	log_event(G_LOG_LEVEL_MESSAGE, &changed.base);
	g_free(changed.servers);
}

/*
 * Log that this daemon has a lease again in the term of its last one, and the
 * answers of the servers that it rests on.  ended_us: end of that last lease.
 */
void
log_lease_regained(
    const group_t *group, const server_t *primary, int64_t ended_us)
{
	Bp__LeaseRegained regained = BP__LEASE_REGAINED__INIT;
	char *servers[GROUP_DATABASES_MAX];
	arena_t *arena = arena_new();
	int64_t now_us = clock_us();
	uint32_t i;

	regained.group = group->name;
	regained.server = primary->id;
	regained.term = group->lease.term;
	regained.without_ms = (uint64_t)(now_us - ended_us) / US_PER_MS;
	for (i = 0; i < group->count; i++) {
		const db_view_t *view = &group->failover.views[i];

		servers[i] =
		    g_strdup_printf("%s:%s:%" PRIu64 ":%" PRIu64 ":%" PRId64,
			group->servers[i]->id,
			!view->known        ? "unknown"
			    : view->primary ? "primary"
					    : "replica",
			view->term, view->promised,
			(now_us - view->requested_us) / US_PER_MS);
	}
	regained.servers = servers;
	regained.n_servers = group->count;
	regained.basis = lease_basis_message(arena, group, now_us);
	log_event(G_LOG_LEVEL_MESSAGE, &regained.base);
	arena_free(arena);
	for (i = 0; i < group->count; i++)
		g_free(servers[i]);
}

/*
 * Log the beginning of a step of a failover or handover.
 */
void
log_change_step(const group_t *group, const failover_action_t *action)
{
	Bp__ChangeStepTaken step = BP__CHANGE_STEP_TAKEN__INIT;

	step.group = group->name;
	step.step = (Bp__ChangeStep)action->kind;
	step.server = group->servers[action->database]->id;
	step.term = action->term;
	log_event(G_LOG_LEVEL_INFO, &step.base);
}

/*
 * Log that the promotion of a server was ordered.
 */
void
log_promotion_ordered(const server_t *server, uint64_t term)
{
	Bp__PromotionOrdered ordered = BP__PROMOTION_ORDERED__INIT;
	arena_t *arena = arena_new();

	server->group->pool->counts[COUNT_PROMOTIONS_ORDERED]++;
	ordered.group = server->group->name;
	ordered.server = server->id;
	ordered.term = term;
	ordered.token = server->group->pool->fencing_token;
	ordered.basis =
	    promotion_basis_message(arena, server->group, clock_us());
	log_event(G_LOG_LEVEL_MESSAGE, &ordered.base);
	arena_free(arena);
}

/*
 * Log that the process was not running for some time, for example because its
 * VM was suspended.
 */
void
log_process_paused(int64_t paused_ms)
{
	Bp__ProcessPaused paused = BP__PROCESS_PAUSED__INIT;

	paused.paused_ms = paused_ms;
	log_event(G_LOG_LEVEL_MESSAGE, &paused.base);
}

/*
 * Log that this daemon has gained or lost the coordinator role, which the log
 * calls the duty.
 */
void
log_coordinator_changed(bool held, uint64_t token)
{
	Bp__DutyHeld changed = BP__DUTY_HELD__INIT;

	changed.held = held;
	changed.token = token;
	log_event(G_LOG_LEVEL_MESSAGE, &changed.base);
}

/*
 * Log that the number of listed daemons, or whether this daemon is listed, has
 * changed.
 */
void
log_daemons_known(const pool_t *pool)
{
	Bp__DaemonsKnown known = BP__DAEMONS_KNOWN__INIT;

	known.daemons = pool->daemons_count;
	known.listed = pool->listed;
	log_event(G_LOG_LEVEL_INFO, &known.base);
}
