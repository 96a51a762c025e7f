#include "sitemodel_in.h"

/* The databases of the model, and its time. */

#define OLD_PRIMARY_US US_PER_SECOND
#define CHECKED_BACK 60
#define SEARCHED_BACK 4000

/*
 * A random time below a bound.
 */
int64_t
site_below(site_model_t *model, int64_t bound_us)
{
	return (int64_t)(g_rand_double(model->rand) * (double)bound_us);
}

/*
 * Whether a thing with this chance happens.
 */
bool
site_chance(site_model_t *model, uint32_t permille)
{
	return (uint32_t)g_rand_int_range(model->rand, 0, 1000) < permille;
}

/*
 * Have an event happen after a while.
 */
void
site_later(site_model_t *model, int64_t after_us, const event_t *event)
{
	eventq_add(model->events, model->now_us + after_us, event);
}

/*
 * Whether a daemon and a database reach each other.
 */
static bool
linked(const site_model_t *model, uint32_t daemon, uint32_t db)
{
	const site_db_t *of = &model->dbs[db];

	return model->now_us >= of->down_us &&
	    model->now_us >= of->cut_us[daemon];
}

/*
 * The last entry of a database's log.
 */
static position_t
log_end(const site_db_t *db)
{
	const entry_t *last;

	if (db->log->len == 0)
		return (position_t){0, 0};
	last = &g_array_index(db->log, entry_t, db->log->len - 1);
	return (position_t){last->term, db->log->len};
}

/*
 * What a database says of itself.
 */
static db_view_t
view_of(const site_db_t *db, int64_t asked_us)
{
	db_view_t view = {.known = true,
	    .primary = db->primary,
	    .promised = db->primary ? db->term : MAX(db->term, db->held),
	    .last = log_end(db),
	    .asked_us = asked_us};

	/* the platform tells positions in the term that a primary leads */
	view.last.term = db->primary ? db->term : MAX(view.last.term, 1);
	return view;
}

/*
 * A call reaches a database.
 */
void
site_call(site_model_t *model, const event_t *event)
{
	site_db_t *db = &model->dbs[event->db];
	event_t answer = *event;
	entry_t entry;

	if (!linked(model, event->daemon, event->db))
		return;
	answer.kind = EVENT_ANSWER;
	answer.ok = true;
	switch (event->call) {
	case CALL_HOLD:
		if (!db->primary && event->term > MAX(db->term, db->held))
			db->held = event->term;
		answer.ok = !db->primary && db->held >= event->term;
		break;
	case CALL_STEP_DOWN:
		if (db->primary && db->term < event->term)
			db->primary = false;
		answer.ok = !db->primary;
		break;
	case CALL_RESUME:
		db->held = 0;
		break;
	case CALL_RUN:
		answer.ok = db->primary;
		if (!db->primary)
			break;
		if (!event->run->read) {
			entry = (entry_t){db->term, event->run->id};
			g_array_append_val(db->log, entry);
		}
		break;
	case CALL_STATUS:
		break;
	}
	answer.view = view_of(db, event->asked_us);
	site_later(model, site_below(model, DELAY_MAX_US), &answer);
}

/*
 * How many other databases have an entry.
 */
uint32_t
site_copies(const site_model_t *model, uint32_t except, uint64_t id)
{
	uint32_t i, j, n = 0;

	for (i = 0; i < model->plan->databases; i++) {
		const GArray *log = model->dbs[i].log;

		for (j = log->len;
		     i != except && j-- > 0 && log->len - j < SEARCHED_BACK;) {
			if (g_array_index(log, entry_t, j).id == id) {
				n++;
				break;
			}
		}
	}
	return n;
}

/*
 * A database begins to lead, with what it has.
 */
void
site_promote(site_model_t *model, const event_t *event)
{
	site_db_t *db = &model->dbs[event->db];
	uint32_t i;

	if (model->now_us < db->down_us || db->primary)
		return;
	db->term = ++model->begun;
	db->primary = true;
	db->held = 0;
	model->result->changes++;
	for (i = model->acked->len > CHECKED_BACK
		 ? model->acked->len - CHECKED_BACK
		 : 0;
	     model->plan->sync_replicas > 0 && i < model->acked->len; i++) {
		uint64_t id = g_array_index(model->acked, uint64_t, i);

		model->result->lost += site_copies(model, DBS_MAX, id) -
			site_copies(model, event->db, id) ==
		    0;
	}
	/* what it lacks is gone */
	g_array_set_size(model->acked, 0);
}

/*
 * The database that leads the newest term, or NULL.
 */
static site_db_t *
leader(site_model_t *model)
{
	uint32_t i;

	for (i = 0; i < model->plan->databases; i++) {
		if (model->dbs[i].primary && model->dbs[i].term == model->begun)
			return &model->dbs[i];
	}
	return NULL;
}

/*
 * One step of the replication: the log of the newest primary that is reached.
 */
void
site_replicate(site_model_t *model, const event_t *event)
{
	site_db_t *from = leader(model);
	uint32_t i, same;
	bool up = from != NULL && model->now_us >= from->down_us &&
	    model->now_us >= from->cut_peers_us;

	for (i = 0; up && i < model->plan->databases; i++) {
		site_db_t *to = &model->dbs[i];

		if (to == from || model->now_us < to->down_us ||
		    model->now_us < to->cut_peers_us) {
			to->reached_us = 0;
			continue;
		}
		if (to->primary) {
			if (to->reached_us == 0)
				to->reached_us = model->now_us;
			to->primary =
			    model->now_us - to->reached_us < OLD_PRIMARY_US;
			continue;
		}
		if (to->held > from->term ||
		    (to->held != 0 && to->term == from->term) ||
		    site_chance(model, 300))
			continue;
		to->held = 0;
		to->term = from->term;
		for (same = MIN(to->log->len, from->log->len); same > 0 &&
		     g_array_index(to->log, entry_t, same - 1).id !=
			 g_array_index(from->log, entry_t, same - 1).id;
		     same--)
			;
		g_array_set_size(to->log, same);
		g_array_append_vals(to->log,
		    &g_array_index(from->log, entry_t, same),
		    from->log->len - same);
	}
	site_later(model, REPLICATE_US, event);
}
