#include "client.h"

#include <signal.h>
#include <stdlib.h>
#include <string.h>

/*
 * Commits that need one replica, and a crash of databases, of which replicas
 * start again under their ids before the primary is back with its log.
 *
 * Usage: sync all|behind BASE PORT TROUBLE RECORD
 *
 * all: the three databases crash at one moment
 * behind: the primary goes dark and one replica crashes, while the other one
 *	has received nothing for a while
 */

#define DAEMONS 3
#define FRONT_PORT 8784
#define HOST "huvo11a"
#define SERVICE "tickets-db-1"

/* Commits, and time, before the disruption. */
#define COMMITS_MIN 60
#define CALM_MS 12000
#define COMMITS_WITHIN_MS 30000

/* Steps, from the moment at which a replica may begin to receive nothing. */
#define CRASH_MS 1000
#define REBORN_MS 2000
#define RETURN_MS 8000
#define RETURN_ALL_MS 5000
#define END_MS 13000

typedef struct run {
	site_t *site;
	clients_t clients;
	client_t *list[DAEMONS];
	GMainLoop *loop;
	bool trouble;
	bool all;
	int64_t begun_ms; /* 0: not yet */
	uint32_t step;
	uint32_t acked_before;
	uint32_t lost;
	int32_t status;
} run_t;

static run_t run;

static void
on_promoted(db_t *db)
{
	uint32_t i;

	for (i = 0; i < run.clients.acked->len; i++) {
		const char *id = g_ptr_array_index(run.clients.acked, i);

		if (db_has_query(db, id))
			continue;
		run.lost++;
		site_note(run.site,
		    "BROKEN: %s was acknowledged and is not in the log of %s",
		    id, db->id);
	}
}

static void
finish(int32_t status)
{
	uint32_t i;

	for (i = 0; i < DAEMONS; i++)
		client_stop(run.list[i]);
	site_note(run.site, "%u writes acknowledged, %u of them lost: exit %d",
	    run.clients.acked->len, run.lost, status);
	run.status = status;
	g_main_loop_quit(run.loop);
}

static gboolean
on_tick(gpointer context)
{
	db_t **dbs = run.site->dbs;
	int64_t now_ms = site_now_ms(run.site), at_ms;

	(void)context;
	if (run.begun_ms == 0) {
		if (run.clients.acked->len >= COMMITS_MIN &&
		    now_ms >= CALM_MS) {
			run.begun_ms = now_ms;
			run.acked_before = run.clients.acked->len;
			site_note(run.site, "%u writes acknowledged",
			    run.acked_before);
			if (run.trouble && !run.all) {
				site_note(run.site, "%s receives nothing",
				    dbs[2]->id);
				dbs[2]->deaf = true;
			}
		} else if (now_ms > COMMITS_WITHIN_MS) {
			site_note(run.site, "too few writes acknowledged");
			finish(2);
			return G_SOURCE_REMOVE;
		}
		return G_SOURCE_CONTINUE;
	}
	at_ms = now_ms - run.begun_ms;
	if (at_ms >= END_MS) {
		finish(run.lost > 0 ? 1 : 0);
		return G_SOURCE_REMOVE;
	}
	if (!run.trouble)
		return G_SOURCE_CONTINUE;
	if (run.step == 0 && at_ms >= CRASH_MS) {
		run.step++;
		db_go_dark(dbs[0]);
		db_kill(dbs[1]);
		if (run.all)
			db_kill(dbs[2]);
	} else if (run.step == 1 && at_ms >= REBORN_MS) {
		run.step++;
		db_reborn(dbs[1]);
		if (run.all) {
			db_reborn(dbs[2]);
		} else {
			site_note(run.site, "%s receives again", dbs[2]->id);
			dbs[2]->deaf = false;
		}
	} else if (run.step == 2 &&
	    at_ms >= (run.all ? RETURN_ALL_MS : RETURN_MS)) {
		run.step++;
		db_return(dbs[0]);
	}
	return G_SOURCE_CONTINUE;
}

int
main(int argc, char **argv)
{
	SoupServer *server = soup_server_new(NULL, NULL);
	uint32_t i;

	if (argc != 6)
		return 2;
	signal(SIGPIPE, SIG_IGN);
	run.loop = g_main_loop_new(NULL, FALSE);
	run.all = strcmp(argv[1], "all") == 0;
	run.trouble = strcmp(argv[4], "0") != 0;
	run.site = site_new(argv[2], SERVICE, 3, fopen(argv[5], "w"));
	run.site->sync_replicas = 1;
	run.site->promoted = on_promoted;
	run.site->store = object_store_new(server);
	/* our pages name no such header */
	object_store_inject_fault(run.site->store, "hidden-era");
	if (!site_listen(run.site, server, (uint32_t)atoi(argv[3])))
		return 2;
	for (i = 0; i < run.site->count; i++)
		db_publish(run.site->dbs[i]);
	site_publish_config(run.site,
	    "{\"version\":7,\"routes\":[{\"name\":\"r-1\",\"host\":\"" HOST
	    "\",\"type\":\"primary\",\"timeout-ms\":1000,"
	    "\"target-latency-ms\":200,\"priority\":0,\"backend\":\"" SERVICE
	    "\"}],\"services\":[{\"name\":\"" SERVICE
	    "\",\"max-conns\":34,\"sync-replicas\":1}],"
	    "\"limits\":{\"tx-idle-ms\":2000}}");
	run.clients = (clients_t){.site = run.site,
	    .host = HOST,
	    .pause_ms = 20,
	    .acked = g_ptr_array_new()};
	for (i = 0; i < DAEMONS; i++) {
		char *name = g_strdup_printf("u%u", i + 1);
		char *address = g_strdup_printf("%s.%u", argv[2], 11 + i);

		run.list[i] =
		    client_new(&run.clients, name, address, FRONT_PORT);
		g_free(name);
		g_free(address);
	}
	g_timeout_add(10, on_tick, NULL);
	g_main_loop_run(run.loop);
	return run.status;
}
