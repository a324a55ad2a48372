/**
 * @file domain_load.h
 * Loads of the targets of a service by failure domain, from the agents' load
 * reports, and the expected cost of a request in a domain with a load. All
 * decisions are pure.
 */
#ifndef PW_DOMAIN_LOAD_H
#define PW_DOMAIN_LOAD_H

#include "flow/agents.h"
#include "flow/evacuation.h"

/** Most other failure domains of which the loads are compared. */
#define DOMAIN_LOAD_MAX 16

/** Load of the targets of a service in one failure domain. */
struct domain_load {
	uint32_t tag;
	const char *name;      /**< of an agent's heartbeat; NULL for the own
				  domain */
	uint64_t slots_milli;  /**< of targets with a recent report */
	uint64_t stale_milli;  /**< of other targets */
	uint64_t load_milli;   /**< requests there, times 1000 */
	uint64_t failing_cost; /**< mean by slots, in thousandths of the work */
	uint64_t work_us;      /**< mean work of one request */
	uint64_t samples;      /**< requests that the mean work covers */
};

/** The loads of a service. */
struct domain_loads {
	struct domain_load near; /**< of the own failure domain */
	struct domain_load remote[DOMAIN_LOAD_MAX];
	size_t count; /**< entries of remote that are used */
};

/**
 * Add up the loads of the targets that can take flows.
 * @param l is overwritten; its names point into the agents of the group
 * @param own_tag tag of the balancer's failure domain
 * @param g agents of the service; may be NULL
 * @param evacuated domains that are left out; may be NULL
 */
void dl_measure(struct domain_loads *l, uint32_t own_tag,
    const struct agent_group *g, const struct evacuation *evacuated,
    uint64_t now);
/** The load of another failure domain; NULL if it has no usable target. */
const struct domain_load *dl_find_remote(
    const struct domain_loads *l, uint32_t tag);
/** Whether most slots of a domain have a recent report. */
bool dl_is_fresh(const struct domain_load *d);
/** Mean wait of a request in a domain, in us, if the domain had load_milli
 * requests, times 1000. */
uint64_t dl_wait_us(const struct domain_load *d, uint64_t load_milli);
/**
 * Expected cost of a request in a domain with a load, in us: its wait, and the
 * worth that is lost when it is late or refused; an answer is worth as much as
 * its target latency.
 * @param load_milli requests in the domain, times 1000
 * @param latency_us target latency of the request
 */
uint64_t dl_cost_us(
    const struct domain_load *d, uint64_t load_milli, uint64_t latency_us);

#endif
