#include "flow/agent_parts.h"

#include "base/clock.h"
#include "base/event.h"

/** Time over which load is smoothed, ms: some tens of requests. */
#define SMOOTH_MS 1000
/** A target returns a packet within a fraction of this, ms: once it has sent
 * anything later than that, it holds the flow. */
#define RETURN_MS 5
/** After this it proves nothing any more, ms: what comes may be of the target's
 * next life, which has not spoken yet. The flow's own answer still tells. */
#define TRY_PROOF_MS 300

void
fa_init(struct fa *fa, const struct fa_setup *setup, const struct fa_out *out,
    void *ctx, struct counters *ctr, uint64_t now)
{
	*fa = (struct fa){.setup = *setup, .out = out, .ctx = ctx, .ctr = ctr};
	fa->flows.capacity = setup->flow_capacity;
	fa->target.service = flow_service_tag(str_of(setup->service));
	fa->target.address = setup->target;
	fa->target.period_ms = setup->word_period_ms;
	fa->target.agent_started_ns = now;
	fa->peers.domain_tag = flow_service_tag(str_of(setup->domain));
	fa->busy_ns = now;
	fa->unsure_ns = now;
	fa->ticked_ns = now;
	for (size_t i = 0; i < setup->seed_count; i++)
		peers_note(&fa->peers, setup->seeds[i], now, 0);
}

void
fa_clear(struct fa *fa)
{
	table_clear(&fa->flows);
	peers_clear(&fa->peers);
}

bool
fa_passed(uint64_t since, uint64_t ms, uint64_t now)
{
	return now >= since + ms * NS_PER_MS;
}

/* ---- load ---- */

/* Bring the smoothed load up to now; to be called before it changes. */
void
fa_smooth(struct fa *fa, uint64_t now)
{
	uint64_t ms = (now - fa->busy_ns) / NS_PER_MS;
	int64_t is = (int64_t)fa->flows.waiting * 1000;
	int64_t was = (int64_t)fa->busy_milli;

	if (ms == 0)
		return;
	fa->busy_ns = now;
	fa->busy_milli = (uint64_t)(was + (is - was) * (int64_t)ms /
					      (int64_t)(ms + SMOOTH_MS));
}

/* ---- sending ---- */

void
fa_send(struct fa *fa, uint64_t to, struct flow_msg *m)
{
	if (to == 0)
		return;
	m->from = fa->setup.id;
	m->incarnation = fa->setup.incarnation;
	m->sequence = ++fa->sequence;
	fa->out->send(fa->ctx, to, m);
}

static void
send_flow(
    struct fa *fa, uint64_t to, enum flow_msg_kind kind, struct msg_flow *about)
{
	struct flow_msg m = {.kind = kind, .u.flow = *about};

	m.u.flow.busy_milli = (uint32_t)fa->busy_milli;
	m.u.flow.flows = fa->flows.open;
	m.u.flow.failing = failure_rate_milli(&fa->failing, fa->ticked_ns);
	fa_send(fa, to, &m);
}

void
fa_refuse(struct fa *fa, uint64_t via, const struct flow_key *flow,
    enum flow_refusal why)
{
	struct msg_flow about = {.flow = *flow, .refusal = why};

	send_flow(fa, via, FLOW_MSG_REFUSED, &about);
}

void
fa_say_where(struct fa *fa, uint64_t to, const struct flow_key *flow,
    enum find_result where)
{
	struct flow_msg m = {.kind = FLOW_MSG_FOUND};

	m.u.find.count = 1;
	m.u.find.flows[0] = (struct find_item){.flow = *flow, .where = where};
	fa_send(fa, to, &m);
}

static void
give_back(struct fa *fa, uint64_t via, const struct flow_packet *p)
{
	struct msg_flow about = {
	    .flow = p->flow, .ack = p->ack, .bytes = p->bytes};

	ctr_inc(fa->ctr, CTR_RETRY_AWAY);
	send_flow(fa, via, FLOW_MSG_NOT_HELD, &about);
}

static void
deliver(struct fa *fa, struct flow_entry *f, const struct flow_packet *p,
    uint64_t via, uint64_t now)
{
	f->via = via;
	f->last_used_ns = now;
	f->caller_ack = p->ack;
	f->caller_fin |= (p->flags & FLOW_FIN) != 0;
	if (p->data > 0) {
		fa_smooth(fa, now);
		table_begin_request(&fa->flows, f, now);
		/* The first that the target has not reacted to. */
		if (fa->given_ns <= fa->target.last_packet_ns)
			fa->given_ns = now;
	}
	ctr_inc(fa->ctr, CTR_TARGET_OUT);
	fa->out->deliver(fa->ctx, p);
}

/* ---- packets of callers ---- */

static struct flow_entry *
enter(struct fa *fa, const struct flow_key *flow, enum entry_state state,
    uint64_t now)
{
	bool evicted;
	struct flow_entry *f;

	fa_smooth(fa, now);
	f = table_upsert(&fa->flows, flow, state, now, &evicted);
	if (evicted) {
		ctr_inc(fa->ctr, CTR_DROP_TABLE);
		/* What is not in the table may be here from now on. */
		fa->knows_all = false;
		fa->unsure_ns = now;
	}
	return f;
}

static void
open_flow(
    struct fa *fa, uint64_t via, const struct flow_packet *p, uint64_t now)
{
	enum target_state state = target_state_at(&fa->target, now);
	struct flow_entry *f = table_find(&fa->flows, &p->flow);

	if (p->tag != fa->target.service) {
		fa_refuse(fa, via, &p->flow, FLOW_REFUSED_SERVICE);
		return;
	}
	if (state != TARGET_READY || fa->leaving_ns != 0) {
		fa_refuse(fa, via, &p->flow,
		    state == TARGET_SILENT ? FLOW_REFUSED_SILENT
					   : FLOW_REFUSED_LEAVING);
		return;
	}
	if (f == NULL || f->state == ENTRY_CLOSED || f->state == ENTRY_PROBED)
		f = enter(fa, &p->flow, ENTRY_OPENING, now);
	deliver(fa, f, p, via, now);
}

static void
note_try(struct fa *fa, const struct flow_key *flow, uint64_t now)
{
	/* With no room left the target's own answer tells, later. */
	if (fa->try_count < FA_TRIES_MAX)
		fa->tries[fa->try_count++] = (struct fa_try){*flow, now};
}

/* A packet of a flow that is not in the table. */
static void
meet_unknown(
    struct fa *fa, uint64_t via, const struct flow_packet *p, uint64_t now)
{
	struct flow_entry *f;

	if (!fa->knows_all && !target_has_ended(&fa->target, now)) {
		f = enter(fa, &p->flow, ENTRY_PROBED, now);
		f->balancer_probe = p->probe;
		deliver(fa, f, p, via, now);
		note_try(fa, &p->flow, now);
	} else if (p->probe) {
		fa_say_where(fa, via, &p->flow, FIND_NOT_HELD);
	} else {
		give_back(fa, via, p);
	}
}

static void
reset_flow(struct fa *fa, struct flow_entry *f, uint64_t now)
{
	char caller[ADDR_TEXT_MAX], service[ADDR_TEXT_MAX];

	ctr_inc(fa->ctr, CTR_RESET_TARGET_LOST);
	event("reset", "s:s, s:s, s:s, s:b, s:b, s:I", "caller",
	    addr_text(addr_unpack(f->flow.caller), caller), "service",
	    addr_text(addr_unpack(f->flow.service), service), "reason",
	    ctr_name(CTR_RESET_TARGET_LOST), "doubted", (int)f->unconfirmed,
	    "ended", (int)target_has_ended(&fa->target, now), "idle_ms",
	    (json_int_t)((now - f->last_used_ns) / NS_PER_MS));
	fa->out->reset(fa->ctx, &f->flow, f->caller_ack);
	fa_smooth(fa, now);
	table_remove(&fa->flows, f);
}

static void
continue_flow(
    struct fa *fa, uint64_t via, const struct flow_packet *p, uint64_t now)
{
	struct flow_entry *f = table_find(&fa->flows, &p->flow);

	if (f == NULL) {
		meet_unknown(fa, via, p, now);
		return;
	}
	/* Another target accepted the opening: the flow is not ours. */
	if (f->state == ENTRY_OPENING || !table_ack_matches(f, p->ack)) {
		if (p->probe)
			fa_say_where(fa, via, &p->flow, FIND_NOT_HELD);
		else
			give_back(fa, via, p);
		return;
	}
	if (target_has_ended(&fa->target, now)) {
		f->caller_ack = p->ack;
		reset_flow(fa, f, now);
		return;
	}
	if (f->state == ENTRY_HALF_OPEN)
		table_set_state(&fa->flows, f, ENTRY_OPEN, now);
	deliver(fa, f, p, via, now);
	if ((p->flags & FLOW_RST) != 0) {
		fa_smooth(fa, now);
		table_set_state(&fa->flows, f, ENTRY_CLOSED, now);
	}
}

void
fa_caller(
    struct fa *fa, uint64_t via, const struct flow_packet *p, uint64_t now)
{
	ctr_inc(fa->ctr, CTR_CALLER_IN);
	if ((p->flags & FLOW_SYN) != 0)
		open_flow(fa, via, p, now);
	else
		continue_flow(fa, via, p, now);
}

/* ---- packets of the target ---- */

static void
on_returned(struct fa *fa, const struct flow_packet *p, uint64_t now)
{
	struct flow_entry *f = table_find(&fa->flows, &p->flow);
	struct flow_packet back = *p;

	ctr_inc(fa->ctr, CTR_TARGET_RETURNED);
	if (f == NULL)
		return;
	if ((p->flags & FLOW_SYN) != 0) {
		if (f->state != ENTRY_OPENING)
			return;
		fa_refuse(fa, f->via, &p->flow, FLOW_REFUSED_FULL);
	} else if (f->state == ENTRY_PROBED && f->balancer_probe) {
		fa_say_where(fa, f->via, &p->flow, FIND_NOT_HELD);
	} else if (f->unconfirmed && f->state == ENTRY_OPEN) {
		reset_flow(fa, f, now);
		return;
	} else {
		back.flags &= ~(unsigned)FLOW_RETURNED;
		give_back(fa, f->via, &back);
	}
	fa_smooth(fa, now);
	table_remove(&fa->flows, f);
}

static void
on_accepted(struct fa *fa, const struct flow_packet *p, uint64_t now)
{
	struct flow_entry *f = table_find(&fa->flows, &p->flow);
	struct msg_flow about = {.flow = p->flow};

	if (f != NULL && f->state == ENTRY_OPENING)
		latency_note(&fa->opening, now - f->state_since_ns);
	if (f == NULL || f->state != ENTRY_OPEN ||
	    !table_ack_matches(f, p->seq))
		f = enter(fa, &p->flow, ENTRY_HALF_OPEN, now);
	table_record_seq(f, p->seq);
	f->last_used_ns = now;
	f->unconfirmed = false;
	send_flow(fa, f->via, FLOW_MSG_ACCEPTED, &about);
	fa->out->answer(fa->ctx, p);
}

/* An agent that started after its target learns the target's flows. */
static struct flow_entry *
learn(struct fa *fa, const struct flow_packet *p, uint64_t now)
{
	struct flow_entry *f = table_find(&fa->flows, &p->flow);

	if (f == NULL)
		return enter(fa, &p->flow, ENTRY_OPEN, now);
	if (f->state == ENTRY_PROBED) {
		fa_say_where(fa, f->via, &p->flow, FIND_HELD);
		fa_smooth(fa, now);
		table_set_state(&fa->flows, f, ENTRY_OPEN, now);
	} else if (f->state == ENTRY_HALF_OPEN) {
		table_set_state(&fa->flows, f, ENTRY_OPEN, now);
	}
	return f;
}

/*
 * A target's packets come in order. One that comes well after a probe was
 * given to it, with no return of the probe before it, shows that it holds the
 * flow, long before it answers the request in the probe.
 */
static void
settle_tries(struct fa *fa, uint64_t now)
{
	size_t kept = 0;

	for (size_t i = 0; i < fa->try_count; i++) {
		struct flow_entry *f =
		    table_find(&fa->flows, &fa->tries[i].flow);

		if (f == NULL || f->state != ENTRY_PROBED ||
		    fa_passed(fa->tries[i].given_ns, TRY_PROOF_MS, now))
			continue;
		if (!fa_passed(fa->tries[i].given_ns, RETURN_MS, now)) {
			fa->tries[kept++] = fa->tries[i];
			continue;
		}
		fa_say_where(fa, f->via, &f->flow, FIND_HELD);
		fa_smooth(fa, now);
		table_set_state(&fa->flows, f, ENTRY_OPEN, now);
	}
	fa->try_count = kept;
}

/* Balancers are told at once when a target begins to fail, or ends it. */
static void
note_outcome(struct fa *fa, const struct flow_packet *p, uint64_t now)
{
	char caller[ADDR_TEXT_MAX];
	uint32_t milli;

	failure_rate_record(&fa->failing, p->outcome == FLOW_FAILED, now);
	if (p->outcome == FLOW_FAILED)
		ctr_inc(fa->ctr, CTR_TARGET_FAILED);
	milli = failure_rate_milli(&fa->failing, now);
	if (fa->told_failing ? milli >= FAILING_THRESHOLD_MILLI / 2
			     : milli < FAILING_THRESHOLD_MILLI)
		return;
	fa->told_failing = !fa->told_failing;
	fa->tell_again = 1;
	event("target_failing", "s:b, s:i, s:s", "failing",
	    (int)fa->told_failing, "part_milli", (int)milli, "caller",
	    addr_text(addr_unpack(p->flow.caller), caller));
}

void
fa_target(struct fa *fa, const struct flow_packet *p, uint64_t now)
{
	struct flow_entry *f;

	target_record_packet(&fa->target, now);
	if ((p->flags & FLOW_RETURNED) != 0) {
		on_returned(fa, p, now);
		return;
	}
	if (fa->try_count > 0)
		settle_tries(fa, now);
	ctr_inc(fa->ctr, CTR_CALLER_OUT);
	if ((p->flags & FLOW_SYN) != 0) {
		on_accepted(fa, p, now);
		return;
	}
	f = learn(fa, p, now);
	table_record_seq(f, p->seq);
	f->last_used_ns = now;
	f->unconfirmed = false;
	f->target_fin |= (p->flags & FLOW_FIN) != 0;
	if (p->data > 0 && f->request_ns != 0) {
		fa_smooth(fa, now);
		if (p->outcome != FLOW_NO_OUTCOME)
			note_outcome(fa, p, now);
		latency_note(&fa->wait, now - f->request_ns);
		table_end_request(&fa->flows, f);
	}
	if ((p->flags & FLOW_RST) != 0 || (f->caller_fin && f->target_fin)) {
		fa_smooth(fa, now);
		if (f->state != ENTRY_CLOSED)
			table_set_state(&fa->flows, f, ENTRY_CLOSED, now);
	}
	fa->out->answer(fa->ctx, p);
}

/* ---- the target's words ---- */

void
fa_reset_all(struct fa *fa, uint64_t now)
{
	fa_reset_before(fa, now, now);
}

void
fa_reset_before(struct fa *fa, uint64_t until, uint64_t now)
{
	struct flow_entry *f, *next;

	/* What was tried at the life before says nothing of the next. */
	fa->try_count = 0;
	HASH_ITER(hh, fa->flows.table, f, next)
	{
		if (f->state_since_ns > until && f->state != ENTRY_PROBED)
			f->unconfirmed = true;
		else if (f->state == ENTRY_OPEN)
			reset_flow(fa, f, now);
		else
			table_remove(&fa->flows, f);
	}
}

enum heartbeat_result
fa_word(struct fa *fa, const struct target_heartbeat *w, uint64_t now)
{
	bool first = fa->target.last_heartbeat.id == 0;
	uint64_t heartbeat_ns = fa->target.heartbeat_ns;
	enum heartbeat_result r = target_handle_heartbeat(&fa->target, w, now);

	if (r == HEARTBEAT_STALE || r == HEARTBEAT_MISMATCH) {
		ctr_inc(fa->ctr, CTR_TARGET_WORDS_BAD);
		return r;
	}
	ctr_inc(fa->ctr, CTR_TARGET_WORDS);
	if (first && r == HEARTBEAT_ACCEPTED) {
		fa->knows_all = target_is_fully_observed(&fa->target, now);
		event("target", "s:I, s:I, s:b", "born_ms",
		    (json_int_t)w->started_ms, "sequence",
		    (json_int_t)w->sequence, "knows_all", (int)fa->knows_all);
	}
	if (r == HEARTBEAT_NEW_INCARNATION) {
		event("target_new_life", "s:I, s:i", "born_ms",
		    (json_int_t)w->started_ms, "flows",
		    (int)HASH_COUNT(fa->flows.table));
		fa->knows_all = true;
		/* What came after the last last_heartbeat of the life before
		 * may be the new one's, which takes flows before it speaks. */
		fa_reset_before(fa, heartbeat_ns, now);
	}
	return r;
}
