#include "script_flow_balancer.h"
#include "base/clock.h"
#include "flow_commands.h"
#include "runner.h"
#include "script.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>

static struct fb fb;
static struct counters counters;
static bool running;
static uint64_t sequence;
static bool print_lists;      /* print the lists of balancers sent */
static bool query_lists;      /* heartbeats query the list */
static bool print_marks;      /* print the service that openings carry */
static bool print_offers;     /* print heartbeats that are sent to agents */
static uint32_t copy_version; /* version of the routes that agents keep */
static bool print_watch_ok;   /* print heartbeats that are sent, and whether
				 they say that the watch is answered */
static bool digest_differs;   /* heartbeats carry another digest of the list */

static bool count_openings;    /* count openings and resets, print none */
static uint32_t opened_at[16]; /* openings by the number of the agent */
static uint32_t resets;

/* ---- access by other commands ---- */

struct fb *
bs_balancer(void)
{
	return &fb;
}

const struct counters *
bs_counters(void)
{
	return &counters;
}

uint64_t
bs_next_sequence(void)
{
	return ++sequence;
}

void
bs_print_offers(bool on)
{
	print_offers = on;
}

void
bs_print_watch_ok(bool on)
{
	print_watch_ok = on;
}

/* ---- callbacks of the balancer ---- */

static const char *
service_name(uint32_t tag)
{
	static const char *const names[] = {"desk", "store"};

	for (size_t i = 0; i < sizeof(names) / sizeof(names[0]); i++) {
		if (flow_service_tag(str_of(names[i])) == tag)
			return names[i];
	}
	return "another service";
}

static void
on_forward(void *ctx, struct addr agent, struct str bytes,
    const struct flow_mark *mark)
{
	(void)ctx;
	agent.port = 7700;
	if (count_openings) {
		opened_at[agent.ip % 16]++;
		return;
	}
	script_printf("  %.*s to %s%s%s%s\n", (int)bytes.len, bytes.p,
	    format_address_name(addr_pack(agent)),
	    mark->probe ? " as a probe" : "", print_marks ? " marked " : "",
	    print_marks ? service_name(mark->service) : "");
}

static void
on_reset(void *ctx, const struct flow_key *flow, uint32_t ack)
{
	(void)ctx;
	if (count_openings) {
		resets++;
		return;
	}
	script_printf(
	    "  reset %s at %u\n", format_address_name(flow->caller), ack);
}

static void
on_send(void *ctx, uint64_t to, const struct flow_msg *m)
{
	static const char *const answers[] = {
	    "held", "not_held", "unknown", "pending"};

	(void)ctx;
	if (m->kind == FLOW_MSG_FIND) {
		script_printf("  query %s about %u", format_address_name(to),
		    m->u.find.count);
		if (m->u.find.flows[0].probed_ms != 0)
			script_printf(", the first probed %u ms ago",
			    m->u.find.flows[0].probed_ms);
		script_printf("\n");
	}
	for (uint32_t i = 0; m->kind == FLOW_MSG_FOUND && i < m->u.find.count;
	     i++) {
		const struct find_item *f = &m->u.find.flows[i];

		script_printf("  reply to %s: %s %s%s%s%s\n",
		    format_address_name(to),
		    format_address_name(f->flow.caller), answers[f->where],
		    f->owner != 0 ? " " : "",
		    f->owner != 0 ? format_address_name(f->owner) : "",
		    f->probed_ms != 0 ? ", probed before" : "");
	}
	if (m->kind == FLOW_MSG_BALANCER && print_offers) {
		script_printf("  offer version %u to %s",
		    (unsigned)m->u.balancer.version, format_address_name(to));
		if (m->u.balancer.evacuation != 0)
			script_printf(", evacuations of revision %u: %u",
			    (unsigned)m->u.balancer.evacuation,
			    m->u.balancer.evacuated_count);
		if (m->u.balancer.limits != 0)
			script_printf(", limit of version %u: %u",
			    (unsigned)m->u.balancer.limits,
			    m->u.balancer.cold_per_s_milli);
		script_printf("\n");
	}
	if (m->kind == FLOW_MSG_BALANCER && print_watch_ok)
		script_printf("  tells %s: watch %s\n", format_address_name(to),
		    m->u.balancer.watch_ok ? "answered" : "not answered");
	if (m->kind == FLOW_MSG_PEERS && print_lists)
		script_printf("  list to %s: %u%s%s\n", format_address_name(to),
		    m->u.peers.count, m->u.peers.same ? " same" : "",
		    m->u.peers.sample ? " sample" : "");
}

static const struct fb_callbacks callbacks = {on_forward, on_reset, on_send};

/* ---- commands ---- */

/* balancer NAME DOMAIN [MILLICORES [EVACUATION-MS [cold]]]: replaces the
 * balancer by a new one */
void
do_balancer(const char *arg, const char *body)
{
	static char domain[FLOW_NAME_MAX];
	struct words w;
	struct fb_setup setup = {.incarnation = 1,
	    .hint_capacity = 1024,
	    .seed = 1,
	    .remote_byte_price = DOMAIN_SHARE_BYTE_PRICE_US,
	    .domain = domain};

	(void)body;
	words_split(&w, arg);
	if (running)
		fb_clear(&fb);
	running = true;
	counters = (struct counters){0};
	setup.id = parse_address_name(w.word[0]);
	setup.capacity = w.count > 2 ? words_get_u32(&w, 2) : 1000;
	setup.evacuation_ms = words_get_u32(&w, 3);
	setup.cold_limits = strcmp(w.word[4], "cold") == 0;
	snprintf(domain, sizeof(domain), "%s", w.word[1]);
	print_marks = false;
	fb_init(&fb, &setup, &callbacks, NULL, &counters, script_now_ns);
}

static void
add_shares(struct flow_route *route, char *list)
{
	char *rest;

	for (char *at = strtok_r(list, ",", &rest); at != NULL;
	     at = strtok_r(NULL, ",", &rest)) {
		char *colon = strchr(at, ':');
		uint32_t weight = 1;

		if (colon != NULL) {
			weight = (uint32_t)strtoul(colon + 1, NULL, 10);
			*colon = '\0';
		}
		routes_add_share(route, flow_service_tag(str_of(at)), weight);
	}
}

/* version V s1=SERVICE[:WEIGHT],... ...: passes a configuration */
void
do_version(const char *arg, const char *body)
{
	struct words w;
	struct routes next = {0};

	(void)body;
	words_split(&w, arg);
	next.version = words_get_u32(&w, 0);
	for (size_t i = 1; i < w.count; i++) {
		char text[128];
		char *equals;

		snprintf(text, sizeof(text), "%s", w.word[i]);
		equals = strchr(text, '=');
		*equals = '\0';
		add_shares(
		    routes_add(&next, addr_unpack(parse_address_name(text))),
		    equals + 1);
	}
	script_printf("  %s\n", fb_apply_routes(&fb, &next, script_now_ns)
				    ? "in force"
				    : "not newer");
}

static enum target_state
parse_target_state(const char *word)
{
	static const char *const names[] = {
	    "unknown", "absent", "ready", "leaving", "silent"};

	for (int i = 0; i < TARGET_STATES; i++) {
		if (strcmp(names[i], word) == 0)
			return (enum target_state)i;
	}
	return TARGET_UNKNOWN;
}

/*
 * heartbeat AGENT SERVICE DOMAIN STATE SLOTS BUSY-MILLI FLOWS
 *	[INCARNATION [SEQUENCE [PERIOD-MS [FAILING-PERMILLE
 *	[WORK-US SAMPLES [QUEUED [REQUESTS-OF-PRIORITY-0 [-1 ...]]]]]]]]
 * SEQUENCE 0 is the next one
 */
void
do_heartbeat(const char *arg, const char *body)
{
	struct words w;
	struct flow_msg m = {.kind = FLOW_MSG_AGENT};

	(void)body;
	words_split(&w, arg);
	m.from = parse_address_name(w.word[0]);
	m.incarnation = w.count > 7 ? words_get_u32(&w, 7) : 1;
	m.sequence = words_get_u32(&w, 8);
	if (m.sequence == 0)
		m.sequence = ++sequence;
	m.u.agent.service = flow_service_tag(str_of(w.word[1]));
	snprintf(m.u.agent.domain, FLOW_NAME_MAX, "%s", w.word[2]);
	m.u.agent.data_port = 8172;
	m.u.agent.state = parse_target_state(w.word[3]);
	m.u.agent.slots = words_get_u32(&w, 4);
	m.u.agent.busy_milli = words_get_u32(&w, 5);
	m.u.agent.flows = words_get_u32(&w, 6);
	m.u.agent.period_ms = w.count > 9 ? words_get_u32(&w, 9) : 500;
	m.u.agent.failing = words_get_u32(&w, 10);
	m.u.agent.work_us = words_get_u32(&w, 11);
	m.u.agent.work_samples = words_get_u32(&w, 12);
	m.u.agent.queued = words_get_u32(&w, 13);
	for (size_t i = 14; i < w.count; i++)
		m.u.agent.by_priority.requests[m.u.agent.by_priority.count++] =
		    words_get_u32(&w, i);
	m.u.agent.peers = peers_digest(&fb.peers);
	m.u.agent.ask = query_lists;
	m.u.agent.version = copy_version;
	m.u.agent.peers += digest_differs ? 1 : 0;
	fb_handle_message(&fb, &m, script_now_ns);
}

static void
receive_message(const struct flow_msg *m)
{
	fb_handle_message(&fb, m, script_now_ns);
	fb_flush(&fb);
}

/*
 * heartbeat_with_query AGENT SERVICE DOMAIN same|other: a heartbeat that
 * queries the list of balancers, with the same digest or another one
 */
void
do_heartbeat_with_query(const char *arg, const char *body)
{
	struct words w;
	char heartbeat[128];

	words_split(&w, arg);
	snprintf(heartbeat, sizeof(heartbeat), "%s %s %s ready 4 0 0",
	    w.word[0], w.word[1], w.word[2]);
	print_lists = query_lists = true;
	digest_differs = strcmp(w.word[3], "other") == 0;
	do_heartbeat(heartbeat, body);
	print_lists = query_lists = digest_differs = false;
}

static void
print_newer_source(void)
{
	uint64_t source = fb_newer_source(&fb, script_now_ns);

	script_printf("  newer at %s\n",
	    source == 0 ? "none" : format_address_name(source));
}

/* copy AGENT DOMAIN VERSION: a heartbeat of an agent that keeps routes */
void
do_copy(const char *arg, const char *body)
{
	struct words w;
	char heartbeat[128];

	words_split(&w, arg);
	snprintf(heartbeat, sizeof(heartbeat), "%s desk %s ready 4 0 0",
	    w.word[0], w.word[1]);
	copy_version = words_get_u32(&w, 2);
	print_offers = true;
	do_heartbeat(heartbeat, body);
	print_offers = false;
	copy_version = 0;
	print_newer_source();
}

/* proxied_find BALANCER CALLER SERVICE-ADDRESS ACK: a peer's FIND message */
void
do_proxied_find(const char *arg, const char *body)
{
	struct words w;
	struct flow_msg m = {.kind = FLOW_MSG_FIND, .incarnation = 1};

	(void)body;
	words_split(&w, arg);
	m.from = parse_address_name(w.word[0]);
	m.u.find.count = 1;
	m.u.find.flows[0].flow = parse_flow(w.word[1], w.word[2]);
	m.u.find.flows[0].ack = words_get_u32(&w, 3);
	receive_message(&m);
}

static void
receive_caller_packet(const struct words *w, unsigned flags, const char *what)
{
	char bytes[32];
	struct flow_packet p = {
	    .flow = parse_flow(w->word[0], w->word[1]), .flags = flags};

	snprintf(bytes, sizeof(bytes), "%s of %s", what, w->word[0]);
	p.bytes = str_of(bytes);
	if ((flags & FLOW_SYN) != 0)
		p.copy = words_get_u32(w, 2);
	else
		p.ack = words_get_u32(w, 2);
	p.seq = words_get_u32(w, 3);
	fb_handle_caller_packet(&fb, &p, script_now_ns);
	fb_flush(&fb);
}

/* marks: openings are printed with the service that they are marked with */
void
do_marks(const char *arg, const char *body)
{
	(void)arg;
	(void)body;
	print_marks = true;
}

/* syn CALLER SERVICE-ADDRESS [RETRANSMISSION [SEQUENCE-NUMBER]] */
void
do_syn(const char *arg, const char *body)
{
	struct words w;

	(void)body;
	words_split(&w, arg);
	receive_caller_packet(&w, FLOW_SYN, "syn");
}

/* data CALLER SERVICE-ADDRESS ACK */
void
do_data(const char *arg, const char *body)
{
	struct words w;

	(void)body;
	words_split(&w, arg);
	receive_caller_packet(&w, FLOW_ACK, "data");
}

static void
init_flow_message(struct words *w, const char *arg, struct flow_msg *m)
{
	words_split(w, arg);
	m->from = parse_address_name(w->word[0]);
	m->incarnation = 1;
	m->u.flow.flow = parse_flow(w->word[1], w->word[2]);
}

/* accepted AGENT CALLER SERVICE-ADDRESS */
void
do_accepted(const char *arg, const char *body)
{
	struct words w;
	struct flow_msg m = {.kind = FLOW_MSG_ACCEPTED};

	(void)body;
	init_flow_message(&w, arg, &m);
	receive_message(&m);
}

/*
 * refused AGENT CALLER SERVICE-ADDRESS
 *	full|silent|leaving|evacuated|cold|service
 */
void
do_refused(const char *arg, const char *body)
{
	struct words w;
	struct flow_msg m = {.kind = FLOW_MSG_REFUSED};

	(void)body;
	init_flow_message(&w, arg, &m);
	m.u.flow.refusal =
	    strcmp(w.word[3], "full") == 0	  ? FLOW_REFUSED_FULL
	    : strcmp(w.word[3], "silent") == 0	  ? FLOW_REFUSED_SILENT
	    : strcmp(w.word[3], "leaving") == 0	  ? FLOW_REFUSED_LEAVING
	    : strcmp(w.word[3], "evacuated") == 0 ? FLOW_REFUSED_EVACUATED
	    : strcmp(w.word[3], "cold") == 0	  ? FLOW_REFUSED_COLD
						  : FLOW_REFUSED_SERVICE;
	receive_message(&m);
}

/*
 * found AGENT|BALANCER CALLER SERVICE-ADDRESS held|not_held|unknown|pending
 *	[OWNER|- [ACK [MS]]]: the sender knows of a probe of the flow MS ago
 */
void
do_found(const char *arg, const char *body)
{
	struct words w;
	struct flow_msg m = {.kind = FLOW_MSG_FOUND, .incarnation = 1};

	(void)body;
	words_split(&w, arg);
	m.from = parse_address_name(w.word[0]);
	m.u.find.count = 1;
	m.u.find.flows[0].flow = parse_flow(w.word[1], w.word[2]);
	m.u.find.flows[0].where =
	    strcmp(w.word[3], "held") == 0	 ? FIND_HELD
	    : strcmp(w.word[3], "not_held") == 0 ? FIND_NOT_HELD
	    : strcmp(w.word[3], "pending") == 0	 ? FIND_PENDING
						 : FIND_UNKNOWN;
	m.u.find.flows[0].owner =
	    w.count > 4 ? parse_address_name(w.word[4]) : 0;
	m.u.find.flows[0].ack = words_get_u32(&w, 5);
	m.u.find.flows[0].probed_ms = words_get_u32(&w, 6);
	receive_message(&m);
}

/* not_held AGENT CALLER SERVICE-ADDRESS ACK: an agent returns a packet */
void
do_not_held(const char *arg, const char *body)
{
	struct words w;
	struct flow_msg m = {.kind = FLOW_MSG_NOT_HELD};

	(void)body;
	init_flow_message(&w, arg, &m);
	m.u.flow.ack = words_get_u32(&w, 3);
	m.u.flow.bytes = str_of("returned data");
	receive_message(&m);
}

/*
 * wait MS [AGENT SERVICE DOMAIN]...: runs the ticks of this time; the agents
 * named send a heartbeat every 500 ms
 */
void
do_wait(const char *arg, const char *body)
{
	struct words w;
	uint32_t ms;

	(void)body;
	words_split(&w, arg);
	ms = words_get_u32(&w, 0);
	for (uint32_t i = 0; i < ms; i += FB_TICK_MS) {
		script_now_ns += FB_TICK_MS * NS_PER_MS;
		for (size_t k = 1; i % 500 == 0 && k + 2 < w.count; k += 3) {
			char heartbeat[128];

			snprintf(heartbeat, sizeof(heartbeat),
			    "%s %s %s ready 4 0 0", w.word[k], w.word[k + 1],
			    w.word[k + 2]);
			do_heartbeat(heartbeat, "");
		}
		fb_tick(&fb, script_now_ns);
		fb_flush(&fb);
	}
}

/*
 * open_many SECONDS AGENT=DOMAIN=BUSY-MILLI|absent...: 20 openings a second,
 * and heartbeats of the agents, which have 2 slots; prints how many openings
 * each agent got
 */
void
do_open_many(const char *arg, const char *body)
{
	struct words w;
	char opening[64];

	(void)body;
	words_split(&w, arg);
	memset(opened_at, 0, sizeof(opened_at));
	resets = 0;
	for (uint32_t i = 0; i < words_get_u32(&w, 0) * 20; i++) {
		for (size_t k = 1; i % 10 == 0 && k < w.count; k++) {
			char agent[16], domain[16], busy[16], line[128];

			if (sscanf(w.word[k], "%15[^=]=%15[^=]=%15s", agent,
				domain, busy) != 3)
				abort();
			snprintf(line, sizeof(line),
			    "%s desk %s %s 2 %lu 0 1 0 500 0 20000 64", agent,
			    domain,
			    strcmp(busy, "absent") == 0 ? "absent" : "ready",
			    strtoul(busy, NULL, 10));
			do_heartbeat(line, "");
		}
		count_openings = true;
		snprintf(opening, sizeof(opening), "c%u s1", i + 1);
		do_syn(opening, "");
		count_openings = false;
		do_wait("50", "");
	}
	for (size_t k = 1; k < w.count; k++)
		script_printf("  %.2s %u", w.word[k],
		    opened_at[strtoul(w.word[k] + 1, NULL, 10) % 16]);
	script_printf(", resets %u, elsewhere for room %u, for lack of targets "
		      "%u\n",
	    resets, (unsigned)counters.value[CTR_FLOWS_REMOTE_ROOM],
	    (unsigned)counters.value[CTR_FLOWS_REMOTE_TARGETS]);
}

/* late_tick MS: one tick, MS after the previous one */
void
do_late_tick(const char *arg, const char *body)
{
	(void)body;
	script_now_ns += strtoul(arg, NULL, 10) * NS_PER_MS;
	fb_tick(&fb, script_now_ns);
	fb_flush(&fb);
}

/* paused MS: the process was suspended for MS */
void
do_paused(const char *arg, const char *body)
{
	(void)body;
	fb_handle_pause(&fb, strtoul(arg, NULL, 10), script_now_ns);
}

/* ready: prints whether the readiness check passes */
void
do_ready(const char *arg, const char *body)
{
	(void)arg;
	(void)body;
	script_printf(
	    "  %s\n", fb_is_ready(&fb, script_now_ns) ? "ready" : "not ready");
}

/* leave: starts the shutdown */
void
do_leave(const char *arg, const char *body)
{
	(void)arg;
	(void)body;
	fb_leave(&fb, script_now_ns);
}
