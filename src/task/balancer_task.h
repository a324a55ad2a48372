/**
 * @file balancer_task.h
 * The balancer daemon. Its core task owns the control socket, one socket for
 * each service, and the balancer's state.
 */
#ifndef PW_BALANCER_TASK_H
#define PW_BALANCER_TASK_H

#include "codec/settings.h"

/** Run the daemon until it is stopped. @return exit code as in sysexits(3) */
int balancer_run(const struct settings *set);

#endif
