/**
 * @file supervisor.h
 * Starts the tasks of a daemon in order and stops them in reverse order, at a
 * signal or when a task finds that the process cannot serve.
 */
#ifndef PW_SUPERVISOR_H
#define PW_SUPERVISOR_H

#include "base/status.h"

#include <stdbool.h>
#include <uv.h>

/** Maximum number of tasks of a daemon. */
#define SUP_TASKS_MAX 8

/** A task. */
struct task {
	const char *name;
	struct status (*start)(void *self);
	void (*stop)(void *self); /**< closes the task's handles */
	void *self;
	bool running;
};

/** The supervisor of one process. */
struct supervisor {
	uv_loop_t *loop;
	struct task tasks[SUP_TASKS_MAX];
	size_t count;
	uv_signal_t term;
	uv_signal_t interrupt;
	void (*leave)(void *ctx); /**< starts a graceful stop */
	void *ctx;
	bool leaving;
	int exit_code;
};

/** Initialize; leave is called at the first SIGTERM or SIGINT. */
void sup_init(
    struct supervisor *s, uv_loop_t *loop, void (*leave)(void *ctx), void *ctx);
/** Add a task. Tasks start in the order in which they are added. At most
 * SUP_TASKS_MAX may be added. */
void sup_add(struct supervisor *s, const char *name,
    struct status (*start)(void *self), void (*stop)(void *self), void *self);
/**
 * Start every task and run until sup_finish(), sup_fail() or a second signal.
 * @return exit code as in sysexits(3)
 */
int sup_run(struct supervisor *s);
/** Stop all tasks with an exit code, as this process cannot serve. */
void sup_fail(struct supervisor *s, int exit_code);
/** Stop all tasks, as the graceful stop is complete. */
void sup_finish(struct supervisor *s);

#endif
