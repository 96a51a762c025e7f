#include "proxy_model_internal.h"

/*
 * The proxy model: requests of a daemon to the others to revoke their leases,
 * and connections between daemons that something between refuses or resets.
 */

/* Longest and shortest time for which connections are refused. */
#define REFUSED_MAX_US (5 * US_PER_SECOND)
#define REFUSED_MIN_US (1 * US_PER_SECOND)

/* Time within which the primary is cut off meanwhile, and the chance. */
#define PRIMARY_CUT_MAX_US (1 * US_PER_SECOND)
#define PRIMARY_CUT_PERMILLE 700

/* Time after which a revocation ends. */
#define REVOCATION_TIMEOUT_US (2500 * US_PER_MS)

/* Time within which a daemon whose connection has ended is asked again. */
#define ASKED_AGAIN_US (200 * US_PER_MS)

/*
 * Return what a connection from one daemon to another shows, where the other
 * one answers: CONTACT_ANSWERED unless it is refused or reset.
 */
contact_t
proxy_model_contact(
    const proxy_model_t *model, uint32_t daemon_index, uint32_t peer)
{
	const refused_peers_t *refused = &model->refused_peers;

	if (model->plan->troubles.peers.permille == 0 &&
	    model->plan->troubles.away.refused_permille == 0 &&
	    model->plan->troubles.away.forgotten_permille == 0)
		return CONTACT_ANSWERED;
	if (model->now_us < model->daemons[peer].restarting_until_us)
		return CONTACT_REFUSED;
	return model->now_us < refused->until_us &&
		refused->ends[daemon_index][peer]
	    ? refused->contact
	    : CONTACT_ANSWERED;
}

/*
 * Return what a connection that has ended counts as; an answer, where that is
 * the injected bug.
 */
static contact_t
counted_as(const proxy_model_t *model, contact_t contact)
{
	proxy_model_bug_t bug = model->plan->injected_bug;

	if ((bug == PROXY_BUG_REFUSED_REVOKED && contact == CONTACT_REFUSED) ||
	    (bug == PROXY_BUG_RESET_REVOKED && contact == CONTACT_RESET))
		return CONTACT_ANSWERED;
	return contact;
}

/*
 * Return what a daemon knows of a peer that it has asked.
 */
static revocation_target_t *
target_of(proxy_model_t *model, uint32_t daemon_index, uint32_t peer)
{
	return &model->daemons[daemon_index]
		    .revocation_targets[peer < daemon_index ? peer : peer - 1];
}

/*
 * Report to the failover of a daemon how far its revocation is.
 */
static void
report_progress(proxy_model_t *model, uint32_t daemon_index)
{
	proxy_model_daemon_t *daemon = &model->daemons[daemon_index];
	revocation_count_t count = revocation_count(
	    daemon->revocation_targets, model->plan->daemons - 1);
	revocation_progress_t progress = revocation_progress(&count, false);

	if (progress != REVOCATION_BEGUN && daemon->revocation_begun)
		failover_notice_confirmed(&daemon->failover,
		    daemon->revocation_term, progress == REVOCATION_BY_ALL,
		    model->now_us);
	else if (progress != REVOCATION_BEGUN)
		failover_leases_revoked(&daemon->failover,
		    daemon->revocation_term, progress == REVOCATION_BY_ALL,
		    model->now_us);
}

/*
 * Tell a daemon that its connection to a peer has ended.
 */
static void
close_connection(
    proxy_model_t *model, const event_t *request, contact_t contact)
{
	event_t closed = *request;

	closed.kind = EVENT_PEER_CLOSED;
	closed.contact = contact;
	proxy_model_schedule(
	    model, proxy_model_random_us(model, NETWORK_DELAY_MAX_US), &closed);
}

/*
 * Send a request to revoke a lease.  A reset may lose the request, or the
 * answer alone.
 */
void
proxy_model_send_request(proxy_model_t *model, const event_t *request)
{
	contact_t contact =
	    proxy_model_contact(model, request->daemon, request->peer);
	event_t sent = *request;

	sent.kind = EVENT_REVOKE;
	sent.sent_us = model->now_us;
	sent.answer_lost = contact == CONTACT_RESET;
	if (contact == CONTACT_ANSWERED ||
	    (contact == CONTACT_RESET && proxy_model_chance(model, 500)))
		proxy_model_schedule(model,
		    proxy_model_random_us(model, NETWORK_DELAY_MAX_US), &sent);
	if (contact != CONTACT_ANSWERED)
		close_connection(model, &sent, contact);
}

/*
 * Revoke a daemon's own lease of a term below the given one, and ask all other
 * daemons to revoke theirs.
 */
void
proxy_model_revoke(
    proxy_model_t *model, uint32_t daemon_index, uint64_t term, bool begun)
{
	proxy_model_daemon_t *daemon = &model->daemons[daemon_index];
	event_t event = {.daemon = daemon_index,
	    .term = term,
	    .ok = begun,
	    .token = daemon->fencing_token,
	    .revocation = ++model->last_revocation};
	uint32_t i, holders;

	lease_revoke(&daemon->lease, term, model->now_us);
	proxy_model_daemons_listed(model, daemon);
	proxy_model_orders_tell(model, daemon, &event);
	if (model->plan->injected_bug != PROXY_BUG_OPEN_ORDERS_UNTOLD)
		proxy_model_open_list(model, daemon, &event.open);
	daemon->revocation_term = term;
	daemon->revocation_begun = begun;
	daemon->revocation = event.revocation;
	daemon->revocation_us = model->now_us;
	holders = begun || event.open.count > 0
	    ? UINT32_MAX
	    : proxy_model_holders(model, daemon_index);
	for (i = 0; i < model->plan->daemons; i++) {
		event.peer = i;
		if (i == daemon_index)
			continue;
		*target_of(model, daemon_index, i) = (revocation_target_t){
		    .holds_leases = (holders >> i & 1) != 0};
		proxy_model_send_request(model, &event);
	}
}

/*
 * Handle a revocation from a daemon that is changing the primary.  The answer
 * is negative if a newer fencing token than the sender's is known.
 */
void
proxy_model_asked_to_revoke(proxy_model_t *model, const event_t *event)
{
	proxy_model_daemon_t *daemon = &model->daemons[event->peer];
	event_t answer = *event;

	if (model->now_us < daemon->daemons_cut_until_us)
		return;
	answer.kind = EVENT_REVOKED;
	answer.ok = daemon->newest_token_seen <= event->token;
	answer.view.term = lease_newest_term(&daemon->lease);
	proxy_model_orders_told(model, daemon, event, &answer);
	if (answer.ok) {
		proxy_model_open_told(model, daemon, &event->open);
		proxy_model_open_list(model, daemon, &answer.open);
	}
	daemon->newest_token_seen =
	    MAX(daemon->newest_token_seen, event->token);
	lease_revoke(&daemon->lease, event->term, model->now_us);
	if (event->ok)
		lease_term_begun(&daemon->lease, event->term);
	if (proxy_model_contact(model, event->daemon, event->peer) ==
		CONTACT_ANSWERED &&
	    !event->answer_lost)
		proxy_model_schedule(model,
		    proxy_model_random_us(model, NETWORK_DELAY_MAX_US),
		    &answer);
	else if (!event->answer_lost)
		close_connection(model, event, CONTACT_RESET);
	if (answer.ok)
		proxy_model_members_revoked(model, event->peer);
}

/*
 * Handle a peer's answer to a revocation.  A negative one means that another
 * daemon has become coordinator: give up the role.
 */
void
proxy_model_revoked(proxy_model_t *model, const event_t *event)
{
	proxy_model_daemon_t *daemon = &model->daemons[event->daemon];

	if (event->confirms) {
		proxy_model_confirmed(model, event);
		return;
	}
	if (event->term != daemon->revocation_term)
		return;
	if (!event->ok) {
		daemon->is_coordinator = false;
		failover_superseded(
		    &daemon->failover, event->term, model->now_us);
		return;
	}
	failover_term_reported(
	    &daemon->failover, event->view.term, model->now_us);
	if (proxy_model_open_told(model, daemon, &event->open))
		failover_superseded(
		    &daemon->failover, event->term, model->now_us);
	proxy_model_orders_learned(model, daemon, event);
	if (event->revocation != daemon->revocation)
		return;
	daemon->heard_token = event->token;
	target_of(model, event->daemon, event->peer)->contact =
	    CONTACT_ANSWERED;
	report_progress(model, event->daemon);
}

/*
 * Handle that the connection to a peer has ended before its answer came.
 */
void
proxy_model_peer_closed(proxy_model_t *model, const event_t *event)
{
	proxy_model_daemon_t *daemon = &model->daemons[event->daemon];
	revocation_target_t *target =
	    target_of(model, event->daemon, event->peer);
	event_t again = *event;

	if (event->confirms) {
		proxy_model_confirm_closed(model, event);
		return;
	}
	if (event->revocation != daemon->revocation ||
	    contact_shows_state(target->contact))
		return;
	target->contact = counted_as(model, event->contact);
	if (model->plan->injected_bug == PROXY_BUG_REFUSED_HOLDS_NOTHING &&
	    event->contact == CONTACT_REFUSED)
		target->holds_leases = false;
	report_progress(model, event->daemon);
	again.kind = EVENT_REVOKE_AGAIN;
	proxy_model_schedule(
	    model, proxy_model_random_us(model, ASKED_AGAIN_US), &again);
}

/*
 * Ask a peer once more whose connection has ended, while the revocation lasts.
 */
void
proxy_model_revoke_again(proxy_model_t *model, const event_t *event)
{
	const proxy_model_daemon_t *daemon = &model->daemons[event->daemon];
	uint32_t i,
	    elapsed_ms =
		(uint32_t)((model->now_us - event->sent_us) / US_PER_MS);
	event_t request = *event;

	if (event->revocation != daemon->revocation ||
	    model->now_us - daemon->revocation_us >= REVOCATION_TIMEOUT_US ||
	    contact_shows_state(
		target_of(model, event->daemon, event->peer)->contact))
		return;
	for (i = 0; i < request.open.count; i++)
		request.open.orders[i].left_ms -=
		    MIN(request.open.orders[i].left_ms, elapsed_ms);
	proxy_model_send_request(model, &request);
}

/*
 * Cut the primary off from some daemons, and maybe from the other databases,
 * until connections between daemons pass again.
 */
static void
cut_primary(proxy_model_t *model)
{
	int64_t until_us = model->refused_peers.until_us;
	int32_t primary = proxy_model_newest_primary(model);
	uint32_t i;

	if (primary < 0)
		return;
	for (i = 0; i < model->plan->daemons; i++) {
		if (proxy_model_chance(model, 500))
			model->dbs[primary].daemon_cut_until_us[i] = until_us;
	}
	if (proxy_model_chance(model, 500))
		model->dbs[primary].peers_cut_until_us = until_us;
}

/*
 * Draw which daemons' connections to which others end: those between two parts
 * of the daemons, or those of the one part to the other.
 */
static void
draw_links(proxy_model_t *model, refused_peers_t *refused)
{
	gint32 daemons = (gint32)model->plan->daemons;
	gint32 first = g_rand_int_range(model->rand, 0, daemons);
	gint32 other =
	    (first + g_rand_int_range(model->rand, 1, daemons)) % daemons;
	gint32 i, j;
	bool part[DAEMONS_MAX], one_way;

	for (i = 0; i < daemons; i++)
		part[i] = i == first ||
		    (i != other && proxy_model_chance(model, 500));
	one_way = proxy_model_chance(
	    model, model->plan->troubles.peers.one_way_permille);
	for (i = 0; i < daemons; i++) {
		for (j = 0; j < daemons; j++)
			refused->ends[i][j] =
			    part[i] != part[j] && (part[i] || !one_way);
	}
}

/*
 * Have something between refuse or reset the connections of some daemons to
 * others until a time.
 */
void
proxy_model_refuse_links(
    proxy_model_t *model, int64_t until_us, contact_t contact)
{
	draw_links(model, &model->refused_peers);
	model->refused_peers.contact = contact;
	model->refused_peers.until_us = until_us;
}

/*
 * Have something between refuse or reset the connections of some daemons to
 * others, and maybe cut some daemons off from the store meanwhile.
 */
static void
refuse_peers(proxy_model_t *model, refused_peers_t *refused)
{
	const proxy_model_peers_refused_t *peers = &model->plan->troubles.peers;
	uint32_t i;
	bool store_cut;

	draw_links(model, refused);
	refused->contact = proxy_model_chance(model, peers->reset_permille)
	    ? CONTACT_RESET
	    : CONTACT_REFUSED;
	refused->until_us = model->now_us + REFUSED_MIN_US +
	    proxy_model_random_us(model, REFUSED_MAX_US - REFUSED_MIN_US);
	store_cut = proxy_model_chance(model, peers->store_cut_permille);
	for (i = 0; i < model->plan->daemons && store_cut; i++) {
		if (proxy_model_chance(model, 500))
			model->daemons[i].object_store_cut_until_us =
			    refused->until_us;
	}
	refused->primary_cut_us =
	    proxy_model_chance(model, PRIMARY_CUT_PERMILLE)
	    ? model->now_us + proxy_model_random_us(model, PRIMARY_CUT_MAX_US)
	    : 0;
}

/*
 * Begin or continue a time in which connections between daemons are refused, at
 * random.
 */
void
proxy_model_peer_troubles(proxy_model_t *model)
{
	refused_peers_t *refused = &model->refused_peers;
	uint32_t permille = model->plan->troubles.peers.permille;

	if (permille == 0)
		return;
	if (refused->primary_cut_us != 0 &&
	    model->now_us >= refused->primary_cut_us) {
		refused->primary_cut_us = 0;
		cut_primary(model);
	}
	if (model->now_us < refused->until_us ||
	    !proxy_model_chance(model, permille))
		return;
	model->result->troubles++;
	refuse_peers(model, refused);
}
