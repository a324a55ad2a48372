#include "flow/balancer_internal.h"

#include "base/clock.h"
#include "base/event.h"

static const char *
outcome_name(enum find_result where)
{
	static const char *const names[] = {
	    "held", "not_held", "unknown", "pending"};

	return names[where];
}

static void
send_reply(struct fb *fb, uint64_t client, const struct find_item *item)
{
	struct peer *peer = peers_find(&fb->peers, client);
	struct flow_msg m = {.kind = FLOW_MSG_FOUND};

	if (peer != NULL) {
		fb_enqueue(fb, client, FLOW_MSG_FOUND, &peer->replies, item);
		return;
	}
	m.u.find.count = 1;
	m.u.find.flows[0] = *item;
	fb_send(fb, client, &m);
}

static void
reply_to_clients(struct fb *fb, const struct search *e, enum find_result where,
    uint64_t owner, uint64_t now)
{
	const struct find_item item = {.flow = e->flow,
	    .ack = e->ack,
	    .where = where,
	    .owner = owner,
	    .probed_ms = flow_times_age_ms(&fb->probed, &e->flow, e->ack, now)};

	for (size_t i = 0; i < e->client_count; i++)
		send_reply(fb, e->clients[i], &item);
}

static void
end_proxied_search(struct fb *fb, struct search *e, enum find_result where,
    uint64_t owner, uint64_t now)
{
	char caller[ADDR_TEXT_MAX], client[ADDR_TEXT_MAX];

	event("proxied_search_ended", "s:s, s:s, s:s, s:i, s:i, s:s, s:I",
	    "caller", addr_text(addr_unpack(e->flow.caller), caller), "client",
	    addr_text(addr_unpack(e->clients[0]), client), "outcome",
	    outcome_name(where), "queried", (int)e->query_count, "pending",
	    (int)e->pending, "uncertainty",
	    fb_uncertainty_name(fb_uncertainty(fb, e, now)), "took_ms",
	    (json_int_t)((now - e->began_ns) / NS_PER_MS));
	reply_to_clients(fb, e, where, owner, now);
	searches_remove(&fb->proxied_searches, e);
}

void
fb_update_proxied_search(
    struct fb *fb, struct search *e, enum search_verdict verdict, uint64_t now)
{
	if (verdict == SEARCH_NOT_FOUND) {
		end_proxied_search(fb, e,
		    e->unknown_agent != 0 ? FIND_UNKNOWN : FIND_NOT_HELD,
		    e->unknown_agent, now);
	} else if (verdict == SEARCH_INCONCLUSIVE) {
		/* The clients would get no more from the same agents. */
		end_proxied_search(fb, e, FIND_PENDING, 0, now);
	} else if (!e->pending_sent &&
		   fb_has_elapsed(e->began_ns, SEARCH_PENDING_REPLY_MS, now)) {
		e->pending_sent = true;
		reply_to_clients(fb, e, FIND_PENDING, 0, now);
	}
}

/*
 * Record an agent that replied FIND_UNKNOWN. Its target has to be probed with a
 * packet of the flow, which only the client has. A reply to the client can name
 * only one such agent; when there are several, this function returns false, and
 * the client has to query the likeliest agents itself.
 */
static bool
set_unknown_agent(struct search *e, uint64_t agent)
{
	if (e->unknown_agent != 0 && e->unknown_agent != agent)
		return false;
	e->unknown_agent = agent;
	return true;
}

void
fb_on_proxied_reply(
    struct fb *fb, uint64_t agent, const struct find_item *found, uint64_t now)
{
	struct search *e = searches_find(&fb->proxied_searches, &found->flow);

	if (e == NULL || !search_is_about(e, found->ack))
		return;
	if (found->where == FIND_HELD) {
		end_proxied_search(fb, e, FIND_HELD, agent, now);
		return;
	}
	if (found->where == FIND_UNKNOWN && !set_unknown_agent(e, agent)) {
		end_proxied_search(fb, e, FIND_UNKNOWN, 0, now);
		return;
	}
	search_handle_reply(e, agent, FIND_NOT_HELD);
	fb_continue_search(fb, e, now);
}

static void
add_proxied_search(
    struct fb *fb, uint64_t client, const struct find_item *query, uint64_t now)
{
	struct search *e = searches_find(&fb->proxied_searches, &query->flow);
	const struct flow_packet p = {.flow = query->flow, .ack = query->ack};
	struct find_item unknown = *query;

	flow_times_add_age(
	    &fb->probed, &query->flow, query->ack, query->probed_ms, now);
	if (e == NULL) {
		ctr_inc(fb->ctr, CTR_PROXIED_SEARCHES);
		e = searches_begin(&fb->proxied_searches, &p, now);
	}
	/* A caller's port can be reused: another acknowledgement number
	 * means another flow. */
	if (e->ack == query->ack && search_add_client(e, client)) {
		e->pending_sent = false;
		fb_continue_search(fb, e, now);
		return;
	}
	unknown.where = FIND_UNKNOWN;
	send_reply(fb, client, &unknown);
}

void
fb_on_queries(struct fb *fb, const struct flow_msg *m, uint64_t now)
{
	for (uint32_t i = 0; i < m->u.find.count; i++)
		add_proxied_search(fb, m->from, &m->u.find.flows[i], now);
}
