#include "read_model_internal.h"

#include <string.h>

/* The read model: databases, changes of primary, and what reads must see. */

#define TROUBLE_MAX_US (1500 * US_PER_MS)
#define DOWN_MAX_US (300 * US_PER_MS)
#define RECORD_AFTER_US (400 * US_PER_MS)
#define LATE_MAX_US (3 * US_PER_SECOND)
#define REVOKE_MARGIN_US (50 * US_PER_MS)

/*
 * Return the position that a database tells when so many entries of its log
 * count.
 */
position_t
read_model_position(const db_t *db, uint32_t entries)
{
	position_t position = {db->log_term, entries};

	if (entries < db->log->len)
		position.term = entries == 0
		    ? 1
		    : g_array_index(db->log, entry_t, entries - 1).term;
	return position;
}

/*
 * Tell whether a database handles requests.
 */
bool
read_model_db_runs(const model_t *model, const db_t *db)
{
	return model->now_us >= db->down_until_us;
}

/*
 * Return a commit of a group.
 */
static commit_t *
commit_at(const group_t *group, uint64_t id)
{
	return &g_array_index(group->commits, commit_t, id);
}

/*
 * Tell whether the first entries of a log have a commit.
 */
static bool
log_has(const db_t *db, uint32_t entries, const group_t *group, uint64_t id)
{
	uint32_t index = commit_at(group, id)->index;

	return index <= entries &&
	    g_array_index(db->log, entry_t, index - 1).id == id;
}

/*
 * Have a database receive the log of another one, whose term it follows from
 * now on.  Entries that the other one lacks are rolled back.
 */
static void
receive_log(db_t *db, const db_t *from)
{
	uint32_t same = MIN(db->log->len, from->log->len);

	while (same > 0 &&
	    g_array_index(db->log, entry_t, same - 1).id !=
		g_array_index(from->log, entry_t, same - 1).id)
		same--;
	g_array_set_size(db->log, same);
	g_array_append_vals(db->log, &g_array_index(from->log, entry_t, same),
	    from->log->len - same);
	db->applied = MIN(db->applied, same);
	db->log_term = from->log_term;
	db->term = from->term;
	db->primary = false;
}

/*
 * Replicate once.  A replica that has not heard of the newest primary may go on
 * with a former one, which goes on until it hears of the newest one, too.
 */
static void
replicate(model_t *model, group_t *group)
{
	uint32_t i, j;

	for (i = 0; i < DBS; i++) {
		db_t *db = &group->dbs[i];
		const db_t *leader = &group->dbs[group->leader];

		if (!read_model_db_runs(model, db))
			continue;
		if (i != group->leader && read_model_chance(model, 700) &&
		    model->now_us >= db->receives_nothing_until_us &&
		    db->paused_term <= leader->term &&
		    model->now_us >= leader->receives_nothing_until_us &&
		    read_model_db_runs(model, leader))
			receive_log(db, leader);
		for (j = 0; j < DBS; j++) {
			const db_t *former = &group->dbs[j];

			if (i != j && former->primary && !db->primary &&
			    former->term == db->term && db->paused_term == 0 &&
			    read_model_db_runs(model, former) &&
			    j != group->leader &&
			    db->log->len < former->log->len)
				receive_log(db, former);
		}
		if (db->primary)
			db->applied = db->log->len;
		else if (model->now_us >= db->applies_nothing_until_us)
			db->applied += (uint32_t)g_rand_int_range(model->rand,
			    0, (gint32)(db->log->len - db->applied) + 1);
	}
}

/*
 * Tell whether an order may still take effect, or a daemon has not checked that
 * it has not.
 */
static bool
order_open(const model_t *model, uint32_t group)
{
	const group_t *g = &model->groups[group];
	uint32_t i;

	if (g->open_db < 0)
		return false;
	for (i = 0; i < DAEMONS; i++) {
		const db_view_t *view =
		    &model->daemons[i].groups[group].failover.views[g->open_db];

		if (view->requested_us < g->open_until_us)
			return true;
	}
	return false;
}

/*
 * Begin a change of primary: the replicas promise a new term, and the daemons
 * are told to revoke their leases.  The order is sent when these are over.  The
 * old primary is cut off from the others for a while.
 */
static void
begin_change(model_t *model, uint32_t index)
{
	group_t *group = &model->groups[index];
	db_t *primary = &group->dbs[group->leader];
	event_t event = {.group = index};
	uint32_t i;

	for (i = 0; i < DBS; i++) {
		if (!read_model_db_runs(model, &group->dbs[i]) ||
		    group->dbs[i].term != group->newest_term ||
		    group->dbs[i].recorded != group->dbs[i].born)
			return;
	}
	if (order_open(model, index))
		return;
	group->open_db = -1;
	group->change = (change_t){.under_way = true,
	    .replaced_term = group->newest_term,
	    .late =
		read_model_chance(model, model->plan->troubles.late_permille)};
	group->change.attempt = attempt_term_next(group->newest_term);
	if (read_model_chance(model, 700))
		primary->receives_nothing_until_us = model->now_us + LEASE_US +
		    read_model_random_us(model, 3 * US_PER_SECOND);
	for (i = 0; i < DBS; i++) {
		if (i != group->leader)
			group->dbs[i].paused_term = group->change.attempt;
	}
	event.kind = EVENT_REVOKE;
	event.of_daemon = true;
	event.term = group->change.attempt;
	for (event.daemon = 0; event.daemon < DAEMONS; event.daemon++) {
		if (read_model_chance(model, 700))
			read_model_schedule(model,
			    read_model_random_us(model, NETWORK_DELAY_MAX_US),
			    &event);
	}
	event = (event_t){.kind = EVENT_ORDERED, .group = index};
	read_model_schedule(model, LEASE_US + REVOKE_MARGIN_US, &event);
}

/*
 * Record and send the order to promote a replica; if another order was sent
 * before, the other replica is ordered with it, and that order takes effect
 * late.
 */
void
read_model_ordered(model_t *model, const event_t *event)
{
	group_t *group = &model->groups[event->group];
	uint32_t chosen = (group->leader + 1) % DBS;
	uint32_t other = (group->leader + 2) % DBS;
	event_t promoted = {.kind = EVENT_PROMOTED, .group = event->group};
	const db_t *db;

	if (read_model_chance(model, 500)) {
		chosen = other;
		other = (group->leader + 1) % DBS;
	}
	db = &group->dbs[chosen];
	group->older = group->recorded;
	recorded_orders_add(&group->recorded, group->change.replaced_term,
	    read_model_position(db, db->log->len));
	group->recorded.attempt_term = group->change.attempt;
	group->recorded.named = chosen + 1;
	group->recorded.era = model->era;
	if (group->change.late) {
		group->open_db = (int32_t)other;
		group->open_until_us = model->now_us + LATE_MAX_US;
		promoted.late = true;
		promoted.db = other;
		read_model_schedule(model,
		    300 * US_PER_MS +
			read_model_random_us(
			    model, LATE_MAX_US - 400 * US_PER_MS),
		    &promoted);
	}
	promoted.late = false;
	promoted.db = chosen;
	read_model_schedule(model,
	    100 * US_PER_MS + read_model_random_us(model, 100 * US_PER_MS),
	    &promoted);
}

/*
 * Have an order take effect: its database leads the next term with what it had
 * received.  Commits that it lacks are rolled back, and all pauses end.
 */
void
read_model_promoted(model_t *model, const event_t *event)
{
	group_t *group = &model->groups[event->group];
	db_t *db = &group->dbs[event->db];
	uint64_t id;
	uint32_t i;

	for (i = 0; i < DBS; i++)
		group->dbs[i].paused_term = 0;
	if (!event->late) {
		group->change.under_way = false;
		group->change.last_us = model->now_us;
	}
	if (event->db == group->leader || !read_model_db_runs(model, db))
		return;
	if (event->late && read_model_chance(model, 700))
		group->dbs[group->leader].receives_nothing_until_us =
		    model->now_us +
		    read_model_random_us(model, 2 * US_PER_SECOND);
	model->result->changes++;
	model->result->late_changes += event->late;
	group->leader = event->db;
	db->primary = true;
	db->term = db->log_term = ++group->newest_term;
	db->applied = db->log->len;
	for (id = 0; id < group->commits->len; id++) {
		commit_t *commit = commit_at(group, id);

		if (commit->rolled_back || log_has(db, db->log->len, group, id))
			continue;
		commit->rolled_back = true;
		model->result->given_up += commit->acked_us != 0;
	}
}

/*
 * Begin a random trouble of a group's databases.
 */
static void
group_troubles(model_t *model, uint32_t index)
{
	const read_model_troubles_t *troubles = &model->plan->troubles;
	group_t *group = &model->groups[index];
	db_t *db = &group->dbs[g_rand_int_range(model->rand, 0, DBS)];
	int64_t until_us =
	    model->now_us + read_model_random_us(model, TROUBLE_MAX_US);

	if (read_model_chance(model, troubles->lag_permille)) {
		if (read_model_chance(model, 500))
			db->receives_nothing_until_us = until_us;
		else
			db->applies_nothing_until_us = until_us;
	}
	if (group->change.under_way)
		return;
	if (read_model_chance(model, troubles->restart_permille) &&
	    !order_open(model, index)) {
		model->result->restarts++;
		db->born++;
		db->down_until_us =
		    model->now_us + read_model_random_us(model, DOWN_MAX_US);
	}
	for (db = group->dbs; db < group->dbs + DBS; db++) {
		if (model->now_us >= db->down_until_us + RECORD_AFTER_US)
			db->recorded = db->born;
	}
	if (read_model_chance(model, troubles->change_permille))
		begin_change(model, index);
}

/*
 * Have the store go back to an older copy, unless a change of primary is under
 * way or was a moment ago.  The daemons learn of it.
 */
static void
store_returns(model_t *model)
{
	event_t event = {.kind = EVENT_RESTORED, .of_daemon = true};
	uint32_t i;

	for (i = 0; i < GROUPS; i++) {
		if (model->groups[i].change.under_way ||
		    model->now_us - model->groups[i].change.last_us <
			2 * US_PER_SECOND)
			return;
	}
	model->result->returns++;
	event.era = ++model->era;
	for (i = 0; i < GROUPS; i++)
		model->groups[i].recorded = model->groups[i].older;
	for (event.daemon = 0; event.daemon < DAEMONS; event.daemon++)
		read_model_schedule(
		    model, read_model_random_us(model, 50 * US_PER_MS), &event);
}

/*
 * Replicate, and begin troubles.
 */
void
read_model_world_tick(model_t *model)
{
	uint32_t i;

	for (i = 0; i < GROUPS; i++) {
		replicate(model, &model->groups[i]);
		group_troubles(model, i);
	}
	if (read_model_chance(model, model->plan->troubles.returns_permille))
		store_returns(model);
}

/*
 * Fill in what a database answers to a status request.
 */
void
read_model_status(const model_t *model, const event_t *event, db_view_t *view)
{
	const db_t *db = &model->groups[event->group].dbs[event->db];

	*view = (db_view_t){.known = true,
	    .primary = db->primary,
	    .promised = MAX(db->term, db->paused_term),
	    .last_entry = read_model_position(db, db->log->len),
	    .requested_us = event->sent_us,
	    .term = db->term,
	    .key = event->db + 1};
}

/*
 * Run a write at a primary.
 */
void
read_model_write(model_t *model, op_t *op)
{
	group_t *group = &model->groups[op->group];
	db_t *db = &group->dbs[op->db];
	commit_t commit = {.index = db->log->len + 1,
	    .term = db->term,
	    .session = op->session};
	entry_t entry = {db->term, group->commits->len};

	op->commit = entry.id;
	g_array_append_val(group->commits, commit);
	g_array_append_val(db->log, entry);
	db->applied = db->log->len;
}

/*
 * Tell whether a read has to see a commit.
 */
static bool
must_see(const op_t *op, const commit_t *commit)
{
	int64_t before_us = op->begun_us;

	if (commit->acked_us == 0 || commit->rolled_back)
		return false;
	if (op->route == READ_ROUTE_BOUNDED ||
	    (op->route == READ_ROUTE_OWN && commit->session != op->session))
		before_us -= MAX_AGE_US;
	return commit->acked_us < before_us;
}

/*
 * Run a read, and note which commits it had to see and does not.
 */
void
read_model_read(model_t *model, op_t *op)
{
	const group_t *group = &model->groups[op->group];
	const db_t *db = &group->dbs[op->db];
	uint64_t id = group->commits->len;

	op->missing_count = 0;
	while (id-- > 0 && op->missing_count < MISSING_MAX) {
		if (!must_see(op, commit_at(group, id)))
			continue;
		/* a log that has a commit has those before it */
		if (log_has(db, db->applied, group, id))
			break;
		op->missing[op->missing_count++] = id;
	}
}

/*
 * Handle the success of a statement at its session: count a stale read.  A
 * commit that the newest primary does not have was rolled back already.
 */
void
read_model_acknowledged(model_t *model, op_t *op)
{
	const group_t *group = &model->groups[op->group];
	const db_t *leader = &group->dbs[group->leader];
	commit_t *commit;
	bool stale = false;
	uint32_t i;

	if (!op->write) {
		for (i = 0; i < op->missing_count; i++)
			stale |= !commit_at(group, op->missing[i])->rolled_back;
		model->result->reads[op->route]++;
		model->result->replica_reads += op->with_position;
		model->result->stale[op->route] += stale;
		return;
	}
	commit = commit_at(group, op->commit);
	commit->acked_us = model->now_us;
	commit->rolled_back |=
	    !log_has(leader, leader->log->len, group, op->commit);
	model->result->commits++;
}

/*
 * Create the groups, each with a primary in term 1.
 */
void
read_model_groups_init(model_t *model)
{
	uint32_t i, j;

	for (i = 0; i < GROUPS; i++) {
		group_t *group = &model->groups[i];

		group->newest_term = 1;
		group->open_db = -1;
		group->commits = g_array_new(FALSE, TRUE, sizeof(commit_t));
		for (j = 0; j < DBS; j++)
			group->dbs[j] = (db_t){.term = 1,
			    .log_term = 1,
			    .born = 1,
			    .recorded = 1,
			    .primary = j == 0,
			    .log = g_array_new(FALSE, TRUE, sizeof(entry_t))};
	}
}

/*
 * Free the groups.
 */
void
read_model_groups_clear(model_t *model)
{
	uint32_t i, j;

	for (i = 0; i < GROUPS; i++) {
		for (j = 0; j < DBS; j++)
			g_array_unref(model->groups[i].dbs[j].log);
		g_array_unref(model->groups[i].commits);
	}
}
