#ifndef PROXY_REGISTRY_H
#define PROXY_REGISTRY_H

#include "decide/config_delay.h"
#include "decide/refresh.h"
#include "proxy.h"

/*
 * Private to the registry task, which reads and writes the platform's object
 * store.
 *
 * registry.c		the catalog: configuration and registrations
 * store_watch.c	lists and watches of the store
 * promotion.c		promotion orders; promotion_internal.h lists its files
 * coordinator.c	coordinator role
 * record_restore.c	replacement of a record that cannot be read
 * orders.c		the orders and members that the coordinator record holds
 * daemons.c		heartbeat records of the daemons
 * news.c		news of the store from a daemon that watches it
 * store_era.c		returns of the store from an older copy
 */

typedef struct registry registry_t;

/*
 * A list and watch of one kind of object: all objects are listed once,
 * then changes after the last revision received are requested.
 */
typedef struct object_watch {
	registry_t *registry;
	object_kind_t kind;
	bool relist;             /* the revision is too old: list again */
	bool synced;             /* the objects were listed at least once */
	uint64_t era;            /* era of the store in the last list */
	uint64_t watch_revision; /* last revision received, in that era */
	GSource *retry_timer;    /* delay of the next call */
	/* no call is made until news of a change; see news.c */
	bool paused;
	uint32_t list_length;      /* number of objects in the last list */
	uint64_t changed_revision; /* revision of the last change */
	/* revision of the last change in the news, in the newest era */
	uint64_t wanted_revision;
	bool listing;          /* the last request was for a list */
	object_age_t list_age; /* of the last list that was requested */
	int64_t wanted_us;     /* time of the first news that no list had yet */
	refresh_t refresh;     /* intervals of the requests */
	int64_t requested_us;  /* time of the last request */
	uint32_t wait_ms;      /* of the last watch */
	/* time up to which all changes are known, by the responses of the
	   store, and by the news; 0: none */
	int64_t known_us;
	int64_t news_known_us;
	/* time up to which all changes were applied */
	int64_t applied_us;
	uint32_t failures;        /* consecutive failed calls */
	bool failing;             /* the last call failed */
	bool ignoring;            /* the last list was ignored */
	int64_t failing_since_us; /* time of the first failed call */
	int64_t recovered_us;     /* time of the first success after failures */
} object_watch_t;

struct registry {
	const proxy_t *proxy;
	task_t *task;
	object_store_t *objects;
	uint64_t store_era; /* newest era of the store; 0: none known */
	promoter_t *promoter;
	object_watch_t config_watch;
	object_watch_t servers_watch;
	arena_t *config_arena;     /* arena of catalog */
	Bp__Catalog *catalog;      /* configuration, without the servers */
	GHashTable *registrations; /* of registration_t by object name */
	GSource *expiry_timer;     /* runs while registrations are missing */
	bool published;            /* a catalog was sent to the other tasks */
	bool config_sent;          /* the configuration was sent to all tasks */
	uint64_t fencing_token; /* token of the coordinator role; 0: not held */
	bool coordinator_call_pending; /* the coordinator record is being read
					  or written */
	bool role_wanted; /* take the role if the record that is being read
			     allows it */
	uint64_t coordinator_revision; /* last known revision of the record */
	uint64_t coordinator_token;    /* last known token in the record */
	uint64_t record_begun; /* token with which that was begun; 0: unknown */
	uint64_t highest_token; /* highest that this or another daemon knows */
	bool first_token;       /* no other one was known when it was chosen */
	int64_t coordinator_sent_us; /* time of the last read of the record to
					take or verify the role, or of the last
					write that takes it */
	/* token and revision of the record with which this process last took
	   the role, while no other one is known to have followed; 0: none */
	uint64_t written_token;
	uint64_t written_revision;
	uint64_t restore_revision; /* of an unreadable record that is being
				      replaced; 0: none */
	GSource *restore_timer;
	uint32_t daemons_most;  /* daemons listed at once since that record */
	GHashTable *orders;     /* of recorded_order_t, by group */
	bool orders_unrecorded; /* the record lacks noted orders */
	bool orders_updating;   /* noted orders are being written */
	bool orders_changed;    /* noted since that write began */
	int64_t orders_written_us;  /* time of the last write of noted orders */
	int64_t orders_put_us;      /* time of the last write of such orders */
	uint64_t orders_put_number; /* of that write */
	GSource *orders_put_timer;  /* limit for its answer to count; NULL: no
				       orders to be sent are being recorded */
	/* a promotion was ordered with this token, or no older token exists */
	bool order_sent;
	/* the last listing of the daemons for a revocation has failed */
	bool daemons_list_failed;
	/* the pool was told that the store is away, and no record since */
	bool away_told;
	GList *pending_orders; /* of order_t: orders not answered yet */
	/* records of the daemons; "the record" is that of this daemon */
	bool daemons_list_ended; /* the first listing was answered, or failed */
	bool daemons_listed;     /* a listing was answered */
	bool daemons_changed; /* the last listing had another number of them */
	bool leases_needed;   /* the pool needs leases */
	bool record_leases;   /* the last heartbeat said so */
	int64_t leases_acked_us; /* send time of the last acknowledged heartbeat
				    that said so */
	config_delay_t config_delay;
	uint32_t followers; /* daemons for which this one watches the store */
	bool following;     /* another daemon watches the store for this one */
	int64_t news_us;    /* time of the last news from it; 0: none yet */
	GSource *news_timer;
	uint32_t daemons_count;   /* number of records in the last list */
	uint64_t record_revision; /* store revision of the record; 0: unknown */
	/* revision of a record of another process under this daemon's name, and
	   when it was first seen; 0: none */
	uint64_t other_revision;
	int64_t other_seen_us;
	uint64_t heartbeat; /* counter in this daemon's record */
	bool deregistered;  /* this daemon's record is no longer written */
	/* when this daemon's record was first written; 0: it may be missing
	   from the store */
	int64_t record_listed_us;
	/* when the store was last known to have come back from an older copy,
	   which may lack records and orders; 0: never */
	int64_t records_lost_us;
	/* when the store first refused or did not answer a call; 0: never */
	int64_t store_first_away_us;
	bool store_failing; /* it refused or did not answer the last call */
	int64_t servers_told_us; /* last ServersKnown; 0: none */
	/* first response, if no call had failed before; 0: none */
	int64_t first_response_us;
	int64_t store_recovered_us; /* first success after failures; 0: none */
	int64_t heartbeat_acked_us; /* send time of the last acknowledged
				       heartbeat */
	int64_t heartbeat_sent_us;  /* send time of the last heartbeat */
	int64_t daemons_list_sent_us; /* send time of the last list request */
	bool heartbeat_pending;       /* a heartbeat is not acknowledged yet */
	GHashTable *heartbeats; /* last heartbeat of each daemon, by name */
	GSource *heartbeat_timer;
};

/* Name of the coordinator record in the store. */
#define COORDINATOR_OBJECT_NAME "promotion"

/* coordinator.c */
void coordinator_claim(registry_t *);
void token_seen(void *registry, msg_t *);
void coordinator_record_orders(registry_t *);
Bp__DutyRecord *coordinator_record(
    const registry_t *, const object_store_response_t *, arena_t *);
void coordinator_write(
    registry_t *, uint64_t revision, uint64_t recorded_token);
void coordinator_send_changed(registry_t *, bool held);
void coordinator_note_unrecorded(registry_t *);
void coordinator_check(void *registry, msg_t *);
void coordinator_store_restored(registry_t *);
void coordinator_read(registry_t *);
void coordinator_resume(registry_t *);
void coordinator_put_record(registry_t *, uint64_t revision, uint64_t token,
    object_store_cb, void *context);
void coordinator_note_record(registry_t *, object_store_status_t,
    const object_store_response_t *, const Bp__DutyRecord *);
bool coordinator_is_named(const registry_t *, const Bp__DutyRecord *);
bool coordinator_record_unreadable(
    const object_store_response_t *, const Bp__DutyRecord *);
void coordinator_update_orders(registry_t *);

/* promotion.c */
void promotion_wanted(void *registry, msg_t *);
void promotion_cancelled(void *registry, msg_t *);
void promises_checked(void *, msg_t *);
void order_confirmed(void *registry, msg_t *);
void order_learned(void *registry, msg_t *);
void promotions_store_restored(registry_t *);
void promotions_stop(registry_t *);

/* record_restore.c */
void restore_note_written(registry_t *, uint64_t token, uint64_t revision);
void restore_note_daemons(registry_t *);
void restore_forget(registry_t *);
bool restore_begin(registry_t *, uint64_t revision);
void restore_confirmed(registry_t *, const Bp__RevokeEnded *);
void restore_store_returned(registry_t *);
void restore_stop(registry_t *);

/* orders.c */
void orders_init(registry_t *);
void orders_free(registry_t *);
void orders_note(registry_t *, const Bp__PromotionWanted *);
void orders_sent(registry_t *, const Bp__PromotionWanted *);
void orders_accepted(registry_t *, const Bp__PromotionWanted *);
bool orders_withdraw(registry_t *, const Bp__PromotionWanted *, bool refused);
void orders_take(registry_t *, const Bp__DutyRecord *);
bool orders_learn(registry_t *, const Bp__RecordedOrder *);
void orders_tell(registry_t *, msg_t *revoke_wanted);
bool orders_announced(const registry_t *, const char *group);
bool orders_recorded(const registry_t *, const Bp__DutyRecord *);
void orders_fill(const registry_t *, arena_t *, Bp__DutyRecord *);
void orders_report(registry_t *, const Bp__DutyRecord *, int64_t read_us);
void orders_report_noted(registry_t *);
void orders_report_token(const registry_t *, const Bp__DutyRecord *);
void orders_wanted(void *registry, msg_t *);
void members_wanted(void *registry, msg_t *);

/* registry.c */
void registry_publish(registry_t *);
void registry_publish_first(registry_t *);
void registry_servers_known(registry_t *);
bool registry_apply_objects(object_watch_t *, const object_store_response_t *);
void registry_find_missing(registry_t *, const object_store_response_t *);

/* store_watch.c */
void watch_request_next(object_watch_t *);
bool watch_has_list(const object_watch_t *);
void watch_note_applied(object_watch_t *);

/* news.c */
void news_stop(registry_t *);
void news_send(registry_t *);
void news_received(void *registry, msg_t *);
void news_followers(void *registry, msg_t *);
bool news_covers(const object_watch_t *);

/* store_era.c */
void store_era_reached(registry_t *, uint64_t era);
object_store_status_t store_response_status(
    registry_t *, const object_store_response_t *);

/* daemons.c */
void daemons_init(registry_t *);
void daemons_leases_needed(void *registry, msg_t *);
void daemons_start(registry_t *);
void daemons_store_restored(registry_t *);
void daemons_deregister(registry_t *);
void daemons_stop(registry_t *);
void revoke_wanted(void *registry, msg_t *);
void revoke_from_last_listed(registry_t *, msg_t *);
void daemons_add_listed(
    registry_t *, msg_t *revoke_wanted, const object_store_response_t *);

#endif
