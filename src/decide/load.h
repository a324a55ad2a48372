/**
 * @file load.h
 * Load of the agents of a service as last reported, and the choice of an agent
 * for a flow or request by its load.
 */
#ifndef PW_LOAD_H
#define PW_LOAD_H

#include "decide/config.h"
#include "decide/member.h"
#include "decide/message.h"

struct load_view;

/** Create an empty view. */
struct load_view *load_view_new(void);
/** Free a view. */
void load_view_free(struct load_view *v);
/** Record a load report of a member, or of this agent itself. */
void load_report(
    struct load_view *v, uint64_t id, const struct msg_load *l, uint64_t now);
/** Count a flow or request sent to a member, until its reports include it. */
void load_count_sent(struct load_view *v, uint64_t id, uint64_t now);
/** Remove a member. */
void load_remove(struct load_view *v, uint64_t id);
/**
 * Cost of giving a member one more flow; lower is better. It is 0 for a
 * member without a report. A report older than 1.5 s adds a large penalty, so
 * that the member is chosen only if all others are stale or overloaded.
 */
uint64_t load_cost(const struct load_view *v, uint64_t id,
    const struct cfg_service *s, uint64_t now);
/** Requests that a member has, by its last report and those sent since. */
uint32_t load_requests(const struct load_view *v, uint64_t id);
/**
 * Choose the eligible member with the lowest cost; equal costs go to the
 * higher rank.
 * @param hash flow_hash() of the flow
 * @param skip id of a member to exclude, 0 for none
 * @return NULL if no member is eligible
 */
struct mbr_entry *load_choose(const struct load_view *v,
    const struct mbr_group *group, const struct cfg_service *s, uint64_t hash,
    uint64_t skip, uint64_t now);

#endif
