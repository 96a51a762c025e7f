#ifndef FLEET_H
#define FLEET_H

#include "../gen/database.pb-c.h"
#include "../gen/standin.pb-c.h"
#include "../gen/task.pb-c.h"
#include "../src/bergamotplank.h"

#include <gio/gio.h>

/*
 * A small fleet on loopback: the platform stand-in, database stand-ins and
 * daemons, each a process of its own on its own ports.
 */

#define FLEET_DAEMONS_MAX 9
#define FLEET_DATABASES_MAX 54
#define FLEET_GROUPS_MAX 18

typedef struct fleet_group {
	const char *team;
	const char *name;
	uint32_t first; /* of its databases */
	uint32_t count;
	uint32_t slots;
	uint32_t connections;
} fleet_group_t;

typedef struct fleet_process {
	GSubprocess *process;
	uint32_t port; /* databases, platform; callers' side of a daemon */
	uint32_t operator_port;
	uint32_t peer_port;
	uint32_t metrics_port; /* of a proxy */
	char *name;
	char *settings;
} fleet_process_t;

/* What a fleet is made of. */
typedef struct fleet_plan {
	uint32_t daemons;
	uint32_t tickets; /* groups of team tickets */
	uint32_t quotes;  /* groups of team quotes */
	uint32_t service_ms;
	uint32_t lag_ms;
	uint32_t drain_ms;   /* 0: the default */
	uint32_t request_ms; /* 0: the default */
	const char *limits;  /* settings of a daemon, in JSON; may be NULL */
	const char *log_level;
} fleet_plan_t;

typedef struct fleet {
	fleet_plan_t plan;
	char *folder;
	fleet_process_t platform;
	fleet_process_t daemons[FLEET_DAEMONS_MAX];
	fleet_process_t databases[FLEET_DATABASES_MAX];
	fleet_group_t groups[FLEET_GROUPS_MAX];
	uint32_t databases_count;
	uint32_t groups_count;
	int32_t left_out; /* a database that documents leave out, or -1 */
} fleet_t;

/* A connection of a test to one daemon; answers are the caller's to free. */
uint32_t http_call(
    const char *method, const char *url, const char *body, char **answer);

/* One process of any kind; its log lies in the folder. */
uint32_t fleet_free_port(void);
char *fleet_program(const char *name);
void fleet_spawn(
    const char *folder, fleet_process_t *, const char *const *argv);
void fleet_kill(fleet_process_t *);
void fleet_folder_remove(const char *path);

fleet_t *fleet_start(const fleet_plan_t *);
void fleet_end(fleet_t *);
bool fleet_wait_ready(fleet_t *, uint32_t timeout_ms);
void fleet_daemon_start(fleet_t *, uint32_t daemon);
void fleet_daemon_end(fleet_t *, uint32_t daemon);
void fleet_signal(fleet_process_t *, int signal);
double fleet_cpu_s(const fleet_process_t *);
uint64_t fleet_memory_bytes(const fleet_process_t *);
bool fleet_wait_exit(fleet_process_t *, uint32_t timeout_ms, int *status);
bool fleet_db_call(fleet_t *, uint32_t database, const char *path,
    const char *body, char **answer);
Bp__RanLog *fleet_db_ran(fleet_t *, arena_t *, uint32_t database);
Bp__DbStatus *fleet_db_status(fleet_t *, arena_t *, uint32_t database);
int32_t fleet_primary(fleet_t *, uint32_t group);
int32_t fleet_wait_primary(fleet_t *, uint32_t group);
char *fleet_document(const fleet_t *, const char *team, const char *extra);
uint64_t fleet_put(
    fleet_t *, const char *name, uint64_t version, const char *value);
void fleet_vms(fleet_t *, int32_t leaving_database);
Bp__CallerAnswer *fleet_ask(
    fleet_t *, arena_t *, uint32_t daemon, const char *body);
uint32_t fleet_owner(const fleet_t *, uint32_t group);
char *fleet_object(fleet_t *, const char *name, uint64_t *version);
void fleet_platform_fault(fleet_t *, const char *fault);
Bp__StatusPage *fleet_status(fleet_t *, arena_t *, uint32_t daemon);
uint64_t fleet_counter(const Bp__StatusPage *, const char *name);
uint64_t fleet_version(
    const Bp__StatusPage *, const char *daemon, const char *team);

#endif
