#include "request/agent_state.h"

/** Most hops between agents that a datagram may take. */
#define HOPS_MAX 6
/** Time after a membership change in which a home asks the previous one. */
#define ASK_PREVIOUS_NS (3000 * NS_PER_MS)
/** Hops after which an agent places a flow that it is not the home of. */
#define PLACE_HOPS 4

/* If a datagram took a detour, send its balancer a hint of the owner. */
static void
send_hint(struct agent *a, const struct incoming *in)
{
	struct msg m = {
	    .kind = MSG_HINT, .u.hint = {in->dgram->flow, agt_id(a)}};

	if (in->dgram->hops > 0)
		agt_send_addr(a, addr_unpack(in->dgram->via), &m);
}

static void
serve(struct agent *a, const struct incoming *in, struct flow *f, uint64_t now)
{
	if (f != NULL)
		dir_touch(a->dir, f, now);
	if (f != NULL)
		send_hint(a, in);
	exc_handle_request(a, in, now);
}

static void
own_and_serve(struct agent *a, const struct incoming *in, uint64_t now)
{
	struct flow *f = dir_find_flow(a->dir, &in->dgram->flow);
	struct reply_path path;

	if (f == NULL) {
		f = dir_add_flow(a->dir, &in->dgram->flow, now);
		if (f != NULL)
			registry_claim(a, f, now);
	}
	if (f != NULL) {
		serve(a, in, f, now);
		return;
	}
	path = agt_reply_path(in);
	agt_reply_not_run(a, &path, "too many flows", CTR_REFUSE_STATE);
}

static bool
can_forward_to(const struct agent *a, uint64_t owner, uint64_t from)
{
	struct mbr_entry *e;

	if (owner == 0 || owner == from || owner == agt_id(a))
		return false;
	e = mbr_find(a->members, owner);
	return e != NULL && mbr_is_reachable(e) && e->m.phase != MBR_JOINING;
}

static void
place_flow(struct agent *a, const struct incoming *in, uint64_t now)
{
	const struct msg_datagram *d = in->dgram;
	uint64_t hash = flow_hash(&d->flow);
	struct mbr_entry *e;

	e = load_choose(a->loads, mbr_group(a->members, d->flow.service),
	    &a->cfg.service, hash,
	    (d->flags & DGRAM_RETURNED) != 0 ? in->from : 0, now);
	if (e == NULL)
		e = mbr_home(a->members, d->flow.service, hash, 0);
	if (e == NULL) {
		ctr_inc(a->ctr, CTR_DROP_NO_TARGET);
		return;
	}
	ctr_inc(a->ctr, CTR_FLOWS_PLACED);
	agt_set_flow_owner(a, &d->flow, e->m.id);
	load_count_sent(a->loads, e->m.id, now);
	if (e->m.id == agt_id(a))
		own_and_serve(a, in, now);
	else
		agt_forward(a, e->m.id, d, DGRAM_PLACED, d->deadline_ms);
}

/*
 * Right after a membership change the flow's previous home may have a record
 * of its owner while the owner's claim has not arrived here yet. Returns
 * whether the datagram was forwarded there.
 */
static bool
ask_previous_home(struct agent *a, const struct incoming *in, uint64_t now)
{
	const struct mbr_group *g =
	    mbr_group(a->members, in->dgram->flow.service);
	uint64_t hash = flow_hash(&in->dgram->flow);
	struct mbr_entry *best = NULL;

	if ((in->dgram->flags & DGRAM_LOOKUP_MISS) != 0 ||
	    now > a->members_changed_ns + ASK_PREVIOUS_NS)
		return false;
	for (size_t i = 0; i < g->count; i++) {
		struct mbr_entry *e = g->entries[i];

		if (e->m.id == agt_id(a) || !mbr_is_reachable(e) ||
		    e->m.phase == MBR_JOINING || e->m.health != MBR_OK)
			continue;
		if (best == NULL ||
		    mbr_rank(hash, e->m.id) > mbr_rank(hash, best->m.id))
			best = e;
	}
	return best != NULL &&
	       agt_forward(a, best->m.id, in->dgram,
		   in->dgram->flags | DGRAM_LOOKUP, in->dgram->deadline_ms);
}

/* A new home asks: forward the datagram to the owner, or return it. */
static void
answer_new_home(struct agent *a, const struct incoming *in)
{
	const struct msg_datagram *d = in->dgram;
	uint64_t owner = agt_flow_owner(a, &d->flow);

	if (can_forward_to(a, owner, in->from))
		agt_forward(a, owner, d, DGRAM_PLACED, d->deadline_ms);
	else
		agt_forward(a, in->from, d, d->flags | DGRAM_LOOKUP_MISS,
		    d->deadline_ms);
}

/* As the home: forward to the owner, ask the previous home, or place. */
static void
route_as_home(struct agent *a, const struct incoming *in, uint64_t now)
{
	const struct msg_datagram *d = in->dgram;
	uint64_t owner = agt_flow_owner(a, &d->flow);

	if (can_forward_to(a, owner, in->from)) {
		agt_forward(a, owner, d, DGRAM_PLACED, d->deadline_ms);
		return;
	}
	if ((d->flags & DGRAM_RETURNED) == 0 && ask_previous_home(a, in, now))
		return;
	if (in->request->kind == REQUEST_ACK ||
	    in->request->kind == REQUEST_RESET)
		return;
	place_flow(a, in, now);
}

static void
route_to_home(struct agent *a, const struct incoming *in, uint64_t now)
{
	const struct msg_datagram *d = in->dgram;
	uint64_t owner = agt_flow_owner(a, &d->flow);
	struct mbr_entry *home;
	uint32_t flags = 0;

	home = mbr_home(a->members, d->flow.service, flow_hash(&d->flow), 0);
	if ((d->flags & DGRAM_LOOKUP_MISS) != 0)
		home = NULL;
	if (home == NULL || home->m.id == agt_id(a) ||
	    (d->hops >= PLACE_HOPS && a->leave_ns == 0)) {
		route_as_home(a, in, now);
		return;
	}
	if (d->hops == 0 && can_forward_to(a, owner, in->from)) {
		agt_forward(a, owner, d, 0, d->deadline_ms);
		return;
	}
	if ((d->flags & (DGRAM_PLACED | DGRAM_RETURNED)) != 0)
		flags = DGRAM_RETURNED;
	agt_forward(a, home->m.id, d, flags, d->deadline_ms);
}

/*
 * Whether an idle flow is better off at a peer: for a service that weighs
 * balance higher than flows that stay in place, when this target is the busier
 * one; otherwise only when the request would have to wait here, and the peer
 * would not become as busy by it.
 */
static bool
is_better_off(
    const struct agent *a, uint32_t own_requests, uint32_t peer_requests)
{
	uint32_t slots = a->cfg.service.slots;

	if (a->cfg.service.weigh == CFG_WEIGH_BALANCE)
		return own_requests > peer_requests;
	return own_requests >= slots && peer_requests + 1 < own_requests;
}

/*
 * Returns an idle flow to its home, which places it again, if it is better off
 * at a peer. Returns whether the flow was returned.
 */
static bool
return_to_home(
    struct agent *a, const struct incoming *in, struct flow *f, uint64_t now)
{
	const struct mbr_group *g;
	struct msg_datagram returned;
	struct incoming returned_in;
	uint32_t own_requests = exc_in_flight(a) + exc_queued(a);
	struct mbr_entry *best;

	if (!flow_is_idle(f, now))
		return false;
	if ((in->dgram->flags & (DGRAM_PLACED | DGRAM_RETURNED)) != 0)
		return false;
	g = mbr_group(a->members, in->dgram->flow.service);
	best =
	    load_choose(a->loads, g, &a->cfg.service, f->hash, agt_id(a), now);
	if (best == NULL || !is_better_off(a, own_requests,
				load_requests(a->loads, best->m.id)))
		return false;
	registry_release(a, f);
	ctr_inc(a->ctr, CTR_FLOWS_REPLACED);
	returned = *in->dgram;
	returned.flags = DGRAM_RETURNED;
	returned_in = *in;
	returned_in.dgram = &returned;
	returned_in.from = agt_id(a);
	route_to_home(a, &returned_in, now);
	return true;
}

static bool
is_reachable_incarnation(
    const struct agent *a, uint64_t id, uint64_t incarnation)
{
	struct mbr_entry *e = mbr_find(a->members, id);

	return e != NULL && e->m.incarnation == incarnation &&
	       mbr_is_reachable(e);
}

/*
 * A request with a permit goes to the permit's issuer, even if another agent
 * owns the flow by now.
 */
static bool
route_permit(struct agent *a, const struct incoming *in, uint64_t now)
{
	const struct msg_datagram *d = in->dgram;
	uint64_t id;
	uint64_t incarnation;

	if (in->request->kind != REQUEST_NON_IDEMPOTENT ||
	    !in->request->has_permit)
		return false;
	permit_get_issuer(in->request->permit, &id, &incarnation);
	if (id != agt_id(a) && is_reachable_incarnation(a, id, incarnation) &&
	    d->hops < HOPS_MAX) {
		agt_forward(a, id, d, DGRAM_PERMIT, d->deadline_ms);
		return true;
	}
	exc_handle_request(a, in, now);
	return true;
}

static bool
can_route_datagram(struct agent *a, const struct msg_datagram *d)
{
	if (d->flow.service != a->params.self.service) {
		ctr_inc(a->ctr, CTR_DROP_SERVICE);
		return false;
	}
	if (!a->cfg.known) {
		ctr_inc(a->ctr, CTR_DROP_NO_CONFIG);
		return false;
	}
	if (a->revalidating) {
		ctr_inc(a->ctr, CTR_DROP_PAUSED);
		return false;
	}
	if (d->hops > HOPS_MAX) {
		ctr_inc(a->ctr, CTR_DROP_HOPS);
		return false;
	}
	return true;
}

static void
refuse_too_large(struct agent *a, const struct incoming *in)
{
	struct reply_path path = agt_reply_path(in);
	struct reply r = {
	    .kind = REPLY_REFUSED, .reason = "body does not fit a datagram"};

	ctr_inc(a->ctr, CTR_REFUSE_SIZE);
	agt_reply(a, &path, &r);
}

static void
route(struct agent *a, const struct incoming *in, uint64_t now)
{
	const struct msg_datagram *d = in->dgram;
	struct flow *f = dir_find_flow(a->dir, &d->flow);
	bool notification_reply = in->request->kind == REQUEST_ACK ||
				  in->request->kind == REQUEST_RESET;

	if ((d->flags & (DGRAM_LOOKUP | DGRAM_LOOKUP_MISS)) == DGRAM_LOOKUP &&
	    f == NULL) {
		answer_new_home(a, in);
		return;
	}
	if (notification_reply) {
		if (feed_handle_ack_or_reset(a, &d->flow, in->request, now))
			send_hint(a, in);
		else
			route_to_home(a, in, now);
		return;
	}
	if (route_permit(a, in, now))
		return;
	if ((d->flags & DGRAM_RETRIED) != 0) {
		exc_handle_request(a, in, now);
		return;
	}
	if (f != NULL && a->leave_ns != 0 && flow_is_idle(f, now)) {
		registry_release(a, f);
		f = NULL;
	}
	if (f != NULL && !return_to_home(a, in, f, now))
		serve(a, in, f, now);
	else if (f != NULL)
		return;
	else if ((d->flags & DGRAM_PLACED) != 0 && a->leave_ns == 0 &&
		 a->target.up)
		own_and_serve(a, in, now);
	else
		route_to_home(a, in, now);
}

static void
answer_probe(struct agent *a, const struct incoming *in)
{
	struct reply_path path = agt_reply_path(in);
	struct reply r = {.kind = REPLY_RESET};

	agt_reply(a, &path, &r);
}

void
route_datagram(struct agent *a, const struct msg *m, uint64_t now)
{
	struct request r = {0};
	struct incoming in = {&m->u.datagram, &r, m->from};

	if (!can_route_datagram(a, in.dgram))
		return;
	if (!a->proto->read_request(in.dgram->bytes, &r)) {
		ctr_inc(a->ctr, CTR_DROP_MALFORMED);
		return;
	}
	if (r.kind == REQUEST_PROBE)
		answer_probe(a, &in);
	else if (r.too_large)
		refuse_too_large(a, &in);
	else
		route(a, &in, now);
}
