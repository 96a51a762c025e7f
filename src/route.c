#include "front.h"

#include "decide/owner.h"
#include "json.h"
#include "token.h"

#include <string.h>

/* Where a caller's statement goes, and what the caller is told. */

#define TRIES_MAX 4
#define SLACK_US \
	(300 * US_PER_MS) /* for an answer under way at the deadline \
			   */
#define KEY_BYTES_MAX 256

/* HTTP says roughly what the outcome says; the body says it exactly. */
static const uint32_t http_status[] = {
    [BP__OUTCOME__DONE] = 200,
    [BP__OUTCOME__FAILED] = 422,
    [BP__OUTCOME__NOT_RUN] = 503,
    [BP__OUTCOME__UNKNOWN] = 504,
};

/*
 * Free a request that has been answered.
 */
void
pending_free(gpointer p)
{
	pending_t *pending = p;

	g_object_unref(pending->message);
	arena_free(pending->arena);
}

/*
 * Write an answer as the body of a response.  A daemon that leaves announces
 * the end of the connection, so that no later request is lost on it.
 */
static void
respond(const front_role_t *role, SoupServerMessage *message,
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
	if (role->draining)
		soup_message_headers_replace(headers, "Connection", "close");
	soup_server_message_set_status(message, status, NULL);
	soup_server_message_set_response(
	    message, "application/json", SOUP_MEMORY_COPY, body, size_bytes);
	arena_free(arena);
}

/*
 * Refuse a request that went nowhere.
 */
void
front_refuse(front_role_t *role, SoupServerMessage *message, Bp__Reason reason,
    const char *text)
{
	Bp__CallerAnswer answer = BP__CALLER_ANSWER__INIT;

	answer.outcome = BP__OUTCOME__NOT_RUN;
	answer.has_reason = 1;
	answer.reason = reason;
	answer.message = (char *)text;
	respond(role, message, &answer);
}

/*
 * The floor of a session for a group, or NULL.
 */
static Bp__Floor *
session_floor(const Bp__SessionToken *session, const Bp__Statement *statement)
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
 * Raise the session's floor to where a statement ran.
 */
static void
session_raise(pending_t *pending, const Bp__Answer *answer)
{
	Bp__SessionToken *session = pending->session;
	Bp__Floor *floor = session_floor(session, pending->statement);
	position_t at = {answer->term, answer->position};
	Bp__Floor **list;

	if (!answer->has_term || !answer->has_position)
		return;
	if (floor == NULL) {
		floor = (Bp__Floor *)message_new(
		    pending->arena, &bp__floor__descriptor);
		floor->team = pending->statement->team;
		floor->group = pending->statement->group;
		list = arena_zero(
		    pending->arena, sizeof(list[0]) * (session->n_floors + 1));
		if (session->n_floors > 0)
			memcpy(list, session->floors,
			    sizeof(list[0]) * session->n_floors);
		list[session->n_floors++] = floor;
		session->floors = list;
	}
	if (position_compare(at, (position_t){floor->term, floor->position}) >
	    0) {
		floor->term = at.term;
		floor->position = at.index;
	}
}

/*
 * Answer a request and forget it.
 */
static void
pending_answer(pending_t *pending, const Bp__Answer *in)
{
	front_role_t *role = pending->role;
	arena_t *arena = pending->arena;
	Bp__CallerAnswer answer = BP__CALLER_ANSWER__INIT;
	Bp__TransactionToken tx = BP__TRANSACTION_TOKEN__INIT;

	session_raise(pending, in);
	answer.outcome = in->outcome;
	answer.has_reason = in->reason != BP__REASON__NONE;
	answer.reason = in->reason;
	answer.message = in->message;
	answer.result = in->result;
	answer.has_retry_after_ms = in->has_retry_after_ms;
	answer.retry_after_ms = in->retry_after_ms;
	answer.database = in->database;
	answer.has_replica = in->has_replica;
	answer.replica = in->replica;
	answer.has_term = in->has_term;
	answer.term = in->term;
	answer.has_position = in->has_position;
	answer.position = in->position;
	answer.session = token_seal(arena, &pending->session->base);
	if (in->has_transaction) {
		tx.daemon = pending->daemon;
		tx.id = in->transaction;
		tx.team = pending->statement->team;
		tx.group = pending->statement->group;
		answer.transaction = token_seal(arena, &tx.base);
	}
	respond(role, pending->message, &answer);
	soup_server_message_unpause(pending->message);
	g_hash_table_remove(role->pending, &pending->route);
	front_drain_check(role);
}

/*
 * End a request without a result.
 */
static void
pending_fail(pending_t *pending, Bp__Reason reason, const char *text)
{
	Bp__Answer answer = BP__ANSWER__INIT;

	answer.outcome =
	    pending->may_have_run ? BP__OUTCOME__UNKNOWN : BP__OUTCOME__NOT_RUN;
	answer.reason = reason;
	answer.message = (char *)text;
	pending_answer(pending, &answer);
}

/*
 * The daemon that owns the group of a statement, by the members known here.
 */
static const char *
owner_of(front_role_t *role, const Bp__Statement *statement)
{
	char key[KEY_BYTES_MAX];
	const char *name;
	int32_t owner;

	g_snprintf(
	    key, sizeof(key), "%s/%s", statement->team, statement->group);
	name = g_hash_table_lookup(role->owners, key);
	if (name != NULL)
		return name;
	owner = owner_pick(
	    (const char *const *)role->members->pdata, role->members->len, key);
	if (owner < 0)
		return NULL;
	name = g_ptr_array_index(role->members, owner);
	g_hash_table_insert(role->owners, g_strdup(key), (gpointer)name);
	return name;
}

/*
 * Hand a statement to the daemon that shall run it.
 */
static void
pending_send(pending_t *pending, const char *to)
{
	front_role_t *role = pending->role;
	const char *self = role->daemon->settings->name;
	Bp__RunStatement run = BP__RUN_STATEMENT__INIT;
	Bp__ForwardStatement forward = BP__FORWARD_STATEMENT__INIT;
	int64_t left_us = pending->deadline_us - clock_us();

	if (left_us <= 0) {
		pending_fail(pending, BP__REASON__DEADLINE, NULL);
		return;
	}
	pending->tries++;
	pending->daemon = arena_strdup(pending->arena, to);
	pending->statement->timeout_ms =
	    (uint32_t)((left_us + US_PER_MS - 1) / US_PER_MS);
	if (strcmp(to, self) == 0) {
		run.route = pending->route;
		run.statement = pending->statement;
		task_send(role->daemon->group, role->task, msg_copy(&run.base));
	} else {
		forward.route = pending->route;
		forward.daemon = pending->daemon;
		forward.statement = pending->statement;
		task_send(
		    role->daemon->peer, role->task, msg_copy(&forward.base));
	}
}

/*
 * Open the caller's session token.  A caller without one begins a session;
 * one whose token cannot be read gets the newest state.
 */
static void
open_session(pending_t *pending)
{
	const char *text = pending->request->session;
	Bp__SessionToken *session = text == NULL
	    ? NULL
	    : (Bp__SessionToken *)token_open(
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
	floor = session_floor(session, pending->statement);
	if (floor != NULL) {
		pending->statement->has_floor_term = 1;
		pending->statement->has_floor_position = 1;
		pending->statement->floor_term = floor->term;
		pending->statement->floor_position = floor->position;
	}
}

/*
 * Find the daemon of a transaction token.  Returns NULL, having answered,
 * when the transaction cannot be there any more.
 */
static const char *
open_transaction(pending_t *pending)
{
	front_role_t *role = pending->role;
	Bp__TransactionToken *tx = (Bp__TransactionToken *)token_open(
	    pending->arena, &bp__transaction_token__descriptor,
	    pending->request->transaction);

	if (tx == NULL || strcmp(tx->team, pending->statement->team) != 0 ||
	    strcmp(tx->group, pending->statement->group) != 0) {
		pending_fail(pending, BP__REASON__BAD_TOKEN,
		    "the transaction's token cannot be read or is another "
		    "group's");
		return NULL;
	}
	if (!g_hash_table_contains(role->living, tx->daemon)) {
		pending_fail(pending, BP__REASON__TRANSACTION_LOST,
		    "the daemon that held the transaction is gone");
		return NULL;
	}
	pending->statement->has_transaction = 1;
	pending->statement->transaction = tx->id;
	return tx->daemon;
}

/*
 * Choose the group of a request: the one it names, or the one its key falls
 * to.  NULL when neither does.
 */
static const Bp__Group *
choose_group(const Bp__Document *document, const Bp__CallerRequest *request)
{
	if (request->group != NULL)
		return document_group(document, request->group);
	if (request->key == NULL)
		return NULL;
	return document
	    ->groups[key_spread(request->key, (uint32_t)document->n_groups)];
}

/*
 * What is wrong with a request, in words, or NULL.
 */
static const char *
request_fault(const front_team_t *team, const Bp__CallerRequest *request,
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
 * Make the record of a valid request.
 */
static pending_t *
pending_new(front_role_t *role, SoupServerMessage *message, arena_t *arena,
    Bp__CallerRequest *request, const front_team_t *team, const Bp__Work *work)
{
	pending_t *pending = arena_zero(arena, sizeof(*pending));
	Bp__Statement *statement =
	    (Bp__Statement *)message_new(arena, &bp__statement__descriptor);
	uint32_t timeout_ms = request->has_timeout_ms
	    ? request->timeout_ms
	    : role->daemon->settings->timeouts->statement_ms;

	statement->team = request->team;
	statement->group =
	    arena_strdup(arena, choose_group(team->document, request)->name);
	statement->account = request->account;
	statement->work = request->work;
	statement->action = request->action;
	statement->statement = request->statement;
	statement->request_id = request->request_id;
	pending->role = role;
	pending->route = ++role->next_route;
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
 * Send a valid request on its way.
 */
static void
pending_start(pending_t *pending)
{
	front_role_t *role = pending->role;
	const char *to;

	g_hash_table_insert(role->pending, &pending->route, pending);
	soup_server_message_pause(pending->message);
	open_session(pending);
	if (pending->request->transaction != NULL) {
		to = open_transaction(pending);
		if (to == NULL)
			return;
		if (role->draining &&
		    strcmp(to, role->daemon->settings->name) != 0) {
			pending_fail(pending, BP__REASON__DRAINING,
			    "this daemon is leaving; the transaction is open "
			    "at another");
			return;
		}
	} else {
		to = owner_of(role, pending->statement);
		if (to == NULL) {
			pending_fail(pending, BP__REASON__NO_OWNER, NULL);
			return;
		}
	}
	retry_earn(&role->retry);
	pending_send(pending, to);
}

/*
 * The first fault of a body, in words.
 */
static const char *
first_fault(const faults_t *faults)
{
	return arena_printf(faults->arena, "line %u: %s", faults->list[0].line,
	    faults->list[0].reason);
}

/*
 * A caller's request has come whole.
 */
void
route_begin(front_role_t *role, SoupServerMessage *message, const char *body,
    uint64_t size_bytes)
{
	arena_t *arena = arena_new();
	faults_t faults = {arena, NULL, 0, NULL};
	Bp__CallerRequest *request = (Bp__CallerRequest *)json_read(
	    arena, &bp__caller_request__descriptor, body, size_bytes, &faults);
	Bp__Reason reason = BP__REASON__BAD_REQUEST;
	const front_team_t *team = NULL;
	const Bp__Work *work = NULL;
	const char *text;

	role->counts[COUNT_REQUESTS]++;
	if (request != NULL)
		team = g_hash_table_lookup(role->teams, request->team);
	if (request == NULL) {
		text = first_fault(&faults);
	} else if (team == NULL) {
		reason = BP__REASON__NO_DOCUMENT;
		text = "no document of this team is in force here";
	} else if (g_hash_table_size(role->pending) >=
	    role->daemon->settings->limits->pending_statements) {
		reason = BP__REASON__OVERLOADED;
		text = "too many requests are under way here";
	} else if (role->draining && request->transaction == NULL) {
		reason = BP__REASON__DRAINING;
		text = "this daemon is leaving; another will take the request";
	} else {
		work = document_work(team->document, request->work);
		text = request_fault(team, request, work, &reason);
	}
	if (request == NULL || team == NULL || text != NULL) {
		role->counts[COUNT_BAD_REQUESTS] +=
		    reason == BP__REASON__BAD_REQUEST;
		front_refuse(role, message, reason, text);
		arena_free(arena);
		return;
	}
	pending_start(pending_new(role, message, arena, request, team, work));
}

/*
 * Whether a statement that came back may go out again, and to whom.
 */
static const char *
next_daemon(pending_t *pending, const Bp__StatementAnswered *answered)
{
	const Bp__Answer *answer = answered->answer;
	bool refused = answer->outcome == BP__OUTCOME__NOT_RUN &&
	    (answered->unsent || answer->reason == BP__REASON__DRAINING ||
		answer->reason == BP__REASON__NO_DOCUMENT);
	bool lost = answer->outcome == BP__OUTCOME__UNKNOWN &&
	    answer->reason == BP__REASON__CONNECTION_LOST &&
	    pending->repeatable;

	if (pending->statement->has_transaction || (!refused && !lost) ||
	    pending->tries >= TRIES_MAX)
		return NULL;
	if (lost && !retry_spend(&pending->role->retry))
		return NULL;
	return owner_of(pending->role, pending->statement);
}

/*
 * A statement was answered, or did not come through.
 */
void
route_answered(front_role_t *role, const Bp__StatementAnswered *answered)
{
	pending_t *pending =
	    g_hash_table_lookup(role->pending, &answered->route);
	const char *to;

	if (pending == NULL) {
		role->counts[COUNT_LATE_ANSWERS]++;
		return;
	}
	if (answered->answer->outcome == BP__OUTCOME__UNKNOWN)
		pending->may_have_run = true;
	to = next_daemon(pending, answered);
	if (to != NULL) {
		role->counts[COUNT_REROUTED]++;
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
 * Give up requests whose deadline was before a time.  Their statements are at
 * other daemons, which may run them.
 */
static void
give_up(front_role_t *role, int64_t before_us, Bp__Reason reason)
{
	GList *all = g_hash_table_get_values(role->pending), *l;

	for (l = all; l != NULL; l = l->next) {
		pending_t *pending = l->data;

		if (pending->deadline_us > before_us)
			continue;
		pending->may_have_run = true;
		pending_fail(pending, reason, NULL);
	}
	g_list_free(all);
}

/*
 * Give up requests whose answer stays out: their daemon says nothing.
 */
void
route_expire(front_role_t *role, int64_t now_us)
{
	give_up(role, now_us - SLACK_US, BP__REASON__DEADLINE);
}

/*
 * The task ends: answer what still waits.
 */
void
route_end(front_role_t *role)
{
	give_up(role, INT64_MAX, BP__REASON__DRAINING);
}
