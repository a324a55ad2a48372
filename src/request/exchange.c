#include "request/agent_state.h"
#include "request/subscription.h"

#include <stdlib.h>
#include <string.h>
#include <uthash.h>
#include <utlist.h>
#include <xxhash.h>

/** First wait for a target's answer before an idempotent request is resent. */
#define RESEND_NS (500 * NS_PER_MS)
/** Resends of an idempotent request to the target. */
#define RESENDS_MAX 3

enum exchange_state {
	EXCHANGE_QUEUED,
	EXCHANGE_SENT
};

struct exchange {
	uint64_t number;
	uint64_t dup_hash;
	struct origin origin;
	enum request_kind kind;
	enum exchange_state state;
	bool observe_register;
	bool observe_deregister;
	bool later_block;
	bool joins_source; /**< its feed joins a registration */
	uint8_t digest[DIGEST_LEN];
	bool acked;
	uint32_t flags;
	uint32_t hops;
	uint8_t *bytes;
	size_t len;
	uint64_t deadline_ns;
	uint64_t resend_ns;
	unsigned resends;
	uint16_t mid; /**< towards the target; the same for resends */
	struct permit_record *run; /**< NULL for idempotent requests */
	UT_hash_handle hh;
	UT_hash_handle hh_dup;
	struct exchange *prev;
	struct exchange *next;
};

struct exchange_table {
	uint64_t epoch;
	uint32_t next;
	struct exchange *by_number;
	struct exchange *by_dup;
	struct exchange *queue;
	uint32_t in_flight;
	uint32_t queued;
};

struct exchange_table *
exc_new(uint32_t epoch)
{
	struct exchange_table *t = mem_new(sizeof(*t));

	t->epoch = (uint64_t)epoch << 32;
	t->next = 1;
	return t;
}

uint64_t
exc_next_id(struct exchange_table *t)
{
	return t->epoch | t->next++;
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
	HASH_DELETE(hh, t->by_number, x);
	HASH_DELETE(hh_dup, t->by_dup, x);
	free(x->bytes);
	free(x);
}

void
exc_free(struct exchange_table *t)
{
	struct exchange *x;
	struct exchange *tmp;

	if (t == NULL)
		return;
	HASH_ITER(hh, t->by_number, x, tmp)
	{
		exchange_delete(t, x);
	}
	free(t);
}

static void
write_to_target(struct agent *a, struct exchange *x, uint64_t now)
{
	uint8_t buf[MSG_DATAGRAM_MAX + 64];
	uint64_t left = x->deadline_ns > now ? x->deadline_ns - now : 0;
	struct target_message out = {
	    .request = {(const char *)x->bytes, x->len},
	    .exchange_id = x->number,
	    .mid = x->mid,
	    .deadline_ms = (uint32_t)(left / NS_PER_MS),
	    .observe = x->joins_source ? OBSERVE_REMOVE : OBSERVE_KEEP,
	};
	size_t n = a->proto->write_target_message(&out, buf, sizeof(buf));

	if (n > 0)
		a->ops.send_target(a->ops.ctx, (struct str){(char *)buf, n});
}

static void
start(struct agent *a, struct exchange *x, uint64_t now)
{
	x->state = EXCHANGE_SENT;
	x->mid = agt_target_mid(a);
	x->resend_ns = now + RESEND_NS;
	a->exchanges->in_flight++;
	a->load.begun++;
	a->last_work_ns = now;
	ctr_inc(a->ctr, CTR_TARGET_OUT);
	if (x->run != NULL) {
		permit_mark_sent(x->run);
		ctr_inc(a->ctr, CTR_RUNS);
	}
	write_to_target(a, x, now);
}

static void
flow_done(struct agent *a, const struct exchange *x)
{
	struct flow *f = dir_flow(a->dir, &x->origin.flow);

	if (f != NULL && f->in_flight > 0)
		f->in_flight--;
}

static void
dequeue(struct agent *a, struct exchange *x)
{
	DL_DELETE(a->exchanges->queue, x);
	a->exchanges->queued--;
}

/* Refuse an exchange that was not given to the target. */
static void
refuse(
    struct agent *a, struct exchange *x, const char *reason, enum counter ctr)
{
	if (x->run != NULL)
		permit_revoke(x->run, reason);
	agt_not_run(a, &x->origin, reason, ctr);
	flow_done(a, x);
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
			refuse(a, x, "deadline passed", CTR_REFUSE_DEADLINE);
		else if (!agt_may_start(a, now))
			refuse(a, x, "target is leaving", CTR_REFUSE_LEAVING);
		else
			start(a, x, now);
	}
}

static void
finish(struct agent *a, struct exchange *x, uint64_t now)
{
	a->exchanges->in_flight--;
	flow_done(a, x);
	exchange_delete(a->exchanges, x);
	start_queued(a, now);
}

/*
 * A peer may run what provably did not run here. Later blocks stay, so that
 * one download has one target; a second retry is never made.
 */
static bool
retry_at_peer(
    struct agent *a, const struct exchange *x, enum counter ctr, uint64_t now)
{
	struct msg_datagram d = {
	    .flow = x->origin.flow,
	    .via = x->origin.via,
	    .hops = x->hops + 1,
	    .bytes = {(const char *)x->bytes, x->len},
	};
	struct mbr_entry *peer;

	if (x->run != NULL || x->later_block || x->observe_register)
		return false;
	if ((x->flags & DGRAM_RETRIED) != 0 || now >= x->deadline_ns)
		return false;
	peer =
	    load_choose(a->loads, mbr_group(a->members, x->origin.flow.service),
		&a->cfg.service, flow_hash(&x->origin.flow), agt_id(a), now);
	if (peer == NULL)
		return false;
	if (!budget_take_retry(&a->budget)) {
		ctr_inc(a->ctr, CTR_RETRY_BUDGET);
		return false;
	}
	ctr_inc(a->ctr, ctr);
	load_sent(a->loads, peer->m.id, now);
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
admit(struct agent *a, struct exchange *x, uint64_t now)
{
	struct exchange_table *t = a->exchanges;

	if (!agt_may_start(a, now)) {
		refuse(a, x, "target is leaving", CTR_REFUSE_LEAVING);
		return;
	}
	if (!has_room(a)) {
		if (retry_at_peer(a, x, CTR_RETRY_FULL, now)) {
			flow_done(a, x);
			exchange_delete(t, x);
			return;
		}
		refuse(a, x, "queue full", CTR_REFUSE_QUEUE);
		return;
	}
	if (t->in_flight < a->cfg.service.slots && t->queue == NULL) {
		start(a, x, now);
		return;
	}
	x->state = EXCHANGE_QUEUED;
	DL_APPEND(t->queue, x);
	t->queued++;
}

static uint32_t
deadline_ms(const struct agent *a, const struct arrival *in)
{
	uint32_t limit = a->cfg.service.deadline_ms;

	if (in->dgram->deadline_ms > 0 && in->dgram->deadline_ms < limit)
		limit = in->dgram->deadline_ms;
	if (in->request->deadline_ms > 0 && in->request->deadline_ms < limit)
		limit = in->request->deadline_ms;
	return limit;
}

static void
begin(struct agent *a, const struct arrival *in, struct permit_record *run,
    uint64_t now)
{
	struct exchange_table *t = a->exchanges;
	struct flow *f = dir_flow(a->dir, &in->dgram->flow);
	struct exchange *x = mem_new(sizeof(*x));

	x->number = exc_next_id(t);
	x->dup_hash = dup_hash(&in->dgram->flow, in->request);
	x->origin = agt_origin(in);
	x->kind = in->request->kind;
	x->observe_register = in->request->observe_register;
	x->observe_deregister = in->request->observe_deregister;
	x->later_block = in->request->later_block;
	memcpy(x->digest, in->request->digest, DIGEST_LEN);
	x->joins_source =
	    x->observe_register && subscription_find(a, x->digest) != NULL;
	x->flags = in->dgram->flags;
	x->hops = in->dgram->hops;
	x->bytes = str_dup(in->dgram->bytes);
	x->len = in->dgram->bytes.len;
	x->deadline_ns = now + deadline_ms(a, in) * NS_PER_MS;
	x->run = run;
	HASH_ADD(hh, t->by_number, number, sizeof(uint64_t), x);
	HASH_ADD(hh_dup, t->by_dup, dup_hash, sizeof(uint64_t), x);
	if (run != NULL) {
		run->state = PERMIT_IN_USE;
		run->exchange_id = x->number;
	}
	if (f != NULL)
		f->in_flight++;
	admit(a, x, now);
}

static void
replay(struct agent *a, const struct origin *o, const struct permit_record *run)
{
	struct reply r = {
	    .kind = REPLY_ANSWER,
	    .answer = {(const char *)run->answer, run->answer_len},
	};

	ctr_inc(a->ctr, CTR_RUN_REPLAYS);
	agt_reply(a, o, &r);
}

static void
use_permit(struct agent *a, const struct arrival *in, struct permit_record *run,
    uint64_t now)
{
	struct origin o = agt_origin(in);
	struct exchange *x;

	switch (run->state) {
	case PERMIT_ISSUED:
		if (now >= run->expiry_ns) {
			permit_revoke(run, "permit expired");
			agt_not_run(
			    a, &o, "permit expired", CTR_REFUSE_EXPIRED);
			return;
		}
		begin(a, in, run, now);
		return;
	case PERMIT_IN_USE:
		HASH_FIND(hh, a->exchanges->by_number, &run->exchange_id,
		    sizeof(uint64_t), x);
		if (x != NULL && in->request->has_permit)
			x->origin = o;
		ctr_inc(a->ctr, CTR_DUPLICATES);
		return;
	case PERMIT_ANSWERED:
		replay(a, &o, run);
		return;
	case PERMIT_OUTCOME_UNKNOWN:
		agt_unknown(a, &o, "no answer in time", CTR_UNKNOWN_TIMEOUT);
		return;
	case PERMIT_REVOKED:
		agt_not_run(a, &o, run->reason, CTR_RUN_REPLAYS);
		return;
	}
}

/*
 * Refuse a request that carries no permit. One that an earlier copy of it was
 * given must never run after this: the caller may still get that challenge.
 */
static void
refuse_unpermitted(struct agent *a, const struct origin *o,
    struct permit_record *run, const char *reason, enum counter ctr)
{
	if (run != NULL)
		permit_revoke(run, reason);
	agt_not_run(a, o, reason, ctr);
}

static void
challenge(struct agent *a, const struct arrival *in, uint64_t now)
{
	const struct flow_key *flow = &in->dgram->flow;
	struct permit_record *run = permit_find(a->permits, flow, in->request);
	struct origin o = agt_origin(in);
	uint8_t permit[PERMIT_LEN];
	struct reply r = {.kind = REPLY_CHALLENGE, .permit = permit};

	if (run != NULL && run->state != PERMIT_ISSUED) {
		use_permit(a, in, run, now);
		return;
	}
	if (!agt_may_start(a, now)) {
		refuse_unpermitted(
		    a, &o, run, "target is leaving", CTR_REFUSE_LEAVING);
		return;
	}
	if (!has_room(a)) {
		refuse_unpermitted(a, &o, run, "queue full", CTR_REFUSE_QUEUE);
		return;
	}
	if (!permit_issue(a->permits, flow, in->request, now, permit)) {
		agt_not_run(a, &o, "too many permits", CTR_REFUSE_STATE);
		return;
	}
	ctr_inc(a->ctr, CTR_CHALLENGES);
	agt_reply(a, &o, &r);
}

static void
arrive_run(struct agent *a, const struct arrival *in, uint64_t now)
{
	struct origin o = agt_origin(in);
	struct permit_record *run = NULL;

	if (!in->request->has_permit) {
		challenge(a, in, now);
		return;
	}
	switch (
	    permit_verify(a->permits, &in->dgram->flow, in->request, &run)) {
	case PERMIT_VALID:
		use_permit(a, in, run, now);
		return;
	case PERMIT_OTHER_ISSUER:
	case PERMIT_OLD_INCARNATION:
		agt_unknown(a, &o, "issuer is gone", CTR_UNKNOWN_ISSUER);
		return;
	case PERMIT_FORGED:
		/* It can never run anything: as good as none. */
		ctr_inc(a->ctr, CTR_REFUSE_FORGED);
		challenge(a, in, now);
		return;
	case PERMIT_NO_RECORD:
		agt_unknown(a, &o, "permit is too old", CTR_UNKNOWN_OLD);
		return;
	}
}

static bool
join_duplicate(struct agent *a, const struct arrival *in)
{
	uint64_t hash = dup_hash(&in->dgram->flow, in->request);
	struct exchange *x;

	HASH_FIND(hh_dup, a->exchanges->by_dup, &hash, sizeof(hash), x);
	if (x == NULL)
		return false;
	x->origin.via = in->dgram->via;
	ctr_inc(a->ctr, CTR_DUPLICATES);
	return true;
}

void
exc_arrive(struct agent *a, const struct arrival *in, uint64_t now)
{
	struct origin o = agt_origin(in);

	if (join_duplicate(a, in))
		return;
	if (in->request->kind == REQUEST_NON_IDEMPOTENT) {
		arrive_run(a, in, now);
		return;
	}
	if (in->request->observe_register && feed_repeat(a, &o))
		return;
	if (in->request->observe_deregister)
		feed_cancel(a, &in->dgram->flow, &in->request->token);
	if (in->request->observe_register &&
	    feed_count(a->feeds, NULL) >= a->cfg.service.connections) {
		agt_not_run(
		    a, &o, "too many connections", CTR_REFUSE_CONNECTIONS);
		return;
	}
	begin(a, in, NULL, now);
}

static void
note_download(struct agent *a, const struct exchange *x,
    const struct answer *ans, uint64_t now)
{
	struct flow *f = dir_flow(a->dir, &x->origin.flow);

	if (f == NULL)
		return;
	if (ans->more_blocks)
		f->download_ns = now;
	else if (x->later_block)
		f->download_ns = 0;
}

static void
answer_shed(struct agent *a, struct exchange *x, uint64_t now)
{
	if (x->run != NULL)
		permit_mark_shed(x->run, "target shed it");
	else if (retry_at_peer(a, x, CTR_RETRY_SHED, now))
		return;
	agt_not_run(a, &x->origin, "target shed it", CTR_REFUSE_SHED);
}

static uint32_t
open_feed(struct agent *a, const struct exchange *x, const struct answer *ans,
    struct str dgram, uint64_t now)
{
	struct str request = {(const char *)x->bytes, x->len};
	struct subscription *s;

	s = x->joins_source ? subscription_find(a, x->digest) : NULL;
	if (s == NULL && x->joins_source)
		s = subscription_register(a, x->digest, request, now);
	if (s == NULL)
		s = subscription_open(
		    a, x->digest, request, x->number, ans, dgram, now);
	return feed_open(a, &x->origin, request, s, now);
}

static void
deliver(struct agent *a, struct exchange *x, const struct answer *ans,
    struct str dgram, uint64_t now)
{
	struct reply r = {.kind = REPLY_ANSWER, .answer = dgram};

	if (x->run != NULL)
		permit_set_answer(x->run, dgram);
	if (x->observe_register && ans->success &&
	    (ans->has_observe || x->joins_source)) {
		r.observe = true;
		r.observe_seq = open_feed(a, x, ans, dgram, now);
	}
	note_download(a, x, ans, now);
	budget_add_success(&a->budget, a->cfg.service.retry_percent);
	agt_reply(a, &x->origin, &r);
}

void
exc_acked(struct agent *a, uint16_t mid)
{
	struct exchange *x;
	struct exchange *tmp;

	HASH_ITER(hh, a->exchanges->by_number, x, tmp)
	{
		if (x->state == EXCHANGE_SENT && x->mid == mid)
			x->acked = true;
	}
}

bool
exc_answer(
    struct agent *a, const struct answer *ans, struct str dgram, uint64_t now)
{
	struct exchange *x;

	HASH_FIND(hh, a->exchanges->by_number, &ans->exchange_id,
	    sizeof(ans->exchange_id), x);
	if (x == NULL || x->state != EXCHANGE_SENT)
		return false;
	ctr_inc(a->ctr, CTR_TARGET_ANSWERS);
	if (ans->shed)
		answer_shed(a, x, now);
	else
		deliver(a, x, ans, dgram, now);
	finish(a, x, now);
	return true;
}

static void
time_out(struct agent *a, struct exchange *x, uint64_t now)
{
	if (x->state == EXCHANGE_QUEUED) {
		dequeue(a, x);
		refuse(a, x, "deadline passed", CTR_REFUSE_DEADLINE);
		return;
	}
	if (x->run != NULL)
		x->run->state = PERMIT_OUTCOME_UNKNOWN;
	agt_unknown(a, &x->origin, "no answer in time", CTR_UNKNOWN_TIMEOUT);
	finish(a, x, now);
}

static void
resend(struct agent *a, struct exchange *x, uint64_t now)
{
	/* A non-idempotent request is given to the target once. */
	if (x->run != NULL || x->acked || x->resends >= RESENDS_MAX)
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
		HASH_ITER(hh, t->by_number, x, tmp)
		{
			if (now >= x->deadline_ns) {
				/* Ending one may end or start others. */
				time_out(a, x, now);
				again = true;
				break;
			}
			if (x->state == EXCHANGE_SENT && now >= x->resend_ns)
				resend(a, x, now);
		}
	}
	start_queued(a, now);
}
