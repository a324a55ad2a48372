#include "task/flow_node.h"

#include "base/clock.h"
#include "base/event.h"
#include "base/rng.h"

#include <signal.h>
#include <stdio.h>
#include <string.h>
#include <unistd.h>

/** Period of the tick in ms; equals FB_TICK_MS and FA_TICK_MS. */
#define TICK_MS 50
/** The machine counts as suspended when the boot clock, which runs on while it
 * sleeps, gains at least this much in ns on the monotonic clock. */
#define SUSPENSION_MIN_NS (100 * NS_PER_MS)
/** Size in bytes of the buffer for the text of all metrics. */
#define METRICS_MAX 32768
#define METRICS_PATH "/metrics"

uint64_t
flow_node_now(void)
{
	struct clock c = clock_system();

	return clock_now_ns(&c);
}

/* All processes use the same control port, so only a seed's IP is used. */
static void
set_seeds(struct flow_node *n)
{
	n->seed_count = n->set.seed_count;
	for (size_t i = 0; i < n->seed_count; i++)
		n->seeds[i] = addr_pack(
		    (struct addr){n->set.seeds[i].ip, n->set.address.port});
}

void
flow_node_init(struct flow_node *n, uv_loop_t *loop, const struct settings *set,
    const char *settings_path, enum settings_use use,
    const struct platform_ops *platform_ops, const struct flow_node_ops *ops,
    void *ctx)
{
	*n = (struct flow_node){.loop = loop,
	    .set = *set,
	    .settings_path = settings_path,
	    .use = use,
	    .platform_ops = platform_ops,
	    .ops = ops,
	    .ctx = ctx};
	n->id = addr_pack(set->address);
	n->incarnation = rng_system_seed() | 1;
	set_seeds(n);
	event_init(STDOUT_FILENO, set->log_lines_per_s);
	event_flush(flow_node_now());
}

/* ---- sending and receiving ---- */

void
flow_node_send(struct flow_node *n, uint64_t to, const struct flow_msg *m)
{
	uint8_t buf[FLOW_WIRE_MAX];
	size_t len = flow_wire_encode(m, buf, sizeof(buf));

	if (len == 0)
		return;
	ctr_add(&n->ctr, CTR_CONTROL_OUT, len);
	udp_send(&n->control, addr_unpack(to), (struct str){(char *)buf, len});
}

void
flow_node_reset(struct flow_node *n, const struct flow_key *flow, uint32_t ack)
{
	char buf[FLOW_PACKET_MAX];
	size_t len = n->platform_ops->write_reset(flow, ack, buf, sizeof(buf));
	struct addr to = {addr_unpack(flow->caller).ip, n->set.packets.port};

	udp_send(&n->packets, to, (struct str){buf, len});
}

static void
on_control(void *ctx, struct str frame, struct addr src)
{
	struct flow_node *n = ctx;
	struct flow_msg m;

	(void)src;
	ctr_add(&n->ctr, CTR_CONTROL_IN, frame.len);
	if (flow_wire_decode(frame, &n->arena, &m))
		n->ops->message(n->ctx, &m, flow_node_now());
	else
		ctr_inc(&n->ctr, CTR_DROP_MALFORMED);
}

/* ---- metrics ---- */

static size_t
write_metrics(struct flow_node *n, char *buf, size_t cap)
{
	size_t len = 0;

	n->ctr.value[CTR_EVENTS_DROPPED] = event_dropped_count();
	for (int i = 0; i < CTR_COUNT; i++) {
		int w = snprintf(buf + len, cap - len,
		    "# HELP pw_%s_total %s\n# TYPE pw_%s_total counter\n"
		    "pw_%s_total %llu\n",
		    ctr_name((enum counter)i), ctr_help((enum counter)i),
		    ctr_name((enum counter)i), ctr_name((enum counter)i),
		    (unsigned long long)n->ctr.value[i]);

		if (w < 0 || (size_t)w >= cap - len)
			break;
		len += (size_t)w;
	}
	return len + n->ops->write_gauges(
			 n->ctx, buf + len, cap - len, flow_node_now());
}

static void
on_request(
    void *ctx, const struct web_request *request, struct web_response *response)
{
	static char text[METRICS_MAX];
	struct flow_node *n = ctx;

	if (!str_is(request->path, METRICS_PATH)) {
		n->ops->handle_request(n->ctx, request, response);
		return;
	}
	response->status = 200;
	response->type = "text/plain; version=0.0.4";
	response->body =
	    (struct str){text, write_metrics(n, text, sizeof(text))};
}

/* ---- time ---- */

static void
on_tick(uv_timer_t *t)
{
	struct flow_node *n = t->data;
	uint64_t now = flow_node_now();
	uint64_t boot_lead_ns = clock_boot_ns() - now;

	if (boot_lead_ns > n->boot_lead_ns + SUSPENSION_MIN_NS)
		n->ops->paused(
		    n->ctx, (boot_lead_ns - n->boot_lead_ns) / NS_PER_MS, now);
	n->boot_lead_ns = boot_lead_ns;
	n->ops->tick(n->ctx, now);
	event_flush(now);
}

static void
on_poll_check(uv_check_t *h)
{
	struct flow_node *n = h->data;

	n->ops->batch_done(n->ctx);
}

static void
on_poll_prepare(uv_prepare_t *h)
{
	struct flow_node *n = h->data;

	n->ops->batch_done(n->ctx);
}

static void
start_batch_hooks(struct flow_node *n)
{
	uv_check_init(n->loop, &n->poll_check);
	uv_prepare_init(n->loop, &n->poll_prepare);
	n->poll_check.data = n;
	n->poll_prepare.data = n;
	if (n->ops->batch_done == NULL)
		return;
	uv_check_start(&n->poll_check, on_poll_check);
	uv_prepare_start(&n->poll_prepare, on_poll_prepare);
}

static void
on_hup(uv_signal_t *sig, int number)
{
	struct flow_node *n = sig->data;
	struct settings set;
	struct status st = settings_load(&set, n->settings_path, n->use);

	(void)number;
	if (st.code != STATUS_OK) {
		event("reload_failed", "s:s", "error", st.message);
		return;
	}
	/* Settings of sockets take effect at the next start alone. */
	memcpy(n->set.seeds, set.seeds, sizeof(set.seeds));
	n->set.seed_count = set.seed_count;
	n->set.word_period_ms = set.word_period_ms;
	n->set.flow_life_ms = set.flow_life_ms;
	set_seeds(n);
	event("reloaded", "s:i, s:I, s:i", "seeds", (int)n->seed_count,
	    "flow_life_ms", (json_int_t)set.flow_life_ms, "word_period_ms",
	    (int)set.word_period_ms);
	n->ops->reloaded(n->ctx);
}

/* ---- start and stop ---- */

static struct status
open_sockets(struct flow_node *n,
    void (*on_packet)(void *ctx, struct str dgram, struct addr src))
{
	struct status st =
	    udp_open(&n->control, n->loop, n->set.address, on_control, n);

	if (st.code == STATUS_OK)
		st = udp_open(
		    &n->packets, n->loop, n->set.packets, on_packet, n->ctx);
	if (st.code == STATUS_OK)
		st = web_open(
		    &n->internal, n->loop, n->set.address, on_request, n);
	if (st.code == STATUS_OK)
		st = web_open(
		    &n->readiness, n->loop, n->set.readiness, on_request, n);
	if (st.code == STATUS_OK && n->set.metrics.port != 0)
		st = web_open(
		    &n->metrics, n->loop, n->set.metrics, on_request, n);
	return st;
}

struct status
flow_node_open(struct flow_node *n,
    void (*on_packet)(void *ctx, struct str dgram, struct addr src))
{
	struct status st = open_sockets(n, on_packet);

	if (st.code != STATUS_OK)
		return st;
	n->fetcher = fetcher_new(n->loop);
	n->boot_lead_ns = clock_boot_ns() - flow_node_now();
	uv_timer_init(n->loop, &n->tick);
	n->tick.data = n;
	/* The first tick, which contacts other processes, is due at once. */
	uv_timer_start(&n->tick, on_tick, 0, TICK_MS);
	uv_signal_init(n->loop, &n->hup);
	n->hup.data = n;
	uv_signal_start(&n->hup, on_hup, SIGHUP);
	start_batch_hooks(n);
	event("start", "s:s, s:s, s:I, s:i, s:I, s:i, s:i", "name", n->set.name,
	    "domain", n->set.domain, "incarnation", (json_int_t)n->incarnation,
	    "seeds", (int)n->seed_count, "flow_life_ms",
	    (json_int_t)n->set.flow_life_ms, "evacuation_ms",
	    (int)n->set.evacuation_ms, "cold_overage_milli",
	    (int)n->set.cold_overage_milli);
	return st;
}

void
flow_node_close(struct flow_node *n)
{
	event("stop", "s:s", "name", n->set.name);
	event_flush(flow_node_now());
	uv_close((uv_handle_t *)&n->tick, NULL);
	uv_close((uv_handle_t *)&n->hup, NULL);
	uv_close((uv_handle_t *)&n->poll_check, NULL);
	uv_close((uv_handle_t *)&n->poll_prepare, NULL);
	udp_close(&n->control, NULL);
	udp_close(&n->packets, NULL);
	web_close(&n->internal);
	web_close(&n->readiness);
	web_close(&n->metrics);
	fetcher_free(n->fetcher);
}

struct store *
flow_node_store(
    struct flow_node *n, const struct store_callbacks *callbacks, void *ctx)
{
	const struct store_setup setup = {.platform_ops = n->platform_ops,
	    .url = n->set.platform,
	    .calls_per_s = n->set.platform_calls_per_s,
	    .seed = rng_system_seed()};

	fetcher_keep_header(n->fetcher, n->platform_ops->era_header);
	return store_new(n->loop, n->fetcher, &setup, callbacks, ctx, &n->ctr);
}
