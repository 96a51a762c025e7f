#ifndef RELAY_H
#define RELAY_H

#include "../../src/bergamotplank.h"

#include <glib.h>

/*
 * A relay of TCP connections on loopback whose connections can go silent: they
 * stay open, and what is sent is acknowledged and dropped.  It can also refuse
 * or reset connections.
 */

typedef struct relay relay_t;

/* Ways of a connection, as bits; the client is the one that has opened it. */
#define RELAY_TO_SERVER 1U
#define RELAY_TO_CLIENT 2U
#define RELAY_BOTH (RELAY_TO_SERVER | RELAY_TO_CLIENT)

relay_t *relay_start(const char *address, uint16_t port, uint16_t server_port);
void relay_silence(relay_t *, uint32_t ways);
void relay_cut(relay_t *, bool cut);
void relay_refuse(relay_t *, bool refuses);
void relay_reset(relay_t *, bool resets);
uint32_t relay_connections(relay_t *);
uint32_t relay_silent_connections(relay_t *);
int64_t relay_last_used_us(relay_t *);
void relay_stop(relay_t *);

#endif
