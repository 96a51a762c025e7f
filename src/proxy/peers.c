#include "peers.h"

#include "decide/daemon_record.h"
#include "decide/revocation.h"
#include "event.pb-c.h"
#include "order_messages.h"

#include <string.h>

/*
 * The peers task: revocation of leases, and the messages of the task.  Before a
 * change of primary, the coordinator asks all other daemons to revoke their
 * leases of the group.  It opens new connections for each such request.
 */

#define LOG_PART "peers"

/* Time limit for the other daemons to answer a revocation. */
#define REVOCATION_TIMEOUT_MS 2500

/* Interval at which daemons are asked again whose connections have ended. */
#define TARGET_RETRY_MS 200

/* A daemon that is asked to revoke its lease. */
typedef struct target {
	struct revocation *revocation;
	uint32_t index; /* of its state in the revocation */
	char *name;
	uint64_t start; /* of the process that its record names; 0: not known */
	char *address;  /* without the port */
	uint32_t port;
	frame_link_t *link; /* NULL: not connected */
	bool opened;        /* the connection was established */
	bool closed;        /* the connection has ended */
} target_t;

/* Revocation of the leases of a group below a term, at all daemons. */
typedef struct revocation {
	peers_t *peers;
	uint64_t id;
	char *group;
	uint64_t term;
	uint64_t token;
	bool begun;           /* a primary leads the term */
	bool incomplete;      /* other daemons may have leases */
	bool confirms;        /* most daemons have to confirm the token */
	uint64_t newest_term; /* newest term that a target has reported */
	uint64_t asked_us;    /* time of the request */
	int64_t began_us;
	task_t *requester; /* receives RevokeEnded */
	bool majority_reported;
	bool all_reported;
	/* open orders of the group: those to tell, and those that the targets
	   have reported */
	open_orders_t open_orders;
	open_orders_t reported_orders;
	/* what to tell of the orders of the group, or NULL, and the newest
	   order that the targets have reported, or NULL */
	const Bp__RecordedOrder *order;
	Bp__RecordedOrder *reported_order;
	/* if not 0, most daemons only have to confirm the token, so that the
	   coordinator record of this revision may be replaced */
	uint64_t unreadable_revision;
	uint32_t of_daemons; /* most of at least so many */
	arena_t *arena;      /* of these orders */
	GPtrArray *targets;  /* of target_t */
	GArray *states;      /* of revocation_target_t, one for each target */
	GSource *timeout;
	GSource *retry_timer;
} revocation_t;

/*
 * Create the context of the peers task, for task_new_hosted().
 */
void *
peers_new(const proxy_t *proxy)
{
	peers_t *peers = g_new0(peers_t, 1);

	peers->proxy = proxy;
	return peers;
}

/*
 * Free the context of the peers task, after the task has been freed.
 */
void
peers_free(void *context)
{
	g_free(context);
}

/*
 * Free a target of a revocation, and close the connection to it.
 */
static void
target_free(gpointer p)
{
	target_t *target = p;

	frame_free(target->link);
	g_free(target->address);
	g_free(target->name);
	g_free(target);
}

/*
 * Free a revocation and its targets.
 */
static void
revocation_free(gpointer p)
{
	revocation_t *revocation = p;

	source_clear(&revocation->timeout);
	source_clear(&revocation->retry_timer);
	g_ptr_array_unref(revocation->targets);
	g_array_unref(revocation->states);
	open_orders_clear(&revocation->open_orders);
	open_orders_clear(&revocation->reported_orders);
	arena_free(revocation->arena);
	g_free(revocation->group);
	g_free(revocation);
}

/*
 * Return the state of a target.
 */
static revocation_target_t *
target_state(const target_t *target)
{
	return &g_array_index(
	    target->revocation->states, revocation_target_t, target->index);
}

/*
 * Report the progress of a revocation to its requester.
 */
static void
revocation_report(const revocation_t *revocation, Bp__RevokeState state)
{
	peers_t *peers = revocation->peers;
	msg_t *msg = msg_new(&bp__revoke_ended__descriptor);
	Bp__RevokeEnded *ended = (Bp__RevokeEnded *)msg->body;

	ended->group = arena_strdup(msg->arena, revocation->group);
	ended->term = revocation->term;
	ended->state = state;
	ended->has_unreadable_revision = 1;
	ended->unreadable_revision = revocation->unreadable_revision;
	ended->has_token = 1;
	ended->token = revocation->token;
	ended->has_asked_us = 1;
	ended->asked_us = revocation->asked_us;
	ended->has_begun = 1;
	ended->begun = revocation->begun;
	ended->has_newest_term = 1;
	ended->newest_term = revocation->newest_term;
	ended->open = open_orders_write(&revocation->reported_orders,
	    msg->arena, clock_us(), &ended->n_open);
	if (revocation->reported_order != NULL)
		ended->order = (Bp__RecordedOrder *)message_copy(
		    msg->arena, &revocation->reported_order->base);
	task_send(revocation->requester, peers->task, msg);
}

/*
 * Log which daemons have revoked their leases for a failover, how the others
 * were found, and what the wait for leases rests on.
 */
static void
log_revoked(const revocation_t *revocation, bool all)
{
	Bp__LeasesRevoked revoked = BP__LEASES_REVOKED__INIT;
	arena_t *arena = arena_new();
	uint64_t size_bytes = sizeof(char *) * (revocation->targets->len + 1);
	uint32_t i;

	revoked.group = revocation->group;
	revoked.term = revocation->term;
	revoked.token = revocation->token;
	revoked.all = all;
	revoked.confirmed = arena_zalloc(arena, size_bytes);
	revoked.missing = arena_zalloc(arena, size_bytes);
	revoked.refused = arena_zalloc(arena, size_bytes);
	revoked.reset = arena_zalloc(arena, size_bytes);
	revoked.waited_for = arena_zalloc(arena, size_bytes);
	revoked.unread = arena_zalloc(arena, size_bytes);
	revoked.wait = all ? BP__LEASE_WAIT__ANSWERS : BP__LEASE_WAIT__EXPIRY;
	for (i = 0; i < revocation->targets->len; i++) {
		const target_t *target =
		    g_ptr_array_index(revocation->targets, i);
		const revocation_target_t *state = target_state(target);

		if (contact_shows_state(state->contact)) {
			revoked.confirmed[revoked.n_confirmed++] = target->name;
			if (!state->token_recorded)
				revoked.unread[revoked.n_unread++] =
				    target->name;
			continue;
		}
		revoked.missing[revoked.n_missing++] = target->name;
		if (state->contact == CONTACT_REFUSED)
			revoked.refused[revoked.n_refused++] = target->name;
		else if (state->contact == CONTACT_RESET)
			revoked.reset[revoked.n_reset++] = target->name;
		if (!all && state->holds_leases)
			revoked.waited_for[revoked.n_waited_for++] =
			    target->name;
	}
	log_event(G_LOG_LEVEL_INFO, &revoked.base);
	arena_free(arena);
}

/*
 * End a revocation after its timeout.  A failover that depends on it waits
 * until the leases of the daemons that have not answered have expired.
 */
static gboolean
on_timeout(gpointer context)
{
	revocation_t *revocation = context;
	peers_t *peers = revocation->peers;

	if (!revocation->all_reported && !revocation->begun &&
	    revocation->term != 0)
		log_revoked(revocation, false);
	peers->revocations = g_list_remove(peers->revocations, revocation);
	revocation_free(revocation);
	return G_SOURCE_REMOVE;
}

/*
 * Log and report that most daemons have revoked their leases, or all that may
 * hold some.
 */
static void
report_revoked(const revocation_t *revocation, Bp__RevokeState state)
{
	if (!revocation->begun)
		log_revoked(revocation, state == BP__REVOKE_STATE__ALL);
	revocation_report(revocation, state);
}

/*
 * Report to the requester when a majority of the daemons has answered, and when
 * in addition all that hold leases have.  If the token has to be confirmed, a
 * majority must have done so.
 */
static void
revocation_check(revocation_t *revocation)
{
	const revocation_target_t *states =
	    (const revocation_target_t *)(void *)revocation->states->data;
	revocation_count_t count =
	    revocation_count(states, revocation->states->len);
	revocation_progress_t progress =
	    revocation_progress(&count, revocation->incomplete);

	if (revocation->confirms &&
	    !revocation_confirms_token(&count, revocation->of_daemons))
		return;
	if (revocation->unreadable_revision != 0) {
		if (revocation->majority_reported)
			return;
		revocation->majority_reported = true;
		revocation_report(revocation, BP__REVOKE_STATE__MOST);
	} else if (progress == REVOCATION_BY_ALL) {
		if (!revocation->all_reported)
			report_revoked(revocation, BP__REVOKE_STATE__ALL);
		revocation->all_reported = true;
	} else if (progress == REVOCATION_BY_MOST &&
	    !revocation->majority_reported) {
		revocation->majority_reported = true;
		report_revoked(revocation, BP__REVOKE_STATE__MOST);
	}
}

/*
 * Note a fencing token that another daemon knows, and tell the registry task of
 * it if it is newer than those before.
 */
void
peers_note_token(peers_t *peers, uint64_t token)
{
	msg_t *msg;

	if (token <= peers->token)
		return;
	peers->token = token;
	msg = msg_new(&bp__token_seen__descriptor);
	((Bp__TokenSeen *)msg->body)->token = token;
	task_send(peers->proxy->registry, peers->task, msg);
}

/*
 * Handle the answer of a target, or of another process at its address, which
 * tells what that one knows, and nothing of the target.  token: the highest
 * fencing token that the sender knows; newest_term: the newest term in which it
 * knows a primary of the group.
 */
static void
target_answered(target_t *target, const process_t *sender, uint64_t token,
    uint64_t newest_term)
{
	revocation_t *revocation = target->revocation;
	process_t asked = {target->name, target->start};
	contact_t contact = contact_answered(&asked, sender);

	revocation->newest_term = MAX(revocation->newest_term, newest_term);
	peers_note_token(revocation->peers, token);
	if (token > revocation->token) {
		log_line(LOG_PART, G_LOG_LEVEL_MESSAGE,
		    "Daemon %s knows fencing token %" G_GUINT64_FORMAT
		    ", which is newer than %" G_GUINT64_FORMAT ".",
		    target->name, token, revocation->token);
		revocation_report(revocation, BP__REVOKE_STATE__OUTDATED);
		return;
	}
	if (!contact_shows_state(contact))
		log_line(LOG_PART, G_LOG_LEVEL_WARNING,
		    "Daemon %s, started at %" G_GUINT64_FORMAT
		    ", answers at the address of daemon %s, started at "
		    "%" G_GUINT64_FORMAT "; its answer does not count as that "
		    "one's.",
		    sender->name, sender->start, target->name, target->start);
	target_state(target)->contact = contact;
	revocation_check(revocation);
}

/*
 * Ask a target whether it knows a newer token.
 */
static void
ask_token(target_t *target)
{
	Bp__PeerMessage message = BP__PEER_MESSAGE__INIT;
	Bp__TokenAsk ask = BP__TOKEN_ASK__INIT;

	ask.id = target->revocation->id;
	ask.token = target->revocation->token;
	message.body_case = BP__PEER_MESSAGE__BODY_TOKEN_ASK;
	message.token_ask = &ask;
	frame_send(target->link, &message);
}

/*
 * Return the time for which the connections of a revocation are kept.
 */
static uint32_t
kept_ms(const revocation_t *revocation)
{
	int64_t left_us = revocation->began_us +
	    REVOCATION_TIMEOUT_MS * US_PER_MS - clock_us();

	return left_us <= 0 ? 0 : (uint32_t)(left_us / US_PER_MS);
}

/*
 * Send the revocation to a target.
 */
static void
send_revocation(target_t *target)
{
	Bp__PeerMessage message = BP__PEER_MESSAGE__INIT;
	Bp__LeaseRevoke revoke = BP__LEASE_REVOKE__INIT;
	arena_t *arena = arena_new();

	revoke.id = target->revocation->id;
	revoke.group = target->revocation->group;
	revoke.term = target->revocation->term;
	revoke.token = target->revocation->token;
	revoke.has_begun = 1;
	revoke.begun = target->revocation->begun;
	revoke.order = (Bp__RecordedOrder *)target->revocation->order;
	revoke.has_kept_ms = 1;
	revoke.kept_ms = kept_ms(target->revocation);
	revoke.open = open_orders_write(&target->revocation->open_orders, arena,
	    clock_us(), &revoke.n_open);
	message.body_case = BP__PEER_MESSAGE__BODY_LEASE_REVOKE;
	message.lease_revoke = &revoke;
	frame_send(target->link, &message);
	arena_free(arena);
}

/*
 * Send the request to a target, once the connection is open.
 */
static void
on_target_opened(void *context)
{
	target_t *target = context;

	target->opened = true;
	if (target->revocation->unreadable_revision != 0)
		ask_token(target);
	else
		send_revocation(target);
}

/*
 * Note an order that a target has reported.  Returns whether it is newer than
 * those before.
 */
static bool
order_reported(revocation_t *revocation, const Bp__RecordedOrder *order)
{
	if (order == NULL ||
	    (revocation->reported_order != NULL &&
		revocation->reported_order->attempt_term >=
		    order->attempt_term))
		return false;
	revocation->reported_order =
	    (Bp__RecordedOrder *)message_copy(revocation->arena, &order->base);
	return true;
}

/*
 * Handle a message from a target.  An order that it reports is passed on also
 * after the majority, or all, were reported.
 */
static void
on_target_received(void *context, arena_t *arena, Bp__PeerMessage *message)
{
	target_t *target = context;
	const Bp__LeaseRevoked *revoked = message->lease_revoked;
	const Bp__TokenTell *told = message->token_tell;
	revocation_target_t *state = target_state(target);
	bool answered = contact_shows_state(state->contact);
	process_t sender;

	if (message->body_case == BP__PEER_MESSAGE__BODY_TOKEN_TELL &&
	    target->revocation->unreadable_revision != 0 &&
	    told->id == target->revocation->id && !answered) {
		state->token_recorded = told->recorded;
		sender = (process_t){told->daemon, told->start};
		target_answered(target, &sender, told->token, 0);
	} else if (message->body_case == BP__PEER_MESSAGE__BODY_LEASE_REVOKED &&
	    revoked->id == target->revocation->id && !answered) {
		open_orders_read(&target->revocation->reported_orders,
		    revoked->open, revoked->n_open, OPEN_ORDER_TOLD,
		    clock_us());
		if (order_reported(target->revocation, revoked->order))
			target->revocation->majority_reported =
			    target->revocation->all_reported = false;
		state->token_recorded = revoked->recorded;
		sender = (process_t){revoked->daemon, revoked->start};
		target_answered(
		    target, &sender, revoked->token, revoked->newest_term);
	}
	arena_free(arena);
}

/*
 * Handle the end of the connection to a target.
 */
static void
on_target_closed(void *context, int32_t error)
{
	target_t *target = context;
	revocation_target_t *state = target_state(target);

	target->closed = true;
	if (!contact_shows_state(state->contact))
		state->contact = contact_ended(target->opened, error);
}

static const frame_ops_t target_ops = {
    on_target_opened, on_target_received, on_target_closed};

/*
 * Connect to a target.
 */
static void
target_connect(target_t *target)
{
	frame_free(target->link);
	target->opened = target->closed = false;
	target->link = frame_connect(
	    task_main_context(target->revocation->peers->task), target->address,
	    target->port, PEER_FRAME_BYTES_MAX, &target_ops, target);
	target->closed = target->link == NULL;
}

/*
 * Connect again to the targets that have not answered, and whose connections
 * have ended: something between may have refused or reset them, or the daemon
 * has started again.
 */
static gboolean
on_retry(gpointer context)
{
	revocation_t *revocation = context;
	uint32_t i;

	for (i = 0; !revocation->all_reported && i < revocation->targets->len;
	     i++) {
		target_t *target = g_ptr_array_index(revocation->targets, i);

		if (target->closed &&
		    !contact_shows_state(target_state(target)->contact))
			target_connect(target);
	}
	return G_SOURCE_CONTINUE;
}

/*
 * Add a daemon to the targets of a revocation, and connect to it.
 */
static void
target_add(revocation_t *revocation, const Bp__DaemonRecord *daemon)
{
	target_t *target = g_new0(target_t, 1);
	revocation_target_t state = {.holds_leases = daemon->leases ||
		revocation->begun ||
		open_orders_count(&revocation->open_orders) > 0};

	target->revocation = revocation;
	target->index = revocation->states->len;
	target->name = g_strdup(daemon->name);
	target->start = daemon->start;
	g_array_append_val(revocation->states, state);
	g_ptr_array_add(revocation->targets, target);
	if (address_split(daemon->address, &target->address, &target->port) <
	    0) {
		log_line(LOG_PART, G_LOG_LEVEL_WARNING,
		    "Daemon %s has an invalid address: %s.", daemon->name,
		    daemon->address);
		return;
	}
	target_connect(target);
}

/*
 * Ask no daemon again for the revocations of a group so far, since another one
 * begins.
 */
static void
stop_retries(const peers_t *peers, const char *group)
{
	GList *l;

	for (l = peers->revocations; l != NULL; l = l->next) {
		revocation_t *revocation = l->data;

		if (strcmp(revocation->group, group) == 0)
			source_clear(&revocation->retry_timer);
	}
}

/*
 * Tell whether a record is that of this daemon.  Another process under its name
 * may run elsewhere, and is asked like any other.
 */
static bool
is_this_daemon(const proxy_t *proxy, const Bp__DaemonRecord *daemon)
{
	daemon_record_t record = {
	    daemon->start, daemon->address, daemon->leases};

	return strcmp(daemon->name, proxy->settings->name) == 0 &&
	    daemon_record_is_own(
		&record, proxy->start, proxy->settings->peer_address);
}

/*
 * Handle RevokeWanted: start a revocation at all other daemons that the message
 * lists.
 */
static void
on_revoke_wanted(void *context, msg_t *msg)
{
	const Bp__RevokeWanted *wanted = (const Bp__RevokeWanted *)msg->body;
	peers_t *peers = context;
	revocation_t *revocation = g_new0(revocation_t, 1);
	bool outdated;
	size_t i;

	revocation->peers = peers;
	revocation->id = ++peers->next_id;
	revocation->began_us = clock_us();
	revocation->group = g_strdup(wanted->group);
	revocation->term = wanted->term;
	revocation->token = wanted->token;
	revocation->asked_us = wanted->asked_us;
	revocation->begun = wanted->begun;
	revocation->incomplete = wanted->incomplete;
	revocation->confirms = wanted->confirms;
	revocation->requester =
	    wanted->confirms ? peers->proxy->registry : peers->proxy->pool;
	revocation->unreadable_revision = wanted->unreadable_revision;
	revocation->of_daemons = (uint32_t)wanted->of_daemons;
	outdated = peers->token > wanted->token;
	peers->token = MAX(peers->token, wanted->token);
	revocation->arena = arena_new();
	if (wanted->order != NULL)
		revocation->order = (const Bp__RecordedOrder *)message_copy(
		    revocation->arena, &wanted->order->base);
	open_orders_init(&revocation->open_orders);
	open_orders_init(&revocation->reported_orders);
	open_orders_read(&revocation->open_orders, wanted->open, wanted->n_open,
	    OPEN_ORDER_TOLD, clock_us());
	revocation->targets = g_ptr_array_new_with_free_func(target_free);
	revocation->states =
	    g_array_new(FALSE, FALSE, sizeof(revocation_target_t));
	revocation->timeout = task_timer(
	    peers->task, REVOCATION_TIMEOUT_MS, on_timeout, revocation);
	if (wanted->term != 0 || wanted->confirms)
		stop_retries(peers, wanted->group);
	/* the requester repeats a mere question, and what it tells of a term;
	   an order to be confirmed may be withdrawn meanwhile */
	if (wanted->term != 0 && !wanted->begun && !wanted->confirms)
		revocation->retry_timer = task_timer(
		    peers->task, TARGET_RETRY_MS, on_retry, revocation);
	peers->revocations = g_list_prepend(peers->revocations, revocation);
	if (outdated)
		revocation_report(revocation, BP__REVOKE_STATE__OUTDATED);
	for (i = 0; !outdated && i < wanted->n_daemons; i++) {
		if (!is_this_daemon(peers->proxy, wanted->daemons[i]))
			target_add(revocation, wanted->daemons[i]);
	}
	/* reports at once if there is no other daemon */
	if (!outdated)
		revocation_check(revocation);
	msg_free(msg);
}

/*
 * Handle RevokeAsked, with which the pool task acknowledges a revocation:
 * confirm the revocation to the daemon that asked for it.
 */
static void
on_lease_revoked(void *context, msg_t *msg)
{
	const Bp__RevokeAsked *revoked = (const Bp__RevokeAsked *)msg->body;
	peers_t *peers = context;
	incoming_link_t *incoming =
	    g_hash_table_lookup(peers->incoming, &revoked->link);

	if (incoming != NULL)
		incoming_send_revoked(incoming, revoked);
	msg_free(msg);
}

/*
 * Start the task: listen for other daemons.
 */
static int32_t
on_start(void *context, task_t *task)
{
	peers_t *peers = context;

	peers->task = task;
	peers->incoming = g_hash_table_new_full(
	    g_int64_hash, g_int64_equal, NULL, incoming_free);
	peers->listener = listener_open(task_main_context(task),
	    peers->proxy->settings->peer_address, incoming_accept, peers);
	return peers->listener == NULL ? -EADDRINUSE : 0;
}

/*
 * Stop the task: close all connections and drop the revocations.
 */
static void
on_stop(void *context)
{
	peers_t *peers = context;

	source_clear(&peers->drain_timer);
	listener_close(peers->listener);
	g_list_free_full(peers->revocations, revocation_free);
	g_hash_table_unref(peers->incoming);
}

/*
 * Handle StoreNews: pass the news of the registry task to the daemons that have
 * asked for them.
 */
static void
on_store_news(void *context, msg_t *msg)
{
	incoming_send_news(context, (Bp__StoreNews *)msg->body);
	msg_free(msg);
}

/*
 * Handle TokenRead: note the fencing token that the store has recorded.
 */
static void
on_token_read(void *context, msg_t *msg)
{
	peers_t *peers = context;

	peers->token =
	    MAX(peers->token, ((const Bp__TokenRead *)msg->body)->token);
	peers->token_recorded = true;
	msg_free(msg);
}

/*
 * Handle Leave: the daemon shuts down.
 */
static void
on_leave(void *context, msg_t *msg)
{
	incoming_drain(context, ((const Bp__Leave *)msg->body)->grace_ms);
	msg_free(msg);
}

/*
 * Handle OperationEnded: pass the result of a statement to the daemon that sent
 * it.
 */
static void
on_operation_ended(void *context, msg_t *msg)
{
	incoming_operation_ended(context, (Bp__OperationEnded *)msg->body);
	msg_free(msg);
}

/*
 * Handle TransactionDropped: tell the daemon whose transaction was rolled back.
 */
static void
on_transaction_dropped(void *context, msg_t *msg)
{
	incoming_transaction_dropped(
	    context, ((const Bp__TransactionDropped *)msg->body)->session);
	msg_free(msg);
}

static const task_handler_t handlers[] = {
    {&bp__revoke_wanted__descriptor, on_revoke_wanted},
    {&bp__revoke_asked__descriptor, on_lease_revoked},
    {&bp__operation_ended__descriptor, on_operation_ended},
    {&bp__transaction_dropped__descriptor, on_transaction_dropped},
    {&bp__store_news__descriptor, on_store_news},
    {&bp__token_read__descriptor, on_token_read},
    {&bp__leave__descriptor, on_leave},
};

const task_ops_t peers_ops = {
    "peers", on_start, on_stop, handlers, G_N_ELEMENTS(handlers)};
