#include "log.h"

#include "bergamotplank.h"

#include <stdio.h>
#include <time.h>

static GLogLevelFlags log_highest = G_LOG_LEVEL_INFO;

static const GLogLevelFlags levels[] = {
    [BP__LOG_LEVEL__ERROR] = G_LOG_LEVEL_CRITICAL,
    [BP__LOG_LEVEL__WARNING] = G_LOG_LEVEL_WARNING,
    [BP__LOG_LEVEL__INFO] = G_LOG_LEVEL_INFO,
    [BP__LOG_LEVEL__DEBUG] = G_LOG_LEVEL_DEBUG,
};

/*
 * The GLib level that a setting names.
 */
GLogLevelFlags
log_highest_of(Bp__LogLevel level)
{
	return levels[level];
}

/*
 * Microseconds of CLOCK_BOOTTIME, which runs on while the VM is paused.
 */
int64_t
clock_us(void)
{
	struct timespec ts;

	clock_gettime(CLOCK_BOOTTIME, &ts);
	return (int64_t)ts.tv_sec * G_USEC_PER_SEC + ts.tv_nsec / 1000;
}

/*
 * Milliseconds of CLOCK_BOOTTIME.
 */
int64_t
clock_ms(void)
{
	return clock_us() / US_PER_MS;
}

/*
 * Write one structured line to standard error when its level is wanted.
 */
static GLogWriterOutput
log_writer(GLogLevelFlags level, const GLogField *fields, gsize count,
    gpointer context)
{
	(void)context;
	if ((level & G_LOG_LEVEL_MASK) > log_highest)
		return G_LOG_WRITER_HANDLED;
	return g_log_writer_standard_streams(level, fields, count, NULL);
}

/*
 * Send all logs of the process to standard error, up to and with this level.
 */
void
log_start(GLogLevelFlags highest)
{
	log_highest = highest;
	g_log_set_writer_func(log_writer, NULL, NULL);
	g_log_writer_default_set_use_stderr(TRUE);
}

/*
 * Log one short sentence under the prefix of its part.
 */
void
log_line(const char *part, GLogLevelFlags level, const char *file,
    const char *line, const char *format, ...)
{
	char text[1024];
	va_list ap;

	if (level > log_highest)
		return;
	va_start(ap, format);
	g_vsnprintf(text, sizeof(text), format, ap);
	va_end(ap);
	g_log_structured("bergamotplank", level, "CODE_FILE", file, "CODE_LINE",
	    line, "BERGAMOTPLANK_PART", part, "MESSAGE", "%s: %s", part, text);
}

/*
 * Whether one more line of a kind may be written.  *left_out: how many were
 * not in the second before, to be told with the first line of a new one.
 */
bool
log_spend(log_budget_t *budget, int64_t now_us, uint32_t lines_per_second,
    uint32_t *left_out)
{
	*left_out = 0;
	if (now_us - budget->second_us >= G_USEC_PER_SEC) {
		*left_out = budget->left_out;
		budget->second_us = now_us;
		budget->lines = budget->left_out = 0;
	}
	if (budget->lines >= lines_per_second) {
		budget->left_out++;
		return false;
	}
	budget->lines++;
	return true;
}
