/**
 * @file agent_task.h
 * The agent daemon. Its core task owns the control socket, the socket to the
 * target, and the agent's state.
 */
#ifndef PW_AGENT_TASK_H
#define PW_AGENT_TASK_H

#include "codec/settings.h"

/** Run the daemon until it is stopped. @return exit code as in sysexits(3) */
int agent_run(const struct settings *set);

#endif
