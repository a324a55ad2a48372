/**
 * @file supervisor.h
 * The root of a daemon: starts its tasks in order and stops them in reverse
 * order, at a signal or when one finds that the process cannot serve.
 */
#ifndef PW_SUPERVISOR_H
#define PW_SUPERVISOR_H

#include "base/status.h"

#include <stdbool.h>
#include <uv.h>

/** Most tasks of a daemon. */
#define SUP_TASKS_MAX 8

/** A task. */
struct task {
	const char *name;
	struct status (*start)(void *self);
	void (*stop)(void *self); /**< closes its handles */
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
	void (*leave)(void *ctx); /**< begin a graceful stop */
	void *ctx;
	bool leaving;
	int exit_code;
};

/** Prepare; leave is called at the first SIGTERM or SIGINT. */
void sup_init(
    struct supervisor *s, uv_loop_t *loop, void (*leave)(void *ctx), void *ctx);
/** Add a task; tasks start in this order. */
void sup_add(struct supervisor *s, const char *name,
    struct status (*start)(void *self), void (*stop)(void *self), void *self);
/**
 * Start every task and run until sup_finish() or a second signal.
 * @return exit code by sysexits(3)
 */
int sup_run(struct supervisor *s);
/** A task found that this process cannot serve: stop with this exit code. */
void sup_fail(struct supervisor *s, int exit_code);
/** The graceful stop is complete. */
void sup_finish(struct supervisor *s);

#endif
