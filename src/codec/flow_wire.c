#include "codec/flow_wire.h"

#include "codec/flow.pb-c.h"

#include <string.h>

#define WIRE_VERSION 1

/* ---- encoding ---- */

static Pwf__Agent
agent_to_pb(const struct msg_agent *a)
{
	Pwf__Agent out = PWF__AGENT__INIT;

	out.service = a->service;
	out.domain = (char *)(uintptr_t)a->domain;
	out.data_port = a->data_port;
	out.state = a->state;
	out.cold_ms = a->cold_ms;
	out.slots = a->slots;
	out.busy_milli = a->busy_milli;
	out.waiting = a->waiting;
	out.flows = a->flows;
	out.failing = a->failing;
	out.period_ms = a->period_ms;
	out.peers = a->peers;
	out.ask = a->ask;
	out.gone = a->gone;
	out.version = a->version;
	out.work_us = a->work_us;
	out.work_samples = a->work_samples;
	out.queued = a->queued;
	out.evacuation = a->evacuation;
	out.limits = a->limits;
	out.n_by_priority = a->by_priority.count;
	out.by_priority = (uint32_t *)(uintptr_t)a->by_priority.requests;
	return out;
}

static Pwf__Balancer
balancer_to_pb(const struct msg_balancer *b)
{
	Pwf__Balancer out = PWF__BALANCER__INIT;

	out.domain = (char *)(uintptr_t)b->domain;
	out.version = b->version;
	out.peers = b->peers;
	out.leaving = b->leaving;
	out.agents = b->agents;
	out.agent_set = b->agent_set;
	out.near_agents = b->near_agents;
	out.near_set = b->near_set;
	out.whole = b->whole;
	out.ask = b->ask;
	out.settled = b->settled;
	out.store_era = b->store_era;
	out.capacity = b->capacity;
	out.watch_ok = b->watch_ok;
	out.evacuation = b->evacuation;
	out.n_evacuated = b->evacuated_count;
	out.evacuated = (uint32_t *)(uintptr_t)b->evacuated;
	out.limits = b->limits;
	out.cold_per_s_milli = b->cold_per_s_milli;
	return out;
}

/* Earlier versions drop messages with a reason that they do not know. */
static uint32_t
refusal_for_earlier_versions(enum flow_refusal r)
{
	switch (r) {
	case FLOW_REFUSED_EVACUATED:
		return FLOW_REFUSED_LEAVING;
	case FLOW_REFUSED_COLD:
		return FLOW_REFUSED_FULL;
	default:
		return r;
	}
}

static Pwf__Flow
flow_to_pb(const struct msg_flow *f)
{
	Pwf__Flow out = PWF__FLOW__INIT;

	out.caller = f->flow.caller;
	out.service = f->flow.service;
	out.ack = f->ack;
	out.refusal = refusal_for_earlier_versions(f->refusal);
	out.reason = f->refusal;
	out.work_us = f->work_us;
	out.work_samples = f->work_samples;
	out.queued = f->queued;
	out.n_by_priority = f->by_priority.count;
	out.by_priority = (uint32_t *)(uintptr_t)f->by_priority.requests;
	out.busy_milli = f->busy_milli;
	out.flows = f->flows;
	out.failing = f->failing;
	out.packet.len = f->bytes.len;
	out.packet.data = (uint8_t *)(uintptr_t)f->bytes.p;
	return out;
}

static size_t
pack_frame(const Pwf__Envelope *env, uint8_t *buf, size_t cap)
{
	size_t len = pwf__envelope__get_packed_size(env);

	if (len + 1 > cap)
		return 0;
	buf[0] = WIRE_VERSION;
	return pwf__envelope__pack(env, buf + 1) + 1;
}

static size_t
encode_peers(
    Pwf__Envelope *env, const struct msg_peers *list, uint8_t *buf, size_t cap)
{
	Pwf__Peers peers = PWF__PEERS__INIT;
	Pwf__Peer items[FLOW_PEERS_MAX];
	Pwf__Peer *refs[FLOW_PEERS_MAX];
	size_t len;

	for (uint32_t i = 0; i < list->count; i++) {
		pwf__peer__init(&items[i]);
		items[i].id = list->peers[i].id;
		items[i].age_ms = list->peers[i].age_ms;
		items[i].domain = list->peers[i].domain;
		refs[i] = &items[i];
	}
	peers.agents = list->agents;
	peers.same = list->same;
	peers.sample = list->sample;
	peers.near = list->near;
	peers.n_peers = list->count;
	peers.peers = refs;
	env->body_case = PWF__ENVELOPE__BODY_PEERS;
	env->peers = &peers;
	len = pack_frame(env, buf, cap);
	env->peers = NULL;
	return len;
}

static size_t
encode_find(
    Pwf__Envelope *env, const struct msg_find *list, uint8_t *buf, size_t cap)
{
	Pwf__Find find = PWF__FIND__INIT;
	Pwf__Found items[FLOW_FIND_MAX];
	Pwf__Found *refs[FLOW_FIND_MAX];
	size_t len;

	for (uint32_t i = 0; i < list->count; i++) {
		pwf__found__init(&items[i]);
		items[i].caller = list->flows[i].flow.caller;
		items[i].service = list->flows[i].flow.service;
		items[i].ack = list->flows[i].ack;
		items[i].where = list->flows[i].where;
		items[i].owner = list->flows[i].owner;
		items[i].probed_ms = list->flows[i].probed_ms;
		refs[i] = &items[i];
	}
	find.n_flows = list->count;
	find.flows = refs;
	env->body_case = PWF__ENVELOPE__BODY_FIND;
	env->find = &find;
	len = pack_frame(env, buf, cap);
	env->find = NULL;
	return len;
}

size_t
flow_wire_encode(const struct flow_msg *m, uint8_t *buf, size_t cap)
{
	Pwf__Envelope env = PWF__ENVELOPE__INIT;
	Pwf__Agent agent;
	Pwf__Balancer balancer;
	Pwf__Flow flow;

	env.kind = m->kind;
	env.from = m->from;
	env.incarnation = m->incarnation;
	env.sequence = m->sequence;
	switch (m->kind) {
	case FLOW_MSG_AGENT:
		agent = agent_to_pb(&m->u.agent);
		env.body_case = PWF__ENVELOPE__BODY_AGENT;
		env.agent = &agent;
		break;
	case FLOW_MSG_BALANCER:
		balancer = balancer_to_pb(&m->u.balancer);
		env.body_case = PWF__ENVELOPE__BODY_BALANCER;
		env.balancer = &balancer;
		break;
	case FLOW_MSG_PEERS:
		return encode_peers(&env, &m->u.peers, buf, cap);
	case FLOW_MSG_FIND:
	case FLOW_MSG_FOUND:
		return encode_find(&env, &m->u.find, buf, cap);
	case FLOW_MSG_ACCEPTED:
	case FLOW_MSG_REFUSED:
	case FLOW_MSG_NOT_HELD:
		flow = flow_to_pb(&m->u.flow);
		env.body_case = PWF__ENVELOPE__BODY_FLOW;
		env.flow = &flow;
		break;
	}
	return pack_frame(&env, buf, cap);
}

/* ---- decoding ---- */

static void *
arena_alloc(void *ctx, size_t size)
{
	struct flow_arena *a = ctx;
	size_t start = (a->used + 15) & ~(size_t)15;

	if (start + size > sizeof(a->mem))
		return NULL;
	a->used = start + size;
	return a->mem + start;
}

static void
arena_free(void *ctx, void *p)
{
	(void)ctx;
	(void)p;
}

/* Lower priorities than the last one that is told apart are left out. */
static struct priority_load
priority_load_from_pb(size_t count, const uint32_t *requests)
{
	struct priority_load out = {0};

	out.count = count < FLOW_PRIORITIES ? (uint32_t)count : FLOW_PRIORITIES;
	for (uint32_t i = 0; i < out.count; i++)
		out.requests[i] = requests[i];
	return out;
}

static bool
agent_from_pb(const Pwf__Agent *a, struct msg_agent *out)
{
	if (a == NULL || a->state >= TARGET_STATES || a->data_port > UINT16_MAX)
		return false;
	out->service = a->service;
	str_copy(out->domain, sizeof(out->domain), str_of(a->domain));
	out->data_port = (uint16_t)a->data_port;
	out->state = (enum target_state)a->state;
	out->cold_ms = a->cold_ms;
	out->slots = a->slots;
	out->busy_milli = a->busy_milli;
	out->waiting = a->waiting;
	out->flows = a->flows;
	out->failing = a->failing;
	out->period_ms = a->period_ms;
	out->peers = a->peers;
	out->ask = a->ask;
	out->gone = a->gone;
	out->version = a->version;
	out->work_us = a->work_us;
	out->work_samples = a->work_samples;
	out->queued = a->queued;
	out->evacuation = a->evacuation;
	out->limits = a->limits;
	out->by_priority =
	    priority_load_from_pb(a->n_by_priority, a->by_priority);
	return true;
}

static bool
balancer_from_pb(const Pwf__Balancer *b, struct msg_balancer *out)
{
	if (b == NULL || b->n_evacuated > FLOW_EVACUATED_MAX)
		return false;
	str_copy(out->domain, sizeof(out->domain), str_of(b->domain));
	out->version = b->version;
	out->peers = b->peers;
	out->leaving = b->leaving;
	out->agents = b->agents;
	out->agent_set = b->agent_set;
	out->near_agents = b->near_agents;
	out->near_set = b->near_set;
	out->whole = b->whole;
	out->ask = b->ask;
	out->settled = b->settled;
	out->store_era = b->store_era;
	out->capacity = b->capacity;
	out->watch_ok = b->watch_ok;
	out->evacuation = b->evacuation;
	out->evacuated_count = (uint32_t)b->n_evacuated;
	for (size_t i = 0; i < b->n_evacuated; i++)
		out->evacuated[i] = b->evacuated[i];
	out->limits = b->limits;
	out->cold_per_s_milli = b->cold_per_s_milli;
	return true;
}

static bool
peers_from_pb(const Pwf__Peers *list, struct msg_peers *out)
{
	if (list == NULL || list->n_peers > FLOW_PEERS_MAX)
		return false;
	out->agents = list->agents;
	out->same = list->same;
	out->sample = list->sample;
	out->near = list->near;
	out->count = (uint32_t)list->n_peers;
	for (size_t i = 0; i < list->n_peers; i++)
		out->peers[i] = (struct msg_peer){list->peers[i]->id,
		    list->peers[i]->age_ms, list->peers[i]->domain};
	return true;
}

static bool
find_from_pb(const Pwf__Find *list, struct msg_find *out)
{
	if (list == NULL || list->n_flows > FLOW_FIND_MAX)
		return false;
	out->count = (uint32_t)list->n_flows;
	for (size_t i = 0; i < list->n_flows; i++) {
		const Pwf__Found *f = list->flows[i];

		if (f->where > FIND_PENDING)
			return false;
		out->flows[i].flow = (struct flow_key){f->caller, f->service};
		out->flows[i].ack = f->ack;
		out->flows[i].where = (enum find_result)f->where;
		out->flows[i].owner = f->owner;
		out->flows[i].probed_ms = f->probed_ms;
	}
	return true;
}

static bool
flow_from_pb(const Pwf__Flow *f, struct msg_flow *out)
{
	if (f == NULL || f->refusal >= FLOW_REFUSALS ||
	    f->packet.len > FLOW_PACKET_MAX)
		return false;
	out->flow = (struct flow_key){f->caller, f->service};
	out->ack = f->ack;
	out->refusal = (enum flow_refusal)(
	    f->reason > 0 && f->reason < FLOW_REFUSALS ? f->reason
						       : f->refusal);
	out->work_us = f->work_us;
	out->work_samples = f->work_samples;
	out->queued = f->queued;
	out->by_priority =
	    priority_load_from_pb(f->n_by_priority, f->by_priority);
	out->busy_milli = f->busy_milli;
	out->flows = f->flows;
	out->failing = f->failing;
	out->bytes = (struct str){(char *)f->packet.data, f->packet.len};
	return true;
}

static bool
body_from_pb(const Pwf__Envelope *env, struct flow_msg *out)
{
	switch (out->kind) {
	case FLOW_MSG_AGENT:
		return env->body_case == PWF__ENVELOPE__BODY_AGENT &&
		       agent_from_pb(env->agent, &out->u.agent);
	case FLOW_MSG_BALANCER:
		return env->body_case == PWF__ENVELOPE__BODY_BALANCER &&
		       balancer_from_pb(env->balancer, &out->u.balancer);
	case FLOW_MSG_PEERS:
		return env->body_case == PWF__ENVELOPE__BODY_PEERS &&
		       peers_from_pb(env->peers, &out->u.peers);
	case FLOW_MSG_FIND:
	case FLOW_MSG_FOUND:
		return env->body_case == PWF__ENVELOPE__BODY_FIND &&
		       find_from_pb(env->find, &out->u.find);
	case FLOW_MSG_ACCEPTED:
	case FLOW_MSG_REFUSED:
	case FLOW_MSG_NOT_HELD:
		return env->body_case == PWF__ENVELOPE__BODY_FLOW &&
		       flow_from_pb(env->flow, &out->u.flow);
	}
	return false;
}

bool
flow_wire_decode(
    struct str frame, struct flow_arena *arena, struct flow_msg *out)
{
	ProtobufCAllocator alloc = {arena_alloc, arena_free, arena};
	const Pwf__Envelope *env;

	if (frame.len < 2 || frame.p[0] != WIRE_VERSION)
		return false;
	arena->used = 0;
	env = pwf__envelope__unpack(
	    &alloc, frame.len - 1, (const uint8_t *)frame.p + 1);
	if (env == NULL || env->kind < FLOW_MSG_AGENT ||
	    env->kind > FLOW_MSG_NOT_HELD || env->from == 0)
		return false;
	out->kind = (enum flow_msg_kind)env->kind;
	out->from = env->from;
	out->incarnation = env->incarnation;
	out->sequence = env->sequence;
	return body_from_pb(env, out);
}
