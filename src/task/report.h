/**
 * @file report.h
 * Status and counters of a process as JSON, for the operator's commands.
 */
#ifndef PW_REPORT_H
#define PW_REPORT_H

#include "base/counters.h"
#include "request/agent.h"
#include "request/balancer.h"

/** Status of a balancer as JSON, freed by the caller. */
char *report_balancer(const struct balancer *b);
/** Status of an agent as JSON, freed by the caller. */
char *report_agent(const struct agent *a);
/** All counters as JSON, freed by the caller. */
char *report_counters(const struct counters *c);

#endif
