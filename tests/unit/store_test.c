/**
 * @file store_test.c
 * The client of the platform's store against a stand-in of the store on the
 * loopback address: what it does with responses that it cannot accept, and how
 * many calls that takes.
 */
#include "base/clock.h"
#include "platform.h"
#include "task/config_fetch.h"
#include "task/store.h"
#include "task/udp.h"
#include "task/web.h"

#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

#include <cmocka.h>

/** Longest time in ms that a test waits for an effect. */
#define TEST_TIMEOUT_MS 5000
/** Over the client's limit of 1,100 KiB for a body. */
#define LARGE_BYTES ((size_t)1300 * 1024)
#define RESPONSE_MAX (LARGE_BYTES + 4096)

/** What the stand-in answers to a watch from an older revision. */
enum watch_answer {
	WATCH_EVENTS,
	WATCH_TOO_LARGE,
	WATCH_NOT_JSON
};

/** The stand-in, and what the client's callbacks reported. */
static struct {
	struct web web;
	unsigned revision;
	unsigned version;
	bool malformed; /* the configuration object has no routes */
	enum watch_answer watch_answer;
	unsigned fail;	      /* so many calls get status 503 */
	unsigned holds;	      /* watches that may be held */
	unsigned calls;	      /* for the configuration */
	bool lists_too_large; /* answers to reads of entries and records */
	unsigned reads;	      /* of the current configuration */
	unsigned old_watches; /* watches from a revision before the present */
	bool foreign_objects; /* unreadable ones among the others */
	unsigned lists;
	unsigned posts;
	uint64_t puts;
	unsigned records;
	unsigned copies; /* reads of the configuration of a process */
} stand_in;

static struct {
	uint64_t version;
	uint64_t watch_states; /* calls of the callback */
	bool watch_ok;
	unsigned calls; /* of the stand-in, at the latest of them */
	unsigned holds;
	unsigned members; /* pages of entries */
	uint64_t entries; /* in the latest page */
	uint64_t evacuated;
	unsigned records;
	size_t record_len;
	uint64_t announced;
	unsigned established;
} seen;

static uv_loop_t loop;
static char url[64];
static char *body;
static bool expired;

/* ---- the stand-in ---- */

static size_t
write_config(char *out, size_t cap)
{
	int n = snprintf(out, cap,
	    "{\"meta\": {\"name\": \"main\", \"revision\": %u}, \"spec\": "
	    "{\"version\": %u%s}}",
	    stand_in.revision, stand_in.version,
	    stand_in.malformed ? "" : ", \"routes\": []");

	return (size_t)n;
}

/* An object of another program, which cannot be decoded. */
static size_t
write_foreign(char *out)
{
	return (size_t)sprintf(out,
	    "{\"meta\": {\"name\": \"other\", \"revision\": 3}, \"spec\": "
	    "{\"address\": \"\\ud800\", \"count\": 1e999}}");
}

static size_t
write_large(void)
{
	memset(body, ' ', LARGE_BYTES);
	memcpy(body, "{}", 2);
	return LARGE_BYTES;
}

static size_t
write_state(void)
{
	size_t len = (size_t)sprintf(body, "{\"items\": [");

	stand_in.reads++;
	if (stand_in.foreign_objects) {
		len += write_foreign(body + len);
		body[len++] = ',';
	}
	len += write_config(body + len, 512);
	return len + (size_t)sprintf(body + len,
			 "], \"has_more\": false, \"as_of\": %u}",
			 stand_in.revision);
}

static size_t
write_changes(unsigned since)
{
	size_t len = (size_t)sprintf(body, "{\"events\": [");

	if (since < stand_in.revision) {
		stand_in.old_watches++;
		if (stand_in.watch_answer == WATCH_TOO_LARGE)
			return write_large();
		if (stand_in.watch_answer == WATCH_NOT_JSON)
			return len;
		len += (size_t)sprintf(
		    body + len, "{\"deleted\": false, \"object\": ");
		len += write_config(body + len, 512);
		len += (size_t)sprintf(body + len, "}");
		if (stand_in.foreign_objects) {
			len += (size_t)sprintf(
			    body + len, ", {\"deleted\": false, \"object\": ");
			len += write_foreign(body + len);
			len += (size_t)sprintf(body + len, "}");
		}
	}
	return len + (size_t)sprintf(
			 body + len, "], \"as_of\": %u}", stand_in.revision);
}

/* One entry, with a name that exceeds PLATFORM_NAME_MAX, and always another
 * page.
 */
static size_t
write_entries(void)
{
	stand_in.lists++;
	if (stand_in.lists_too_large)
		return write_large();
	return (size_t)sprintf(body,
	    "{\"items\": [{\"meta\": {\"name\": \"%0300d\"}}], "
	    "\"has_more\": true, \"as_of\": 1}",
	    7);
}

/* Two good objects with an unreadable one between them. */
static size_t
write_mixed_list(void)
{
	size_t len = (size_t)sprintf(body,
	    "{\"items\": [{\"meta\": {\"name\": \"a\"}, \"spec\": "
	    "{\"address\": \"10.1.0.1:7700\"}}, ");

	stand_in.lists++;
	len += write_foreign(body + len);
	return len + (size_t)sprintf(body + len,
			 ", {\"meta\": {\"name\": \"b\"}, \"spec\": "
			 "{\"address\": \"10.1.0.2:7700\"}}], "
			 "\"has_more\": false, \"as_of\": 5}");
}

/* The entry exists until it is replaced, and is another program's. */
static void
write_entry(const struct web_request *request, struct web_response *response)
{
	if (str_is(request->method, "PUT")) {
		stand_in.puts++;
		response->status = 200;
		response->body.len = 0;
		return;
	}
	stand_in.posts++;
	response->status = 409;
	response->body.len = write_foreign(body);
}

static void
on_request(
    void *ctx, const struct web_request *request, struct web_response *response)
{
	char path[WEB_PATH_MAX + 1];
	const char *watch;

	(void)ctx;
	str_copy(path, sizeof(path), request->path);
	watch = strstr(path, "watch=");
	response->status = 200;
	response->type = "application/json";
	response->body.p = body;
	if (!str_is(request->method, "GET")) {
		write_entry(request, response);
	} else if (strncmp(path, "/v1/objects/evacuations", 23) == 0) {
		response->body.len = write_mixed_list();
	} else if (strncmp(path, "/v1/objects/balancers", 21) == 0) {
		response->body.len = stand_in.foreign_objects
					 ? write_mixed_list()
					 : write_entries();
	} else if (strcmp(path, CONFIG_FETCH_PATH) == 0) {
		stand_in.copies++;
		response->body = str_of("not a protobuf");
	} else if (strncmp(path, "/v1/objects/flows", 17) == 0) {
		stand_in.records++;
		response->body.len = write_large();
	} else if (stand_in.fail > 0) {
		stand_in.calls++;
		stand_in.fail--;
		response->status = 503;
		response->body.len = 0;
	} else if (watch != NULL) {
		stand_in.calls++;
		if (strstr(path, "wait_ms=0") == NULL)
			stand_in.holds++;
		response->body.len =
		    write_changes((unsigned)strtoul(watch + 6, NULL, 10));
	} else {
		response->body.len = write_state();
	}
}

/* ---- the client ---- */

static void
on_config(void *ctx, struct platform_config *c)
{
	(void)ctx;
	seen.version = c->routes.version;
}

static void
on_watch_state(void *ctx, bool ok)
{
	(void)ctx;
	seen.watch_states++;
	seen.watch_ok = ok;
	seen.calls = stand_in.calls;
	seen.holds = stand_in.holds;
}

static void
on_members(void *ctx, const struct balancer_entries *list)
{
	(void)ctx;
	seen.members++;
	seen.entries = list->count;
}

static void
on_evacuations(
    void *ctx, uint64_t revision, const uint32_t *tags, uint32_t count)
{
	(void)ctx;
	(void)revision;
	(void)tags;
	seen.evacuated = count;
}

static void
on_record_read(void *ctx, struct str record)
{
	(void)ctx;
	seen.records++;
	seen.record_len = record.len;
}

static void
on_announced(void *ctx, bool was_established)
{
	(void)ctx;
	seen.announced++;
	seen.established += was_established;
}

static const struct store_callbacks callbacks = {.config = on_config,
    .watch_state = on_watch_state,
    .announced = on_announced,
    .members = on_members,
    .evacuations = on_evacuations,
    .record_read = on_record_read};

static struct fetcher *fetcher;
static struct store *store;
static struct counters counters;

static void
open_store(void)
{
	static struct store_setup setup = {
	    .url = url, .calls_per_s = 50, .seed = 1};
	struct sockaddr_in sin;
	int len = sizeof(sin);
	struct status st;

	memset(&stand_in, 0, sizeof(stand_in));
	memset(&seen, 0, sizeof(seen));
	stand_in.revision = 10;
	stand_in.version = 1;
	body = mem_new(RESPONSE_MAX);
	uv_loop_init(&loop);
	st = web_open(&stand_in.web, &loop, (struct addr){0x7f000001, 0},
	    on_request, NULL);
	assert_int_equal(st.code, STATUS_OK);
	uv_tcp_getsockname(
	    &stand_in.web.listener, (struct sockaddr *)&sin, &len);
	snprintf(url, sizeof(url), "http://127.0.0.1:%u", ntohs(sin.sin_port));
	setup.platform_ops = &platform_edge;
	fetcher = fetcher_new(&loop);
	store = store_new(&loop, fetcher, &setup, &callbacks, NULL, &counters);
}

static void
close_store(void)
{
	store_free(store);
	fetcher_free(fetcher);
	web_close(&stand_in.web);
	uv_run(&loop, UV_RUN_DEFAULT);
	assert_int_equal(uv_loop_close(&loop), 0);
	free(body);
}

static void
on_expired(uv_timer_t *t)
{
	(void)t;
	expired = true;
}

/* Runs the loop for ms, or until *value has reached `until`. */
static void
run_until(const uint64_t *value, uint64_t until, uint64_t ms)
{
	uv_timer_t timer;

	expired = false;
	uv_timer_init(&loop, &timer);
	uv_timer_start(&timer, on_expired, ms, 0);
	while (!expired && (value == NULL || *value < until))
		uv_run(&loop, UV_RUN_ONCE);
	uv_close((uv_handle_t *)&timer, NULL);
	uv_run(&loop, UV_RUN_NOWAIT);
}

static void
run_for(uint64_t ms)
{
	run_until(NULL, 0, ms);
}

static void
start_watch(void)
{
	open_store();
	store_watch_config(store, true);
	run_until(&seen.version, 1, TEST_TIMEOUT_MS);
	assert_int_equal(seen.version, 1);
	run_for(400); /* the pause after a new configuration */
}

/* ---- tests ---- */

/*
 * Guards against a watch that is repeated from a revision whose changes are
 * more than the client accepts: the version was in force only once the store
 * had dropped its history.
 */
static void
test_watch_answer_too_large(void **state)
{
	(void)state;
	start_watch();
	stand_in.watch_answer = WATCH_TOO_LARGE;
	stand_in.version = 2;
	stand_in.revision = 11;
	run_until(&seen.version, 2, TEST_TIMEOUT_MS);
	assert_int_equal(seen.version, 2);
	assert_int_equal(stand_in.old_watches, 1);
	assert_int_equal(stand_in.reads, 2);
	close_store();
}

/* The same for an answer that is not JSON. */
static void
test_watch_answer_not_json(void **state)
{
	(void)state;
	start_watch();
	stand_in.watch_answer = WATCH_NOT_JSON;
	stand_in.version = 2;
	stand_in.revision = 11;
	run_until(&seen.version, 2, TEST_TIMEOUT_MS);
	assert_int_equal(seen.version, 2);
	assert_int_equal(stand_in.old_watches, 1);
	assert_int_equal(stand_in.reads, 2);
	close_store();
}

/*
 * Guards against a malformed configuration that is read over and over: changes
 * after it are awaited, and the next version is applied.
 */
static void
test_malformed_config_is_read_once(void **state)
{
	(void)state;
	start_watch();
	stand_in.malformed = true;
	stand_in.version = 2;
	stand_in.revision = 11;
	run_for(2000);
	assert_int_equal(seen.version, 1);
	assert_int_equal(stand_in.old_watches, 1);
	assert_int_equal(stand_in.reads, 2);
	stand_in.malformed = false;
	stand_in.version = 3;
	stand_in.revision = 12;
	run_until(&seen.version, 3, TEST_TIMEOUT_MS);
	assert_int_equal(seen.version, 3);
	close_store();
}

/* A balancer that starts with a malformed configuration in the store awaits a
 * change, too. */
static void
test_start_with_malformed_config(void **state)
{
	(void)state;
	open_store();
	stand_in.malformed = true;
	store_watch_config(store, true);
	run_for(2000);
	assert_int_equal(stand_in.reads, 1);
	stand_in.malformed = false;
	stand_in.version = 2;
	stand_in.revision = 11;
	run_until(&seen.version, 2, TEST_TIMEOUT_MS);
	assert_int_equal(seen.version, 2);
	close_store();
}

/*
 * Guards against a list of entries that is read without end: one that is too
 * large is given up, and so is a next page that would be the same one again,
 * because a foreign entry's name is longer than any of ours.
 */
static void
test_entries(void **state)
{
	(void)state;
	open_store();
	store_list_members(store);
	run_for(2000);
	assert_int_equal(stand_in.lists, 2);
	assert_int_equal(seen.members, 2);
	stand_in.lists = 0;
	stand_in.lists_too_large = true;
	store_list_members(store);
	run_for(2000);
	assert_int_equal(stand_in.lists, 1);
	assert_int_equal(seen.members, 2);
	close_store();
}

/*
 * Guards against an unreadable object of another program that hides the others:
 * the balancers' entries, the evacuations, and a new version of the
 * configuration.
 */
static void
test_foreign_objects(void **state)
{
	(void)state;
	open_store();
	stand_in.foreign_objects = true;
	store_list_members(store);
	run_until(&seen.entries, 2, TEST_TIMEOUT_MS);
	assert_int_equal(seen.entries, 2);
	store_watch_evacuations(store, true);
	run_until(&seen.evacuated, 3, TEST_TIMEOUT_MS);
	store_watch_evacuations(store, false);
	assert_int_equal(seen.evacuated, 3);
	store_watch_config(store, true);
	run_until(&seen.version, 1, TEST_TIMEOUT_MS);
	assert_int_equal(seen.version, 1);
	run_for(400);
	stand_in.version = 2;
	stand_in.revision = 11;
	run_until(&seen.version, 2, TEST_TIMEOUT_MS);
	assert_int_equal(seen.version, 2);
	assert_int_equal(stand_in.reads, 1);
	assert_int_equal(stand_in.old_watches, 1);
	close_store();
}

/* Guards against a balancer whose entry is never written, because another
 * program has left an unreadable one of its name. */
static void
test_own_entry_unreadable(void **state)
{
	const struct balancer_entry self = {.name = "other", .id = 7};

	(void)state;
	open_store();
	store_announce(store, &self, "east");
	run_until(&stand_in.puts, 1, TEST_TIMEOUT_MS);
	run_for(400); /* longer than the pause before a further try */
	assert_int_equal(stand_in.posts, 1);
	assert_int_equal(stand_in.puts, 1);
	assert_int_equal(seen.announced, 1);
	assert_int_equal(seen.established, 0);
	close_store();
}

/* Guards against a record that is too large and is read without end, so that
 * the agent never learns that there is no usable record. */
static void
test_record_too_large(void **state)
{
	(void)state;
	open_store();
	store_read_record(store, "side-1");
	run_for(2000);
	assert_int_equal(stand_in.records, 1);
	assert_int_equal(seen.records, 1);
	assert_int_equal(seen.record_len, 0);
	close_store();
}

/* Returns a server that accepts connections and never responds. */
static int
open_silent_server(char *out, size_t cap)
{
	struct sockaddr_in sin = addr_to_sys((struct addr){0x7f000001, 0});
	socklen_t len = sizeof(sin);
	int fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);

	assert_true(fd >= 0);
	assert_int_equal(bind(fd, (struct sockaddr *)&sin, len), 0);
	assert_int_equal(listen(fd, 8), 0);
	assert_int_equal(getsockname(fd, (struct sockaddr *)&sin, &len), 0);
	snprintf(out, cap, "http://127.0.0.1:%u", ntohs(sin.sin_port));
	return fd;
}

/*
 * Guards against a watch that is cut off from the store and reported too late
 * for other balancers to read a new version in time: within the 1 s for which
 * the store holds it and 0.9 s. When the store answers again this is reported
 * after one call, which the store does not hold.
 */
static void
test_watch_cut_off(void **state)
{
	char working_url[sizeof(url)];
	uint64_t begin;
	int fd;

	(void)state;
	start_watch();
	run_for(200);
	assert_true(seen.watch_ok);
	memcpy(working_url, url, sizeof(url));
	fd = open_silent_server(url, sizeof(url));
	run_for(50);
	begin = uv_hrtime();
	seen.watch_states = 0;
	run_until(&seen.watch_states, 1, TEST_TIMEOUT_MS);
	assert_false(seen.watch_ok);
	assert_true(uv_hrtime() - begin < 2500 * NS_PER_MS);
	stand_in.holds = 0;
	stand_in.calls = 0;
	memcpy(url, working_url, sizeof(url));
	seen.watch_states = 0;
	run_until(&seen.watch_states, 1, TEST_TIMEOUT_MS);
	assert_true(seen.watch_ok);
	assert_int_equal(seen.calls, 1);
	assert_int_equal(seen.holds, 0);
	close(fd);
	close_store();
}

/*
 * Guards against balancers that all begin to watch because the store has reset
 * a connection, or failed a single call: the second failure in a row is
 * reported.
 */
static void
test_single_failure_is_not_reported(void **state)
{
	(void)state;
	start_watch();
	run_for(200);
	stand_in.fail = 1;
	run_for(1000);
	assert_int_equal(stand_in.fail, 0);
	assert_true(seen.watch_ok);
	seen.watch_states = 0;
	stand_in.fail = 1000;
	run_until(&seen.watch_states, 1, TEST_TIMEOUT_MS);
	assert_false(seen.watch_ok);
	assert_int_equal(stand_in.fail, 998);
	/* A balancer that is no longer to watch makes no more calls. */
	store_watch_config(store, false);
	run_for(500);
	stand_in.calls = 0;
	seen.watch_states = 0;
	run_for(2000);
	assert_int_equal(stand_in.calls, 0);
	assert_int_equal(seen.watch_states, 0);
	close_store();
}

static void
on_copy(void *ctx, struct routes *routes, struct str encoded)
{
	(void)ctx;
	(void)routes;
	(void)encoded;
	seen.version = 99;
}

/* Guards against a process whose copy of the configuration cannot be decoded
 * and is read again with each heartbeat. */
static void
test_malformed_copy(void **state)
{
	struct config_fetch f = {.ctr = &counters, .read = on_copy};
	struct addr from = {0x7f000001, 0};
	struct clock c = clock_system();

	(void)state;
	open_store();
	f.fetcher = fetcher;
	from.port = (uint16_t)strtoul(strrchr(url, ':') + 1, NULL, 10);
	for (int i = 0; i < 30; i++) {
		config_fetch_start(&f, addr_pack(from), clock_now_ns(&c));
		run_for(50);
	}
	assert_int_equal(stand_in.copies, 1);
	assert_int_equal(seen.version, 0);
	config_fetch_cancel(&f);
	close_store();
}

int
main(void)
{
	const struct CMUnitTest tests[] = {
	    cmocka_unit_test(test_watch_answer_too_large),
	    cmocka_unit_test(test_watch_answer_not_json),
	    cmocka_unit_test(test_malformed_config_is_read_once),
	    cmocka_unit_test(test_start_with_malformed_config),
	    cmocka_unit_test(test_entries),
	    cmocka_unit_test(test_foreign_objects),
	    cmocka_unit_test(test_own_entry_unreadable),
	    cmocka_unit_test(test_record_too_large),
	    cmocka_unit_test(test_watch_cut_off),
	    cmocka_unit_test(test_single_failure_is_not_reported),
	    cmocka_unit_test(test_malformed_copy)};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
