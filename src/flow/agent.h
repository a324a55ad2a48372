/**
 * @file agent.h
 * The agent of a target of opaque flows. All packets of the target's flows
 * pass through it. It refuses openings for another service or when its target
 * leaves, keeps a table of the flows that the target holds, and reports the
 * target's state and load to the balancers. It does no input or output by
 * itself, but through struct fa_callbacks.
 *
 * Times are in ns of a monotonic clock.
 */
#ifndef PW_FLOW_AGENT_H
#define PW_FLOW_AGENT_H

#include "base/counters.h"
#include "base/latency.h"
#include "flow/cold_limit.h"
#include "flow/evacuation.h"
#include "flow/failure_rate.h"
#include "flow/flow_times.h"
#include "flow/peers.h"
#include "flow/snapshot.h"
#include "flow/table.h"
#include "flow/target.h"
#include "flow/work_time.h"

/** Output functions of an agent. */
struct fa_callbacks {
	/** Forward a packet to the target. */
	void (*deliver)(void *ctx, const struct flow_packet *p);
	/** Forward a packet of the target to its caller. */
	void (*answer)(void *ctx, const struct flow_packet *p);
	/**
	 * Reset a flow towards its caller.
	 * @param ack the caller's last acknowledgement number
	 */
	void (*reset)(void *ctx, const struct flow_key *flow, uint32_t ack);
	/**
	 * Check whether the target accepts a connection; the result goes to
	 * fa_handle_check_result().
	 */
	void (*check_target)(void *ctx);
	/** Send a message to a balancer. */
	void (*send)(void *ctx, uint64_t to, const struct flow_msg *m);
	/** Write a snapshot to the store; the result goes to
	 * fa_handle_snapshot_written(). */
	void (*write_snapshot)(void *ctx, const struct snapshot *s);
};

/** Most probes with an outstanding result. */
#define FA_PROBES_MAX 64

/**
 * A probe: a packet of a flow that is not in the table, forwarded to find out
 * whether the target holds the flow.
 */
struct fa_probe {
	struct flow_key flow;
	uint64_t sent_ns;
};

/** Parameters of an agent. */
struct fa_setup {
	uint64_t id; /**< addr_pack() of its control address */
	uint64_t incarnation;
	uint16_t data_port; /**< port on which it receives packets */
	const char *domain;
	const char *service;
	struct addr target;
	uint64_t word_period_ms; /**< period of the target's heartbeats, from
				    the setting of this name */
	uint64_t flow_life_ms;	 /**< flows idle for longer are removed */
	size_t flow_capacity;	 /**< most flows in its table */
	const uint64_t *seeds;	 /**< ids of the balancers to contact first */
	size_t seed_count;
	uint32_t evacuation_ms;	 /**< bound of the users within which an
				    evacuation takes effect; 0: evacuations are
				    ignored */
	struct cold_bounds cold; /**< of the openings of a cold target */
};

/** Recovery of the flows' callers after a loss of power, see snapshot.h. */
struct fa_recovery {
	struct snapshot stored;	 /**< of an earlier process, until its flows
				    have been dealt with */
	enum snapshot_fate fate; /**< of the flows in it */
	size_t reset_count;	 /**< flows in it that were dealt with */
	struct snapshot_schedule schedule;
};

/** A time in which requests are held, for the log. */
struct fa_holding {
	bool active;
	uint64_t began_ns;
	uint64_t last_ns;	  /**< latest request that was held */
	uint64_t held;		  /**< requests held since began_ns */
	uint64_t by_time;	  /**< of these, released by time or a bound */
	uint64_t longest_ns;	  /**< longest time held */
	uint64_t dropped_packets; /**< already counted, since the start */
};

/** An agent. */
struct fa {
	struct fa_setup setup;
	const struct fa_callbacks *callbacks;
	void *ctx;
	struct counters *ctr;
	struct latency wait; /**< from a request to its response, including
				the time held */
	struct latency held; /**< time for which requests were held */
	struct fa_holding holding;
	struct latency opening; /**< from an opening to its acceptance */
	struct flow_table flows;
	struct target target;
	struct failure_rate failing; /**< of the target's recent responses */
	struct work_time work;	     /**< of the target */
	bool failing_reported; /**< the target's failure rate was last reported
				  as FAILING_THRESHOLD_MILLI or more */
	struct peers peers;    /**< the balancers */
	struct fa_probe probes[FA_PROBES_MAX];
	size_t probe_count;
	struct flow_times returned; /**< flows of which the target returned a
				       probe: it does not hold them */
	struct flow_times probed;   /**< since when packets of flows reach
				       targets that do not hold them */
	/** Whether the table has all flows that the target may hold. */
	bool flows_complete;
	uint64_t incomplete_since_ns; /**< when !flows_complete */
	uint64_t sequence;	      /**< of the last message sent */
	uint64_t busy_milli; /**< smoothed number of requests at the target or
				held, times 1000 */
	uint64_t by_priority_milli[FLOW_PRIORITIES]; /**< those of known
				priority, smoothed likewise */
	uint64_t load_updated_ns; /**< latest update of busy_milli */
	uint64_t last_tick_ns;
	uint64_t unanswered_ns;	 /**< time of the first request since the
				    target's last packet */
	uint64_t last_check_ns;	 /**< latest check_target() */
	bool check_pending;	 /**< its result is outstanding */
	bool balancer_seen;	 /**< a balancer has sent a message */
	bool balancers_complete; /**< a balancer has confirmed that its list of
				    balancers equals this agent's */
	uint64_t heartbeat_sent_ns;
	uint64_t remote_heartbeat_sent_ns; /**< to other failure domains */
	uint64_t list_query_ns;	 /**< latest request for a list of balancers */
	uint64_t list_queries;	 /**< requests so far */
	unsigned list_failures;	 /**< the latest ones without an answer */
	uint64_t last_expiry_ns; /**< latest removal of idle flows */
	enum target_state reported_state; /**< state in the latest heartbeat */
	unsigned immediate_rounds; /**< heartbeats to all balancers that are due
				      at the next ticks */
	uint64_t leaving_ns;	   /**< when fa_leave() was called, or 0 */
	struct fa_recovery recovery;
	uint64_t routes_version; /**< of the routes that it keeps; 0 for none */
	struct evacuation evacuation;
	struct cold_limit cold;
	uint64_t routes_source; /**< balancer that has newer routes, or 0 */
};

/**
 * Initialize an agent; callbacks, ctr and the strings and seeds of setup are
 * borrowed.
 */
void fa_init(struct fa *fa, const struct fa_setup *setup,
    const struct fa_callbacks *callbacks, void *ctx, struct counters *ctr,
    uint64_t now);
/** Free the tables. */
void fa_clear(struct fa *fa);
/**
 * Handle a caller's packet.
 * @param via id of the balancer that forwarded it
 */
void fa_handle_caller_packet(
    struct fa *fa, uint64_t via, const struct flow_packet *p, uint64_t now);
/** Handle a packet that the target sent, or returned unprocessed. */
void fa_handle_target_packet(
    struct fa *fa, const struct flow_packet *p, uint64_t now);
/** Handle a heartbeat of the target. */
enum heartbeat_result fa_handle_target_heartbeat(
    struct fa *fa, const struct target_heartbeat *hb, uint64_t now);
/** Result of a connection attempt to the target. */
enum fa_check_result {
	FA_CHECK_ACCEPTED, /**< the target accepted a connection */
	FA_CHECK_REFUSED,  /**< connection refused: no target runs there */
	FA_CHECK_NO_REPLY, /**< no reply in time, or another error */
};

/** Handle the result of check_target(). */
void fa_handle_check_result(
    struct fa *fa, enum fa_check_result result, uint64_t now);
/** Handle a message of a balancer. */
void fa_handle_message(struct fa *fa, const struct flow_msg *m, uint64_t now);
/**
 * Handle the result of reading the previous process's snapshot. Snapshots are
 * written only after this.
 * @param s its contents are taken over; empty when there was none
 */
void fa_handle_stored_snapshot(struct fa *fa, struct snapshot *s, uint64_t now);
/** Handle the result of write_snapshot(). */
void fa_handle_snapshot_written(struct fa *fa, bool ok);
/** The balancer from which to read newer routes, once for each offer; 0 for
 * none. */
uint64_t fa_take_routes_source(struct fa *fa);
/** Record that a copy of a version of the routes is kept for balancers. */
void fa_set_routes_version(struct fa *fa, uint64_t version);
/** Do the periodic work; to be called every FA_TICK_MS. */
void fa_tick(struct fa *fa, uint64_t now);
/** When fa_release_due() is to be called next; UINT64_MAX when no request is
 * held. It may change with each call of a function of the agent. */
uint64_t fa_next_release_ns(const struct fa *fa);
/** Deliver the requests that have been held for as long as they may be. */
void fa_release_due(struct fa *fa, uint64_t now);
/** Handle a pause: this process was not scheduled for gap_ms. */
void fa_handle_pause(struct fa *fa, uint64_t gap_ms, uint64_t now);
/** Period in ms of the requests for a list of balancers. */
uint64_t fa_list_query_period_ms(const struct fa *fa);
/** Send a heartbeat to a balancer named by the store, if it is not known. */
void fa_contact_balancer(struct fa *fa, uint64_t id, uint64_t now);
/** Begin to leave: refuse openings and report it to the balancers. */
void fa_leave(struct fa *fa, uint64_t now);
/** Whether the agent has left: no request waits, or the timeout has passed. */
bool fa_has_left(const struct fa *fa, uint64_t now);

/** Period of fa_tick() in ms. */
#define FA_TICK_MS 50

#endif
