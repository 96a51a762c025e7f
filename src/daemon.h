#ifndef DAEMON_H
#define DAEMON_H

#include "settings.pb-c.h"
#include "task.h"

/*
 * The tasks of one daemon and the data that they share.  The structure is
 * filled in before the tasks start and is read-only from then on, so it needs
 * no lock.
 */
typedef struct daemon {
	const Bp__Settings *settings;
	uint64_t incarnation; /* rises with each restart of the daemon */
	task_t *control;      /* signals and shutdown */
	task_t *front;        /* HTTP for callers and operators */
	task_t *peer;         /* connections to the other daemons */
	task_t *group;        /* database groups and statements */
	task_t *platform;     /* the platform's object API and the documents */
} daemon_t;

/* Each task's callbacks, and functions to create and free its state. */
extern const task_ops_t control_ops;
extern const task_ops_t front_ops;
extern const task_ops_t peer_ops;
extern const task_ops_t group_ops;
extern const task_ops_t platform_ops;

void *control_new(const daemon_t *);
void *front_new(const daemon_t *);
void *peer_new(const daemon_t *);
void *group_new(const daemon_t *);
void *platform_new(const daemon_t *);
void control_free(void *);
void front_free(void *);
void peer_free(void *);
void group_free(void *);
void platform_free(void *);

#endif
