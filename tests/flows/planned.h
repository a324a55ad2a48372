/**
 * @file planned.h
 * Modes with planned work: processes are restarted, or replaced by others,
 * while callers with long pauses have flows open.
 */
#ifndef PW_FLOWS_PLANNED_H
#define PW_FLOWS_PLANNED_H

#include "simulation.h"

/** Mode "replace": all balancers, or those of one failure domain, are replaced
 * by others at new addresses again and again, after a restart of some agents.
 */
void planned_replace(uint64_t seconds);
/**
 * Mode "rolling": restarts of all balancers at their addresses overlap, with
 * restarts of agents at the same time, or all balancers are replaced while
 * agents restart in turn, some of them twice. With "faults", random faults are
 * injected meanwhile.
 */
void planned_rolling(uint64_t seconds);

#endif
