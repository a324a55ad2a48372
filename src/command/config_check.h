/**
 * @file config_check.h
 * The operators' command that checks a configuration of flows.
 */
#ifndef PW_COMMAND_CONFIG_CHECK_H
#define PW_COMMAND_CONFIG_CHECK_H

#include <stdbool.h>

/**
 * Check a configuration in the platform's format without sending it.
 * @param against file with the configuration in force; NULL for none
 * @return exit code as in sysexits(3)
 */
int op_check_flows(const char *path, const char *against, bool json);

#endif
