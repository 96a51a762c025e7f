#include "../tools/fleet.h"
#include "cases.h"

#include <curl/curl.h>
#include <glib/gstdio.h>
#include <signal.h>
#include <string.h>
#include <unistd.h>

/* Tests of the command line and of the shutdown of a daemon by signals. */

#define READY_MS 15000
#define ARGUMENTS_MAX 4

typedef struct command_case {
	const char *name;
	const char *arguments[ARGUMENTS_MAX]; /* FILE: path of the test file */
	const char *file_text;       /* contents of the test file; NULL: none */
	int status;                  /* expected exit status */
	const char *output_parts[3]; /* texts that the output contains */
} command_case_t;

static const command_case_t command_cases[] = {
    {"no arguments", {NULL}, NULL, 2, {"usage: bergamotplank"}},
    {"help", {"--help"}, NULL, 0, {"serve", "proxy", "check"}},
    {"help lists status", {"--help"}, NULL, 0, {"status"}},
    {"version", {"--version"}, NULL, 0, {"bergamotplank 0."}},
    {"unknown command", {"fly"}, NULL, 2, {"unknown command fly"}},
    {"help of serve", {"serve", "--help"}, NULL, 0, {"usage", "--file"}},
    {"help of check", {"check", "--help"}, NULL, 0, {"usage", "FILE"}},
    {"help of status", {"status", "--help"}, NULL, 0, {"ADDRESS:PORT"}},
    {"check of settings", {"check", "examples/bergamotplank.json"}, NULL, 0,
	{"valid settings file"}},
    {"check of a document", {"check", "examples/quotes-db.json"}, NULL, 0,
	{"valid document"}},
    {"check of a proxy's settings", {"check", "examples/proxy.json"}, NULL, 0,
	{"valid settings file of a proxy"}},
    {"check of a proxy's invalid settings", {"check", "FILE"},
	"{\"name\": \"e\", \"zone\": \"z\",\n\"client_address\": "
	"\"here\", \"ready_address\": \"127.0.0.1:2\", "
	"\"peer_address\": \"127.0.0.1:3\",\n"
	"\"store_address\": \"127.0.0.1:4\", \"grace_s\": 0}",
	1, {"\"client_address\" must be IP:PORT", "\"grace_s\" must be"}},
    {"check of a proxy's share of a core", {"check", "FILE"},
	"{\"name\": \"a\", \"zone\": \"z\", "
	"\"client_address\": \"127.0.0.1:1\", "
	"\"ready_address\": \"127.0.0.1:2\", "
	"\"peer_address\": \"127.0.0.1:3\", "
	"\"store_address\": \"127.0.0.1:4\", \"core_share\": 0}",
	1, {"\"core_share\" must be above 0"}},
    {"check of a proxy's waits, its own watch", {"check", "FILE"},
	"{\"name\": \"a\", \"zone\": \"z\", "
	"\"client_address\": \"127.0.0.1:1\", "
	"\"ready_address\": \"127.0.0.1:2\", "
	"\"peer_address\": \"127.0.0.1:3\", "
	"\"store_address\": \"127.0.0.1:4\",\n"
	"\"timeouts\": {\"config_apply_ms\": 3000, \"config_watch_ms\": 1600}}",
	1, {"a change may take 3050 ms by \"config_watch_ms\""}},
    {"check of a proxy's waits, the news", {"check", "FILE"},
	"{\"name\": \"a\", \"zone\": \"z\", "
	"\"client_address\": \"127.0.0.1:1\", "
	"\"ready_address\": \"127.0.0.1:2\", "
	"\"peer_address\": \"127.0.0.1:3\", "
	"\"store_address\": \"127.0.0.1:4\",\n"
	"\"timeouts\": {\"config_apply_ms\": 3000, \"news_valid_ms\": 1600}}",
	1, {"a change may take 3050 ms by \"news_valid_ms\""}},
    {"check of a proxy's waits, the watch behind the news", {"check", "FILE"},
	"{\"name\": \"a\", \"zone\": \"z\", "
	"\"client_address\": \"127.0.0.1:1\", "
	"\"ready_address\": \"127.0.0.1:2\", "
	"\"peer_address\": \"127.0.0.1:3\", "
	"\"store_address\": \"127.0.0.1:4\",\n"
	"\"timeouts\": {\"config_apply_ms\": 3000, \"news_watch_ms\": 1140}}",
	1, {"\"news_watch_ms\" (1140) must be less than"}},
    {"proxy without settings", {"proxy"}, NULL, 2, {"usage"}},
    {"proxy with invalid settings", {"proxy", "-f", "FILE"}, "{}", 1,
	{"missing key \"store_address\""}},
    {"check without a file", {"check"}, NULL, 2, {"usage"}},
    {"check of a missing file", {"check", "/nonexistent"}, NULL, 1,
	{"No such file"}},
    {"check reports every error", {"check", "FILE"},
	"{\"team\": \"t\",\n\"colour\": 1,\n\"service\": 5}", 1,
	{":2: unknown key \"colour\"", ":3: \"service\""}},
    {"check of random bytes", {"check", "FILE"}, "\x01\x02\xff\xfe{{", 1,
	{":1: "}},
    {"serve without settings", {"serve"}, NULL, 2, {"usage"}},
    {"serve with a missing file", {"serve", "-f", "/nonexistent"}, NULL, 1,
	{"No such file"}},
    {"serve with invalid settings", {"serve", "-f", "FILE"},
	"{\"name\": \"e\",\n\"limits\": {\"body_bytes\": 1}}", 1,
	{":2: \"body_bytes\"", "missing key \"platform\""}},
    {"status of a closed port", {"status", "127.0.0.1:9"}, NULL, 1,
	{"bergamotplank status: 127.0.0.1:9"}},
    {"status of an invalid address", {"status", "here there"}, NULL, 1,
	{"bergamotplank status"}},
};

/*
 * Test the exit status and the output of a command line.
 */
static void
test_command(gconstpointer data)
{
	const command_case_t *c = data;
	char *path = g_build_filename(
	    g_get_tmp_dir(), "bergamotplank-command.json", NULL);
	const char *argv[ARGUMENTS_MAX + 2] = {"build/bergamotplank"};
	GSubprocess *process;
	char *stdout_text, *stderr_text, *output;
	uint32_t i;

	if (g_getenv("BP_BUILD") != NULL)
		argv[0] = g_build_filename(
		    g_getenv("BP_BUILD"), "bergamotplank", NULL);
	if (c->file_text != NULL)
		g_assert_true(
		    g_file_set_contents(path, c->file_text, -1, NULL));
	for (i = 0; i < ARGUMENTS_MAX && c->arguments[i] != NULL; i++)
		argv[i + 1] = strcmp(c->arguments[i], "FILE") == 0
		    ? path
		    : c->arguments[i];
	process = g_subprocess_newv(argv,
	    G_SUBPROCESS_FLAGS_STDOUT_PIPE | G_SUBPROCESS_FLAGS_STDERR_PIPE,
	    NULL);
	g_assert_true(g_subprocess_communicate_utf8(
	    process, NULL, NULL, &stdout_text, &stderr_text, NULL));
	output = g_strconcat(stdout_text, stderr_text, NULL);
	g_assert_true(g_subprocess_get_if_exited(process));
	g_assert_cmpint(g_subprocess_get_exit_status(process), ==, c->status);
	for (i = 0;
	     i < G_N_ELEMENTS(c->output_parts) && c->output_parts[i] != NULL;
	     i++)
		g_assert_nonnull(strstr(output, c->output_parts[i]));
	g_unlink(path);
	g_free(output);
	g_free(stdout_text);
	g_free(stderr_text);
	g_free(path);
	g_object_unref(process);
}

typedef struct stop_case {
	const char *name;
	int signals[2];       /* second signal: 0 if none is sent */
	uint32_t drain_ms;    /* setting of the daemon */
	bool transaction;     /* a transaction is open at the first signal */
	uint32_t exit_min_ms; /* earliest exit after the first signal */
	uint32_t exit_max_ms; /* latest exit after the first signal */
} stop_case_t;

static const stop_case_t stop_cases[] = {
    {"SIGTERM without open transactions", {SIGTERM, 0}, 10000, false, 0, 3000},
    {"SIGINT without open transactions", {SIGINT, 0}, 10000, false, 0, 3000},
    {"SIGTERM waits for a transaction until drain_ms", {SIGTERM, 0}, 1500, true,
	1200, 4000},
    {"a second signal ends the daemon at once", {SIGTERM, SIGTERM}, 60000, true,
	500, 3000},
    {"SIGINT then SIGTERM", {SIGINT, SIGTERM}, 60000, true, 500, 3000},
};

/*
 * Test that a daemon exits with status 0 after a signal: when no transaction is
 * open, when drain_ms have passed, or at the second signal.
 */
static void
test_stop(gconstpointer data)
{
	const stop_case_t *c = data;
	fleet_plan_t plan = {.daemons = 1,
	    .tickets_groups = 1,
	    .service_ms = 1,
	    .drain_ms = c->drain_ms};
	fleet_t *fleet = fleet_start(&plan);
	arena_t *arena = arena_new();
	int64_t started_us;
	int status = -1;

	g_assert_true(fleet_wait_ready(fleet, READY_MS));
	if (c->transaction)
		g_assert_nonnull(fleet_send_statement(fleet, arena, 0,
		    "{\"team\":\"tickets\",\"account\":\"bench\","
		    "\"work\":\"quote-revision\",\"key\":\"k\","
		    "\"action\":\"begin\"}")
				     ->transaction);
	started_us = g_get_monotonic_time();
	fleet_process_signal(&fleet->daemons[0], c->signals[0]);
	if (c->exit_min_ms > 0)
		g_assert_false(fleet_process_wait_exit(
		    &fleet->daemons[0], c->exit_min_ms, NULL));
	if (c->signals[1] != 0)
		fleet_process_signal(&fleet->daemons[0], c->signals[1]);
	g_assert_true(fleet_process_wait_exit(
	    &fleet->daemons[0], c->exit_max_ms, &status));
	g_assert_cmpint(status, ==, 0);
	g_assert_cmpint(
	    g_get_monotonic_time() - started_us, <, c->exit_max_ms * US_PER_MS);
	arena_free(arena);
	fleet_stop(fleet);
}

/*
 * Register the tests and run them.
 */
int
main(int argc, char **argv)
{
	g_test_init(&argc, &argv, NULL);
	curl_global_init(CURL_GLOBAL_ALL);
	log_start(G_LOG_LEVEL_WARNING, STDERR_FILENO);
	CASES("/command", command_cases, test_command);
	CASES("/stop", stop_cases, test_stop);
	return g_test_run();
}
