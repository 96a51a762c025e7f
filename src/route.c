#include "front.h"

#include "decide/owner.h"
#include "json.h"
#include "token.h"

#include <string.h>

/*
 * Requests of callers: their validation, the routing of each statement to the
 * daemon that owns its group, and the answer to the caller.
 */

#define ATTEMPTS_MAX 4 /* sends of one statement, including the first */
/* Time allowed for an answer in transit when the deadline passes. */
#define ANSWER_GRACE_US (300 * US_PER_MS)
#define GROUP_KEY_BYTES_MAX 256

/*
 * The HTTP status is a coarse form of the outcome; the body holds the exact
 * outcome and reason.
 */
static const uint32_t http_status[] = {
    [BP__OUTCOME__DONE] = 200,
    [BP__OUTCOME__FAILED] = 422,
    [BP__OUTCOME__NOT_RUN] = 503,
    [BP__OUTCOME__UNKNOWN] = 504,
};

/*
 * Free the record of an answered request.
 */
void
pending_request_free(gpointer p)
{
	pending_request_t *pending = p;

	g_object_unref(pending->message);
	arena_free(pending->arena);
}

/*
 * Send an answer as the body of the HTTP response.  A draining daemon adds
 * "Connection: close", so that the caller does not lose a later request on a
 * connection that is about to be closed.
 */
static void
respond(const front_ctx_t *ctx, SoupServerMessage *message,
    const Bp__CallerAnswer *answer)
{
	SoupMessageHeaders *headers =
	    soup_server_message_get_response_headers(message);
	arena_t *arena = arena_new();
	uint32_t status = http_status[answer->outcome];
	uint64_t size_bytes;
	char *body = json_write(arena, &answer->base, &size_bytes);
	char seconds[16];

	if (answer->outcome == BP__OUTCOME__NOT_RUN &&
	    (answer->reason == BP__REASON__BAD_REQUEST ||
		answer->reason == BP__REASON__BAD_TOKEN ||
		answer->reason == BP__REASON__NO_SUCH_WORK))
		status = 400;
	if (answer->has_retry_after_ms) {
		g_snprintf(seconds, sizeof(seconds), "%u",
		    (answer->retry_after_ms + MS_PER_S - 1) / MS_PER_S);
		soup_message_headers_replace(headers, "Retry-After", seconds);
	}
	if (ctx->draining)
		soup_message_headers_replace(headers, "Connection", "close");
	soup_server_message_set_status(message, status, NULL);
	soup_server_message_set_response(
	    message, "application/json", SOUP_MEMORY_COPY, body, size_bytes);
	arena_free(arena);
}

/*
 * Reject a request without sending its statement to a group.
 */
void
front_refuse(front_ctx_t *ctx, SoupServerMessage *message, Bp__Reason reason,
    const char *text)
{
	Bp__CallerAnswer answer = BP__CALLER_ANSWER__INIT;

	answer.outcome = BP__OUTCOME__NOT_RUN;
	answer.has_reason = 1;
	answer.reason = reason;
	answer.message = (char *)text;
	respond(ctx, message, &answer);
}

/*
 * Return the session's lowest allowed read position for the statement's group,
 * or NULL if the session has none.
 */
static Bp__Floor *
session_find_floor(
    const Bp__SessionToken *session, const Bp__Statement *statement)
{
	size_t i;

	for (i = 0; i < session->n_floors; i++) {
		Bp__Floor *floor = session->floors[i];

		if (strcmp(floor->team, statement->team) == 0 &&
		    strcmp(floor->group, statement->group) == 0)
			return floor;
	}
	return NULL;
}

/*
 * Raise the session's floor for the group to the position at which the
 * statement was executed.
 */
static void
session_raise_floor(pending_request_t *pending, const Bp__Answer *answer)
{
	Bp__SessionToken *session = pending->session;
	Bp__Floor *floor = session_find_floor(session, pending->statement);
	position_t executed_at = {answer->term, answer->position};
	Bp__Floor **list;

	if (!answer->has_term || !answer->has_position)
		return;
	if (floor == NULL) {
		floor = (Bp__Floor *)message_new(
		    pending->arena, &bp__floor__descriptor);
		floor->team = pending->statement->team;
		floor->group = pending->statement->group;
		list = arena_zalloc(
		    pending->arena, sizeof(list[0]) * (session->n_floors + 1));
		if (session->n_floors > 0)
			memcpy(list, session->floors,
			    sizeof(list[0]) * session->n_floors);
		list[session->n_floors++] = floor;
		session->floors = list;
	}
	if (position_compare(
		executed_at, (position_t){floor->term, floor->position}) > 0) {
		floor->term = executed_at.term;
		floor->position = executed_at.index;
	}
}

/*
 * Send the answer to the caller and remove the pending request.
 */
static void
pending_answer(pending_request_t *pending, const Bp__Answer *result)
{
	front_ctx_t *ctx = pending->ctx;
	arena_t *arena = pending->arena;
	Bp__CallerAnswer answer = BP__CALLER_ANSWER__INIT;
	Bp__TransactionToken tx = BP__TRANSACTION_TOKEN__INIT;

	session_raise_floor(pending, result);
	answer.outcome = result->outcome;
	answer.has_reason = result->reason != BP__REASON__NONE;
	answer.reason = result->reason;
	answer.message = result->message;
	answer.result = result->result;
	answer.has_retry_after_ms = result->has_retry_after_ms;
	answer.retry_after_ms = result->retry_after_ms;
	answer.database = result->database;
	answer.has_replica = result->has_replica;
	answer.replica = result->replica;
	answer.has_term = result->has_term;
	answer.term = result->term;
	answer.has_position = result->has_position;
	answer.position = result->position;
	answer.session = token_encode(arena, &pending->session->base);
	if (result->has_transaction) {
		tx.daemon = pending->daemon;
		tx.id = result->transaction;
		tx.team = pending->statement->team;
		tx.group = pending->statement->group;
		answer.transaction = token_encode(arena, &tx.base);
	}
	respond(ctx, pending->message, &answer);
	soup_server_message_unpause(pending->message);
	g_hash_table_remove(ctx->pending, &pending->correlation_id);
	front_check_drained(ctx);
}

/*
 * Answer a request with an error.  The outcome is UNKNOWN if an attempt may
 * have been executed, and NOT_RUN otherwise.
 */
static void
pending_fail(pending_request_t *pending, Bp__Reason reason, const char *text)
{
	Bp__Answer answer = BP__ANSWER__INIT;

	answer.outcome =
	    pending->may_have_run ? BP__OUTCOME__UNKNOWN : BP__OUTCOME__NOT_RUN;
	answer.reason = reason;
	answer.message = (char *)text;
	pending_answer(pending, &answer);
}

/*
 * Return the name of the daemon that owns the statement's group, computed from
 * this daemon's view of the membership, or NULL if no member can own a group.
 */
static const char *
group_owner(front_ctx_t *ctx, const Bp__Statement *statement)
{
	char key[GROUP_KEY_BYTES_MAX];
	const char *name;
	int32_t owner;

	g_snprintf(
	    key, sizeof(key), "%s/%s", statement->team, statement->group);
	name = g_hash_table_lookup(ctx->owner_by_group, key);
	if (name != NULL)
		return name;
	owner = owner_pick((const char *const *)ctx->owner_candidates->pdata,
	    ctx->owner_candidates->len, key);
	if (owner < 0)
		return NULL;
	name = g_ptr_array_index(ctx->owner_candidates, owner);
	g_hash_table_insert(ctx->owner_by_group, g_strdup(key), (gpointer)name);
	return name;
}

/*
 * Send the statement to the named daemon, with the time that is left until the
 * deadline as its timeout: to the group task if this daemon is meant, else
 * through the peer task.  Fail the request if these tasks have ended, and with
 * them all transactions.
 */
static void
pending_send(pending_request_t *pending, const char *to)
{
	front_ctx_t *ctx = pending->ctx;
	const char *self = ctx->daemon->settings->name;
	Bp__RunStatement run = BP__RUN_STATEMENT__INIT;
	Bp__ForwardStatement forward = BP__FORWARD_STATEMENT__INIT;
	int64_t remaining_us = pending->deadline_us - clock_us();

	if (remaining_us <= 0) {
		pending_fail(pending, BP__REASON__DEADLINE, NULL);
		return;
	}
	if (ctx->stopping) {
		pending_fail(pending,
		    pending->statement->has_transaction
			? BP__REASON__TRANSACTION_LOST
			: BP__REASON__DRAINING,
		    "this daemon is leaving");
		return;
	}
	pending->attempts++;
	pending->daemon = arena_strdup(pending->arena, to);
	pending->statement->timeout_ms =
	    (uint32_t)((remaining_us + US_PER_MS - 1) / US_PER_MS);
	if (strcmp(to, self) == 0) {
		run.correlation_id = pending->correlation_id;
		run.statement = pending->statement;
		task_send(ctx->daemon->group, ctx->task, msg_copy(&run.base));
	} else {
		forward.correlation_id = pending->correlation_id;
		forward.daemon = pending->daemon;
		forward.statement = pending->statement;
		task_send(
		    ctx->daemon->peer, ctx->task, msg_copy(&forward.base));
	}
}

/*
 * Decode the caller's session token.  A request without a token starts a new
 * session.  If the token cannot be decoded, the session's floor is unknown, so
 * the statement must read the newest state.
 */
static void
decode_session(pending_request_t *pending)
{
	const char *text = pending->request->session;
	Bp__SessionToken *session = text == NULL
	    ? NULL
	    : (Bp__SessionToken *)token_decode(
		  pending->arena, &bp__session_token__descriptor, text);
	Bp__Floor *floor;

	if (text != NULL && session == NULL) {
		pending->statement->has_fresh = 1;
		pending->statement->fresh = 1;
	}
	if (session == NULL)
		session = (Bp__SessionToken *)message_new(
		    pending->arena, &bp__session_token__descriptor);
	pending->session = session;
	floor = session_find_floor(session, pending->statement);
	if (floor != NULL) {
		pending->statement->has_floor_term = 1;
		pending->statement->has_floor_position = 1;
		pending->statement->floor_term = floor->term;
		pending->statement->floor_position = floor->position;
	}
}

/*
 * Decode the transaction token and return the name of the daemon that holds the
 * transaction.  If the token is invalid or the daemon is no longer a member,
 * the request is answered and NULL is returned.
 */
static const char *
decode_transaction(pending_request_t *pending)
{
	front_ctx_t *ctx = pending->ctx;
	Bp__TransactionToken *tx = (Bp__TransactionToken *)token_decode(
	    pending->arena, &bp__transaction_token__descriptor,
	    pending->request->transaction);

	if (tx == NULL || strcmp(tx->team, pending->statement->team) != 0 ||
	    strcmp(tx->group, pending->statement->group) != 0) {
		pending_fail(pending, BP__REASON__BAD_TOKEN,
		    "the transaction's token cannot be read or is another "
		    "group's");
		return NULL;
	}
	if (!g_hash_table_contains(ctx->live_members, tx->daemon)) {
		pending_fail(pending, BP__REASON__TRANSACTION_LOST,
		    "the daemon that held the transaction is gone");
		return NULL;
	}
	pending->statement->has_transaction = 1;
	pending->statement->transaction = tx->id;
	return tx->daemon;
}

/*
 * Select the group that the request names, or else the group that its key
 * hashes to.  Returns NULL if the named group does not exist or if the request
 * has neither a group nor a key.
 */
static const Bp__Group *
choose_group(const Bp__Document *document, const Bp__CallerRequest *request)
{
	if (request->group != NULL)
		return document_find_group(document, request->group);
	if (request->key == NULL)
		return NULL;
	return document
	    ->groups[key_bucket(request->key, (uint32_t)document->n_groups)];
}

/*
 * Check a request against the team's document.  Returns the text of the first
 * error and sets the reason, or returns NULL if the request is valid.
 */
static const char *
check_request(const team_document_t *team, const Bp__CallerRequest *request,
    const Bp__Work *work, Bp__Reason *reason)
{
	*reason = BP__REASON__BAD_REQUEST;
	if (!document_has_account(team->document, request->account))
		return "the document names no such account";
	if (work == NULL) {
		*reason = BP__REASON__NO_SUCH_WORK;
		return "the document names no such work";
	}
	if (choose_group(team->document, request) == NULL)
		return "\"group\" or \"key\" must lead to a group of the "
		       "document";
	if (request->action == BP__ACTION__RUN && request->statement[0] == '\0')
		return "\"statement\" is empty";
	if (request->action == BP__ACTION__BEGIN &&
	    request->transaction != NULL)
		return "a transaction is open already";
	if ((request->action == BP__ACTION__COMMIT ||
		request->action == BP__ACTION__ROLLBACK) &&
	    request->transaction == NULL)
		return "\"transaction\" is missing";
	if (work->access == BP__ACCESS__WRITE && !work->repeatable &&
	    request->request_id == NULL && request->transaction == NULL &&
	    request->action == BP__ACTION__RUN)
		return "\"request_id\" is missing: this work must not run "
		       "twice";
	return NULL;
}

/*
 * Create the record of a valid request.
 */
static pending_request_t *
pending_new(front_ctx_t *ctx, SoupServerMessage *message, arena_t *arena,
    Bp__CallerRequest *request, const team_document_t *team,
    const Bp__Work *work)
{
	pending_request_t *pending = arena_zalloc(arena, sizeof(*pending));
	Bp__Statement *statement =
	    (Bp__Statement *)message_new(arena, &bp__statement__descriptor);
	uint32_t timeout_ms = request->has_timeout_ms
	    ? request->timeout_ms
	    : ctx->daemon->settings->timeouts->statement_ms;

	statement->team = request->team;
	statement->group =
	    arena_strdup(arena, choose_group(team->document, request)->name);
	statement->account = request->account;
	statement->work = request->work;
	statement->action = request->action;
	statement->statement = request->statement;
	statement->request_id = request->request_id;
	pending->ctx = ctx;
	pending->correlation_id = ++ctx->next_correlation_id;
	pending->arena = arena;
	pending->message = g_object_ref(message);
	pending->request = request;
	pending->statement = statement;
	pending->repeatable = request->action == BP__ACTION__RUN &&
	    request->transaction == NULL &&
	    (work->access == BP__ACCESS__READ || work->repeatable);
	pending->deadline_us = clock_us() + (int64_t)timeout_ms * US_PER_MS;
	return pending;
}

/*
 * Register a valid request and send its statement to the owner of the group, or
 * to the daemon that holds its transaction.
 */
static void
pending_start(pending_request_t *pending)
{
	front_ctx_t *ctx = pending->ctx;
	const char *to;

	g_hash_table_insert(ctx->pending, &pending->correlation_id, pending);
	soup_server_message_pause(pending->message);
	decode_session(pending);
	if (pending->request->transaction != NULL) {
		to = decode_transaction(pending);
		if (to == NULL)
			return;
		if (ctx->draining &&
		    strcmp(to, ctx->daemon->settings->name) != 0) {
			pending_fail(pending, BP__REASON__DRAINING,
			    "this daemon is leaving; the transaction is open "
			    "at another");
			return;
		}
	} else {
		to = group_owner(ctx, pending->statement);
		if (to == NULL) {
			pending_fail(pending, BP__REASON__NO_OWNER, NULL);
			return;
		}
	}
	retry_budget_deposit(&ctx->retry_budget);
	pending_send(pending, to);
}

/*
 * Format the first error of a request body as "line N: text".
 */
static const char *
first_error(const input_errors_t *errors)
{
	return arena_printf(errors->arena, "line %u: %s", errors->list[0].line,
	    errors->list[0].reason);
}

/*
 * Handle a caller's request once its body has been received in full.
 */
void
route_request(front_ctx_t *ctx, SoupServerMessage *message, const char *body,
    uint64_t size_bytes)
{
	arena_t *arena = arena_new();
	input_errors_t errors = {arena, NULL, 0, NULL};
	Bp__CallerRequest *request = (Bp__CallerRequest *)json_read(
	    arena, &bp__caller_request__descriptor, body, size_bytes, &errors);
	Bp__Reason reason = BP__REASON__BAD_REQUEST;
	const team_document_t *team = NULL;
	const Bp__Work *work = NULL;
	const char *text;

	ctx->counts[COUNT_REQUESTS]++;
	if (request != NULL)
		team =
		    g_hash_table_lookup(ctx->documents_by_team, request->team);
	if (request == NULL) {
		text = first_error(&errors);
	} else if (team == NULL) {
		reason = BP__REASON__NO_DOCUMENT;
		text = "no document of this team is in force here";
	} else if (g_hash_table_size(ctx->pending) >=
	    ctx->daemon->settings->limits->pending_statements) {
		reason = BP__REASON__OVERLOADED;
		text = "too many requests are under way here";
	} else if (ctx->draining && request->transaction == NULL) {
		reason = BP__REASON__DRAINING;
		text = "this daemon is leaving; another will take the request";
	} else {
		work = document_find_work(team->document, request->work);
		text = check_request(team, request, work, &reason);
	}
	if (request == NULL || team == NULL || text != NULL) {
		ctx->counts[COUNT_BAD_REQUESTS] +=
		    reason == BP__REASON__BAD_REQUEST;
		front_refuse(ctx, message, reason, text);
		arena_free(arena);
		return;
	}
	pending_start(pending_new(ctx, message, arena, request, team, work));
}

/*
 * Return the daemon to retry a statement on, or NULL if the statement must not
 * be retried.  A daemon that could not be reached, is draining or lacks the
 * document has not executed the statement, so any statement can be retried.
 * After a lost connection the statement may have been executed, so only a
 * repeatable one is retried, within the retry budget.  Statements of a
 * transaction are never retried.
 */
static const char *
retry_daemon(pending_request_t *pending, const Bp__StatementAnswered *answered)
{
	const Bp__Answer *answer = answered->answer;
	bool refused = answer->outcome == BP__OUTCOME__NOT_RUN &&
	    (answered->never_sent || answer->reason == BP__REASON__DRAINING ||
		answer->reason == BP__REASON__NO_DOCUMENT);
	bool lost = answer->outcome == BP__OUTCOME__UNKNOWN &&
	    answer->reason == BP__REASON__CONNECTION_LOST &&
	    pending->repeatable;

	if (pending->statement->has_transaction || (!refused && !lost) ||
	    pending->attempts >= ATTEMPTS_MAX)
		return NULL;
	if (lost && !retry_budget_withdraw(&pending->ctx->retry_budget))
		return NULL;
	return group_owner(pending->ctx, pending->statement);
}

/*
 * Handle the answer to a statement, or the report that a daemon could not be
 * reached: retry the statement or answer the caller.
 */
void
route_handle_answer(front_ctx_t *ctx, const Bp__StatementAnswered *answered)
{
	pending_request_t *pending =
	    g_hash_table_lookup(ctx->pending, &answered->correlation_id);
	const char *to;

	if (pending == NULL) {
		ctx->counts[COUNT_LATE_ANSWERS]++;
		return;
	}
	if (answered->answer->outcome == BP__OUTCOME__UNKNOWN)
		pending->may_have_run = true;
	to = retry_daemon(pending, answered);
	if (to != NULL) {
		ctx->counts[COUNT_STATEMENTS_REROUTED]++;
		pending_send(pending, to);
		return;
	}
	if (pending->may_have_run &&
	    answered->answer->outcome == BP__OUTCOME__NOT_RUN) {
		pending_fail(pending, answered->answer->reason, NULL);
		return;
	}
	pending_answer(pending, answered->answer);
}

/*
 * Fail requests whose deadline was at or before the given time.  Other daemons
 * may still execute their statements, so the outcome is UNKNOWN.
 */
static void
fail_pending_before(front_ctx_t *ctx, int64_t before_us, Bp__Reason reason)
{
	GList *all = g_hash_table_get_values(ctx->pending), *l;

	for (l = all; l != NULL; l = l->next) {
		pending_request_t *pending = l->data;

		if (pending->deadline_us > before_us)
			continue;
		pending->may_have_run = true;
		pending_fail(pending, reason, NULL);
	}
	g_list_free(all);
}

/*
 * Fail requests that are past their deadline because the daemon they were sent
 * to has not answered.
 */
void
route_expire_pending(front_ctx_t *ctx, int64_t now_us)
{
	fail_pending_before(
	    ctx, now_us - ANSWER_GRACE_US, BP__REASON__DEADLINE);
}

/*
 * Fail all remaining requests when the task stops.
 */
void
route_fail_pending(front_ctx_t *ctx)
{
	fail_pending_before(ctx, INT64_MAX, BP__REASON__DRAINING);
}
