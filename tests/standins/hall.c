/**
 * @file hall.c
 * The hall's program: standin-hall NET BALANCERS TARGETS CALLERS SEED. It
 * reads commands from standard input, a line each: change, away, back,
 * leave N, crash N, count, end; "count" and "end" print what was checked.
 */
#include "hall.h"

#include <signal.h>
#include <sodium.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

/** After "end" callers get this long to finish, ms. */
#define END_MS 3500

static struct hall hall;
static uv_pipe_t input;
static uv_timer_t ending;
static char line[256];
static size_t line_len;

static void
print_counts(void)
{
	const struct hall_counts *c = &hall.counts;

	printf(
	    "requests %llu answers %llu lost %llu resets %llu misrouted %llu "
	    "mixed %llu changed %llu late %llu checks %llu version %u\n",
	    (unsigned long long)c->requests, (unsigned long long)c->answers,
	    (unsigned long long)c->lost, (unsigned long long)c->resets,
	    (unsigned long long)c->misrouted, (unsigned long long)c->mixed,
	    (unsigned long long)c->changed, (unsigned long long)c->late,
	    (unsigned long long)c->checks, hall_store_version());
	fflush(stdout);
}

static void
on_end(uv_timer_t *t)
{
	(void)t;
	print_counts();
	exit(0);
}

static void
run_break(const char *name)
{
	static const char *const names[BROKEN_COUNT] = {
	    "nothing", "route", "mixed", "changed", "reset", "late"};

	for (int i = 0; i < BROKEN_COUNT; i++) {
		if (strcmp(names[i], name) == 0)
			hall.broken = (enum hall_broken)i;
	}
	hall_store_change();
}

static void
run_line(const char *text)
{
	size_t n = 0;

	if (strcmp(text, "change") == 0)
		hall_store_change();
	else if (strcmp(text, "away") == 0)
		hall_store_away(true);
	else if (strcmp(text, "back") == 0)
		hall_store_away(false);
	else if (sscanf(text, "leave %zu", &n) == 1)
		hall_target_leave(n % hall.targets);
	else if (sscanf(text, "crash %zu", &n) == 1)
		hall_target_crash(n % hall.targets);
	else if (strncmp(text, "break ", 6) == 0)
		run_break(text + 6);
	else if (strcmp(text, "count") == 0)
		print_counts();
	else if (strcmp(text, "end") == 0) {
		hall.closing = true;
		uv_timer_start(&ending, on_end, END_MS, 0);
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
		/* Whoever started it is gone. */
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
		run_line(line);
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
	curl_global_init(CURL_GLOBAL_ALL);
	hall.loop = uv_default_loop();
	hall.net = (unsigned)atoi(argv[1]);
	hall.balancers = (size_t)atoi(argv[2]);
	hall.targets = (size_t)atoi(argv[3]);
	hall.callers = (size_t)atoi(argv[4]);
	if (hall.balancers > HALL_BALANCERS_MAX ||
	    hall.targets > HALL_TARGETS_MAX ||
	    hall.callers > HALL_CALLERS_MAX || hall.targets < HALL_SERVICES) {
		fprintf(stderr, "standin-hall: too many or too few\n");
		return 64;
	}
	rng_init(&hall.rng, strtoull(argv[5], NULL, 10));
	hall.fetcher = fetcher_new(hall.loop);
	hall_store_open(&hall);
	hall_targets_open(&hall);
	hall_callers_open(&hall);
	uv_timer_init(hall.loop, &ending);
	uv_pipe_init(hall.loop, &input, 0);
	uv_pipe_open(&input, 0);
	uv_read_start((uv_stream_t *)&input, on_alloc, on_input);
	return uv_run(hall.loop, UV_RUN_DEFAULT);
}
