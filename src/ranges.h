#ifndef RANGES_H
#define RANGES_H

#include <stdint.h>

/* The inclusive bounds of one numeric field of the schema. */
typedef struct range {
	const char *message;
	const char *field;
	uint64_t min;
	uint64_t max;
} range_t;

extern const range_t ranges[];
extern const uint32_t ranges_count;

#endif
