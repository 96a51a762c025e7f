#include "../src/decide/clock_offset.h"
#include "../src/decide/config_delay.h"
#include "../src/decide/refresh.h"
#include "cases.h"

/*
 * Tests of the waits by which a change of the configuration comes into force,
 * and of the age of what another daemon tells.
 */

#define MS(ms) ((ms)*INT64_C(1000))

typedef struct delay_case {
	const char *name;
	config_delay_t set;    /* 0: derived */
	config_delay_t filled; /* after config_delay_fill() */
	uint32_t own_ms;
	uint32_t news_ms;
} delay_case_t;

static const delay_case_t delay_cases[] = {
    {"5 s", {5000, 600, 0, 0, 0}, {5000, 600, 2500, 1250, 1900}, 3950, 3350},
    {"the defaults", {3000, 600, 0, 0, 0}, {3000, 600, 1500, 750, 1140}, 2950,
	2590},
    {"a short bound", {2600, 600, 0, 0, 0}, {2600, 600, 1150, 650, 988}, 2600,
	2450},
    {"a bound below the timeouts", {800, 600, 0, 0, 0}, {800, 600, 50, 32, 50},
	1500, 2450},
    {"waits that are set", {5000, 600, 3000, 900, 2000},
	{5000, 600, 3000, 900, 2000}, 4450, 3450},
    {"less than the interval of requests", {5000, 600, 0, 200, 500},
	{5000, 600, 2500, 200, 500}, 3950, 2450},
    {"the longest bound", {60000, 600, 0, 0, 0},
	{60000, 600, 30000, 15000, 22800}, 31450, 24250},
};

/*
 * Test how the bound is split, and the sums.
 */
static void
test_delay(gconstpointer data)
{
	const delay_case_t *c = data;
	config_delay_t delay = c->set;

	config_delay_fill(&delay);
	g_assert_cmpuint(delay.watch_ms, ==, c->filled.watch_ms);
	g_assert_cmpuint(delay.news_watch_ms, ==, c->filled.news_watch_ms);
	g_assert_cmpuint(delay.news_valid_ms, ==, c->filled.news_valid_ms);
	g_assert_cmpuint(config_delay_own_ms(&delay), ==, c->own_ms);
	g_assert_cmpuint(config_delay_news_ms(&delay), ==, c->news_ms);
}

#define MESSAGES_MAX 5

/* Times in ms: sent, in the sender's clock; arrived and expected in ours. */
typedef struct clock_message {
	int64_t sent_ms;
	int64_t arrived_ms;
	int64_t expected_ms;
} clock_message_t;

typedef struct clock_case {
	const char *name;
	clock_message_t messages[MESSAGES_MAX];
} clock_case_t;

static const clock_case_t clock_cases[] = {
    {"the first message counts as undelayed", {{5000, 100, 100}}},
    {"a message that waited", {{5000, 100, 100}, {5500, 1900, 600}}},
    {"a first message that waited",
	{{5000, 900, 900}, {5500, 620, 620}, {6000, 1120, 1120}}},
    {"a sender that stood still",
	{{5000, 100, 100}, {5000, 1400, 100}, {35000, 31400, 30100},
	    {65000, 61400, 61400}}},
    {"clocks of different speed",
	{{5000, 100, 100}, {35000, 30103, 30100}, {65000, 60106, 60103},
	    {95000, 90109, 90106}}},
    {"after a long silence", {{5000, 100, 100}, {500000, 600100, 600100}}},
};

/*
 * Test the conversion of send times.
 */
static void
test_clock(gconstpointer data)
{
	const clock_case_t *c = data;
	clock_offset_t offset = {0};
	uint32_t i;

	for (i = 0; i < MESSAGES_MAX && c->messages[i].sent_ms != 0; i++) {
		const clock_message_t *message = &c->messages[i];

		g_assert_cmpint(
		    clock_offset_convert(
			&offset, MS(message->sent_ms), MS(message->arrived_ms)),
		    ==, MS(message->expected_ms));
	}
}

int
main(int argc, char **argv)
{
	g_test_init(&argc, &argv, NULL);
	CASES("/config-delay/split", delay_cases, test_delay);
	CASES("/config-delay/clock", clock_cases, test_clock);
	return g_test_run();
}
