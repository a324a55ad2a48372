#include "flow/balancer_internal.h"

#include "base/clock.h"
#include "base/event.h"
#include "flow/cold_limit.h"

#include <string.h>

/** An opening that the agent neither accepts nor refuses is offered to another
 * one after this, in ms. An agent reports a silent target sooner. */
#define OFFER_TIMEOUT_MS 150
/** An agent that did not answer an opening, or refused it for another reason
 * than a full target, is offered no new ones for this long, in ms. */
#define AVOID_MS 1000
/** Shortest and longest time for which a cold target that refused an opening is
 * expected to refuse the next ones, in ms. */
#define COLD_REFUSING_MIN_MS 20
#define COLD_REFUSING_MAX_MS 250

/* The packet is marked with the service that the route names, so that the agent
 * refuses it if its target runs another one by now. */
static void
forward_opening(
    struct fb *fb, struct opening *e, struct agent_view *v, uint64_t now)
{
	e->tried[e->tried_count++] = v->id;
	e->offered_ns = now;
	fb_forward_opening(fb, v, &e->flow, (struct str){e->bytes, e->len},
	    e->offered_service);
}

static void
offer(struct fb *fb, struct opening *e, struct agent_view *v, uint64_t now)
{
	place_record(v, now);
	if (v->domain_tag != fb->peers.domain_tag)
		ctr_inc(fb->ctr, e->leaves || e->refusal == FLOW_REFUSED_FULL
				     ? CTR_FLOWS_REMOTE_ROOM
				     : CTR_FLOWS_REMOTE_TARGETS);
	if (fb->setup.cold_limits && now < v->cold_until_ns)
		place_record_cold(v,
		    cold_limit_interval_ns(
			fb_cold_per_s_milli(fb, v->heartbeat.service),
			peers_count_local(&fb->peers) + 1),
		    now);
	ctr_inc(fb->ctr, CTR_FLOWS_PLACED);
	forward_opening(fb, e, v, now);
}

static struct place_request
make_request(const struct fb *fb, const struct opening *e, uint32_t service,
    uint64_t now)
{
	const struct flow_route *route =
	    routes_find(&fb->routes, e->flow.service);

	return (struct place_request){.agents = &fb->agents,
	    .service = service,
	    .domain = fb->setup.domain,
	    .balancers = fb->near_balancers + 1,
	    .tried = e->tried,
	    .tried_count = e->tried_count,
	    .flow = flow_hash(&e->flow),
	    .evacuated = &fb->evacuation,
	    .refusing_domain = now < fb->refusing_domain.until_ns
				   ? fb->refusing_domain.tag
				   : 0,
	    .priority =
		route == NULL ? ROUTE_PRIORITY_UNKNOWN : route->priority,
	    .limits_cold =
		fb->setup.cold_limits && fb_cold_per_s_milli(fb, service) != 0,
	    .avoid_cold = e->refusal == FLOW_REFUSED_COLD,
	    .domains = &fb->domain_share,
	    .now = now};
}

static struct agent_view *
choose(struct fb *fb, struct opening *e, const struct flow_route *route,
    uint32_t service, struct place_estimate *estimate,
    struct place_earliest *earliest, uint64_t now)
{
	struct place_request req = make_request(fb, e, service, now);

	req.estimate = estimate;
	req.earliest = earliest;
	req.kind = route->kind;
	req.leave_to = domain_share_pick(
	    &fb->domain_share, service, route->kind, req.flow);
	e->leaves = req.leave_to != 0;
	if (e->tried_count == 0)
		domain_share_record_flow(&fb->domain_share, service, route);
	e->offered_service = service;
	return e->tried_count == PLACE_TRIES_MAX ? NULL : place_choose(&req);
}

/*
 * Try the opening's service first, then the address's other services. The route
 * in force decides, not the one by which the opening's service was picked.
 */
static struct agent_view *
choose_any_service(struct fb *fb, struct opening *e,
    struct place_estimate *estimate, struct place_earliest *earliest,
    uint64_t now)
{
	const struct flow_route *route =
	    routes_find(&fb->routes, e->flow.service);
	struct agent_view *v = NULL;
	size_t pick;

	if (route == NULL)
		return NULL;
	if (!routes_accepts(route, e->service)) {
		pick = routes_pick(route, flow_hash(&e->flow));
		if (pick == route->count)
			return NULL;
		e->service = route->shares[pick].service;
	}
	v = choose(fb, e, route, e->service, estimate, earliest, now);
	for (size_t i = 0; v == NULL && i < route->count; i++) {
		if (route->shares[i].weight > 0)
			v = choose(fb, e, route, route->shares[i].service,
			    estimate, earliest, now);
	}
	return v;
}

/* Whether the address would have a target if no domain were evacuated. */
static bool
is_evacuated(const struct fb *fb, const struct opening *e, uint64_t now)
{
	const struct flow_route *route =
	    routes_find(&fb->routes, e->flow.service);

	for (size_t i = 0; route != NULL && i < route->count; i++) {
		const struct place_request req =
		    make_request(fb, e, route->shares[i].service, now);

		if (route->shares[i].weight > 0 && place_has_evacuated(&req))
			return true;
	}
	return false;
}

/* The first refusal after some time without any; each is in a reset line. */
static void
report_refusing(const struct admission_request *req, enum counter reason)
{
	const struct place_estimate *e = req->estimate;
	char agent[ADDR_TEXT_MAX];

	event("refusing", "s:s, s:i, s:s, s:I, s:I, s:I, s:I, s:I", "reason",
	    ctr_name(reason), "priority", req->route->priority, "agent",
	    addr_text(addr_unpack(req->best->id), agent), "work_us",
	    (json_int_t)e->work_us, "wait_us", (json_int_t)e->wait_us,
	    "latency_ms", (json_int_t)req->route->latency_ms, "requests_milli",
	    (json_int_t)e->requests_milli, "busy_milli",
	    (json_int_t)e->busy_milli);
}

/* If the target of least cost has no room, the one with the earliest answer may
 * have: it may be in another failure domain. */
static void
offer_or_refuse(struct fb *fb, struct opening *e, struct agent_view *v,
    const struct place_estimate *estimate,
    const struct place_earliest *earliest, uint64_t now)
{
	static const enum counter reasons[] = {
	    [ADMISSION_NO_ROOM] = CTR_REFUSE_OVERLOAD,
	    [ADMISSION_RESERVED] = CTR_REFUSE_PRIORITY,
	};
	const struct flow_route *route =
	    routes_find(&fb->routes, e->flow.service);
	struct admission_request req = {e->offered_service, route, v, estimate};
	enum admission outcome = admission_decide(&fb->admissions, &req, now);

	if (outcome != ADMISSION_ADMITTED && earliest->agent != NULL &&
	    earliest->agent != v) {
		v = earliest->agent;
		req.best = v;
		req.estimate = &earliest->estimate;
		if (admission_decide(&fb->admissions, &req, now) ==
		    ADMISSION_ADMITTED)
			outcome = ADMISSION_ADMITTED;
	}
	if (e->tried_count == 0 &&
	    admission_record(&fb->admissions, e->offered_service, route,
		outcome == ADMISSION_ADMITTED, now))
		report_refusing(&req, reasons[outcome]);
	if (outcome == ADMISSION_ADMITTED) {
		offer(fb, e, v, now);
		return;
	}
	fb_reset(fb, &e->flow, 0, reasons[outcome]);
	openings_drop(&fb->openings, e);
}

/* Offer an opening to the next agent, or reset the caller if none is left or
 * all are overloaded. */
static void
offer_next(struct fb *fb, struct opening *e, uint64_t now)
{
	struct place_estimate estimate;
	struct place_earliest earliest;
	struct agent_view *v =
	    choose_any_service(fb, e, &estimate, &earliest, now);

	if (v != NULL) {
		offer_or_refuse(fb, e, v, &estimate, &earliest, now);
		return;
	}
	if (!fb_is_warm(fb, now) && e->tried_count == 0)
		return; /* agents are still appearing: a tick tries again */
	fb_reset(fb, &e->flow, 0,
	    e->refusal == FLOW_REFUSED_COLD ? CTR_REFUSE_COLD
	    : is_evacuated(fb, e, now)	    ? CTR_REFUSE_EVACUATED
					    : CTR_REFUSE_NO_TARGET);
	openings_drop(&fb->openings, e);
}

static void
avoid(struct fb *fb, uint64_t agent, uint64_t now)
{
	struct agent_view *v = agents_find(&fb->agents, agent);

	if (v != NULL)
		v->avoid_until_ns = now + AVOID_MS * NS_PER_MS;
}

/* A cold target gets no flow until its limit may allow one again. It may have
 * restarted, so that its last heartbeat did not report it as cold. */
static void
avoid_cold(struct fb *fb, uint64_t agent, uint64_t now)
{
	struct agent_view *v = agents_find(&fb->agents, agent);
	uint64_t ms = COLD_REFUSING_MAX_MS;
	uint32_t per_s_milli;

	if (v == NULL)
		return;
	per_s_milli = fb_cold_per_s_milli(fb, v->heartbeat.service);
	if (per_s_milli != 0 && 1000000 / per_s_milli < ms)
		ms = 1000000 / per_s_milli;
	if (ms < COLD_REFUSING_MIN_MS)
		ms = COLD_REFUSING_MIN_MS;
	v->cold_next_ns = now + ms * NS_PER_MS;
	if (v->cold_until_ns < v->cold_next_ns)
		v->cold_until_ns = v->cold_next_ns;
}

/* The agents of an evacuated domain all refuse. Its other agents are not tried
 * until this balancer learns the evacuation. */
static void
avoid_domain(struct fb *fb, uint64_t agent, uint64_t now)
{
	const struct agent_view *v = agents_find(&fb->agents, agent);

	if (v != NULL)
		fb->refusing_domain = (struct refusing_domain){
		    v->domain_tag, now + AVOID_MS * NS_PER_MS};
}

static void
handle_retransmission(struct fb *fb, struct opening *e, uint64_t now)
{
	if (e->tried_count > 0 &&
	    !fb_has_elapsed(e->offered_ns, OFFER_TIMEOUT_MS, now))
		return;
	if (e->tried_count > 0) {
		avoid(fb, opening_agent(e), now);
		ctr_inc(fb->ctr, CTR_RETRY_UNANSWERED);
	}
	offer_next(fb, e, now);
}

/*
 * The agent that accepted an opening of this key, if the packet may be a
 * retransmission of it. The first packet of an opening begins a new flow,
 * whatever flow had its key before: a caller may reuse a port, and the address
 * of an agent may belong to another service by then.
 */
static struct agent_view *
accepting_agent(struct fb *fb, const struct flow_packet *p,
    const struct flow_route *route, uint64_t now)
{
	struct agent_view *v;

	if (p->copy == 0) {
		hint_drop(fb->hints, &p->flow);
		return NULL;
	}
	v = agents_find(&fb->agents, hint_get(fb->hints, &p->flow));
	if (v == NULL || agent_is_silent(v, now) ||
	    !routes_accepts(route, v->heartbeat.service))
		return NULL;
	return v;
}

void
fb_open_flow(struct fb *fb, const struct flow_packet *p,
    const struct flow_route *route, uint64_t now)
{
	struct opening *e = openings_find(&fb->openings, &p->flow);
	struct agent_view *v = accepting_agent(fb, p, route, now);
	size_t pick = routes_pick(route, flow_hash(&p->flow));

	/* An opening shows that the caller has given up an earlier flow of this
	 * key, so the search for it ends. */
	fb_end_search(fb, &p->flow);
	if (e != NULL && e->seq == p->seq) {
		handle_retransmission(fb, e, now);
		return;
	}
	if (e != NULL) /* of an earlier flow from the same port */
		openings_drop(&fb->openings, e);
	if (pick == route->count) {
		fb_reset(fb, &p->flow, p->ack, CTR_REFUSE_NO_TARGET);
		return;
	}
	if (v != NULL) {
		/* Accepted, but the answer has not reached the caller yet. */
		e = openings_add(&fb->openings, p, v->heartbeat.service, now);
		e->offered_service = e->service;
		forward_opening(fb, e, v, now);
		return;
	}
	e = openings_add(&fb->openings, p, route->shares[pick].service, now);
	offer_next(fb, e, now);
}

/* The least time until an agent accepts shows the delay to its domain. */
static void
record_delay(
    struct fb *fb, const struct opening *e, uint64_t from, uint64_t now)
{
	const struct agent_view *v = agents_find(&fb->agents, from);

	if (v != NULL && opening_agent(e) == from)
		domain_share_record_accepted(
		    &fb->domain_share, v->domain_tag, now - e->offered_ns, now);
}

void
fb_on_accepted(struct fb *fb, const struct flow_msg *m, uint64_t now)
{
	struct opening *e = openings_find(&fb->openings, &m->u.flow.flow);

	agents_update_load(&fb->agents, m, now);
	if (hint_set(fb->hints, &m->u.flow.flow, m->from))
		ctr_inc(fb->ctr, CTR_EVICT_HINT);
	ctr_inc(fb->ctr, CTR_HINTS);
	if (e == NULL)
		return;
	latency_record(&fb->opening, now - e->received_ns);
	record_delay(fb, e, m->from, now);
	openings_drop(&fb->openings, e);
}

static enum counter
refusal_counter(enum flow_refusal r)
{
	switch (r) {
	case FLOW_REFUSED_SERVICE:
		return CTR_RETRY_WRONG_SERVICE;
	case FLOW_REFUSED_LEAVING:
		return CTR_RETRY_LEAVING;
	case FLOW_REFUSED_SILENT:
		return CTR_RETRY_UNANSWERED;
	case FLOW_REFUSED_EVACUATED:
		return CTR_RETRY_EVACUATED;
	case FLOW_REFUSED_COLD:
		return CTR_RETRY_COLD;
	case FLOW_REFUSED_FULL:
	case FLOW_REFUSALS:
		break;
	}
	return CTR_RETRY_FULL;
}

void
fb_on_refused(struct fb *fb, const struct flow_msg *m, uint64_t now)
{
	struct opening *e = openings_find(&fb->openings, &m->u.flow.flow);
	char caller[ADDR_TEXT_MAX], agent[ADDR_TEXT_MAX];

	agents_update_load(&fb->agents, m, now);
	if (hint_get(fb->hints, &m->u.flow.flow) == m->from)
		hint_drop(fb->hints, &m->u.flow.flow);
	if (m->u.flow.refusal == FLOW_REFUSED_EVACUATED &&
	    fb->setup.evacuation_ms != 0)
		avoid_domain(fb, m->from, now);
	else if (m->u.flow.refusal == FLOW_REFUSED_COLD)
		avoid_cold(fb, m->from, now);
	else if (m->u.flow.refusal != FLOW_REFUSED_FULL)
		avoid(fb, m->from, now);
	if (e == NULL || opening_agent(e) != m->from)
		return;
	e->refusal = m->u.flow.refusal;
	ctr_inc(fb->ctr, refusal_counter(m->u.flow.refusal));
	event("opening_refused", "s:s, s:s, s:s, s:i", "caller",
	    addr_text(addr_unpack(e->flow.caller), caller), "agent",
	    addr_text(addr_unpack(m->from), agent), "reason",
	    ctr_name(refusal_counter(m->u.flow.refusal)), "tries",
	    (int)e->tried_count);
	offer_next(fb, e, now);
}

void
fb_tick_openings(struct fb *fb, uint64_t now)
{
	struct opening *e, *next;

	fb->near_balancers = (uint32_t)peers_count_local(&fb->peers);
	ctr_add(fb->ctr, CTR_DROP_OPENING, openings_expire(&fb->openings, now));
	domain_share_tick(&fb->domain_share, &fb->agents, &fb->evacuation, now);
	HASH_ITER(hh, fb->openings.table, e, next)
	{
		if (e->tried_count == 0)
			offer_next(fb, e, now);
	}
}
