#include "router.h"

#include "event.pb-c.h"

/*
 * Links to other daemons.  A link is opened when a statement needs it.  While
 * an answer is due and nothing arrives, the owner is probed; one that stays
 * silent gets no new statements until it answers.  Its link is replaced then,
 * since the link may be silent, not the owner.
 */

/* Time limit for opening a link. */
#define CONNECT_TIMEOUT_US (300 * US_PER_MS)

/* Time without a message, while an answer is due, until the owner is probed. */
#define PROBE_US (150 * US_PER_MS)

/* Time without a message, while an answer is due, until it counts as silent. */
#define SILENT_US (450 * US_PER_MS)

/* The same, until a link with no statement in flight is replaced. */
#define LINK_SILENT_US (2000 * US_PER_MS)

/* Time after which news of the store are overdue. */
#define NEWS_DUE_US (1000 * US_PER_MS)

static const frame_ops_t link_ops;

/*
 * Create the entry of a daemon, without a link.
 */
owner_t *
owner_new(router_t *router, const Bp__DaemonRecord *record)
{
	owner_t *owner = g_new0(owner_t, 1);

	owner->router = router;
	owner->name = g_strdup(record->name);
	g_queue_init(&owner->sessions);
	owner->unable =
	    g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
	return owner;
}

/*
 * Free the entry of a daemon that has no sessions.
 */
void
owner_free(gpointer p)
{
	owner_t *owner = p;

	owner->router->counts[COUNT_OWNERS_LINKED] -= owner->link != NULL;
	frame_free(owner->link);
	g_hash_table_unref(owner->unable);
	g_free(owner->name);
	g_free(owner->zone);
	g_free(owner->address);
	g_free(owner);
}

/*
 * Log that an owner no longer gets statements, and count it.
 */
static void
note_lost(owner_t *owner, const char *why)
{
	Bp__OwnerLost lost = BP__OWNER_LOST__INIT;

	owner->router->counts[COUNT_OWNERS_LOST]++;
	lost.daemon = owner->name;
	lost.text = (char *)why;
	lost.sessions = g_queue_get_length(&owner->sessions);
	log_event(G_LOG_LEVEL_MESSAGE, &lost.base);
	router_forget_choices(owner->router);
}

/*
 * Log that an owner gets statements again.
 */
static void
note_regained(owner_t *owner)
{
	Bp__OwnerRegained regained = BP__OWNER_REGAINED__INIT;

	regained.daemon = owner->name;
	log_event(G_LOG_LEVEL_MESSAGE, &regained.base);
	router_forget_choices(owner->router);
}

/*
 * Close the link to an owner, and end or send elsewhere the statements and
 * transactions that were there.
 */
static void
owner_fail(owner_t *owner, const char *why)
{
	if (owner->link != NULL)
		owner->router->counts[COUNT_OWNERS_LINKED]--;
	frame_free(owner->link);
	owner->link = NULL;
	owner->unproved |= owner->silent;
	owner->open = owner->silent = owner->leaving = owner->followed = false;
	owner->waiting_us = owner->connect_us = 0;
	reconnect_failed(
	    &owner->reconnect, true, g_random_double(), clock_us());
	note_lost(owner, why);
	remote_owner_lost(owner);
}

/*
 * Update the entry of a daemon from its record in the store.
 */
void
owner_update(owner_t *owner, const Bp__DaemonRecord *record)
{
	bool moved = owner->address != NULL &&
	    g_strcmp0(owner->address, record->address) != 0;

	owner->listed = true;
	owner->weight = record->weight;
	g_free(owner->zone);
	g_free(owner->address);
	owner->zone = g_strdup(record->zone);
	owner->address = g_strdup(record->address);
	if (moved && owner->link != NULL)
		owner_fail(owner, "the daemon has another address");
	if (moved)
		reconnect_succeeded(&owner->reconnect);
}

/*
 * Tell whether an owner is to get no new statements.
 */
bool
owner_avoided(const owner_t *owner)
{
	return owner->silent || owner->leaving ||
	    (!owner->open && owner->reconnect.failures > 0);
}

/*
 * Open the link to an owner unless it is open or being opened.
 */
void
owner_connect(owner_t *owner)
{
	char *address;
	uint32_t port;

	if (owner->link != NULL)
		return;
	owner->connect_us = clock_us();
	if (address_split(owner->address, &address, &port) == 0) {
		owner->link =
		    frame_connect(task_main_context(owner->router->task),
			address, port, PEER_FRAME_BYTES_MAX, &link_ops, owner);
		g_free(address);
	}
	/* without a link, owner_tick() ends the attempt after its time limit */
	owner->router->counts[COUNT_OWNERS_LINKED] += owner->link != NULL;
}

/*
 * Ask an owner for an answer that only shows that it and the link work.
 */
static void
send_probe(owner_t *owner, int64_t now_us)
{
	Bp__PeerMessage message = BP__PEER_MESSAGE__INIT;
	Bp__OwnerProbe probe = BP__OWNER_PROBE__INIT;

	owner->probe_sent_us = now_us;
	message.body_case = BP__PEER_MESSAGE__BODY_OWNER_PROBE;
	message.owner_probe = &probe;
	frame_send(owner->link, &message);
}

/*
 * Handle the established link: send what waits for it.  After a link that was
 * silent the owner is avoided until it answers, since a process that does not
 * run has its links established by the kernel.
 */
static void
on_opened(void *context)
{
	owner_t *owner = context;
	int64_t now_us = clock_us();

	owner->open = true;
	owner->clock = (clock_offset_t){0};
	owner->received_us = now_us;
	owner->silent = owner->unproved;
	if (owner->unproved) {
		owner->waiting_us = now_us;
		send_probe(owner, now_us);
		return;
	}
	if (owner->reconnect.failures > 0)
		note_regained(owner);
	reconnect_succeeded(&owner->reconnect);
	remote_send_waiting(owner);
}

/*
 * Send a message to an owner, which will answer it.  An error closes the link
 * later, from the main loop.
 */
void
owner_send(owner_t *owner, const Bp__PeerMessage *message)
{
	if (owner->waiting_us == 0)
		owner->waiting_us = clock_us();
	frame_send(owner->link, message);
}

/*
 * Note that an owner has sent a message.
 */
static void
note_received(owner_t *owner)
{
	owner->received_us = clock_us();
	owner->waiting_us = owner->received_us;
	if (!owner->silent)
		return;
	owner->silent = owner->unproved = false;
	reconnect_succeeded(&owner->reconnect);
	note_regained(owner);
	remote_send_waiting(owner);
}

/*
 * Note news of the store, and convert their send time into this daemon's clock.
 */
static void
note_news(owner_t *owner, Bp__StoreNews *news)
{
	owner->news_us = owner->received_us;
	news->has_sent_us = news->has_sent_us && news->sent_us >= 0;
	if (news->has_sent_us)
		news->sent_us = clock_offset_convert(
		    &owner->clock, news->sent_us, owner->received_us);
}

/*
 * Handle a message of an owner.
 */
static void
on_received(void *context, arena_t *arena, Bp__PeerMessage *message)
{
	owner_t *owner = context;

	note_received(owner);
	switch (message->body_case) {
	case BP__PEER_MESSAGE__BODY_OPERATION_ENDED:
		remote_answered(owner, arena, message->operation_ended);
		return;
	case BP__PEER_MESSAGE__BODY_TRANSACTION_DROPPED:
		remote_dropped(owner, message->transaction_dropped);
		break;
	case BP__PEER_MESSAGE__BODY_STORE_NEWS:
		note_news(owner, message->store_news);
		task_send(owner->router->proxy->registry, owner->router->task,
		    msg_adopt(arena, &message->store_news->base));
		return;
	case BP__PEER_MESSAGE__BODY_OWNER_LEAVING:
		owner->leaving = true;
		router_forget_choices(owner->router);
		break;
	default:
		break; /* OwnerProbeAnswer: a sign of life */
	}
	arena_free(arena);
}

/*
 * Handle the end of the link, or its failure.
 */
static void
on_closed(void *context, int32_t error)
{
	owner_fail(context, g_strerror(-error));
}

static const frame_ops_t link_ops = {on_opened, on_received, on_closed};

/*
 * Return the time for which an owner has sent nothing while an answer was due;
 * 0: none is due.
 */
static int64_t
silent_for_us(const owner_t *owner, int64_t now_us)
{
	return owner->waiting_us == 0
	    ? 0
	    : now_us - MAX(owner->received_us, owner->waiting_us);
}

/*
 * Probe an owner that owes an answer, and note when it stays silent.
 */
static void
check_silence(owner_t *owner, int64_t now_us)
{
	if (silent_for_us(owner, now_us) < PROBE_US)
		return;
	if (now_us - owner->probe_sent_us >= PROBE_US)
		send_probe(owner, now_us);
	if (silent_for_us(owner, now_us) < SILENT_US)
		return;
	if (!owner->silent) {
		owner->silent = true;
		note_lost(owner, "no answer");
	}
	remote_owner_silent(owner);
}

/*
 * Tell whether news of the store are overdue, so that the daemon is probed.
 */
static bool
news_due(const owner_t *owner, int64_t now_us)
{
	return owner->followed && owner == owner->router->watcher &&
	    now_us - owner->news_us >= NEWS_DUE_US;
}

/*
 * Check the link to an owner.  One that failed is opened again in the
 * background, so that no statement waits for an owner that may be gone.
 */
void
owner_tick(owner_t *owner, int64_t now_us)
{
	if (!owner->open && owner->connect_us != 0 &&
	    now_us - owner->connect_us >= CONNECT_TIMEOUT_US) {
		owner->connect_us = 0;
		owner_fail(owner, "not connected in time");
	} else if (owner->open) {
		check_silence(owner, now_us);
		remote_expire(owner, now_us);
		if (silent_for_us(owner, now_us) >= LINK_SILENT_US &&
		    !remote_answer_due(owner))
			owner_fail(owner, "no answer, the link is replaced");
		else if (news_due(owner, now_us))
			owner->waiting_us = owner->news_us;
		else if (!owner->silent && !remote_answer_due(owner))
			owner->waiting_us = 0;
	} else if (owner->link == NULL && owner->listed &&
	    owner->reconnect.failures > 0 &&
	    reconnect_allowed(&owner->reconnect, now_us)) {
		owner_connect(owner);
	}
}

/*
 * Restart the time limits after this process was paused, since answers that
 * arrived meanwhile have not been read.
 */
void
owner_restart_timeouts(owner_t *owner, int64_t now_us)
{
	owner->received_us = now_us;
	if (owner->connect_us != 0)
		owner->connect_us = now_us;
}
