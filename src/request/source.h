/**
 * @file source.h
 * Registrations at the target. Feeds that ask for the same thing share one:
 * a target may keep one registration for each peer and request, and this
 * agent is the only peer it sees.
 */
#ifndef PW_SOURCE_H
#define PW_SOURCE_H

#include "request/agent_state.h"

struct feed;

/** One registration at the target. */
struct source {
	uint8_t digest[DIGEST_LEN]; /**< of what is asked for */
	uint64_t number;	    /**< exchange number, its token */
	uint8_t *request;	    /**< a caller's registration, owned */
	size_t request_len;
	uint8_t *latest; /**< target's last datagram, owned */
	size_t latest_len;
	uint64_t content_hash; /**< hash of what latest says */
	uint32_t observe;      /**< the target's number of latest */
	uint64_t heard_ns;     /**< when latest came */
	bool open;	       /**< the target has answered */
	bool refreshing; /**< an answer to a repeated registration is due */
	uint64_t due_ns; /**< next registration */
	struct feed *feeds;
	void *index; /**< owned by source.c */
};

/** An empty table. */
struct source_table *source_table_new(void);
/** Free a table. */
void source_table_free(struct source_table *t);
/** The open source for a digest; NULL if there is none. */
struct source *source_find(const struct agent *a, const uint8_t *digest);
/** A source that the target has just answered for the first time. */
struct source *source_opened(struct agent *a, const uint8_t *digest,
    struct str request, uint64_t number, const struct answer *ans,
    struct str dgram, uint64_t now);
/** The source for a digest; asks the target for its present state. */
struct source *source_want(
    struct agent *a, const uint8_t *digest, struct str request, uint64_t now);
/** The target's last datagram; empty before the first. */
struct str source_latest(const struct source *s);
/** End a source that has no feed left. */
void source_end(struct agent *a, struct source *s);
/** A target's datagram; false when it belongs to no source. */
bool source_answer(
    struct agent *a, const struct answer *ans, struct str dgram, uint64_t now);
/** The target came back: register again. */
void source_target_up(struct agent *a);
/** Registrations that are due. */
void source_tick(struct agent *a, uint64_t now);

#endif
