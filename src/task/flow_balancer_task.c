#include "task/flow_balancer_task.h"

#include "base/clock.h"
#include "base/event.h"
#include "codec/routes_wire.h"
#include "flow/balancer.h"
#include "task/config_fetch.h"
#include "task/flow_node.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>

/** A stopping balancer goes on forwarding until no caller's packet has come
 * for this time in ms. Routers check readiness twice a second and need two
 * checks to take a balancer out. */
#define DRAIN_QUIET_MS 1200
/** Period in ms of removing the entries of dead balancers from the store. */
#define REMOVE_DEAD_MS 60000

struct task_state {
	struct flow_node node;
	struct fb fb;
	struct store *store;
	struct config_fetch config_fetch; /**< reads it from another process */
	uint8_t *encoded_routes; /**< routes in force, encoded; NULL for none */
	size_t encoded_routes_len;
	uint64_t last_packet_ns; /**< latest packet from a caller */
	uint64_t leaving_ns;
	uint64_t removed_dead_ns;
	uint64_t start_ns;
	bool ready;
	struct balancer_entry entry; /**< own entry in the store */
};

/* ---- packets ---- */

static void
on_caller_packet(void *ctx, struct str dgram, struct addr src)
{
	struct task_state *t = ctx;
	struct flow_packet p;

	(void)src;
	if (!t->node.platform_ops->read_packet(dgram, FLOW_FROM_CALLER, &p)) {
		ctr_inc(&t->node.ctr, CTR_DROP_MALFORMED);
		return;
	}
	t->last_packet_ns = flow_node_now();
	fb_handle_caller_packet(&t->fb, &p, t->last_packet_ns);
}

static void
forward(void *ctx, struct addr agent, struct str bytes,
    const struct flow_mark *mark)
{
	struct task_state *t = ctx;
	char copy[FLOW_PACKET_MAX];

	if (bytes.len > sizeof(copy))
		return;
	memcpy(copy, bytes.p, bytes.len);
	t->node.platform_ops->mark_packet(copy, bytes.len, mark);
	/* Agents identify a balancer by the address of its control socket. */
	udp_send(&t->node.control, agent, (struct str){copy, bytes.len});
}

static void
send_reset(void *ctx, const struct flow_key *flow, uint32_t ack)
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

static const struct fb_callbacks callbacks = {
    forward, send_reset, send_message};

/* ---- configuration ---- */

static void
apply(struct task_state *t, struct routes *routes)
{
	if (!fb_apply_routes(&t->fb, routes, flow_node_now()))
		return;
	free(t->encoded_routes);
	t->encoded_routes = NULL;
}

static void
on_config(void *ctx, struct platform_config *c)
{
	apply(ctx, &c->routes);
}

static void
on_evacuations(
    void *ctx, uint64_t revision, const uint32_t *tags, uint32_t count)
{
	struct task_state *t = ctx;

	fb_apply_evacuations(&t->fb, revision, tags, count, flow_node_now());
}

static void
on_watch_state(void *ctx, bool ok)
{
	struct task_state *t = ctx;

	fb_set_watch_ok(&t->fb, ok, flow_node_now());
}

/* Encoded at the first request and kept until the routes change. */
static struct str
get_encoded_routes(struct task_state *t)
{
	if (t->encoded_routes == NULL)
		t->encoded_routes =
		    routes_wire_encode(&t->fb.routes, &t->encoded_routes_len);
	return (struct str){(char *)t->encoded_routes, t->encoded_routes_len};
}

static void
on_config_fetched(void *ctx, struct routes *routes, struct str encoded)
{
	(void)encoded;
	apply(ctx, routes);
}

static void
fetch_newer_config(struct task_state *t, uint64_t now)
{
	config_fetch_start(&t->config_fetch, fb_newer_source(&t->fb, now), now);
}

/* ---- members ---- */

static void
on_announced(void *ctx, bool was_established)
{
	struct task_state *t = ctx;

	t->entry.established |= was_established;
	fb_set_listed(&t->fb, was_established, flow_node_now());
}

/* A later process at this address needs no proof of its own. */
static void
announce_if_established(struct task_state *t, uint64_t now)
{
	if (t->entry.established || !fb_is_established(&t->fb, now))
		return;
	t->entry.established = true;
	event(
	    "established", "s:i", "balancers", (int)peers_count(&t->fb.peers));
	store_announce(t->store, &t->entry, t->node.set.domain);
}

static void
on_members(void *ctx, const struct balancer_entries *list)
{
	struct task_state *t = ctx;
	uint64_t now = flow_node_now();

	fb_count_entries(&t->fb, list->count);
	for (size_t i = 0; i < list->count; i++) {
		const struct balancer_entry *m = &list->items[i];

		if (t->removed_dead_ns != 0 && fb_is_gone(&t->fb, m->id, now))
			store_remove_member(t->store, m);
		else
			fb_contact_balancer(&t->fb, m->id, now);
	}
}

/* Lists the entries so that on_members() removes those of dead balancers.
 * A single balancer does this. */
static void
remove_dead_members(struct task_state *t, uint64_t now)
{
	if (now < t->removed_dead_ns + REMOVE_DEAD_MS * NS_PER_MS ||
	    now < t->start_ns + REMOVE_DEAD_MS * NS_PER_MS)
		return;
	t->removed_dead_ns = now;
	if (fb_has_lowest_id(&t->fb))
		store_list_members(t->store);
}

/* ---- HTTP requests ---- */

static void
on_request(
    void *ctx, const struct web_request *request, struct web_response *response)
{
	struct task_state *t = ctx;

	response->type = "application/json";
	if (str_is(request->path, t->node.platform_ops->ready_path)) {
		response->status =
		    fb_is_ready(&t->fb, flow_node_now()) ? 200 : 503;
		response->body = str_of("{}");
	} else if (str_is(request->path, CONFIG_FETCH_PATH) &&
		   t->fb.routes.version != 0) {
		response->status = 200;
		response->type = CONFIG_FETCH_TYPE;
		response->body = get_encoded_routes(t);
	}
}

static size_t
write_gauges(void *ctx, char *buf, size_t cap, uint64_t now)
{
	struct task_state *t = ctx;
	size_t len;
	struct evacuation_slots slots = fb_count_slots(&t->fb, now);
	int n = snprintf(buf, cap,
	    "# TYPE pw_version gauge\npw_version %llu\n"
	    "# TYPE pw_ready gauge\npw_ready %d\n"
	    "# TYPE pw_agents_live gauge\npw_agents_live %zu\n"
	    "# TYPE pw_balancers gauge\npw_balancers %zu\n"
	    "# TYPE pw_hints gauge\npw_hints %zu\n"
	    "# TYPE pw_evacuation_revision gauge\n"
	    "pw_evacuation_revision %llu\n"
	    "# TYPE pw_evacuated_domains gauge\npw_evacuated_domains %u\n"
	    "# TYPE pw_slots_left gauge\npw_slots_left %u\n"
	    "# TYPE pw_slots_evacuated gauge\npw_slots_evacuated %u\n",
	    (unsigned long long)t->fb.routes.version, t->ready,
	    agents_count_live(&t->fb.agents, now), peers_count(&t->fb.peers),
	    hint_count(t->fb.hints),
	    (unsigned long long)t->fb.evacuation.revision,
	    t->fb.evacuation.count, slots.left, slots.evacuated);

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
	if (m->kind == FLOW_MSG_BALANCER || t->fb.routes.version == 0)
		fetch_newer_config(t, now);
}

static void
on_paused(void *ctx, uint64_t gap_ms, uint64_t now)
{
	struct task_state *t = ctx;

	fb_handle_pause(&t->fb, gap_ms, now);
	store_restart_watch(t->store);
}

static void
on_batch_done(void *ctx)
{
	struct task_state *t = ctx;

	fb_flush(&t->fb);
}

static void
log_readiness(struct task_state *t, uint64_t now)
{
	bool ready = fb_is_ready(&t->fb, now);

	if (ready != t->ready)
		event("ready", "s:b, s:I, s:i, s:b", "ready", (int)ready,
		    "version", (json_int_t)t->fb.routes.version, "agents",
		    (int)agents_count_live(&t->fb.agents, now), "leaving",
		    (int)t->fb.leaving);
	t->ready = ready;
}

static bool
can_stop(const struct task_state *t, uint64_t now)
{
	uint64_t last = t->last_packet_ns > t->leaving_ns ? t->last_packet_ns
							  : t->leaving_ns;

	return t->leaving_ns != 0 &&
	       (now > last + DRAIN_QUIET_MS * NS_PER_MS ||
		   now > t->leaving_ns + t->node.set.grace_ms * NS_PER_MS);
}

static void
on_tick(void *ctx, uint64_t now)
{
	struct task_state *t = ctx;

	fb_tick(&t->fb, now);
	fetch_newer_config(t, now);
	fb_set_store_era(&t->fb, store_era(t->store));
	store_set_era(t->store, t->fb.store_era);
	store_watch_config(t->store, fb_should_query_store(&t->fb, now));
	store_watch_evacuations(
	    t->store, fb_should_watch_evacuations(&t->fb, now));
	if (fb_should_list_entries(&t->fb, now))
		store_list_members(t->store);
	announce_if_established(t, now);
	remove_dead_members(t, now);
	log_readiness(t, now);
	if (can_stop(t, now))
		sup_finish(&t->node.sup);
}

static void
on_reloaded(void *ctx)
{
	struct task_state *t = ctx;

	t->fb.setup.seed_count = t->node.seed_count;
}

/* ---- start and stop ---- */

static const struct flow_node_ops ops = {.message = on_message,
    .batch_done = on_batch_done,
    .tick = on_tick,
    .paused = on_paused,
    .reloaded = on_reloaded,
    .write_gauges = write_gauges,
    .handle_request = on_request};

static const struct store_callbacks store_callbacks = {.config = on_config,
    .evacuations = on_evacuations,
    .watch_state = on_watch_state,
    .announced = on_announced,
    .members = on_members};

static struct status
start(void *self)
{
	struct task_state *t = self;
	struct flow_node *n = &t->node;
	struct status st = flow_node_open(n, on_caller_packet);
	const struct fb_setup setup = {.id = n->id,
	    .incarnation = n->incarnation,
	    .domain = n->set.domain,
	    .seeds = n->seeds,
	    .seed_count = n->seed_count,
	    .hint_capacity = n->set.hint_capacity,
	    .capacity = n->set.capacity,
	    .seed = n->incarnation,
	    .evacuation_ms = n->set.evacuation_ms,
	    .cold_limits = settings_limit_cold(&n->set),
	    .remote_byte_price = n->set.remote_byte_price};

	if (st.code != STATUS_OK)
		return st;
	t->start_ns = flow_node_now();
	fb_init(&t->fb, &setup, &callbacks, t, &n->ctr, t->start_ns);
	t->store = flow_node_store(n, &store_callbacks, t);
	t->config_fetch = (struct config_fetch){.fetcher = n->fetcher,
	    .ctr = &n->ctr,
	    .read = on_config_fetched,
	    .ctx = t};
	t->entry.id = n->id;
	str_copy(t->entry.name, sizeof(t->entry.name), str_of(n->set.name));
	store_announce(t->store, &t->entry, n->set.domain);
	return st;
}

static void
stop(void *self)
{
	struct task_state *t = self;

	config_fetch_cancel(&t->config_fetch);
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
	    SETTINGS_FLOW_BALANCER, platform_ops, &ops, t);
	sup_init(&t->node.sup, t->node.loop, leave, t);
	sup_add(&t->node.sup, "flows", start, stop, t);
	rc = sup_run(&t->node.sup);
	uv_loop_close(t->node.loop);
	fb_clear(&t->fb);
	free(t->encoded_routes);
	free(t);
	return rc;
}
