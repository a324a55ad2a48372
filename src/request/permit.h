/**
 * @file permit.h
 * Permits for non-idempotent requests. A request runs only under a permit
 * of this incarnation, and the record of each permit lives exactly as long
 * as the memory that could honour it, so no crash can run it twice.
 */
#ifndef PW_PERMIT_H
#define PW_PERMIT_H

#include "base/counters.h"
#include "base/rng.h"
#include "request/request.h"

/** How long a permit can be used. */
#define PERMIT_LIFE_NS (UINT64_C(4000) * 1000000)
/** How long its record is kept after that. */
#define PERMIT_KEEP_NS (UINT64_C(60000) * 1000000)

/** What became of a permit. */
enum run_state {
	RUN_ISSUED,  /**< not used yet */
	RUN_OPEN,    /**< queued or at the target */
	RUN_DONE,    /**< answered; the answer is kept */
	RUN_UNKNOWN, /**< given to the target, no answer in time */
	RUN_VOID,    /**< will never run */
};

/** One permit's record. */
struct run {
	uint32_t nonce;
	enum run_state state;
	uint64_t expiry_ns;
	uint64_t request_hash; /**< of the first request's flow, id and token */
	const char *reason;    /**< of RUN_VOID */
	uint8_t *answer;       /**< target's datagram, of RUN_DONE; owned */
	size_t answer_len;
	uint64_t exchange; /**< number while RUN_OPEN */
	unsigned starts;   /**< times given to the target: at most 1 */
	void *index;	   /**< owned by permit.c */
};

struct permit_book;

/** What reading a permit showed. */
enum permit_verdict {
	PERMIT_MINE,   /**< *run is its record */
	PERMIT_OTHER,  /**< another issuer's */
	PERMIT_STALE,  /**< this address's, but an earlier incarnation's */
	PERMIT_FORGED, /**< does not verify */
	PERMIT_OLD,    /**< verifies, but its record is gone */
};

/** A book for one incarnation; its key is drawn from rng. */
struct permit_book *permit_book_new(
    uint64_t id, uint64_t incarnation, struct rng *rng, size_t capacity);
/** Free a book and with it the power of its permits. */
void permit_book_free(struct permit_book *b);
/**
 * Issue a permit for a request; a repeated request gets the same one.
 * @param out PERMIT_LEN bytes
 * @return false when the book is full
 */
bool permit_issue(struct permit_book *b, const struct flow_key *flow,
    const struct request *r, uint64_t now, uint8_t *out);
/** The record of the permit that a request was given; NULL if it has none. */
struct run *permit_of_request(struct permit_book *b,
    const struct flow_key *flow, const struct request *r);
/** Read a request's permit. */
enum permit_verdict permit_read(struct permit_book *b,
    const struct flow_key *flow, const struct request *r, struct run **run);
/** Issuer that a permit names. */
void permit_issuer(const uint8_t *permit, uint64_t *id, uint64_t *incarnation);
/** End a permit unused; aborts if it was given to the target. */
void permit_void(struct run *run, const char *reason);
/** End a permit whose target said that it did not run the request. */
void permit_shed(struct run *run, const char *reason);
/** Note that the request is now given to the target; aborts on a second. */
void permit_start(struct run *run);
/** Keep the answer for duplicates. */
void permit_done(struct run *run, struct str answer);
/** Drop records that are past their keeping. */
void permit_expire(struct permit_book *b, uint64_t now);
/** Unused permits that could still be used. */
size_t permit_outstanding(const struct permit_book *b, uint64_t now);
/** Records held. */
size_t permit_count(const struct permit_book *b);

#endif
