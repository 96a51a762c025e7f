#ifndef DAEMON_H
#define DAEMON_H

#include "settings.pb-c.h"
#include "task.h"

/* Made once before the tasks start; read only from then on. */
typedef struct daemon {
	const Bp__Settings *settings;
	uint64_t incarnation; /* of this start; later starts have higher ones */
	task_t *control;
	task_t *front;
	task_t *peer;
	task_t *group;
	task_t *platform;
} daemon_t;

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
