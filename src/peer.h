#ifndef PEER_H
#define PEER_H

#include "daemon.h"
#include "decide/member.h"
#include "frame.h"
#include "stats.h"
#include "task.pb-c.h"

/*
 * Internal to the peer task.  peer.c: the task, its links and the dispatch of
 * messages.  gossip.c: membership and the exchange of documents.  relay.c:
 * statements, witness probes and status queries that are forwarded between
 * daemons.
 */

typedef struct peer_ctx peer_ctx_t;
typedef struct link link_t;

/* Counters of the task; their names in metrics are in peer.c. */
typedef enum peer_counter {
	COUNT_PINGS,
	COUNT_FORWARDS_OUT,
	COUNT_FORWARDS_IN,
	COUNT_FORWARDS_LOST,
	COUNT_LINKS_DROPPED,
	COUNT_DOCUMENTS_FETCHED,
	PEER_COUNTERS,
} peer_counter_t;

/* A connection to or from another daemon. */
struct link {
	peer_ctx_t *ctx;
	frame_link_t *frames;
	char *host_port; /* "address:port"; NULL for an accepted link */
	bool opened;
	int64_t last_received_us;
	int64_t retired_us;   /* time of replacement by a newer link, or 0 */
	GHashTable *forwards; /* ids of unanswered forwarded statements */
};

/* An accepted document that other daemons can fetch. */
typedef struct held_document {
	arena_t *arena;
	Bp__Accepted *accepted;
} held_document_t;

/* State of the peer task. */
struct peer_ctx {
	const daemon_t *daemon;
	task_t *task;
	members_t *members;
	GSocketService *listener;
	GHashTable *links;  /* outgoing links, by host_port */
	GPtrArray *retired; /* of link_t: outgoing links that were replaced */
	GPtrArray *inbound; /* of link_t: accepted links */
	GHashTable *peer_requests;   /* of peer_request_t by local_id */
	GHashTable *indirect_probes; /* of indirect_probe_t by probe_sequence */
	GHashTable *status_queries;  /* of status_query_t by id */
	GHashTable *documents;       /* of held_document_t by team */
	GPtrArray *seeds;            /* "address:port" of daemons to probe */
	GSource *tick_timer;
	int64_t seeds_probed_us;
	int64_t versions_sent_us;
	uint64_t next_id;
	GRand *rand;
	uint64_t counts[PEER_COUNTERS];
};

/* peer.c */
link_t *link_connect(peer_ctx_t *, const char *address, uint32_t port);
link_t *link_connect_member(peer_ctx_t *, const member_t *);
void link_close_to_member(peer_ctx_t *, const member_t *);
void link_retire(peer_ctx_t *, const member_t *);
int32_t link_send(link_t *, const Bp__PeerMessage *);
bool link_exists(peer_ctx_t *, const link_t *);
const member_t *member_by_host_port(peer_ctx_t *, const char *host_port);

/* gossip.c */
void gossip_tick(peer_ctx_t *, int64_t now_us);
void gossip_leave(peer_ctx_t *);
void gossip_publish_members(peer_ctx_t *);
void gossip_handle_ping(peer_ctx_t *, link_t *, const Bp__Ping *);
void gossip_handle_ack(peer_ctx_t *, link_t *, const Bp__Ack *);
void gossip_handle_ping_request(
    peer_ctx_t *, link_t *, const Bp__PingRequest *);
void gossip_handle_ping_request_answer(
    peer_ctx_t *, const Bp__PingRequestAnswer *);
void gossip_handle_versions(
    peer_ctx_t *, link_t *, const Bp__DocumentVersions *);
void gossip_handle_fetch(peer_ctx_t *, link_t *, const Bp__DocumentFetch *);
void gossip_handle_document(peer_ctx_t *, const Bp__Accepted *);
void gossip_document_in_force(peer_ctx_t *, const Bp__Accepted *);
void gossip_link_closed(peer_ctx_t *, link_t *);
Bp__DocumentVersion **gossip_document_versions(
    peer_ctx_t *, arena_t *, size_t *count);
void held_document_free(gpointer);
void indirect_probe_free(gpointer);

/* relay.c */
void relay_handle_forward(peer_ctx_t *, link_t *, const Bp__Forward *);
void relay_return_answer(peer_ctx_t *, const Bp__StatementAnswered *);
void relay_forward_statement(peer_ctx_t *, const Bp__ForwardStatement *);
void relay_handle_forward_answer(
    peer_ctx_t *, link_t *, const Bp__ForwardAnswer *);
void relay_request_witness_probe(peer_ctx_t *, const Bp__WitnessProbeRequest *);
void relay_handle_witness_ask(peer_ctx_t *, link_t *, const Bp__WitnessAsk *);
void relay_return_witness_result(peer_ctx_t *, const Bp__WitnessProbeResult *);
void relay_handle_witness_tell(peer_ctx_t *, const Bp__WitnessTell *);
void relay_query_status(peer_ctx_t *, task_t *from, uint64_t id);
void relay_handle_status_ask(peer_ctx_t *, link_t *, const Bp__StatusAsk *);
void relay_handle_status_tell(peer_ctx_t *, const Bp__StatusTell *);
void relay_link_closed(peer_ctx_t *, link_t *);
void peer_report(peer_ctx_t *, arena_t *, Bp__StatusPart *);

#endif
