#include "peer.h"

#include <string.h>
#include <xxhash.h>

/*
 * The gossip protocol between daemons: group membership in the manner of
 * SWIM (pings, indirect pings and piggybacked member updates), and the
 * replication of the teams' documents by push and anti-entropy.
 */

#define LOG_PART "member"

/* Member updates piggybacked on one ping or ack. */
#define UPDATES_MAX 6

/* Members that a newly accepted document is pushed to. */
#define PUSH_FANOUT 2

/* Interval between rounds of pings to seed addresses, and pings per round. */
#define SEED_PROBE_INTERVAL_US G_USEC_PER_SEC
#define SEEDS_PER_INTERVAL 3

/* Minimum interval between two lists of document versions, on any link. */
#define VERSIONS_MIN_INTERVAL_US (100 * US_PER_MS)

/*
 * Sequence numbers above this one belong to indirect probes and those below it
 * to this daemon's own probes, so that the ack of an own probe is never taken
 * for that of an indirect one.  The number itself is used for pings whose ack
 * is not awaited.
 */
#define INDIRECT_SEQUENCE_BASE (UINT64_C(1) << 62)

/* A ping that this daemon sends on behalf of another one. */
typedef struct indirect_probe {
	uint64_t probe_sequence;   /* sequence number of the ping; hash key */
	uint64_t request_sequence; /* sequence number of the PingRequest */
	link_t *requester;
	int64_t deadline_us;
} indirect_probe_t;

/*
 * Free an indirect probe.
 */
void
indirect_probe_free(gpointer p)
{
	g_free(p);
}

/*
 * Free a document that other daemons can fetch from this one.
 */
void
held_document_free(gpointer p)
{
	arena_free(((held_document_t *)p)->arena);
}

/*
 * Encode a member for the wire.  The strings are not copied: they still
 * belong to the member table.
 */
static Bp__Member *
member_message(arena_t *arena, const member_t *member)
{
	Bp__Member *out =
	    (Bp__Member *)message_new(arena, &bp__member__descriptor);

	out->name = (char *)member->attrs.name;
	out->address = (char *)member->attrs.address;
	out->zone = (char *)member->attrs.zone;
	out->peer_port = member->attrs.port;
	out->incarnation = member->attrs.incarnation;
	out->state = (Bp__MemberState)member->attrs.state;
	return out;
}

/*
 * Merge a peer's record of one member into the member table.
 */
static void
merge_member(peer_ctx_t *ctx, const Bp__Member *in)
{
	member_attrs_t attrs = {in->name, in->address, in->zone, in->peer_port,
	    in->incarnation, (member_state_t)in->state};

	if (in->state > BP__MEMBER_STATE__DEAD)
		return;
	members_merge(ctx->members, &attrs, clock_us());
}

/*
 * Choose the member updates to piggyback on a message to a member; to is NULL
 * if the receiver is not in the member table.  If the table does not have it
 * as alive, its own entry is always included, so that it can refute a wrong
 * suspicion with a higher incarnation.
 */
static Bp__Member **
member_updates(
    peer_ctx_t *ctx, arena_t *arena, const member_t *to, size_t *count)
{
	const member_t *chosen[UPDATES_MAX];
	uint32_t i, n = members_pick_updates(ctx->members, chosen, UPDATES_MAX);
	Bp__Member **list = arena_zalloc(arena, sizeof(list[0]) * (n + 1));

	*count = 0;
	for (i = 0; i < n; i++) {
		if (chosen[i] != to)
			list[(*count)++] = member_message(arena, chosen[i]);
	}
	if (to != NULL && to->attrs.state != MEMBER_ALIVE)
		list[(*count)++] = member_message(arena, to);
	return list;
}

/*
 * Hash the teams and versions of all documents in force here.  The sum does
 * not depend on the order of iteration; two daemons whose hashes differ
 * exchange their lists of versions.
 */
static uint64_t
documents_hash(peer_ctx_t *ctx)
{
	GHashTableIter iter;
	gpointer team, value;
	uint64_t hash = 0;

	g_hash_table_iter_init(&iter, ctx->documents);
	while (g_hash_table_iter_next(&iter, &team, &value))
		hash += XXH64(team, strlen(team),
		    ((const held_document_t *)value)->accepted->version);
	return hash;
}

/*
 * Send a ping over a link; nothing is sent when link is NULL.  to is the
 * member at the other end, or NULL if it is not known.
 */
static void
send_ping(peer_ctx_t *ctx, link_t *link, uint64_t sequence, const member_t *to)
{
	arena_t *arena;
	Bp__PeerMessage message = BP__PEER_MESSAGE__INIT;
	Bp__Ping ping = BP__PING__INIT;

	if (link == NULL)
		return;
	arena = arena_new();
	ping.sequence = sequence;
	ping.sender = member_message(arena, members_self(ctx->members));
	ping.news = member_updates(ctx, arena, to, &ping.n_news);
	ping.documents_hash = documents_hash(ctx);
	message.body_case = BP__PEER_MESSAGE__BODY_PING;
	message.ping = &ping;
	ctx->counts[COUNT_PINGS]++;
	link_send(link, &message);
	arena_free(arena);
}

/*
 * Ask another member to ping the target on our behalf.
 */
static void
send_ping_request(peer_ctx_t *ctx, const member_action_t *action)
{
	link_t *link = link_connect_member(ctx, action->helper);
	arena_t *arena;
	Bp__PeerMessage message = BP__PEER_MESSAGE__INIT;
	Bp__PingRequest request = BP__PING_REQUEST__INIT;

	if (link == NULL)
		return;
	arena = arena_new();
	request.sequence = action->sequence;
	request.target = member_message(arena, action->target);
	message.body_case = BP__PEER_MESSAGE__BODY_PING_REQUEST;
	message.ping_request = &request;
	link_send(link, &message);
	arena_free(arena);
}

/*
 * Send the versions of all documents in force here, at most once in
 * VERSIONS_MIN_INTERVAL_US.  The receiver sends the documents that we lack and
 * fetches those that it lacks itself.
 */
static void
send_versions(peer_ctx_t *ctx, link_t *link)
{
	int64_t now_us = clock_us();
	arena_t *arena;
	Bp__PeerMessage message = BP__PEER_MESSAGE__INIT;
	Bp__DocumentVersions versions = BP__DOCUMENT_VERSIONS__INIT;

	if (now_us - ctx->versions_sent_us < VERSIONS_MIN_INTERVAL_US)
		return;
	ctx->versions_sent_us = now_us;
	arena = arena_new();
	versions.documents =
	    gossip_document_versions(ctx, arena, &versions.n_documents);
	message.body_case = BP__PEER_MESSAGE__BODY_DOCUMENT_VERSIONS;
	message.document_versions = &versions;
	link_send(link, &message);
	arena_free(arena);
}

/*
 * Send a document with its version.
 */
static void
send_document(link_t *link, const held_document_t *held)
{
	Bp__PeerMessage message = BP__PEER_MESSAGE__INIT;

	message.body_case = BP__PEER_MESSAGE__BODY_DOCUMENT;
	message.document = held->accepted;
	link_send(link, &message);
}

/*
 * Send the current member list to the tasks that use it.
 */
void
gossip_publish_members(peer_ctx_t *ctx)
{
	task_t *to[] = {
	    ctx->daemon->front, ctx->daemon->group, ctx->daemon->platform};
	uint32_t i, n = members_count(ctx->members);
	Bp__MembersChanged changed = BP__MEMBERS_CHANGED__INIT;
	arena_t *arena = arena_new();

	changed.self = member_message(arena, members_self(ctx->members));
	changed.members = arena_zalloc(arena, sizeof(changed.members[0]) * n);
	for (i = 0; i < n; i++)
		changed.members[changed.n_members++] =
		    member_message(arena, members_at(ctx->members, i));
	for (i = 0; i < G_N_ELEMENTS(to); i++)
		task_send(to[i], ctx->task, msg_copy(&changed.base));
	arena_free(arena);
}

/*
 * Log a member's new state and close the link to a dead member.
 */
static void
member_state_changed(peer_ctx_t *ctx, const member_t *member)
{
	static const char *const state_names[] = {
	    "alive", "suspected", "leaving", "dead"};

	log_line(LOG_PART, G_LOG_LEVEL_MESSAGE, "Daemon %s in %s is %s.",
	    member->attrs.name, member->attrs.zone,
	    state_names[member->attrs.state]);
	if (member->attrs.state == MEMBER_DEAD)
		link_close_to_member(ctx, member);
}

/*
 * Ping a few of the seed addresses at which no live member is known, beginning
 * at a random one.
 */
static void
probe_seeds(peer_ctx_t *ctx, int64_t now_us)
{
	uint32_t i, n = ctx->seeds->len, start, sent = 0;

	if (n == 0 || now_us - ctx->seeds_probed_us < SEED_PROBE_INTERVAL_US)
		return;
	ctx->seeds_probed_us = now_us;
	start = (uint32_t)g_rand_int_range(ctx->rand, 0, (gint32)n);
	for (i = 0; i < n && sent < SEEDS_PER_INTERVAL; i++) {
		const char *endpoint =
		    g_ptr_array_index(ctx->seeds, (start + i) % n);
		const member_t *member = member_by_host_port(ctx, endpoint);
		char **host_port;

		if (member == members_self(ctx->members) ||
		    (member != NULL && member->attrs.state != MEMBER_DEAD))
			continue;
		host_port = g_strsplit(endpoint, ":", 2);
		send_ping(ctx,
		    link_connect(ctx, host_port[0],
			(uint32_t)g_ascii_strtoull(host_port[1], NULL, 10)),
		    INDIRECT_SEQUENCE_BASE, member);
		g_strfreev(host_port);
		sent++;
	}
}

/*
 * Report indirect probes that were not acknowledged in time to the daemons
 * that requested them.
 */
static void
indirect_probes_expire(peer_ctx_t *ctx, int64_t now_us)
{
	GHashTableIter iter;
	gpointer value;

	g_hash_table_iter_init(&iter, ctx->indirect_probes);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		indirect_probe_t *probe = value;
		Bp__PeerMessage message = BP__PEER_MESSAGE__INIT;
		Bp__PingRequestAnswer answer = BP__PING_REQUEST_ANSWER__INIT;

		if (now_us < probe->deadline_us)
			continue;
		answer.sequence = probe->request_sequence;
		answer.reached = false;
		message.body_case = BP__PEER_MESSAGE__BODY_PING_REQUEST_ANSWER;
		message.ping_request_answer = &answer;
		if (link_exists(ctx, probe->requester))
			link_send(probe->requester, &message);
		g_hash_table_iter_remove(&iter);
	}
}

/*
 * Run the membership protocol up to now_us, carry out the actions that it asks
 * for, and publish the member list if a state or our incarnation changed.
 */
void
gossip_tick(peer_ctx_t *ctx, int64_t now_us)
{
	uint64_t incarnation = members_self(ctx->members)->attrs.incarnation;
	member_action_t action;
	bool changed = false;

	while (members_tick(ctx->members, now_us, &action)) {
		if (action.kind == MEMBER_PING) {
			send_ping(ctx, link_connect_member(ctx, action.target),
			    action.sequence, action.target);
		} else if (action.kind == MEMBER_PING_TIMEOUT) {
			link_retire(ctx, action.target);
		} else if (action.kind == MEMBER_PING_INDIRECT) {
			send_ping_request(ctx, &action);
		} else {
			member_state_changed(ctx, action.target);
			changed = true;
		}
	}
	indirect_probes_expire(ctx, now_us);
	probe_seeds(ctx, now_us);
	if (changed ||
	    members_self(ctx->members)->attrs.incarnation != incarnation)
		gossip_publish_members(ctx);
}

/*
 * Mark this daemon as leaving and ping every live member with that state,
 * instead of waiting until gossip has spread it.
 */
void
gossip_leave(peer_ctx_t *ctx)
{
	uint32_t i;

	members_leave(ctx->members);
	for (i = 1; i < members_count(ctx->members); i++) {
		const member_t *member = members_at(ctx->members, i);

		if (member->attrs.state != MEMBER_DEAD)
			send_ping(ctx, link_connect_member(ctx, member),
			    INDIRECT_SEQUENCE_BASE, member);
	}
	gossip_publish_members(ctx);
}

/*
 * Handle a ping: merge its member updates and acknowledge it.
 */
void
gossip_handle_ping(peer_ctx_t *ctx, link_t *link, const Bp__Ping *ping)
{
	const member_t *sender;
	arena_t *arena = arena_new();
	Bp__PeerMessage message = BP__PEER_MESSAGE__INIT;
	Bp__Ack ack = BP__ACK__INIT;
	size_t i;

	merge_member(ctx, ping->sender);
	for (i = 0; i < ping->n_news; i++)
		merge_member(ctx, ping->news[i]);
	sender = members_find(ctx->members, ping->sender->name);
	ack.sequence = ping->sequence;
	ack.sender = member_message(arena, members_self(ctx->members));
	ack.news = member_updates(ctx, arena, sender, &ack.n_news);
	ack.documents_hash = documents_hash(ctx);
	message.body_case = BP__PEER_MESSAGE__BODY_ACK;
	message.ack = &ack;
	link_send(link, &message);
	if (ping->documents_hash != ack.documents_hash)
		send_versions(ctx, link);
	arena_free(arena);
}

/*
 * Handle the ack of a ping.  An ack of an indirect probe is passed on to the
 * daemon that requested the probe.
 */
void
gossip_handle_ack(peer_ctx_t *ctx, link_t *link, const Bp__Ack *ack)
{
	indirect_probe_t *probe =
	    g_hash_table_lookup(ctx->indirect_probes, &ack->sequence);
	size_t i;

	merge_member(ctx, ack->sender);
	for (i = 0; i < ack->n_news; i++)
		merge_member(ctx, ack->news[i]);
	members_ack(ctx->members, ack->sender->name);
	if (probe != NULL) {
		Bp__PeerMessage message = BP__PEER_MESSAGE__INIT;
		Bp__PingRequestAnswer answer = BP__PING_REQUEST_ANSWER__INIT;

		answer.sequence = probe->request_sequence;
		answer.reached = true;
		message.body_case = BP__PEER_MESSAGE__BODY_PING_REQUEST_ANSWER;
		message.ping_request_answer = &answer;
		if (link_exists(ctx, probe->requester))
			link_send(probe->requester, &message);
		g_hash_table_remove(ctx->indirect_probes, &ack->sequence);
	}
	if (ack->documents_hash != documents_hash(ctx))
		send_versions(ctx, link);
}

/*
 * Handle another daemon's request to ping a third one.  The probe expires
 * after two thirds of the member timeout, so that the negative answer still
 * arrives before the requester's own timeout.
 */
void
gossip_handle_ping_request(
    peer_ctx_t *ctx, link_t *link, const Bp__PingRequest *request)
{
	const Bp__Timeouts *timeouts = ctx->daemon->settings->timeouts;
	indirect_probe_t *probe = g_new0(indirect_probe_t, 1);
	const member_t *target =
	    members_find(ctx->members, request->target->name);

	probe->probe_sequence = INDIRECT_SEQUENCE_BASE + ++ctx->next_id;
	probe->request_sequence = request->sequence;
	probe->requester = link;
	probe->deadline_us = clock_us() +
	    (int64_t)timeouts->member_timeout_ms * US_PER_MS * 2 / 3;
	g_hash_table_insert(
	    ctx->indirect_probes, &probe->probe_sequence, probe);
	send_ping(ctx,
	    link_connect(
		ctx, request->target->address, request->target->peer_port),
	    probe->probe_sequence, target);
}

/*
 * Handle the result of an indirect probe that we requested.
 */
void
gossip_handle_ping_request_answer(
    peer_ctx_t *ctx, const Bp__PingRequestAnswer *answer)
{
	if (answer->reached)
		members_indirect_ack(ctx->members, answer->sequence);
	else
		members_indirect_nack(ctx->members, answer->sequence);
}

/*
 * List the versions of all documents in force here.  The strings are not
 * copied.
 */
Bp__DocumentVersion **
gossip_document_versions(peer_ctx_t *ctx, arena_t *arena, size_t *count)
{
	Bp__DocumentVersion **list = arena_zalloc(
	    arena, sizeof(list[0]) * (g_hash_table_size(ctx->documents) + 1));
	GHashTableIter iter;
	gpointer value;

	*count = 0;
	g_hash_table_iter_init(&iter, ctx->documents);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		const held_document_t *held = value;
		Bp__DocumentVersion *version =
		    (Bp__DocumentVersion *)message_new(
			arena, &bp__document_version__descriptor);

		version->team = held->accepted->team;
		version->version = held->accepted->version;
		list[(*count)++] = version;
	}
	return list;
}

/*
 * Handle another daemon's list of versions: fetch each document of which it
 * has a newer version, and send each of which ours is newer or which it lacks.
 */
void
gossip_handle_versions(
    peer_ctx_t *ctx, link_t *link, const Bp__DocumentVersions *versions)
{
	GHashTable *listed_teams = g_hash_table_new(g_str_hash, g_str_equal);
	GHashTableIter iter;
	gpointer team, value;
	size_t i;

	for (i = 0; i < versions->n_documents; i++) {
		const Bp__DocumentVersion *version = versions->documents[i];
		const held_document_t *held =
		    g_hash_table_lookup(ctx->documents, version->team);
		uint64_t own_version =
		    held == NULL ? 0 : held->accepted->version;
		Bp__PeerMessage message = BP__PEER_MESSAGE__INIT;
		Bp__DocumentFetch fetch = BP__DOCUMENT_FETCH__INIT;

		g_hash_table_add(listed_teams, version->team);
		if (version_supersedes(version->version, own_version)) {
			fetch.team = version->team;
			message.body_case =
			    BP__PEER_MESSAGE__BODY_DOCUMENT_FETCH;
			message.document_fetch = &fetch;
			link_send(link, &message);
		} else if (held != NULL &&
		    version_supersedes(own_version, version->version)) {
			send_document(link, held);
		}
	}
	g_hash_table_iter_init(&iter, ctx->documents);
	while (g_hash_table_iter_next(&iter, &team, &value)) {
		if (!g_hash_table_contains(listed_teams, team))
			send_document(link, value);
	}
	g_hash_table_unref(listed_teams);
}

/*
 * Handle another daemon's request for a document.
 */
void
gossip_handle_fetch(
    peer_ctx_t *ctx, link_t *link, const Bp__DocumentFetch *fetch)
{
	const held_document_t *held =
	    g_hash_table_lookup(ctx->documents, fetch->team);

	if (held != NULL)
		send_document(link, held);
}

/*
 * Handle a document from another daemon.  It is passed to the platform task,
 * which decides whether it supersedes the document in force.
 */
void
gossip_handle_document(peer_ctx_t *ctx, const Bp__Accepted *accepted)
{
	Bp__DocumentReceived received = BP__DOCUMENT_RECEIVED__INIT;

	ctx->counts[COUNT_DOCUMENTS_FETCHED]++;
	received.accepted = (Bp__Accepted *)accepted;
	task_send(ctx->daemon->platform, ctx->task, msg_copy(&received.base));
}

/*
 * Store a document that has been put in force here and push it to up to
 * PUSH_FANOUT random live members.  Each of them does the same, so the number
 * of daemons that have the document grows exponentially.
 */
void
gossip_document_in_force(peer_ctx_t *ctx, const Bp__Accepted *accepted)
{
	arena_t *arena = arena_new();
	held_document_t *held = arena_zalloc(arena, sizeof(*held));
	uint32_t i, n = members_count(ctx->members), tries, pushed = 0;

	held->arena = arena;
	held->accepted = (Bp__Accepted *)message_copy(arena, &accepted->base);
	g_hash_table_replace(ctx->documents, held->accepted->team, held);
	for (tries = 0;
	     n > 1 && tries < 4 * PUSH_FANOUT && pushed < PUSH_FANOUT;
	     tries++) {
		const member_t *member;
		link_t *link;

		i = (uint32_t)g_rand_int_range(ctx->rand, 1, (gint32)n);
		member = members_at(ctx->members, i);
		if (member->attrs.state != MEMBER_ALIVE)
			continue;
		link = link_connect_member(ctx, member);
		if (link != NULL)
			send_document(link, held);
		pushed++;
	}
}

/*
 * Drop the indirect probes that were requested over a link that has closed.
 */
void
gossip_link_closed(peer_ctx_t *ctx, link_t *link)
{
	GHashTableIter iter;
	gpointer value;

	g_hash_table_iter_init(&iter, ctx->indirect_probes);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		if (((indirect_probe_t *)value)->requester == link)
			g_hash_table_iter_remove(&iter);
	}
}
