#ifndef PROXY_PEERS_H
#define PROXY_PEERS_H

#include "frame.h"
#include "listener.h"
#include "log.h"
#include "proxy.h"
#include "result.h"

/*
 * Private to the peers task, which serves the requests of other daemons and
 * asks them to revoke their leases.
 *
 * peers.c	revocations, messages of the task
 * incoming.c	links that other daemons have opened, and the statements
 *		that they send
 */

typedef struct peers {
	const proxy_t *proxy;
	task_t *task;
	listener_t *listener;
	GHashTable *incoming; /* of incoming_link_t by id */
	GList *revocations;   /* of revocation_t */
	uint64_t next_id;
	uint64_t token;       /* highest known fencing token of a coordinator */
	bool token_recorded;  /* a token was read from the coordinator record */
	GSource *drain_timer; /* checks the links during a drain */
	int64_t drain_started_us; /* start of the drain; 0: not draining */
	uint32_t followers;       /* daemons that want news of the store */
	int64_t grace_us;         /* longest duration of a drain */
	log_rate_limit_t unreadable_limit;
	log_rate_limit_t results_log_limit;
} peers_t;

/* A connection that another daemon has opened. */
typedef struct incoming_link {
	peers_t *peers;
	uint64_t id; /* key in peers->incoming */
	frame_link_t *link;
	bool follows_store;  /* wants news of the store */
	char *revoked_group; /* of the last revocation; NULL: there was none */
	int64_t kept_until_us; /* time until which its daemon keeps the link */
	uint32_t statements;   /* statements without an answer */
	GHashTable *transactions; /* pool's ids of the open transactions */
} incoming_link_t;

/* peers.c */
void peers_note_token(peers_t *, uint64_t token);

/* incoming.c */
void incoming_accept(void *peers, GSocket *);
void incoming_free(gpointer);
void incoming_send_revoked(incoming_link_t *, const Bp__RevokeAsked *);
void incoming_operation_ended(peers_t *, Bp__OperationEnded *);
void incoming_transaction_dropped(peers_t *, uint64_t session);
void incoming_send_news(peers_t *, Bp__StoreNews *);
void incoming_drain(peers_t *, uint32_t grace_ms);

#endif
