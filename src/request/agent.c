#include "request/agent.h"

#include "request/agent_state.h"
#include "request/subscription.h"

#include <stdlib.h>
#include <string.h>

/** Time that a joining agent collects claims before it becomes a home. */
#define JOIN_DELAY_NS (1500 * NS_PER_MS)
/** Interval of load reports to peers while the load changes. */
#define LOAD_INTERVAL_NS (200 * NS_PER_MS)
/** Interval of load reports to peers while the load is constant. */
#define LOAD_IDLE_INTERVAL_NS (1000 * NS_PER_MS)
/** Most peers that one load report is sent to. */
#define LOAD_FANOUT 16
/** Window over which the request rate is measured. */
#define RATE_WINDOW_NS (1000 * NS_PER_MS)
/** Slow start: a newly active target's share grows from 20 % to 100 %. */
#define SLOW_START_NS (5000 * NS_PER_MS)
/** Interval of probes of the target. */
#define PROBE_INTERVAL_NS (500 * NS_PER_MS)
/** A target that has sent nothing for this long counts as down. */
#define TARGET_TIMEOUT_NS (2000 * NS_PER_MS)
/** Interval of passes over all feeds and flows. */
#define SLOW_TICK_INTERVAL_NS (100 * NS_PER_MS)
/** Longest duration of a graceful stop. */
#define DRAIN_MAX_NS (60 * NS_PER_S)
/** Time between the first and the last heartbeat that announces MBR_LEFT. */
#define LEFT_ANNOUNCE_NS (300 * NS_PER_MS)

uint64_t
agt_id(const struct agent *a)
{
	return a->params.self.id;
}

const struct mbr_table *
agt_members(const struct agent *a)
{
	return a->members;
}

void
agt_send_addr(struct agent *a, struct addr to, struct msg *m)
{
	const struct member *self = mbr_self(a->members);

	m->from = self->id;
	m->incarnation = self->incarnation;
	a->ops.send_node(a->ops.ctx, to, m);
}

bool
agt_send(struct agent *a, uint64_t id, struct msg *m)
{
	struct mbr_entry *e = mbr_find(a->members, id);

	if (e == NULL || !mbr_is_reachable(e))
		return false;
	agt_send_addr(a, e->m.addr, m);
	return true;
}

uint64_t
agt_flow_owner(const struct agent *a, const struct flow_key *key)
{
	struct owner o = dir_get_owner(a->dir, key);
	struct mbr_entry *e = o.id == 0 ? NULL : mbr_find(a->members, o.id);

	/* A restarted instance has lost the flows that it owned before. */
	if (e == NULL || e->m.incarnation != o.incarnation || o.withdrawn)
		return 0;
	return o.id;
}

void
agt_set_flow_owner(struct agent *a, const struct flow_key *key, uint64_t owner)
{
	struct mbr_entry *e = mbr_find(a->members, owner);
	struct owner o = dir_get_owner(a->dir, key);

	if (e == NULL)
		return;
	/*
	 * Placing a flow is not a registration by its owner, so the seq of the
	 * owner's last registration is kept.
	 */
	if (o.id != owner || o.incarnation != e->m.incarnation)
		o = (struct owner){
		    .id = owner, .incarnation = e->m.incarnation};
	o.withdrawn = false;
	dir_set_owner(a->dir, key, o);
}

struct reply_path
agt_reply_path(const struct incoming *in)
{
	return (struct reply_path){
	    .flow = in->dgram->flow,
	    .via = in->dgram->via,
	    .mid = in->request->mid,
	    .token = in->request->token,
	    .confirmable = in->request->confirmable,
	};
}

uint16_t
agt_next_target_mid(struct agent *a)
{
	return a->target.next_mid++;
}

void
agt_send_caller(struct agent *a, const struct flow_key *flow, uint64_t via,
    struct str bytes, unsigned attempt)
{
	struct msg m = {
	    .kind = MSG_ANSWER, .u.answer = {.flow = *flow, .bytes = bytes}};

	if (via != 0) {
		agt_send_addr(a, addr_unpack(via), &m);
		return;
	}
	for (size_t i = 0; i < a->watch.count; i++) {
		size_t w = (i + attempt) % a->watch.count;
		uint64_t silent = a->last_event_ns - a->watch.pong_ns[w];

		if (silent > WATCHER_TIMEOUT_NS && i + 1 < a->watch.count)
			continue;
		if (agt_send(a, a->watch.ids[w], &m))
			return;
	}
}

void
agt_reply(struct agent *a, const struct reply_path *path, struct reply *r)
{
	uint8_t buf[MSG_DATAGRAM_MAX + 64];
	size_t n;

	r->type = path->confirmable ? REPLY_BY_ACK : REPLY_BY_NON;
	r->mid = path->mid;
	r->token = path->token;
	n = a->proto->write_reply(r, buf, sizeof(buf));
	if (n > 0)
		agt_send_caller(
		    a, &path->flow, path->via, (struct str){(char *)buf, n}, 0);
}

void
agt_reply_not_run(struct agent *a, const struct reply_path *path,
    const char *reason, enum counter ctr)
{
	struct reply r = {.kind = REPLY_NOT_RUN, .reason = reason};

	ctr_inc(a->ctr, ctr);
	agt_reply(a, path, &r);
}

void
agt_reply_unknown(struct agent *a, const struct reply_path *path,
    const char *reason, enum counter ctr)
{
	struct reply r = {.kind = REPLY_OUTCOME_UNKNOWN, .reason = reason};

	ctr_inc(a->ctr, ctr);
	agt_reply(a, path, &r);
}

bool
agt_forward(struct agent *a, uint64_t id, const struct msg_datagram *d,
    uint32_t flags, uint32_t deadline_ms)
{
	struct msg m = {.kind = MSG_DATAGRAM, .u.datagram = *d};

	m.u.datagram.hops = d->hops + 1;
	m.u.datagram.flags = flags;
	m.u.datagram.deadline_ms = deadline_ms;
	if (!agt_send(a, id, &m))
		return false;
	ctr_inc(a->ctr, CTR_FORWARDED);
	return true;
}

bool
agt_can_start_request(const struct agent *a, uint64_t now)
{
	if (a->leave_ns == 0)
		return true;
	return now <
	       a->leave_ns + (uint64_t)a->cfg.service.leave_ms * NS_PER_MS;
}

struct agent *
agt_new(const struct agt_params *params, const struct proto *proto,
    const struct agt_ops *ops, struct rng *rng, struct counters *ctr,
    uint64_t now)
{
	struct agent *a = mem_new(sizeof(*a));
	struct member self = params->self;

	a->params = *params;
	a->proto = proto;
	a->ops = *ops;
	a->rng = rng;
	a->ctr = ctr;
	self.phase = MBR_JOINING;
	self.role = MBR_AGENT;
	a->members = mbr_new(&self, ctr);
	a->dir = dir_new(params->flow_capacity, ctr);
	a->loads = load_view_new();
	a->permits = permit_table_new(
	    self.id, self.incarnation, rng, params->permit_capacity);
	a->exchanges = exc_table_new((uint32_t)rng_next(rng) | 1);
	a->feeds = feed_table_new();
	a->sources = subscription_table_new();
	budget_init(&a->budget);
	a->start_ns = now;
	a->last_event_ns = now;
	a->watch.stamp = 1;
	a->target.next_mid = (uint16_t)rng_next(rng);
	return a;
}

void
agt_free(struct agent *a)
{
	if (a == NULL)
		return;
	feed_table_free(a->feeds);
	subscription_table_free(a->sources);
	exc_table_free(a->exchanges);
	permit_table_free(a->permits);
	load_view_free(a->loads);
	dir_free(a->dir);
	mbr_free(a->members);
	free(a);
}

/* ---- load reports ---- */

static void
measure_load(struct agent *a, struct msg_load *l, uint64_t now)
{
	uint64_t warm = now - a->active_ns;

	if (now >= a->load.window_ns + RATE_WINDOW_NS) {
		a->load.rate = (a->load.rate * 3 + a->load.started * 16) / 4;
		a->load.started = 0;
		a->load.window_ns = now;
	}
	*l = (struct msg_load){
	    .in_flight = exc_in_flight(a),
	    .queued = exc_queued(a),
	    .flows = (uint32_t)dir_flow_count(a->dir),
	    .rate = a->load.rate,
	    .permille = 1000,
	};
	if (a->active_ns != 0 && warm < SLOW_START_NS)
		l->permille = (uint32_t)(200 + 800 * warm / SLOW_START_NS);
}

static void
report_load(struct agent *a, uint64_t now)
{
	const struct mbr_group *g =
	    mbr_group(a->members, a->params.self.service);
	struct msg m = {.kind = MSG_LOAD};
	size_t start;
	size_t sent = 0;
	bool changed;

	measure_load(a, &m.u.load, now);
	load_report(a->loads, agt_id(a), &m.u.load, now);
	if (now < a->load.sent_ns + LOAD_INTERVAL_NS)
		return;
	changed = memcmp(&m.u.load, &a->load.last, sizeof(m.u.load)) != 0;
	if (!changed && now < a->load.sent_ns + LOAD_IDLE_INTERVAL_NS)
		return;
	a->load.sent_ns = now;
	a->load.last = m.u.load;
	start = rng_below(a->rng, g->count);
	for (size_t i = 0; i < g->count && sent < LOAD_FANOUT; i++) {
		struct mbr_entry *e = g->entries[(start + i) % g->count];

		if (e->m.id == agt_id(a) || !mbr_is_reachable(e))
			continue;
		agt_send(a, e->m.id, &m);
		sent++;
	}
}

/* ---- target ---- */

static void
send_empty(struct agent *a, struct target_message *out)
{
	uint8_t buf[MSG_DATAGRAM_MAX];
	size_t n;

	out->empty = true;
	n = a->proto->write_target_message(out, buf, sizeof(buf));
	if (n > 0)
		a->ops.send_target(a->ops.ctx, (struct str){(char *)buf, n});
}

static void
probe_target(struct agent *a, uint64_t now)
{
	struct target_message out = {.probe = true};

	if (now >= a->target.probe_ns + PROBE_INTERVAL_NS) {
		a->target.probe_ns = now;
		out.mid = agt_next_target_mid(a);
		send_empty(a, &out);
	}
	if (a->target.up &&
	    now > a->target.last_datagram_ns + TARGET_TIMEOUT_NS) {
		a->target.up = false;
		if (mbr_self(a->members)->phase == MBR_ACTIVE)
			mbr_set_phase(a->members, MBR_JOINING, now);
	}
}

void
agt_handle_target_datagram(struct agent *a, struct str dgram, uint64_t now)
{
	struct answer ans = {0};
	struct target_message out = {0};
	bool matched;

	heartbeat_detect_pause(a, now);
	a->target.last_datagram_ns = now;
	if (!a->target.up)
		subscription_handle_target_up(a);
	a->target.up = true;
	if (!a->proto->read_answer(dgram, &ans)) {
		ctr_inc(a->ctr, CTR_DROP_MALFORMED);
		return;
	}
	if (ans.kind == ANSWER_ACK)
		exc_handle_ack(a, ans.mid);
	if (ans.kind != ANSWER_RESPONSE)
		return;
	matched = exc_handle_answer(a, &ans, dgram, now) ||
		  subscription_handle_answer(a, &ans, dgram, now);
	if (!matched)
		ctr_inc(a->ctr, CTR_TARGET_LATE);
	/* A RST makes the target end a registration that is unused here. */
	out.mid = ans.mid;
	out.reset = !matched && ans.has_observe;
	if (ans.confirmable || out.reset)
		send_empty(a, &out);
}

/* ---- joining and leaving ---- */

static void
join_when_ready(struct agent *a, uint64_t now)
{
	if (mbr_self(a->members)->phase != MBR_JOINING || a->leave_ns != 0)
		return;
	if (!a->target.up || !a->cfg.known || a->first_pong_ns == 0)
		return;
	if (a->revalidating || now < a->first_pong_ns + JOIN_DELAY_NS)
		return;
	mbr_set_phase(a->members, MBR_ACTIVE, now);
	a->active_ns = now;
	a->watch.ping_ns = 0;
}

struct drain_check {
	uint64_t now;
	bool any_busy;
};

static void
check_flow_busy(void *ctx, struct flow *f)
{
	struct drain_check *b = ctx;

	if (!flow_is_idle(f, b->now))
		b->any_busy = true;
}

static bool
is_drained(struct agent *a, uint64_t now)
{
	struct drain_check b = {now, false};

	if (now > a->leave_ns + DRAIN_MAX_NS)
		return true;
	if (exc_in_flight(a) > 0 || exc_queued(a) > 0)
		return false;
	if (feed_count(a->feeds, NULL) > 0)
		return false;
	if (permit_count_unused(a->permits, now) > 0)
		return false;
	dir_each_flow(a->dir, check_flow_busy, &b);
	return !b.any_busy;
}

static void
leave_when_drained(struct agent *a, uint64_t now)
{
	if (a->leave_ns == 0 || a->stopped)
		return;
	if (a->left_ns == 0) {
		if (!is_drained(a, now))
			return;
		mbr_set_phase(a->members, MBR_LEFT, now);
		a->left_ns = now;
		heartbeat_send_all(a, now);
		return;
	}
	if (now > a->left_ns + LEFT_ANNOUNCE_NS) {
		heartbeat_send_all(a, now);
		a->stopped = true;
	}
}

void
agt_leave(struct agent *a, uint64_t now)
{
	heartbeat_detect_pause(a, now);
	if (a->leave_ns != 0)
		return;
	a->leave_ns = now;
	mbr_set_phase(a->members, MBR_LEAVING, now);
	heartbeat_send_all(a, now);
}

bool
agt_is_stopped(const struct agent *a)
{
	return a->stopped;
}

void
agt_tick(struct agent *a, uint64_t now)
{
	heartbeat_detect_pause(a, now);
	mbr_tick(a->members, now);
	heartbeat_tick(a, now);
	probe_target(a, now);
	join_when_ready(a, now);
	exc_tick(a, now);
	if (now >= a->slow_tick_ns + SLOW_TICK_INTERVAL_NS) {
		a->slow_tick_ns = now;
		feed_tick(a, now);
		subscription_tick(a, now);
		registry_tick(a, now);
	}
	report_load(a, now);
	permit_drop_expired(a->permits, now);
	leave_when_drained(a, now);
}

void
agt_handle_message(struct agent *a, const struct msg *m, uint64_t now)
{
	heartbeat_detect_pause(a, now);
	switch (m->kind) {
	case MSG_DATAGRAM:
		route_datagram(a, m, now);
		break;
	case MSG_REGISTER:
		registry_handle_message(a, m, now);
		break;
	case MSG_LOAD:
		load_report(a->loads, m->from, &m->u.load, now);
		break;
	case MSG_HANDOVER:
		feed_handle_handover(a, m->from, &m->u.handover, now);
		break;
	case MSG_HANDOVER_ACK:
		feed_handle_handover_ack(a, m->from, &m->u.handover_ack, now);
		break;
	case MSG_PONG:
	case MSG_RECORDS:
		heartbeat_handle_records(a, m, now);
		break;
	case MSG_ANSWER:
	case MSG_HINT:
	case MSG_PING:
	case MSG_SYNC:
		ctr_inc(a->ctr, CTR_DROP_KIND);
		break;
	}
}

void
agt_get_status(const struct agent *a, struct agt_status *out)
{
	*out = (struct agt_status){
	    .version = a->cfg.version,
	    .phase = mbr_self(a->members)->phase,
	    .target_up = a->target.up,
	    .in_flight = exc_in_flight(a),
	    .queued = exc_queued(a),
	    .flows = dir_flow_count(a->dir),
	    .entries = dir_owner_count(a->dir),
	    .permits = permit_count(a->permits),
	    .retries = a->budget.retries,
	    .successes = a->budget.successes,
	    .last_request_start_ns = a->last_start_ns,
	    .leave_ns = a->leave_ns,
	};
	out->feeds = feed_count(a->feeds, &out->copies);
}
