#include "peers.h"

#include "order_messages.h"

#include <errno.h>

/*
 * Links that other daemons have opened.  Besides revocations they carry
 * statements, which the pool task runs and answers like those of this daemon's
 * own clients.  The end of a link rolls back the transactions that came on it.
 */

#define LOG_PART "peers"

/*
 * In the pool, a session of another daemon has an id made from the link and the
 * id that the other daemon gave it.  The highest bit tells it from the sessions
 * of this daemon's clients.
 */
#define SESSION_BITS 40
#define SESSION_MASK ((UINT64_C(1) << SESSION_BITS) - 1)
#define FOREIGN_SESSION (UINT64_C(1) << 63)

/* Largest number of log lines a second about links with unreadable frames. */
#define LINES_PER_SECOND 1

/* Time for which a link may end earlier than its daemon has told. */
#define KEPT_MARGIN_US (100 * US_PER_MS)

/* Interval of the timer that drains the links during shutdown. */
#define DRAIN_TICK_MS 50

/*
 * Time after the announcement of the shutdown in which statements that were
 * already on their way still arrive.
 */
#define DRAIN_MIN_US (1000 * US_PER_MS)

/* Time before the end of the grace period at which draining stops. */
#define GRACE_MARGIN_US (700 * US_PER_MS)

/*
 * Return the pool's id of a session of another daemon.
 */
static uint64_t
pool_session(const incoming_link_t *incoming, uint64_t session)
{
	return FOREIGN_SESSION | incoming->id << SESSION_BITS |
	    (session & SESSION_MASK);
}

/*
 * Return the link of a session by the pool's id, or NULL if the link has ended.
 */
static incoming_link_t *
link_of_session(const peers_t *peers, uint64_t session)
{
	uint64_t id = (session & ~FOREIGN_SESSION) >> SESSION_BITS;

	return g_hash_table_lookup(peers->incoming, &id);
}

/*
 * Note whether another daemon wants news of the store, and tell the registry
 * task how many do.
 */
static void
set_follows_store(incoming_link_t *incoming, bool follows)
{
	peers_t *peers = incoming->peers;
	msg_t *msg;

	if (incoming->follows_store == follows)
		return;
	incoming->follows_store = follows;
	peers->followers += follows ? 1 : -1;
	msg = msg_new(&bp__store_followers__descriptor);
	((Bp__StoreFollowers *)msg->body)->followers = peers->followers;
	task_send(peers->proxy->registry, peers->task, msg);
}

/*
 * Have the pool roll back a transaction.
 */
static void
drop_transaction(const incoming_link_t *incoming, uint64_t session)
{
	peers_t *peers = incoming->peers;
	msg_t *msg = msg_new(&bp__drop_transaction__descriptor);

	((Bp__DropTransaction *)msg->body)->session = session;
	task_send(peers->proxy->pool, peers->task, msg);
}

/*
 * Roll back all transactions of a link.
 */
static void
drop_all_transactions(incoming_link_t *incoming)
{
	GHashTableIter iter;
	gpointer key;

	g_hash_table_iter_init(&iter, incoming->transactions);
	while (g_hash_table_iter_next(&iter, &key, NULL)) {
		drop_transaction(incoming, *(const uint64_t *)key);
		g_hash_table_iter_remove(&iter);
	}
}

/*
 * Free a connection that another daemon opened.
 */
void
incoming_free(gpointer p)
{
	incoming_link_t *incoming = p;

	drop_all_transactions(incoming);
	g_hash_table_unref(incoming->transactions);
	frame_free(incoming->link);
	g_free(incoming->revoked_group);
	g_free(incoming);
}

/*
 * Answer a revocation with the highest fencing token that this daemon knows,
 * the newest term in which it knows a primary of the group, the open orders
 * that it knows, and an order that the record may lack.
 */
void
incoming_send_revoked(incoming_link_t *incoming, const Bp__RevokeAsked *asked)
{
	Bp__PeerMessage message = BP__PEER_MESSAGE__INIT;
	Bp__LeaseRevoked revoked = BP__LEASE_REVOKED__INIT;

	revoked.id = asked->id;
	revoked.token = incoming->peers->token;
	revoked.has_newest_term = 1;
	revoked.newest_term = asked->newest_term;
	revoked.open = asked->open;
	revoked.n_open = asked->n_open;
	revoked.order = asked->order;
	revoked.daemon = incoming->peers->proxy->settings->name;
	revoked.has_start = 1;
	revoked.start = incoming->peers->proxy->start;
	revoked.has_recorded = 1;
	revoked.recorded = incoming->peers->token_recorded;
	message.body_case = BP__PEER_MESSAGE__BODY_LEASE_REVOKED;
	message.lease_revoked = &revoked;
	frame_send(incoming->link, &message);
}

/*
 * Handle a revocation.  It is passed to the pool task, unless its fencing token
 * is outdated because another daemon has become coordinator since.  Then the
 * answer carries the newer token.
 */
static void
on_lease_revoke(incoming_link_t *incoming, const Bp__LeaseRevoke *revoke)
{
	peers_t *peers = incoming->peers;
	Bp__RevokeAsked *asked;
	msg_t *msg;

	if (revoke->token < peers->token) {
		Bp__RevokeAsked refused = BP__REVOKE_ASKED__INIT;

		refused.id = revoke->id;
		incoming_send_revoked(incoming, &refused);
		return;
	}
	if (revoke->term != 0 && !revoke->begun) {
		g_free(incoming->revoked_group);
		incoming->revoked_group = g_strdup(revoke->group);
		incoming->kept_until_us =
		    clock_us() + (int64_t)revoke->kept_ms * US_PER_MS;
	}
	msg = msg_new(&bp__revoke_asked__descriptor);
	asked = (Bp__RevokeAsked *)msg->body;
	peers_note_token(peers, revoke->token);
	asked->link = incoming->id;
	asked->id = revoke->id;
	asked->group = arena_strdup(msg->arena, revoke->group);
	asked->term = revoke->term;
	asked->has_begun = 1;
	asked->begun = revoke->begun;
	asked->has_token = 1;
	asked->token = revoke->token;
	if (revoke->order != NULL)
		asked->order = (Bp__RecordedOrder *)message_copy(
		    msg->arena, &revoke->order->base);
	asked->n_open = revoke->n_open;
	asked->open =
	    open_orders_copy(msg->arena, revoke->open, revoke->n_open);
	task_send(peers->proxy->pool, peers->task, msg);
}

/*
 * Answer the question whether a fencing token is the newest one.  From then on
 * this daemon refuses those of former coordinators.
 */
static void
on_token_ask(incoming_link_t *incoming, const Bp__TokenAsk *ask)
{
	peers_t *peers = incoming->peers;
	Bp__PeerMessage message = BP__PEER_MESSAGE__INIT;
	Bp__TokenTell tell = BP__TOKEN_TELL__INIT;

	peers_note_token(peers, ask->token);
	tell.id = ask->id;
	tell.token = peers->token;
	tell.recorded = peers->token_recorded;
	tell.daemon = peers->proxy->settings->name;
	tell.has_start = 1;
	tell.start = peers->proxy->start;
	message.body_case = BP__PEER_MESSAGE__BODY_TOKEN_TELL;
	message.token_tell = &tell;
	frame_send(incoming->link, &message);
}

/*
 * Pass a statement of another daemon to the pool.  Takes over the arena, which
 * holds the statement.
 */
static void
on_run_operation(
    incoming_link_t *incoming, arena_t *arena, Bp__RunOperation *run)
{
	peers_t *peers = incoming->peers;

	run->session = pool_session(incoming, run->session);
	incoming->statements++;
	if (run->in_transaction)
		g_hash_table_add(incoming->transactions,
		    g_memdup2(&run->session, sizeof(run->session)));
	task_send(
	    peers->proxy->pool, peers->task, msg_adopt(arena, &run->base));
}

/*
 * Answer a probe.
 */
static void
send_probe_answer(incoming_link_t *incoming)
{
	Bp__PeerMessage message = BP__PEER_MESSAGE__INIT;
	Bp__OwnerProbeAnswer answer = BP__OWNER_PROBE_ANSWER__INIT;

	message.body_case = BP__PEER_MESSAGE__BODY_OWNER_PROBE_ANSWER;
	message.owner_probe_answer = &answer;
	frame_send(incoming->link, &message);
}

/*
 * Tell another daemon that this one shuts down.
 */
static void
send_leaving(incoming_link_t *incoming)
{
	Bp__PeerMessage message = BP__PEER_MESSAGE__INIT;
	Bp__OwnerLeaving leaving = BP__OWNER_LEAVING__INIT;

	message.body_case = BP__PEER_MESSAGE__BODY_OWNER_LEAVING;
	message.owner_leaving = &leaving;
	frame_send(incoming->link, &message);
}

/*
 * Handle a message from another daemon.
 */
static void
on_received(void *context, arena_t *arena, Bp__PeerMessage *message)
{
	incoming_link_t *incoming = context;
	uint64_t session;

	switch (message->body_case) {
	case BP__PEER_MESSAGE__BODY_RUN_OPERATION:
		on_run_operation(incoming, arena, message->run_operation);
		return;
	case BP__PEER_MESSAGE__BODY_DROP_TRANSACTION:
		session =
		    pool_session(incoming, message->drop_transaction->session);
		g_hash_table_remove(incoming->transactions, &session);
		drop_transaction(incoming, session);
		break;
	case BP__PEER_MESSAGE__BODY_OWNER_PROBE:
		send_probe_answer(incoming);
		break;
	case BP__PEER_MESSAGE__BODY_STORE_FOLLOW:
		set_follows_store(incoming, message->store_follow->follow);
		break;
	case BP__PEER_MESSAGE__BODY_LEASE_REVOKE:
		on_lease_revoke(incoming, message->lease_revoke);
		break;
	case BP__PEER_MESSAGE__BODY_TOKEN_ASK:
		on_token_ask(incoming, message->token_ask);
		break;
	default:
		log_line(LOG_PART, G_LOG_LEVEL_WARNING,
		    "Ignored a peer message of unexpected kind %d.",
		    message->body_case);
		break;
	}
	arena_free(arena);
}

/*
 * Tell the pool if a connection on which a revocation came ends before its
 * daemon ends it: that daemon has likely ended, or cannot go on.
 */
static void
check_revoker(const incoming_link_t *incoming)
{
	const peers_t *peers = incoming->peers;
	Bp__RevokerLost *lost;
	msg_t *msg;

	if (incoming->revoked_group == NULL ||
	    clock_us() >= incoming->kept_until_us - KEPT_MARGIN_US)
		return;
	msg = msg_new(&bp__revoker_lost__descriptor);
	lost = (Bp__RevokerLost *)msg->body;
	lost->group = arena_strdup(msg->arena, incoming->revoked_group);
	lost->link = incoming->id;
	task_send(peers->proxy->pool, peers->task, msg);
}

/*
 * Handle the end of a connection that another daemon opened: free it.
 */
static void
on_closed(void *context, int32_t error)
{
	incoming_link_t *incoming = context;
	peers_t *peers = incoming->peers;
	uint32_t suppressed;

	if ((error == -EBADMSG || error == -EMSGSIZE) &&
	    log_rate_limit_allow(&peers->unreadable_limit, clock_us(),
		LINES_PER_SECOND, &suppressed))
		log_line(LOG_PART, G_LOG_LEVEL_WARNING,
		    "Closed a link with an unreadable frame: %s; %u more such "
		    "lines were left out.",
		    g_strerror(-error), suppressed);
	check_revoker(incoming);
	set_follows_store(incoming, false);
	g_hash_table_remove(peers->incoming, &incoming->id);
}

static const frame_ops_t incoming_ops = {NULL, on_received, on_closed};

/*
 * Accept a connection of another daemon.
 */
void
incoming_accept(void *context, GSocket *socket)
{
	peers_t *peers = context;
	incoming_link_t *incoming = g_new0(incoming_link_t, 1);

	incoming->peers = peers;
	incoming->id = ++peers->next_id;
	incoming->transactions =
	    g_hash_table_new_full(g_int64_hash, g_int64_equal, g_free, NULL);
	incoming->link = frame_accept(task_main_context(peers->task), socket,
	    PEER_FRAME_BYTES_MAX, &incoming_ops, incoming);
	g_hash_table_insert(peers->incoming, &incoming->id, incoming);
	if (peers->drain_started_us != 0)
		send_leaving(incoming);
}

/*
 * Return the size of the frames that the links of other daemons have not taken.
 */
static uint64_t
buffered_bytes(const peers_t *peers)
{
	uint64_t size_bytes = 0;
	GHashTableIter iter;
	gpointer value;

	g_hash_table_iter_init(&iter, peers->incoming);
	while (g_hash_table_iter_next(&iter, NULL, &value))
		size_bytes += frame_buffered_bytes(
		    ((const incoming_link_t *)value)->link);
	return size_bytes;
}

/*
 * Check that there is memory for a result until the link has taken it.  If not,
 * roll a transaction back, and replace the result by an error.
 */
static void
check_room(incoming_link_t *incoming, Bp__OperationEnded *ended)
{
	peers_t *peers = incoming->peers;
	uint64_t size_bytes = result_bytes(ended);
	result_budget_t link = {
	    frame_buffered_bytes(incoming->link), LINK_RESULTS_BYTES_MAX};
	result_budget_t all = {0, PEERS_RESULTS_BYTES_MAX};
	result_discarded_t discarded = {.kind = ended->kind,
	    .in_transaction = ended->in_transaction,
	    .session = ended->session,
	    .result_bytes = size_bytes};
	const char *text;

	if (ended->verdict != BP__VERDICT__SUCCEEDED ||
	    size_bytes <= RESULT_SMALL_BYTES)
		return;
	all.held_bytes = discarded.held_bytes = buffered_bytes(peers);
	discarded.fit = result_budget_check(&link, 0, size_bytes, UINT64_MAX);
	if (discarded.fit == RESULT_FITS)
		discarded.fit =
		    result_budget_check(&all, 0, size_bytes, UINT64_MAX);
	if (discarded.fit == RESULT_FITS)
		return;
	if (ended->in_transaction)
		drop_transaction(incoming, ended->session);
	ended->verdict =
	    result_discard(&discarded, &peers->results_log_limit, &text);
	ended->text = (char *)text;
	ended->n_rows = 0;
	ended->in_transaction = false;
}

/*
 * Send the result of a statement to the daemon that it came from, unless its
 * link has ended.
 */
void
incoming_operation_ended(peers_t *peers, Bp__OperationEnded *ended)
{
	incoming_link_t *incoming = link_of_session(peers, ended->session);
	Bp__PeerMessage message = BP__PEER_MESSAGE__INIT;

	if (incoming == NULL) {
		log_line(LOG_PART, G_LOG_LEVEL_INFO,
		    "The result of a statement (%s) was not delivered, since "
		    "the link to its daemon has ended.",
		    protobuf_c_enum_descriptor_get_value(
			&bp__verdict__descriptor, ended->verdict)
			->name);
		return;
	}
	incoming->statements--;
	check_room(incoming, ended);
	if (ended->verdict != BP__VERDICT__SUCCEEDED || !ended->in_transaction)
		g_hash_table_remove(incoming->transactions, &ended->session);
	ended->session &= SESSION_MASK;
	message.body_case = BP__PEER_MESSAGE__BODY_OPERATION_ENDED;
	message.operation_ended = ended;
	frame_send(incoming->link, &message);
}

/*
 * Tell the daemon that a transaction came from that it was rolled back between
 * two statements.
 */
void
incoming_transaction_dropped(peers_t *peers, uint64_t session)
{
	incoming_link_t *incoming = link_of_session(peers, session);
	Bp__PeerMessage message = BP__PEER_MESSAGE__INIT;
	Bp__TransactionDropped dropped = BP__TRANSACTION_DROPPED__INIT;

	if (incoming == NULL)
		return;
	g_hash_table_remove(incoming->transactions, &session);
	dropped.session = session & SESSION_MASK;
	message.body_case = BP__PEER_MESSAGE__BODY_TRANSACTION_DROPPED;
	message.transaction_dropped = &dropped;
	frame_send(incoming->link, &message);
}

/*
 * Send news of the store to the daemons that have asked for them.
 */
void
incoming_send_news(peers_t *peers, Bp__StoreNews *news)
{
	Bp__PeerMessage message = BP__PEER_MESSAGE__INIT;
	GHashTableIter iter;
	gpointer value;

	message.body_case = BP__PEER_MESSAGE__BODY_STORE_NEWS;
	message.store_news = news;
	g_hash_table_iter_init(&iter, peers->incoming);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		const incoming_link_t *incoming = value;

		if (incoming->follows_store)
			frame_send(incoming->link, &message);
	}
}

/*
 * Handle the drain timer: send Left when no statement or transaction of another
 * daemon remains, or the grace period is nearly over.
 */
static gboolean
on_drain_tick(gpointer context)
{
	peers_t *peers = context;
	int64_t drained_for_us = clock_us() - peers->drain_started_us;
	GHashTableIter iter;
	gpointer value;
	uint32_t busy = 0;

	g_hash_table_iter_init(&iter, peers->incoming);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		const incoming_link_t *incoming = value;

		busy += incoming->statements +
		    g_hash_table_size(incoming->transactions);
	}
	if ((busy > 0 || drained_for_us < DRAIN_MIN_US) &&
	    drained_for_us < peers->grace_us - GRACE_MARGIN_US)
		return G_SOURCE_CONTINUE;
	source_clear(&peers->drain_timer);
	task_send(
	    peers->proxy->control, peers->task, msg_new(&bp__left__descriptor));
	task_dispatch_local();
	return G_SOURCE_REMOVE;
}

/*
 * Shut down within the grace period: tell the other daemons, and let the
 * statements and transactions that they have here end.
 */
void
incoming_drain(peers_t *peers, uint32_t grace_ms)
{
	GHashTableIter iter;
	gpointer value;

	peers->drain_started_us = clock_us();
	peers->grace_us = (int64_t)grace_ms * US_PER_MS;
	g_hash_table_iter_init(&iter, peers->incoming);
	while (g_hash_table_iter_next(&iter, NULL, &value))
		send_leaving(value);
	peers->drain_timer =
	    task_timer(peers->task, DRAIN_TICK_MS, on_drain_tick, peers);
}
