/**
 * @file subscription.h
 * Registrations as an observer at the target (RFC 7641). Feeds that observe
 * the same resource share one: a target may keep only one registration for
 * each peer and request, and this agent is the only peer that it sees.
 */
#ifndef PW_SUBSCRIPTION_H
#define PW_SUBSCRIPTION_H

#include "request/agent_state.h"

struct feed;

/** One registration at the target. */
struct subscription {
	uint8_t digest[DIGEST_LEN]; /**< of the request */
	uint64_t exchange_id;	    /**< sent to the target as the token */
	uint8_t *request;	    /**< a caller's registration, owned */
	size_t request_len;
	uint8_t *latest; /**< target's last datagram, owned */
	size_t latest_len;
	uint64_t content_hash;	   /**< of the code and payload in latest */
	uint32_t observe;	   /**< sequence number in latest */
	uint64_t latest_ns;	   /**< when latest arrived */
	bool established;	   /**< the target has answered */
	bool refresh_pending;	   /**< a repeated registration is unanswered */
	uint64_t next_register_ns; /**< when the registration is repeated */
	struct feed *feeds;	   /**< feeds that share the registration */
	void *entry;		   /**< owned by subscription.c */
};

/** Returns an empty table. */
struct subscription_table *subscription_table_new(void);
/** Frees a table. */
void subscription_table_free(struct subscription_table *t);
/** Returns the subscription for a request's digest; NULL if there is none. */
struct subscription *subscription_find(
    const struct agent *a, const uint8_t *digest);
/**
 * Records a registration that the target has just accepted; creates the
 * subscription if there is none for the digest.
 * @param exchange_id of the exchange that carried the registration
 */
struct subscription *subscription_open(struct agent *a, const uint8_t *digest,
    struct str request, uint64_t exchange_id, const struct answer *ans,
    struct str dgram, uint64_t now);
/**
 * Sends a registration to the target, which answers with its current state;
 * creates the subscription if there is none for the digest.
 */
struct subscription *subscription_register(
    struct agent *a, const uint8_t *digest, struct str request, uint64_t now);
/** Returns the target's last datagram; empty before the first. */
struct str subscription_latest(const struct subscription *s);
/** Cancels the registration at the target and deletes the subscription. */
void subscription_end(struct agent *a, struct subscription *s);
/** Handles a target's datagram; false when it belongs to no subscription. */
bool subscription_handle_answer(
    struct agent *a, const struct answer *ans, struct str dgram, uint64_t now);
/** Makes every registration due, after the target became reachable again. */
void subscription_handle_target_up(struct agent *a);
/** Sends the registrations that are due. */
void subscription_tick(struct agent *a, uint64_t now);

#endif
