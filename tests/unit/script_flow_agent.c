#include "base/clock.h"
#include "flow/agent.h"
#include "flow_commands.h"
#include "runner.h"
#include "script.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>

static struct fa fa;
static struct counters counters;
static bool running;
static enum target_state last_state;
/** Length of a data packet in the scripts, in bytes. */
#define SCRIPT_DATA_BYTES 100
static uint32_t caller_seq;

/* ---- callbacks of the agent ---- */

static void
on_deliver(void *ctx, const struct flow_packet *p)
{
	(void)ctx;
	script_printf("  deliver %s\n", format_address_name(p->flow.caller));
}

static void
on_answer(void *ctx, const struct flow_packet *p)
{
	(void)ctx;
	script_printf("  answer %s\n", format_address_name(p->flow.caller));
}

static void
on_reset(void *ctx, const struct flow_key *flow, uint32_t ack)
{
	(void)ctx;
	script_printf(
	    "  reset %s at %u\n", format_address_name(flow->caller), ack);
}

static void
on_check_target(void *ctx)
{
	(void)ctx;
	script_printf("  check the target\n");
}

static void
print_find_items(uint64_t to, const struct msg_find *list)
{
	static const char *const names[] = {"held", "not held", "unknown"};

	for (uint32_t i = 0; i < list->count; i++) {
		const struct find_item *f = &list->flows[i];

		script_printf("  %s: %s at %u is %s", format_address_name(to),
		    format_address_name(f->flow.caller), f->ack,
		    names[f->where]);
		if (f->probed_ms != 0)
			script_printf(", probed %u ms ago", f->probed_ms);
		script_printf("\n");
	}
}

static uint32_t last_failing;
static bool print_requests;
static uint64_t requests_from_ns;

static void
on_send(void *ctx, uint64_t to, const struct flow_msg *m)
{
	static const char *const states[] = {
	    "unknown", "absent", "ready", "leaving", "silent"};
	static const char *const reasons[] = {
	    "", "service", "leaving", "full", "silent", "evacuated", "cold"};

	(void)ctx;
	switch (m->kind) {
	case FLOW_MSG_AGENT:
		if (print_requests && m->u.agent.ask)
			script_printf("  %s: requests the list after %u ms\n",
			    format_address_name(to),
			    (unsigned)((script_now_ns - requests_from_ns) /
				       NS_PER_MS));
		if (m->u.agent.state != last_state || m->u.agent.gone)
			script_printf("  %s: %s%s, %u flows, %u waiting\n",
			    format_address_name(to), states[m->u.agent.state],
			    m->u.agent.gone ? " and gone" : "",
			    m->u.agent.flows, m->u.agent.waiting);
		if (last_failing != m->u.agent.failing)
			script_printf("  %s: %u of 1000 fail\n",
			    format_address_name(to), m->u.agent.failing);
		last_failing = m->u.agent.failing;
		last_state = m->u.agent.state;
		return;
	case FLOW_MSG_FOUND:
		print_find_items(to, &m->u.find);
		return;
	case FLOW_MSG_ACCEPTED:
		script_printf("  %s: accepted %s\n", format_address_name(to),
		    format_address_name(m->u.flow.flow.caller));
		if (m->u.flow.failing != last_failing)
			script_printf("  %s: %u of 1000 fail\n",
			    format_address_name(to), m->u.flow.failing);
		last_failing = m->u.flow.failing;
		return;
	case FLOW_MSG_REFUSED:
		script_printf("  %s: refused %s, %s\n", format_address_name(to),
		    format_address_name(m->u.flow.flow.caller),
		    reasons[m->u.flow.refusal]);
		return;
	case FLOW_MSG_NOT_HELD:
		script_printf("  %s: %s is not held, %zu bytes\n",
		    format_address_name(to),
		    format_address_name(m->u.flow.flow.caller),
		    m->u.flow.bytes.len);
		return;
	case FLOW_MSG_BALANCER:
	case FLOW_MSG_PEERS:
	case FLOW_MSG_FIND:
		script_printf("  unexpected kind %d\n", m->kind);
	}
}

static void
on_write_snapshot(void *ctx, const struct snapshot *s)
{
	(void)ctx;
	script_printf("  write a snapshot:");
	for (size_t i = 0; i < s->count; i++)
		script_printf(" %s at %u",
		    format_address_name(s->flows[i].flow.caller),
		    s->flows[i].caller_ack);
	script_printf("\n");
}

static const struct fa_callbacks callbacks = {on_deliver, on_answer, on_reset,
    on_check_target, on_send, on_write_snapshot};

/* ---- commands ---- */

/* agent NAME SERVICE DOMAIN [SEED [EVACUATION-MS [COLD-SLACK]]]: replaces the
 * agent by a new one */
void
do_agent(const char *arg, const char *body)
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
	last_state = TARGET_UNKNOWN;
	last_failing = 0;
	setup.id = parse_address_name(w.word[0]);
	snprintf(service, sizeof(service), "%s", w.word[1]);
	snprintf(domain, sizeof(domain), "%s", w.word[2]);
	seeds[0] = parse_address_name(w.count > 3 ? w.word[3] : "b1");
	setup.seed_count = 1;
	setup.evacuation_ms = words_get_u32(&w, 4);
	setup.cold = (struct cold_bounds){
	    w.count > 5, w.count > 5 ? 1500 : 0, words_get_u32(&w, 5)};
	fa_init(&fa, &setup, &callbacks, NULL, &counters, script_now_ns);
}

/*
 * target_heartbeat ID STARTED-MS SEQUENCE ready|leaving|end
 *	[SERVICE [PORT [COLD-MS]]]:
 * a status message of a target; "end" is its last one
 */
void
do_target_heartbeat(const char *arg, const char *body)
{
	static const char *const names[] = {
	    "accepted", "outdated", "other target", "new incarnation"};
	struct words w;
	struct target_heartbeat t = {.slots = 4, .address = {0x0a000001, 8080}};

	(void)body;
	words_split(&w, arg);
	t.id = strtoul(w.word[0], NULL, 10);
	t.started_ms = words_get_u32(&w, 1);
	t.sequence = words_get_u32(&w, 2);
	t.state = strcmp(w.word[3], "ready") == 0     ? TARGET_READY
		  : strcmp(w.word[3], "leaving") == 0 ? TARGET_LEAVING
						      : TARGET_ABSENT;
	t.service = w.count > 4 ? flow_service_tag(str_of(w.word[4]))
				: fa.target.service;
	if (w.count > 5)
		t.address.port = (uint16_t)words_get_u32(&w, 5);
	t.cold_ms = words_get_u32(&w, 6);
	script_printf("  %s\n",
	    names[fa_handle_target_heartbeat(&fa, &t, script_now_ns)]);
}

static unsigned
parse_flags(const char *word)
{
	if (strcmp(word, "syn") == 0 || strcmp(word, "synack") == 0 ||
	    strcmp(word, "copy") == 0)
		return FLOW_SYN;
	if (strcmp(word, "fin") == 0)
		return FLOW_FIN;
	if (strcmp(word, "rst") == 0)
		return FLOW_RST;
	return FLOW_ACK;
}

/*
 * from BALANCER KIND CALLER SERVICE-ADDRESS ACK [probe|SERVICE]: a caller's
 * packet that a balancer forwards. KIND "again" is a retransmission of the last
 * data, "copy" one of the opening packet.
 */
void
do_from_balancer(const char *arg, const char *body)
{
	struct words w;
	struct flow_packet p = {.bytes = str_of("packet")};

	(void)body;
	words_split(&w, arg);
	p.flags = parse_flags(w.word[1]);
	p.flow = parse_flow(w.word[2], w.word[3]);
	p.ack = words_get_u32(&w, 4);
	if (strcmp(w.word[1], "data") == 0)
		caller_seq += SCRIPT_DATA_BYTES;
	if (strcmp(w.word[1], "data") == 0 || strcmp(w.word[1], "again") == 0)
		p.data = SCRIPT_DATA_BYTES;
	p.seq = caller_seq;
	p.copy = strcmp(w.word[1], "copy") == 0 ? 1 : 0;
	p.probe = strcmp(w.word[5], "probe") == 0;
	p.priority = -1;
	p.tag = w.count > 5 && !p.probe ? flow_service_tag(str_of(w.word[5]))
					: fa.target.service;
	fa_handle_caller_packet(
	    &fa, parse_address_name(w.word[0]), &p, script_now_ns);
}

/*
 * target KIND CALLER SERVICE-ADDRESS SEQ: a packet from the target. KIND
 * "returned" is a data packet and "returned_syn" a SYN that the target sends
 * back because it does not hold the flow; "served" and "failed" are answers.
 */
void
do_target(const char *arg, const char *body)
{
	struct words w;
	struct flow_packet p = {.bytes = str_of("packet")};

	(void)body;
	words_split(&w, arg);
	p.flags = parse_flags(w.word[0]);
	p.flow = parse_flow(w.word[1], w.word[2]);
	p.seq = words_get_u32(&w, 3);
	p.data = strcmp(w.word[0], "data") == 0 ? 100 : 0;
	if (strcmp(w.word[0], "served") == 0 ||
	    strcmp(w.word[0], "failed") == 0) {
		p.data = 100;
		p.outcome = w.word[0][0] == 's' ? FLOW_SERVED : FLOW_FAILED;
	}
	if (strcmp(w.word[0], "returned") == 0)
		p.flags = FLOW_ACK | FLOW_RETURNED;
	if (strcmp(w.word[0], "returned_syn") == 0)
		p.flags = FLOW_SYN | FLOW_RETURNED;
	fa_handle_target_packet(&fa, &p, script_now_ns);
}

/* find BALANCER CALLER SERVICE-ADDRESS ACK [MS]: a FIND message; the balancer
 * knows of a probe of the flow MS ago */
void
do_find(const char *arg, const char *body)
{
	struct words w;
	struct flow_msg m = {.kind = FLOW_MSG_FIND, .incarnation = 1};

	(void)body;
	words_split(&w, arg);
	m.from = parse_address_name(w.word[0]);
	m.u.find.count = 1;
	m.u.find.flows[0].flow = parse_flow(w.word[1], w.word[2]);
	m.u.find.flows[0].ack = words_get_u32(&w, 3);
	m.u.find.flows[0].probed_ms = words_get_u32(&w, 4);
	fa_handle_message(&fa, &m, script_now_ns);
}

/* check_result listens|refuses|no_answer: outcome of a connection attempt */
void
do_check_result(const char *arg, const char *body)
{
	(void)body;
	fa_handle_check_result(&fa,
	    strcmp(arg, "listens") == 0	  ? FA_CHECK_ACCEPTED
	    : strcmp(arg, "refuses") == 0 ? FA_CHECK_REFUSED
					  : FA_CHECK_NO_REPLY,
	    script_now_ns);
}

/* agent_advance MS: advances the clock without a tick */
void
do_agent_advance(const char *arg, const char *body)
{
	(void)body;
	script_now_ns += strtoul(arg, NULL, 10) * NS_PER_MS;
}

/* agent_wait MS: runs the ticks of this time */
void
do_agent_wait(const char *arg, const char *body)
{
	unsigned long ms = strtoul(arg, NULL, 10);

	(void)body;
	for (unsigned long i = 0; i < ms; i += FA_TICK_MS) {
		script_now_ns += FA_TICK_MS * NS_PER_MS;
		fa_tick(&fa, script_now_ns);
	}
}

/* list_requests MS: runs the ticks of this time, and prints which balancers are
 * asked for a list */
void
do_list_requests(const char *arg, const char *body)
{
	print_requests = true;
	requests_from_ns = script_now_ns;
	do_agent_wait(arg, body);
	print_requests = false;
}

/* balancer_list BALANCER same|BALANCER...: a balancer's list, or the message
 * that it equals the agent's */
void
do_balancer_list(const char *arg, const char *body)
{
	struct words w;
	struct flow_msg m = {.kind = FLOW_MSG_PEERS, .incarnation = 1};

	(void)body;
	words_split(&w, arg);
	m.from = parse_address_name(w.word[0]);
	m.u.peers.same = strcmp(w.word[1], "same") == 0;
	for (size_t i = 1; i < w.count && !m.u.peers.same; i++)
		m.u.peers.peers[m.u.peers.count++].id =
		    parse_address_name(w.word[i]);
	fa_handle_message(&fa, &m, script_now_ns);
}

/*
 * stored_snapshot [ID STARTED-MS CALLER...]: the snapshot of an earlier process
 * is read; each caller has a flow to s1, acknowledged up to its own number
 */
void
do_stored_snapshot(const char *arg, const char *body)
{
	struct words w;
	struct snapshot s = {0};

	(void)body;
	words_split(&w, arg);
	s.target_id = words_get_u32(&w, 0);
	s.target_started_ms = words_get_u32(&w, 1);
	s.flows = mem_grow(NULL, WORDS_MAX, sizeof(*s.flows));
	for (size_t i = 2; i < w.count; i++)
		s.flows[s.count++] =
		    (struct snapshot_flow){parse_flow(w.word[i], "s1"),
			(uint32_t)strtoul(w.word[i] + 1, NULL, 10)};
	fa_handle_stored_snapshot(&fa, &s, script_now_ns);
}

/* snapshot_written ok|failed: the end of a write */
void
do_snapshot_written(const char *arg, const char *body)
{
	(void)body;
	fa_handle_snapshot_written(&fa, strcmp(arg, "ok") == 0);
}

/* offer BALANCER VERSION: a balancer's heartbeat */
void
do_offer(const char *arg, const char *body)
{
	struct words w;
	struct flow_msg m = {.kind = FLOW_MSG_BALANCER, .incarnation = 1};
	uint64_t source;

	(void)body;
	words_split(&w, arg);
	m.from = parse_address_name(w.word[0]);
	m.u.balancer.version = words_get_u32(&w, 1);
	fa_handle_message(&fa, &m, script_now_ns);
	source = fa_take_routes_source(&fa);
	script_printf("  read from %s\n",
	    source == 0 ? "none" : format_address_name(source));
}

/* cold_target ID STARTED-MS SEQUENCE COLD-MS: a status message */
void
do_cold_target(const char *arg, const char *body)
{
	struct words w;
	struct target_heartbeat t = {.slots = 4,
	    .address = {0x0a000001, 8080},
	    .service = fa.target.service,
	    .state = TARGET_READY};

	(void)body;
	words_split(&w, arg);
	t.id = strtoul(w.word[0], NULL, 10);
	t.started_ms = words_get_u32(&w, 1);
	t.sequence = words_get_u32(&w, 2);
	t.cold_ms = words_get_u32(&w, 3);
	fa_handle_target_heartbeat(&fa, &t, script_now_ns);
}

/* agent_limit BALANCER VERSION PER-S-MILLI: a balancer's heartbeat */
void
do_agent_limit(const char *arg, const char *body)
{
	struct words w;
	struct flow_msg m = {.kind = FLOW_MSG_BALANCER, .incarnation = 1};

	(void)body;
	words_split(&w, arg);
	m.from = parse_address_name(w.word[0]);
	m.u.balancer.limits = words_get_u32(&w, 1);
	m.u.balancer.cold_per_s_milli = words_get_u32(&w, 2);
	fa_handle_message(&fa, &m, script_now_ns);
	script_printf("  limits of version %u\n", (unsigned)fa.cold.version);
}

/* agent_told BALANCER REVISION DOMAIN...: a balancer's heartbeat */
void
do_agent_told(const char *arg, const char *body)
{
	struct words w;
	struct flow_msg m = {.kind = FLOW_MSG_BALANCER, .incarnation = 1};
	struct msg_balancer *b = &m.u.balancer;

	(void)body;
	words_split(&w, arg);
	m.from = parse_address_name(w.word[0]);
	b->evacuation = words_get_u32(&w, 1);
	for (size_t i = 2; i < w.count; i++)
		b->evacuated[b->evacuated_count++] =
		    flow_service_tag(str_of(w.word[i]));
	fa_handle_message(&fa, &m, script_now_ns);
	script_printf("  revision %u\n", (unsigned)fa.evacuation.revision);
}

/* fetched VERSION: routes were read */
void
do_fetched(const char *arg, const char *body)
{
	(void)body;
	fa_set_routes_version(&fa, strtoul(arg, NULL, 10));
}

/* agent_work: prints the work time that the agent reports */
void
do_agent_work(const char *arg, const char *body)
{
	(void)arg;
	(void)body;
	script_printf("  work %u us, %u samples\n", work_time_mean_us(&fa.work),
	    work_time_samples(&fa.work));
}

/* stop: starts the shutdown and prints whether the agent can exit */
void
do_stop(const char *arg, const char *body)
{
	(void)arg;
	(void)body;
	if (fa.leaving_ns == 0)
		fa_leave(&fa, script_now_ns);
	script_printf("  %s\n",
	    fa_has_left(&fa, script_now_ns) ? "can exit" : "still running");
}
