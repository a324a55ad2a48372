#include "testbed.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>

/** Heartbeat interval in ms; equals word_period_ms in the agents' settings. */
#define HEARTBEAT_PERIOD_MS 400
/** Time in ms after the drain response in which an opening is not yet late. */
#define DRAIN_OPENING_MAX_MS 1000
/** Time in ms from the start of draining until the target ends. */
#define DRAIN_MS 3000
/** Time in ms until an ended or crashed target restarts. */
#define RESTART_DELAY_MS 800

#define BIT_SYN 64U
#define BIT_ACK 2U
#define BIT_FIN 16U
#define BIT_RST 8U
#define BIT_BOUNCED 4U

struct flow {
	uint64_t caller;
	uint32_t seq;
	uint32_t first_seq; /**< of the SYN-ACK; equal for retransmitted SYNs */
	uint32_t caller_seq;
	UT_hash_handle hh;
};

struct target {
	struct testbed *testbed;
	size_t n;
	size_t service;
	struct udp udp;
	struct web health; /**< health endpoint, open while the target is up */
	uv_timer_t timer;
	uv_timer_t lifecycle_timer;
	struct flow *flows;
	uint32_t incarnation;
	uint32_t sequence;
	uint64_t started_ms;
	bool down;
	bool draining;
	uint64_t drain_acked_ms; /**< time of the agent's response, or 0 */
	uint64_t end_ms;
};

static struct target targets[TESTBED_TARGETS_MAX];

static void
free_flows(struct target *t)
{
	struct flow *f, *next;

	HASH_ITER(hh, t->flows, f, next)
	{
		HASH_DEL(t->flows, f);
		free(f);
	}
}

static void
send_to_agent(struct target *t, const struct testbed_packet *p)
{
	char buf[TESTBED_HEADER_LEN + 64];
	size_t len = testbed_packet_encode(p, buf);

	if (t->testbed->fault == FAULT_CORRUPTED)
		buf[0] ^= 1;
	udp_send(&t->udp,
	    testbed_addr(t->testbed, 2, (unsigned)t->n, PORT_TARGET_PACKETS),
	    (struct str){buf, len});
}

static void
send_response(struct target *t, const struct testbed_packet *in, struct flow *f,
    unsigned flags, const char *data)
{
	struct testbed_packet p = {.seq = f->seq,
	    .ack = in->seq + (uint32_t)strlen(in->data),
	    .src = in->dst,
	    .dst = in->src,
	    .flags = flags};

	snprintf(p.data, sizeof(p.data), "%s", data);
	f->seq += (uint32_t)strlen(data);
	send_to_agent(t, &p);
}

static void
handle_opening(struct target *t, const struct testbed_packet *p, struct flow *f)
{
	struct testbed *h = t->testbed;
	char data[64];

	h->counts.checks++;
	if (p->dst.ip != testbed_service_addr(t->service).ip)
		h->counts.misrouted++;
	if (h->fault == FAULT_LATE)
		t->drain_acked_ms = 1;
	if (t->drain_acked_ms != 0 &&
	    testbed_now_ms() > t->drain_acked_ms + DRAIN_OPENING_MAX_MS)
		h->counts.late_openings++;
	if (f == NULL) {
		f = mem_new(sizeof(*f));
		f->caller = addr_pack(p->src);
		HASH_ADD(hh, t->flows, caller, sizeof(f->caller), f);
	}
	if (f->first_seq == 0 || f->caller_seq != p->seq)
		f->first_seq = (uint32_t)rng_next(&h->rng) | 1;
	f->caller_seq = p->seq;
	f->seq = f->first_seq;
	/* Lets the caller check whether a RST is valid. */
	snprintf(data, sizeof(data), "%zu %u", t->n, t->incarnation);
	send_response(t, p, f, BIT_SYN | BIT_ACK, data);
}

static void
on_packet(void *ctx, struct str bytes, struct addr src)
{
	struct target *t = ctx;
	struct testbed_packet p;
	struct flow *f;
	uint64_t caller;

	(void)src;
	if (t->down || !testbed_packet_decode(t->testbed, bytes, &p))
		return;
	caller = addr_pack(p.src);
	HASH_FIND(hh, t->flows, &caller, sizeof(caller), f);
	if ((p.flags & BIT_SYN) != 0) {
		handle_opening(t, &p, f);
		return;
	}
	testbed_callers_record_packet(t->testbed, &p, t->n, f != NULL);
	if (f == NULL) {
		char copy[TESTBED_HEADER_LEN + 64];

		memcpy(copy, bytes.p, bytes.len);
		copy[26] = (char)(copy[26] | (char)BIT_BOUNCED);
		udp_send(&t->udp,
		    testbed_addr(
			t->testbed, 2, (unsigned)t->n, PORT_TARGET_PACKETS),
		    (struct str){copy, bytes.len});
		return;
	}
	if (p.data[0] != '\0')
		send_response(t, &p, f,
		    t->testbed->fault == FAULT_RESET ? BIT_RST : BIT_ACK,
		    t->testbed->fault == FAULT_MISMATCHED ? "r0.0.0" : p.data);
	if ((p.flags & BIT_FIN) != 0) {
		send_response(t, &p, f, BIT_FIN | BIT_ACK, "");
		HASH_DEL(t->flows, f);
		free(f);
	}
}

/* ---- lifecycle ---- */

static void
on_status_response(void *ctx, const struct fetch_result *r)
{
	struct target *t = ctx;

	if (r->outcome == FETCH_RESPONSE && r->status == 200 && t->draining &&
	    t->drain_acked_ms == 0)
		t->drain_acked_ms = testbed_now_ms();
}

static void
send_status(struct target *t, const char *method)
{
	char url[128], body[320], at[ADDR_TEXT_MAX], own[ADDR_TEXT_MAX];
	const struct fetch_request request = {
	    .method = method, .url = url, .body = body, .timeout_ms = 1000};

	snprintf(url, sizeof(url), "http://%s/v1/instances/t-%zu-%u",
	    addr_text(testbed_addr(t->testbed, 2, (unsigned)t->n,
			  PORT_TARGET_HEARTBEATS),
		at),
	    t->n, t->incarnation);
	snprintf(body, sizeof(body),
	    "{\"service\":\"%s\",\"address\":\"%s\",\"zone\":\"z\","
	    "\"version\":\"v1\",\"slots\":4,\"state\":\"%s\","
	    "\"cold_remaining_ms\":0,\"sequence\":%u,\"born\":%llu}",
	    testbed_service_name(t->service),
	    addr_text(
		testbed_addr(t->testbed, 3, (unsigned)t->n, PORT_TARGET), own),
	    t->draining ? "draining" : "ready", ++t->sequence,
	    (unsigned long long)t->started_ms);
	fetch_start(t->testbed->fetcher, &request, on_status_response, t);
}

static void
on_heartbeat_timer(uv_timer_t *timer)
{
	struct target *t = timer->data;

	if (!t->down)
		send_status(t, "PUT");
}

static void
on_health(
    void *ctx, const struct web_request *request, struct web_response *out)
{
	(void)ctx;
	(void)request;
	out->status = 200;
}

static void
start_target(struct target *t)
{
	struct status st = web_open(&t->health, t->testbed->loop,
	    testbed_addr(t->testbed, 3, (unsigned)t->n, PORT_TARGET), on_health,
	    t);

	if (st.code != STATUS_OK)
		fprintf(stderr, "target: %s\n", st.message);
	t->down = false;
	t->draining = false;
	t->drain_acked_ms = 0;
	t->sequence = 0;
	t->incarnation++;
	t->started_ms = 1000000 + testbed_now_ms();
}

static void on_lifecycle_timer(uv_timer_t *timer);

static void
stop_target(struct target *t)
{
	t->down = true;
	web_close(&t->health);
	free_flows(t);
	uv_timer_start(
	    &t->lifecycle_timer, on_lifecycle_timer, RESTART_DELAY_MS, 0);
}

static void
on_lifecycle_timer(uv_timer_t *timer)
{
	struct target *t = timer->data;

	if (t->down) {
		start_target(t);
		return;
	}
	/* The drain time is over. */
	send_status(t, "DELETE");
	stop_target(t);
}

void
testbed_target_drain(size_t n)
{
	struct target *t = &targets[n];

	if (t->down || t->draining)
		return;
	t->draining = true;
	send_status(t, "PUT");
	uv_timer_start(&t->lifecycle_timer, on_lifecycle_timer, DRAIN_MS, 0);
}

void
testbed_target_crash(size_t n)
{
	struct target *t = &targets[n];

	if (!t->down)
		stop_target(t);
}

bool
testbed_target_is_alive(size_t n, uint32_t incarnation)
{
	return n < TESTBED_TARGETS_MAX &&
	       targets[n].incarnation == incarnation && !targets[n].down &&
	       !targets[n].draining;
}

void
testbed_targets_open(struct testbed *h)
{
	for (size_t i = 0; i < h->targets; i++) {
		struct target *t = &targets[i];
		struct status st;

		t->testbed = h;
		t->n = i;
		t->service = i % TESTBED_SERVICES;
		st = udp_open(&t->udp, h->loop,
		    testbed_addr(h, 3, (unsigned)i, PORT_TARGET), on_packet, t);
		if (st.code != STATUS_OK) {
			fprintf(stderr, "target: %s\n", st.message);
			exit(1);
		}
		start_target(t);
		uv_timer_init(h->loop, &t->timer);
		uv_timer_init(h->loop, &t->lifecycle_timer);
		t->timer.data = t;
		t->lifecycle_timer.data = t;
		uv_timer_start(&t->timer, on_heartbeat_timer,
		    i * 7 % HEARTBEAT_PERIOD_MS, HEARTBEAT_PERIOD_MS);
	}
}
