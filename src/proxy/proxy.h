#ifndef PROXY_H
#define PROXY_H

#include "decide/failover.h"
#include "objects.h"
#include "settings.pb-c.h"
#include "task.h"
#include "wire.h"

/*
 * The proxy daemon stands between clients and databases, and speaks the line
 * protocol of the databases on both sides.
 *
 * This structure is filled before the tasks start and is read-only afterwards.
 * All tasks run in one thread, since the machines have one small core.
 */
typedef struct proxy {
	const Bp__ProxySettings *settings;
	uint64_t start; /* number of this process: ms of real time */
	const wire_ops_t *wire;
	const object_store_ops_t *objects;
	const promoter_ops_t *promoter;
	task_t *control;
	task_t *clients;
	task_t *router;
	task_t *pool;
	task_t *registry;
	task_t *peers;
	task_t *metrics;
} proxy_t;

extern const task_ops_t proxy_control_ops;
extern const task_ops_t clients_ops;
extern const task_ops_t router_ops;
extern const task_ops_t pool_ops;
extern const task_ops_t registry_ops;
extern const task_ops_t peers_ops;
extern const task_ops_t metrics_ops;

void *proxy_control_new(const proxy_t *);
void *clients_new(const proxy_t *);
void *router_new(const proxy_t *);
void *pool_new(const proxy_t *);
void *registry_new(const proxy_t *);
void *peers_new(const proxy_t *);
void *metrics_new(const proxy_t *);
void proxy_control_free(void *);
void clients_free(void *);
void router_free(void *);
void pool_free(void *);
void registry_free(void *);
void peers_free(void *);
void metrics_free(void *);

/*
 * Longest frame between daemons, in bytes; a statement has up to 1 MiB, a
 * result up to FORWARDED_RESULT_BYTES_MAX.
 */
#define PEER_FRAME_BYTES_MAX (UINT32_C(4) << 20)

/*
 * Maximum time from recording a promotion order to sending it.  After a longer
 * time, for example because the process was suspended, it is recorded again
 * first.
 */
#define COORDINATOR_CHECK_MAX_AGE_US (150 * US_PER_MS)

/*
 * For this long after it asked the store, which named this daemon as the
 * coordinator, it may resume replication that another daemon paused.  The time
 * of the request counts, since the answer may be late, and another daemon may
 * have taken the role since.
 */
#define COORDINATOR_CONFIRMED_US (800 * US_PER_MS)

/* Time limit for most daemons to confirm the token of an order. */
#define CONFIRM_TIMEOUT_MS 200

/*
 * Time in which an order is written after it was confirmed or recorded, and
 * user timeout of its connection.
 */
#define ORDER_DELIVERY_MS 200

/* Time in which the kernel delivers an order that was written. */
#define ORDER_KERNEL_MS 200

/*
 * The first order under a new token is sent this long after most daemons were
 * told of the token, so that an order of the previous coordinator has reached
 * the platform by then.  That one was confirmed before, or recorded.
 */
#define FIRST_ORDER_DELAY_US \
	((CONFIRM_TIMEOUT_MS + ORDER_DELIVERY_MS + ORDER_KERNEL_MS) * US_PER_MS)

/*
 * Maximum time from the decision on a promotion to its order.  After a longer
 * time, for example because the process was suspended, it is not sent.
 */
#define ORDER_MAX_AGE_US (1000 * US_PER_MS)

void proxy_failover_limits(const Bp__ProxyTimeouts *, failover_limits_t *);
int32_t proxy_run(const Bp__ProxySettings *, const wire_ops_t *,
    const object_store_ops_t *, const promoter_ops_t *);
int32_t address_split(const char *text, char **address, uint32_t *port);
GSocketAddress *address_parse(const char *text);

#endif
