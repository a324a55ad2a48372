/**
 * @file mentions.h
 * Agents that other balancers hear and this one does not, or not yet. While
 * one of them may still come, a flow that nobody else holds may be there.
 */
#ifndef PW_MENTIONS_H
#define PW_MENTIONS_H

#include "base/str.h"

#include <uthash.h>

/** An agent that was spoken of. */
struct mention {
	uint64_t id;
	uint32_t domain;   /**< tag of its failure domain, 0 if not known */
	uint64_t until_ns; /**< it is waited for, or known to be gone */
	bool gone;	   /**< it said so itself: older words do not count */
	UT_hash_handle hh;
};

/** All of them. */
struct mentions {
	struct mention *table;
};

/** Free what the table holds. */
void mentions_clear(struct mentions *m);
/** Another balancer heard an agent at a time. @return whether it is new */
bool mentions_note(struct mentions *m, uint64_t id, uint32_t domain,
    uint64_t heard_ns, uint64_t now);
/** This balancer hears it itself. */
void mentions_heard(struct mentions *m, uint64_t id);
/** It said that it ends. */
void mentions_gone(struct mentions *m, uint64_t id, uint64_t now);
/**
 * Whether one is still waited for; forgets what is over.
 * @param domain tag of the failure domain that counts; 0 for all
 */
bool mentions_open(struct mentions *m, uint32_t domain, uint64_t now);

#endif
