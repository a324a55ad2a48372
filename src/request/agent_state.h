/**
 * @file agent_state.h
 * State and functions shared by the files that implement an agent; not for
 * other modules. agent.c handles joining, leaving and load reports,
 * heartbeat.c heartbeats and membership, route.c routing of datagrams,
 * registry.c flow ownership, exchange.c requests and feed.c feeds.
 */
#ifndef PW_AGENT_STATE_H
#define PW_AGENT_STATE_H

#include "base/clock.h"
#include "decide/load.h"
#include "request/agent.h"
#include "request/budget.h"
#include "request/directory.h"
#include "request/permit.h"

/** Most watchers of an agent: balancers that monitor its heartbeats. */
#define AGT_WATCHERS_MAX 3

struct exchange;
struct exchange_table;
struct feed_table;
struct subscription;
struct subscription_table;

/** The path by which a reply goes back to a caller. */
struct reply_path {
	struct flow_key flow;
	uint64_t via; /**< addr_pack() of the balancer */
	uint16_t mid;
	struct token token;
	bool confirmable;
};

/** A received request, with the datagram that it was read from. */
struct incoming {
	const struct msg_datagram *dgram;
	const struct request *request;
	uint64_t from; /**< id of the sending instance */
};

/** An agent. Fields in _ns are times of the clock that is passed in as now. */
struct agent {
	struct agt_params params;
	const struct proto *proto;
	struct agt_ops ops;
	struct rng *rng;
	struct counters *ctr;
	struct mbr_table *members;
	struct directory *dir;
	struct load_view *loads;
	struct permit_table *permits;
	struct exchange_table *exchanges;
	struct feed_table *feeds;
	struct subscription_table *sources;
	struct budget budget;

	/** The configuration in force. */
	struct {
		uint64_t version;
		bool known; /**< false until the first version is received */
		struct cfg_service service;
	} cfg;

	/** Watchers, and the heartbeats sent to them. */
	struct {
		uint64_t ids[AGT_WATCHERS_MAX];
		/** Last answer; at first the time when it was chosen. */
		uint64_t pong_ns[AGT_WATCHERS_MAX];
		size_t count;
		uint64_t ping_ns; /**< last heartbeat */
		unsigned pings;	  /**< rounds of heartbeats sent */
		/** Raised by a pause, so that older answers do not count. */
		uint64_t stamp;
		/** seq of this agent's record as sent last, 0 to resend it. */
		uint32_t sent_seq;
	} watch;

	struct {
		uint64_t last_datagram_ns;
		uint64_t probe_ns; /**< last probe sent */
		bool up;
		uint16_t next_mid;
	} target;

	/** Load reports. */
	struct {
		uint64_t sent_ns;
		struct msg_load last;
		uint32_t started;   /**< requests started in this window */
		uint64_t window_ns; /**< start of this window */
		uint32_t rate;	    /**< as in struct msg_load */
	} load;

	uint64_t start_ns;
	/** Last change of the service's members. */
	uint64_t members_changed_ns;
	uint64_t members_digest;
	uint32_t claim_seq;	/**< last seq of a registration */
	uint64_t slow_tick_ns;	/**< last pass over all feeds and flows */
	uint64_t last_event_ns; /**< last call of any entry point */
	uint64_t first_pong_ns; /**< first answer to a heartbeat, or 0 */
	uint64_t active_ns;	/**< when it last became active */
	uint64_t leave_ns;	/**< start of the graceful stop, 0 for none */
	uint64_t left_ns;	/**< when it announced MBR_LEFT, 0 for never */
	uint64_t last_start_ns; /**< last request given to the target */
	/** Set after a pause until a balancer answers a new heartbeat. */
	bool revalidating;
	bool stopped;
};

/** This agent's id. */
uint64_t agt_id(const struct agent *a);
/** Send a message to an instance; false if it is unknown or unreachable. */
bool agt_send(struct agent *a, uint64_t id, struct msg *m);
/** Send a message to an endpoint. */
void agt_send_addr(struct agent *a, struct addr to, struct msg *m);
/**
 * Send a datagram to a caller through a balancer.
 * @param via addr_pack() of the balancer, 0 for one of the watchers
 * @param attempt number of earlier attempts, which rotates the watchers
 */
void agt_send_caller(struct agent *a, const struct flow_key *flow, uint64_t via,
    struct str bytes, unsigned attempt);
/** Encode a reply and send it. */
void agt_reply(struct agent *a, const struct reply_path *path, struct reply *r);
/** Reply that the request did not run and will not; counts in ctr. */
void agt_reply_not_run(struct agent *a, const struct reply_path *path,
    const char *reason, enum counter ctr);
/** Reply that the request may have run; counts in ctr. */
void agt_reply_unknown(struct agent *a, const struct reply_path *path,
    const char *reason, enum counter ctr);
/**
 * Forward a caller's datagram to a peer.
 * @param flags enum datagram_flag
 * @param deadline_ms time left, 0 for the service's default
 * @return false if the peer is unknown or unreachable
 */
bool agt_forward(struct agent *a, uint64_t id, const struct msg_datagram *d,
    uint32_t flags, uint32_t deadline_ms);
/** Path of the reply to a received request. */
struct reply_path agt_reply_path(const struct incoming *in);
/** Owner of a flow according to this agent's records; 0 if unknown or gone. */
uint64_t agt_flow_owner(const struct agent *a, const struct flow_key *key);
/** Record a member as the owner of a flow; no-op if it is unknown. */
void agt_set_flow_owner(
    struct agent *a, const struct flow_key *key, uint64_t owner);
/** The next message id towards the target. */
uint16_t agt_next_target_mid(struct agent *a);
/** Whether a request may start: not after the leave_ms of a graceful stop. */
bool agt_can_start_request(const struct agent *a, uint64_t now);

/** A watcher that has not answered for this long is skipped. */
#define WATCHER_TIMEOUT_NS (1500 * NS_PER_MS)

/**
 * Detect a pause of this process from the time since the last event; called
 * first by every entry point. After a pause the agent's records may be out of
 * date, so it sends heartbeats and drops callers' datagrams until a heartbeat
 * is answered.
 */
void heartbeat_detect_pause(struct agent *a, uint64_t now);
/** Send a heartbeat to every watcher now. */
void heartbeat_send_all(struct agent *a, uint64_t now);
/** Choose watchers, suspect silent ones and send heartbeats that are due. */
void heartbeat_tick(struct agent *a, uint64_t now);
/** Handle MSG_RECORDS, or MSG_PONG, which answers a heartbeat. */
void heartbeat_handle_records(
    struct agent *a, const struct msg *m, uint64_t now);

/** Handle a caller's datagram: serve it here, forward, refuse or drop it. */
void route_datagram(struct agent *a, const struct msg *m, uint64_t now);

/** Send the claims that are due to the homes of the owned flows. */
void registry_tick(struct agent *a, uint64_t now);
/** Send a claim for a new flow to its homes at once. */
void registry_claim(struct agent *a, struct flow *f, uint64_t now);
/** Handle a registration of a peer, or a home's reply to one. */
void registry_handle_message(
    struct agent *a, const struct msg *m, uint64_t now);
/** Withdraw the claims of an owned flow and remove and free it. */
void registry_release(struct agent *a, struct flow *f);

/**
 * Creates the exchange table of exchange.c.
 * @param id_prefix upper 32 bits of every exchange id
 */
struct exchange_table *exc_table_new(uint32_t id_prefix);
/** Frees an exchange table. */
void exc_table_free(struct exchange_table *t);
/** Handles a caller's request: starts, queues, replays or refuses it. */
void exc_handle_request(
    struct agent *a, const struct incoming *in, uint64_t now);
/** Handles a target's answer; false when it belongs to no exchange. */
bool exc_handle_answer(
    struct agent *a, const struct answer *ans, struct str dgram, uint64_t now);
/** Handles a target's empty ACK: its answer is sent separately. */
void exc_handle_ack(struct agent *a, uint16_t mid);
/** Times out and resends exchanges, and starts queued ones. */
void exc_tick(struct agent *a, uint64_t now);
/** Returns a new exchange id. */
uint64_t exc_next_id(struct exchange_table *t);
/** Returns the number of requests at the target. */
uint32_t exc_in_flight(const struct agent *a);
/** Returns the number of requests in the queue. */
uint32_t exc_queued(const struct agent *a);

/** Creates the feed table of feed.c. */
struct feed_table *feed_table_new(void);
/** Frees a feed table. */
void feed_table_free(struct feed_table *t);
/**
 * Opens a feed after the target's first answer.
 * @return Observe sequence number of that answer for the caller
 */
uint32_t feed_open(struct agent *a, const struct reply_path *o,
    struct str request, struct subscription *subscription, uint64_t now);
/**
 * Replays the last answer to a repeated registration.
 * @return false when no open feed has an answer
 */
bool feed_replay_answer(struct agent *a, const struct reply_path *o);
/** Ends a caller's feed; false when there is none. */
bool feed_cancel(
    struct agent *a, const struct flow_key *flow, const struct token *token);
/**
 * Handles a caller's ACK or RST.
 * @return false when it matches no notification of this agent
 */
bool feed_handle_ack_or_reset(struct agent *a, const struct flow_key *flow,
    const struct request *r, uint64_t now);
/**
 * Handles a target's answer to a subscription.
 * @param changed true if the state is new, so that all feeds must send it;
 * otherwise only feeds with an update pending send it
 */
void feed_handle_target_state(struct agent *a,
    struct subscription *subscription, bool changed, uint64_t now);
/** Handles a peer's message that moves, copies or drops a feed. */
void feed_handle_handover(
    struct agent *a, uint64_t from, const struct msg_handover *h, uint64_t now);
/** Handles a peer's reply to a handover. */
void feed_handle_handover_ack(struct agent *a, uint64_t from,
    const struct msg_handover_ack *h, uint64_t now);
/** Sends due notifications, resends and handovers. */
void feed_tick(struct agent *a, uint64_t now);
/** Starts to move the feeds of a flow to a peer. */
void feed_move_flow(
    struct agent *a, const struct flow_key *flow, uint64_t peer);
/**
 * Deletes the feeds of which a peer has a copy, since that peer took them over
 * while this agent counted as dead.
 */
void feed_drop_taken_over(struct agent *a);
/** Returns the number of this agent's feeds; sets *copies unless NULL. */
size_t feed_count(const struct feed_table *t, size_t *copies);

#endif
