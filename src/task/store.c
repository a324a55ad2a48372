#include "task/store.h"

#include "base/clock.h"
#include "base/event.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>

/** Longest time in ms that the platform holds a watch open. Together with the
 * timeout below, a dead watch is detected within the 4 s for which a machine
 * counts as disturbed. */
#define WATCH_WAIT_MS 3000U
/** Timeout in ms of a request that the platform answers at once. */
#define REQUEST_TIMEOUT_MS 900L
/** Timeout in ms of reading the whole configuration, maybe over a slow link. */
#define READ_TIMEOUT_MS 2500L
/** Shortest and longest backoff in ms after a failed request. */
#define BACKOFF_MIN_MS 100U
#define BACKOFF_MAX_MS 1000U
/** Pause in ms after a new configuration, so that versions in quick succession
 * are read together. It is a tenth of the time within which a version must be
 * in force. */
#define CONFIG_INTERVAL_MS 300U
/** Capacity of the token bucket, in requests. */
#define REQUEST_BURST UINT64_C(8)

/** One kind of request, retried until it succeeds. */
struct operation {
	struct store *owner;
	const char *name; /**< in log events */
	struct fetch *fetch;
	uv_timer_t timer;
	unsigned failures;
	uint64_t start_ns;
	bool pending;
	void (*run)(struct operation *op);
};

struct store {
	struct store_setup setup;
	const struct store_callbacks *callbacks;
	void *ctx;
	struct counters *ctr;
	struct fetcher *fetcher;
	struct rng rng;
	struct operation config;
	struct operation announce;
	struct operation members;
	struct operation removal;
	unsigned open_handles;
	uint64_t tokens_milli; /**< requests allowed, times 1000 */
	uint64_t refilled_ns;
	uint64_t revision; /**< to watch from; 0 to read everything */
	bool watching;
	bool read_once;
	bool unreachable; /**< the latest request failed */
	struct balancer_entry self;
	char domain[FLOW_NAME_MAX];
	char list_after[FLOW_NAME_MAX];
	struct balancer_entry removed;
};

static uint64_t
now_ns(void)
{
	struct clock c = clock_system();

	return clock_now_ns(&c);
}

/* ---- retries and rate limit ---- */

static void
on_retry_timer(uv_timer_t *t)
{
	struct operation *op = t->data;

	if (op->pending && op->fetch == NULL)
		op->run(op);
}

static void
run_after(struct operation *op, uint64_t ms)
{
	uv_timer_start(&op->timer, on_retry_timer, ms, 0);
}

static uint64_t
next_backoff_ms(struct operation *op)
{
	unsigned shift = op->failures < 5 ? op->failures : 5;
	uint64_t ms = (uint64_t)BACKOFF_MIN_MS << shift;

	if (ms > BACKOFF_MAX_MS)
		ms = BACKOFF_MAX_MS;
	/* Jitter, so that processes do not retry all at once. */
	return ms + rng_below(&op->owner->rng, ms / 2 + 1);
}

/* Takes a token from the bucket. Without one, the operation is put off and
 * false is returned. */
static bool
acquire_request(struct operation *op)
{
	struct store *s = op->owner;
	uint64_t now = now_ns();

	s->tokens_milli +=
	    (now - s->refilled_ns) * s->setup.calls_per_s / NS_PER_MS;
	s->refilled_ns = now;
	if (s->tokens_milli > REQUEST_BURST * 1000)
		s->tokens_milli = REQUEST_BURST * 1000;
	if (s->tokens_milli < 1000) {
		run_after(op, 1000 / s->setup.calls_per_s + 1);
		return false;
	}
	s->tokens_milli -= 1000;
	return true;
}

static void
start_request(struct operation *op, const char *method, const char *path,
    const char *body, long timeout_ms, fetch_done *done)
{
	char url[512];
	const struct fetch_request request = {.method = method,
	    .url = url,
	    .body = body,
	    .timeout_ms = timeout_ms};

	snprintf(url, sizeof(url), "%s%s", op->owner->setup.url, path);
	ctr_inc(op->owner->ctr, CTR_PLATFORM_CALLS);
	op->start_ns = now_ns();
	op->fetch = fetch_start(op->owner->fetcher, &request, done, op);
}

/*
 * Records the result of a request.
 * @return true if the store answered; otherwise a retry is scheduled
 */
static bool
check_response(struct operation *op, const struct fetch_result *r)
{
	struct store *s = op->owner;
	bool ok = r->curl == CURLE_OK && r->status < 500 && r->status != 429;

	op->fetch = NULL;
	if (!ok || s->unreachable)
		event("store_request", "s:s, s:i, s:s, s:I, s:i", "request",
		    op->name, "status", (int)r->status, "error",
		    r->curl == CURLE_OK ? "" : curl_easy_strerror(r->curl),
		    "took_ms",
		    (json_int_t)((now_ns() - op->start_ns) / NS_PER_MS),
		    "failures", (int)op->failures);
	s->unreachable = !ok;
	if (ok) {
		op->failures = 0;
		return true;
	}
	ctr_inc(s->ctr,
	    r->status == 429 ? CTR_PLATFORM_LIMITED : CTR_PLATFORM_ERRORS);
	op->failures++;
	run_after(op, next_backoff_ms(op));
	return false;
}

/* ---- configuration ---- */

static void
handle_config(struct operation *op, const struct fetch_result *r)
{
	struct store *s = op->owner;
	struct platform_config c;
	struct status st = s->setup.platform_ops->read_config(
	    (struct str){r->body, r->len}, &c);

	if (st.code != STATUS_OK) {
		ctr_inc(s->ctr, CTR_CONFIG_BAD);
		event("configuration_malformed", "s:s", "error", st.message);
		s->revision = 0;
		op->failures++;
		run_after(op, next_backoff_ms(op));
		return;
	}
	if (c.revision != 0)
		s->revision = c.revision;
	if (c.routes.version != 0) {
		s->read_once = true;
		s->callbacks->config(s->ctx, &c);
		run_after(op, CONFIG_INTERVAL_MS);
	} else if (!s->read_once) {
		/* The operator has not submitted a first version yet. */
		s->revision = 0;
		op->failures++;
		run_after(op, next_backoff_ms(op));
	} else {
		run_after(op, 0);
	}
	routes_clear(&c.routes);
}

static void
on_config(void *ctx, const struct fetch_result *r)
{
	struct operation *op = ctx;

	if (!check_response(op, r)) {
		/* A retry is scheduled. If the store no longer has the
		 * revision by then, everything is read. */
		return;
	}
	if (r->status == 200) {
		handle_config(op, r);
		return;
	}
	event("store_watch_reset", "s:i, s:I", "status", (int)r->status,
	    "revision", (json_int_t)op->owner->revision);
	op->owner->revision = 0;
	if (r->status != 410)
		op->failures++;
	run_after(op, r->status == 410 ? 0 : next_backoff_ms(op));
}

static void
run_config(struct operation *op)
{
	struct store *s = op->owner;
	char path[PLATFORM_PATH_MAX];
	bool wait = s->watching && s->read_once && s->revision != 0;

	if (s->read_once && !s->watching) {
		op->pending = false;
		return;
	}
	if (!acquire_request(op))
		return;
	if (wait)
		s->setup.platform_ops->watch_path(
		    s->revision, WATCH_WAIT_MS, path);
	else
		s->setup.platform_ops->config_path(path);
	start_request(op, NULL, path, NULL,
	    wait ? (long)WATCH_WAIT_MS + REQUEST_TIMEOUT_MS : READ_TIMEOUT_MS,
	    on_config);
}

static void
schedule(struct operation *op)
{
	op->pending = true;
	if (op->fetch == NULL && !uv_is_active((uv_handle_t *)&op->timer))
		run_after(op, 0);
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
		schedule(&s->config);
}

void
store_restart_watch(struct store *s)
{
	if (s->config.fetch == NULL)
		return;
	fetch_cancel(s->config.fetch);
	s->config.fetch = NULL;
	run_after(&s->config, 0);
}

/* ---- own entry ---- */

static void
on_announced(void *ctx, const struct fetch_result *r)
{
	struct operation *op = ctx;
	struct store *s = op->owner;
	struct balancer_entry existing;

	if (!check_response(op, r))
		return;
	op->pending = false;
	if (r->status / 100 == 2)
		return;
	if (r->status == 409 && s->setup.platform_ops->read_entry(
				    (struct str){r->body, r->len}, &existing)) {
		/* The entry is from an earlier run; it is replaced if its id
		 * differs. */
		if (existing.id == s->self.id)
			return;
		s->self.revision = existing.revision;
		op->pending = true;
		run_after(op, 0);
		return;
	}
	if (r->status == 404 || r->status == 409) {
		s->self.revision = 0;
		op->pending = true;
		op->failures++;
		run_after(op, next_backoff_ms(op));
		return;
	}
	event("store_request_rejected", "s:s, s:i", "request", op->name,
	    "status", (int)r->status);
}

static void
run_announce(struct operation *op)
{
	struct store *s = op->owner;
	bool existing = s->self.revision != 0;
	char path[PLATFORM_PATH_MAX];
	char *body;

	if (!acquire_request(op))
		return;
	s->setup.platform_ops->entry_path(
	    existing ? s->self.name : "", 0, path);
	body = s->setup.platform_ops->entry_body(&s->self, s->domain);
	start_request(op, existing ? "PUT" : "POST", path, body,
	    REQUEST_TIMEOUT_MS, on_announced);
	free(body);
}

void
store_announce(
    struct store *s, const struct balancer_entry *self, const char *domain)
{
	s->self = *self;
	str_copy(s->domain, sizeof(s->domain), str_of(domain));
	schedule(&s->announce);
}

/* ---- entries of other balancers ---- */

static void
on_members(void *ctx, const struct fetch_result *r)
{
	static struct balancer_entries list;
	struct operation *op = ctx;
	struct store *s = op->owner;
	struct status st;

	if (!check_response(op, r))
		return;
	op->pending = false;
	if (r->status != 200)
		return;
	st = s->setup.platform_ops->read_entries(
	    (struct str){r->body, r->len}, &list);
	if (st.code != STATUS_OK) {
		event("members_malformed", "s:s", "error", st.message);
		return;
	}
	event("members", "s:i, s:i, s:b", "count", (int)list.count, "malformed",
	    (int)list.malformed, "more", (int)list.more);
	s->callbacks->members(s->ctx, &list);
	if (list.more && list.after[0] != '\0') {
		str_copy(
		    s->list_after, sizeof(s->list_after), str_of(list.after));
		op->pending = true;
		run_after(op, 0);
	}
}

static void
run_members(struct operation *op)
{
	char path[PLATFORM_PATH_MAX];

	if (!acquire_request(op))
		return;
	op->owner->setup.platform_ops->entries_path(
	    op->owner->list_after, path);
	start_request(op, NULL, path, NULL, REQUEST_TIMEOUT_MS, on_members);
}

void
store_list_members(struct store *s)
{
	s->list_after[0] = '\0';
	schedule(&s->members);
}

static void
on_removed(void *ctx, const struct fetch_result *r)
{
	struct operation *op = ctx;

	if (!check_response(op, r))
		return;
	/* 404: another balancer has removed it. 409: the balancer is back. */
	op->pending = false;
	event("member_removed", "s:s, s:i", "name", op->owner->removed.name,
	    "status", (int)r->status);
}

static void
run_removal(struct operation *op)
{
	struct store *s = op->owner;
	char path[PLATFORM_PATH_MAX];

	if (!acquire_request(op))
		return;
	s->setup.platform_ops->entry_path(
	    s->removed.name, s->removed.revision, path);
	start_request(op, "DELETE", path, NULL, REQUEST_TIMEOUT_MS, on_removed);
}

void
store_remove_member(struct store *s, const struct balancer_entry *m)
{
	if (s->removal.pending)
		return;
	s->removed = *m;
	schedule(&s->removal);
}

/* ---- creation ---- */

static void
operation_init(struct store *s, uv_loop_t *loop, struct operation *op,
    const char *name, void (*run)(struct operation *op))
{
	op->owner = s;
	op->name = name;
	op->run = run;
	uv_timer_init(loop, &op->timer);
	op->timer.data = op;
	s->open_handles++;
}

struct store *
store_new(uv_loop_t *loop, struct fetcher *fetcher,
    const struct store_setup *setup, const struct store_callbacks *callbacks,
    void *ctx, struct counters *ctr)
{
	struct store *s = mem_new(sizeof(*s));

	s->setup = *setup;
	s->fetcher = fetcher;
	s->callbacks = callbacks;
	s->ctx = ctx;
	s->ctr = ctr;
	s->tokens_milli = REQUEST_BURST * 1000;
	s->refilled_ns = now_ns();
	rng_init(&s->rng, setup->seed);
	operation_init(s, loop, &s->config, "configuration", run_config);
	operation_init(s, loop, &s->announce, "announce", run_announce);
	operation_init(s, loop, &s->members, "members", run_members);
	operation_init(s, loop, &s->removal, "removal", run_removal);
	return s;
}

static void
on_operation_closed(uv_handle_t *h)
{
	struct operation *op = h->data;

	if (--op->owner->open_handles == 0)
		free(op->owner);
}

static void
operation_close(struct operation *op)
{
	fetch_cancel(op->fetch);
	op->fetch = NULL;
	uv_close((uv_handle_t *)&op->timer, on_operation_closed);
}

void
store_free(struct store *s)
{
	if (s == NULL)
		return;
	operation_close(&s->config);
	operation_close(&s->announce);
	operation_close(&s->members);
	operation_close(&s->removal);
}
