#include "base/clock.h"
#include "base/event.h"
#include "base/latency.h"
#include "flow_commands.h"
#include "runner.h"
#include "script.h"

#include <fcntl.h>
#include <stdlib.h>
#include <string.h>
#include <unistd.h>

static void
print_lines(int fd)
{
	char text[8192];
	ssize_t n = read(fd, text, sizeof(text) - 1);

	text[n > 0 ? n : 0] = '\0';
	script_printf("%s", text);
}

static unsigned
count_lines(int fd)
{
	char text[4096];
	unsigned lines = 0;
	ssize_t n;

	while ((n = read(fd, text, sizeof(text))) > 0) {
		for (ssize_t i = 0; i < n; i++)
			lines += text[i] == '\n' ? 1 : 0;
	}
	return lines;
}

/* log plain|full|closed: writes to a pipe that is read, full, or closed */
void
do_log(const char *arg, const char *body)
{
	int ends[2];
	uint64_t before = event_dropped_count();

	(void)body;
	if (pipe2(ends, O_NONBLOCK) != 0)
		return;
	script_now_ns += 10 * NS_PER_S;
	event_init(ends[1], 1000);
	event_flush(script_now_ns);
	if (strcmp(arg, "plain") == 0) {
		event("sample", "s:s, s:i", "text", "a \"quoted\"\n", "n", 7);
		event_flush(script_now_ns);
		print_lines(ends[0]);
		close(ends[0]);
		close(ends[1]);
		return;
	}
	if (strcmp(arg, "closed") == 0)
		close(ends[0]);
	for (int i = 0; i < 5000; i++) {
		event("sample", "s:s, s:i", "text", "of some length", "n", i);
		if (i % 100 == 0) {
			script_now_ns += 200 * NS_PER_MS;
			event_flush(script_now_ns);
		}
	}
	script_printf(
	    "  dropped %s\n", event_dropped_count() > before ? "some" : "none");
	if (strcmp(arg, "full") == 0) {
		script_printf(
		    "  read %s\n", count_lines(ends[0]) > 0 ? "some" : "none");
		script_now_ns += 2 * NS_PER_S;
		event_flush(script_now_ns);
		script_now_ns += 2 * NS_PER_S;
		event_flush(script_now_ns);
		script_printf("  reported %s\n",
		    count_lines(ends[0]) > 0 ? "them" : "nothing");
		close(ends[0]);
	}
	close(ends[1]);
}

/* latency MS...: records values in a histogram and prints its metrics */
void
do_latency(const char *arg, const char *body)
{
	struct words w;
	struct latency l = {0};
	char text[2048];
	size_t len;

	(void)body;
	words_split(&w, arg);
	for (size_t i = 0; i < w.count; i++)
		latency_record(&l, words_get_u32(&w, i) * NS_PER_MS);
	len = latency_write(&l, "sample", text, sizeof(text));
	script_printf("%.*s", (int)len, text);
	script_printf(
	    "  too small %zu\n", latency_write(&l, "sample", text, 64));
}
