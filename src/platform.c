#include "daemon.h"
#include "decide/decide.h"
#include "decide/owner.h"
#include "document.h"
#include "json.h"
#include "platform_api.h"
#include "stats.h"
#include "task.pb-c.h"

#include <string.h>

/*
 * The platform task.  Watches the teams' documents in the platform's object
 * API, validates each new version, stores accepted versions in the object
 * accepted/TEAM, and sends the documents in force to the other tasks.
 */

#define LOG_PART "platform"
#define WATCHERS_PER_ZONE 2
#define VALIDATE_STAGGER_MS 400
#define TICK_MS 100
#define MARK_BYTES 64
#define STATUS_ATTEMPTS_MAX 4

typedef enum platform_counter {
	COUNT_LISTS,
	COUNT_UPDATES,
	COUNT_FAILURES,
	COUNT_ACCEPTED,
	COUNT_REJECTED,
	COUNT_IN_FORCE,
	COUNT_LAST_ANSWER_AGE_MS,
	PLATFORM_COUNTERS,
} platform_counter_t;

static const char *const counter_names[PLATFORM_COUNTERS] = {
    [COUNT_LISTS] = "platform_lists",
    [COUNT_UPDATES] = "platform_updates",
    [COUNT_FAILURES] = "platform_failures",
    [COUNT_ACCEPTED] = "documents_accepted",
    [COUNT_REJECTED] = "documents_rejected",
    [COUNT_IN_FORCE] = "documents_put_in_force",
    [COUNT_LAST_ANSWER_AGE_MS] = "platform_heard_ms_ago",
};

typedef struct platform_ctx platform_ctx_t;

/* State of one team's document. */
typedef struct team_state {
	platform_ctx_t *ctx;
	char *team;
	uint64_t team_version;      /* newest version of the object team/TEAM */
	char *team_text;            /* content of team_version */
	int64_t stagger_start_us;   /* start of the delay before validation */
	uint64_t validated_version; /* newest version that was validated */
	uint64_t accepted_object_version; /* version of accepted/TEAM */
	uint64_t accepted_version; /* version of team/TEAM in accepted/TEAM */
	uint64_t in_force_version;
	char *in_force_document;        /* content of the version in force */
	uint64_t status_object_version; /* version of status/TEAM */
	char *status_text;              /* content to write to status/TEAM */
	uint64_t status_team_version; /* version of team/TEAM in status_text */
	uint32_t status_attempts;
	bool write_pending; /* a write of accepted/TEAM has not been answered */
	uint64_t offered_version; /* version of team/TEAM in that write */
} team_state_t;

/* A watch on the objects below one prefix. */
typedef struct watch {
	platform_ctx_t *ctx;
	const char *prefix;
	uint64_t revision; /* revision of the last list; 0: list everything */
	bool call_pending;
	int64_t next_call_us; /* earliest time of the next call */
} watch_t;

/* State of the platform task. */
struct platform_ctx {
	const daemon_t *daemon;
	task_t *task;
	platform_api_t *api;
	GHashTable *teams;       /* of team_state_t, by team */
	GPtrArray *members;      /* names of alive and suspected members */
	GPtrArray *zone_members; /* members in this daemon's zone */
	watch_t teams_watch;
	watch_t accepted_watch;
	bool vms_pending;
	int64_t vms_next_call_us;
	int64_t last_answer_us;
	bool reachable;
	uint64_t last_mark;
	GRand *rand;
	GSource *tick_timer;
	uint64_t counts[PLATFORM_COUNTERS];
};

/*
 * Free the state of a team.
 */
static void
team_state_free(gpointer p)
{
	team_state_t *state = p;

	g_free(state->team);
	g_free(state->team_text);
	g_free(state->in_force_document);
	g_free(state->status_text);
	g_free(state);
}

/*
 * Return the state of a team, creating it if necessary.
 */
static team_state_t *
team_state(platform_ctx_t *ctx, const char *team)
{
	team_state_t *state = g_hash_table_lookup(ctx->teams, team);

	if (state == NULL) {
		state = g_new0(team_state_t, 1);
		state->ctx = ctx;
		state->team = g_strdup(team);
		g_hash_table_insert(ctx->teams, state->team, state);
	}
	return state;
}

/*
 * Record whether a call to the platform was answered, and log when the platform
 * becomes reachable or unreachable.
 */
static void
record_call_result(platform_ctx_t *ctx, bool answered)
{
	if (answered)
		ctx->last_answer_us = clock_us();
	else
		ctx->counts[COUNT_FAILURES]++;
	if (answered != ctx->reachable)
		log_line(LOG_PART, G_LOG_LEVEL_MESSAGE,
		    answered ? "The platform answers again."
			     : "The platform does not answer; the documents in "
			       "force remain in force.");
	ctx->reachable = answered;
}

/*
 * Return a random time between 0.5 and 1.5 times the mean, so that the daemons
 * do not call the platform in step.
 */
static int64_t
jittered_us(platform_ctx_t *ctx, uint32_t mean_ms)
{
	return (int64_t)(mean_ms * US_PER_MS *
	    g_rand_double_range(ctx->rand, 0.5, 1.5));
}

/*
 * Put an accepted document in force if its version is newer than the one in
 * force, and send it to the other tasks.
 */
static void
put_in_force(platform_ctx_t *ctx, const Bp__Accepted *accepted)
{
	team_state_t *state = team_state(ctx, accepted->team);
	task_t *to[] = {
	    ctx->daemon->front, ctx->daemon->group, ctx->daemon->peer};
	Bp__DocumentInForce in_force = BP__DOCUMENT_IN_FORCE__INIT;
	uint32_t i;

	if (!version_supersedes(accepted->version, state->in_force_version))
		return;
	state->in_force_version = accepted->version;
	g_free(state->in_force_document);
	state->in_force_document = g_strdup(accepted->document);
	ctx->counts[COUNT_IN_FORCE]++;
	log_line(LOG_PART, G_LOG_LEVEL_MESSAGE,
	    "Document %s version %" G_GUINT64_FORMAT " is in force.",
	    accepted->team, accepted->version);
	in_force.accepted = (Bp__Accepted *)accepted;
	for (i = 0; i < G_N_ELEMENTS(to); i++)
		task_send(to[i], ctx->task, msg_copy(&in_force.base));
}

/*
 * Handle the content of an object accepted/TEAM.
 */
static void
handle_accepted_object(platform_ctx_t *ctx, const Bp__Object *object)
{
	arena_t *arena = arena_new();
	input_errors_t errors = {arena, NULL, 0, NULL};
	Bp__Accepted *accepted = object->value == NULL
	    ? NULL
	    : (Bp__Accepted *)json_read(arena, &bp__accepted__descriptor,
		  object->value, strlen(object->value), &errors);
	team_state_t *state;

	if (accepted != NULL) {
		state = team_state(ctx, accepted->team);
		if (object->version > state->accepted_object_version) {
			state->accepted_object_version = object->version;
			state->accepted_version = accepted->version;
		}
		put_in_force(ctx, accepted);
	}
	arena_free(arena);
}

/*
 * Generate a mark that is unique to one write, so that the platform can tell
 * this write from all others.
 */
static void
mark_generate(platform_ctx_t *ctx, char mark[MARK_BYTES])
{
	g_snprintf(mark, MARK_BYTES,
	    "%.24s/%" G_GUINT64_FORMAT "/%" G_GUINT64_FORMAT,
	    ctx->daemon->settings->name, ctx->daemon->incarnation,
	    ++ctx->last_mark);
}

static void status_object_write(team_state_t *);

/*
 * Return the version of team/TEAM that the content of a status object
 * describes, or 0 if it cannot be read.
 */
static uint64_t
status_object_team_version(const Bp__Object *object)
{
	arena_t *arena = arena_new();
	input_errors_t errors = {arena, NULL, 0, NULL};
	const char *text = object->value == NULL ? "" : object->value;
	Bp__TeamStatus *status = (Bp__TeamStatus *)json_read(
	    arena, &bp__team_status__descriptor, text, strlen(text), &errors);
	uint64_t version = status == NULL ? 0 : status->seen_version;

	arena_free(arena);
	return version;
}

/*
 * Handle the answer to a write of status/TEAM.  If another daemon wrote the
 * object first, the write is repeated only over the status of an older version.
 */
static void
on_status_written(void *context, uint32_t status, const Bp__Object *object)
{
	team_state_t *state = context;

	record_call_result(state->ctx, object != NULL);
	if (object == NULL)
		return;
	state->status_object_version = object->version;
	if (status == PLATFORM_API_CONFLICT &&
	    status_object_team_version(object) < state->status_team_version &&
	    state->status_attempts < STATUS_ATTEMPTS_MAX)
		status_object_write(state);
}

/*
 * Write status_text to the object status/TEAM.
 */
static void
status_object_write(team_state_t *state)
{
	platform_ctx_t *ctx = state->ctx;
	char *name = g_strconcat("status/", state->team, NULL);
	char mark[MARK_BYTES];

	state->status_attempts++;
	mark_generate(ctx, mark);
	ctx->counts[COUNT_UPDATES]++;
	platform_api_http.update_object(ctx->api, name,
	    state->status_object_version, mark, state->status_text,
	    on_status_written, state);
	g_free(name);
}

/*
 * Publish the result of validating a version in status/TEAM, where the team's
 * operators read it.
 */
static void
publish_status(
    team_state_t *state, uint64_t version, const input_errors_t *errors)
{
	arena_t *arena = arena_new();
	Bp__TeamStatus *status =
	    (Bp__TeamStatus *)message_new(arena, &bp__team_status__descriptor);
	uint32_t i;

	status->team = state->team;
	status->accepted_version = state->accepted_version;
	status->seen_version = version;
	status->faults = arena_zalloc(
	    arena, sizeof(status->faults[0]) * (errors->count + 1));
	for (i = 0; i < errors->count; i++) {
		Bp__Fault *fault =
		    (Bp__Fault *)message_new(arena, &bp__fault__descriptor);

		fault->line = errors->list[i].line;
		fault->reason = errors->list[i].reason;
		status->faults[status->n_faults++] = fault;
	}
	g_free(state->status_text);
	state->status_text = g_strdup(json_write(arena, &status->base, NULL));
	state->status_team_version = version;
	state->status_attempts = 0;
	status_object_write(state);
	arena_free(arena);
}

/*
 * Handle the answer to a write of accepted/TEAM.  The content that the answer
 * returns is accepted, whichever daemon wrote it.  A write without an answer
 * may have been applied: the accepted objects are listed again, and the version
 * is validated again if the list does not hold it.
 */
static void
on_accepted_written(void *context, uint32_t status, const Bp__Object *object)
{
	team_state_t *state = context;
	platform_ctx_t *ctx = state->ctx;
	input_errors_t no_errors = {0};

	record_call_result(ctx, object != NULL);
	state->write_pending = false;
	if (object == NULL) {
		ctx->accepted_watch.revision = 0;
		state->stagger_start_us = clock_us();
		return;
	}
	handle_accepted_object(ctx, object);
	if (status == PLATFORM_API_OK) {
		ctx->counts[COUNT_ACCEPTED]++;
		state->validated_version =
		    MAX(state->validated_version, state->offered_version);
		publish_status(state, state->offered_version, &no_errors);
	}
}

/*
 * Write a valid document and its version to the object accepted/TEAM.
 */
static void
write_accepted(team_state_t *state)
{
	platform_ctx_t *ctx = state->ctx;
	arena_t *arena = arena_new();
	Bp__Accepted accepted = BP__ACCEPTED__INIT;
	char *name = arena_printf(arena, "accepted/%s", state->team);
	char mark[MARK_BYTES];

	accepted.team = state->team;
	accepted.version = state->team_version;
	accepted.document = state->team_text;
	state->write_pending = true;
	state->offered_version = state->team_version;
	mark_generate(ctx, mark);
	ctx->counts[COUNT_UPDATES]++;
	platform_api_http.update_object(ctx->api, name,
	    state->accepted_object_version, mark,
	    json_write(arena, &accepted.base, NULL), on_accepted_written,
	    state);
	arena_free(arena);
}

/*
 * Validate the newest version of a team's document: write it to accepted/TEAM,
 * or publish its errors.
 */
static void
validate_document(team_state_t *state)
{
	platform_ctx_t *ctx = state->ctx;
	input_errors_t errors = {0};
	Bp__Document *document, *old = NULL;
	input_errors_t old_errors = {0};

	errors.arena = old_errors.arena = arena_new();
	errors.message_lines = g_hash_table_new(NULL, NULL);
	document = document_read(
	    errors.arena, state->team_text, strlen(state->team_text), &errors);
	if (document != NULL && strcmp(document->team, state->team) != 0)
		input_errors_add(
		    &errors, 1, "\"team\" must be \"%s\" here", state->team);
	if (document != NULL && state->in_force_document != NULL)
		old = document_read(errors.arena, state->in_force_document,
		    strlen(state->in_force_document), &old_errors);
	if (document != NULL && old != NULL)
		document_check_change(old, document, &errors);
	if (errors.count == 0) {
		write_accepted(state);
	} else {
		state->validated_version = state->team_version;
		ctx->counts[COUNT_REJECTED]++;
		log_line(LOG_PART, G_LOG_LEVEL_WARNING,
		    "Document %s version %" G_GUINT64_FORMAT
		    " was rejected: line %u: %s.",
		    state->team, state->team_version, errors.list[0].line,
		    errors.list[0].reason);
		publish_status(state, state->team_version, &errors);
	}
	g_hash_table_unref(errors.message_lines);
	arena_free(errors.arena);
}

/*
 * Validate all versions that are due.  The daemons are ranked by the hash of
 * their name and the team's; each waits one step longer than the one before it,
 * so that usually only one daemon writes the result.
 */
static void
validate_due(platform_ctx_t *ctx, int64_t now_us)
{
	const char *const *members = (const char *const *)ctx->members->pdata;
	const char *self = ctx->daemon->settings->name;
	GHashTableIter iter;
	gpointer value;

	g_hash_table_iter_init(&iter, ctx->teams);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		team_state_t *state = value;
		uint32_t rank;

		if (state->write_pending || state->team_text == NULL ||
		    !version_needs_validation(state->team_version,
			state->accepted_version, state->validated_version))
			continue;
		rank =
		    owner_rank(members, ctx->members->len, self, state->team);
		if (now_us - state->stagger_start_us >=
		    (int64_t)rank * VALIDATE_STAGGER_MS * US_PER_MS)
			validate_document(state);
	}
}

/*
 * Handle the content of an object team/TEAM.
 */
static void
handle_team_object(platform_ctx_t *ctx, const Bp__Object *object)
{
	team_state_t *state = team_state(ctx, object->name + strlen("team/"));

	if (object->version <= state->team_version || object->value == NULL)
		return;
	state->team_version = object->version;
	state->stagger_start_us = clock_us();
	g_free(state->team_text);
	state->team_text = g_strdup(object->value);
}

/*
 * Handle a list of objects.  The next tick starts a watch for changes after the
 * list's revision, or a full list if the call failed.
 */
static void
on_list(void *context, const Bp__ObjectList *list)
{
	watch_t *watch = context;
	platform_ctx_t *ctx = watch->ctx;
	size_t i;

	watch->call_pending = false;
	record_call_result(ctx, list != NULL);
	if (list == NULL) {
		watch->revision = 0;
		watch->next_call_us = clock_us() +
		    jittered_us(
			ctx, ctx->daemon->settings->timeouts->platform_poll_ms);
		return;
	}
	watch->revision = list->revision;
	for (i = 0; i < list->n_objects; i++) {
		const Bp__Object *object = list->objects[i];

		if (g_str_has_prefix(object->name, "team/"))
			handle_team_object(ctx, object);
		else if (g_str_has_prefix(object->name, "accepted/"))
			handle_accepted_object(ctx, object);
	}
	validate_due(ctx, clock_us());
}

/*
 * Tell whether this daemon is one of the WATCHERS_PER_ZONE daemons that watch
 * the platform for their zone.
 */
static bool
is_watcher(const platform_ctx_t *ctx)
{
	return owner_rank((const char *const *)ctx->zone_members->pdata,
		   ctx->zone_members->len, ctx->daemon->settings->name,
		   ctx->daemon->settings->zone) < WATCHERS_PER_ZONE;
}

/*
 * Start the watch's next call if none is pending and the time of the next call
 * has come.
 */
static void
watch_start(watch_t *watch, int64_t now_us)
{
	platform_ctx_t *ctx = watch->ctx;

	if (watch->call_pending || now_us < watch->next_call_us)
		return;
	watch->call_pending = true;
	ctx->counts[COUNT_LISTS]++;
	platform_api_http.list_objects(
	    ctx->api, watch->prefix, watch->revision, on_list, watch);
}

/*
 * Handle the list of VMs: send all VMs to the peer task, which connects to the
 * daemons among them, and the addresses of database VMs that are leaving to the
 * group task.
 */
static void
on_vms(void *context, const Bp__VmList *list)
{
	platform_ctx_t *ctx = context;
	Bp__VmsListed listed = BP__VMS_LISTED__INIT;
	msg_t *msg;
	Bp__DatabasesLeaving *leaving;
	size_t i;

	ctx->vms_pending = false;
	record_call_result(ctx, list != NULL);
	if (list == NULL)
		return;
	listed.vms = list->vms;
	listed.n_vms = list->n_vms;
	task_send(ctx->daemon->peer, ctx->task, msg_copy(&listed.base));
	msg = msg_new(&bp__databases_leaving__descriptor);
	leaving = (Bp__DatabasesLeaving *)msg->body;
	leaving->addresses = arena_zalloc(
	    msg->arena, sizeof(leaving->addresses[0]) * (list->n_vms + 1));
	for (i = 0; i < list->n_vms; i++) {
		const Bp__Vm *vm = list->vms[i];

		if (!vm->daemon && vm->state == BP__VM_STATE__LEAVING)
			leaving->addresses[leaving->n_addresses++] =
			    arena_printf(
				msg->arena, "%s:%u", vm->address, vm->port);
	}
	task_send(ctx->daemon->group, ctx->task, msg);
}

/*
 * Start the calls to the platform and the validations that are due.
 */
static gboolean
on_tick(gpointer context)
{
	platform_ctx_t *ctx = context;
	int64_t now_us = clock_us();

	if (!ctx->vms_pending && now_us >= ctx->vms_next_call_us) {
		ctx->vms_pending = true;
		ctx->vms_next_call_us = now_us +
		    jittered_us(
			ctx, ctx->daemon->settings->timeouts->platform_poll_ms);
		ctx->counts[COUNT_LISTS]++;
		platform_api_http.list_vms(ctx->api, on_vms, ctx);
	}
	if (is_watcher(ctx)) {
		watch_start(&ctx->teams_watch, now_us);
		watch_start(&ctx->accepted_watch, now_us);
	}
	validate_due(ctx, now_us);
	return G_SOURCE_CONTINUE;
}

/*
 * Create the state of the platform task, to be passed to task_new().
 */
void *
platform_new(const daemon_t *daemon)
{
	platform_ctx_t *ctx = g_new0(platform_ctx_t, 1);

	ctx->daemon = daemon;
	ctx->teams = g_hash_table_new_full(
	    g_str_hash, g_str_equal, NULL, team_state_free);
	ctx->members = g_ptr_array_new_with_free_func(g_free);
	ctx->zone_members = g_ptr_array_new_with_free_func(g_free);
	ctx->rand = g_rand_new();
	ctx->reachable = true;
	ctx->teams_watch = (watch_t){ctx, "team/", 0, false, 0};
	ctx->accepted_watch = (watch_t){ctx, "accepted/", 0, false, 0};
	return ctx;
}

/*
 * Free the state of the task after the task has ended.
 */
void
platform_free(void *context)
{
	platform_ctx_t *ctx = context;

	g_hash_table_unref(ctx->teams);
	g_ptr_array_unref(ctx->members);
	g_ptr_array_unref(ctx->zone_members);
	g_rand_free(ctx->rand);
	g_free(ctx);
}

/*
 * Start the task: open the object API and start the timer.
 */
static int32_t
on_start(void *context, task_t *task)
{
	platform_ctx_t *ctx = context;
	const Bp__Settings *settings = ctx->daemon->settings;

	ctx->task = task;
	ctx->api = platform_api_http.open(settings->platform->address,
	    settings->platform->port, settings->timeouts->platform_ms);
	ctx->tick_timer = task_timer(task, TICK_MS, on_tick, ctx);
	return 0;
}

/*
 * Stop the task: close the object API.
 */
static void
on_stop(void *context)
{
	platform_ctx_t *ctx = context;

	source_clear(&ctx->tick_timer);
	platform_api_http.close(ctx->api);
}

/*
 * Handle MembersChanged: update the lists of members.
 */
static void
on_members_changed(void *context, msg_t *msg)
{
	const Bp__MembersChanged *changed =
	    (const Bp__MembersChanged *)msg->body;
	platform_ctx_t *ctx = context;
	const char *zone = ctx->daemon->settings->zone;
	size_t i;

	g_ptr_array_set_size(ctx->members, 0);
	g_ptr_array_set_size(ctx->zone_members, 0);
	for (i = 0; i < changed->n_members; i++) {
		const Bp__Member *member = changed->members[i];

		if (member->state != BP__MEMBER_STATE__ALIVE &&
		    member->state != BP__MEMBER_STATE__SUSPECT)
			continue;
		g_ptr_array_add(ctx->members, g_strdup(member->name));
		if (strcmp(member->zone, zone) == 0)
			g_ptr_array_add(
			    ctx->zone_members, g_strdup(member->name));
	}
	msg_free(msg);
}

/*
 * Handle an accepted document received from another daemon.
 */
static void
on_document_received(void *context, msg_t *msg)
{
	put_in_force(
	    context, ((const Bp__DocumentReceived *)msg->body)->accepted);
	msg_free(msg);
}

/*
 * Handle StatusRequest: answer with this task's part of the status page.
 */
static void
on_status_request(void *context, msg_t *msg)
{
	platform_ctx_t *ctx = context;
	counters_t counters = {
	    counter_names, ctx->counts, PLATFORM_COUNTERS, 1};

	ctx->counts[COUNT_LAST_ANSWER_AGE_MS] =
	    (uint64_t)(clock_us() - ctx->last_answer_us) / US_PER_MS;
	task_send(msg->from, ctx->task, counters_status_part(&counters, msg));
	msg_free(msg);
}

static const task_handler_t handlers[] = {
    {&bp__members_changed__descriptor, on_members_changed},
    {&bp__document_received__descriptor, on_document_received},
    {&bp__status_request__descriptor, on_status_request},
};

const task_ops_t platform_ops = {
    "platform", on_start, on_stop, handlers, G_N_ELEMENTS(handlers)};
