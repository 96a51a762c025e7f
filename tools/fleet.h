#ifndef FLEET_H
#define FLEET_H

#include "../gen/database.pb-c.h"
#include "../gen/standin.pb-c.h"
#include "../gen/task.pb-c.h"
#include "../src/bergamotplank.h"

#include <gio/gio.h>

/*
 * A small fleet on the loopback address for tests and benchmarks: daemons, a
 * fake platform and fake databases, each a separate process with its own ports.
 */

#define FLEET_DAEMONS_MAX 9
#define FLEET_DATABASES_MAX 54
#define FLEET_GROUPS_MAX 18

/* A group of replicated databases; they are adjacent in fleet_t.databases. */
typedef struct fleet_group {
	const char *team;
	const char *name;
	uint32_t first_database; /* index of the first database */
	uint32_t count;          /* number of databases */
	uint32_t slots;          /* statements a database runs at a time */
	uint32_t connections;    /* connection limit of a database */
} fleet_group_t;

/* A process of a fleet and the ports on which it listens. */
typedef struct fleet_process {
	GSubprocess *process; /* NULL when not running */
	uint32_t port;        /* of a daemon: the port for callers */
	uint32_t operator_port;
	uint32_t peer_port;
	uint32_t metrics_port; /* port for the metrics of a proxy */
	char *name;
	char *settings_path; /* path of the settings file */
} fleet_process_t;

/* Size and settings of a fleet. */
typedef struct fleet_plan {
	uint32_t daemons;
	uint32_t tickets_groups; /* number of groups of team "tickets" */
	uint32_t quotes_groups;  /* number of groups of team "quotes" */
	uint32_t service_ms;     /* time a database takes to run a statement */
	uint32_t lag_ms;         /* replication lag of the databases */
	uint32_t drain_ms;       /* daemons' drain timeout, 0: 10 s */
	uint32_t request_ms;     /* daemons' request timeout, 0: 10 s */
	/* JSON members of the daemons' "limits" settings, or NULL */
	const char *limits_json;
	const char *log_level; /* log level of the daemons; NULL: "info" */
} fleet_plan_t;

typedef struct fleet {
	fleet_plan_t plan;
	char *work_dir; /* directory of the settings and log files */
	fleet_process_t platform;
	fleet_process_t daemons[FLEET_DAEMONS_MAX];
	fleet_process_t databases[FLEET_DATABASES_MAX];
	fleet_group_t groups[FLEET_GROUPS_MAX];
	uint32_t databases_count;
	uint32_t groups_count;
	int32_t omitted_database; /* database that team documents omit, or -1 */
} fleet_t;

/* Send an HTTP request; the caller frees the response body in *answer. */
uint32_t http_call(
    const char *method, const char *url, const char *body, char **answer);

/* A process of any kind; its output goes to a file in log_dir. */
uint32_t fleet_unused_port(void);
uint32_t fleet_unused_ports(uint32_t count);
char *fleet_program_path(const char *name);
void fleet_process_spawn(
    const char *log_dir, fleet_process_t *, const char *const *argv);
void fleet_process_kill(fleet_process_t *);
void fleet_work_dir_remove(const char *path);

fleet_t *fleet_start(const fleet_plan_t *);
void fleet_stop(fleet_t *);
bool fleet_wait_ready(fleet_t *, uint32_t timeout_ms);
void fleet_daemon_start(fleet_t *, uint32_t daemon);
void fleet_daemon_kill(fleet_t *, uint32_t daemon);
void fleet_process_signal(fleet_process_t *, int signal);
double fleet_process_cpu_s(const fleet_process_t *);
uint64_t fleet_process_memory_bytes(const fleet_process_t *);
uint64_t fleet_process_peak_memory_bytes(const fleet_process_t *);
bool fleet_process_wait_exit(
    fleet_process_t *, uint32_t timeout_ms, int *status);
bool fleet_db_call(fleet_t *, uint32_t database, const char *path,
    const char *body, char **answer);
Bp__RanLog *fleet_db_execution_log(fleet_t *, arena_t *, uint32_t database);
Bp__DbStatus *fleet_db_status(fleet_t *, arena_t *, uint32_t database);
int32_t fleet_group_primary(fleet_t *, uint32_t group);
int32_t fleet_group_wait_primary(fleet_t *, uint32_t group);
char *fleet_team_document(const fleet_t *, const char *team, const char *extra);
uint64_t fleet_put_object(
    fleet_t *, const char *name, uint64_t version, const char *value);
void fleet_publish_vms(fleet_t *, int32_t leaving_database);
Bp__CallerAnswer *fleet_send_statement(
    fleet_t *, arena_t *, uint32_t daemon, const char *body);
uint32_t fleet_group_owner(const fleet_t *, uint32_t group);
char *fleet_get_object(fleet_t *, const char *name, uint64_t *version);
void fleet_platform_inject_fault(fleet_t *, const char *fault);
Bp__StatusPage *fleet_daemon_status(fleet_t *, arena_t *, uint32_t daemon);
uint64_t fleet_counter(const Bp__StatusPage *, const char *name);
uint64_t fleet_document_version(
    const Bp__StatusPage *, const char *daemon, const char *team);

#endif
