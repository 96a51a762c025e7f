#include "load.h"

#include "../src/json.h"
#include "quantile.h"

#include <curl/curl.h>
#include <stdio.h>
#include <string.h>

#define KEYS_PER_GROUP 20
#define POLL_TIMEOUT_MS 20
#define TX_WRITES 2

/* A kind of request that a team's callers send. */
typedef struct request_kind {
	const char *team;
	const char *work;
	const char *account;
	bool write;
	bool not_repeatable;
	uint32_t rank;
	uint32_t max_age_ms;
	uint32_t weight; /* percent of the team's requests */
} request_kind_t;

static const request_kind_t request_kinds[] = {
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

/* A caller session, with at most one pending request. */
typedef struct session {
	load_t *load;
	uint32_t number;
	CURL *curl;
	GString *response;
	char *session_token;
	char *body;      /* body of the pending request */
	operation_t *op; /* operation of the pending request; NULL: BEGIN */
	const request_kind_t *kind;
	const fleet_group_t *group;
	uint32_t last_write_number;
	int64_t idle_until_us;
	bool request_pending;
	/* the open transaction; tx_step is 0 if there is none */
	char *transaction; /* token of the transaction */
	uint32_t tx_number;
	uint32_t tx_step; /* step of the pending request, 1: BEGIN; 0: none */
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
	uint32_t requests_sent;
	uint32_t requests_ended;
	uint32_t last_tx_number;
	int64_t end_us; /* no new requests from then on; 0: no limit */
};

/*
 * Append a part of a response body to a string (curl's write callback).
 */
static size_t
on_body_received(char *bytes, size_t size, size_t count, void *response)
{
	g_string_append_len(response, bytes, (gssize)(size * count));
	return size * count;
}

/*
 * Return a random number from 0 to bound - 1.
 */
static uint32_t
random_below(load_t *load, uint32_t bound)
{
	return (uint32_t)g_rand_int_range(load->rand, 0, (gint32)bound);
}

/*
 * Choose a kind of request of a team at random, by weight.
 */
static const request_kind_t *
choose_request_kind(load_t *load, const char *team)
{
	uint32_t i, sum = 0, pick;

	for (i = 0; i < G_N_ELEMENTS(request_kinds); i++)
		sum += strcmp(request_kinds[i].team, team) == 0
		    ? request_kinds[i].weight
		    : 0;
	pick = random_below(load, sum);
	for (i = 0; i < G_N_ELEMENTS(request_kinds); i++) {
		if (strcmp(request_kinds[i].team, team) != 0)
			continue;
		if (pick < request_kinds[i].weight)
			return &request_kinds[i];
		pick -= request_kinds[i].weight;
	}
	g_assert_not_reached();
}

/*
 * Send the request body of a session to a random daemon.
 */
static void
session_post(session_t *session)
{
	load_t *load = session->load;
	uint32_t daemon = random_below(load, load->fleet->plan.daemons);
	char url[64];

	g_snprintf(url, sizeof(url), "http://127.0.0.1:%u/v1/statement",
	    load->fleet->daemons[daemon].port);
	g_string_truncate(session->response, 0);
	curl_easy_setopt(session->curl, CURLOPT_URL, url);
	curl_easy_setopt(session->curl, CURLOPT_POSTFIELDS, session->body);
	curl_easy_setopt(
	    session->curl, CURLOPT_POSTFIELDSIZE, (long)strlen(session->body));
	session->request_pending = true;
	curl_multi_add_handle(load->multi, session->curl);
}

/*
 * Encode a request of a session as JSON, and send it.
 */
static void
session_send_request(session_t *session, Bp__Action action,
    const char *statement, const char *request_id)
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
	request.session = session->load->plan->primary_reads_only
	    ? (char *)"none"
	    : session->session_token;
	request.transaction = session->transaction;
	request.has_timeout_ms = session->load->plan->timeout_ms > 0;
	request.timeout_ms = session->load->plan->timeout_ms;
	g_free(session->body);
	session->body = g_strdup(json_write(arena, &request.base, NULL));
	arena_free(arena);
	session_post(session);
}

/*
 * Record a new operation on a random key of the session's group.
 */
static operation_t *
operation_new(session_t *session)
{
	load_t *load = session->load;
	operation_t *op = history_add_operation(load->history);

	op->session = session->number;
	op->group = session->group->name;
	op->key = g_strdup_printf(
	    "%s/k%u", session->group->name, random_below(load, KEYS_PER_GROUP));
	op->is_write = session->kind->write;
	op->rank = session->kind->rank;
	op->max_age_us = (int64_t)session->kind->max_age_ms * US_PER_MS;
	op->not_repeatable = session->kind->not_repeatable;
	op->invoked_us = clock_us();
	op->outcome = BP__OUTCOME__UNKNOWN;
	if (op->is_write)
		op->value = g_strdup_printf("%s=s%u.%u", op->key,
		    session->number, ++session->last_write_number);
	return op;
}

/*
 * Send the next request of a transaction: BEGIN, then TX_WRITES writes, then
 * COMMIT.
 */
static void
transaction_next_request(session_t *session)
{
	operation_t *op;
	char *statement;

	if (session->tx_step == 1) {
		session->op = NULL;
		session_send_request(session, BP__ACTION__BEGIN, "", NULL);
	} else if (session->tx_step <= 1 + TX_WRITES) {
		op = operation_new(session);
		op->transaction = session->tx_number;
		session->tx_writes[session->tx_step - 2] = op;
		session->op = op;
		statement = g_strdup_printf("set %s %s", op->key, op->value);
		session_send_request(session, BP__ACTION__RUN, statement, NULL);
		g_free(statement);
	} else {
		session->op = session->tx_writes[TX_WRITES - 1];
		session_send_request(session, BP__ACTION__COMMIT, "", NULL);
	}
}

/*
 * Send a session's next request.
 */
static void
session_next_request(session_t *session)
{
	load_t *load = session->load;
	operation_t *op;
	char *statement, *id;

	load->requests_sent++;
	if (session->tx_step > 0) {
		transaction_next_request(session);
		return;
	}
	session->group =
	    &load->fleet->groups[random_below(load, load->fleet->groups_count)];
	session->kind = choose_request_kind(load, session->group->team);
	if (load->plan->transactions && session->kind->write &&
	    !session->kind->not_repeatable && random_below(load, 3) == 0) {
		session->tx_step = 1;
		session->tx_number = ++load->last_tx_number;
		memset(session->tx_writes, 0, sizeof(session->tx_writes));
		transaction_next_request(session);
		return;
	}
	op = session->op = operation_new(session);
	if (op->not_repeatable)
		op->request_id = g_strdup_printf(
		    "s%u-%u", session->number, session->last_write_number);
	statement = op->is_write
	    ? g_strdup_printf("set %s %s", op->key, op->value)
	    : g_strdup_printf("get %s", op->key);
	id = op->request_id;
	session_send_request(session, BP__ACTION__RUN, statement, id);
	g_free(statement);
}

/*
 * Record the outcome of a transaction for each of its writes.
 */
static void
transaction_ended(session_t *session, Bp__Outcome outcome, bool answered)
{
	uint32_t i;

	for (i = 0; i < TX_WRITES; i++) {
		operation_t *op = session->tx_writes[i];

		if (op == NULL)
			continue;
		op->outcome = outcome;
		op->answered = answered;
		op->completed_us = clock_us();
	}
	session->tx_step = 0;
	g_clear_pointer(&session->transaction, g_free);
}

/*
 * Handle the answer to a request of a transaction, NULL if there was none.
 */
static void
transaction_handle_answer(session_t *session, const Bp__CallerAnswer *answer)
{
	bool done = answer != NULL && answer->outcome == BP__OUTCOME__DONE;
	bool commit = session->tx_step > 1 + TX_WRITES;

	if (!done || commit) {
		/* without a COMMIT, the writes cannot take effect */
		transaction_ended(session,
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
 * Record the answer to an operation, NULL if there was none.
 */
static void
operation_complete(operation_t *op, const Bp__CallerAnswer *answer)
{
	op->completed_us = clock_us();
	op->answered = answer != NULL;
	if (answer == NULL)
		return;
	op->outcome = answer->outcome;
	op->reason = answer->reason;
	op->from_replica = answer->replica;
	op->term = answer->term;
	op->position = answer->position;
	if (!op->is_write)
		op->value = g_strdup(answer->result);
}

/*
 * Handle the end of a request: decode the answer, and record it.
 */
static void
session_request_ended(session_t *session, CURLcode code)
{
	load_t *load = session->load;
	arena_t *arena = arena_new();
	input_errors_t errors = {arena, NULL, 0, NULL};
	Bp__CallerAnswer *answer = NULL;

	curl_multi_remove_handle(load->multi, session->curl);
	session->request_pending = false;
	load->requests_ended++;
	if (code == CURLE_OK)
		answer = (Bp__CallerAnswer *)json_read(arena,
		    &bp__caller_answer__descriptor, session->response->str,
		    session->response->len, &errors);
	if (answer != NULL && answer->session != NULL) {
		g_free(session->session_token);
		session->session_token = g_strdup(answer->session);
	}
	if (session->op != NULL)
		session->op->connection_broken |=
		    code != CURLE_OK && code != CURLE_COULDNT_CONNECT;
	if (session->tx_step > 0)
		transaction_handle_answer(session, answer);
	else if (session->op != NULL)
		operation_complete(session->op, answer);
	arena_free(arena);
	if (load->plan->think_time_max_ms > 0)
		session->idle_until_us = clock_us() +
		    (int64_t)random_below(
			load, load->plan->think_time_max_ms + 1) *
			US_PER_MS;
}

/*
 * Tell whether sessions may start new requests.
 */
static bool
load_continues(const load_t *load)
{
	return load->requests_sent < load->plan->max_requests &&
	    (load->end_us == 0 || clock_us() < load->end_us);
}

/*
 * Send a request of each idle session.  Open transactions are completed also
 * after the end of the load.  Returns the number of pending requests.
 */
static uint32_t
load_start_requests(load_t *load)
{
	int64_t now_us = clock_us();
	uint32_t i, pending_count = 0;

	for (i = 0; i < load->plan->sessions; i++) {
		session_t *session = &load->sessions[i];

		if (!session->request_pending &&
		    now_us >= session->idle_until_us &&
		    (load_continues(load) || session->tx_step > 0))
			session_next_request(session);
		pending_count += session->request_pending;
	}
	return pending_count;
}

/*
 * Handle the requests that curl has completed.
 */
static void
load_handle_completed(load_t *load)
{
	CURLMsg *message;
	int messages_left;

	while ((message = curl_multi_info_read(load->multi, &messages_left)) !=
	    NULL) {
		session_t *session;
		CURLcode code = message->data.result;

		curl_easy_getinfo(
		    message->easy_handle, CURLINFO_PRIVATE, &session);
		session_request_ended(session, code);
	}
}

/*
 * Initialize a session.
 */
static void
session_init(load_t *load, uint32_t i)
{
	session_t *session = &load->sessions[i];

	session->load = load;
	session->number = i + 1;
	session->response = g_string_new(NULL);
	session->curl = curl_easy_init();
	curl_easy_setopt(
	    session->curl, CURLOPT_WRITEFUNCTION, on_body_received);
	curl_easy_setopt(session->curl, CURLOPT_WRITEDATA, session->response);
	curl_easy_setopt(session->curl, CURLOPT_PRIVATE, session);
	curl_easy_setopt(session->curl, CURLOPT_NOSIGNAL, 1L);
	curl_easy_setopt(session->curl, CURLOPT_TIMEOUT_MS, 20000L);
	curl_easy_setopt(session->curl, CURLOPT_HTTPHEADER, load->headers);
}

/*
 * Free what a session holds.
 */
static void
session_clear(session_t *session)
{
	curl_easy_cleanup(session->curl);
	g_string_free(session->response, TRUE);
	g_free(session->session_token);
	g_free(session->body);
	g_free(session->transaction);
}

/*
 * Run the planned load on a fleet, and record all operations.
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
		load.end_us =
		    clock_us() + (int64_t)plan->duration_ms * US_PER_MS;
	for (i = 0; i < plan->sessions; i++)
		session_init(&load, i);
	while (load_start_requests(&load) > 0 || load_continues(&load)) {
		curl_multi_perform(load.multi, &running);
		load_handle_completed(&load);
		if (plan->progress != NULL)
			plan->progress(plan->context, load.requests_ended);
		curl_multi_poll(load.multi, NULL, 0,
		    plan->think_time_max_ms > 0 ? 1 : POLL_TIMEOUT_MS, NULL);
	}
	for (i = 0; i < plan->sessions; i++)
		session_clear(&load.sessions[i]);
	g_free(load.sessions);
	curl_slist_free_all(load.headers);
	curl_multi_cleanup(load.multi);
	g_rand_free(load.rand);
}

/*
 * Add the logs of all databases to a history.
 */
void
load_collect_logs(fleet_t *fleet, history_t *history)
{
	uint32_t i, j;

	for (i = 0; i < fleet->groups_count; i++) {
		const fleet_group_t *group = &fleet->groups[i];
		int32_t primary = fleet_group_primary(fleet, i);

		for (j = 0; j < group->count; j++) {
			uint32_t db = group->first_database + j;
			arena_t *arena = arena_new();
			Bp__RanLog *log =
			    fleet_db_execution_log(fleet, arena, db);

			if (log != NULL)
				history_add_log(history, group->name, db,
				    (int32_t)db == primary, log);
			arena_free(arena);
		}
	}
}

/*
 * Record the document versions that each daemon reports to be in force.
 */
void
load_collect_versions(fleet_t *fleet, history_t *history)
{
	uint32_t i;
	size_t j;

	for (i = 0; i < fleet->plan.daemons; i++) {
		arena_t *arena = arena_new();
		Bp__StatusPage *page = fleet_daemon_status(fleet, arena, i);

		for (j = 0; page != NULL && j < page->n_documents; j++) {
			const Bp__DocumentStatus *document = page->documents[j];
			observed_version_t *seen;

			if (strcmp(document->daemon, page->daemon) != 0)
				continue;
			seen = history_add_version(history);
			seen->daemon = i;
			seen->team = strcmp(document->team, "tickets") == 0
			    ? "tickets"
			    : "quotes";
			seen->version = document->version;
			seen->observed_us = clock_us();
		}
		arena_free(arena);
	}
}

/*
 * Summarize a history.
 */
void
load_summarize(const history_t *history, load_summary_t *summary)
{
	GArray *latencies_ms[3];
	uint32_t i;

	memset(summary, 0, sizeof(*summary));
	for (i = 0; i < 3; i++)
		latencies_ms[i] = g_array_new(FALSE, FALSE, sizeof(double));
	for (i = 0; i < history->operations->len; i++) {
		operation_t *op = g_ptr_array_index(history->operations, i);
		double latency_ms =
		    (double)(op->completed_us - op->invoked_us) / US_PER_MS;

		if (!op->answered) {
			summary->no_answer++;
			summary->broken_connections += op->connection_broken;
			continue;
		}
		summary->outcomes[op->outcome]++;
		if (op->outcome != BP__OUTCOME__DONE)
			continue;
		if (op->transaction == 0) {
			g_array_append_val(latencies_ms[op->rank], latency_ms);
			summary->done[op->rank]++;
		}
		summary->reads += !op->is_write;
		if (!op->is_write && op->max_age_us > 0) {
			summary->bounded_staleness_reads++;
			summary->replica_reads += op->from_replica;
		}
	}
	for (i = 0; i < 3; i++) {
		summary->p50_ms[i] = quantile(latencies_ms[i], 0.50);
		summary->p99_ms[i] = quantile(latencies_ms[i], 0.99);
		g_array_unref(latencies_ms[i]);
	}
}

/*
 * Return the time from since_us to the first acknowledgement of a write in a
 * group that was sent after since_us, or -1 if there is none.
 */
int64_t
load_write_outage_us(
    const history_t *history, const char *group, int64_t since_us)
{
	int64_t first_us = -1;
	uint32_t i;

	for (i = 0; i < history->operations->len; i++) {
		operation_t *op = g_ptr_array_index(history->operations, i);

		if (!op->is_write || op->outcome != BP__OUTCOME__DONE ||
		    strcmp(op->group, group) != 0 || op->invoked_us < since_us)
			continue;
		if (first_us < 0 || op->completed_us - since_us < first_us)
			first_us = op->completed_us - since_us;
	}
	return first_us;
}

/*
 * Print a summary as a table.
 */
void
load_print_summary(
    const load_summary_t *summary, const violations_t *violations)
{
	static const char *const ranks[] = {"urgent", "standard", "background"};
	uint32_t i;

	printf("%-32s %10u\n", "done", summary->outcomes[0]);
	printf("%-32s %10u\n", "failed", summary->outcomes[1]);
	printf("%-32s %10u\n", "not run", summary->outcomes[2]);
	printf("%-32s %10u\n", "unknown", summary->outcomes[3]);
	printf("%-32s %10u\n", "no answer", summary->no_answer);
	printf("%-32s %9.1f%%\n", "reads that may be stale, by replicas",
	    summary->bounded_staleness_reads == 0 ? 0.0
						  : 100.0 *
		    summary->replica_reads / summary->bounded_staleness_reads);
	for (i = 0; i < 3; i++)
		printf("%-12s %8u done %12.2f ms p50 %9.2f ms p99\n", ranks[i],
		    summary->done[i], summary->p50_ms[i], summary->p99_ms[i]);
	for (i = 0; i < VIOLATION_KINDS; i++)
		printf("violations: %-28s %2u\n", violation_names[i],
		    violations->counts[i]);
}
