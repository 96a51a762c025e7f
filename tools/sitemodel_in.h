#ifndef SITEMODEL_IN_H
#define SITEMODEL_IN_H

#include "../src/bergamotplank.h"
#include "../src/decide/promote.h"
#include "eventq.h"
#include "sitemodel.h"

/*
 * Inside the model.  sitemodel.c: the daemons and the run.  sitedbs.c: the
 * databases, the platform that makes primaries, and the simulated time.
 */

#define DAEMONS_MAX 5
#define DBS_MAX 5
#define REPLICATE_US (5 * US_PER_MS)
#define DELAY_MAX_US (4 * US_PER_MS)

typedef struct entry {
	uint64_t term;
	uint64_t id;
} entry_t;

typedef struct site_db {
	GArray *log; /* of entry_t */
	bool primary;
	uint64_t term;
	uint64_t held;   /* 0: receives */
	int64_t down_us; /* answers nothing until */
	int64_t cut_us[DAEMONS_MAX];
	int64_t cut_peers_us;
	int64_t reached_us; /* an old primary reaches the new one since */
} site_db_t;

/* A statement of one daemon. */
typedef struct run {
	bool read;
	bool ran;
	uint32_t db;
	uint64_t id;
	position_t at;
	int64_t asked_us;
	uint64_t begun_before; /* the newest term when it was asked */
} run_t;

typedef struct site_daemon {
	promote_t promote;
	lease_t lease;
	lease_span_t spans;
	int64_t paused_us; /* until */
	int64_t pause_began_us;
	int64_t no_store_us; /* until */
	bool duty;
	uint64_t token;
	uint64_t newest_token; /* of anybody, as heard */
	uint64_t seen_token;   /* in the record, at the last look */
	int64_t suspected_us;
	int64_t patience_us;
	int64_t asked_us[DBS_MAX];
	bool asking[DBS_MAX];
	uint64_t settle_term;
	uint32_t settle_answers;
	GPtrArray *runs; /* of run_t */
} site_daemon_t;

typedef enum event_kind {
	EVENT_TICK,
	EVENT_REPLICATE,
	EVENT_CALL,    /* reaches a database */
	EVENT_ANSWER,  /* reaches a daemon */
	EVENT_SETTLE,  /* reaches another daemon */
	EVENT_SETTLED, /* its answer reaches the daemon */
	EVENT_CHECKED, /* the record that was read reaches the daemon */
	EVENT_PROMOTE, /* takes effect */
} event_kind_t;

typedef enum call_kind {
	CALL_STATUS,
	CALL_HOLD,
	CALL_STEP_DOWN,
	CALL_RESUME,
	CALL_RUN,
} call_kind_t;

typedef struct event {
	event_kind_t kind;
	call_kind_t call;
	uint32_t daemon;
	uint32_t other; /* daemon */
	uint32_t db;
	uint64_t term;
	uint64_t token;
	int64_t asked_us;
	bool ok;
	run_t *run;
	db_view_t view;
} event_t;

typedef struct site_model {
	const site_model_plan_t *plan;
	site_model_result_t *result;
	GRand *rand;
	eventq_t *events;
	int64_t now_us;
	site_db_t dbs[DBS_MAX];
	site_daemon_t daemons[DAEMONS_MAX];
	uint64_t begun; /* the newest term */
	uint32_t holder;
	uint64_t token; /* of the record; 0: nobody has the duty */
	uint64_t next_id;
	GArray *acked; /* of uint64_t */
	arena_t *arena;
} site_model_t;

int64_t site_below(site_model_t *, int64_t bound_us);
bool site_chance(site_model_t *, uint32_t permille);
void site_later(site_model_t *, int64_t after_us, const event_t *);
void site_call(site_model_t *, const event_t *);
uint32_t site_copies(const site_model_t *, uint32_t except, uint64_t id);
void site_promote(site_model_t *, const event_t *);
void site_replicate(site_model_t *, const event_t *);

#endif
