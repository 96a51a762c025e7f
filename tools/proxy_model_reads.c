#include "../src/decide/read_balance.h"
#include "proxy_model_internal.h"

/*
 * The proxy model: samples of the primary's position, and reads that replicas
 * may serve, over the failovers of the model.
 *
 * A sample is checked as it is taken: it claims that each write acknowledged
 * before its time is at or before its position.  A read must not run on a log
 * that lacks a write which was acknowledged more than the route's maximum
 * staleness before the read began, nor an acknowledged one of its session where
 * the route says so.  Writes that a promotion has rolled back do not count.
 */

#define SAMPLE_SPACING_US (50 * US_PER_MS)
#define APPLIED_MAX_AGE_US (100 * US_PER_MS)
#define READ_TIMEOUT_US (1500 * US_PER_MS)
#define READ_NO_REPLY_US (300 * US_PER_MS)
#define STALENESS_SHORT_US (500 * US_PER_MS)
#define STALENESS_LONG_US (2500 * US_PER_MS)
#define READ_SLOTS 4

/* The latest writes that a read is compared with. */
#define CHECKED_COMMITS_MAX 64

/* An acknowledged write. */
typedef struct commit {
	position_t position;
	position_t highest; /* of all that were acknowledged by then */
	uint64_t write_id;
	uint64_t session; /* that has sent it */
	int64_t acked_us;
	bool rolled_back;
} commit_t;

/* Session of a client, which ends when its daemon restarts. */
typedef struct session {
	uint64_t id; /* 0: it has not begun */
	session_floors_t floors;
} session_t;

struct proxy_model_reads {
	GArray *commits;  /* of commit_t, as they were acknowledged */
	uint32_t leader;  /* the database that was promoted last */
	uint64_t last_id; /* of the sessions */
	session_t sessions[DAEMONS_MAX][SESSIONS_PER_DAEMON];
	GPtrArray *reads[DAEMONS_MAX]; /* of routed_read_t: not answered yet */
};

/*
 * Create the state of the samples and reads.
 */
proxy_model_reads_t *
proxy_model_reads_new(void)
{
	proxy_model_reads_t *reads = g_new0(proxy_model_reads_t, 1);
	uint32_t i;

	reads->commits = g_array_new(FALSE, TRUE, sizeof(commit_t));
	for (i = 0; i < DAEMONS_MAX; i++)
		reads->reads[i] = g_ptr_array_new();
	return reads;
}

/*
 * End the sessions of a daemon.
 */
static void
end_sessions(proxy_model_reads_t *reads, uint32_t daemon)
{
	uint32_t i;

	for (i = 0; i < SESSIONS_PER_DAEMON; i++) {
		session_floors_clear(&reads->sessions[daemon][i].floors);
		reads->sessions[daemon][i].id = 0;
	}
}

/*
 * Free the state of the samples and reads.
 */
void
proxy_model_reads_free(proxy_model_reads_t *reads)
{
	uint32_t i;

	for (i = 0; i < DAEMONS_MAX; i++) {
		end_sessions(reads, i);
		g_ptr_array_unref(reads->reads[i]);
	}
	g_array_unref(reads->commits);
	g_free(reads);
}

/*
 * End the sessions and reads of a daemon that restarts.
 */
void
proxy_model_reads_restart(proxy_model_t *model, uint32_t daemon)
{
	end_sessions(model->reads, daemon);
	g_ptr_array_set_size(model->reads->reads[daemon], 0);
}

/*
 * Return a session of a daemon, picked at random, which may begin now.
 */
static session_t *
pick_session(proxy_model_t *model, uint32_t daemon)
{
	session_t *session = &model->reads->sessions[daemon][g_rand_int_range(
	    model->rand, 0, SESSIONS_PER_DAEMON)];

	if (session->id == 0)
		session->id = ++model->reads->last_id;
	return session;
}

/*
 * Return the id of the session whose write a daemon is about to send, or 0
 * where replicas serve no reads.
 */
uint64_t
proxy_model_reads_writer(proxy_model_t *model, uint32_t daemon)
{
	return model->plan->replica_reads_permille == 0
	    ? 0
	    : pick_session(model, daemon)->id;
}

/*
 * Tell whether the log of a database has a commit.
 */
static bool
log_has(const proxy_model_db_t *db, const commit_t *commit)
{
	uint64_t index = commit->position.index;

	return index > 0 && index <= db->log->len &&
	    g_array_index(db->log, entry_t, index - 1).write_id ==
	    commit->write_id;
}

/*
 * Note that a write of a daemon is acknowledged.  One that the database
 * promoted last does not have was rolled back already.
 */
void
proxy_model_reads_acked(
    proxy_model_t *model, uint32_t daemon, const stmt_t *stmt)
{
	proxy_model_reads_t *reads = model->reads;
	commit_t commit = {.position = stmt->position,
	    .highest = stmt->position,
	    .write_id = stmt->write_id,
	    .session = stmt->session,
	    .acked_us = model->now_us};
	uint32_t i;

	if (reads->commits->len > 0)
		commit.highest = position_max(commit.highest,
		    g_array_index(
			reads->commits, commit_t, reads->commits->len - 1)
			.highest);
	commit.rolled_back = !log_has(&model->dbs[reads->leader], &commit);
	g_array_append_val(reads->commits, commit);
	for (i = 0; i < SESSIONS_PER_DAEMON; i++) {
		session_t *session = &reads->sessions[daemon][i];

		if (session->id != 0 && session->id == stmt->session)
			session_floors_note(
			    &session->floors, "group", stmt->position);
	}
}

/*
 * Note that a database is promoted.  Commits that its log lacks are rolled
 * back.
 */
void
proxy_model_reads_promoted(proxy_model_t *model, uint32_t db)
{
	GArray *commits = model->reads->commits;
	uint32_t i;

	model->reads->leader = db;
	for (i = 0; i < commits->len; i++) {
		commit_t *commit = &g_array_index(commits, commit_t, i);

		commit->rolled_back |= !log_has(&model->dbs[db], commit);
	}
}

/*
 * Return the highest position of the writes that were acknowledged before a
 * time, {0, 0} if there are none.
 */
static position_t
highest_acked(const GArray *commits, int64_t before_us)
{
	uint32_t low = 0, high = commits->len;

	while (low < high) {
		uint32_t middle = low + (high - low) / 2;

		if (g_array_index(commits, commit_t, middle).acked_us <
		    before_us)
			low = middle + 1;
		else
			high = middle;
	}
	return low == 0 ? (position_t){0, 0}
			: g_array_index(commits, commit_t, low - 1).highest;
}

/*
 * Have a daemon take a sample from the position in an answer of a database, if
 * it is the primary, and check what the sample claims.
 */
void
proxy_model_sample(proxy_model_t *model, proxy_model_daemon_t *daemon,
    uint32_t db, position_t position, int64_t sent_us)
{
	proxy_model_bug_t bug = model->plan->injected_bug;
	position_sample_t sample = {.at_us = sent_us, .position = position};
	int64_t checked_us = bug == PROXY_BUG_SAMPLE_UNCHECKED
	    ? INT64_MAX
	    : proxy_model_checked_us(model, daemon);

	if ((int32_t)db != proxy_model_primary(daemon) ||
	    (bug != PROXY_BUG_SAMPLE_WITHOUT_LEASE &&
		!position_sample_under_lease(
		    &daemon->lease, position, sent_us, checked_us, &sample)))
		return;
	if (bug == PROXY_BUG_SAMPLE_AGE_OF_ANSWER)
		sample.at_us = model->now_us;
	model->result->samples++;
	model->result->broken_samples +=
	    position_compare(highest_acked(model->reads->commits, sample.at_us),
		sample.position) > 0;
	position_history_add(&daemon->history, sample, SAMPLE_SPACING_US);
}

/*
 * Note that a primary has carried out a write, where replicas serve reads.
 * Returns whether the lease is to be renewed.
 */
bool
proxy_model_primary_led(const proxy_model_t *model,
    proxy_model_daemon_t *daemon, const event_t *answer)
{
	position_t position = answer->view.last_entry;

	if (model->plan->replica_reads_permille == 0 || !answer->ok ||
	    answer->stmt->is_read || position.term != daemon->lease.term ||
	    (int32_t)answer->db != proxy_model_primary(daemon))
		return false;
	lease_primary_led(&daemon->lease, position.term, answer->sent_us);
	return lease_extendable(&daemon->lease, &daemon->lease_durations);
}

/*
 * Determine the position that a replica must have applied to serve a read.
 */
static bool
required_position(const proxy_model_t *model,
    const proxy_model_daemon_t *daemon, const routed_read_t *read,
    position_t *required)
{
	const position_history_t *history = &daemon->history;
	proxy_model_bug_t bug = model->plan->injected_bug;
	bool own = read->own && bug != PROXY_BUG_READ_WITHOUT_FLOOR;
	uint32_t last =
	    (history->first + history->count - 1) % POSITION_HISTORY_MAX;

	if (read_required_position(history, read->arrived_us,
		read->staleness_us, own ? &read->floor : NULL, required))
		return true;
	if (bug != PROXY_BUG_SAMPLE_OUTLIVES_LEASE || history->count == 0)
		return false;
	*required = history->samples[last].position;
	if (own)
		*required = position_max(read->floor, *required);
	return true;
}

/*
 * Choose a database for a read.  Returns its index in the failover, or a
 * negative number if there is none now.
 */
static int32_t
choose(proxy_model_t *model, proxy_model_daemon_t *daemon, routed_read_t *read)
{
	const failover_t *failover = &daemon->failover;
	int32_t primary = failover_primary(failover);
	int64_t suspect_us = failover->limits.suspect_us;
	bool lease_valid = daemon->lease.expires_us > model->now_us &&
	    proxy_model_checked_us(model, daemon) > model->now_us - suspect_us;
	bool replicas = required_position(model, daemon, read, &read->needed);
	read_candidate_t candidates[DBS_MAX] = {0};
	uint32_t i;

	for (i = 0; i < failover->count; i++) {
		const db_view_t *view = &failover->views[i];
		read_candidate_t *candidate = &candidates[i];
		position_t applied = {MAX(view->term, view->last_entry.term),
		    view->last_entry.index};
		bool may_have_applied =
		    position_compare(applied, read->needed) >= 0 ||
		    model->now_us - view->answered_us >= APPLIED_MAX_AGE_US;

		candidate->primary = (int32_t)i == primary;
		candidate->usable = view->known &&
		    model->now_us - failover->last_alive_us[i] < suspect_us &&
		    (candidate->primary ? lease_valid
					: replicas && may_have_applied);
		candidate->slots = candidate->limit = READ_SLOTS;
		candidate->in_flight =
		    (uint32_t)g_rand_int_range(model->rand, 0, READ_SLOTS);
	}
	return read_balance_choose(candidates, failover->count);
}

/*
 * Send a queued read, if a database can run it.
 */
static void
send_read(proxy_model_t *model, uint32_t daemon_index, routed_read_t *read)
{
	proxy_model_daemon_t *daemon = &model->daemons[daemon_index];
	event_t event = {.kind = EVENT_CALL,
	    .call = CALL_READ,
	    .daemon = daemon_index,
	    .sent_us = model->now_us,
	    .read = read};
	int32_t chosen = choose(model, daemon, read);

	if (chosen < 0)
		return;
	read->state = ROUTED_READ_SENT;
	read->db = event.db = daemon->servers[chosen];
	read->with_position = chosen != failover_primary(&daemon->failover);
	read->sent_us = model->now_us;
	event.attempt = ++read->attempt;
	proxy_model_schedule(
	    model, proxy_model_random_us(model, NETWORK_DELAY_MAX_US), &event);
}

/*
 * Tell whether a read had to see a commit.
 */
static bool
must_see(const routed_read_t *read, const commit_t *commit)
{
	bool own = read->own && commit->session == read->session;

	return !commit->rolled_back &&
	    commit->acked_us < read->begun_us - (own ? 0 : read->staleness_us);
}

/*
 * Run a read at a database, and note which of the latest commits that it had to
 * see the log lacks.  Returns false if it does not run.  A database that
 * follows a term has received the log with which the term began.
 */
bool
proxy_model_read_run(proxy_model_t *model, const event_t *event)
{
	const proxy_model_db_t *db = &model->dbs[event->db];
	const GArray *commits = model->reads->commits;
	routed_read_t *read = event->read;
	uint32_t i = commits->len, checked = 0;

	if (event->attempt != read->attempt)
		return false;
	if (read->with_position &&
	    model->plan->injected_bug != PROXY_BUG_READ_WITHOUT_POSITION &&
	    position_compare(
		(position_t){db->term, db->log->len}, read->needed) < 0)
		return false;
	read->missing_count = 0;
	while (i-- > 0 && checked < CHECKED_COMMITS_MAX &&
	    read->missing_count < READ_MISSING_MAX) {
		const commit_t *commit = &g_array_index(commits, commit_t, i);

		if (!must_see(read, commit))
			continue;
		checked++;
		if (!log_has(db, commit))
			read->missing[read->missing_count++] = i;
	}
	return true;
}

/*
 * Answer a read, and count it as stale if it lacked a commit.
 */
static void
read_done(proxy_model_t *model, uint32_t daemon, routed_read_t *read)
{
	const GArray *commits = model->reads->commits;
	proxy_model_result_t *result = model->result;
	bool stale = false;
	uint32_t i;

	for (i = 0; i < read->missing_count; i++)
		stale |= !g_array_index(commits, commit_t, read->missing[i])
			      .rolled_back;
	result->replica_reads += read->with_position;
	if (read->own) {
		result->own_reads++;
		result->stale_own_reads += stale;
	} else {
		result->bounded_reads++;
		result->stale_bounded_reads += stale;
	}
	g_ptr_array_remove_fast(model->reads->reads[daemon], read);
}

/*
 * Answer a read that the primary has run if the lease covers it, and queue it
 * again if another database is primary.
 */
static void
release_read(proxy_model_t *model, uint32_t daemon_index, routed_read_t *read)
{
	const proxy_model_daemon_t *daemon = &model->daemons[daemon_index];
	const lease_t *lease = &daemon->lease;

	if ((int32_t)read->db != proxy_model_primary(daemon) ||
	    (lease->expires_us > model->now_us &&
		read->position.term != lease->term))
		read->state = ROUTED_READ_QUEUED;
	else if (read->position.term == lease->term &&
	    read->arrived_us <= lease->expires_us &&
	    read->arrived_us <= proxy_model_checked_us(model, daemon))
		read_done(model, daemon_index, read);
}

/*
 * Handle the answer of a database to a read.
 */
void
proxy_model_read_answered(proxy_model_t *model, const event_t *event)
{
	proxy_model_daemon_t *daemon = &model->daemons[event->daemon];
	routed_read_t *read = event->read;

	if (!g_ptr_array_find(model->reads->reads[event->daemon], read, NULL) ||
	    read->state != ROUTED_READ_SENT || event->attempt != read->attempt)
		return;
	proxy_model_sample(
	    model, daemon, event->db, event->view.last_entry, event->sent_us);
	read->position = event->view.last_entry;
	if (!event->ok) {
		read->state = ROUTED_READ_QUEUED;
	} else if (read->with_position) {
		read_done(model, event->daemon, read);
	} else {
		read->state = ROUTED_READ_HELD;
		release_read(model, event->daemon, read);
	}
}

/*
 * Handle the arrival of a read at the daemon that runs it.
 */
void
proxy_model_read_arrives(proxy_model_t *model, const event_t *event)
{
	routed_read_t *read = event->read;

	if (!model->daemons[event->daemon].owner)
		return;
	read->arrived_us = model->now_us;
	g_ptr_array_add(model->reads->reads[event->daemon], read);
	send_read(model, event->daemon, read);
}

/*
 * Begin a read of a session of a daemon, which that daemon or another one runs.
 */
static void
begin_read(proxy_model_t *model, uint32_t daemon)
{
	const session_t *session = pick_session(model, daemon);
	routed_read_t *read = arena_zalloc(model->arena, sizeof(*read));
	event_t event = {.kind = EVENT_READ_ARRIVES, .read = read};

	read->session = session->id;
	read->begun_us = model->now_us;
	read->own = proxy_model_chance(model, 500);
	read->staleness_us = proxy_model_chance(model, 500) ? STALENESS_SHORT_US
							    : STALENESS_LONG_US;
	session_floors_find(&session->floors, "group", &read->floor);
	event.daemon = (uint32_t)g_rand_int_range(
	    model->rand, 0, (gint32)model->plan->daemons);
	if (event.daemon != daemon &&
	    (model->now_us < model->daemons[daemon].daemons_cut_until_us ||
		model->now_us <
		    model->daemons[event.daemon].daemons_cut_until_us))
		event.daemon = daemon;
	proxy_model_schedule(
	    model, proxy_model_random_us(model, NETWORK_DELAY_MAX_US), &event);
}

/*
 * Send the queued reads of a daemon, release those that are held, and give up
 * those whose time is over.  May begin another one.
 */
void
proxy_model_reads_tick(proxy_model_t *model, uint32_t daemon)
{
	GPtrArray *reads = model->reads->reads[daemon];
	uint32_t i = reads->len;

	if (model->plan->replica_reads_permille == 0)
		return;
	while (i-- > 0) {
		routed_read_t *read = g_ptr_array_index(reads, i);

		if (model->now_us - read->arrived_us >= READ_TIMEOUT_US) {
			g_ptr_array_remove_index_fast(reads, i);
			continue;
		}
		if (read->state == ROUTED_READ_SENT &&
		    model->now_us - read->sent_us >= READ_NO_REPLY_US)
			read->state = ROUTED_READ_QUEUED;
		if (read->state == ROUTED_READ_QUEUED)
			send_read(model, daemon, read);
		else if (read->state == ROUTED_READ_HELD)
			release_read(model, daemon, read);
	}
	if (proxy_model_chance(model, model->plan->replica_reads_permille))
		begin_read(model, daemon);
}
