/**
 * @file operator.h
 * The operators' commands. Each returns an exit code as in sysexits(3).
 */
#ifndef PW_OPERATOR_H
#define PW_OPERATOR_H

#include "codec/settings.h"

/** Check a configuration text without submitting it. */
int op_check(const char *path);
/** Submit a configuration text and push it to the seeds. */
int op_submit(const struct settings *set, const char *path, bool json);
/** Print the configuration text in force. */
int op_show(const struct settings *set, bool json);
/** Print the version in force in each failure domain, and the members. */
int op_status(const struct settings *set, bool json);
/** Print the counters of the process at an address, IP:PORT. */
int op_counters(const struct settings *set, const char *address, bool json);

#endif
