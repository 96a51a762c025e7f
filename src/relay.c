#include "peer.h"

#include <string.h>

/*
 * Requests between daemons: forwarded statements, witness probes of a database
 * and queries for the status page.
 */

#define STATUS_TIMEOUT_MS 300

/* A request of another daemon that awaits the reply of the group task. */
typedef struct peer_request {
	uint64_t local_id; /* key in peer_requests: request id in this daemon */
	uint64_t id;       /* request id that the other daemon chose */
	link_t *link;      /* link to reply over; NULL once it has closed */
} peer_request_t;

/* A query for the document versions of every live daemon. */
typedef struct status_query {
	uint64_t id; /* key in ctx->status_queries */
	peer_ctx_t *ctx;
	task_t *requester; /* task that receives the StatusPart */
	msg_t *part_msg;   /* StatusPart under construction */
	uint32_t replies_pending;
	GSource *timer;
} status_query_t;

/*
 * Record a request of another daemon, so that its reply can be routed back.
 */
static peer_request_t *
peer_request_add(peer_ctx_t *ctx, link_t *link, uint64_t id)
{
	peer_request_t *peer_request = g_new0(peer_request_t, 1);

	peer_request->local_id = ++ctx->next_id;
	peer_request->id = id;
	peer_request->link = link;
	g_hash_table_insert(
	    ctx->peer_requests, &peer_request->local_id, peer_request);
	return peer_request;
}

/*
 * Pass a statement that another daemon forwarded to the group task.
 */
void
relay_handle_forward(peer_ctx_t *ctx, link_t *link, const Bp__Forward *forward)
{
	peer_request_t *peer_request = peer_request_add(ctx, link, forward->id);
	Bp__RunStatement run = BP__RUN_STATEMENT__INIT;

	ctx->counts[COUNT_FORWARDS_IN]++;
	run.correlation_id = peer_request->local_id;
	run.statement = forward->statement;
	task_send(ctx->daemon->group, ctx->task, msg_copy(&run.base));
}

/*
 * Return the group task's answer for a forwarded statement to the daemon that
 * sent it.  The answer is discarded if the link has closed meanwhile.
 */
void
relay_return_answer(peer_ctx_t *ctx, const Bp__StatementAnswered *answered)
{
	peer_request_t *peer_request =
	    g_hash_table_lookup(ctx->peer_requests, &answered->correlation_id);
	Bp__PeerMessage message = BP__PEER_MESSAGE__INIT;
	Bp__ForwardAnswer answer = BP__FORWARD_ANSWER__INIT;

	if (peer_request == NULL)
		return;
	answer.id = peer_request->id;
	answer.answer = answered->answer;
	message.body_case = BP__PEER_MESSAGE__BODY_FORWARD_ANSWER;
	message.forward_answer = &answer;
	if (peer_request->link != NULL)
		link_send(peer_request->link, &message);
	g_hash_table_remove(ctx->peer_requests, &answered->correlation_id);
}

/*
 * Report to the front-end task that a statement could not be forwarded.  If
 * never_sent is set, the other daemon cannot have received the statement, and
 * the outcome is NOT_RUN; otherwise the outcome is UNKNOWN.
 */
static void
report_forward_failure(
    peer_ctx_t *ctx, uint64_t correlation_id, bool never_sent)
{
	msg_t *msg = msg_new(&bp__statement_answered__descriptor);
	Bp__StatementAnswered *answered = (Bp__StatementAnswered *)msg->body;

	ctx->counts[COUNT_FORWARDS_LOST]++;
	answered->correlation_id = correlation_id;
	answered->has_never_sent = 1;
	answered->never_sent = never_sent;
	answered->answer =
	    (Bp__Answer *)message_new(msg->arena, &bp__answer__descriptor);
	answered->answer->outcome =
	    never_sent ? BP__OUTCOME__NOT_RUN : BP__OUTCOME__UNKNOWN;
	answered->answer->reason =
	    never_sent ? BP__REASON__NO_OWNER : BP__REASON__CONNECTION_LOST;
	task_send(ctx->daemon->front, ctx->task, msg);
}

/*
 * Forward a statement of the front-end task to another daemon.
 */
void
relay_forward_statement(peer_ctx_t *ctx, const Bp__ForwardStatement *request)
{
	const member_t *member = members_find(ctx->members, request->daemon);
	link_t *link = member == NULL || member->attrs.state == MEMBER_DEAD
	    ? NULL
	    : link_connect_member(ctx, member);
	Bp__PeerMessage message = BP__PEER_MESSAGE__INIT;
	Bp__Forward forward = BP__FORWARD__INIT;
	gint64 *correlation_id;

	if (link == NULL) {
		report_forward_failure(ctx, request->correlation_id, true);
		return;
	}
	forward.id = request->correlation_id;
	forward.statement = request->statement;
	message.body_case = BP__PEER_MESSAGE__BODY_FORWARD;
	message.forward = &forward;
	if (link_send(link, &message) < 0) {
		/* The peer cannot decode a frame that was sent in part. */
		report_forward_failure(ctx, request->correlation_id, true);
		return;
	}
	ctx->counts[COUNT_FORWARDS_OUT]++;
	correlation_id = g_new(gint64, 1);
	*correlation_id = (gint64)request->correlation_id;
	g_hash_table_add(link->forwards, correlation_id);
}

/*
 * Pass another daemon's answer for a forwarded statement to the front-end task.
 */
void
relay_handle_forward_answer(
    peer_ctx_t *ctx, link_t *link, const Bp__ForwardAnswer *answer)
{
	Bp__StatementAnswered answered = BP__STATEMENT_ANSWERED__INIT;

	if (!g_hash_table_remove(link->forwards, &answer->id))
		return;
	answered.correlation_id = answer->id;
	answered.answer = answer->answer;
	task_send(ctx->daemon->front, ctx->task, msg_copy(&answered.base));
}

/*
 * Handle the end of a link.  Statements that were forwarded over it may have
 * run, unless the link was never established.  Replies to requests that
 * arrived over it are discarded.
 */
void
relay_link_closed(peer_ctx_t *ctx, link_t *link)
{
	GHashTableIter iter;
	gpointer key, value;

	g_hash_table_iter_init(&iter, link->forwards);
	while (g_hash_table_iter_next(&iter, &key, NULL))
		report_forward_failure(
		    ctx, (uint64_t) * (gint64 *)key, !link->opened);
	g_hash_table_remove_all(link->forwards);
	g_hash_table_iter_init(&iter, ctx->peer_requests);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		peer_request_t *peer_request = value;

		if (peer_request->link == link)
			peer_request->link = NULL;
	}
}

/*
 * Send the result of a witness probe to this daemon's group task.
 */
static void
send_probe_result(peer_ctx_t *ctx, uint64_t id, bool reached)
{
	msg_t *msg = msg_new(&bp__witness_probe_result__descriptor);
	Bp__WitnessProbeResult *result = (Bp__WitnessProbeResult *)msg->body;

	result->id = id;
	result->reached = reached;
	task_send(ctx->daemon->group, ctx->task, msg);
}

/*
 * Ask another daemon to probe a database that this daemon cannot reach.  A
 * random live member is chosen, preferably one in another zone.  If there is
 * none, the result is "not reached" and this daemon's own probe decides.
 */
void
relay_request_witness_probe(
    peer_ctx_t *ctx, const Bp__WitnessProbeRequest *probe)
{
	const member_t *self = members_self(ctx->members), *witness = NULL;
	Bp__PeerMessage message = BP__PEER_MESSAGE__INIT;
	Bp__WitnessAsk request = BP__WITNESS_ASK__INIT;
	uint32_t i, n = members_count(ctx->members), start;
	link_t *link;

	start = (uint32_t)g_rand_int_range(ctx->rand, 0, (gint32)n);
	for (i = 0; i < n; i++) {
		const member_t *member =
		    members_at(ctx->members, (start + i) % n);

		if (member == self || member->attrs.state != MEMBER_ALIVE)
			continue;
		if (witness == NULL ||
		    (strcmp(witness->attrs.zone, self->attrs.zone) == 0 &&
			strcmp(member->attrs.zone, self->attrs.zone) != 0))
			witness = member;
	}
	link = witness == NULL ? NULL : link_connect_member(ctx, witness);
	if (link == NULL) {
		send_probe_result(ctx, probe->id, false);
		return;
	}
	request.id = probe->id;
	request.address = probe->address;
	request.port = probe->port;
	message.body_case = BP__PEER_MESSAGE__BODY_WITNESS_ASK;
	message.witness_ask = &request;
	link_send(link, &message);
}

/*
 * Have the group task probe a database on behalf of another daemon.
 */
void
relay_handle_witness_ask(
    peer_ctx_t *ctx, link_t *link, const Bp__WitnessAsk *request)
{
	peer_request_t *peer_request = peer_request_add(ctx, link, request->id);
	msg_t *msg = msg_new(&bp__witness_probe_request__descriptor);
	Bp__WitnessProbeRequest *probe = (Bp__WitnessProbeRequest *)msg->body;

	probe->id = peer_request->local_id;
	probe->address = arena_strdup(msg->arena, request->address);
	probe->port = request->port;
	task_send(ctx->daemon->group, ctx->task, msg);
}

/*
 * Return the result of a probe to the daemon that requested it.
 */
void
relay_return_witness_result(
    peer_ctx_t *ctx, const Bp__WitnessProbeResult *result)
{
	peer_request_t *peer_request =
	    g_hash_table_lookup(ctx->peer_requests, &result->id);
	Bp__PeerMessage message = BP__PEER_MESSAGE__INIT;
	Bp__WitnessTell reply = BP__WITNESS_TELL__INIT;

	if (peer_request == NULL)
		return;
	reply.id = peer_request->id;
	reply.reached = result->reached;
	message.body_case = BP__PEER_MESSAGE__BODY_WITNESS_TELL;
	message.witness_tell = &reply;
	if (peer_request->link != NULL)
		link_send(peer_request->link, &message);
	g_hash_table_remove(ctx->peer_requests, &result->id);
}

/*
 * Pass the probe result of another daemon to the group task.
 */
void
relay_handle_witness_tell(peer_ctx_t *ctx, const Bp__WitnessTell *reply)
{
	send_probe_result(ctx, reply->id, reply->reached);
}

/*
 * Append the document versions of a daemon to the StatusPart.
 */
static void
status_query_add_documents(status_query_t *query, const char *daemon,
    Bp__DocumentVersion **versions, size_t count)
{
	Bp__StatusPart *part = (Bp__StatusPart *)query->part_msg->body;
	arena_t *arena = query->part_msg->arena;
	Bp__DocumentStatus **list = arena_zalloc(
	    arena, sizeof(list[0]) * (part->n_documents + count + 1));
	size_t i;

	if (part->n_documents > 0)
		memcpy(
		    list, part->documents, sizeof(list[0]) * part->n_documents);
	for (i = 0; i < count; i++) {
		Bp__DocumentStatus *status = (Bp__DocumentStatus *)message_new(
		    arena, &bp__document_status__descriptor);

		status->daemon = arena_strdup(arena, daemon);
		status->team = arena_strdup(arena, versions[i]->team);
		status->version = versions[i]->version;
		list[part->n_documents + i] = status;
	}
	part->documents = list;
	part->n_documents += count;
}

/*
 * Send the StatusPart to the task that requested it and free the query.
 */
static void
status_query_finish(status_query_t *query)
{
	task_send(query->requester, query->ctx->task, query->part_msg);
	source_clear(&query->timer);
	g_hash_table_remove(query->ctx->status_queries, &query->id);
	g_free(query);
}

/*
 * Finish a query without the daemons that have not replied in time.
 */
static gboolean
on_status_query_timeout(gpointer context)
{
	status_query_finish(context);
	return G_SOURCE_REMOVE;
}

/*
 * Build the peer task's part of the status page.  It includes the document
 * versions of every live daemon, which are queried first.
 */
void
relay_query_status(peer_ctx_t *ctx, task_t *requester, uint64_t id)
{
	status_query_t *query = g_new0(status_query_t, 1);
	Bp__PeerMessage message = BP__PEER_MESSAGE__INIT;
	Bp__StatusAsk request = BP__STATUS_ASK__INIT;
	Bp__DocumentVersion **versions;
	Bp__StatusPart *part;
	size_t count;
	uint32_t i;

	query->id = ++ctx->next_id;
	query->ctx = ctx;
	query->requester = requester;
	query->part_msg = msg_new(&bp__status_part__descriptor);
	part = (Bp__StatusPart *)query->part_msg->body;
	part->id = id;
	peer_report(ctx, query->part_msg->arena, part);
	versions =
	    gossip_document_versions(ctx, query->part_msg->arena, &count);
	status_query_add_documents(
	    query, ctx->daemon->settings->name, versions, count);
	request.id = query->id;
	message.body_case = BP__PEER_MESSAGE__BODY_STATUS_ASK;
	message.status_ask = &request;
	for (i = 1; i < members_count(ctx->members); i++) {
		const member_t *member = members_at(ctx->members, i);
		link_t *link = member->attrs.state == MEMBER_ALIVE
		    ? link_connect_member(ctx, member)
		    : NULL;

		if (link != NULL && link_send(link, &message) == 0)
			query->replies_pending++;
	}
	g_hash_table_insert(ctx->status_queries, &query->id, query);
	if (query->replies_pending == 0)
		status_query_finish(query);
	else
		query->timer = task_timer(ctx->task, STATUS_TIMEOUT_MS,
		    on_status_query_timeout, query);
}

/*
 * Reply to another daemon with the versions of this daemon's documents.
 */
void
relay_handle_status_ask(
    peer_ctx_t *ctx, link_t *link, const Bp__StatusAsk *request)
{
	arena_t *arena = arena_new();
	Bp__PeerMessage message = BP__PEER_MESSAGE__INIT;
	Bp__StatusTell reply = BP__STATUS_TELL__INIT;

	reply.id = request->id;
	reply.name = ctx->daemon->settings->name;
	reply.documents =
	    gossip_document_versions(ctx, arena, &reply.n_documents);
	message.body_case = BP__PEER_MESSAGE__BODY_STATUS_TELL;
	message.status_tell = &reply;
	link_send(link, &message);
	arena_free(arena);
}

/*
 * Add the document versions of another daemon to the query.
 */
void
relay_handle_status_tell(peer_ctx_t *ctx, const Bp__StatusTell *reply)
{
	status_query_t *query =
	    g_hash_table_lookup(ctx->status_queries, &reply->id);

	if (query == NULL)
		return;
	status_query_add_documents(
	    query, reply->name, reply->documents, reply->n_documents);
	if (--query->replies_pending == 0)
		status_query_finish(query);
}
