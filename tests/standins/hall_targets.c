#include "hall.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>

/** Heartbeat, ms; see word_period_ms in the agents' settings. */
#define WORD_MS 400
/** An opening later than this after the agent knew of the leave is late, ms. */
#define LEAVE_BOUND_MS 1000
/** A target that leaves ends after this, ms. */
#define LEAVE_MS 3000
/** An ended or crashed target starts anew after this, ms. */
#define DOWN_MS 800

#define BIT_SYN 64U
#define BIT_ACK 2U
#define BIT_FIN 16U
#define BIT_RST 8U
#define BIT_BOUNCED 4U

struct held {
	uint64_t caller;
	uint32_t seq;
	uint32_t first_seq; /**< the same for each copy of the opening */
	uint32_t caller_seq;
	UT_hash_handle hh;
};

struct target {
	struct hall *hall;
	size_t n;
	size_t service;
	struct udp udp;
	struct web health; /**< open while it lives */
	uv_timer_t timer;
	uv_timer_t turn;
	struct held *flows;
	uint32_t life;
	uint32_t sequence;
	uint64_t born_ms;
	bool down;
	bool leaving;
	uint64_t told_ms; /**< when the agent acknowledged the leave, or 0 */
	uint64_t end_ms;
};

static struct target targets[HALL_TARGETS_MAX];

static void
forget_flows(struct target *t)
{
	struct held *f, *next;

	HASH_ITER(hh, t->flows, f, next)
	{
		HASH_DEL(t->flows, f);
		free(f);
	}
}

static void
send_out(struct target *t, const struct hall_packet *p)
{
	char buf[HALL_HEAD + 64];
	size_t len = hall_write(p, buf);

	if (t->hall->broken == BROKEN_CHANGED)
		buf[0] ^= 1;
	udp_send(&t->udp, hall_addr(t->hall, 2, (unsigned)t->n, PORT_OUT),
	    (struct str){buf, len});
}

static void
answer(struct target *t, const struct hall_packet *in, struct held *f,
    unsigned flags, const char *data)
{
	struct hall_packet p = {.seq = f->seq,
	    .ack = in->seq + (uint32_t)strlen(in->data),
	    .src = in->dst,
	    .dst = in->src,
	    .flags = flags};

	snprintf(p.data, sizeof(p.data), "%s", data);
	f->seq += (uint32_t)strlen(data);
	send_out(t, &p);
}

static void
on_open(struct target *t, const struct hall_packet *p, struct held *f)
{
	struct hall *h = t->hall;
	char data[64];

	h->counts.checks++;
	if (p->dst.ip != hall_service_addr(t->service).ip)
		h->counts.misrouted++;
	if (h->broken == BROKEN_LATE)
		t->told_ms = 1;
	if (t->told_ms != 0 && hall_now_ms() > t->told_ms + LEAVE_BOUND_MS)
		h->counts.late++;
	if (f == NULL) {
		f = mem_new(sizeof(*f));
		f->caller = addr_pack(p->src);
		HASH_ADD(hh, t->flows, caller, sizeof(f->caller), f);
	}
	if (f->first_seq == 0 || f->caller_seq != p->seq)
		f->first_seq = (uint32_t)rng_next(&h->rng) | 1;
	f->caller_seq = p->seq;
	f->seq = f->first_seq;
	/* Who accepted, so that the caller can tell a false reset. */
	snprintf(data, sizeof(data), "%zu %u", t->n, t->life);
	answer(t, p, f, BIT_SYN | BIT_ACK, data);
}

static void
on_packet(void *ctx, struct str bytes, struct addr src)
{
	struct target *t = ctx;
	struct hall_packet p;
	struct held *f;
	uint64_t caller;

	(void)src;
	if (t->down || !hall_read(t->hall, bytes, &p))
		return;
	caller = addr_pack(p.src);
	HASH_FIND(hh, t->flows, &caller, sizeof(caller), f);
	if ((p.flags & BIT_SYN) != 0) {
		on_open(t, &p, f);
		return;
	}
	if (f == NULL) {
		char copy[HALL_HEAD + 64];

		memcpy(copy, bytes.p, bytes.len);
		copy[26] = (char)(copy[26] | (char)BIT_BOUNCED);
		udp_send(&t->udp,
		    hall_addr(t->hall, 2, (unsigned)t->n, PORT_OUT),
		    (struct str){copy, bytes.len});
		return;
	}
	if (p.data[0] != '\0')
		answer(t, &p, f,
		    t->hall->broken == BROKEN_RESET ? BIT_RST : BIT_ACK,
		    t->hall->broken == BROKEN_MIXED ? "r0.0.0" : p.data);
	if ((p.flags & BIT_FIN) != 0) {
		answer(t, &p, f, BIT_FIN | BIT_ACK, "");
		HASH_DEL(t->flows, f);
		free(f);
	}
}

/* ---- life ---- */

static void
on_told(void *ctx, const struct fetch_result *r)
{
	struct target *t = ctx;

	if (r->curl == CURLE_OK && r->status == 200 && t->leaving &&
	    t->told_ms == 0)
		t->told_ms = hall_now_ms();
}

static void
say(struct target *t, const char *method)
{
	char url[128], body[320], at[ADDR_TEXT_MAX], own[ADDR_TEXT_MAX];
	const struct fetch_request ask = {
	    .method = method, .url = url, .body = body, .timeout_ms = 1000};

	snprintf(url, sizeof(url), "http://%s/v1/instances/t-%zu-%u",
	    addr_text(hall_addr(t->hall, 2, (unsigned)t->n, PORT_WORDS), at),
	    t->n, t->life);
	snprintf(body, sizeof(body),
	    "{\"service\":\"%s\",\"address\":\"%s\",\"zone\":\"z\","
	    "\"version\":\"v1\",\"slots\":4,\"state\":\"%s\","
	    "\"cold_remaining_ms\":0,\"sequence\":%u,\"born\":%llu}",
	    hall_service_name(t->service),
	    addr_text(hall_addr(t->hall, 3, (unsigned)t->n, PORT_TARGET), own),
	    t->leaving ? "draining" : "ready", ++t->sequence,
	    (unsigned long long)t->born_ms);
	fetch_start(t->hall->fetcher, &ask, on_told, t);
}

static void
on_word(uv_timer_t *timer)
{
	struct target *t = timer->data;

	if (!t->down)
		say(t, "PUT");
}

static void
on_health(void *ctx, const struct web_request *call, struct web_response *out)
{
	(void)ctx;
	(void)call;
	out->status = 200;
}

static void
begin_life(struct target *t)
{
	struct status st = web_open(&t->health, t->hall->loop,
	    hall_addr(t->hall, 3, (unsigned)t->n, PORT_TARGET), on_health, t);

	if (st.code != STATUS_OK)
		fprintf(stderr, "target: %s\n", st.message);
	t->down = false;
	t->leaving = false;
	t->told_ms = 0;
	t->sequence = 0;
	t->life++;
	t->born_ms = 1000000 + hall_now_ms();
}

static void on_turn(uv_timer_t *timer);

static void
end_life(struct target *t)
{
	t->down = true;
	web_close(&t->health);
	forget_flows(t);
	uv_timer_start(&t->turn, on_turn, DOWN_MS, 0);
}

static void
on_turn(uv_timer_t *timer)
{
	struct target *t = timer->data;

	if (t->down) {
		begin_life(t);
		return;
	}
	/* It leaves, and its time is over. */
	say(t, "DELETE");
	end_life(t);
}

void
hall_target_leave(size_t n)
{
	struct target *t = &targets[n];

	if (t->down || t->leaving)
		return;
	t->leaving = true;
	say(t, "PUT");
	uv_timer_start(&t->turn, on_turn, LEAVE_MS, 0);
}

void
hall_target_crash(size_t n)
{
	struct target *t = &targets[n];

	if (!t->down)
		end_life(t);
}

bool
hall_target_lives(size_t n, uint32_t life)
{
	return n < HALL_TARGETS_MAX && targets[n].life == life &&
	       !targets[n].down && !targets[n].leaving;
}

void
hall_targets_open(struct hall *h)
{
	for (size_t i = 0; i < h->targets; i++) {
		struct target *t = &targets[i];
		struct status st;

		t->hall = h;
		t->n = i;
		t->service = i % HALL_SERVICES;
		st = udp_open(&t->udp, h->loop,
		    hall_addr(h, 3, (unsigned)i, PORT_TARGET), on_packet, t);
		if (st.code != STATUS_OK) {
			fprintf(stderr, "target: %s\n", st.message);
			exit(1);
		}
		begin_life(t);
		uv_timer_init(h->loop, &t->timer);
		uv_timer_init(h->loop, &t->turn);
		t->timer.data = t;
		t->turn.data = t;
		uv_timer_start(&t->timer, on_word, i * 7 % WORD_MS, WORD_MS);
	}
}
