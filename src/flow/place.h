/**
 * @file place.h
 * Choice of the target for a new flow. A flow cannot be moved later, so the
 * choice takes into account the requests that a flow is expected to bring, not
 * only those that wait now.
 */
#ifndef PW_PLACE_H
#define PW_PLACE_H

#include "flow/agents.h"
#include "flow/domain_share.h"
#include "flow/evacuation.h"

/** Most agents to which one opening is offered. */
#define PLACE_TRIES_MAX 4

/**
 * Candidates for a flow among the agents of a service in one failure domain.
 * They follow from the flow key alone (rendezvous hash), so a balancer without
 * state of the flow finds its agent with few queries. Four candidates balance
 * the load almost as well as all agents.
 */
#define PLACE_CANDIDATES 4

/** What a flow's first request meets at a target. */
struct place_estimate {
	bool work_known;	 /**< the target reports its work time */
	uint64_t requests_milli; /**< requests before it, times 1000 */
	uint64_t yielding_milli; /**< requests of lower priority that its agent
				    releases after it, times 1000 */
	uint64_t work_us;	 /**< work on it */
	bool ordered;		 /**< its agent orders requests by priority */
	uint64_t wait_us;	 /**< wait for a free slot */
	uint64_t slots;		 /**< of the target, at least 1 */
	uint64_t busy_milli;	 /**< share of busy slots of all candidates */
	uint32_t balancers;	 /**< see struct place_request */
	uint32_t near_targets;	 /**< see struct place_means */
	uint32_t far_targets;	 /**< see struct place_means */
	bool near;		 /**< in the balancer's failure domain */
};

/** The candidate with the earliest answer. */
struct place_earliest {
	struct agent_view *agent; /**< NULL when there is none */
	struct place_estimate estimate;
};

/** Requests that a target queues beyond its slots: those of the deployments in
 * service do. It sheds any further one. */
#define PLACE_TARGET_QUEUE 8

/** Input of a choice. */
struct place_request {
	const struct agents *agents;
	uint32_t service;      /**< flow_service_tag() */
	uint64_t flow;	       /**< flow_hash() */
	const char *domain;    /**< the balancer's own failure domain */
	uint32_t balancers;    /**< balancers there, with this one; 0 counts as
				  1 */
	const uint64_t *tried; /**< agents to exclude */
	size_t tried_count;
	const struct evacuation *evacuated; /**< gets no flows; NULL for none */
	uint32_t refusing_domain; /**< tag of a domain whose agents refuse
				     flows as evacuated; 0 for none */
	int priority;	  /**< of the flow's route; negative if unknown */
	bool limits_cold; /**< cold targets have limits */
	bool avoid_cold;  /**< a cold target has refused the flow */
	const struct domain_share *domains; /**< costs of other domains; NULL
					       for none */
	enum request_kind kind;		    /**< of the flow's route */
	uint32_t leave_to; /**< domain_share_pick(); 0 to stay in the own one */
	uint64_t now;
	struct place_estimate *estimate; /**< receives the one of the agent
					    chosen; may be NULL */
	struct place_earliest *earliest; /**< receives the candidate of the
					    earliest answer in any failure
					    domain; may be NULL */
};

/** Means over the targets of a service. */
struct place_means {
	uint64_t flow_milli; /**< load of one flow, in thousandths of a request
			      */
	uint64_t work_us;    /**< work of one request */
	uint32_t balancers;  /**< see struct place_request */
	uint32_t near_targets; /**< ready targets of the own failure domain */
	uint32_t far_targets;  /**< ready targets of other ones */
	uint32_t domain;       /**< tag of the own failure domain */
};

/** Expected wait for a free slot, in us, behind requests_milli requests. */
uint64_t place_wait_us(
    uint64_t work_us, uint64_t requests_milli, uint64_t slots);
/** Measure the means of a service, or assume them if nothing is reported. */
struct place_means place_measure(
    const struct agent_group *g, const char *domain, uint64_t now);
/**
 * Find the candidates for a flow in one failure domain.
 * @return number of candidates in out
 */
size_t place_candidates(const struct agent_group *g, const char *domain,
    uint64_t flow, struct agent_view *out[PLACE_CANDIDATES]);
/** Record that a flow is placed at an agent. */
void place_record(struct agent_view *v, uint64_t now);
/**
 * Record that a flow is placed at an agent with a cold target.
 * @param interval_ns cold_limit_interval_ns()
 */
void place_record_cold(
    struct agent_view *v, uint64_t interval_ns, uint64_t now);
/** Call a function for the candidates of every failure domain. */
void place_for_each_candidate(const struct agent_group *g, uint64_t flow,
    void (*each)(void *ctx, struct agent_view *v), void *ctx);
/**
 * Choose the agent of least cost, first among the candidates and then among
 * all agents of the service; NULL when none accepts the flow. Agents of other
 * failure domains are chosen when the flow leaves for their domain, when no
 * near agent accepts it, or after two refusals.
 */
struct agent_view *place_choose(const struct place_request *req);

/** Whether an agent that accepts flows of the service is in an evacuated
 * domain. */
bool place_has_evacuated(const struct place_request *req);

#endif
