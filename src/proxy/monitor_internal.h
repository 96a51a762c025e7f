#ifndef PROXY_MONITOR_INTERNAL_H
#define PROXY_MONITOR_INTERNAL_H

#include "pool.h"

/*
 * Private to the monitoring of a group.  A file calls only files below it; what
 * the rest of the pool calls is declared in pool.h:
 *
 * monitor.c		initial state; tick: probes, takeovers and failovers
 * monitor_answers.c	answers of servers: position, status, promise, refusal
 * monitor_probe.c	status requests, and when they are due
 * monitor_handover.c	when a primary hands over
 * monitor_change.c	actions of a change of primary, and their results
 * monitor_role.c	coordinator role: confirmed, or asked for
 */

/* monitor_probe.c */
void probe_server(server_t *, int64_t now_us);

/* monitor_handover.c */
void check_handover(group_t *, int64_t now_us);
void watch_handover(group_t *, int64_t now_us);

/* monitor_change.c */
void pause_replication(server_t *, uint64_t term);
void request_revocation(group_t *, uint64_t term, bool begun, int64_t now_us);
void execute_action(group_t *, const failover_action_t *, int64_t now_us);

/* monitor_role.c */
void request_coordinator_check(pool_t *);
bool coordinator_confirmed(const pool_t *, int64_t now_us);
bool monitor_leases_awaited(const group_t *, bool due, int64_t now_us);
int64_t monitor_takeover_us(const group_t *, bool due);
void check_takeover(group_t *, int64_t now_us);

#endif
