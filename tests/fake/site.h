#ifndef SITE_H
#define SITE_H

#include "../../tools/fleet.h"

/*
 * Testbed for the proxy: the fake platform with its databases, and a number of
 * proxies, each a process of its own on loopback.
 */

#define SITE_PROXIES_MAX 5

typedef struct site_plan {
	uint32_t proxies;
	uint32_t lag_ms;  /* replication lag */
	uint32_t work_ms; /* service time of an item access or commit */
	double grace_s;   /* 0: 6 s */
} site_plan_t;

typedef struct site {
	site_plan_t plan;
	char *folder;
	fleet_process_t platform;
	uint32_t databases_port; /* of the first; the others follow */
	fleet_process_t proxies[SITE_PROXIES_MAX];
} site_t;

/* A connection to a proxy or a database, with one message per line. */
typedef struct client client_t;

site_t *site_start(const site_plan_t *);
void site_end(site_t *);
void site_proxy_start(site_t *, uint32_t proxy);
bool site_wait_ready(site_t *, uint32_t timeout_ms);
void site_fault(
    site_t *, const char *target, const char *fault, int32_t database);
void site_put(
    site_t *, const char *kind, const char *name, const char *content);
void site_configure(site_t *, uint32_t version, const char *omitted_database);
char *site_value(site_t *, const char *item, uint32_t *invalid_token_requests);

client_t *client_connect(uint32_t port);
client_t *client_open(site_t *, uint32_t proxy, const char *database);
void client_close(client_t *);
bool client_send(client_t *, const char *bytes, uint64_t size_bytes);
char *client_line(client_t *, uint32_t timeout_ms);
char *client_ask(client_t *, const char *text, uint32_t timeout_ms);

#endif
