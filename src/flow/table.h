/**
 * @file table.h
 * The flows that an agent knows its target to hold, or to be asked about. The
 * table is bounded in entries and in time; it is what the agent saw, so it
 * can be lost and learned again.
 */
#ifndef PW_FLOW_TABLE_H
#define PW_FLOW_TABLE_H

#include "flow/message.h"

#include <uthash.h>

/** How far a flow is. */
enum held_state {
	HELD_OPENING, /**< an opening packet was given to the target */
	HELD_HALF,    /**< the target accepted, the caller's word is due */
	HELD_OPEN,
	HELD_TRIED,  /**< given to the target to find out */
	HELD_CLOSED, /**< ended; kept for late packets */
};

/** One flow. */
struct held_flow {
	struct flow_key flow;
	enum held_state state;
	uint64_t via;	     /**< balancer it last came by, 0 for none */
	uint64_t began_ns;   /**< in this state */
	uint64_t used_ns;    /**< latest packet either way */
	uint64_t asked_ns;   /**< request given to the target, 0 for none */
	uint32_t target_seq; /**< the target's latest number */
	bool target_known;   /**< whether one was seen */
	uint32_t caller_ack; /**< the caller's latest */
	bool caller_done;    /**< its FIN was seen */
	bool target_done;
	bool probed;	   /**< by a balancer that looks for it */
	bool silence_told; /**< an opening's balancer knows of the silence */
	bool doubted;	   /**< may be of a life of the target that ended */
	UT_hash_handle hh;
};

/** All flows of an agent. */
struct flow_table {
	struct held_flow *table;
	size_t capacity;
	uint32_t open;	  /**< in HELD_HALF and HELD_OPEN */
	uint32_t waiting; /**< with a request at the target */
};

/** Find a flow; NULL when it is not known. */
struct held_flow *table_find(
    const struct flow_table *t, const struct flow_key *flow);
/**
 * Find or add a flow in a state.
 * @param forgotten set when another had to go for it
 */
struct held_flow *table_enter(struct flow_table *t, const struct flow_key *flow,
    enum held_state state, uint64_t now, bool *forgotten);
/** Move a flow to a state; counts follow. */
void table_move(struct flow_table *t, struct held_flow *f,
    enum held_state state, uint64_t now);
/** Note that a request was given to the target, or that its answer came. */
void table_ask(struct flow_table *t, struct held_flow *f, uint64_t now);
void table_answer(struct flow_table *t, struct held_flow *f);
/** Forget one flow. */
void table_drop(struct flow_table *t, struct held_flow *f);
/** Forget all. */
void table_clear(struct flow_table *t);
/** Forget what was not used for long, by its state. */
void table_expire(struct flow_table *t, uint64_t idle_ms, uint64_t now);
/** Note a number that the target sent. */
void table_numbered(struct held_flow *f, uint32_t seq);
/**
 * Whether a caller's acknowledgement fits what this target said. Callers use
 * a port again, and may have been accepted by two targets at once.
 */
bool table_fits(const struct held_flow *f, uint32_t ack);

#endif
