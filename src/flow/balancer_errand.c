#include "flow/balancer_parts.h"

#include "base/clock.h"
#include "base/event.h"

static const char *
outcome_name(enum find_result where)
{
	static const char *const names[] = {
	    "here", "nobody", "unknown", "wait"};

	return names[where];
}

static void
answer(struct fb *fb, uint64_t client, const struct find_item *item)
{
	struct peer *peer = peers_find(&fb->peers, client);
	struct flow_msg m = {.kind = FLOW_MSG_FOUND};

	if (peer != NULL) {
		fb_gather(fb, client, FLOW_MSG_FOUND, &peer->answers, item);
		return;
	}
	m.u.find.count = 1;
	m.u.find.flows[0] = *item;
	fb_send(fb, client, &m);
}

static void
answer_all(struct fb *fb, const struct search *e, enum find_result where,
    uint64_t owner)
{
	const struct find_item item = {
	    .flow = e->flow, .ack = e->ack, .where = where, .owner = owner};

	for (size_t i = 0; i < e->client_count; i++)
		answer(fb, e->clients[i], &item);
}

static void
end(struct fb *fb, struct search *e, enum find_result where, uint64_t owner,
    uint64_t now)
{
	char caller[ADDR_TEXT_MAX], client[ADDR_TEXT_MAX];

	event("errand_ended", "s:s, s:s, s:s, s:i, s:i, s:s, s:I", "caller",
	    addr_text(addr_unpack(e->flow.caller), caller), "for",
	    addr_text(addr_unpack(e->clients[0]), client), "outcome",
	    outcome_name(where), "asked", (int)e->query_count, "open",
	    (int)e->pending, "doubt", fb_doubt_name(fb_doubt(fb, e, now)),
	    "took_ms", (json_int_t)((now - e->began_ns) / NS_PER_MS));
	answer_all(fb, e, where, owner);
	searches_remove(&fb->errands, e);
}

void
fb_errand_stands(
    struct fb *fb, struct search *e, enum search_verdict verdict, uint64_t now)
{
	if (verdict == SEARCH_NOT_FOUND) {
		end(fb, e, e->unknown_agent != 0 ? FIND_UNKNOWN : FIND_NOT_HELD,
		    e->unknown_agent, now);
	} else if (verdict == SEARCH_INCONCLUSIVE) {
		/* Those who wait cannot learn more from the same agents. */
		end(fb, e, FIND_PENDING, 0, now);
	} else if (!e->pending_sent &&
		   fb_passed(e->began_ns, SEARCH_PENDING_REPLY_MS, now)) {
		e->pending_sent = true;
		answer_all(fb, e, FIND_PENDING, 0);
	}
}

/*
 * Packets, to be tried at the targets of unsure agents, are at the other
 * balancer. It is told the name of a single one; where there are more it finds
 * the likeliest by itself.
 */
static bool
one_unsure(struct search *e, uint64_t agent)
{
	if (e->unknown_agent != 0 && e->unknown_agent != agent)
		return false;
	e->unknown_agent = agent;
	return true;
}

void
fb_errand_found(
    struct fb *fb, uint64_t agent, const struct find_item *found, uint64_t now)
{
	struct search *e = searches_find(&fb->errands, &found->flow);

	if (e == NULL)
		return;
	if (found->where == FIND_HELD) {
		end(fb, e, FIND_HELD, agent, now);
		return;
	}
	if (found->where == FIND_UNKNOWN && !one_unsure(e, agent)) {
		end(fb, e, FIND_UNKNOWN, 0, now);
		return;
	}
	search_handle_reply(e, agent, FIND_NOT_HELD);
	fb_go_on(fb, e, now);
}

static void
take_errand(
    struct fb *fb, uint64_t client, const struct find_item *asked, uint64_t now)
{
	struct search *e = searches_find(&fb->errands, &asked->flow);
	const struct flow_packet p = {.flow = asked->flow, .ack = asked->ack};
	struct find_item unknown = *asked;

	if (e == NULL) {
		ctr_inc(fb->ctr, CTR_ERRANDS);
		e = searches_begin(&fb->errands, &p, now);
	}
	/* Another opening of a port that is used again is another flow. */
	if (e->ack == asked->ack && search_add_client(e, client)) {
		e->pending_sent = false;
		fb_go_on(fb, e, now);
		return;
	}
	unknown.where = FIND_UNKNOWN;
	answer(fb, client, &unknown);
}

void
fb_on_find(struct fb *fb, const struct flow_msg *m, uint64_t now)
{
	for (uint32_t i = 0; i < m->u.find.count; i++)
		take_errand(fb, m->from, &m->u.find.flows[i], now);
}
