#include "peer.h"

#include <string.h>

/* Statements, witnesses and status questions that pass between daemons. */

#define STATUS_WAIT_MS 300

/* Something that came from another daemon and goes back to it. */
typedef struct relay {
	uint64_t own; /* the key */
	uint64_t id;  /* the other daemon's number */
	link_t *link; /* NULL once the link is gone */
} relay_t;

/* One status question of ours that goes round. */
typedef struct query {
	uint64_t id; /* the key */
	peer_role_t *role;
	task_t *from;
	msg_t *out; /* the part that is being filled */
	uint32_t waiting;
	GSource *timer;
} query_t;

/*
 * Remember where an answer goes back to.
 */
static relay_t *
relay_add(peer_role_t *role, link_t *link, uint64_t id)
{
	relay_t *relay = g_new0(relay_t, 1);

	relay->own = ++role->next_id;
	relay->id = id;
	relay->link = link;
	g_hash_table_insert(role->relays, &relay->own, relay);
	return relay;
}

/*
 * Another daemon hands us a statement: our groups run it.
 */
void
relay_forward(peer_role_t *role, link_t *link, const Bp__Forward *forward)
{
	relay_t *relay = relay_add(role, link, forward->id);
	Bp__RunStatement run = BP__RUN_STATEMENT__INIT;

	role->counts[COUNT_FORWARDS_IN]++;
	run.route = relay->own;
	run.statement = forward->statement;
	task_send(role->daemon->group, role->task, msg_copy(&run.base));
}

/*
 * Our groups have answered another daemon's statement: hand the answer back,
 * if the link that it came over is still there.
 */
void
relay_answered(peer_role_t *role, const Bp__StatementAnswered *answered)
{
	relay_t *relay = g_hash_table_lookup(role->relays, &answered->route);
	Bp__PeerMessage message = BP__PEER_MESSAGE__INIT;
	Bp__ForwardAnswer answer = BP__FORWARD_ANSWER__INIT;

	if (relay == NULL)
		return;
	answer.id = relay->id;
	answer.answer = answered->answer;
	message.body_case = BP__PEER_MESSAGE__BODY_FORWARD_ANSWER;
	message.forward_answer = &answer;
	if (relay->link != NULL)
		link_send(relay->link, &message);
	g_hash_table_remove(role->relays, &answered->route);
}

/*
 * Tell the front end that a statement did not come through.  unsent: it
 * provably never left.
 */
static void
forward_failed(peer_role_t *role, uint64_t route, bool unsent)
{
	msg_t *msg = msg_new(&bp__statement_answered__descriptor);
	Bp__StatementAnswered *answered = (Bp__StatementAnswered *)msg->body;

	role->counts[COUNT_FORWARDS_LOST]++;
	answered->route = route;
	answered->has_unsent = 1;
	answered->unsent = unsent;
	answered->answer =
	    (Bp__Answer *)message_new(msg->arena, &bp__answer__descriptor);
	answered->answer->outcome =
	    unsent ? BP__OUTCOME__NOT_RUN : BP__OUTCOME__UNKNOWN;
	answered->answer->reason =
	    unsent ? BP__REASON__NO_OWNER : BP__REASON__CONNECTION_LOST;
	task_send(role->daemon->front, role->task, msg);
}

/*
 * The front end hands a statement to another daemon.
 */
void
relay_statement(peer_role_t *role, const Bp__ForwardStatement *ask)
{
	const member_t *member = members_find(role->members, ask->daemon);
	link_t *link = member == NULL || member->news.state == MEMBER_DEAD
	    ? NULL
	    : link_to_member(role, member);
	Bp__PeerMessage message = BP__PEER_MESSAGE__INIT;
	Bp__Forward forward = BP__FORWARD__INIT;
	gint64 *route;

	if (link == NULL) {
		forward_failed(role, ask->route, true);
		return;
	}
	forward.id = ask->route;
	forward.statement = ask->statement;
	message.body_case = BP__PEER_MESSAGE__BODY_FORWARD;
	message.forward = &forward;
	if (link_send(link, &message) < 0) {
		/* part of the frame may have left; it cannot be read, though */
		forward_failed(role, ask->route, true);
		return;
	}
	role->counts[COUNT_FORWARDS_OUT]++;
	route = g_new(gint64, 1);
	*route = (gint64)ask->route;
	g_hash_table_add(link->forwards, route);
}

/*
 * Another daemon answers a statement of ours.
 */
void
relay_forward_answer(
    peer_role_t *role, link_t *link, const Bp__ForwardAnswer *answer)
{
	Bp__StatementAnswered answered = BP__STATEMENT_ANSWERED__INIT;

	if (!g_hash_table_remove(link->forwards, &answer->id))
		return;
	answered.route = answer->id;
	answered.answer = answer->answer;
	task_send(role->daemon->front, role->task, msg_copy(&answered.base));
}

/*
 * A link has gone: what was handed over may have run, unless the link never
 * opened; what came over it has nowhere to go back to.
 */
void
relay_link_gone(peer_role_t *role, link_t *link)
{
	GHashTableIter iter;
	gpointer key, value;

	g_hash_table_iter_init(&iter, link->forwards);
	while (g_hash_table_iter_next(&iter, &key, NULL))
		forward_failed(role, (uint64_t) * (gint64 *)key, !link->opened);
	g_hash_table_remove_all(link->forwards);
	g_hash_table_iter_init(&iter, role->relays);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		relay_t *relay = value;

		if (relay->link == link)
			relay->link = NULL;
	}
}

/*
 * Answer our own group's question for a witness.
 */
static void
witness_heard(peer_role_t *role, uint64_t id, bool reached)
{
	msg_t *msg = msg_new(&bp__witness_heard__descriptor);
	Bp__WitnessHeard *heard = (Bp__WitnessHeard *)msg->body;

	heard->id = id;
	heard->reached = reached;
	task_send(role->daemon->group, role->task, msg);
}

/*
 * A group of ours wants a second witness: ask a living member, one in
 * another zone where there is one.  With nobody to ask, the group's own
 * sight has to do.
 */
void
relay_witness_wanted(peer_role_t *role, const Bp__WitnessWanted *wanted)
{
	const member_t *self = members_self(role->members), *chosen = NULL;
	Bp__PeerMessage message = BP__PEER_MESSAGE__INIT;
	Bp__WitnessAsk ask = BP__WITNESS_ASK__INIT;
	uint32_t i, n = members_count(role->members), start;
	link_t *link;

	start = (uint32_t)g_rand_int_range(role->rand, 0, (gint32)n);
	for (i = 0; i < n; i++) {
		const member_t *member =
		    members_at(role->members, (start + i) % n);

		if (member == self || member->news.state != MEMBER_ALIVE)
			continue;
		if (chosen == NULL ||
		    (strcmp(chosen->news.zone, self->news.zone) == 0 &&
			strcmp(member->news.zone, self->news.zone) != 0))
			chosen = member;
	}
	link = chosen == NULL ? NULL : link_to_member(role, chosen);
	if (link == NULL) {
		witness_heard(role, wanted->id, false);
		return;
	}
	ask.id = wanted->id;
	ask.address = wanted->address;
	ask.port = wanted->port;
	message.body_case = BP__PEER_MESSAGE__BODY_WITNESS_ASK;
	message.witness_ask = &ask;
	link_send(link, &message);
}

/*
 * Another daemon wants us as its witness.
 */
void
relay_witness_ask(peer_role_t *role, link_t *link, const Bp__WitnessAsk *ask)
{
	relay_t *relay = relay_add(role, link, ask->id);
	msg_t *msg = msg_new(&bp__witness_wanted__descriptor);
	Bp__WitnessWanted *wanted = (Bp__WitnessWanted *)msg->body;

	wanted->id = relay->own;
	wanted->address = arena_strdup(msg->arena, ask->address);
	wanted->port = ask->port;
	task_send(role->daemon->group, role->task, msg);
}

/*
 * Our groups have looked: tell the daemon that asked.
 */
void
relay_witness_heard(peer_role_t *role, const Bp__WitnessHeard *heard)
{
	relay_t *relay = g_hash_table_lookup(role->relays, &heard->id);
	Bp__PeerMessage message = BP__PEER_MESSAGE__INIT;
	Bp__WitnessTell tell = BP__WITNESS_TELL__INIT;

	if (relay == NULL)
		return;
	tell.id = relay->id;
	tell.reached = heard->reached;
	message.body_case = BP__PEER_MESSAGE__BODY_WITNESS_TELL;
	message.witness_tell = &tell;
	if (relay->link != NULL)
		link_send(relay->link, &message);
	g_hash_table_remove(role->relays, &heard->id);
}

/*
 * Our witness has answered.
 */
void
relay_witness_tell(peer_role_t *role, const Bp__WitnessTell *tell)
{
	witness_heard(role, tell->id, tell->reached);
}

/*
 * Add a daemon's documents to the status page.
 */
static void
query_add(query_t *query, const char *daemon, Bp__DocumentVersion **versions,
    size_t count)
{
	Bp__StatusPart *part = (Bp__StatusPart *)query->out->body;
	arena_t *arena = query->out->arena;
	Bp__DocumentStatus **list = arena_zero(
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
 * Send the finished part to the task that asked.
 */
static void
query_end(query_t *query)
{
	task_send(query->from, query->role->task, query->out);
	source_drop(&query->timer);
	g_hash_table_remove(query->role->queries, &query->id);
	g_free(query);
}

/*
 * Some daemons have not answered in time; the page does without them.
 */
static gboolean
on_query_timeout(gpointer context)
{
	query_end(context);
	return G_SOURCE_REMOVE;
}

/*
 * Fill in our part of the status page, with every daemon's documents.
 */
void
relay_status_wanted(peer_role_t *role, task_t *from, uint64_t id)
{
	query_t *query = g_new0(query_t, 1);
	Bp__PeerMessage message = BP__PEER_MESSAGE__INIT;
	Bp__StatusAsk ask = BP__STATUS_ASK__INIT;
	Bp__DocumentVersion **held;
	Bp__StatusPart *part;
	size_t count;
	uint32_t i;

	query->id = ++role->next_id;
	query->role = role;
	query->from = from;
	query->out = msg_new(&bp__status_part__descriptor);
	part = (Bp__StatusPart *)query->out->body;
	part->id = id;
	peer_report(role, query->out->arena, part);
	held = gossip_held(role, query->out->arena, &count);
	query_add(query, role->daemon->settings->name, held, count);
	ask.id = query->id;
	message.body_case = BP__PEER_MESSAGE__BODY_STATUS_ASK;
	message.status_ask = &ask;
	for (i = 1; i < members_count(role->members); i++) {
		const member_t *member = members_at(role->members, i);
		link_t *link = member->news.state == MEMBER_ALIVE
		    ? link_to_member(role, member)
		    : NULL;

		if (link != NULL && link_send(link, &message) == 0)
			query->waiting++;
	}
	g_hash_table_insert(role->queries, &query->id, query);
	if (query->waiting == 0)
		query_end(query);
	else
		query->timer = task_timer(
		    role->task, STATUS_WAIT_MS, on_query_timeout, query);
}

/*
 * Another daemon wants to know our documents.
 */
void
relay_status_ask(peer_role_t *role, link_t *link, const Bp__StatusAsk *ask)
{
	arena_t *arena = arena_new();
	Bp__PeerMessage message = BP__PEER_MESSAGE__INIT;
	Bp__StatusTell tell = BP__STATUS_TELL__INIT;

	tell.id = ask->id;
	tell.name = role->daemon->settings->name;
	tell.documents = gossip_held(role, arena, &tell.n_documents);
	message.body_case = BP__PEER_MESSAGE__BODY_STATUS_TELL;
	message.status_tell = &tell;
	link_send(link, &message);
	arena_free(arena);
}

/*
 * Another daemon has told its documents.
 */
void
relay_status_tell(peer_role_t *role, const Bp__StatusTell *tell)
{
	query_t *query = g_hash_table_lookup(role->queries, &tell->id);

	if (query == NULL)
		return;
	query_add(query, tell->name, tell->documents, tell->n_documents);
	if (--query->waiting == 0)
		query_end(query);
}
