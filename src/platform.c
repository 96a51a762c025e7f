#include "daemon.h"
#include "decide/decide.h"
#include "decide/owner.h"
#include "document.h"
#include "json.h"
#include "stats.h"
#include "store.h"
#include "task.pb-c.h"

#include <string.h>

/*
 * The platform's task: watches the teams' documents, judges them, keeps what
 * is accepted in objects of our own, and puts it in force.
 */

#define PART "platform"
#define WATCHERS_PER_ZONE 2
#define JUDGE_STEP_MS 400
#define TICK_MS 100
#define MARK_BYTES 64
#define STATUS_TRIES_MAX 4

typedef enum platform_counter {
	COUNT_LISTS,
	COUNT_UPDATES,
	COUNT_FAILURES,
	COUNT_ACCEPTED,
	COUNT_REJECTED,
	COUNT_IN_FORCE,
	COUNT_PLATFORM_AGE_MS,
	COUNT_PLATFORM_COUNTERS,
} platform_counter_t;

static const char *const counter_names[COUNT_PLATFORM_COUNTERS] = {
    [COUNT_LISTS] = "platform_lists",
    [COUNT_UPDATES] = "platform_updates",
    [COUNT_FAILURES] = "platform_failures",
    [COUNT_ACCEPTED] = "documents_accepted",
    [COUNT_REJECTED] = "documents_rejected",
    [COUNT_IN_FORCE] = "documents_put_in_force",
    [COUNT_PLATFORM_AGE_MS] = "platform_heard_ms_ago",
};

typedef struct platform_role platform_role_t;

/* What is known of one team's document. */
typedef struct team_state {
	platform_role_t *role;
	char *team;
	uint64_t seen; /* version of the team's object */
	char *text;    /* of that version */
	int64_t seen_us;
	uint64_t judged;   /* the newest version that was judged */
	uint64_t object;   /* version of our object accepted/TEAM */
	uint64_t accepted; /* the team's version in it */
	uint64_t in_force;
	char *document;   /* in force */
	uint64_t status;  /* version of our object status/TEAM */
	char *told;       /* what it shall say */
	uint64_t told_of; /* the version of the team's object it speaks of */
	uint32_t told_tries;
	bool busy;        /* an update of ours is under way */
	uint64_t offered; /* the version it offers */
} team_state_t;

/* One of the two prefixes that are watched. */
typedef struct watch {
	platform_role_t *role;
	const char *prefix;
	uint64_t revision;
	bool busy;
	int64_t next_us;
} watch_t;

struct platform_role {
	const daemon_t *daemon;
	task_t *task;
	store_t *store;
	GHashTable *teams; /* of team_state_t */
	GPtrArray *members;
	GPtrArray *zone; /* members of our own zone */
	watch_t teams_watch;
	watch_t accepted_watch;
	bool vms_busy;
	int64_t vms_next_us;
	int64_t heard_us;
	bool reachable;
	uint64_t next_mark;
	GRand *rand;
	GSource *tick;
	uint64_t counts[COUNT_PLATFORM_COUNTERS];
};

/*
 * Free what is known of a team.
 */
static void
team_state_free(gpointer p)
{
	team_state_t *state = p;

	g_free(state->team);
	g_free(state->text);
	g_free(state->document);
	g_free(state->told);
	g_free(state);
}

/*
 * What is known of a team, made when there is nothing yet.
 */
static team_state_t *
team_state(platform_role_t *role, const char *team)
{
	team_state_t *state = g_hash_table_lookup(role->teams, team);

	if (state == NULL) {
		state = g_new0(team_state_t, 1);
		state->role = role;
		state->team = g_strdup(team);
		g_hash_table_insert(role->teams, state->team, state);
	}
	return state;
}

/*
 * Note whether the platform answered.
 */
static void
platform_heard(platform_role_t *role, bool answered)
{
	if (answered)
		role->heard_us = clock_us();
	else
		role->counts[COUNT_FAILURES]++;
	if (answered != role->reachable)
		log_line(PART, G_LOG_LEVEL_MESSAGE,
		    answered ? "The platform answers."
			     : "The platform does not answer; documents in "
			       "force stay.");
	role->reachable = answered;
}

/*
 * A random time around a mean, so that daemons do not call in step.
 */
static int64_t
around_us(platform_role_t *role, uint32_t mean_ms)
{
	return (int64_t)(mean_ms * US_PER_MS *
	    g_rand_double_range(role->rand, 0.5, 1.5));
}

/*
 * Put an accepted document in force, unless it is not newer than the one
 * that is.
 */
static void
put_in_force(platform_role_t *role, const Bp__Accepted *accepted)
{
	team_state_t *state = team_state(role, accepted->team);
	task_t *to[] = {
	    role->daemon->front, role->daemon->group, role->daemon->peer};
	Bp__DocumentInForce in_force = BP__DOCUMENT_IN_FORCE__INIT;
	uint32_t i;

	if (!version_supersedes(accepted->version, state->in_force))
		return;
	state->in_force = accepted->version;
	g_free(state->document);
	state->document = g_strdup(accepted->document);
	role->counts[COUNT_IN_FORCE]++;
	log_line(PART, G_LOG_LEVEL_MESSAGE,
	    "Document %s version %" G_GUINT64_FORMAT " is in force.",
	    accepted->team, accepted->version);
	in_force.accepted = (Bp__Accepted *)accepted;
	for (i = 0; i < G_N_ELEMENTS(to); i++)
		task_send(to[i], role->task, msg_copy(&in_force.base));
}

/*
 * An object accepted/TEAM was read.
 */
static void
accepted_read(platform_role_t *role, const Bp__Object *object)
{
	arena_t *arena = arena_new();
	faults_t faults = {arena, NULL, 0, NULL};
	Bp__Accepted *accepted = object->value == NULL
	    ? NULL
	    : (Bp__Accepted *)json_read(arena, &bp__accepted__descriptor,
		  object->value, strlen(object->value), &faults);
	team_state_t *state;

	if (accepted != NULL) {
		state = team_state(role, accepted->team);
		if (object->version > state->object) {
			state->object = object->version;
			state->accepted = accepted->version;
		}
		put_in_force(role, accepted);
	}
	arena_free(arena);
}

/*
 * A mark that tells a write of ours from all others.
 */
static void
mark_make(platform_role_t *role, char mark[MARK_BYTES])
{
	g_snprintf(mark, MARK_BYTES,
	    "%.24s/%" G_GUINT64_FORMAT "/%" G_GUINT64_FORMAT,
	    role->daemon->settings->name, role->daemon->incarnation,
	    ++role->next_mark);
}

static void status_send(team_state_t *);

/*
 * The version of the team's object that a status object speaks of.
 */
static uint64_t
status_speaks_of(const Bp__Object *object)
{
	arena_t *arena = arena_new();
	faults_t faults = {arena, NULL, 0, NULL};
	const char *text = object->value == NULL ? "" : object->value;
	Bp__TeamStatus *status = (Bp__TeamStatus *)json_read(
	    arena, &bp__team_status__descriptor, text, strlen(text), &faults);
	uint64_t version = status == NULL ? 0 : status->seen_version;

	arena_free(arena);
	return version;
}

/*
 * The status object was written, or another daemon wrote it before: then
 * ours is written over an older word, and left out beside a newer one.
 */
static void
on_status_written(void *context, uint32_t status, const Bp__Object *object)
{
	team_state_t *state = context;

	platform_heard(state->role, object != NULL);
	if (object == NULL)
		return;
	state->status = object->version;
	if (status == STORE_CONFLICT &&
	    status_speaks_of(object) < state->told_of &&
	    state->told_tries < STATUS_TRIES_MAX)
		status_send(state);
}

/*
 * Write what the status object shall say.
 */
static void
status_send(team_state_t *state)
{
	platform_role_t *role = state->role;
	char *name = g_strconcat("status/", state->team, NULL);
	char mark[MARK_BYTES];

	state->told_tries++;
	mark_make(role, mark);
	role->counts[COUNT_UPDATES]++;
	store_http.update(role->store, name, state->status, mark, state->told,
	    on_status_written, state);
	g_free(name);
}

/*
 * Tell the operators what became of their edit.
 */
static void
write_status(team_state_t *state, uint64_t judged, const faults_t *faults)
{
	arena_t *arena = arena_new();
	Bp__TeamStatus *status =
	    (Bp__TeamStatus *)message_new(arena, &bp__team_status__descriptor);
	uint32_t i;

	status->team = state->team;
	status->accepted_version = state->accepted;
	status->seen_version = judged;
	status->faults =
	    arena_zero(arena, sizeof(status->faults[0]) * (faults->count + 1));
	for (i = 0; i < faults->count; i++) {
		Bp__Fault *fault =
		    (Bp__Fault *)message_new(arena, &bp__fault__descriptor);

		fault->line = faults->list[i].line;
		fault->reason = faults->list[i].reason;
		status->faults[status->n_faults++] = fault;
	}
	g_free(state->told);
	state->told = g_strdup(json_write(arena, &status->base, NULL));
	state->told_of = judged;
	state->told_tries = 0;
	status_send(state);
	arena_free(arena);
}

/*
 * The answer to our update of accepted/TEAM.  Whoever wrote the object: what
 * it holds is accepted.  With no answer the update may have taken effect;
 * the next list tells, and the version is judged again if it did not.
 */
static void
on_accepted_written(void *context, uint32_t status, const Bp__Object *object)
{
	team_state_t *state = context;
	platform_role_t *role = state->role;
	faults_t none = {0};

	platform_heard(role, object != NULL);
	state->busy = false;
	if (object == NULL) {
		role->accepted_watch.revision = 0;
		state->seen_us = clock_us();
		return;
	}
	accepted_read(role, object);
	if (status == STORE_OK) {
		role->counts[COUNT_ACCEPTED]++;
		state->judged = MAX(state->judged, state->offered);
		write_status(state, state->offered, &none);
	}
}

/*
 * Offer a valid document: write it, with its version, into our own object.
 */
static void
offer(team_state_t *state)
{
	platform_role_t *role = state->role;
	arena_t *arena = arena_new();
	Bp__Accepted accepted = BP__ACCEPTED__INIT;
	char *name = arena_printf(arena, "accepted/%s", state->team);
	char mark[MARK_BYTES];

	accepted.team = state->team;
	accepted.version = state->seen;
	accepted.document = state->text;
	state->busy = true;
	state->offered = state->seen;
	mark_make(role, mark);
	role->counts[COUNT_UPDATES]++;
	store_http.update(role->store, name, state->object, mark,
	    json_write(arena, &accepted.base, NULL), on_accepted_written,
	    state);
	arena_free(arena);
}

/*
 * Judge the newest version of a team's document.
 */
static void
judge(team_state_t *state)
{
	platform_role_t *role = state->role;
	faults_t faults = {0};
	Bp__Document *document, *old = NULL;
	faults_t old_faults = {0};

	faults.arena = old_faults.arena = arena_new();
	faults.lines = g_hash_table_new(NULL, NULL);
	document = document_read(
	    faults.arena, state->text, strlen(state->text), &faults);
	if (document != NULL && strcmp(document->team, state->team) != 0)
		faults_add(
		    &faults, 1, "\"team\" must be \"%s\" here", state->team);
	if (document != NULL && state->document != NULL)
		old = document_read(faults.arena, state->document,
		    strlen(state->document), &old_faults);
	if (document != NULL && old != NULL)
		document_check_change(old, document, &faults);
	if (faults.count == 0) {
		offer(state);
	} else {
		state->judged = state->seen;
		role->counts[COUNT_REJECTED]++;
		log_line(PART, G_LOG_LEVEL_WARNING,
		    "Document %s version %" G_GUINT64_FORMAT
		    " is rejected: line %u: %s.",
		    state->team, state->seen, faults.list[0].line,
		    faults.list[0].reason);
		write_status(state, state->seen, &faults);
	}
	g_hash_table_unref(faults.lines);
	arena_free(faults.arena);
}

/*
 * Judge what waits to be judged.  Each daemon waits a step longer than those
 * before it in the order of the team's key, so that mostly one writes.
 */
static void
judge_all(platform_role_t *role, int64_t now_us)
{
	const char *const *members = (const char *const *)role->members->pdata;
	const char *self = role->daemon->settings->name;
	GHashTableIter iter;
	gpointer value;

	g_hash_table_iter_init(&iter, role->teams);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		team_state_t *state = value;
		uint32_t rank;

		if (state->busy || state->text == NULL ||
		    !version_to_judge(
			state->seen, state->accepted, state->judged))
			continue;
		rank =
		    owner_rank(members, role->members->len, self, state->team);
		if (now_us - state->seen_us >=
		    (int64_t)rank * JUDGE_STEP_MS * US_PER_MS)
			judge(state);
	}
}

/*
 * An object team/TEAM was read.
 */
static void
team_read(platform_role_t *role, const Bp__Object *object)
{
	team_state_t *state = team_state(role, object->name + strlen("team/"));

	if (object->version <= state->seen || object->value == NULL)
		return;
	state->seen = object->version;
	state->seen_us = clock_us();
	g_free(state->text);
	state->text = g_strdup(object->value);
}

/*
 * A list has come: take in the objects, and wait for the next change.
 */
static void
on_list(void *context, const Bp__ObjectList *list)
{
	watch_t *watch = context;
	platform_role_t *role = watch->role;
	size_t i;

	watch->busy = false;
	platform_heard(role, list != NULL);
	if (list == NULL) {
		watch->revision = 0;
		watch->next_us = clock_us() +
		    around_us(role,
			role->daemon->settings->timeouts->platform_poll_ms);
		return;
	}
	watch->revision = list->revision;
	for (i = 0; i < list->n_objects; i++) {
		const Bp__Object *object = list->objects[i];

		if (g_str_has_prefix(object->name, "team/"))
			team_read(role, object);
		else if (g_str_has_prefix(object->name, "accepted/"))
			accepted_read(role, object);
	}
	judge_all(role, clock_us());
}

/*
 * Tell whether this daemon is one of the few of its zone that watch.
 */
static bool
is_watcher(const platform_role_t *role)
{
	return owner_rank((const char *const *)role->zone->pdata,
		   role->zone->len, role->daemon->settings->name,
		   role->daemon->settings->zone) < WATCHERS_PER_ZONE;
}

/*
 * Begin a watch when it is time.
 */
static void
watch_begin(watch_t *watch, int64_t now_us)
{
	platform_role_t *role = watch->role;

	if (watch->busy || now_us < watch->next_us)
		return;
	watch->busy = true;
	role->counts[COUNT_LISTS]++;
	store_http.list(
	    role->store, watch->prefix, watch->revision, on_list, watch);
}

/*
 * The list of VMs has come: daemons for the peers, leaving endpoints for the
 * groups.
 */
static void
on_vms(void *context, const Bp__VmList *list)
{
	platform_role_t *role = context;
	Bp__VmsListed listed = BP__VMS_LISTED__INIT;
	msg_t *msg;
	Bp__DatabasesLeaving *leaving;
	size_t i;

	role->vms_busy = false;
	platform_heard(role, list != NULL);
	if (list == NULL)
		return;
	listed.vms = list->vms;
	listed.n_vms = list->n_vms;
	task_send(role->daemon->peer, role->task, msg_copy(&listed.base));
	msg = msg_new(&bp__databases_leaving__descriptor);
	leaving = (Bp__DatabasesLeaving *)msg->body;
	leaving->addresses = arena_zero(
	    msg->arena, sizeof(leaving->addresses[0]) * (list->n_vms + 1));
	for (i = 0; i < list->n_vms; i++) {
		const Bp__Vm *vm = list->vms[i];

		if (!vm->daemon && vm->state == BP__VM_STATE__LEAVING)
			leaving->addresses[leaving->n_addresses++] =
			    arena_printf(
				msg->arena, "%s:%u", vm->address, vm->port);
	}
	task_send(role->daemon->group, role->task, msg);
}

/*
 * Poll and watch as it is time.
 */
static gboolean
on_tick(gpointer context)
{
	platform_role_t *role = context;
	int64_t now_us = clock_us();

	if (!role->vms_busy && now_us >= role->vms_next_us) {
		role->vms_busy = true;
		role->vms_next_us = now_us +
		    around_us(role,
			role->daemon->settings->timeouts->platform_poll_ms);
		role->counts[COUNT_LISTS]++;
		store_http.vms(role->store, on_vms, role);
	}
	if (is_watcher(role)) {
		watch_begin(&role->teams_watch, now_us);
		watch_begin(&role->accepted_watch, now_us);
	}
	judge_all(role, now_us);
	return G_SOURCE_CONTINUE;
}

/*
 * Make the role; it is given to task_new().
 */
void *
platform_new(const daemon_t *daemon)
{
	platform_role_t *role = g_new0(platform_role_t, 1);

	role->daemon = daemon;
	role->teams = g_hash_table_new_full(
	    g_str_hash, g_str_equal, NULL, team_state_free);
	role->members = g_ptr_array_new_with_free_func(g_free);
	role->zone = g_ptr_array_new_with_free_func(g_free);
	role->rand = g_rand_new();
	role->reachable = true;
	role->teams_watch = (watch_t){role, "team/", 0, false, 0};
	role->accepted_watch = (watch_t){role, "accepted/", 0, false, 0};
	return role;
}

/*
 * Free the role after its task has ended.
 */
void
platform_free(void *context)
{
	platform_role_t *role = context;

	g_hash_table_unref(role->teams);
	g_ptr_array_unref(role->members);
	g_ptr_array_unref(role->zone);
	g_rand_free(role->rand);
	g_free(role);
}

/*
 * The task starts.
 */
static int32_t
on_start(void *context, task_t *task)
{
	platform_role_t *role = context;
	const Bp__Settings *settings = role->daemon->settings;

	role->task = task;
	role->store = store_http.open(settings->platform->address,
	    settings->platform->port, settings->timeouts->platform_ms);
	role->tick = task_timer(task, TICK_MS, on_tick, role);
	return 0;
}

/*
 * The task ends.
 */
static void
on_stop(void *context)
{
	platform_role_t *role = context;

	source_drop(&role->tick);
	store_http.close(role->store);
}

/*
 * The members have changed.
 */
static void
on_members(void *context, msg_t *msg)
{
	const Bp__MembersChanged *changed =
	    (const Bp__MembersChanged *)msg->body;
	platform_role_t *role = context;
	const char *zone = role->daemon->settings->zone;
	size_t i;

	g_ptr_array_set_size(role->members, 0);
	g_ptr_array_set_size(role->zone, 0);
	for (i = 0; i < changed->n_members; i++) {
		const Bp__Member *member = changed->members[i];

		if (member->state != BP__MEMBER_STATE__ALIVE &&
		    member->state != BP__MEMBER_STATE__SUSPECT)
			continue;
		g_ptr_array_add(role->members, g_strdup(member->name));
		if (strcmp(member->zone, zone) == 0)
			g_ptr_array_add(role->zone, g_strdup(member->name));
	}
	msg_free(msg);
}

/*
 * Another daemon gave us an accepted document.
 */
static void
on_seen(void *context, msg_t *msg)
{
	put_in_force(context, ((const Bp__DocumentSeen *)msg->body)->accepted);
	msg_free(msg);
}

/*
 * Give this task's part of the status page.
 */
static void
on_status(void *context, msg_t *msg)
{
	platform_role_t *role = context;
	counters_t counters = {
	    counter_names, role->counts, COUNT_PLATFORM_COUNTERS, 1};

	role->counts[COUNT_PLATFORM_AGE_MS] =
	    (uint64_t)(clock_us() - role->heard_us) / US_PER_MS;
	task_send(msg->from, role->task, counters_answer(&counters, msg));
	msg_free(msg);
}

static const task_handler_t handlers[] = {
    {&bp__members_changed__descriptor, on_members},
    {&bp__document_seen__descriptor, on_seen},
    {&bp__status_wanted__descriptor, on_status},
};

const task_ops_t platform_ops = {
    "platform", on_start, on_stop, handlers, G_N_ELEMENTS(handlers)};
