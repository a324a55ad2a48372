#include "task/flow_agent_task.h"

#include "base/clock.h"
#include "base/event.h"
#include "codec/snapshot_wire.h"
#include "flow/agent.h"
#include "flow/isolation.h"
#include "task/config_fetch.h"
#include "task/flow_node.h"
#include "task/target_check.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>

struct task_state {
	struct flow_node node;
	struct fa fa;
	struct store *store;
	struct udp target;	    /**< socket for the target's packets */
	struct target_check *check; /**< NULL when none runs */
	uv_timer_t release_timer;   /**< delivers held requests in time */
	uint64_t release_ns;	    /**< when it is due; UINT64_MAX: not set */
	struct web target_web; /**< HTTP server for the target's heartbeats */
	struct isolation isolation;
	struct config_fetch config_fetch;
	uint8_t *routes; /**< encoded copy for balancers; NULL for none */
	size_t routes_len;
};

/* ---- packets ---- */

static void
on_caller_packet(void *ctx, struct str dgram, struct addr src)
{
	struct task_state *t = ctx;
	struct flow_packet p;

	if (t->node.platform_ops->read_packet(dgram, FLOW_FROM_CALLER, &p))
		fa_handle_caller_packet(
		    &t->fa, addr_pack(src), &p, flow_node_now());
	else
		ctr_inc(&t->node.ctr, CTR_DROP_MALFORMED);
}

static void
on_target_packet(void *ctx, struct str dgram, struct addr src)
{
	struct task_state *t = ctx;
	struct flow_packet p;

	(void)src;
	if (t->node.platform_ops->read_packet(dgram, FLOW_FROM_TARGET, &p))
		fa_handle_target_packet(&t->fa, &p, flow_node_now());
	else
		ctr_inc(&t->node.ctr, CTR_DROP_MALFORMED);
}

static void
send_to_target(void *ctx, const struct flow_packet *p)
{
	struct task_state *t = ctx;

	udp_send(&t->target, t->node.set.target, p->bytes);
}

static void
send_to_caller(void *ctx, const struct flow_packet *p)
{
	struct task_state *t = ctx;
	struct addr to = {
	    addr_unpack(p->flow.caller).ip, t->node.set.packets.port};

	udp_send(&t->node.packets, to, p->bytes);
}

static void
send_reset(void *ctx, const struct flow_key *flow, uint32_t ack)
{
	struct task_state *t = ctx;

	flow_node_reset(&t->node, flow, ack);
}

/* ---- held requests ---- */

static void
on_release_timer(uv_timer_t *timer)
{
	struct task_state *t = timer->data;

	t->release_ns = UINT64_MAX;
	fa_release_due(&t->fa, flow_node_now());
}

/* Sets the timer, once for all packets that were read together. */
static void
on_batch_done(void *ctx)
{
	struct task_state *t = ctx;
	uint64_t next_ns = fa_next_release_ns(&t->fa);
	uint64_t now, ms;

	if (next_ns == t->release_ns)
		return;
	t->release_ns = next_ns;
	if (next_ns == UINT64_MAX) {
		uv_timer_stop(&t->release_timer);
		return;
	}
	now = flow_node_now();
	ms = next_ns > now ? (next_ns - now + NS_PER_MS - 1) / NS_PER_MS : 0;
	uv_timer_start(&t->release_timer, on_release_timer, ms, 0);
}

/* ---- checking whether the target listens ---- */

static void
on_check_done(void *ctx, enum fa_check_result result)
{
	struct task_state *t = ctx;

	t->check = NULL;
	fa_handle_check_result(&t->fa, result, flow_node_now());
}

static void
check_target(void *ctx)
{
	struct task_state *t = ctx;

	t->check = target_check_start(
	    t->node.loop, t->node.set.target, on_check_done, t);
}

static void
send_message(void *ctx, uint64_t to, const struct flow_msg *m)
{
	struct task_state *t = ctx;

	flow_node_send(&t->node, to, m);
}

/* ---- snapshots ---- */

/*
 * The record is named after the target's address: incarnations at one address
 * follow each other, and there are no more records than addresses.
 */
static void
read_snapshot(struct task_state *t)
{
	char name[ADDR_TEXT_MAX];

	addr_text(t->node.set.target, name);
	store_read_record(t->store, name);
}

static void
on_record_read(void *ctx, struct str record)
{
	struct task_state *t = ctx;
	struct snapshot s = {0};

	if (record.len > 0 && !snapshot_wire_decode(record, &s))
		event("record_malformed", "s:s", "error",
		    "cannot decode the snapshot of the flows");
	fa_handle_stored_snapshot(&t->fa, &s, flow_node_now());
}

static void
write_snapshot(void *ctx, const struct snapshot *s)
{
	struct task_state *t = ctx;
	size_t len;
	uint8_t *bytes = snapshot_wire_encode(s, &len);

	store_write_record(t->store, (struct str){(char *)bytes, len});
	free(bytes);
}

static void
on_record_written(void *ctx, bool ok)
{
	struct task_state *t = ctx;

	fa_handle_snapshot_written(&t->fa, ok);
}

static const struct fa_callbacks callbacks = {.deliver = send_to_target,
    .answer = send_to_caller,
    .reset = send_reset,
    .check_target = check_target,
    .send = send_message,
    .write_snapshot = write_snapshot};

/* ---- HTTP requests ---- */

static void
on_heartbeat(
    void *ctx, const struct web_request *request, struct web_response *response)
{
	struct task_state *t = ctx;
	struct target_heartbeat w;
	struct status st = t->node.platform_ops->read_heartbeat(
	    request->method, request->path, request->body, &w);

	response->type = "application/json";
	response->body = str_of(t->node.platform_ops->heartbeat_response);
	if (st.code != STATUS_OK) {
		ctr_inc(&t->node.ctr, CTR_TARGET_HEARTBEATS_BAD);
		event("target_heartbeat_malformed", "s:s", "error", st.message);
		response->status = st.code == STATUS_DENIED ? 404 : 400;
		return;
	}
	fa_handle_target_heartbeat(&t->fa, &w, flow_node_now());
	response->status = 200;
}

static void
on_request(
    void *ctx, const struct web_request *request, struct web_response *response)
{
	struct task_state *t = ctx;

	if (str_is(request->path, t->node.platform_ops->ready_path)) {
		response->status = t->fa.leaving_ns == 0 ? 200 : 503;
	} else if (str_is(request->path, CONFIG_FETCH_PATH) &&
		   t->routes != NULL) {
		response->status = 200;
		response->type = CONFIG_FETCH_TYPE;
		response->body = (struct str){(char *)t->routes, t->routes_len};
	}
}

static size_t
write_gauges(void *ctx, char *buf, size_t cap, uint64_t now)
{
	struct task_state *t = ctx;
	size_t len;
	int n = snprintf(buf, cap,
	    "# TYPE pw_flows gauge\npw_flows %u\n"
	    "# TYPE pw_requests_waiting gauge\npw_requests_waiting %u\n"
	    "# TYPE pw_requests_queued gauge\npw_requests_queued %u\n"
	    "# TYPE pw_target_state gauge\npw_target_state %d\n"
	    "# TYPE pw_target_word_age_ms gauge\npw_target_word_age_ms %llu\n"
	    "# TYPE pw_target_failing_milli gauge\npw_target_failing_milli %u\n"
	    "# TYPE pw_target_work_us gauge\npw_target_work_us %u\n"
	    "# TYPE pw_target_work_samples gauge\npw_target_work_samples %u\n"
	    "# TYPE pw_balancers gauge\npw_balancers %zu\n",
	    t->fa.flows.open, t->fa.flows.waiting, rq_count(&t->fa.flows.queue),
	    (int)t->fa.reported_state,
	    (unsigned long long)((now - t->fa.target.heartbeat_ns) / NS_PER_MS),
	    failure_rate_milli(&t->fa.failing, now),
	    work_time_mean_us(&t->fa.work), work_time_samples(&t->fa.work),
	    peers_count(&t->fa.peers));

	if (n < 0 || (size_t)n >= cap)
		return 0;
	len = (size_t)n;
	len += latency_write(&t->fa.opening, "opening", buf + len, cap - len);
	len += latency_write(&t->fa.wait, "request_wait", buf + len, cap - len);
	len += latency_write(&t->fa.held, "request_held", buf + len, cap - len);
	return len;
}

/* ---- copy of the configuration ---- */

static void
on_config_fetched(void *ctx, struct routes *routes, struct str encoded)
{
	struct task_state *t = ctx;

	if (routes->version <= t->fa.routes_version)
		return;
	free(t->routes);
	t->routes = str_dup(encoded);
	t->routes_len = encoded.len;
	fa_set_routes_version(&t->fa, routes->version);
}

/* ---- members ---- */

static void
on_members(void *ctx, const struct balancer_entries *list)
{
	struct task_state *t = ctx;

	for (size_t i = 0; i < list->count; i++)
		fa_contact_balancer(&t->fa, list->items[i].id, flow_node_now());
}

/* ---- time ---- */

static void
on_message(void *ctx, const struct flow_msg *m, uint64_t now)
{
	struct task_state *t = ctx;

	t->isolation.last_message_ns = now;
	fa_handle_message(&t->fa, m, now);
	config_fetch_start(
	    &t->config_fetch, fa_take_routes_source(&t->fa), now);
}

static void
on_paused(void *ctx, uint64_t gap_ms, uint64_t now)
{
	struct task_state *t = ctx;

	fa_handle_pause(&t->fa, gap_ms, now);
}

static void
on_tick(void *ctx, uint64_t now)
{
	struct task_state *t = ctx;

	fa_tick(&t->fa, now);
	if (isolation_should_look_up(
		&t->isolation, fa_list_query_period_ms(&t->fa), now))
		store_list_members(t->store);
	if (fa_has_left(&t->fa, now))
		sup_finish(&t->node.sup);
}

static void
on_reloaded(void *ctx)
{
	struct task_state *t = ctx;

	t->fa.setup.seed_count = t->node.seed_count;
	t->fa.setup.flow_life_ms = t->node.set.flow_life_ms;
	t->fa.target.period_ms = t->node.set.word_period_ms;
}

/* ---- start and stop ---- */

static const struct flow_node_ops ops = {.message = on_message,
    .batch_done = on_batch_done,
    .tick = on_tick,
    .paused = on_paused,
    .reloaded = on_reloaded,
    .write_gauges = write_gauges,
    .handle_request = on_request};

static const struct store_callbacks store_callbacks = {.members = on_members,
    .record_read = on_record_read,
    .record_written = on_record_written};

static struct status
start(void *self)
{
	struct task_state *t = self;
	struct flow_node *n = &t->node;
	const struct fa_setup setup = {.id = n->id,
	    .incarnation = n->incarnation,
	    .data_port = n->set.packets.port,
	    .domain = n->set.domain,
	    .service = n->set.service,
	    .target = n->set.target,
	    .word_period_ms = n->set.word_period_ms,
	    .flow_life_ms = n->set.flow_life_ms,
	    .flow_capacity = n->set.flow_capacity,
	    .seeds = n->seeds,
	    .seed_count = n->seed_count,
	    .evacuation_ms = n->set.evacuation_ms,
	    .cold = {.active = settings_limit_cold(&n->set),
		.overage_milli = n->set.cold_overage_milli,
		.slack = n->set.cold_slack}};
	struct status st;

	/* flow_node_open() starts the calls of on_batch_done(). */
	t->release_ns = UINT64_MAX;
	uv_timer_init(n->loop, &t->release_timer);
	t->release_timer.data = t;
	st = flow_node_open(n, on_caller_packet);
	if (st.code != STATUS_OK)
		return st;
	t->isolation.started_ns = flow_node_now();
	fa_init(
	    &t->fa, &setup, &callbacks, t, &n->ctr, t->isolation.started_ns);
	t->store = flow_node_store(n, &store_callbacks, t);
	t->config_fetch = (struct config_fetch){.fetcher = n->fetcher,
	    .ctr = &n->ctr,
	    .read = on_config_fetched,
	    .ctx = t};
	read_snapshot(t);
	st = udp_open(
	    &t->target, n->loop, n->set.target_packets, on_target_packet, t);
	if (st.code == STATUS_OK)
		st = web_open(&t->target_web, n->loop, n->set.target_heartbeats,
		    on_heartbeat, t);
	return st;
}

static void
stop(void *self)
{
	struct task_state *t = self;

	target_check_cancel(t->check);
	store_free(t->store);
	config_fetch_cancel(&t->config_fetch);
	uv_close((uv_handle_t *)&t->release_timer, NULL);
	udp_close(&t->target, NULL);
	web_close(&t->target_web);
	flow_node_close(&t->node);
}

static void
leave(void *ctx)
{
	struct task_state *t = ctx;

	event("leaving", "s:i, s:i", "flows", (int)t->fa.flows.open, "waiting",
	    (int)t->fa.flows.waiting);
	fa_leave(&t->fa, flow_node_now());
}

int
flow_agent_run(const struct settings *set, const char *settings_path,
    const struct platform_ops *platform_ops)
{
	struct task_state *t = mem_new(sizeof(*t));
	int rc;

	flow_node_init(&t->node, uv_default_loop(), set, settings_path,
	    SETTINGS_FLOW_AGENT, platform_ops, &ops, t);
	sup_init(&t->node.sup, t->node.loop, leave, t);
	sup_add(&t->node.sup, "flows", start, stop, t);
	rc = sup_run(&t->node.sup);
	uv_loop_close(t->node.loop);
	fa_clear(&t->fa);
	free(t->routes);
	free(t);
	return rc;
}
