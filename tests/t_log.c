#include "../gen/event.pb-c.h"
#include "../src/log.h"
#include "cases.h"

#include <fcntl.h>
#include <string.h>
#include <unistd.h>

/* Tests of the log: formatting, a pipe that is full, and rate limits. */

/* Number of log lines, more than a pipe holds. */
#define PIPE_LINES 4096

typedef struct line_case {
	const char *name;
	const char *text;     /* text of the Note event */
	uint32_t repeat;      /* copies of the text */
	const char *expected; /* part of the line that is written */
} line_case_t;

static const line_case_t line_cases[] = {
    {"a short sentence", "All is well.", 1,
	"\"level\":\"warning\",\"event\":\"note\",\"part\":\"p\","
	"\"text\":\"All is well.\"}\n"},
    {"quotes and control characters", "a\"b\nc", 1, "a\\\"b\\nc"},
    {"invalid UTF-8", "\xff\xfe", 1, "\xef\xbf\xbd\xef\xbf\xbd"},
    {"an event that is too long", "0123456789", 1000,
	"An event Note of 10022 bytes is too long."},
};

/*
 * Read all data that is in a pipe, without blocking.
 */
static char *
pipe_read(int fd)
{
	GString *data = g_string_new(NULL);
	char buffer[4096];
	ssize_t n;

	fcntl(fd, F_SETFL, O_NONBLOCK);
	while ((n = read(fd, buffer, sizeof(buffer))) > 0)
		g_string_append_len(data, buffer, n);
	return g_string_free(data, FALSE);
}

/*
 * Test that an event is written as one line of JSON, and that events below the
 * level are not written.
 */
static void
test_line(gconstpointer data)
{
	const line_case_t *c = data;
	Bp__Note note = BP__NOTE__INIT;
	GString *text = g_string_new(NULL);
	char *line;
	uint32_t i;
	int fds[2];

	g_assert_cmpint(pipe(fds), ==, 0);
	log_start(G_LOG_LEVEL_WARNING, fds[1]);
	for (i = 0; i < c->repeat; i++)
		g_string_append(text, c->text);
	note.part = (char *)"p";
	note.text = text->str;
	log_event(G_LOG_LEVEL_WARNING, &note.base);
	/* below the log level, so not written */
	log_event(G_LOG_LEVEL_INFO, &note.base);
	line = pipe_read(fds[0]);
	g_assert_true(g_str_has_prefix(line, "{\"time\":\"20"));
	g_assert_nonnull(strstr(line, c->expected));
	g_assert_true(strchr(line, '\n') == line + strlen(line) - 1);
	log_start(G_LOG_LEVEL_WARNING, STDERR_FILENO);
	g_free(line);
	g_string_free(text, TRUE);
	close(fds[0]);
	close(fds[1]);
}

/*
 * Test that a full pipe does not block the writer: lines are dropped, and their
 * number is logged once there is room again.
 */
static void
test_full_pipe(void)
{
	uint32_t i;
	char *text;
	int fds[2];

	g_assert_cmpint(pipe(fds), ==, 0);
	log_start(G_LOG_LEVEL_WARNING, fds[1]);
	for (i = 0; i < PIPE_LINES; i++)
		log_line("p", G_LOG_LEVEL_WARNING, "Line %u.", i);
	text = pipe_read(fds[0]);
	g_assert_nonnull(strstr(text, "Line 0."));
	g_assert_null(strstr(text, "lines_lost"));
	g_assert_null(strstr(text, "Line 4095."));
	g_free(text);
	log_line("p", G_LOG_LEVEL_WARNING, "The reader is back.");
	text = pipe_read(fds[0]);
	g_assert_nonnull(strstr(text, "\"event\":\"lines_lost\",\"lines\":"));
	g_assert_nonnull(strstr(text, "The reader is back."));
	log_start(G_LOG_LEVEL_WARNING, STDERR_FILENO);
	g_free(text);
	close(fds[0]);
	close(fds[1]);
}

typedef struct rate_limit_case {
	const char *name;
	uint32_t lines_per_second;
	int64_t now_us[6];            /* time of each line */
	bool written[6];              /* the line is written */
	uint32_t lines_suppressed[6]; /* number reported with the line */
	uint32_t count;               /* number of lines */
} rate_limit_case_t;

static const rate_limit_case_t rate_limit_cases[] = {
    {"within the limit", 2, {5000000, 5000001}, {true, true}, {0, 0}, 2},
    {"above the limit", 2, {5000000, 5000001, 5000002, 5000003},
	{true, true, false, false}, {0, 0, 0, 0}, 4},
    {"suppressed lines reported in the next second", 1,
	{5000000, 5000001, 5000002, 6000000}, {true, false, false, true},
	{0, 0, 0, 2}, 4},
    {"suppressed lines reported once", 1, {5000000, 5000001, 6000000, 7000000},
	{true, false, true, true}, {0, 0, 1, 0}, 4},
};

/*
 * Test that at most lines_per_second lines of one kind are written in a second.
 */
static void
test_rate_limit(gconstpointer data)
{
	const rate_limit_case_t *c = data;
	log_rate_limit_t rate_limit = {0};
	uint32_t i, lines_suppressed;

	for (i = 0; i < c->count; i++) {
		g_assert_cmpint(log_rate_limit_allow(&rate_limit, c->now_us[i],
				    c->lines_per_second, &lines_suppressed),
		    ==, c->written[i]);
		g_assert_cmpuint(lines_suppressed, ==, c->lines_suppressed[i]);
	}
}

/*
 * Register the tests and run them.
 */
int
main(int argc, char **argv)
{
	g_test_init(&argc, &argv, NULL);
	CASES("/log/line", line_cases, test_line);
	CASES("/log/rate-limit", rate_limit_cases, test_rate_limit);
	g_test_add_func("/log/full-pipe", test_full_pipe);
	return g_test_run();
}
