#include "router.h"

#include "event.pb-c.h"

/*
 * Statements and transactions of clients at other daemons.  A transaction stays
 * with its owner.  When an owner is lost, what is known of a statement decides
 * its outcome:
 *
 * not sent		not run; sent to another owner
 * read, or first statement of a transaction
 *			without effect, since the lost owner never gets the
 *			COMMIT; sent to another owner
 * write, COMMIT	may have run; in doubt
 * other		the transaction has ended without a COMMIT; aborted
 */

/* Number of owners that a statement is sent to before it is refused. */
#define TRIES_MAX 4

/* Time after a statement's timeout in which the owner's answer is expected. */
#define ANSWER_MARGIN_US (200 * US_PER_MS)

/* Limit of log lines on statements without an answer. */
#define FAILURE_LOG_LINES_PER_SECOND 20

/* Delay after which a client may retry a refused statement. */
#define RETRY_AFTER_MS 50

/*
 * Free a session; its statement was answered or is no longer wanted.
 */
void
remote_session_free(gpointer p)
{
	remote_session_t *session = p;

	if (session->owner != NULL)
		g_queue_unlink(&session->owner->sessions, &session->link);
	if (session->msg != NULL)
		msg_free(session->msg);
	g_free(session);
}

/*
 * Return the statement of a session that has one.
 */
static Bp__RunOperation *
statement_of(const remote_session_t *session)
{
	return (Bp__RunOperation *)session->msg->body;
}

/*
 * Tell whether the loss of a statement's owner leaves nothing behind, so that
 * the statement may be sent to another owner.
 */
static bool
is_repeatable(const remote_session_t *session)
{
	const Bp__RunOperation *run = statement_of(session);

	if (!session->sent)
		return !run->in_transaction || run->first;
	if (run->in_transaction)
		return run->first &&
		    run->kind != BP__OPERATION_KIND__COMMIT_TRANSACTION;
	return run->kind == BP__OPERATION_KIND__READ_ITEM;
}

/*
 * Log, within the rate limit, that a statement ends without an answer of its
 * owner.
 */
static void
log_forward_failed(
    const remote_session_t *session, Bp__Verdict verdict, const char *text)
{
	router_t *router = session->owner->router;
	Bp__ForwardFailed failed = BP__FORWARD_FAILED__INIT;
	int64_t now_us = clock_us();

	if (!log_rate_limit_allow(&router->failure_log_limit, now_us,
		FAILURE_LOG_LINES_PER_SECOND, &failed.left_out))
		return;
	failed.has_left_out = failed.left_out > 0;
	failed.request = statement_of(session)->id;
	failed.session = session->id;
	failed.daemon = session->owner->name;
	failed.sent = session->sent;
	failed.verdict = verdict;
	failed.text = (char *)text;
	failed.waited_ms = (now_us - session->arrived_us) / US_PER_MS;
	log_event(G_LOG_LEVEL_INFO, &failed.base);
}

/*
 * End the statement of a session with an error of this task, and free the
 * session.
 */
static void
session_fail(remote_session_t *session, Bp__Verdict verdict, const char *text)
{
	router_t *router = session->owner->router;
	const Bp__RunOperation *run = statement_of(session);
	msg_t *reply = msg_new(&bp__operation_ended__descriptor);
	Bp__OperationEnded *ended = (Bp__OperationEnded *)reply->body;

	router->counts[COUNT_FORWARDED_LOST]++;
	log_forward_failed(session, verdict, text);
	ended->session = run->session;
	ended->sequence = run->sequence;
	ended->verdict = verdict;
	ended->text = arena_strdup(reply->arena, text);
	task_send(session->msg->from, router->task, reply);
	g_hash_table_remove(router->sessions, &session->id);
}

/*
 * Refuse the statement of a session, of which nothing has run or remains.
 */
static void
session_refuse(remote_session_t *session, const char *text)
{
	char *text_with_delay = g_strdup_printf(
	    "%s; not run; retry-after-ms=%d", text, RETRY_AFTER_MS);

	session_fail(session, BP__VERDICT__BUSY, text_with_delay);
	g_free(text_with_delay);
}

/*
 * End a statement whose owner is lost or does not answer, and that may not be
 * sent to another one.
 */
static void
session_end_lost(remote_session_t *session, const char *text)
{
	const Bp__RunOperation *run = statement_of(session);

	if (run->kind == BP__OPERATION_KIND__COMMIT_TRANSACTION ||
	    (run->kind == BP__OPERATION_KIND__WRITE_ITEM &&
		!run->in_transaction))
		session_fail(session,
		    session->sent ? BP__VERDICT__IN_DOUBT
				  : BP__VERDICT__ABORTED,
		    text);
	else
		session_fail(session,
		    run->in_transaction ? BP__VERDICT__ABORTED
					: BP__VERDICT__TIMED_OUT,
		    text);
}

/*
 * Send the statement of a session on the link of its owner.
 */
static void
session_send(remote_session_t *session)
{
	Bp__RunOperation *run = statement_of(session);
	Bp__PeerMessage message = BP__PEER_MESSAGE__INIT;

	session->sent = true;
	session->has_transaction |= run->in_transaction;
	run->has_waited_ms = 1;
	run->waited_ms =
	    (uint32_t)((clock_us() - session->arrived_us) / US_PER_MS);
	session->owner->router->counts[COUNT_FORWARDED]++;
	message.body_case = BP__PEER_MESSAGE__BODY_RUN_OPERATION;
	message.run_operation = run;
	owner_send(session->owner, &message);
}

/*
 * Give the statement of a session to an owner, now or as soon as the link is
 * open.
 */
static void
session_assign(remote_session_t *session, owner_t *owner)
{
	if (session->owner != NULL)
		g_queue_unlink(&session->owner->sessions, &session->link);
	session->owner = owner;
	session->sent = session->has_transaction = false;
	g_queue_push_tail_link(&owner->sessions, &session->link);
	if (owner->open)
		session_send(session);
	else
		owner_connect(owner);
}

/*
 * Pass a statement to the pool task of this daemon.  It answers the sender.
 */
static void
run_here(router_t *router, msg_t *msg)
{
	task_send(router->proxy->pool, msg->from, msg);
}

/*
 * Send a statement, of which nothing remains at its owner, to another owner or
 * run it here.
 */
static void
session_reroute(remote_session_t *session)
{
	router_t *router = session->owner->router;
	Bp__RunOperation *run = statement_of(session);
	owner_t *owner;
	msg_t *msg;

	if (++session->tries >= TRIES_MAX ||
	    clock_us() >= session->deadline_us) {
		session_refuse(session, "the owner of the group was lost");
		return;
	}
	router->counts[COUNT_FORWARDED_AGAIN]++;
	owner = router_choose(router, run->route->group);
	if (owner != NULL) {
		session_assign(session, owner);
		return;
	}
	msg = g_steal_pointer(&session->msg);
	run->has_waited_ms = 1;
	run->waited_ms =
	    (uint32_t)((clock_us() - session->arrived_us) / US_PER_MS);
	g_hash_table_remove(router->sessions, &session->id);
	run_here(router, msg);
}

/*
 * Handle RunOperation: run a statement here or at the owner of its group.  A
 * transaction stays where its first statement went.
 */
void
remote_run(router_t *router, msg_t *msg)
{
	const Bp__RunOperation *run = (const Bp__RunOperation *)msg->body;
	remote_session_t *session =
	    g_hash_table_lookup(router->sessions, &run->session);
	owner_t *owner = NULL;

	if (session == NULL && (!run->in_transaction || run->first))
		owner = router_choose(router, run->route->group);
	if (session == NULL && owner == NULL) {
		run_here(router, msg);
		return;
	}
	if (session == NULL) {
		session = g_new0(remote_session_t, 1);
		session->id = run->session;
		session->link.data = session;
		g_hash_table_insert(router->sessions, &session->id, session);
	}
	session->msg = msg;
	session->tries = 0;
	session->arrived_us = clock_us();
	session->deadline_us = session->arrived_us +
	    (int64_t)run->route->timeout_ms * US_PER_MS + ANSWER_MARGIN_US;
	if (owner != NULL)
		session_assign(session, owner);
	else
		session_send(session);
}

/*
 * Tell the owner of a session to roll its transaction back.
 */
static void
send_drop(remote_session_t *session)
{
	Bp__PeerMessage message = BP__PEER_MESSAGE__INIT;
	Bp__DropTransaction drop = BP__DROP_TRANSACTION__INIT;

	if (!session->has_transaction || !session->owner->open)
		return;
	drop.session = session->id;
	message.body_case = BP__PEER_MESSAGE__BODY_DROP_TRANSACTION;
	message.drop_transaction = &drop;
	frame_send(session->owner->link, &message);
}

/*
 * Handle DropTransaction: the session has ended or has given up its
 * transaction.
 */
void
remote_drop(router_t *router, msg_t *msg)
{
	const Bp__DropTransaction *drop =
	    (const Bp__DropTransaction *)msg->body;
	remote_session_t *session =
	    g_hash_table_lookup(router->sessions, &drop->session);

	if (session == NULL) {
		task_send(router->proxy->pool, msg->from, msg);
		return;
	}
	send_drop(session);
	g_hash_table_remove(router->sessions, &session->id);
	msg_free(msg);
}

/*
 * Handle the answer of an owner to a statement, and pass it to the client.  An
 * answer to a statement that was sent to another owner meanwhile is dropped.
 */
void
remote_answered(owner_t *owner, arena_t *arena, const Bp__OperationEnded *ended)
{
	router_t *router = owner->router;
	remote_session_t *session =
	    g_hash_table_lookup(router->sessions, &ended->session);

	if (session == NULL || session->owner != owner ||
	    session->msg == NULL || !session->sent ||
	    statement_of(session)->sequence != ended->sequence) {
		arena_free(arena);
		return;
	}
	if (ended->unable && session->tries + 1 < TRIES_MAX) {
		router_owner_unable(owner, statement_of(session)->route->group);
		arena_free(arena);
		session->has_transaction = session->sent = false;
		session_reroute(session);
		return;
	}
	session->has_transaction = ended->in_transaction;
	task_send(session->msg->from, router->task,
	    msg_adopt(arena, (ProtobufCMessage *)&ended->base));
	g_clear_pointer(&session->msg, msg_free);
	if (!session->has_transaction)
		g_hash_table_remove(router->sessions, &session->id);
}

/*
 * Tell the clients task that a transaction has ended between two statements,
 * and free its session.
 */
static void
session_dropped(remote_session_t *session)
{
	router_t *router = session->owner->router;
	msg_t *msg = msg_new(&bp__transaction_dropped__descriptor);

	((Bp__TransactionDropped *)msg->body)->session = session->id;
	task_send(router->proxy->clients, router->task, msg);
	g_hash_table_remove(router->sessions, &session->id);
}

/*
 * Handle a transaction that its owner has rolled back between two statements.
 * If a statement is on its way, its answer tells the client.
 */
void
remote_dropped(owner_t *owner, const Bp__TransactionDropped *dropped)
{
	remote_session_t *session =
	    g_hash_table_lookup(owner->router->sessions, &dropped->session);

	if (session != NULL && session->owner == owner && session->msg == NULL)
		session_dropped(session);
}

/*
 * Send the statements that wait for the link of an owner.
 */
void
remote_send_waiting(owner_t *owner)
{
	GList *l;

	for (l = owner->sessions.head; l != NULL; l = l->next) {
		remote_session_t *session = l->data;

		if (session->msg != NULL && !session->sent)
			session_send(session);
	}
}

/*
 * Tell whether an owner owes the answer to a statement.
 */
bool
remote_answer_due(const owner_t *owner)
{
	const GList *l;

	for (l = owner->sessions.head; l != NULL; l = l->next) {
		const remote_session_t *session = l->data;

		if (session->msg != NULL && session->sent)
			return true;
	}
	return false;
}

/*
 * Handle the loss of an owner.  The end of its link also ends the transactions
 * there.
 */
void
remote_owner_lost(owner_t *owner)
{
	GList *sessions = g_list_copy(owner->sessions.head), *l;

	for (l = sessions; l != NULL; l = l->next) {
		remote_session_t *session = l->data;

		if (session->msg == NULL)
			session_dropped(session);
		else if (is_repeatable(session))
			session_reroute(session);
		else
			session_end_lost(
			    session, "the owner of the group was lost");
	}
	g_list_free(sessions);
}

/*
 * Handle the silence of an owner: send the statements elsewhere that may be
 * repeated.  The others wait for an answer until their timeout, since the owner
 * may only be slow.
 */
void
remote_owner_silent(owner_t *owner)
{
	GList *sessions = g_list_copy(owner->sessions.head), *l;

	for (l = sessions; l != NULL; l = l->next) {
		remote_session_t *session = l->data;

		if (session->msg == NULL || !is_repeatable(session))
			continue;
		send_drop(session);
		session_reroute(session);
	}
	g_list_free(sessions);
}

/*
 * End the statements at an owner that were not answered in time.
 */
void
remote_expire(owner_t *owner, int64_t now_us)
{
	GList *sessions = g_list_copy(owner->sessions.head), *l;

	for (l = sessions; l != NULL; l = l->next) {
		remote_session_t *session = l->data;

		if (session->msg == NULL || now_us < session->deadline_us)
			continue;
		send_drop(session);
		session_end_lost(session, "no answer of the owner in time");
	}
	g_list_free(sessions);
}

/*
 * End all statements at other daemons because this daemon stops.
 */
void
remote_abort_all(router_t *router)
{
	GList *sessions = g_hash_table_get_values(router->sessions), *l;

	for (l = sessions; l != NULL; l = l->next) {
		remote_session_t *session = l->data;

		if (session->msg == NULL)
			g_hash_table_remove(router->sessions, &session->id);
		else if (!session->sent)
			session_refuse(session, "the daemon leaves");
		else
			session_end_lost(session, "the daemon leaves");
	}
	g_list_free(sessions);
}
