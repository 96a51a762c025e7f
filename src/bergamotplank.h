#ifndef BERGAMOTPLANK_H
#define BERGAMOTPLANK_H

#include <glib.h>
#include <protobuf-c/protobuf-c.h>
#include <stdbool.h>
#include <stdint.h>

/* Memory, clocks, logs and input errors, for every part of the program. */

#define BP_VERSION "0.1.0"

#define US_PER_MS INT64_C(1000)
#define MS_PER_S 1000

/* An arena allocator (talloc): the allocations are freed with their arena. */
typedef void arena_t;

arena_t *arena_new(void);
void arena_free(arena_t *);
void arena_steal(arena_t *, const void *);
void *arena_zalloc(arena_t *, uint64_t);
char *arena_strdup(arena_t *, const char *);
char *arena_strndup(arena_t *, const char *, uint64_t);
char *arena_printf(arena_t *, const char *, ...) G_GNUC_PRINTF(2, 3);
void *arena_memdup(arena_t *, const void *, uint64_t);

/* Protobuf messages that are allocated in an arena. */
ProtobufCMessage *message_new(arena_t *, const ProtobufCMessageDescriptor *);
ProtobufCMessage *message_unpack(
    arena_t *, const ProtobufCMessageDescriptor *, const uint8_t *, uint32_t);
ProtobufCMessage *message_copy(arena_t *, const ProtobufCMessage *);
uint8_t *message_pack(arena_t *, const ProtobufCMessage *, uint32_t *);

/* Current CLOCK_BOOTTIME, which keeps running while the VM is paused. */
int64_t clock_us(void);
int64_t clock_ms(void);

/*
 * The log: one line of JSON for each event up to the level given to
 * log_start().  log_line() logs a text for a named part of the program.
 */
void log_event(GLogLevelFlags, const ProtobufCMessage *);
void log_line(const char *, GLogLevelFlags, const char *, ...)
    G_GNUC_PRINTF(3, 4);
void log_start(GLogLevelFlags, int32_t fd);

/* An error in a JSON text: a settings file, a document or a request. */
typedef struct input_error {
	uint32_t line;
	char *reason;
} input_error_t;

/* The errors found in one JSON text, allocated in an arena. */
typedef struct input_errors {
	arena_t *arena;
	input_error_t *list;
	uint32_t count;
	GHashTable *message_lines; /* first line of each message, or NULL */
} input_errors_t;

uint32_t input_errors_line_of(const input_errors_t *, const void *message);
void input_errors_add(input_errors_t *, uint32_t, const char *, ...)
    G_GNUC_PRINTF(3, 4);

#endif
