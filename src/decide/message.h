/**
 * @file message.h
 * What the system's own processes say to each other, as typed values. The
 * wire form is codec/wire.h.
 */
#ifndef PW_MESSAGE_H
#define PW_MESSAGE_H

#include "base/str.h"
#include "decide/member.h"

/** Largest caller or target datagram carried, bytes. */
#define MSG_DATAGRAM_MAX 1400
/** Longest CoAP token, bytes. */
#define MSG_TOKEN_MAX 8
/** Flows in one registration. */
#define MSG_REGISTER_MAX 64
/** Longest text of one service in a message, bytes. */
#define MSG_SLICE_MAX 1100

/** A flow: one caller endpoint at one service. */
struct flow_key {
	uint64_t caller;  /**< addr_pack() */
	uint64_t service; /**< cfg_service_id() */
};

/** A CoAP token. */
struct token {
	uint8_t bytes[MSG_TOKEN_MAX]; /**< unused bytes are 0 */
	uint8_t len;
};

/** Kinds of messages. */
enum msg_kind {
	MSG_DATAGRAM = 1,
	MSG_ANSWER,
	MSG_HINT,
	MSG_REGISTER,
	MSG_LOAD,
	MSG_HANDOVER,
	MSG_HANDOVER_ACK,
	MSG_PING,
	MSG_PONG,
	MSG_SYNC,
	MSG_RECORDS,
};

/** How a datagram came to where it is. */
enum datagram_flag {
	DGRAM_PLACED = 1,     /**< the home chose the receiver as owner */
	DGRAM_RETRIED = 2,    /**< a peer's target did not run it */
	DGRAM_PERMIT = 4,     /**< sent to the issuer of its permit */
	DGRAM_GIVEN_BACK = 8, /**< the sender gives the flow back */
	DGRAM_ASKED = 16,     /**< a new home asks the one before it */
	DGRAM_TOLD = 32,      /**< with ASKED: it did not know either */
};

/** A caller's datagram on its way to a target. */
struct msg_datagram {
	struct flow_key flow;
	uint64_t via;	      /**< addr_pack() of the balancer it came by */
	uint32_t hops;	      /**< agents passed so far */
	uint32_t flags;	      /**< enum datagram_flag */
	uint32_t deadline_ms; /**< time left, 0 for the service's own */
	struct str bytes;
};

/** A datagram for a caller. */
struct msg_answer {
	struct flow_key flow;
	struct str bytes;
};

/** Tells a balancer which agent owns a flow. */
struct msg_hint {
	struct flow_key flow;
	uint64_t owner;
};

/** What a registration says. */
enum register_kind {
	REGISTER_CLAIM = 1, /**< the sender owns these flows */
	REGISTER_ACCEPTED,  /**< the home has noted it */
	REGISTER_DENIED,    /**< the home knows another owner of each */
	REGISTER_WITHDRAWN, /**< the sender owns them no longer */
};

/** An owner tells a flow's home which flows it has, and the home's word. */
struct msg_register {
	enum register_kind kind;
	uint64_t service;
	uint32_t seq; /**< rises with each word of an owner; echoed */
	uint32_t count;
	uint64_t callers[MSG_REGISTER_MAX];
	uint64_t owners[MSG_REGISTER_MAX]; /**< of REGISTER_DENIED alone */
};

/** An agent's own count of its work. */
struct msg_load {
	uint32_t in_flight; /**< at the target */
	uint32_t queued;
	uint32_t flows;
	uint32_t rate;	   /**< requests begun a second, times 16 */
	uint32_t permille; /**< share of full capacity, 1000 when warm */
};

/** What a handover does with the feed. */
enum handover_mode {
	HANDOVER_MOVE = 1, /**< take it over now */
	HANDOVER_COPY = 2, /**< keep it in case the owner dies */
	HANDOVER_DROP = 3, /**< forget a copy */
};

/** A feed moves to a peer, or a copy of it is left there. */
struct msg_handover {
	enum handover_mode mode;
	struct flow_key flow;
	struct token token;
	uint32_t observe; /**< last sequence number told to the caller */
	struct str request;
};

/** The peer's word on a handover. */
struct msg_handover_ack {
	enum handover_mode mode;
	struct flow_key flow;
	struct token token;
	bool accepted;
};

/** An agent's heartbeat to a balancer. */
struct msg_ping {
	struct member self; /**< id 0: as told before */
	uint64_t digest;    /**< of its service's members */
	uint64_t version;   /**< configuration in force there */
	bool want_peers;    /**< asks for balancers */
	bool watch;	    /**< the receiver is to watch its heartbeats */
	uint64_t stamp; /**< echoed, so that an old answer is known as old */
};

/** A list of records, and with it what the receiver lacks. */
struct msg_records {
	uint32_t count;
	struct member records[MBR_BATCH];
	uint64_t version; /**< configuration in force at the sender */
	struct str slice; /**< the service's text when the receiver lacks it */
	bool gone;	  /**< the service is no longer listed */
	uint64_t stamp;	  /**< of the heartbeat that is answered, 0 for none */
};

/** How far a round of anti-entropy is. */
enum sync_step {
	SYNC_ASK = 1, /**< here is my root */
	SYNC_SAME,    /**< mine is the same */
	SYNC_DIFFERS, /**< it is not: here are my buckets */
	SYNC_BUCKETS, /**< and these are mine */
};

/** Anti-entropy between balancers, and their heartbeat. */
struct msg_sync {
	struct member self;
	enum sync_step step;
	uint64_t version;
	uint64_t root;		      /**< digest of the whole table */
	uint32_t digest[MBR_BUCKETS]; /**< from SYNC_DIFFERS on */
};

/** One message. */
struct msg {
	enum msg_kind kind;
	uint64_t from;	      /**< sender's id */
	uint64_t incarnation; /**< sender's incarnation */
	union {
		struct msg_datagram datagram;
		struct msg_answer answer;
		struct msg_hint hint;
		struct msg_register reg;
		struct msg_load load;
		struct msg_handover handover;
		struct msg_handover_ack handover_ack;
		struct msg_ping ping;
		struct msg_records records; /**< MSG_PONG and MSG_RECORDS */
		struct msg_sync sync;
	} u;
};

/** Hash of a flow. */
uint64_t flow_hash(const struct flow_key *key);
/** Whether two flows are the same. */
bool flow_eq(const struct flow_key *a, const struct flow_key *b);

#endif
