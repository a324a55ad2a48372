#include "request/agent_state.h"

#include <string.h>

/** Time without any event after which this process counts as paused. */
#define PAUSE_MIN_NS (1000 * NS_PER_MS)
/** Interval of heartbeats to the watchers. */
#define PING_INTERVAL_NS (500 * NS_PER_MS)
/** Heartbeats per repetition of the agent's unchanged record. */
#define PINGS_PER_RECORD 4
/** Heartbeats per request for a list of balancers. */
#define PINGS_PER_PEER_LIST 20

/*
 * The record is left out for a watcher that has it, but repeated now and then
 * in case it was lost.
 */
static bool
should_send_record(const struct agent *a, bool watch)
{
	return !watch || a->watch.pings % PINGS_PER_RECORD == 0 ||
	       a->watch.sent_seq != mbr_self(a->members)->seq;
}

static void
send_ping(struct agent *a, struct addr to, bool watch)
{
	struct msg m = {.kind = MSG_PING,
	    .u.ping = {
		.self = *mbr_self(a->members),
		.digest = mbr_group_digest(a->members, a->params.self.service),
		.version = a->cfg.version,
		.want_peers = a->watch.count < AGT_WATCHERS_MAX ||
			      a->watch.pings % PINGS_PER_PEER_LIST == 0,
		.watch = watch,
		.stamp = a->watch.stamp,
	    }};

	if (!should_send_record(a, watch))
		m.u.ping.self = (struct member){0};
	agt_send_addr(a, to, &m);
}

static bool
is_seed_watcher(const struct agent *a, size_t seed)
{
	for (size_t i = 0; i < a->watch.count; i++) {
		struct mbr_entry *e = mbr_find(a->members, a->watch.ids[i]);

		if (e != NULL && addr_eq(e->m.addr, a->params.seeds[seed]))
			return true;
	}
	return false;
}

void
heartbeat_send_all(struct agent *a, uint64_t now)
{
	a->watch.ping_ns = now;
	a->watch.pings++;
	/* Seeds are few: only agents that lack watchers contact them. */
	if (a->watch.count < AGT_WATCHERS_MAX &&
	    (a->watch.count == 0 ||
		a->watch.pings % PINGS_PER_PEER_LIST == 1)) {
		for (size_t i = 0; i < a->params.seed_count; i++)
			send_ping(a, a->params.seeds[i], is_seed_watcher(a, i));
	}
	for (size_t i = 0; i < a->watch.count; i++) {
		struct mbr_entry *e = mbr_find(a->members, a->watch.ids[i]);

		if (e != NULL)
			send_ping(a, e->m.addr, true);
	}
	a->watch.sent_seq = mbr_self(a->members)->seq;
}

/* Whether id is one of the first count watchers. */
static bool
is_watcher(const struct agent *a, uint64_t id, size_t count)
{
	for (size_t i = 0; i < count; i++) {
		if (a->watch.ids[i] == id)
			return true;
	}
	return false;
}

static struct mbr_entry *
best_balancer(const struct agent *a, bool own_domain, size_t chosen)
{
	const struct mbr_group *g = mbr_group(a->members, 0);
	struct mbr_entry *best = NULL;
	uint64_t best_rank = 0;

	for (size_t i = 0; i < g->count; i++) {
		struct mbr_entry *e = g->entries[i];
		bool same = strcmp(e->m.domain, a->params.self.domain) == 0;
		uint64_t rank = mbr_rank(agt_id(a), e->m.id);

		if (!mbr_is_eligible(e) || same != own_domain)
			continue;
		if (is_watcher(a, e->m.id, chosen))
			continue;
		if (best != NULL && rank < best_rank)
			continue;
		best = e;
		best_rank = rank;
	}
	return best;
}

/*
 * Chooses two watchers in the agent's own failure domain and one in another,
 * as far as there are balancers.
 */
static void
choose_watchers(struct agent *a, uint64_t now)
{
	uint64_t old_ids[AGT_WATCHERS_MAX];
	uint64_t old_ns[AGT_WATCHERS_MAX];
	size_t old = a->watch.count;
	size_t n = 0;

	memcpy(old_ids, a->watch.ids, sizeof(old_ids));
	memcpy(old_ns, a->watch.pong_ns, sizeof(old_ns));
	while (n < AGT_WATCHERS_MAX) {
		bool own = n + 1 < AGT_WATCHERS_MAX;
		struct mbr_entry *e = best_balancer(a, own, n);

		if (e == NULL)
			e = best_balancer(a, !own, n);
		if (e == NULL)
			break;
		a->watch.ids[n] = e->m.id;
		a->watch.pong_ns[n] = now;
		for (size_t i = 0; i < old; i++) {
			if (old_ids[i] == e->m.id)
				a->watch.pong_ns[n] = old_ns[i];
		}
		n++;
	}
	a->watch.count = n;
	for (size_t i = 0; i < old; i++) {
		struct mbr_entry *e = mbr_find(a->members, old_ids[i]);

		if (e != NULL && !is_watcher(a, old_ids[i], n)) {
			send_ping(a, e->m.addr, false);
			a->watch.sent_seq = 0;
		}
	}
	if (n > old)
		a->watch.sent_seq = 0;
}

static void
suspect_silent_watchers(struct agent *a, uint64_t now)
{
	for (size_t i = 0; i < a->watch.count; i++) {
		if (now > a->watch.pong_ns[i] + 2 * WATCHER_TIMEOUT_NS)
			mbr_suspect(a->members, a->watch.ids[i], now);
	}
}

static void
apply_service_config(struct agent *a, const struct msg_records *r)
{
	struct cfg_service s;

	if (r->version < a->cfg.version) {
		if (r->slice.len > 0)
			ctr_inc(a->ctr, CTR_CONFIG_STALE);
		return;
	}
	if (r->slice.len == 0 || r->version == a->cfg.version)
		return;
	if (cfg_parse_service(r->slice, &s).code != STATUS_OK ||
	    s.id != a->params.self.service) {
		ctr_inc(a->ctr, CTR_CONFIG_BAD);
		return;
	}
	a->cfg.service = s;
	a->cfg.known = true;
	a->cfg.version = r->version;
	ctr_inc(a->ctr, CTR_CONFIG_APPLIED);
}

static void
merge_record(struct agent *a, const struct member *m, uint64_t now)
{
	const struct member *self = mbr_self(a->members);
	bool declared_dead = m->id == self->id && m->health == MBR_DEAD &&
			     m->incarnation == self->incarnation &&
			     m->seq >= self->seq;

	if (declared_dead)
		feed_drop_taken_over(a);
	if (m->role == MBR_AGENT && m->service != a->params.self.service)
		return;
	if (!mbr_merge(a->members, m, now))
		return;
	if (m->role == MBR_AGENT)
		a->members_changed_ns = now;
	if (m->health == MBR_DEAD || m->phase == MBR_LEFT)
		load_remove(a->loads, m->id);
}

void
heartbeat_handle_records(struct agent *a, const struct msg *m, uint64_t now)
{
	const struct msg_records *r = &m->u.records;

	for (uint32_t i = 0; i < r->count; i++)
		merge_record(a, &r->records[i], now);
	apply_service_config(a, r);
	if (r->stamp == 0 || r->stamp != a->watch.stamp)
		return;
	for (size_t i = 0; i < a->watch.count; i++) {
		if (a->watch.ids[i] == m->from)
			a->watch.pong_ns[i] = now;
	}
	mbr_mark_seen(a->members, m->from, now);
	a->revalidating = false;
	if (a->first_pong_ns == 0)
		a->first_pong_ns = now;
}

void
heartbeat_detect_pause(struct agent *a, uint64_t now)
{
	if (now > a->last_event_ns + PAUSE_MIN_NS) {
		ctr_inc(a->ctr, CTR_PAUSES);
		a->revalidating = true;
		a->watch.stamp++;
		mbr_increment_seq(a->members, now);
		for (size_t i = 0; i < a->watch.count; i++)
			a->watch.pong_ns[i] = now;
		a->target.last_datagram_ns = now;
		heartbeat_send_all(a, now);
	}
	a->last_event_ns = now;
}

void
heartbeat_tick(struct agent *a, uint64_t now)
{
	suspect_silent_watchers(a, now);
	choose_watchers(a, now);
	if (now >= a->watch.ping_ns + PING_INTERVAL_NS)
		heartbeat_send_all(a, now);
}
