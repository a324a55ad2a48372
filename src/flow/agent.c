#include "flow/agent_internal.h"

#include "base/clock.h"
#include "base/event.h"

/** Time constant of the smoothed load, in ms: the duration of some tens of
 * requests. */
#define LOAD_WINDOW_MS 1000
/** Shortest interval between two reports of the work time to one balancer in
 * answers to openings, in ms. With it in each answer, an agent with 160
 * openings a second sent 13.5 kB/s, more than the bound of 13 kB/s. */
#define WORK_REPORT_MS 1000
/** Flows that were probed, here or at other targets, are remembered up to this
 * number and for this time in ms: longer than balancers take to know all
 * agents, after which a search for the flow succeeds. */
#define PROBED_FLOWS_MAX 1024
#define PROBED_KEEP_MS 30000
/** A target returns a packet within a fraction of this, in ms. If it sends any
 * packet later than this after a probe, without having returned the probe, it
 * holds the probe's flow. */
#define PROBE_RETURN_MS 5
/** After this, in ms, the rule above no longer holds: a packet may be from the
 * target's next incarnation, which has not sent a heartbeat yet. A packet of
 * the probed flow itself still shows that the target holds it. */
#define PROBE_EVIDENCE_MS 300

void
fa_init(struct fa *fa, const struct fa_setup *setup,
    const struct fa_callbacks *callbacks, void *ctx, struct counters *ctr,
    uint64_t now)
{
	*fa = (struct fa){
	    .setup = *setup, .callbacks = callbacks, .ctx = ctx, .ctr = ctr};
	fa->flows.capacity = setup->flow_capacity;
	fa->returned = (struct flow_times){
	    .capacity = PROBED_FLOWS_MAX, .keep_ms = PROBED_KEEP_MS};
	fa->probed = fa->returned;
	fa->target.service = flow_service_tag(str_of(setup->service));
	fa->target.address = setup->target;
	fa->target.period_ms = setup->word_period_ms;
	fa->target.agent_started_ns = now;
	fa->peers.domain_tag = flow_service_tag(str_of(setup->domain));
	cold_limit_init(&fa->cold, &setup->cold, now);
	fa->load_updated_ns = now;
	work_time_init(&fa->work, now);
	fa->incomplete_since_ns = now;
	fa->last_tick_ns = now;
	for (size_t i = 0; i < setup->seed_count; i++)
		peers_record(&fa->peers, setup->seeds[i], now, 0);
}

void
fa_clear(struct fa *fa)
{
	table_clear(&fa->flows);
	flow_times_clear(&fa->returned);
	flow_times_clear(&fa->probed);
	snapshot_clear(&fa->recovery.stored);
	peers_clear(&fa->peers);
}

bool
fa_has_elapsed(uint64_t since, uint64_t ms, uint64_t now)
{
	return now >= since + ms * NS_PER_MS;
}

/* ---- load ---- */

static void
count_work(struct fa *fa, uint64_t now)
{
	work_time_advance(
	    &fa->work, fa->flows.waiting, fa->target.last_heartbeat.slots, now);
}

/* A number of requests over the time of which reports give the mean, times
 * 1000. */
static uint64_t
smooth(uint64_t before_milli, uint32_t requests, uint64_t ms)
{
	int64_t load = (int64_t)requests * 1000;
	int64_t smoothed = (int64_t)before_milli;

	return (uint64_t)(smoothed + (load - smoothed) * (int64_t)ms /
					 (int64_t)(ms + LOAD_WINDOW_MS));
}

void
fa_update_load(struct fa *fa, uint64_t now)
{
	uint64_t ms = (now - fa->load_updated_ns) / NS_PER_MS;

	count_work(fa, now);
	if (ms == 0)
		return;
	fa->load_updated_ns = now;
	fa->busy_milli = smooth(fa->busy_milli, fa->flows.waiting, ms);
	for (size_t i = 0; i < FLOW_PRIORITIES; i++)
		fa->by_priority_milli[i] = smooth(
		    fa->by_priority_milli[i], fa->flows.by_priority[i], ms);
}

struct priority_load
fa_priority_load(const struct fa *fa)
{
	struct priority_load out = {0};

	for (uint32_t i = 0; i < FLOW_PRIORITIES; i++) {
		out.requests[i] =
		    (uint32_t)((fa->by_priority_milli[i] + 500) / 1000);
		if (out.requests[i] > 0)
			out.count = i + 1;
	}
	return out;
}

/* ---- sending ---- */

void
fa_send(struct fa *fa, uint64_t to, struct flow_msg *m)
{
	if (to == 0)
		return;
	m->from = fa->setup.id;
	m->incarnation = fa->setup.incarnation;
	fa->sequence++;
	/* Balancers compare the numbers of heartbeats alone; in the answer to
	 * each opening it would take 4 bytes. */
	m->sequence = m->kind == FLOW_MSG_AGENT ? fa->sequence : 0;
	fa->callbacks->send(fa->ctx, to, m);
}

/* The work time is the mean of some seconds, so a balancer that places many
 * flows here does not get it in each answer. */
static void
add_work_time(struct fa *fa, uint64_t to, struct msg_flow *about)
{
	struct peer *e = peers_find(&fa->peers, to);

	if (e != NULL && e->work_sent_ns != 0 &&
	    !fa_has_elapsed(
		e->work_sent_ns, WORK_REPORT_MS, fa->load_updated_ns))
		return;
	about->work_us = work_time_mean_us(&fa->work);
	about->work_samples = work_time_samples(&fa->work);
	if (e != NULL && about->work_us > 0)
		e->work_sent_ns = fa->load_updated_ns;
}

static void
send_flow_message(
    struct fa *fa, uint64_t to, enum flow_msg_kind kind, struct msg_flow *about)
{
	struct flow_msg m = {.kind = kind, .u.flow = *about};

	m.u.flow.busy_milli = (uint32_t)fa->busy_milli;
	m.u.flow.flows = fa->flows.open;
	m.u.flow.failing = failure_rate_milli(&fa->failing, fa->last_tick_ns);
	m.u.flow.queued = rq_count(&fa->flows.queue);
	m.u.flow.by_priority = fa_priority_load(fa);
	add_work_time(fa, to, &m.u.flow);
	fa_send(fa, to, &m);
}

void
fa_refuse(struct fa *fa, uint64_t via, const struct flow_key *flow,
    enum flow_refusal why)
{
	struct msg_flow about = {.flow = *flow, .refusal = why};

	send_flow_message(fa, via, FLOW_MSG_REFUSED, &about);
}

void
fa_send_find_reply(struct fa *fa, uint64_t to, const struct flow_key *flow,
    uint32_t ack, enum find_result where)
{
	struct flow_msg m = {.kind = FLOW_MSG_FOUND};

	m.u.find.count = 1;
	m.u.find.flows[0] =
	    (struct find_item){.flow = *flow, .ack = ack, .where = where};
	fa_send(fa, to, &m);
}

static void
return_packet(struct fa *fa, uint64_t via, const struct flow_packet *p)
{
	struct msg_flow about = {
	    .flow = p->flow, .ack = p->ack, .bytes = p->bytes};

	ctr_inc(fa->ctr, CTR_RETRY_FLOW_AWAY);
	send_flow_message(fa, via, FLOW_MSG_NOT_HELD, &about);
}

void
fa_pass_to_target(struct fa *fa, struct flow_entry *f,
    const struct flow_packet *p, uint64_t now)
{
	f->caller_fin |= (p->flags & FLOW_FIN) != 0;
	/* Only the first request since the target's last packet. */
	if (p->data > 0 && fa->unanswered_ns <= fa->target.last_packet_ns)
		fa->unanswered_ns = now;
	ctr_inc(fa->ctr, CTR_TARGET_OUT);
	fa->callbacks->deliver(fa->ctx, p);
}

static void
deliver(struct fa *fa, struct flow_entry *f, const struct flow_packet *p,
    uint64_t via, uint64_t now)
{
	f->via = via;
	f->last_used_ns = now;
	f->caller_ack = p->ack;
	fa_hold_or_pass(fa, f, p, now);
}

/* ---- packets of callers ---- */

static struct flow_entry *
upsert_flow(struct fa *fa, const struct flow_key *flow, enum entry_state state,
    uint64_t now)
{
	bool evicted;
	struct flow_entry *f;

	fa_update_load(fa, now);
	f = table_upsert(&fa->flows, flow, state, now, &evicted);
	if (evicted) {
		ctr_inc(fa->ctr, CTR_DROP_TABLE_FULL);
		/* The target may now hold a flow that is not in the table. */
		fa->flows_complete = false;
		fa->incomplete_since_ns = now;
	}
	return f;
}

/*
 * Whether an opening may be passed to the target, which is cold maybe. A copy
 * of one that was passed already counts once.
 */
static bool
passes_cold_limit(struct fa *fa, const struct flow_entry *f,
    const struct flow_packet *p, uint64_t now)
{
	bool cold = target_may_be_cold(&fa->target, now);

	if (table_is_copy(f, p))
		return true;
	if (cold && !cold_limit_allows(&fa->cold, now)) {
		ctr_inc(fa->ctr, CTR_COLD_REFUSED);
		return false;
	}
	cold_limit_record(&fa->cold, now);
	if (cold)
		ctr_inc(fa->ctr, CTR_COLD_OPENINGS);
	return true;
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
	/* A copy of an opening that the target has accepted opens no flow. */
	if (evacuation_contains(&fa->evacuation, fa->peers.domain_tag) &&
	    (p->copy == 0 || !table_is_copy(f, p) ||
		f->state == ENTRY_OPENING)) {
		fa_refuse(fa, via, &p->flow, FLOW_REFUSED_EVACUATED);
		return;
	}
	if (state != TARGET_READY || fa->leaving_ns != 0) {
		fa_refuse(fa, via, &p->flow,
		    state == TARGET_SILENT ? FLOW_REFUSED_SILENT
					   : FLOW_REFUSED_LEAVING);
		return;
	}
	if (!passes_cold_limit(fa, f, p, now)) {
		fa_refuse(fa, via, &p->flow, FLOW_REFUSED_COLD);
		return;
	}
	if (table_begins_flow(f, p)) {
		flow_times_remove(&fa->returned, &p->flow);
		flow_times_remove(&fa->probed, &p->flow);
		f = upsert_flow(fa, &p->flow, ENTRY_OPENING, now);
		table_record_opening(f, p->seq);
	}
	deliver(fa, f, p, via, now);
}

static void
add_probe(struct fa *fa, const struct flow_key *flow, uint64_t now)
{
	/* Without room, a later packet of the flow itself shows the result. */
	if (fa->probe_count < FA_PROBES_MAX)
		fa->probes[fa->probe_count++] = (struct fa_probe){*flow, now};
}

bool
fa_may_hold_unknown_flow(const struct fa *fa, const struct flow_key *flow,
    uint32_t ack, uint64_t now)
{
	return !fa->flows_complete && !target_has_ended(&fa->target, now) &&
	       flow_times_find(&fa->returned, flow, ack, now) == 0;
}

/* Handle a packet of a flow that is not in the table. */
static void
handle_unknown_flow(
    struct fa *fa, uint64_t via, const struct flow_packet *p, uint64_t now)
{
	struct flow_entry *f;

	if (fa_may_hold_unknown_flow(fa, &p->flow, p->ack, now)) {
		f = upsert_flow(fa, &p->flow, ENTRY_PROBED, now);
		f->balancer_probe = p->probe;
		deliver(fa, f, p, via, now);
		add_probe(fa, &p->flow, now);
	} else if (p->probe) {
		fa_send_find_reply(fa, via, &p->flow, p->ack, FIND_NOT_HELD);
	} else {
		return_packet(fa, via, p);
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
	    ctr_name(CTR_RESET_TARGET_LOST), "unconfirmed", (int)f->unconfirmed,
	    "target_ended", (int)target_has_ended(&fa->target, now), "idle_ms",
	    (json_int_t)((now - f->last_used_ns) / NS_PER_MS));
	fa->callbacks->reset(fa->ctx, &f->flow, table_caller_ack(f));
	fa_update_load(fa, now);
	table_remove(&fa->flows, f);
}

static void
continue_flow(
    struct fa *fa, uint64_t via, const struct flow_packet *p, uint64_t now)
{
	struct flow_entry *f = table_find(&fa->flows, &p->flow);

	if (f != NULL && table_is_outdated(f, p->ack)) {
		table_remove(&fa->flows, f);
		f = NULL;
	}
	if (f == NULL) {
		handle_unknown_flow(fa, via, p, now);
		return;
	}
	/* Another target accepted the opening and holds the flow. */
	if (f->state == ENTRY_OPENING || !table_ack_matches(f, p->ack)) {
		if (p->probe)
			fa_send_find_reply(
			    fa, via, &p->flow, p->ack, FIND_NOT_HELD);
		else
			return_packet(fa, via, p);
		return;
	}
	if (target_has_ended(&fa->target, now)) {
		f->caller_ack = p->ack;
		reset_flow(fa, f, now);
		return;
	}
	if (f->state == ENTRY_HALF_OPEN)
		table_set_state(&fa->flows, f, ENTRY_OPEN, now);
	/* The flow has become known since the agent asked for the probe. */
	if (p->probe && f->state == ENTRY_OPEN)
		fa_send_find_reply(fa, via, &p->flow, p->ack, FIND_HELD);
	deliver(fa, f, p, via, now);
	if ((p->flags & FLOW_RST) != 0) {
		fa_update_load(fa, now);
		table_set_state(&fa->flows, f, ENTRY_CLOSED, now);
	}
}

void
fa_handle_caller_packet(
    struct fa *fa, uint64_t via, const struct flow_packet *p, uint64_t now)
{
	ctr_inc(fa->ctr, CTR_CALLER_IN);
	if ((p->flags & FLOW_SYN) != 0)
		open_flow(fa, via, p, now);
	else
		continue_flow(fa, via, p, now);
	fa_release_due(fa, now);
}

/* ---- packets of the target ---- */

static void
handle_returned(struct fa *fa, const struct flow_packet *p, uint64_t now)
{
	struct flow_entry *f = table_find(&fa->flows, &p->flow);
	struct flow_packet back = *p;

	ctr_inc(fa->ctr, CTR_TARGET_RETURNED);
	if (f == NULL)
		return;
	if (f->state == ENTRY_PROBED) {
		flow_times_add(
		    &fa->returned, &p->flow, f->caller_ack, now, now);
		flow_times_add(&fa->probed, &p->flow, f->caller_ack, now, now);
	}
	if ((p->flags & FLOW_SYN) != 0) {
		if (f->state != ENTRY_OPENING)
			return;
		fa_refuse(fa, f->via, &p->flow, FLOW_REFUSED_FULL);
	} else if (f->state == ENTRY_PROBED && f->balancer_probe) {
		fa_send_find_reply(
		    fa, f->via, &p->flow, f->caller_ack, FIND_NOT_HELD);
	} else if ((f->unconfirmed || f->adopted) && f->state == ENTRY_OPEN) {
		reset_flow(fa, f, now);
		return;
	} else {
		back.flags &= ~(unsigned)FLOW_RETURNED;
		return_packet(fa, f->via, &back);
	}
	fa_update_load(fa, now);
	table_remove(&fa->flows, f);
}

static void
handle_accepted(struct fa *fa, const struct flow_packet *p, uint64_t now)
{
	struct flow_entry *f = table_find(&fa->flows, &p->flow);
	struct msg_flow about = {.flow = p->flow};

	if (f != NULL && f->state == ENTRY_OPENING)
		latency_record(&fa->opening, now - f->state_since_ns);
	if (f == NULL || f->state != ENTRY_OPEN ||
	    !table_ack_matches(f, p->seq))
		f = upsert_flow(fa, &p->flow, ENTRY_HALF_OPEN, now);
	table_record_seq(f, p->seq);
	f->last_used_ns = now;
	f->unconfirmed = false;
	f->adopted = false;
	send_flow_message(fa, f->via, FLOW_MSG_ACCEPTED, &about);
	fa->callbacks->answer(fa->ctx, p);
}

/* Find the flow of a target's packet. An agent that started after its target
 * adds the target's flows to the table here. */
static struct flow_entry *
learn_flow(struct fa *fa, const struct flow_packet *p, uint64_t now)
{
	struct flow_entry *f = table_find(&fa->flows, &p->flow);

	if (f == NULL)
		return upsert_flow(fa, &p->flow, ENTRY_OPEN, now);
	if (f->state == ENTRY_PROBED) {
		fa_send_find_reply(
		    fa, f->via, &p->flow, f->caller_ack, FIND_HELD);
		fa_update_load(fa, now);
		table_set_state(&fa->flows, f, ENTRY_OPEN, now);
	} else if (f->state == ENTRY_HALF_OPEN) {
		table_set_state(&fa->flows, f, ENTRY_OPEN, now);
	}
	return f;
}

/*
 * A target's packets arrive in order. A packet sent PROBE_RETURN_MS or more
 * after a probe, when the probe has not been returned, shows that the target
 * holds the flow, long before it answers the request in the probe.
 */
static void
settle_probes(struct fa *fa, uint64_t now)
{
	size_t kept = 0;

	for (size_t i = 0; i < fa->probe_count; i++) {
		struct flow_entry *f =
		    table_find(&fa->flows, &fa->probes[i].flow);

		if (f == NULL || f->state != ENTRY_PROBED ||
		    fa_has_elapsed(
			fa->probes[i].sent_ns, PROBE_EVIDENCE_MS, now))
			continue;
		if (!fa_has_elapsed(
			fa->probes[i].sent_ns, PROBE_RETURN_MS, now)) {
			fa->probes[kept++] = fa->probes[i];
			continue;
		}
		fa_send_find_reply(
		    fa, f->via, &f->flow, f->caller_ack, FIND_HELD);
		fa_update_load(fa, now);
		table_set_state(&fa->flows, f, ENTRY_OPEN, now);
	}
	fa->probe_count = kept;
}

/* Notify balancers at once when the target begins or ceases to fail. */
static void
record_outcome(struct fa *fa, const struct flow_packet *p, uint64_t now)
{
	char caller[ADDR_TEXT_MAX];
	uint32_t milli;

	failure_rate_record(&fa->failing, p->outcome == FLOW_FAILED, now);
	if (p->outcome == FLOW_FAILED)
		ctr_inc(fa->ctr, CTR_TARGET_FAILED);
	milli = failure_rate_milli(&fa->failing, now);
	if (fa->failing_reported ? milli >= FAILING_THRESHOLD_MILLI / 2
				 : milli < FAILING_THRESHOLD_MILLI)
		return;
	fa->failing_reported = !fa->failing_reported;
	fa->immediate_rounds = 1;
	event("target_failing", "s:b, s:i, s:s", "failing",
	    (int)fa->failing_reported, "failure_milli", (int)milli, "caller",
	    addr_text(addr_unpack(p->flow.caller), caller));
}

void
fa_handle_target_packet(
    struct fa *fa, const struct flow_packet *p, uint64_t now)
{
	struct flow_entry *f;

	target_record_packet(&fa->target, now);
	if ((p->flags & FLOW_RETURNED) != 0) {
		handle_returned(fa, p, now);
		return;
	}
	if (fa->probe_count > 0)
		settle_probes(fa, now);
	ctr_inc(fa->ctr, CTR_CALLER_OUT);
	if ((p->flags & FLOW_SYN) != 0) {
		handle_accepted(fa, p, now);
		return;
	}
	f = learn_flow(fa, p, now);
	table_record_seq(f, p->seq);
	f->last_used_ns = now;
	f->unconfirmed = false;
	f->adopted = false;
	f->target_fin |= (p->flags & FLOW_FIN) != 0;
	/* What the target sends does not answer a request that is held. */
	if (p->data > 0 && f->request_ns != 0 &&
	    !rq_holds(&fa->flows.queue, &f->flow)) {
		fa_update_load(fa, now);
		if (p->outcome != FLOW_NO_OUTCOME)
			record_outcome(fa, p, now);
		/* A target does not work on a request that it sheds. */
		if (p->outcome != FLOW_FAILED)
			work_time_record_answer(&fa->work);
		latency_record(&fa->wait, now - f->request_ns);
		table_end_request(&fa->flows, f);
	}
	if ((p->flags & FLOW_RST) != 0 || (f->caller_fin && f->target_fin)) {
		fa_update_load(fa, now);
		if (f->state != ENTRY_CLOSED)
			table_set_state(&fa->flows, f, ENTRY_CLOSED, now);
	}
	fa->callbacks->answer(fa->ctx, p);
	fa_release_due(fa, now);
}

/* ---- the target's heartbeats ---- */

void
fa_reset_all_flows(struct fa *fa, uint64_t now)
{
	fa_reset_flows_before(fa, now, now);
}

void
fa_reset_flows_before(struct fa *fa, uint64_t until, uint64_t now)
{
	struct flow_entry *f, *next;

	/* Probes of the previous incarnation prove nothing about the next. */
	fa->probe_count = 0;
	count_work(fa, now);
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
fa_handle_target_heartbeat(
    struct fa *fa, const struct target_heartbeat *hb, uint64_t now)
{
	bool first = fa->target.last_heartbeat.id == 0;
	uint64_t previous_ns = fa->target.heartbeat_ns;
	bool was_cold = fa->target.last_heartbeat.cold_ms > 0;
	enum heartbeat_result r;

	/* Busy time so far belongs to the slots known so far. */
	count_work(fa, now);
	r = target_handle_heartbeat(&fa->target, hb, now);
	if (r == HEARTBEAT_STALE || r == HEARTBEAT_MISMATCH) {
		ctr_inc(fa->ctr, CTR_TARGET_HEARTBEATS_BAD);
		return r;
	}
	ctr_inc(fa->ctr, CTR_TARGET_HEARTBEATS);
	if (fa->target.ended_ns != 0)
		fa_drop_held(fa, now);
	if (first && r == HEARTBEAT_ACCEPTED) {
		fa->flows_complete = target_is_fully_observed(&fa->target, now);
		event("target_first_heartbeat", "s:I, s:I, s:b", "started_ms",
		    (json_int_t)hb->started_ms, "sequence",
		    (json_int_t)hb->sequence, "flows_complete",
		    (int)fa->flows_complete);
	}
	if (was_cold != (fa->target.last_heartbeat.cold_ms > 0))
		work_time_weaken(&fa->work);
	if (r == HEARTBEAT_NEW_INCARNATION) {
		event("target_restarted", "s:I, s:i", "started_ms",
		    (json_int_t)hb->started_ms, "flows",
		    (int)HASH_COUNT(fa->flows.table));
		fa->flows_complete = true;
		work_time_init(&fa->work, now);
		/* Flows that began after the last heartbeat of the previous
		 * incarnation may belong to the new one, which accepts flows
		 * before its first heartbeat. */
		fa_reset_flows_before(fa, previous_ns, now);
	}
	fa_continue_recovery(fa, now);
	fa_write_snapshot(fa, now);
	return r;
}
