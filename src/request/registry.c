#include "request/agent_state.h"

/** Wait for a home's word on a registration. */
#define REGISTER_NS (300 * NS_PER_MS)
/**
 * An active flow's home is asked again after this, so that whatever was lost
 * between the two, one owner is left.
 */
#define CONFIRM_NS (3000 * NS_PER_MS)
/** How long a new owner holds on to a flow that a home denies it. */
#define DENIAL_GRACE_NS (1000 * NS_PER_MS)
/** Members that a withdrawal goes to. */
#define WITHDRAW_MAX 16
/** Homes that one pass tells. */
#define PASS_HOMES 16

/* An instance that started again remembers nothing: it counts as another. */
static uint64_t
mark_of(uint64_t id, uint64_t incarnation)
{
	return id ^ incarnation * UINT64_C(0x9e3779b97f4a7c15);
}

static uint64_t
mark(const struct mbr_entry *e)
{
	return e == NULL ? 0 : mark_of(e->m.id, e->m.incarnation);
}

/* Who joins becomes home soon: it is told before the view changes. */
static struct mbr_entry *
joining_home(const struct agent *a, const struct flow *f)
{
	const struct mbr_group *g = mbr_group(a->members, f->key.service);
	struct mbr_entry *best = NULL;

	for (size_t i = 0; i < g->count; i++) {
		struct mbr_entry *e = g->entries[i];

		if (e->m.phase != MBR_JOINING || e->m.health != MBR_OK)
			continue;
		if (best == NULL ||
		    mbr_rank(f->hash, e->m.id) > mbr_rank(f->hash, best->m.id))
			best = e;
	}
	return best;
}

static void
homes_of(const struct agent *a, const struct flow *f, struct mbr_entry **out)
{
	struct mbr_entry *first =
	    mbr_home(a->members, f->key.service, f->hash, 0);

	out[0] = first;
	out[1] = first == NULL ? NULL
			       : mbr_home(a->members, f->key.service, f->hash,
				     first->m.id);
	out[2] = joining_home(a, f);
}

static bool
told(const struct agent *a, const struct flow *f, const struct mbr_entry *home)
{
	if (home == NULL || home->m.id == agt_id(a))
		return true;
	for (int i = 0; i < DIR_HOMES; i++) {
		if (mark(home) == f->homes[i])
			return true;
	}
	return false;
}

/** Registrations due, gathered for one home. */
struct gather {
	struct agent *a;
	uint64_t now;
	uint64_t view; /**< never 0 */
	uint64_t home;
	struct msg m;
};

static void
gather_flow(void *ctx, struct flow *f)
{
	struct gather *g = ctx;
	struct msg_register *reg = &g->m.u.reg;
	struct mbr_entry *homes[DIR_HOMES];
	bool settled = true;
	bool stale = g->now > f->confirmed_ns + CONFIRM_NS &&
		     g->now < f->active_ns + CONFIRM_NS;

	if (reg->count == MSG_REGISTER_MAX)
		return;
	if (f->settled == g->view && !stale)
		return;
	if (f->told_ns != 0 && g->now < f->told_ns + REGISTER_NS)
		return;
	/* An idle flow of a leaving agent is free to go elsewhere. */
	if (g->a->leave_ns != 0 && flow_idle(f, g->now))
		return;
	homes_of(g->a, f, homes);
	for (int i = 0; i < DIR_HOMES; i++) {
		bool again = stale && i == 0 && homes[i] != NULL &&
			     homes[i]->m.id != agt_id(g->a);

		if (told(g->a, f, homes[i]) && !again)
			continue;
		settled = false;
		if (g->home != 0 && g->home != homes[i]->m.id)
			continue;
		g->home = homes[i]->m.id;
		reg->callers[reg->count++] = f->key.caller;
		f->told_ns = g->now;
		return;
	}
	if (settled)
		f->settled = g->view;
}

void
registry_release(struct agent *a, struct flow *f)
{
	const struct mbr_group *g = mbr_group(a->members, f->key.service);
	struct msg m = {.kind = MSG_REGISTER};

	m.u.reg.kind = REGISTER_WITHDRAWN;
	m.u.reg.seq = ++a->claim_seq;
	m.u.reg.service = f->key.service;
	m.u.reg.count = 1;
	m.u.reg.callers[0] = f->key.caller;
	/* Also to who was home once: an old claim may still be kept there. */
	for (size_t i = 0; i < g->count && i < WITHDRAW_MAX; i++) {
		if (g->entries[i]->m.id != agt_id(a))
			agt_send(a, g->entries[i]->m.id, &m);
	}
	dir_release(a->dir, f);
}

void
registry_claim(struct agent *a, struct flow *f, uint64_t now)
{
	struct mbr_entry *homes[DIR_HOMES];

	f->claim_seq = ++a->claim_seq;
	homes_of(a, f, homes);
	for (int i = 0; i < DIR_HOMES; i++) {
		struct msg m = {.kind = MSG_REGISTER};

		if (told(a, f, homes[i]))
			continue;
		m.u.reg.kind = REGISTER_CLAIM;
		m.u.reg.seq = f->claim_seq;
		m.u.reg.service = f->key.service;
		m.u.reg.count = 1;
		m.u.reg.callers[0] = f->key.caller;
		f->told_ns = now;
		agt_send(a, homes[i]->m.id, &m);
	}
}

void
registry_tick(struct agent *a, uint64_t now)
{
	uint64_t digest = mbr_group_digest(a->members, a->params.self.service);

	if (digest != a->view_digest)
		a->view_ns = now;
	a->view_digest = digest;
	for (size_t round = 0; round < PASS_HOMES; round++) {
		struct gather g = {.a = a, .now = now};

		g.view = a->ctr->value[CTR_MEMBER_CHANGES] + 1;
		g.m.kind = MSG_REGISTER;
		g.m.u.reg.kind = REGISTER_CLAIM;
		g.m.u.reg.seq = ++a->claim_seq;
		g.m.u.reg.service = a->params.self.service;
		dir_each(a->dir, gather_flow, &g);
		if (g.m.u.reg.count == 0)
			return;
		agt_send(a, g.home, &g.m);
	}
}

/*
 * Another live owner that this agent, as the home, already knows. Uneven
 * views can give a flow two owners; the home's first word decides.
 */
static uint64_t
other_owner(const struct agent *a, const struct flow_key *key, uint64_t from)
{
	struct mbr_entry *home =
	    mbr_home(a->members, key->service, flow_hash(key), 0);
	uint64_t owner = agt_owner(a, key);
	struct mbr_entry *claimant = mbr_find(a->members, from);
	bool leaving = claimant != NULL && claimant->m.phase == MBR_LEAVING;
	struct mbr_entry *e;

	if (owner == from || home == NULL)
		return 0;
	if (home->m.id != agt_id(a) && !leaving)
		return 0;
	if (owner == agt_id(a))
		return dir_flow(a->dir, key) != NULL && a->leave_ns == 0 ? owner
									 : 0;
	e = owner == 0 ? NULL : mbr_find(a->members, owner);
	return e != NULL && mbr_is_eligible(e) ? owner : 0;
}

/* Whether a word is older than what its sender has already said. */
static bool
overtaken(
    const struct agent *a, const struct flow_key *key, const struct msg *m)
{
	struct owner o = dir_owner(a->dir, key);

	return o.id == m->from && o.incarnation == m->incarnation &&
	       (int32_t)(m->u.reg.seq - o.seq) < 0;
}

static void
note_word(struct agent *a, const struct flow_key *key, const struct msg *m)
{
	dir_set_owner(a->dir, key,
	    (struct owner){.id = m->from,
		.incarnation = m->incarnation,
		.seq = m->u.reg.seq,
		.withdrawn = m->u.reg.kind == REGISTER_WITHDRAWN});
}

static void
on_claim(struct agent *a, const struct msg *m)
{
	const struct msg_register *r = &m->u.reg;
	struct msg accepted = {.kind = MSG_REGISTER};
	struct msg denied = {.kind = MSG_REGISTER};

	accepted.u.reg.kind = REGISTER_ACCEPTED;
	accepted.u.reg.service = r->service;
	accepted.u.reg.seq = r->seq;
	denied.u.reg.kind = REGISTER_DENIED;
	denied.u.reg.service = r->service;
	for (uint32_t i = 0; i < r->count; i++) {
		struct flow_key key = {r->callers[i], r->service};
		uint64_t owner = other_owner(a, &key, m->from);
		struct msg_register *to =
		    owner == 0 ? &accepted.u.reg : &denied.u.reg;

		if (overtaken(a, &key, m))
			continue;
		if (owner == 0)
			note_word(a, &key, m);
		to->owners[to->count] = owner;
		to->callers[to->count++] = key.caller;
	}
	if (accepted.u.reg.count > 0)
		agt_send(a, m->from, &accepted);
	if (denied.u.reg.count > 0)
		agt_send(a, m->from, &denied);
}

static void
on_accepted(struct agent *a, const struct msg *m, uint64_t now)
{
	const struct msg_register *r = &m->u.reg;
	uint64_t from = mark_of(m->from, m->incarnation);

	for (uint32_t i = 0; i < r->count; i++) {
		struct flow_key key = {r->callers[i], r->service};
		struct flow *f = dir_flow(a->dir, &key);

		if (f == NULL || (int32_t)(r->seq - f->claim_seq) < 0)
			continue;
		f->confirmed_ns = now;
		f->told_ns = 0;
		if (f->homes[0] == from)
			continue;
		for (int k = DIR_HOMES - 1; k > 0; k--)
			f->homes[k] = f->homes[k - 1];
		f->homes[0] = from;
	}
}

/* The flow is another's: give it up, and hand over the feeds it has here. */
static void
on_denied(struct agent *a, const struct msg *m, uint64_t now)
{
	const struct msg_register *r = &m->u.reg;

	for (uint32_t i = 0; i < r->count; i++) {
		struct flow_key key = {r->callers[i], r->service};
		struct flow *f = dir_flow(a->dir, &key);

		/* One who has just given it up may not have said so yet. */
		if (f == NULL || now < f->adopted_ns + DENIAL_GRACE_NS)
			continue;
		if (f->feeds > 0)
			feed_move_flow(a, &key, r->owners[i]);
		else if (f->in_flight == 0)
			registry_release(a, f);
	}
}

static void
on_withdrawn(struct agent *a, const struct msg *m)
{
	const struct msg_register *r = &m->u.reg;

	for (uint32_t i = 0; i < r->count; i++) {
		struct flow_key key = {r->callers[i], r->service};

		struct owner o = dir_owner(a->dir, &key);

		if ((o.id == m->from || o.id == 0) && !overtaken(a, &key, m))
			note_word(a, &key, m);
	}
}

void
registry_message(struct agent *a, const struct msg *m, uint64_t now)
{
	switch (m->u.reg.kind) {
	case REGISTER_CLAIM:
		on_claim(a, m);
		break;
	case REGISTER_ACCEPTED:
		on_accepted(a, m, now);
		break;
	case REGISTER_DENIED:
		on_denied(a, m, now);
		break;
	case REGISTER_WITHDRAWN:
		on_withdrawn(a, m);
		break;
	}
}
