#include "flow/balancer_internal.h"

#include "base/clock.h"
#include "base/event.h"
#include "flow/heartbeat_period.h"

/** Margin in ms after the shortest period that agents announce, which is the
 * period in the own failure domain: each agent has had time to send a heartbeat
 * then. */
#define WARM_MARGIN_MS 150
/** With at least this many other live balancers in the own failure domain,
 * balancers compare and exchange only the agents of their failure
 * domain; with fewer, the agents of all failure domains. */
#define LOCAL_SCOPE_PEERS 4

bool
fb_is_warm(const struct fb *fb, uint64_t now)
{
	return fb->first_agent_ns != 0 &&
	       fb_has_elapsed(fb->first_agent_ns,
		   fb->min_heartbeat_ms + WARM_MARGIN_MS, now);
}

void
fb_update_recent(struct fb *fb, uint64_t now)
{
	struct recent_agents *r = &fb->recent;

	if (r->updated_ns != 0 &&
	    !fb_has_elapsed(r->updated_ns, FB_TICK_MS, now))
		return;
	r->updated_ns = now;
	r->all.count =
	    (uint32_t)agents_count_recent(&fb->agents, 0, now, &r->all.digest);
	r->local.count = (uint32_t)agents_count_recent(
	    &fb->agents, fb->peers.domain_tag, now, &r->local.digest);
	r->all_lost_ns = agents_last_lost_ns(&fb->agents, 0, now);
	r->local_lost_ns =
	    agents_last_lost_ns(&fb->agents, fb->peers.domain_tag, now);
}

bool
fb_has_local_scope(const struct fb *fb, uint64_t now)
{
	size_t count = 0;
	struct peer *e, *next;

	HASH_ITER(hh, fb->peers.table, e, next)
	{
		count +=
		    peers_is_local(&fb->peers, e) && fb_is_peer_live(e, now);
	}
	return count >= LOCAL_SCOPE_PEERS;
}

/** The other balancers' agents compared with the own ones, in the scope of
 * fb_has_local_scope(). */
struct comparison {
	size_t compared; /**< live balancers */
	size_t more;	 /**< of them, those that have more recent agents */
	size_t received_complete; /**< of them, those that were complete when
				     their list was received */
	size_t known;		  /**< own recent agents */
};

static struct comparison
compare_agents(struct fb *fb, uint64_t now)
{
	bool local = fb_has_local_scope(fb, now);
	struct comparison c = {0};
	struct peer *e, *next;

	fb_update_recent(fb, now);
	c.known = local ? fb->recent.local.count : fb->recent.all.count;
	HASH_ITER(hh, fb->peers.table, e, next)
	{
		const struct agent_summary *set = local ? &e->local : &e->all;

		if (!fb_is_peer_live(e, now) ||
		    (local && !peers_is_local(&fb->peers, e)))
			continue;
		c.compared++;
		c.more += set->count > c.known;
		c.received_complete += set->was_complete;
	}
	return c;
}

bool
fb_has_as_many_agents(struct fb *fb, uint64_t now)
{
	struct comparison c = compare_agents(fb, now);

	return c.compared > 0 && c.more == 0 && c.known > 0;
}

/*
 * Longest period of the heartbeats of an agent of the scope. The slowest agents
 * may not have been heard yet.
 */
static uint64_t
longest_period_ms(const struct fb *fb, bool local)
{
	uint64_t heard_ms =
	    agents_max_period_ms(&fb->agents, local ? fb->peers.domain_tag : 0);
	uint64_t ms =
	    local ? heartbeat_local_ms(peers_count_local(&fb->peers) + 1)
		  : heartbeat_remote_ms(coverage_balancers(
			&fb->coverage, peers_count(&fb->peers) + 1));

	return heard_ms > ms ? heard_ms : ms;
}

static bool
is_coverage_complete(
    const struct fb *fb, const struct comparison *c, uint64_t now)
{
	const struct coverage_evidence e = {
	    .has_list_of_complete = c->received_complete > 0,
	    .peer_has_more = c->more > 0,
	    .agent_max_period_ms =
		longest_period_ms(fb, fb_has_local_scope(fb, now)),
	    .balancers = peers_count(&fb->peers)};

	return coverage_is_complete(&fb->coverage, &e, now);
}

/*
 * Whether all agents of the scope that were alive when this balancer started
 * are known; agents that start later send it heartbeats themselves. Once true,
 * this stays true.
 */
static bool
check_agents_complete(struct fb *fb, uint64_t now)
{
	struct comparison c;

	if (fb->agents_complete)
		return true;
	c = compare_agents(fb, now);
	fb->agents_complete = is_coverage_complete(fb, &c, now);
	fb->remote_agents_complete =
	    fb->agents_complete && !fb_has_local_scope(fb, now);
	if (fb->agents_complete)
		event("agents_complete", "s:i, s:i, s:i, s:b, s:I", "agents",
		    (int)c.known, "peers_compared", (int)c.compared,
		    "peers_complete", (int)c.received_complete, "known_before",
		    (int)fb->coverage.known_before, "since_start_ms",
		    (json_int_t)((now - fb->started_ns) / NS_PER_MS));
	return fb->agents_complete;
}

/*
 * Whether another balancer may have heard more recently from an agent that is
 * no longer recent here, or whose report has expired. An agent that was
 * restarted twice may have found that balancer, but not yet this one, before
 * its second restart. It is lost once each live balancer of the scope has, in a
 * later heartbeat, the same recent agents as this one; those that list it delay
 * that until its time is over.
 */
static bool
has_unconfirmed_loss(struct fb *fb, uint64_t now)
{
	bool local = fb_has_local_scope(fb, now);
	uint64_t lost_ns, expired_ns, digest;
	struct peer *e, *next;

	fb_update_recent(fb, now);
	lost_ns = local ? fb->recent.local_lost_ns : fb->recent.all_lost_ns;
	digest = local ? fb->recent.local.digest : fb->recent.all.digest;
	expired_ns = fb->reported_agents.expired_ns;
	if (expired_ns > lost_ns &&
	    !fb_has_elapsed(expired_ns, AGENT_FORGET_MS, now))
		lost_ns = expired_ns;
	if (lost_ns == 0)
		return false;
	HASH_ITER(hh, fb->peers.table, e, next)
	{
		const struct agent_summary *set = local ? &e->local : &e->all;

		if (!fb_is_peer_live(e, now) ||
		    (local && !peers_is_local(&fb->peers, e)))
			continue;
		if (e->last_heartbeat_ns < lost_ns || set->digest != digest)
			return true;
	}
	return false;
}

/* Why not all agents of the scope may be known. */
static enum uncertainty
scope_uncertainty(struct fb *fb, uint64_t now)
{
	if (!fb_is_warm(fb, now) || agents_count_live(&fb->agents, now) == 0)
		return UNCERTAINTY_STARTING;
	if (reported_agents_has_pending(&fb->reported_agents,
		fb_has_local_scope(fb, now) ? fb->peers.domain_tag : 0, now))
		return UNCERTAINTY_AGENT_REPORTED;
	if (has_unconfirmed_loss(fb, now))
		return UNCERTAINTY_LISTS_MISSING;
	return check_agents_complete(fb, now) ? UNCERTAINTY_NONE
					      : UNCERTAINTY_LISTS_MISSING;
}

/* Why not all agents of the other failure domains may be known. */
static enum uncertainty
remote_uncertainty(const struct fb *fb, uint64_t now)
{
	return fb->remote_agents_complete ||
		       coverage_has_waited(&fb->coverage,
			   peers_count(&fb->peers),
			   longest_period_ms(fb, false), now)
		   ? UNCERTAINTY_NONE
		   : UNCERTAINTY_REMOTE;
}

void
fb_set_listed(struct fb *fb, bool was_established, uint64_t now)
{
	coverage_on_entry(&fb->coverage, was_established, now);
}

bool
fb_should_list_entries(struct fb *fb, uint64_t now)
{
	return coverage_should_list(&fb->coverage,
	    peers_count(&fb->peers) == 0 || fb->first_agent_ns == 0,
	    fb->agents_complete, now);
}

void
fb_count_entries(struct fb *fb, size_t count)
{
	if (!fb->agents_complete)
		coverage_on_entries(&fb->coverage, count);
}

bool
fb_is_established(const struct fb *fb, uint64_t now)
{
	return fb->agents_complete &&
	       (fb->coverage.known_before || coverage_is_findable(&fb->coverage,
						 peers_count(&fb->peers), now));
}

void
fb_tick_coverage(struct fb *fb, uint64_t now)
{
	if (fb_is_warm(fb, now))
		check_agents_complete(fb, now);
}

enum uncertainty
fb_uncertainty(struct fb *fb, const struct search *e, uint64_t now)
{
	enum uncertainty local = UNCERTAINTY_NONE;

	if (now < fb->silence_valid_ns)
		return UNCERTAINTY_PAUSED;
	if (!search_covers_domain(e, fb->peers.domain_tag) || e->lacks_delegate)
		local = scope_uncertainty(fb, now);
	if (local != UNCERTAINTY_NONE || !e->lacks_delegate)
		return local;
	return remote_uncertainty(fb, now);
}

const char *
fb_uncertainty_name(enum uncertainty u)
{
	static const char *const names[] = {"", "paused", "starting",
	    "agent_reported", "lists_missing", "remote_unknown"};

	return names[u];
}
