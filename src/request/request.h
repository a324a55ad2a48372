/**
 * @file request.h
 * Decoded datagrams of callers and targets. The functions in struct proto
 * alone encode and decode them, so that the rest of the agent does not depend
 * on the protocol.
 */
#ifndef PW_REQUEST_H
#define PW_REQUEST_H

#include "decide/message.h"

/** Length of a permit in bytes; the Echo option holds at most 40. */
#define PERMIT_LEN 40
/** Length of a request's digest in bytes. */
#define DIGEST_LEN 16

/** Kinds of datagrams from a caller. */
enum request_kind {
	REQUEST_IDEMPOTENT = 1, /**< may run more than once */
	REQUEST_NON_IDEMPOTENT, /**< runs at most once, under a permit */
	REQUEST_ACK,		/**< acknowledges a notification */
	REQUEST_RESET,		/**< rejects a notification */
	REQUEST_PROBE,		/**< empty confirmable message (CoAP ping) */
};

/** A caller's datagram. */
struct request {
	enum request_kind kind;
	bool confirmable;
	uint16_t mid; /**< message id */
	struct token token;
	uint8_t digest[DIGEST_LEN]; /**< ignores Echo and deadline options */
	uint8_t permit[PERMIT_LEN];
	bool has_permit;
	bool observe_register;	 /**< Observe option is 0 */
	bool observe_deregister; /**< Observe option is 1 */
	bool later_block;	 /**< requests a block after the first */
	bool too_large;		 /**< the body takes several datagrams */
	uint32_t deadline_ms;	 /**< 0 when the caller set none */
};

/** Kinds of datagrams from a target. */
enum answer_kind {
	ANSWER_RESPONSE = 1,
	ANSWER_ACK,
	ANSWER_RESET
};

/** A target's datagram. */
struct answer {
	enum answer_kind kind;
	bool confirmable;
	uint16_t mid;	      /**< message id */
	uint64_t exchange_id; /**< read from the token; 0 if it holds none */
	bool has_observe;
	uint32_t observe;      /**< sequence number, 24 bits */
	bool more_blocks;      /**< further blocks follow */
	uint64_t etag_hash;    /**< hash of the ETag, 0 for none */
	uint64_t content_hash; /**< hash of the code and the payload */
	bool shed;	       /**< the target did not run the request */
	bool success;
};

/** Kinds of replies to a caller. */
enum reply_kind {
	REPLY_ANSWER = 1,      /**< the target's answer */
	REPLY_CHALLENGE,       /**< repeat the request with this permit */
	REPLY_NOT_RUN,	       /**< the request did not run and never will */
	REPLY_OUTCOME_UNKNOWN, /**< the request may have run */
	REPLY_REFUSED,	       /**< the request itself is invalid */
	REPLY_RESET,	       /**< response to a probe */
};

/** Type of the message that carries a reply. */
enum reply_type {
	REPLY_BY_ACK = 1,
	REPLY_BY_CON,
	REPLY_BY_NON
};

/** A datagram for a caller, before it is encoded. */
struct reply {
	enum reply_kind kind;
	enum reply_type type;
	uint16_t mid; /**< message id */
	struct token token;
	const uint8_t *permit; /**< with REPLY_CHALLENGE, PERMIT_LEN bytes */
	const char *reason;    /**< with a refusal, a short text */
	struct str answer;     /**< with REPLY_ANSWER, the target's datagram */
	bool observe;	       /**< whether observe_seq is sent */
	uint32_t observe_seq;  /**< sequence number, 24 bits */
};

/** Change to a request's Observe option before it is sent to a target. */
enum observe_edit {
	OBSERVE_KEEP,
	OBSERVE_DEREGISTER, /**< set it to 1 */
	OBSERVE_REMOVE
};

/** A message for a target, before it is encoded. */
struct target_message {
	struct str request;   /**< the caller's datagram */
	uint64_t exchange_id; /**< sent as the token */
	uint16_t mid;	      /**< message id */
	uint32_t deadline_ms; /**< time left; 0 sends no deadline */
	enum observe_edit observe;
	bool empty; /**< an empty message: ACK unless reset or probe is set */
	bool reset; /**< with empty: RST instead of ACK */
	bool probe; /**< with empty: CON, which the target answers with RST */
};

/** Encoder and decoder of the protocol; each returns 0 or false on failure. */
struct proto {
	bool (*read_request)(struct str dgram, struct request *out);
	bool (*read_answer)(struct str dgram, struct answer *out);
	/** Returns the number of bytes written. */
	size_t (*write_reply)(const struct reply *r, uint8_t *buf, size_t cap);
	/** Returns the number of bytes written. */
	size_t (*write_target_message)(
	    const struct target_message *o, uint8_t *buf, size_t cap);
};

#endif
