/**
 * @file member.h
 * Membership table with failure detection and gossip. A record holds what an
 * instance reports about itself and the health that others observed. Of two
 * records of an instance the higher one in the order (incarnation, seq,
 * health) wins, so the table does not depend on the order of delivery.
 */
#ifndef PW_MEMBER_H
#define PW_MEMBER_H

#include "base/counters.h"
#include "base/str.h"

/** Buffer size in bytes for a failure domain's name, with the NUL. */
#define MBR_DOMAIN_MAX 24
/** Number of digest buckets of a table. */
#define MBR_BUCKETS 64
/** Most records in one message. */
#define MBR_BATCH_MAX 16

/** Role of an instance. */
enum mbr_role {
	MBR_BALANCER = 1,
	MBR_AGENT = 2
};

/** Phase in the life of an instance; set only by the instance itself. */
enum mbr_phase {
	MBR_JOINING = 1, /**< learns its flows; not a home for flows yet */
	MBR_ACTIVE = 2,
	MBR_LEAVING = 3, /**< accepts no new flows */
	MBR_LEFT = 4,	 /**< has ended; the record is a tombstone */
};

/** Health as others observe it; the instance refutes it by a higher seq. */
enum mbr_health {
	MBR_OK = 0,
	MBR_SUSPECT = 1, /**< heartbeats missing */
	MBR_DEAD = 2 /**< suspicion not refuted; the record is a tombstone */
};

/** Record of an instance. */
struct member {
	uint64_t id;	      /**< derived from its address, never 0 */
	uint64_t incarnation; /**< wall-clock time of its start in ns */
	uint32_t seq; /**< version of the record, incremented by the instance */
	enum mbr_role role;
	enum mbr_phase phase;
	enum mbr_health health;
	struct addr addr;	     /**< UDP and TCP control endpoint */
	uint64_t service;	     /**< cfg_service_id(), 0 for balancers */
	char domain[MBR_DOMAIN_MAX]; /**< failure domain, NUL-terminated */
};

/** A record with the local state for it; times are local monotonic time. */
struct mbr_entry {
	struct member m;
	bool watched;		    /**< this process monitors its heartbeats */
	uint64_t last_seen_ns;	    /**< last sign of life */
	uint64_t health_changed_ns; /**< last change of health */
	uint64_t phase_changed_ns;  /**< last change of phase */
	uint32_t version; /**< of the configuration in force there, or 0 */
	unsigned update_sends_left;    /**< times that the record is still to be
					  gossiped */
	struct mbr_entry *next_update; /**< in the queue of updates */
	bool update_queued;	       /**< is in the queue of updates */
	void *slot; /**< hash table entry of this entry; private to member.c */
};

/** Members of a service sorted by id. */
struct mbr_group {
	uint64_t service;
	struct mbr_entry **entries;
	size_t count;
};

struct mbr_table;

/** Create a table; self is the own record of this instance, and is copied. */
struct mbr_table *mbr_new(const struct member *self, struct counters *ctr);
/** Free a table. */
void mbr_free(struct mbr_table *t);
/** Record of this instance. */
const struct member *mbr_self(const struct mbr_table *t);
/** Set the phase of this instance and increment its seq. */
void mbr_set_phase(struct mbr_table *t, enum mbr_phase phase, uint64_t now);
/** Increment the seq of this instance, which refutes reports about its health
 * that others have. */
void mbr_increment_seq(struct mbr_table *t, uint64_t now);

/**
 * Merge a received record. A report that this instance is suspected or dead
 * is refuted by a seq above the report's.
 * @return whether the table changed
 */
bool mbr_merge(struct mbr_table *t, const struct member *m, uint64_t now);
/** Restart the silence timer of an instance, since a message from it arrived.
 */
void mbr_mark_seen(struct mbr_table *t, uint64_t id, uint64_t now);
/** Start to monitor the heartbeats of an instance. */
void mbr_watch(struct mbr_table *t, uint64_t id, uint64_t now);
/** Run the timers: suspect monitored instances that are silent, declare
 * suspects dead, remove tombstones. Call at least every 100 ms. */
void mbr_tick(struct mbr_table *t, uint64_t now);
/** Restart all silence and suspicion timers. Call after a pause of this
 * process, during which it could not receive heartbeats. */
void mbr_reset_timeouts(struct mbr_table *t, uint64_t now);
/** Suspect an instance that did not answer. */
void mbr_suspect(struct mbr_table *t, uint64_t id, uint64_t now);

/** Find an entry; NULL if there is none. */
struct mbr_entry *mbr_find(const struct mbr_table *t, uint64_t id);
/** Members of a service; service 0 stands for the balancers. Never NULL. */
const struct mbr_group *mbr_group(const struct mbr_table *t, uint64_t service);
/** Call visit for every entry. */
void mbr_for_each(const struct mbr_table *t,
    void (*visit)(void *ctx, struct mbr_entry *e), void *ctx);
/** Digest of the records in a bucket. */
uint32_t mbr_bucket_digest(const struct mbr_table *t, unsigned bucket);
/** Digest of the whole table. */
uint64_t mbr_table_digest(const struct mbr_table *t);
/** Bucket of an instance's record. */
unsigned mbr_bucket(uint64_t id);
/** Digest of the records of a service. */
uint64_t mbr_group_digest(const struct mbr_table *t, uint64_t service);
/**
 * Take up to max changed records from the queue of updates, to be gossiped.
 * A record stays queued until it was taken often enough to reach all members.
 * @return number of records written to out
 */
size_t mbr_take_updates(struct mbr_table *t, struct member *out, size_t max);

/** Whether messages can be sent to a member: it is not dead and has not left.
 */
bool mbr_is_reachable(const struct mbr_entry *e);
/** Whether a member may get new work: it is active and not suspected. */
bool mbr_is_eligible(const struct mbr_entry *e);
/** Rendezvous hash: rank of a member for a flow. The highest rank wins. */
uint64_t mbr_rank(uint64_t flow_hash, uint64_t id);
/**
 * Home of a flow: the agent that keeps the record of the flow's owner. It is
 * the member with the highest rank among the active ones; if there are none,
 * among the suspected, then the joining, then the leaving ones.
 * @param skip id of a member to exclude, 0 for none
 * @return NULL if the service has no reachable member
 */
struct mbr_entry *mbr_home(const struct mbr_table *t, uint64_t service,
    uint64_t flow_hash, uint64_t skip);

#endif
