/**
 * @file flow_balancer_task.h
 * The balancer daemon for opaque flows.
 */
#ifndef PW_FLOW_BALANCER_TASK_H
#define PW_FLOW_BALANCER_TASK_H

#include "codec/settings.h"
#include "flow/platform_ops.h"

/**
 * Run the daemon until it is stopped.
 * @param settings_path file that is read again at SIGHUP; borrowed
 * @param platform_ops packet and text formats of the platform; borrowed
 * @return exit code as in sysexits(3)
 */
int flow_balancer_run(const struct settings *set, const char *settings_path,
    const struct platform_ops *platform_ops);

#endif
