#include "flow/agent.h"

#include "base/clock.h"
#include "base/event.h"

/** An opening not answered by the target for this long is refused, ms: a
 * target answers it in less than a millisecond. */
#define SILENT_MS 100
/** A longer gap between ticks means that answers may lie unread, ms. */
#define GAP_MS 150
/** Heartbeat: this, and more for each balancer that gets it, ms. */
#define TELL_MS 400
#define TELL_EACH_MS 25
#define TELL_MAX_MS 3000
/** Balancers of other failure domains get every such heartbeat: bytes between
 * domains cost, and they turn to this agent only when their own are full. */
#define FAR_ROUNDS 3
/** At most this in the first seconds, while balancers are still found, ms. */
#define TELL_YOUNG_MS 250
#define YOUNG_MS 3000
/** Time over which load is smoothed, ms: some tens of requests. */
#define SMOOTH_MS 1000
/** A target returns a packet within a fraction of this, ms: once it has sent
 * anything later than that, it holds the flow. */
#define RETURN_MS 5
/** Time between two tries whether the target listens, ms. */
#define TRY_MS 500
/** Requests that wait while nothing at all comes from the target for this are
 * a reason to try it, ms: it acknowledges what it gets much sooner. */
#define MUTE_MS 300
/** Words that a target may have said before its agent heard one, when the
 * two started together. */
#define FIRST_WORDS 3
/** A stop waits for requests in progress at most this long, ms. */
#define LEAVE_MS 1500
/** Rounds of heartbeats that follow a change of state at once. */
#define TELL_TWICE 2
/** A list of balancers is asked for this often, ms: some times before one
 * that is not heard of is forgotten, PEER_FORGET_MS. */
#define ASK_MS 4000
/** Flows are looked through for old ones this often, ms. */
#define EXPIRE_MS 1000

void
fa_init(struct fa *fa, const struct fa_setup *setup, const struct fa_out *out,
    void *ctx, struct counters *ctr, uint64_t now)
{
	*fa = (struct fa){.setup = *setup, .out = out, .ctx = ctx, .ctr = ctr};
	fa->flows.capacity = setup->flow_capacity;
	fa->target.service = flow_service_tag(str_of(setup->service));
	fa->target.address = setup->target;
	fa->target.period_ms = setup->word_period_ms;
	fa->target.began_ns = now;
	fa->peers.domain_tag = flow_service_tag(str_of(setup->domain));
	fa->busy_ns = now;
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

static bool
passed(uint64_t since, uint64_t ms, uint64_t now)
{
	return now >= since + ms * NS_PER_MS;
}

/* Grows with the number of balancers, so that their share of it does not. */
static uint64_t
period_ms(const struct fa *fa, uint64_t now)
{
	uint64_t ms = TELL_MS + TELL_EACH_MS * peers_count(&fa->peers);

	if (!passed(fa->target.began_ns, YOUNG_MS, now) && ms > TELL_YOUNG_MS)
		return TELL_YOUNG_MS;
	return ms < TELL_MAX_MS ? ms : TELL_MAX_MS;
}

/* ---- load ---- */

/* Bring the smoothed load up to now; to be called before it changes. */
static void
smooth(struct fa *fa, uint64_t now)
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

static void
send(struct fa *fa, uint64_t to, struct flow_msg *m)
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
	send(fa, to, &m);
}

static void
refuse(struct fa *fa, uint64_t via, const struct flow_key *flow,
    enum flow_refusal why)
{
	struct msg_flow about = {.flow = *flow, .refusal = why};

	send_flow(fa, via, FLOW_MSG_REFUSED, &about);
}

static void
say_where(struct fa *fa, uint64_t to, const struct flow_key *flow,
    enum flow_where where)
{
	struct flow_msg m = {.kind = FLOW_MSG_FOUND};

	m.u.find.count = 1;
	m.u.find.flows[0] = (struct msg_found){.flow = *flow, .where = where};
	send(fa, to, &m);
}

static void
give_back(struct fa *fa, uint64_t via, const struct flow_packet *p)
{
	struct msg_flow about = {
	    .flow = p->flow, .ack = p->ack, .bytes = p->bytes};

	ctr_inc(fa->ctr, CTR_RETRY_AWAY);
	send_flow(fa, via, FLOW_MSG_AWAY, &about);
}

static void
deliver(struct fa *fa, struct held_flow *f, const struct flow_packet *p,
    uint64_t via, uint64_t now)
{
	f->via = via;
	f->used_ns = now;
	f->caller_ack = p->ack;
	f->caller_done |= (p->flags & FLOW_FIN) != 0;
	if (p->data > 0) {
		smooth(fa, now);
		table_ask(&fa->flows, f, now);
		/* The first that the target has not reacted to. */
		if (fa->given_ns <= fa->target.heard_ns)
			fa->given_ns = now;
	}
	ctr_inc(fa->ctr, CTR_TARGET_OUT);
	fa->out->deliver(fa->ctx, p);
}

/* ---- packets of callers ---- */

static struct held_flow *
enter(struct fa *fa, const struct flow_key *flow, enum held_state state,
    uint64_t now)
{
	bool forgotten;
	struct held_flow *f;

	smooth(fa, now);
	f = table_enter(&fa->flows, flow, state, now, &forgotten);
	if (forgotten) {
		ctr_inc(fa->ctr, CTR_DROP_TABLE);
		/* What is not in the table may be here from now on. */
		fa->knows_all = false;
	}
	return f;
}

static void
open_flow(
    struct fa *fa, uint64_t via, const struct flow_packet *p, uint64_t now)
{
	enum target_state state = target_state_at(&fa->target, now);
	struct held_flow *f = table_find(&fa->flows, &p->flow);

	if (p->tag != fa->target.service) {
		refuse(fa, via, &p->flow, FLOW_REFUSED_SERVICE);
		return;
	}
	if (state != TARGET_READY || fa->leaving_ns != 0) {
		refuse(fa, via, &p->flow,
		    state == TARGET_SILENT ? FLOW_REFUSED_SILENT
					   : FLOW_REFUSED_LEAVING);
		return;
	}
	if (f == NULL || f->state == HELD_CLOSED || f->state == HELD_TRIED)
		f = enter(fa, &p->flow, HELD_OPENING, now);
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
	struct held_flow *f;

	if (!fa->knows_all && !target_ended(&fa->target, now)) {
		f = enter(fa, &p->flow, HELD_TRIED, now);
		f->probed = p->probe;
		deliver(fa, f, p, via, now);
		note_try(fa, &p->flow, now);
	} else if (p->probe) {
		say_where(fa, via, &p->flow, FLOW_NOT_HERE);
	} else {
		give_back(fa, via, p);
	}
}

static void
reset_flow(struct fa *fa, struct held_flow *f, uint64_t now)
{
	ctr_inc(fa->ctr, CTR_RESET_TARGET_LOST);
	fa->out->reset(fa->ctx, &f->flow, f->caller_ack);
	smooth(fa, now);
	table_drop(&fa->flows, f);
}

static void
continue_flow(
    struct fa *fa, uint64_t via, const struct flow_packet *p, uint64_t now)
{
	struct held_flow *f = table_find(&fa->flows, &p->flow);

	if (f == NULL) {
		meet_unknown(fa, via, p, now);
		return;
	}
	/* Another target accepted the opening: the flow is not ours. */
	if (f->state == HELD_OPENING || !table_fits(f, p->ack)) {
		if (p->probe)
			say_where(fa, via, &p->flow, FLOW_NOT_HERE);
		else
			give_back(fa, via, p);
		return;
	}
	if (target_ended(&fa->target, now)) {
		f->caller_ack = p->ack;
		reset_flow(fa, f, now);
		return;
	}
	if (f->state == HELD_HALF)
		table_move(&fa->flows, f, HELD_OPEN, now);
	deliver(fa, f, p, via, now);
	if ((p->flags & FLOW_RST) != 0) {
		smooth(fa, now);
		table_move(&fa->flows, f, HELD_CLOSED, now);
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
	struct held_flow *f = table_find(&fa->flows, &p->flow);
	struct flow_packet back = *p;

	ctr_inc(fa->ctr, CTR_TARGET_RETURNED);
	if (f == NULL)
		return;
	if ((p->flags & FLOW_SYN) != 0) {
		if (f->state != HELD_OPENING)
			return;
		refuse(fa, f->via, &p->flow, FLOW_REFUSED_FULL);
	} else if (f->state == HELD_TRIED && f->probed) {
		say_where(fa, f->via, &p->flow, FLOW_NOT_HERE);
	} else {
		back.flags &= ~(unsigned)FLOW_RETURNED;
		give_back(fa, f->via, &back);
	}
	smooth(fa, now);
	table_drop(&fa->flows, f);
}

static void
on_accepted(struct fa *fa, const struct flow_packet *p, uint64_t now)
{
	struct held_flow *f = table_find(&fa->flows, &p->flow);
	struct msg_flow about = {.flow = p->flow};

	if (f != NULL && f->state == HELD_OPENING)
		latency_note(&fa->opening, now - f->began_ns);
	if (f == NULL || f->state != HELD_OPEN || !table_fits(f, p->seq))
		f = enter(fa, &p->flow, HELD_HALF, now);
	table_numbered(f, p->seq);
	f->used_ns = now;
	send_flow(fa, f->via, FLOW_MSG_ACCEPTED, &about);
	fa->out->answer(fa->ctx, p);
}

/* An agent that started after its target learns the target's flows. */
static struct held_flow *
learn(struct fa *fa, const struct flow_packet *p, uint64_t now)
{
	struct held_flow *f = table_find(&fa->flows, &p->flow);

	if (f == NULL)
		return enter(fa, &p->flow, HELD_OPEN, now);
	if (f->state == HELD_TRIED) {
		say_where(fa, f->via, &p->flow, FLOW_HERE);
		smooth(fa, now);
		table_move(&fa->flows, f, HELD_OPEN, now);
	} else if (f->state == HELD_HALF) {
		table_move(&fa->flows, f, HELD_OPEN, now);
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
		struct held_flow *f =
		    table_find(&fa->flows, &fa->tries[i].flow);

		if (f == NULL || f->state != HELD_TRIED)
			continue;
		if (!passed(fa->tries[i].given_ns, RETURN_MS, now)) {
			fa->tries[kept++] = fa->tries[i];
			continue;
		}
		say_where(fa, f->via, &f->flow, FLOW_HERE);
		smooth(fa, now);
		table_move(&fa->flows, f, HELD_OPEN, now);
	}
	fa->try_count = kept;
}

void
fa_target(struct fa *fa, const struct flow_packet *p, uint64_t now)
{
	struct held_flow *f;

	target_heard(&fa->target, now);
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
	table_numbered(f, p->seq);
	f->used_ns = now;
	f->target_done |= (p->flags & FLOW_FIN) != 0;
	if (p->data > 0 && f->asked_ns != 0) {
		smooth(fa, now);
		latency_note(&fa->wait, now - f->asked_ns);
		table_answer(&fa->flows, f);
	}
	if ((p->flags & FLOW_RST) != 0 || (f->caller_done && f->target_done)) {
		smooth(fa, now);
		if (f->state != HELD_CLOSED)
			table_move(&fa->flows, f, HELD_CLOSED, now);
	}
	fa->out->answer(fa->ctx, p);
}

/* ---- the target's words ---- */

static void
reset_all(struct fa *fa, uint64_t now)
{
	struct held_flow *f, *next;

	HASH_ITER(hh, fa->flows.table, f, next)
	{
		if (f->state == HELD_OPEN)
			reset_flow(fa, f, now);
		else
			table_drop(&fa->flows, f);
	}
}

enum word_result
fa_word(struct fa *fa, const struct target_word *w, uint64_t now)
{
	bool first = fa->target.word.id == 0;
	enum word_result r = target_say(&fa->target, w, now);

	if (r == WORD_OLD || r == WORD_FOREIGN) {
		ctr_inc(fa->ctr, CTR_TARGET_WORDS_BAD);
		return r;
	}
	ctr_inc(fa->ctr, CTR_TARGET_WORDS);
	if (first && r == WORD_TAKEN) {
		fa->knows_all = w->sequence <= FIRST_WORDS;
		event("target", "s:I, s:I, s:b", "born_ms",
		    (json_int_t)w->born_ms, "sequence", (json_int_t)w->sequence,
		    "knows_all", (int)fa->knows_all);
	}
	if (r == WORD_NEW_LIFE) {
		event("target_new_life", "s:I, s:i", "born_ms",
		    (json_int_t)w->born_ms, "flows",
		    (int)HASH_COUNT(fa->flows.table));
		fa->knows_all = true;
		reset_all(fa, now);
	}
	return r;
}

/* ---- messages ---- */

static enum flow_where
where_is(const struct fa *fa, const struct msg_found *asked, uint64_t now)
{
	const struct held_flow *f = table_find(&fa->flows, &asked->flow);

	if (f == NULL || f->state == HELD_TRIED)
		return fa->knows_all || target_ended(&fa->target, now)
			   ? FLOW_NOT_HERE
			   : FLOW_UNSURE;
	return f->state != HELD_OPENING && table_fits(f, asked->ack)
		   ? FLOW_HERE
		   : FLOW_NOT_HERE;
}

static void
on_find(struct fa *fa, const struct flow_msg *m, uint64_t now)
{
	struct flow_msg answer = {.kind = FLOW_MSG_FOUND};

	answer.u.find = m->u.find;
	for (uint32_t i = 0; i < m->u.find.count; i++)
		answer.u.find.flows[i].where =
		    where_is(fa, &m->u.find.flows[i], now);
	send(fa, m->from, &answer);
}

static void
tell(struct fa *fa, uint64_t to, bool ask, uint64_t now)
{
	const struct peer *e = peers_find(&fa->peers, to);
	struct flow_msg m = {.kind = FLOW_MSG_AGENT};
	struct msg_agent *a = &m.u.agent;
	uint64_t cold = fa->target.cold_until_ns;

	a->service = fa->target.service;
	str_copy(a->domain, sizeof(a->domain), str_of(fa->setup.domain));
	a->data_port = fa->setup.data_port;
	a->state = fa->told;
	a->cold_ms = cold > now ? (uint32_t)((cold - now) / NS_PER_MS) : 0;
	a->slots = fa->target.word.slots;
	a->busy_milli = (uint32_t)fa->busy_milli;
	a->waiting = fa->flows.waiting;
	a->flows = fa->flows.open;
	/* What follows the first seconds is told, lest silence be seen then. */
	a->period_ms = (uint32_t)period_ms(fa, now + YOUNG_MS * NS_PER_MS);
	if (e != NULL && !peers_near(&fa->peers, e))
		a->period_ms *= FAR_ROUNDS;
	/* A digest that fits nobody brings a list, and fresh ages with it. */
	a->gone = fa->leaving_ns != 0 && target_ended(&fa->target, now);
	a->peers = ask ? 0 : peers_digest(&fa->peers);
	send(fa, to, &m);
}

static void
on_peers(struct fa *fa, const struct msg_peers *list, uint64_t now)
{
	for (uint32_t i = 0; i < list->count; i++) {
		uint64_t age = list->peers[i].age_ms * NS_PER_MS;

		if (age > now || age > PEER_FORGET_MS * NS_PER_MS)
			continue;
		if (peers_note(&fa->peers, list->peers[i].id, now - age,
			list->peers[i].domain))
			tell(fa, list->peers[i].id, false, now);
	}
}

void
fa_message(struct fa *fa, const struct flow_msg *m, uint64_t now)
{
	switch (m->kind) {
	case FLOW_MSG_FIND:
		on_find(fa, m, now);
		return;
	case FLOW_MSG_PEERS:
		peers_note(&fa->peers, m->from, now, 0);
		on_peers(fa, &m->u.peers, now);
		return;
	case FLOW_MSG_BALANCER:
		/* It greets agents that it does not hear. */
		peers_note(&fa->peers, m->from, now,
		    flow_service_tag(str_of(m->u.balancer.domain)));
		tell(fa, m->from, false, now);
		return;
	case FLOW_MSG_AGENT:
	case FLOW_MSG_FOUND:
	case FLOW_MSG_ACCEPTED:
	case FLOW_MSG_REFUSED:
	case FLOW_MSG_AWAY:
		break;
	}
	ctr_inc(fa->ctr, CTR_DROP_KIND);
}

/* ---- time ---- */

/* Openings that the target has let wait go back to their balancers. */
static void
tick_openings(struct fa *fa, uint64_t now)
{
	struct held_flow *f, *next;

	HASH_ITER(hh, fa->flows.table, f, next)
	{
		if (f->state != HELD_OPENING || f->silence_told ||
		    !passed(f->began_ns, SILENT_MS, now))
			continue;
		f->silence_told = true;
		target_suspect(&fa->target, f->began_ns);
		refuse(fa, f->via, &f->flow, FLOW_REFUSED_SILENT);
	}
}

/* Whether there is reason to doubt that the target lives. */
static bool
doubtful(const struct fa *fa, uint64_t now)
{
	const struct target *t = &fa->target;

	if (t->refused)
		return false;
	if (t->word.id == 0 && t->heard_ns == 0)
		return true;
	if (t->suspected)
		return true;
	return fa->given_ns > t->heard_ns && passed(fa->given_ns, MUTE_MS, now);
}

static void
tick_doubt(struct fa *fa, uint64_t now)
{
	if (fa->trying || !doubtful(fa, now) ||
	    !passed(fa->tried_ns, TRY_MS, now))
		return;
	fa->trying = true;
	fa->tried_ns = now;
	fa->out->try_target(fa->ctx);
}

void
fa_tried(struct fa *fa, enum fa_sign sign, uint64_t now)
{
	static const char *const names[] = {"listens", "refuses", "nothing"};

	fa->trying = false;
	event("target_tried", "s:s, s:i, s:I", "sign", names[sign], "flows",
	    (int)fa->flows.open, "heard_ago_ms",
	    (json_int_t)((now - fa->target.heard_ns) / NS_PER_MS));
	if (sign != FA_REFUSES)
		return;
	target_refused(&fa->target);
	reset_all(fa, now);
}

static void
tell_all(struct fa *fa, bool far, uint64_t now)
{
	size_t known = peers_count(&fa->peers);
	/* One of them is asked for its list, another one each time. */
	size_t whom = passed(fa->asked_ns, ASK_MS, now) && known > 0
			  ? (size_t)(fa->sequence % known)
			  : SIZE_MAX;
	size_t at = 0;
	struct peer *e, *next;

	if (whom != SIZE_MAX)
		fa->asked_ns = now;
	fa->told_ns = now;
	smooth(fa, now);
	HASH_ITER(hh, fa->peers.table, e, next)
	{
		bool ask = at++ == whom;

		if (far || ask || peers_near(&fa->peers, e))
			tell(fa, e->id, ask, now);
	}
}

static void
note_seeds(struct fa *fa, uint64_t now)
{
	for (size_t i = 0; i < fa->setup.seed_count; i++)
		peers_note(&fa->peers, fa->setup.seeds[i], now, 0);
}

static void
tick_state(struct fa *fa, uint64_t now)
{
	enum target_state state = target_state_at(&fa->target, now);

	if (fa->leaving_ns != 0 && state == TARGET_READY)
		state = TARGET_LEAVING;
	if (state != fa->told) {
		event("target_state", "s:i, s:i, s:I, s:i, s:i", "state",
		    (int)state, "was", (int)fa->told, "word_age_ms",
		    (json_int_t)((now - fa->target.word_ns) / NS_PER_MS),
		    "flows", (int)fa->flows.open, "waiting",
		    (int)fa->flows.waiting);
		fa->told = state;
		fa->tell_again = TELL_TWICE;
	}
	if (fa->tell_again > 0 ||
	    passed(fa->told_ns, period_ms(fa, now), now)) {
		bool young = !passed(fa->target.began_ns, YOUNG_MS, now);
		bool far = fa->tell_again > 0 || young ||
			   fa->rounds++ % FAR_ROUNDS == 0;

		fa->tell_again -= fa->tell_again > 0 ? 1 : 0;
		tell_all(fa, far, now);
	}
}

void
fa_tick(struct fa *fa, uint64_t now)
{
	/* Timers run before sockets are read: answers may lie there. */
	if (!passed(fa->ticked_ns, GAP_MS, now))
		tick_openings(fa, now);
	fa->ticked_ns = now;
	tick_doubt(fa, now);
	tick_state(fa, now);
	if (passed(fa->expired_ns, EXPIRE_MS, now)) {
		fa->expired_ns = now;
		smooth(fa, now);
		table_expire(&fa->flows, fa->setup.flow_life_ms, now);
		peers_expire(&fa->peers, now);
		if (peers_count(&fa->peers) == 0)
			note_seeds(fa, now);
	}
}

void
fa_paused(struct fa *fa, uint64_t gap_ms, uint64_t now)
{
	ctr_inc(fa->ctr, CTR_PAUSES);
	event("paused", "s:I", "gap_ms", (json_int_t)gap_ms);
	/* Nothing was read meanwhile: openings are judged from now on. */
	fa->ticked_ns = 0;
	fa->tell_again = TELL_TWICE;
	(void)now;
}

void
fa_meet(struct fa *fa, uint64_t id, uint64_t now)
{
	/* An entry may be of a dead balancer: only its answer makes it known.
	 */
	if (peers_find(&fa->peers, id) == NULL)
		tell(fa, id, true, now);
}

void
fa_leave(struct fa *fa, uint64_t now)
{
	fa->leaving_ns = now;
	tell_all(fa, true, now);
	tick_state(fa, now);
}

bool
fa_left(const struct fa *fa, uint64_t now)
{
	if (fa->leaving_ns == 0)
		return false;
	/* The last heartbeats, which say so, have left by the next tick. */
	return fa->flows.waiting == 0 || target_ended(&fa->target, now) ||
	       passed(fa->leaving_ns, LEAVE_MS, now);
}
