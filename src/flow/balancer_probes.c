#include "flow/balancer_internal.h"

#include "base/clock.h"

/** Cost of a packet that an agent probes at its target, in queries. */
#define PROBE_COST_QUERIES INT64_C(3)
/** Packets of a flow go to targets that may not hold it for at most this long,
 * in ms, unless the one that holds it must be among them. Users allow 2 s in
 * which packets of a flow reach other targets alone, and a flow may move to
 * another balancer meanwhile. */
#define PROBE_WINDOW_MS 1000

static void
send_probe(struct fb *fb, const struct search *e, const struct agent_view *v,
    struct str bytes)
{
	ctr_inc(fb->ctr, CTR_SEARCH_PROBES);
	if (e->tier == SEARCH_TIERS)
		fb->query_credit_milli -= PROBE_COST_QUERIES * 1000;
	fb_forward(fb, v, &e->flow, bytes, true);
}

/*
 * Whether the agents that are known may be few of those that run, as at an
 * address that is new to them: agents that restarted find new balancers at
 * once, the others only when their balancers are gone.
 */
static bool
is_new_to_agents(const struct fb *fb)
{
	return !fb->agents_complete &&
	       coverage_is_at_new_address(&fb->coverage);
}

/*
 * Whether a packet of the flow may go to targets that may not hold it. Agents
 * tell for how long it has done so, also through other balancers. When all
 * agents are known, a single one that may hold the flow does hold it.
 */
static bool
may_probe(struct fb *fb, const struct search *e, uint64_t now)
{
	uint64_t since_ns = flow_times_find(&fb->probed, &e->flow, e->ack, now);

	if (since_ns == 0)
		return !is_new_to_agents(fb) ||
		       search_has_queried_all(e, now, fb->lag_ms);
	return !fb_has_elapsed(since_ns, PROBE_WINDOW_MS, now) ||
	       (e->probing == 1 && search_is_answered(e, &fb->agents) &&
		   fb_uncertainty(fb, e, now) == UNCERTAINTY_NONE);
}

void
fb_send_due_probes(struct fb *fb, struct search *e, uint64_t now)
{
	uint64_t id;

	if (e->probes_due == 0 || e->held_count == 0 || !may_probe(fb, e, now))
		return;
	flow_times_add(&fb->probed, &e->flow, e->ack, now, now);
	while ((id = search_take_probe(e)) != 0) {
		const struct agent_view *v = agents_find(&fb->agents, id);

		if (v != NULL)
			send_probe(fb, e, v,
			    (struct str){e->held[0]->bytes, e->held[0]->len});
	}
}

void
fb_probe_again(
    struct fb *fb, struct search *e, const struct flow_packet *p, uint64_t now)
{
	if (e->probing == 0 || e->probes_due > 0 || p->bytes.len == 0 ||
	    !fb_has_elapsed(e->last_query_ns, SEARCH_PROBE_TIMEOUT_MS, now) ||
	    !may_probe(fb, e, now))
		return;
	e->last_query_ns = now;
	for (size_t i = 0; i < e->query_count; i++) {
		const struct agent_view *v =
		    agents_find(&fb->agents, e->queries[i].agent);

		if (e->queries[i].replied_unknown && v != NULL)
			send_probe(fb, e, v, p->bytes);
	}
}
