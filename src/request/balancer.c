#include "request/balancer.h"

#include "base/clock.h"
#include "decide/hints.h"

#include <stdlib.h>
#include <string.h>

/** Time without any event after which this process counts as paused. */
#define PAUSE_MIN_NS (1000 * NS_PER_MS)
/** Interval of anti-entropy rounds. */
#define SYNC_INTERVAL_NS (500 * NS_PER_MS)
/** Interval of anti-entropy rounds while joining. */
#define SYNC_JOIN_INTERVAL_NS (100 * NS_PER_MS)
/** Unanswered rounds after which a balancer is suspected. */
#define SYNC_MISSES_MAX 3
/** A joining balancer becomes active after this even if it never synced. */
#define JOIN_TIMEOUT_NS (5000 * NS_PER_MS)
/** Interval of sends of changed records. */
#define RUMOR_INTERVAL_NS (200 * NS_PER_MS)
/** Balancers that changed records are sent to at a time. */
#define RUMOR_FANOUT 2
/** Most records sent in response to one differing digest. */
#define REPAIR_MAX 128
/** Balancers that a new version is announced to at once. */
#define ANNOUNCE_FANOUT 3
/** Most balancers listed to an agent that asks for peers. */
#define PEER_LIST_MAX 8
/** Bytes charged to the control budget for one record. */
#define RECORD_BYTES ((size_t)72)
/** Bytes charged to the control budget for a message without records. */
#define FRAME_BYTES ((size_t)64)
/** Interval of passes over all members. */
#define MEMBERS_TICK_NS (200 * NS_PER_MS)
/** Rounds between requests to the seeds, for few balancers. */
#define SEED_ROUNDS 20
/** Each such number of balancers adds SEED_ROUNDS to that interval. */
#define SEED_STEP_BALANCERS 8

/** A balancer. Fields in _ns are times of the clock that is passed as now. */
struct balancer {
	struct bal_params params;
	struct bal_ops ops;
	struct rng *rng;
	struct counters *ctr;
	struct mbr_table *members;
	struct hint_cache *hints;
	struct cfg cfg;
	struct cfg previous;
	uint64_t last_event_ns; /**< last call of an entry point */
	uint64_t sync_ns;	/**< last anti-entropy round */
	uint64_t rumor_ns;	/**< last send of changed records */
	uint64_t members_ns;	/**< last pass over all members */
	uint64_t tick_ns;	/**< last refill of tokens */
	uint64_t probe_id;	/**< balancer whose answer is awaited, or 0 */
	unsigned probe_misses;	/**< rounds that it has not answered */
	unsigned rounds;
	uint64_t tokens; /**< token bucket of gossip, in bytes */
	uint64_t start_ns;
	bool synced; /**< has had the same members as another balancer */
	bool leaving;
};

struct balancer *
bal_new(const struct bal_params *params, const struct bal_ops *ops,
    struct rng *rng, struct counters *ctr, uint64_t now)
{
	struct balancer *b = mem_new(sizeof(*b));
	struct member self = params->self;

	b->params = *params;
	b->ops = *ops;
	b->rng = rng;
	b->ctr = ctr;
	self.phase = MBR_JOINING;
	self.role = MBR_BALANCER;
	self.service = 0;
	b->members = mbr_new(&self, ctr);
	b->hints = hint_new(params->hint_capacity);
	b->last_event_ns = now;
	b->start_ns = now;
	b->tokens = params->control_budget;
	return b;
}

void
bal_free(struct balancer *b)
{
	if (b == NULL)
		return;
	mbr_free(b->members);
	hint_free(b->hints);
	cfg_clear(&b->cfg);
	cfg_clear(&b->previous);
	free(b);
}

const struct cfg *
bal_config(const struct balancer *b)
{
	return &b->cfg;
}

struct str
bal_previous_config(const struct balancer *b, uint64_t *version)
{
	*version = b->previous.version;
	return (struct str){b->previous.text, b->previous.text_len};
}

const struct mbr_table *
bal_members(const struct balancer *b)
{
	return b->members;
}

size_t
bal_hint_count(const struct balancer *b)
{
	return hint_count(b->hints);
}

static uint64_t
self_id(const struct balancer *b)
{
	return b->params.self.id;
}

static void
send(struct balancer *b, struct addr to, struct msg *m)
{
	const struct member *self = mbr_self(b->members);

	m->from = self->id;
	m->incarnation = self->incarnation;
	b->ops.send_node(b->ops.ctx, to, m);
}

/* A message that is over the budget is dropped; anti-entropy repairs it. */
static bool
take_tokens(struct balancer *b, size_t bytes)
{
	if (b->tokens < bytes) {
		ctr_inc(b->ctr, CTR_CONTROL_OVER_BUDGET);
		return false;
	}
	b->tokens -= bytes;
	return true;
}

static void
refill_tokens(struct balancer *b, uint64_t now)
{
	uint64_t cap = (uint64_t)b->params.control_budget * 4;
	uint64_t passed = now > b->tick_ns ? now - b->tick_ns : 0;

	if (passed > NS_PER_S)
		passed = NS_PER_S;
	b->tokens += passed * b->params.control_budget / NS_PER_S;
	if (b->tokens > cap)
		b->tokens = cap;
	b->tick_ns = now;
}

/* ---- datagrams ---- */

/* The owner's address may belong to an instance of another service by now,
 * which would drop the datagrams. */
static struct mbr_entry *
hinted_owner(struct balancer *b, const struct flow_key *flow)
{
	uint64_t owner = hint_get(b->hints, flow);
	struct mbr_entry *e = owner == 0 ? NULL : mbr_find(b->members, owner);

	if (e != NULL && mbr_is_reachable(e) && e->m.service == flow->service) {
		ctr_inc(b->ctr, CTR_HINT_HITS);
		return e;
	}
	hint_drop(b->hints, flow);
	return NULL;
}

void
bal_handle_caller_datagram(struct balancer *b, const struct flow_key *flow,
    struct str bytes, uint64_t now)
{
	struct mbr_entry *e;
	struct msg m; /* large: only the fields that are sent are set */

	(void)now;
	ctr_inc(b->ctr, CTR_CALLER_IN);
	e = hinted_owner(b, flow);
	if (e == NULL)
		e = mbr_home(b->members, flow->service, flow_hash(flow), 0);
	if (e == NULL) {
		ctr_inc(b->ctr, CTR_DROP_NO_TARGET);
		return;
	}
	m.kind = MSG_DATAGRAM;
	m.u.datagram = (struct msg_datagram){
	    .flow = *flow,
	    .via = addr_pack(b->params.self.addr),
	    .bytes = bytes,
	};
	ctr_inc(b->ctr, CTR_AGENT_OUT);
	send(b, e->m.addr, &m);
}

static void
on_hint(struct balancer *b, const struct msg_hint *h)
{
	struct mbr_entry *e = mbr_find(b->members, h->owner);

	if (e == NULL || e->m.service != h->flow.service)
		return;
	ctr_inc(b->ctr, CTR_HINTS);
	if (hint_set(b->hints, &h->flow, h->owner))
		ctr_inc(b->ctr, CTR_EVICT_HINT);
}

static void
on_answer(struct balancer *b, const struct msg_answer *a)
{
	ctr_inc(b->ctr, CTR_CALLER_OUT);
	b->ops.send_caller(b->ops.ctx, &a->flow, a->bytes);
}

/* ---- membership ---- */

static void
add_record(struct msg *m, const struct member *rec)
{
	struct msg_records *r = &m->u.records;

	if (r->count < MBR_BATCH_MAX)
		r->records[r->count++] = *rec;
}

static void
notify_watched_agents(struct balancer *b, const struct member *rec)
{
	const struct mbr_group *g = mbr_group(b->members, rec->service);

	for (size_t i = 0; i < g->count; i++) {
		struct mbr_entry *e = g->entries[i];
		struct msg m = {.kind = MSG_RECORDS};

		if (!e->watched || e->m.id == rec->id || !mbr_is_reachable(e))
			continue;
		m.u.records.version = b->cfg.version;
		add_record(&m, rec);
		send(b, e->m.addr, &m);
	}
}

static void
merge_record(struct balancer *b, const struct member *rec, uint64_t now)
{
	if (rec->id == 0 || !mbr_merge(b->members, rec, now))
		return;
	if (rec->role == MBR_AGENT)
		notify_watched_agents(b, rec);
}

static void
fetch_if_newer(struct balancer *b, struct addr from, uint64_t version)
{
	if (version > b->cfg.version)
		b->ops.fetch_config(b->ops.ctx, from, version);
}

/** State of sending the records of all buckets that differ from a peer's. */
struct repair {
	struct balancer *b;
	struct addr to;
	const uint32_t *digests; /**< of the peer */
	struct msg m;
	size_t sent;
};

static void
repair_flush(struct repair *r)
{
	if (r->m.u.records.count == 0)
		return;
	r->m.kind = MSG_RECORDS;
	r->m.u.records.version = r->b->cfg.version;
	if (take_tokens(r->b, r->m.u.records.count * RECORD_BYTES))
		send(r->b, r->to, &r->m);
	r->sent += r->m.u.records.count;
	r->m.u.records.count = 0;
}

static void
repair_entry(void *ctx, struct mbr_entry *e)
{
	struct repair *r = ctx;
	unsigned bucket = mbr_bucket(e->m.id);

	if (r->sent >= REPAIR_MAX)
		return;
	if (mbr_bucket_digest(r->b->members, bucket) == r->digests[bucket])
		return;
	add_record(&r->m, &e->m);
	if (r->m.u.records.count == MBR_BATCH_MAX)
		repair_flush(r);
}

static void
send_sync(struct balancer *b, struct addr to, enum sync_step step)
{
	struct msg m = {.kind = MSG_SYNC};

	m.u.sync.self = *mbr_self(b->members);
	m.u.sync.step = step;
	m.u.sync.version = b->cfg.version;
	m.u.sync.root = mbr_table_digest(b->members);
	for (unsigned i = 0; i < MBR_BUCKETS && step >= SYNC_DIFFERS; i++)
		m.u.sync.digest[i] = mbr_bucket_digest(b->members, i);
	send(b, to, &m);
}

static void
repair(struct balancer *b, const struct msg_sync *s)
{
	struct repair r = {.b = b, .to = s->self.addr, .digests = s->digest};

	mbr_for_each(b->members, repair_entry, &r);
	repair_flush(&r);
}

/*
 * With equal root digests a round is ASK and SAME, a heartbeat and its answer.
 * Otherwise it is ASK, DIFFERS and BUCKETS, and each balancer sends the other
 * one its records of the buckets that differ.
 */
static void
answer_sync(struct balancer *b, const struct msg_sync *s)
{
	bool same = s->root == mbr_table_digest(b->members);

	b->synced = b->synced || same;
	switch (s->step) {
	case SYNC_REQUEST:
		send_sync(b, s->self.addr, same ? SYNC_SAME : SYNC_DIFFERS);
		break;
	case SYNC_SAME:
		break;
	case SYNC_DIFFERS:
		send_sync(b, s->self.addr, SYNC_BUCKETS);
		repair(b, s);
		break;
	case SYNC_BUCKETS:
		repair(b, s);
		break;
	}
}

static void
on_sync(struct balancer *b, const struct msg *m, uint64_t now)
{
	const struct msg_sync *s = &m->u.sync;
	struct mbr_entry *e;

	merge_record(b, &s->self, now);
	mbr_mark_seen(b->members, m->from, now);
	e = mbr_find(b->members, m->from);
	if (e != NULL)
		e->version = (uint32_t)s->version;
	if (b->probe_id == m->from) {
		b->probe_id = 0;
		b->probe_misses = 0;
	}
	fetch_if_newer(b, s->self.addr, s->version);
	answer_sync(b, s);
}

static void
add_peer_list(struct balancer *b, const struct member *agent, struct msg *m)
{
	const struct mbr_group *g = mbr_group(b->members, 0);
	size_t start = rng_below(b->rng, g->count);
	unsigned own = 0;
	unsigned other = 0;

	for (size_t i = 0; i < g->count; i++) {
		struct mbr_entry *e = g->entries[(start + i) % g->count];
		bool same = strcmp(e->m.domain, agent->domain) == 0;
		unsigned *n = same ? &own : &other;

		if (*n >= PEER_LIST_MAX / 2)
			continue;
		(*n)++;
		add_record(m, &e->m);
	}
}

static size_t
write_service(const struct balancer *b, uint64_t service, struct msg *m,
    char *buf, size_t cap)
{
	const struct cfg_service *s = cfg_find(&b->cfg, service);
	size_t n;

	if (s == NULL) {
		m->u.records.gone = b->cfg.version > 0;
		return 0;
	}
	n = cfg_write_service(s, buf, cap);
	m->u.records.slice = (struct str){buf, n};
	return n;
}

static void
send_members(struct balancer *b, const struct member *agent, struct addr to)
{
	const struct mbr_group *g = mbr_group(b->members, agent->service);
	struct msg m = {.kind = MSG_RECORDS};

	m.u.records.version = b->cfg.version;
	for (size_t i = 0; i < g->count; i++) {
		add_record(&m, &g->entries[i]->m);
		if (m.u.records.count < MBR_BATCH_MAX && i + 1 < g->count)
			continue;
		send(b, to, &m);
		m.u.records.count = 0;
	}
}

static void
on_ping(struct balancer *b, const struct msg *m, struct addr src, uint64_t now)
{
	const struct msg_ping *p = &m->u.ping;
	char slice[MSG_SLICE_MAX];
	struct msg pong = {.kind = MSG_PONG};
	struct mbr_entry *e;
	bool differs;

	merge_record(b, &p->self, now);
	e = mbr_find(b->members, m->from);
	if (e == NULL || e->m.role != MBR_AGENT)
		return;
	if (e->m.incarnation == m->incarnation) {
		mbr_watch(b->members, m->from, now);
		e->version = (uint32_t)p->version;
		e->watched = p->watch && e->m.phase != MBR_LEFT;
	}
	differs = p->digest != mbr_group_digest(b->members, e->m.service);
	pong.u.records.stamp = p->stamp;
	pong.u.records.version = b->cfg.version;
	/* The agent must see itself reported suspect or dead to refute it. */
	if (e->m.health != MBR_OK)
		add_record(&pong, &e->m);
	if (p->want_peers) {
		add_record(&pong, mbr_self(b->members));
		add_peer_list(b, &e->m, &pong);
	}
	if (p->version < b->cfg.version)
		write_service(b, e->m.service, &pong, slice, sizeof(slice));
	send(b, src, &pong);
	if (differs)
		send_members(b, &e->m, src);
}

static struct mbr_entry *
random_balancer(struct balancer *b)
{
	const struct mbr_group *g = mbr_group(b->members, 0);
	size_t start = rng_below(b->rng, g->count);

	for (size_t i = 0; i < g->count; i++) {
		struct mbr_entry *e = g->entries[(start + i) % g->count];

		if (e->m.id != self_id(b) && mbr_is_reachable(e))
			return e;
	}
	return NULL;
}

/*
 * Syncing with the seeds merges the member tables again after a network
 * partition. The more balancers there are, the less often each one asks a seed.
 */
static void
sync_with_seeds(struct balancer *b, bool no_peer)
{
	unsigned interval =
	    SEED_ROUNDS * (unsigned)(1 + mbr_group(b->members, 0)->count /
					     SEED_STEP_BALANCERS);
	size_t chosen = rng_below(b->rng, b->params.seed_count);

	if (!no_peer && b->rounds % interval != 1)
		return;
	for (size_t i = 0; i < b->params.seed_count; i++) {
		if ((!no_peer && i != chosen && interval > SEED_ROUNDS) ||
		    addr_eq(b->params.seeds[i], b->params.self.addr))
			continue;
		send_sync(b, b->params.seeds[i], SYNC_REQUEST);
	}
}

static void
sync_round(struct balancer *b, uint64_t now)
{
	struct mbr_entry *e = NULL;

	b->rounds++;
	if (b->probe_id != 0) {
		e = mbr_find(b->members, b->probe_id);
		b->probe_misses++;
		if (b->probe_misses >= SYNC_MISSES_MAX) {
			mbr_suspect(b->members, b->probe_id, now);
			e = NULL;
		}
		if (e == NULL || !mbr_is_reachable(e)) {
			b->probe_id = 0;
			e = NULL;
		}
	}
	if (e == NULL) {
		b->probe_misses = 0;
		e = random_balancer(b);
	}
	if (e != NULL) {
		b->probe_id = e->m.id;
		send_sync(b, e->m.addr, SYNC_REQUEST);
	}
	sync_with_seeds(b, e == NULL);
}

static void
send_rumors(struct balancer *b)
{
	struct msg m = {.kind = MSG_RECORDS};
	struct msg_records *r = &m.u.records;

	if (b->tokens < MBR_BATCH_MAX * RECORD_BYTES * RUMOR_FANOUT)
		return;
	r->count =
	    (uint32_t)mbr_take_updates(b->members, r->records, MBR_BATCH_MAX);
	if (r->count == 0)
		return;
	r->version = b->cfg.version;
	for (int i = 0; i < RUMOR_FANOUT; i++) {
		struct mbr_entry *e = random_balancer(b);

		if (e == NULL)
			return;
		if (take_tokens(b, FRAME_BYTES + r->count * RECORD_BYTES))
			send(b, e->m.addr, &m);
	}
}

static void
on_records(struct balancer *b, const struct msg *m, uint64_t now)
{
	const struct msg_records *r = &m->u.records;
	struct mbr_entry *e = mbr_find(b->members, m->from);

	for (uint32_t i = 0; i < r->count; i++)
		merge_record(b, &r->records[i], now);
	if (e != NULL && e->m.role == MBR_BALANCER)
		fetch_if_newer(b, e->m.addr, r->version);
}

/* ---- events, configuration, joining and leaving ---- */

static void
detect_pause(struct balancer *b, uint64_t now)
{
	if (now > b->last_event_ns + PAUSE_MIN_NS) {
		ctr_inc(b->ctr, CTR_PAUSES);
		mbr_increment_seq(b->members, now);
		mbr_reset_timeouts(b->members, now);
		b->probe_id = 0;
		b->sync_ns = 0;
	}
	b->last_event_ns = now;
}

void
bal_handle_message(
    struct balancer *b, const struct msg *m, struct addr src, uint64_t now)
{
	detect_pause(b, now);
	switch (m->kind) {
	case MSG_ANSWER:
		on_answer(b, &m->u.answer);
		break;
	case MSG_HINT:
		on_hint(b, &m->u.hint);
		break;
	case MSG_PING:
		on_ping(b, m, src, now);
		break;
	case MSG_SYNC:
		on_sync(b, m, now);
		break;
	case MSG_RECORDS:
		on_records(b, m, now);
		break;
	case MSG_DATAGRAM:
	case MSG_REGISTER:
	case MSG_LOAD:
	case MSG_HANDOVER:
	case MSG_HANDOVER_ACK:
	case MSG_PONG:
		ctr_inc(b->ctr, CTR_DROP_KIND);
		break;
	}
}

/* The receivers fetch the new version from here and announce it in turn. */
static void
announce_version(struct balancer *b)
{
	for (int i = 0; i < ANNOUNCE_FANOUT; i++) {
		struct mbr_entry *e = random_balancer(b);

		if (e != NULL)
			send_sync(b, e->m.addr, SYNC_REQUEST);
	}
}

bool
bal_apply_config(struct balancer *b, struct cfg *c)
{
	if (c->version <= b->cfg.version) {
		if (c->version < b->cfg.version)
			ctr_inc(b->ctr, CTR_CONFIG_STALE);
		cfg_clear(c);
		return false;
	}
	/* Kept so that peers can be sent a delta from it. */
	cfg_clear(&b->previous);
	b->previous = b->cfg;
	b->cfg = *c;
	*c = (struct cfg){0};
	ctr_inc(b->ctr, CTR_CONFIG_APPLIED);
	announce_version(b);
	return true;
}

void
bal_leave(struct balancer *b, uint64_t now)
{
	b->leaving = true;
	mbr_set_phase(b->members, MBR_LEAVING, now);
	b->rumor_ns = 0;
}

void
bal_announce_left(struct balancer *b, uint64_t now)
{
	mbr_set_phase(b->members, MBR_LEFT, now);
	b->tokens = b->params.control_budget;
	for (int i = 0; i < 3; i++)
		send_rumors(b);
}

bool
bal_is_ready(const struct balancer *b)
{
	return mbr_self(b->members)->phase == MBR_ACTIVE;
}

/* With an incomplete member table it would forward flows to wrong homes. */
static void
join_when_ready(struct balancer *b, uint64_t now)
{
	if (mbr_self(b->members)->phase != MBR_JOINING || b->leaving)
		return;
	if (b->cfg.version == 0)
		return;
	if (b->synced || now > b->start_ns + JOIN_TIMEOUT_NS)
		mbr_set_phase(b->members, MBR_ACTIVE, now);
}

void
bal_tick(struct balancer *b, uint64_t now)
{
	bool joining = mbr_self(b->members)->phase == MBR_JOINING;
	uint64_t gap = joining ? SYNC_JOIN_INTERVAL_NS : SYNC_INTERVAL_NS;

	detect_pause(b, now);
	refill_tokens(b, now);
	if (now >= b->members_ns + MEMBERS_TICK_NS) {
		b->members_ns = now;
		mbr_tick(b->members, now);
	}
	join_when_ready(b, now);
	if (now >= b->sync_ns + gap) {
		b->sync_ns = now;
		sync_round(b, now);
	}
	if (now >= b->rumor_ns + RUMOR_INTERVAL_NS) {
		b->rumor_ns = now;
		send_rumors(b);
	}
}
