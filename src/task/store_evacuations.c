#include "task/store_internal.h"

#include "base/event.h"
#include "flow/evacuation.h"

/** Pause in ms after the list was read: a balancer that does not watch stops
 * within it. */
#define LIST_PAUSE_MS 100U

/** Timeout in ms of a page of the list: the store may be slow for a while. */
#define LIST_TIMEOUT_MS 2500L
/** Failures in a row after which a watch is given up and the list is read: its
 * response may be one that cannot be received. */
#define WATCH_FAILURES_MAX 4

static void
log_items(struct store *s, const struct platform_evacuations *in)
{
	ctr_add(s->ctr, CTR_STORE_VALUES_BAD, in->malformed);
	if (in->malformed > 0)
		event("evacuations_malformed", "s:I, s:I", "count",
		    (json_int_t)in->malformed, "revision",
		    (json_int_t)in->revision);
	for (size_t i = 0; i < in->count; i++)
		event("evacuation_read", "s:s, s:b, s:I", "domain",
		    in->items[i].domain, "ended", (int)in->items[i].ended,
		    "revision", (json_int_t)in->revision);
}

static void
report(struct store *s, uint64_t changed)
{
	const struct evacuation_reader *r = &s->evacuation_reader;

	if (changed != 0)
		s->callbacks->evacuations(s->ctx,
		    evacuation_stamp(s->era, changed), r->tags, r->count);
	s->callbacks->evacuations(
	    s->ctx, evacuation_stamp(s->era, r->revision), r->tags, r->count);
}

static void
on_evacuations(void *ctx, const struct fetch_result *r)
{
	static struct platform_evacuations in;
	struct operation *op = ctx;
	struct store *s = op->owner;
	struct status st = {0};
	struct evacuation_outcome outcome;
	bool decoded;

	if (!operation_check_response(op, r)) {
		if (op->failures >= WATCH_FAILURES_MAX)
			s->evacuation_reader = (struct evacuation_reader){0};
		return;
	}
	if (store_is_outdated(op)) {
		s->evacuation_reader = (struct evacuation_reader){0};
		operation_run_after(op, 0);
		return;
	}
	if (r->status == 200)
		st = s->setup.platform_ops->read_evacuations(
		    (struct str){r->body, r->len}, &in);
	decoded = r->status == 200 && st.code == STATUS_OK;
	outcome = evacuation_reader_handle(
	    &s->evacuation_reader, r->status, decoded ? &in : NULL);
	if (decoded && outcome.error == NULL)
		log_items(s, &in);
	if (outcome.error != NULL)
		event("evacuations_reset", "s:i, s:s, s:s", "status",
		    (int)r->status, "reason", outcome.error, "error",
		    st.code != STATUS_OK ? st.message : "");
	switch (outcome.step) {
	case EVACUATION_CONTINUE:
	case EVACUATION_RELIST:
		operation_run_after(op, 0);
		return;
	case EVACUATION_LISTED:
		s->evacuations_rejected = 0;
		operation_run_after(op, LIST_PAUSE_MS);
		report(s, 0);
		return;
	case EVACUATION_CHANGED:
		s->evacuations_rejected = 0;
		operation_run_after(op, 0);
		report(s, outcome.changed);
		return;
	case EVACUATION_REJECTED:
		ctr_inc(s->ctr, CTR_EVACUATIONS_BAD);
		op->failures = ++s->evacuations_rejected;
		operation_run_after(op, operation_backoff_ms(op));
		return;
	}
}

static void
run_evacuations(struct operation *op)
{
	struct store *s = op->owner;
	char path[PLATFORM_PATH_MAX];
	bool watch;

	if (!s->watching_evacuations) {
		op->pending = false;
		return;
	}
	if (!operation_acquire(op))
		return;
	watch = evacuation_reader_path(&s->evacuation_reader,
	    s->setup.platform_ops, STORE_WATCH_WAIT_MS, path);
	operation_start(op, NULL, path, NULL,
	    watch ? (long)STORE_WATCH_WAIT_MS + STORE_REQUEST_TIMEOUT_MS
		  : LIST_TIMEOUT_MS,
	    on_evacuations);
}

void
store_watch_evacuations(struct store *s, bool on)
{
	if (s->watching_evacuations == on)
		return;
	s->watching_evacuations = on;
	event("watch_evacuations", "s:b, s:I", "on", (int)on, "revision",
	    (json_int_t)s->evacuation_reader.revision);
	if (on)
		operation_schedule(&s->evacuations);
}

void
store_init_evacuations(struct store *s, uv_loop_t *loop)
{
	operation_init(
	    s, loop, &s->evacuations, "evacuations", run_evacuations);
}

void
store_restart_evacuations(struct store *s)
{
	if (s->evacuations.fetch == NULL)
		return;
	fetch_cancel(s->evacuations.fetch);
	s->evacuations.fetch = NULL;
	operation_run_after(&s->evacuations, 0);
}

void
store_close_evacuations(struct store *s)
{
	operation_close(&s->evacuations);
}
