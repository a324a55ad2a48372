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
/** Capacity of the permit table, in records. */
#define PERMIT_CAPACITY 16384

struct core {
	struct node node;
	struct mailbox mailbox;
	struct supervisor sup;
	struct agent *agent;
	struct calls *calls;
	struct udp target;
	uv_timer_t tick;
	uint64_t version;
	enum mbr_phase phase;
	bool target_up;
};

static void
on_target_datagram(void *ctx, struct str dgram, struct addr src)
{
	struct core *c = ctx;

	if (!addr_eq(src, c->node.set->target) ||
	    dgram.len > MSG_DATAGRAM_MAX) {
		ctr_inc(&c->node.ctr, CTR_DROP_MALFORMED);
		return;
	}
	agt_handle_target_datagram(c->agent, dgram, node_now(&c->node));
}

static void
on_control(void *ctx, struct str frame, struct addr src)
{
	struct core *c = ctx;
	struct msg m;

	(void)src;
	if (node_receive(&c->node, frame, &m))
		agt_handle_message(c->agent, &m, node_now(&c->node));
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
	struct agt_status status;

	agt_get_status(c->agent, &status);
	if (status.version != c->version)
		LOG_NOTE("Configuration version %llu is in force.",
		    (unsigned long long)status.version);
	if (status.phase != c->phase)
		LOG_NOTE("Phase is %s.", phases[status.phase]);
	if (status.target_up != c->target_up)
		LOG_NOTE("Target is %s.", status.target_up ? "up" : "down");
	c->version = status.version;
	c->phase = status.phase;
	c->target_up = status.target_up;
}

static void
on_tick(uv_timer_t *t)
{
	struct core *c = t->data;

	agt_tick(c->agent, node_now(&c->node));
	log_changes(c);
	if (agt_is_stopped(c->agent)) {
		LOG_NOTE("Stopped.");
		sup_finish(&c->sup);
	}
}

static void
on_mail(void *ctx, struct mail *m)
{
	struct core *c = ctx;
	struct mail reply = {.kind = MAIL_REPLY, .conn = m->conn, .flag = true};
	struct agt_status status;

	if (m->kind != MAIL_CALL)
		return;
	agt_get_status(c->agent, &status);
	reply.version = status.version;
	if (m->call == CALL_STATUS)
		reply.text = report_agent(c->agent);
	else if (m->call == CALL_COUNTERS)
		reply.text = report_counters(&c->node.ctr);
	else
		reply.flag = false;
	if (reply.text == NULL)
		reply.text = (char *)str_dup(
		    str_of("an agent does not support this call"));
	reply.text_len = strlen(reply.text);
	mbox_post(calls_mailbox(c->calls), &reply);
}

static struct status
core_start(void *self)
{
	struct core *c = self;
	struct addr local = {c->node.set->address.ip, 0};
	struct status st;

	mbox_open(&c->mailbox, c->node.loop, on_mail, c);
	uv_timer_init(c->node.loop, &c->tick);
	c->tick.data = c;
	st = udp_open(&c->node.control, c->node.loop, c->node.set->address,
	    on_control, c);
	if (st.code == STATUS_OK)
		st = udp_open(
		    &c->target, c->node.loop, local, on_target_datagram, c);
	uv_timer_start(&c->tick, on_tick, 0, AGT_TICK_MS);
	return st;
}

static void
core_stop(void *self)
{
	struct core *c = self;

	mbox_close(&c->mailbox);
	udp_close(&c->node.control, NULL);
	udp_close(&c->target, NULL);
	uv_close((uv_handle_t *)&c->tick, NULL);
}

static void
on_leave(void *ctx)
{
	struct core *c = ctx;

	agt_leave(c->agent, node_now(&c->node));
}

static void
create_agent(struct core *c)
{
	struct agt_params p = {.self = c->node.self,
	    .seed_count = c->node.set->seed_count,
	    .flow_capacity = c->node.set->flow_capacity,
	    .permit_capacity = PERMIT_CAPACITY,
	    .keep_copies = c->node.set->keep_copies};
	struct agt_ops ops = {
	    .send_node = send_node, .send_target = send_target, .ctx = c};

	memcpy(p.seeds, c->node.set->seeds, sizeof(p.seeds));
	c->agent = agt_new(&p, &coap_proto, &ops, &c->node.rng, &c->node.ctr,
	    node_now(&c->node));
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
		uv_loop_close(&loop);
		free(c);
		return EX_CONFIG;
	}
	create_agent(c);
	c->calls = calls_new(&c->node, &c->mailbox);
	sup_init(&c->sup, &loop, on_leave, c);
	sup_add(&c->sup, "core", core_start, core_stop, c);
	sup_add(&c->sup, "calls", calls_start, calls_stop, c->calls);
	code = sup_run(&c->sup);
	uv_loop_close(&loop);
	agt_free(c->agent);
	calls_free(c->calls);
	free(c);
	return code;
}
