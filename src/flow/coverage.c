#include "flow/coverage.h"

#include "base/clock.h"
#include "flow/isolation.h"

/** Time after the start, in ms, by which agents that know this address have
 * sent a heartbeat, also those that restarted together with this balancer. */
#define RESTART_COVERED_MS 5000

/** Time after the start, in ms, until the entries are listed if no other
 * process has been found. Seeds that start at the same time are found within a
 * fraction of a second. */
#define FIRST_LIST_MS 200
#define LISTS_MAX 2

static bool
has_passed(uint64_t since_ns, uint64_t ms, uint64_t now)
{
	return now >= since_ns + ms * NS_PER_MS;
}

void
coverage_init(struct coverage *c, uint64_t now)
{
	*c = (struct coverage){.started_ns = now};
}

void
coverage_on_entry(struct coverage *c, bool was_established, uint64_t now)
{
	if (c->findable_ns != 0)
		return;
	c->findable_ns = now;
	c->known_before = was_established;
}

bool
coverage_should_list(
    struct coverage *c, bool alone, bool complete, uint64_t now)
{
	uint64_t wait_ms = FIRST_LIST_MS + c->lists * ISOLATION_STALE_MAX_MS;

	if (c->lists == LISTS_MAX || !has_passed(c->started_ns, wait_ms, now))
		return false;
	if (c->lists == 0 ? !alone : complete) {
		c->lists = LISTS_MAX;
		return false;
	}
	c->lists++;
	c->listed = 0;
	return true;
}

void
coverage_on_entries(struct coverage *c, size_t count)
{
	c->listed += count;
	if (c->listed > c->entries)
		c->entries = c->listed;
}

void
coverage_on_watch(struct coverage *c, bool ok, uint64_t now)
{
	if (ok && c->watch_failed && c->findable_ns != 0)
		c->findable_ns = now;
	c->watch_failed = !ok;
}

size_t
coverage_balancers(const struct coverage *c, size_t count)
{
	return count > c->entries ? count : c->entries;
}

bool
coverage_is_at_new_address(const struct coverage *c)
{
	return c->findable_ns != 0 && !c->known_before;
}

bool
coverage_is_findable(const struct coverage *c, size_t balancers, uint64_t now)
{
	uint64_t ms = isolation_max_ms(coverage_balancers(c, balancers));

	return c->findable_ns != 0 && !c->watch_failed &&
	       has_passed(c->findable_ns, ms, now);
}

bool
coverage_has_waited(const struct coverage *c, size_t balancers,
    uint64_t max_period_ms, uint64_t now)
{
	uint64_t ms = 2 * max_period_ms > RESTART_COVERED_MS
			  ? 2 * max_period_ms
			  : RESTART_COVERED_MS;

	return coverage_is_findable(c, balancers, now) ||
	       (c->known_before && has_passed(c->started_ns, ms, now));
}

bool
coverage_is_complete(
    const struct coverage *c, const struct coverage_evidence *e, uint64_t now)
{
	if (e->has_list_of_complete)
		return true;
	if (e->peer_has_more)
		return false;
	return coverage_has_waited(
	    c, e->balancers, e->agent_max_period_ms, now);
}
