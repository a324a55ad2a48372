#include "task/store_internal.h"

#include "base/event.h"

#include <stdlib.h>

/* ---- reading ---- */

static void
deliver_record(struct store *s, const struct fetch_result *r)
{
	struct str record = {NULL, 0};
	char *bytes = NULL;
	struct status st;

	s->record_exists = r->status == 200 || r->outcome == FETCH_TOO_LARGE;
	if (r->status == 200) {
		st = s->setup.platform_ops->read_record(
		    (struct str){r->body, r->len}, &bytes, &record.len);
		record.p = bytes;
		if (st.code != STATUS_OK)
			event("record_malformed", "s:s, s:s", "name",
			    s->record_name, "error", st.message);
	}
	s->callbacks->record_read(s->ctx, record);
	free(bytes);
}

static void
on_read(void *ctx, const struct fetch_result *r)
{
	struct operation *op = ctx;

	if (!operation_check_response(op, r))
		return;
	op->pending = false;
	deliver_record(op->owner, r);
}

static void
run_read(struct operation *op)
{
	char path[PLATFORM_PATH_MAX];

	if (!operation_acquire(op))
		return;
	op->owner->setup.platform_ops->record_path(
	    op->owner->record_name, path);
	operation_start(
	    op, NULL, path, NULL, STORE_REQUEST_TIMEOUT_MS, on_read);
}

void
store_read_record(struct store *s, const char *name)
{
	str_copy(s->record_name, sizeof(s->record_name), str_of(name));
	operation_schedule(&s->record_read);
}

/* ---- writing ---- */

static void
end_write(struct operation *op, bool ok)
{
	struct store *s = op->owner;

	op->pending = false;
	free(s->record_body);
	s->record_body = NULL;
	s->callbacks->record_written(s->ctx, ok);
}

static void
on_written(void *ctx, const struct fetch_result *r)
{
	struct operation *op = ctx;
	struct store *s = op->owner;
	bool answered = operation_check_response(op, r);

	if (answered && r->status / 100 != 2)
		event("store_request_rejected", "s:s, s:i", "request", op->name,
		    "status", (int)r->status);
	/* Created or removed by an earlier process: the next write replaces or
	 * creates it. */
	if (r->status == 409 || r->status == 404)
		s->record_exists = r->status == 409;
	if (answered && r->status / 100 == 2)
		s->record_exists = true;
	end_write(op, answered && r->status / 100 == 2);
}

static void
run_write(struct operation *op)
{
	struct store *s = op->owner;
	char path[PLATFORM_PATH_MAX];

	if (!operation_acquire(op))
		return;
	s->setup.platform_ops->record_path(
	    s->record_exists ? s->record_name : "", path);
	operation_start(op, s->record_exists ? "PUT" : "POST", path,
	    s->record_body, STORE_REQUEST_TIMEOUT_MS, on_written);
}

void
store_write_record(struct store *s, struct str record)
{
	free(s->record_body);
	s->record_body =
	    s->setup.platform_ops->record_body(s->record_name, record);
	operation_schedule(&s->record_write);
}

void
store_init_records(struct store *s, uv_loop_t *loop)
{
	operation_init(s, loop, &s->record_read, "read_record", run_read);
	operation_init(s, loop, &s->record_write, "write_record", run_write);
}

void
store_close_records(struct store *s)
{
	operation_close(&s->record_read);
	operation_close(&s->record_write);
	free(s->record_body);
	s->record_body = NULL;
}
