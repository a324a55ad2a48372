#include "task/store.h"

#include "base/clock.h"
#include "base/event.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>

/** A watch waits for this long, ms: with the time-out below a watch that went
 * silent is noticed within the 4 s in which a machine counts as disturbed. */
#define WATCH_MS 3000U
/** A call that should be answered at once is given up after this, ms. */
#define CALL_MS 900L
/** The first read carries the whole configuration, over a slow link, ms. */
#define READ_MS 2500L
/** First and longest pause after a call that failed, ms. */
#define PAUSE_MS 100U
#define PAUSE_MAX_MS 1000U
/** A change is followed by this pause, ms: versions in quick succession are
 * taken together. A tenth of the bound within which one must be in force. */
#define SETTLE_MS 300U
/** Calls that the budget saves up. */
#define BURST UINT64_C(8)

/** One kind of call, repeated until it is done. */
struct errand {
	struct store *owner;
	const char *name; /**< for the log */
	struct fetch *call;
	uv_timer_t timer;
	unsigned failures;
	uint64_t began_ns;
	bool wanted;
	void (*run)(struct errand *e);
};

struct store {
	struct store_setup setup;
	const struct store_callbacks *events;
	void *ctx;
	struct counters *ctr;
	struct fetcher *fetcher;
	struct rng rng;
	struct errand config;
	struct errand announce;
	struct errand members;
	struct errand removal;
	unsigned open_handles;
	uint64_t credit_milli; /**< calls allowed, times 1000 */
	uint64_t credit_ns;
	uint64_t revision; /**< to watch from, 0 for none */
	bool watching;
	bool read_once;
	bool away; /**< the latest call failed */
	struct edge_member self;
	char domain[FLOW_NAME_MAX];
	char after[FLOW_NAME_MAX];
	struct edge_member dead;
};

static uint64_t
now_ns(void)
{
	struct clock c = clock_system();

	return clock_now_ns(&c);
}

/* ---- repeating ---- */

static void
on_pause_end(uv_timer_t *t)
{
	struct errand *e = t->data;

	if (e->wanted && e->call == NULL)
		e->run(e);
}

static void
run_after(struct errand *e, uint64_t ms)
{
	uv_timer_start(&e->timer, on_pause_end, ms, 0);
}

static uint64_t
pause_ms(struct errand *e)
{
	unsigned shift = e->failures < 5 ? e->failures : 5;
	uint64_t ms = (uint64_t)PAUSE_MS << shift;

	if (ms > PAUSE_MAX_MS)
		ms = PAUSE_MAX_MS;
	/* Spread, so that processes do not come back all at once. */
	return ms + rng_below(&e->owner->rng, ms / 2 + 1);
}

/* Whether the budget allows a call now; else the errand is put off. */
static bool
allowed(struct errand *e)
{
	struct store *s = e->owner;
	uint64_t now = now_ns();

	s->credit_milli +=
	    (now - s->credit_ns) * s->setup.calls_per_s / NS_PER_MS;
	s->credit_ns = now;
	if (s->credit_milli > BURST * 1000)
		s->credit_milli = BURST * 1000;
	if (s->credit_milli < 1000) {
		run_after(e, 1000 / s->setup.calls_per_s + 1);
		return false;
	}
	s->credit_milli -= 1000;
	return true;
}

static void
begin(struct errand *e, const char *method, const char *path, const char *body,
    long timeout_ms, fetch_done *done)
{
	char url[512];
	const struct fetch_request ask = {.method = method,
	    .url = url,
	    .body = body,
	    .timeout_ms = timeout_ms};

	snprintf(url, sizeof(url), "%s%s", e->owner->setup.url, path);
	ctr_inc(e->owner->ctr, CTR_PLATFORM_CALLS);
	e->began_ns = now_ns();
	e->call = fetch_start(e->owner->fetcher, &ask, done, e);
}

/*
 * Note how a call ended.
 * @return whether the store answered it; else the errand runs again later
 */
static bool
answered(struct errand *e, const struct fetch_result *r)
{
	struct store *s = e->owner;
	bool ok = r->curl == CURLE_OK && r->status < 500 && r->status != 429;

	e->call = NULL;
	if (!ok || s->away)
		event("store_call", "s:s, s:i, s:s, s:I, s:i", "call", e->name,
		    "status", (int)r->status, "error",
		    r->curl == CURLE_OK ? "" : curl_easy_strerror(r->curl),
		    "took_ms",
		    (json_int_t)((now_ns() - e->began_ns) / NS_PER_MS),
		    "failures", (int)e->failures);
	s->away = !ok;
	if (ok) {
		e->failures = 0;
		return true;
	}
	ctr_inc(s->ctr,
	    r->status == 429 ? CTR_PLATFORM_LIMITED : CTR_PLATFORM_ERRORS);
	e->failures++;
	run_after(e, pause_ms(e));
	return false;
}

/* ---- configuration ---- */

static void
take_config(struct errand *e, const struct fetch_result *r)
{
	struct store *s = e->owner;
	struct edge_config c;
	struct status st =
	    s->setup.edge->read_config((struct str){r->body, r->len}, &c);

	if (st.code != STATUS_OK) {
		ctr_inc(s->ctr, CTR_CONFIG_BAD);
		event("configuration_malformed", "s:s", "error", st.message);
		s->revision = 0;
		e->failures++;
		run_after(e, pause_ms(e));
		return;
	}
	if (c.revision != 0)
		s->revision = c.revision;
	if (c.routes.version != 0) {
		s->read_once = true;
		s->events->config(s->ctx, &c);
		run_after(e, SETTLE_MS);
	} else if (!s->read_once) {
		/* The operator has not written a first version yet. */
		s->revision = 0;
		e->failures++;
		run_after(e, pause_ms(e));
	} else {
		run_after(e, 0);
	}
	routes_clear(&c.routes);
}

static void
on_config(void *ctx, const struct fetch_result *r)
{
	struct errand *e = ctx;

	if (!answered(e, r)) {
		/* The changes may have to be read whole. */
		return;
	}
	if (r->status == 200) {
		take_config(e, r);
		return;
	}
	event("store_history_gone", "s:i, s:I", "status", (int)r->status,
	    "revision", (json_int_t)e->owner->revision);
	e->owner->revision = 0;
	if (r->status != 410)
		e->failures++;
	run_after(e, r->status == 410 ? 0 : pause_ms(e));
}

static void
run_config(struct errand *e)
{
	struct store *s = e->owner;
	char path[EDGE_PATH_MAX];
	bool wait = s->watching && s->read_once && s->revision != 0;

	if (s->read_once && !s->watching) {
		e->wanted = false;
		return;
	}
	if (!allowed(e))
		return;
	if (wait)
		s->setup.edge->watch_path(s->revision, WATCH_MS, path);
	else
		s->setup.edge->config_path(path);
	begin(e, NULL, path, NULL, wait ? (long)WATCH_MS + CALL_MS : READ_MS,
	    on_config);
}

static void
want(struct errand *e)
{
	e->wanted = true;
	if (e->call == NULL && !uv_is_active((uv_handle_t *)&e->timer))
		run_after(e, 0);
}

void
store_watch_config(struct store *s, bool on)
{
	if (s->watching == on)
		return;
	s->watching = on;
	event("watch", "s:b, s:I", "on", (int)on, "revision",
	    (json_int_t)s->revision);
	if (on)
		want(&s->config);
}

void
store_restart_watch(struct store *s)
{
	if (s->config.call == NULL)
		return;
	fetch_cancel(s->config.call);
	s->config.call = NULL;
	run_after(&s->config, 0);
}

/* ---- own entry ---- */

static void
on_announced(void *ctx, const struct fetch_result *r)
{
	struct errand *e = ctx;
	struct store *s = e->owner;
	struct edge_member there;

	if (!answered(e, r))
		return;
	e->wanted = false;
	if (r->status / 100 == 2)
		return;
	if (r->status == 409 &&
	    s->setup.edge->read_member((struct str){r->body, r->len}, &there)) {
		/* Left by an earlier life: replaced where it differs. */
		if (there.id == s->self.id)
			return;
		s->self.revision = there.revision;
		e->wanted = true;
		run_after(e, 0);
		return;
	}
	if (r->status == 404 || r->status == 409) {
		s->self.revision = 0;
		e->wanted = true;
		e->failures++;
		run_after(e, pause_ms(e));
		return;
	}
	event("store_refused", "s:s, s:i", "call", e->name, "status",
	    (int)r->status);
}

static void
run_announce(struct errand *e)
{
	struct store *s = e->owner;
	bool there = s->self.revision != 0;
	char path[EDGE_PATH_MAX];
	char *body;

	if (!allowed(e))
		return;
	s->setup.edge->member_path(there ? s->self.name : "", 0, path);
	body = s->setup.edge->member_body(&s->self, s->domain);
	begin(e, there ? "PUT" : "POST", path, body, CALL_MS, on_announced);
	free(body);
}

void
store_announce(
    struct store *s, const struct edge_member *self, const char *domain)
{
	s->self = *self;
	str_copy(s->domain, sizeof(s->domain), str_of(domain));
	want(&s->announce);
}

/* ---- the others' entries ---- */

static void
on_members(void *ctx, const struct fetch_result *r)
{
	static struct edge_members list;
	struct errand *e = ctx;
	struct store *s = e->owner;
	struct status st;

	if (!answered(e, r))
		return;
	e->wanted = false;
	if (r->status != 200)
		return;
	st = s->setup.edge->read_members((struct str){r->body, r->len}, &list);
	if (st.code != STATUS_OK) {
		event("members_malformed", "s:s", "error", st.message);
		return;
	}
	event("members", "s:i, s:i, s:b", "count", (int)list.count, "malformed",
	    (int)list.malformed, "more", (int)list.more);
	s->events->members(s->ctx, &list);
	if (list.more && list.after[0] != '\0') {
		str_copy(s->after, sizeof(s->after), str_of(list.after));
		e->wanted = true;
		run_after(e, 0);
	}
}

static void
run_members(struct errand *e)
{
	char path[EDGE_PATH_MAX];

	if (!allowed(e))
		return;
	e->owner->setup.edge->members_path(e->owner->after, path);
	begin(e, NULL, path, NULL, CALL_MS, on_members);
}

void
store_list_members(struct store *s)
{
	s->after[0] = '\0';
	want(&s->members);
}

static void
on_removed(void *ctx, const struct fetch_result *r)
{
	struct errand *e = ctx;

	if (!answered(e, r))
		return;
	/* 404 and 409: another was first, or the balancer is back. */
	e->wanted = false;
	event("member_removed", "s:s, s:i", "name", e->owner->dead.name,
	    "status", (int)r->status);
}

static void
run_removal(struct errand *e)
{
	struct store *s = e->owner;
	char path[EDGE_PATH_MAX];

	if (!allowed(e))
		return;
	s->setup.edge->member_path(s->dead.name, s->dead.revision, path);
	begin(e, "DELETE", path, NULL, CALL_MS, on_removed);
}

void
store_remove_member(struct store *s, const struct edge_member *m)
{
	if (s->removal.wanted)
		return;
	s->dead = *m;
	want(&s->removal);
}

/* ---- life ---- */

static void
errand_init(struct store *s, uv_loop_t *loop, struct errand *e,
    const char *name, void (*run)(struct errand *e))
{
	e->owner = s;
	e->name = name;
	e->run = run;
	uv_timer_init(loop, &e->timer);
	e->timer.data = e;
	s->open_handles++;
}

struct store *
store_new(uv_loop_t *loop, struct fetcher *fetcher,
    const struct store_setup *setup, const struct store_callbacks *events,
    void *ctx, struct counters *ctr)
{
	struct store *s = mem_new(sizeof(*s));

	s->setup = *setup;
	s->fetcher = fetcher;
	s->events = events;
	s->ctx = ctx;
	s->ctr = ctr;
	s->credit_milli = BURST * 1000;
	s->credit_ns = now_ns();
	rng_init(&s->rng, setup->seed);
	errand_init(s, loop, &s->config, "configuration", run_config);
	errand_init(s, loop, &s->announce, "announce", run_announce);
	errand_init(s, loop, &s->members, "members", run_members);
	errand_init(s, loop, &s->removal, "removal", run_removal);
	return s;
}

static void
errand_closed(uv_handle_t *h)
{
	struct errand *e = h->data;

	if (--e->owner->open_handles == 0)
		free(e->owner);
}

static void
errand_close(struct errand *e)
{
	fetch_cancel(e->call);
	e->call = NULL;
	uv_close((uv_handle_t *)&e->timer, errand_closed);
}

void
store_free(struct store *s)
{
	if (s == NULL)
		return;
	errand_close(&s->config);
	errand_close(&s->announce);
	errand_close(&s->members);
	errand_close(&s->removal);
}
