#include "task/store_internal.h"

#include "base/clock.h"
#include "base/event.h"

#include <stdio.h>
#include <stdlib.h>

/** Shortest and longest backoff in ms after a failed request. */
#define BACKOFF_MIN_MS 100U
#define BACKOFF_MAX_MS 1000U
/** Capacity of the token bucket, in requests. */
#define REQUEST_BURST UINT64_C(8)

static uint64_t
now_ns(void)
{
	struct clock c = clock_system();

	return clock_now_ns(&c);
}

void
operation_fill_bucket(struct store *s)
{
	s->tokens_milli = REQUEST_BURST * 1000;
	s->refilled_ns = now_ns();
}

static void
on_retry_timer(uv_timer_t *t)
{
	struct operation *op = t->data;

	if (op->pending && op->fetch == NULL)
		op->run(op);
}

void
operation_run_after(struct operation *op, uint64_t ms)
{
	uv_timer_start(&op->timer, on_retry_timer, ms, 0);
}

uint64_t
operation_backoff_ms(struct operation *op)
{
	unsigned shift = op->failures < 5 ? op->failures : 5;
	uint64_t ms = (uint64_t)BACKOFF_MIN_MS << shift;

	if (ms > BACKOFF_MAX_MS)
		ms = BACKOFF_MAX_MS;
	/* Jitter, so that processes do not retry all at once. */
	return ms + rng_below(&op->owner->rng, ms / 2 + 1);
}

bool
operation_acquire(struct operation *op)
{
	struct store *s = op->owner;
	uint64_t now = now_ns();

	s->tokens_milli +=
	    (now - s->refilled_ns) * s->setup.calls_per_s / NS_PER_MS;
	s->refilled_ns = now;
	if (s->tokens_milli > REQUEST_BURST * 1000)
		s->tokens_milli = REQUEST_BURST * 1000;
	if (s->tokens_milli < 1000) {
		operation_run_after(op, 1000 / s->setup.calls_per_s + 1);
		return false;
	}
	s->tokens_milli -= 1000;
	return true;
}

long
operation_elapsed_ms(const struct operation *op)
{
	return (long)((now_ns() - op->start_ns) / NS_PER_MS);
}

void
operation_start(struct operation *op, const char *method, const char *path,
    const char *body, long timeout_ms, fetch_done *done)
{
	char url[PLATFORM_PATH_MAX + 256];
	const struct fetch_request request = {.method = method,
	    .url = url,
	    .body = body,
	    .timeout_ms = timeout_ms};

	snprintf(url, sizeof(url), "%s%s", op->owner->setup.url, path);
	ctr_inc(op->owner->ctr, CTR_PLATFORM_CALLS);
	op->start_ns = now_ns();
	op->era = op->owner->era;
	op->fetch = fetch_start(op->owner->fetcher, &request, done, op);
}

static void
reject_response(struct operation *op, const struct fetch_result *r)
{
	ctr_inc(op->owner->ctr, CTR_PLATFORM_ERRORS);
	event("store_response_rejected", "s:s, s:s, s:I, s:i", "request",
	    op->name, "error", fetch_error(r->outcome), "took_ms",
	    (json_int_t)operation_elapsed_ms(op), "failures",
	    (int)op->failures);
	op->owner->unreachable = false;
}

bool
operation_check_response(struct operation *op, const struct fetch_result *r)
{
	struct store *s = op->owner;
	bool ok =
	    r->outcome == FETCH_RESPONSE && r->status < 500 && r->status != 429;

	op->fetch = NULL;
	store_note_era(s, r->kept);
	if (fetch_is_unacceptable(r->outcome)) {
		reject_response(op, r);
		return true;
	}
	if (!ok || s->unreachable)
		event("store_request", "s:s, s:i, s:s, s:I, s:i", "request",
		    op->name, "status", (int)r->status, "error",
		    fetch_error(r->outcome), "took_ms",
		    (json_int_t)operation_elapsed_ms(op), "failures",
		    (int)op->failures);
	s->unreachable = !ok;
	if (ok) {
		op->failures = 0;
		return true;
	}
	ctr_inc(s->ctr,
	    r->status == 429 ? CTR_PLATFORM_LIMITED : CTR_PLATFORM_ERRORS);
	op->failures++;
	operation_run_after(op, operation_backoff_ms(op));
	return false;
}

void
operation_schedule(struct operation *op)
{
	op->pending = true;
	if (op->fetch == NULL && !uv_is_active((uv_handle_t *)&op->timer))
		operation_run_after(op, 0);
}

void
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

static void
on_operation_closed(uv_handle_t *h)
{
	struct operation *op = h->data;

	if (--op->owner->open_handles == 0)
		free(op->owner);
}

void
operation_close(struct operation *op)
{
	fetch_cancel(op->fetch);
	op->fetch = NULL;
	uv_close((uv_handle_t *)&op->timer, on_operation_closed);
}
