#include "request/agent_state.h"
#include "request/subscription.h"

#include <stdlib.h>
#include <string.h>
#include <uthash.h>
#include <utlist.h>
#include <xxhash.h>

/** Wait before the first resend to the target; doubles with each resend. */
#define RESEND_NS (500 * NS_PER_MS)
/** Most times that an idempotent request is resent to the target. */
#define RESENDS_MAX 3

enum exchange_state {
	EXCHANGE_QUEUED, /**< waits for a free slot at the target */
	EXCHANGE_SENT	 /**< sent to the target */
};

/** A caller's request from its incoming until its answer. */
struct exchange {
	uint64_t id;
	uint64_t dup_hash; /**< finds duplicates that arrive meanwhile */
	struct reply_path reply_path;
	enum request_kind kind;
	enum exchange_state state;
	bool observe_register;
	bool observe_deregister;
	bool later_block;
	bool joins_subscription; /**< a subscription for its digest exists */
	uint8_t digest[DIGEST_LEN];
	bool acked;	/**< the target acknowledged it before answering */
	uint32_t flags; /**< enum datagram_flag */
	uint32_t hops;
	uint8_t *bytes; /**< the caller's datagram, owned */
	size_t len;
	uint64_t deadline_ns;
	uint64_t resend_ns;
	unsigned resends;
	uint16_t mid; /**< of the message to the target; kept for resends */
	struct permit_record *permit; /**< NULL for idempotent requests */
	UT_hash_handle hh;
	UT_hash_handle hh_dup;
	struct exchange *prev;
	struct exchange *next;
};

struct exchange_table {
	uint64_t id_base; /**< upper 32 bits of every id */
	uint32_t next_id; /**< lower 32 bits of the next id */
	struct exchange *by_id;
	struct exchange *by_dup;
	struct exchange *queue;
	uint32_t in_flight;
	uint32_t queued;
};

struct exchange_table *
exc_table_new(uint32_t id_prefix)
{
	struct exchange_table *t = mem_new(sizeof(*t));

	t->id_base = (uint64_t)id_prefix << 32;
	t->next_id = 1;
	return t;
}

uint64_t
exc_next_id(struct exchange_table *t)
{
	return t->id_base | t->next_id++;
}

uint32_t
exc_in_flight(const struct agent *a)
{
	return a->exchanges->in_flight;
}

uint32_t
exc_queued(const struct agent *a)
{
	return a->exchanges->queued;
}

static uint64_t
dup_hash(const struct flow_key *flow, const struct request *r)
{
	struct {
		struct flow_key flow;
		uint8_t token[MSG_TOKEN_MAX];
		uint32_t mid;
		uint32_t len;
	} k = {.flow = *flow, .mid = r->mid, .len = r->token.len};

	memcpy(k.token, r->token.bytes, r->token.len);
	return XXH3_64bits(&k, sizeof(k));
}

static void
exchange_delete(struct exchange_table *t, struct exchange *x)
{
	HASH_DELETE(hh, t->by_id, x);
	HASH_DELETE(hh_dup, t->by_dup, x);
	free(x->bytes);
	free(x);
}

void
exc_table_free(struct exchange_table *t)
{
	struct exchange *x;
	struct exchange *tmp;

	if (t == NULL)
		return;
	HASH_ITER(hh, t->by_id, x, tmp)
	{
		exchange_delete(t, x);
	}
	free(t);
}

static void
write_to_target(struct agent *a, struct exchange *x, uint64_t now)
{
	uint8_t buf[MSG_DATAGRAM_MAX + 64];
	uint64_t left_ns = x->deadline_ns > now ? x->deadline_ns - now : 0;
	struct target_message out = {
	    .request = {(const char *)x->bytes, x->len},
	    .exchange_id = x->id,
	    .mid = x->mid,
	    .deadline_ms = (uint32_t)(left_ns / NS_PER_MS),
	    .observe = x->joins_subscription ? OBSERVE_REMOVE : OBSERVE_KEEP,
	};
	size_t n = a->proto->write_target_message(&out, buf, sizeof(buf));

	if (n > 0)
		a->ops.send_target(a->ops.ctx, (struct str){(char *)buf, n});
}

/* Sends a request to the target for the first time. */
static void
start_exchange(struct agent *a, struct exchange *x, uint64_t now)
{
	x->state = EXCHANGE_SENT;
	x->mid = agt_next_target_mid(a);
	x->resend_ns = now + RESEND_NS;
	a->exchanges->in_flight++;
	a->load.started++;
	a->last_start_ns = now;
	ctr_inc(a->ctr, CTR_TARGET_OUT);
	if (x->permit != NULL) {
		permit_mark_sent(x->permit);
		ctr_inc(a->ctr, CTR_RUNS);
	}
	write_to_target(a, x, now);
}

static void
end_flow_request(struct agent *a, const struct exchange *x)
{
	struct flow *f = dir_find_flow(a->dir, &x->reply_path.flow);

	if (f != NULL && f->in_flight > 0)
		f->in_flight--;
}

static void
dequeue(struct agent *a, struct exchange *x)
{
	DL_DELETE(a->exchanges->queue, x);
	a->exchanges->queued--;
}

/* Refuses an exchange that was not sent to the target, and deletes it. */
static void
refuse_exchange(
    struct agent *a, struct exchange *x, const char *reason, enum counter ctr)
{
	if (x->permit != NULL)
		permit_revoke(x->permit, reason);
	agt_reply_not_run(a, &x->reply_path, reason, ctr);
	end_flow_request(a, x);
	exchange_delete(a->exchanges, x);
}

static void
start_queued(struct agent *a, uint64_t now)
{
	struct exchange_table *t = a->exchanges;

	while (t->queue != NULL && t->in_flight < a->cfg.service.slots) {
		struct exchange *x = t->queue;

		dequeue(a, x);
		if (now >= x->deadline_ns)
			refuse_exchange(
			    a, x, "deadline passed", CTR_REFUSE_DEADLINE);
		else if (!agt_can_start_request(a, now))
			refuse_exchange(
			    a, x, "target is leaving", CTR_REFUSE_LEAVING);
		else
			start_exchange(a, x, now);
	}
}

static void
finish_exchange(struct agent *a, struct exchange *x, uint64_t now)
{
	a->exchanges->in_flight--;
	end_flow_request(a, x);
	exchange_delete(a->exchanges, x);
	start_queued(a, now);
}

/*
 * Forwards an idempotent request that the target here did not run to a peer.
 * Requests for later blocks are not retried, since all blocks of a download
 * must come from one target. A request is retried only once.
 */
static bool
retry_at_peer(
    struct agent *a, const struct exchange *x, enum counter ctr, uint64_t now)
{
	struct msg_datagram d = {
	    .flow = x->reply_path.flow,
	    .via = x->reply_path.via,
	    .hops = x->hops + 1,
	    .bytes = {(const char *)x->bytes, x->len},
	};
	struct mbr_entry *peer;

	if (x->permit != NULL || x->later_block || x->observe_register)
		return false;
	if ((x->flags & DGRAM_RETRIED) != 0 || now >= x->deadline_ns)
		return false;
	peer = load_choose(a->loads,
	    mbr_group(a->members, x->reply_path.flow.service), &a->cfg.service,
	    flow_hash(&x->reply_path.flow), agt_id(a), now);
	if (peer == NULL)
		return false;
	if (!budget_take_retry(&a->budget)) {
		ctr_inc(a->ctr, CTR_RETRY_BUDGET);
		return false;
	}
	ctr_inc(a->ctr, ctr);
	load_count_sent(a->loads, peer->m.id, now);
	return agt_forward(a, peer->m.id, &d, DGRAM_RETRIED,
	    (uint32_t)((x->deadline_ns - now) / NS_PER_MS));
}

static bool
has_room(const struct agent *a)
{
	const struct exchange_table *t = a->exchanges;

	if (t->in_flight < a->cfg.service.slots)
		return true;
	return t->queued < a->cfg.service.queue;
}

static void
admit_exchange(struct agent *a, struct exchange *x, uint64_t now)
{
	struct exchange_table *t = a->exchanges;

	if (!agt_can_start_request(a, now)) {
		refuse_exchange(a, x, "target is leaving", CTR_REFUSE_LEAVING);
		return;
	}
	if (!has_room(a)) {
		if (retry_at_peer(a, x, CTR_RETRY_FULL, now)) {
			end_flow_request(a, x);
			exchange_delete(t, x);
			return;
		}
		refuse_exchange(a, x, "queue full", CTR_REFUSE_QUEUE);
		return;
	}
	if (t->in_flight < a->cfg.service.slots && t->queue == NULL) {
		start_exchange(a, x, now);
		return;
	}
	x->state = EXCHANGE_QUEUED;
	DL_APPEND(t->queue, x);
	t->queued++;
}

static uint32_t
deadline_ms(const struct agent *a, const struct incoming *in)
{
	uint32_t limit = a->cfg.service.deadline_ms;

	if (in->dgram->deadline_ms > 0 && in->dgram->deadline_ms < limit)
		limit = in->dgram->deadline_ms;
	if (in->request->deadline_ms > 0 && in->request->deadline_ms < limit)
		limit = in->request->deadline_ms;
	return limit;
}

/* Creates an exchange for a request, and starts, queues or refuses it. */
static void
create_exchange(struct agent *a, const struct incoming *in,
    struct permit_record *record, uint64_t now)
{
	struct exchange_table *t = a->exchanges;
	struct flow *f = dir_find_flow(a->dir, &in->dgram->flow);
	struct exchange *x = mem_new(sizeof(*x));

	x->id = exc_next_id(t);
	x->dup_hash = dup_hash(&in->dgram->flow, in->request);
	x->reply_path = agt_reply_path(in);
	x->kind = in->request->kind;
	x->observe_register = in->request->observe_register;
	x->observe_deregister = in->request->observe_deregister;
	x->later_block = in->request->later_block;
	memcpy(x->digest, in->request->digest, DIGEST_LEN);
	x->joins_subscription =
	    x->observe_register && subscription_find(a, x->digest) != NULL;
	x->flags = in->dgram->flags;
	x->hops = in->dgram->hops;
	x->bytes = str_dup(in->dgram->bytes);
	x->len = in->dgram->bytes.len;
	x->deadline_ns = now + deadline_ms(a, in) * NS_PER_MS;
	x->permit = record;
	HASH_ADD(hh, t->by_id, id, sizeof(uint64_t), x);
	HASH_ADD(hh_dup, t->by_dup, dup_hash, sizeof(uint64_t), x);
	if (record != NULL) {
		record->state = PERMIT_IN_USE;
		record->exchange_id = x->id;
	}
	if (f != NULL)
		f->in_flight++;
	admit_exchange(a, x, now);
}

static void
replay_answer(struct agent *a, const struct reply_path *o,
    const struct permit_record *record)
{
	struct reply r = {
	    .kind = REPLY_ANSWER,
	    .answer = {(const char *)record->answer, record->answer_len},
	};

	ctr_inc(a->ctr, CTR_RUN_REPLAYS);
	agt_reply(a, o, &r);
}

/* Handles a request whose permit has a record. */
static void
use_permit(struct agent *a, const struct incoming *in,
    struct permit_record *record, uint64_t now)
{
	struct reply_path o = agt_reply_path(in);
	struct exchange *x;

	switch (record->state) {
	case PERMIT_ISSUED:
		if (now >= record->expiry_ns) {
			permit_revoke(record, "permit expired");
			agt_reply_not_run(
			    a, &o, "permit expired", CTR_REFUSE_EXPIRED);
			return;
		}
		create_exchange(a, in, record, now);
		return;
	case PERMIT_IN_USE:
		HASH_FIND(hh, a->exchanges->by_id, &record->exchange_id,
		    sizeof(uint64_t), x);
		if (x != NULL && in->request->has_permit)
			x->reply_path = o;
		ctr_inc(a->ctr, CTR_DUPLICATES);
		return;
	case PERMIT_ANSWERED:
		replay_answer(a, &o, record);
		return;
	case PERMIT_OUTCOME_UNKNOWN:
		agt_reply_unknown(
		    a, &o, "no answer in time", CTR_UNKNOWN_TIMEOUT);
		return;
	case PERMIT_REVOKED:
		agt_reply_not_run(a, &o, record->reason, CTR_RUN_REPLAYS);
		return;
	}
}

/*
 * Refuses a request that carries no permit. A permit that was issued to an
 * earlier copy of the request is revoked: the caller may still receive the
 * challenge with that permit, and must not be able to run the request after the
 * refusal.
 */
static void
refuse_unpermitted(struct agent *a, const struct reply_path *o,
    struct permit_record *record, const char *reason, enum counter ctr)
{
	if (record != NULL)
		permit_revoke(record, reason);
	agt_reply_not_run(a, o, reason, ctr);
}

static void
challenge(struct agent *a, const struct incoming *in, uint64_t now)
{
	const struct flow_key *flow = &in->dgram->flow;
	struct permit_record *record =
	    permit_find(a->permits, flow, in->request);
	struct reply_path o = agt_reply_path(in);
	uint8_t permit[PERMIT_LEN];
	struct reply r = {.kind = REPLY_CHALLENGE, .permit = permit};

	if (record != NULL && record->state != PERMIT_ISSUED) {
		use_permit(a, in, record, now);
		return;
	}
	if (!agt_can_start_request(a, now)) {
		refuse_unpermitted(
		    a, &o, record, "target is leaving", CTR_REFUSE_LEAVING);
		return;
	}
	if (!has_room(a)) {
		refuse_unpermitted(
		    a, &o, record, "queue full", CTR_REFUSE_QUEUE);
		return;
	}
	if (!permit_issue(a->permits, flow, in->request, now, permit)) {
		agt_reply_not_run(a, &o, "too many permits", CTR_REFUSE_STATE);
		return;
	}
	ctr_inc(a->ctr, CTR_CHALLENGES);
	agt_reply(a, &o, &r);
}

static void
handle_non_idempotent(struct agent *a, const struct incoming *in, uint64_t now)
{
	struct reply_path o = agt_reply_path(in);
	struct permit_record *record = NULL;

	if (!in->request->has_permit) {
		challenge(a, in, now);
		return;
	}
	switch (
	    permit_verify(a->permits, &in->dgram->flow, in->request, &record)) {
	case PERMIT_VALID:
		use_permit(a, in, record, now);
		return;
	case PERMIT_OTHER_ISSUER:
	case PERMIT_OLD_INCARNATION:
		agt_reply_unknown(a, &o, "issuer is gone", CTR_UNKNOWN_ISSUER);
		return;
	case PERMIT_FORGED:
		/* A forged permit cannot run anything: treat it as missing. */
		ctr_inc(a->ctr, CTR_REFUSE_FORGED);
		challenge(a, in, now);
		return;
	case PERMIT_NO_RECORD:
		agt_reply_unknown(a, &o, "permit is too old", CTR_UNKNOWN_OLD);
		return;
	}
}

/*
 * Handles a duplicate of a request in progress: the answer is sent through the
 * balancer that forwarded the duplicate.
 */
static bool
join_duplicate(struct agent *a, const struct incoming *in)
{
	uint64_t hash = dup_hash(&in->dgram->flow, in->request);
	struct exchange *x;

	HASH_FIND(hh_dup, a->exchanges->by_dup, &hash, sizeof(hash), x);
	if (x == NULL)
		return false;
	x->reply_path.via = in->dgram->via;
	ctr_inc(a->ctr, CTR_DUPLICATES);
	return true;
}

void
exc_handle_request(struct agent *a, const struct incoming *in, uint64_t now)
{
	struct reply_path o = agt_reply_path(in);

	if (join_duplicate(a, in))
		return;
	if (in->request->kind == REQUEST_NON_IDEMPOTENT) {
		handle_non_idempotent(a, in, now);
		return;
	}
	if (in->request->observe_register && feed_replay_answer(a, &o))
		return;
	if (in->request->observe_deregister)
		feed_cancel(a, &in->dgram->flow, &in->request->token);
	if (in->request->observe_register &&
	    feed_count(a->feeds, NULL) >= a->cfg.service.connections) {
		agt_reply_not_run(
		    a, &o, "too many connections", CTR_REFUSE_CONNECTIONS);
		return;
	}
	create_exchange(a, in, NULL, now);
}

static void
update_download(struct agent *a, const struct exchange *x,
    const struct answer *ans, uint64_t now)
{
	struct flow *f = dir_find_flow(a->dir, &x->reply_path.flow);

	if (f == NULL)
		return;
	if (ans->more_blocks)
		f->last_block_ns = now;
	else if (x->later_block)
		f->last_block_ns = 0;
}

static void
handle_shed(struct agent *a, struct exchange *x, uint64_t now)
{
	if (x->permit != NULL)
		permit_mark_shed(x->permit, "target shed it");
	else if (retry_at_peer(a, x, CTR_RETRY_SHED, now))
		return;
	agt_reply_not_run(a, &x->reply_path, "target shed it", CTR_REFUSE_SHED);
}

static uint32_t
open_feed(struct agent *a, const struct exchange *x, const struct answer *ans,
    struct str dgram, uint64_t now)
{
	struct str request = {(const char *)x->bytes, x->len};
	struct subscription *s;

	s = x->joins_subscription ? subscription_find(a, x->digest) : NULL;
	if (s == NULL && x->joins_subscription)
		s = subscription_register(a, x->digest, request, now);
	if (s == NULL)
		s = subscription_open(
		    a, x->digest, request, x->id, ans, dgram, now);
	return feed_open(a, &x->reply_path, request, s, now);
}

static void
deliver_answer(struct agent *a, struct exchange *x, const struct answer *ans,
    struct str dgram, uint64_t now)
{
	struct reply r = {.kind = REPLY_ANSWER, .answer = dgram};

	if (x->permit != NULL)
		permit_set_answer(x->permit, dgram);
	if (x->observe_register && ans->success &&
	    (ans->has_observe || x->joins_subscription)) {
		r.observe = true;
		r.observe_seq = open_feed(a, x, ans, dgram, now);
	}
	update_download(a, x, ans, now);
	budget_add_success(&a->budget, a->cfg.service.retry_percent);
	agt_reply(a, &x->reply_path, &r);
}

void
exc_handle_ack(struct agent *a, uint16_t mid)
{
	struct exchange *x;
	struct exchange *tmp;

	HASH_ITER(hh, a->exchanges->by_id, x, tmp)
	{
		if (x->state == EXCHANGE_SENT && x->mid == mid)
			x->acked = true;
	}
}

bool
exc_handle_answer(
    struct agent *a, const struct answer *ans, struct str dgram, uint64_t now)
{
	struct exchange *x;

	HASH_FIND(hh, a->exchanges->by_id, &ans->exchange_id,
	    sizeof(ans->exchange_id), x);
	if (x == NULL || x->state != EXCHANGE_SENT)
		return false;
	ctr_inc(a->ctr, CTR_TARGET_ANSWERS);
	if (ans->shed)
		handle_shed(a, x, now);
	else
		deliver_answer(a, x, ans, dgram, now);
	finish_exchange(a, x, now);
	return true;
}

static void
handle_timeout(struct agent *a, struct exchange *x, uint64_t now)
{
	if (x->state == EXCHANGE_QUEUED) {
		dequeue(a, x);
		refuse_exchange(a, x, "deadline passed", CTR_REFUSE_DEADLINE);
		return;
	}
	if (x->permit != NULL)
		x->permit->state = PERMIT_OUTCOME_UNKNOWN;
	agt_reply_unknown(
	    a, &x->reply_path, "no answer in time", CTR_UNKNOWN_TIMEOUT);
	finish_exchange(a, x, now);
}

static void
resend(struct agent *a, struct exchange *x, uint64_t now)
{
	/* A non-idempotent request is sent to the target only once. */
	if (x->permit != NULL || x->acked || x->resends >= RESENDS_MAX)
		return;
	if (!budget_take_retry(&a->budget)) {
		ctr_inc(a->ctr, CTR_RETRY_BUDGET);
		x->resends = RESENDS_MAX;
		return;
	}
	x->resends++;
	x->resend_ns = now + (RESEND_NS << x->resends);
	ctr_inc(a->ctr, CTR_RETRY_LOST);
	write_to_target(a, x, now);
}

void
exc_tick(struct agent *a, uint64_t now)
{
	struct exchange_table *t = a->exchanges;
	bool again = true;

	while (again) {
		struct exchange *x;
		struct exchange *tmp;

		again = false;
		HASH_ITER(hh, t->by_id, x, tmp)
		{
			if (now >= x->deadline_ns) {
				/* May delete or start further exchanges. */
				handle_timeout(a, x, now);
				again = true;
				break;
			}
			if (x->state == EXCHANGE_SENT && now >= x->resend_ns)
				resend(a, x, now);
		}
	}
	start_queued(a, now);
}
