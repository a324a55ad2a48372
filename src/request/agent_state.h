/**
 * @file agent_state.h
 * State shared by the parts of an agent: agent.c routes and keeps time,
 * exchange.c runs requests, feed.c keeps feeds. Not for other modules.
 */
#ifndef PW_AGENT_STATE_H
#define PW_AGENT_STATE_H

#include "base/clock.h"
#include "decide/load.h"
#include "request/agent.h"
#include "request/budget.h"
#include "request/directory.h"
#include "request/permit.h"

/** Balancers that watch one agent. */
#define AGT_WATCHERS 3

struct exchange;
struct exchange_table;
struct feed_table;
struct subscription;
struct subscription_table;

/** Where an answer goes back to. */
struct origin {
	struct flow_key flow;
	uint64_t via; /**< balancer, addr_pack() */
	uint16_t mid;
	struct token token;
	bool confirmable;
};

/** A request that came to this agent, with the datagram that held it. */
struct arrival {
	const struct msg_datagram *dgram;
	const struct request *request;
	uint64_t from; /**< sending instance */
};

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

	struct {
		uint64_t version;
		bool known;
		struct cfg_service service;
	} cfg;

	struct {
		uint64_t ids[AGT_WATCHERS];
		uint64_t pong_ns[AGT_WATCHERS];
		size_t count;
		uint64_t ping_ns;
		unsigned pings;
		uint64_t stamp;
		uint32_t told_seq; /**< of the record told last */
	} watch;

	struct {
		uint64_t heard_ns;
		uint64_t probe_ns;
		bool up;
		uint16_t next_mid;
	} target;

	struct {
		uint64_t sent_ns;
		struct msg_load last;
		uint32_t begun;
		uint64_t window_ns;
		uint32_t rate;
	} load;

	uint64_t start_ns;
	uint64_t view_ns; /**< last change of the service's members */
	uint64_t view_digest;
	uint32_t claim_seq; /**< last word on flows owned */
	uint64_t slow_ns;   /**< last pass over all feeds and flows */
	uint64_t seen_ns;   /**< last event */
	uint64_t first_pong_ns;
	uint64_t active_ns; /**< when it last became active */
	uint64_t leave_ns;  /**< 0 when not leaving */
	uint64_t left_ns;
	uint64_t last_work_ns;
	bool revalidating; /**< woke from a pause, no word of others yet */
	bool finished;
};

/** This agent's id. */
uint64_t agt_id(const struct agent *a);
/** Send a message to a known instance; false if it can't be reached. */
bool agt_send(struct agent *a, uint64_t id, struct msg *m);
/** Send a message to an endpoint. */
void agt_send_addr(struct agent *a, struct addr to, struct msg *m);
/** Send a datagram to a caller by a balancer, or by any when via is 0. */
void agt_send_caller(struct agent *a, const struct flow_key *flow, uint64_t via,
    struct str bytes, unsigned attempt);
/** Encode a reply and send it. */
void agt_reply(struct agent *a, const struct origin *o, struct reply *r);
/** Refuse: "not run", with a reason and its counter. */
void agt_not_run(struct agent *a, const struct origin *o, const char *reason,
    enum counter ctr);
/** Say that the outcome is unknown, with a reason and its counter. */
void agt_unknown(struct agent *a, const struct origin *o, const char *reason,
    enum counter ctr);
/** Pass a datagram to a peer; false if there is none to pass it to. */
bool agt_forward(struct agent *a, uint64_t id, const struct msg_datagram *d,
    uint32_t flags, uint32_t deadline_ms);
/** Where the answer to an arrival goes. */
struct origin agt_origin(const struct arrival *in);
/** Owner of a flow that this agent is home to; 0 if unknown or gone. */
uint64_t agt_owner(const struct agent *a, const struct flow_key *key);
/** Note a member as the owner of a flow that this agent is home to. */
void agt_set_owner(struct agent *a, const struct flow_key *key, uint64_t owner);
/** The next message id towards the target. */
uint16_t agt_target_mid(struct agent *a);
/** Whether a leaving agent may still start work. */
bool agt_may_start(const struct agent *a, uint64_t now);

/** A watcher that has not answered for this long is passed over. */
#define WATCHER_SILENT_NS (1500 * NS_PER_MS)

/** Heartbeats, in watch.c: note how time passed since the last event. */
void watch_notice_time(struct agent *a, uint64_t now);
/** Send a heartbeat to every watcher now. */
void watch_ping_all(struct agent *a, uint64_t now);
/** Choose watchers and send heartbeats that are due. */
void watch_tick(struct agent *a, uint64_t now);
/** A balancer's records, and the answer to a heartbeat. */
void watch_records(struct agent *a, const struct msg *m, uint64_t now);

/** A caller's datagram, in route.c: serve it here or pass it on. */
void route_datagram(struct agent *a, const struct msg *m, uint64_t now);

/** Registrations with the homes of the flows owned, in registry.c. */
void registry_tick(struct agent *a, uint64_t now);
/** Claim one new flow at once. */
void registry_claim(struct agent *a, struct flow *f, uint64_t now);
/** A registration of a peer, or a home's word on one. */
void registry_message(struct agent *a, const struct msg *m, uint64_t now);
/** Stop owning a flow and withdraw its claims. */
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
    struct agent *a, const struct arrival *in, uint64_t now);
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
uint32_t feed_open(struct agent *a, const struct origin *o, struct str request,
    struct subscription *subscription, uint64_t now);
/**
 * Replays the last answer to a repeated registration.
 * @return false when no open feed has an answer
 */
bool feed_replay_answer(struct agent *a, const struct origin *o);
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
