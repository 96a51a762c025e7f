#include "command.h"
#include "json.h"
#include "task.pb-c.h"

#include <libsoup/soup.h>
#include <stdio.h>

/*
 * Print the members and the versions of the documents.
 */
static void
print_members(const Bp__StatusPage *page)
{
	size_t i;

	printf("daemon %s, version %s, up %" G_GUINT64_FORMAT " s%s\n\n",
	    page->daemon, page->version, page->uptime_ms / MS_PER_S,
	    page->draining ? ", leaving" : "");
	if (page->n_members > 0)
		printf("%-20s %-16s %s\n", "MEMBER", "ZONE", "STATE");
	for (i = 0; i < page->n_members; i++)
		printf("%-20s %-16s %s\n", page->members[i]->name,
		    page->members[i]->zone,
		    bp__member_state__descriptor.values[page->members[i]->state]
			.name);
	if (page->n_documents > 0)
		printf("\n%-20s %-20s %s\n", "DOCUMENT", "DAEMON", "VERSION");
	for (i = 0; i < page->n_documents; i++)
		printf("%-20s %-20s %" G_GUINT64_FORMAT "\n",
		    page->documents[i]->team, page->documents[i]->daemon,
		    page->documents[i]->version);
}

/*
 * Print the groups that the daemon is connected to.
 */
static void
print_groups(const Bp__StatusPage *page)
{
	size_t i, j;

	for (i = 0; i < page->n_groups; i++) {
		const Bp__GroupStatus *group = page->groups[i];

		printf("\ngroup %s%s%s: term %" G_GUINT64_FORMAT
		       ", primary %s, %u queued\n",
		    group->team, group->team[0] == '\0' ? "" : "/", group->name,
		    group->term,
		    group->primary == NULL ? "unknown" : group->primary,
		    group->queued);
		printf("  %-20s %-12s %10s %12s %6s %9s %s\n", "DATABASE",
		    "ZONE", "TERM", "POSITION", "CONNS", "IN FLIGHT", "STATE");
		for (j = 0; j < group->n_databases; j++) {
			const Bp__DatabaseStatus *db = group->databases[j];

			printf("  %-20s %-12s %10" G_GUINT64_FORMAT
			       " %12" G_GUINT64_FORMAT " %6u %9u %s%s%s\n",
			    db->name, db->zone, db->term, db->position,
			    db->connections, db->in_flight,
			    db->primary ? "primary" : "replica",
			    db->reachable ? "" : ", not reachable",
			    db->leaving ? ", leaving" : "");
		}
	}
}

/*
 * Print the counters and the latency histograms.
 */
static void
print_statistics(const Bp__StatusPage *page)
{
	size_t i;

	printf("\n%-32s %s\n", "COUNTER", "VALUE");
	for (i = 0; i < page->n_counters; i++)
		printf("%-32s %" G_GUINT64_FORMAT "\n", page->counters[i]->name,
		    page->counters[i]->value);
	printf("\n%-16s %-12s %-16s %10s %9s %9s %9s %9s\n", "CLASS", "RANK",
	    "OUTCOME", "COUNT", "P50 ms", "P90 ms", "P99 ms", "MAX ms");
	for (i = 0; i < page->n_histograms; i++) {
		const Bp__Histogram *h = page->histograms[i];

		printf("%-16s %-12s %-16s %10" G_GUINT64_FORMAT
		       " %9.2f %9.2f %9.2f %9.2f\n",
		    h->team, bp__rank__descriptor.values[h->rank].name,
		    h->outcome, h->count, h->p50_ms, h->p90_ms, h->p99_ms,
		    h->max_ms);
	}
}

/*
 * Fetch the status page of a daemon.  Prints an error and returns NULL on
 * failure.
 */
static char *
fetch_page(const char *host_port, gsize *size)
{
	char *url = g_strdup_printf("http://%s/v1/status", host_port);
	SoupSession *session =
	    soup_session_new_with_options("timeout", 5, NULL);
	SoupMessage *message = soup_message_new("GET", url);
	GError *error = NULL;
	GBytes *body = NULL;

	if (message != NULL)
		body =
		    soup_session_send_and_read(session, message, NULL, &error);
	if (body == NULL)
		fprintf(stderr, "bergamotplank status: %s: %s\n", host_port,
		    error == NULL ? "invalid address" : error->message);
	g_free(url);
	g_clear_error(&error);
	g_clear_object(&message);
	g_object_unref(session);
	return body == NULL ? NULL : g_bytes_unref_to_data(body, size);
}

/*
 * Run "bergamotplank status [--json] ADDRESS:PORT": print the status page of
 * the daemon at this address.
 */
int32_t
command_status(int argc, char **argv)
{
	struct arg_str *host_port = arg_str1(
	    NULL, NULL, "ADDRESS:PORT", "address and port for operators");
	struct arg_lit *json = arg_lit0("j", "json", "print the page as JSON");
	struct arg_lit *help = arg_lit0("h", "help", "show this help");
	struct arg_end *end = arg_end(4);
	void *table[] = {host_port, json, help, end};
	int parse_errors = arg_parse(argc, argv, table);
	input_errors_t errors = {arena_new(), NULL, 0, NULL};
	Bp__StatusPage *page;
	gsize size;
	char *text;

	if (help->count > 0 || parse_errors > 0)
		return command_usage("status", table, end, help->count > 0);
	text = fetch_page(host_port->sval[0], &size);
	if (text == NULL)
		return 1;
	page = (Bp__StatusPage *)json_read(
	    errors.arena, &bp__status_page__descriptor, text, size, &errors);
	if (page == NULL) {
		command_print_errors(host_port->sval[0], &errors);
		return 1;
	}
	if (json->count > 0) {
		printf("%.*s\n", (int)size, text);
		return 0;
	}
	print_members(page);
	print_groups(page);
	print_statistics(page);
	return 0;
}
