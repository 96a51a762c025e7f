#include "rankq.h"

#include <string.h>

/*
 * Some of what is taken out ends too late to count; a rank is offered this
 * much more than its floor so that it keeps the floor in work that counts.
 */
#define FLOOR_MARGIN 1.04

/* A rank that was passed over saves up to this many turns of its floor. */
#define CREDIT_MAX 2.0

/* The statements of one account in one rank. */
typedef struct turn {
	char *account;
	GQueue items; /* of rankq_item_t links */
	GList link;   /* in the rank's round */
} turn_t;

typedef struct rank_queue {
	GHashTable *turns; /* by account; those with something waiting */
	GQueue round;
	uint32_t count;
	double floor;
	double credit;
} rank_queue_t;

struct rankq {
	rank_queue_t ranks[RANKS];
	uint32_t count;
};

/*
 * Free one turn; nothing waits in it.
 */
static void
turn_free(gpointer p)
{
	turn_t *turn = p;

	g_free(turn->account);
	g_free(turn);
}

/*
 * Make an empty queue.
 */
rankq_t *
rankq_new(const uint32_t floor_percent[RANKS])
{
	rankq_t *q = g_new0(rankq_t, 1);
	uint32_t i;

	for (i = 0; i < RANKS; i++) {
		q->ranks[i].turns = g_hash_table_new_full(
		    g_str_hash, g_str_equal, NULL, turn_free);
		g_queue_init(&q->ranks[i].round);
	}
	rankq_set_floors(q, floor_percent);
	return q;
}

/*
 * Free a queue; the items belong to their owners.
 */
void
rankq_free(rankq_t *q)
{
	uint32_t i;

	for (i = 0; i < RANKS; i++)
		g_hash_table_unref(q->ranks[i].turns);
	g_free(q);
}

/*
 * Set the floor share of each rank, in percent of what is served.
 */
void
rankq_set_floors(rankq_t *q, const uint32_t floor_percent[RANKS])
{
	uint32_t i;

	for (i = 0; i < RANKS; i++)
		q->ranks[i].floor = floor_percent[i] * FLOOR_MARGIN / 100.0;
}

/*
 * Queue an item; front is for one that has waited already.
 */
void
rankq_push(rankq_t *q, rankq_item_t *item, bool front)
{
	rank_queue_t *rank = &q->ranks[item->rank];
	turn_t *turn = g_hash_table_lookup(rank->turns, item->account);

	if (turn == NULL) {
		turn = g_new0(turn_t, 1);
		turn->account = g_strdup(item->account);
		turn->link.data = turn;
		g_queue_init(&turn->items);
		g_hash_table_insert(rank->turns, turn->account, turn);
		g_queue_push_tail_link(&rank->round, &turn->link);
	}
	item->turn = turn;
	item->queued = true;
	item->link = (GList){item, NULL, NULL};
	if (front)
		g_queue_push_head_link(&turn->items, &item->link);
	else
		g_queue_push_tail_link(&turn->items, &item->link);
	rank->count++;
	q->count++;
}

/*
 * Take an item out, wherever it waits.
 */
void
rankq_remove(rankq_t *q, rankq_item_t *item)
{
	rank_queue_t *rank = &q->ranks[item->rank];
	turn_t *turn = item->turn;

	g_queue_unlink(&turn->items, &item->link);
	item->queued = false;
	item->turn = NULL;
	rank->count--;
	q->count--;
	if (g_queue_is_empty(&turn->items)) {
		g_queue_unlink(&rank->round, &turn->link);
		g_hash_table_remove(rank->turns, turn->account);
	}
}

/*
 * The rank to serve now: one whose saved floor share is due, else the most
 * urgent that has something waiting.
 */
static int32_t
rank_pick(rankq_t *q)
{
	int32_t i, first = -1, due = -1;

	for (i = 0; i < RANKS; i++) {
		rank_queue_t *rank = &q->ranks[i];

		if (rank->count == 0)
			continue;
		if (first < 0)
			first = i;
		rank->credit = MIN(rank->credit + rank->floor, CREDIT_MAX);
		if (rank->credit >= 1.0 &&
		    (due < 0 || rank->credit > q->ranks[due].credit))
			due = i;
	}
	return due >= 0 ? due : first;
}

/*
 * Take the next item to serve, or NULL.
 */
rankq_item_t *
rankq_pop(rankq_t *q)
{
	int32_t picked = rank_pick(q);
	rank_queue_t *rank;
	rankq_item_t *item;
	turn_t *turn;

	if (picked < 0)
		return NULL;
	rank = &q->ranks[picked];
	rank->credit = MAX(rank->credit - 1.0, 0.0);
	turn = g_queue_peek_head(&rank->round);
	item = g_queue_peek_head(&turn->items);
	g_queue_unlink(&rank->round, &turn->link);
	g_queue_push_tail_link(&rank->round, &turn->link);
	rankq_remove(q, item);
	return item;
}

/*
 * An item whose deadline has passed, taken out, or NULL.  Items of an account
 * wait in order, so only the first of each needs a look, but for those whose
 * deadlines differ: they are found when they come first.
 */
rankq_item_t *
rankq_expired(rankq_t *q, int64_t now_us)
{
	uint32_t i;
	GList *l;

	for (i = 0; i < RANKS; i++) {
		for (l = q->ranks[i].round.head; l != NULL; l = l->next) {
			turn_t *turn = l->data;
			rankq_item_t *item = g_queue_peek_head(&turn->items);

			if (item->deadline_us <= now_us) {
				rankq_remove(q, item);
				return item;
			}
		}
	}
	return NULL;
}

/*
 * How many items wait.
 */
uint32_t
rankq_count(const rankq_t *q)
{
	return q->count;
}

/*
 * Tell whether a rank has room for one more item of an account.  Up to half
 * of the limit anybody may use; beyond that an account gets no more than its
 * part, so that one in a flood leaves room for the others.  At most one and
 * a half times the limit waits.
 */
bool
rankq_admits(
    const rankq_t *q, uint32_t rank_number, const char *account, uint32_t limit)
{
	const rank_queue_t *rank = &q->ranks[rank_number];
	const turn_t *own = g_hash_table_lookup(rank->turns, account);
	uint32_t accounts = g_hash_table_size(rank->turns) + (own == NULL);

	if (rank->count < limit / 2 || own == NULL)
		return rank->count < limit + limit / 2;
	return own->items.length < limit / accounts;
}

/*
 * How many items of a rank come before a new one of this account, when the
 * accounts take turns.
 */
static uint32_t
ahead_in_rank(const rank_queue_t *rank, const char *account)
{
	const turn_t *own = g_hash_table_lookup(rank->turns, account);
	uint32_t own_count = own == NULL ? 0 : own->items.length;
	uint32_t ahead = 0;
	GList *l;

	for (l = rank->round.head; l != NULL; l = l->next) {
		const turn_t *turn = l->data;

		ahead += MIN(turn->items.length, own_count + 1);
	}
	return ahead;
}

/*
 * Estimate how long a new item would wait when this many are served a second
 * in all.  Its floor share bounds what more urgent work can do to it.
 */
int64_t
rankq_wait_us(const rankq_t *q, uint32_t rank, const char *account,
    double served_per_second)
{
	uint32_t own = ahead_in_rank(&q->ranks[rank], account);
	double by_order = own, by_floor, items;
	uint32_t i;

	if (served_per_second <= 0)
		return 0;
	for (i = 0; i < rank; i++)
		by_order += q->ranks[i].count;
	items = by_order;
	if (q->ranks[rank].floor > 0) {
		by_floor = (own + 1) / q->ranks[rank].floor;
		items = MIN(items, by_floor);
	}
	return (int64_t)(items / served_per_second * US_PER_SECOND);
}
