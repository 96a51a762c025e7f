#include "decide/decide.h"
#include "frame.h"
#include "listener.h"
#include "proxy.h"

#include <errno.h>
#include <string.h>

/*
 * The peers' task: what the daemons ask each other.  Links are opened when
 * something is to be asked.
 */

#define PART "peers"
#define FRAME_BYTES_MAX 65536

/* A daemon that has not answered by then is not waited for. */
#define ANSWER_MS 2500

typedef struct peers {
	const proxy_t *proxy;
	task_t *task;
	listener_t *listener;
	GHashTable *incoming; /* of incoming_t by id */
	GList *revocations;   /* of revocation_t */
	uint64_t next_id;
	uint64_t token; /* the highest heard of the duty */
} peers_t;

/* A daemon that may ask. */
typedef struct incoming {
	peers_t *peers;
	uint64_t id; /* the key */
	frame_link_t *link;
} incoming_t;

/* One daemon that is asked. */
typedef struct asked {
	struct revocation *revocation;
	char *name;
	frame_link_t *link;
	bool answered;
} asked_t;

/* Leases that all daemons are to give back. */
typedef struct revocation {
	peers_t *peers;
	uint64_t id;
	char *group;
	uint64_t term;
	uint64_t token;
	task_t *to;       /* that is told how far it has come */
	bool most;        /* have answered, and it was told */
	GPtrArray *asked; /* of asked_t */
	GSource *timeout;
} revocation_t;

/*
 * Make the role; it is given to task_new_beside().
 */
void *
peers_new(const proxy_t *proxy)
{
	peers_t *peers = g_new0(peers_t, 1);

	peers->proxy = proxy;
	return peers;
}

/*
 * Free the role after its task has ended.
 */
void
peers_free(void *context)
{
	g_free(context);
}

/*
 * Free the record of a daemon that was asked.
 */
static void
asked_free(gpointer p)
{
	asked_t *asked = p;

	frame_free(asked->link);
	g_free(asked->name);
	g_free(asked);
}

/*
 * Forget a revocation.
 */
static void
revocation_free(gpointer p)
{
	revocation_t *revocation = p;

	source_drop(&revocation->timeout);
	g_ptr_array_unref(revocation->asked);
	g_free(revocation->group);
	g_free(revocation);
}

/*
 * The time for answers is over: whoever asked waits for the leases to end.
 */
static gboolean
on_timeout(gpointer context)
{
	revocation_t *revocation = context;
	peers_t *peers = revocation->peers;
	uint32_t i;

	for (i = 0; i < revocation->asked->len; i++) {
		const asked_t *asked = g_ptr_array_index(revocation->asked, i);

		if (!asked->answered)
			log_line(PART, G_LOG_LEVEL_INFO,
			    "Daemon %s gave back no lease of %s below term "
			    "%" G_GUINT64_FORMAT ".",
			    asked->name, revocation->group, revocation->term);
	}
	peers->revocations = g_list_remove(peers->revocations, revocation);
	revocation_free(revocation);
	return G_SOURCE_REMOVE;
}

/*
 * Tell the pool how far a revocation has come.
 */
static void
revocation_tell(const revocation_t *revocation, Bp__RevokeState state)
{
	peers_t *peers = revocation->peers;
	msg_t *msg = msg_new(&bp__revoke_ended__descriptor);
	Bp__RevokeEnded *ended = (Bp__RevokeEnded *)msg->body;

	ended->group = arena_strdup(msg->arena, revocation->group);
	ended->term = revocation->term;
	ended->state = state;
	task_send(revocation->to, peers->task, msg);
}

/*
 * Tell the pool once most daemons have answered, and once all have.  This one
 * counts as one that has.
 */
static void
revocation_check(revocation_t *revocation)
{
	uint32_t i, answered = 1, count = revocation->asked->len + 1;

	for (i = 0; i < revocation->asked->len; i++)
		answered +=
		    ((const asked_t *)g_ptr_array_index(revocation->asked, i))
			->answered;
	if (answered == count) {
		revocation_tell(revocation, BP__REVOKE_STATE__ALL);
	} else if (!revocation->most && answered >= majority_of(count)) {
		revocation->most = true;
		revocation_tell(revocation, BP__REVOKE_STATE__MOST);
	}
}

/*
 * A daemon has answered, or does not run.
 */
static void
revocation_answered(asked_t *asked, uint64_t token)
{
	revocation_t *revocation = asked->revocation;

	if (token > revocation->token) {
		log_line(PART, G_LOG_LEVEL_MESSAGE,
		    "Daemon %s knows token %" G_GUINT64_FORMAT
		    " of the duty, newer than %" G_GUINT64_FORMAT ".",
		    asked->name, token, revocation->token);
		revocation_tell(revocation, BP__REVOKE_STATE__OUTDATED);
		return;
	}
	asked->answered = true;
	revocation_check(revocation);
}

/*
 * A link to a daemon that is asked is open.
 */
static void
on_asked_opened(void *context)
{
	asked_t *asked = context;
	Bp__PeerMessage message = BP__PEER_MESSAGE__INIT;
	Bp__LeaseRevoke revoke = BP__LEASE_REVOKE__INIT;

	revoke.id = asked->revocation->id;
	revoke.group = asked->revocation->group;
	revoke.term = asked->revocation->term;
	revoke.token = asked->revocation->token;
	message.body_case = BP__PEER_MESSAGE__BODY_LEASE_REVOKE;
	message.lease_revoke = &revoke;
	frame_send(asked->link, &message);
}

/*
 * A daemon that was asked has answered.
 */
static void
on_asked_received(void *context, arena_t *arena, Bp__PeerMessage *message)
{
	asked_t *asked = context;

	if (message->body_case == BP__PEER_MESSAGE__BODY_LEASE_REVOKED &&
	    message->lease_revoked->id == asked->revocation->id &&
	    !asked->answered)
		revocation_answered(asked, message->lease_revoked->token);
	arena_free(arena);
}

/*
 * A link to a daemon that is asked has ended.  Where nothing listens, no
 * daemon runs, and none believes anything.
 */
static void
on_asked_closed(void *context, int32_t error)
{
	asked_t *asked = context;

	if (error == -ECONNREFUSED && !asked->answered)
		revocation_answered(asked, 0);
}

static const frame_ops_t asked_ops = {
    on_asked_opened, on_asked_received, on_asked_closed};

/*
 * Ask one daemon.
 */
static void
ask(revocation_t *revocation, const Bp__DaemonRecord *daemon)
{
	asked_t *asked = g_new0(asked_t, 1);
	char *address;
	uint32_t port;

	asked->revocation = revocation;
	asked->name = g_strdup(daemon->name);
	g_ptr_array_add(revocation->asked, asked);
	if (address_split(daemon->address, &address, &port) < 0) {
		log_line(PART, G_LOG_LEVEL_WARNING,
		    "Daemon %s has no address of use: %s.", daemon->name,
		    daemon->address);
		return;
	}
	asked->link = frame_connect(task_context(revocation->peers->task),
	    address, port, FRAME_BYTES_MAX, &asked_ops, asked);
	g_free(address);
}

/*
 * All daemons that are listed are to give back leases.
 */
static void
on_revoke_wanted(void *context, msg_t *msg)
{
	const Bp__RevokeWanted *wanted = (const Bp__RevokeWanted *)msg->body;
	peers_t *peers = context;
	revocation_t *revocation = g_new0(revocation_t, 1);
	size_t i;

	revocation->peers = peers;
	revocation->id = ++peers->next_id;
	revocation->group = g_strdup(wanted->group);
	revocation->term = wanted->term;
	revocation->token = wanted->token;
	revocation->to =
	    wanted->confirms ? peers->proxy->registry : peers->proxy->pool;
	peers->token = MAX(peers->token, wanted->token);
	revocation->asked = g_ptr_array_new_with_free_func(asked_free);
	revocation->timeout =
	    task_timer(peers->task, ANSWER_MS, on_timeout, revocation);
	peers->revocations = g_list_prepend(peers->revocations, revocation);
	for (i = 0; i < wanted->n_daemons; i++) {
		if (strcmp(wanted->daemons[i]->name,
			peers->proxy->settings->name) != 0)
			ask(revocation, wanted->daemons[i]);
	}
	revocation_check(revocation); /* there may be no other daemon */
	msg_free(msg);
}

/*
 * Answer another daemon, with the newest token of the duty that is known.
 */
static void
answer(incoming_t *incoming, uint64_t id)
{
	Bp__PeerMessage message = BP__PEER_MESSAGE__INIT;
	Bp__LeaseRevoked revoked = BP__LEASE_REVOKED__INIT;

	revoked.id = id;
	revoked.token = incoming->peers->token;
	message.body_case = BP__PEER_MESSAGE__BODY_LEASE_REVOKED;
	message.lease_revoked = &revoked;
	frame_send(incoming->link, &message);
}

/*
 * Another daemon asks.  The pool gives the lease back, unless the duty has
 * passed to somebody else since.
 */
static void
on_received(void *context, arena_t *arena, Bp__PeerMessage *message)
{
	incoming_t *incoming = context;
	peers_t *peers = incoming->peers;

	if (message->body_case == BP__PEER_MESSAGE__BODY_LEASE_REVOKE &&
	    message->lease_revoke->token < peers->token) {
		answer(incoming, message->lease_revoke->id);
	} else if (message->body_case == BP__PEER_MESSAGE__BODY_LEASE_REVOKE) {
		const Bp__LeaseRevoke *revoke = message->lease_revoke;
		msg_t *msg = msg_new(&bp__revoke_asked__descriptor);
		Bp__RevokeAsked *to = (Bp__RevokeAsked *)msg->body;

		peers->token = revoke->token;
		to->link = incoming->id;
		to->id = revoke->id;
		to->group = arena_strdup(msg->arena, revoke->group);
		to->term = revoke->term;
		task_send(peers->proxy->pool, peers->task, msg);
	} else {
		log_line(PART, G_LOG_LEVEL_WARNING,
		    "A message of kind %d that nobody asks here.",
		    message->body_case);
	}
	arena_free(arena);
}

/*
 * A daemon that asked is gone.
 */
static void
on_closed(void *context, int32_t error)
{
	incoming_t *incoming = context;

	(void)error;
	g_hash_table_remove(incoming->peers->incoming, &incoming->id);
}

static const frame_ops_t incoming_ops = {NULL, on_received, on_closed};

/*
 * Free a link that was accepted.
 */
static void
incoming_free(gpointer p)
{
	incoming_t *incoming = p;

	frame_free(incoming->link);
	g_free(incoming);
}

/*
 * A daemon has connected.
 */
static void
on_accepted(void *context, GSocket *socket)
{
	peers_t *peers = context;
	incoming_t *incoming = g_new0(incoming_t, 1);

	incoming->peers = peers;
	incoming->id = ++peers->next_id;
	incoming->link = frame_accept(task_context(peers->task), socket,
	    FRAME_BYTES_MAX, &incoming_ops, incoming);
	g_hash_table_insert(peers->incoming, &incoming->id, incoming);
}

/*
 * The pool has given a lease back.
 */
static void
on_revoked(void *context, msg_t *msg)
{
	const Bp__RevokeAsked *done = (const Bp__RevokeAsked *)msg->body;
	peers_t *peers = context;
	incoming_t *incoming =
	    g_hash_table_lookup(peers->incoming, &done->link);

	if (incoming != NULL)
		answer(incoming, done->id);
	msg_free(msg);
}

/*
 * The task starts.
 */
static int32_t
on_start(void *context, task_t *task)
{
	peers_t *peers = context;

	peers->task = task;
	peers->incoming = g_hash_table_new_full(
	    g_int64_hash, g_int64_equal, NULL, incoming_free);
	peers->listener = listener_open(task_context(task),
	    peers->proxy->settings->peer_address, on_accepted, peers);
	return peers->listener == NULL ? -EADDRINUSE : 0;
}

/*
 * The task ends.
 */
static void
on_stop(void *context)
{
	peers_t *peers = context;

	listener_close(peers->listener);
	g_list_free_full(peers->revocations, revocation_free);
	g_hash_table_unref(peers->incoming);
}

static const task_handler_t handlers[] = {
    {&bp__revoke_wanted__descriptor, on_revoke_wanted},
    {&bp__revoke_asked__descriptor, on_revoked},
};

const task_ops_t peers_ops = {
    "peers", on_start, on_stop, handlers, G_N_ELEMENTS(handlers)};
