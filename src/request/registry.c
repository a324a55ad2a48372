#include "request/agent_state.h"

/** Time to wait for a home's reply before a claim is sent again. */
#define CLAIM_TIMEOUT_NS (300 * NS_PER_MS)
/**
 * The claim of an active flow is repeated to its home after this time. If two
 * agents own the flow because messages were lost, the home then denies one.
 */
#define RECONFIRM_NS (3000 * NS_PER_MS)
/** Time after taking ownership during which denials are ignored. */
#define DENIAL_GRACE_NS (1000 * NS_PER_MS)
/** Most members that a withdrawal is sent to. */
#define WITHDRAW_FANOUT 16
/** Most claim messages sent by one registry_tick(). */
#define CLAIMS_PER_TICK 16

/*
 * A restarted instance has lost its owner records, so each incarnation counts
 * as an instance of its own.
 */
static uint64_t
instance_hash(uint64_t id, uint64_t incarnation)
{
	return id ^ incarnation * UINT64_C(0x9e3779b97f4a7c15);
}

static uint64_t
entry_hash(const struct mbr_entry *e)
{
	return e == NULL ? 0 : instance_hash(e->m.id, e->m.incarnation);
}

/* A joining agent becomes a home soon; it gets the claims beforehand. */
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
find_homes(const struct agent *a, const struct flow *f, struct mbr_entry **out)
{
	struct mbr_entry *first =
	    mbr_home(a->members, f->key.service, f->hash, 0);

	out[0] = first;
	out[1] = first == NULL ? NULL
			       : mbr_home(a->members, f->key.service, f->hash,
				     first->m.id);
	out[2] = joining_home(a, f);
}

/* True also if there is no such home, or if it is this agent. */
static bool
has_confirmed(
    const struct agent *a, const struct flow *f, const struct mbr_entry *home)
{
	if (home == NULL || home->m.id == agt_id(a))
		return true;
	for (int i = 0; i < DIR_HOMES; i++) {
		if (entry_hash(home) == f->confirmed_homes[i])
			return true;
	}
	return false;
}

/** The claims that are due at one home, and the message that takes them. */
struct claim_batch {
	struct agent *a;
	uint64_t now;
	uint64_t view; /**< number of the membership view, never 0 */
	uint64_t home; /**< id of the home, 0 until the first claim */
	struct msg m;
};

static void
add_due_claim(void *ctx, struct flow *f)
{
	struct claim_batch *batch = ctx;
	struct msg_register *reg = &batch->m.u.reg;
	struct mbr_entry *homes[DIR_HOMES];
	bool all_confirmed = true;
	bool reconfirm = batch->now > f->confirmed_ns + RECONFIRM_NS &&
			 batch->now < f->last_datagram_ns + RECONFIRM_NS;

	if (reg->count == MSG_REGISTER_MAX)
		return;
	if (f->confirmed_view == batch->view && !reconfirm)
		return;
	if (f->claim_sent_ns != 0 &&
	    batch->now < f->claim_sent_ns + CLAIM_TIMEOUT_NS)
		return;
	/* A leaving agent lets its idle flows be placed elsewhere. */
	if (batch->a->leave_ns != 0 && flow_is_idle(f, batch->now))
		return;
	find_homes(batch->a, f, homes);
	for (int i = 0; i < DIR_HOMES; i++) {
		bool is_reconfirm = reconfirm && i == 0 && homes[i] != NULL &&
				    homes[i]->m.id != agt_id(batch->a);

		if (has_confirmed(batch->a, f, homes[i]) && !is_reconfirm)
			continue;
		all_confirmed = false;
		if (batch->home != 0 && batch->home != homes[i]->m.id)
			continue;
		batch->home = homes[i]->m.id;
		reg->callers[reg->count++] = f->key.caller;
		f->claim_sent_ns = batch->now;
		return;
	}
	if (all_confirmed)
		f->confirmed_view = batch->view;
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
	/* Former homes may still have a record of an old claim. */
	for (size_t i = 0; i < g->count && i < WITHDRAW_FANOUT; i++) {
		if (g->entries[i]->m.id != agt_id(a))
			agt_send(a, g->entries[i]->m.id, &m);
	}
	dir_remove_flow(a->dir, f);
}

void
registry_claim(struct agent *a, struct flow *f, uint64_t now)
{
	struct mbr_entry *homes[DIR_HOMES];

	f->claim_seq = ++a->claim_seq;
	find_homes(a, f, homes);
	for (int i = 0; i < DIR_HOMES; i++) {
		struct msg m = {.kind = MSG_REGISTER};

		if (has_confirmed(a, f, homes[i]))
			continue;
		m.u.reg.kind = REGISTER_CLAIM;
		m.u.reg.seq = f->claim_seq;
		m.u.reg.service = f->key.service;
		m.u.reg.count = 1;
		m.u.reg.callers[0] = f->key.caller;
		f->claim_sent_ns = now;
		agt_send(a, homes[i]->m.id, &m);
	}
}

void
registry_tick(struct agent *a, uint64_t now)
{
	uint64_t digest = mbr_group_digest(a->members, a->params.self.service);

	if (digest != a->members_digest)
		a->members_changed_ns = now;
	a->members_digest = digest;
	for (size_t i = 0; i < CLAIMS_PER_TICK; i++) {
		struct claim_batch batch = {.a = a, .now = now};

		batch.view = a->ctr->value[CTR_MEMBER_CHANGES] + 1;
		batch.m.kind = MSG_REGISTER;
		batch.m.u.reg.kind = REGISTER_CLAIM;
		batch.m.u.reg.seq = ++a->claim_seq;
		batch.m.u.reg.service = a->params.self.service;
		dir_each_flow(a->dir, add_due_claim, &batch);
		if (batch.m.u.reg.count == 0)
			return;
		agt_send(a, batch.home, &batch.m);
	}
}

/*
 * Returns the live owner other than the claimant that this agent, as the home,
 * has on record, or 0. While membership views differ, two agents can own one
 * flow; the home keeps the one whose claim it accepted first.
 * A leaving claimant gets this answer from any agent with a record, not from
 * the home alone.
 */
static uint64_t
conflicting_owner(
    const struct agent *a, const struct flow_key *key, uint64_t from)
{
	struct mbr_entry *home =
	    mbr_home(a->members, key->service, flow_hash(key), 0);
	uint64_t owner = agt_flow_owner(a, key);
	struct mbr_entry *claimant = mbr_find(a->members, from);
	bool leaving = claimant != NULL && claimant->m.phase == MBR_LEAVING;
	struct mbr_entry *e;

	if (owner == from || home == NULL)
		return 0;
	if (home->m.id != agt_id(a) && !leaving)
		return 0;
	if (owner == agt_id(a))
		return dir_find_flow(a->dir, key) != NULL && a->leave_ns == 0
			   ? owner
			   : 0;
	e = owner == 0 ? NULL : mbr_find(a->members, owner);
	return e != NULL && mbr_is_eligible(e) ? owner : 0;
}

/* Whether a later registration of the same sender has been recorded. */
static bool
is_outdated(
    const struct agent *a, const struct flow_key *key, const struct msg *m)
{
	struct owner o = dir_get_owner(a->dir, key);

	return o.id == m->from && o.incarnation == m->incarnation &&
	       (int32_t)(m->u.reg.seq - o.seq) < 0;
}

static void
record_registration(
    struct agent *a, const struct flow_key *key, const struct msg *m)
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
		uint64_t owner = conflicting_owner(a, &key, m->from);
		struct msg_register *reply =
		    owner == 0 ? &accepted.u.reg : &denied.u.reg;

		if (is_outdated(a, &key, m))
			continue;
		if (owner == 0)
			record_registration(a, &key, m);
		reply->owners[reply->count] = owner;
		reply->callers[reply->count++] = key.caller;
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
	uint64_t from = instance_hash(m->from, m->incarnation);

	for (uint32_t i = 0; i < r->count; i++) {
		struct flow_key key = {r->callers[i], r->service};
		struct flow *f = dir_find_flow(a->dir, &key);

		if (f == NULL || (int32_t)(r->seq - f->claim_seq) < 0)
			continue;
		f->confirmed_ns = now;
		f->claim_sent_ns = 0;
		if (f->confirmed_homes[0] == from)
			continue;
		for (int k = DIR_HOMES - 1; k > 0; k--)
			f->confirmed_homes[k] = f->confirmed_homes[k - 1];
		f->confirmed_homes[0] = from;
	}
}

/*
 * Gives up flows that another agent owns: feeds are handed over to that agent,
 * a flow without feeds or requests is released.
 */
static void
on_denied(struct agent *a, const struct msg *m, uint64_t now)
{
	const struct msg_register *r = &m->u.reg;

	for (uint32_t i = 0; i < r->count; i++) {
		struct flow_key key = {r->callers[i], r->service};
		struct flow *f = dir_find_flow(a->dir, &key);

		/*
		 * The home may deny a new claim because the previous owner's
		 * withdrawal has not arrived there yet.
		 */
		if (f == NULL || now < f->owned_since_ns + DENIAL_GRACE_NS)
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

		struct owner o = dir_get_owner(a->dir, &key);

		if ((o.id == m->from || o.id == 0) && !is_outdated(a, &key, m))
			record_registration(a, &key, m);
	}
}

void
registry_handle_message(struct agent *a, const struct msg *m, uint64_t now)
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
