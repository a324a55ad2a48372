#include "request/agent_state.h"

/** Agents that one datagram may pass. */
#define HOPS_MAX 6
/** After a change of the members, how long a home asks the one before it. */
#define SETTLE_NS (3000 * NS_PER_MS)
/** Hops after which an agent places a flow whose home it is not. */
#define HOPS_PLACE 4

/* Let the balancer know the way, when the datagram came by a detour. */
static void
hint_back(struct agent *a, const struct arrival *in)
{
	struct msg m = {
	    .kind = MSG_HINT, .u.hint = {in->dgram->flow, agt_id(a)}};

	if (in->dgram->hops > 0)
		agt_send_addr(a, addr_unpack(in->dgram->via), &m);
}

static void
serve(struct agent *a, const struct arrival *in, struct flow *f, uint64_t now)
{
	if (f != NULL)
		dir_touch(a->dir, f, now);
	if (f != NULL)
		hint_back(a, in);
	exc_handle_request(a, in, now);
}

static void
adopt_and_serve(struct agent *a, const struct arrival *in, uint64_t now)
{
	struct flow *f = dir_flow(a->dir, &in->dgram->flow);
	struct origin o;

	if (f == NULL) {
		f = dir_adopt(a->dir, &in->dgram->flow, now);
		if (f != NULL)
			registry_claim(a, f, now);
	}
	if (f != NULL) {
		serve(a, in, f, now);
		return;
	}
	o = agt_origin(in);
	agt_not_run(a, &o, "too many flows", CTR_REFUSE_STATE);
}

static bool
owner_usable(const struct agent *a, uint64_t owner, uint64_t from)
{
	struct mbr_entry *e;

	if (owner == 0 || owner == from || owner == agt_id(a))
		return false;
	e = mbr_find(a->members, owner);
	return e != NULL && mbr_reachable(e) && e->m.phase != MBR_JOINING;
}

static void
place(struct agent *a, const struct arrival *in, uint64_t now)
{
	const struct msg_datagram *d = in->dgram;
	uint64_t hash = flow_hash(&d->flow);
	struct mbr_entry *e;

	e = load_choose(a->loads, mbr_group(a->members, d->flow.service),
	    &a->cfg.service, hash,
	    (d->flags & DGRAM_GIVEN_BACK) != 0 ? in->from : 0, now);
	if (e == NULL)
		e = mbr_home(a->members, d->flow.service, hash, 0);
	if (e == NULL) {
		ctr_inc(a->ctr, CTR_DROP_NO_MEMBER);
		return;
	}
	ctr_inc(a->ctr, CTR_PLACED);
	agt_set_owner(a, &d->flow, e->m.id);
	load_sent(a->loads, e->m.id, now);
	if (e->m.id == agt_id(a))
		adopt_and_serve(a, in, now);
	else
		agt_forward(a, e->m.id, d, DGRAM_PLACED, d->deadline_ms);
}

/*
 * Right after the members changed, the home before this one may know an owner
 * whose claim has not come here yet.
 */
static bool
ask_previous(struct agent *a, const struct arrival *in, uint64_t now)
{
	const struct mbr_group *g =
	    mbr_group(a->members, in->dgram->flow.service);
	uint64_t hash = flow_hash(&in->dgram->flow);
	struct mbr_entry *best = NULL;

	if ((in->dgram->flags & DGRAM_TOLD) != 0 ||
	    now > a->view_ns + SETTLE_NS)
		return false;
	for (size_t i = 0; i < g->count; i++) {
		struct mbr_entry *e = g->entries[i];

		if (e->m.id == agt_id(a) || !mbr_reachable(e) ||
		    e->m.phase == MBR_JOINING || e->m.health != MBR_OK)
			continue;
		if (best == NULL ||
		    mbr_rank(hash, e->m.id) > mbr_rank(hash, best->m.id))
			best = e;
	}
	return best != NULL &&
	       agt_forward(a, best->m.id, in->dgram,
		   in->dgram->flags | DGRAM_ASKED, in->dgram->deadline_ms);
}

static void
answer_asked(struct agent *a, const struct arrival *in)
{
	const struct msg_datagram *d = in->dgram;
	uint64_t owner = agt_owner(a, &d->flow);

	if (owner_usable(a, owner, in->from))
		agt_forward(a, owner, d, DGRAM_PLACED, d->deadline_ms);
	else
		agt_forward(
		    a, in->from, d, d->flags | DGRAM_TOLD, d->deadline_ms);
}

/* This agent answers for where the flow is. */
static void
route_as_home(struct agent *a, const struct arrival *in, uint64_t now)
{
	const struct msg_datagram *d = in->dgram;
	uint64_t owner = agt_owner(a, &d->flow);

	if (owner_usable(a, owner, in->from)) {
		agt_forward(a, owner, d, DGRAM_PLACED, d->deadline_ms);
		return;
	}
	if ((d->flags & DGRAM_GIVEN_BACK) == 0 && ask_previous(a, in, now))
		return;
	if (in->request->kind == REQUEST_ACK ||
	    in->request->kind == REQUEST_RESET)
		return;
	place(a, in, now);
}

static void
route_away(struct agent *a, const struct arrival *in, uint64_t now)
{
	const struct msg_datagram *d = in->dgram;
	uint64_t owner = agt_owner(a, &d->flow);
	struct mbr_entry *home;
	uint32_t bounce = 0;

	home = mbr_home(a->members, d->flow.service, flow_hash(&d->flow), 0);
	if ((d->flags & DGRAM_TOLD) != 0)
		home = NULL;
	if (home == NULL || home->m.id == agt_id(a) ||
	    (d->hops >= HOPS_PLACE && a->leave_ns == 0)) {
		route_as_home(a, in, now);
		return;
	}
	if (d->hops == 0 && owner_usable(a, owner, in->from)) {
		agt_forward(a, owner, d, 0, d->deadline_ms);
		return;
	}
	if ((d->flags & (DGRAM_PLACED | DGRAM_GIVEN_BACK)) != 0)
		bounce = DGRAM_GIVEN_BACK;
	agt_forward(a, home->m.id, d, bounce, d->deadline_ms);
}

/*
 * Where balance goes first, an idle flow on a busy target is given back to
 * its home, which places it afresh.
 */
static bool
give_back(
    struct agent *a, const struct arrival *in, struct flow *f, uint64_t now)
{
	const struct mbr_group *g;
	struct msg_datagram back;
	struct arrival again;
	uint32_t mine = exc_in_flight(a) + exc_queued(a);
	struct mbr_entry *best;

	if (a->cfg.service.weigh != CFG_WEIGH_BALANCE || !flow_idle(f, now))
		return false;
	if ((in->dgram->flags & (DGRAM_PLACED | DGRAM_GIVEN_BACK)) != 0)
		return false;
	g = mbr_group(a->members, in->dgram->flow.service);
	best =
	    load_choose(a->loads, g, &a->cfg.service, f->hash, agt_id(a), now);
	if (best == NULL || mine <= load_requests(a->loads, best->m.id))
		return false;
	registry_release(a, f);
	ctr_inc(a->ctr, CTR_REPLACED);
	back = *in->dgram;
	back.flags = DGRAM_GIVEN_BACK;
	again = *in;
	again.dgram = &back;
	again.from = agt_id(a);
	route_away(a, &again, now);
	return true;
}

static bool
instance_is(const struct agent *a, uint64_t id, uint64_t incarnation)
{
	struct mbr_entry *e = mbr_find(a->members, id);

	return e != NULL && e->m.incarnation == incarnation && mbr_reachable(e);
}

/* A permit goes to its issuer, whoever owns the flow by now. */
static bool
route_permit(struct agent *a, const struct arrival *in, uint64_t now)
{
	const struct msg_datagram *d = in->dgram;
	uint64_t id;
	uint64_t incarnation;

	if (in->request->kind != REQUEST_NON_IDEMPOTENT ||
	    !in->request->has_permit)
		return false;
	permit_get_issuer(in->request->permit, &id, &incarnation);
	if (id != agt_id(a) && instance_is(a, id, incarnation) &&
	    d->hops < HOPS_MAX) {
		agt_forward(a, id, d, DGRAM_PERMIT, d->deadline_ms);
		return true;
	}
	exc_handle_request(a, in, now);
	return true;
}

static bool
admits_datagram(struct agent *a, const struct msg_datagram *d)
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
refuse_large(struct agent *a, const struct arrival *in)
{
	struct origin o = agt_origin(in);
	struct reply r = {
	    .kind = REPLY_REFUSED, .reason = "body does not fit a datagram"};

	ctr_inc(a->ctr, CTR_REFUSE_SIZE);
	agt_reply(a, &o, &r);
}

static void
route(struct agent *a, const struct arrival *in, uint64_t now)
{
	const struct msg_datagram *d = in->dgram;
	struct flow *f = dir_flow(a->dir, &d->flow);
	bool word = in->request->kind == REQUEST_ACK ||
		    in->request->kind == REQUEST_RESET;

	if ((d->flags & (DGRAM_ASKED | DGRAM_TOLD)) == DGRAM_ASKED &&
	    f == NULL) {
		answer_asked(a, in);
		return;
	}
	if (word) {
		if (feed_handle_ack_or_reset(a, &d->flow, in->request, now))
			hint_back(a, in);
		else
			route_away(a, in, now);
		return;
	}
	if (route_permit(a, in, now))
		return;
	if ((d->flags & DGRAM_RETRIED) != 0) {
		exc_handle_request(a, in, now);
		return;
	}
	if (f != NULL && a->leave_ns != 0 && flow_idle(f, now)) {
		registry_release(a, f);
		f = NULL;
	}
	if (f != NULL && !give_back(a, in, f, now))
		serve(a, in, f, now);
	else if (f != NULL)
		return;
	else if ((d->flags & DGRAM_PLACED) != 0 && a->leave_ns == 0 &&
		 a->target.up)
		adopt_and_serve(a, in, now);
	else
		route_away(a, in, now);
}

static void
answer_probe(struct agent *a, const struct arrival *in)
{
	struct origin o = agt_origin(in);
	struct reply r = {.kind = REPLY_RESET};

	agt_reply(a, &o, &r);
}

void
route_datagram(struct agent *a, const struct msg *m, uint64_t now)
{
	struct request r = {0};
	struct arrival in = {&m->u.datagram, &r, m->from};

	if (!admits_datagram(a, in.dgram))
		return;
	if (!a->proto->read_request(in.dgram->bytes, &r)) {
		ctr_inc(a->ctr, CTR_DROP_MALFORMED);
		return;
	}
	if (r.kind == REQUEST_PROBE)
		answer_probe(a, &in);
	else if (r.too_large)
		refuse_large(a, &in);
	else
		route(a, &in, now);
}
