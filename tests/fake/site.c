#include "site.h"

#include <errno.h>
#include <glib/gstdio.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <signal.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

#define READY_POLL_US 20000
#define LINE_MAX_BYTES (UINT64_C(2) << 20)

/* The configuration: one group, and a database name of each freshness. */
typedef struct route {
	const char *database;
	const char *text;
} route_t;

static const route_t routes[] = {
    {"intake",
	"{\"name\":\"r1\",\"host\":\"intake\",\"type\":\"primary\","
	"\"timeout-ms\":1000,\"target-latency-ms\":400,\"priority\":0,"
	"\"backend\":\"ledger\"}"},
    {"quotes",
	"{\"name\":\"r2\",\"host\":\"quotes\",\"type\":\"own\","
	"\"timeout-ms\":1000,\"target-latency-ms\":400,\"priority\":1,"
	"\"max-staleness-ms\":2500,\"backend\":\"ledger\"}"},
    {"lookup",
	"{\"name\":\"r3\",\"host\":\"lookup\",\"type\":\"bounded\","
	"\"timeout-ms\":1000,\"target-latency-ms\":400,\"priority\":2,"
	"\"max-staleness-ms\":1500,\"backend\":\"ledger\"}"},
};

#define GROUPS "[{\"name\":\"ledger\",\"max-conns\":40,\"sync-replicas\":0}]"
#define TRANSACTION_IDLE_MS 700

struct client {
	int fd;
	GString *in;
	uint64_t taken_bytes;
	uint64_t id;
};

/*
 * A URL of the platform stand-in.
 */
static char *
url_of(const site_t *site, const char *path)
{
	return g_strdup_printf(
	    "http://127.0.0.1:%u%s", site->platform.port, path);
}

/*
 * Put a fault into force; number -1: the primary.
 */
void
site_fault(site_t *site, const char *on, const char *what, int32_t number)
{
	char *path = number < 0
	    ? g_strdup_printf("/fault?on=%s&what=%s", on, what)
	    : g_strdup_printf(
		  "/fault?on=%s&what=%s&number=%d", on, what, number);
	char *url = url_of(site, path);

	g_assert_cmpuint(http_call("POST", url, "", NULL), ==, 200);
	g_free(url);
	g_free(path);
}

/*
 * Write an object into the store, as any other writer might.
 */
void
site_put(site_t *site, const char *kind, const char *name, const char *content)
{
	char *path = g_strdup_printf("/put?kind=%s&name=%s", kind, name);
	char *url = url_of(site, path);

	g_assert_cmpuint(http_call("POST", url, content, NULL), ==, 200);
	g_free(url);
	g_free(path);
}

/*
 * Write a version of the configuration, without one database name.
 */
void
site_configure(site_t *site, uint32_t version, const char *without)
{
	GString *text = g_string_new(NULL);
	uint32_t i, n = 0;

	g_string_printf(text, "{\"version\":%u,\"routes\":[", version);
	for (i = 0; i < G_N_ELEMENTS(routes); i++) {
		if (g_strcmp0(routes[i].database, without) != 0)
			g_string_append_printf(
			    text, "%s%s", n++ > 0 ? "," : "", routes[i].text);
	}
	g_string_append_printf(text,
	    "],\"services\":%s,\"limits\":{\"tx-idle-ms\":%u}}", GROUPS,
	    TRANSACTION_IDLE_MS);
	site_put(site, "config", "main", text->str);
	g_string_free(text, TRUE);
}

/*
 * What the primary holds for an item, to be freed; and how many orders to
 * promote carried a token that was not theirs.
 */
char *
site_value(site_t *site, const char *item, uint32_t *unfenced)
{
	char *path = g_strdup_printf("/value?item=%s", item);
	char *url = url_of(site, path), *answer, *space, *value;

	g_assert_cmpuint(http_call("GET", url, NULL, &answer), ==, 200);
	space = strchr(answer, ' ');
	if (unfenced != NULL)
		*unfenced = (uint32_t)g_ascii_strtoull(answer, NULL, 10);
	value = g_strdup(space + 1);
	g_free(answer);
	g_free(url);
	g_free(path);
	return value;
}

/*
 * Start a proxy, or start it again.
 */
void
site_proxy_start(site_t *site, uint32_t i)
{
	fleet_process_t *proxy = &site->proxies[i];
	char *path = fleet_program("bergamotplank");
	const char *argv[] = {path, "proxy", "-f", proxy->settings, NULL};

	fleet_spawn(site->folder, proxy, argv);
	g_free(path);
}

/*
 * Write the settings of a proxy.
 */
static void
proxy_settings(site_t *site, uint32_t i)
{
	fleet_process_t *proxy = &site->proxies[i];
	char *text;

	proxy->name = g_strdup_printf("proxy-%u", i);
	proxy->port = fleet_free_port();
	proxy->operator_port = fleet_free_port(); /* the balancer's questions */
	proxy->peer_port = fleet_free_port();
	proxy->metrics_port = fleet_free_port();
	text = g_strdup_printf(
	    "{\"name\":\"%s\",\"zone\":\"z\","
	    "\"client_address\":\"127.0.0.1:%u\","
	    "\"ready_address\":\"127.0.0.1:%u\","
	    "\"peer_address\":\"127.0.0.1:%u\","
	    "\"metrics_address\":\"127.0.0.1:%u\","
	    "\"store_address\":\"127.0.0.1:%u\","
	    "\"promotion_address\":\"127.0.0.1:%u\",\"grace_s\":%g,"
	    "\"timeouts\":{\"store_ms\":500}}",
	    proxy->name, proxy->port, proxy->operator_port, proxy->peer_port,
	    proxy->metrics_port, site->platform.port, site->platform.port,
	    site->plan.grace_s == 0 ? 6 : site->plan.grace_s);
	proxy->settings =
	    g_strdup_printf("%s/%s.json", site->folder, proxy->name);
	g_assert_true(g_file_set_contents(proxy->settings, text, -1, NULL));
	g_free(text);
}

/*
 * Start the platform stand-in and wait until it answers.
 */
static void
platform_start(site_t *site)
{
	char *path = fleet_program("fakesite"), *url;
	char *port, *databases, *lag, *work;
	uint32_t tries;

	site->platform.port = fleet_free_port();
	site->platform.name = g_strdup("platform");
	site->databases_port = fleet_free_port();
	fleet_free_port();
	fleet_free_port(); /* the databases' ports follow each other */
	port = g_strdup_printf("%u", site->platform.port);
	databases = g_strdup_printf("%u", site->databases_port);
	lag = g_strdup_printf("%u", site->plan.lag_ms);
	work = g_strdup_printf("%u", site->plan.work_ms);
	fleet_spawn(site->folder, &site->platform,
	    (const char *[]){path, "--port", port, "--databases", databases,
		"--lag-ms", lag, "--work-ms", work, NULL});
	url = url_of(site, "/value?item=x");
	for (tries = 0; tries < 500 && http_call("GET", url, NULL, NULL) == 0;
	     tries++)
		g_usleep(READY_POLL_US);
	site_configure(site, 1, NULL);
	g_free(url);
	g_free(work);
	g_free(lag);
	g_free(databases);
	g_free(port);
	g_free(path);
}

/*
 * Start a whole site.
 */
site_t *
site_start(const site_plan_t *plan)
{
	site_t *site = g_new0(site_t, 1);
	uint32_t i;

	site->plan = *plan;
	site->folder = g_dir_make_tmp("bergamotplank-site-XXXXXX", NULL);
	platform_start(site);
	for (i = 0; i < plan->proxies; i++) {
		proxy_settings(site, i);
		site_proxy_start(site, i);
	}
	return site;
}

/*
 * Wait until every proxy says that it takes new clients.
 */
bool
site_wait_ready(site_t *site, uint32_t timeout_ms)
{
	int64_t until_us =
	    g_get_monotonic_time() + (int64_t)timeout_ms * US_PER_MS;
	uint32_t i;

	for (i = 0; i < site->plan.proxies; i++) {
		char *url = g_strdup_printf("http://127.0.0.1:%u/ready",
		    site->proxies[i].operator_port);

		while (http_call("GET", url, NULL, NULL) != 200) {
			if (g_get_monotonic_time() >= until_us) {
				g_free(url);
				return false;
			}
			g_usleep(READY_POLL_US);
		}
		g_free(url);
	}
	return true;
}

/*
 * End all processes and remove what they left.
 */
void
site_end(site_t *site)
{
	uint32_t i;

	for (i = 0; i < site->plan.proxies; i++)
		fleet_kill(&site->proxies[i]);
	fleet_kill(&site->platform);
	fleet_folder_remove(site->folder);
	g_free(site->folder);
	g_free(site);
}

/*
 * Connect to a port.  NULL when nothing listens there.
 */
client_t *
client_connect(uint32_t port)
{
	struct sockaddr_in to = {.sin_family = AF_INET};
	int fd = socket(AF_INET, SOCK_STREAM, 0), on = 1;
	client_t *client;

	to.sin_port = htons((uint16_t)port);
	to.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
	if (connect(fd, (struct sockaddr *)&to, sizeof(to)) < 0) {
		close(fd);
		return NULL;
	}
	setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &on, sizeof(on));
	client = g_new0(client_t, 1);
	client->fd = fd;
	client->in = g_string_new(NULL);
	return client;
}

/*
 * Connect to a proxy and open a session at a database; an empty name opens
 * none.  NULL when there is no connection.
 */
client_t *
client_open(site_t *site, uint32_t proxy, const char *database)
{
	client_t *client = client_connect(site->proxies[proxy].port);
	char *line;

	if (client == NULL || database[0] == '\0')
		return client;
	line = g_strdup_printf("START %s u1\r\n", database);
	client_send(client, line, strlen(line));
	g_free(line);
	line = client_line(client, 3000);
	if (line == NULL || !g_str_has_prefix(line, "READY")) {
		g_free(line);
		client_close(client);
		return NULL;
	}
	g_free(line);
	return client;
}

/*
 * Leave.
 */
void
client_close(client_t *client)
{
	if (client == NULL)
		return;
	close(client->fd);
	g_string_free(client->in, TRUE);
	g_free(client);
}

/*
 * Send bytes as they are.  Returns false when the connection has ended.
 */
bool
client_send(client_t *client, const char *bytes, uint64_t size_bytes)
{
	while (size_bytes > 0) {
		ssize_t n = send(client->fd, bytes, size_bytes, MSG_NOSIGNAL);

		if (n <= 0)
			return false;
		bytes += n;
		size_bytes -= (uint64_t)n;
	}
	return true;
}

/*
 * The next line without its end, to be freed; NULL when the connection has
 * ended or the time is over.
 */
char *
client_line(client_t *client, uint32_t timeout_ms)
{
	int64_t until_us =
	    g_get_monotonic_time() + (int64_t)timeout_ms * US_PER_MS;
	char buffer[4096];

	for (;;) {
		char *end = strstr(client->in->str, "\r\n");
		int64_t left_us = until_us - g_get_monotonic_time();
		struct pollfd poll_fd = {client->fd, POLLIN, 0};
		ssize_t n;

		if (end != NULL) {
			char *line = g_strndup(
			    client->in->str, (gsize)(end - client->in->str));

			g_string_erase(
			    client->in, 0, (gssize)(end + 2 - client->in->str));
			return line;
		}
		if (left_us <= 0 ||
		    poll(&poll_fd, 1, (int)(left_us / US_PER_MS) + 1) <= 0)
			return NULL;
		n = recv(client->fd, buffer, sizeof(buffer), 0);
		if (n <= 0)
			return NULL;
		g_string_append_len(client->in, buffer, n);
	}
}

/*
 * Run a statement: its answer up to READY, the lines joined by "|", to be
 * freed.  NULL when the connection has ended or the time is over.
 */
char *
client_ask(client_t *client, const char *text, uint32_t timeout_ms)
{
	char *line = g_strdup_printf(
	    "QUERY q%" G_GUINT64_FORMAT " %s\r\n", ++client->id, text);
	GString *all = g_string_new(NULL);
	bool sent = client_send(client, line, strlen(line)), over = false;

	g_free(line);
	while (sent && !over) {
		line = client_line(client, timeout_ms);
		if (line == NULL)
			break;
		over = g_str_has_prefix(line, "READY");
		if (all->len > 0)
			g_string_append_c(all, '|');
		g_string_append(all, line);
		g_free(line);
	}
	return g_string_free(all, !over);
}
