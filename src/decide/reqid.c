#include "reqid.h"

#include <glib.h>

/* Record of one request. */
typedef struct reqid {
	char *id;
	reqid_state_t state;
	position_t position; /* log position of the write; set in REQID_ENDED */
	GList link;          /* in the list of ended requests */
} reqid_t;

struct reqids {
	GHashTable *ids; /* of reqid_t, by request ID */
	GQueue ended;    /* of reqid_t, oldest first */
	uint32_t max;    /* maximum number of ended requests to remember */
};

/*
 * Free the record of one request.
 */
static void
reqid_free(gpointer p)
{
	reqid_t *reqid = p;

	g_free(reqid->id);
	g_free(reqid);
}

/*
 * Create a table that remembers up to max ended requests, and all running
 * ones.
 */
reqids_t *
reqids_new(uint32_t max)
{
	reqids_t *reqids = g_new0(reqids_t, 1);

	reqids->ids =
	    g_hash_table_new_full(g_str_hash, g_str_equal, NULL, reqid_free);
	g_queue_init(&reqids->ended);
	reqids->max = max;
	return reqids;
}

/*
 * Free the table.
 */
void
reqids_free(reqids_t *reqids)
{
	g_hash_table_unref(reqids->ids);
	g_free(reqids);
}

/*
 * Look up the state of a request that has arrived.  A new request is recorded
 * as running, and REQID_NEW is returned.
 */
reqid_state_t
reqids_begin(reqids_t *reqids, const char *id)
{
	reqid_t *reqid = g_hash_table_lookup(reqids->ids, id);

	if (reqid != NULL)
		return reqid->state;
	reqid = g_new0(reqid_t, 1);
	reqid->id = g_strdup(id);
	reqid->state = REQID_RUNNING;
	reqid->link.data = reqid;
	g_hash_table_insert(reqids->ids, reqid->id, reqid);
	return REQID_NEW;
}

/*
 * Return the log position of the write of an ended request in *position.
 * Returns false when the request is not known or has not ended.
 */
bool
reqids_position(const reqids_t *reqids, const char *id, position_t *position)
{
	const reqid_t *reqid = g_hash_table_lookup(reqids->ids, id);

	if (reqid == NULL || reqid->state != REQID_ENDED)
		return false;
	*position = reqid->position;
	return true;
}

/*
 * Record that a request has ended.  A request that was not acknowledged is
 * forgotten: when the same ID arrives again, the database decides by its own
 * record.
 */
void
reqids_end(
    reqids_t *reqids, const char *id, bool acknowledged, position_t position)
{
	reqid_t *reqid = g_hash_table_lookup(reqids->ids, id);

	if (reqid == NULL || reqid->state != REQID_RUNNING)
		return;
	if (!acknowledged) {
		g_hash_table_remove(reqids->ids, id);
		return;
	}
	reqid->state = REQID_ENDED;
	reqid->position = position;
	g_queue_push_tail_link(&reqids->ended, &reqid->link);
	while (reqids->ended.length > reqids->max) {
		reqid = g_queue_pop_head_link(&reqids->ended)->data;
		g_hash_table_remove(reqids->ids, reqid->id);
	}
}

/*
 * Return the number of requests in the table.
 */
uint32_t
reqids_count(const reqids_t *reqids)
{
	return g_hash_table_size(reqids->ids);
}
