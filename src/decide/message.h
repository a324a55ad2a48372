/**
 * @file message.h
 * Messages between balancers and agents as C types. codec/wire.h encodes
 * and decodes them.
 */
#ifndef PW_MESSAGE_H
#define PW_MESSAGE_H

#include "base/str.h"
#include "decide/member.h"

/** Largest datagram of a caller or target in bytes. */
#define MSG_DATAGRAM_MAX 1400
/** Longest CoAP token in bytes. */
#define MSG_TOKEN_MAX 8
/** Most flows in one registration. */
#define MSG_REGISTER_MAX 64
/** Longest part of the configuration for one service (slice), in bytes. */
#define MSG_SLICE_MAX 1100

/** A flow: the datagrams between a caller's endpoint and a service. */
struct flow_key {
	uint64_t caller;  /**< addr_pack() */
	uint64_t service; /**< cfg_service_id() */
};

/** A CoAP token. */
struct token {
	uint8_t bytes[MSG_TOKEN_MAX]; /**< unused bytes are 0 */
	uint8_t len;		      /**< length in bytes */
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

/** Why a datagram was forwarded to its receiver. */
enum datagram_flag {
	DGRAM_PLACED = 1,   /**< the home chose the receiver as owner */
	DGRAM_RETRIED = 2,  /**< retry: the peer that sent it did not run it */
	DGRAM_PERMIT = 4,   /**< the receiver issued the request's permit */
	DGRAM_RETURNED = 8, /**< returned to the home for new placement */
	DGRAM_LOOKUP = 16,  /**< owner lookup at the previous home */
	DGRAM_LOOKUP_MISS = 32, /**< reply to LOOKUP: no owner there either */
};

/** A datagram from a caller, to be delivered to a target. */
struct msg_datagram {
	struct flow_key flow;
	uint64_t via;	/**< addr_pack() of the balancer that received it */
	uint32_t hops;	/**< number of agents that forwarded it */
	uint32_t flags; /**< set of enum datagram_flag */
	uint32_t deadline_ms; /**< time left in ms; 0: the service's deadline */
	struct str bytes;
};

/** A datagram to a caller, sent by an agent through a balancer. */
struct msg_answer {
	struct flow_key flow;
	struct str bytes;
};

/** Reports to a balancer which agent owns a flow. */
struct msg_hint {
	struct flow_key flow;
	uint64_t owner; /**< id of the agent */
};

/** Kinds of registration messages between an owner and a flow's home. */
enum register_kind {
	REGISTER_CLAIM = 1, /**< owner to home: the sender owns these flows */
	REGISTER_ACCEPTED,  /**< home to owner: the claim is recorded */
	REGISTER_DENIED,    /**< home to owner: each flow has another owner */
	REGISTER_WITHDRAWN, /**< owner to home: the sender has released them */
};

/** Registration of an owner's flows at their home, and the home's reply. */
struct msg_register {
	enum register_kind kind;
	uint64_t service;
	uint32_t seq; /**< incremented by the owner for each message; echoed */
	uint32_t count;
	uint64_t callers[MSG_REGISTER_MAX];
	uint64_t owners[MSG_REGISTER_MAX]; /**< set only in REGISTER_DENIED */
};

/** Load of an agent as it reports it. */
struct msg_load {
	uint32_t in_flight; /**< requests at the target */
	uint32_t queued;    /**< requests waiting at the agent */
	uint32_t flows;	    /**< flows that it owns */
	uint32_t rate; /**< requests started per second, smoothed, times 16 */
	uint32_t permille; /**< capacity in 1/1000; below 1000 after a start */
};

/** Kinds of handover. */
enum handover_mode {
	HANDOVER_MOVE = 1, /**< the receiver takes the feed over now */
	HANDOVER_COPY = 2, /**< the receiver stores a copy as a backup */
	HANDOVER_DROP = 3, /**< the receiver drops its copy */
};

/** Moves a feed to a peer agent, or manages a copy of it there. */
struct msg_handover {
	enum handover_mode mode;
	struct flow_key flow;
	struct token token;
	uint32_t observe;   /**< last sequence number sent to the caller */
	struct str request; /**< the caller's request that opened the feed */
};

/** Reply of the peer to a handover. */
struct msg_handover_ack {
	enum handover_mode mode;
	struct flow_key flow;
	struct token token;
	bool accepted;
};

/** Heartbeat of an agent to a balancer. */
struct msg_ping {
	struct member self; /**< id 0: unchanged since it was last sent */
	uint64_t digest;  /**< mbr_group_digest() of its service at the agent */
	uint64_t version; /**< configuration version in force at the agent */
	bool want_peers;  /**< requests records of balancers */
	bool watch; /**< the receiver shall monitor the agent's heartbeats */
	uint64_t stamp; /**< echoed in the answer, to recognise late answers */
};

/** Membership records, and the configuration that the receiver lacks. */
struct msg_records {
	uint32_t count; /**< number of records */
	struct member records[MBR_BATCH_MAX];
	uint64_t version; /**< configuration version in force at the sender */
	struct str slice; /**< the service's configuration, or empty */
	bool gone;	  /**< the configuration no longer has the service */
	uint64_t stamp;	  /**< of the answered heartbeat, 0 for none */
};

/** Steps of a round of anti-entropy. */
enum sync_step {
	SYNC_REQUEST = 1, /**< request, with the sender's root digest */
	SYNC_SAME,	  /**< reply: the root digests are equal */
	SYNC_DIFFERS,	  /**< reply: they differ; has bucket digests */
	SYNC_BUCKETS,	  /**< bucket digests of the requester */
};

/** Anti-entropy between balancers; it is their heartbeat too. */
struct msg_sync {
	struct member self;
	enum sync_step step;
	uint64_t version;	      /**< configuration version in force */
	uint64_t root;		      /**< mbr_table_digest() */
	uint32_t digest[MBR_BUCKETS]; /**< since SYNC_DIFFERS */
};

/** A message. */
struct msg {
	enum msg_kind kind;
	uint64_t from;	      /**< id of the sender */
	uint64_t incarnation; /**< incarnation of the sender */
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
