#ifndef PROXY_ROUTER_H
#define PROXY_ROUTER_H

#include "decide/clock_offset.h"
#include "decide/placement.h"
#include "decide/reconnect.h"
#include "frame.h"
#include "log.h"
#include "proxy.h"
#include "stats.h"

/*
 * Private to the router task, which passes each statement to the pool task of
 * this daemon, or sends it to another daemon that owns its group.
 *
 * router.c		task callbacks, choice of the owner
 * remote.c		statements and transactions at other daemons
 * owner_link.c		links to other daemons
 *
 * owner		a daemon that has connections to the databases of a
 * group
 */

typedef struct router router_t;

/* Another daemon that may own groups. */
typedef struct owner {
	router_t *router;
	char *name;
	char *zone;
	char *address;         /* "IP:PORT" */
	double weight;         /* share of a core */
	bool listed;           /* the store lists the daemon */
	frame_link_t *link;    /* NULL: not connected */
	bool open;             /* the link is established */
	bool silent;           /* has not answered for SILENT_US */
	bool unproved;         /* nor on a link since one that was silent */
	bool leaving;          /* shuts down */
	bool followed;         /* was asked for news of the store */
	int64_t news_us;       /* time of the last news, or of the request */
	clock_offset_t clock;  /* of the daemon, from its news */
	int64_t connect_us;    /* time at which the link was requested */
	int64_t received_us;   /* time of the last message */
	int64_t waiting_us;    /* time since which an answer is due; 0: none */
	int64_t probe_sent_us; /* time of the last probe */
	reconnect_t reconnect; /* delay of the next attempt to connect */
	GQueue sessions;       /* of remote_session_t */
	/* groups, by name, whose databases the daemon does not reach, with the
	   time (int64_t) until which it gets no statements for them */
	GHashTable *unable;
} owner_t;

/* A client session with a statement or a transaction at an owner. */
typedef struct remote_session {
	uint64_t id; /* key in router->sessions */
	owner_t *owner;
	GList link;           /* entry in owner->sessions */
	msg_t *msg;           /* RunOperation without an answer, or NULL */
	bool sent;            /* the statement was handed to the link */
	bool has_transaction; /* a transaction is open at the owner */
	uint32_t tries; /* number of owners that the statement was lost at */
	int64_t arrived_us;
	int64_t deadline_us; /* end of the statement's timeout */
} remote_session_t;

/* The owners of a group, as this daemon knows them. */
typedef struct group_owners {
	uint32_t connections_max; /* limit of a database, of all daemons */
	uint32_t owners;          /* number of owners */
	bool owned;               /* this daemon is one of them */
	bool unable;              /* this daemon does not reach the databases */
	/* end of the latest time in which another daemon gets no statements
	   since it does not reach them */
	int64_t unable_until_us;
	bool chosen;     /* choice is valid */
	owner_t *choice; /* daemon that runs the statements; NULL: this one */
} group_owners_t;

/* Counters and gauges of the router task. */
typedef enum router_counter {
	COUNT_FORWARDED,       /* statements sent to other daemons */
	COUNT_FORWARDED_AGAIN, /* sent to another one after a loss */
	COUNT_FORWARDED_LOST,  /* ended without an answer of the owner */
	COUNT_OWNERS_LOST,     /* links that ended or failed */
	COUNT_OWNERS_LINKED,   /* links now; a gauge */
	COUNT_GROUPS_OWNED,    /* groups that this daemon owns; a gauge */
	ROUTER_COUNTERS,
} router_counter_t;

#define ROUTER_GAUGES 2

struct router {
	const proxy_t *proxy;
	task_t *task;
	GHashTable *owners;      /* of owner_t by name, without this daemon */
	GHashTable *groups;      /* of group_owners_t by name */
	GHashTable *sessions;    /* of remote_session_t by id */
	group_owners_t watchers; /* daemons that watch the store for others */
	owner_t *watcher; /* the one that this daemon has asked; NULL: none */
	uint32_t daemons_listed; /* number of daemons in the last listing */
	/* two listings were alike; before, while a fleet starts, each daemon
	   would seem to be an owner of each group */
	bool settled;
	GSource *tick_timer;
	int64_t last_tick_us;               /* 0: none yet */
	log_rate_limit_t failure_log_limit; /* limit of log lines on losses */
	uint64_t counts[ROUTER_COUNTERS];
};

/* router.c */
owner_t *router_choose(router_t *, const char *group);
void router_forget_choices(router_t *);
void router_owner_unable(owner_t *, const char *group);

/* remote.c */
void remote_run(router_t *, msg_t *);
void remote_drop(router_t *, msg_t *);
void remote_answered(owner_t *, arena_t *, const Bp__OperationEnded *);
void remote_dropped(owner_t *, const Bp__TransactionDropped *);
void remote_send_waiting(owner_t *);
bool remote_answer_due(const owner_t *);
void remote_owner_lost(owner_t *);
void remote_owner_silent(owner_t *);
void remote_expire(owner_t *, int64_t now_us);
void remote_session_free(gpointer);
void remote_abort_all(router_t *);

/* owner_link.c */
owner_t *owner_new(router_t *, const Bp__DaemonRecord *);
void owner_free(gpointer);
void owner_update(owner_t *, const Bp__DaemonRecord *);
void owner_connect(owner_t *);
bool owner_avoided(const owner_t *);
void owner_send(owner_t *, const Bp__PeerMessage *);
void owner_tick(owner_t *, int64_t now_us);
void owner_restart_timeouts(owner_t *, int64_t now_us);

#endif
