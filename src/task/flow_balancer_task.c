#include "task/flow_balancer_task.h"

#include "base/clock.h"
#include "base/event.h"
#include "codec/routes_wire.h"
#include "flow/balancer.h"
#include "task/flow_node.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>

/** Path by which balancers pass the configuration on. */
#define PASS_PATH "/configuration"
/** Reading it from another balancer is given up after this, ms. */
#define PASS_MS 1200L
/** After a failed try another one waits for this, ms. */
#define PASS_AGAIN_MS 200
/** A stop goes on forwarding for this after the last packet, ms: routers look
 * twice a second and need two looks. */
#define QUIET_MS 1200
/** Entries of balancers that are gone are looked for this often, ms. */
#define CLEAN_MS 60000
/** No balancer was found within this: the store's entries are read, ms. Seeds
 * that start with it do so within a fraction of a second. */
#define LONELY_MS 200

struct task_state {
	struct flow_node node;
	struct fb fb;
	struct store *store;
	struct fetch *passing; /**< configuration on its way from a peer */
	uint8_t *passed_on;    /**< routes in force, encoded; NULL for none */
	size_t passed_on_len;
	uint64_t passed_ns;
	uint64_t packet_ns; /**< latest caller's packet */
	uint64_t leaving_ns;
	uint64_t cleaned_ns;
	uint64_t began_ns;
	bool ready;
	bool listed;
};

/* ---- packets ---- */

static void
on_packet(void *ctx, struct str dgram, struct addr src)
{
	struct task_state *t = ctx;
	struct flow_packet p;

	(void)src;
	if (!t->node.platform_ops->read_packet(dgram, FLOW_FROM_CALLER, &p)) {
		ctr_inc(&t->node.ctr, CTR_DROP_MALFORMED);
		return;
	}
	t->packet_ns = flow_node_now();
	fb_handle_caller_packet(&t->fb, &p, t->packet_ns);
}

static void
forward(
    void *ctx, struct addr agent, struct str bytes, uint32_t tag, bool probe)
{
	struct task_state *t = ctx;
	char copy[FLOW_PACKET_MAX];

	if (bytes.len > sizeof(copy))
		return;
	memcpy(copy, bytes.p, bytes.len);
	t->node.platform_ops->mark_packet(copy, bytes.len, tag, probe);
	/* From the control socket: its address is how agents know us. */
	udp_send(&t->node.control, agent, (struct str){copy, bytes.len});
}

static void
reset(void *ctx, const struct flow_key *flow, uint32_t ack)
{
	struct task_state *t = ctx;

	flow_node_reset(&t->node, flow, ack);
}

static void
send_message(void *ctx, uint64_t to, const struct flow_msg *m)
{
	struct task_state *t = ctx;

	flow_node_send(&t->node, to, m);
}

static const struct fb_callbacks out = {forward, reset, send_message};

/* ---- configuration ---- */

static void
apply(struct task_state *t, struct routes *routes)
{
	if (!fb_apply_routes(&t->fb, routes, flow_node_now()))
		return;
	free(t->passed_on);
	t->passed_on = NULL;
}

static void
on_config(void *ctx, struct platform_config *c)
{
	apply(ctx, &c->routes);
}

/* Encoded when the first one asks for it. */
static struct str
pass_on(struct task_state *t)
{
	if (t->passed_on == NULL)
		t->passed_on =
		    routes_wire_encode(&t->fb.routes, &t->passed_on_len);
	return (struct str){(char *)t->passed_on, t->passed_on_len};
}

static void
on_passed(void *ctx, const struct fetch_result *r)
{
	struct task_state *t = ctx;
	struct routes routes;

	t->passing = NULL;
	t->passed_ns = flow_node_now();
	if (r->curl != CURLE_OK || r->status != 200) {
		event("pass_failed", "s:i, s:s", "status", (int)r->status,
		    "error", curl_easy_strerror(r->curl));
		return;
	}
	if (!routes_wire_decode((struct str){r->body, r->len}, &routes)) {
		ctr_inc(&t->node.ctr, CTR_CONFIG_BAD);
		event("configuration_malformed", "s:s", "error",
		    "what a balancer passed on");
		return;
	}
	apply(t, &routes);
	t->passed_ns = 0;
}

static void
fetch_newer(struct task_state *t, uint64_t now)
{
	uint64_t peer = fb_newer_peer(&t->fb, now);
	char text[ADDR_TEXT_MAX];
	char url[64];
	const struct fetch_ask ask = {.url = url, .timeout_ms = PASS_MS};

	if (peer == 0 || t->passing != NULL ||
	    now < t->passed_ns + PASS_AGAIN_MS * NS_PER_MS)
		return;
	snprintf(url, sizeof(url), "http://%s" PASS_PATH,
	    addr_text(addr_unpack(peer), text));
	t->passing = fetch_begin(t->node.fetcher, &ask, on_passed, t);
}

/* ---- members ---- */

static void
on_members(void *ctx, const struct balancer_entries *list)
{
	struct task_state *t = ctx;
	uint64_t now = flow_node_now();

	for (size_t i = 0; i < list->count; i++) {
		const struct balancer_entry *m = &list->items[i];

		if (t->cleaned_ns != 0 && fb_is_gone(&t->fb, m->id, now))
			store_remove_member(t->store, m);
		else
			fb_contact_balancer(&t->fb, m->id, now);
	}
}

/* Entries of balancers that no longer exist are removed, by one of us. */
static void
clean(struct task_state *t, uint64_t now)
{
	if (now < t->cleaned_ns + CLEAN_MS * NS_PER_MS ||
	    now < t->began_ns + CLEAN_MS * NS_PER_MS)
		return;
	t->cleaned_ns = now;
	if (fb_has_lowest_id(&t->fb))
		store_list_members(t->store);
}

/* ---- calls ---- */

static void
on_call(void *ctx, const struct web_call *call, struct web_answer *answer)
{
	struct task_state *t = ctx;

	answer->type = "application/json";
	if (str_is(call->path, t->node.platform_ops->ready_path)) {
		answer->status =
		    fb_is_ready(&t->fb, flow_node_now()) ? 200 : 503;
		answer->body = str_of("{}");
	} else if (str_is(call->path, PASS_PATH) && t->fb.routes.version != 0) {
		answer->status = 200;
		answer->type = "application/x-protobuf";
		answer->body = pass_on(t);
	}
}

static size_t
gauges(void *ctx, char *buf, size_t cap, uint64_t now)
{
	struct task_state *t = ctx;
	size_t len;
	int n = snprintf(buf, cap,
	    "# TYPE pw_version gauge\npw_version %llu\n"
	    "# TYPE pw_ready gauge\npw_ready %d\n"
	    "# TYPE pw_agents_live gauge\npw_agents_live %zu\n"
	    "# TYPE pw_balancers gauge\npw_balancers %zu\n"
	    "# TYPE pw_hints gauge\npw_hints %zu\n",
	    (unsigned long long)t->fb.routes.version, t->ready,
	    agents_count_live(&t->fb.agents, now), peers_count(&t->fb.peers),
	    hint_count(t->fb.hints));

	if (n < 0 || (size_t)n >= cap)
		return 0;
	len = (size_t)n;
	len += latency_write(&t->fb.opening, "opening", buf + len, cap - len);
	len += latency_write(&t->fb.search, "search", buf + len, cap - len);
	return len;
}

/* ---- time ---- */

static void
on_message(void *ctx, const struct flow_msg *m, uint64_t now)
{
	struct task_state *t = ctx;

	fb_handle_message(&t->fb, m, now);
	if (m->kind == FLOW_MSG_BALANCER)
		fetch_newer(t, now);
}

static void
on_paused(void *ctx, uint64_t gap_ms, uint64_t now)
{
	struct task_state *t = ctx;

	fb_handle_pause(&t->fb, gap_ms, now);
	store_renew(t->store);
}

static void
on_settled(void *ctx)
{
	struct task_state *t = ctx;

	fb_flush(&t->fb);
}

static void
watch_ready(struct task_state *t, uint64_t now)
{
	bool ready = fb_is_ready(&t->fb, now);

	if (ready != t->ready)
		event("ready", "s:b, s:I, s:i, s:b", "ready", (int)ready,
		    "version", (json_int_t)t->fb.routes.version, "agents",
		    (int)agents_count_live(&t->fb.agents, now), "leaving",
		    (int)t->fb.leaving);
	t->ready = ready;
}

static void
look_around(struct task_state *t, uint64_t now)
{
	if (t->listed || now < t->began_ns + LONELY_MS * NS_PER_MS)
		return;
	t->listed = true;
	if (peers_count(&t->fb.peers) == 0 || t->fb.first_agent_ns == 0)
		store_list_members(t->store);
}

static bool
may_stop(const struct task_state *t, uint64_t now)
{
	uint64_t last =
	    t->packet_ns > t->leaving_ns ? t->packet_ns : t->leaving_ns;

	return t->leaving_ns != 0 &&
	       (now > last + QUIET_MS * NS_PER_MS ||
		   now > t->leaving_ns + t->node.set.grace_ms * NS_PER_MS);
}

static void
on_tick(void *ctx, uint64_t now)
{
	struct task_state *t = ctx;

	fb_tick(&t->fb, now);
	fetch_newer(t, now);
	store_watch_config(t->store, fb_should_query_store(&t->fb, now));
	look_around(t, now);
	clean(t, now);
	watch_ready(t, now);
	if (may_stop(t, now))
		sup_finish(&t->node.sup);
}

static void
on_reloaded(void *ctx)
{
	struct task_state *t = ctx;

	t->fb.setup.seed_count = t->node.seed_count;
}

/* ---- life ---- */

static const struct flow_node_ops ops = {.message = on_message,
    .settled = on_settled,
    .tick = on_tick,
    .paused = on_paused,
    .reloaded = on_reloaded,
    .gauges = gauges,
    .call = on_call};

static const struct store_events store_events = {on_config, on_members};

static struct status
start(void *self)
{
	struct task_state *t = self;
	struct flow_node *n = &t->node;
	struct status st = flow_node_open(n, on_packet);
	const struct fb_setup setup = {.id = n->id,
	    .incarnation = n->incarnation,
	    .domain = n->set.domain,
	    .seeds = n->seeds,
	    .seed_count = n->seed_count,
	    .hint_capacity = n->set.hint_capacity,
	    .capacity = n->set.capacity,
	    .seed = n->incarnation};
	struct balancer_entry self_entry = {.id = n->id};

	if (st.code != STATUS_OK)
		return st;
	t->began_ns = flow_node_now();
	fb_init(&t->fb, &setup, &out, t, &n->ctr, t->began_ns);
	t->store = flow_node_store(n, &store_events, t);
	str_copy(self_entry.name, sizeof(self_entry.name), str_of(n->set.name));
	store_announce(t->store, &self_entry, n->set.domain);
	return st;
}

static void
stop(void *self)
{
	struct task_state *t = self;

	fetch_end(t->passing);
	t->passing = NULL;
	store_free(t->store);
	flow_node_close(&t->node);
}

static void
leave(void *ctx)
{
	struct task_state *t = ctx;

	t->leaving_ns = flow_node_now();
	event("leaving", "s:i", "balancers", (int)peers_count(&t->fb.peers));
	fb_leave(&t->fb, t->leaving_ns);
}

int
flow_balancer_run(const struct settings *set, const char *settings_path,
    const struct platform_ops *platform_ops)
{
	struct task_state *t = mem_new(sizeof(*t));
	int rc;

	flow_node_init(&t->node, uv_default_loop(), set, settings_path,
	    SET_FLOW_BALANCER, platform_ops, &ops, t);
	sup_init(&t->node.sup, t->node.loop, leave, t);
	sup_add(&t->node.sup, "flows", start, stop, t);
	rc = sup_run(&t->node.sup);
	fb_clear(&t->fb);
	free(t->passed_on);
	free(t);
	return rc;
}
