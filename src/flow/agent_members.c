#include "flow/agent_parts.h"

#include "base/clock.h"
#include "base/event.h"

/** An opening not answered by the target for this long is refused, ms: a
 * target answers it in less than a millisecond. */
#define SILENT_MS 100
/** A longer gap between ticks means that answers may lie unread, ms. */
#define GAP_MS 150
/** Heartbeat to balancers of the own failure domain: this, and more for each
 * that gets it, the more of them there are, ms. */
#define TELL_MS 400
#define TELL_EACH_MS 25
#define TELL_FEW 16
#define TELL_MANY_EACH_MS 130
#define TELL_MAX_MS 60000
/** Those of other failure domains get one so many times as seldom: bytes
 * between domains cost, and they turn to this agent only when their own are
 * full. */
#define FAR_TIMES 3
/** And more for each of many balancers, ms. */
#define TELL_FAR_EACH_MS 60
/** In the first seconds, while balancers are still found, ms; and for each
 * of many, so that all starting together does not flood them. */
#define TELL_YOUNG_MS 250
#define TELL_YOUNG_EACH_MS 10
#define YOUNG_MS 3000
/** Until a balancer has answered, seeds are told every tick, so long, ms: the
 * machines of one start are up within some seconds of each other. */
#define ALONE_MS 10000
/** Among so many balancers a young agent tells those of the other failure
 * domains each time too. */
#define FEW_BALANCERS 32
/** Time between two tries whether the target listens, ms. */
#define TRY_MS 500
/** Requests that wait while nothing at all comes from the target for this are
 * a reason to try it, ms: it acknowledges what it gets much sooner. */
#define MUTE_MS 300
/** A stop waits for requests in progress at most this long, ms. */
#define LEAVE_MS 1500
/** Rounds of heartbeats that follow a change of state at once. */
#define TELL_TWICE 2
/** A list of balancers is asked for this often, ms: some times before one
 * that is not heard of is forgotten, peers_forget_ms(). */
#define ASK_MS 4000
#define ASK_EACH_MS 60
/** And this often until one says that there are no others, ms. */
#define ASK_MORE_MS 1000
/** Flows are looked through for old ones this often, ms. */
#define EXPIRE_MS 1000

static uint64_t
period_of(uint64_t count)
{
	uint64_t many = count > TELL_FEW ? count - TELL_FEW : 0;
	uint64_t ms =
	    TELL_MS + TELL_EACH_MS * (count - many) + TELL_MANY_EACH_MS * many;

	return ms < TELL_MAX_MS ? ms : TELL_MAX_MS;
}

static uint64_t
far_round_ms(uint64_t known)
{
	uint64_t many = known > FEW_BALANCERS ? known - FEW_BALANCERS : 0;

	return TELL_MS + TELL_EACH_MS * (known - many) +
	       TELL_FAR_EACH_MS * many;
}

static uint64_t
young_period_of(uint64_t count)
{
	uint64_t ms = TELL_YOUNG_EACH_MS * count;

	return ms > TELL_YOUNG_MS ? ms : TELL_YOUNG_MS;
}

/* Grow with the number of balancers, so that their share of them does not. */
static uint64_t
near_period_ms(const struct fa *fa, uint64_t now)
{
	uint64_t near = peers_near_count(&fa->peers);
	uint64_t ms = period_of(near);
	uint64_t young_ms = young_period_of(near);

	return fa_passed(fa->target.agent_started_ns, YOUNG_MS, now) ||
		       ms < young_ms
		   ? ms
		   : young_ms;
}

static uint64_t
far_period_ms(const struct fa *fa, uint64_t now)
{
	uint64_t known = peers_count(&fa->peers);
	uint64_t ms = FAR_TIMES * far_round_ms(known);
	uint64_t young_ms = FAR_TIMES * young_period_of(known);

	if (known <= FEW_BALANCERS)
		young_ms = young_period_of(known);
	ms = ms < TELL_MAX_MS ? ms : TELL_MAX_MS;
	return fa_passed(fa->target.agent_started_ns, YOUNG_MS, now) ||
		       ms < young_ms
		   ? ms
		   : young_ms;
}

/* ---- messages ---- */

static enum find_result
where_is(const struct fa *fa, const struct find_item *asked, uint64_t now)
{
	const struct flow_entry *f = table_find(&fa->flows, &asked->flow);

	if (f == NULL || f->state == ENTRY_PROBED)
		return fa->knows_all || target_has_ended(&fa->target, now)
			   ? FIND_NOT_HELD
			   : FIND_UNKNOWN;
	return f->state != ENTRY_OPENING && table_ack_matches(f, asked->ack)
		   ? FIND_HELD
		   : FIND_NOT_HELD;
}

static void
on_find(struct fa *fa, const struct flow_msg *m, uint64_t now)
{
	struct flow_msg answer = {.kind = FLOW_MSG_FOUND};

	answer.u.find = m->u.find;
	for (uint32_t i = 0; i < m->u.find.count; i++)
		answer.u.find.flows[i].where =
		    where_is(fa, &m->u.find.flows[i], now);
	fa_send(fa, m->from, &answer);
}

static void
tell(struct fa *fa, uint64_t to, bool ask, uint64_t now)
{
	const struct peer *e = peers_find(&fa->peers, to);
	struct flow_msg m = {.kind = FLOW_MSG_AGENT};
	struct msg_agent *a = &m.u.agent;
	uint64_t cold = fa->target.cold_until_ns;
	uint64_t later = now + YOUNG_MS * NS_PER_MS;

	a->service = fa->target.service;
	str_copy(a->domain, sizeof(a->domain), str_of(fa->setup.domain));
	a->data_port = fa->setup.data_port;
	a->state = fa->told;
	a->cold_ms = cold > now ? (uint32_t)((cold - now) / NS_PER_MS) : 0;
	a->slots = fa->target.last_heartbeat.slots;
	a->busy_milli = (uint32_t)fa->busy_milli;
	a->waiting = fa->flows.waiting;
	a->flows = fa->flows.open;
	a->failing = failure_rate_milli(&fa->failing, now);
	/* What follows the first seconds is told, lest silence be seen then. */
	a->period_ms = (uint32_t)(e != NULL && !peers_near(&fa->peers, e)
				      ? far_period_ms(fa, later)
				      : near_period_ms(fa, later));
	a->gone = fa->leaving_ns != 0 && target_has_ended(&fa->target, now);
	a->ask = ask;
	a->peers = peers_digest(&fa->peers);
	fa_send(fa, to, &m);
}

static void
on_peers(struct fa *fa, const struct msg_peers *list, uint64_t now)
{
	uint64_t new_ones[FLOW_PEERS_MAX];
	size_t count = 0;

	if (list->same) {
		peers_confirm(&fa->peers, now);
		/* They were told a period for the few that it knew then. */
		if (!fa->knows_balancers &&
		    !fa_passed(fa->target.agent_started_ns, ALONE_MS, now))
			fa->tell_again = 1;
		fa->knows_balancers = true;
	}
	for (uint32_t i = 0; i < list->count; i++) {
		uint64_t age = list->peers[i].age_ms * NS_PER_MS;

		if (age <= now &&
		    age <= peers_forget_ms(&fa->peers) * NS_PER_MS &&
		    peers_note(&fa->peers, list->peers[i].id, now - age,
			list->peers[i].domain))
			new_ones[count++] = list->peers[i].id;
	}
	/* Told when all are known: they compare what this agent knows. Who is
	 * new in a sample may have more to tell. */
	for (size_t i = 0; i < count; i++)
		tell(fa, new_ones[i], list->sample && i == 0, now);
	if (count > 0)
		fa->knows_balancers = false;
}

void
fa_message(struct fa *fa, const struct flow_msg *m, uint64_t now)
{
	switch (m->kind) {
	case FLOW_MSG_FIND:
		on_find(fa, m, now);
		return;
	case FLOW_MSG_PEERS:
		fa->met = true;
		peers_note(&fa->peers, m->from, now, 0);
		on_peers(fa, &m->u.peers, now);
		return;
	case FLOW_MSG_BALANCER:
		/* It greets agents that it does not hear. */
		fa->met = true;
		peers_note(&fa->peers, m->from, now,
		    flow_service_tag(str_of(m->u.balancer.domain)));
		tell(fa, m->from, false, now);
		return;
	case FLOW_MSG_AGENT:
	case FLOW_MSG_FOUND:
	case FLOW_MSG_ACCEPTED:
	case FLOW_MSG_REFUSED:
	case FLOW_MSG_NOT_HELD:
		break;
	}
	ctr_inc(fa->ctr, CTR_DROP_KIND);
}

/* ---- time ---- */

/* Openings that the target has let wait go back to their balancers. */
void
fa_tick_openings(struct fa *fa, uint64_t now)
{
	struct flow_entry *f, *next;

	HASH_ITER(hh, fa->flows.table, f, next)
	{
		if (f->state != ENTRY_OPENING || f->timeout_reported ||
		    !fa_passed(f->state_since_ns, SILENT_MS, now))
			continue;
		f->timeout_reported = true;
		target_suspect(&fa->target, f->state_since_ns);
		fa_refuse(fa, f->via, &f->flow, FLOW_REFUSED_SILENT);
	}
}

/* Whether there is reason to doubt that the target lives. */
static bool
doubtful(const struct fa *fa, uint64_t now)
{
	const struct target *t = &fa->target;

	if (t->refused)
		return false;
	if (t->last_heartbeat.id == 0 && t->last_packet_ns == 0)
		return true;
	if (t->suspected)
		return true;
	return fa->given_ns > t->last_packet_ns &&
	       fa_passed(fa->given_ns, MUTE_MS, now);
}

static void
tick_doubt(struct fa *fa, uint64_t now)
{
	if (fa->trying || !doubtful(fa, now) ||
	    !fa_passed(fa->tried_ns, TRY_MS, now))
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
	    (json_int_t)((now - fa->target.last_packet_ns) / NS_PER_MS));
	/* What it sent since is later evidence than a refusal. */
	if (sign != FA_REFUSES || fa->target.last_packet_ns > fa->tried_ns)
		return;
	target_set_refused(&fa->target);
	fa_reset_all(fa, now);
}

uint64_t
fa_ask_ms(const struct fa *fa)
{
	uint64_t ms = ASK_EACH_MS * (uint64_t)peers_count(&fa->peers);

	if (!fa->knows_balancers)
		return ASK_MORE_MS;
	return ms > ASK_MS ? ms : ASK_MS;
}

static void
tell_all(struct fa *fa, bool far, uint64_t now)
{
	size_t known = peers_count(&fa->peers);
	/* One of them is asked for its list, another one each time. */
	size_t whom = known > 0 && fa_passed(fa->asked_ns, fa_ask_ms(fa), now)
			  ? (size_t)(fa->sequence % known)
			  : SIZE_MAX;
	size_t at = 0;
	struct peer *e, *next;

	if (whom != SIZE_MAX)
		fa->asked_ns = now;
	fa->told_ns = now;
	fa->told_far_ns = far ? now : fa->told_far_ns;
	fa_smooth(fa, now);
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

/* No balancer has answered yet: the seeds may be about to start. */
static bool
alone(const struct fa *fa, uint64_t now)
{
	return !fa->met &&
	       !fa_passed(fa->target.agent_started_ns, ALONE_MS, now);
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
		    (json_int_t)((now - fa->target.heartbeat_ns) / NS_PER_MS),
		    "flows", (int)fa->flows.open, "waiting",
		    (int)fa->flows.waiting);
		fa->told = state;
		fa->tell_again = TELL_TWICE;
	}
	if (fa->tell_again > 0 || alone(fa, now) ||
	    fa_passed(fa->told_ns, near_period_ms(fa, now), now)) {
		bool far =
		    fa->tell_again > 0 ||
		    fa_passed(fa->told_far_ns, far_period_ms(fa, now), now);

		fa->tell_again -= fa->tell_again > 0 ? 1 : 0;
		tell_all(fa, far, now);
	}
}

void
fa_tick(struct fa *fa, uint64_t now)
{
	/* Timers run before sockets are read: answers may lie there. */
	if (!fa_passed(fa->ticked_ns, GAP_MS, now))
		fa_tick_openings(fa, now);
	fa->ticked_ns = now;
	tick_doubt(fa, now);
	tick_state(fa, now);
	if (fa_passed(fa->expired_ns, EXPIRE_MS, now)) {
		fa->expired_ns = now;
		fa_smooth(fa, now);
		table_expire(&fa->flows, fa->setup.flow_life_ms, now);
		/* What it did not see by now is older than a flow may be. */
		if (fa_passed(fa->unsure_ns, fa->setup.flow_life_ms, now))
			fa->knows_all |= fa->target.last_heartbeat.id != 0;
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
	return fa->flows.waiting == 0 || target_has_ended(&fa->target, now) ||
	       fa_passed(fa->leaving_ns, LEAVE_MS, now);
}
