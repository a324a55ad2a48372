#include "task/balancer_task.h"

#include "base/log.h"
#include "decide/delta.h"
#include "request/balancer.h"
#include "task/calls.h"
#include "task/mailbox.h"
#include "task/node.h"
#include "task/platform.h"
#include "task/report.h"
#include "task/rpc.h"
#include "task/supervisor.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sysexits.h>
#include <utlist.h>
#include <xxhash.h>

#define LOG_PART "balancer"
/** Balancers of one failure domain that watch the platform. */
#define WATCHERS_PER_DOMAIN 2
/** Time between looks at whether this one should. */
#define WATCH_CHECK_NS (1000 * NS_PER_MS)
/** A fetch from a peer is given up after this. */
#define FETCH_TIMEOUT_MS 2000

/** A service's socket towards callers. */
struct door {
	uint64_t service;
	struct addr addr;
	struct udp udp;
	struct core *owner;
	struct door *prev;
	struct door *next;
};

struct core {
	struct node node;
	struct mailbox box;
	struct supervisor sup;
	struct balancer *decisions;
	struct calls *calls;
	struct platform *platform;
	struct door *doors;
	uv_timer_t tick;
	uv_timer_t grace;
	uv_tcp_t health;
	bool health_open;
	bool fetching;
	bool fetch_whole; /**< a difference did not fit */
	bool watching;
	uint64_t watch_check_ns;
};

/* ---- sockets ---- */

static void
on_caller(void *ctx, struct str dgram, struct addr src)
{
	struct door *d = ctx;
	struct core *c = d->owner;
	struct flow_key flow = {addr_pack(src), d->service};

	if (dgram.len > MSG_DATAGRAM_MAX) {
		ctr_inc(&c->node.ctr, CTR_DROP_MALFORMED);
		return;
	}
	bal_handle_caller_datagram(
	    c->decisions, &flow, dgram, node_now(&c->node));
}

static void
on_control(void *ctx, struct str frame, struct addr src)
{
	struct core *c = ctx;
	struct msg m;

	if (node_receive(&c->node, frame, &m))
		bal_handle_message(c->decisions, &m, src, node_now(&c->node));
}

static void
send_node(void *ctx, struct addr to, const struct msg *m)
{
	struct core *c = ctx;

	node_send(&c->node, to, m);
}

static void
send_caller(void *ctx, const struct flow_key *flow, struct str bytes)
{
	struct core *c = ctx;
	struct door *d;

	DL_FOREACH(c->doors, d)
	{
		if (d->service != flow->service)
			continue;
		udp_send(&d->udp, addr_unpack(flow->caller), bytes);
		return;
	}
	ctr_inc(&c->node.ctr, CTR_DROP_SERVICE);
}

static void
door_closed(uv_handle_t *h)
{
	struct udp *u = h->data;

	free(u->ctx);
}

static void
door_close(struct core *c, struct door *d)
{
	DL_DELETE(c->doors, d);
	udp_close(&d->udp, door_closed);
}

static void
door_open(struct core *c, const struct cfg_service *s)
{
	struct door *d = mem_new(sizeof(*d));
	struct addr local = s->addr;
	struct status st;

	if (c->node.set->callers_ip != 0)
		local.ip = c->node.set->callers_ip;
	d->service = s->id;
	d->addr = s->addr;
	d->owner = c;
	st = udp_open(&d->udp, c->node.loop, local, on_caller, d);
	DL_APPEND(c->doors, d);
	if (st.code == STATUS_OK)
		return;
	LOG_ERROR("Service %s: %s.", s->name, st.message);
	door_close(c, d);
}

static void
match_doors(struct core *c)
{
	const struct cfg *cfg = bal_config(c->decisions);
	struct door *d;
	struct door *tmp;

	DL_FOREACH_SAFE(c->doors, d, tmp)
	{
		const struct cfg_service *s = cfg_find(cfg, d->service);

		if (s == NULL || !addr_eq(s->addr, d->addr))
			door_close(c, d);
	}
	for (size_t i = 0; i < cfg->count; i++) {
		bool open = false;

		DL_FOREACH(c->doors, d)
		{
			open = open || d->service == cfg->services[i].id;
		}
		if (!open)
			door_open(c, &cfg->services[i]);
	}
}

/* ---- configuration ---- */

static struct status
apply(struct core *c, struct str text, uint64_t version)
{
	struct status st = {0};
	struct cfg cfg;

	if (version <= bal_config(c->decisions)->version)
		return st;
	st = cfg_parse(text, "configuration", &cfg);
	if (st.code != STATUS_OK) {
		ctr_inc(&c->node.ctr, CTR_CONFIG_BAD);
		LOG_ERROR("Version %llu is refused: %s.",
		    (unsigned long long)version, st.message);
		return st;
	}
	cfg.version = version;
	if (bal_apply_config(c->decisions, &cfg)) {
		LOG_NOTE(
		    "Version %llu is in force.", (unsigned long long)version);
		match_doors(c);
	}
	return st;
}

/* The text that a delta builds on what is in force here; NULL if none. */
static char *
rebuild(const struct core *c, const struct call_reply *reply, size_t *len)
{
	const struct cfg *cfg = bal_config(c->decisions);
	struct delta d = {reply->prefix, reply->suffix, reply->text};
	struct str from = {cfg->text, cfg->text_len};
	char *text;

	if (cfg->version != reply->base)
		return NULL;
	text = delta_apply(from, &d, len);
	if (text != NULL &&
	    delta_hash((struct str){text, *len}) != reply->hash) {
		free(text);
		return NULL;
	}
	return text;
}

static void
on_fetched(void *ctx, const struct status *st, const struct call_reply *reply)
{
	struct core *c = ctx;
	size_t len = 0;
	char *text;

	c->fetching = false;
	if (st->code != STATUS_OK || !reply->ok || reply->version == 0)
		return;
	if (reply->base == 0) {
		apply(c, reply->text, reply->version);
		return;
	}
	text = rebuild(c, reply, &len);
	if (text == NULL) {
		/* Something else came into force meanwhile: ask for all. */
		c->fetch_whole = true;
		return;
	}
	apply(c, (struct str){text, len}, reply->version);
	free(text);
}

static void
fetch_config(void *ctx, struct addr from, uint64_t version)
{
	struct core *c = ctx;
	struct call call = {.kind = CALL_CONFIG_GET,
	    .version = bal_config(c->decisions)->version};

	(void)version;
	if (c->fetching || c->sup.leaving)
		return;
	c->fetching = true;
	if (c->fetch_whole)
		call.version = 0;
	c->fetch_whole = false;
	rpc_begin(c->node.loop, &c->node.keys, from, &call, FETCH_TIMEOUT_MS,
	    on_fetched, c);
}

/* ---- calls ---- */

static void
reply(struct core *c, uint64_t conn, bool ok, uint64_t version, struct str text)
{
	mbox_post(calls_mailbox(c->calls), &(struct mail){.kind = MAIL_REPLY,
					       .conn = conn,
					       .flag = ok,
					       .version = version,
					       .text = (char *)str_dup(text),
					       .text_len = text.len});
}

/* A caller that has the version before gets the difference alone. */
static void
reply_config(struct core *c, const struct mail *m)
{
	const struct cfg *cfg = bal_config(c->decisions);
	struct str text = {cfg->text, cfg->text_len};
	struct mail r = {.kind = MAIL_REPLY, .conn = m->conn, .flag = true};
	uint64_t previous;
	struct str from = bal_previous_config(c->decisions, &previous);
	struct delta d = {.middle = text};

	if (cfg->version <= m->version) {
		d.middle.len = 0;
	} else {
		r.version = cfg->version;
	}
	if (r.version > 0 && m->version > 0 && m->version == previous) {
		d = delta_make(from, text);
		r.base = previous;
		r.prefix = d.prefix;
		r.suffix = d.suffix;
		r.hash = delta_hash(text);
	}
	r.text = (char *)str_dup(d.middle);
	r.text_len = d.middle.len;
	mbox_post(calls_mailbox(c->calls), &r);
}

static void
reply_json(struct core *c, uint64_t conn, char *text)
{
	reply(c, conn, text != NULL, bal_config(c->decisions)->version,
	    str_of(text));
	free(text);
}

static void
on_call(struct core *c, struct mail *m)
{
	struct str text = {m->text, m->text_len};
	struct status st;

	switch (m->call) {
	case CALL_CONFIG_GET:
		reply_config(c, m);
		break;
	case CALL_CONFIG_PUSH:
		st = apply(c, text, m->version);
		reply(c, m->conn, st.code == STATUS_OK,
		    bal_config(c->decisions)->version, str_of(st.message));
		break;
	case CALL_STATUS:
		reply_json(c, m->conn, report_balancer(c->decisions));
		break;
	case CALL_COUNTERS:
		reply_json(c, m->conn, report_counters(&c->node.ctr));
		break;
	}
}

static void
on_mail(void *ctx, struct mail *m)
{
	struct core *c = ctx;

	if (m->kind == MAIL_CONFIG)
		apply(c, (struct str){m->text, m->text_len}, m->version);
	else if (m->kind == MAIL_CALL)
		on_call(c, m);
}

/* ---- life ---- */

/* The highest-ranked balancers of a failure domain watch the platform. */
static bool
should_watch(const struct core *c)
{
	const struct mbr_table *members = bal_members(c->decisions);
	const struct mbr_group *g = mbr_group(members, 0);
	const struct member *self = mbr_self(members);
	uint64_t hash = XXH3_64bits(self->domain, strlen(self->domain));
	uint64_t own = mbr_rank(hash, self->id);
	unsigned above = 0;

	for (size_t i = 0; i < g->count; i++) {
		struct mbr_entry *e = g->entries[i];

		if (e->m.id == self->id || !mbr_eligible(e))
			continue;
		if (strcmp(e->m.domain, self->domain) != 0)
			continue;
		if (mbr_rank(hash, e->m.id) > own)
			above++;
	}
	return above < WATCHERS_PER_DOMAIN;
}

static void
probe_closed(uv_handle_t *h)
{
	free(h);
}

/* The fabric sends datagrams to balancers that accept its connections. */
static void
on_probe(uv_stream_t *s, int status)
{
	uv_tcp_t *conn;

	if (status != 0)
		return;
	conn = mem_new(sizeof(*conn));
	uv_tcp_init(s->loop, conn);
	uv_accept(s, (uv_stream_t *)conn);
	uv_close((uv_handle_t *)conn, probe_closed);
}

static int
health_open(struct core *c)
{
	struct addr a = {c->node.set->address.ip, c->node.set->health_port};
	struct sockaddr_in sin = addr_to_sys(a);
	int rc;

	if (a.port == 0)
		return 0;
	uv_tcp_init(c->node.loop, &c->health);
	c->health_open = true;
	rc = uv_tcp_bind(&c->health, (struct sockaddr *)&sin, 0);
	if (rc == 0)
		rc = uv_listen((uv_stream_t *)&c->health, 16, on_probe);
	return rc;
}

static void
health_close(struct core *c)
{
	if (c->health_open)
		uv_close((uv_handle_t *)&c->health, NULL);
	c->health_open = false;
}

static void
on_tick(uv_timer_t *t)
{
	struct core *c = t->data;
	uint64_t now = node_now(&c->node);
	bool watch;

	bal_tick(c->decisions, now);
	if (bal_is_ready(c->decisions) && !c->health_open && !c->sup.leaving) {
		int rc = health_open(c);

		if (rc != 0) {
			LOG_ERROR("Health port: %s.", uv_strerror(rc));
			sup_fail(&c->sup, EX_OSERR);
			return;
		}
	}
	if (now < c->watch_check_ns + WATCH_CHECK_NS)
		return;
	c->watch_check_ns = now;
	watch = should_watch(c);
	if (watch != c->watching)
		mbox_post(plat_mailbox(c->platform),
		    &(struct mail){.kind = MAIL_WATCH, .flag = watch});
	c->watching = watch;
}

static struct status
core_start(void *self)
{
	struct core *c = self;
	struct status st;

	mbox_open(&c->box, c->node.loop, on_mail, c);
	uv_timer_init(c->node.loop, &c->tick);
	uv_timer_init(c->node.loop, &c->grace);
	c->tick.data = c;
	c->grace.data = c;
	st = udp_open(&c->node.control, c->node.loop, c->node.set->address,
	    on_control, c);
	uv_timer_start(&c->tick, on_tick, 0, BAL_TICK_MS);
	return st;
}

static void
core_stop(void *self)
{
	struct core *c = self;
	struct door *d;
	struct door *tmp;

	DL_FOREACH_SAFE(c->doors, d, tmp)
	{
		door_close(c, d);
	}
	health_close(c);
	mbox_close(&c->box);
	udp_close(&c->node.control, NULL);
	uv_close((uv_handle_t *)&c->tick, NULL);
	uv_close((uv_handle_t *)&c->grace, NULL);
}

static void
on_grace_end(uv_timer_t *t)
{
	struct core *c = t->data;

	bal_announce_left(c->decisions, node_now(&c->node));
	LOG_NOTE("Stopped.");
	sup_finish(&c->sup);
}

static void
on_leave(void *ctx)
{
	struct core *c = ctx;

	bal_leave(c->decisions, node_now(&c->node));
	health_close(c);
	uv_timer_start(&c->grace, on_grace_end, c->node.set->grace_ms, 0);
}

static void
make_decisions(struct core *c)
{
	struct bal_params p = {.self = c->node.self,
	    .seed_count = c->node.set->seed_count,
	    .hint_capacity = c->node.set->hint_capacity,
	    .control_budget = c->node.set->control_budget};
	struct bal_ops ops = {.send_node = send_node,
	    .send_caller = send_caller,
	    .fetch_config = fetch_config,
	    .ctx = c};

	memcpy(p.seeds, c->node.set->seeds, sizeof(p.seeds));
	c->decisions =
	    bal_new(&p, &ops, &c->node.rng, &c->node.ctr, node_now(&c->node));
}

int
balancer_run(const struct settings *set)
{
	struct core *c = mem_new(sizeof(*c));
	uv_loop_t loop;
	struct status st;
	int code;

	uv_loop_init(&loop);
	st = node_init(&c->node, &loop, set, MBR_BALANCER);
	if (st.code != STATUS_OK) {
		LOG_ERROR("%s", st.message);
		free(c);
		return EX_CONFIG;
	}
	make_decisions(c);
	c->calls = calls_new(&c->node, &c->box);
	c->platform = plat_new(&c->node, &c->box);
	sup_init(&c->sup, &loop, on_leave, c);
	sup_add(&c->sup, "core", core_start, core_stop, c);
	sup_add(&c->sup, "calls", calls_start, calls_stop, c->calls);
	sup_add(&c->sup, "platform", plat_start, plat_stop, c->platform);
	code = sup_run(&c->sup);
	bal_free(c->decisions);
	calls_free(c->calls);
	plat_free(c->platform);
	free(c);
	return code;
}
