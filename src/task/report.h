/**
 * @file report.h
 * What a process shows of itself to operators, as JSON.
 */
#ifndef PW_REPORT_H
#define PW_REPORT_H

#include "base/counters.h"
#include "request/agent.h"
#include "request/balancer.h"

/** Status of a balancer; the caller frees it. */
char *report_balancer(const struct balancer *b);
/** Status of an agent; the caller frees it. */
char *report_agent(const struct agent *a);
/** Counters; the caller frees it. */
char *report_counters(const struct counters *c);

#endif
