#include "../src/frame.h"
#include "../src/proxy/listener.h"
#include "../src/proxy/registry.h"
#include "../tools/fleet.h"
#include "cases.h"

#include <string.h>
#include <sys/socket.h>

/*
 * Tests of what a coordinator concludes where the connections to other daemons
 * are refused or reset: with its peers task, and its registry without a store.
 * The test plays the other daemons.  t_peers.c has the same with processes.
 */

/* Interval at which daemons are asked again whose connections have ended. */
#define RETRY_MS 200

#define DAEMONS_MAX 4
#define GROUP "ledger"
#define TERM 5
#define TOKEN 4

/* Start of the processes that the records name. */
#define START 1733500000000

/* Time for which connections are refused, in which the others answer. */
#define REFUSED_MS 500

/* Time in which a daemon is asked again after that, and has answered. */
#define ASKED_AGAIN_MS (RETRY_MS + 300)

/* What a daemon knows that is newer than what it is told. */
typedef struct knowledge {
	uint64_t token;
	uint64_t newest_term;
	uint64_t order_term; /* of an order's attempt; 0: none */
} knowledge_t;

typedef struct bed bed_t;

/* Another daemon, which the test plays. */
typedef struct daemon {
	bed_t *bed;
	char *name;
	char *address;
	listener_t *listener; /* NULL: its port refuses connections */
	bool resets;          /* its connections are reset at once */
	bool resets_asked;    /* they are when something has been asked */
	bool other_name;      /* another daemon has its address */
	bool restarted;       /* it has read no token since it started */
	int32_t later;        /* its start, after that in its record */
	bool holds_up;        /* it answers when the test has it do so */
	knowledge_t knowledge;
	uint32_t asked;   /* number of revocations that have reached it */
	uint32_t held_up; /* number of those whose answers were held up */
	GPtrArray *links; /* of daemon_link_t */
} daemon_t;

/* A connection to it. */
typedef struct daemon_link {
	daemon_t *daemon;
	frame_link_t *frames;
	uint64_t held_id; /* revocation whose answer is held up; 0: none */
	uint32_t order;   /* number of the order that it is for, from 0 */
} daemon_link_t;

/* What the requester of a revocation was told of it. */
typedef struct reported {
	bool most;
	bool all;
	bool outdated;
	knowledge_t knowledge;
} reported_t;

/* The peers task of a daemon whose other tasks are fakes. */
struct bed {
	Bp__ProxySettings settings;
	proxy_t proxy;
	task_t *host;
	void *peers;
	daemon_t daemons[DAEMONS_MAX];
	uint32_t daemons_count;
	reported_t reported;
	/* with bed_start_registry() */
	proxy_t registry_proxy;
	registry_t *registry;
	uint32_t orders; /* that were sent */
};

/*
 * Note the progress of the revocation.
 */
static void
note_revoke_ended(void *context, msg_t *msg)
{
	const Bp__RevokeEnded *ended = (const Bp__RevokeEnded *)msg->body;
	reported_t *reported = &((bed_t *)context)->reported;
	knowledge_t *knowledge = &reported->knowledge;

	reported->most |= ended->state != BP__REVOKE_STATE__OUTDATED;
	reported->all |= ended->state == BP__REVOKE_STATE__ALL;
	reported->outdated |= ended->state == BP__REVOKE_STATE__OUTDATED;
	knowledge->newest_term =
	    MAX(knowledge->newest_term, ended->newest_term);
	if (ended->order != NULL)
		knowledge->order_term = ended->order->attempt_term;
	if (((bed_t *)context)->registry != NULL)
		order_confirmed(((bed_t *)context)->registry, msg);
	else
		msg_free(msg);
}

/*
 * Note a token that a daemon has told.
 */
static void
note_token(void *context, msg_t *msg)
{
	bed_t *bed = context;

	bed->reported.knowledge.token =
	    ((const Bp__TokenSeen *)msg->body)->token;
	msg_free(msg);
}

static const task_handler_t requester_handlers[] = {
    {&bp__revoke_ended__descriptor, note_revoke_ended},
    {&bp__token_seen__descriptor, note_token},
};
static const task_ops_t host_ops = {"host", NULL, NULL, NULL, 0};
static const task_ops_t requester_ops = {"requester", NULL, NULL,
    requester_handlers, G_N_ELEMENTS(requester_handlers)};

/*
 * Free a connection to a daemon.
 */
static void
link_free(gpointer p)
{
	daemon_link_t *link = p;

	frame_free(link->frames);
	g_free(link);
}

/*
 * Answer a revocation with all that the daemon knows.
 */
static void
link_answer(
    const daemon_link_t *link, uint64_t id, uint64_t token, arena_t *arena)
{
	const knowledge_t *knowledge = &link->daemon->knowledge;
	Bp__PeerMessage message = BP__PEER_MESSAGE__INIT;
	Bp__LeaseRevoked revoked = BP__LEASE_REVOKED__INIT;
	Bp__RecordedOrder order = BP__RECORDED_ORDER__INIT;

	revoked.id = id;
	revoked.token = MAX(token, knowledge->token);
	revoked.has_newest_term = 1;
	revoked.newest_term = knowledge->newest_term;
	order.group = arena_strdup(arena, GROUP);
	order.attempt_term = knowledge->order_term;
	order.replaced_term = 1;
	if (knowledge->order_term != 0)
		revoked.order = &order;
	revoked.daemon =
	    link->daemon->other_name ? (char *)"another" : link->daemon->name;
	revoked.has_start = 1;
	revoked.start = (uint64_t)(START + link->daemon->later);
	revoked.has_recorded = 1;
	revoked.recorded = !link->daemon->restarted;
	message.body_case = BP__PEER_MESSAGE__BODY_LEASE_REVOKED;
	message.lease_revoked = &revoked;
	frame_send(link->frames, &message);
}

/*
 * Answer a revocation, hold the answer up, or reset the connection.
 */
static void
on_link_received(void *context, arena_t *arena, Bp__PeerMessage *asked)
{
	daemon_link_t *link = context;
	daemon_t *daemon = link->daemon;

	g_assert_cmpint(
	    asked->body_case, ==, BP__PEER_MESSAGE__BODY_LEASE_REVOKE);
	daemon->asked++;
	if (daemon->resets_asked) {
		g_ptr_array_remove_fast(daemon->links, link);
	} else if (daemon->holds_up) {
		/* not that an order was withdrawn */
		if (asked->lease_revoke->term != 0) {
			link->held_id = asked->lease_revoke->id;
			link->order = daemon->held_up++;
		}
	} else {
		link_answer(link, asked->lease_revoke->id,
		    asked->lease_revoke->token, arena);
	}
	arena_free(arena);
}

/*
 * Have all daemons give the answers that they hold up for an order.
 */
static void
bed_answer_held(const bed_t *bed, uint32_t order)
{
	arena_t *arena = arena_new();
	uint32_t i, j;

	for (i = 0; i < bed->daemons_count; i++) {
		const GPtrArray *links = bed->daemons[i].links;

		for (j = 0; j < links->len; j++) {
			daemon_link_t *link = g_ptr_array_index(links, j);

			if (link->held_id != 0 && link->order == order)
				link_answer(link, link->held_id, TOKEN, arena);
		}
	}
	arena_free(arena);
}

/*
 * Handle the end of a connection to a daemon.
 */
static void
on_link_closed(void *context, int32_t error)
{
	daemon_link_t *link = context;

	(void)error;
	g_ptr_array_remove_fast(link->daemon->links, link);
}

static const frame_ops_t link_ops = {NULL, on_link_received, on_link_closed};

/*
 * Accept a connection to a daemon, or reset it.
 */
static void
daemon_accept(void *context, GSocket *socket)
{
	const struct linger at_once = {.l_onoff = 1, .l_linger = 0};
	daemon_t *daemon = context;
	daemon_link_t *link;

	if (daemon->resets || daemon->resets_asked)
		setsockopt(g_socket_get_fd(socket), SOL_SOCKET, SO_LINGER,
		    &at_once, sizeof(at_once));
	if (daemon->resets) {
		g_object_unref(socket);
		return;
	}
	link = g_new0(daemon_link_t, 1);
	link->daemon = daemon;
	link->frames = frame_accept(task_main_context(daemon->bed->host),
	    socket, PEER_FRAME_BYTES_MAX, &link_ops, link);
	g_ptr_array_add(daemon->links, link);
}

/*
 * Have a daemon listen at its port.
 */
static void
daemon_listen(daemon_t *daemon)
{
	if (daemon->listener == NULL)
		daemon->listener =
		    listener_open(task_main_context(daemon->bed->host),
			daemon->address, daemon_accept, daemon);
	g_assert_nonnull(daemon->listener);
}

/*
 * Return an address on loopback at which nothing listens, to be freed by the
 * caller.
 */
static char *
unused_address(void)
{
	return g_strdup_printf("127.0.0.1:%u", fleet_unused_port());
}

/*
 * Start the peers task, and the daemons: a letter for each, a answers, f
 * refuses, x resets at once, y when it has been asked, n answers under another
 * name, r answers and has read no token since it started, h holds its answers
 * up, l answers and has started later than its record says, e earlier.
 * knowledge: of those that do not answer in their own.
 */
static void
bed_start(bed_t *bed, const char *daemons, const knowledge_t *knowledge)
{
	uint32_t i;

	*bed = (bed_t){.daemons_count = (uint32_t)strlen(daemons)};
	g_assert_cmpuint(bed->daemons_count, <=, DAEMONS_MAX);
	bp__proxy_settings__init(&bed->settings);
	bed->settings.name = (char *)"this";
	bed->settings.peer_address = unused_address();
	bed->host = task_new(&host_ops, NULL);
	bed->proxy.settings = &bed->settings;
	bed->proxy.pool = task_new_hosted(&requester_ops, bed, bed->host);
	bed->proxy.registry = task_new_hosted(&requester_ops, bed, bed->host);
	bed->peers = peers_new(&bed->proxy);
	bed->proxy.peers = task_new_hosted(&peers_ops, bed->peers, bed->host);
	g_assert_cmpint(task_start_hosted(bed->proxy.peers), ==, 0);
	for (i = 0; i < bed->daemons_count; i++) {
		daemon_t *daemon = &bed->daemons[i];

		daemon->bed = bed;
		daemon->name = g_strdup_printf("other-%u", i);
		daemon->address = unused_address();
		daemon->links = g_ptr_array_new_with_free_func(link_free);
		daemon->resets = daemons[i] == 'x';
		daemon->resets_asked = daemons[i] == 'y';
		daemon->other_name = daemons[i] == 'n';
		daemon->restarted = daemons[i] == 'r';
		daemon->holds_up = daemons[i] == 'h';
		daemon->later = daemons[i] == 'l' ? 1
		    : daemons[i] == 'e'           ? -1
						  : 0;
		if (daemons[i] != 'a' && daemons[i] != 'r')
			daemon->knowledge = *knowledge;
		if (daemons[i] != 'f')
			daemon_listen(daemon);
	}
}

/*
 * Stop and free the tasks and the daemons.
 */
static void
bed_stop(bed_t *bed)
{
	uint32_t i;

	task_stop_hosted(bed->proxy.peers);
	for (i = 0; i < bed->daemons_count; i++) {
		daemon_t *daemon = &bed->daemons[i];

		if (daemon->listener != NULL)
			listener_close(daemon->listener);
		g_ptr_array_unref(daemon->links);
		g_free(daemon->address);
		g_free(daemon->name);
	}
	task_free(bed->proxy.peers);
	peers_free(bed->peers);
	task_free(bed->proxy.registry);
	task_free(bed->proxy.pool);
	task_free(bed->host);
	g_free(bed->settings.peer_address);
}

/*
 * Handle what is due until a time has passed, or until all daemons have given
 * up their leases or one has told a newer token, if until_ended is set.
 */
static void
bed_run(bed_t *bed, int64_t time_ms, bool until_ended)
{
	int64_t end_us = clock_us() + time_ms * US_PER_MS;

	while (clock_us() < end_us &&
	    !(until_ended && (bed->reported.all || bed->reported.outdated))) {
		while (g_main_context_iteration(
		    task_main_context(bed->host), FALSE))
			;
		g_usleep(US_PER_MS);
	}
}

/*
 * Have a revocation go to all daemons.
 */
static void
add_daemons(const bed_t *bed, msg_t *msg)
{
	Bp__RevokeWanted *wanted = (Bp__RevokeWanted *)msg->body;
	uint32_t i;

	wanted->n_daemons = bed->daemons_count;
	wanted->daemons = arena_zalloc(
	    msg->arena, sizeof(Bp__DaemonRecord *) * bed->daemons_count);
	for (i = 0; i < bed->daemons_count; i++) {
		Bp__DaemonRecord *record = (Bp__DaemonRecord *)message_new(
		    msg->arena, &bp__daemon_record__descriptor);

		record->name = arena_strdup(msg->arena, bed->daemons[i].name);
		record->address =
		    arena_strdup(msg->arena, bed->daemons[i].address);
		record->has_start = 1;
		record->start = START;
		wanted->daemons[i] = record;
	}
}

/*
 * Ask for the revocation of the leases of all daemons on a group.
 */
static void
bed_revoke(const bed_t *bed, const char *group, uint64_t term, bool confirms)
{
	msg_t *msg = msg_new(&bp__revoke_wanted__descriptor);
	Bp__RevokeWanted *wanted = (Bp__RevokeWanted *)msg->body;

	wanted->group = arena_strdup(msg->arena, group);
	wanted->term = term;
	wanted->token = TOKEN;
	wanted->has_confirms = wanted->confirms = confirms;
	add_daemons(bed, msg);
	task_send(bed->proxy.peers, NULL, msg);
}

typedef struct unheard_case {
	const char *name;
	const char *daemons;   /* as in bed_start() */
	knowledge_t knowledge; /* of those that do not answer */
	bool most;             /* a majority answers nevertheless */
} unheard_case_t;

static const unheard_case_t unheard_cases[] = {
    {"a lease", "af", {0}, true},
    {"a lease, reset", "ay", {0}, true},
    {"a lease, reset at once", "ax", {0}, true},
    {"a newer token", "f", {.token = TOKEN + 75}, false},
    {"a newer token, one of three answers", "aff", {.token = TOKEN + 75},
	false},
    {"a newer token, reset", "ayy", {.token = TOKEN + 75}, false},
    {"an order", "aff", {.order_term = 4}, false},
    {"an order, reset", "ayy", {.order_term = 4}, false},
    {"a newer term", "aff", {.newest_term = 3}, false},
    {"a newer term, reset", "ayy", {.newest_term = 3}, false},
    {"the majority", "ff", {0}, false},
    {"the majority of five", "afff", {0}, false},
    {"the majority, refused and reset", "afxy", {0}, false},
    {"a lease, others have started again", "rrf", {0}, true},
};

/*
 * Test that what a daemon holds or knows whose connection is refused or reset
 * is not passed over: a majority counts only those that have answered, all are
 * reported only once it has, and it is asked again soon after the refusal has
 * ended.  No order is sent before a majority is reported.
 */
static void
test_unheard(gconstpointer data)
{
	const unheard_case_t *c = data;
	const knowledge_t *told;
	bed_t bed;
	int64_t ended_us;
	uint32_t i;

	bed_start(&bed, c->daemons, &c->knowledge);
	bed_revoke(&bed, GROUP, TERM, false);
	bed_run(&bed, REFUSED_MS, false);
	g_test_message("meanwhile: most %d, all %d, outdated %d",
	    bed.reported.most, bed.reported.all, bed.reported.outdated);
	g_assert_cmpint(bed.reported.most, ==, c->most);
	g_assert_false(bed.reported.all);
	g_assert_false(bed.reported.outdated);
	for (i = 0; i < bed.daemons_count; i++) {
		bed.daemons[i].resets = bed.daemons[i].resets_asked = false;
		daemon_listen(&bed.daemons[i]);
	}
	ended_us = clock_us();
	bed_run(&bed, ASKED_AGAIN_MS, true);
	told = &bed.reported.knowledge;
	g_test_message("%" G_GINT64_FORMAT " ms later: most %d, all %d, "
		       "outdated %d, token %" G_GUINT64_FORMAT
		       ", newest term %" G_GUINT64_FORMAT
		       ", order %" G_GUINT64_FORMAT,
	    (clock_us() - ended_us) / US_PER_MS, bed.reported.most,
	    bed.reported.all, bed.reported.outdated, told->token,
	    told->newest_term, told->order_term);
	g_assert_cmpint(bed.reported.outdated, ==, c->knowledge.token > TOKEN);
	g_assert_cmpint(bed.reported.all, ==, c->knowledge.token <= TOKEN);
	g_assert_cmpuint(told->token, ==, c->knowledge.token);
	g_assert_cmpuint(told->newest_term, ==, c->knowledge.newest_term);
	g_assert_cmpuint(told->order_term, ==, c->knowledge.order_term);
	bed_stop(&bed);
}

typedef struct other_process_case {
	const char *name;
	const char *daemons;   /* as in bed_start() */
	knowledge_t knowledge; /* of the one that answers */
	bool counts;           /* its answer counts as that of the record's */
} other_process_case_t;

static const other_process_case_t other_process_cases[] = {
    {"another name", "n", {0}, false},
    {"another name, a newer token", "n", {.token = TOKEN + 75}, false},
    {"an earlier start", "e", {0}, false},
    {"an earlier start, a newer token", "e", {.token = TOKEN + 75}, false},
    {"a later start, which the former one has made way for", "l", {0}, true},
};

/*
 * Test that an answer of another process than a record names tells what its
 * sender knows, and stands for no vote and no lease of the one in the record.
 */
static void
test_other_process(gconstpointer data)
{
	const other_process_case_t *c = data;
	bed_t bed;

	bed_start(&bed, c->daemons, &c->knowledge);
	bed_revoke(&bed, GROUP, TERM, false);
	bed_run(&bed, REFUSED_MS, false);
	g_assert_cmpuint(bed.daemons[0].asked, ==, 1);
	g_assert_cmpint(bed.reported.outdated, ==, c->knowledge.token > TOKEN);
	g_assert_cmpuint(bed.reported.knowledge.token, ==, c->knowledge.token);
	g_assert_cmpint(bed.reported.most, ==, c->counts);
	bed_stop(&bed);
}

typedef struct own_name_case {
	const char *name;
	uint64_t start; /* in a record under this daemon's own name */
	bool elsewhere; /* the record has another address */
	bool all;       /* expected: nobody else has to answer */
} own_name_case_t;

/* Start of the process of the bed. */
#define OWN_START (START + 5)

static const own_name_case_t own_name_cases[] = {
    {"its own record", OWN_START, false, true},
    {"that of the process before it, at its address", START, false, true},
    {"that of another process, elsewhere", START, true, false},
    {"that of a former version, elsewhere", 0, true, false},
    {"its own record, with a former address", OWN_START, true, true},
};

/*
 * Test that a coordinator waits for the leases of another process under its own
 * name.
 */
static void
test_own_name(gconstpointer data)
{
	const own_name_case_t *c = data;
	const knowledge_t nothing = {0};
	bed_t bed;
	msg_t *msg = msg_new(&bp__revoke_wanted__descriptor);
	Bp__RevokeWanted *wanted = (Bp__RevokeWanted *)msg->body;
	Bp__DaemonRecord *record = (Bp__DaemonRecord *)message_new(
	    msg->arena, &bp__daemon_record__descriptor);

	bed_start(&bed, "f", &nothing);
	bed.proxy.start = OWN_START;
	wanted->group = arena_strdup(msg->arena, GROUP);
	wanted->term = TERM;
	wanted->token = TOKEN;
	wanted->n_daemons = 1;
	wanted->daemons = arena_zalloc(msg->arena, sizeof(Bp__DaemonRecord *));
	wanted->daemons[0] = record;
	record->name = arena_strdup(msg->arena, bed.settings.name);
	record->address = arena_strdup(msg->arena,
	    c->elsewhere ? bed.daemons[0].address : bed.settings.peer_address);
	record->has_start = 1;
	record->start = c->start;
	task_send(bed.proxy.peers, NULL, msg);
	bed_run(&bed, REFUSED_MS, false);
	g_assert_cmpint(bed.reported.all, ==, c->all);
	bed_stop(&bed);
}

typedef struct repeated_case {
	const char *name;
	bool confirms;     /* the first revocation asks to confirm an order */
	const char *group; /* of a later revocation; NULL: none */
	uint64_t term;     /* of the later one */
	uint32_t asked;    /* revocations that reach the daemon in the end */
} repeated_case_t;

static const repeated_case_t repeated_cases[] = {
    {"no other follows", false, NULL, 0, 1},
    {"one of the same group follows", false, GROUP, TERM + 1, 1},
    {"one of another group follows", false, "other", TERM + 1, 2},
    {"an order to be confirmed", true, NULL, 0, 0},
    {"an order to be confirmed, withdrawn", true, GROUP, 0, 0},
};

/*
 * Test that a daemon whose connection was refused is asked again for the latest
 * revocation of a group alone, and told of no order that has been withdrawn.
 */
static void
test_repeated(gconstpointer data)
{
	const repeated_case_t *c = data;
	const knowledge_t nothing = {0};
	bed_t bed;

	bed_start(&bed, "f", &nothing);
	bed_revoke(&bed, GROUP, TERM, c->confirms);
	bed_run(&bed, REFUSED_MS, false);
	if (c->group != NULL)
		bed_revoke(&bed, c->group, c->term, c->confirms);
	bed_run(&bed, REFUSED_MS, false);
	daemon_listen(&bed.daemons[0]);
	bed_run(&bed, ASKED_AGAIN_MS, false);
	g_assert_cmpuint(bed.daemons[0].asked, ==, c->asked);
	g_assert_cmpint(bed.reported.all, ==, c->asked > 0);
	bed_stop(&bed);
}

/* An attempt with standing promises, to replace the primary of term 1. */
#define STANDING_TERM ((UINT64_C(1) << 20) | 1)

/*
 * Drop a message.
 */
static void
drop(void *context, msg_t *msg)
{
	(void)context;
	msg_free(msg);
}

/*
 * Pass a revocation on to the peers task, for all daemons.
 */
static void
pass_revocation(void *context, msg_t *msg)
{
	const bed_t *bed = context;

	add_daemons(bed, msg);
	task_send(bed->proxy.peers, NULL, msg);
}

static const task_handler_t passing_handlers[] = {
    {&bp__revoke_wanted__descriptor, pass_revocation},
};
static const task_handler_t pool_handlers[] = {
    {&bp__duty_changed__descriptor, drop},
    {&bp__promotion_ended__descriptor, drop},
    {&bp__orders_read__descriptor, drop},
    {&bp__attempts_void__descriptor, drop},
    {&bp__store_away__descriptor, drop},
};
static const task_ops_t passing_ops = {
    "passing", NULL, NULL, passing_handlers, G_N_ELEMENTS(passing_handlers)};
static const task_ops_t fake_pool_ops = {
    "pool", NULL, NULL, pool_handlers, G_N_ELEMENTS(pool_handlers)};

/*
 * Leave a write of the record without an answer.
 */
static void
put_coordinator(object_store_t *store, const char *name, uint64_t revision,
    const Bp__DutyRecord *record, object_store_cb callback, void *context)
{
	(void)store;
	(void)name;
	(void)revision;
	(void)record;
	(void)callback;
	(void)context;
}

static const object_store_ops_t silent_store = {
    .put_coordinator = put_coordinator};

/* The platform, which counts the orders. */
struct promoter {
	bed_t *bed;
};

/*
 * Note an order.
 */
static void
promote(promoter_t *promoter, const char *group, const char *server,
    const char *holder, uint64_t token, promoter_cb callback, void *context)
{
	(void)group;
	(void)server;
	(void)holder;
	(void)token;
	(void)callback;
	(void)context;
	promoter->bed->orders++;
}

static const promoter_ops_t counting_promoter = {.promote = promote};

/*
 * Start the registry of a coordinator that does not reach the store, and has
 * sent an order under its token before.
 */
static void
bed_start_registry(bed_t *bed)
{
	bed->registry_proxy = bed->proxy;
	bed->registry_proxy.objects = &silent_store;
	bed->registry_proxy.promoter = &counting_promoter;
	bed->registry_proxy.pool =
	    task_new_hosted(&fake_pool_ops, NULL, bed->host);
	bed->registry_proxy.peers =
	    task_new_hosted(&passing_ops, bed, bed->host);
	bed->registry = registry_new(&bed->registry_proxy);
	bed->registry->task = bed->proxy.registry;
	bed->registry->promoter = g_new0(promoter_t, 1);
	bed->registry->promoter->bed = bed;
	bed->registry->heartbeats = g_hash_table_new(g_str_hash, g_str_equal);
	bed->registry->daemons_listed = true;
	bed->registry->fencing_token = TOKEN;
	bed->registry->order_sent = true;
	bed->registry->daemons_list_failed = true;
}

/*
 * Stop and free the registry.
 */
static void
bed_stop_registry(bed_t *bed)
{
	promotions_stop(bed->registry);
	restore_stop(bed->registry);
	g_hash_table_unref(bed->registry->heartbeats);
	g_free(bed->registry->promoter);
	registry_free(bed->registry);
	task_free(bed->registry_proxy.peers);
	task_free(bed->registry_proxy.pool);
}

/*
 * Ask for an order that was decided now.
 */
static void
want_order(bed_t *bed)
{
	msg_t *msg = msg_new(&bp__promotion_wanted__descriptor);
	Bp__PromotionWanted *wanted = (Bp__PromotionWanted *)msg->body;

	wanted->group = arena_strdup(msg->arena, GROUP);
	wanted->server = arena_strdup(msg->arena, "s-1");
	wanted->term = STANDING_TERM;
	wanted->replaced_term = 1;
	wanted->heard_us = wanted->decided_us = (uint64_t)clock_us();
	wanted->heard_token = TOKEN;
	promotion_wanted(bed->registry, msg);
}

typedef struct order_case {
	const char *name;
	const char *daemons;   /* as in bed_start() */
	knowledge_t knowledge; /* of those that do not answer */
	uint32_t orders;       /* expected to be sent */
} order_case_t;

static const order_case_t order_cases[] = {
    {"most answer", "aaff", {0}, 1},
    {"the majority", "ff", {0}, 0},
    {"a newer token", "aff", {.token = TOKEN + 75}, 0},
    {"a newer token, reset", "ayy", {.token = TOKEN + 75}, 0},
    {"an order", "aff", {.order_term = 4}, 0},
    {"a newer term", "aff", {.newest_term = 3}, 0},
    {"one of three has started again", "ar", {0}, 1},
    {"two of three have started again", "rr", {0}, 0},
    {"two of four have started again", "arr", {0}, 0},
    {"one has started again, others refuse", "arff", {0}, 0},
};

/*
 * Test that a coordinator that does not reach the store sends no order where
 * too few daemons answer to rule out a newer token, term or order.
 */
static void
test_order(gconstpointer data)
{
	const order_case_t *c = data;
	bed_t bed;

	bed_start(&bed, c->daemons, &c->knowledge);
	bed_start_registry(&bed);
	want_order(&bed);
	bed_run(&bed, REFUSED_MS, false);
	g_test_message("%u orders sent", bed.orders);
	g_assert_cmpuint(bed.orders, ==, c->orders);
	g_assert_cmpuint(bed.registry->fencing_token, ==, TOKEN);
	bed_stop_registry(&bed);
	bed_stop(&bed);
}

/* Time in which a confirmation ends, and less than a revocation lasts. */
#define CONFIRMATION_ENDED_MS (CONFIRM_TIMEOUT_MS + 100)

/* Time in which an answer is handled, and less than a confirmation lasts. */
#define HANDLED_MS 60

typedef struct number_case {
	const char *name;
	bool delayed; /* the second order waits, and is not to be confirmed */
	/* orders whose answers arrive while the second one waits */
	const char *answered;
	knowledge_t knowledge; /* of all daemons */
	uint32_t orders;       /* expected to be sent */
	bool dropped;          /* expected of the second order, if not sent */
} number_case_t;

static const number_case_t number_cases[] = {
    {"the answers to it", false, "1", {0}, 1, false},
    {"those to the earlier one", false, "0", {0}, 0, false},
    {"those to both", false, "01", {0}, 1, false},
    {"a newer term, in those to the earlier one", false, "01",
	{.newest_term = 3}, 0, true},
    {"an order, in those to the earlier one", false, "01", {.order_term = 4}, 0,
	true},
    {"those to the earlier one, while it is delayed", true, "0", {0}, 0, false},
};

/*
 * Test that an order is confirmed by the answers to its own request: an earlier
 * one for the same server had the same number, and its answers are late.
 */
static void
test_number(gconstpointer data)
{
	const number_case_t *c = data;
	bed_t bed;
	uint32_t i;

	bed_start(&bed, "hh", &c->knowledge);
	bed_start_registry(&bed);
	want_order(&bed);
	bed_run(&bed, CONFIRMATION_ENDED_MS, false);
	g_assert_null(bed.registry->pending_orders);
	if (c->delayed)
		bed.registry->order_sent = bed.registry->daemons_list_failed =
		    false;
	want_order(&bed);
	g_assert_nonnull(bed.registry->pending_orders);
	bed_run(&bed, HANDLED_MS, false);
	for (i = 0; c->answered[i] != '\0'; i++) {
		bed_answer_held(&bed, (uint32_t)(c->answered[i] - '0'));
		bed_run(&bed, HANDLED_MS, false);
	}
	g_test_message("%u orders sent", bed.orders);
	g_assert_cmpuint(bed.orders, ==, c->orders);
	g_assert_cmpint(bed.registry->pending_orders == NULL, ==, c->dropped);
	bed_stop_registry(&bed);
	bed_stop(&bed);
}

/*
 * Register the tests and run them.
 */
int
main(int argc, char **argv)
{
	g_test_init(&argc, &argv, NULL);
	g_test_set_nonfatal_assertions(); /* run every case */
	CASES("/peers/unheard", unheard_cases, test_unheard);
	CASES("/peers/other-process", other_process_cases, test_other_process);
	CASES("/peers/own-name", own_name_cases, test_own_name);
	CASES("/peers/repeated", repeated_cases, test_repeated);
	CASES("/peers/order", order_cases, test_order);
	CASES("/peers/order-number", number_cases, test_number);
	return g_test_run();
}
