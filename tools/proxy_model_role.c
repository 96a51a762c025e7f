#include "proxy_model_internal.h"

#include "../src/proxy/proxy.h"

/* The proxy model: the coordinator role, and the record that names it. */

#define LEASE_STUCK_US (1500 * US_PER_MS)
#define STUCK_TAKEOVER_US (5 * US_PER_SECOND)

/* Time without an answer after which a write of the record is given up. */
#define ROLE_TIMEOUT_US (600 * US_PER_MS)

/* Time within which the store may still carry it out. */
#define ROLE_LATE_MAX_US (8 * US_PER_SECOND)

/*
 * Tell whether the record names a daemon with its fencing token.
 */
bool
proxy_model_holds_role(const proxy_model_t *model,
    const proxy_model_daemon_t *daemon, uint32_t daemon_index)
{
	return !model->record_unreadable &&
	    model->coordinator == daemon_index &&
	    model->coordinator_token == daemon->fencing_token;
}

/*
 * Tell whether the store has confirmed the role of a daemon within
 * COORDINATOR_CONFIRMED_US.  If not, the daemon reads the record.  The answer
 * also tells the store's era, and a coordinator of an older one gives up the
 * role.  A newer token that another daemon has told ends it as well.
 */
bool
proxy_model_role_confirmed(proxy_model_t *model, uint32_t daemon_index)
{
	proxy_model_daemon_t *daemon = &model->daemons[daemon_index];
	bool bug = model->plan->injected_bug == PROXY_BUG_ROLE_OF_OLDER_ERA;

	if (!bug && daemon->newest_token_seen > daemon->fencing_token)
		return false;
	if (daemon->role_confirmed_us == 0 ||
	    model->now_us - daemon->role_confirmed_us >=
		COORDINATOR_CONFIRMED_US) {
		if (model->now_us < daemon->object_store_cut_until_us)
			return false;
		if (!bug)
			proxy_model_era_reached(
			    model, daemon, model->store_era);
		if (!proxy_model_holds_role(model, daemon, daemon_index))
			return false;
		daemon->role_confirmed_us = model->now_us;
	}
	return daemon->is_coordinator;
}

/*
 * Note that a daemon has written the record.
 */
void
proxy_model_record_changed(proxy_model_t *model, proxy_model_daemon_t *daemon)
{
	model->record_revision++;
	proxy_model_open_rewrite(model, daemon);
	daemon->written =
	    (coordinator_record_t){model->orders, model->open, model->members};
	proxy_model_store_answered(daemon, &model->orders);
}

/*
 * Tell whether there is no record.
 */
static bool
record_missing(const proxy_model_t *model)
{
	return !model->record_unreadable && model->coordinator == UINT32_MAX;
}

/*
 * Return the token of a daemon that writes the record, above a known one.
 */
static uint64_t
token_next(const proxy_model_t *model, uint64_t known)
{
	proxy_model_bug_t bug = model->plan->injected_bug;
	uint64_t era = bug == PROXY_BUG_TOKEN_WITHOUT_ERA
	    ? STORE_ERA_FIRST
	    : model->store_era + STORE_ERA_FIRST;

	if (bug == PROXY_BUG_TOKEN_OF_RECORD ||
	    bug == PROXY_BUG_TOKEN_WITHOUT_REVISION ||
	    (bug == PROXY_BUG_RECORD_REPLACED && model->record_unreadable))
		return fencing_token_next(era, known, 0);
	return record_missing(model)
	    ? fencing_token_created(
		  fencing_token_next(era, known, 0), model->record_revision + 1)
	    : fencing_token_next(era, known, model->record_revision);
}

/*
 * Write a daemon into the record, with a token above a known one.
 */
static void
write_role(proxy_model_t *model, uint32_t daemon_index, uint64_t known)
{
	uint64_t token = token_next(model, known);

	if (record_missing(model))
		model->open.record_begun = token;
	model->older_coordinator = model->coordinator;
	model->older_token = model->coordinator_token;
	model->older_revision = model->record_revision;
	model->coordinator = daemon_index;
	model->coordinator_token = token;
	model->record_unreadable = false;
	model->record_revision++;
}

/*
 * Have a daemon act in the role, with the token of the record.
 */
static void
begin_role(proxy_model_t *model, uint32_t daemon_index, uint64_t token)
{
	proxy_model_daemon_t *daemon = &model->daemons[daemon_index];

	proxy_model_orders_take(model, daemon);
	daemon->fencing_token = daemon->newest_token_seen = token;
	daemon->written_token = token;
	daemon->written_revision = model->record_revision;
	daemon->token_read = true;
	daemon->is_coordinator = true;
	daemon->order_sent = false;
	daemon->coordinator_since_us = model->now_us;
	daemon->unrecorded = false;
	proxy_model_failover_orders(model, daemon);
	proxy_model_members_read(model, daemon, &model->members,
	    model->open.record_begun, model->orders.replaced_term,
	    model->now_us);
	proxy_model_open_recorded(model, daemon, &model->open, model->now_us);
	proxy_model_open_rewrite(model, daemon);
	daemon->written =
	    (coordinator_record_t){model->orders, model->open, model->members};
	proxy_model_store_answered(daemon, &model->orders);
}

/*
 * Ask a daemon whether it knows of a newer token, and tell it of one.  Returns
 * what the connection has shown.
 */
static revocation_target_t
ask_token(proxy_model_t *model, uint32_t daemon_index, uint32_t peer,
    uint64_t token, bool *newer)
{
	proxy_model_daemon_t *asked = &model->daemons[peer];
	revocation_target_t target = {
	    .contact = proxy_model_contact(model, daemon_index, peer),
	    .token_recorded = asked->token_read};

	if (target.contact == CONTACT_REFUSED ||
	    (target.contact == CONTACT_RESET && proxy_model_chance(model, 500)))
		return target;
	if (model->now_us < asked->paused_until_us ||
	    model->now_us < asked->daemons_cut_until_us)
		return (revocation_target_t){.contact = CONTACT_SILENT};
	/* the answer of a connection that is reset is lost */
	*newer |= contact_shows_state(target.contact) &&
	    asked->newest_token_seen > token;
	asked->newest_token_seen = MAX(asked->newest_token_seen, token);
	return target;
}

/*
 * Tell whether most daemons have read a token since they started, and none of
 * those that can be reached knows a newer one than a daemon.  They are told of
 * it.
 */
static bool
token_confirmed(proxy_model_t *model, uint32_t daemon_index)
{
	uint64_t token = model->daemons[daemon_index].written_token;
	revocation_target_t targets[DAEMONS_MAX - 1];
	revocation_count_t count;
	uint32_t i, asked = 0;
	bool newer = model->daemons[daemon_index].newest_token_seen > token;

	if (model->now_us < model->daemons[daemon_index].daemons_cut_until_us)
		return false;
	for (i = 0; i < model->plan->daemons; i++) {
		if (i != daemon_index)
			targets[asked++] =
			    ask_token(model, daemon_index, i, token, &newer);
	}
	count = revocation_count(targets, asked);
	return !newer && revocation_confirms_token(&count, 0);
}

/*
 * Replace a record that cannot be read by what a daemon has written last, if it
 * may.
 */
static void
replace_record(proxy_model_t *model, uint32_t daemon_index)
{
	proxy_model_daemon_t *daemon = &model->daemons[daemon_index];
	bool bug = model->plan->injected_bug == PROXY_BUG_RECORD_REPLACED;

	if (daemon->written_token == 0 ||
	    model->record_revision <= daemon->written_revision ||
	    (!bug && !token_confirmed(model, daemon_index)))
		return;
	model->orders = daemon->written.orders;
	model->open = daemon->written.open;
	model->members = daemon->written.members;
	write_role(model, daemon_index,
	    bug ? daemon->written_token
		: fencing_token_highest(daemon->written_token,
		      daemon->written_revision, model->record_revision));
	begin_role(model, daemon_index, model->coordinator_token);
}

/*
 * Return the token above which a daemon takes the role: the highest one that
 * it knows, also if the record has a lower one.
 */
static uint64_t
token_known(const proxy_model_t *model, const proxy_model_daemon_t *daemon)
{
	return model->plan->injected_bug == PROXY_BUG_TOKEN_OF_RECORD
	    ? model->coordinator_token
	    : MAX(model->coordinator_token, daemon->newest_token_seen);
}

/*
 * Have a daemon write the record to take the role.  The write may get no
 * answer.
 */
static void
request_role(proxy_model_t *model, uint32_t daemon_index)
{
	proxy_model_daemon_t *daemon = &model->daemons[daemon_index];
	uint32_t late_permille = model->plan->troubles.role_late_permille;
	event_t late = {.kind = EVENT_ROLE_STORED,
	    .daemon = daemon_index,
	    .store_era = model->store_era,
	    .revision = record_missing(model) ? 0 : model->record_revision,
	    .token = token_known(model, daemon)};

	if (late_permille > 0 && proxy_model_chance(model, late_permille)) {
		model->result->troubles++;
		daemon->role_asked_us = model->now_us;
		proxy_model_schedule(model,
		    proxy_model_random_us(model, ROLE_LATE_MAX_US), &late);
		if (model->plan->injected_bug == PROXY_BUG_ROLE_UNCONFIRMED)
			begin_role(
			    model, daemon_index, token_next(model, late.token));
		return;
	}
	write_role(model, daemon_index, late.token);
	begin_role(model, daemon_index, model->coordinator_token);
}

/*
 * Carry out a late write of the record, unless it has changed since, or, where
 * there was none, unless there is one.  The daemon has given the call up.
 */
void
proxy_model_role_stored(proxy_model_t *model, const event_t *event)
{
	bool holds = event->revision == 0
	    ? record_missing(model)
	    : event->revision == model->record_revision;

	if (holds && event->store_era == model->store_era)
		write_role(model, event->daemon, event->token);
}

/*
 * Have the record be deleted, or replaced by one that cannot be read, at
 * random.
 */
void
proxy_model_record_troubles(proxy_model_t *model)
{
	const proxy_model_troubles_t *troubles = &model->plan->troubles;

	if (troubles->record_deleted_permille > 0 &&
	    proxy_model_chance(model, troubles->record_deleted_permille)) {
		model->result->troubles++;
		model->coordinator = UINT32_MAX;
		model->coordinator_token = 0;
		model->record_unreadable = false;
		model->orders = (recorded_orders_t){0};
		model->open.count = 0;
		model->open.record_begun = 0;
		model->members = (recorded_members_t){0};
		model->record_revision++;
	}
	if (troubles->record_unreadable_permille > 0 &&
	    proxy_model_chance(model, troubles->record_unreadable_permille)) {
		model->result->troubles++;
		model->record_unreadable = true;
		model->record_revision++;
	}
}

/*
 * Become the coordinator if the primary has been suspected for
 * takeover_delay_us.  If the coordinator record has a new fencing token since
 * the last read, wait for another takeover_delay_us first.
 */
void
proxy_model_take_role(proxy_model_t *model, uint32_t daemon_index)
{
	proxy_model_daemon_t *daemon = &model->daemons[daemon_index];
	bool hurries = proxy_model_hurries(model, daemon_index), stuck;

	if (daemon->is_coordinator ||
	    (daemon->role_asked_us != 0 &&
		model->now_us - daemon->role_asked_us < ROLE_TIMEOUT_US))
		return;
	if (daemon->lease.expires_us > model->now_us)
		daemon->lease_seen_us = model->now_us;
	stuck = !failover_primary_suspected(&daemon->failover, model->now_us);
	if (stuck &&
	    (model->plan->pauses_last ||
		!lease_held_up(&daemon->lease, model->now_us) ||
		model->now_us - daemon->lease_seen_us < LEASE_STUCK_US)) {
		daemon->failover_due_since_us = 0;
		return;
	}
	if (daemon->failover_due_since_us == 0)
		daemon->failover_due_since_us = model->now_us;
	if ((!hurries &&
		model->now_us - daemon->failover_due_since_us <
		    daemon->takeover_delay_us +
			(stuck ? STUCK_TAKEOVER_US : 0)) ||
	    model->now_us < daemon->object_store_cut_until_us)
		return;
	daemon->failover_due_since_us = model->now_us;
	/* the record is read, and the answer tells the era */
	proxy_model_era_reached(model, daemon, model->store_era);
	if (model->record_unreadable) {
		replace_record(model, daemon_index);
		return;
	}
	daemon->token_read = true;
	if (model->coordinator != daemon_index ||
	    model->coordinator_token != daemon->written_token)
		daemon->written_token = 0;
	if (!hurries && model->coordinator != daemon_index &&
	    model->coordinator_token != daemon->last_read_token) {
		daemon->last_read_token = model->coordinator_token;
		return;
	}
	request_role(model, daemon_index);
}
