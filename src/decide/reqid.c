#include "reqid.h"

#include <glib.h>

typedef struct reqid {
	char *id;
	reqid_state_t state;
	position_t position;
	GList link; /* among the ended, oldest first */
} reqid_t;

struct reqids {
	GHashTable *ids;
	GQueue ended;
	uint32_t max;
};

/*
 * Free one record.
 */
static void
reqid_free(gpointer p)
{
	reqid_t *reqid = p;

	g_free(reqid->id);
	g_free(reqid);
}

/*
 * Remember up to max ended ids; running ones are always kept.
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
 * Forget everything.
 */
void
reqids_free(reqids_t *reqids)
{
	g_hash_table_unref(reqids->ids);
	g_free(reqids);
}

/*
 * A request of this id has come.  REQID_NEW: it is now noted as running.
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
 * Tell whether an id has ended as done, and where its write stands.
 */
bool
reqids_ended(const reqids_t *reqids, const char *id, position_t *position)
{
	const reqid_t *reqid = g_hash_table_lookup(reqids->ids, id);

	if (reqid == NULL || reqid->state != REQID_ENDED)
		return false;
	*position = reqid->position;
	return true;
}

/*
 * A request has ended.  One that was not acknowledged is forgotten: the
 * database's own record answers when the id comes again.
 */
void
reqids_end(reqids_t *reqids, const char *id, bool ran, position_t position)
{
	reqid_t *reqid = g_hash_table_lookup(reqids->ids, id);

	if (reqid == NULL || reqid->state != REQID_RUNNING)
		return;
	if (!ran) {
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
 * How many ids are remembered.
 */
uint32_t
reqids_count(const reqids_t *reqids)
{
	return g_hash_table_size(reqids->ids);
}
