#include "task/agent_task.h"

#include "base/log.h"
#include "codec/coap.h"
#include "request/agent.h"
#include "task/calls.h"
#include "task/mailbox.h"
#include "task/node.h"
#include "task/report.h"
#include "task/supervisor.h"

#include <stdlib.h>
#include <string.h>
#include <sysexits.h>

#define LOG_MODULE "agent"
/** Permits with a record. */
#define RUN_CAPACITY 16384

struct core {
	struct node node;
	struct mailbox box;
	struct supervisor sup;
	struct agent *decisions;
	struct calls *calls;
	struct udp target;
	uv_timer_t tick;
	uint64_t version;
	enum mbr_phase phase;
	bool target_up;
};

static void
on_target(void *ctx, struct str dgram, struct addr src)
{
	struct core *c = ctx;

	if (!addr_eq(src, c->node.set->target) ||
	    dgram.len > MSG_DATAGRAM_MAX) {
		ctr_inc(&c->node.ctr, CTR_DROP_MALFORMED);
		return;
	}
	agt_handle_target_datagram(c->decisions, dgram, node_now(&c->node));
}

static void
on_control(void *ctx, struct str frame, struct addr src)
{
	struct core *c = ctx;
	struct msg m;

	(void)src;
	if (node_receive(&c->node, frame, &m))
		agt_handle_message(c->decisions, &m, node_now(&c->node));
}

static void
send_node(void *ctx, struct addr to, const struct msg *m)
{
	struct core *c = ctx;

	node_send(&c->node, to, m);
}

static void
send_target(void *ctx, struct str dgram)
{
	struct core *c = ctx;

	udp_send(&c->target, c->node.set->target, dgram);
}

static void
log_changes(struct core *c)
{
	static const char *const phases[] = {
	    "unknown", "joining", "active", "leaving", "left"};
	struct agt_status v;

	agt_get_status(c->decisions, &v);
	if (v.version != c->version)
		LOG_NOTE(
		    "Version %llu is in force.", (unsigned long long)v.version);
	if (v.phase != c->phase)
		LOG_NOTE("Phase is %s.", phases[v.phase]);
	if (v.target_up != c->target_up)
		LOG_NOTE("Target is %s.", v.target_up ? "up" : "down");
	c->version = v.version;
	c->phase = v.phase;
	c->target_up = v.target_up;
}

static void
on_tick(uv_timer_t *t)
{
	struct core *c = t->data;

	agt_tick(c->decisions, node_now(&c->node));
	log_changes(c);
	if (agt_is_stopped(c->decisions)) {
		LOG_NOTE("Stopped.");
		sup_finish(&c->sup);
	}
}

static void
on_mail(void *ctx, struct mail *m)
{
	struct core *c = ctx;
	struct mail r = {.kind = MAIL_REPLY, .conn = m->conn, .flag = true};
	struct agt_status v;

	if (m->kind != MAIL_CALL)
		return;
	agt_get_status(c->decisions, &v);
	r.version = v.version;
	if (m->call == CALL_STATUS)
		r.text = report_agent(c->decisions);
	else if (m->call == CALL_COUNTERS)
		r.text = report_counters(&c->node.ctr);
	else
		r.flag = false;
	if (r.text == NULL)
		r.text = (char *)str_dup(str_of("an agent does not do this"));
	r.text_len = strlen(r.text);
	mbox_post(calls_mailbox(c->calls), &r);
}

static struct status
core_start(void *self)
{
	struct core *c = self;
	struct addr local = {c->node.set->address.ip, 0};
	struct status st;

	mbox_open(&c->box, c->node.loop, on_mail, c);
	uv_timer_init(c->node.loop, &c->tick);
	c->tick.data = c;
	st = udp_open(&c->node.control, c->node.loop, c->node.set->address,
	    on_control, c);
	if (st.code == STATUS_OK)
		st = udp_open(&c->target, c->node.loop, local, on_target, c);
	uv_timer_start(&c->tick, on_tick, 0, AGT_TICK_MS);
	return st;
}

static void
core_stop(void *self)
{
	struct core *c = self;

	mbox_close(&c->box);
	udp_close(&c->node.control, NULL);
	udp_close(&c->target, NULL);
	uv_close((uv_handle_t *)&c->tick, NULL);
}

static void
on_leave(void *ctx)
{
	struct core *c = ctx;

	agt_leave(c->decisions, node_now(&c->node));
}

static void
make_decisions(struct core *c)
{
	struct agt_params p = {.self = c->node.self,
	    .seed_count = c->node.set->seed_count,
	    .flow_capacity = c->node.set->flow_capacity,
	    .permit_capacity = RUN_CAPACITY,
	    .keep_copies = c->node.set->keep_copies};
	struct agt_ops ops = {
	    .send_node = send_node, .send_target = send_target, .ctx = c};

	memcpy(p.seeds, c->node.set->seeds, sizeof(p.seeds));
	c->decisions = agt_new(&p, &coap_proto, &ops, &c->node.rng,
	    &c->node.ctr, node_now(&c->node));
}

int
agent_run(const struct settings *set)
{
	struct core *c = mem_new(sizeof(*c));
	uv_loop_t loop;
	struct status st;
	int code;

	coap_codec_init();
	uv_loop_init(&loop);
	st = node_init(&c->node, &loop, set, MBR_AGENT);
	if (st.code != STATUS_OK) {
		LOG_ERROR("%s", st.message);
		free(c);
		return EX_CONFIG;
	}
	make_decisions(c);
	c->calls = calls_new(&c->node, &c->box);
	sup_init(&c->sup, &loop, on_leave, c);
	sup_add(&c->sup, "core", core_start, core_stop, c);
	sup_add(&c->sup, "calls", calls_start, calls_stop, c->calls);
	code = sup_run(&c->sup);
	agt_free(c->decisions);
	calls_free(c->calls);
	free(c);
	return code;
}
