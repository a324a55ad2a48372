/**
 * @file target.h
 * What an agent believes of its target, from the target's own words and from
 * the packets that come back from it. Words that come late, twice, or from an
 * earlier life are told apart and change nothing.
 */
#ifndef PW_FLOW_TARGET_H
#define PW_FLOW_TARGET_H

#include "flow/message.h"

/** What a target says of itself. */
struct target_word {
	uint64_t id; /**< hash of its name */
	/** Start of its life, Unix ms; 0 when the word does not tell. */
	uint64_t born_ms;
	uint64_t sequence; /**< grows with each word of one life */
	uint32_t service;  /**< flow_service_tag() */
	struct addr address;
	uint32_t slots;
	uint32_t cold_ms;
	enum target_state state; /**< READY, LEAVING, or ABSENT at its end */
};

/** What became of a word. */
enum word_result {
	WORD_TAKEN,
	WORD_OLD,     /**< an earlier word or life: changes nothing */
	WORD_FOREIGN, /**< of another service or address */
	WORD_NEW_LIFE /**< taken, and all flows of the life before are gone */
};

/** A target. */
struct target {
	uint32_t service;	 /**< from the settings */
	struct addr address;	 /**< from the settings */
	uint64_t period_ms;	 /**< of its words */
	struct target_word word; /**< latest; id 0 for none */
	uint64_t word_ns;	 /**< when it came */
	uint64_t cold_until_ns;
	uint64_t heard_ns; /**< latest packet from it */
	uint64_t began_ns; /**< when its agent began to listen */
	uint64_t gone_ns;  /**< when its end was told, or 0 */
	bool refused;	   /**< nothing listened at its address */
	bool suspected;	   /**< an opening got no answer in time */
};

/** Take in a word. */
enum word_result target_say(
    struct target *t, const struct target_word *w, uint64_t now);
/** Nothing listens at its address: it does not live. */
void target_refused(struct target *t);
/** A packet came from it: it lives. */
void target_heard(struct target *t, uint64_t now);
/** An opening given to it at a time was not answered. */
void target_suspect(struct target *t, uint64_t given_ns);
/**
 * Whether its agent has listened for as long as it has spoken: otherwise an
 * agent before this one may have given it flows.
 */
bool target_told_all(const struct target *t, uint64_t now);
/** What to tell the balancers. */
enum target_state target_state_at(const struct target *t, uint64_t now);
/** Whether there is none for certain, so that its flows are gone. */
bool target_ended(const struct target *t, uint64_t now);

#endif
