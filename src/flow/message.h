/**
 * @file message.h
 * Messages between balancers and agents of opaque flows. The fields have the
 * names of the wire form, which codec/flow_wire.h encodes and decodes.
 */
#ifndef PW_FLOW_MESSAGE_H
#define PW_FLOW_MESSAGE_H

#include "flow/packet.h"

/** Longest name of a service or failure domain, including its NUL. */
#define FLOW_NAME_MAX 64
/** Most entries in one list of balancers or agents. */
#define FLOW_PEERS_MAX 64

/** Priorities that agents tell apart; lower ones count as the last. */
#define FLOW_PRIORITIES 16
/** Most failure domains that may be evacuated at the same time. */
#define FLOW_EVACUATED_MAX 128

/** Kinds of messages. */
enum flow_msg_kind {
	FLOW_MSG_AGENT = 1, /**< an agent's heartbeat with its load */
	FLOW_MSG_BALANCER,  /**< a balancer's heartbeat */
	FLOW_MSG_PEERS,	    /**< list of balancers or agents */
	FLOW_MSG_FIND,	    /**< query: does the receiver's target hold these
			       flows? Sent to a balancer: does any target of its
			       failure domain hold them? */
	FLOW_MSG_FOUND,	    /**< reply to FIND; also sent without a query */
	FLOW_MSG_ACCEPTED,  /**< the target accepted an opening packet */
	FLOW_MSG_REFUSED,   /**< the target or its agent refused it */
	FLOW_MSG_NOT_HELD,  /**< the target does not hold this flow; the packet
			       is returned */
};

/** Whether an agent's target accepts new flows. */
enum target_state {
	TARGET_UNKNOWN, /**< the agent has just started and has received no
			   heartbeat of its target yet */
	TARGET_ABSENT,	/**< no target runs, or it has ended */
	TARGET_READY,	/**< accepts new flows */
	TARGET_LEAVING, /**< only finishes the flows it has */
	TARGET_SILENT,	/**< missed its heartbeats or left an opening packet
			   unanswered */
	TARGET_STATES
};

/** Requests at a target or held back by its agent, by priority. Those of
 * unknown priority count in none. */
struct priority_load {
	uint32_t count; /**< entries that follow; 0: unknown */
	uint32_t requests[FLOW_PRIORITIES]; /**< smoothed as busy_milli; the
					       index is the priority */
};

/** An agent's heartbeat: the state and load of its target. */
struct msg_agent {
	uint32_t service; /**< flow_service_tag() */
	char domain[FLOW_NAME_MAX];
	uint16_t data_port; /**< UDP port on which the agent receives packets */
	enum target_state state;
	uint32_t cold_ms;    /**< remaining time for which the target is slow */
	uint32_t slots;	     /**< requests that the target serves at once */
	uint32_t busy_milli; /**< smoothed number of requests at the target or
				held back, times 1000 */
	uint32_t waiting;    /**< requests at the target or held back now */
	uint32_t flows;	     /**< open flows */
	uint32_t failing;    /**< failed share of its responses, times 1000 */
	uint32_t period_ms;  /**< time until the next heartbeat */
	uint64_t peers;	     /**< digest of the balancers in its table */
	uint64_t version;    /**< version of the routes that it keeps for
				balancers; 0 for none */
	bool ask;	     /**< requests a list of balancers */
	bool gone;	     /**< the agent stops, and its target has ended */
	uint32_t work_us;    /**< mean time for which the target works on a
				request, without its queue; 0: unknown */
	uint32_t work_samples; /**< recent requests in the mean */
	uint32_t queued;       /**< requests that the agent holds back */
	uint64_t evacuation;   /**< revision of the evacuations that it knows;
				  0 for none */
	uint64_t limits;       /**< version of the configuration of which it
				  knows its service's limits; 0 for none */
	struct priority_load by_priority;
};

/** A balancer's heartbeat. */
struct msg_balancer {
	char domain[FLOW_NAME_MAX];
	uint64_t version;     /**< version of its configuration */
	uint64_t peers;	      /**< digest of the balancers in its table */
	uint32_t agents;      /**< agents with a recent heartbeat */
	uint64_t agent_set;   /**< digest of these agents */
	uint32_t near_agents; /**< those of them in its own failure domain */
	uint64_t near_set;    /**< digest of these */
	bool whole; /**< it compares the agents of all failure domains with
		       other balancers, not only the agents of its own */
	bool ask;   /**< requests a list of the agents in the receiver's failure
		       domain */
	bool settled;	    /**< it knows all agents that it compares */
	uint64_t store_era; /**< latest era of the store that it knows; 0 for
			       none */
	uint32_t capacity;  /**< processor time it may use, in thousandths of a
			       core */
	bool leaving;
	bool watch_ok;	     /**< it watches the configuration in the store, and
				the store answers it */
	uint64_t evacuation; /**< revision of the evacuations below; 0: none are
				known */
	uint32_t evacuated_count;
	uint32_t evacuated[FLOW_EVACUATED_MAX]; /**< tags of the evacuated
						   failure domains */
	uint64_t limits; /**< to an agent: version of the configuration of
			    which the next field is; 0 for none */
	uint32_t cold_per_s_milli; /**< to an agent: new flows a second that a
				      cold target of its service bears, times
				      1000; 0: no limit */
};

/** A balancer or an agent in a list. */
struct msg_peer {
	uint64_t id;
	uint32_t age_ms; /**< time since it was last seen */
	uint32_t domain; /**< tag of its failure domain, 0 when unknown */
};

/** A list of balancers, or of agents. */
struct msg_peers {
	bool agents; /**< lists agents with a recent heartbeat, not balancers */
	bool near;   /**< only those in the sender's failure domain */
	bool same;   /**< the sender's table equals the receiver's, and the list
			is empty */
	bool sample; /**< a sample, because the sender's budget for lists is
			used up */
	uint32_t count;
	struct msg_peer peers[FLOW_PEERS_MAX];
};

/** Result of a query for the agent whose target holds a flow. */
enum find_result {
	FIND_HELD,
	FIND_NOT_HELD,
	FIND_UNKNOWN, /**< from an agent whose flow table may be incomplete,
			 because it started after its target or the table was
			 full; from a delegate: the agents have to be queried
			 directly */
	FIND_PENDING, /**< from a delegate: some agents have not replied yet */
};

/** Why an opening packet was refused. */
enum flow_refusal {
	FLOW_REFUSED_SERVICE = 1, /**< the target runs another service */
	FLOW_REFUSED_LEAVING,	  /**< the target is leaving or has ended */
	FLOW_REFUSED_FULL,	  /**< the target returned the packet */
	FLOW_REFUSED_SILENT,	  /**< the target did not answer in time */
	FLOW_REFUSED_EVACUATED,	  /**< its failure domain is evacuated */
	FLOW_REFUSED_COLD,	  /**< the target is cold, and has got as many
				     new flows as it bears */
	FLOW_REFUSALS
};

/** Most flows in one query or reply. */
#define FLOW_FIND_MAX 32

/** One flow in a query or reply. */
struct find_item {
	struct flow_key flow;
	uint32_t ack; /**< the caller's acknowledgement number, which tells
			 apart two openings of the same flow key; FOUND: of the
			 query or the probe, 0 when not stated */
	enum find_result where; /**< FOUND: the result */
	uint64_t owner;	    /**< FOUND from a delegate: the agent that holds the
			       flow, or the only one that replied FIND_UNKNOWN;
			       0 for none or several */
	uint32_t probed_ms; /**< time since a packet of the flow first reached a
			       target that does not hold it; 0 if the sender
			       knows of none */
};

/** A query for flows, or the reply to it. */
struct msg_find {
	uint32_t count;
	struct find_item flows[FLOW_FIND_MAX];
};

/** A message about one flow; the kind decides which fields are set. */
struct msg_flow {
	struct flow_key flow;
	uint32_t ack; /**< NOT_HELD: the caller's last acknowledgement number */
	enum flow_refusal refusal; /**< REFUSED */
	uint32_t busy_milli;	   /**< ACCEPTED, REFUSED: as in a heartbeat */
	uint32_t flows;		   /**< ACCEPTED, REFUSED: as in a heartbeat */
	uint32_t failing;	   /**< ACCEPTED, REFUSED: as in a heartbeat */
	uint32_t work_us;	   /**< ACCEPTED, REFUSED: as in a heartbeat; 0
				      if unknown, or reported to the receiver
				      just before */
	uint32_t work_samples;	   /**< ACCEPTED, REFUSED: as there */
	uint32_t queued;	   /**< ACCEPTED, REFUSED: as in a heartbeat */
	struct priority_load by_priority; /**< ACCEPTED, REFUSED: as there */
	struct str bytes; /**< NOT_HELD: the returned packet, unchanged */
};

/** One message. */
struct flow_msg {
	enum flow_msg_kind kind;
	uint64_t from;	      /**< sender, addr_pack() of its control address */
	uint64_t incarnation; /**< random, drawn when the sender started */
	uint64_t sequence;    /**< grows with each heartbeat of the sender; 0 in
				 an agent's other messages */
	union {
		struct msg_agent agent;
		struct msg_balancer balancer;
		struct msg_peers peers;
		struct msg_find find;
		struct msg_flow flow;
	} u;
};

#endif
