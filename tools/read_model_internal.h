#ifndef READ_MODEL_INTERNAL_H
#define READ_MODEL_INTERNAL_H

#include "../src/bergamotplank.h"
#include "../src/decide/failover.h"
#include "../src/decide/replica.h"
#include "eventq.h"
#include "read_model.h"

/*
 * Internal to the read model.  read_model.c: the sessions, the daemons and the
 * event loop.  read_model_dbs.c: the databases, changes of primary, the store's
 * record, and the commits that a read must see.
 */

#define GROUPS 2
#define DAEMONS 3
#define DBS 3
#define SESSIONS 8
#define MISSING_MAX 8

#define TICK_US (20 * US_PER_MS)
#define LEASE_US (400 * US_PER_MS)
#define MAX_AGE_US (250 * US_PER_MS)
#define SUSPECT_US (300 * US_PER_MS)
#define NETWORK_DELAY_MAX_US (3 * US_PER_MS)

/* A log entry. */
typedef struct entry {
	uint64_t term;
	uint64_t id; /* index in the group's commits */
} entry_t;

/* A database.  The _until_us fields are the ends of its troubles. */
typedef struct db {
	GArray *log;       /* of entry_t */
	uint32_t applied;  /* number of entries that reads see */
	uint64_t log_term; /* term of the end of the log */
	bool primary;
	uint64_t term;        /* term that it leads or follows */
	uint64_t paused_term; /* term that it has promised; 0: none */
	uint64_t born;        /* number of its starts */
	uint64_t recorded;    /* start that the store has recorded */
	int64_t down_until_us;
	int64_t receives_nothing_until_us;
	int64_t applies_nothing_until_us;
} db_t;

/* A commit, from its run on. */
typedef struct commit {
	uint32_t index; /* number of its entry in the log */
	uint64_t term;
	uint32_t session;
	int64_t acked_us; /* 0: not acknowledged */
	bool rolled_back;
} commit_t;

/* A change of primary. */
typedef struct change {
	bool under_way;
	uint64_t attempt;
	uint64_t replaced_term;
	bool late;       /* an earlier order is open */
	int64_t last_us; /* end of the last change */
} change_t;

/* A group of databases, and what the store has recorded of it. */
typedef struct group {
	db_t dbs[DBS];
	uint32_t leader; /* of the newest term */
	uint64_t newest_term;
	GArray *commits; /* of commit_t */
	recorded_orders_t recorded;
	recorded_orders_t older; /* in an older copy of the store */
	change_t change;
	int32_t open_db; /* database that an open order names; -1: none */
	int64_t open_until_us;
} group_t;

/* A connection of a daemon to a database. */
typedef struct conn {
	uint32_t generation; /* grows each time it is opened */
	uint64_t born;       /* start of the database that it reaches */
	int64_t connected_us;
	int64_t silent_until_us;
	int64_t asked_us; /* time of the last status request */
	bool pending;     /* which is not answered */
} conn_t;

/* What a daemon knows of a group. */
typedef struct known_group {
	failover_t failover;
	lease_t lease;
	position_history_t history;
	conn_t conns[DBS];
	position_t applied[DBS];
	int64_t applied_us[DBS];
	bool orders_pending;
	GPtrArray *ops; /* of op_t: queued, sent or held */
} known_group_t;

typedef struct daemon_state {
	known_group_t groups[GROUPS];
	lease_duration_t durations;
	int64_t frozen_until_us;
	int64_t step_us;          /* time at which it handles events */
	int64_t previous_step_us; /* and at which it did before */
	int64_t restored_us;      /* time it learned that the store went back */
	uint64_t era;
	int64_t link_silent_until_us[DAEMONS];
} daemon_state_t;

typedef enum op_state {
	OP_QUEUED,
	OP_SENT,
	OP_HELD,
	OP_DONE,
} op_state_t;

/* A statement, or a read-only transaction. */
typedef struct op {
	uint32_t session;
	uint32_t group;
	uint32_t entry; /* daemon of the session */
	uint32_t owner; /* daemon that runs it */
	read_model_route_t route;
	bool write;
	bool transaction; /* two reads on one connection */
	bool second;      /* it is the second of them */
	op_state_t state;
	int64_t begun_us;   /* its first byte was sent */
	int64_t entry_us;   /* it arrived at the entry */
	int64_t waited_us;  /* time that it was there */
	int64_t arrived_us; /* arrival, as the owner counts it */
	position_t floor;
	uint32_t attempt; /* number of times that it was sent */
	uint32_t db;
	uint64_t born; /* start of the database to which it was sent */
	int64_t sent_us;
	bool with_position; /* it required a position */
	position_t needed;
	position_t executed; /* position in its answer */
	int64_t executed_us;
	uint64_t commit;
	/* commits that it had to see and did not */
	uint64_t missing[MISSING_MAX];
	uint32_t missing_count;
} op_t;

/* The session of a client. */
typedef struct session {
	uint32_t entry;
	read_model_route_t route;
	uint32_t group;
	position_t floors[GROUPS];
	uint32_t last_write_group;
	op_t *op; /* the statement that runs */
} session_t;

typedef enum event_kind {
	EVENT_WORLD_TICK,    /* databases replicate, troubles begin */
	EVENT_DAEMON_TICK,   /* a daemon asks for status and dispatches */
	EVENT_SESSION,       /* a session sends its next statement */
	EVENT_ENTERED,       /* a statement reaches its entry */
	EVENT_ACCEPTED,      /* and its owner */
	EVENT_CONTINUED,     /* so does the second of a transaction */
	EVENT_CHOSEN,        /* which chooses a database */
	EVENT_RUN,           /* it reaches the database */
	EVENT_ANSWERED,      /* its answer reaches the owner */
	EVENT_ACKNOWLEDGED,  /* and the session */
	EVENT_STATUS,        /* a status request reaches a database */
	EVENT_STATUS_ANSWER, /* its answer reaches the daemon */
	EVENT_REVOKE,        /* a daemon is told of a change of primary */
	EVENT_ORDERS_READ,   /* the store's answer reaches the daemon */
	EVENT_RESTORED,      /* a daemon learns that the store went back */
	EVENT_ORDERED,       /* the leases are over: the change is ordered */
	EVENT_PROMOTED,      /* an order takes effect */
} event_kind_t;

typedef struct event {
	event_kind_t kind;
	bool of_daemon; /* waits while the daemon is frozen */
	uint32_t daemon;
	uint32_t group;
	uint32_t db;
	uint32_t session;
	op_t *op;
	uint32_t attempt;
	uint32_t generation;
	uint64_t born;
	uint64_t term;
	uint64_t era;
	int64_t sent_us;
	bool ok;
	bool late;
	position_t position; /* that the log had when the database answered */
	db_view_t view;
	recorded_orders_t orders;
} event_t;

typedef struct model {
	const read_model_plan_t *plan;
	read_model_result_t *result;
	GRand *rand;
	eventq_t *events;
	int64_t now_us;
	group_t groups[GROUPS];
	daemon_state_t daemons[DAEMONS];
	session_t sessions[SESSIONS];
	uint64_t era; /* of the store */
	GPtrArray *ops;
} model_t;

int64_t read_model_random_us(model_t *, int64_t bound_us);
bool read_model_chance(model_t *, uint32_t permille);
void read_model_schedule(model_t *, int64_t after_us, const event_t *);

void read_model_groups_init(model_t *);
void read_model_groups_clear(model_t *);
void read_model_world_tick(model_t *);
void read_model_ordered(model_t *, const event_t *);
void read_model_promoted(model_t *, const event_t *);
position_t read_model_position(const db_t *, uint32_t entries);
bool read_model_db_runs(const model_t *, const db_t *);
void read_model_write(model_t *, op_t *);
void read_model_read(model_t *, op_t *);
void read_model_acknowledged(model_t *, op_t *);
void read_model_status(const model_t *, const event_t *, db_view_t *);

#endif
