/**
 * @file message.h
 * What balancers and agents say to each other about opaque flows. The wire
 * form is codec/flow_wire.h.
 */
#ifndef PW_FLOW_MESSAGE_H
#define PW_FLOW_MESSAGE_H

#include "flow/packet.h"

/** Longest name of a service or failure domain, with its NUL. */
#define FLOW_NAME_MAX 64
/** Balancers in one list. */
#define FLOW_PEERS_MAX 64

/** Kinds of messages. */
enum flow_msg_kind {
	FLOW_MSG_AGENT = 1, /**< an agent's heartbeat with its load */
	FLOW_MSG_BALANCER,  /**< a balancer's heartbeat */
	FLOW_MSG_PEERS,	    /**< balancers that the sender knows */
	FLOW_MSG_FIND,	    /**< does your target hold these flows? To a
			       balancer: do those of its failure domain? */
	FLOW_MSG_FOUND,	    /**< the answer, also when nobody asked */
	FLOW_MSG_ACCEPTED,  /**< the target took an opening packet */
	FLOW_MSG_REFUSED,   /**< it did not, nor will it */
	FLOW_MSG_AWAY,	    /**< the target does not hold this flow */
};

/** Whether an agent's target takes new flows. */
enum target_state {
	TARGET_UNKNOWN, /**< the agent is young and has not heard of it yet */
	TARGET_ABSENT,	/**< there is none, or it is gone */
	TARGET_READY,	/**< takes new flows */
	TARGET_LEAVING, /**< finishes the flows it has */
	TARGET_SILENT,	/**< gave no sign when it should have */
	TARGET_STATES
};

/** An agent's view of its target. */
struct msg_agent {
	uint32_t service; /**< flow_service_tag() */
	char domain[FLOW_NAME_MAX];
	uint16_t data_port; /**< takes packets here */
	enum target_state state;
	uint32_t cold_ms; /**< how much longer it is slow */
	uint32_t slots;
	uint32_t busy_milli; /**< requests held, smoothed, times 1000 */
	uint32_t waiting;    /**< requests held now */
	uint32_t flows;	     /**< open flows */
	uint32_t failing;    /**< part of its answers that fail, times 1000 */
	uint32_t period_ms;  /**< until the next heartbeat */
	uint64_t peers;	     /**< digest of the balancers it knows */
	bool ask;	     /**< a list of balancers is wanted */
	bool gone;	     /**< it ends, and its target has ended */
};

/** A balancer's heartbeat. */
struct msg_balancer {
	char domain[FLOW_NAME_MAX];
	uint64_t version;     /**< configuration in force there */
	uint64_t peers;	      /**< digest of the balancers it knows */
	uint32_t agents;      /**< agents that it has heard lately */
	uint64_t agent_set;   /**< digest of them */
	uint32_t near_agents; /**< those of its own failure domain */
	uint64_t near_set;    /**< digest of these */
	bool whole;   /**< it compares all agents, not just its near ones */
	bool ask;     /**< a list of the receiver's near agents is wanted */
	bool settled; /**< it knows all agents that it compares */
	uint32_t capacity; /**< thousandths of a core that it may use */
	bool leaving;
};

/** A balancer as another one knows it. */
struct msg_peer {
	uint64_t id;
	uint32_t age_ms; /**< since it was heard of */
	uint32_t domain; /**< tag of its failure domain, 0 if not known */
};

/** A list of balancers, or of agents. */
struct msg_peers {
	bool agents; /**< of agents that the sender has heard lately */
	bool near;   /**< only of those in the sender's failure domain */
	bool same;   /**< all that the receiver knows, and no others: none
			is listed */
	bool sample; /**< only some: the sender's budget has run short */
	uint32_t count;
	struct msg_peer peers[FLOW_PEERS_MAX];
};

/** Where a flow is. */
enum flow_where {
	FLOW_HERE,
	FLOW_NOT_HERE,
	FLOW_UNSURE, /**< the agent is younger than its target; a delegate:
			it cannot tell, ask the agents */
	FLOW_WAIT,   /**< a delegate: it has not heard from all yet */
};

/** Why an opening packet was refused. */
enum flow_refusal {
	FLOW_REFUSED_SERVICE = 1, /**< another service runs here */
	FLOW_REFUSED_LEAVING,	  /**< the target is leaving or gone */
	FLOW_REFUSED_FULL,	  /**< the target sent it back */
	FLOW_REFUSED_SILENT,	  /**< the target did not answer in time */
};

/** Flows in one question or answer. */
#define FLOW_FIND_MAX 32

/** A flow that is looked for. */
struct msg_found {
	struct flow_key flow;
	uint32_t ack;	       /**< FIND: tells two openings apart */
	enum flow_where where; /**< FOUND */
	uint64_t owner; /**< FOUND of a delegate: the agent that holds it, or
			   the one that is unsure; 0 for none or several */
};

/** Flows that are looked for, or the answer about them. */
struct msg_find {
	uint32_t count;
	struct msg_found flows[FLOW_FIND_MAX];
};

/** About one flow; which fields count depends on the kind. */
struct msg_flow {
	struct flow_key flow;
	uint32_t ack;		   /**< AWAY: the caller's latest */
	enum flow_refusal refusal; /**< REFUSED */
	uint32_t busy_milli;	   /**< ACCEPTED, REFUSED: as a heartbeat */
	uint32_t flows;		   /**< ACCEPTED, REFUSED: as a heartbeat */
	uint32_t failing;	   /**< ACCEPTED, REFUSED: as a heartbeat */
	struct str bytes;	   /**< AWAY: the packet, unchanged */
};

/** One message. */
struct flow_msg {
	enum flow_msg_kind kind;
	uint64_t from;	      /**< sender, addr_pack() of its control address */
	uint64_t incarnation; /**< drawn at its start */
	uint64_t sequence;    /**< grows with each heartbeat */
	union {
		struct msg_agent agent;
		struct msg_balancer balancer;
		struct msg_peers peers;
		struct msg_find find;
		struct msg_flow flow;
	} u;
};

#endif
