#include "peer.h"

#include <string.h>
#include <xxhash.h>

/* Membership and documents, as they pass between daemons. */

#define PART "member"
#define NEWS_MAX 6
#define PUSH_TO 2
#define SEEDS_EVERY_US G_USEC_PER_SEC
#define SEEDS_AT_ONCE 3
#define VERSIONS_EVERY_US (100 * US_PER_MS)

/* Sequences of probes for others are kept apart from our own. */
#define THROUGH_BASE (UINT64_C(1) << 62)

/* A probe on behalf of another daemon. */
typedef struct through {
	uint64_t own; /* our sequence; the key */
	uint64_t sequence;
	link_t *asker;
	int64_t until_us;
} through_t;

/*
 * Free a probe on behalf of another daemon.
 */
void
through_free(gpointer p)
{
	g_free(p);
}

/*
 * Free a document held for others.
 */
void
held_free(gpointer p)
{
	arena_free(((held_t *)p)->arena);
}

/*
 * A member as it goes over the wire; its strings stay the table's.
 */
static Bp__Member *
member_message(arena_t *arena, const member_t *member)
{
	Bp__Member *out =
	    (Bp__Member *)message_new(arena, &bp__member__descriptor);

	out->name = (char *)member->news.name;
	out->address = (char *)member->news.address;
	out->zone = (char *)member->news.zone;
	out->peer_port = member->news.port;
	out->incarnation = member->news.incarnation;
	out->state = (Bp__MemberState)member->news.state;
	return out;
}

/*
 * Take in what a message says about members.
 */
static void
hear(peer_role_t *role, const Bp__Member *in)
{
	member_news_t news = {in->name, in->address, in->zone, in->peer_port,
	    in->incarnation, (member_state_t)in->state};

	if (in->state > BP__MEMBER_STATE__DEAD)
		return;
	members_hear(role->members, &news, clock_us());
}

/*
 * The news that goes with a message; what is held against the one it goes to
 * is always with it, so that it can deny.
 */
static Bp__Member **
news_message(
    peer_role_t *role, arena_t *arena, const member_t *to, size_t *count)
{
	const member_t *chosen[NEWS_MAX];
	uint32_t i, n = members_news(role->members, chosen, NEWS_MAX);
	Bp__Member **list = arena_zero(arena, sizeof(list[0]) * (n + 1));

	*count = 0;
	for (i = 0; i < n; i++) {
		if (chosen[i] != to)
			list[(*count)++] = member_message(arena, chosen[i]);
	}
	if (to != NULL && to->news.state != MEMBER_ALIVE)
		list[(*count)++] = member_message(arena, to);
	return list;
}

/*
 * One number for all documents in force here, independent of their order.
 */
static uint64_t
documents_hash(peer_role_t *role)
{
	GHashTableIter iter;
	gpointer team, value;
	uint64_t hash = 0;

	g_hash_table_iter_init(&iter, role->documents);
	while (g_hash_table_iter_next(&iter, &team, &value))
		hash += XXH64(team, strlen(team),
		    ((const held_t *)value)->accepted->version);
	return hash;
}

/*
 * Probe a place; the member there, where known, is told what is said of it.
 */
static void
send_ping(
    peer_role_t *role, link_t *link, uint64_t sequence, const member_t *to)
{
	arena_t *arena;
	Bp__PeerMessage message = BP__PEER_MESSAGE__INIT;
	Bp__Ping ping = BP__PING__INIT;

	if (link == NULL)
		return;
	arena = arena_new();
	ping.sequence = sequence;
	ping.sender = member_message(arena, members_self(role->members));
	ping.news = news_message(role, arena, to, &ping.n_news);
	ping.documents_hash = documents_hash(role);
	message.body_case = BP__PEER_MESSAGE__BODY_PING;
	message.ping = &ping;
	role->counts[COUNT_PINGS]++;
	link_send(link, &message);
	arena_free(arena);
}

/*
 * Ask a helper to probe a member.
 */
static void
send_ping_request(peer_role_t *role, const member_action_t *action)
{
	link_t *link = link_to_member(role, action->helper);
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
 * Send one versions list, so that the other side can tell what differs.
 */
static void
send_versions(peer_role_t *role, link_t *link)
{
	int64_t now_us = clock_us();
	arena_t *arena;
	Bp__PeerMessage message = BP__PEER_MESSAGE__INIT;
	Bp__DocumentVersions versions = BP__DOCUMENT_VERSIONS__INIT;

	if (now_us - role->versions_us < VERSIONS_EVERY_US)
		return;
	role->versions_us = now_us;
	arena = arena_new();
	versions.documents = gossip_held(role, arena, &versions.n_documents);
	message.body_case = BP__PEER_MESSAGE__BODY_DOCUMENT_VERSIONS;
	message.document_versions = &versions;
	link_send(link, &message);
	arena_free(arena);
}

/*
 * Send a whole document.
 */
static void
send_document(link_t *link, const held_t *held)
{
	Bp__PeerMessage message = BP__PEER_MESSAGE__INIT;

	message.body_case = BP__PEER_MESSAGE__BODY_DOCUMENT;
	message.document = held->accepted;
	link_send(link, &message);
}

/*
 * Tell the other tasks who is a member now.
 */
void
gossip_publish(peer_role_t *role)
{
	task_t *to[] = {
	    role->daemon->front, role->daemon->group, role->daemon->platform};
	uint32_t i, n = members_count(role->members);
	Bp__MembersChanged changed = BP__MEMBERS_CHANGED__INIT;
	arena_t *arena = arena_new();

	changed.self = member_message(arena, members_self(role->members));
	changed.members = arena_zero(arena, sizeof(changed.members[0]) * n);
	for (i = 0; i < n; i++)
		changed.members[changed.n_members++] =
		    member_message(arena, members_at(role->members, i));
	for (i = 0; i < G_N_ELEMENTS(to); i++)
		task_send(to[i], role->task, msg_copy(&changed.base));
	arena_free(arena);
}

/*
 * Log a member's new state, and drop the link to one that is dead.
 */
static void
member_changed(peer_role_t *role, const member_t *member)
{
	static const char *const words[] = {
	    "alive", "suspected", "leaving", "dead"};

	log_line(PART, G_LOG_LEVEL_MESSAGE, "Daemon %s in %s is %s.",
	    member->news.name, member->news.zone, words[member->news.state]);
	if (member->news.state == MEMBER_DEAD)
		link_drop(role, member);
}

/*
 * Probe some of the listed places where no living member is known.
 */
static void
look_for_seeds(peer_role_t *role, int64_t now_us)
{
	uint32_t i, n = role->seeds->len, start, sent = 0;

	if (n == 0 || now_us - role->seeds_us < SEEDS_EVERY_US)
		return;
	role->seeds_us = now_us;
	start = (uint32_t)g_rand_int_range(role->rand, 0, (gint32)n);
	for (i = 0; i < n && sent < SEEDS_AT_ONCE; i++) {
		const char *place =
		    g_ptr_array_index(role->seeds, (start + i) % n);
		const member_t *member = member_of_place(role, place);
		char **part;

		if (member == members_self(role->members) ||
		    (member != NULL && member->news.state != MEMBER_DEAD))
			continue;
		part = g_strsplit(place, ":", 2);
		send_ping(role,
		    link_to(role, part[0],
			(uint32_t)g_ascii_strtoull(part[1], NULL, 10)),
		    THROUGH_BASE, member);
		g_strfreev(part);
		sent++;
	}
}

/*
 * Tell those who asked about probes that had no answer.
 */
static void
throughs_expire(peer_role_t *role, int64_t now_us)
{
	GHashTableIter iter;
	gpointer value;

	g_hash_table_iter_init(&iter, role->throughs);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		through_t *through = value;
		Bp__PeerMessage message = BP__PEER_MESSAGE__INIT;
		Bp__PingRequestAnswer answer = BP__PING_REQUEST_ANSWER__INIT;

		if (now_us < through->until_us)
			continue;
		answer.sequence = through->sequence;
		answer.reached = false;
		message.body_case = BP__PEER_MESSAGE__BODY_PING_REQUEST_ANSWER;
		message.ping_request_answer = &answer;
		if (link_is_live(role, through->asker))
			link_send(through->asker, &message);
		g_hash_table_iter_remove(&iter);
	}
}

/*
 * Carry out what membership wants done now.
 */
void
gossip_tick(peer_role_t *role, int64_t now_us)
{
	uint64_t incarnation = members_self(role->members)->news.incarnation;
	member_action_t action;
	bool changed = false;

	while (members_tick(role->members, now_us, &action)) {
		if (action.kind == MEMBER_PING) {
			send_ping(role, link_to_member(role, action.target),
			    action.sequence, action.target);
		} else if (action.kind == MEMBER_UNANSWERED) {
			link_retire(role, action.target);
		} else if (action.kind == MEMBER_PING_THROUGH) {
			send_ping_request(role, &action);
		} else {
			member_changed(role, action.target);
			changed = true;
		}
	}
	throughs_expire(role, now_us);
	look_for_seeds(role, now_us);
	if (changed ||
	    members_self(role->members)->news.incarnation != incarnation)
		gossip_publish(role);
}

/*
 * This daemon leaves: tell every living member at once.
 */
void
gossip_leave(peer_role_t *role)
{
	uint32_t i;

	members_leave(role->members);
	for (i = 1; i < members_count(role->members); i++) {
		const member_t *member = members_at(role->members, i);

		if (member->news.state != MEMBER_DEAD)
			send_ping(role, link_to_member(role, member),
			    THROUGH_BASE, member);
	}
	gossip_publish(role);
}

/*
 * A probe has come: answer it.
 */
void
gossip_ping(peer_role_t *role, link_t *link, const Bp__Ping *ping)
{
	const member_t *sender;
	arena_t *arena = arena_new();
	Bp__PeerMessage message = BP__PEER_MESSAGE__INIT;
	Bp__Ack ack = BP__ACK__INIT;
	size_t i;

	hear(role, ping->sender);
	for (i = 0; i < ping->n_news; i++)
		hear(role, ping->news[i]);
	sender = members_find(role->members, ping->sender->name);
	ack.sequence = ping->sequence;
	ack.sender = member_message(arena, members_self(role->members));
	ack.news = news_message(role, arena, sender, &ack.n_news);
	ack.documents_hash = documents_hash(role);
	message.body_case = BP__PEER_MESSAGE__BODY_ACK;
	message.ack = &ack;
	link_send(link, &message);
	if (ping->documents_hash != ack.documents_hash)
		send_versions(role, link);
	arena_free(arena);
}

/*
 * A probe was answered.
 */
void
gossip_ack(peer_role_t *role, link_t *link, const Bp__Ack *ack)
{
	through_t *through =
	    g_hash_table_lookup(role->throughs, &ack->sequence);
	size_t i;

	hear(role, ack->sender);
	for (i = 0; i < ack->n_news; i++)
		hear(role, ack->news[i]);
	members_acked(role->members, ack->sender->name);
	if (through != NULL) {
		Bp__PeerMessage message = BP__PEER_MESSAGE__INIT;
		Bp__PingRequestAnswer answer = BP__PING_REQUEST_ANSWER__INIT;

		answer.sequence = through->sequence;
		answer.reached = true;
		message.body_case = BP__PEER_MESSAGE__BODY_PING_REQUEST_ANSWER;
		message.ping_request_answer = &answer;
		if (link_is_live(role, through->asker))
			link_send(through->asker, &message);
		g_hash_table_remove(role->throughs, &ack->sequence);
	}
	if (ack->documents_hash != documents_hash(role))
		send_versions(role, link);
}

/*
 * Another daemon wants to know whether we reach a third.
 */
void
gossip_ping_request(
    peer_role_t *role, link_t *link, const Bp__PingRequest *request)
{
	const Bp__Timeouts *timeouts = role->daemon->settings->timeouts;
	through_t *through = g_new0(through_t, 1);
	const member_t *target =
	    members_find(role->members, request->target->name);

	through->own = THROUGH_BASE + ++role->next_id;
	through->sequence = request->sequence;
	through->asker = link;
	through->until_us = clock_us() +
	    (int64_t)timeouts->member_timeout_ms * US_PER_MS * 2 / 3;
	g_hash_table_insert(role->throughs, &through->own, through);
	send_ping(role,
	    link_to(role, request->target->address, request->target->peer_port),
	    through->own, target);
}

/*
 * A helper tells whether it reached the member we probe.
 */
void
gossip_ping_request_answer(
    peer_role_t *role, const Bp__PingRequestAnswer *answer)
{
	if (answer->reached)
		members_reached(role->members, answer->sequence);
	else
		members_helper_failed(role->members, answer->sequence);
}

/*
 * The versions of all documents in force here.
 */
Bp__DocumentVersion **
gossip_held(peer_role_t *role, arena_t *arena, size_t *count)
{
	Bp__DocumentVersion **list = arena_zero(
	    arena, sizeof(list[0]) * (g_hash_table_size(role->documents) + 1));
	GHashTableIter iter;
	gpointer value;

	*count = 0;
	g_hash_table_iter_init(&iter, role->documents);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		const held_t *held = value;
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
 * Give what the other side lacks, and fetch what we lack.
 */
void
gossip_versions(
    peer_role_t *role, link_t *link, const Bp__DocumentVersions *versions)
{
	GHashTable *named = g_hash_table_new(g_str_hash, g_str_equal);
	GHashTableIter iter;
	gpointer team, value;
	size_t i;

	for (i = 0; i < versions->n_documents; i++) {
		const Bp__DocumentVersion *version = versions->documents[i];
		const held_t *held =
		    g_hash_table_lookup(role->documents, version->team);
		uint64_t own = held == NULL ? 0 : held->accepted->version;
		Bp__PeerMessage message = BP__PEER_MESSAGE__INIT;
		Bp__DocumentFetch fetch = BP__DOCUMENT_FETCH__INIT;

		g_hash_table_add(named, version->team);
		if (version_supersedes(version->version, own)) {
			fetch.team = version->team;
			message.body_case =
			    BP__PEER_MESSAGE__BODY_DOCUMENT_FETCH;
			message.document_fetch = &fetch;
			link_send(link, &message);
		} else if (held != NULL &&
		    version_supersedes(own, version->version)) {
			send_document(link, held);
		}
	}
	g_hash_table_iter_init(&iter, role->documents);
	while (g_hash_table_iter_next(&iter, &team, &value)) {
		if (!g_hash_table_contains(named, team))
			send_document(link, value);
	}
	g_hash_table_unref(named);
}

/*
 * Another daemon wants a document.
 */
void
gossip_fetch(peer_role_t *role, link_t *link, const Bp__DocumentFetch *fetch)
{
	const held_t *held = g_hash_table_lookup(role->documents, fetch->team);

	if (held != NULL)
		send_document(link, held);
}

/*
 * A document has come from another daemon; the platform's task keeps order.
 */
void
gossip_document(peer_role_t *role, const Bp__Accepted *accepted)
{
	Bp__DocumentSeen seen = BP__DOCUMENT_SEEN__INIT;

	role->counts[COUNT_DOCUMENTS_FETCHED]++;
	seen.accepted = (Bp__Accepted *)accepted;
	task_send(role->daemon->platform, role->task, msg_copy(&seen.base));
}

/*
 * A document is in force here: hold it, and push it to a few others, who do
 * the same, so that it is everywhere in a few steps.
 */
void
gossip_in_force(peer_role_t *role, const Bp__Accepted *accepted)
{
	arena_t *arena = arena_new();
	held_t *held = arena_zero(arena, sizeof(*held));
	uint32_t i, n = members_count(role->members), tries, pushed = 0;

	held->arena = arena;
	held->accepted = (Bp__Accepted *)message_copy(arena, &accepted->base);
	g_hash_table_replace(role->documents, held->accepted->team, held);
	for (tries = 0; n > 1 && tries < 4 * PUSH_TO && pushed < PUSH_TO;
	     tries++) {
		const member_t *member;
		link_t *link;

		i = (uint32_t)g_rand_int_range(role->rand, 1, (gint32)n);
		member = members_at(role->members, i);
		if (member->news.state != MEMBER_ALIVE)
			continue;
		link = link_to_member(role, member);
		if (link != NULL)
			send_document(link, held);
		pushed++;
	}
}

/*
 * A link has gone: forget who asked over it.
 */
void
gossip_link_gone(peer_role_t *role, link_t *link)
{
	GHashTableIter iter;
	gpointer value;

	g_hash_table_iter_init(&iter, role->throughs);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		if (((through_t *)value)->asker == link)
			g_hash_table_iter_remove(&iter);
	}
}
