#include "load.h"

#include "../src/json.h"
#include "figures.h"

#include <curl/curl.h>
#include <stdio.h>
#include <string.h>

#define KEYS_PER_GROUP 20
#define WAIT_MS 20
#define TX_WRITES 2

/* One kind of request of a team's callers. */
typedef struct kind {
	const char *team;
	const char *work;
	const char *account;
	bool write;
	bool unrepeatable;
	uint32_t rank;
	uint32_t max_age_ms;
	uint32_t weight;
} kind_t;

static const kind_t kinds[] = {
    {"tickets", "intake", "front-counter", true, true, 0, 0, 12},
    {"tickets", "ticket", "front-counter", false, false, 0, 0, 12},
    {"tickets", "quote-revision", "bench", true, false, 1, 0, 10},
    {"tickets", "bench-queue", "bench", false, false, 1, 1000, 16},
    {"tickets", "lookup", "public-page", false, false, 2, 3000, 50},
    {"quotes", "acceptance", "installers", true, true, 0, 0, 12},
    {"quotes", "formal-quote", "installers", false, false, 0, 0, 12},
    {"quotes", "design-change", "engineers", true, false, 1, 0, 10},
    {"quotes", "design-lookup", "engineers", false, false, 1, 1500, 20},
    {"quotes", "tariff-view", "customers", false, false, 2, 5000, 46},
};

typedef struct load load_t;

/* One caller: at most one request under way. */
typedef struct session {
	load_t *load;
	uint32_t number;
	CURL *curl;
	GString *answer;
	char *token;
	char *body; /* of the request under way */
	operation_t *op;
	const kind_t *kind;
	const fleet_group_t *group;
	uint32_t values;
	int64_t idle_until_us;
	bool busy;
	/* a transaction: its token, its writes, what comes next */
	char *transaction;
	uint32_t tx_number;
	uint32_t tx_step; /* 0: none */
	operation_t *tx_writes[TX_WRITES];
} session_t;

struct load {
	fleet_t *fleet;
	const load_plan_t *plan;
	history_t *history;
	GRand *rand;
	CURLM *multi;
	struct curl_slist *headers;
	session_t *sessions;
	uint32_t asked;
	uint32_t answered;
	uint32_t next_tx;
	int64_t until_us;
};

/*
 * Keep what curl has received.
 */
static size_t
on_received(char *bytes, size_t size, size_t count, void *text)
{
	g_string_append_len(text, bytes, (gssize)(size * count));
	return size * count;
}

/*
 * A random number below a bound.
 */
static uint32_t
below(load_t *load, uint32_t bound)
{
	return (uint32_t)g_rand_int_range(load->rand, 0, (gint32)bound);
}

/*
 * Choose a kind by weight, among those whose team the fleet serves.
 */
static const kind_t *
choose_kind(load_t *load, const char *team)
{
	uint32_t i, sum = 0, at;

	for (i = 0; i < G_N_ELEMENTS(kinds); i++)
		sum += strcmp(kinds[i].team, team) == 0 ? kinds[i].weight : 0;
	at = below(load, sum);
	for (i = 0; i < G_N_ELEMENTS(kinds); i++) {
		if (strcmp(kinds[i].team, team) != 0)
			continue;
		if (at < kinds[i].weight)
			return &kinds[i];
		at -= kinds[i].weight;
	}
	g_assert_not_reached();
}

/*
 * Send a body to a random daemon.
 */
static void
session_post(session_t *session)
{
	load_t *load = session->load;
	uint32_t daemon = below(load, load->fleet->plan.daemons);
	char url[64];

	g_snprintf(url, sizeof(url), "http://127.0.0.1:%u/v1/statement",
	    load->fleet->daemons[daemon].port);
	g_string_truncate(session->answer, 0);
	curl_easy_setopt(session->curl, CURLOPT_URL, url);
	curl_easy_setopt(session->curl, CURLOPT_POSTFIELDS, session->body);
	curl_easy_setopt(
	    session->curl, CURLOPT_POSTFIELDSIZE, (long)strlen(session->body));
	session->busy = true;
	curl_multi_add_handle(load->multi, session->curl);
}

/*
 * Make the JSON of a request.
 */
static void
session_ask(session_t *session, Bp__Action action, const char *statement,
    const char *request_id)
{
	arena_t *arena = arena_new();
	Bp__CallerRequest request = BP__CALLER_REQUEST__INIT;

	request.team = (char *)session->kind->team;
	request.account = (char *)session->kind->account;
	request.work = (char *)session->kind->work;
	request.group = (char *)session->group->name;
	request.has_action = action != BP__ACTION__RUN;
	request.action = action;
	request.statement = (char *)statement;
	request.request_id = (char *)request_id;
	request.session =
	    session->load->plan->all_fresh ? (char *)"none" : session->token;
	request.transaction = session->transaction;
	request.has_timeout_ms = session->load->plan->timeout_ms > 0;
	request.timeout_ms = session->load->plan->timeout_ms;
	g_free(session->body);
	session->body = g_strdup(json_write(arena, &request.base, NULL));
	arena_free(arena);
	session_post(session);
}

/*
 * Note a new operation on a random key of the session's group.
 */
static operation_t *
operation_begin(session_t *session)
{
	load_t *load = session->load;
	operation_t *op = history_operation(load->history);

	op->session = session->number;
	op->group = session->group->name;
	op->key = g_strdup_printf(
	    "%s/k%u", session->group->name, below(load, KEYS_PER_GROUP));
	op->write = session->kind->write;
	op->rank = session->kind->rank;
	op->max_age_us = (int64_t)session->kind->max_age_ms * US_PER_MS;
	op->unrepeatable = session->kind->unrepeatable;
	op->asked_us = clock_us();
	op->outcome = BP__OUTCOME__UNKNOWN;
	if (op->write)
		op->value = g_strdup_printf(
		    "%s=s%u.%u", op->key, session->number, ++session->values);
	return op;
}

/*
 * The next step of a transaction: BEGIN, some writes, COMMIT.
 */
static void
transaction_step(session_t *session)
{
	operation_t *op;
	char *statement;

	if (session->tx_step == 1) {
		session->op = NULL;
		session_ask(session, BP__ACTION__BEGIN, "", NULL);
	} else if (session->tx_step <= 1 + TX_WRITES) {
		op = operation_begin(session);
		op->transaction = session->tx_number;
		session->tx_writes[session->tx_step - 2] = op;
		session->op = op;
		statement = g_strdup_printf("set %s %s", op->key, op->value);
		session_ask(session, BP__ACTION__RUN, statement, NULL);
		g_free(statement);
	} else {
		session->op = session->tx_writes[TX_WRITES - 1];
		session_ask(session, BP__ACTION__COMMIT, "", NULL);
	}
}

/*
 * Begin the session's next request.
 */
static void
session_next(session_t *session)
{
	load_t *load = session->load;
	operation_t *op;
	char *statement, *id;

	load->asked++;
	if (session->tx_step > 0) {
		transaction_step(session);
		return;
	}
	session->group =
	    &load->fleet->groups[below(load, load->fleet->groups_count)];
	session->kind = choose_kind(load, session->group->team);
	if (load->plan->transactions && session->kind->write &&
	    !session->kind->unrepeatable && below(load, 3) == 0) {
		session->tx_step = 1;
		session->tx_number = ++load->next_tx;
		memset(session->tx_writes, 0, sizeof(session->tx_writes));
		transaction_step(session);
		return;
	}
	op = session->op = operation_begin(session);
	if (op->unrepeatable)
		op->request_id =
		    g_strdup_printf("s%u-%u", session->number, session->values);
	statement = op->write ? g_strdup_printf("set %s %s", op->key, op->value)
			      : g_strdup_printf("get %s", op->key);
	id = op->request_id;
	session_ask(session, BP__ACTION__RUN, statement, id);
	g_free(statement);
}

/*
 * A transaction has ended, one way or the other.
 */
static void
transaction_over(session_t *session, Bp__Outcome outcome, bool answered)
{
	uint32_t i;

	for (i = 0; i < TX_WRITES; i++) {
		operation_t *op = session->tx_writes[i];

		if (op == NULL)
			continue;
		op->outcome = outcome;
		op->answered = answered;
		op->answered_us = clock_us();
	}
	session->tx_step = 0;
	g_clear_pointer(&session->transaction, g_free);
}

/*
 * A step of a transaction was answered.
 */
static void
transaction_answered(session_t *session, const Bp__CallerAnswer *answer)
{
	bool done = answer != NULL && answer->outcome == BP__OUTCOME__DONE;
	bool commit = session->tx_step > 1 + TX_WRITES;

	if (!done || commit) {
		/* what never saw a commit cannot have taken effect */
		transaction_over(session,
		    commit && answer == NULL ? BP__OUTCOME__UNKNOWN
			: commit             ? answer->outcome
					     : BP__OUTCOME__NOT_RUN,
		    answer != NULL || !commit);
		return;
	}
	if (session->tx_step == 1)
		session->transaction = g_strdup(answer->transaction);
	session->tx_step++;
}

/*
 * Fill in what became of an operation.
 */
static void
operation_answered(operation_t *op, const Bp__CallerAnswer *answer)
{
	op->answered_us = clock_us();
	op->answered = answer != NULL;
	if (answer == NULL)
		return;
	op->outcome = answer->outcome;
	op->reason = answer->reason;
	op->replica = answer->replica;
	op->term = answer->term;
	op->position = answer->position;
	if (!op->write)
		op->value = g_strdup(answer->result);
}

/*
 * A request has ended.
 */
static void
session_answered(session_t *session, CURLcode code)
{
	load_t *load = session->load;
	arena_t *arena = arena_new();
	faults_t faults = {arena, NULL, 0, NULL};
	Bp__CallerAnswer *answer = NULL;

	curl_multi_remove_handle(load->multi, session->curl);
	session->busy = false;
	load->answered++;
	if (code == CURLE_OK)
		answer = (Bp__CallerAnswer *)json_read(arena,
		    &bp__caller_answer__descriptor, session->answer->str,
		    session->answer->len, &faults);
	if (answer != NULL && answer->session != NULL) {
		g_free(session->token);
		session->token = g_strdup(answer->session);
	}
	if (session->op != NULL)
		session->op->cut |=
		    code != CURLE_OK && code != CURLE_COULDNT_CONNECT;
	if (session->tx_step > 0)
		transaction_answered(session, answer);
	else if (session->op != NULL)
		operation_answered(session->op, answer);
	arena_free(arena);
	if (load->plan->pause_ms > 0)
		session->idle_until_us = clock_us() +
		    (int64_t)below(load, load->plan->pause_ms + 1) * US_PER_MS;
}

/*
 * Whether new requests may begin.
 */
static bool
load_goes_on(const load_t *load)
{
	return load->asked < load->plan->statements &&
	    (load->until_us == 0 || clock_us() < load->until_us);
}

/*
 * Begin requests of the sessions that are free.  Open transactions are
 * brought to their end in any case.
 */
static uint32_t
load_begin(load_t *load)
{
	int64_t now_us = clock_us();
	uint32_t i, busy = 0;

	for (i = 0; i < load->plan->sessions; i++) {
		session_t *session = &load->sessions[i];

		if (!session->busy && now_us >= session->idle_until_us &&
		    (load_goes_on(load) || session->tx_step > 0))
			session_next(session);
		busy += session->busy;
	}
	return busy;
}

/*
 * Take in the requests that have ended.
 */
static void
load_reap(load_t *load)
{
	CURLMsg *message;
	int left;

	while ((message = curl_multi_info_read(load->multi, &left)) != NULL) {
		session_t *session;
		CURLcode code = message->data.result;

		curl_easy_getinfo(
		    message->easy_handle, CURLINFO_PRIVATE, &session);
		session_answered(session, code);
	}
}

/*
 * Make one session.
 */
static void
session_start(load_t *load, uint32_t i)
{
	session_t *session = &load->sessions[i];

	session->load = load;
	session->number = i + 1;
	session->answer = g_string_new(NULL);
	session->curl = curl_easy_init();
	curl_easy_setopt(session->curl, CURLOPT_WRITEFUNCTION, on_received);
	curl_easy_setopt(session->curl, CURLOPT_WRITEDATA, session->answer);
	curl_easy_setopt(session->curl, CURLOPT_PRIVATE, session);
	curl_easy_setopt(session->curl, CURLOPT_NOSIGNAL, 1L);
	curl_easy_setopt(session->curl, CURLOPT_TIMEOUT_MS, 20000L);
	curl_easy_setopt(session->curl, CURLOPT_HTTPHEADER, load->headers);
}

/*
 * Free one session.
 */
static void
session_end(session_t *session)
{
	curl_easy_cleanup(session->curl);
	g_string_free(session->answer, TRUE);
	g_free(session->token);
	g_free(session->body);
	g_free(session->transaction);
}

/*
 * Call a fleet as planned, and record everything.
 */
void
load_run(fleet_t *fleet, const load_plan_t *plan, history_t *history)
{
	load_t load = {0};
	int running;
	uint32_t i;

	load.fleet = fleet;
	load.plan = plan;
	load.history = history;
	load.rand = g_rand_new_with_seed(plan->seed);
	load.multi = curl_multi_init();
	load.headers =
	    curl_slist_append(NULL, "Content-Type: application/json");
	load.sessions = g_new0(session_t, plan->sessions);
	if (plan->duration_ms > 0)
		load.until_us =
		    clock_us() + (int64_t)plan->duration_ms * US_PER_MS;
	for (i = 0; i < plan->sessions; i++)
		session_start(&load, i);
	while (load_begin(&load) > 0 || load_goes_on(&load)) {
		curl_multi_perform(load.multi, &running);
		load_reap(&load);
		if (plan->progress != NULL)
			plan->progress(plan->context, load.answered);
		curl_multi_poll(load.multi, NULL, 0,
		    plan->pause_ms > 0 ? 1 : WAIT_MS, NULL);
	}
	for (i = 0; i < plan->sessions; i++)
		session_end(&load.sessions[i]);
	g_free(load.sessions);
	curl_slist_free_all(load.headers);
	curl_multi_cleanup(load.multi);
	g_rand_free(load.rand);
}

/*
 * Add the databases' own logs to a history.
 */
void
load_collect(fleet_t *fleet, history_t *history)
{
	uint32_t i, j;

	for (i = 0; i < fleet->groups_count; i++) {
		const fleet_group_t *group = &fleet->groups[i];
		int32_t primary = fleet_primary(fleet, i);

		for (j = 0; j < group->count; j++) {
			uint32_t db = group->first + j;
			arena_t *arena = arena_new();
			Bp__RanLog *log = fleet_db_ran(fleet, arena, db);

			if (log != NULL)
				history_ran(history, group->name, db,
				    (int32_t)db == primary, log);
			arena_free(arena);
		}
	}
}

/*
 * Note the versions of documents that every daemon says are in force.
 */
void
load_versions(fleet_t *fleet, history_t *history)
{
	uint32_t i;
	size_t j;

	for (i = 0; i < fleet->plan.daemons; i++) {
		arena_t *arena = arena_new();
		Bp__StatusPage *page = fleet_status(fleet, arena, i);

		for (j = 0; page != NULL && j < page->n_documents; j++) {
			const Bp__DocumentStatus *from = page->documents[j];
			version_seen_t *seen;

			if (strcmp(from->daemon, page->daemon) != 0)
				continue;
			seen = history_version(history);
			seen->daemon = i;
			seen->team = strcmp(from->team, "tickets") == 0
			    ? "tickets"
			    : "quotes";
			seen->version = from->version;
			seen->at_us = clock_us();
		}
		arena_free(arena);
	}
}

/*
 * Sum a history up.
 */
void
load_summarize(const history_t *history, load_summary_t *summary)
{
	GArray *times[3];
	uint32_t i;

	memset(summary, 0, sizeof(*summary));
	for (i = 0; i < 3; i++)
		times[i] = g_array_new(FALSE, FALSE, sizeof(double));
	for (i = 0; i < history->operations->len; i++) {
		operation_t *op = g_ptr_array_index(history->operations, i);
		double spent_ms =
		    (double)(op->answered_us - op->asked_us) / US_PER_MS;

		if (!op->answered) {
			summary->no_answer++;
			summary->cut += op->cut;
			continue;
		}
		summary->outcomes[op->outcome]++;
		if (op->outcome != BP__OUTCOME__DONE)
			continue;
		if (op->transaction == 0) {
			g_array_append_val(times[op->rank], spent_ms);
			summary->done[op->rank]++;
		}
		summary->reads += !op->write;
		if (!op->write && op->max_age_us > 0) {
			summary->stale_reads++;
			summary->replica_reads += op->replica;
		}
	}
	for (i = 0; i < 3; i++) {
		summary->p50_ms[i] = quantile(times[i], 0.50);
		summary->p99_ms[i] = quantile(times[i], 0.99);
		g_array_unref(times[i]);
	}
}

/*
 * The time from a moment to the first acknowledgement, in one group, of a
 * write that was asked after it; -1 when there is none.
 */
int64_t
load_gap_us(const history_t *history, const char *group, int64_t since_us)
{
	int64_t first_us = -1;
	uint32_t i;

	for (i = 0; i < history->operations->len; i++) {
		operation_t *op = g_ptr_array_index(history->operations, i);

		if (!op->write || op->outcome != BP__OUTCOME__DONE ||
		    strcmp(op->group, group) != 0 || op->asked_us < since_us)
			continue;
		if (first_us < 0 || op->answered_us - since_us < first_us)
			first_us = op->answered_us - since_us;
	}
	return first_us;
}

/*
 * Print a summary as a table.
 */
void
load_print(const load_summary_t *summary, const violations_t *violations)
{
	static const char *const ranks[] = {"urgent", "standard", "background"};
	uint32_t i;

	printf("%-32s %10u\n", "done", summary->outcomes[0]);
	printf("%-32s %10u\n", "failed", summary->outcomes[1]);
	printf("%-32s %10u\n", "not run", summary->outcomes[2]);
	printf("%-32s %10u\n", "unknown", summary->outcomes[3]);
	printf("%-32s %10u\n", "no answer", summary->no_answer);
	printf("%-32s %9.1f%%\n", "reads that may be stale, by replicas",
	    summary->stale_reads == 0
		? 0.0
		: 100.0 * summary->replica_reads / summary->stale_reads);
	for (i = 0; i < 3; i++)
		printf("%-12s %8u done %12.2f ms p50 %9.2f ms p99\n", ranks[i],
		    summary->done[i], summary->p50_ms[i], summary->p99_ms[i]);
	for (i = 0; i < VIOLATION_KINDS; i++)
		printf("violations: %-28s %2u\n", violation_names[i],
		    violations->counts[i]);
}
