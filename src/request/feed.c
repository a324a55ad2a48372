#include "request/agent_state.h"
#include "request/subscription.h"

#include <stdlib.h>
#include <string.h>
#include <uthash.h>
#include <utlist.h>

/** First wait for a caller's acknowledgement of a notification. */
#define NOTIFY_RESEND_NS (2000 * NS_PER_MS)
/** Time that the answer to a registration has to arrive. */
#define FIRST_HOLD_NS (200 * NS_PER_MS)
/** Resends of a notification before its caller counts as gone. */
#define NOTIFY_RESENDS_MAX 3
/** Wait for a peer's word on a handover. */
#define HANDOVER_RESEND_NS (300 * NS_PER_MS)
/** Sequence numbers that a copy may lag behind its owner. */
#define COPY_LAG 32768
/** Sequence numbers are 24 bits (RFC 7641). */
#define OBSERVE_MASK 0xffffff

enum feed_state {
	FEED_OPEN,	  /**< registered at this agent's target */
	FEED_REGISTERING, /**< taken over; the target has not answered yet */
	FEED_MOVING,	  /**< a peer is to take it over */
	FEED_COPY,	  /**< a peer's; kept in case the peer dies */
};

struct feed_key {
	struct flow_key flow;
	uint8_t token[MSG_TOKEN_MAX];
	uint64_t token_len;
};

struct feed {
	struct feed_key key;
	struct subscription *source; /**< NULL for a copy */
	struct flow *flow; /**< NULL for a copy, or without room for it */
	struct token token;
	enum feed_state state;
	uint8_t *request; /**< the caller's registration, owned */
	size_t request_len;
	uint32_t seq;	  /**< last told to the caller */
	uint64_t hold_ns; /**< no notification before then */
	bool unsent;	  /**< the source is newer than what was sent */
	bool outstanding; /**< a notification awaits its ACK */
	uint16_t mid;
	uint64_t resend_ns;
	unsigned resends;
	uint64_t peer; /**< moving to, copied to, or the owner of a copy */
	bool peer_has_copy;
	uint32_t copy_seq;
	uint64_t peer_ns; /**< next message to the peer */
	UT_hash_handle hh;
	struct feed *prev; /**< among the feeds of its source */
	struct feed *next;
	struct feed *flow_prev; /**< among the feeds of its flow */
	struct feed *flow_next;
};

struct feed_table {
	struct feed *feeds;
	size_t copies;
};

struct feed_table *
feed_table_new(void)
{
	return mem_new(sizeof(struct feed_table));
}

static void
feed_delete(struct feed_table *t, struct feed *f)
{
	if (f->state == FEED_COPY)
		t->copies--;
	HASH_DELETE(hh, t->feeds, f);
	free(f->request);
	free(f);
}

void
feed_table_free(struct feed_table *t)
{
	struct feed *f;
	struct feed *tmp;

	if (t == NULL)
		return;
	HASH_ITER(hh, t->feeds, f, tmp)
	{
		feed_delete(t, f);
	}
	free(t);
}

size_t
feed_count(const struct feed_table *t, size_t *copies)
{
	if (copies != NULL)
		*copies = t->copies;
	return HASH_COUNT(t->feeds) - t->copies;
}

static struct feed_key
key_of(const struct flow_key *flow, const struct token *token)
{
	struct feed_key k = {.flow = *flow, .token_len = token->len};

	memcpy(k.token, token->bytes, token->len);
	return k;
}

static struct feed *
find(const struct feed_table *t, const struct flow_key *flow,
    const struct token *token)
{
	struct feed_key k = key_of(flow, token);
	struct feed *f;

	HASH_FIND(hh, t->feeds, &k, sizeof(k), f);
	return f;
}

static struct feed *
add(struct agent *a, const struct flow_key *flow, const struct token *token,
    struct str request, enum feed_state state)
{
	struct feed_table *t = a->feeds;
	struct feed *f = mem_new(sizeof(*f));

	f->key = key_of(flow, token);
	f->token = *token;
	f->state = state;
	f->request = str_dup(request);
	f->request_len = request.len;
	f->mid = (uint16_t)rng_next(a->rng);
	HASH_ADD(hh, t->feeds, key, sizeof(f->key), f);
	if (state == FEED_COPY)
		t->copies++;
	return f;
}

/* Count a feed to its flow and hang it on its source. */
static void
own(struct agent *a, struct feed *f, struct subscription *source, uint64_t now)
{
	struct flow *flow = dir_flow(a->dir, &f->key.flow);

	f->source = source;
	DL_APPEND(source->feeds, f);
	if (flow == NULL)
		flow = dir_adopt(a->dir, &f->key.flow, now);
	f->flow = flow;
	if (flow == NULL)
		return;
	flow->feeds++;
	DL_APPEND2(flow->feed_list, f, flow_prev, flow_next);
}

/* The opposite of own(); the last feed of a source ends it. */
static void
disown(struct agent *a, struct feed *f)
{
	/* A flow with feeds is never released, so the pointer holds. */
	if (f->flow != NULL) {
		f->flow->feeds--;
		DL_DELETE2(f->flow->feed_list, f, flow_prev, flow_next);
		f->flow = NULL;
	}
	DL_DELETE(f->source->feeds, f);
	if (f->source->feeds == NULL)
		subscription_end(a, f->source);
	f->source = NULL;
}

static void
send_handover(
    struct agent *a, struct feed *f, enum handover_mode mode, uint64_t now)
{
	struct msg m = {.kind = MSG_HANDOVER,
	    .u.handover = {
		.mode = mode,
		.flow = f->key.flow,
		.token = f->token,
		.observe = f->seq,
		.request = {(const char *)f->request, f->request_len},
	    }};

	f->peer_ns = now + HANDOVER_RESEND_NS;
	f->copy_seq = f->seq;
	agt_send(a, f->peer, &m);
}

static void
end(struct agent *a, struct feed *f)
{
	if (f->peer_has_copy)
		send_handover(a, f, HANDOVER_DROP, 0);
	disown(a, f);
	feed_delete(a->feeds, f);
	ctr_inc(a->ctr, CTR_FEEDS_ENDED);
}

static void
send_notification(struct agent *a, struct feed *f)
{
	uint8_t buf[MSG_DATAGRAM_MAX + 64];
	struct reply r = {
	    .kind = REPLY_ANSWER,
	    .type = REPLY_BY_CON,
	    .mid = f->mid,
	    .token = f->token,
	    .answer = subscription_latest(f->source),
	    .observe = true,
	    .observe_seq = f->seq,
	};
	size_t n = a->proto->write_reply(&r, buf, sizeof(buf));

	if (n > 0)
		agt_send_caller(a, &f->key.flow, 0,
		    (struct str){(char *)buf, n}, f->resends);
}

/* At most one confirmable notification of a feed is outstanding. */
static void
notify(struct agent *a, struct feed *f, uint64_t now)
{
	if (f->outstanding || !f->unsent || a->revalidating)
		return;
	if (now < f->hold_ns)
		return;
	if (subscription_latest(f->source).len == 0)
		return;
	f->seq = (f->seq + 1) & OBSERVE_MASK;
	f->mid++;
	f->unsent = false;
	f->outstanding = true;
	f->resends = 0;
	f->resend_ns = now + NOTIFY_RESEND_NS;
	ctr_inc(a->ctr, CTR_NOTIFICATIONS);
	send_notification(a, f);
}

uint32_t
feed_open(struct agent *a, const struct origin *o, struct str request,
    struct subscription *source, uint64_t now)
{
	struct feed *f = find(a->feeds, &o->flow, &o->token);

	if (f != NULL && f->state == FEED_COPY) {
		feed_delete(a->feeds, f);
		f = NULL;
	}
	if (f == NULL) {
		f = add(a, &o->flow, &o->token, request, FEED_OPEN);
		f->seq = (uint32_t)rng_below(a->rng, 1024);
		own(a, f, source, now);
		ctr_inc(a->ctr, CTR_FEEDS);
	} else if (f->source != source) {
		disown(a, f);
		own(a, f, source, now);
	}
	f->state = FEED_OPEN;
	f->seq = (f->seq + 1) & OBSERVE_MASK;
	/*
	 * Nobody acknowledges this first answer, and a stock client also hands
	 * an older one to its user: let it arrive before a notification.
	 */
	f->hold_ns = now + FIRST_HOLD_NS;
	return f->seq;
}

bool
feed_repeat(struct agent *a, const struct origin *o)
{
	struct feed *f = find(a->feeds, &o->flow, &o->token);
	struct reply r = {.kind = REPLY_ANSWER, .observe = true};

	if (f == NULL || f->state != FEED_OPEN)
		return false;
	r.answer = subscription_latest(f->source);
	if (r.answer.len == 0)
		return false;
	r.observe_seq = f->seq;
	ctr_inc(a->ctr, CTR_DUPLICATES);
	agt_reply(a, o, &r);
	return true;
}

bool
feed_cancel(
    struct agent *a, const struct flow_key *flow, const struct token *token)
{
	struct feed *f = find(a->feeds, flow, token);

	if (f == NULL || f->state == FEED_COPY)
		return false;
	end(a, f);
	return true;
}

static struct feed *
find_outstanding(struct agent *a, const struct flow_key *key, uint16_t mid)
{
	struct flow *flow = dir_flow(a->dir, key);
	struct feed *f;

	if (flow == NULL)
		return NULL;
	DL_FOREACH2(flow->feed_list, f, flow_next)
	{
		/* Each resend took the next message id. */
		if (f->outstanding && (uint16_t)(f->mid - mid) <= f->resends)
			return f;
	}
	return NULL;
}

bool
feed_caller_word(struct agent *a, const struct flow_key *flow,
    const struct request *r, uint64_t now)
{
	struct feed *f = find_outstanding(a, flow, r->mid);

	if (f == NULL)
		return false;
	if (r->kind == REQUEST_RESET) {
		end(a, f);
		return true;
	}
	f->outstanding = false;
	if (f->state == FEED_OPEN)
		notify(a, f, now);
	return true;
}

void
feed_handle_target_state(
    struct agent *a, struct subscription *source, bool news, uint64_t now)
{
	struct feed *f;
	struct feed *tmp;

	DL_FOREACH_SAFE(source->feeds, f, tmp)
	{
		f->unsent = f->unsent || news;
		if (f->state == FEED_REGISTERING)
			f->state = FEED_OPEN;
		if (f->state == FEED_OPEN)
			notify(a, f, now);
	}
}

/* A copy becomes this agent's feed, at its own target. */
static bool
take_over(struct agent *a, struct feed *f, uint64_t now)
{
	struct str request = {(const char *)f->request, f->request_len};
	struct request r;
	struct subscription *source;

	if (!a->proto->read_request(request, &r))
		return false;
	a->feeds->copies--;
	f->peer = 0;
	f->peer_has_copy = false;
	f->unsent = true;
	/* What the source last said may be older than what the caller saw. */
	source = subscription_register(a, r.digest, request, now);
	f->state = FEED_REGISTERING;
	own(a, f, source, now);
	ctr_inc(a->ctr, CTR_FEEDS_TAKEN);
	return true;
}

static void
keep_copy(struct agent *a, uint64_t from, const struct msg_handover *h)
{
	struct feed *f = find(a->feeds, &h->flow, &h->token);

	if (f != NULL && f->state != FEED_COPY)
		return;
	if (f == NULL)
		f = add(a, &h->flow, &h->token, h->request, FEED_COPY);
	f->seq = h->observe;
	f->peer = from;
}

static void
drop_copy(struct agent *a, uint64_t from, const struct msg_handover *h)
{
	struct feed *f = find(a->feeds, &h->flow, &h->token);

	if (f != NULL && f->state == FEED_COPY && f->peer == from)
		feed_delete(a->feeds, f);
}

static bool
move_here(struct agent *a, const struct msg_handover *h, uint64_t now)
{
	struct feed *f = find(a->feeds, &h->flow, &h->token);

	if (f != NULL && f->state != FEED_COPY)
		return true;
	if (a->leave_ns != 0 || !a->cfg.known || !a->target.up)
		return false;
	if (feed_count(a->feeds, NULL) >= a->cfg.service.connections)
		return false;
	if (f == NULL) {
		f = add(a, &h->flow, &h->token, h->request, FEED_COPY);
		f->seq = h->observe;
	}
	f->seq = h->observe;
	return take_over(a, f, now);
}

void
feed_handover(
    struct agent *a, uint64_t from, const struct msg_handover *h, uint64_t now)
{
	struct msg m = {.kind = MSG_HANDOVER_ACK,
	    .u.handover_ack = {.mode = h->mode,
		.flow = h->flow,
		.token = h->token,
		.accepted = true}};

	switch (h->mode) {
	case HANDOVER_MOVE:
		m.u.handover_ack.accepted = move_here(a, h, now);
		break;
	case HANDOVER_COPY:
		keep_copy(a, from, h);
		break;
	case HANDOVER_DROP:
		drop_copy(a, from, h);
		return;
	}
	agt_send(a, from, &m);
}

void
feed_handover_ack(struct agent *a, uint64_t from,
    const struct msg_handover_ack *h, uint64_t now)
{
	struct feed *f = find(a->feeds, &h->flow, &h->token);
	struct flow *flow;

	if (f == NULL || f->peer != from)
		return;
	if (h->mode == HANDOVER_COPY && f->state == FEED_OPEN) {
		f->peer_has_copy = h->accepted;
		return;
	}
	if (h->mode != HANDOVER_MOVE || f->state != FEED_MOVING)
		return;
	if (!h->accepted) {
		f->peer = 0;
		f->peer_ns = now + HANDOVER_RESEND_NS;
		return;
	}
	disown(a, f);
	/* From here on the caller's datagrams are the peer's. */
	agt_set_owner(a, &f->key.flow, from);
	flow = dir_flow(a->dir, &f->key.flow);
	if (flow != NULL && flow_idle(flow, now))
		registry_release(a, flow);
	feed_delete(a->feeds, f);
	ctr_inc(a->ctr, CTR_FEEDS_MOVED);
}

/*
 * Once a peer was asked it stays the peer until it says no or is dead: with
 * its word lost it may have the feed already, and a second owner would send
 * the caller older sequence numbers.
 */
static void
move_away(struct agent *a, struct feed *f, uint64_t now)
{
	struct mbr_entry *peer;

	if (f->outstanding || now < f->peer_ns)
		return;
	peer = f->peer == 0 ? NULL : mbr_find(a->members, f->peer);
	if (peer == NULL || !mbr_reachable(peer)) {
		peer = load_choose(a->loads,
		    mbr_group(a->members, f->key.flow.service), &a->cfg.service,
		    flow_hash(&f->key.flow), agt_id(a), now);
		if (peer == NULL)
			return;
		f->peer = peer->m.id;
		load_sent(a->loads, f->peer, now);
	} else {
		ctr_inc(a->ctr, CTR_RETRY_HANDOVER);
	}
	send_handover(a, f, HANDOVER_MOVE, now);
}

static void
refresh_copy(struct agent *a, struct feed *f, uint64_t now)
{
	struct mbr_entry *holder;
	uint32_t lag = (f->seq - f->copy_seq) & OBSERVE_MASK;

	if (!a->params.keep_copies || now < f->peer_ns)
		return;
	holder = f->peer == 0 ? NULL : mbr_find(a->members, f->peer);
	if (holder == NULL || !mbr_eligible(holder)) {
		holder = mbr_home(a->members, f->key.flow.service,
		    flow_hash(&f->key.flow), agt_id(a));
		f->peer_has_copy = false;
		f->peer = 0;
		if (holder == NULL || !mbr_eligible(holder)) {
			f->peer_ns = now + HANDOVER_RESEND_NS;
			return;
		}
		f->peer = holder->m.id;
	}
	if (!f->peer_has_copy || lag > COPY_LAG)
		send_handover(a, f, HANDOVER_COPY, now);
}

static void
tick_outstanding(struct agent *a, struct feed *f, uint64_t now)
{
	if (now < f->resend_ns)
		return;
	if (f->resends >= NOTIFY_RESENDS_MAX) {
		end(a, f);
		return;
	}
	/*
	 * A stock client does not acknowledge a message id again, so a resend
	 * is the present state under the next id (RFC 7641, 4.5.2).
	 */
	f->seq = (f->seq + 1) & OBSERVE_MASK;
	f->mid++;
	f->unsent = false;
	f->resends++;
	f->resend_ns = now + (NOTIFY_RESEND_NS << f->resends);
	ctr_inc(a->ctr, CTR_RETRY_NOTIFY);
	send_notification(a, f);
}

static void
tick_copy(struct agent *a, struct feed *f, uint64_t now)
{
	struct mbr_entry *owner = mbr_find(a->members, f->peer);

	if (owner != NULL && owner->m.health != MBR_DEAD &&
	    owner->m.phase != MBR_LEFT)
		return;
	if (owner != NULL && owner->m.phase == MBR_LEFT) {
		/* It handed its feeds over before it left. */
		feed_delete(a->feeds, f);
		return;
	}
	if (a->leave_ns != 0 || a->revalidating || !a->target.up)
		return;
	f->seq = (f->seq + 2 * COPY_LAG) & OBSERVE_MASK;
	if (!take_over(a, f, now))
		feed_delete(a->feeds, f);
}

static void
tick_feed(struct agent *a, struct feed *f, uint64_t now)
{
	if (f->state == FEED_COPY) {
		tick_copy(a, f, now);
		return;
	}
	if (f->state == FEED_REGISTERING && a->leave_ns == 0)
		return;
	if (f->state != FEED_MOVING && a->leave_ns != 0) {
		f->state = FEED_MOVING;
		f->peer = 0;
		f->peer_ns = 0;
	}
	if (f->outstanding) {
		tick_outstanding(a, f, now);
		return;
	}
	if (f->state == FEED_MOVING) {
		move_away(a, f, now);
		return;
	}
	notify(a, f, now);
	refresh_copy(a, f, now);
}

void
feed_tick(struct agent *a, uint64_t now)
{
	struct feed *f;
	struct feed *tmp;

	HASH_ITER(hh, a->feeds->feeds, f, tmp)
	{
		tick_feed(a, f, now);
	}
}

void
feed_move_flow(struct agent *a, const struct flow_key *flow, uint64_t peer)
{
	struct feed *f;
	struct feed *tmp;

	HASH_ITER(hh, a->feeds->feeds, f, tmp)
	{
		if (f->state != FEED_OPEN || !flow_eq(&f->key.flow, flow))
			continue;
		f->state = FEED_MOVING;
		f->peer = peer;
		f->peer_ns = 0;
	}
}

void
feed_superseded(struct agent *a)
{
	struct feed *f;
	struct feed *tmp;

	HASH_ITER(hh, a->feeds->feeds, f, tmp)
	{
		if (f->state == FEED_COPY || !f->peer_has_copy)
			continue;
		disown(a, f);
		feed_delete(a->feeds, f);
	}
}
