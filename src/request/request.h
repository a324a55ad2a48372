/**
 * @file request.h
 * What the decisions need to know of a caller's or a target's datagram. The
 * table of functions below is the only place where they meet the protocol.
 */
#ifndef PW_REQUEST_H
#define PW_REQUEST_H

#include "decide/message.h"

/** Bytes of a permit; the Echo option holds at most 40. */
#define PERMIT_LEN 40
/** Bytes of a request's digest. */
#define DIGEST_LEN 16

/** What a caller's datagram asks for. */
enum request_kind {
	REQUEST_IDEMPOTENT = 1, /**< may be run again */
	REQUEST_RUN,		/**< non-idempotent: at most once */
	REQUEST_ACK,		/**< acknowledges a notification */
	REQUEST_RESET,		/**< rejects a notification */
	REQUEST_PROBE,		/**< empty confirmable */
};

/** A caller's datagram. */
struct request {
	enum request_kind kind;
	bool confirmable;
	uint16_t mid;
	struct token token;
	uint8_t digest[DIGEST_LEN]; /**< path, options that matter, payload */
	uint8_t permit[PERMIT_LEN];
	bool has_permit;
	bool observe_start;
	bool observe_stop;
	bool block_later;     /**< asks for a block after the first */
	bool too_large;	      /**< a body in several datagrams */
	uint32_t deadline_ms; /**< 0 when the caller set none */
};

/** A target's datagram. */
enum answer_kind {
	ANSWER_RESPONSE = 1,
	ANSWER_ACK,
	ANSWER_RESET
};

/** A target's datagram. */
struct answer {
	enum answer_kind kind;
	bool confirmable;
	uint16_t mid;
	uint64_t number; /**< exchange number, from the token; 0 if foreign */
	bool has_observe;
	uint32_t observe; /**< sequence number, 24 bits */
	bool more;	  /**< further blocks follow */
	uint64_t etag;	  /**< hash of the ETag, 0 for none */
	uint64_t content; /**< hash of the code and the payload */
	bool shed;	  /**< the target did not run it */
	bool success;
};

/** What a caller is told. */
enum reply_kind {
	REPLY_ANSWER = 1, /**< the target's answer */
	REPLY_CHALLENGE,  /**< ask again with this permit */
	REPLY_NOT_RUN,	  /**< it did not run and never will */
	REPLY_UNKNOWN,	  /**< it may have run */
	REPLY_REFUSED,	  /**< the request itself is wrong */
	REPLY_RESET,	  /**< answer to a probe */
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
	uint16_t mid;
	struct token token;
	const uint8_t *permit; /**< PERMIT_LEN bytes, of a challenge */
	const char *reason;    /**< short text of a refusal */
	struct str source;     /**< the target's datagram, of an answer */
	bool observe;	       /**< set the sequence number below */
	uint32_t observe_seq;  /**< 24 bits */
};

/** What is done with a request's Observe option on its way to a target. */
enum observe_edit {
	OBSERVE_KEEP,
	OBSERVE_STOP,
	OBSERVE_DROP
};

/** A datagram for a target, before it is encoded. */
struct outgoing {
	struct str source; /**< the caller's datagram */
	uint64_t number;   /**< becomes the token */
	uint16_t mid;
	uint32_t deadline_ms;
	enum observe_edit observe;
	bool empty; /**< an empty message of the given type */
	bool reset; /**< with empty: RST in place of ACK */
	bool probe; /**< with empty: CON, which asks for a RST */
};

/** The protocol as the decisions see it. Each returns 0 or false on failure. */
struct proto {
	bool (*read_request)(struct str dgram, struct request *out);
	bool (*read_answer)(struct str dgram, struct answer *out);
	size_t (*write_reply)(const struct reply *r, uint8_t *buf, size_t cap);
	size_t (*write_request)(
	    const struct outgoing *o, uint8_t *buf, size_t cap);
};

#endif
