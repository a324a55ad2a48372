#include "flow/isolation.h"

#include "base/clock.h"

/** Time in ms without a message from any balancer after the start until the
 * balancers' entries are looked up. Seeds that start at the same time answer
 * within a fraction of a second. */
#define FIRST_LOOKUP_MS 200
/** Time in ms between two lookups while no balancer has ever answered. */
#define START_RETRY_MS 700
/** Period of requests for a list of balancers, in ms, or the amount for each
 * balancer if that is more: several requests before a balancer that is not
 * refreshed expires, peers_forget_ms(). */
#define LIST_PERIOD_MS 4000
#define LIST_PERIOD_PER_BALANCER_MS 60
/** Time in ms, added to that period, after which an agent without an answer is
 * isolated. */
#define ANSWER_MS 1000
/** Time in ms between two lookups while it is isolated. */
#define RETRY_MS 1500
/** Time in ms for the calls of a lookup, and for the agent's heartbeat. */
#define LOOKUP_MAX_MS 1500

uint64_t
isolation_list_period_ms(size_t balancers)
{
	uint64_t ms = LIST_PERIOD_PER_BALANCER_MS * (uint64_t)balancers;

	return ms > LIST_PERIOD_MS ? ms : LIST_PERIOD_MS;
}

static bool
has_passed(uint64_t since_ns, uint64_t ms, uint64_t now)
{
	return now >= since_ns + ms * NS_PER_MS;
}

bool
isolation_should_look_up(
    struct isolation *i, uint64_t list_period_ms, uint64_t now)
{
	bool contacted = i->last_message_ns != 0;

	if (contacted ? !has_passed(
			    i->last_message_ns, list_period_ms + ANSWER_MS, now)
		      : !has_passed(i->started_ns, FIRST_LOOKUP_MS, now))
		return false;
	if (i->lookup_ns != 0 &&
	    !has_passed(
		i->lookup_ns, contacted ? RETRY_MS : START_RETRY_MS, now))
		return false;
	i->lookup_ns = now;
	return true;
}

uint64_t
isolation_max_ms(size_t balancers)
{
	return isolation_list_period_ms(balancers) + ANSWER_MS +
	       ISOLATION_STALE_MAX_MS + RETRY_MS + LOOKUP_MAX_MS;
}
