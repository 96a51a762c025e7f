#include "client.h"

#include <string.h>

/* Time after which a consumer gives an operation up, and connects again. */
#define BUDGET_MS 2000

/* Time until the next attempt to connect. */
#define RECONNECT_MS 100

#define TICK_MS 5

struct client {
	clients_t *clients;
	char *name;
	char *address;
	uint32_t port;
	sock_t *sock;
	line_buffer_t in;
	bool ready; /* the session is open and idle */
	char *id;   /* of the write that is outstanding, or NULL */
	bool done;  /* DONE has come for it */
	uint32_t sequence;
	int64_t at_ms; /* time of the last step */
	guint timer;
};

static const sock_ops_t sock_ops;

static void
client_close(client_t *client)
{
	if (client->sock == NULL)
		return;
	if (client->id != NULL)
		site_note(client->clients->site, "%s: no answer to %s",
		    client->name, client->id);
	sock_free(client->sock);
	client->sock = NULL;
	line_buffer_clear(&client->in);
	g_clear_pointer(&client->id, g_free);
	client->ready = false;
	client->at_ms = site_now_ms(client->clients->site);
}

static void
send_line(client_t *client, char *line)
{
	sock_write(client->sock, (const uint8_t *)line, strlen(line));
	g_free(line);
}

static void
client_connect(client_t *client)
{
	client->at_ms = site_now_ms(client->clients->site);
	client->sock = sock_connect(g_main_context_default(), client->address,
	    client->port, &sock_ops, client);
	line_buffer_init(&client->in, 1 << 20);
	send_line(client,
	    g_strdup_printf(
		"START %s %s\r\n", client->clients->host, client->name));
}

static void
send_write(client_t *client)
{
	client->id = g_strdup_printf("%s-%u", client->name, ++client->sequence);
	client->done = client->ready = false;
	client->at_ms = site_now_ms(client->clients->site);
	site_note(
	    client->clients->site, "%s sends %s", client->name, client->id);
	send_line(client,
	    g_strdup_printf("QUERY %s WRITE k%u v%s\r\n", client->id,
		client->sequence, client->id));
}

static void
on_line(client_t *client, const char *line)
{
	clients_t *clients = client->clients;

	if (client->id != NULL && g_str_has_prefix(line, "DONE ")) {
		site_note(clients->site, "%s is answered %s", client->id, line);
		client->done = true;
	} else if (client->id != NULL && g_str_has_prefix(line, "ERR ")) {
		site_note(clients->site, "%s is answered %s", client->id, line);
	} else if (g_str_has_prefix(line, "READY ")) {
		if (client->id != NULL) {
			clients->answers++;
			if (client->done)
				g_ptr_array_add(
				    clients->acked, g_strdup(client->id));
			g_clear_pointer(&client->id, g_free);
		}
		client->ready = true;
		client->at_ms = site_now_ms(clients->site);
	}
}

static void
on_received(void *context, const uint8_t *bytes, uint32_t size_bytes)
{
	client_t *client = context;
	uint32_t line_bytes;
	char *line;

	line_buffer_append(&client->in, bytes, size_bytes);
	while ((line = line_buffer_next(&client->in, &line_bytes)) != NULL)
		on_line(client, line);
}

static void
on_closed(void *context, int32_t error)
{
	(void)error;
	client_close(context);
}

static const sock_ops_t sock_ops = {NULL, on_received, on_closed};

static gboolean
on_tick(gpointer context)
{
	client_t *client = context;
	int64_t age_ms = site_now_ms(client->clients->site) - client->at_ms;

	if (client->sock == NULL) {
		if (age_ms >= RECONNECT_MS)
			client_connect(client);
	} else if (client->ready) {
		if (age_ms >= client->clients->pause_ms)
			send_write(client);
	} else if (age_ms >= BUDGET_MS) {
		client_close(client);
	}
	return G_SOURCE_CONTINUE;
}

client_t *
client_new(
    clients_t *clients, const char *name, const char *address, uint32_t port)
{
	client_t *client = g_new0(client_t, 1);

	client->clients = clients;
	client->name = g_strdup(name);
	client->address = g_strdup(address);
	client->port = port;
	client_connect(client);
	client->timer = g_timeout_add(TICK_MS, on_tick, client);
	return client;
}

void
client_stop(client_t *client)
{
	g_source_remove(client->timer);
	client_close(client);
}
