#include "stand.h"

#include <signal.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

/* The scripts of the cases. */

/* Start daemons and wait until writes are acknowledged. */
static void
daemons_begin(int count, int cloud_of_first)
{
	answer_t answer;
	client_t *c;
	char *text = NULL;
	int i, tries;

	for (i = 0; i < count; i++) {
		daemon_start(i, i == 0 ? cloud_of_first : cloud_port);
		if (!daemon_wait_ready(i, 10000))
			cannot_run("a daemon is not ready");
	}
	for (i = 0; i < count; i++) {
		for (tries = 0; tries < 100 && text == NULL; tries++) {
			c = client_open(i, "intake");
			if (c == NULL)
				continue;
			text = client_query(
			    c, "0000", "WRITE T-0 begin", 2000, &answer);
			if (text != NULL && strncmp(text, "DONE", 4) != 0) {
				free(text);
				text = NULL;
				sleep_ms(50);
			}
			client_close(c);
		}
		if (text == NULL)
			cannot_run("no write is acknowledged at the start");
		free(text);
		text = NULL;
	}
	sleep_ms(1500);
}

/* Send one statement in a session of its own. */
static char *
once(int daemon, const char *database, const char *id, const char *text,
    answer_t *answer)
{
	client_t *c = client_open(daemon, database);
	char *result;

	memset(answer, 0, sizeof(*answer));
	if (c == NULL) {
		record("client cannot open a session");
		return NULL;
	}
	result = client_query(c, id, text, 5000, answer);
	client_close(c);
	return result;
}

static bool
is_done(const char *text)
{
	return text != NULL && strncmp(text, "DONE", 4) == 0;
}

/* ---- a text with a line feed ---- */

typedef struct sent {
	const char *id, *text;
} sent_t;

/* Tell whether each write that was run has an id and a text that was sent. */
static int
check_asked(const sent_t *sent, int count)
{
	const run_t *runs;
	int n = runs_get(&runs), i, j, broken = 0;

	for (i = 0; i < n; i++) {
		if (strcmp(runs[i].id, "0000") == 0)
			continue;
		for (j = 0; j < count; j++) {
			if (strcmp(runs[i].id, sent[j].id) == 0)
				break;
		}
		if (j == count)
			record("UNASKED: no client sent the id of: %s %s",
			    runs[i].id, runs[i].text);
		else if (strcmp(runs[i].text, sent[j].text) != 0)
			record("UNASKED: changed text: %s %s", runs[i].id,
			    runs[i].text);
		else
			continue;
		broken = 1;
	}
	return broken;
}

static int
run_framing(bool trouble)
{
	sent_t sent[] = {
	    {"a1", trouble ? "WRITE T-1 strap replaced\ncrystal polished"
			   : "WRITE T-1 strap replaced, crystal polished"},
	    {"a2", trouble ? "WRITE T-2 see note\nQUERY a9 WRITE T-3 returned"
			   : "WRITE T-2 see note, QUERY a9 WRITE T-3 returned"},
	};
	answer_t answer;
	unsigned i;

	daemons_begin(1, cloud_port);
	for (i = 0; i < sizeof(sent) / sizeof(sent[0]); i++)
		free(once(0, "intake", sent[i].id, sent[i].text, &answer));
	sleep_ms(500);
	return check_asked(sent, sizeof(sent) / sizeof(sent[0]));
}

/* ---- a shape with a blank ---- */

static int
run_prepare(bool trouble)
{
	const char *shape = trouble ? "ticket open" : "ticket-open";
	answer_t answer;
	client_t *first, *second;
	const run_t *runs;
	char prepare[128], wanted[128];
	int n, i, broken = 0;

	daemons_begin(1, cloud_port);
	first = client_open(0, "intake");
	second = client_open(0, "intake");
	if (first == NULL || second == NULL)
		cannot_run("no session");
	/* the first client's own shape, on the connections to the primary */
	free(client_query(
	    first, "b1", "PREPARE s1 WRITE ticket", 2000, &answer));
	for (i = 0; i < 5; i++)
		free(client_query(
		    first, "b2", "EXEC s1 T-1 bought", 2000, &answer));
	/* another client prepares another shape, under the same name */
	snprintf(prepare, sizeof(prepare), "PREPARE s1 WRITE %s", shape);
	free(client_query(second, "b3", prepare, 2000, &answer));
	free(client_query(second, "b4", "EXEC s1 T-2 repaired", 2000, &answer));
	sleep_ms(500);
	client_close(first);
	client_close(second);
	n = runs_get(&runs);
	snprintf(wanted, sizeof(wanted),
	    "shape [%s] item [T-2] data [repaired]", shape);
	for (i = 0; i < n; i++) {
		if (strcmp(runs[i].id, "b4") != 0 ||
		    strcmp(runs[i].text, wanted) == 0)
			continue;
		record("PINNED: the client prepared %s and asked for %s, but "
		       "i-%d ran %s",
		    shape, wanted, runs[i].database, runs[i].text);
		broken = 1;
	}
	return broken;
}

/* ---- a result of many rows ---- */

static int
run_large(bool trouble)
{
	answer_t answer;
	char *text, id[16];
	int i, broken = 0, same;
	int64_t began_ms;

	daemons_begin(1, cloud_port);
	rows_of_large = trouble ? 20 : 2;
	row_bytes_of_large = 1000000;
	daemon_signal(0, SIGHUP);
	sleep_ms(200);
	for (i = 0; i < 3; i++) {
		const run_t *runs;
		int n, j;

		snprintf(id, sizeof(id), "c%d", i);
		began_ms = now_ms();
		text = once(0, "lookup", id, "READ large", &answer);
		same = answer.rows == rows_of_large;
		n = runs_get(&runs);
		for (j = 0; j < n && strcmp(runs[j].id, id) != 0; j++)
			;
		if (text == NULL && j < n &&
		    now_ms() - began_ms < 3000) {
			record("LOST: %s was passed on to i-%d, and its "
			       "connection ended after %.1f s without a "
			       "complete answer",
			    id, runs[j].database,
			    (double)(now_ms() - began_ms) / 1000);
			broken = 1;
		} else if (is_done(text) && !same) {
			record("MIXED: %s was answered with other rows", id);
			broken = 1;
		}
		free(text);
	}
	record("the daemon uses %ld MB", daemon_memory_mb(0));
	return broken;
}

/* ---- a machine that is added while the databases are being listed ---- */

/* A sender on a link that was disrupted in that time is excused from ONE. */
#define THAW_MS 300

/*
 * Read and write through the added daemon, and look for answers of the old
 * primary.  led_ms: time at which the promote had taken effect; joined_ms: end
 * of the old primary's partition.
 */
static int
use_added(int daemon, int64_t led_ms, int64_t joined_ms)
{
	int64_t end_ms = now_ms() + 1500;
	answer_t answer;
	const run_t *runs;
	char *text, id[16];
	int i, j, n, broken = 0;

	for (i = 0; now_ms() < end_ms; i++) {
		if (!daemon_wait_ready(daemon, 100))
			continue;
		snprintf(id, sizeof(id), "e%d", i);
		text = once(daemon, "intake", id, "READ T-1", &answer);
		if (is_done(text) && strcmp(answer.first_row, "returned") != 0) {
			record("STALE: the read %s lacks the commit of T-1, "
			       "acknowledged before it was sent",
			    id);
			broken = 1;
		}
		free(text);
		snprintf(id, sizeof(id), "f%d", i);
		text = once(daemon, "intake", id, "WRITE T-2 intake", &answer);
		n = runs_get(&runs);
		for (j = 0; is_done(text) && led_ms != 0 && j < n; j++) {
			if (strcmp(runs[j].id, id) != 0 || runs[j].term > 1 ||
			    runs[j].at_ms - joined_ms <= THAW_MS)
				continue;
			record("ONE: the write %s was acknowledged, and "
			       "committed at the old primary, %.1f s after the "
			       "promote had taken effect",
			    id, (double)(runs[j].at_ms - led_ms) / 1000);
			broken = 1;
		}
		free(text);
		sleep_ms(20);
	}
	return broken;
}

static int
run_relisting(bool trouble)
{
	static const int64_t after_ms[DATABASES] = {100, 1200, 1200};
	int64_t led_ms = 0, joined_ms = 0;
	answer_t answer;
	char *text = NULL, id[16];
	int i;

	daemons_begin(2, cloud_port);
	if (trouble) {
		database_cut(0);
		for (i = 0; i < 700 && promotions == 0; i++)
			sleep_ms(5);
		if (promotions == 0)
			cannot_run("no database was promoted");
		led_ms = now_ms();
	}
	for (i = 0; i < 100 && !is_done(text); i++) {
		free(text);
		snprintf(id, sizeof(id), "d%d", i);
		text = once(0, "intake", id, "WRITE T-1 returned", &answer);
		sleep_ms(20);
	}
	if (!is_done(text))
		cannot_run("no write is acknowledged");
	free(text);
	if (trouble)
		store_stop();
	sleep_ms(500);
	daemon_start(2, cloud_port);
	sleep_ms(1500);
	if (trouble) {
		store_return(after_ms);
		database_join(0);
		joined_ms = now_ms();
	}
	return use_added(2, led_ms, joined_ms);
}

/* ---- an order that a stalled link delivers late ---- */

/*
 * The link is down for STALL_MS.  The bytes that were on their way when it went
 * down arrive RESEND_MS after they were sent, as TCP waits longer before each
 * attempt to send them again; connections that are opened after the stall work
 * at once.
 */
#define STALL_MS 3400
#define RESEND_MS 5900

static void
stall_now(stall_t *stall, const char *order)
{
	const char *id = strstr(order, "\"id\":\"i-");

	stall->number = id == NULL ? 1 : atoi(id + 8);
	stall->resend_at_ms = now_ms() + RESEND_MS;
	stall->stalled = true;
	stall->on_order = NULL;
}

/* An acknowledged write. */
typedef struct acknowledged {
	char id[16], value[32];
} acknowledged_t;

/* Look for the run of a write at a primary that had been replaced before. */
static int
check_old_primary(const acknowledged_t *write)
{
	const run_t *runs;
	int n = runs_get(&runs), i, number, broken = 0;
	int64_t began_ms;

	for (i = 0; i < n; i++) {
		if (strcmp(runs[i].id, write->id) != 0)
			continue;
		began_ms = term_began_ms(runs[i].term + 1, &number);
		if (began_ms == 0 || runs[i].at_ms <= began_ms)
			continue;
		record("ONE: the write %s was acknowledged, and committed at "
		       "i-%d in term %ld, %ld ms after the promote of i-%d to "
		       "term %ld had taken effect; %s",
		    write->id, runs[i].database, runs[i].term,
		    (long)(runs[i].at_ms - began_ms), number, runs[i].term + 1,
		    value_kept(write->value) ? "it was kept" : "it is lost");
		broken = 1;
	}
	return broken;
}

static int
run_order(bool trouble)
{
	static acknowledged_t writes[8192];
	stall_t stall = {.number = 1};
	int64_t end_ms;
	answer_t answer;
	client_t *c = NULL;
	char *text, statement[64];
	int i, count = 0, broken = 0;

	if (trouble)
		stall.on_order = stall_now;
	stall_start(&stall);
	daemons_begin(2, stall.port);
	database_drain(0);
	for (i = 0; i < 600 && promotions == 0 && !stall.stalled; i++)
		sleep_ms(5);
	if (trouble && !stall.stalled)
		cannot_run("no order was sent");
	sleep_ms(1000);
	database_drain(stall.number);
	sleep_ms(STALL_MS - 1000);
	if (trouble)
		stall_end(&stall);
	end_ms = now_ms() + 5000;
	for (i = 0; now_ms() < end_ms && count < 8192; i++) {
		if (c == NULL && (c = client_open(1, "intake")) == NULL)
			continue;
		snprintf(writes[count].id, sizeof(writes[0].id), "g%d", i);
		snprintf(writes[count].value, sizeof(writes[0].value), "v%d", i);
		snprintf(statement, sizeof(statement), "WRITE T-1 v%d", i);
		text = client_query(
		    c, writes[count].id, statement, 2500, &answer);
		count += is_done(text);
		if (text == NULL) {
			client_close(c);
			c = NULL;
		}
		free(text);
		sleep_ms(1);
	}
	if (count == 0)
		cannot_run("no write was acknowledged");
	sleep_ms(1500);
	for (i = 0; i < count; i++)
		broken |= check_old_primary(&writes[i]);
	record("%d writes were acknowledged", count);
	return broken;
}

/* ---- a handover while a daemon is being stopped ---- */

#define WRITES_MAX 100000
#define ROUNDS 2
#define TERM_GAP_MS 1200

static int64_t acked_ms[WRITES_MAX]; /* by the number in the value */
static volatile int writes_sent;
static volatile bool ended;
static volatile int stale_reads, reads_done;

/* Write T-1 through the daemon that stays, a new number each time. */
static void *
write_numbers(void *unused)
{
	client_t *c = NULL;
	answer_t answer;
	char id[16], statement[64], *text;
	int i;

	(void)unused;
	for (i = 1; !ended && i < WRITES_MAX; i++) {
		if (c == NULL && (c = client_open(0, "intake")) == NULL)
			continue;
		snprintf(id, sizeof(id), "w%d", i);
		snprintf(statement, sizeof(statement), "WRITE T-1 %d", i);
		writes_sent = i;
		text = client_query(c, id, statement, 2500, &answer);
		if (is_done(text))
			acked_ms[i] = now_ms();
		if (text == NULL) {
			client_close(c);
			c = NULL;
		}
		free(text);
		sleep_ms(2);
	}
	return NULL;
}

/* Read T-1 in a session at a daemon, until the daemon ends it. */
static void *
read_numbers(void *daemon)
{
	int number = (int)(intptr_t)daemon, i, j, value;
	client_t *c = client_open(number, "intake");
	answer_t answer;
	char id[16], *text;
	int64_t sent_ms;

	for (i = 1; c != NULL && !ended; i++) {
		snprintf(id, sizeof(id), "r%d-%d", number, i);
		sent_ms = now_ms();
		text = client_query(c, id, "READ T-1", 2500, &answer);
		value = atoi(answer.first_row);
		reads_done += is_done(text);
		for (j = value + 1; is_done(text) && j <= writes_sent; j++) {
			if (acked_ms[j] == 0 || acked_ms[j] >= sent_ms)
				continue;
			record("STALE: the read %s got %d, though the write "
			       "w%d was acknowledged %ld ms before it was sent",
			    id, value, j, (long)(sent_ms - acked_ms[j]));
			stale_reads++;
			break;
		}
		if (text == NULL)
			break;
		free(text);
		sleep_ms(1);
	}
	if (c != NULL)
		client_close(c);
	return NULL;
}

static int
run_handover(bool trouble)
{
	int round, i;
	long before;

	lag_ms = 60;
	daemons_begin(3, cloud_port);
	thread_start(write_numbers, NULL);
	for (round = 0; round < ROUNDS; round++) {
		for (i = 1; i < 3; i++)
			thread_start(read_numbers, (void *)(intptr_t)i);
		sleep_ms(1000);
		if (trouble)
			daemon_signal(1, SIGTERM);
		sleep_ms(TERM_GAP_MS);
		if (trouble)
			daemon_signal(2, SIGTERM);
		sleep_ms(100);
		before = promotions;
		database_drain(primary_number());
		for (i = 0; i < 600 && promotions == before; i++)
			sleep_ms(5);
		if (promotions == before)
			cannot_run("no database was promoted");
		sleep_ms(4000);
		for (i = 1; i < 3; i++) {
			if (trouble && round + 1 < ROUNDS) {
				daemon_wait_end(i);
				daemon_start(i, cloud_port);
			}
			if (!trouble || round + 1 < ROUNDS)
				daemon_wait_ready(i, 5000);
		}
		sleep_ms(2000);
	}
	ended = true;
	sleep_ms(300);
	if (reads_done == 0)
		cannot_run("no read was answered");
	record("%d reads were answered, %d of them stale", reads_done,
	    stale_reads);
	return stale_reads > 0;
}

const case_t cases[] = {
    {"handover", run_handover},
    {"framing", run_framing},
    {"prepare", run_prepare},
    {"large", run_large},
    {"relisting", run_relisting},
    {"order", run_order},
    {NULL, NULL},
};
