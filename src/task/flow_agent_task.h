/**
 * @file flow_agent_task.h
 * The agent daemon for opaque flows.
 */
#ifndef PW_FLOW_AGENT_TASK_H
#define PW_FLOW_AGENT_TASK_H

#include "codec/settings.h"
#include "flow/platform_ops.h"

/** Run until stopped. @return exit code by sysexits(3) */
int flow_agent_run(const struct settings *set, const char *settings_path,
    const struct platform_ops *platform_ops);

#endif
