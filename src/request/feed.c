#include "request/agent_state.h"
#include "request/subscription.h"

#include <stdlib.h>
#include <string.h>
#include <uthash.h>
#include <utlist.h>

/** Wait before the first resend of a notification; doubles with each. */
#define NOTIFY_RESEND_NS (2000 * NS_PER_MS)
/** Time from the answer to a registration to the first notification. */
#define FIRST_NOTIFY_HOLD_NS (200 * NS_PER_MS)
/** Resends of a notification before its feed ends: the caller is gone. */
#define NOTIFY_RESENDS_MAX 3
/** Wait for a peer's reply before a handover is sent again. */
#define HANDOVER_RESEND_NS (300 * NS_PER_MS)
/** Most sequence numbers that a copy may lag behind its owner. */
#define COPY_SEQ_LAG_MAX 32768
/** Observe sequence numbers have 24 bits (RFC 7641). */
#define OBSERVE_SEQ_MASK 0xffffff

/** State of a feed, which is a caller's observation (RFC 7641). */
enum feed_state {
	FEED_OPEN,	  /**< registered at this agent's target */
	FEED_REGISTERING, /**< taken over; this target has not answered yet */
	FEED_MOVING,	  /**< is being handed over to a peer */
	FEED_COPY,	  /**< copy of a peer's feed, used if the peer dies */
};

struct feed_key {
	struct flow_key flow;
	uint8_t token[MSG_TOKEN_MAX];
	uint64_t token_len;
};

struct feed {
	struct feed_key key;
	struct subscription *subscription; /**< NULL for a copy */
	struct flow *flow; /**< NULL for a copy, or if the directory is full */
	struct token token;
	enum feed_state state;
	uint8_t *request; /**< the caller's registration, owned */
	size_t request_len;
	uint32_t seq;		/**< Observe sequence number sent last */
	uint64_t hold_until_ns; /**< no notification before this time */
	bool update_pending;	/**< the latest state was not sent yet */
	bool awaiting_ack;	/**< a notification awaits its ACK */
	uint16_t mid;
	uint64_t resend_ns;
	unsigned resends;
	uint64_t peer; /**< receiver of the feed or its copy; owner of a copy */
	bool peer_has_copy;
	uint32_t copy_seq;    /**< seq in the last handover message */
	uint64_t peer_due_ns; /**< next message to the peer */
	UT_hash_handle hh;
	struct feed *prev; /**< in the list of its subscription */
	struct feed *next;
	struct feed *flow_prev; /**< in the list of its flow */
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
find_feed(const struct feed_table *t, const struct flow_key *flow,
    const struct token *token)
{
	struct feed_key k = key_of(flow, token);
	struct feed *f;

	HASH_FIND(hh, t->feeds, &k, sizeof(k), f);
	return f;
}

static struct feed *
add_feed(struct agent *a, const struct flow_key *flow,
    const struct token *token, struct str request, enum feed_state state)
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

/* Adds a feed to the lists of its subscription and its flow. */
static void
attach_feed(struct agent *a, struct feed *f, struct subscription *subscription,
    uint64_t now)
{
	struct flow *flow = dir_find_flow(a->dir, &f->key.flow);

	f->subscription = subscription;
	DL_APPEND(subscription->feeds, f);
	if (flow == NULL)
		flow = dir_add_flow(a->dir, &f->key.flow, now);
	f->flow = flow;
	if (flow == NULL)
		return;
	flow->feeds++;
	DL_APPEND2(flow->feed_list, f, flow_prev, flow_next);
}

/* Removes a feed from both lists, and ends a subscription without feeds. */
static void
detach_feed(struct agent *a, struct feed *f)
{
	/* A flow with feeds is never released, so the pointer is valid. */
	if (f->flow != NULL) {
		f->flow->feeds--;
		DL_DELETE2(f->flow->feed_list, f, flow_prev, flow_next);
		f->flow = NULL;
	}
	DL_DELETE(f->subscription->feeds, f);
	if (f->subscription->feeds == NULL)
		subscription_end(a, f->subscription);
	f->subscription = NULL;
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

	f->peer_due_ns = now + HANDOVER_RESEND_NS;
	f->copy_seq = f->seq;
	agt_send(a, f->peer, &m);
}

static void
end_feed(struct agent *a, struct feed *f)
{
	if (f->peer_has_copy)
		send_handover(a, f, HANDOVER_DROP, 0);
	detach_feed(a, f);
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
	    .answer = subscription_latest(f->subscription),
	    .observe = true,
	    .observe_seq = f->seq,
	};
	size_t n = a->proto->write_reply(&r, buf, sizeof(buf));

	if (n > 0)
		agt_send_caller(a, &f->key.flow, 0,
		    (struct str){(char *)buf, n}, f->resends);
}

/*
 * Sends a pending update. Each feed has at most one confirmable notification
 * outstanding.
 */
static void
notify_caller(struct agent *a, struct feed *f, uint64_t now)
{
	if (f->awaiting_ack || !f->update_pending || a->revalidating)
		return;
	if (now < f->hold_until_ns)
		return;
	if (subscription_latest(f->subscription).len == 0)
		return;
	f->seq = (f->seq + 1) & OBSERVE_SEQ_MASK;
	f->mid++;
	f->update_pending = false;
	f->awaiting_ack = true;
	f->resends = 0;
	f->resend_ns = now + NOTIFY_RESEND_NS;
	ctr_inc(a->ctr, CTR_NOTIFICATIONS);
	send_notification(a, f);
}

uint32_t
feed_open(struct agent *a, const struct reply_path *o, struct str request,
    struct subscription *subscription, uint64_t now)
{
	struct feed *f = find_feed(a->feeds, &o->flow, &o->token);

	if (f != NULL && f->state == FEED_COPY) {
		feed_delete(a->feeds, f);
		f = NULL;
	}
	if (f == NULL) {
		f = add_feed(a, &o->flow, &o->token, request, FEED_OPEN);
		f->seq = (uint32_t)rng_below(a->rng, 1024);
		attach_feed(a, f, subscription, now);
		ctr_inc(a->ctr, CTR_FEEDS_OPENED);
	} else if (f->subscription != subscription) {
		detach_feed(a, f);
		attach_feed(a, f, subscription, now);
	}
	f->state = FEED_OPEN;
	f->seq = (f->seq + 1) & OBSERVE_SEQ_MASK;
	/*
	 * The first answer is not acknowledged, and a stock client passes it to
	 * its user even after a newer notification. So no notification is sent
	 * until it has had time to arrive.
	 */
	f->hold_until_ns = now + FIRST_NOTIFY_HOLD_NS;
	return f->seq;
}

bool
feed_replay_answer(struct agent *a, const struct reply_path *o)
{
	struct feed *f = find_feed(a->feeds, &o->flow, &o->token);
	struct reply r = {.kind = REPLY_ANSWER, .observe = true};

	if (f == NULL || f->state != FEED_OPEN)
		return false;
	r.answer = subscription_latest(f->subscription);
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
	struct feed *f = find_feed(a->feeds, flow, token);

	if (f == NULL || f->state == FEED_COPY)
		return false;
	end_feed(a, f);
	return true;
}

static struct feed *
find_awaiting_ack(struct agent *a, const struct flow_key *key, uint16_t mid)
{
	struct flow *flow = dir_find_flow(a->dir, key);
	struct feed *f;

	if (flow == NULL)
		return NULL;
	DL_FOREACH2(flow->feed_list, f, flow_next)
	{
		/* Each resend uses the next message id. */
		if (f->awaiting_ack && (uint16_t)(f->mid - mid) <= f->resends)
			return f;
	}
	return NULL;
}

bool
feed_handle_ack_or_reset(struct agent *a, const struct flow_key *flow,
    const struct request *r, uint64_t now)
{
	struct feed *f = find_awaiting_ack(a, flow, r->mid);

	if (f == NULL)
		return false;
	if (r->kind == REQUEST_RESET) {
		end_feed(a, f);
		return true;
	}
	f->awaiting_ack = false;
	if (f->state == FEED_OPEN)
		notify_caller(a, f, now);
	return true;
}

void
feed_handle_target_state(struct agent *a, struct subscription *subscription,
    bool changed, uint64_t now)
{
	struct feed *f;
	struct feed *tmp;

	DL_FOREACH_SAFE(subscription->feeds, f, tmp)
	{
		f->update_pending = f->update_pending || changed;
		if (f->state == FEED_REGISTERING)
			f->state = FEED_OPEN;
		if (f->state == FEED_OPEN)
			notify_caller(a, f, now);
	}
}

/* Turns a copy into this agent's feed, registered at its own target. */
static bool
take_over(struct agent *a, struct feed *f, uint64_t now)
{
	struct str request = {(const char *)f->request, f->request_len};
	struct request r;
	struct subscription *subscription;

	if (!a->proto->read_request(request, &r))
		return false;
	a->feeds->copies--;
	f->peer = 0;
	f->peer_has_copy = false;
	f->update_pending = true;
	/* The target's last datagram may be older than what the caller has. */
	subscription = subscription_register(a, r.digest, request, now);
	f->state = FEED_REGISTERING;
	attach_feed(a, f, subscription, now);
	ctr_inc(a->ctr, CTR_FEEDS_TAKEN);
	return true;
}

static void
store_copy(struct agent *a, uint64_t from, const struct msg_handover *h)
{
	struct feed *f = find_feed(a->feeds, &h->flow, &h->token);

	if (f != NULL && f->state != FEED_COPY)
		return;
	if (f == NULL)
		f = add_feed(a, &h->flow, &h->token, h->request, FEED_COPY);
	f->seq = h->observe;
	f->peer = from;
}

static void
drop_copy(struct agent *a, uint64_t from, const struct msg_handover *h)
{
	struct feed *f = find_feed(a->feeds, &h->flow, &h->token);

	if (f != NULL && f->state == FEED_COPY && f->peer == from)
		feed_delete(a->feeds, f);
}

static bool
accept_move(struct agent *a, const struct msg_handover *h, uint64_t now)
{
	struct feed *f = find_feed(a->feeds, &h->flow, &h->token);

	if (f != NULL && f->state != FEED_COPY)
		return true;
	if (a->leave_ns != 0 || !a->cfg.known || !a->target.up)
		return false;
	if (feed_count(a->feeds, NULL) >= a->cfg.service.connections)
		return false;
	if (f == NULL) {
		f = add_feed(a, &h->flow, &h->token, h->request, FEED_COPY);
		f->seq = h->observe;
	}
	f->seq = h->observe;
	return take_over(a, f, now);
}

void
feed_handle_handover(
    struct agent *a, uint64_t from, const struct msg_handover *h, uint64_t now)
{
	struct msg m = {.kind = MSG_HANDOVER_ACK,
	    .u.handover_ack = {.mode = h->mode,
		.flow = h->flow,
		.token = h->token,
		.accepted = true}};

	switch (h->mode) {
	case HANDOVER_MOVE:
		m.u.handover_ack.accepted = accept_move(a, h, now);
		break;
	case HANDOVER_COPY:
		store_copy(a, from, h);
		break;
	case HANDOVER_DROP:
		drop_copy(a, from, h);
		return;
	}
	agt_send(a, from, &m);
}

void
feed_handle_handover_ack(struct agent *a, uint64_t from,
    const struct msg_handover_ack *h, uint64_t now)
{
	struct feed *f = find_feed(a->feeds, &h->flow, &h->token);
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
		f->peer_due_ns = now + HANDOVER_RESEND_NS;
		return;
	}
	detach_feed(a, f);
	/* From now on the peer serves the caller's datagrams. */
	agt_set_flow_owner(a, &f->key.flow, from);
	flow = dir_find_flow(a->dir, &f->key.flow);
	if (flow != NULL && flow_is_idle(flow, now))
		registry_release(a, flow);
	feed_delete(a->feeds, f);
	ctr_inc(a->ctr, CTR_FEEDS_MOVED);
}

/*
 * Asks a peer to take the feed over. The peer stays the same until it refuses
 * or dies: if its reply was lost, it may own the feed already, and a second
 * owner would send the caller older sequence numbers.
 */
static void
request_move(struct agent *a, struct feed *f, uint64_t now)
{
	struct mbr_entry *peer;

	if (f->awaiting_ack || now < f->peer_due_ns)
		return;
	peer = f->peer == 0 ? NULL : mbr_find(a->members, f->peer);
	if (peer == NULL || !mbr_is_reachable(peer)) {
		peer = load_choose(a->loads,
		    mbr_group(a->members, f->key.flow.service), &a->cfg.service,
		    flow_hash(&f->key.flow), agt_id(a), now);
		if (peer == NULL)
			return;
		f->peer = peer->m.id;
		load_count_sent(a->loads, f->peer, now);
	} else {
		ctr_inc(a->ctr, CTR_RETRY_HANDOVER);
	}
	send_handover(a, f, HANDOVER_MOVE, now);
}

/* Sends a copy of the feed to a peer if it lacks one or has an old one. */
static void
refresh_copy(struct agent *a, struct feed *f, uint64_t now)
{
	struct mbr_entry *holder;
	uint32_t lag = (f->seq - f->copy_seq) & OBSERVE_SEQ_MASK;

	if (!a->params.keep_copies || now < f->peer_due_ns)
		return;
	holder = f->peer == 0 ? NULL : mbr_find(a->members, f->peer);
	if (holder == NULL || !mbr_is_eligible(holder)) {
		holder = mbr_home(a->members, f->key.flow.service,
		    flow_hash(&f->key.flow), agt_id(a));
		f->peer_has_copy = false;
		f->peer = 0;
		if (holder == NULL || !mbr_is_eligible(holder)) {
			f->peer_due_ns = now + HANDOVER_RESEND_NS;
			return;
		}
		f->peer = holder->m.id;
	}
	if (!f->peer_has_copy || lag > COPY_SEQ_LAG_MAX)
		send_handover(a, f, HANDOVER_COPY, now);
}

static void
tick_awaiting_ack(struct agent *a, struct feed *f, uint64_t now)
{
	if (now < f->resend_ns)
		return;
	if (f->resends >= NOTIFY_RESENDS_MAX) {
		end_feed(a, f);
		return;
	}
	/*
	 * A stock client does not acknowledge the same message id twice, so a
	 * resend carries the current state under the next message id (RFC 7641,
	 * 4.5.2).
	 */
	f->seq = (f->seq + 1) & OBSERVE_SEQ_MASK;
	f->mid++;
	f->update_pending = false;
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
		/* An agent hands its feeds over before it leaves. */
		feed_delete(a->feeds, f);
		return;
	}
	if (a->leave_ns != 0 || a->revalidating || !a->target.up)
		return;
	f->seq = (f->seq + 2 * COPY_SEQ_LAG_MAX) & OBSERVE_SEQ_MASK;
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
		f->peer_due_ns = 0;
	}
	if (f->awaiting_ack) {
		tick_awaiting_ack(a, f, now);
		return;
	}
	if (f->state == FEED_MOVING) {
		request_move(a, f, now);
		return;
	}
	notify_caller(a, f, now);
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
		f->peer_due_ns = 0;
	}
}

void
feed_drop_taken_over(struct agent *a)
{
	struct feed *f;
	struct feed *tmp;

	HASH_ITER(hh, a->feeds->feeds, f, tmp)
	{
		if (f->state == FEED_COPY || !f->peer_has_copy)
			continue;
		detach_feed(a, f);
		feed_delete(a->feeds, f);
	}
}
