#include "proxy_model_internal.h"

/* The proxy model: the coordinator role, and the record that names it. */

#define LEASE_STUCK_US (1500 * US_PER_MS)
#define STUCK_TAKEOVER_US (5 * US_PER_SECOND)

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

	if (daemon->is_coordinator)
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
	if (!hurries && model->coordinator != daemon_index &&
	    model->coordinator_token != daemon->last_read_token) {
		daemon->last_read_token = model->coordinator_token;
		return;
	}
	model->coordinator = daemon_index;
	daemon->fencing_token = daemon->newest_token_seen =
	    ++model->coordinator_token;
	daemon->is_coordinator = true;
	daemon->order_sent = false;
	daemon->coordinator_since_us = model->now_us;
	failover_orders_recorded(
	    &daemon->failover, &model->orders, model->now_us);
	proxy_model_members_read(model, daemon, &model->members, model->now_us);
	proxy_model_open_recorded(model, daemon, &model->open);
}
