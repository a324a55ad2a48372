/**
 * @file testbed.c
 * Main program of the test environment for flow balancers and agents.
 *
 * usage: standin-hall NET BALANCERS TARGETS CALLERS SEED
 *
 * It reads one command a line from standard input:
 *   change        replace the configuration by a newer version
 *   away, back    begin or end an outage of the store
 *   restore       return the store to a copy that is some seconds old
 *   leave N       drain target N
 *   crash N       crash target N
 *   break NAME    inject a fault, see names[] in inject_fault()
 *   count         print the counters
 *   end           stop the callers, then print the counters and exit
 */
#include "testbed.h"

#include <signal.h>
#include <sodium.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

/** Time in ms that callers have to finish after the command "end". */
#define END_MS 3500

static struct testbed testbed;
static uv_pipe_t input;
static uv_timer_t end_timer;
static char line[256];
static size_t line_len;

static void
print_counts(void)
{
	const struct testbed_counts *c = &testbed.counts;

	printf("requests %llu answers %llu lost %llu resets %llu strays %llu "
	       "misrouted %llu "
	       "mixed %llu changed %llu late %llu checks %llu version %u\n",
	    (unsigned long long)c->requests, (unsigned long long)c->answers,
	    (unsigned long long)c->lost, (unsigned long long)c->resets,
	    (unsigned long long)c->strays, (unsigned long long)c->misrouted,
	    (unsigned long long)c->mismatched, (unsigned long long)c->corrupted,
	    (unsigned long long)c->late_openings, (unsigned long long)c->checks,
	    testbed_store_version());
	fflush(stdout);
}

static void
on_end_timer(uv_timer_t *t)
{
	(void)t;
	print_counts();
	exit(0);
}

static void
inject_fault(const char *name)
{
	static const char *const names[FAULT_COUNT] = {
	    "nothing", "route", "mixed", "changed", "reset", "late"};

	for (int i = 0; i < FAULT_COUNT; i++) {
		if (strcmp(names[i], name) == 0)
			testbed.fault = (enum testbed_fault)i;
	}
	testbed_store_increment_version();
}

static void
run_command(const char *text)
{
	size_t n = 0;

	if (strcmp(text, "change") == 0)
		testbed_store_increment_version();
	else if (strcmp(text, "away") == 0)
		testbed_store_set_outage(true);
	else if (strcmp(text, "back") == 0)
		testbed_store_set_outage(false);
	else if (strcmp(text, "restore") == 0)
		testbed_store_restore();
	else if (sscanf(text, "leave %zu", &n) == 1)
		testbed_target_drain(n % testbed.targets);
	else if (sscanf(text, "crash %zu", &n) == 1)
		testbed_target_crash(n % testbed.targets);
	else if (strncmp(text, "break ", 6) == 0)
		inject_fault(text + 6);
	else if (strcmp(text, "count") == 0)
		print_counts();
	else if (strcmp(text, "end") == 0) {
		testbed.closing = true;
		uv_timer_start(&end_timer, on_end_timer, END_MS, 0);
	} else
		fprintf(stderr, "unknown command: %s\n", text);
}

static void
on_alloc(uv_handle_t *h, size_t size, uv_buf_t *buf)
{
	static char room[256];

	(void)h;
	(void)size;
	*buf = uv_buf_init(room, sizeof(room));
}

static void
on_input(uv_stream_t *s, ssize_t n, const uv_buf_t *buf)
{
	if (n < 0) {
		/* The script that sends the commands has ended. */
		uv_read_stop(s);
		exit(0);
	}
	for (ssize_t i = 0; i < n; i++) {
		if (buf->base[i] != '\n' && line_len + 1 < sizeof(line)) {
			line[line_len++] = buf->base[i];
			continue;
		}
		line[line_len] = '\0';
		line_len = 0;
		run_command(line);
	}
}

int
main(int argc, char **argv)
{
	if (argc != 6) {
		fprintf(stderr,
		    "usage: standin-hall NET BALANCERS TARGETS CALLERS SEED\n");
		return 64;
	}
	if (sodium_init() < 0)
		return 1;
	signal(SIGPIPE, SIG_IGN);
	testbed.loop = uv_default_loop();
	testbed.net = (unsigned)atoi(argv[1]);
	testbed.balancers = (size_t)atoi(argv[2]);
	testbed.targets = (size_t)atoi(argv[3]);
	testbed.callers = (size_t)atoi(argv[4]);
	if (testbed.balancers > TESTBED_BALANCERS_MAX ||
	    testbed.targets > TESTBED_TARGETS_MAX ||
	    testbed.callers > TESTBED_CALLERS_MAX ||
	    testbed.targets < TESTBED_SERVICES) {
		fprintf(stderr, "standin-hall: number of balancers, targets or "
				"callers out of range\n");
		return 64;
	}
	rng_init(&testbed.rng, strtoull(argv[5], NULL, 10));
	testbed.fetcher = fetcher_new(testbed.loop);
	testbed_store_open(&testbed);
	testbed_targets_open(&testbed);
	testbed_callers_open(&testbed);
	uv_timer_init(testbed.loop, &end_timer);
	uv_pipe_init(testbed.loop, &input, 0);
	uv_pipe_open(&input, 0);
	uv_read_start((uv_stream_t *)&input, on_alloc, on_input);
	return uv_run(testbed.loop, UV_RUN_DEFAULT);
}
