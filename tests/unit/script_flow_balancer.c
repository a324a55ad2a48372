#include "base/clock.h"
#include "flow/balancer.h"
#include "flow_world.h"
#include "runner.h"
#include "script.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>

static struct fb fb;
static struct counters counters;
static bool running;
static uint64_t sequence;
static bool listing;   /* lists of balancers are shown */
static bool asking;    /* heartbeats ask for a list */
static bool differing; /* and of agents that know other balancers */

/* ---- what the balancer does ---- */

static void
on_forward(
    void *ctx, struct addr agent, struct str bytes, uint32_t tag, bool probe)
{
	(void)ctx;
	(void)tag;
	agent.port = 7700;
	say("  %.*s to %s%s\n", (int)bytes.len, bytes.p,
	    world_name(addr_pack(agent)), probe ? " as a probe" : "");
}

static void
on_reset(void *ctx, const struct flow_key *flow, uint32_t ack)
{
	(void)ctx;
	say("  reset %s at %u\n", world_name(flow->caller), ack);
}

static void
on_send(void *ctx, uint64_t to, const struct flow_msg *m)
{
	static const char *const answers[] = {"here", "away", "unsure", "wait"};

	(void)ctx;
	if (m->kind == FLOW_MSG_FIND)
		say("  ask %s about %u\n", world_name(to), m->u.find.count);
	for (uint32_t i = 0; m->kind == FLOW_MSG_FOUND && i < m->u.find.count;
	     i++) {
		const struct find_item *f = &m->u.find.flows[i];

		say("  tell %s: %s %s%s%s\n", world_name(to),
		    world_name(f->flow.caller), answers[f->where],
		    f->owner != 0 ? " " : "",
		    f->owner != 0 ? world_name(f->owner) : "");
	}
	if (m->kind == FLOW_MSG_PEERS && listing)
		say("  list to %s: %u%s%s\n", world_name(to), m->u.peers.count,
		    m->u.peers.same ? " same" : "",
		    m->u.peers.sample ? " sample" : "");
}

static const struct fb_callbacks out = {on_forward, on_reset, on_send};

/* ---- commands ---- */

/* bal NAME DOMAIN [THOUSANDTHS-OF-A-CORE] */
void
do_bal(const char *arg, const char *body)
{
	static char domain[FLOW_NAME_MAX];
	struct words w;
	struct fb_setup setup = {.incarnation = 1,
	    .hint_capacity = 1024,
	    .seed = 1,
	    .domain = domain};

	(void)body;
	words_split(&w, arg);
	if (running)
		fb_clear(&fb);
	running = true;
	counters = (struct counters){0};
	setup.id = world_id(w.word[0]);
	setup.capacity = w.count > 2 ? words_number(&w, 2) : 1000;
	snprintf(domain, sizeof(domain), "%s", w.word[1]);
	fb_init(&fb, &setup, &out, NULL, &counters, script_now_ns);
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

/* version V s1=SERVICE[:WEIGHT],... ... */
void
do_version(const char *arg, const char *body)
{
	struct words w;
	struct routes next = {0};

	(void)body;
	words_split(&w, arg);
	next.version = words_number(&w, 0);
	for (size_t i = 1; i < w.count; i++) {
		char text[128];
		char *equals;

		snprintf(text, sizeof(text), "%s", w.word[i]);
		equals = strchr(text, '=');
		*equals = '\0';
		add_shares(
		    routes_add(&next, addr_unpack(world_id(text))), equals + 1);
	}
	say("  %s\n", fb_apply_routes(&fb, &next, script_now_ns) ? "in force"
								 : "not newer");
}

static enum target_state
state_of(const char *word)
{
	static const char *const names[] = {
	    "unknown", "absent", "ready", "leaving", "silent"};

	for (int i = 0; i < TARGET_STATES; i++) {
		if (strcmp(names[i], word) == 0)
			return (enum target_state)i;
	}
	return TARGET_UNKNOWN;
}

/* beat AGENT SERVICE DOMAIN STATE SLOTS BUSY FLOWS [INCARNATION [SEQUENCE]] */
void
do_beat(const char *arg, const char *body)
{
	struct words w;
	struct flow_msg m = {.kind = FLOW_MSG_AGENT};

	(void)body;
	words_split(&w, arg);
	m.from = world_id(w.word[0]);
	m.incarnation = w.count > 7 ? words_number(&w, 7) : 1;
	m.sequence = w.count > 8 ? words_number(&w, 8) : ++sequence;
	m.u.agent.service = flow_service_tag(str_of(w.word[1]));
	snprintf(m.u.agent.domain, FLOW_NAME_MAX, "%s", w.word[2]);
	m.u.agent.data_port = 8172;
	m.u.agent.state = state_of(w.word[3]);
	m.u.agent.slots = words_number(&w, 4);
	m.u.agent.busy_milli = words_number(&w, 5);
	m.u.agent.flows = words_number(&w, 6);
	m.u.agent.period_ms = w.count > 9 ? words_number(&w, 9) : 500;
	m.u.agent.failing = words_number(&w, 10);
	m.u.agent.peers = peers_digest(&fb.peers);
	m.u.agent.ask = asking;
	m.u.agent.peers += differing ? 1 : 0;
	fb_handle_message(&fb, &m, script_now_ns);
}

static void
take(const struct flow_msg *m)
{
	fb_handle_message(&fb, m, script_now_ns);
	fb_flush(&fb);
}

/* asks AGENT SERVICE DOMAIN same|other: a heartbeat that asks for the list */
void
do_asks(const char *arg, const char *body)
{
	struct words w;
	char beat[128];

	words_split(&w, arg);
	snprintf(beat, sizeof(beat), "%s %s %s ready 4 0 0", w.word[0],
	    w.word[1], w.word[2]);
	listing = asking = true;
	differing = strcmp(w.word[3], "other") == 0;
	do_beat(beat, body);
	listing = asking = differing = false;
}

/* errand BALANCER CALLER SERVICE-ADDRESS ACK: it asks for its callers */
void
do_errand(const char *arg, const char *body)
{
	struct words w;
	struct flow_msg m = {.kind = FLOW_MSG_FIND, .incarnation = 1};

	(void)body;
	words_split(&w, arg);
	m.from = world_id(w.word[0]);
	m.u.find.count = 1;
	m.u.find.flows[0].flow = world_flow(w.word[1], w.word[2]);
	m.u.find.flows[0].ack = words_number(&w, 3);
	take(&m);
}

/* gone AGENT */
void
do_gone(const char *arg, const char *body)
{
	struct flow_msg m = {.kind = FLOW_MSG_AGENT,
	    .from = world_id(arg),
	    .incarnation = 1,
	    .sequence = ++sequence,
	    .u.agent = {.gone = true}};

	(void)body;
	fb_handle_message(&fb, &m, script_now_ns);
}

/*
 * peer BALANCER DOMAIN VERSION AGENTS
 *	[CAPACITY [1 for other agents [young|near]]]:
 * one that is not young knows all agents, or those near it alone
 */
void
do_peer(const char *arg, const char *body)
{
	struct words w;
	struct flow_msg m = {.kind = FLOW_MSG_BALANCER, .incarnation = 1};
	size_t known;

	(void)body;
	words_split(&w, arg);
	m.from = world_id(w.word[0]);
	snprintf(m.u.balancer.domain, FLOW_NAME_MAX, "%s", w.word[1]);
	m.u.balancer.version = words_number(&w, 2);
	m.u.balancer.agents = words_number(&w, 3);
	m.u.balancer.capacity =
	    w.count > 4 ? words_number(&w, 4) : fb.setup.capacity;
	m.u.balancer.settled = strcmp(w.word[6], "young") != 0;
	m.u.balancer.whole = strcmp(w.word[6], "near") != 0;
	m.u.balancer.peers = peers_digest(&fb.peers);
	/* By default as many agents are the same ones. */
	known = agents_count_recent(
	    &fb.agents, 0, script_now_ns, &m.u.balancer.agent_set);
	m.u.balancer.near_agents = (uint32_t)agents_count_recent(&fb.agents,
	    fb.peers.domain_tag, script_now_ns, &m.u.balancer.near_set);
	m.u.balancer.near_set += words_number(&w, 5);
	m.u.balancer.agent_set += words_number(&w, 5);
	m.u.balancer.agent_set += m.u.balancer.agents != known ? 1 : 0;
	fb_handle_message(&fb, &m, script_now_ns);
	say("  watches %s, asks the store %s, newer at %s\n",
	    fb_is_config_watcher(&fb, script_now_ns) ? "yes" : "no",
	    fb_should_query_store(&fb, script_now_ns) ? "yes" : "no",
	    fb_newer_peer(&fb, script_now_ns) == 0
		? "none"
		: world_name(fb_newer_peer(&fb, script_now_ns)));
}

static void
caller_packet(const struct words *w, unsigned flags, const char *what)
{
	char bytes[32];
	struct flow_packet p = {
	    .flow = world_flow(w->word[0], w->word[1]), .flags = flags};

	snprintf(bytes, sizeof(bytes), "%s of %s", what, w->word[0]);
	p.bytes = str_of(bytes);
	if ((flags & FLOW_SYN) != 0)
		p.copy = words_number(w, 2);
	else
		p.ack = words_number(w, 2);
	fb_handle_caller_packet(&fb, &p, script_now_ns);
	fb_flush(&fb);
}

/* syn CALLER SERVICE-ADDRESS [COPY] */
void
do_syn(const char *arg, const char *body)
{
	struct words w;

	(void)body;
	words_split(&w, arg);
	caller_packet(&w, FLOW_SYN, "syn");
}

/* data CALLER SERVICE-ADDRESS ACK */
void
do_data(const char *arg, const char *body)
{
	struct words w;

	(void)body;
	words_split(&w, arg);
	caller_packet(&w, FLOW_ACK, "data");
}

static void
flow_word(struct words *w, const char *arg, struct flow_msg *m)
{
	words_split(w, arg);
	m->from = world_id(w->word[0]);
	m->incarnation = 1;
	m->u.flow.flow = world_flow(w->word[1], w->word[2]);
}

/* accepted AGENT CALLER SERVICE-ADDRESS */
void
do_accepted(const char *arg, const char *body)
{
	struct words w;
	struct flow_msg m = {.kind = FLOW_MSG_ACCEPTED};

	(void)body;
	flow_word(&w, arg, &m);
	take(&m);
}

/* refused AGENT CALLER SERVICE-ADDRESS full|silent|leaving|service */
void
do_refused(const char *arg, const char *body)
{
	struct words w;
	struct flow_msg m = {.kind = FLOW_MSG_REFUSED};

	(void)body;
	flow_word(&w, arg, &m);
	m.u.flow.refusal =
	    strcmp(w.word[3], "full") == 0	? FLOW_REFUSED_FULL
	    : strcmp(w.word[3], "silent") == 0	? FLOW_REFUSED_SILENT
	    : strcmp(w.word[3], "leaving") == 0 ? FLOW_REFUSED_LEAVING
						: FLOW_REFUSED_SERVICE;
	take(&m);
}

/*
 * found AGENT|BALANCER CALLER SERVICE-ADDRESS here|away|unsure|wait [OWNER]
 */
void
do_found(const char *arg, const char *body)
{
	struct words w;
	struct flow_msg m = {.kind = FLOW_MSG_FOUND, .incarnation = 1};

	(void)body;
	words_split(&w, arg);
	m.from = world_id(w.word[0]);
	m.u.find.count = 1;
	m.u.find.flows[0].flow = world_flow(w.word[1], w.word[2]);
	m.u.find.flows[0].where =
	    strcmp(w.word[3], "here") == 0   ? FIND_HELD
	    : strcmp(w.word[3], "away") == 0 ? FIND_NOT_HELD
	    : strcmp(w.word[3], "wait") == 0 ? FIND_PENDING
					     : FIND_UNKNOWN;
	m.u.find.flows[0].owner = w.count > 4 ? world_id(w.word[4]) : 0;
	take(&m);
}

/* away AGENT CALLER SERVICE-ADDRESS ACK */
void
do_away(const char *arg, const char *body)
{
	struct words w;
	struct flow_msg m = {.kind = FLOW_MSG_NOT_HELD};

	(void)body;
	flow_word(&w, arg, &m);
	m.u.flow.ack = words_number(&w, 3);
	m.u.flow.bytes = str_of("returned data");
	take(&m);
}

/* wait MS [AGENT SERVICE DOMAIN]... : agents named go on with heartbeats */
void
do_wait(const char *arg, const char *body)
{
	struct words w;
	uint32_t ms;

	(void)body;
	words_split(&w, arg);
	ms = words_number(&w, 0);
	for (uint32_t i = 0; i < ms; i += FB_TICK_MS) {
		script_now_ns += FB_TICK_MS * NS_PER_MS;
		for (size_t k = 1; i % 500 == 0 && k + 2 < w.count; k += 3) {
			char beat[128];

			snprintf(beat, sizeof(beat), "%s %s %s ready 4 0 0",
			    w.word[k], w.word[k + 1], w.word[k + 2]);
			do_beat(beat, "");
		}
		fb_tick(&fb, script_now_ns);
		fb_flush(&fb);
	}
}

/* late MS: one tick that comes so late */
void
do_late(const char *arg, const char *body)
{
	(void)body;
	script_now_ns += strtoul(arg, NULL, 10) * NS_PER_MS;
	fb_tick(&fb, script_now_ns);
	fb_flush(&fb);
}

/* paused MS */
void
do_paused(const char *arg, const char *body)
{
	(void)body;
	fb_handle_pause(&fb, strtoul(arg, NULL, 10), script_now_ns);
}

/* ready */
void
do_ready(const char *arg, const char *body)
{
	(void)arg;
	(void)body;
	say("  %s\n", fb_is_ready(&fb, script_now_ns) ? "ready" : "not ready");
}

/* leave */
void
do_leave(const char *arg, const char *body)
{
	(void)arg;
	(void)body;
	fb_leave(&fb, script_now_ns);
}

/* entry BALANCER: what becomes of its entry in the store */
/* told BALANCER AGENT AGE-MS ...: a balancer lists the agents that it hears */
void
do_told(const char *arg, const char *body)
{
	struct words w;
	struct flow_msg m = {.kind = FLOW_MSG_PEERS, .incarnation = 1};

	(void)body;
	words_split(&w, arg);
	m.from = world_id(w.word[0]);
	m.u.peers.agents = true;
	for (size_t i = 1; i + 1 < w.count; i += 2)
		m.u.peers.peers[m.u.peers.count++] =
		    (struct msg_peer){.id = world_id(w.word[i]),
			.age_ms = words_number(&w, i + 1)};
	fb_handle_message(&fb, &m, script_now_ns);
}

/* mentioned BALANCER AGENT DOMAIN AGE-MS: in a list of all agents */
void
do_mentioned(const char *arg, const char *body)
{
	struct words w;
	struct flow_msg m = {.kind = FLOW_MSG_PEERS, .incarnation = 1};

	(void)body;
	words_split(&w, arg);
	m.from = world_id(w.word[0]);
	m.u.peers.agents = true;
	m.u.peers.count = 1;
	m.u.peers.peers[0] = (struct msg_peer){.id = world_id(w.word[1]),
	    .domain = flow_service_tag(str_of(w.word[2])),
	    .age_ms = words_number(&w, 3)};
	fb_handle_message(&fb, &m, script_now_ns);
}

void
do_entry(const char *arg, const char *body)
{
	(void)body;
	say("  gone %d, this one cleans %d\n",
	    fb_is_gone(&fb, world_id(arg), script_now_ns),
	    fb_has_lowest_id(&fb));
}

/* spread COUNT SERVICE: flows that the agents of a service get, in all */
void
do_spread(const char *arg, const char *body)
{
	struct words w;
	const struct agent_group *g;
	uint32_t least = UINT32_MAX;
	uint32_t most = 0;

	(void)body;
	words_split(&w, arg);
	g = agents_find_group(&fb.agents, flow_service_tag(str_of(w.word[1])));
	for (uint32_t i = 0; i < words_number(&w, 0); i++) {
		const struct place_request ask = {.agents = &fb.agents,
		    .service = g->service,
		    .flow = flow_hash(&(struct flow_key){i + 1, 9}),
		    .domain = fb.setup.domain,
		    .now = script_now_ns};

		place_choose(&ask)->placed++;
	}
	for (size_t i = 0; i < g->count; i++) {
		least = g->members[i]->placed < least ? g->members[i]->placed
						      : least;
		most =
		    g->members[i]->placed > most ? g->members[i]->placed : most;
	}
	say("  %zu agents, least %u, most %u\n", g->count, least, most);
}
