#ifndef REVIEW_CLIENT_H
#define REVIEW_CLIENT_H

#include "db.h"

/*
 * A consumer that sends one write after the other on a session, each with a
 * new id, and none of them again.
 */

typedef struct client client_t;

typedef struct clients {
	site_t *site;
	const char *host; /* name of the database of the route */
	int64_t pause_ms; /* between two writes */
	GPtrArray *acked; /* of char *: ids of the writes answered with DONE */
	uint32_t answers; /* of any kind */
} clients_t;

client_t *client_new(
    clients_t *, const char *name, const char *address, uint32_t port);
void client_stop(client_t *);

#endif
