#include "base/clock.h"
#include "flow/agent.h"
#include "flow_world.h"
#include "runner.h"
#include "script.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>

static struct fa fa;
static struct counters counters;
static bool running;
static enum target_state said;

/* ---- what the agent does ---- */

static void
on_deliver(void *ctx, const struct flow_packet *p)
{
	(void)ctx;
	say("  deliver %s\n", world_name(p->flow.caller));
}

static void
on_answer(void *ctx, const struct flow_packet *p)
{
	(void)ctx;
	say("  answer %s\n", world_name(p->flow.caller));
}

static void
on_reset(void *ctx, const struct flow_key *flow, uint32_t ack)
{
	(void)ctx;
	say("  reset %s at %u\n", world_name(flow->caller), ack);
}

static void
on_try(void *ctx)
{
	(void)ctx;
	say("  try the target\n");
}

static void
say_found(uint64_t to, const struct msg_find *list)
{
	static const char *const names[] = {"here", "not here", "unsure"};

	for (uint32_t i = 0; i < list->count; i++)
		say("  %s: %s is %s\n", world_name(to),
		    world_name(list->flows[i].flow.caller),
		    names[list->flows[i].where]);
}

static uint32_t failing;

static void
on_send(void *ctx, uint64_t to, const struct flow_msg *m)
{
	static const char *const states[] = {
	    "unknown", "absent", "ready", "leaving", "silent"};
	static const char *const reasons[] = {
	    "", "service", "leaving", "full", "silent"};

	(void)ctx;
	switch (m->kind) {
	case FLOW_MSG_AGENT:
		if (m->u.agent.state != said || m->u.agent.gone)
			say("  %s: %s%s, %u flows, %u waiting\n",
			    world_name(to), states[m->u.agent.state],
			    m->u.agent.gone ? " and gone" : "",
			    m->u.agent.flows, m->u.agent.waiting);
		if (failing != m->u.agent.failing)
			say("  %s: %u of 1000 fail\n", world_name(to),
			    m->u.agent.failing);
		failing = m->u.agent.failing;
		said = m->u.agent.state;
		return;
	case FLOW_MSG_FOUND:
		say_found(to, &m->u.find);
		return;
	case FLOW_MSG_ACCEPTED:
		say("  %s: accepted %s\n", world_name(to),
		    world_name(m->u.flow.flow.caller));
		if (m->u.flow.failing != failing)
			say("  %s: %u of 1000 fail\n", world_name(to),
			    m->u.flow.failing);
		failing = m->u.flow.failing;
		return;
	case FLOW_MSG_REFUSED:
		say("  %s: refused %s, %s\n", world_name(to),
		    world_name(m->u.flow.flow.caller),
		    reasons[m->u.flow.refusal]);
		return;
	case FLOW_MSG_NOT_HELD:
		say("  %s: %s is away, %zu bytes\n", world_name(to),
		    world_name(m->u.flow.flow.caller), m->u.flow.bytes.len);
		return;
	case FLOW_MSG_BALANCER:
	case FLOW_MSG_PEERS:
	case FLOW_MSG_FIND:
		say("  unexpected kind %d\n", m->kind);
	}
}

static const struct fa_callbacks out = {
    on_deliver, on_answer, on_reset, on_try, on_send};

/* ---- commands ---- */

/* agt NAME SERVICE DOMAIN [SEED] */
void
do_agt(const char *arg, const char *body)
{
	static char service[FLOW_NAME_MAX];
	static char domain[FLOW_NAME_MAX];
	static uint64_t seeds[1];
	struct words w;
	struct fa_setup setup = {.incarnation = 1,
	    .data_port = 8172,
	    .service = service,
	    .domain = domain,
	    .target = {0x0a000001, 8080},
	    .word_period_ms = 1200,
	    .flow_life_ms = 60000,
	    .flow_capacity = 4,
	    .seeds = seeds};

	(void)body;
	words_split(&w, arg);
	if (running)
		fa_clear(&fa);
	running = true;
	counters = (struct counters){0};
	said = TARGET_UNKNOWN;
	failing = 0;
	setup.id = world_id(w.word[0]);
	snprintf(service, sizeof(service), "%s", w.word[1]);
	snprintf(domain, sizeof(domain), "%s", w.word[2]);
	seeds[0] = world_id(w.count > 3 ? w.word[3] : "b1");
	setup.seed_count = 1;
	fa_init(&fa, &setup, &out, NULL, &counters, script_now_ns);
}

/* word NAME BORN SEQUENCE ready|leaving|end [SERVICE [PORT]] */
void
do_word(const char *arg, const char *body)
{
	static const char *const names[] = {
	    "taken", "old", "foreign", "a new life"};
	struct words w;
	struct target_heartbeat t = {.slots = 4, .address = {0x0a000001, 8080}};

	(void)body;
	words_split(&w, arg);
	t.id = strtoul(w.word[0], NULL, 10);
	t.started_ms = words_number(&w, 1);
	t.sequence = words_number(&w, 2);
	t.state = strcmp(w.word[3], "ready") == 0     ? TARGET_READY
		  : strcmp(w.word[3], "leaving") == 0 ? TARGET_LEAVING
						      : TARGET_ABSENT;
	t.service = w.count > 4 ? flow_service_tag(str_of(w.word[4]))
				: fa.target.service;
	if (w.count > 5)
		t.address.port = (uint16_t)words_number(&w, 5);
	say("  %s\n",
	    names[fa_handle_target_heartbeat(&fa, &t, script_now_ns)]);
}

static unsigned
flags_of(const char *word)
{
	if (strcmp(word, "syn") == 0 || strcmp(word, "synack") == 0)
		return FLOW_SYN;
	if (strcmp(word, "fin") == 0)
		return FLOW_FIN;
	if (strcmp(word, "rst") == 0)
		return FLOW_RST;
	return FLOW_ACK;
}

/* from BALANCER KIND CALLER SERVICE-ADDRESS ACK [probe|SERVICE] */
void
do_from_balancer(const char *arg, const char *body)
{
	struct words w;
	struct flow_packet p = {.bytes = str_of("packet")};

	(void)body;
	words_split(&w, arg);
	p.flags = flags_of(w.word[1]);
	p.flow = world_flow(w.word[2], w.word[3]);
	p.ack = words_number(&w, 4);
	p.data = strcmp(w.word[1], "data") == 0 ? 100 : 0;
	p.probe = strcmp(w.word[5], "probe") == 0;
	p.tag = w.count > 5 && !p.probe ? flow_service_tag(str_of(w.word[5]))
					: fa.target.service;
	fa_handle_caller_packet(&fa, world_id(w.word[0]), &p, script_now_ns);
}

/* target KIND CALLER SERVICE-ADDRESS SEQ; back: returned data, backsyn */
void
do_target(const char *arg, const char *body)
{
	struct words w;
	struct flow_packet p = {.bytes = str_of("packet")};

	(void)body;
	words_split(&w, arg);
	p.flags = flags_of(w.word[0]);
	p.flow = world_flow(w.word[1], w.word[2]);
	p.seq = words_number(&w, 3);
	p.data = strcmp(w.word[0], "data") == 0 ? 100 : 0;
	if (strcmp(w.word[0], "served") == 0 ||
	    strcmp(w.word[0], "failed") == 0) {
		p.data = 100;
		p.outcome = w.word[0][0] == 's' ? FLOW_SERVED : FLOW_FAILED;
	}
	if (strcmp(w.word[0], "back") == 0)
		p.flags = FLOW_ACK | FLOW_RETURNED;
	if (strcmp(w.word[0], "backsyn") == 0)
		p.flags = FLOW_SYN | FLOW_RETURNED;
	fa_handle_target_packet(&fa, &p, script_now_ns);
}

/* find BALANCER CALLER SERVICE-ADDRESS ACK */
void
do_find(const char *arg, const char *body)
{
	struct words w;
	struct flow_msg m = {.kind = FLOW_MSG_FIND, .incarnation = 1};

	(void)body;
	words_split(&w, arg);
	m.from = world_id(w.word[0]);
	m.u.find.count = 1;
	m.u.find.flows[0].flow = world_flow(w.word[1], w.word[2]);
	m.u.find.flows[0].ack = words_number(&w, 3);
	fa_handle_message(&fa, &m, script_now_ns);
}

/* tried listens|refuses|nothing */
void
do_tried(const char *arg, const char *body)
{
	(void)body;
	fa_handle_check_result(&fa,
	    strcmp(arg, "listens") == 0	  ? FA_CHECK_ACCEPTED
	    : strcmp(arg, "refuses") == 0 ? FA_CHECK_REFUSED
					  : FA_CHECK_NO_REPLY,
	    script_now_ns);
}

/* between MS: time passes between two ticks */
void
do_between(const char *arg, const char *body)
{
	(void)body;
	script_now_ns += strtoul(arg, NULL, 10) * NS_PER_MS;
}

/* await MS */
void
do_await(const char *arg, const char *body)
{
	unsigned long ms = strtoul(arg, NULL, 10);

	(void)body;
	for (unsigned long i = 0; i < ms; i += FA_TICK_MS) {
		script_now_ns += FA_TICK_MS * NS_PER_MS;
		fa_tick(&fa, script_now_ns);
	}
}

/* stop */
void
do_stop(const char *arg, const char *body)
{
	(void)arg;
	(void)body;
	if (fa.leaving_ns == 0)
		fa_leave(&fa, script_now_ns);
	say("  %s\n", fa_has_left(&fa, script_now_ns) ? "may end" : "goes on");
}
