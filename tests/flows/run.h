/**
 * @file run.h
 * A seeded run of the decisions about opaque flows on a virtual clock:
 * balancers, agents, targets, callers, routers and a store, with the real wire
 * codec between the processes, and what is asserted of them.
 */
#ifndef PW_FLOWS_RUN_H
#define PW_FLOWS_RUN_H

#include "events.h"

#include "base/clock.h"
#include "base/rng.h"
#include "flow/agent.h"
#include "flow/balancer.h"

/** Kinds of messages, for the byte counts. */
#define KINDS (FLOW_MSG_NOT_HELD + 1)
/** Slots of a target, and requests that it queues beyond them. */
#define SLOTS 4
#define QUEUE 8

/** What is asserted. */
enum invariant {
	INV_RESET = 1, /**< no live flow is reset by the system */
	INV_STRAY,     /**< its packets do not go to others and never to it */
	INV_ROUTE,     /**< nothing opens at a service its address never had */
	INV_LEAVING,   /**< nothing opens at a target that has said it leaves */
	INV_ONCE,      /**< a request runs once */
	INV_VERSION,   /**< a version never goes back within a life */
	INV_FORCE,     /**< and is in force everywhere within the bound */
	INV_SERVED,    /**< when the faults are over everybody is served */
	INV_BOUNDED,   /**< what a process sends for control is bounded */
	INV_COUNT
};

/** A process. */
struct node {
	bool is_agent;
	bool alive;
	unsigned domain;
	unsigned generation; /**< counts starts: events of older ones are lost
			      */
	uint64_t began_ns;
	uint64_t frozen_until; /**< 0 when not frozen */
	uint64_t held_ns;      /**< latest kill, freeze or cut */
	uint64_t restart_ns;   /**< starts again then; 0 when it runs */
	uint64_t version;      /**< last seen in force */
	uint64_t sent;	       /**< control bytes */
	uint64_t sent_far;     /**< of them to other failure domains */
	uint64_t got;
	struct counters ctr;
	struct fb fb;
	struct fa fa;
	bool routed;	     /**< routers send to it */
	bool asking;	     /**< reads the store */
	uint64_t fetched_ns; /**< latest try to read a peer's routes */
};

/** A packet on its way; its bytes are the struct itself. */
struct packet {
	struct flow_key flow;
	uint32_t seq;
	uint32_t ack;
	uint32_t flags;
	uint32_t tag;
	uint32_t probe;
	uint32_t copy;
	uint32_t data;	  /**< bytes of data */
	uint32_t via;	  /**< balancer that forwarded it */
	uint64_t request; /**< number of the request in it, 0 for none */
};

/** Events. */
enum happening {
	EV_TICK,
	EV_MESSAGE, /**< between processes */
	EV_PACKET,  /**< caller to balancer */
	EV_FORWARD, /**< balancer to agent */
	EV_TARGET,  /**< agent to target */
	EV_BACK,    /**< target to agent */
	EV_CALLER,  /**< to a caller */
	EV_DONE,    /**< a target has finished a request */
	EV_TIMER,   /**< a caller's */
	EV_WORD,    /**< a target speaks of itself */
	EV_TRIED,   /**< an agent's connection to its target */
	EV_STORE,   /**< the store answers a balancer */
	EV_FETCHED, /**< a balancer answers another's read */
	EV_ROUTERS, /**< routers look who is ready */
	EV_FAULT,
	EV_CHANGE /**< the operator changes the configuration */
};

/** What the run is asked for. */
struct run_setup {
	uint64_t seed;
	unsigned balancers;
	unsigned agents;
	unsigned domains;
	unsigned callers;
	unsigned per_service; /**< agents of one service */
	bool faults;
	bool slopes;	       /**< processor time is measured */
	enum invariant broken; /**< mechanism to break, 0 for none */
};

/** The run. */
struct run {
	struct run_setup set;
	uint64_t now;
	struct event_queue queue;
	struct rng rng;
	struct node *nodes; /**< balancers, then agents */
	unsigned count;
	uint64_t cut_until[8][8]; /**< between failure domains */
	unsigned loss_ppm;
	uint64_t store_down_until;
	uint64_t version; /**< in the store */
	uint64_t changed_ns;
	uint64_t faults;
	uint64_t last_fault_ns;
	uint64_t checks[INV_COUNT];
	uint64_t violations;
	uint64_t bytes[2][KINDS]; /**< control, by role and kind */
	uint64_t far[2];	  /**< of them between failure domains */
	uint64_t cpu_ns[2];	  /**< measured, by role */
	uint64_t packets;
};

extern struct run r;

/* run.c */
void check(enum invariant inv, bool holds, const char *fmt, ...)
    __attribute__((format(printf, 3, 4)));
/** Schedule an event for a node, target or caller. */
void post(uint64_t delay_ns, enum happening what, unsigned who,
    unsigned generation, uint64_t value, const void *bytes, size_t len);
/** Send over a link between failure domains: late, cut, or lost. */
void send_link(unsigned from, unsigned to, enum happening what, unsigned who,
    uint64_t value, const void *bytes, size_t len);
void run_until(uint64_t end_ns);
/** Whether a node and its links were calm for so long. */
bool calm(const struct node *n, uint64_t ms);

/* nodes.c */
void nodes_begin(void);
void nodes_end(void);
void node_start(unsigned who);
void node_kill(unsigned who, uint64_t restart_after_ns);
void node_event(enum happening what, unsigned who, uint64_t value,
    const void *bytes, size_t len);
unsigned service_of(unsigned agent);
uint64_t service_address(unsigned service);
uint32_t service_tag(unsigned service);
void routers_look(void);
/** The balancer that routers choose for a flow, or the count for none. */
unsigned router_pick(const struct flow_key *flow, unsigned domain);
void config_change(void);
void nodes_check(void);

/* ends.c */
void ends_begin(void);
void ends_end(void);
void target_start(unsigned agent);
void target_crash(unsigned agent);
void target_leave(unsigned agent);
/** A target that has drained says that it ends, and does. */
void target_end(unsigned agent);
bool target_alive(unsigned agent);
void target_packet(unsigned agent, const struct packet *p);
void target_done(unsigned agent, unsigned life, uint64_t request,
    const struct flow_key *flow);
void target_speak(unsigned agent, unsigned speech);
void caller_packet(unsigned who, const struct packet *p);
void caller_timer(unsigned who, uint64_t tick);
void ends_print(void);
/** Requests asked for and served since the last call, in ppm. */
unsigned served_ppm(void);

/* faults.c */
/** One of the faults, drawn. */
void fault_strike(void);
/** All processes are killed and start again. */
void fault_kill_all(uint64_t down_ns);
/** What a fault has put off is due. */
void fault_over(unsigned who, uint64_t what);

#endif
