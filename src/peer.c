#include "peer.h"

#include <errno.h>
#include <string.h>

/*
 * The peer task: the links to the other daemons, and the dispatch of the
 * messages received on them.
 */

#define LOG_PART "peer"
#define TICK_MS 50
#define INBOUND_LINKS_MAX 8192
#define DEAD_RETENTION_US (INT64_C(60) * G_USEC_PER_SEC)

static const char *const counter_names[PEER_COUNTERS] = {
    [COUNT_PINGS] = "member_pings",
    [COUNT_FORWARDS_OUT] = "forwards_out",
    [COUNT_FORWARDS_IN] = "forwards_in",
    [COUNT_FORWARDS_LOST] = "forwards_lost",
    [COUNT_LINKS_DROPPED] = "peer_links_dropped",
    [COUNT_DOCUMENTS_FETCHED] = "documents_from_peers",
};

/*
 * Free a link that has been removed from the tables of links.
 */
static void
link_free(link_t *link)
{
	frame_free(link->frames);
	g_hash_table_unref(link->forwards);
	g_free(link->host_port);
	g_free(link);
}

/*
 * Tell whether a link pointer kept from earlier still refers to an existing
 * link.
 */
bool
link_exists(peer_ctx_t *ctx, const link_t *link)
{
	GHashTableIter iter;
	gpointer value;

	if (g_ptr_array_find(ctx->inbound, link, NULL) ||
	    g_ptr_array_find(ctx->retired, link, NULL))
		return true;
	g_hash_table_iter_init(&iter, ctx->links);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		if (value == link)
			return true;
	}
	return false;
}

/*
 * Return the member that listens on an "address:port", or NULL.
 */
const member_t *
member_by_host_port(peer_ctx_t *ctx, const char *host_port)
{
	char text[128];
	uint32_t i;

	for (i = 0; i < members_count(ctx->members); i++) {
		const member_t *member = members_at(ctx->members, i);

		g_snprintf(text, sizeof(text), "%s:%u", member->attrs.address,
		    member->attrs.port);
		if (strcmp(text, host_port) == 0)
			return member;
	}
	return NULL;
}

/*
 * Close a link.  Fail the requests that were pending on it and, if it was the
 * current outgoing link, schedule an early probe of its member.
 */
static void
link_close(link_t *link)
{
	peer_ctx_t *ctx = link->ctx;
	const member_t *member;

	if (link->retired_us != 0) {
		g_ptr_array_remove_fast(ctx->retired, link);
	} else if (link->host_port != NULL) {
		g_hash_table_remove(ctx->links, link->host_port);
		member = member_by_host_port(ctx, link->host_port);
		if (member != NULL)
			members_probe_next(
			    ctx->members, member->attrs.name, clock_us());
	} else {
		g_ptr_array_remove_fast(ctx->inbound, link);
	}
	relay_link_closed(ctx, link);
	gossip_link_closed(ctx, link);
	link_free(link);
}

/*
 * Handle the completed connection of an outgoing link.
 */
static void
on_opened(void *context)
{
	link_t *link = context;

	link->opened = true;
	link->last_received_us = clock_us();
}

/*
 * Pass a message to its handler.
 */
static void
dispatch(peer_ctx_t *ctx, link_t *link, const Bp__PeerMessage *message)
{
	switch (message->body_case) {
	case BP__PEER_MESSAGE__BODY_PING:
		gossip_handle_ping(ctx, link, message->ping);
		break;
	case BP__PEER_MESSAGE__BODY_ACK:
		gossip_handle_ack(ctx, link, message->ack);
		break;
	case BP__PEER_MESSAGE__BODY_PING_REQUEST:
		gossip_handle_ping_request(ctx, link, message->ping_request);
		break;
	case BP__PEER_MESSAGE__BODY_PING_REQUEST_ANSWER:
		gossip_handle_ping_request_answer(
		    ctx, message->ping_request_answer);
		break;
	case BP__PEER_MESSAGE__BODY_DOCUMENT_VERSIONS:
		gossip_handle_versions(ctx, link, message->document_versions);
		break;
	case BP__PEER_MESSAGE__BODY_DOCUMENT_FETCH:
		gossip_handle_fetch(ctx, link, message->document_fetch);
		break;
	case BP__PEER_MESSAGE__BODY_DOCUMENT:
		gossip_handle_document(ctx, message->document);
		break;
	case BP__PEER_MESSAGE__BODY_FORWARD:
		relay_handle_forward(ctx, link, message->forward);
		break;
	case BP__PEER_MESSAGE__BODY_FORWARD_ANSWER:
		relay_handle_forward_answer(ctx, link, message->forward_answer);
		break;
	case BP__PEER_MESSAGE__BODY_WITNESS_ASK:
		relay_handle_witness_ask(ctx, link, message->witness_ask);
		break;
	case BP__PEER_MESSAGE__BODY_WITNESS_TELL:
		relay_handle_witness_tell(ctx, message->witness_tell);
		break;
	case BP__PEER_MESSAGE__BODY_STATUS_ASK:
		relay_handle_status_ask(ctx, link, message->status_ask);
		break;
	case BP__PEER_MESSAGE__BODY_STATUS_TELL:
		relay_handle_status_tell(ctx, message->status_tell);
		break;
	default:
		break;
	}
}

/*
 * Handle a message received on a link.
 */
static void
on_received(void *context, arena_t *arena, Bp__PeerMessage *message)
{
	link_t *link = context;

	link->last_received_us = clock_us();
	dispatch(link->ctx, link, message);
	arena_free(arena);
}

/*
 * Handle the end of a link's connection.
 */
static void
on_closed(void *context, int32_t error)
{
	link_t *link = context;

	if (error == -EBADMSG || error == -EMSGSIZE) {
		link->ctx->counts[COUNT_LINKS_DROPPED]++;
		log_line(LOG_PART, G_LOG_LEVEL_WARNING,
		    "Closed a link with unreadable frames.");
	}
	link_close(link);
}

static const frame_ops_t frame_ops = {on_opened, on_received, on_closed};

/*
 * Create a link that has no connection yet.
 */
static link_t *
link_new(peer_ctx_t *ctx, const char *host_port)
{
	link_t *link = g_new0(link_t, 1);

	link->ctx = ctx;
	link->host_port = g_strdup(host_port);
	link->forwards =
	    g_hash_table_new_full(g_int64_hash, g_int64_equal, g_free, NULL);
	return link;
}

/*
 * Return the outgoing link to an address, connecting it if there is none.
 * Returns NULL if the address is invalid.
 */
link_t *
link_connect(peer_ctx_t *ctx, const char *address, uint32_t port)
{
	char *host_port = g_strdup_printf("%s:%u", address, port);
	link_t *link = g_hash_table_lookup(ctx->links, host_port);

	if (link == NULL) {
		link = link_new(ctx, host_port);
		link->frames = frame_connect(task_main_context(ctx->task),
		    address, port, ctx->daemon->settings->limits->frame_bytes,
		    &frame_ops, link);
		if (link->frames == NULL) {
			link_free(link);
			link = NULL;
		} else {
			g_hash_table_insert(ctx->links, link->host_port, link);
		}
	}
	g_free(host_port);
	return link;
}

/*
 * Return the outgoing link to a member, connecting it if there is none.
 */
link_t *
link_connect_member(peer_ctx_t *ctx, const member_t *member)
{
	return link_connect(ctx, member->attrs.address, member->attrs.port);
}

/*
 * Return the outgoing link to a member, or NULL if there is none.
 */
static link_t *
link_find(peer_ctx_t *ctx, const member_t *member)
{
	char host_port[128];

	g_snprintf(host_port, sizeof(host_port), "%s:%u", member->attrs.address,
	    member->attrs.port);
	return g_hash_table_lookup(ctx->links, host_port);
}

/*
 * Close the outgoing link to a member that is dead.
 */
void
link_close_to_member(peer_ctx_t *ctx, const member_t *member)
{
	link_t *link = link_find(ctx, member);

	if (link != NULL)
		link_close(link);
}

/*
 * Retire the link to a member that did not answer a ping in time.  New messages
 * use a new link.  The old link stays open for pending answers until it is
 * found to be unresponsive.
 */
void
link_retire(peer_ctx_t *ctx, const member_t *member)
{
	link_t *link = link_find(ctx, member);

	if (link == NULL)
		return;
	if (!link->opened) {
		link_close(link);
		return;
	}
	g_hash_table_remove(ctx->links, link->host_port);
	link->retired_us = clock_us();
	g_ptr_array_add(ctx->retired, link);
}

/*
 * Close retired links that have received data since and have no pending
 * answers, and those that have received nothing within the timeout although
 * their replacement has.
 */
static void
close_retired_links(peer_ctx_t *ctx, int64_t now_us)
{
	int64_t timeout_us =
	    (int64_t)US_PER_MS * ctx->daemon->settings->timeouts->silence_ms;
	uint32_t i = ctx->retired->len;

	while (i-- > 0) {
		link_t *link = g_ptr_array_index(ctx->retired, i);
		const link_t *replacement =
		    g_hash_table_lookup(ctx->links, link->host_port);
		bool received = link->last_received_us > link->retired_us;
		bool unresponsive = !received && replacement != NULL &&
		    replacement->opened &&
		    replacement->last_received_us > link->retired_us &&
		    now_us - link->retired_us >= timeout_us;

		if (unresponsive)
			log_line(LOG_PART, G_LOG_LEVEL_INFO,
			    "Closed the silent link to %s.", link->host_port);
		if (unresponsive ||
		    (received && g_hash_table_size(link->forwards) == 0))
			link_close(link);
	}
}

/*
 * Send a message on a link.  Returns 0 or a negative error number.
 */
int32_t
link_send(link_t *link, const Bp__PeerMessage *message)
{
	return frame_send(link->frames, message);
}

/*
 * Accept a connection from another daemon.
 */
static gboolean
on_incoming(GSocketService *service, GSocketConnection *connection,
    GObject *source, gpointer context)
{
	peer_ctx_t *ctx = context;
	GSocket *socket = g_socket_connection_get_socket(connection);
	link_t *link;

	(void)service;
	(void)source;
	if (ctx->inbound->len >= INBOUND_LINKS_MAX) {
		ctx->counts[COUNT_LINKS_DROPPED]++;
		g_io_stream_close(G_IO_STREAM(connection), NULL, NULL);
		return TRUE;
	}
	/* the connection object closes the socket when it is freed */
	g_object_set_data_full(
	    G_OBJECT(socket), "connection", g_object_ref(connection), NULL);
	link = link_new(ctx, NULL);
	link->opened = true;
	g_ptr_array_add(ctx->inbound, link);
	link->frames =
	    frame_accept(task_main_context(ctx->task), g_object_ref(socket),
		ctx->daemon->settings->limits->frame_bytes, &frame_ops, link);
	return TRUE;
}

/*
 * Close links on which a frame has been incomplete for too long.
 */
static void
close_stalled_links(peer_ctx_t *ctx, int64_t now_us)
{
	int64_t timeout_us =
	    (int64_t)US_PER_MS * ctx->daemon->settings->timeouts->request_ms;
	uint32_t i = ctx->inbound->len;

	while (i-- > 0) {
		link_t *link = g_ptr_array_index(ctx->inbound, i);
		int64_t partial_since_us = frame_partial_since_us(link->frames);

		if (partial_since_us != 0 &&
		    now_us - partial_since_us >= timeout_us) {
			ctx->counts[COUNT_LINKS_DROPPED]++;
			link_close(link);
		}
	}
}

/*
 * Run the periodic work of the task.
 */
static gboolean
on_tick(gpointer context)
{
	peer_ctx_t *ctx = context;
	int64_t now_us = clock_us();

	gossip_tick(ctx, now_us);
	close_stalled_links(ctx, now_us);
	close_retired_links(ctx, now_us);
	return G_SOURCE_CONTINUE;
}

/*
 * Create the state of the peer task, to be passed to task_new().
 */
void *
peer_new(const daemon_t *daemon)
{
	const Bp__Settings *settings = daemon->settings;
	const Bp__Timeouts *timeouts = settings->timeouts;
	member_limits_t limits = {
	    (int64_t)timeouts->member_interval_ms * US_PER_MS,
	    (int64_t)timeouts->member_timeout_ms * US_PER_MS,
	    (int64_t)timeouts->suspicion_ms * US_PER_MS, DEAD_RETENTION_US};
	member_attrs_t self = {settings->name, settings->address,
	    settings->zone, settings->peer_port, daemon->incarnation,
	    MEMBER_ALIVE};
	peer_ctx_t *ctx = g_new0(peer_ctx_t, 1);
	size_t i;

	ctx->daemon = daemon;
	ctx->rand = g_rand_new();
	ctx->members = members_new(&limits, &self, g_rand_int(ctx->rand));
	ctx->links = g_hash_table_new(g_str_hash, g_str_equal);
	ctx->inbound = g_ptr_array_new();
	ctx->retired = g_ptr_array_new();
	ctx->peer_requests =
	    g_hash_table_new_full(g_int64_hash, g_int64_equal, NULL, g_free);
	ctx->indirect_probes = g_hash_table_new_full(
	    g_int64_hash, g_int64_equal, NULL, indirect_probe_free);
	ctx->status_queries = g_hash_table_new(g_int64_hash, g_int64_equal);
	ctx->documents = g_hash_table_new_full(
	    g_str_hash, g_str_equal, NULL, held_document_free);
	ctx->seeds = g_ptr_array_new_with_free_func(g_free);
	for (i = 0; i < settings->n_seeds; i++)
		g_ptr_array_add(ctx->seeds,
		    g_strdup_printf("%s:%u", settings->seeds[i]->address,
			settings->seeds[i]->port));
	return ctx;
}

/*
 * Free the state of the task after the task has ended.
 */
void
peer_free(void *context)
{
	peer_ctx_t *ctx = context;

	members_free(ctx->members);
	g_hash_table_unref(ctx->links);
	g_ptr_array_unref(ctx->inbound);
	g_ptr_array_unref(ctx->retired);
	g_hash_table_unref(ctx->peer_requests);
	g_hash_table_unref(ctx->indirect_probes);
	g_hash_table_unref(ctx->status_queries);
	g_hash_table_unref(ctx->documents);
	g_ptr_array_unref(ctx->seeds);
	g_rand_free(ctx->rand);
	g_free(ctx);
}

/*
 * Start the task: listen for other daemons.
 */
static int32_t
on_start(void *context, task_t *task)
{
	peer_ctx_t *ctx = context;
	const Bp__Settings *settings = ctx->daemon->settings;
	GSocketAddress *address = g_inet_socket_address_new_from_string(
	    settings->address, settings->peer_port);
	GError *error = NULL;

	ctx->task = task;
	ctx->listener = g_socket_service_new();
	g_socket_listener_set_backlog(
	    G_SOCKET_LISTENER(ctx->listener), SOCK_BACKLOG);
	if (!g_socket_listener_add_address(G_SOCKET_LISTENER(ctx->listener),
		address, G_SOCKET_TYPE_STREAM, G_SOCKET_PROTOCOL_TCP, NULL,
		NULL, &error)) {
		log_line(LOG_PART, G_LOG_LEVEL_WARNING,
		    "Cannot listen on %s port %u: %s.", settings->address,
		    settings->peer_port, error->message);
		g_error_free(error);
		g_object_unref(address);
		g_object_unref(ctx->listener);
		return -EADDRINUSE;
	}
	g_object_unref(address);
	g_signal_connect(
	    ctx->listener, "incoming", G_CALLBACK(on_incoming), ctx);
	ctx->tick_timer = task_timer(task, TICK_MS, on_tick, ctx);
	gossip_publish_members(ctx);
	return 0;
}

/*
 * Stop the task: close the listening socket and all links.
 */
static void
on_stop(void *context)
{
	peer_ctx_t *ctx = context;
	GList *links = g_hash_table_get_values(ctx->links), *l;

	source_clear(&ctx->tick_timer);
	g_socket_service_stop(ctx->listener);
	g_socket_listener_close(G_SOCKET_LISTENER(ctx->listener));
	g_object_unref(ctx->listener);
	for (l = links; l != NULL; l = l->next)
		link_close(l->data);
	g_list_free(links);
	while (ctx->retired->len > 0)
		link_close(g_ptr_array_index(ctx->retired, 0));
	while (ctx->inbound->len > 0)
		link_close(g_ptr_array_index(ctx->inbound, 0));
}

/*
 * Forward a statement of the front-end task to another daemon.
 */
static void
on_forward_statement(void *context, msg_t *msg)
{
	relay_forward_statement(
	    context, (const Bp__ForwardStatement *)msg->body);
	msg_free(msg);
}

/*
 * Return the group task's answer to the daemon that forwarded the statement.
 */
static void
on_statement_answered(void *context, msg_t *msg)
{
	relay_return_answer(context, (const Bp__StatementAnswered *)msg->body);
	msg_free(msg);
}

/*
 * Replace the seeds with those of the settings and the live daemons among the
 * platform's VMs.
 */
static void
on_vms_listed(void *context, msg_t *msg)
{
	const Bp__VmsListed *listed = (const Bp__VmsListed *)msg->body;
	peer_ctx_t *ctx = context;
	const Bp__Settings *settings = ctx->daemon->settings;
	size_t i;

	g_ptr_array_set_size(ctx->seeds, 0);
	for (i = 0; i < settings->n_seeds; i++)
		g_ptr_array_add(ctx->seeds,
		    g_strdup_printf("%s:%u", settings->seeds[i]->address,
			settings->seeds[i]->port));
	for (i = 0; i < listed->n_vms; i++) {
		const Bp__Vm *vm = listed->vms[i];

		if (vm->daemon && vm->state == BP__VM_STATE__LIVE)
			g_ptr_array_add(ctx->seeds,
			    g_strdup_printf("%s:%u", vm->address, vm->port));
	}
	msg_free(msg);
}

/*
 * Announce a document that this daemon has put in force to the other daemons.
 */
static void
on_document_in_force(void *context, msg_t *msg)
{
	gossip_document_in_force(
	    context, ((const Bp__DocumentInForce *)msg->body)->accepted);
	msg_free(msg);
}

/*
 * Ask another daemon to probe a database, for the group task.
 */
static void
on_witness_probe_request(void *context, msg_t *msg)
{
	relay_request_witness_probe(
	    context, (const Bp__WitnessProbeRequest *)msg->body);
	msg_free(msg);
}

/*
 * Return the result of a witness probe to the daemon that requested it.
 */
static void
on_witness_probe_result(void *context, msg_t *msg)
{
	relay_return_witness_result(
	    context, (const Bp__WitnessProbeResult *)msg->body);
	msg_free(msg);
}

/*
 * Announce that this daemon is draining, so that the other daemons send it no
 * new statements.
 */
static void
on_drain(void *context, msg_t *msg)
{
	peer_ctx_t *ctx = context;
	msg_t *out = msg_new(&bp__drained__descriptor);

	gossip_leave(ctx);
	((Bp__Drained *)out->body)->task = arena_strdup(out->arena, "peer");
	task_send(ctx->daemon->control, ctx->task, out);
	msg_free(msg);
}

/*
 * Handle StatusRequest: query the other daemons, then answer with this task's
 * part of the status page.
 */
static void
on_status_request(void *context, msg_t *msg)
{
	const Bp__StatusRequest *request = (const Bp__StatusRequest *)msg->body;

	relay_query_status(context, msg->from, request->id);
	msg_free(msg);
}

/*
 * Add the members and the counters to a part of the status page.
 */
void
peer_report(peer_ctx_t *ctx, arena_t *arena, Bp__StatusPart *part)
{
	counters_t counters = {counter_names, ctx->counts, PEER_COUNTERS, 0};
	uint32_t i, n = members_count(ctx->members);

	counters_report(&counters, arena, part);
	part->members = arena_zalloc(arena, sizeof(part->members[0]) * n);
	for (i = 0; i < n; i++) {
		const member_t *member = members_at(ctx->members, i);
		Bp__MemberStatus *status = (Bp__MemberStatus *)message_new(
		    arena, &bp__member_status__descriptor);

		status->name = arena_strdup(arena, member->attrs.name);
		status->zone = arena_strdup(arena, member->attrs.zone);
		status->state = (Bp__MemberState)member->attrs.state;
		status->incarnation = member->attrs.incarnation;
		part->members[part->n_members++] = status;
	}
}

static const task_handler_t handlers[] = {
    {&bp__forward_statement__descriptor, on_forward_statement},
    {&bp__statement_answered__descriptor, on_statement_answered},
    {&bp__vms_listed__descriptor, on_vms_listed},
    {&bp__document_in_force__descriptor, on_document_in_force},
    {&bp__witness_probe_request__descriptor, on_witness_probe_request},
    {&bp__witness_probe_result__descriptor, on_witness_probe_result},
    {&bp__drain__descriptor, on_drain},
    {&bp__status_request__descriptor, on_status_request},
};

const task_ops_t peer_ops = {
    "peer", on_start, on_stop, handlers, G_N_ELEMENTS(handlers)};
