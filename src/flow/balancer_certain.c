#include "flow/balancer_parts.h"

#include "base/clock.h"
#include "base/event.h"

/** Agents have all had time for a heartbeat when this has passed beyond the
 * least period that they told, that of the own failure domain, ms. */
#define WARM_MORE_MS 150
/** After this an agent that restarted while this balancer did is known, ms. */
#define RETURN_MS 5000
/** With so many other balancers in a failure domain they tell each other of
 * their own agents alone; with fewer, all balancers do, of all agents. */
#define NEAR_ENOUGH 4

bool
fb_warm(const struct fb *fb, uint64_t now)
{
	return fb->first_agent_ns != 0 &&
	       fb_passed(
		   fb->first_agent_ns, fb->least_period_ms + WARM_MORE_MS, now);
}

void
fb_count_agents(struct fb *fb, uint64_t now)
{
	struct recent_agents *r = &fb->recent;

	if (r->at_ns != 0 && !fb_passed(r->at_ns, FB_TICK_MS, now))
		return;
	r->at_ns = now;
	r->all.count =
	    (uint32_t)agents_recent(&fb->agents, 0, now, &r->all.digest);
	r->near.count = (uint32_t)agents_recent(
	    &fb->agents, fb->peers.domain_tag, now, &r->near.digest);
}

bool
fb_near_scope(const struct fb *fb, uint64_t now)
{
	size_t count = 0;
	struct peer *e, *next;

	HASH_ITER(hh, fb->peers.table, e, next)
	{
		count += peers_near(&fb->peers, e) && fb_heard_lately(e, now);
	}
	return count >= NEAR_ENOUGH;
}

/** How a balancer's agents compare with those of the others, in its scope. */
struct comparison {
	size_t compared; /**< balancers heard lately */
	size_t untold;	 /**< of them, those that have more to tell */
	size_t more;	 /**< of them, those that hear more agents */
	size_t settled;	 /**< of them, those that know all */
	size_t sure;	 /**< of them, those that knew all when they told */
	size_t known;	 /**< agents heard here */
};

static struct comparison
compare(struct fb *fb, uint64_t now)
{
	bool near = fb_near_scope(fb, now);
	struct comparison c = {0};
	struct peer *e, *next;

	fb_count_agents(fb, now);
	c.known = near ? fb->recent.near.count : fb->recent.all.count;
	HASH_ITER(hh, fb->peers.table, e, next)
	{
		const struct peer_set *set = near ? &e->near : &e->all;

		if (!fb_heard_lately(e, now) ||
		    (near && !peers_near(&fb->peers, e)))
			continue;
		c.compared++;
		c.untold += set->told == 0 || set->told < set->count;
		c.more += set->count > c.known;
		c.settled += e->settled;
		c.sure += set->sure;
	}
	return c;
}

bool
fb_hears_enough(struct fb *fb, uint64_t now)
{
	struct comparison c = compare(fb, now);

	return c.compared > 0 && c.more == 0 && c.known > 0;
}

/*
 * One that knows all agents has told of them, or all others have told; where
 * all are young, two heartbeats of each agent are enough, unless another hears
 * more.
 */
static bool
learned(const struct fb *fb, const struct comparison *c, uint64_t now)
{
	if (c->compared > 0 && (c->sure > 0 || c->untold == 0))
		return true;
	if (c->more > 0)
		return false;
	if (c->compared > 0 && c->settled == 0 && fb->first_agent_ns != 0 &&
	    fb_passed(fb->first_agent_ns, 2 * fb->least_period_ms, now))
		return true;
	return fb_passed(fb->began_ns, RETURN_MS, now);
}

/*
 * Whether all agents of its scope that lived when this balancer started are
 * known to it; those that start later make themselves known. Once known stays
 * known.
 */
static bool
knows_agents(struct fb *fb, uint64_t now)
{
	struct comparison c;

	if (fb->knows_agents)
		return true;
	c = compare(fb, now);
	fb->knows_agents = learned(fb, &c, now);
	fb->knows_far = fb->knows_agents && !fb_near_scope(fb, now);
	if (fb->knows_agents)
		event("agents_known", "s:i, s:i, s:i, s:I", "agents",
		    (int)c.known, "compared", (int)c.compared, "sure",
		    (int)c.sure, "after_ms",
		    (json_int_t)((now - fb->began_ns) / NS_PER_MS));
	return fb->knows_agents;
}

/* What speaks against knowing all agents of the own scope. */
static enum doubt
doubt_near(struct fb *fb, uint64_t now)
{
	if (!fb_warm(fb, now) || agents_live(&fb->agents, now) == 0)
		return DOUBT_YOUNG;
	if (mentions_open(&fb->mentions,
		fb_near_scope(fb, now) ? fb->peers.domain_tag : 0, now))
		return DOUBT_MENTIONED;
	return knows_agents(fb, now) ? DOUBT_NONE : DOUBT_UNTOLD;
}

/* The same for the agents of the other failure domains. */
static enum doubt
doubt_far(const struct fb *fb, uint64_t now)
{
	return fb->knows_far || fb_passed(fb->began_ns, RETURN_MS, now)
		   ? DOUBT_NONE
		   : DOUBT_FAR;
}

void
fb_tick_certain(struct fb *fb, uint64_t now)
{
	if (fb_warm(fb, now))
		knows_agents(fb, now);
}

enum doubt
fb_doubt(struct fb *fb, const struct search *e, uint64_t now)
{
	enum doubt near = DOUBT_NONE;

	if (now < fb->trusted_ns)
		return DOUBT_PAUSED;
	if (!search_covers_domain(e, fb->peers.domain_tag) || e->lacks_delegate)
		near = doubt_near(fb, now);
	if (near != DOUBT_NONE || !e->lacks_delegate)
		return near;
	return doubt_far(fb, now);
}

const char *
fb_doubt_name(enum doubt d)
{
	static const char *const names[] = {
	    "", "paused", "young", "agent_mentioned", "untold", "far_unknown"};

	return names[d];
}
