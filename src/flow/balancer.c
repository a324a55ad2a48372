#include "flow/balancer_internal.h"

#include "base/clock.h"
#include "base/event.h"

#include <string.h>

/** A balancer counts as live this long after its latest heartbeat, in ms. Only
 * live ones count as watchers of the configuration. */
#define PEER_LIVE_MS 1800
/** Sizes of the tables. */
#define OPENINGS_MAX 4096
#define SEARCHES_MAX 1024
#define PROXIED_SEARCHES_MAX 4096
#define PROBED_FLOWS_MAX 4096
/** Time for which the first probe of a flow is remembered, in ms: longer than
 * it takes to know all agents. */
#define PROBED_KEEP_MS 30000

void
fb_init(struct fb *fb, const struct fb_setup *setup,
    const struct fb_callbacks *callbacks, void *ctx, struct counters *ctr,
    uint64_t now)
{
	*fb = (struct fb){
	    .setup = *setup, .callbacks = callbacks, .ctx = ctx, .ctr = ctr};
	fb->hints = hint_new(setup->hint_capacity);
	fb->openings.capacity = OPENINGS_MAX;
	fb->searches.capacity = SEARCHES_MAX;
	fb->proxied_searches.capacity = PROXIED_SEARCHES_MAX;
	fb->probed = (struct flow_times){
	    .capacity = PROBED_FLOWS_MAX, .keep_ms = PROBED_KEEP_MS};
	fb->peers.self = setup->id;
	gossip_init(&fb->gossip);
	fb->peers.domain_tag = flow_service_tag(str_of(setup->domain));
	domain_share_init(&fb->domain_share, fb->peers.domain_tag,
	    setup->remote_byte_price, now);
	fb->started_ns = now;
	coverage_init(&fb->coverage, now);
	fb->last_tick_ns = now;
	fb->silence_valid_ns = now;
	rng_init(&fb->rng, setup->seed);
}

void
fb_clear(struct fb *fb)
{
	hint_free(fb->hints);
	openings_clear(&fb->openings);
	admissions_clear(&fb->admissions);
	searches_clear(&fb->searches);
	searches_clear(&fb->proxied_searches);
	flow_times_clear(&fb->probed);
	agents_clear(&fb->agents);
	peers_clear(&fb->peers);
	reported_agents_clear(&fb->reported_agents);
	routes_clear(&fb->routes);
	domain_share_clear(&fb->domain_share);
}

/* ---- readiness ---- */

bool
fb_has_elapsed(uint64_t since, uint64_t ms, uint64_t now)
{
	return now >= since + ms * NS_PER_MS;
}

bool
fb_is_peer_live(const struct peer *e, uint64_t now)
{
	return e->last_heartbeat_ns != 0 &&
	       !fb_has_elapsed(e->last_heartbeat_ns, PEER_LIVE_MS, now);
}

/*
 * Once true, this stays true though another balancer may come to know more
 * agents: a balancer that knows most targets can serve callers.
 */
static bool
has_targets(struct fb *fb, uint64_t now)
{
	if (!fb->has_targets)
		fb->has_targets =
		    fb->routes.version != 0 &&
		    (fb_is_warm(fb, now) || fb_has_as_many_agents(fb, now));
	return fb->has_targets;
}

bool
fb_is_ready(struct fb *fb, uint64_t now)
{
	return !fb->leaving && has_targets(fb, now) &&
	       (now < fb->silence_valid_ns ||
		   agents_count_live(&fb->agents, now) > 0);
}

/* ---- sending ---- */

static struct addr
data_addr(const struct agent_view *v)
{
	struct addr a = addr_unpack(v->id);

	a.port = v->heartbeat.data_port;
	return a;
}

static void
forward_marked(struct fb *fb, const struct agent_view *v,
    const struct flow_key *flow, struct str bytes, struct flow_mark mark)
{
	const struct flow_route *route =
	    routes_find(&fb->routes, flow->service);

	mark.priority =
	    route == NULL ? ROUTE_PRIORITY_UNKNOWN : route->priority;
	mark.latency_ms = route == NULL ? 0 : route->latency_ms;
	ctr_inc(fb->ctr, CTR_AGENT_OUT);
	fb->callbacks->forward(fb->ctx, data_addr(v), bytes, &mark);
}

void
fb_forward(struct fb *fb, const struct agent_view *v,
    const struct flow_key *flow, struct str bytes, bool probe)
{
	forward_marked(fb, v, flow, bytes,
	    (struct flow_mark){
		.service = v->heartbeat.service, .probe = probe});
}

void
fb_forward_opening(struct fb *fb, const struct agent_view *v,
    const struct flow_key *flow, struct str bytes, uint32_t service)
{
	forward_marked(
	    fb, v, flow, bytes, (struct flow_mark){.service = service});
}

void
fb_send(struct fb *fb, uint64_t to, struct flow_msg *m)
{
	m->from = fb->setup.id;
	m->incarnation = fb->setup.incarnation;
	m->sequence = ++fb->sequence;
	fb->callbacks->send(fb->ctx, to, m);
}

uint32_t
fb_cold_per_s_milli(const struct fb *fb, uint32_t service)
{
	const struct service_limits *limits =
	    routes_find_service(&fb->routes, service);

	return limits == NULL ? 0 : limits->cold_per_s_milli;
}

/* The limit of the service of the agent that gets a heartbeat. */
static void
write_limits(const struct fb *fb, uint64_t to, struct msg_balancer *out)
{
	const struct agent_view *v = agents_find(&fb->agents, to);

	if (v == NULL || fb->routes.version == 0)
		return;
	out->limits = fb->routes.version;
	out->cold_per_s_milli = fb_cold_per_s_milli(fb, v->heartbeat.service);
}

void
fb_send_heartbeat(struct fb *fb, uint64_t to, uint64_t now)
{
	struct flow_msg m = {.kind = FLOW_MSG_BALANCER};

	str_copy(m.u.balancer.domain, sizeof(m.u.balancer.domain),
	    str_of(fb->setup.domain));
	m.u.balancer.version = fb->routes.version;
	m.u.balancer.peers = peers_digest(&fb->peers);
	fb_update_recent(fb, now);
	m.u.balancer.agents = fb->recent.all.count;
	m.u.balancer.agent_set = fb->recent.all.digest;
	m.u.balancer.near_agents = fb->recent.local.count;
	m.u.balancer.near_set = fb->recent.local.digest;
	m.u.balancer.whole = !fb_has_local_scope(fb, now);
	m.u.balancer.settled = fb->agents_complete;
	m.u.balancer.store_era = fb->store_era;
	m.u.balancer.ask = fb_wants_agent_list(fb, to, now);
	m.u.balancer.capacity = fb->setup.capacity;
	m.u.balancer.leaving = fb->leaving;
	evacuation_write(&fb->evacuation, &m.u.balancer);
	if (fb->setup.cold_limits)
		write_limits(fb, to, &m.u.balancer);
	m.u.balancer.watch_ok = fb->watch.ok;
	fb_send(fb, to, &m);
}

void
fb_reset(struct fb *fb, const struct flow_key *flow, uint32_t ack,
    enum counter reason)
{
	char caller[ADDR_TEXT_MAX], service[ADDR_TEXT_MAX];

	ctr_inc(fb->ctr, reason);
	event("reset", "s:s, s:s, s:s, s:I", "caller",
	    addr_text(addr_unpack(flow->caller), caller), "service",
	    addr_text(addr_unpack(flow->service), service), "reason",
	    ctr_name(reason), "version", (json_int_t)fb->routes.version);
	fb->callbacks->reset(fb->ctx, flow, ack);
}

/* ---- callers ---- */

static void
continue_flow(struct fb *fb, const struct flow_packet *p, uint64_t now)
{
	struct opening *e = openings_find(&fb->openings, &p->flow);
	uint64_t owner = hint_get(fb->hints, &p->flow);
	struct agent_view *v;

	if (owner == 0 && e != NULL)
		owner = opening_agent(e);
	v = agents_find(&fb->agents, owner);
	if (v != NULL && !agent_is_silent(v, now)) {
		ctr_inc(fb->ctr, CTR_HINT_HITS);
		fb_forward(fb, v, &p->flow, p->bytes, false);
		return;
	}
	if ((p->flags & FLOW_RST) != 0)
		return;
	fb_search_agent(fb, p, now);
}

/*
 * Existing flows continue before the first configuration has been received,
 * which the platform may delay: only a new flow needs a route.
 */
static void
handle_without_routes(struct fb *fb, const struct flow_packet *p, uint64_t now)
{
	if ((p->flags & FLOW_SYN) != 0)
		ctr_inc(fb->ctr, CTR_DROP_NO_CONFIG);
	else
		continue_flow(fb, p, now);
}

void
fb_handle_caller_packet(
    struct fb *fb, const struct flow_packet *p, uint64_t now)
{
	const struct flow_route *route;

	ctr_inc(fb->ctr, CTR_CALLER_IN);
	if (fb->routes.version == 0) {
		handle_without_routes(fb, p, now);
		return;
	}
	route = routes_find(&fb->routes, p->flow.service);
	if (route == NULL) {
		if ((p->flags & FLOW_RST) == 0)
			fb_reset(fb, &p->flow, p->ack, CTR_REFUSE_NO_ROUTE);
		return;
	}
	if ((p->flags & FLOW_SYN) != 0)
		fb_open_flow(fb, p, route, now);
	else
		continue_flow(fb, p, now);
}

/* ---- messages ---- */

void
fb_handle_message(struct fb *fb, const struct flow_msg *m, uint64_t now)
{
	switch (m->kind) {
	case FLOW_MSG_AGENT:
		fb_on_agent_heartbeat(fb, m, now);
		return;
	case FLOW_MSG_BALANCER:
		fb_on_balancer_heartbeat(fb, m, now);
		return;
	case FLOW_MSG_PEERS:
		fb_on_member_list(fb, m, now);
		return;
	case FLOW_MSG_FOUND:
		fb_on_query_replies(fb, m, now);
		return;
	case FLOW_MSG_ACCEPTED:
		fb_on_accepted(fb, m, now);
		return;
	case FLOW_MSG_REFUSED:
		fb_on_refused(fb, m, now);
		return;
	case FLOW_MSG_NOT_HELD:
		fb_on_returned_packet(fb, m, now);
		return;
	case FLOW_MSG_FIND:
		fb_on_queries(fb, m, now);
		return;
	}
	ctr_inc(fb->ctr, CTR_DROP_KIND);
}
