#include "cases.h"
#include "fake/testbed.h"

#include <curl/curl.h>
#include <glib.h>
#include <string.h>

/*
 * Tests of databases that refuse connections and have lost their entries in the
 * store, with proxy processes and a fake platform.  Those that run, where
 * something between refuses the connections of some daemons, keep their votes;
 * those that have ended are replaced.
 */

#define PROXIES 3
#define DATABASES 3
#define READY_TIMEOUT_MS 10000
#define POLL_US 20000

/* Time until the daemons are listed, and the list of the servers is not new. */
#define LISTED_MS 4500

/* Duration of a refusal, and the time in it after which the entries lapse. */
#define REFUSED_MS 6000
#define LAPSE_DELAY_MS 300

/* Time in which all proxies serve writes again after a refusal or a start. */
#define SERVED_AGAIN_MS 5000

/* Time in which all proxies serve writes after a primary has ended. */
#define FAILOVER_MS 8000

/*
 * The same where its connections are reset: a full database may do so, and
 * counts as alive for 5 s.
 */
#define RESET_FAILOVER_MS 12000

/*
 * Time after which the entry of a database that has ended lapses, and time in
 * which it is then removed from its group.
 */
#define ENTRY_LAPSES_MS 2100
#define REMOVAL_MS 70000

/* Time for which databases that end and start again do not run. */
#define AWAY_MS 2000

/* Longest time between two writes of a client where none may be refused. */
#define GAP_MS 1000

/* Time between two writes of a client, and the limit for an answer. */
#define WRITE_INTERVAL_MS 20
#define WRITE_TIMEOUT_MS 3000

/* Databases, as bits. */
#define PRIMARY 1U
#define REPLICA 2U
#define OTHER 4U

/* A client that writes through a proxy. */
typedef struct writer {
	client_t *client; /* NULL: not connected */
	char *value;      /* written, without an answer yet, or NULL */
	int64_t sent_us;
	uint32_t done; /* number of writes that succeeded */
	int64_t last_done_us;
	int64_t longest_gap_us; /* between two of these */
} writer_t;

/* A testbed with a client at each proxy. */
typedef struct bed {
	testbed_t *testbed;
	writer_t writers[PROXIES];
	uint32_t values;
	GPtrArray *acknowledged; /* values of the writes that succeeded */
} bed_t;

/*
 * Close the connection of a client.
 */
static void
writer_close(writer_t *writer)
{
	client_close(writer->client);
	writer->client = NULL;
	g_clear_pointer(&writer->value, g_free);
}

/*
 * Start the testbed, and wait until all daemons are listed.
 */
static bed_t *
bed_start(void)
{
	testbed_plan_t plan = {.proxies = PROXIES,
	    .databases = DATABASES,
	    .lag_ms = 5,
	    .store_ports = true,
	    .own_relays = true};
	bed_t *bed = g_new0(bed_t, 1);

	bed->testbed = testbed_start(&plan);
	bed->acknowledged = g_ptr_array_new_with_free_func(g_free);
	g_assert_true(testbed_wait_ready(bed->testbed, READY_TIMEOUT_MS));
	g_usleep(LISTED_MS * US_PER_MS);
	return bed;
}

/*
 * Stop the testbed and free it.
 */
static void
bed_stop(bed_t *bed)
{
	uint32_t i;

	for (i = 0; i < PROXIES; i++)
		writer_close(&bed->writers[i]);
	testbed_stop(bed->testbed);
	g_ptr_array_unref(bed->acknowledged);
	g_free(bed);
}

/*
 * Have a client send its next write.
 */
static void
writer_send(bed_t *bed, writer_t *writer, int64_t now_us)
{
	char *text;

	writer->value = g_strdup_printf("value%u", bed->values++);
	writer->sent_us = now_us;
	text = g_strdup_printf("WRITE k %s", writer->value);
	if (!client_send_query(writer->client, text))
		writer_close(writer);
	g_free(text);
}

/*
 * Note that a write of a client has succeeded.
 */
static void
writer_done(bed_t *bed, writer_t *writer)
{
	int64_t now_us = g_get_monotonic_time();

	g_ptr_array_add(bed->acknowledged, g_strdup(writer->value));
	writer->done++;
	writer->longest_gap_us =
	    MAX(writer->longest_gap_us, now_us - writer->last_done_us);
	writer->last_done_us = now_us;
}

/*
 * Read what there is of the answer to a client's write.
 */
static void
writer_read(bed_t *bed, writer_t *writer, int64_t now_us)
{
	char *line = client_read_line(writer->client, 1);

	if (line == NULL) {
		if (now_us - writer->sent_us >= WRITE_TIMEOUT_MS * US_PER_MS)
			writer_close(writer);
		return;
	}
	if (g_str_has_prefix(line, "DONE "))
		writer_done(bed, writer);
	else if (g_str_has_prefix(line, "READY"))
		g_clear_pointer(&writer->value, g_free);
	g_free(line);
}

/*
 * Tell whether all clients have had a write succeed that was counted.
 */
static bool
all_done(const bed_t *bed)
{
	uint32_t i, count = 0;

	for (i = 0; i < PROXIES; i++)
		count += bed->writers[i].done > 0;
	return count == PROXIES;
}

/*
 * Print how the clients' writes went since a time.
 */
static void
print_writes(const bed_t *bed, int64_t began_us)
{
	const writer_t *writers = bed->writers;

	g_test_message("%u, %u and %u writes succeeded in %" G_GINT64_FORMAT
		       " ms; longest gaps %" G_GINT64_FORMAT
		       ", %" G_GINT64_FORMAT " and %" G_GINT64_FORMAT " ms",
	    writers[0].done, writers[1].done, writers[2].done,
	    (g_get_monotonic_time() - began_us) / US_PER_MS,
	    writers[0].longest_gap_us / US_PER_MS,
	    writers[1].longest_gap_us / US_PER_MS,
	    writers[2].longest_gap_us / US_PER_MS);
}

/*
 * Have the clients write for a time, or until each has had a write succeed if
 * until_done is set.  Counts the writes and the gaps anew.  Returns whether
 * each has.
 */
static bool
bed_write(bed_t *bed, int64_t time_ms, bool until_done)
{
	int64_t now_us = g_get_monotonic_time();
	int64_t began_us = now_us, end_us = now_us + time_ms * US_PER_MS;
	uint32_t i;

	for (i = 0; i < PROXIES; i++) {
		bed->writers[i].done = 0;
		bed->writers[i].longest_gap_us = 0;
		bed->writers[i].last_done_us = now_us;
	}
	while (now_us < end_us && !(until_done && all_done(bed))) {
		for (i = 0; i < PROXIES; i++) {
			writer_t *writer = &bed->writers[i];

			now_us = g_get_monotonic_time();
			if (writer->client == NULL)
				writer->client = client_open_session(
				    bed->testbed, i, "intake");
			else if (writer->value != NULL)
				writer_read(bed, writer, now_us);
			else if (now_us - writer->sent_us >=
			    WRITE_INTERVAL_MS * US_PER_MS)
				writer_send(bed, writer, now_us);
		}
		g_usleep(US_PER_MS);
	}
	for (i = 0; i < PROXIES; i++) {
		writer_t *writer = &bed->writers[i];

		writer->longest_gap_us = MAX(writer->longest_gap_us,
		    g_get_monotonic_time() - writer->last_done_us);
	}
	print_writes(bed, began_us);
	return all_done(bed);
}

/*
 * Have the clients write on connections that are opened now until each has had
 * a write succeed.  Returns false after a timeout.
 */
static bool
served_again(bed_t *bed, int64_t timeout_ms)
{
	uint32_t i;

	for (i = 0; i < PROXIES; i++)
		writer_close(&bed->writers[i]);
	return bed_write(bed, timeout_ms, true);
}

/*
 * Inject a fault into some databases.
 */
static void
inject_fault(bed_t *bed, uint32_t databases, const char *fault)
{
	int32_t i;

	for (i = 0; i < DATABASES; i++) {
		if ((databases & (1U << i)) != 0)
			testbed_inject_fault(
			    bed->testbed, "database", fault, i);
	}
}

/*
 * Refuse the connections of all proxies but one to some databases, or end that.
 * except: PROXIES: none.
 */
static void
refuse(bed_t *bed, uint32_t databases, uint32_t except, bool refuses)
{
	uint32_t i, j;

	for (i = 0; i < PROXIES; i++) {
		for (j = 0; j < DATABASES; j++) {
			if (i != except && (databases & (1U << j)) != 0)
				testbed_refuse(bed->testbed, i, j, refuses);
		}
	}
}

/*
 * Find the event in a log that a server was removed from its group.  server:
 * NULL: any.  The caller frees it.  Returns NULL if there is none.
 */
static char *
find_removal(const char *log, const char *server)
{
	char *field = server == NULL
	    ? g_strdup("")
	    : g_strdup_printf("\"server\":\"%s\"", server);
	char **lines = g_strsplit(log, "\n", -1), *found = NULL;
	uint32_t i;

	for (i = 0; lines[i] != NULL && found == NULL; i++) {
		if (strstr(lines[i], "\"event\":\"server_listed\"") != NULL &&
		    strstr(lines[i], "\"gone\":true") != NULL &&
		    strstr(lines[i], field) != NULL)
			found = g_strdup(lines[i]);
	}
	g_strfreev(lines);
	g_free(field);
	return found;
}

/*
 * Test that no proxy has removed a server from its group.
 */
static void
check_none_removed(const bed_t *bed)
{
	uint32_t i;

	for (i = 0; i < PROXIES; i++) {
		char *log = testbed_read_log(bed->testbed, i);
		char *removal = find_removal(log, NULL);

		g_assert_nonnull(strstr(log, "\"event\":\"server_listed\""));
		if (removal != NULL)
			g_test_message("proxy-%u: %s", i, removal);
		g_assert_null(removal);
		g_free(removal);
		g_free(log);
	}
}

/*
 * Test that no write was acknowledged by a primary that had been replaced.
 */
static void
check_one_primary(const bed_t *bed)
{
	char *outdated = testbed_get(bed->testbed, "/outdated");
	char *revived = testbed_get(bed->testbed, "/revived");
	uint32_t i, seen = 0;

	for (i = 0; i < bed->acknowledged->len; i++) {
		char *value = g_strdup_printf(
		    " %s ", (char *)g_ptr_array_index(bed->acknowledged, i));

		seen += strstr(outdated, value) != NULL;
		g_free(value);
	}
	g_test_message("%u of %u writes acknowledged by an old primary", seen,
	    bed->acknowledged->len);
	g_assert_cmpuint(seen, ==, 0);
	g_assert_cmpstr(revived, ==, " ");
	g_free(revived);
	g_free(outdated);
}

/*
 * Test that no database was promoted, or just one in place of the first primary
 * if replaced is set.
 */
static void
check_promoted(const bed_t *bed, bool replaced)
{
	char *promoted = testbed_get(bed->testbed, "/promoted");

	g_test_message("promoted:%s", promoted);
	if (replaced)
		g_assert_true(strcmp(promoted, " i-1.2 ") == 0 ||
		    strcmp(promoted, " i-2.2 ") == 0);
	else
		g_assert_cmpstr(promoted, ==, " ");
	g_free(promoted);
}

typedef struct between_case {
	const char *name;
	uint32_t refused;   /* databases whose connections are refused */
	bool coordinator;   /* it is the one that reaches them, not another */
	bool replaced;      /* a majority without the primary replaces it */
	bool uninterrupted; /* all proxies serve meanwhile */
} between_case_t;

static const between_case_t between_cases[] = {
    {"the primary and a replica", PRIMARY | REPLICA, false, false, false},
    {"the primary and a replica, reached by the coordinator", PRIMARY | REPLICA,
	true, false, false},
    {"both replicas", REPLICA | OTHER, false, false, false},
    {"the primary", PRIMARY, false, true, false},
    {"a replica", REPLICA, false, false, true},
};

/*
 * Test that databases that run stay in their group where their entries have
 * lapsed and something between refuses the connections of two of three daemons
 * to them.  The third reaches them, and neither the store nor the two others.
 * The primary and the other databases do not reach each other meanwhile, so
 * that it would not follow one that was promoted.
 */
static void
test_between(gconstpointer data)
{
	const between_case_t *c = data;
	bed_t *bed = bed_start();
	uint32_t coordinator = testbed_coordinator(bed->testbed);
	uint32_t third =
	    c->coordinator ? coordinator : (coordinator + 1) % PROXIES;
	bool served;
	uint32_t i;

	g_assert_true(served_again(bed, SERVED_AGAIN_MS));
	inject_fault(bed, PRIMARY, "deaf");
	testbed_cut_off(bed->testbed, third, true);
	refuse(bed, c->refused, third, true);
	bed_write(bed, LAPSE_DELAY_MS, false);
	inject_fault(bed, c->refused, "unlist");
	served = bed_write(bed, REFUSED_MS - LAPSE_DELAY_MS, false);
	for (i = 0; c->uninterrupted && i < PROXIES; i++)
		g_assert_cmpint(
		    bed->writers[i].longest_gap_us, <, GAP_MS * US_PER_MS);
	g_assert_true(served || !c->uninterrupted);
	check_promoted(bed, c->replaced);
	check_none_removed(bed);
	check_one_primary(bed);
	refuse(bed, c->refused, third, false);
	testbed_cut_off(bed->testbed, third, false);
	inject_fault(bed, c->refused, "list");
	inject_fault(bed, PRIMARY, "hear");
	g_assert_true(served_again(bed, SERVED_AGAIN_MS));
	check_none_removed(bed);
	check_one_primary(bed);
	bed_stop(bed);
}

/*
 * Wait until a proxy has removed the first primary from its group, and test
 * that the reason is one that holds for a process that has ended.
 */
static void
check_removal(const bed_t *bed, uint32_t proxy, int64_t end_us)
{
	char *removal = NULL;

	while (removal == NULL && g_get_monotonic_time() < end_us) {
		char *log = testbed_read_log(bed->testbed, proxy);

		removal = find_removal(log, "i-0");
		g_free(log);
		g_usleep(POLL_US);
	}
	g_test_message(
	    "proxy-%u: %s", proxy, removal == NULL ? "not removed" : removal);
	g_assert_true(removal != NULL &&
	    (strstr(removal, "\"reason\":\"later_start\"") != NULL ||
		strstr(removal, "\"reason\":\"other_process\"") != NULL ||
		strstr(removal, "\"reason\":\"silent\"") != NULL));
	g_free(removal);
}

typedef struct ended_case {
	const char *name;
	int64_t lapses_ms; /* when its entry lapses */
} ended_case_t;

static const ended_case_t ended_cases[] = {
    {"its entry lapses later", ENTRY_LAPSES_MS},
    {"its entry is gone at once", 0},
};

/*
 * Test that a primary that has ended, whose address refuses connections and
 * whose entry lapses, is replaced, and then removed from its group.
 */
static void
test_ended_primary(gconstpointer data)
{
	const ended_case_t *c = data;
	bed_t *bed = bed_start();
	int64_t end_us;
	uint32_t i;

	g_assert_true(served_again(bed, SERVED_AGAIN_MS));
	inject_fault(bed, PRIMARY, "crash");
	refuse(bed, PRIMARY, PROXIES, true);
	if (c->lapses_ms == 0)
		inject_fault(bed, PRIMARY, "unlist");
	g_assert_true(served_again(bed, FAILOVER_MS));
	check_promoted(bed, true);
	bed_write(bed, c->lapses_ms, false);
	if (c->lapses_ms != 0)
		inject_fault(bed, PRIMARY, "unlist");
	end_us = g_get_monotonic_time() + REMOVAL_MS * US_PER_MS;
	for (i = 0; i < PROXIES; i++)
		check_removal(bed, i, end_us);
	g_assert_true(served_again(bed, SERVED_AGAIN_MS));
	check_one_primary(bed);
	bed_stop(bed);
}

typedef struct restart_case {
	const char *name;
	uint32_t ended; /* databases that end */
} restart_case_t;

static const restart_case_t restart_cases[] = {
    {"the primary and a replica", PRIMARY | REPLICA},
    {"both replicas", REPLICA | OTHER},
};

/*
 * Test that two of three databases that end and start again at their addresses
 * count again soon.  The entries of their former starts lapse later.
 */
static void
test_restart(gconstpointer data)
{
	const restart_case_t *c = data;
	bed_t *bed = bed_start();

	g_assert_true(served_again(bed, SERVED_AGAIN_MS));
	inject_fault(bed, c->ended, "crash");
	refuse(bed, c->ended, PROXIES, true);
	bed_write(bed, AWAY_MS, false);
	inject_fault(bed, c->ended, "again");
	refuse(bed, c->ended, PROXIES, false);
	g_assert_true(served_again(bed, SERVED_AGAIN_MS));
	check_one_primary(bed);
	bed_stop(bed);
}

typedef struct reset_case {
	const char *name;
	bool ended; /* the primary has ended */
	bool entry_gone;
} reset_case_t;

static const reset_case_t reset_cases[] = {
    {"it has ended", true, false},
    {"it has ended, its entry is gone", true, true},
    {"it runs", false, false},
};

/*
 * Test that a primary that no daemon reaches is replaced where something
 * between accepts the connections to it and resets them at once.  It reaches
 * the other databases.
 */
static void
test_reset(gconstpointer data)
{
	const reset_case_t *c = data;
	bed_t *bed = bed_start();
	uint32_t i;

	g_assert_true(served_again(bed, SERVED_AGAIN_MS));
	if (c->ended)
		inject_fault(bed, PRIMARY, "crash");
	if (c->entry_gone)
		inject_fault(bed, PRIMARY, "unlist");
	for (i = 0; i < PROXIES; i++)
		testbed_reset(bed->testbed, i, 0, true);
	g_assert_true(served_again(bed, RESET_FAILOVER_MS));
	check_promoted(bed, true);
	check_one_primary(bed);
	bed_stop(bed);
}

typedef struct taken_address_case {
	const char *name;
	const char *daemon; /* in a record with the address of another one */
	bool all;           /* its answer counts as that of the record's */
} taken_address_case_t;

static const taken_address_case_t taken_address_cases[] = {
    {"the record of another daemon", "vm-z-9", false},
};

/*
 * Test that an answer at the address in a daemon's record counts as that of
 * this daemon only if it comes from it: here another daemon has the address, so
 * that the leases of the first are waited for.
 */
static void
test_taken_address(gconstpointer data)
{
	const taken_address_case_t *c = data;
	bed_t *bed = bed_start();
	uint32_t coordinator = testbed_coordinator(bed->testbed);
	uint32_t other = (coordinator + 1) % PROXIES;
	char *record, *log;
	bool all;

	record = g_strdup_printf(
	    "{\"address\":\"127.0.0.1:%u\",\"beat\":1,\"zone\":\"a\","
	    "\"weight\":1,\"leases\":true}",
	    bed->testbed->proxies[other].peer_port);
	testbed_put_object(
	    bed->testbed, "bergamotplank-daemons", c->daemon, record);
	inject_fault(bed, PRIMARY, "crash");
	refuse(bed, PRIMARY, PROXIES, true);
	g_assert_true(served_again(bed, FAILOVER_MS));
	log = testbed_read_log(bed->testbed, coordinator);
	g_assert_nonnull(strstr(log, "\"event\":\"leases_revoked\""));
	all = g_regex_match_simple(
	    "\"leases_revoked\"[^\n]*\"all\":true", log, 0, 0);
	g_assert_cmpint(all, ==, c->all);
	g_free(log);
	g_free(record);
	check_one_primary(bed);
	bed_stop(bed);
}

/*
 * Register the tests and run them.
 */
int
main(int argc, char **argv)
{
	g_test_init(&argc, &argv, NULL);
	g_test_set_nonfatal_assertions(); /* run every case */
	curl_global_init(CURL_GLOBAL_ALL);
	CASES("/refused/between", between_cases, test_between);
	CASES("/refused/ended-primary", ended_cases, test_ended_primary);
	CASES("/refused/restart", restart_cases, test_restart);
	CASES("/refused/reset", reset_cases, test_reset);
	CASES(
	    "/refused/taken-address", taken_address_cases, test_taken_address);
	return g_test_run();
}
