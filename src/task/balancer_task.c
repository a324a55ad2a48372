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

#define LOG_MODULE "balancer"
/** Number of balancers per failure domain that watch the platform. */
#define WATCHERS_PER_DOMAIN 2
/** Interval at which a balancer checks whether it should watch the platform. */
#define WATCH_CHECK_INTERVAL_NS (1000 * NS_PER_MS)
/** Timeout of fetching the configuration from a peer. */
#define FETCH_TIMEOUT_MS 2000

/** The socket on which the callers of a service are served. */
struct service_socket {
	uint64_t service;
	struct addr addr;
	struct udp udp;
	struct core *owner;
	struct service_socket *prev;
	struct service_socket *next;
};

struct core {
	struct node node;
	struct mailbox mailbox;
	struct supervisor sup;
	struct balancer *balancer;
	struct calls *calls;
	struct platform *platform;
	struct service_socket *service_sockets;
	uv_timer_t tick;
	uv_timer_t grace_timer;
	uv_tcp_t health_listener;
	bool health_open;
	bool fetching;
	bool fetch_full_text; /**< a delta did not apply */
	bool watching_platform;
	uint64_t watch_checked_ns;
};

/* ---- sockets ---- */

static void
on_caller_datagram(void *ctx, struct str dgram, struct addr src)
{
	struct service_socket *sock = ctx;
	struct core *c = sock->owner;
	struct flow_key flow = {addr_pack(src), sock->service};

	if (dgram.len > MSG_DATAGRAM_MAX) {
		ctr_inc(&c->node.ctr, CTR_DROP_MALFORMED);
		return;
	}
	bal_handle_caller_datagram(
	    c->balancer, &flow, dgram, node_now(&c->node));
}

static void
on_control(void *ctx, struct str frame, struct addr src)
{
	struct core *c = ctx;
	struct msg m;

	if (node_receive(&c->node, frame, &m))
		bal_handle_message(c->balancer, &m, src, node_now(&c->node));
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
	struct service_socket *sock;

	DL_FOREACH(c->service_sockets, sock)
	{
		if (sock->service != flow->service)
			continue;
		udp_send(&sock->udp, addr_unpack(flow->caller), bytes);
		return;
	}
	ctr_inc(&c->node.ctr, CTR_DROP_SERVICE);
}

static void
on_service_socket_closed(uv_handle_t *h)
{
	struct udp *u = h->data;

	free(u->ctx);
}

static void
service_socket_close(struct core *c, struct service_socket *sock)
{
	DL_DELETE(c->service_sockets, sock);
	udp_close(&sock->udp, on_service_socket_closed);
}

static void
service_socket_open(struct core *c, const struct cfg_service *s)
{
	struct service_socket *sock = mem_new(sizeof(*sock));
	struct addr local = s->addr;
	struct status st;

	if (c->node.set->callers_ip != 0)
		local.ip = c->node.set->callers_ip;
	sock->service = s->id;
	sock->addr = s->addr;
	sock->owner = c;
	st =
	    udp_open(&sock->udp, c->node.loop, local, on_caller_datagram, sock);
	DL_APPEND(c->service_sockets, sock);
	if (st.code == STATUS_OK)
		return;
	LOG_ERROR(
	    "Cannot open the socket of service %s: %s.", s->name, st.message);
	service_socket_close(c, sock);
}

static void
update_service_sockets(struct core *c)
{
	const struct cfg *cfg = bal_config(c->balancer);
	struct service_socket *sock;
	struct service_socket *tmp;

	DL_FOREACH_SAFE(c->service_sockets, sock, tmp)
	{
		const struct cfg_service *s = cfg_find(cfg, sock->service);

		if (s == NULL || !addr_eq(s->addr, sock->addr))
			service_socket_close(c, sock);
	}
	for (size_t i = 0; i < cfg->count; i++) {
		bool open = false;

		DL_FOREACH(c->service_sockets, sock)
		{
			open = open || sock->service == cfg->services[i].id;
		}
		if (!open)
			service_socket_open(c, &cfg->services[i]);
	}
}

/* ---- configuration ---- */

static struct status
apply_config(struct core *c, struct str text, uint64_t version)
{
	struct status st = {0};
	struct cfg cfg;

	if (version <= bal_config(c->balancer)->version)
		return st;
	st = cfg_parse(text, "configuration", &cfg);
	if (st.code != STATUS_OK) {
		ctr_inc(&c->node.ctr, CTR_CONFIG_BAD);
		LOG_ERROR("Configuration version %llu rejected: %s.",
		    (unsigned long long)version, st.message);
		return st;
	}
	cfg.version = version;
	if (bal_apply_config(c->balancer, &cfg)) {
		LOG_NOTE("Configuration version %llu is in force.",
		    (unsigned long long)version);
		update_service_sockets(c);
	}
	return st;
}

/* Applies a delta to the configuration in force; NULL if the delta has another
 * base or the result has a wrong hash. */
static char *
rebuild_text(const struct core *c, const struct call_reply *reply, size_t *len)
{
	const struct cfg *cfg = bal_config(c->balancer);
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
		apply_config(c, reply->text, reply->version);
		return;
	}
	text = rebuild_text(c, reply, &len);
	if (text == NULL) {
		/* Another version came into force meanwhile, so the next fetch
		 * requests the full text. */
		c->fetch_full_text = true;
		return;
	}
	apply_config(c, (struct str){text, len}, reply->version);
	free(text);
}

static void
fetch_config(void *ctx, struct addr from, uint64_t version)
{
	struct core *c = ctx;
	struct call call = {.kind = CALL_CONFIG_GET,
	    .version = bal_config(c->balancer)->version};

	(void)version;
	if (c->fetching || c->sup.leaving)
		return;
	c->fetching = true;
	if (c->fetch_full_text)
		call.version = 0;
	c->fetch_full_text = false;
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

/* A requester that has the previous version gets a delta only. */
static void
reply_config(struct core *c, const struct mail *m)
{
	const struct cfg *cfg = bal_config(c->balancer);
	struct str text = {cfg->text, cfg->text_len};
	struct mail r = {.kind = MAIL_REPLY, .conn = m->conn, .flag = true};
	uint64_t previous;
	struct str from = bal_previous_config(c->balancer, &previous);
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
	reply(c, conn, text != NULL, bal_config(c->balancer)->version,
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
		st = apply_config(c, text, m->version);
		reply(c, m->conn, st.code == STATUS_OK,
		    bal_config(c->balancer)->version, str_of(st.message));
		break;
	case CALL_STATUS:
		reply_json(c, m->conn, report_balancer(c->balancer));
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
		apply_config(c, (struct str){m->text, m->text_len}, m->version);
	else if (m->kind == MAIL_CALL)
		on_call(c, m);
}

/* ---- platform watch ---- */

/* The highest-ranked balancers of a failure domain watch the platform. */
static bool
should_watch_platform(const struct core *c)
{
	const struct mbr_table *members = bal_members(c->balancer);
	const struct mbr_group *g = mbr_group(members, 0);
	const struct member *self = mbr_self(members);
	uint64_t hash = XXH3_64bits(self->domain, strlen(self->domain));
	uint64_t own = mbr_rank(hash, self->id);
	unsigned higher_ranked = 0;

	for (size_t i = 0; i < g->count; i++) {
		struct mbr_entry *e = g->entries[i];

		if (e->m.id == self->id || !mbr_is_eligible(e))
			continue;
		if (strcmp(e->m.domain, self->domain) != 0)
			continue;
		if (mbr_rank(hash, e->m.id) > own)
			higher_ranked++;
	}
	return higher_ranked < WATCHERS_PER_DOMAIN;
}

static void
on_probe_closed(uv_handle_t *h)
{
	free(h);
}

/* The network fabric sends datagrams to the balancers that accept its health
 * connections; nothing is read from them. */
static void
on_health_probe(uv_stream_t *s, int status)
{
	uv_tcp_t *conn;

	if (status != 0)
		return;
	conn = mem_new(sizeof(*conn));
	uv_tcp_init(s->loop, conn);
	uv_accept(s, (uv_stream_t *)conn);
	uv_close((uv_handle_t *)conn, on_probe_closed);
}

static int
health_open(struct core *c)
{
	struct addr a = {c->node.set->address.ip, c->node.set->health_port};
	struct sockaddr_in sin = addr_to_sys(a);
	int rc;

	if (a.port == 0)
		return 0;
	uv_tcp_init(c->node.loop, &c->health_listener);
	c->health_open = true;
	rc = uv_tcp_bind(&c->health_listener, (struct sockaddr *)&sin, 0);
	if (rc == 0)
		rc = uv_listen(
		    (uv_stream_t *)&c->health_listener, 16, on_health_probe);
	return rc;
}

static void
health_close(struct core *c)
{
	if (c->health_open)
		uv_close((uv_handle_t *)&c->health_listener, NULL);
	c->health_open = false;
}

static void
on_tick(uv_timer_t *t)
{
	struct core *c = t->data;
	uint64_t now = node_now(&c->node);
	bool watch;

	bal_tick(c->balancer, now);
	if (bal_is_ready(c->balancer) && !c->health_open && !c->sup.leaving) {
		int rc = health_open(c);

		if (rc != 0) {
			LOG_ERROR("Cannot listen on the health port: %s.",
			    uv_strerror(rc));
			sup_fail(&c->sup, EX_OSERR);
			return;
		}
	}
	if (now < c->watch_checked_ns + WATCH_CHECK_INTERVAL_NS)
		return;
	c->watch_checked_ns = now;
	watch = should_watch_platform(c);
	if (watch != c->watching_platform)
		mbox_post(plat_mailbox(c->platform),
		    &(struct mail){.kind = MAIL_WATCH, .flag = watch});
	c->watching_platform = watch;
}

static struct status
core_start(void *self)
{
	struct core *c = self;
	struct status st;

	mbox_open(&c->mailbox, c->node.loop, on_mail, c);
	uv_timer_init(c->node.loop, &c->tick);
	uv_timer_init(c->node.loop, &c->grace_timer);
	c->tick.data = c;
	c->grace_timer.data = c;
	st = udp_open(&c->node.control, c->node.loop, c->node.set->address,
	    on_control, c);
	uv_timer_start(&c->tick, on_tick, 0, BAL_TICK_MS);
	return st;
}

static void
core_stop(void *self)
{
	struct core *c = self;
	struct service_socket *sock;
	struct service_socket *tmp;

	DL_FOREACH_SAFE(c->service_sockets, sock, tmp)
	{
		service_socket_close(c, sock);
	}
	health_close(c);
	mbox_close(&c->mailbox);
	udp_close(&c->node.control, NULL);
	uv_close((uv_handle_t *)&c->tick, NULL);
	uv_close((uv_handle_t *)&c->grace_timer, NULL);
}

static void
on_grace_timer(uv_timer_t *t)
{
	struct core *c = t->data;

	bal_announce_left(c->balancer, node_now(&c->node));
	LOG_NOTE("Stopped.");
	sup_finish(&c->sup);
}

static void
on_leave(void *ctx)
{
	struct core *c = ctx;

	bal_leave(c->balancer, node_now(&c->node));
	health_close(c);
	uv_timer_start(
	    &c->grace_timer, on_grace_timer, c->node.set->grace_ms, 0);
}

static void
create_balancer(struct core *c)
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
	c->balancer =
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
		uv_loop_close(&loop);
		free(c);
		return EX_CONFIG;
	}
	create_balancer(c);
	c->calls = calls_new(&c->node, &c->mailbox);
	c->platform = plat_new(&c->node, &c->mailbox);
	sup_init(&c->sup, &loop, on_leave, c);
	sup_add(&c->sup, "core", core_start, core_stop, c);
	sup_add(&c->sup, "calls", calls_start, calls_stop, c->calls);
	sup_add(&c->sup, "platform", plat_start, plat_stop, c->platform);
	code = sup_run(&c->sup);
	uv_loop_close(&loop);
	bal_free(c->balancer);
	calls_free(c->calls);
	plat_free(c->platform);
	free(c);
	return code;
}
