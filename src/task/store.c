#include "task/store_internal.h"

#include "base/clock.h"
#include "base/event.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>

/** Longest time in ms that the platform holds a watch open. A dead watch is
 * detected after this time and STORE_REQUEST_TIMEOUT_MS. Of the 3 s within
 * which a version must be in force, 1.1 s are left for others to watch instead.
 */
#define WATCH_WAIT_MS 1000U
/** Timeout in ms of reading the whole configuration, maybe over a slow link. */
#define READ_TIMEOUT_MS 2500L
/** Failures in a row after which a watch is given up for reading everything:
 * its answer, all changes since a revision, may be what cannot be received. */
#define WATCH_ATTEMPTS 2
/** Pause in ms after a new configuration, so that versions in quick succession
 * are read together. It is a tenth of the time within which a version must be
 * in force. */
#define CONFIG_INTERVAL_MS 300U

/* ---- configuration ---- */

/*
 * Continue after a response that cannot be accepted. If it answered a watch,
 * the current state is read at once; if it was the current state, changes after
 * it are awaited, or it is read again later when its revision is not known.
 */
static void
continue_after_rejection(struct operation *op, uint64_t state_revision)
{
	struct store *s = op->owner;
	bool watched = s->revision != 0;

	s->revision = watched ? 0 : state_revision;
	op->failures = watched ? 0 : ++s->rejected_reads;
	operation_run_after(
	    op, watched || state_revision != 0 ? 0 : operation_backoff_ms(op));
}

static void
handle_config(struct operation *op, const struct fetch_result *r)
{
	struct store *s = op->owner;
	struct platform_config c;
	struct status st = s->setup.platform_ops->read_config(
	    (struct str){r->body, r->len}, &c);

	if (st.code != STATUS_OK) {
		ctr_inc(s->ctr, CTR_CONFIG_BAD);
		event("configuration_malformed", "s:s, s:I", "error",
		    st.message, "revision", (json_int_t)c.revision);
		continue_after_rejection(op, c.revision);
		return;
	}
	ctr_add(s->ctr, CTR_STORE_VALUES_BAD, c.unreadable);
	if (c.unreadable > 0)
		event("config_values_unreadable", "s:I, s:I", "count",
		    (json_int_t)c.unreadable, "revision",
		    (json_int_t)c.revision);
	s->rejected_reads = 0;
	if (c.revision != 0)
		s->revision = c.revision;
	if (c.routes.version != 0) {
		s->read_once = true;
		s->callbacks->config(s->ctx, &c);
		operation_run_after(op, CONFIG_INTERVAL_MS);
	} else if (s->revision == 0) {
		/* There is no version yet, and no revision to watch from. */
		op->failures++;
		operation_run_after(op, operation_backoff_ms(op));
	} else {
		operation_run_after(op, 0);
	}
	routes_clear(&c.routes);
}

static void
report_watch(struct store *s, bool ok)
{
	if (s->watching && s->callbacks->watch_state != NULL)
		s->callbacks->watch_state(s->ctx, ok);
}

/*
 * A request that failed soon after its start may have met a connection that was
 * reset, while new ones work: the next one decides. One that failed after its
 * timeout has taken all the time that there is.
 */
static void
on_config_failed(struct operation *op, bool slow)
{
	struct store *s = op->owner;

	if (slow || !s->answered)
		report_watch(s, false);
	s->answered = false;
	/* A retry is scheduled. If the store no longer has the revision by
	 * then, everything is read. */
	if (op->failures >= WATCH_ATTEMPTS)
		s->revision = 0;
}

static void
on_config(void *ctx, const struct fetch_result *r)
{
	struct operation *op = ctx;
	struct store *s = op->owner;
	bool slow = operation_elapsed_ms(op) >= STORE_REQUEST_TIMEOUT_MS;

	if (!operation_check_response(op, r)) {
		on_config_failed(op, slow);
		return;
	}
	if (store_is_outdated(op)) {
		s->answered = true;
		s->revision = 0;
		operation_run_after(op, 0);
		return;
	}
	if (fetch_is_unacceptable(r->outcome)) {
		s->answered = r->outcome == FETCH_TOO_LARGE;
		report_watch(s, s->answered);
		continue_after_rejection(op, 0);
		return;
	}
	if (r->status == 200) {
		s->answered = true;
		handle_config(op, r);
		report_watch(s, true);
		return;
	}
	if (r->status != 410) {
		s->answered = false;
		report_watch(s, false);
	}
	event("store_watch_reset", "s:i, s:I", "status", (int)r->status,
	    "revision", (json_int_t)s->revision);
	s->revision = 0;
	if (r->status != 410)
		op->failures++;
	operation_run_after(
	    op, r->status == 410 ? 0 : operation_backoff_ms(op));
}

static void
run_config(struct operation *op)
{
	struct store *s = op->owner;
	char path[PLATFORM_PATH_MAX];
	bool watch = s->revision != 0;
	/* Until the store has answered, whether it does is of more interest
	 * than a change. */
	unsigned wait_ms = s->answered ? WATCH_WAIT_MS : 0;

	if (!s->watching) {
		op->pending = false;
		return;
	}
	if (!operation_acquire(op))
		return;
	if (watch)
		s->setup.platform_ops->watch_path(s->revision, wait_ms, path);
	else
		s->setup.platform_ops->config_path(path);
	operation_start(op, NULL, path, NULL,
	    watch ? (long)wait_ms + STORE_REQUEST_TIMEOUT_MS : READ_TIMEOUT_MS,
	    on_config);
}

void
store_watch_config(struct store *s, bool on)
{
	if (s->watching == on)
		return;
	s->watching = on;
	s->answered = false;
	event("watch", "s:b, s:I", "on", (int)on, "revision",
	    (json_int_t)s->revision);
	if (on)
		operation_schedule(&s->config);
}

void
store_restart_watch(struct store *s)
{
	store_restart_evacuations(s);
	if (s->config.fetch == NULL)
		return;
	fetch_cancel(s->config.fetch);
	s->config.fetch = NULL;
	s->answered = false;
	operation_run_after(&s->config, 0);
}

/* ---- own entry ---- */

/*
 * An entry of this name exists, from an earlier run or left by another program.
 * It is replaced if its id differs or it lacks that the address is established;
 * without a readable revision, whatever its revision is.
 */
static void
replace_entry(struct operation *op, const struct fetch_result *r)
{
	struct store *s = op->owner;
	struct balancer_entry existing;
	bool replaced = s->entry_exists;

	s->setup.platform_ops->read_entry(
	    (struct str){r->body, r->len}, &existing);
	if (existing.id == s->self.id &&
	    (existing.established || !s->self.established)) {
		s->entry_exists = true;
		s->callbacks->announced(s->ctx, existing.established);
		return;
	}
	event("own_entry_differs", "s:s, s:I, s:b", "name", s->self.name,
	    "revision", (json_int_t)existing.revision, "malformed",
	    (int)(existing.id == 0));
	s->self.revision = existing.revision;
	s->entry_exists = true;
	op->pending = true;
	/* Refused again: another program writes the entry, too. */
	op->failures += replaced ? 1 : 0;
	operation_run_after(op, replaced ? operation_backoff_ms(op) : 0);
}

static void
on_announced(void *ctx, const struct fetch_result *r)
{
	struct operation *op = ctx;
	struct store *s = op->owner;

	if (!operation_check_response(op, r))
		return;
	if (r->outcome == FETCH_MALFORMED) {
		/* Whether the entry was written is not known. */
		op->failures++;
		operation_run_after(op, operation_backoff_ms(op));
		return;
	}
	op->pending = false;
	if (r->status / 100 == 2) {
		s->entry_exists = true;
		s->callbacks->announced(s->ctx, false);
		return;
	}
	if (r->status == 409) {
		replace_entry(op, r);
		return;
	}
	if (r->status == 404) {
		s->self.revision = 0;
		s->entry_exists = false;
		op->pending = true;
		op->failures++;
		operation_run_after(op, operation_backoff_ms(op));
		return;
	}
	event("store_request_rejected", "s:s, s:i", "request", op->name,
	    "status", (int)r->status);
}

static void
run_announce(struct operation *op)
{
	struct store *s = op->owner;
	bool existing = s->entry_exists;
	char path[PLATFORM_PATH_MAX];
	char *body;

	if (!operation_acquire(op))
		return;
	s->setup.platform_ops->entry_path(
	    existing ? s->self.name : "", 0, path);
	body = s->setup.platform_ops->entry_body(&s->self, s->domain);
	operation_start(op, existing ? "PUT" : "POST", path, body,
	    STORE_REQUEST_TIMEOUT_MS, on_announced);
	free(body);
}

void
store_announce(
    struct store *s, const struct balancer_entry *self, const char *domain)
{
	s->self = *self;
	s->entry_exists |= self->revision != 0;
	str_copy(s->domain, sizeof(s->domain), str_of(domain));
	operation_schedule(&s->announce);
}

/* ---- entries of other balancers ---- */

static void
on_members(void *ctx, const struct fetch_result *r)
{
	static struct balancer_entries list;
	struct operation *op = ctx;
	struct store *s = op->owner;
	struct status st;

	if (!operation_check_response(op, r))
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
	ctr_add(s->ctr, CTR_STORE_VALUES_BAD, list.malformed);
	event("members", "s:i, s:i, s:b", "count", (int)list.count, "malformed",
	    (int)list.malformed, "more", (int)list.more);
	s->callbacks->members(s->ctx, &list);
	if (list.more && strcmp(list.after, s->list_after) == 0) {
		/* The name is longer than the buffer: the next page would be
		 * this one again. */
		event("members_incomplete", "s:s", "after", list.after);
		return;
	}
	if (list.more && list.after[0] != '\0') {
		str_copy(
		    s->list_after, sizeof(s->list_after), str_of(list.after));
		op->pending = true;
		operation_run_after(op, 0);
	}
}

static void
run_members(struct operation *op)
{
	char path[PLATFORM_PATH_MAX];

	if (!operation_acquire(op))
		return;
	op->owner->setup.platform_ops->entries_path(
	    op->owner->list_after, path);
	operation_start(
	    op, NULL, path, NULL, STORE_REQUEST_TIMEOUT_MS, on_members);
}

void
store_list_members(struct store *s)
{
	s->list_after[0] = '\0';
	operation_schedule(&s->members);
}

static void
on_removed(void *ctx, const struct fetch_result *r)
{
	struct operation *op = ctx;

	if (!operation_check_response(op, r))
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

	if (!operation_acquire(op))
		return;
	s->setup.platform_ops->entry_path(
	    s->removed.name, s->removed.revision, path);
	operation_start(
	    op, "DELETE", path, NULL, STORE_REQUEST_TIMEOUT_MS, on_removed);
}

void
store_remove_member(struct store *s, const struct balancer_entry *m)
{
	if (s->removal.pending)
		return;
	s->removed = *m;
	operation_schedule(&s->removal);
}

/* ---- creation ---- */

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
	rng_init(&s->rng, setup->seed);
	operation_fill_bucket(s);
	operation_init(s, loop, &s->config, "configuration", run_config);
	operation_init(s, loop, &s->announce, "announce", run_announce);
	operation_init(s, loop, &s->members, "members", run_members);
	operation_init(s, loop, &s->removal, "removal", run_removal);
	store_init_evacuations(s, loop);
	store_init_records(s, loop);
	return s;
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
	store_close_evacuations(s);
	store_close_records(s);
}
