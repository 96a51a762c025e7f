#include "proxy_model_internal.h"

/*
 * The proxy model: the databases, their replication and promotions, and the
 * simulated clock.
 */

#define STEP_DOWN_DELAY_US US_PER_SECOND
#define LEAVING_MAX_US (9 * US_PER_SECOND)
#define CHECKED_WRITES_MAX 60
#define SEARCHED_ENTRIES_MAX 4000

/*
 * Return a random time from 0 to below a bound.
 */
int64_t
proxy_model_random_us(proxy_model_t *model, int64_t bound_us)
{
	return (int64_t)(g_rand_double(model->rand) * (double)bound_us);
}

/*
 * Return true with the given probability.
 */
bool
proxy_model_chance(proxy_model_t *model, uint32_t permille)
{
	return (uint32_t)g_rand_int_range(model->rand, 0, 1000) < permille;
}

/*
 * Schedule an event after_us from now.
 */
void
proxy_model_schedule(
    proxy_model_t *model, int64_t after_us, const event_t *event)
{
	eventq_push(model->events, model->now_us + after_us, event);
}

/*
 * Tell whether a daemon can reach a database.
 */
static bool
reachable(const proxy_model_t *model, uint32_t daemon, uint32_t db)
{
	const proxy_model_db_t *database = &model->dbs[db];

	return model->now_us >= database->down_until_us &&
	    model->now_us >= database->daemon_cut_until_us[daemon] &&
	    model->now_us >= database->refused_until_us[daemon];
}

/*
 * Tell a daemon that its connection to a database was refused, if a refusal
 * reaches it.  denied: another process has answered.
 */
static void
refuse(proxy_model_t *model, const event_t *call, bool denied)
{
	const proxy_model_db_t *db = &model->dbs[call->db];
	event_t answer = *call;

	if (call->call != CALL_STATUS ||
	    model->now_us < db->daemon_cut_until_us[call->daemon] ||
	    (!denied && !db->refuses &&
		model->now_us >= db->refused_until_us[call->daemon]))
		return;
	answer.kind = EVENT_ANSWER;
	answer.refused = true;
	answer.denied = denied;
	proxy_model_schedule(
	    model, proxy_model_random_us(model, NETWORK_DELAY_MAX_US), &answer);
}

/*
 * Return the position of the last entry of a log, {0, 0} when it is empty.
 */
static position_t
log_end(const proxy_model_db_t *db)
{
	const entry_t *last;

	if (db->log->len == 0)
		return (position_t){0, 0};
	last = &g_array_index(db->log, entry_t, db->log->len - 1);
	return (position_t){last->term, db->log->len};
}

/*
 * Build the state that a database reports in its answers.
 */
static db_view_t
db_make_view(const proxy_model_db_t *db, int64_t sent_us)
{
	db_view_t view = {.known = true,
	    .primary = db->primary,
	    .leaving = db->leaves_us != 0,
	    .promised = db->primary
		? db->term
		: MAX(db->term, db->replication_paused_term),
	    .last_entry = log_end(db),
	    .requested_us = sent_us,
	    .term = db->term};

	/* a primary's position is reported in the term that it leads, also
	   before its first write in that term */
	view.last_entry.term =
	    db->primary ? db->term : MAX(view.last_entry.term, 1);
	return view;
}

/*
 * Handle a call on a database, unless the link is cut, and send the answer.
 */
void
proxy_model_handle_call(proxy_model_t *model, const event_t *event)
{
	proxy_model_db_t *db = &model->dbs[event->db];
	event_t answer = *event;
	int64_t *connected_us = model->daemons[event->daemon].connected_us;
	entry_t entry;

	if (!reachable(model, event->daemon, event->db)) {
		refuse(model, event, false);
		return;
	}
	if (db->new_id &&
	    model->daemons[event->daemon].born_us[event->db] !=
		db->restarted_us) {
		refuse(model, event, true);
		return;
	}
	answer.kind = EVENT_ANSWER;
	answer.ok = true;
	switch (event->call) {
	case CALL_PAUSE_REPLICATION:
		if (!db->primary &&
		    event->term > MAX(db->term, db->replication_paused_term))
			db->replication_paused_term = event->term;
		answer.ok =
		    !db->primary && db->replication_paused_term >= event->term;
		break;
	case CALL_STEP_DOWN:
		if (db->primary && db->term < event->term)
			db->primary = false;
		answer.ok = !db->primary;
		break;
	case CALL_RESUME_REPLICATION:
		db->replication_paused_term = 0;
		break;
	case CALL_STATEMENT:
		answer.ok = db->primary;
		if (!db->primary)
			break;
		event->stmt->newest_term_when_executed = model->newest_term;
		if (!event->stmt->is_read) {
			entry = (entry_t){db->term, event->stmt->write_id};
			g_array_append_val(db->log, entry);
		}
		break;
	case CALL_READ:
		answer.ok = proxy_model_read_run(model, event);
		break;
	case CALL_STATUS:
		break;
	}
	answer.view = db_make_view(db, event->sent_us);
	answer.born_us = db->restarted_us;
	if (connected_us[event->db] <= db->restarted_us)
		connected_us[event->db] = model->now_us;
	answer.view.connected_us = connected_us[event->db];
	proxy_model_schedule(
	    model, proxy_model_random_us(model, NETWORK_DELAY_MAX_US), &answer);
}

/*
 * Restart a database.  It keeps its log and its role, and forgets a pause.  The
 * store lists its new start later.
 */
void
proxy_model_db_restart(proxy_model_t *model, uint32_t db_index)
{
	proxy_model_db_t *db = &model->dbs[db_index];
	int64_t listed_max_us = model->plan->troubles.start_listed_max_us;

	db->replication_paused_term = 0;
	db->new_primary_seen_us = 0;
	db->restarted_us = model->now_us;
	db->refuses = db->new_id = false;
	db->down_until_us = model->now_us +
	    proxy_model_random_us(model, RESTART_DURATION_MAX_US);
	if (listed_max_us > 0)
		db->start_listed_at_us = db->down_until_us +
		    proxy_model_random_us(model, listed_max_us);
}

/*
 * End a database that leaves.  A new one at its address gets its log, but
 * neither its role nor what it has promised.
 */
static void
db_replace(proxy_model_t *model, uint32_t db_index)
{
	proxy_model_db_restart(model, db_index);
	model->dbs[db_index].primary = false;
	model->dbs[db_index].leaves_us = 0;
}

/*
 * Have databases leave at random, no more than one at a time, end those that
 * have left, and list new starts.
 */
void
proxy_model_db_troubles(proxy_model_t *model)
{
	uint32_t leaving_permille = model->plan->troubles.leaving_permille;
	bool leaving = false;
	uint32_t i;

	for (i = 0; i < model->plan->databases; i++) {
		proxy_model_db_t *db = &model->dbs[i];

		if (model->now_us >= db->start_listed_at_us)
			db->listed_start_us = db->restarted_us;
		if (db->leaves_us != 0 && model->now_us >= db->leaves_us)
			db_replace(model, i);
		leaving |= db->leaves_us != 0;
	}
	if (leaving_permille == 0 || leaving ||
	    !proxy_model_chance(model, leaving_permille))
		return;
	i = (uint32_t)g_rand_int_range(
	    model->rand, 0, (gint32)model->plan->databases);
	model->result->troubles++;
	model->dbs[i].leaves_us =
	    model->now_us + proxy_model_random_us(model, LEAVING_MAX_US);
}

/*
 * Count the databases, without the excepted one, whose newest
 * SEARCHED_ENTRIES_MAX log entries contain a write.  One that has not been
 * added to the group yet holds no commit for it.
 */
uint32_t
proxy_model_count_copies(
    const proxy_model_t *model, uint32_t except, uint64_t write_id)
{
	uint32_t i, j, n = 0;

	for (i = 0; i < model->plan->databases; i++) {
		const GArray *log = model->dbs[i].log;

		if (i == except || proxy_model_added_later(model, i))
			continue;
		for (j = log->len;
		     j-- > 0 && log->len - j < SEARCHED_ENTRIES_MAX;) {
			if (g_array_index(log, entry_t, j).write_id ==
			    write_id) {
				n++;
				break;
			}
		}
	}
	return n;
}

/*
 * End the pauses of all databases for the newest term and older ones, since a
 * promotion has taken effect.  Those that the new primary does not reach still
 * follow the previous one.
 */
static void
end_pauses(proxy_model_t *model)
{
	uint32_t i;

	for (i = 0; i < model->plan->databases; i++) {
		proxy_model_db_t *db = &model->dbs[i];

		if (db->replication_paused_term <= model->newest_term)
			db->replication_paused_term = 0;
	}
}

/*
 * Let a promotion take effect: the database becomes primary of a new term,
 * with the log that it has.  With synchronous replicas, counts the latest
 * acknowledged writes that its log lacks as lost.
 */
void
proxy_model_promote(proxy_model_t *model, const event_t *event)
{
	proxy_model_db_t *db = &model->dbs[event->db];
	uint32_t i;

	if (proxy_model_order_dropped(model, event) ||
	    proxy_model_order_over(model, event) ||
	    model->now_us < db->down_until_us || db->primary)
		return;
	db->term = ++model->newest_term;
	g_array_append_val(model->terms_us, model->now_us);
	db->primary = true;
	db->replication_paused_term = 0;
	if (!model->plan->pauses_last)
		end_pauses(model);
	model->result->primary_changes++;
	proxy_model_reads_promoted(model, event->db);
	for (i = model->acked_writes->len > CHECKED_WRITES_MAX
		 ? model->acked_writes->len - CHECKED_WRITES_MAX
		 : 0;
	     model->plan->sync_replicas > 0 && i < model->acked_writes->len;
	     i++) {
		uint64_t write_id =
		    g_array_index(model->acked_writes, uint64_t, i);

		model->result->lost_writes +=
		    proxy_model_count_copies(model, DBS_MAX, write_id) -
			proxy_model_count_copies(model, event->db, write_id) ==
		    0;
	}
	/* writes that the log lacks are not counted again later */
	g_array_set_size(model->acked_writes, 0);
}

/*
 * Return the newest term that had begun at a time.
 */
uint64_t
proxy_model_newest_term_at(const proxy_model_t *model, int64_t at_us)
{
	uint64_t term = model->newest_term;

	/* the first term has no time */
	while (term > 1 &&
	    g_array_index(model->terms_us, int64_t, term - 2) > at_us)
		term--;
	return term;
}

/*
 * Return the index of the primary of the newest term, or -1.
 */
int32_t
proxy_model_newest_primary(const proxy_model_t *model)
{
	uint32_t i;

	for (i = 0; i < model->plan->databases; i++) {
		if (model->dbs[i].primary &&
		    model->dbs[i].term == model->newest_term)
			return (int32_t)i;
	}
	return -1;
}

/*
 * Replicate the log of the newest primary to each database that it reaches,
 * unless replication is paused there.  A primary of an older term steps down
 * STEP_DOWN_DELAY_US after it can reach the newest one.
 */
void
proxy_model_replicate(proxy_model_t *model, const event_t *event)
{
	int32_t primary = proxy_model_newest_primary(model);
	proxy_model_db_t *from = primary < 0 ? NULL : &model->dbs[primary];
	uint32_t i, common;
	bool primary_up = from != NULL &&
	    model->now_us >= from->down_until_us &&
	    model->now_us >= from->peers_cut_until_us;

	for (i = 0; primary_up && i < model->plan->databases; i++) {
		proxy_model_db_t *to = &model->dbs[i];

		if (to == from || model->now_us < to->down_until_us ||
		    model->now_us < to->peers_cut_until_us) {
			to->new_primary_seen_us = 0;
			continue;
		}
		if (to->primary) {
			if (to->new_primary_seen_us == 0)
				to->new_primary_seen_us = model->now_us;
			to->primary = model->now_us - to->new_primary_seen_us <
			    STEP_DOWN_DELAY_US;
			continue;
		}
		if (to->replication_paused_term > from->term ||
		    (to->replication_paused_term != 0 &&
			to->term == from->term) ||
		    proxy_model_chance(model, 300) ||
		    !proxy_model_replicates(model, i))
			continue;
		to->replication_paused_term = 0;
		to->term = from->term;
		for (common = MIN(to->log->len, from->log->len); common > 0 &&
		     g_array_index(to->log, entry_t, common - 1).write_id !=
			 g_array_index(from->log, entry_t, common - 1).write_id;
		     common--)
			;
		g_array_set_size(to->log, common);
		g_array_append_vals(to->log,
		    &g_array_index(from->log, entry_t, common),
		    from->log->len - common);
	}
	proxy_model_schedule(model, REPLICATE_INTERVAL_US, event);
}
