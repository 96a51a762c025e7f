#ifndef TESTBED_H
#define TESTBED_H

#include "../../tools/fleet.h"
#include "relay.h"

/*
 * Testbed for the proxy: the fake platform with its databases, and a number of
 * proxies, each a process of its own on loopback.
 */

#define TESTBED_PROXIES_MAX 5
#define TESTBED_DATABASES_MAX 5

typedef struct testbed_plan {
	uint32_t proxies;
	uint32_t databases;       /* 0: 3 */
	uint32_t lag_ms;          /* replication lag */
	uint32_t service_time_ms; /* service time of an item access or commit */
	double grace_s;           /* grace_s setting of the proxies; 0: 6 s */
	/* limit of a database; with a small one, few proxies own the group;
	   0: the default, with which all do */
	uint32_t connections_max;
	uint32_t transaction_idle_ms; /* 0: the default */
	/* the last proxy starts first, and becomes the coordinator */
	bool last_coordinates;
	/* time for which the platform does not run while the (other) proxies
	   start */
	uint32_t platform_paused_ms;
	uint32_t config_apply_ms; /* setting of the proxies; 0: the default */
	/* the same; with it, servers_watch_ms is a quarter */
	uint32_t drain_ms;
	/* each proxy reaches the store by a port of its own, for
	   testbed_store_fault() */
	bool store_ports;
	/* there is a second group, with as many databases and no faults, to
	   which testbed_move_route() has routes lead */
	bool second_group;
	/* daemons reach each other and the store by relays; without
	   store_ports */
	bool relays;
	/* each proxy has a relay of its own to each database and to each other
	   proxy, by addresses that only it gets from the store; with
	   store_ports */
	bool own_relays;
} testbed_plan_t;

typedef struct testbed {
	testbed_plan_t plan;
	char *work_dir;
	fleet_process_t platform;
	uint32_t first_store_port;    /* first of the consecutive ports */
	uint32_t first_database_port; /* first of the consecutive ports */
	fleet_process_t proxies[TESTBED_PROXIES_MAX];
	relay_t *peer_relays[TESTBED_PROXIES_MAX];  /* to each proxy */
	relay_t *store_relays[TESTBED_PROXIES_MAX]; /* of each, to the store */
	/* with own_relays: of each, to each database and to each other proxy */
	relay_t *database_relays[TESTBED_PROXIES_MAX][TESTBED_DATABASES_MAX];
	relay_t *own_peer_relays[TESTBED_PROXIES_MAX][TESTBED_PROXIES_MAX];
} testbed_t;

/* A connection to a proxy or a database, with one message per line. */
typedef struct client client_t;

testbed_t *testbed_start(const testbed_plan_t *);
void testbed_stop(testbed_t *);
void testbed_proxy_start(testbed_t *, uint32_t proxy);
uint32_t testbed_watch_requests(testbed_t *);
uint32_t testbed_store_requests(testbed_t *);
uint64_t testbed_metric(const testbed_t *, uint32_t proxy, const char *name);
bool testbed_wait_ready(testbed_t *, uint32_t timeout_ms);
char *testbed_get(const testbed_t *, const char *path);
char *testbed_read_log(const testbed_t *, uint32_t proxy);
void testbed_inject_fault(
    testbed_t *, const char *target, const char *fault, int32_t database);
void testbed_store_fault(testbed_t *, uint32_t proxy, const char *fault);
void testbed_cut_off(testbed_t *, uint32_t proxy, bool cut);
void testbed_refuse(
    testbed_t *, uint32_t proxy, uint32_t database, bool refuses);
void testbed_reset(testbed_t *, uint32_t proxy, uint32_t database, bool resets);
void testbed_refuse_daemon(
    testbed_t *, uint32_t proxy, uint32_t other, bool refuses);
void testbed_reset_daemon(
    testbed_t *, uint32_t proxy, uint32_t other, bool resets);
void testbed_put_object(
    testbed_t *, const char *kind, const char *name, const char *content);
void testbed_configure(
    testbed_t *, uint32_t version, const char *omitted_database);
void testbed_move_route(
    testbed_t *, uint32_t version, const char *moved_database, uint32_t proxy);
bool testbed_wait_primary(
    const testbed_t *, uint32_t server, const char *term, int64_t wait_ms);
bool testbed_write_served(testbed_t *, uint32_t proxy, int64_t time_ms);
int32_t testbed_wait_held_order(const testbed_t *, int64_t wait_ms);
uint32_t testbed_coordinator(const testbed_t *);
char *testbed_item_value(
    testbed_t *, const char *item, uint32_t *invalid_token_requests);

client_t *client_connect(uint32_t port);
client_t *client_open_session(
    testbed_t *, uint32_t proxy, const char *database);
void client_close(client_t *);
bool client_send(client_t *, const char *bytes, uint64_t size_bytes);
char *client_read_line(client_t *, uint32_t timeout_ms);
char *client_read_answer(client_t *, uint32_t timeout_ms);
bool client_send_query(client_t *, const char *text);
void client_expect(client_t *, const char *statement, const char *expected);
char *client_query(client_t *, const char *text, uint32_t timeout_ms);

#endif
