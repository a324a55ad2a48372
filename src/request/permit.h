/**
 * @file permit.h
 * Permits for non-idempotent requests. A request runs only under a permit of
 * this agent's current incarnation. The record of a permit is held in memory
 * and no other process accepts the permit, so a crash, which loses the
 * record, cannot make the request run twice.
 */
#ifndef PW_PERMIT_H
#define PW_PERMIT_H

#include "base/counters.h"
#include "base/rng.h"
#include "request/request.h"

/** How long a permit can be used, in ns. */
#define PERMIT_TTL_NS (UINT64_C(4000) * 1000000)
/** How long the record of a permit is kept after that, in ns. */
#define PERMIT_RECORD_RETENTION_NS (UINT64_C(60000) * 1000000)

/** State of a permit. */
enum permit_state {
	PERMIT_ISSUED,		/**< not used yet */
	PERMIT_IN_USE,		/**< its request is queued or at the target */
	PERMIT_ANSWERED,	/**< the target's answer is kept */
	PERMIT_OUTCOME_UNKNOWN, /**< sent to the target, no answer in time */
	PERMIT_REVOKED,		/**< its request will never run */
};

/** The issuer's record of one permit. */
struct permit_record {
	uint32_t nonce;
	enum permit_state state;
	uint64_t expiry_ns;
	uint64_t request_hash; /**< of the first request's flow, id and token */
	const char *reason;    /**< with PERMIT_REVOKED */
	uint8_t *answer; /**< target's datagram, with PERMIT_ANSWERED; owned */
	size_t answer_len;
	uint64_t exchange_id; /**< with PERMIT_IN_USE */
	unsigned send_count;  /**< times sent to the target: at most 1 */
	void *index;	      /**< unused */
};

struct permit_table;

/** Result of permit_verify(). */
enum permit_verdict {
	PERMIT_VALID,		/**< *record is set */
	PERMIT_OTHER_ISSUER,	/**< issued by another agent */
	PERMIT_OLD_INCARNATION, /**< issued by an earlier incarnation */
	PERMIT_FORGED,		/**< the MAC does not verify */
	PERMIT_NO_RECORD,	/**< the MAC verifies, but the record is gone */
};

/**
 * Creates the table of permits of one incarnation of an agent.
 * @param id id of the agent
 * @param rng gives the MAC key
 * @param capacity most records held
 */
struct permit_table *permit_table_new(
    uint64_t id, uint64_t incarnation, struct rng *rng, size_t capacity);
/** Frees a table; its permits can no longer be used. */
void permit_table_free(struct permit_table *t);
/**
 * Issues a permit for a request; a repeated request gets the same one.
 * @param out PERMIT_LEN bytes
 * @return false when the table is full
 */
bool permit_issue(struct permit_table *t, const struct flow_key *flow,
    const struct request *r, uint64_t now, uint8_t *out);
/** Returns the record of the permit issued to a request; NULL if none. */
struct permit_record *permit_find(struct permit_table *t,
    const struct flow_key *flow, const struct request *r);
/** Verifies the permit that a request carries and finds its record. */
enum permit_verdict permit_verify(struct permit_table *t,
    const struct flow_key *flow, const struct request *r,
    struct permit_record **record);
/** Reads the issuer's id and incarnation from a permit, without verifying. */
void permit_get_issuer(
    const uint8_t *permit, uint64_t *id, uint64_t *incarnation);
/** Revokes a permit; aborts if its request was sent to the target. */
void permit_revoke(struct permit_record *record, const char *reason);
/** Revokes a permit whose request the target refused without running it. */
void permit_mark_shed(struct permit_record *record, const char *reason);
/** Records that the request is sent to the target; aborts on a second call. */
void permit_mark_sent(struct permit_record *record);
/** Keeps a copy of the target's answer, to replay it to duplicates. */
void permit_set_answer(struct permit_record *record, struct str answer);
/** Drops records whose retention has passed. */
void permit_drop_expired(struct permit_table *t, uint64_t now);
/** Returns the number of issued permits that can still be used. */
size_t permit_count_unused(const struct permit_table *t, uint64_t now);
/** Returns the number of records held. */
size_t permit_count(const struct permit_table *t);

#endif
