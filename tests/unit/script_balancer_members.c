#include "base/clock.h"
#include "flow/isolation.h"
#include "flow_commands.h"
#include "runner.h"
#include "script.h"
#include "script_flow_balancer.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>

/* gone AGENT: the last heartbeat of an agent that exits */
void
do_gone(const char *arg, const char *body)
{
	struct fb *fb = bs_balancer();
	struct flow_msg m = {.kind = FLOW_MSG_AGENT,
	    .from = parse_address_name(arg),
	    .incarnation = 1,
	    .sequence = bs_next_sequence(),
	    .u.agent = {.gone = true}};

	(void)body;
	fb_handle_message(fb, &m, script_now_ns);
}

/*
 * peer BALANCER DOMAIN VERSION AGENTS
 *	[CAPACITY-MILLICORES [DIGEST-OFFSET [starting|local]]]:
 * a heartbeat of a peer. With DIGEST-OFFSET 1 it reports another set of
 * agents. A peer that is not starting has heartbeats from all agents, or with
 * "local" from all agents of its own failure domain.
 */
void
do_peer(const char *arg, const char *body)
{
	struct fb *fb = bs_balancer();
	struct words w;
	struct flow_msg m = {.kind = FLOW_MSG_BALANCER, .incarnation = 1};
	size_t known;

	(void)body;
	words_split(&w, arg);
	m.from = parse_address_name(w.word[0]);
	snprintf(m.u.balancer.domain, FLOW_NAME_MAX, "%s", w.word[1]);
	m.u.balancer.version = words_get_u32(&w, 2);
	m.u.balancer.agents = words_get_u32(&w, 3);
	m.u.balancer.capacity =
	    w.count > 4 ? words_get_u32(&w, 4) : fb->setup.capacity;
	m.u.balancer.settled = strcmp(w.word[6], "starting") != 0;
	m.u.balancer.whole = strcmp(w.word[6], "local") != 0;
	m.u.balancer.peers = peers_digest(&fb->peers);
	/*
	 * With an equal number of agents the peer has the same set unless the
	 * offset says otherwise.
	 */
	known = agents_count_recent(
	    &fb->agents, 0, script_now_ns, &m.u.balancer.agent_set);
	m.u.balancer.near_agents = (uint32_t)agents_count_recent(&fb->agents,
	    fb->peers.domain_tag, script_now_ns, &m.u.balancer.near_set);
	m.u.balancer.near_set += words_get_u32(&w, 5);
	m.u.balancer.agent_set += words_get_u32(&w, 5);
	m.u.balancer.agent_set += m.u.balancer.agents != known ? 1 : 0;
	fb_handle_message(fb, &m, script_now_ns);
	script_printf(
	    "  watches configuration %s, reads the store %s, newer at %s\n",
	    fb_is_config_watcher(fb, script_now_ns) ? "yes" : "no",
	    fb_should_query_store(fb, script_now_ns) ? "yes" : "no",
	    fb_newer_source(fb, script_now_ns) == 0
		? "none"
		: format_address_name(fb_newer_source(fb, script_now_ns)));
}

/*
 * agent_list BALANCER AGENT AGE-MS ...: a balancer lists the agents that it has
 * heartbeats from, with the age of the latest one
 */
void
do_agent_list(const char *arg, const char *body)
{
	struct fb *fb = bs_balancer();
	struct words w;
	struct flow_msg m = {.kind = FLOW_MSG_PEERS, .incarnation = 1};

	(void)body;
	words_split(&w, arg);
	m.from = parse_address_name(w.word[0]);
	m.u.peers.agents = true;
	for (size_t i = 1; i + 1 < w.count; i += 2)
		m.u.peers.peers[m.u.peers.count++] =
		    (struct msg_peer){.id = parse_address_name(w.word[i]),
			.age_ms = words_get_u32(&w, i + 1)};
	fb_handle_message(fb, &m, script_now_ns);
}

/* reported_agent BALANCER AGENT DOMAIN AGE-MS: a list with one agent */
void
do_reported_agent(const char *arg, const char *body)
{
	struct fb *fb = bs_balancer();
	struct words w;
	struct flow_msg m = {.kind = FLOW_MSG_PEERS, .incarnation = 1};

	(void)body;
	words_split(&w, arg);
	m.from = parse_address_name(w.word[0]);
	m.u.peers.agents = true;
	m.u.peers.count = 1;
	m.u.peers.peers[0] =
	    (struct msg_peer){.id = parse_address_name(w.word[1]),
		.domain = flow_service_tag(str_of(w.word[2])),
		.age_ms = words_get_u32(&w, 3)};
	fb_handle_message(fb, &m, script_now_ns);
}

/*
 * listed [established] [ENTRIES]: the balancer's entry is in the store, where
 * an earlier process may have left it as established, beside others
 */
void
do_listed(const char *arg, const char *body)
{
	struct words w;

	(void)body;
	words_split(&w, arg);
	fb_count_entries(bs_balancer(), words_get_u32(&w, w.count - 1));
	fb_set_listed(bs_balancer(), strcmp(w.word[0], "established") == 0,
	    script_now_ns);
}

/* established: whether a later process at this address needs no proof */
void
do_established(const char *arg, const char *body)
{
	(void)arg;
	(void)body;
	script_printf("  established %d\n",
	    fb_is_established(bs_balancer(), script_now_ns));
}

/*
 * isolated SECONDS BALANCERS LAST-MESSAGE-MS: when an agent that knows a number
 * of balancers looks them up, in ms after its start. The latest message of a
 * balancer came at the given time; 0 for none.
 */
void
do_isolated(const char *arg, const char *body)
{
	struct words w;
	struct isolation i = {.started_ns = script_now_ns};
	uint32_t balancers, last_ms;

	(void)body;
	words_split(&w, arg);
	balancers = words_get_u32(&w, 1);
	last_ms = words_get_u32(&w, 2);
	script_printf(" ");
	for (uint32_t ms = 0; ms < 1000 * words_get_u32(&w, 0); ms += 50) {
		uint64_t now = i.started_ns + ms * NS_PER_MS;

		if (last_ms != 0 && ms == last_ms)
			i.last_message_ns = now;
		if (isolation_should_look_up(
			&i, isolation_list_period_ms(balancers), now))
			script_printf(" %u", ms);
	}
	script_printf(
	    "; found within %u\n", (unsigned)isolation_max_ms(balancers));
}

/* lists_entries SECONDS: when the balancer lists the balancers' entries in the
 * store, in ms after now */
void
do_lists_entries(const char *arg, const char *body)
{
	uint64_t began = script_now_ns;
	uint64_t seconds = strtoul(arg, NULL, 10);

	(void)body;
	script_printf(" ");
	while (script_now_ns < began + seconds * NS_PER_S) {
		do_wait("50", "");
		if (fb_should_list_entries(bs_balancer(), script_now_ns))
			script_printf(" %u",
			    (unsigned)((script_now_ns - began) / NS_PER_MS));
	}
	script_printf("\n");
}
