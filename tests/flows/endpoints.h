/**
 * @file endpoints.h
 * Targets and callers of the simulation, shared by targets.c and callers.c.
 */
#ifndef PW_FLOWS_ENDPOINTS_H
#define PW_FLOWS_ENDPOINTS_H

#include "simulation.h"

#include <uthash.h>

/** The processes on the path of a flow must have been free of faults for this
 * long before its checks apply, in ms. */
#define ENDPOINTS_STABLE_MS 5000
/** Period of a target's heartbeats, in ms. */
#define TARGET_HEARTBEAT_MS 1200

/** Most openings of a cold target in a second. */
#define COLD_OPENINGS_MAX (COLD_PER_S * COLD_OVERAGE_MILLI / 1000 + COLD_SLACK)

struct target_flow {
	struct flow_key flow;
	uint32_t opening_seq; /**< sequence number of the caller's opening */
	uint32_t seq;
	bool open;
	uint64_t last_accepted_request; /**< running, queued or finished */
	uint64_t last_finished_request; /**< a retransmission of it is answered
					   at once */
	UT_hash_handle hh;
};

struct job {
	struct flow_key flow;
	uint64_t request;
};

struct sim_target {
	bool alive;
	unsigned incarnation;
	/** Id of the latest heartbeat timer; earlier ones are ignored. */
	unsigned heartbeat_timer;
	uint64_t id;
	uint64_t started_ms;
	uint64_t sequence;
	/** When its agent first received a heartbeat with the state leaving, or
	 * 0. */
	uint64_t leaving_sent_ns;
	bool leaving;
	uint64_t disturbed_until_ns; /**< latest start or crash */
	uint64_t cold_until_ns;
	/** Latest openings of new flows, the oldest first. */
	uint64_t openings_ns[COLD_OPENINGS_MAX + 1];
	unsigned busy;
	struct job queue[TARGET_QUEUE_MAX];
	unsigned queued;
	struct target_flow *flows;
};

enum caller_state {
	IDLE,
	OPENING,
	OPEN,
	REQUESTING
};

struct sim_caller {
	enum caller_state state;
	struct flow_key flow;
	unsigned service;
	uint64_t timer; /**< id of the latest timer; earlier ones are ignored */
	unsigned retransmissions;
	uint64_t started_ns; /**< start of the opening or the request */
	unsigned target; /**< index of the agent whose target holds the flow */
	unsigned incarnation;	/**< of the target */
	uint32_t opening_seq;	/**< sequence number of the opening */
	uint32_t seq;		/**< initial sequence number of the target */
	uint64_t request;	/**< id of the current or last request */
	unsigned executions;	/**< of the current request */
	unsigned requests_left; /**< still to be sent in this flow */
	unsigned strays; /**< packets in a row that reached wrong targets */
	uint64_t first_stray_ns;
	uint64_t opened_ns;    /**< when the flow was established */
	uint64_t first_try_ns; /**< single requests: start of the first try */
	unsigned retries;      /**< tries after the first */
	bool high;	       /**< mode "priorities": see there */
	bool recorded;	       /**< its flow was in the store at the latest loss
				  of power */
	bool reset_sent;       /**< an agent has sent a reset of its flow */
	bool counted;	       /**< it began while overload is measured */
	struct load_result *load; /**< where it counts, or NULL */
	uint16_t port;
};

/** Target of an agent. */
struct sim_target *get_target(unsigned agent);
/** Caller of a flow. */
struct sim_caller *get_caller(const struct flow_key *flow);
/** Allocate and start all targets. */
void targets_init(void);
void targets_free(void);
/** Number of packets that reached a target which did not hold their flow. */
uint64_t targets_stray_count(void);

#endif
