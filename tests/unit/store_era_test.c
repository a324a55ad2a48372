/**
 * @file store_era_test.c
 * The client of the platform's store against a stand-in that keeps its entry,
 * and that comes back from a copy some seconds old: revisions go back and are
 * given out again, and its responses state the next era.
 */
#include "base/clock.h"
#include "platform.h"
#include "task/store.h"
#include "task/udp.h"
#include "task/web.h"

#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include <cmocka.h>

/** Longest time in ms that a test waits for an effect. */
#define TEST_TIMEOUT_MS 5000
#define BODY_MAX 1024

/** The stand-in. */
static struct {
	struct web web;
	unsigned era;
	unsigned revision;
	unsigned version; /* of the configuration */
	unsigned changed; /* revision of its latest change */
	bool evacuated;	  /* the failure domain "east" */
	unsigned evacuation_changed;
	bool own_entry; /* the own entry exists, from an earlier process */
	bool own_established;
	unsigned posts;
	uint64_t puts;
	unsigned gone; /* responses with status 410 */
} stand_in;

/** What the client's callbacks reported. */
static struct {
	uint64_t version;
	uint64_t evacuation;
	uint64_t evacuated;
	uint64_t listed;
	unsigned established;
	uint64_t lost_records;
} seen;

static uv_loop_t loop;
static char url[64];
static char body[BODY_MAX];
static char era_header[32];
static bool expired;
static struct fetcher *fetcher;
static struct store *store;
static struct counters counters;

/* ---- the stand-in ---- */

static size_t
write_config(const char *prefix, const char *suffix)
{
	return (size_t)snprintf(body, sizeof(body),
	    "%s{\"meta\": {\"name\": \"main\", \"revision\": %u}, \"spec\": "
	    "{\"version\": %u, \"routes\": []}}%s, \"as_of\": %u}",
	    prefix, stand_in.changed, stand_in.version, suffix,
	    stand_in.revision);
}

static size_t
write_evacuations(const char *list, bool present)
{
	return (size_t)snprintf(body, sizeof(body),
	    "{\"%s\": [%s], \"has_more\": false, \"as_of\": %u}", list,
	    present ? "{\"meta\": {\"name\": \"east\", \"revision\": 2}}" : "",
	    stand_in.revision);
}

static void
answer_write(const struct web_request *request, struct web_response *response)
{
	static const char established[] = "\"established\":true";

	if (str_is(request->method, "PUT")) {
		stand_in.puts++;
		stand_in.own_established =
		    memmem(request->body.p, request->body.len, established,
			strlen(established)) != NULL;
		return;
	}
	stand_in.posts++;
	if (!stand_in.own_entry)
		return;
	response->status = 409;
	response->body.len = (size_t)snprintf(body, sizeof(body),
	    "{\"meta\": {\"name\": \"b1\", \"revision\": 9}, \"spec\": "
	    "{\"address\": \"10.1.0.1:7700\", \"established\": %s}}",
	    stand_in.own_established ? "true" : "false");
}

/* A watch from a revision that the store does not have gets 410. */
static void
answer_watch(
    unsigned from, bool config, unsigned changed, struct web_response *response)
{
	if (from > stand_in.revision) {
		stand_in.gone++;
		response->status = 410;
	} else if (config && changed > from) {
		response->body.len = write_config(
		    "{\"events\": [{\"deleted\": false, \"object\": ", "}]");
	} else {
		response->body.len = write_evacuations("events", false);
	}
}

static void
on_request(
    void *ctx, const struct web_request *request, struct web_response *response)
{
	char path[WEB_PATH_MAX + 1];
	const char *watch;
	bool config;

	(void)ctx;
	str_copy(path, sizeof(path), request->path);
	watch = strstr(path, "watch=");
	config = strncmp(path, "/v1/objects/config", 18) == 0;
	snprintf(era_header, sizeof(era_header), "Store-Era: %u", stand_in.era);
	response->status = 200;
	response->type = "application/json";
	response->header = era_header;
	response->body = (struct str){body, 0};
	if (!str_is(request->method, "GET"))
		answer_write(request, response);
	else if (watch != NULL)
		answer_watch((unsigned)strtoul(watch + 6, NULL, 10), config,
		    stand_in.changed, response);
	else if (config)
		response->body.len = write_config("{\"items\": [", "]");
	else
		response->body.len =
		    write_evacuations("items", stand_in.evacuated);
}

/* ---- the client ---- */

static void
on_config(void *ctx, struct platform_config *c)
{
	(void)ctx;
	seen.version = c->routes.version;
}

static void
on_evacuations(
    void *ctx, uint64_t revision, const uint32_t *tags, uint32_t count)
{
	(void)ctx;
	(void)tags;
	seen.evacuation = revision;
	seen.evacuated = count;
}

static void
on_announced(void *ctx, bool was_established)
{
	(void)ctx;
	seen.established += was_established;
	seen.listed++;
}

static void
on_record_read(void *ctx, struct str record)
{
	(void)ctx;
	(void)record;
}

static void
on_record_written(void *ctx, bool ok)
{
	(void)ctx;
	seen.lost_records += !ok;
}

static const struct store_callbacks callbacks = {.config = on_config,
    .evacuations = on_evacuations,
    .announced = on_announced,
    .record_read = on_record_read,
    .record_written = on_record_written};

static int
open_store(void **state)
{
	static struct store_setup setup = {
	    .url = url, .calls_per_s = 50, .seed = 1};
	struct sockaddr_in sin;
	int len = sizeof(sin);
	struct status st;

	(void)state;
	memset(&stand_in, 0, sizeof(stand_in));
	memset(&seen, 0, sizeof(seen));
	stand_in.era = 1;
	stand_in.revision = 10;
	stand_in.version = 3;
	stand_in.changed = 5;
	stand_in.evacuated = true;
	uv_loop_init(&loop);
	st = web_open(&stand_in.web, &loop, (struct addr){0x7f000001, 0},
	    on_request, NULL);
	assert_int_equal(st.code, STATUS_OK);
	uv_tcp_getsockname(
	    &stand_in.web.listener, (struct sockaddr *)&sin, &len);
	snprintf(url, sizeof(url), "http://127.0.0.1:%u", ntohs(sin.sin_port));
	setup.platform_ops = &platform_edge;
	fetcher = fetcher_new(&loop);
	fetcher_keep_header(fetcher, platform_edge.era_header);
	store = store_new(&loop, fetcher, &setup, &callbacks, NULL, &counters);
	return 0;
}

static int
close_store(void **state)
{
	(void)state;
	store_free(store);
	fetcher_free(fetcher);
	web_close(&stand_in.web);
	uv_run(&loop, UV_RUN_DEFAULT);
	return uv_loop_close(&loop);
}

static void
on_expired(uv_timer_t *timer)
{
	(void)timer;
	expired = true;
}

/* Runs the loop until *value is `until`, or the time is over. */
static void
run_until(const uint64_t *value, uint64_t until)
{
	uv_timer_t timer;

	expired = false;
	uv_timer_init(&loop, &timer);
	uv_timer_start(&timer, on_expired, TEST_TIMEOUT_MS, 0);
	while (!expired && *value != until)
		uv_run(&loop, UV_RUN_ONCE);
	uv_close((uv_handle_t *)&timer, NULL);
	uv_run(&loop, UV_RUN_NOWAIT);
	assert_int_equal(*value, until);
}

/* Guards against a version that no balancer sees: it was written after the
 * store came back, at a revision that a watch had passed before. */
static void
test_revisions_given_out_again(void **state)
{
	(void)state;
	store_watch_config(store, true);
	run_until(&seen.version, 3);
	stand_in.era = 2;
	stand_in.version = 4;
	stand_in.changed = 9;
	stand_in.revision = 14;
	run_until(&seen.version, 4);
	assert_int_equal(stand_in.gone, 0);
	assert_int_equal(counters.value[CTR_STORE_ERAS], 1);
}

/* Guards against an evacuation whose end is ignored since the store states a
 * lower revision than before. */
static void
test_evacuation_at_lower_revision(void **state)
{
	uint64_t before;

	(void)state;
	store_watch_evacuations(store, true);
	run_until(&seen.evacuated, 1);
	before = seen.evacuation;
	stand_in.era = 2;
	stand_in.revision = 6;
	stand_in.evacuated = false;
	run_until(&seen.evacuated, 0);
	assert_true(seen.evacuation > before);
}

/* Guards against an entry and a record that are missing in the store after it
 * came back from a copy without them. */
static void
test_written_again(void **state)
{
	const struct balancer_entry self = {.name = "b1", .id = 7};

	(void)state;
	store_announce(store, &self, "east");
	run_until(&seen.listed, 1);
	store_read_record(store, "10.0.0.1:8080");
	store_watch_config(store, true);
	run_until(&seen.version, 3);
	stand_in.era = 2;
	stand_in.revision = 4;
	run_until(&seen.listed, 2);
	assert_int_equal(stand_in.posts, 2);
	run_until(&seen.lost_records, 1);
}

/* Guards against a restarted balancer that does not learn whether all agents
 * know its address: with all others new, it could not tell which agents run. */
static void
test_own_entry_established(void **state)
{
	struct balancer_entry self = {
	    .name = "b1", .id = addr_pack((struct addr){0x0a010001, 7700})};

	(void)state;
	stand_in.own_entry = true;
	store_announce(store, &self, "east");
	run_until(&seen.listed, 1);
	assert_int_equal(seen.established, 0);
	assert_int_equal(stand_in.puts, 0);
	self.established = true;
	store_announce(store, &self, "east");
	run_until(&seen.listed, 2);
	assert_int_equal(stand_in.puts, 1);
	assert_true(stand_in.own_established);
}

/* The next process at this address. */
static void
test_entry_of_earlier_process(void **state)
{
	const struct balancer_entry self = {
	    .name = "b1", .id = addr_pack((struct addr){0x0a010001, 7700})};

	(void)state;
	stand_in.own_entry = true;
	stand_in.own_established = true;
	store_announce(store, &self, "east");
	run_until(&seen.listed, 1);
	assert_int_equal(seen.established, 1);
	assert_int_equal(stand_in.puts, 0);
}

/* The first era that is stated is none that the store has come back in. */
static void
test_first_era(void **state)
{
	const struct balancer_entry self = {.name = "b1", .id = 7};

	(void)state;
	stand_in.era = 7;
	store_announce(store, &self, "east");
	store_watch_config(store, true);
	run_until(&seen.version, 3);
	run_until(&seen.listed, 1);
	assert_int_equal(stand_in.posts, 1);
	assert_int_equal(store_era(store), 7);
}

int
main(void)
{
	const struct CMUnitTest tests[] = {
	    cmocka_unit_test_setup_teardown(
		test_revisions_given_out_again, open_store, close_store),
	    cmocka_unit_test_setup_teardown(
		test_evacuation_at_lower_revision, open_store, close_store),
	    cmocka_unit_test_setup_teardown(
		test_written_again, open_store, close_store),
	    cmocka_unit_test_setup_teardown(
		test_own_entry_established, open_store, close_store),
	    cmocka_unit_test_setup_teardown(
		test_entry_of_earlier_process, open_store, close_store),
	    cmocka_unit_test_setup_teardown(
		test_first_era, open_store, close_store)};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
