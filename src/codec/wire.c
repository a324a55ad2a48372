#include "codec/wire.h"

#include "codec/wire.pb-c.h"

#include <arpa/inet.h>
#include <stdlib.h>
#include <string.h>

#define WIRE_VERSION 1

static ProtobufCBinaryData
str_to_pb(struct str s)
{
	return (ProtobufCBinaryData){s.len, (uint8_t *)(uintptr_t)s.p};
}

static struct str
str_from_pb(const ProtobufCBinaryData *b)
{
	return (struct str){(const char *)b->data, b->len};
}

/* ---- frame ---- */

/* Upper bound, in bytes, of an envelope's fields other than the carried
 * datagram. */
#define DATAGRAM_OVERHEAD 128

/*
 * Returns an upper bound of an envelope's packed size. The exact size costs as
 * much CPU time as packing, so datagrams and answers, which are the hot path,
 * use the length of the carried datagram and a fixed overhead.
 */
static size_t
size_bound(const Pw__Envelope *env)
{
	if (env->body_case == PW__ENVELOPE__BODY_DATAGRAM)
		return env->datagram->bytes.len + DATAGRAM_OVERHEAD;
	if (env->body_case == PW__ENVELOPE__BODY_ANSWER)
		return env->answer->bytes.len + DATAGRAM_OVERHEAD;
	return pw__envelope__get_packed_size(env);
}

static size_t
encode_frame(
    const struct keyring *k, const Pw__Envelope *env, uint8_t *buf, size_t cap)
{
	struct str signed_part;
	size_t len;

	if (size_bound(env) + WIRE_HEADER_LEN > cap)
		return 0;
	len = pw__envelope__pack(env, buf + WIRE_HEADER_LEN);
	buf[0] = WIRE_VERSION;
	buf[1] = 0;
	/* The MAC covers the version and the protobuf message. While it is
	 * computed, a copy of the version is in the byte before the message. */
	buf[WIRE_HEADER_LEN - 1] = WIRE_VERSION;
	signed_part = (struct str){(char *)buf + WIRE_HEADER_LEN - 1, len + 1};
	{
		uint8_t mac[KEY_MAC_LEN];

		key_sign(k, signed_part, mac);
		memcpy(buf + 2, mac, KEY_MAC_LEN);
	}
	return len + WIRE_HEADER_LEN;
}

static enum wire_result
decode_frame(const struct keyring *k, struct str frame,
    ProtobufCAllocator *alloc, Pw__Envelope **out)
{
	uint8_t mac[KEY_MAC_LEN];
	uint8_t *signed_part;
	uint8_t saved;
	bool ok;

	if (frame.len < WIRE_HEADER_LEN)
		return WIRE_MALFORMED;
	if ((uint8_t)frame.p[0] != WIRE_VERSION || frame.p[1] != 0)
		return WIRE_BAD_KIND;
	memcpy(mac, frame.p + 2, KEY_MAC_LEN);
	signed_part = (uint8_t *)(uintptr_t)frame.p + WIRE_HEADER_LEN - 1;
	saved = *signed_part;
	*signed_part = (uint8_t)frame.p[0];
	ok = key_verify(k,
	    (struct str){(char *)signed_part, frame.len - WIRE_HEADER_LEN + 1},
	    mac);
	*signed_part = saved;
	if (!ok)
		return WIRE_BAD_AUTH;
	*out = pw__envelope__unpack(alloc, frame.len - WIRE_HEADER_LEN,
	    (uint8_t *)frame.p + WIRE_HEADER_LEN);
	return *out == NULL ? WIRE_MALFORMED : WIRE_OK;
}

enum counter
wire_drop_counter(enum wire_result r)
{
	if (r == WIRE_BAD_AUTH)
		return CTR_DROP_AUTH;
	if (r == WIRE_BAD_KIND)
		return CTR_DROP_KIND;
	return CTR_DROP_MALFORMED;
}

static void *
arena_alloc(void *ctx, size_t size)
{
	struct wire_arena *a = ctx;
	size_t start = (a->used + 15) & ~(size_t)15;

	if (start > sizeof(a->mem) || size > sizeof(a->mem) - start)
		return NULL;
	a->used = start + size;
	return a->mem + start;
}

static void
arena_free(void *ctx, void *p)
{
	(void)ctx;
	(void)p;
}

/* ---- records ---- */

static void
put_record(Pw__Record *r, const struct member *m)
{
	pw__record__init(r);
	r->id = m->id;
	r->incarnation = m->incarnation;
	r->seq = m->seq;
	r->role = m->role;
	r->phase = m->phase;
	r->health = m->health;
	r->addr = addr_pack(m->addr);
	r->service = m->service;
	r->domain = str_to_pb(str_of(m->domain));
}

static bool
get_record(const Pw__Record *r, struct member *m)
{
	if (r == NULL || r->domain.len >= MBR_DOMAIN_MAX)
		return false;
	*m = (struct member){
	    .id = r->id,
	    .incarnation = r->incarnation,
	    .seq = r->seq,
	    .role = (enum mbr_role)r->role,
	    .phase = (enum mbr_phase)r->phase,
	    .health = (enum mbr_health)r->health,
	    .addr = addr_unpack(r->addr),
	    .service = r->service,
	};
	str_copy(m->domain, sizeof(m->domain), str_from_pb(&r->domain));
	return r->role <= MBR_AGENT && r->phase <= MBR_LEFT &&
	       r->health <= MBR_DEAD;
}

/* ---- encoding ---- */

/** Messages that an envelope points to until it is packed. */
struct envelope_parts {
	union {
		Pw__Datagram datagram;
		Pw__Answer answer;
		Pw__Hint hint;
		Pw__Register reg;
		Pw__Load load;
		Pw__Handover handover;
		Pw__HandoverAck handover_ack;
		Pw__Ping ping;
		Pw__Records records;
		Pw__Sync sync;
	} u;
	Pw__Record record[MBR_BATCH_MAX];
	Pw__Record *record_list[MBR_BATCH_MAX];
};

static void
put_datagram(
    Pw__Envelope *env, struct envelope_parts *p, const struct msg_datagram *d)
{
	pw__datagram__init(&p->u.datagram);
	p->u.datagram.caller = d->flow.caller;
	p->u.datagram.service = d->flow.service;
	p->u.datagram.via = d->via;
	p->u.datagram.hops = d->hops;
	p->u.datagram.flags = d->flags;
	p->u.datagram.deadline_ms = d->deadline_ms;
	p->u.datagram.bytes = str_to_pb(d->bytes);
	env->body_case = PW__ENVELOPE__BODY_DATAGRAM;
	env->datagram = &p->u.datagram;
}

static void
put_answer(
    Pw__Envelope *env, struct envelope_parts *p, const struct msg_answer *a)
{
	pw__answer__init(&p->u.answer);
	p->u.answer.caller = a->flow.caller;
	p->u.answer.service = a->flow.service;
	p->u.answer.bytes = str_to_pb(a->bytes);
	env->body_case = PW__ENVELOPE__BODY_ANSWER;
	env->answer = &p->u.answer;
}

static void
put_hint(Pw__Envelope *env, struct envelope_parts *p, const struct msg_hint *h)
{
	pw__hint__init(&p->u.hint);
	p->u.hint.caller = h->flow.caller;
	p->u.hint.service = h->flow.service;
	p->u.hint.owner = h->owner;
	env->body_case = PW__ENVELOPE__BODY_HINT;
	env->hint = &p->u.hint;
}

static void
put_register(
    Pw__Envelope *env, struct envelope_parts *p, const struct msg_register *r)
{
	pw__register__init(&p->u.reg);
	p->u.reg.service = r->service;
	p->u.reg.kind = r->kind;
	p->u.reg.seq = r->seq;
	p->u.reg.n_callers = r->count;
	p->u.reg.n_owners = r->kind == REGISTER_DENIED ? r->count : 0;
	p->u.reg.owners = (uint64_t *)(uintptr_t)r->owners;
	p->u.reg.callers = (uint64_t *)(uintptr_t)r->callers;
	env->body_case = PW__ENVELOPE__BODY_REGISTER;
	env->register_ = &p->u.reg;
}

static void
put_load(Pw__Envelope *env, struct envelope_parts *p, const struct msg_load *l)
{
	pw__load__init(&p->u.load);
	p->u.load.in_flight = l->in_flight;
	p->u.load.queued = l->queued;
	p->u.load.flows = l->flows;
	p->u.load.rate = l->rate;
	p->u.load.permille = l->permille;
	env->body_case = PW__ENVELOPE__BODY_LOAD;
	env->load = &p->u.load;
}

static void
put_handover(
    Pw__Envelope *env, struct envelope_parts *p, const struct msg_handover *h)
{
	pw__handover__init(&p->u.handover);
	p->u.handover.mode = h->mode;
	p->u.handover.caller = h->flow.caller;
	p->u.handover.service = h->flow.service;
	p->u.handover.token =
	    str_to_pb((struct str){(const char *)h->token.bytes, h->token.len});
	p->u.handover.observe = h->observe;
	p->u.handover.request = str_to_pb(h->request);
	env->body_case = PW__ENVELOPE__BODY_HANDOVER;
	env->handover = &p->u.handover;
}

static void
put_handover_ack(Pw__Envelope *env, struct envelope_parts *p,
    const struct msg_handover_ack *h)
{
	pw__handover_ack__init(&p->u.handover_ack);
	p->u.handover_ack.mode = h->mode;
	p->u.handover_ack.caller = h->flow.caller;
	p->u.handover_ack.service = h->flow.service;
	p->u.handover_ack.token =
	    str_to_pb((struct str){(const char *)h->token.bytes, h->token.len});
	p->u.handover_ack.accepted = h->accepted;
	env->body_case = PW__ENVELOPE__BODY_HANDOVER_ACK;
	env->handover_ack = &p->u.handover_ack;
}

static void
put_ping(Pw__Envelope *env, struct envelope_parts *p, const struct msg_ping *g)
{
	pw__ping__init(&p->u.ping);
	if (g->self.id != 0) {
		put_record(&p->record[0], &g->self);
		p->u.ping.self = &p->record[0];
	}
	p->u.ping.digest = g->digest;
	p->u.ping.version = g->version;
	p->u.ping.want_peers = g->want_peers;
	p->u.ping.stamp = g->stamp;
	p->u.ping.watch = g->watch;
	env->body_case = PW__ENVELOPE__BODY_PING;
	env->ping = &p->u.ping;
}

static void
put_records(Pw__Envelope *env, struct envelope_parts *p,
    const struct msg_records *r, bool pong)
{
	pw__records__init(&p->u.records);
	for (uint32_t i = 0; i < r->count && i < MBR_BATCH_MAX; i++) {
		put_record(&p->record[i], &r->records[i]);
		p->record_list[i] = &p->record[i];
	}
	p->u.records.n_records =
	    r->count < MBR_BATCH_MAX ? r->count : MBR_BATCH_MAX;
	p->u.records.records = p->record_list;
	p->u.records.version = r->version;
	p->u.records.slice = str_to_pb(r->slice);
	p->u.records.gone = r->gone;
	p->u.records.stamp = r->stamp;
	p->u.records.pong = pong;
	env->body_case = PW__ENVELOPE__BODY_RECORDS;
	env->records = &p->u.records;
}

static void
put_sync(Pw__Envelope *env, struct envelope_parts *p, const struct msg_sync *s)
{
	pw__sync__init(&p->u.sync);
	put_record(&p->record[0], &s->self);
	p->u.sync.self = &p->record[0];
	p->u.sync.step = s->step;
	p->u.sync.root = s->root;
	p->u.sync.version = s->version;
	p->u.sync.n_digest = s->step >= SYNC_DIFFERS ? MBR_BUCKETS : 0;
	p->u.sync.digest = (uint32_t *)(uintptr_t)s->digest;
	env->body_case = PW__ENVELOPE__BODY_SYNC;
	env->sync = &p->u.sync;
}

size_t
wire_encode(
    const struct keyring *k, const struct msg *m, uint8_t *buf, size_t cap)
{
	Pw__Envelope env = PW__ENVELOPE__INIT;
	struct envelope_parts p;

	env.from = m->from;
	env.incarnation = m->incarnation;
	switch (m->kind) {
	case MSG_DATAGRAM:
		put_datagram(&env, &p, &m->u.datagram);
		break;
	case MSG_ANSWER:
		put_answer(&env, &p, &m->u.answer);
		break;
	case MSG_HINT:
		put_hint(&env, &p, &m->u.hint);
		break;
	case MSG_REGISTER:
		put_register(&env, &p, &m->u.reg);
		break;
	case MSG_LOAD:
		put_load(&env, &p, &m->u.load);
		break;
	case MSG_HANDOVER:
		put_handover(&env, &p, &m->u.handover);
		break;
	case MSG_HANDOVER_ACK:
		put_handover_ack(&env, &p, &m->u.handover_ack);
		break;
	case MSG_PING:
		put_ping(&env, &p, &m->u.ping);
		break;
	case MSG_PONG:
	case MSG_RECORDS:
		put_records(&env, &p, &m->u.records, m->kind == MSG_PONG);
		break;
	case MSG_SYNC:
		put_sync(&env, &p, &m->u.sync);
		break;
	}
	return encode_frame(k, &env, buf, cap);
}

/* ---- decoding ---- */

static bool
get_token(const ProtobufCBinaryData *b, struct token *t)
{
	if (b->len > MSG_TOKEN_MAX)
		return false;
	*t = (struct token){.len = (uint8_t)b->len};
	if (b->len > 0)
		memcpy(t->bytes, b->data, b->len);
	return true;
}

static bool
get_datagram(const Pw__Datagram *d, struct msg *out)
{
	out->kind = MSG_DATAGRAM;
	out->u.datagram = (struct msg_datagram){
	    .flow = {d->caller, d->service},
	    .via = d->via,
	    .hops = d->hops,
	    .flags = d->flags,
	    .deadline_ms = d->deadline_ms,
	    .bytes = str_from_pb(&d->bytes),
	};
	return d->bytes.len > 0 && d->bytes.len <= MSG_DATAGRAM_MAX;
}

static bool
get_register(const Pw__Register *r, struct msg *out)
{
	bool denied = r->kind == REGISTER_DENIED;

	if (r->n_callers > MSG_REGISTER_MAX || r->kind < REGISTER_CLAIM ||
	    r->kind > REGISTER_WITHDRAWN ||
	    r->n_owners != (denied ? r->n_callers : 0))
		return false;
	out->kind = MSG_REGISTER;
	out->u.reg.kind = (enum register_kind)r->kind;
	out->u.reg.service = r->service;
	out->u.reg.seq = r->seq;
	out->u.reg.count = (uint32_t)r->n_callers;
	for (size_t i = 0; i < r->n_callers; i++) {
		out->u.reg.callers[i] = r->callers[i];
		out->u.reg.owners[i] = denied ? r->owners[i] : 0;
	}
	return true;
}

static bool
get_handover(const Pw__Handover *h, struct msg *out)
{
	out->kind = MSG_HANDOVER;
	out->u.handover = (struct msg_handover){
	    .mode = (enum handover_mode)h->mode,
	    .flow = {h->caller, h->service},
	    .observe = h->observe,
	    .request = str_from_pb(&h->request),
	};
	return h->mode >= HANDOVER_MOVE && h->mode <= HANDOVER_DROP &&
	       h->request.len > 0 && h->request.len <= MSG_DATAGRAM_MAX &&
	       get_token(&h->token, &out->u.handover.token);
}

static bool
get_handover_ack(const Pw__HandoverAck *h, struct msg *out)
{
	out->kind = MSG_HANDOVER_ACK;
	out->u.handover_ack = (struct msg_handover_ack){
	    .mode = (enum handover_mode)h->mode,
	    .flow = {h->caller, h->service},
	    .accepted = h->accepted,
	};
	return h->mode >= HANDOVER_MOVE && h->mode <= HANDOVER_DROP &&
	       get_token(&h->token, &out->u.handover_ack.token);
}

static bool
get_ping(const Pw__Ping *p, struct msg *out)
{
	out->kind = MSG_PING;
	out->u.ping = (struct msg_ping){.digest = p->digest,
	    .version = p->version,
	    .want_peers = p->want_peers,
	    .watch = p->watch,
	    .stamp = p->stamp};
	return p->self == NULL || get_record(p->self, &out->u.ping.self);
}

static bool
get_records(const Pw__Records *r, struct msg *out)
{
	struct msg_records *to = &out->u.records;

	if (r->n_records > MBR_BATCH_MAX || r->slice.len > MSG_SLICE_MAX)
		return false;
	out->kind = r->pong ? MSG_PONG : MSG_RECORDS;
	to->count = (uint32_t)r->n_records;
	to->version = r->version;
	to->slice = str_from_pb(&r->slice);
	to->gone = r->gone;
	to->stamp = r->stamp;
	for (size_t i = 0; i < r->n_records; i++) {
		if (!get_record(r->records[i], &to->records[i]))
			return false;
	}
	return true;
}

static bool
get_sync(const Pw__Sync *s, struct msg *out)
{
	if (s->step < SYNC_REQUEST || s->step > SYNC_BUCKETS ||
	    s->n_digest != (s->step >= SYNC_DIFFERS ? MBR_BUCKETS : 0))
		return false;
	out->kind = MSG_SYNC;
	out->u.sync.step = (enum sync_step)s->step;
	out->u.sync.root = s->root;
	out->u.sync.version = s->version;
	for (size_t i = 0; i < s->n_digest; i++)
		out->u.sync.digest[i] = s->digest[i];
	return get_record(s->self, &out->u.sync.self);
}

static bool
get_small_body(const Pw__Envelope *env, struct msg *out)
{
	switch (env->body_case) {
	case PW__ENVELOPE__BODY_ANSWER:
		out->kind = MSG_ANSWER;
		out->u.answer = (struct msg_answer){
		    .flow = {env->answer->caller, env->answer->service},
		    .bytes = str_from_pb(&env->answer->bytes)};
		return env->answer->bytes.len <= MSG_DATAGRAM_MAX;
	case PW__ENVELOPE__BODY_HINT:
		out->kind = MSG_HINT;
		out->u.hint = (struct msg_hint){
		    .flow = {env->hint->caller, env->hint->service},
		    .owner = env->hint->owner};
		return true;
	case PW__ENVELOPE__BODY_LOAD:
		out->kind = MSG_LOAD;
		out->u.load =
		    (struct msg_load){.in_flight = env->load->in_flight,
			.queued = env->load->queued,
			.flows = env->load->flows,
			.rate = env->load->rate,
			.permille = env->load->permille};
		return true;
	default:
		return false;
	}
}

static enum wire_result
get_body(const Pw__Envelope *env, struct msg *out)
{
	bool ok;

	switch (env->body_case) {
	case PW__ENVELOPE__BODY_DATAGRAM:
		ok = get_datagram(env->datagram, out);
		break;
	case PW__ENVELOPE__BODY_REGISTER:
		ok = get_register(env->register_, out);
		break;
	case PW__ENVELOPE__BODY_HANDOVER:
		ok = get_handover(env->handover, out);
		break;
	case PW__ENVELOPE__BODY_HANDOVER_ACK:
		ok = get_handover_ack(env->handover_ack, out);
		break;
	case PW__ENVELOPE__BODY_PING:
		ok = get_ping(env->ping, out);
		break;
	case PW__ENVELOPE__BODY_RECORDS:
		ok = get_records(env->records, out);
		break;
	case PW__ENVELOPE__BODY_SYNC:
		ok = get_sync(env->sync, out);
		break;
	case PW__ENVELOPE__BODY_ANSWER:
	case PW__ENVELOPE__BODY_HINT:
	case PW__ENVELOPE__BODY_LOAD:
		ok = get_small_body(env, out);
		break;
	default:
		return WIRE_BAD_KIND;
	}
	return ok ? WIRE_OK : WIRE_MALFORMED;
}

enum wire_result
wire_decode(const struct keyring *k, struct str frame, struct wire_arena *arena,
    struct msg *out)
{
	ProtobufCAllocator alloc = {arena_alloc, arena_free, arena};
	Pw__Envelope *env = NULL;
	enum wire_result r;

	arena->used = 0;
	if (frame.len > WIRE_UDP_MAX)
		return WIRE_MALFORMED;
	r = decode_frame(k, frame, &alloc, &env);
	if (r != WIRE_OK)
		return r;
	memset(out, 0, offsetof(struct msg, u));
	out->from = env->from;
	out->incarnation = env->incarnation;
	return get_body(env, out);
}

/* ---- calls over TCP ---- */

static uint8_t *
encode_frame_with_length(
    const struct keyring *k, const Pw__Envelope *env, size_t *len)
{
	size_t cap = pw__envelope__get_packed_size(env) + WIRE_HEADER_LEN;
	uint8_t *buf = mem_new(cap + 4);
	uint32_t n = (uint32_t)encode_frame(k, env, buf + 4, cap);
	uint32_t be = htonl(n);

	memcpy(buf, &be, 4);
	*len = (size_t)n + 4;
	return buf;
}

uint8_t *
wire_encode_call(const struct keyring *k, const struct call *c, size_t *len)
{
	Pw__Envelope env = PW__ENVELOPE__INIT;
	Pw__Call call = PW__CALL__INIT;

	call.kind = (Pw__Call__Kind)c->kind;
	call.version = c->version;
	call.text = str_to_pb(c->text);
	env.body_case = PW__ENVELOPE__BODY_CALL;
	env.call = &call;
	return encode_frame_with_length(k, &env, len);
}

uint8_t *
wire_encode_reply(
    const struct keyring *k, const struct call_reply *r, size_t *len)
{
	Pw__Envelope env = PW__ENVELOPE__INIT;
	Pw__Reply reply = PW__REPLY__INIT;

	reply.ok = r->ok;
	reply.version = r->version;
	reply.text = str_to_pb(r->text);
	reply.error = str_to_pb(r->error);
	reply.builds_on = r->base;
	reply.prefix = r->prefix;
	reply.suffix = r->suffix;
	reply.hash = r->hash;
	env.body_case = PW__ENVELOPE__BODY_REPLY;
	env.reply = &reply;
	return encode_frame_with_length(k, &env, len);
}

static struct str
copy_bytes(const ProtobufCBinaryData *b)
{
	struct str s = str_from_pb(b);

	return (struct str){(char *)str_dup(s), s.len};
}

enum wire_result
wire_decode_call(const struct keyring *k, struct str frame, struct call *out)
{
	Pw__Envelope *env = NULL;
	enum wire_result r = decode_frame(k, frame, NULL, &env);

	if (r != WIRE_OK)
		return r;
	if (env->body_case != PW__ENVELOPE__BODY_CALL ||
	    env->call->kind < (int)CALL_CONFIG_GET ||
	    env->call->kind > (int)CALL_COUNTERS) {
		r = WIRE_BAD_KIND;
	} else {
		out->kind = (enum call_kind)env->call->kind;
		out->version = env->call->version;
		out->text = copy_bytes(&env->call->text);
	}
	pw__envelope__free_unpacked(env, NULL);
	return r;
}

enum wire_result
wire_decode_reply(
    const struct keyring *k, struct str frame, struct call_reply *out)
{
	Pw__Envelope *env = NULL;
	enum wire_result r = decode_frame(k, frame, NULL, &env);

	if (r != WIRE_OK)
		return r;
	if (env->body_case != PW__ENVELOPE__BODY_REPLY) {
		r = WIRE_BAD_KIND;
	} else {
		out->ok = env->reply->ok;
		out->version = env->reply->version;
		out->text = copy_bytes(&env->reply->text);
		out->error = copy_bytes(&env->reply->error);
		out->base = env->reply->builds_on;
		out->prefix = env->reply->prefix;
		out->suffix = env->reply->suffix;
		out->hash = env->reply->hash;
	}
	pw__envelope__free_unpacked(env, NULL);
	return r;
}
