#include "proxy_model_internal.h"

/*
 * The proxy model: directed sequences of faults, for states that faults at
 * random times hardly ever reach.
 *
 * The late order: the order of a coordinator is held up, and the coordinator
 * loses the store.  Its successor in the role does not reach the old primary,
 * nor the database that is to be promoted, and begins an attempt of its own.
 * The old primary is back just as it is asked to step down, and may be cut off
 * again after its answer.  Then the held up order takes effect, no later than
 * the second one, and the old primary follows the term that it begins, unless
 * it has promised a newer one.  One more daemon hears nothing of the attempt.
 *
 * The paused sender: the process of a coordinator pauses after it has written
 * the coordinator record, before it sends the order.  Its successor in the role
 * does not reach the database that is to be promoted, and has another one
 * promoted.  Then the first coordinator goes on.  One more daemon does not
 * reach the database that this promotes.
 *
 * The cut off primary: only one daemon reaches it.  That one does not hear of
 * the failover, pauses in most cases, and may be cut off from other databases.
 * It may be cut off from the store as well; then the sequence also begins as it
 * becomes an owner, or as the store loses its record, and it does not pause.
 *
 * The refused majority: the same, but the primary and others run, refuse the
 * other daemons and have no entry in the store.
 *
 * The restarted member: only one daemon reaches the primary, and reaches
 * nothing else but the store.  A database that is to promise a new term
 * meanwhile starts again, and from then on that daemon reaches it, until it is
 * cut off from all.
 */

#define SEQUENCE_MAX_US (8 * US_PER_SECOND)
#define ORDER_LATE_MAX_US (3 * US_PER_SECOND)
#define FOLLOWED_MAX_US (100 * US_PER_MS)
#define MEMBER_RESTART_MAX_US (4 * US_PER_SECOND)
#define MEMBER_DOWN_US (50 * US_PER_MS)

/*
 * Return a random time within the longest duration of a sequence, from now on.
 */
static int64_t
random_end_us(proxy_model_t *model)
{
	return model->now_us + SEQUENCE_MAX_US / 2 +
	    proxy_model_random_us(model, SEQUENCE_MAX_US / 2);
}

/*
 * Begin the sequence of a late order at random, now that a daemon has sent an
 * order to promote a database.  Returns the time for which the order is held
 * up, 0 if no sequence begins.
 */
int64_t
proxy_model_order_late(proxy_model_t *model, uint32_t daemon, uint32_t db)
{
	const proxy_model_plan_t *plan = model->plan;
	int32_t primary = proxy_model_primary(&model->daemons[daemon]);
	sequence_t *sequence = &model->sequence;
	proxy_model_daemon_t *sender = &model->daemons[daemon];
	uint32_t i, unaware;

	if (plan->order_late_permille == 0 || primary < 0 ||
	    (uint32_t)primary == db || model->now_us < sequence->until_us ||
	    !proxy_model_chance(model, plan->order_late_permille))
		return 0;
	*sequence = (sequence_t){.until_us = random_end_us(model),
	    .primary = (uint32_t)primary,
	    .coordinator = (daemon + 1) % plan->daemons,
	    .order_late = true,
	    .promoted = db};
	unaware = (daemon + 2) % plan->daemons;
	sender->object_store_cut_until_us = sequence->until_us;
	if (proxy_model_chance(model, 500)) {
		sender->paused_until_us = sequence->until_us;
		sender->pause_began_us = model->now_us;
	}
	model->dbs[primary].down_until_us = 0;
	model->dbs[primary].peers_cut_until_us = 0;
	model->dbs[primary].daemon_cut_until_us[unaware] = 0;
	model->dbs[primary].daemon_cut_until_us[sequence->coordinator] =
	    sequence->until_us;
	model->dbs[db].daemon_cut_until_us[sequence->coordinator] =
	    sequence->until_us;
	model->daemons[unaware].daemons_cut_until_us = sequence->until_us;
	for (i = 0; i < plan->databases; i++) {
		if (i != db && i != (uint32_t)primary)
			model->dbs[i].daemon_cut_until_us[unaware] =
			    sequence->until_us;
	}
	return proxy_model_random_us(model, ORDER_LATE_MAX_US);
}

/*
 * Begin the sequence of a paused sender at random, now that a daemon has
 * written the coordinator record and is to order the promotion of a database.
 */
void
proxy_model_sender_paused(proxy_model_t *model, uint32_t daemon, uint32_t db)
{
	const proxy_model_plan_t *plan = model->plan;
	proxy_model_daemon_t *sender = &model->daemons[daemon];
	sequence_t *sequence = &model->sequence;
	uint32_t unaware = (daemon + 2) % plan->daemons;

	if (plan->sender_paused_permille == 0 ||
	    model->now_us < sequence->until_us ||
	    !proxy_model_chance(model, plan->sender_paused_permille))
		return;
	*sequence = (sequence_t){.until_us = random_end_us(model),
	    .primary = UINT32_MAX,
	    .coordinator = (daemon + 1) % plan->daemons};
	sender->paused_until_us = sequence->until_us;
	sender->pause_began_us = model->now_us;
	model->dbs[db].daemon_cut_until_us[sequence->coordinator] =
	    sequence->until_us;
	model->dbs[db].daemon_cut_until_us[unaware] =
	    sequence->until_us + SEQUENCE_MAX_US / 2;
}

/*
 * Begin the sequence of a cut off primary, with the daemon that still reaches
 * it.
 */
static void
cut_primary(proxy_model_t *model, uint32_t daemon, uint32_t primary)
{
	const proxy_model_plan_t *plan = model->plan;
	sequence_t *sequence = &model->sequence;
	proxy_model_db_t *db = &model->dbs[primary];
	uint32_t i;

	*sequence = (sequence_t){.until_us = random_end_us(model),
	    .primary = UINT32_MAX,
	    .coordinator = UINT32_MAX};
	db->peers_cut_until_us = sequence->until_us;
	for (i = 0; i < plan->daemons; i++)
		db->daemon_cut_until_us[i] =
		    i == daemon ? 0 : sequence->until_us;
	model->daemons[daemon].daemons_cut_until_us = sequence->until_us;
	if (plan->alone_permille > 0 &&
	    proxy_model_chance(model, plan->alone_permille))
		model->daemons[daemon].object_store_cut_until_us =
		    sequence->until_us;
}

/*
 * Begin the sequence of a cut off primary at random, with the daemon that still
 * reaches it.
 */
void
proxy_model_primary_cut(proxy_model_t *model, uint32_t daemon)
{
	const proxy_model_plan_t *plan = model->plan;
	int32_t primary = proxy_model_primary(&model->daemons[daemon]);
	uint32_t i;

	if (plan->primary_cut_permille == 0 || primary < 0 ||
	    model->now_us < model->sequence.until_us ||
	    !proxy_model_chance(model, plan->primary_cut_permille))
		return;
	cut_primary(model, daemon, (uint32_t)primary);
	for (i = 0; i < plan->databases; i++) {
		if ((int32_t)i != primary && proxy_model_chance(model, 500))
			model->dbs[i].daemon_cut_until_us[daemon] =
			    model->sequence.until_us;
	}
	if (proxy_model_chance(model, 300))
		return;
	model->daemons[daemon].paused_until_us = model->now_us +
	    SEQUENCE_MAX_US / 4 +
	    proxy_model_random_us(model, SEQUENCE_MAX_US / 4);
	model->daemons[daemon].pause_began_us = model->now_us;
}

/*
 * Tell whether a sequence begins at random with a daemon that is not the
 * coordinator and knows a primary, while no other sequence runs.
 */
static bool
begins(proxy_model_t *model, uint32_t daemon, uint32_t permille)
{
	const proxy_model_daemon_t *first = &model->daemons[daemon];

	return permille > 0 && proxy_model_primary(first) >= 0 &&
	    !first->is_coordinator &&
	    model->now_us >= model->sequence.until_us &&
	    proxy_model_chance(model, permille);
}

/*
 * Begin the sequence of a cut off primary at random, now that the store has no
 * record that the daemon holds leases.
 */
void
proxy_model_unlisted_cut(proxy_model_t *model, uint32_t daemon)
{
	const proxy_model_plan_t *plan = model->plan;
	proxy_model_daemon_t *alone = &model->daemons[daemon];
	int32_t primary = proxy_model_primary(alone);

	if (!begins(model, daemon, plan->alone_permille))
		return;
	cut_primary(model, daemon, (uint32_t)primary);
	alone->object_store_cut_until_us = model->sequence.until_us;
}

/*
 * Begin the sequence of a refused majority at random, with the daemon that
 * still reaches it.
 */
void
proxy_model_most_refused(proxy_model_t *model, uint32_t daemon)
{
	const proxy_model_plan_t *plan = model->plan;
	uint32_t permille = plan->troubles.most_refused_permille;
	int32_t primary = proxy_model_primary(&model->daemons[daemon]);
	sequence_t *sequence = &model->sequence;
	uint32_t i, j, refused = 0;

	if (!begins(model, daemon, permille))
		return;
	model->result->troubles++;
	cut_primary(model, daemon, (uint32_t)primary);
	model->daemons[daemon].object_store_cut_until_us = sequence->until_us;
	for (i = 0; i < plan->databases; i++) {
		proxy_model_db_t *db =
		    &model->dbs[((uint32_t)primary + i) % plan->databases];

		/* one database at least stays in the list */
		if (refused == plan->databases - 1 ||
		    (i > 0 && proxy_model_chance(model, 300))) {
			if (proxy_model_chance(model, 500))
				db->daemon_cut_until_us[daemon] =
				    sequence->until_us;
			continue;
		}
		refused++;
		proxy_model_entry_lost(model,
		    ((uint32_t)primary + i) % plan->databases,
		    sequence->until_us);
		for (j = 0; j < plan->daemons; j++) {
			db->daemon_cut_until_us[j] = 0;
			if (j != daemon)
				db->refused_until_us[j] = sequence->until_us;
		}
	}
}

/*
 * Begin the sequence of a restarted member at random, with the daemon that
 * reaches the primary alone.
 */
void
proxy_model_member_cut(proxy_model_t *model, uint32_t daemon)
{
	const proxy_model_plan_t *plan = model->plan;
	uint32_t permille = plan->troubles.member_restart_permille;
	int32_t primary = proxy_model_primary(&model->daemons[daemon]);
	sequence_t *sequence = &model->sequence;
	uint32_t i, member;

	if (!begins(model, daemon, permille))
		return;
	model->result->troubles++;
	cut_primary(model, daemon, (uint32_t)primary);
	member = ((uint32_t)primary + 1 +
		     (uint32_t)g_rand_int_range(
			 model->rand, 0, (gint32)plan->databases - 1)) %
	    plan->databases;
	sequence->member_restarts_us =
	    model->now_us + proxy_model_random_us(model, MEMBER_RESTART_MAX_US);
	for (i = 0; i < plan->databases; i++) {
		int64_t until_us = i == member ? sequence->member_restarts_us
					       : sequence->until_us;

		if (i != (uint32_t)primary)
			model->dbs[i].daemon_cut_until_us[daemon] = until_us;
	}
	if (plan->troubles.leaving_permille > 0)
		model->dbs[member].leaves_us = sequence->member_restarts_us;
	sequence->restarts = plan->troubles.leaving_permille == 0;
	sequence->member = member;
	sequence->member_cut_us = sequence->member_restarts_us +
	    proxy_model_random_us(model, MEMBER_RESTART_MAX_US);
}

/*
 * Have the member of a sequence start again, and cut it off, when the time has
 * come.
 */
void
proxy_model_member_restarts(proxy_model_t *model)
{
	sequence_t *sequence = &model->sequence;
	proxy_model_db_t *db = &model->dbs[sequence->member];

	if (sequence->restarts &&
	    model->now_us >= sequence->member_restarts_us) {
		sequence->restarts = false;
		proxy_model_db_restart(model, sequence->member);
		db->down_until_us = model->now_us + MEMBER_DOWN_US;
	}
	if (sequence->member_cut_us != 0 &&
	    model->now_us >= sequence->member_cut_us) {
		uint32_t i;

		sequence->member_cut_us = 0;
		db->peers_cut_until_us = sequence->until_us;
		for (i = 0; i < model->plan->daemons; i++)
			db->daemon_cut_until_us[i] = sequence->until_us;
	}
}

/*
 * Have the late order of a sequence take effect now that the next coordinator
 * has sent its own, before that one does.
 */
void
proxy_model_order_followed(proxy_model_t *model, uint32_t daemon)
{
	const sequence_t *sequence = &model->sequence;
	event_t promotion = {
	    .kind = EVENT_PROMOTED, .db = sequence->promoted, .ok = true};

	if (sequence->order_late && daemon == sequence->coordinator)
		proxy_model_schedule(model,
		    proxy_model_random_us(model, FOLLOWED_MAX_US), &promotion);
}

/*
 * Tell whether the order of a promotion is the late one of a sequence, and has
 * taken effect before.
 */
bool
proxy_model_order_over(proxy_model_t *model, const event_t *promotion)
{
	bool over = promotion->ok && !model->sequence.order_late;

	if (promotion->ok)
		model->sequence.order_late = false;
	return over;
}

/*
 * Tell whether a daemon is the next coordinator in a sequence, which asks for
 * the role as soon as it suspects the primary.
 */
bool
proxy_model_hurries(const proxy_model_t *model, uint32_t daemon)
{
	return model->now_us < model->sequence.until_us &&
	    daemon == model->sequence.coordinator;
}

/*
 * Have a daemon reach the old primary of a sequence as it asks it to step down.
 */
void
proxy_model_steps_down(proxy_model_t *model, uint32_t daemon, uint32_t db)
{
	const sequence_t *sequence = &model->sequence;

	if (model->now_us < sequence->until_us && db == sequence->primary &&
	    daemon == sequence->coordinator)
		model->dbs[db].daemon_cut_until_us[daemon] = 0;
}

/*
 * Cut a daemon off from the old primary of a sequence, at random, after that
 * has answered that it has stepped down.
 */
void
proxy_model_stepped_down(proxy_model_t *model, uint32_t daemon, uint32_t db)
{
	const sequence_t *sequence = &model->sequence;

	if (model->now_us < sequence->until_us && db == sequence->primary &&
	    daemon == sequence->coordinator && proxy_model_chance(model, 500))
		model->dbs[db].daemon_cut_until_us[daemon] = sequence->until_us;
}
