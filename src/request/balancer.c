#include "request/balancer.h"

#include "base/clock.h"
#include "decide/hints.h"

#include <stdlib.h>
#include <string.h>

/** A gap between events after which this process counts as paused. */
#define PAUSE_NS (1000 * NS_PER_MS)
/** Time between anti-entropy rounds. */
#define SYNC_NS (500 * NS_PER_MS)
/** Time between rounds while joining. */
#define SYNC_JOIN_NS (100 * NS_PER_MS)
/** Rounds without an answer after which a balancer is suspected. */
#define SYNC_MISSES 3
/** A balancer that agrees with nobody for this long serves all the same. */
#define JOIN_ALONE_NS (5000 * NS_PER_MS)
/** Time between sends of changed records. */
#define RUMOR_NS (200 * NS_PER_MS)
/** Balancers that changed records are sent to at a time. */
#define RUMOR_FANOUT 2
/** Records sent for one digest that differs. */
#define REPAIR_MAX 128
/** Balancers told at once of a new version. */
#define ANNOUNCE_FANOUT 3
/** Balancers told to an agent that asks. */
#define PEERS_TOLD 8
/** Bytes that one record takes in a message, for the budget. */
#define RECORD_BYTES ((size_t)72)
/** Bytes of a heartbeat or a digest, for the budget. */
#define FRAME_BYTES ((size_t)64)
/** Time between passes over all members. */
#define MEMBERS_NS (200 * NS_PER_MS)
/** Balancers that make the seeds' turn come half as often. */
#define SEEDS_SHARE 8
/** Every how many rounds the seeds are tried again. */
#define SEEDS_EVERY 20

struct balancer {
	struct bal_params params;
	struct bal_ops ops;
	struct rng *rng;
	struct counters *ctr;
	struct mbr_table *members;
	struct hint_cache *hints;
	struct cfg cfg;
	struct cfg previous;
	uint64_t seen_ns;
	uint64_t sync_ns;
	uint64_t rumor_ns;
	uint64_t members_ns;
	uint64_t tick_ns;
	uint64_t probe_id;     /**< balancer whose answer is awaited */
	unsigned probe_misses; /**< rounds it has not answered */
	unsigned rounds;
	uint64_t tokens; /**< gossip bytes that may be sent now */
	uint64_t start_ns;
	bool synced; /**< has agreed with another balancer on the members */
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
	b->seen_ns = now;
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
bal_previous(const struct balancer *b, uint64_t *version)
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
bal_hints(const struct balancer *b)
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

/* Anti-entropy repairs later what the budget holds back now. */
static bool
spend(struct balancer *b, size_t bytes)
{
	if (b->tokens < bytes) {
		ctr_inc(b->ctr, CTR_CONTROL_OVER_BUDGET);
		return false;
	}
	b->tokens -= bytes;
	return true;
}

static void
refill(struct balancer *b, uint64_t now)
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

void
bal_caller(struct balancer *b, const struct flow_key *flow, struct str bytes,
    uint64_t now)
{
	struct mbr_entry *e = NULL;
	uint64_t owner;
	struct msg m; /* large: only what is sent is set */

	(void)now;
	ctr_inc(b->ctr, CTR_CALLER_IN);
	owner = hint_get(b->hints, flow);
	if (owner != 0) {
		e = mbr_find(b->members, owner);
		if (e != NULL && mbr_is_reachable(e)) {
			ctr_inc(b->ctr, CTR_HINT_HITS);
		} else {
			hint_drop(b->hints, flow);
			e = NULL;
		}
	}
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
records_add(struct msg *m, const struct member *rec)
{
	struct msg_records *r = &m->u.records;

	if (r->count < MBR_BATCH_MAX)
		r->records[r->count++] = *rec;
}

static void
tell_watched(struct balancer *b, const struct member *rec)
{
	const struct mbr_group *g = mbr_group(b->members, rec->service);

	for (size_t i = 0; i < g->count; i++) {
		struct mbr_entry *e = g->entries[i];
		struct msg m = {.kind = MSG_RECORDS};

		if (!e->watched || e->m.id == rec->id || !mbr_is_reachable(e))
			continue;
		m.u.records.version = b->cfg.version;
		records_add(&m, rec);
		send(b, e->m.addr, &m);
	}
}

static void
merge(struct balancer *b, const struct member *rec, uint64_t now)
{
	if (rec->id == 0 || !mbr_merge(b->members, rec, now))
		return;
	if (rec->role == MBR_AGENT)
		tell_watched(b, rec);
}

static void
newer_version(struct balancer *b, struct addr from, uint64_t version)
{
	if (version > b->cfg.version)
		b->ops.fetch_config(b->ops.ctx, from, version);
}

/** Sends every record of the differing buckets, within the budget. */
struct repair {
	struct balancer *b;
	struct addr to;
	const uint32_t *theirs;
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
	if (spend(r->b, r->m.u.records.count * RECORD_BYTES))
		send(r->b, r->to, &r->m);
	r->sent += r->m.u.records.count;
	r->m.u.records.count = 0;
}

static void
repair_visit(void *ctx, struct mbr_entry *e)
{
	struct repair *r = ctx;
	unsigned bucket = mbr_bucket(e->m.id);

	if (r->sent >= REPAIR_MAX)
		return;
	if (mbr_bucket_digest(r->b->members, bucket) == r->theirs[bucket])
		return;
	records_add(&r->m, &e->m);
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
	struct repair r = {.b = b, .to = s->self.addr, .theirs = s->digest};

	mbr_for_each(b->members, repair_visit, &r);
	repair_flush(&r);
}

/*
 * A round is ASK and SAME, a heartbeat and its answer; with different roots
 * it is ASK, DIFFERS and BUCKETS, and each side repairs the other.
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

	merge(b, &s->self, now);
	mbr_mark_seen(b->members, m->from, now);
	e = mbr_find(b->members, m->from);
	if (e != NULL)
		e->version = (uint32_t)s->version;
	if (b->probe_id == m->from) {
		b->probe_id = 0;
		b->probe_misses = 0;
	}
	newer_version(b, s->self.addr, s->version);
	answer_sync(b, s);
}

static void
add_balancers(struct balancer *b, const struct member *agent, struct msg *m)
{
	const struct mbr_group *g = mbr_group(b->members, 0);
	size_t start = rng_below(b->rng, g->count);
	unsigned own = 0;
	unsigned other = 0;

	for (size_t i = 0; i < g->count; i++) {
		struct mbr_entry *e = g->entries[(start + i) % g->count];
		bool same = strcmp(e->m.domain, agent->domain) == 0;
		unsigned *n = same ? &own : &other;

		if (*n >= PEERS_TOLD / 2)
			continue;
		(*n)++;
		records_add(m, &e->m);
	}
}

static size_t
write_slice(const struct balancer *b, uint64_t service, struct msg *m,
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
send_group(struct balancer *b, const struct member *agent, struct addr to)
{
	const struct mbr_group *g = mbr_group(b->members, agent->service);
	struct msg m = {.kind = MSG_RECORDS};

	m.u.records.version = b->cfg.version;
	for (size_t i = 0; i < g->count; i++) {
		records_add(&m, &g->entries[i]->m);
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

	merge(b, &p->self, now);
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
	/* The agent must learn what is said of it, to refute it. */
	if (e->m.health != MBR_OK)
		records_add(&pong, &e->m);
	if (p->want_peers) {
		records_add(&pong, mbr_self(b->members));
		add_balancers(b, &e->m, &pong);
	}
	if (p->version < b->cfg.version)
		write_slice(b, e->m.service, &pong, slice, sizeof(slice));
	send(b, src, &pong);
	if (differs)
		send_group(b, &e->m, src);
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
 * Seeds join what a cut has parted. The more balancers there are, the less
 * often each of them asks one.
 */
static void
try_seeds(struct balancer *b, bool alone)
{
	unsigned every =
	    SEEDS_EVERY *
	    (unsigned)(1 + mbr_group(b->members, 0)->count / SEEDS_SHARE);
	size_t one = rng_below(b->rng, b->params.seed_count);

	if (!alone && b->rounds % every != 1)
		return;
	for (size_t i = 0; i < b->params.seed_count; i++) {
		if ((!alone && i != one && every > SEEDS_EVERY) ||
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
		if (b->probe_misses >= SYNC_MISSES) {
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
	try_seeds(b, e == NULL);
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
		if (spend(b, FRAME_BYTES + r->count * RECORD_BYTES))
			send(b, e->m.addr, &m);
	}
}

static void
on_records(struct balancer *b, const struct msg *m, uint64_t now)
{
	const struct msg_records *r = &m->u.records;
	struct mbr_entry *e = mbr_find(b->members, m->from);

	for (uint32_t i = 0; i < r->count; i++)
		merge(b, &r->records[i], now);
	if (e != NULL && e->m.role == MBR_BALANCER)
		newer_version(b, e->m.addr, r->version);
}

/* ---- life ---- */

static void
notice_time(struct balancer *b, uint64_t now)
{
	if (now > b->seen_ns + PAUSE_NS) {
		ctr_inc(b->ctr, CTR_PAUSES);
		mbr_increment_seq(b->members, now);
		mbr_reset_timeouts(b->members, now);
		b->probe_id = 0;
		b->sync_ns = 0;
	}
	b->seen_ns = now;
}

void
bal_message(
    struct balancer *b, const struct msg *m, struct addr src, uint64_t now)
{
	notice_time(b, now);
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

/* Others fetch a new version from here and announce it in their turn. */
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
bal_apply(struct balancer *b, struct cfg *c)
{
	if (c->version <= b->cfg.version) {
		if (c->version < b->cfg.version)
			ctr_inc(b->ctr, CTR_CONFIG_STALE);
		cfg_clear(c);
		return false;
	}
	/* Kept, so that others can be told the difference from it. */
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
bal_left(struct balancer *b, uint64_t now)
{
	mbr_set_phase(b->members, MBR_LEFT, now);
	b->tokens = b->params.control_budget;
	for (int i = 0; i < 3; i++)
		send_rumors(b);
}

bool
bal_ready(const struct balancer *b)
{
	return mbr_self(b->members)->phase == MBR_ACTIVE;
}

/* With half a table it would send flows to wrong homes. */
static void
join_when_ready(struct balancer *b, uint64_t now)
{
	if (mbr_self(b->members)->phase != MBR_JOINING || b->leaving)
		return;
	if (b->cfg.version == 0)
		return;
	if (b->synced || now > b->start_ns + JOIN_ALONE_NS)
		mbr_set_phase(b->members, MBR_ACTIVE, now);
}

void
bal_tick(struct balancer *b, uint64_t now)
{
	bool joining = mbr_self(b->members)->phase == MBR_JOINING;
	uint64_t gap = joining ? SYNC_JOIN_NS : SYNC_NS;

	notice_time(b, now);
	refill(b, now);
	if (now >= b->members_ns + MEMBERS_NS) {
		b->members_ns = now;
		mbr_tick(b->members, now);
	}
	join_when_ready(b, now);
	if (now >= b->sync_ns + gap) {
		b->sync_ns = now;
		sync_round(b, now);
	}
	if (now >= b->rumor_ns + RUMOR_NS) {
		b->rumor_ns = now;
		send_rumors(b);
	}
}
