/**
 * @file table.h
 * An agent's table of flows, as seen in the packets that pass it: flows that
 * its target holds, and flows that are being opened or probed for. It is
 * bounded in entries and in time, and a lost table is rebuilt from later
 * packets.
 */
#ifndef PW_FLOW_TABLE_H
#define PW_FLOW_TABLE_H

#include "flow/message.h"
#include "flow/request_queue.h"

#include <uthash.h>

/** State of a flow. */
enum entry_state {
	ENTRY_OPENING,	 /**< an opening packet was passed to the target */
	ENTRY_HALF_OPEN, /**< the target accepted; the caller has to confirm */
	ENTRY_OPEN,
	ENTRY_PROBED, /**< a packet was passed to the target to find out whether
			 it holds the flow */
	ENTRY_CLOSED, /**< ended; kept for late packets */
};

/** One flow. */
struct flow_entry {
	struct flow_key flow;
	enum entry_state state;
	uint64_t via;		 /**< balancer that forwarded the latest packet,
				    0 for none */
	uint64_t state_since_ns; /**< when it entered the state */
	uint64_t last_used_ns;	 /**< latest packet in either direction */
	uint64_t request_ns;  /**< when a request was passed to the target that
				 it has not answered, or held; 0 for none */
	unsigned priority;    /**< priority + 1 of that request; 0: unknown */
	unsigned overdue;     /**< priority + 1 of a request at the target that
				 was released by time; 0 for none */
	uint32_t opening_seq; /**< sequence number of its opening packet */
	bool opening_seq_valid; /**< that packet passed this agent */
	uint32_t target_seq;	/**< the target's last sequence number */
	bool target_seq_valid;
	uint32_t caller_end; /**< end of the data that the caller has sent */
	bool caller_end_valid;
	uint32_t caller_ack;   /**< the caller's last acknowledgement number; 0
				  before it has sent a packet here */
	bool caller_fin;       /**< the caller sent a FIN */
	bool target_fin;       /**< the target sent a FIN */
	bool balancer_probe;   /**< probed for a balancer's search */
	bool timeout_reported; /**< ENTRY_OPENING: the balancer was notified
				  that the target did not answer */
	bool stored;	       /**< in the latest snapshot written */
	uint32_t stored_ack;   /**< the acknowledgement number in it */
	bool unconfirmed;      /**< may belong to a previous incarnation of the
				  target, until the target sends a packet of it */
	bool adopted; /**< from an earlier process's snapshot; may have ended
			 since, until the target sends a packet of it */
	UT_hash_handle hh;
};

/** All flows of an agent. */
struct flow_table {
	struct flow_entry *table;
	size_t capacity;
	uint32_t open;	  /**< flows in ENTRY_HALF_OPEN or ENTRY_OPEN */
	uint32_t waiting; /**< flows with a request at the target, or held */
	uint32_t by_priority[RQ_PRIORITIES]; /**< those of known priority */
	struct request_queue queue; /**< held requests; dropped when their flow
				       ends */
};

/** Find a flow; NULL when it is not in the table. */
struct flow_entry *table_find(
    const struct flow_table *t, const struct flow_key *flow);
/** Whether an opening packet is a copy of the one that began this flow. */
bool table_is_copy(const struct flow_entry *f, const struct flow_packet *p);
/**
 * Whether an opening packet begins a flow that is not in the table: the caller
 * may have used its port before.
 * @param f the entry of the packet's key, or NULL
 */
bool table_begins_flow(const struct flow_entry *f, const struct flow_packet *p);
/**
 * Find or add a flow, and set its state. What is known of an earlier flow of
 * the key is forgotten when the state begins a new one.
 * @param evicted set to whether the oldest entry was removed to make room
 */
struct flow_entry *table_upsert(struct flow_table *t,
    const struct flow_key *flow, enum entry_state state, uint64_t now,
    bool *evicted);
/**
 * Add an open flow that the target held when a snapshot was taken.
 * @return false if there is an entry of its key, or no room
 */
bool table_adopt(struct flow_table *t, const struct flow_key *flow,
    uint32_t caller_ack, uint64_t now);
/** Set the state of a flow, and update the table's counts. */
void table_set_state(struct flow_table *t, struct flow_entry *f,
    enum entry_state state, uint64_t now);
/**
 * Record that data of a caller was passed to the target: a request begins,
 * unless the data is a retransmission or the flow has ended.
 */
void table_record_caller_data(struct flow_table *t, struct flow_entry *f,
    const struct flow_packet *p, uint64_t now);
/** Whether data of a caller begins a request: the flow has none, and the data
 * is not a retransmission. */
bool table_begins_request(
    const struct flow_entry *f, const struct flow_packet *p);
/** Record that a held request was delivered though the target had no room. */
void table_record_overdue(
    struct flow_table *t, struct flow_entry *f, unsigned priority);
/** Number of requests that were delivered to the target and not answered. */
uint32_t table_at_target(const struct flow_table *t);
/** Record that the target answered the request, or that the flow ended. */
void table_end_request(struct flow_table *t, struct flow_entry *f);
/** Remove and free a flow. */
void table_remove(struct flow_table *t, struct flow_entry *f);
/** Remove and free all flows. */
void table_clear(struct flow_table *t);
/**
 * Remove the flows whose timeout has passed; it depends on their state.
 * @param idle_ms timeout of flows in ENTRY_OPEN
 */
void table_expire(struct flow_table *t, uint64_t idle_ms, uint64_t now);
/** Record the sequence number of the packet that opens a flow. */
void table_record_opening(struct flow_entry *f, uint32_t seq);
/** Record a sequence number that the target sent. */
void table_record_seq(struct flow_entry *f, uint32_t seq);
/** The caller's last acknowledgement number; until the caller has sent a packet
 * here, the target's last sequence number, which is close to it. */
uint32_t table_caller_ack(const struct flow_entry *f);
/**
 * Whether a caller's acknowledgement number matches the target's sequence
 * numbers. A caller may reuse a port, and two targets may have accepted
 * openings of the same flow key.
 */
bool table_ack_matches(const struct flow_entry *f, uint32_t ack);
/** Whether an adopted flow's number tells nothing about a packet with another
 * one: the caller may have gone on since the snapshot. */
bool table_is_outdated(const struct flow_entry *f, uint32_t ack);

#endif
