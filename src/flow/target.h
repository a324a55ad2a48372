/**
 * @file target.h
 * An agent's view of its target, from the target's heartbeats and from the
 * packets that it sends. Heartbeats that are late, duplicated or from an
 * earlier incarnation are detected and ignored.
 */
#ifndef PW_FLOW_TARGET_H
#define PW_FLOW_TARGET_H

#include "flow/message.h"

/** A target's heartbeat. */
struct target_heartbeat {
	uint64_t id; /**< hash of the target's name */
	/** Start of this incarnation in Unix ms; 0 when not stated. */
	uint64_t started_ms;
	uint64_t sequence; /**< grows with each heartbeat of an incarnation */
	uint32_t service;  /**< flow_service_tag() */
	struct addr address;
	uint32_t slots;		 /**< requests that it serves at once */
	uint32_t cold_ms;	 /**< time for which it will still be slow */
	enum target_state state; /**< READY, LEAVING, or ABSENT at its end */
};

/** Outcome of a heartbeat. */
enum heartbeat_result {
	HEARTBEAT_ACCEPTED,
	HEARTBEAT_STALE,    /**< of an earlier time or incarnation: ignored */
	HEARTBEAT_MISMATCH, /**< of another service or address: ignored */
	/** Accepted; the flows of the previous incarnation are lost. */
	HEARTBEAT_NEW_INCARNATION
};

/** A target. */
struct target {
	uint32_t service;    /**< from the settings */
	struct addr address; /**< from the settings */
	uint64_t period_ms;  /**< time between two of its heartbeats */
	struct target_heartbeat last_heartbeat; /**< id 0 for none */
	uint64_t heartbeat_ns;			/**< when it was received */
	uint64_t cold_until_ns;
	uint64_t last_packet_ns;   /**< latest packet from the target */
	uint64_t agent_started_ns; /**< when the agent started */
	uint64_t ended_ns;	   /**< when it announced its end, or 0 */
	bool refused;		   /**< its address refused a connection */
	bool listens;	/**< its address accepted a connection, and has refused
			   none since */
	bool suspected; /**< it did not answer an opening in time */
};

/** Handle a heartbeat. */
enum heartbeat_result target_handle_heartbeat(
    struct target *t, const struct target_heartbeat *hb, uint64_t now);
/** Record that the target's address refused a connection: none runs there. */
void target_set_refused(struct target *t);
/** Record that the target's address accepted a connection: a target runs there,
 * although it may send no heartbeat. */
void target_set_listens(struct target *t);
/** Record a packet from the target, which shows that it runs. */
void target_record_packet(struct target *t, uint64_t now);
/**
 * Suspect the target because it left an opening packet unanswered, unless it
 * has sent a packet since.
 * @param sent_ns when the opening packet was sent to it
 */
void target_suspect(struct target *t, uint64_t sent_ns);
/**
 * Whether the agent has run for as long as the target's current incarnation.
 * Otherwise a previous process of the agent may have passed it flows that are
 * missing in the table.
 */
bool target_is_fully_observed(const struct target *t, uint64_t now);
/** State to report to the balancers. */
enum target_state target_state_at(const struct target *t, uint64_t now);
/** Whether the target is cold, or may have restarted cold because a heartbeat
 * is missing. */
bool target_may_be_cold(const struct target *t, uint64_t now);
/** Whether the target has certainly ended, so that its flows are lost. */
bool target_has_ended(const struct target *t, uint64_t now);

#endif
