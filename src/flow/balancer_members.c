#include "flow/balancer_internal.h"

#include "base/clock.h"
#include "base/event.h"

#include <string.h>

/** Period of heartbeats to balancers of the own failure domain, in ms. */
#define LOCAL_HEARTBEAT_MS 500
/** Period of all heartbeats for STARTING_MS after the start, in ms, while other
 * balancers are discovered. */
#define STARTING_HEARTBEAT_MS 150
#define STARTING_MS 3000
/** Most local balancers that get a heartbeat in one round. In a failure domain
 * of 48 each still gets one within a fraction of PEER_LIVE_MS. A watcher of the
 * configuration sends to more of them, so that no other balancer begins to
 * watch: with 90 in a failure domain each gets one every second at least, and
 * one may be lost before WATCHER_FRESH_MS. More would exceed the 13 KB/s of
 * control traffic of a node. */
#define LOCAL_BATCH_MAX 16
#define WATCHER_BATCH_MAX 64
/** Period of heartbeats to some of the remote balancers, in ms. */
#define REMOTE_HEARTBEAT_MS 1000
/** Remote balancers that get a heartbeat in one round: this fraction of them,
 * so that each gets one within a fraction of PEER_FORGET_MS, within the limits
 * below. */
#define REMOTE_BATCH_DIVISOR 12
#define REMOTE_BATCH_MIN 3
#define REMOTE_BATCH_MAX 24
/** A longer gap between ticks counts as a pause of this process, in ms. */
#define PAUSE_MIN_MS 500
/** Time after a pause in which missing heartbeats prove nothing, in ms. */
#define PAUSE_RECOVERY_MS 1500
/** Most parts of the list of agents sent to one balancer at a time. The next
 * parts follow while its heartbeats show that its list differs. */
#define AGENT_LIST_PARTS_MAX 4
/** Time after the start in which a balancer requests the agents of remote
 * balancers, in ms: remote agents send heartbeats themselves, but rarely. */
#define REQUEST_LISTS_MS 10000

/* Messages that a list of count entries takes. */
static size_t
list_parts(size_t count)
{
	return count / FLOW_PEERS_MAX + 1;
}

/* Send the list of balancers. Only agents, of which there are more, may get a
 * sample; they learn the rest from the balancers in it. */
static void
send_list(struct fb *fb, uint64_t to, struct gossip_sent *sent, bool to_agent,
    uint64_t now)
{
	struct flow_msg m = {.kind = FLOW_MSG_PEERS};
	enum gossip_extent share =
	    gossip_reserve(&fb->gossip, sent, peers_digest(&fb->peers),
		list_parts(peers_count(&fb->peers)), to_agent, now);
	size_t from = 0;

	if (share == GOSSIP_NONE) {
		ctr_inc(fb->ctr, CTR_CONTROL_OVER_BUDGET);
		return;
	}
	if (share == GOSSIP_SAMPLE) {
		peers_sample(
		    &fb->peers, GOSSIP_SAMPLE_MAX, &fb->rng, now, &m.u.peers);
		fb_send(fb, to, &m);
		ctr_inc(fb->ctr, CTR_LISTS_SENT);
		return;
	}
	do {
		from = peers_list(&fb->peers, from, now, &m.u.peers);
		fb_send(fb, to, &m);
		ctr_inc(fb->ctr, CTR_LISTS_SENT);
	} while (from != 0);
}

/* Confirm that the receiver's list of balancers is complete. */
static void
confirm_list(struct fb *fb, uint64_t to)
{
	struct flow_msg m = {.kind = FLOW_MSG_PEERS, .u.peers.same = true};

	fb_send(fb, to, &m);
}

/* Send the next parts of the list of all agents, or of the local ones. */
static void
send_agents(struct fb *fb, struct peer *e, bool local, uint64_t now)
{
	struct flow_msg m = {.kind = FLOW_MSG_PEERS};
	const struct agent_summary *set =
	    local ? &fb->recent.local : &fb->recent.all;
	size_t parts = list_parts(set->count);

	if (parts > AGENT_LIST_PARTS_MAX)
		parts = AGENT_LIST_PARTS_MAX;
	if (set->count == 0)
		return;
	if (gossip_reserve(&fb->gossip, &e->sent_agents, set->digest, parts,
		false, now) != GOSSIP_WHOLE) {
		ctr_inc(fb->ctr, CTR_CONTROL_OVER_BUDGET);
		return;
	}
	for (size_t i = 0; i < parts; i++) {
		e->next_agent =
		    agents_list(&fb->agents, local ? fb->peers.domain_tag : 0,
			e->next_agent, now, &m.u.peers);
		fb_send(fb, e->id, &m);
		ctr_inc(fb->ctr, CTR_LISTS_SENT);
		if (e->next_agent == 0)
			return;
	}
}

static bool
should_answer(struct fb *fb, bool local)
{
	return gossip_should_answer(&fb->rng,
	    local ? peers_count_local(&fb->peers) : peers_count(&fb->peers));
}

void
fb_on_agent_heartbeat(struct fb *fb, const struct flow_msg *m, uint64_t now)
{
	struct agent_view *before = agents_find(&fb->agents, m->from);
	enum target_state previous =
	    before == NULL ? TARGET_UNKNOWN : before->heartbeat.state;
	bool was_silent = before != NULL && agent_is_silent(before, now);
	struct agent_view *v = agents_on_heartbeat(&fb->agents, m, now);
	char agent[ADDR_TEXT_MAX];

	if (v == NULL)
		return;
	if (before == NULL || was_silent)
		fb->recent.updated_ns = 0;
	if (m->u.agent.gone) {
		event("agent_gone", "s:s", "agent",
		    addr_text(addr_unpack(m->from), agent));
		agents_remove(&fb->agents, m->from);
		reported_agents_on_gone(&fb->reported_agents, m->from, now);
		fb->recent.updated_ns = 0;
		return;
	}
	reported_agents_on_heartbeat(&fb->reported_agents, m->from);
	if (fb->first_agent_ns == 0)
		fb->first_agent_ns = now;
	/* Remote agents have longer periods; local balancers report them. */
	if (fb->min_heartbeat_ms == 0 ||
	    v->heartbeat.period_ms < fb->min_heartbeat_ms)
		fb->min_heartbeat_ms = v->heartbeat.period_ms;
	if (v->heartbeat.state != previous)
		event("agent", "s:s, s:i, s:i, s:I", "agent",
		    addr_text(addr_unpack(m->from), agent), "state",
		    (int)v->heartbeat.state, "previous_state", (int)previous,
		    "incarnation", (json_int_t)v->incarnation);
	fb_offer_routes(fb, v, now);
	fb_update_agent(fb, v, now);
	if (!m->u.agent.ask)
		return;
	if (m->u.agent.peers == peers_digest(&fb->peers))
		confirm_list(fb, m->from);
	else
		send_list(fb, m->from, &v->sent_peers, true, now);
}

bool
fb_wants_agent_list(struct fb *fb, uint64_t from, uint64_t now)
{
	const struct peer *e = peers_find(&fb->peers, from);
	const struct delegate_group *g;
	uint64_t digest;

	if (e == NULL || peers_is_local(&fb->peers, e) ||
	    fb_has_elapsed(fb->started_ns, REQUEST_LISTS_MS, now) ||
	    !fb_has_local_scope(fb, now))
		return false;
	g = delegates_find(fb_delegates(fb, now), e->domain_tag);
	if (delegates_pick(g, fb->setup.id, 0) != from)
		return false;
	agents_count_recent(&fb->agents, e->domain_tag, now, &digest);
	return digest != e->local.digest;
}

/* Compare another balancer's agents with the own ones, and send the own list if
 * they differ. */
static void
compare_agent_lists(
    struct fb *fb, struct peer *e, const struct msg_balancer *b, uint64_t now)
{
	bool local = peers_is_local(&fb->peers, e);
	bool send_all, send_local;

	fb_update_recent(fb, now);
	if (local && e->local.digest == fb->recent.local.digest)
		peers_mark_received(e, &e->local);
	if (e->all.digest == fb->recent.all.digest)
		peers_mark_received(e, &e->all);
	send_all = b->whole && e->all.digest != fb->recent.all.digest &&
		   should_answer(fb, false);
	send_local = b->ask || (!b->whole && local &&
				   e->local.digest != fb->recent.local.digest &&
				   should_answer(fb, true));
	if (send_all || send_local)
		send_agents(fb, e, !send_all, now);
}

void
fb_on_balancer_heartbeat(struct fb *fb, const struct flow_msg *m, uint64_t now)
{
	char peer[ADDR_TEXT_MAX];
	bool is_new =
	    peers_on_heartbeat(&fb->peers, m->from, &m->u.balancer, now);
	struct peer *e = peers_find(&fb->peers, m->from);

	if (e == NULL)
		return;
	fb_set_store_era(fb, m->u.balancer.store_era);
	if (is_new) {
		event("balancer", "s:s, s:s", "balancer",
		    addr_text(addr_unpack(m->from), peer), "domain",
		    m->u.balancer.domain);
		fb_send_heartbeat(fb, m->from, now);
	}
	if (m->u.balancer.peers != peers_digest(&fb->peers) &&
	    should_answer(fb, false))
		send_list(fb, m->from, &e->sent_peers, false, now);
	compare_agent_lists(fb, e, &m->u.balancer, now);
	fb_merge_evacuations(fb, e, &m->u.balancer, now);
}

static void
record_reported_agent(
    struct fb *fb, uint64_t by, const struct msg_peer *p, uint64_t now)
{
	char agent[ADDR_TEXT_MAX], balancer[ADDR_TEXT_MAX];

	if (reported_agents_add(&fb->reported_agents, p->id, p->domain,
		now - p->age_ms * NS_PER_MS, now))
		event("agent_reported", "s:s, s:s, s:i", "agent",
		    addr_text(addr_unpack(p->id), agent), "reported_by",
		    addr_text(addr_unpack(by), balancer), "age_ms",
		    (int)p->age_ms);
}

/* Whether this is the last part of a balancer's list of agents, the only one
 * that is not full, and no earlier part was lost. */
static bool
is_list_complete(struct peer *from, const struct msg_peers *list)
{
	size_t listed = from->listed + list->count;

	from->listed = list->count == FLOW_PEERS_MAX ? listed : 0;
	return list->count < FLOW_PEERS_MAX &&
	       listed >= (list->near ? from->local.count : from->all.count);
}

/* Send a heartbeat to each reported agent that is unknown here, which makes it
 * answer with its own. */
static void
on_agent_list(struct fb *fb, const struct flow_msg *m, uint64_t now)
{
	const struct msg_peers *list = &m->u.peers;
	struct peer *from = peers_find(&fb->peers, m->from);
	/* Searches query the delegates of a remote failure domain about its
	 * agents, and need not wait for these agents. */
	bool remote =
	    list->near && from != NULL && !peers_is_local(&fb->peers, from);

	for (uint32_t i = 0; i < list->count; i++) {
		uint64_t age = list->peers[i].age_ms * NS_PER_MS;
		const struct agent_view *v =
		    agents_find(&fb->agents, list->peers[i].id);

		if ((v != NULL && !agent_is_silent(v, now)) || age > now)
			continue;
		if (!remote)
			record_reported_agent(
			    fb, m->from, &list->peers[i], now);
		fb_send_heartbeat(fb, list->peers[i].id, now);
	}
	if (from == NULL || !is_list_complete(from, list))
		return;
	peers_mark_received(from, &from->local);
	if (!list->near)
		peers_mark_received(from, &from->all);
}

void
fb_on_member_list(struct fb *fb, const struct flow_msg *m, uint64_t now)
{
	const struct msg_peers *list = &m->u.peers;

	if (list->agents) {
		on_agent_list(fb, m, now);
		return;
	}
	for (uint32_t i = 0; i < list->count; i++) {
		uint64_t age = list->peers[i].age_ms * NS_PER_MS;

		if (age > now || age > peers_forget_ms(&fb->peers) * NS_PER_MS)
			continue;
		if (peers_record(&fb->peers, list->peers[i].id, now - age,
			list->peers[i].domain))
			fb_send_heartbeat(fb, list->peers[i].id, now);
	}
}

void
fb_set_store_era(struct fb *fb, uint64_t era)
{
	if (era > fb->store_era)
		fb->store_era = era;
}

/* ---- members named by the store ---- */

void
fb_contact_balancer(struct fb *fb, uint64_t id, uint64_t now)
{
	/* The entry may be stale: only a heartbeat makes the balancer known. */
	if (id != fb->setup.id && peers_find(&fb->peers, id) == NULL)
		fb_send_heartbeat(fb, id, now);
}

bool
fb_is_gone(const struct fb *fb, uint64_t id, uint64_t now)
{
	/* peers_expire() removes a peer that was not seen for long. */
	return id != fb->setup.id && now >= fb->silence_valid_ns &&
	       peers_find(&fb->peers, id) == NULL;
}

bool
fb_has_lowest_id(const struct fb *fb)
{
	struct peer *e, *next;

	HASH_ITER(hh, fb->peers.table, e, next)
	{
		if (e->id < fb->setup.id)
			return false;
	}
	return true;
}

/* ---- time ---- */

static void
contact_seeds(struct fb *fb, uint64_t now)
{
	for (size_t i = 0; i < fb->setup.seed_count; i++) {
		if (fb->setup.seeds[i] != fb->setup.id &&
		    peers_find(&fb->peers, fb->setup.seeds[i]) == NULL)
			fb_send_heartbeat(fb, fb->setup.seeds[i], now);
	}
}

/* Send a heartbeat to the next batch of local or of remote balancers. */
static void
send_heartbeats(struct fb *fb, bool local, struct round_robin *position,
    size_t most, uint64_t now)
{
	size_t local_count = peers_count_local(&fb->peers);
	struct round_robin_batch round = round_robin_next(position,
	    local ? local_count : peers_count(&fb->peers) - local_count, most);
	size_t index = 0;
	struct peer *e, *next;

	HASH_ITER(hh, fb->peers.table, e, next)
	{
		if (peers_is_local(&fb->peers, e) == local &&
		    round_robin_includes(&round, index++))
			fb_send_heartbeat(fb, e->id, now);
	}
}

static void
send_local_heartbeats(struct fb *fb, uint64_t now)
{
	send_heartbeats(fb, true, &fb->local_round,
	    fb_announces_watch(fb, now) ? WATCHER_BATCH_MAX : LOCAL_BATCH_MAX,
	    now);
}

void
fb_notify_local_peers(struct fb *fb, uint64_t now)
{
	send_heartbeats(fb, true, &fb->local_round, SIZE_MAX, now);
}

static void
send_remote_heartbeats(struct fb *fb, uint64_t now)
{
	size_t remote = peers_count(&fb->peers) - peers_count_local(&fb->peers);
	size_t most = remote / REMOTE_BATCH_DIVISOR;

	/* Shortly after the start, the number of agents changes quickly. */
	if (!fb_has_elapsed(fb->started_ns, STARTING_MS, now))
		most = LOCAL_BATCH_MAX;
	if (most < REMOTE_BATCH_MIN)
		most = REMOTE_BATCH_MIN;
	if (most > REMOTE_BATCH_MAX)
		most = REMOTE_BATCH_MAX;
	send_heartbeats(fb, false, &fb->remote_round, most, now);
}

/* Update the lag of the ticks; it halves with each tick that is on time. */
static void
update_lag(struct fb *fb, uint64_t now)
{
	uint64_t gap_ms = (now - fb->last_tick_ns) / NS_PER_MS;
	uint64_t late_ms = gap_ms > FB_TICK_MS ? gap_ms - FB_TICK_MS : 0;

	fb->lag_ms = late_ms > fb->lag_ms / 2 ? late_ms : fb->lag_ms / 2;
}

void
fb_handle_pause(struct fb *fb, uint64_t gap_ms, uint64_t now)
{
	ctr_inc(fb->ctr, CTR_PAUSES);
	event("paused", "s:I", "gap_ms", (json_int_t)gap_ms);
	fb->silence_valid_ns = now + PAUSE_RECOVERY_MS * NS_PER_MS;
}

void
fb_tick(struct fb *fb, uint64_t now)
{
	update_lag(fb, now);
	fb_refill_query_credit(fb, now - fb->last_tick_ns);
	gossip_refill(&fb->gossip, now - fb->last_tick_ns);
	if (fb_has_elapsed(fb->last_tick_ns, PAUSE_MIN_MS, now))
		fb_handle_pause(fb, (now - fb->last_tick_ns) / NS_PER_MS, now);
	fb->last_tick_ns = now;
	fb_tick_watch(fb, now);
	fb_tick_coverage(fb, now);
	fb_tick_openings(fb, now);
	fb_tick_searches(fb, now);
	fb_tick_agents(fb, now);
	/* A seed may be starting now, too: the sooner it answers, the
	 * sooner callers are served. */
	if (!fb_has_elapsed(fb->started_ns, STARTING_MS, now))
		contact_seeds(fb, now);
	if (fb_has_elapsed(fb->local_heartbeat_ns,
		fb_has_elapsed(fb->started_ns, STARTING_MS, now)
		    ? LOCAL_HEARTBEAT_MS
		    : STARTING_HEARTBEAT_MS,
		now)) {
		fb->local_heartbeat_ns = now;
		contact_seeds(fb, now);
		send_local_heartbeats(fb, now);
		peers_expire(&fb->peers, now);
		agents_expire(&fb->agents, now);
	}
	if (fb_has_elapsed(fb->remote_heartbeat_ns,
		fb_has_elapsed(fb->started_ns, STARTING_MS, now)
		    ? REMOTE_HEARTBEAT_MS
		    : STARTING_HEARTBEAT_MS,
		now)) {
		fb->remote_heartbeat_ns = now;
		send_remote_heartbeats(fb, now);
	}
}

void
fb_leave(struct fb *fb, uint64_t now)
{
	fb->leaving = true;
	fb_notify_peers(fb, now);
}
