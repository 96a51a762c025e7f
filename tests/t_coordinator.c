#include "../platform/json_tree.h"
#include "../src/proxy/order_messages.h"
#include "../src/proxy/promotion_internal.h"
#include "../src/proxy/registry.h"
#include "cases.h"
#include "json.h"

#include <string.h>

/*
 * Tests of the coordinator's writes of its record in the store, with a store
 * that the test plays.
 */

#define OTHER_TOKEN 7
#define OTHER_REVISION 20

/* The last write of the record. */
typedef struct write {
	uint32_t count;
	uint64_t revision;
	uint64_t token;
	object_store_cb callback;
	void *context;
	uint64_t orders; /* number of groups with an order in the record */
	bool created;    /* the record says so */
} write_t;

static write_t last_write;
static GQueue pending_writes = G_QUEUE_INIT; /* of write_t, oldest first */

/*
 * Note a write of the record.
 */
static void
put_coordinator(object_store_t *store, const char *name, uint64_t revision,
    const Bp__DutyRecord *record, object_store_cb callback, void *context)
{
	(void)store;
	(void)name;
	last_write = (write_t){last_write.count + 1, revision, record->token,
	    callback, context, record->n_orders, record->created};
	g_queue_push_tail(
	    &pending_writes, g_memdup2(&last_write, sizeof(last_write)));
}

/*
 * Return the record that the content of an object is.
 */
static Bp__DutyRecord *
read_coordinator(const object_t *object, arena_t *arena)
{
	(void)arena;
	return (Bp__DutyRecord *)object->content;
}

/*
 * Answer a read of the record with one that names another daemon.
 */
static void
get_record(object_store_t *store, object_kind_t kind, const char *name,
    object_store_cb callback, void *context)
{
	Bp__DutyRecord record = BP__DUTY_RECORD__INIT;
	object_t object = {
	    .name = name, .revision = OTHER_REVISION, .content = &record};
	object_store_response_t response = {
	    OBJECT_STORE_OK, &object, 1, OTHER_REVISION};

	(void)store;
	(void)kind;
	record.holder = "other";
	record.token = OTHER_TOKEN;
	callback(context, &response);
}

static const object_store_ops_t store_ops = {.put_coordinator = put_coordinator,
    .read_coordinator = read_coordinator,
    .get = get_record};

/* Number of orders that reached the platform. */
static uint32_t promoted_count;

/*
 * Note an order.
 */
static void
promote(promoter_t *promoter, const char *group, const char *server,
    const char *holder, uint64_t token, promoter_cb callback, void *context)
{
	(void)promoter;
	(void)group;
	(void)server;
	(void)holder;
	(void)token;
	(void)callback;
	(void)context;
	promoted_count++;
}

static const promoter_ops_t counting_promoter = {.promote = promote};

/*
 * Drop a message.
 */
static void
drop(void *context, msg_t *msg)
{
	(void)context;
	msg_free(msg);
}

/* The last message about the coordinator role. */
static Bp__DutyChanged last_duty;

/*
 * Note whether the daemon is the coordinator.
 */
static void
note_duty(void *context, msg_t *msg)
{
	(void)context;
	last_duty = *(const Bp__DutyChanged *)msg->body;
	msg_free(msg);
}

/* What the pool finds of the promises for an order. */
typedef enum promises {
	PROMISES_HELD,
	PROMISES_LOST,
	PROMISES_LATE, /* held, but found after the record's answer is old */
	PROMISES_OTHER_TERM, /* held, but those of another attempt */
	PROMISES_UNKNOWN,    /* no answer */
} promises_t;

/* A registry whose other tasks are fakes. */
typedef struct bed {
	Bp__ProxySettings settings;
	task_t *host; /* of all the tasks */
	proxy_t proxy;
	registry_t *registry;
	promises_t promises;
	uint32_t checks; /* of the promises for an order */
	bool accepted;   /* the last order that has ended */
	uint32_t ended;  /* orders that have */
} bed_t;

/*
 * Check the promises for an order, as the pool does.
 */
static void
check_promises(void *context, msg_t *msg)
{
	const Bp__PromisesWanted *wanted = (Bp__PromisesWanted *)msg->body;
	msg_t *answer = msg_new(&bp__promises_checked__descriptor);
	Bp__PromisesChecked *checked = (Bp__PromisesChecked *)answer->body;
	bed_t *bed = context;

	bed->checks++;
	checked->group = arena_strdup(answer->arena, wanted->group);
	checked->term = wanted->term + (bed->promises == PROMISES_OTHER_TERM);
	checked->held = bed->promises != PROMISES_LOST;
	msg_free(msg);
	if (bed->promises == PROMISES_LATE)
		g_usleep(COORDINATOR_CHECK_MAX_AGE_US + 10 * US_PER_MS);
	if (bed->promises == PROMISES_UNKNOWN)
		msg_free(answer);
	else
		promises_checked(bed->registry, answer);
}

/*
 * Note the end of an order.
 */
static void
note_ended(void *context, msg_t *msg)
{
	bed_t *bed = context;

	bed->ended++;
	bed->accepted = ((const Bp__PromotionEnded *)msg->body)->accepted;
	msg_free(msg);
}

/* The last age of the recorded orders that was reported. */
static int64_t last_read_us;

/*
 * Note when the orders that are reported were asked for.
 */
static void
note_orders_read(void *context, msg_t *msg)
{
	(void)context;
	last_read_us = (int64_t)((const Bp__OrdersRead *)msg->body)->read_us;
	msg_free(msg);
}

static const task_handler_t pool_handlers[] = {
    {&bp__duty_changed__descriptor, note_duty},
    {&bp__promotion_ended__descriptor, note_ended},
    {&bp__promises_wanted__descriptor, check_promises},
    {&bp__orders_read__descriptor, note_orders_read},
    {&bp__revoke_wanted__descriptor, drop},
    {&bp__attempts_void__descriptor, drop},
    {&bp__store_away__descriptor, drop},
};
static const task_ops_t host_ops = {"host", NULL, NULL, NULL, 0};
static const task_ops_t dropping_ops = {
    "pool", NULL, NULL, pool_handlers, G_N_ELEMENTS(pool_handlers)};

/*
 * Create the registry of the daemon "this".  peers: of its peers task;
 * NULL: it has none.
 */
static registry_t *
bed_start(
    bed_t *bed, const object_store_ops_t *objects, const task_ops_t *peers)
{
	bp__proxy_settings__init(&bed->settings);
	bed->promises = PROMISES_HELD;
	bed->checks = bed->ended = 0;
	bed->settings.name = "this";
	bed->host = task_new(&host_ops, NULL);
	bed->proxy = (proxy_t){.settings = &bed->settings,
	    .objects = objects,
	    .promoter = &counting_promoter,
	    .pool = task_new_hosted(&dropping_ops, bed, bed->host)};
	if (peers != NULL)
		bed->proxy.peers = task_new_hosted(peers, NULL, bed->host);
	bed->registry = registry_new(&bed->proxy);
	bed->registry->task = task_new_hosted(&dropping_ops, NULL, bed->host);
	bed->registry->promoter = (promoter_t *)&counting_promoter;
	return bed->registry;
}

/*
 * Handle what is due in the tasks.
 */
static void
bed_run(const bed_t *bed)
{
	while (g_main_context_iteration(task_main_context(bed->host), FALSE))
		;
}

/*
 * Handle what is due in the tasks until a time has passed, and a little longer.
 */
static void
bed_run_for(const bed_t *bed, int64_t time_us)
{
	int64_t end_us = clock_us() + time_us + 10 * US_PER_MS;

	while (clock_us() < end_us) {
		bed_run(bed);
		g_usleep(1000);
	}
}

/*
 * Stop and free the registry and the tasks.
 */
static void
bed_stop(bed_t *bed)
{
	promotions_stop(bed->registry);
	restore_stop(bed->registry);
	task_free(bed->registry->task);
	if (bed->proxy.peers != NULL)
		task_free(bed->proxy.peers);
	task_free(bed->proxy.pool);
	task_free(bed->host);
	registry_free(bed->registry);
}

/*
 * Ask for an order that was decided now, after most daemons were told a token.
 */
static void
want_order_told(registry_t *registry, const char *group, uint64_t term,
    int64_t heard_us, uint64_t heard_token)
{
	msg_t *msg = msg_new(&bp__promotion_wanted__descriptor);
	Bp__PromotionWanted *wanted = (Bp__PromotionWanted *)msg->body;

	wanted->group = arena_strdup(msg->arena, group);
	wanted->server = arena_strdup(msg->arena, "s-1");
	wanted->term = term;
	wanted->replaced_term = 1;
	wanted->heard_us = (uint64_t)heard_us;
	wanted->heard_token = heard_token;
	wanted->decided_us = (uint64_t)clock_us();
	promotion_wanted(registry, msg);
}

/*
 * Ask for an order that was decided now under the present token.
 */
static void
want_order(
    registry_t *registry, const char *group, uint64_t term, int64_t heard_us)
{
	want_order_told(
	    registry, group, term, heard_us, registry->fencing_token);
}

/* An attempt with standing promises, to replace the primary of term 1. */
#define STANDING_TERM ((UINT64_C(1) << 20) | 1)

/*
 * Test that a former coordinator does not write its record over that of its
 * successor when a second order, which waited, is due.
 */
static void
test_successor_kept(void)
{
	Bp__DutyRecord record = BP__DUTY_RECORD__INIT;
	object_t object = {.name = "promotion",
	    .revision = OTHER_REVISION,
	    .content = &record};
	object_store_response_t conflict = {
	    OBJECT_STORE_CONFLICT, &object, 1, OTHER_REVISION};
	bed_t bed;
	registry_t *registry = bed_start(&bed, &store_ops, NULL);
	int64_t end_us = clock_us() + 2 * FIRST_ORDER_DELAY_US;

	record.holder = "other";
	record.token = OTHER_TOKEN;
	registry->fencing_token = 5;
	registry->coordinator_revision = 10;
	want_order(registry, "second", 2, clock_us());
	want_order(registry, "first", 2, clock_us() - FIRST_ORDER_DELAY_US);
	g_assert_cmpuint(last_write.count, ==, 1);
	g_assert_cmpuint(last_write.token, ==, 5);
	last_write.callback(last_write.context, &conflict);
	while (clock_us() < end_us) {
		g_main_context_iteration(task_main_context(bed.host), FALSE);
		g_usleep(1000);
	}
	if (last_write.count > 1)
		g_test_message("written at revision %" G_GUINT64_FORMAT
			       " with token %" G_GUINT64_FORMAT,
		    last_write.revision, last_write.token);
	g_assert_cmpuint(last_write.count, ==, 1);
	bed_stop(&bed);
}

/* Orders that are due at once, as when a zone fails. */
#define ORDERS 40

/*
 * Test that the record is not written again and again for many orders at once:
 * each write is priced.
 */
static void
test_many_orders(void)
{
	Bp__DutyRecord record = BP__DUTY_RECORD__INIT;
	object_t object = {
	    .name = "promotion", .revision = 10, .content = &record};
	bed_t bed;
	registry_t *registry = bed_start(&bed, &store_ops, NULL);
	write_t *next;
	uint32_t i;

	record.holder = "this";
	record.token = 5;
	registry->fencing_token = 5;
	registry->coordinator_revision = 10;
	registry->order_sent = true;
	last_write.count = 0;
	g_queue_clear_full(&pending_writes, g_free);
	for (i = 0; i < ORDERS; i++) {
		char *group = g_strdup_printf("group-%u", i);

		want_order(registry, group, 2, clock_us());
		g_free(group);
	}
	while ((next = g_queue_pop_head(&pending_writes)) != NULL) {
		object_store_response_t response = {
		    OBJECT_STORE_CONFLICT, &object, 1, object.revision};

		if (next->revision == object.revision) {
			object.revision++;
			response.status = OBJECT_STORE_OK;
		}
		next->callback(next->context, &response);
		g_free(next);
		bed_run(&bed);
	}
	g_test_message("%u writes", last_write.count);
	g_assert_cmpuint(promoted_count, ==, ORDERS);
	g_assert_cmpuint(last_write.count, <=, 2 * (uint64_t)ORDERS);
	bed_stop(&bed);
}

typedef enum store_answer {
	ANSWER_OK,
	ANSWER_LATE,      /* a success after COORDINATOR_CHECK_MAX_AGE_US */
	ANSWER_CONFLICT,  /* with another write of this daemon */
	ANSWER_SUCCESSOR, /* a conflict with the write of another daemon */
	ANSWER_NEW_TOKEN, /* a conflict with a later token of this daemon */
	ANSWER_NONE,
	ANSWER_NONE_LONG, /* none for ORDER_MAX_AGE_US */
	ANSWER_SILENT,    /* a success after the task has given it up */
} store_answer_t;

typedef struct wanted_order {
	const char *group;
	uint64_t term;
} wanted_order_t;

typedef struct shared_write_case {
	const char *name;
	wanted_order_t orders[4]; /* that are due at once */
	uint64_t cancelled_term;  /* of an order of "a"; 0: none */
	/* of each write: the answer, and what is expected */
	uint32_t writes;
	store_answer_t answers[5];
	uint64_t recorded[5]; /* groups with an order in the record */
	uint32_t sent[5];     /* orders sent after the answer, in total */
	bool role_lost;
} shared_write_case_t;

static const shared_write_case_t shared_write_cases[] = {
    {"all confirmed", {{"a", 2}, {"b", 2}, {"c", 2}}, 0, 2,
	{ANSWER_OK, ANSWER_OK}, {1, 3}, {1, 3}, false},
    {"a conflict", {{"a", 2}, {"b", 2}, {"c", 2}}, 0, 2,
	{ANSWER_CONFLICT, ANSWER_OK}, {1, 3}, {0, 3}, false},
    {"a conflict of the shared write", {{"a", 2}, {"b", 2}, {"c", 2}}, 0, 3,
	{ANSWER_OK, ANSWER_CONFLICT, ANSWER_OK}, {1, 3, 3}, {1, 1, 3}, false},
    {"a late answer", {{"a", 2}, {"b", 2}, {"c", 2}}, 0, 3,
	{ANSWER_OK, ANSWER_LATE, ANSWER_OK}, {1, 3, 3}, {1, 1, 3}, false},
    {"a successor", {{"a", 2}, {"b", 2}, {"c", 2}}, 0, 1, {ANSWER_SUCCESSOR},
	{1}, {0}, true},
    {"a successor at the shared write", {{"a", 2}, {"b", 2}, {"c", 2}}, 0, 2,
	{ANSWER_OK, ANSWER_SUCCESSOR}, {1, 3}, {1, 1}, true},
    {"a later token of this daemon", {{"a", 2}, {"b", 2}, {"c", 2}}, 0, 2,
	{ANSWER_OK, ANSWER_NEW_TOKEN}, {1, 3}, {1, 1}, true},
    {"no answer", {{"a", 2}, {"b", 2}, {"c", 2}}, 0, 2,
	{ANSWER_NONE, ANSWER_OK}, {1, 3}, {0, 3}, false},
    {"no answer to the shared write", {{"a", 2}, {"b", 2}, {"c", 2}}, 0, 3,
	{ANSWER_OK, ANSWER_NONE, ANSWER_OK}, {1, 3, 3}, {1, 1, 3}, false},
    {"no answer to a write that was carried out", {{"a", 2}}, 0, 3,
	{ANSWER_NONE, ANSWER_CONFLICT, ANSWER_OK}, {1, 1, 1}, {0, 0, 1}, false},
    {"no answer, and then a late one", {{"a", 2}}, 0, 3,
	{ANSWER_NONE, ANSWER_LATE, ANSWER_OK}, {1, 1, 1}, {0, 0, 1}, false},
    {"no answer, and then a successor", {{"a", 2}}, 0, 2,
	{ANSWER_NONE, ANSWER_SUCCESSOR}, {1, 1}, {0, 0}, true},
    {"no answer, and then a later token of this daemon", {{"a", 2}}, 0, 2,
	{ANSWER_NONE, ANSWER_NEW_TOKEN}, {1, 1}, {0, 0}, true},
    {"no answer to any write, the order is withdrawn", {{"a", 2}}, 0, 5,
	{ANSWER_NONE, ANSWER_NONE, ANSWER_NONE, ANSWER_NONE, ANSWER_OK},
	{1, 1, 1, 1, 0}, {0, 0, 0, 0, 0}, false},
    {"silence", {{"a", 2}, {"b", 2}}, 0, 2, {ANSWER_SILENT, ANSWER_OK}, {1, 2},
	{0, 2}, false},
    {"silence, and then a conflict", {{"a", 2}}, 0, 3,
	{ANSWER_SILENT, ANSWER_CONFLICT, ANSWER_OK}, {1, 1, 1}, {0, 0, 1},
	false},
    {"silence, and then a successor", {{"a", 2}}, 0, 2,
	{ANSWER_SILENT, ANSWER_SUCCESSOR}, {1, 1}, {0, 0}, true},
    {"silence to any write, the order is withdrawn", {{"a", 2}}, 0, 5,
	{ANSWER_SILENT, ANSWER_SILENT, ANSWER_SILENT, ANSWER_SILENT, ANSWER_OK},
	{1, 1, 1, 1, 0}, {0, 0, 0, 0, 0}, false},
    {"no answer for longer than an order may be old", {{"a", 2}}, 0, 2,
	{ANSWER_NONE_LONG, ANSWER_OK}, {1, 0}, {0, 0}, false},
    {"a later order of a group", {{"b", 2}, {"a", 2}, {"a", 3}}, 0, 3,
	{ANSWER_OK, ANSWER_OK, ANSWER_OK}, {1, 2, 2}, {1, 2, 3}, false},
    {"the same after a conflict", {{"a", 2}, {"a", 3}}, 0, 3,
	{ANSWER_CONFLICT, ANSWER_OK, ANSWER_OK}, {1, 1, 1}, {0, 1, 2}, false},
    {"one is cancelled while it waits", {{"b", 2}, {"a", 2}, {"c", 2}}, 2, 2,
	{ANSWER_OK, ANSWER_OK}, {1, 2}, {1, 2}, false},
    {"the only one that waits is cancelled", {{"b", 2}, {"a", 2}}, 2, 1,
	{ANSWER_OK}, {1}, {1}, false},
};

/*
 * Answer a write of the record.
 */
static void
answer_write(const write_t *write, store_answer_t answer)
{
	Bp__DutyRecord record = BP__DUTY_RECORD__INIT;
	object_t object = {.name = "promotion",
	    .revision = write->revision + 1,
	    .content = &record};
	object_store_response_t response = {
	    OBJECT_STORE_CONFLICT, &object, 1, object.revision};

	record.holder = answer == ANSWER_SUCCESSOR ? "other" : "this";
	record.token = write->token + (answer == ANSWER_NEW_TOKEN);
	if (answer == ANSWER_OK || answer == ANSWER_LATE ||
	    answer == ANSWER_SILENT)
		response.status = OBJECT_STORE_OK;
	if (answer == ANSWER_LATE)
		g_usleep(COORDINATOR_CHECK_MAX_AGE_US + 10 * US_PER_MS);
	if (answer == ANSWER_NONE_LONG)
		g_usleep(ORDER_MAX_AGE_US + 10 * US_PER_MS);
	if (answer == ANSWER_NONE || answer == ANSWER_NONE_LONG)
		response = (object_store_response_t){
		    OBJECT_STORE_NO_RESPONSE, NULL, 0, 0};
	write->callback(write->context, &response);
}

/*
 * Test that orders that come while the record is being written share the next
 * write, that each is sent only after a write that has it was confirmed, and
 * that the role ends only with an answer that names another daemon or token.
 */
static void
test_shared_writes(gconstpointer data)
{
	const shared_write_case_t *c = data;
	bed_t bed;
	registry_t *registry = bed_start(&bed, &store_ops, NULL);
	msg_t *msg;
	write_t *next;
	uint32_t i;

	registry->fencing_token = 5;
	registry->coordinator_revision = 10;
	registry->order_sent = true;
	promoted_count = 0;
	g_queue_clear_full(&pending_writes, g_free);
	for (i = 0; i < G_N_ELEMENTS(c->orders) && c->orders[i].term != 0; i++)
		want_order(registry, c->orders[i].group, c->orders[i].term,
		    clock_us());
	if (c->cancelled_term != 0) {
		Bp__PromotionCancelled *cancelled;

		msg = msg_new(&bp__promotion_cancelled__descriptor);
		cancelled = (Bp__PromotionCancelled *)msg->body;
		cancelled->group = arena_strdup(msg->arena, "a");
		cancelled->term = c->cancelled_term;
		promotion_cancelled(registry, msg);
	}
	for (i = 0; i < c->writes; i++) {
		g_assert_cmpuint(pending_writes.length, ==, 1);
		next = g_queue_pop_head(&pending_writes);
		g_assert_nonnull(next);
		if (next == NULL)
			break;
		g_assert_cmpuint(next->orders, ==, c->recorded[i]);
		g_assert_cmpuint(next->token, ==, 5);
		if (c->answers[i] == ANSWER_SILENT)
			bed_run_for(&bed, COORDINATOR_CHECK_MAX_AGE_US);
		answer_write(next, c->answers[i]);
		bed_run(&bed);
		g_assert_cmpuint(promoted_count, ==, c->sent[i]);
		g_free(next);
	}
	g_assert_cmpuint(pending_writes.length, ==, 0);
	g_assert_cmpint(registry->fencing_token == 0, ==, c->role_lost);
	bed_stop(&bed);
}

typedef struct learned_case {
	const char *name;
	store_answer_t answer; /* to the write of the first order */
	uint64_t writes;
	uint64_t orders; /* in the last of them */
} learned_case_t;

static const learned_case_t learned_cases[] = {
    {"the write succeeds", ANSWER_OK, 2, 2},
    {"another daemon is the coordinator", ANSWER_SUCCESSOR, 1, 1},
    {"no answer", ANSWER_NONE, 1, 1},
};

/*
 * Have the registry learn of an order of a former coordinator.
 */
static void
learn_order(registry_t *registry, const char *group)
{
	msg_t *msg = msg_new(&bp__order_learned__descriptor);
	Bp__OrderLearned *learned = (Bp__OrderLearned *)msg->body;

	learned->order = (Bp__RecordedOrder *)message_new(
	    msg->arena, &bp__recorded_order__descriptor);
	learned->order->group = arena_strdup(msg->arena, group);
	learned->order->attempt_term = 2;
	learned->order->replaced_term = 1;
	order_learned(registry, msg);
}

/*
 * Test that what is noted while the record is being written is not taken for
 * recorded when that write succeeds.
 */
static void
test_learned_during_write(gconstpointer data)
{
	const learned_case_t *c = data;
	bed_t bed;
	registry_t *registry = bed_start(&bed, &store_ops, NULL);
	write_t first;

	registry->fencing_token = 5;
	registry->coordinator_revision = 10;
	last_write.count = 0;
	learn_order(registry, "first");
	first = last_write;
	learn_order(registry, "second");
	g_assert_cmpuint(last_write.count, ==, 1);
	answer_write(&first, c->answer);
	g_assert_cmpuint(last_write.count, ==, c->writes);
	g_assert_cmpuint(last_write.orders, ==, c->orders);
	bed_stop(&bed);
}

/*
 * Return the time of the request to confirm the last order, which its answers
 * carry.
 */
static uint64_t
confirmation_asked_us(const registry_t *registry)
{
	const order_t *order = registry->pending_orders->data;

	return (uint64_t)order->asked_us;
}

/*
 * Test that an order that was sent stays noted when a later one for the same
 * term is dropped before it is sent.  The store is away.
 */
static void
test_sent_order_noted(void)
{
	Bp__DutyRecord noted = BP__DUTY_RECORD__INIT;
	msg_t *known, *msg = msg_new(&bp__revoke_ended__descriptor);
	Bp__RevokeEnded *ended = (Bp__RevokeEnded *)msg->body;
	bed_t bed;
	registry_t *registry = bed_start(&bed, &store_ops, &dropping_ops);
	int64_t end_us = clock_us() + 400 * US_PER_MS;
	arena_t *arena = arena_new();

	registry->heartbeats = g_hash_table_new(g_str_hash, g_str_equal);
	registry->daemons_listed = true;
	registry->fencing_token = 5;
	registry->order_sent = registry->daemons_list_failed = true;
	promoted_count = 0;
	want_order(registry, "ledger", STANDING_TERM, clock_us());
	ended->group = arena_strdup(msg->arena, "ledger");
	ended->term = STANDING_TERM;
	ended->state = BP__REVOKE_STATE__MOST;
	ended->asked_us = confirmation_asked_us(registry);
	order_confirmed(registry, msg);
	g_assert_cmpuint(promoted_count, ==, 1);
	/* a daemon knows a newer primary than the one to be replaced */
	want_order(registry, "ledger", STANDING_TERM, clock_us());
	known = msg_new(&bp__revoke_ended__descriptor);
	ended = (Bp__RevokeEnded *)known->body;
	ended->group = arena_strdup(known->arena, "ledger");
	ended->term = STANDING_TERM;
	ended->newest_term = 2;
	ended->state = BP__REVOKE_STATE__MOST;
	ended->asked_us = confirmation_asked_us(registry);
	order_confirmed(registry, known);
	g_assert_cmpuint(promoted_count, ==, 1);
	/* too few daemons confirm the second */
	want_order(registry, "ledger", STANDING_TERM, clock_us());
	/* nor is one sent whose promises end with the promotion */
	want_order(registry, "ledger", 2, clock_us());
	while (clock_us() < end_us) {
		g_main_context_iteration(task_main_context(bed.host), FALSE);
		g_usleep(1000);
	}
	orders_fill(registry, arena, &noted);
	g_assert_cmpuint(noted.n_orders, ==, 1);
	g_assert_cmpuint(promoted_count, ==, 1);
	arena_free(arena);
	g_hash_table_unref(registry->heartbeats);
	bed_stop(&bed);
}

#define GIVEN_UP_RECORD(order) \
	"{\"holder\":\"other\",\"token\":7,\"orders\":[{\"group\":" \
	"\"ledger\"," order "}]}"

typedef struct given_up_case {
	const char *name;
	/* records of other coordinators, which this daemon takes over, and its
	   own order after that; 0: none */
	const char *records[2];
	uint64_t replaced_term;
	uint64_t base_index; /* in replaced_term */
	bool refused;        /* the order is withdrawn */
	uint64_t newest_term;
	position_t end; /* of a log */
	bool given_up;
} given_up_case_t;

static const given_up_case_t given_up_cases[] = {
    {"no order before", {NULL}, 1, 56, false, 2, {1, 68}, true},
    {"the same, refused", {NULL}, 1, 56, true, 2, {1, 68}, false},
    {"an order before, of a version without earlier ones",
	{GIVEN_UP_RECORD("\"replaced_term\":1,\"attempt_term\":2,"
			 "\"base_term\":1,\"base_index\":56")},
	2, 70, false, 2, {1, 68}, true},
    {"the same, the last was refused",
	{GIVEN_UP_RECORD("\"replaced_term\":1,\"attempt_term\":2,"
			 "\"base_term\":1,\"base_index\":56")},
	2, 70, true, 2, {1, 68}, true},
    {"two orders before",
	{GIVEN_UP_RECORD("\"replaced_term\":2,\"attempt_term\":3,"
			 "\"base_term\":2,\"base_index\":70,\"earlier\":[{"
			 "\"replaced_term\":1,\"base_term\":1,"
			 "\"base_index\":56}]")},
	3, 90, false, 4, {1, 68}, true},
    {"the last of them from a version without earlier ones",
	{GIVEN_UP_RECORD("\"replaced_term\":1,\"attempt_term\":2,"
			 "\"base_term\":1,\"base_index\":56"),
	    GIVEN_UP_RECORD("\"replaced_term\":2,\"attempt_term\":3,"
			    "\"base_term\":2,\"base_index\":70")},
	0, 0, false, 3, {1, 68}, true},
    {"no entries that were given up",
	{GIVEN_UP_RECORD("\"replaced_term\":1,\"attempt_term\":2,"
			 "\"base_term\":1,\"base_index\":56")},
	2, 70, false, 2, {1, 56}, false},
};

/*
 * Have a daemon take the orders of a record over, given as a text.
 */
static void
take_record(registry_t *registry, const char *text)
{
	arena_t *arena = arena_new();
	yajl_val json = json_tree_parse(text, strlen(text));
	object_t object = {.name = "promotion", .content = json};
	const char *why = NULL;
	Bp__DutyRecord *record = decode_coordinator(&object, arena, &why);

	g_assert_nonnull(record);
	orders_take(registry, record);
	json_tree_free(json);
	arena_free(arena);
}

/*
 * Test that what the record says of given up entries outlasts changes of the
 * coordinator, later orders, and writers that do not know of earlier ones: it
 * is what a daemon reads of the next record.
 */
static void
test_given_up(gconstpointer data)
{
	const given_up_case_t *c = data;
	Bp__DutyRecord record = BP__DUTY_RECORD__INIT;
	Bp__PromotionWanted wanted = BP__PROMOTION_WANTED__INIT;
	registry_t *registry = registry_new(&(proxy_t){0});
	registry_t *reader = registry_new(&(proxy_t){0});
	arena_t *arena = arena_new();
	recorded_orders_t read = {0};
	uint64_t size_bytes;
	size_t i;

	registry->store_era = reader->store_era = STORE_ERA_FIRST;
	for (i = 0; i < G_N_ELEMENTS(c->records); i++) {
		if (c->records[i] != NULL)
			take_record(registry, c->records[i]);
	}
	wanted.group = "ledger";
	wanted.server = "s-1";
	wanted.term = c->replaced_term + 1;
	wanted.replaced_term = wanted.base_term = c->replaced_term;
	wanted.base_index = c->base_index;
	if (c->replaced_term != 0)
		orders_note(registry, &wanted);
	if (c->refused)
		g_assert_true(orders_withdraw(registry, &wanted, true));
	record.holder = "this";
	record.token = 8;
	orders_fill(registry, arena, &record);
	take_record(reader, json_write(arena, &record.base, &size_bytes));
	record.n_orders = 0;
	orders_fill(reader, arena, &record);
	if (record.n_orders != 0)
		read = recorded_order_read(record.orders[0]);
	g_assert_cmpint(recorded_orders_given_up(&read, c->newest_term, c->end),
	    ==, c->given_up);
	arena_free(arena);
	registry_free(reader);
	registry_free(registry);
}

#define NOTED_MAX 3

/* An order that is to be recorded. */
typedef struct noted_order {
	const char *server;
	uint64_t term;
	uint64_t replaced_term;
	bool refused; /* it is withdrawn */
} noted_order_t;

typedef struct noted_open_case {
	const char *name;
	const char *taken; /* open order of the record that is taken first */
	noted_order_t noted[NOTED_MAX];
	/* the open orders that are to be recorded, each with the attempt that
	   has followed its time */
	const char *open;
} noted_open_case_t;

#define OPEN_ORDER(more) \
	"{\"server\":\"o\",\"attempt_term\":1,\"replaced_term\":1," more "}"

static const noted_open_case_t noted_open_cases[] = {
    {"one", "", {{"a", 2, 1}}, "a/2/0 "},
    {"one, which is refused", "", {{"a", 2, 1, true}}, ""},
    {"one, and the next replaces a newer term", "", {{"a", 2, 1}, {"b", 4, 3}},
	"a/2/0 b/4/0 "},
    {"two, and the next replaces a newer term", "",
	{{"a", 2, 1}, {"a", 3, 2}, {"b", 5, 4}}, "a/2/0 a/3/0 b/5/0 "},
    {"the same, which is refused", "",
	{{"a", 2, 1}, {"a", 3, 2}, {"b", 5, 4, true}}, "a/2/0 a/3/0 "},
    {"one of a former coordinator", OPEN_ORDER("\"left_ms\":9000"),
	{{"a", 2, 1}}, "o/1/0 a/2/0 "},
    {"the same, and its time is over", OPEN_ORDER("\"left_ms\":0"),
	{{"a", 2, 1}, {"a", 3, 1}}, "o/1/2 a/2/0 a/3/0 "},
    {"the same, and the next is refused", OPEN_ORDER("\"left_ms\":0"),
	{{"a", 2, 1, true}}, "o/1/0 "},
    {"the same, and another one was recorded before",
	OPEN_ORDER("\"left_ms\":0,\"followed_by\":7"), {{"a", 8, 1}},
	"o/1/7 a/8/0 "},
};

/*
 * Test which open orders a daemon reads of the record after some were noted,
 * none of which the pool task counts as open.
 */
static void
test_noted_open(gconstpointer data)
{
	const noted_open_case_t *c = data;
	registry_t *registry = registry_new(&(proxy_t){0});
	registry_t *reader = registry_new(&(proxy_t){0});
	Bp__DutyRecord record = BP__DUTY_RECORD__INIT;
	GString *open = g_string_new(NULL);
	arena_t *arena = arena_new();
	uint64_t size_bytes;
	size_t i;

	take_record(registry,
	    arena_printf(arena,
		"{\"holder\":\"other\",\"token\":5,\"orders\":[{\"group\":"
		"\"ledger\",\"replaced_term\":1,\"attempt_term\":1,"
		"\"open\":[%s]}]}",
		c->taken));
	for (i = 0; i < NOTED_MAX && c->noted[i].server != NULL; i++) {
		Bp__PromotionWanted wanted = BP__PROMOTION_WANTED__INIT;

		wanted.group = "ledger";
		wanted.server = (char *)c->noted[i].server;
		wanted.term = c->noted[i].term;
		wanted.replaced_term = c->noted[i].replaced_term;
		orders_note(registry, &wanted);
		if (c->noted[i].refused)
			g_assert_true(orders_withdraw(registry, &wanted, true));
	}
	record.holder = "this";
	record.token = 8;
	orders_fill(registry, arena, &record);
	take_record(reader, json_write(arena, &record.base, &size_bytes));
	record.n_orders = 0;
	orders_note(reader,
	    &(Bp__PromotionWanted){.group = "ledger",
		.server = "r",
		.term = 99,
		.replaced_term = 1});
	orders_fill(reader, arena, &record);
	for (i = 0; record.n_orders > 0 && i + 1 < record.orders[0]->n_open;
	     i++) {
		const Bp__OpenOrder *order = record.orders[0]->open[i];

		g_string_append_printf(open,
		    "%s/%" G_GUINT64_FORMAT "/%" G_GUINT64_FORMAT " ",
		    order->server, order->attempt_term,
		    order->followed_by == 99 ? 0 : order->followed_by);
	}
	g_assert_cmpstr(open->str, ==, c->open);
	g_string_free(open, TRUE);
	arena_free(arena);
	registry_free(reader);
	registry_free(registry);
}

typedef struct taken_members_case {
	const char *name;
	const char *noted;  /* record that is taken first; NULL: none */
	const char *record; /* that of another coordinator, taken then */
	uint64_t order; /* attempt of an order that is noted then; 0: none */
	bool refused;   /* it is withdrawn */
	const char *members;   /* that are to be recorded */
	uint64_t attempt_term; /* of the order that is; 0: none */
	bool told;             /* others are told of the group's orders */
	/* the store has come back from an older copy before the second record
	   is taken */
	bool restored;
	const char *former; /* former members that are to be recorded */
} taken_members_case_t;

#define MEMBERS_RECORD(orders, members) \
	"{\"holder\":\"other\",\"token\":5,\"orders\":[{\"group\":" \
	"\"ledger\"," orders ",\"members\":[" members "]}]}"
#define NO_ORDER "\"replaced_term\":0,\"attempt_term\":0"
#define MEMBER_A "{\"server\":\"a\",\"born\":1}"
#define MEMBER_B "{\"server\":\"b\",\"born\":2}"

static const taken_members_case_t taken_members_cases[] = {
    {"none", NULL, "{\"holder\":\"other\",\"token\":5}", 0, false, "", 0,
	false},
    {"without an order", NULL, MEMBERS_RECORD(NO_ORDER, MEMBER_A), 0, false,
	"a/1 ", 0, false},
    {"with an order", NULL,
	MEMBERS_RECORD("\"replaced_term\":1,\"attempt_term\":2", MEMBER_A), 0,
	false, "a/1 ", 2, true},
    {"others than before", MEMBERS_RECORD(NO_ORDER, MEMBER_A),
	MEMBERS_RECORD(NO_ORDER, MEMBER_A "," MEMBER_B), 0, false, "a/1 b/2 ",
	0, false},
    {"none any more, as of an older daemon", MEMBERS_RECORD(NO_ORDER, MEMBER_A),
	MEMBERS_RECORD(NO_ORDER, ""), 0, false, "", 0, false},
    {"with an order of this daemon since", NULL,
	MEMBERS_RECORD(NO_ORDER, MEMBER_A), 3, false, "c/3 ", 3, true},
    {"the same, which was refused", NULL, MEMBERS_RECORD(NO_ORDER, MEMBER_A), 3,
	true, "a/1 ", 0, false},
    {"with a later order, and the store has come back since",
	MEMBERS_RECORD("\"replaced_term\":1,\"attempt_term\":2", MEMBER_A),
	MEMBERS_RECORD(
	    "\"replaced_term\":2,\"attempt_term\":3", MEMBER_A "," MEMBER_B),
	0, false, "a/1 b/2 ", 3, true, true},
    {"without a later order, and the store has come back since",
	MEMBERS_RECORD(NO_ORDER, MEMBER_A),
	MEMBERS_RECORD(NO_ORDER, MEMBER_A "," MEMBER_B), 0, false, "a/1 ", 0,
	false, true, "a/1 b/2 "},
    {"the same ones, and the store has come back since",
	MEMBERS_RECORD(NO_ORDER, MEMBER_A), MEMBERS_RECORD(NO_ORDER, MEMBER_A),
	0, false, "a/1 ", 0, false, true},
    {"none, and the store has come back since",
	MEMBERS_RECORD(NO_ORDER, MEMBER_A), MEMBERS_RECORD(NO_ORDER, ""), 0,
	false, "a/1 ", 0, false, true},
};

/*
 * Append members to a text.
 */
static void
append_members(GString *text, Bp__RecordedMember *const *list, size_t count)
{
	size_t i;

	for (i = 0; i < count; i++)
		g_string_append_printf(text, "%s/%" G_GUINT64_FORMAT " ",
		    list[i]->server, list[i]->born);
}

/*
 * Test that the members in the record outlast changes of the coordinator, that
 * a recorded order brings its own, and that members without an order are none.
 */
static void
test_taken_members(gconstpointer data)
{
	const taken_members_case_t *c = data;
	Bp__RecordedMember present = BP__RECORDED_MEMBER__INIT;
	Bp__RecordedMember *list[] = {&present};
	Bp__PromotionWanted wanted = BP__PROMOTION_WANTED__INIT;
	Bp__DutyRecord record = BP__DUTY_RECORD__INIT;
	registry_t *registry = registry_new(&(proxy_t){0});
	msg_t *msg = msg_new(&bp__revoke_wanted__descriptor);
	Bp__RevokeWanted *revoke = (Bp__RevokeWanted *)msg->body;
	GString *members = g_string_new(NULL), *former = g_string_new(NULL);
	arena_t *arena = arena_new();
	size_t i;

	registry->store_era = STORE_ERA_FIRST;
	if (c->noted != NULL)
		take_record(registry, c->noted);
	registry->store_era += c->restored;
	take_record(registry, c->record);
	wanted.group = revoke->group = "ledger";
	wanted.server = present.server = "c";
	wanted.term = present.born = c->order;
	wanted.members = list;
	wanted.n_members = 1;
	if (c->order != 0)
		orders_note(registry, &wanted);
	if (c->refused)
		g_assert_true(orders_withdraw(registry, &wanted, true));
	orders_fill(registry, arena, &record);
	if (record.n_orders > 0)
		append_members(members, record.orders[0]->members,
		    record.orders[0]->n_members);
	g_assert_cmpstr(members->str, ==, c->members);
	for (i = 0; c->restored && i < record.orders[0]->n_former; i++)
		append_members(former, record.orders[0]->former[i]->members,
		    record.orders[0]->former[i]->n_members);
	if (c->restored)
		g_assert_cmpstr(
		    former->str, ==, c->former == NULL ? "" : c->former);
	g_assert_cmpuint(
	    record.n_orders == 0 ? 0 : record.orders[0]->attempt_term, ==,
	    c->attempt_term);
	g_assert_true(orders_recorded(registry, &record));
	if (record.n_orders > 0 && record.orders[0]->n_members > 0) {
		record.orders[0]->n_members--;
		g_assert_false(orders_recorded(registry, &record));
	}
	orders_tell(registry, msg);
	g_assert_cmpint(revoke->order != NULL, ==, c->told);
	g_string_free(members, TRUE);
	g_string_free(former, TRUE);
	msg_free(msg);
	arena_free(arena);
	registry_free(registry);
}

static uint32_t revocations; /* that reached the peers task */

/*
 * Count a revocation.
 */
static void
count_revocation(void *context, msg_t *msg)
{
	(void)context;
	revocations++;
	msg_free(msg);
}

static uint64_t token_read; /* that reached the peers task */

/*
 * Note the fencing token that was read.
 */
static void
note_token(void *context, msg_t *msg)
{
	(void)context;
	token_read = ((const Bp__TokenRead *)msg->body)->token;
	msg_free(msg);
}

static const task_handler_t peers_handlers[] = {
    {&bp__revoke_wanted__descriptor, count_revocation},
    {&bp__token_read__descriptor, note_token},
};
static const task_ops_t counting_peers_ops = {
    "peers", NULL, NULL, peers_handlers, G_N_ELEMENTS(peers_handlers)};

typedef struct unlisted_case {
	const char *name;
	bool listed;       /* the daemons were listed before */
	uint32_t expected; /* revocations */
} unlisted_case_t;

static const unlisted_case_t unlisted_cases[] = {
    {"the daemons were never listed", false, 0},
    {"they were listed before", true, 1},
};

/*
 * Test that a process that has not read the list of the daemons does not take
 * it for empty: a revocation without other daemons would succeed at once.
 */
static void
test_unlisted_daemons(gconstpointer data)
{
	const unlisted_case_t *c = data;
	msg_t *msg = msg_new(&bp__revoke_wanted__descriptor);
	Bp__RevokeWanted *wanted = (Bp__RevokeWanted *)msg->body;
	bed_t bed;
	registry_t *registry = bed_start(&bed, &store_ops, &counting_peers_ops);

	registry->heartbeats = g_hash_table_new(g_str_hash, g_str_equal);
	registry->daemons_listed = c->listed;
	wanted->group = arena_strdup(msg->arena, "ledger");
	revocations = 0;
	revoke_from_last_listed(registry, msg);
	bed_run(&bed);
	g_assert_cmpuint(revocations, ==, c->expected);
	g_hash_table_unref(registry->heartbeats);
	bed_stop(&bed);
}

/*
 * Test that a process that has started learns the fencing token from the
 * record, so that it does not confirm an older one.
 */
static void
test_token_read(void)
{
	bed_t bed;
	registry_t *registry = bed_start(&bed, &store_ops, &counting_peers_ops);

	orders_wanted(registry, msg_new(&bp__orders_wanted__descriptor));
	bed_run(&bed);
	g_assert_cmpuint(token_read, ==, OTHER_TOKEN);
	bed_stop(&bed);
}

typedef struct role_again_case {
	const char *name;
	const char *record;
	uint64_t attempt_term; /* expected of the noted order */
} role_again_case_t;

static const role_again_case_t role_again_cases[] = {
    {"an older order is recorded",
	GIVEN_UP_RECORD("\"replaced_term\":1,\"attempt_term\":2"), 3},
    {"the order is recorded",
	GIVEN_UP_RECORD("\"replaced_term\":2,\"attempt_term\":3"), 3},
    {"a newer order is recorded",
	GIVEN_UP_RECORD("\"replaced_term\":3,\"attempt_term\":4"), 4},
};

#define NAMED_ORDERS_MAX 6

/* An order of a process. */
typedef struct named_order {
	const char *server;
	uint64_t term;
	/* attempt of an order to a server that the pool has found to be over;
	   0: none */
	const char *over_server;
	uint64_t over_term;
	bool refused;
} named_order_t;

typedef struct named_case {
	const char *name;
	/* each is of a process that has just started, and has read the record
	   of the one before */
	named_order_t orders[NAMED_ORDERS_MAX];
	const char *named; /* expected in the last record */
} named_case_t;

static const named_case_t named_cases[] = {
    {"one", {{"a", 2}}, "a:2"},
    {"one after the other",
	{{"a", 2}, {"b", 3}, {"a", 4}, {"c", 5}, {"b", 6}, {"a", 7}},
	"a:2 b:3 a:4 c:5 b:6 a:7"},
    {"each is over when the next is sent",
	{{"a", 2}, {"b", 3, "a", 2}, {"a", 4, "b", 3}, {"c", 5, "a", 4},
	    {"b", 6, "c", 5}, {"a", 7, "b", 6}},
	"a:7"},
    {"one is over late", {{"a", 2}, {"b", 3}, {"c", 4}, {"b", 5, "a", 2}},
	"b:3 c:4 b:5"},
    {"another order to the same server is over",
	{{"a", 2}, {"a", 3}, {"b", 4, "a", 2}}, "a:3 b:4"},
    {"one that the record does not name is over", {{"a", 2}, {"b", 3, "c", 2}},
	"a:2 b:3"},
    {"the last is refused", {{"a", 2}, {"b", 3}, {"c", 4, .refused = true}},
	"a:2 b:3"},
    {"one is over, and the order that leaves it out is refused",
	{{"a", 2}, {"b", 3}, {"c", 4, "a", 2, .refused = true}}, "a:2 b:3"},
    {"the same, and one more order",
	{{"a", 2}, {"b", 3}, {"c", 4, "a", 2, .refused = true},
	    {"c", 5, "a", 2}},
	"b:3 c:5"},
};

/*
 * Have a process note an order, or note it and withdraw it.
 */
static void
note_order(registry_t *registry, const named_order_t *order)
{
	Bp__OpenOrder over = BP__OPEN_ORDER__INIT;
	Bp__OpenOrder *list[] = {&over};
	Bp__PromotionWanted wanted = BP__PROMOTION_WANTED__INIT;

	wanted.group = "ledger";
	wanted.server = (char *)order->server;
	wanted.term = order->term;
	wanted.replaced_term = 1;
	over.server = (char *)order->over_server;
	over.attempt_term = order->over_term;
	wanted.over = list;
	wanted.n_over = order->over_term != 0;
	orders_note(registry, &wanted);
	if (order->refused)
		g_assert_true(orders_withdraw(registry, &wanted, true));
}

/*
 * Return the orders that a record names as a text.
 */
static char *
named_orders(const Bp__DutyRecord *record)
{
	GString *text = g_string_new(NULL);
	size_t i;

	for (i = 0; i < record->orders[0]->n_open; i++) {
		const Bp__OpenOrder *order = record->orders[0]->open[i];

		g_string_append_printf(text, "%s%s:%" G_GUINT64_FORMAT,
		    i == 0 ? "" : " ", order->server, order->attempt_term);
	}
	return g_string_free(text, FALSE);
}

/*
 * Test which orders the record names after processes that each read it, send an
 * order and end: those that are not over, and, if the last order was refused,
 * those that it had left out as well.
 */
static void
test_named(gconstpointer data)
{
	const named_case_t *c = data;
	char *text = NULL, *named = NULL;
	uint32_t i;

	for (i = 0; i < NAMED_ORDERS_MAX && c->orders[i].term != 0; i++) {
		Bp__DutyRecord record = BP__DUTY_RECORD__INIT;
		registry_t *registry = registry_new(&(proxy_t){0});
		arena_t *arena = arena_new();
		uint64_t size_bytes;

		registry->store_era = STORE_ERA_FIRST;
		if (text != NULL)
			take_record(registry, text);
		note_order(registry, &c->orders[i]);
		record.holder = "this";
		record.token = 8;
		orders_fill(registry, arena, &record);
		g_free(text);
		g_free(named);
		text = g_strdup(json_write(arena, &record.base, &size_bytes));
		named = named_orders(&record);
		arena_free(arena);
		registry_free(registry);
	}
	g_assert_cmpstr(named, ==, c->named);
	g_free(named);
	g_free(text);
}

/*
 * Test that a coordinator that takes the role again does not forget an order
 * that the record lacks.
 */
static void
test_role_again(gconstpointer data)
{
	const role_again_case_t *c = data;
	Bp__DutyRecord record = BP__DUTY_RECORD__INIT;
	Bp__PromotionWanted wanted = BP__PROMOTION_WANTED__INIT;
	registry_t *registry = registry_new(&(proxy_t){0});
	arena_t *arena = arena_new();

	registry->store_era = STORE_ERA_FIRST;
	wanted.group = "ledger";
	wanted.server = "s-1";
	wanted.term = 3;
	wanted.replaced_term = wanted.base_term = 2;
	wanted.base_index = 70;
	orders_note(registry, &wanted);
	take_record(registry, c->record);
	orders_fill(registry, arena, &record);
	g_assert_cmpuint(record.n_orders, ==, 1);
	g_assert_cmpuint(record.orders[0]->attempt_term, ==, c->attempt_term);
	arena_free(arena);
	registry_free(registry);
}

/* The last request to confirm a token that reached the peers task. */
typedef struct confirmation {
	uint32_t count;
	uint64_t token;
	uint64_t unreadable_revision;
	size_t daemons;
} confirmation_t;

static confirmation_t confirmation;

/*
 * Note a request to confirm a token.
 */
static void
note_confirmation(void *context, msg_t *msg)
{
	const Bp__RevokeWanted *wanted = (const Bp__RevokeWanted *)msg->body;

	(void)context;
	confirmation = (confirmation_t){confirmation.count + 1, wanted->token,
	    wanted->unreadable_revision, wanted->n_daemons};
	msg_free(msg);
}

static const task_handler_t confirming_handlers[] = {
    {&bp__revoke_wanted__descriptor, note_confirmation},
    {&bp__token_read__descriptor, drop},
};
static const task_ops_t confirming_ops = {"peers", NULL, NULL,
    confirming_handlers, G_N_ELEMENTS(confirming_handlers)};

/* Revision at which another writer has overwritten the record. */
#define UNREADABLE_REVISION 30

/*
 * Answer a read of the record with one that cannot be read.
 */
static void
get_unreadable(object_store_t *store, object_kind_t kind, const char *name,
    object_store_cb callback, void *context)
{
	object_t object = {.name = name, .revision = UNREADABLE_REVISION};
	object_store_response_t response = {
	    OBJECT_STORE_OK, &object, 1, UNREADABLE_REVISION};

	(void)store;
	(void)kind;
	callback(context, &response);
}

/*
 * Answer a list of the daemons with three.
 */
static void
list_daemons(object_store_t *store, object_kind_t kind, object_age_t age,
    object_store_cb callback, void *context)
{
	object_t objects[] = {{.name = "this"}, {.name = "a"}, {.name = "b"}};
	object_store_response_t response = {
	    OBJECT_STORE_OK, objects, G_N_ELEMENTS(objects), 40};

	(void)store;
	(void)kind;
	(void)age;
	callback(context, &response);
}

/*
 * Return the record of a daemon.
 */
static Bp__DaemonRecord *
read_daemon(const object_t *object, arena_t *arena)
{
	Bp__DaemonRecord *record = (Bp__DaemonRecord *)message_new(
	    arena, &bp__daemon_record__descriptor);

	record->name = arena_strdup(arena, object->name);
	record->address = arena_strdup(arena, "127.0.0.1:1");
	return record;
}

static const object_store_ops_t unreadable_ops = {
    .put_coordinator = put_coordinator,
    .read_coordinator = read_coordinator,
    .get = get_unreadable,
    .list = list_daemons,
    .read_daemon = read_daemon};

typedef struct unreadable_case {
	const char *name;
	uint64_t held_token;    /* under which this process had the role */
	uint64_t other_token;   /* of a coordinator seen since; 0: none */
	bool by_order;          /* found by the write of an order */
	bool outdated;          /* a daemon knows a newer token */
	bool other_revision;    /* the answer is to an earlier question */
	uint32_t confirmations; /* requests to confirm the token */
	uint64_t token;         /* written in the end; 0: none */
} unreadable_case_t;

static const unreadable_case_t unreadable_cases[] = {
    {"most daemons confirm the token", 5, 0, false, false, false, 1, 31},
    {"the same, found by the write of an order", 5, 0, true, false, false, 1,
	31},
    {"a daemon knows a newer token", 5, 0, false, true, false, 1, 0},
    {"daemons have confirmed it for an earlier record", 5, 0, false, false,
	true, 1, 0},
    {"this process was never coordinator", 0, 0, false, false, false, 0, 0},
    {"another coordinator has followed", 5, 6, false, false, false, 0, 0},
};

/*
 * Answer the last write of the record with the record itself.
 */
static void
answer_last_write(object_store_status_t status, const char *holder,
    uint64_t token, uint64_t revision)
{
	Bp__DutyRecord record = BP__DUTY_RECORD__INIT;
	object_t object = {
	    .name = "promotion", .revision = revision, .content = &record};
	object_store_response_t response = {status, &object, 1, revision};

	record.holder = (char *)holder;
	record.token = token;
	last_write.callback(last_write.context, &response);
}

/*
 * Test who replaces a record that cannot be read, and with which token.
 */
static void
test_unreadable(gconstpointer data)
{
	const unreadable_case_t *c = data;
	object_t overwritten = {
	    .name = "promotion", .revision = UNREADABLE_REVISION};
	object_store_response_t conflict = {
	    OBJECT_STORE_CONFLICT, &overwritten, 1, UNREADABLE_REVISION};
	bed_t bed;
	registry_t *registry =
	    bed_start(&bed, &unreadable_ops, &confirming_ops);
	msg_t *msg = msg_new(&bp__revoke_ended__descriptor);
	Bp__RevokeEnded *ended = (Bp__RevokeEnded *)msg->body;

	confirmation = (confirmation_t){0};
	promoted_count = 0;
	if (c->held_token != 0) {
		coordinator_write(registry, 0, c->held_token - 1);
		answer_last_write(OBJECT_STORE_OK, "this", c->held_token, 10);
	}
	if (c->other_token != 0) {
		coordinator_write(registry, 10, c->held_token);
		answer_last_write(
		    OBJECT_STORE_CONFLICT, "other", c->other_token, 11);
	}
	last_write.count = 0;
	if (c->by_order) {
		want_order(registry, "ledger", 2, clock_us());
		registry->order_sent = true;
		while (last_write.count == 0)
			g_main_context_iteration(
			    task_main_context(bed.host), FALSE);
		last_write.callback(last_write.context, &conflict);
		last_write.count = 0;
	} else {
		coordinator_check(
		    registry, msg_new(&bp__duty_wanted__descriptor));
	}
	bed_run(&bed);
	g_assert_cmpuint(last_write.count, ==, 0);
	g_assert_cmpuint(confirmation.count, ==, c->confirmations);
	if (c->confirmations > 0) {
		g_assert_cmpuint(confirmation.token, ==, c->held_token);
		g_assert_cmpuint(confirmation.daemons, ==, 3);
		g_assert_cmpuint(
		    confirmation.unreadable_revision, ==, UNREADABLE_REVISION);
	}
	ended->group = arena_strdup(msg->arena, "");
	ended->unreadable_revision =
	    UNREADABLE_REVISION - (uint64_t)c->other_revision;
	ended->state =
	    c->outdated ? BP__REVOKE_STATE__OUTDATED : BP__REVOKE_STATE__MOST;
	order_confirmed(registry, msg);
	g_assert_cmpuint(last_write.count, ==, c->token != 0);
	if (c->token != 0) {
		g_assert_cmpuint(last_write.token, ==, c->token);
		g_assert_cmpuint(last_write.revision, ==, UNREADABLE_REVISION);
	}
	g_assert_cmpuint(promoted_count, ==, 0);
	bed_stop(&bed);
}

typedef struct heard_case {
	const char *name;
	uint64_t heard_token; /* that most daemons were told */
	uint32_t writes;
} heard_case_t;

static const heard_case_t heard_cases[] = {
    {"most daemons were told an earlier token", 4, 0},
    {"they were told the present token", 5, 1},
};

/*
 * Test that an order is not recorded under a token that most daemons were not
 * told of, since the attempt had begun under an earlier one.
 */
static void
test_heard(gconstpointer data)
{
	const heard_case_t *c = data;
	bed_t bed;
	registry_t *registry = bed_start(&bed, &store_ops, NULL);

	registry->fencing_token = 5;
	registry->order_sent = true;
	last_write.count = 0;
	want_order_told(registry, "ledger", 2, clock_us(), c->heard_token);
	g_assert_cmpuint(last_write.count, ==, c->writes);
	bed_stop(&bed);
}

typedef struct overwritten_case {
	const char *name;
	const char *holder; /* in the record that came first */
	uint64_t token;
	bool again; /* expected: this process writes over that record */
} overwritten_case_t;

static const overwritten_case_t overwritten_cases[] = {
    {"another write of this process", "this", 5, true},
    {"another process under its name", "this", 9, false},
    {"another daemon", "other", 9, false},
};

/*
 * Test that a coordinator whose write of orders came too late does not write
 * over the record of a later one, also not of one under its own name.
 */
static void
test_overwritten(gconstpointer data)
{
	const overwritten_case_t *c = data;
	bed_t bed;
	registry_t *registry = bed_start(&bed, &store_ops, NULL);

	registry->fencing_token = 5;
	registry->coordinator_revision = 10;
	coordinator_update_orders(registry);
	g_assert_cmpuint(last_write.revision, ==, 10);
	answer_last_write(OBJECT_STORE_CONFLICT, c->holder, c->token, 30);
	registry->orders_written_us = 0;
	coordinator_record_orders(registry);
	g_assert_cmpuint(last_write.revision, ==, c->again ? 30 : 10);
	if (c->again)
		answer_last_write(OBJECT_STORE_OK, "this", 5, 30);
	coordinator_update_orders(registry);
	g_assert_cmpuint(last_write.revision, ==, c->again ? 30 : 10);
	bed_stop(&bed);
}

typedef struct token_seen_case {
	const char *name;
	uint64_t token; /* that another daemon knows */
	uint64_t sent;  /* orders that are sent */
	uint64_t next;  /* token with which the role is taken again */
} token_seen_case_t;

static const token_seen_case_t token_seen_cases[] = {
    {"an older one", 4, 1, 12},
    {"the same", 5, 1, 12},
    {"a newer one", 8, 0, 12},
    {"a newer one that does not rest on revisions", 18, 0, 19},
};

/*
 * Test that a coordinator which hears of a newer token from another daemon
 * sends no order, though the store has confirmed it, and that no token is lower
 * than one that was heard of.
 */
static void
test_token_seen(gconstpointer data)
{
	const token_seen_case_t *c = data;
	msg_t *msg = msg_new(&bp__token_seen__descriptor);
	bed_t bed;
	registry_t *registry = bed_start(&bed, &store_ops, NULL);

	registry->fencing_token = 5;
	registry->coordinator_revision = 10;
	registry->order_sent = true;
	promoted_count = 0;
	want_order(registry, "ledger", 2, clock_us());
	((Bp__TokenSeen *)msg->body)->token = c->token;
	token_seen(registry, msg);
	answer_last_write(OBJECT_STORE_OK, "this", 5, 11);
	bed_run(&bed);
	g_assert_cmpuint(promoted_count, ==, c->sent);
	coordinator_write(registry, 11, 5);
	g_assert_cmpuint(last_write.token, ==, c->next);
	bed_stop(&bed);
}

typedef struct confirmed_case {
	const char *name;
	int64_t suspended_ms; /* between the answer and its handling */
	uint64_t sent;        /* orders that are sent */
} confirmed_case_t;

static const confirmed_case_t confirmed_cases[] = {
    {"at once", 0, 1},
    {"after the time limit", CONFIRM_TIMEOUT_MS + 50, 0},
};

/*
 * Test that an order which the store cannot record is not sent by a process
 * that was suspended after most daemons had confirmed its token.
 */
static void
test_confirmed(gconstpointer data)
{
	const confirmed_case_t *c = data;
	msg_t *msg = msg_new(&bp__revoke_ended__descriptor);
	Bp__RevokeEnded *ended = (Bp__RevokeEnded *)msg->body;
	bed_t bed;
	registry_t *registry = bed_start(&bed, &store_ops, &counting_peers_ops);

	registry->fencing_token = 5;
	registry->order_sent = registry->daemons_list_failed = true;
	promoted_count = 0;
	want_order(registry, "ledger", STANDING_TERM, clock_us());
	g_usleep((gulong)(c->suspended_ms * US_PER_MS));
	ended->group = arena_strdup(msg->arena, "ledger");
	ended->term = STANDING_TERM;
	ended->state = BP__REVOKE_STATE__MOST;
	ended->token = 5;
	ended->asked_us = confirmation_asked_us(registry);
	order_confirmed(registry, msg);
	g_assert_cmpuint(promoted_count, ==, c->sent);
	bed_stop(&bed);
}

typedef struct denied_case {
	const char *name;
	object_store_status_t status; /* of the read of the record */
	bool unknown;                 /* it does not tell the coordinator */
} denied_case_t;

static const denied_case_t denied_cases[] = {
    {"another daemon is named", OBJECT_STORE_OK, false},
    {"the store refuses", OBJECT_STORE_REFUSED, true},
    {"the store does not answer", OBJECT_STORE_NO_RESPONSE, true},
};

/* Status of the answer to a read. */
static object_store_status_t read_status;

/*
 * Answer a read of the record with a status.
 */
static void
get_with_status(object_store_t *store, object_kind_t kind, const char *name,
    object_store_cb callback, void *context)
{
	object_store_response_t response = {.status = read_status};

	if (read_status == OBJECT_STORE_OK)
		get_record(store, kind, name, callback, context);
	else
		callback(context, &response);
}

/*
 * Test that the pool is told whether the store has named another coordinator,
 * or has not told.
 */
static void
test_denied(gconstpointer data)
{
	static const object_store_ops_t ops = {
	    .read_coordinator = read_coordinator, .get = get_with_status};
	const denied_case_t *c = data;
	bed_t bed;
	registry_t *registry = bed_start(&bed, &ops, &dropping_ops);

	read_status = c->status;
	coordinator_check(registry, msg_new(&bp__duty_wanted__descriptor));
	bed_run(&bed);
	g_assert_false(last_duty.held);
	g_assert_cmpint(last_duty.unknown, ==, c->unknown);
	bed_stop(&bed);
}

/* Reads of the record that the store has not answered, oldest first. */
typedef struct held_read {
	object_store_cb callback;
	void *context;
	int64_t sent_us;
} held_read_t;

static GQueue held_reads = G_QUEUE_INIT;

/*
 * Hold a read of the record.
 */
static void
hold_read(object_store_t *store, object_kind_t kind, const char *name,
    object_store_cb callback, void *context)
{
	held_read_t read = {callback, context, clock_us()};

	(void)store;
	(void)kind;
	(void)name;
	g_queue_push_tail(&held_reads, g_memdup2(&read, sizeof(read)));
}

static const task_handler_t read_handlers[] = {
    {&bp__orders_read__descriptor, note_orders_read},
    {&bp__token_read__descriptor, drop},
};
static const task_ops_t reading_ops = {
    "reader", NULL, NULL, read_handlers, G_N_ELEMENTS(read_handlers)};

/* What the store tells of the record after it has not answered. */
typedef struct resumed_case {
	const char *name;
	bool given_up; /* the role, as the store did not answer; otherwise it
			  did not list the daemons */
	bool wanted;   /* the pool asks for the role */
	const char *holder; /* in the record; NULL: there is none */
	uint64_t token;     /* in the record */
	uint64_t told;      /* by another daemon; 0: none */
	uint64_t era;       /* of the store */
	uint64_t written;   /* token in the write that follows; 0: none */
	uint64_t held;      /* token of the role before that write; 0: none */
} resumed_case_t;

/* Token and revision of the record before that. */
#define HELD_TOKEN 5
#define HELD_REVISION 2

/* Lowest token of the second era of the store. */
#define SECOND_ERA_TOKEN (UINT64_C(1) << 40)

static const resumed_case_t resumed_cases[] = {
    {"the role was not given up", false, false, "this", HELD_TOKEN, 0, 1, 0,
	HELD_TOKEN},
    {"the token is the same", true, false, "this", HELD_TOKEN, 0, 1, 0,
	HELD_TOKEN},
    {"the token is the same, and the role is wanted", true, true, "this",
	HELD_TOKEN, 0, 1, 0, HELD_TOKEN},
    {"another token of this daemon", true, false, "this", 6, 0, 1, 7, 0},
    {"another daemon has followed", true, false, "other", 6, 0, 1, 0, 0},
    {"another daemon has followed, and the role is wanted", true, true, "other",
	6, 0, 1, 0, 0},
    {"another daemon has the same token", true, false, "other", HELD_TOKEN, 0,
	1, 0, 0},
    {"a newer token was told", true, false, "this", HELD_TOKEN, 7, 1, 0, 0},
    {"a newer token was told, and the role is wanted", true, true, "this",
	HELD_TOKEN, 7, 1, 8, 0},
    {"the store came back from an older copy", true, true, "this", HELD_TOKEN,
	0, 2, SECOND_ERA_TOKEN + HELD_REVISION + 2, 0},
    {"the record was deleted, and the role is wanted", true, true, NULL, 0, 0,
	1, HELD_TOKEN + 1, 0},
};

/*
 * Fail a list.
 */
static void
list_silent(object_store_t *store, object_kind_t kind, object_age_t age,
    object_store_cb callback, void *context)
{
	object_store_response_t response = {OBJECT_STORE_NO_RESPONSE};

	(void)store;
	(void)kind;
	(void)age;
	callback(context, &response);
}

/*
 * Answer the oldest read of the record that is held.
 */
static void
answer_held_read(const object_store_response_t *response)
{
	held_read_t *read = g_queue_pop_head(&held_reads);

	g_assert_nonnull(read);
	if (read != NULL)
		read->callback(read->context, response);
	g_free(read);
}

/*
 * Test that a coordinator which has given up the role because the store did not
 * answer has it again, under the same token, once the store answers and the
 * record is still its own, and that it takes no new token unless the role is
 * wanted.  It then reports the recorded orders, as one that has kept the role
 * does.
 */
static void
test_resumed(gconstpointer data)
{
	static const object_store_ops_t ops = {
	    .put_coordinator = put_coordinator,
	    .read_coordinator = read_coordinator,
	    .get = hold_read,
	    .list = list_silent};
	const resumed_case_t *c = data;
	msg_t *revocation = msg_new(&bp__revoke_wanted__descriptor);
	Bp__RevokeWanted *wanted = (Bp__RevokeWanted *)revocation->body;
	msg_t *told = msg_new(&bp__token_seen__descriptor);
	Bp__DutyRecord record = BP__DUTY_RECORD__INIT;
	object_t object = {.name = "promotion",
	    .revision = HELD_REVISION + 1,
	    .content = &record};
	int64_t recovered_us;
	object_store_response_t silent = {OBJECT_STORE_NO_RESPONSE};
	object_store_response_t listed = {
	    OBJECT_STORE_OK, NULL, 0, HELD_REVISION, c->era};
	object_store_response_t response = {
	    c->holder == NULL ? OBJECT_STORE_NOT_FOUND : OBJECT_STORE_OK,
	    &object, c->holder != NULL, object.revision, c->era};
	bed_t bed;
	registry_t *registry = bed_start(&bed, &ops, &reading_ops);

	registry->store_era = 1;
	coordinator_write(registry, 0, HELD_TOKEN - 1);
	answer_last_write(OBJECT_STORE_OK, "this", HELD_TOKEN, HELD_REVISION);
	if (c->given_up) {
		coordinator_check(
		    registry, msg_new(&bp__duty_wanted__descriptor));
		answer_held_read(&silent);
	} else {
		wanted->group = arena_strdup(revocation->arena, "ledger");
		wanted->token = HELD_TOKEN;
		revoke_wanted(registry, msg_copy(&wanted->base));
	}
	bed_run(&bed);
	g_assert_cmpint(last_duty.held, ==, !c->given_up);
	((Bp__TokenSeen *)told->body)->token = c->told;
	token_seen(registry, told);
	last_write.count = 0;
	last_read_us = 0;
	store_response_status(registry, &listed);
	recovered_us = clock_us();
	if (c->wanted)
		coordinator_check(
		    registry, msg_new(&bp__duty_wanted__descriptor));
	record.holder = (char *)c->holder;
	record.token = c->token;
	/* not read if the token cannot be the newest one */
	g_assert_cmpint(
	    g_queue_get_length(&held_reads), ==, c->wanted || c->told == 0);
	if (!g_queue_is_empty(&held_reads))
		answer_held_read(&response);
	bed_run(&bed);
	g_assert_cmpuint(last_write.count, ==, c->written != 0);
	if (c->written != 0)
		g_assert_cmpuint(last_write.token, ==, c->written);
	g_assert_cmpint(last_duty.held, ==, c->held != 0);
	g_assert_cmpuint(last_duty.token, ==, c->held);
	g_assert_cmpuint(registry->fencing_token, ==, c->held);
	/* the orders, so that the store does not count as away any more */
	g_assert_cmpint(last_read_us != 0, ==, c->held != 0);
	g_assert_cmpint(last_read_us, <=, recovered_us);
	msg_free(revocation);
	bed_stop(&bed);
}

typedef struct role_age_case {
	const char *name;
	bool read;            /* of the record, after the write of it */
	uint32_t answered_ms; /* after the request */
} role_age_case_t;

static const role_age_case_t role_age_cases[] = {
    {"a write that is answered at once", false, 0},
    {"a write that is answered late", false, 50},
    {"a read that is answered at once", true, 0},
    {"a read that is answered late", true, 50},
};

/*
 * Test that the role is as old as the request that the store has answered with
 * it: another daemon may have taken it before the answer arrives.
 */
static void
test_role_age(gconstpointer data)
{
	static const object_store_ops_t ops = {
	    .put_coordinator = put_coordinator,
	    .read_coordinator = read_coordinator,
	    .get = hold_read};
	const role_age_case_t *c = data;
	Bp__DutyRecord record = BP__DUTY_RECORD__INIT;
	object_t object = {
	    .name = "promotion", .revision = HELD_REVISION, .content = &record};
	object_store_response_t response = {
	    OBJECT_STORE_OK, &object, 1, HELD_REVISION, 1};
	int64_t began_us, sent_us;
	bed_t bed;
	registry_t *registry = bed_start(&bed, &ops, &reading_ops);

	registry->store_era = 1;
	began_us = clock_us();
	coordinator_write(registry, 0, HELD_TOKEN - 1);
	sent_us = clock_us();
	if (!c->read)
		g_usleep((gulong)(c->answered_ms * US_PER_MS));
	answer_last_write(OBJECT_STORE_OK, "this", HELD_TOKEN, HELD_REVISION);
	bed_run(&bed);
	if (c->read) {
		g_usleep(2000);
		began_us = clock_us();
		coordinator_check(
		    registry, msg_new(&bp__duty_wanted__descriptor));
		sent_us = clock_us();
		g_usleep((gulong)(c->answered_ms * US_PER_MS));
		record.holder = "this";
		record.token = HELD_TOKEN;
		answer_held_read(&response);
		bed_run(&bed);
	}
	g_assert_true(last_duty.held);
	g_assert_cmpuint(last_duty.token, ==, HELD_TOKEN);
	g_assert_cmpint((int64_t)last_duty.asked_us, >=, began_us);
	g_assert_cmpint((int64_t)last_duty.asked_us, <=, sent_us);
	bed_stop(&bed);
}

typedef struct role_era_case {
	const char *name;
	uint64_t known;   /* era of the store as the answer arrives */
	uint64_t era;     /* of the answer */
	uint64_t held;    /* token of the role; 0: none */
	uint64_t written; /* token in the write that follows; 0: none */
} role_era_case_t;

static const role_era_case_t role_era_cases[] = {
    {"of the same era", 1, 1, HELD_TOKEN, 0},
    {"the first of a new era", 1, 2, 0, SECOND_ERA_TOKEN + HELD_REVISION + 1},
    {"of an older era", 2, 1, 0, 0},
};

/*
 * Test that an answer of the store which names the coordinator with its token
 * confirms the role only in the era in which that has taken it: an older copy
 * may lack the one that has followed.
 */
static void
test_role_era(gconstpointer data)
{
	static const object_store_ops_t ops = {
	    .put_coordinator = put_coordinator,
	    .read_coordinator = read_coordinator,
	    .get = hold_read};
	const role_era_case_t *c = data;
	Bp__DutyRecord record = BP__DUTY_RECORD__INIT;
	object_t object = {
	    .name = "promotion", .revision = HELD_REVISION, .content = &record};
	object_store_response_t response = {
	    OBJECT_STORE_OK, &object, 1, HELD_REVISION, c->era};
	bed_t bed;
	registry_t *registry = bed_start(&bed, &ops, &reading_ops);

	registry->store_era = 1;
	coordinator_write(registry, 0, HELD_TOKEN - 1);
	answer_last_write(OBJECT_STORE_OK, "this", HELD_TOKEN, HELD_REVISION);
	bed_run(&bed);
	g_assert_true(last_duty.held);
	last_write.count = 0;
	coordinator_check(registry, msg_new(&bp__duty_wanted__descriptor));
	store_era_reached(registry, c->known);
	record.holder = "this";
	record.token = HELD_TOKEN;
	answer_held_read(&response);
	bed_run(&bed);
	g_assert_cmpint(last_duty.held, ==, c->held != 0);
	g_assert_cmpuint(registry->fencing_token, ==, c->held);
	g_assert_cmpuint(last_write.count, ==, c->written != 0);
	if (c->written != 0)
		g_assert_cmpuint(last_write.token, ==, c->written);
	bed_stop(&bed);
}

typedef struct older_order_case {
	const char *name;
	uint64_t learned_term; /* attempt of the order that is learned */
	uint64_t sent;         /* orders of attempt 3 that are sent */
	uint64_t noted_term;   /* attempt that is noted in the end */
} older_order_case_t;

static const older_order_case_t older_order_cases[] = {
    {"an order for an earlier attempt", 2, 1, 3},
    {"an order for a later attempt", 4, 0, 4},
};

/*
 * Test that an order that waits for a write of the record does not replace one
 * of a former coordinator for a later attempt that is learned meanwhile.
 */
static void
test_older_order(gconstpointer data)
{
	const older_order_case_t *c = data;
	msg_t *msg = msg_new(&bp__order_learned__descriptor);
	Bp__OrderLearned *learned = (Bp__OrderLearned *)msg->body;
	Bp__DutyRecord record = BP__DUTY_RECORD__INIT;
	arena_t *arena = arena_new();
	uint64_t noted = 0;
	write_t *next;
	bed_t bed;
	registry_t *registry = bed_start(&bed, &store_ops, NULL);
	size_t i;

	registry->fencing_token = 5;
	registry->coordinator_revision = 10;
	registry->order_sent = true;
	promoted_count = 0;
	g_queue_clear_full(&pending_writes, g_free);
	want_order(registry, "other", 2, clock_us());
	want_order(registry, "ledger", 3, clock_us());
	learned->order = (Bp__RecordedOrder *)message_new(
	    msg->arena, &bp__recorded_order__descriptor);
	learned->order->group = arena_strdup(msg->arena, "ledger");
	learned->order->replaced_term = 1;
	learned->order->attempt_term = c->learned_term;
	order_learned(registry, msg);
	while ((next = g_queue_pop_head(&pending_writes)) != NULL) {
		answer_write(next, ANSWER_OK);
		g_free(next);
		bed_run(&bed);
	}
	g_assert_cmpuint(promoted_count, ==, 1 + c->sent);
	orders_fill(registry, arena, &record);
	for (i = 0; i < record.n_orders; i++) {
		if (strcmp(record.orders[i]->group, "ledger") == 0)
			noted = record.orders[i]->attempt_term;
	}
	g_assert_cmpuint(noted, ==, c->noted_term);
	arena_free(arena);
	bed_stop(&bed);
}

#define READS_MAX 3

typedef struct read_age_case {
	const char *name;
	uint32_t reads;            /* that are sent one after the other */
	uint32_t order[READS_MAX]; /* in which they are answered */
	object_store_status_t status;
} read_age_case_t;

static const read_age_case_t read_age_cases[] = {
    {"one", 1, {0}, OBJECT_STORE_OK},
    {"the first is answered after the second was sent", 2, {0, 1},
	OBJECT_STORE_OK},
    {"the first is answered after the second", 2, {1, 0}, OBJECT_STORE_OK},
    {"there is no record", 2, {0, 1}, OBJECT_STORE_NOT_FOUND},
    {"three, the oldest last", 3, {2, 1, 0}, OBJECT_STORE_OK},
    {"none is answered", 2, {0, 1}, OBJECT_STORE_NO_RESPONSE},
};

/*
 * Test that the recorded orders are as old as the read that they come from,
 * while other reads are under way: a lease begins with a read that was sent
 * after the members were asked.
 */
static void
test_read_age(gconstpointer data)
{
	static const object_store_ops_t holding_store = {
	    .read_coordinator = read_coordinator, .get = hold_read};
	const read_age_case_t *c = data;
	Bp__DutyRecord record = BP__DUTY_RECORD__INIT;
	object_t object = {.revision = OTHER_REVISION, .content = &record};
	object_store_response_t response = {
	    c->status, &object, c->status == OBJECT_STORE_OK, OTHER_REVISION};
	bed_t bed;
	registry_t *registry = bed_start(&bed, &holding_store, &reading_ops);
	uint32_t i;

	task_free(bed.proxy.pool);
	bed.proxy.pool = task_new_hosted(&reading_ops, NULL, bed.host);
	record.holder = "other";
	record.token = OTHER_TOKEN;
	for (i = 0; i < c->reads; i++) {
		orders_wanted(
		    registry, msg_new(&bp__orders_wanted__descriptor));
		g_usleep(2000);
	}
	for (i = 0; i < c->reads; i++) {
		held_read_t *read = g_queue_peek_nth(&held_reads, c->order[i]);

		last_read_us = -1;
		read->callback(read->context, &response);
		bed_run(&bed);
		if (c->status == OBJECT_STORE_NO_RESPONSE) {
			g_assert_cmpint(last_read_us, ==, 0);
			continue;
		}
		g_assert_cmpint(last_read_us, >, 0);
		g_assert_cmpint(last_read_us, <=, read->sent_us);
	}
	g_queue_clear_full(&held_reads, g_free);
	bed_stop(&bed);
}

typedef struct promises_case {
	const char *name;
	promises_t promises;
	bool role_lost; /* before they are checked */
	uint32_t writes;
	uint32_t sent;  /* orders that are sent */
	bool withdrawn; /* from the record */
} promises_case_t;

static const promises_case_t promises_cases[] = {
    {"held", PROMISES_HELD, false, 1, 1, false},
    {"lost", PROMISES_LOST, false, 2, 0, true},
    {"held, and found late", PROMISES_LATE, false, 2, 1, false},
    {"those of another attempt", PROMISES_OTHER_TERM, false, 2, 0, true},
    {"not known", PROMISES_UNKNOWN, false, 2, 0, true},
    {"held, but the role is lost", PROMISES_HELD, true, 1, 0, true},
};

/*
 * Test that an order is sent only once its promises were found to be held after
 * the store has recorded it, on a record that is not old by then, and that it
 * is withdrawn if they are not, within ORDER_MAX_AGE_US.
 */
static void
test_promises(gconstpointer data)
{
	const promises_case_t *c = data;
	Bp__DutyRecord noted = BP__DUTY_RECORD__INIT;
	arena_t *arena = arena_new();
	bed_t bed;
	registry_t *registry = bed_start(&bed, &store_ops, NULL);
	int64_t end_us = clock_us() + ORDER_MAX_AGE_US + 100 * US_PER_MS;
	write_t *next;

	registry->fencing_token = 5;
	registry->coordinator_revision = 10;
	registry->order_sent = true;
	promoted_count = 0;
	last_write.count = 0;
	bed.promises = c->promises;
	g_queue_clear_full(&pending_writes, g_free);
	want_order(registry, "ledger", 2, clock_us());
	g_assert_cmpuint(bed.checks, ==, 0);
	while (clock_us() < end_us) {
		next = g_queue_pop_head(&pending_writes);
		if (next != NULL) {
			answer_write(next, ANSWER_OK);
			g_free(next);
		}
		if (c->role_lost)
			registry->fencing_token = 0;
		bed_run(&bed);
		g_usleep(1000);
	}
	g_assert_cmpuint(bed.checks, ==, 1);
	g_assert_cmpuint(promoted_count, ==, c->sent);
	g_assert_cmpuint(last_write.count, ==, c->writes);
	orders_fill(registry, arena, &noted);
	g_assert_cmpuint(noted.n_orders, ==, c->withdrawn ? 0 : 1);
	g_assert_cmpuint(bed.ended, ==, c->withdrawn);
	g_assert_false(c->withdrawn && bed.accepted);
	arena_free(arena);
	bed_stop(&bed);
}

typedef struct created_case {
	const char *name;
	uint64_t era;
	uint64_t known;    /* token that another daemon has told; 0: none */
	uint64_t revision; /* at which the store creates the record */
	uint64_t token;    /* of the role */
	bool first;
	uint64_t next; /* token after a restart of the process */
} created_case_t;

static const created_case_t created_cases[] = {
    {"no token is known", 1, 0, 40, 40, true, 41},
    {"the store has no era", 0, 0, 40, 40, true, 41},
    {"a token is known", 1, 7, 40, 40, false, 41},
    {"a token is known that does not rest on revisions", 1, 77, 40, 78, false,
	79},
    {"in a later era", 2, 0, 40, (UINT64_C(1) << 40) + 40, false,
	(UINT64_C(1) << 40) + 41},
};

/*
 * Answer the last write of the record, which has created it, with what it says.
 */
static void
answer_created(object_store_status_t status, uint64_t era, uint64_t revision)
{
	Bp__DutyRecord record = BP__DUTY_RECORD__INIT;
	object_t object = {
	    .name = "promotion", .revision = revision, .content = &record};
	object_store_response_t response = {status, &object, 1, revision, era};

	record.holder = "this";
	record.token = last_write.token;
	record.has_created = record.created = last_write.created;
	last_write.callback(last_write.context, &response);
}

/*
 * Test that the token of a coordinator whose record did not exist is at least
 * the revision at which the store has created it, so that it is above all that
 * were used under a record that was deleted, and that the next one is above it.
 */
static void
test_created(gconstpointer data)
{
	const created_case_t *c = data;
	bed_t bed;
	registry_t *registry = bed_start(&bed, &store_ops, &reading_ops);
	msg_t *msg = msg_new(&bp__token_seen__descriptor);
	uint64_t recorded;

	((Bp__TokenSeen *)msg->body)->token = c->known;
	token_seen(registry, msg);
	registry->store_era = c->era;
	coordinator_claim(registry);
	recorded = last_write.token;
	g_assert_cmpuint(last_write.revision, ==, 0);
	g_assert_true(last_write.created);
	answer_created(OBJECT_STORE_OK, c->era, c->revision);
	bed_run(&bed);
	g_assert_true(last_duty.held);
	g_assert_cmpuint(last_duty.token, ==, c->token);
	g_assert_cmpint(last_duty.first, ==, c->first);
	g_assert_cmpint(registry->order_sent, ==, c->first);
	bed_stop(&bed);
	/* the next process finds the record, as it was created */
	registry = bed_start(&bed, &store_ops, &reading_ops);
	registry->store_era = c->era;
	coordinator_claim(registry);
	last_write.token = recorded;
	answer_created(OBJECT_STORE_CONFLICT, c->era, c->revision);
	g_assert_cmpuint(last_write.revision, ==, c->revision);
	g_assert_false(last_write.created);
	g_assert_cmpuint(last_write.token, ==, c->next);
	answer_created(OBJECT_STORE_OK, c->era, c->revision + 1);
	bed_run(&bed);
	g_assert_cmpuint(last_duty.token, ==, c->next);
	g_assert_false(last_duty.first);
	g_assert_false(registry->order_sent);
	bed_stop(&bed);
}

/*
 * Register the tests and run them.
 */
int
main(int argc, char **argv)
{
	g_test_init(&argc, &argv, NULL);
	g_test_set_nonfatal_assertions();
	g_test_add_func("/coordinator/successor-kept", test_successor_kept);
	g_test_add_func("/coordinator/many-orders", test_many_orders);
	CASES("/coordinator/shared-writes", shared_write_cases,
	    test_shared_writes);
	CASES("/coordinator/learned-during-write", learned_cases,
	    test_learned_during_write);
	g_test_add_func("/coordinator/sent-order-noted", test_sent_order_noted);
	CASES("/coordinator/unlisted", unlisted_cases, test_unlisted_daemons);
	g_test_add_func("/coordinator/token-read", test_token_read);
	CASES("/coordinator/given-up", given_up_cases, test_given_up);
	CASES("/coordinator/open-orders", noted_open_cases, test_noted_open);
	CASES("/coordinator/members", taken_members_cases, test_taken_members);
	CASES("/coordinator/named", named_cases, test_named);
	CASES("/coordinator/role-again", role_again_cases, test_role_again);
	CASES("/coordinator/unreadable", unreadable_cases, test_unreadable);
	CASES("/coordinator/denied", denied_cases, test_denied);
	CASES("/coordinator/resumed", resumed_cases, test_resumed);
	CASES("/coordinator/role-age", role_age_cases, test_role_age);
	CASES("/coordinator/role-era", role_era_cases, test_role_era);
	CASES("/coordinator/heard", heard_cases, test_heard);
	CASES("/coordinator/older-order", older_order_cases, test_older_order);
	CASES("/coordinator/confirmed", confirmed_cases, test_confirmed);
	CASES("/coordinator/promises", promises_cases, test_promises);
	CASES("/coordinator/overwritten", overwritten_cases, test_overwritten);
	CASES("/coordinator/token-seen", token_seen_cases, test_token_seen);
	CASES("/coordinator/created", created_cases, test_created);
	CASES("/coordinator/read-age", read_age_cases, test_read_age);
	return g_test_run();
}
