#ifndef DECIDE_RANKQ_H
#define DECIDE_RANKQ_H

#include "decide.h"

#include <glib.h>

/*
 * Priority queue for the statements of one group.  The most urgent rank is
 * served first, but each rank has a floor, a guaranteed minimum share of what
 * is served.  Within a rank the accounts are served round robin.
 */
typedef struct rankq rankq_t;

/* Queue entry of one statement, embedded in the structure of its owner. */
typedef struct rankq_item {
	uint32_t rank; /* 0 is the most urgent */
	const char *account;
	int64_t deadline_us;
	int64_t queued_us; /* time it was queued; set by the owner */
	void *owner;       /* structure that contains the item */
	bool queued;
	void *account_queue; /* account_queue_t; private to the queue */
	GList link;          /* private to the queue */
} rankq_item_t;

rankq_t *rankq_new(const uint32_t floor_percent[RANKS]);
void rankq_free(rankq_t *);
void rankq_set_floors(rankq_t *, const uint32_t floor_percent[RANKS]);
void rankq_push(rankq_t *, rankq_item_t *, bool front);
rankq_item_t *rankq_pop(rankq_t *);
void rankq_remove(rankq_t *, rankq_item_t *);
rankq_item_t *rankq_expired(rankq_t *, int64_t now_us);
uint32_t rankq_count(const rankq_t *);
bool rankq_admits(
    const rankq_t *, uint32_t rank, const char *account, uint32_t limit);
int64_t rankq_expected_wait_us(const rankq_t *, uint32_t rank,
    const char *account, double served_per_second);

#endif
