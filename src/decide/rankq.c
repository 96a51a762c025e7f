#include "rankq.h"

#include <string.h>

/*
 * Some statements taken from the queue finish after their deadline.  A rank is
 * served this much more than its floor, so that the statements which finish in
 * time still make up the floor.
 */
#define FLOOR_MARGIN 1.04

/*
 * Maximum credit of a rank, in statements.  While statements of a rank
 * wait, it earns its floor with each statement that the queue serves, and it
 * spends 1 for each statement of its own.
 */
#define CREDIT_MAX 2.0

/* Statements of one account in one rank. */
typedef struct account_queue {
	char *account;
	GQueue items; /* links of rankq_item_t, in the order to serve */
	GList link;   /* in the round_robin list of the rank */
} account_queue_t;

/* Statements of one rank. */
typedef struct rank_queue {
	GHashTable *accounts; /* of account_queue_t by account; none is empty */
	GQueue round_robin;   /* of account_queue_t; the next one is the head */
	uint32_t count;
	double floor;  /* minimum share of what is served, 0 to 1 */
	double credit; /* statements to serve ahead of other ranks */
} rank_queue_t;

struct rankq {
	rank_queue_t ranks[RANKS];
	uint32_t count;
};

/*
 * Free the queue of an account.
 */
static void
account_queue_free(gpointer p)
{
	account_queue_t *queue = p;

	g_free(queue->account);
	g_free(queue);
}

/*
 * Create an empty queue.
 */
rankq_t *
rankq_new(const uint32_t floor_percent[RANKS])
{
	rankq_t *q = g_new0(rankq_t, 1);
	uint32_t i;

	for (i = 0; i < RANKS; i++) {
		q->ranks[i].accounts = g_hash_table_new_full(
		    g_str_hash, g_str_equal, NULL, account_queue_free);
		g_queue_init(&q->ranks[i].round_robin);
	}
	rankq_set_floors(q, floor_percent);
	return q;
}

/*
 * Free a queue.  The items are not freed, since their owners contain them.
 */
void
rankq_free(rankq_t *q)
{
	uint32_t i;

	for (i = 0; i < RANKS; i++)
		g_hash_table_unref(q->ranks[i].accounts);
	g_free(q);
}

/*
 * Set the floor of each rank, in percent of the statements that are served.
 */
void
rankq_set_floors(rankq_t *q, const uint32_t floor_percent[RANKS])
{
	uint32_t i;

	for (i = 0; i < RANKS; i++)
		q->ranks[i].floor = floor_percent[i] * FLOOR_MARGIN / 100.0;
}

/*
 * Queue an item behind the others of its account, or in front of them when it
 * has been queued before and goes back.
 */
void
rankq_push(rankq_t *q, rankq_item_t *item, bool front)
{
	rank_queue_t *rank = &q->ranks[item->rank];
	account_queue_t *queue =
	    g_hash_table_lookup(rank->accounts, item->account);

	if (queue == NULL) {
		queue = g_new0(account_queue_t, 1);
		queue->account = g_strdup(item->account);
		queue->link.data = queue;
		g_queue_init(&queue->items);
		g_hash_table_insert(rank->accounts, queue->account, queue);
		g_queue_push_tail_link(&rank->round_robin, &queue->link);
	}
	item->account_queue = queue;
	item->queued = true;
	item->link = (GList){item, NULL, NULL};
	if (front)
		g_queue_push_head_link(&queue->items, &item->link);
	else
		g_queue_push_tail_link(&queue->items, &item->link);
	rank->count++;
	q->count++;
}

/*
 * Remove an item, whatever its place in the queue.
 */
void
rankq_remove(rankq_t *q, rankq_item_t *item)
{
	rank_queue_t *rank = &q->ranks[item->rank];
	account_queue_t *queue = item->account_queue;

	g_queue_unlink(&queue->items, &item->link);
	item->queued = false;
	item->account_queue = NULL;
	rank->count--;
	q->count--;
	if (g_queue_is_empty(&queue->items)) {
		g_queue_unlink(&rank->round_robin, &queue->link);
		g_hash_table_remove(rank->accounts, queue->account);
	}
}

/*
 * Select the rank to serve: the one with the most credit if that is enough for
 * a statement, otherwise the most urgent one with statements waiting.  Returns
 * -1 when the queue is empty.
 */
static int32_t
select_rank(rankq_t *q)
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
 * Remove and return the next item to serve, or NULL.
 */
rankq_item_t *
rankq_pop(rankq_t *q)
{
	int32_t picked = select_rank(q);
	rank_queue_t *rank;
	rankq_item_t *item;
	account_queue_t *queue;

	if (picked < 0)
		return NULL;
	rank = &q->ranks[picked];
	rank->credit = MAX(rank->credit - 1.0, 0.0);
	queue = g_queue_peek_head(&rank->round_robin);
	item = g_queue_peek_head(&queue->items);
	g_queue_unlink(&rank->round_robin, &queue->link);
	g_queue_push_tail_link(&rank->round_robin, &queue->link);
	rankq_remove(q, item);
	return item;
}

/*
 * Return the first item of an account whose deadline has passed, or NULL.  The
 * items of an account may have any deadlines, since they wait for different
 * things.
 */
static rankq_item_t *
account_expired(const account_queue_t *queue, int64_t now_us)
{
	GList *l;

	for (l = queue->items.head; l != NULL; l = l->next) {
		rankq_item_t *item = l->data;

		if (item->deadline_us <= now_us)
			return item;
	}
	return NULL;
}

/*
 * Remove and return an item whose deadline has passed, or NULL.
 */
rankq_item_t *
rankq_expired(rankq_t *q, int64_t now_us)
{
	uint32_t i;
	GList *l;

	for (i = 0; i < RANKS; i++) {
		for (l = q->ranks[i].round_robin.head; l != NULL; l = l->next) {
			rankq_item_t *item = account_expired(l->data, now_us);

			if (item != NULL) {
				rankq_remove(q, item);
				return item;
			}
		}
	}
	return NULL;
}

/*
 * Return the number of items in the queue.
 */
uint32_t
rankq_count(const rankq_t *q)
{
	return q->count;
}

/*
 * Tell whether a rank has room for one more item of an account.  All accounts
 * may fill half of the limit.  Above that, an account with waiting items is
 * held to an equal share, so that it cannot crowd out the others; an account
 * without any is admitted up to one and a half times the limit.
 */
bool
rankq_admits(
    const rankq_t *q, uint32_t rank_number, const char *account, uint32_t limit)
{
	const rank_queue_t *rank = &q->ranks[rank_number];
	const account_queue_t *own =
	    g_hash_table_lookup(rank->accounts, account);
	uint32_t accounts = g_hash_table_size(rank->accounts) + (own == NULL);

	if (rank->count < limit / 2 || own == NULL)
		return rank->count < limit + limit / 2;
	return own->items.length < limit / accounts;
}

/*
 * Return how many items of a rank would be served before a new one of this
 * account, given that the accounts are served round robin.
 */
static uint32_t
ahead_in_rank(const rank_queue_t *rank, const char *account)
{
	const account_queue_t *own =
	    g_hash_table_lookup(rank->accounts, account);
	uint32_t own_count = own == NULL ? 0 : own->items.length;
	uint32_t ahead = 0;
	GList *l;

	for (l = rank->round_robin.head; l != NULL; l = l->next) {
		const account_queue_t *queue = l->data;

		ahead += MIN(queue->items.length, own_count + 1);
	}
	return ahead;
}

/*
 * Estimate how long a new item would wait, given the number of items that the
 * whole queue serves per second.  Returns 0 when that number is not known.  The
 * floor of the rank limits how far more urgent ranks can delay the item.
 */
int64_t
rankq_expected_wait_us(const rankq_t *q, uint32_t rank, const char *account,
    double served_per_second)
{
	uint32_t own = ahead_in_rank(&q->ranks[rank], account);
	double items_by_order = own, items_by_floor, items;
	uint32_t i;

	if (served_per_second <= 0)
		return 0;
	for (i = 0; i < rank; i++)
		items_by_order += q->ranks[i].count;
	items = items_by_order;
	if (q->ranks[rank].floor > 0) {
		items_by_floor = (own + 1) / q->ranks[rank].floor;
		items = MIN(items, items_by_floor);
	}
	return (int64_t)(items / served_per_second * US_PER_SECOND);
}
