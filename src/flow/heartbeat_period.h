/**
 * @file heartbeat_period.h
 * Periods of an agent's heartbeats to the balancers. They follow from the
 * number of balancers alone, so a balancer can tell how long to wait for agents
 * that it has not heard from yet.
 */
#ifndef PW_FLOW_HEARTBEAT_PERIOD_H
#define PW_FLOW_HEARTBEAT_PERIOD_H

#include <stdint.h>

/**
 * Period in ms of heartbeats to the balancers of the agent's failure domain.
 * @param balancers how many there are in this failure domain
 */
uint64_t heartbeat_local_ms(uint64_t balancers);
/**
 * Period in ms of heartbeats to the balancers of other failure domains.
 * @param balancers how many there are in all failure domains
 */
uint64_t heartbeat_remote_ms(uint64_t balancers);
/** The same as heartbeat_local_ms() for an agent that has just started. */
uint64_t heartbeat_startup_local_ms(uint64_t balancers);
/** The same as heartbeat_remote_ms() for an agent that has just started. */
uint64_t heartbeat_startup_remote_ms(uint64_t balancers);

#endif
