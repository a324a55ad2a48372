#include "base/event.h"

#include "base/clock.h"
#include "base/str.h"

#include <poll.h>
#include <stdarg.h>
#include <stdio.h>
#include <string.h>
#include <unistd.h>

/** Size in bytes of the buffer for lines that are not yet written. */
#define BUFFER_BYTES 32768
/** Limit of a line in bytes; below PIPE_BUF, so that writes to a pipe are
 * atomic. */
#define LINE_BYTES 1024
/** Limit of one write in bytes: PIPE_BUF, the room in a pipe that poll(2)
 * guarantees with POLLOUT. */
#define WRITE_BYTES 4096
/** Kinds with a drop counter of their own; the last entry counts all other
 * kinds. */
#define KINDS_MAX 24
/** Token bucket size: the budget of this many seconds. */
#define BURST_S 3

static struct {
	int fd;
	bool open;
	unsigned per_s;
	uint64_t tokens_milli; /**< token bucket, in 1/1000 lines */
	uint64_t now_ns;
	char text[BUFFER_BYTES];
	size_t len;
	uint64_t dropped_total;
	struct {
		const char *kind;
		uint64_t count;
	} dropped[KINDS_MAX];
} log_state;

void
event_init(int fd, unsigned per_s)
{
	log_state.fd = fd;
	log_state.per_s = per_s;
	log_state.tokens_milli = (uint64_t)per_s * BURST_S * 1000;
	log_state.open = true;
}

uint64_t
event_dropped_count(void)
{
	return log_state.dropped_total;
}

static void
count_dropped(const char *kind)
{
	size_t i = 0;

	log_state.dropped_total++;
	/* The pointers can be kept, since kinds are string literals. The same
	 * literal may have several addresses, so texts are compared. */
	while (i < KINDS_MAX - 1 && log_state.dropped[i].kind != NULL &&
	       strcmp(log_state.dropped[i].kind, kind) != 0)
		i++;
	if (i == KINDS_MAX - 1 && log_state.dropped[i].kind == NULL)
		kind = "other";
	if (log_state.dropped[i].kind == NULL)
		log_state.dropped[i].kind = kind;
	log_state.dropped[i].count++;
}

static bool
append(json_t *line)
{
	size_t room = BUFFER_BYTES - log_state.len;
	size_t len = json_dumpb(line, log_state.text + log_state.len,
	    room < LINE_BYTES ? room : LINE_BYTES, JSON_COMPACT);

	if (len == 0 || len >= LINE_BYTES || len >= room)
		return false;
	log_state.len += len;
	log_state.text[log_state.len++] = '\n';
	return true;
}

static json_t *
begin_line(const char *kind)
{
	return json_pack("{s:s, s:I}", "event", kind, "at_ms",
	    (json_int_t)(log_state.now_ns / NS_PER_MS));
}

void
event(const char *kind, const char *fmt, ...)
{
	char braced[160];
	json_t *line;
	json_t *rest;
	va_list ap;

	if (!log_state.open)
		return;
	if (log_state.tokens_milli < 1000) {
		count_dropped(kind);
		return;
	}
	log_state.tokens_milli -= 1000;
	snprintf(braced, sizeof(braced), "{%s}", fmt);
	va_start(ap, fmt);
	rest = json_vpack_ex(NULL, 0, braced, ap);
	va_end(ap);
	line = begin_line(kind);
	if (rest == NULL || json_object_update(line, rest) != 0 ||
	    !append(line))
		count_dropped(kind);
	json_decref(rest);
	json_decref(line);
}

static void
report_dropped(void)
{
	for (size_t i = 0; i < KINDS_MAX && log_state.dropped[i].kind != NULL;
	     i++) {
		json_t *line;

		if (log_state.dropped[i].count == 0)
			continue;
		line = begin_line("events_left_out");
		json_object_set_new(
		    line, "kind", json_string(log_state.dropped[i].kind));
		json_object_set_new(line, "count",
		    json_integer((json_int_t)log_state.dropped[i].count));
		if (append(line))
			log_state.dropped[i].count = 0;
		json_decref(line);
	}
}

/* Length in bytes of the complete lines that fit one write. */
static size_t
complete_lines_len(void)
{
	size_t n = log_state.len < WRITE_BYTES ? log_state.len : WRITE_BYTES;

	while (n > 0 && log_state.text[n - 1] != '\n')
		n--;
	return n;
}

static bool
is_writable(void)
{
	struct pollfd p = {.fd = log_state.fd, .events = POLLOUT};

	return poll(&p, 1, 0) == 1 && (p.revents & POLLOUT) != 0 &&
	       (p.revents & (POLLERR | POLLHUP)) == 0;
}

void
event_flush(uint64_t now_ns)
{
	uint64_t gap = now_ns - log_state.now_ns;
	uint64_t full = (uint64_t)log_state.per_s * BURST_S * 1000;

	if (gap > BURST_S * NS_PER_S)
		gap = BURST_S * NS_PER_S;
	log_state.tokens_milli += gap * log_state.per_s / NS_PER_MS;
	if (log_state.tokens_milli > full)
		log_state.tokens_milli = full;
	if (now_ns / NS_PER_S != log_state.now_ns / NS_PER_S)
		report_dropped();
	log_state.now_ns = now_ns;
	while (log_state.len > 0 && is_writable()) {
		size_t n = complete_lines_len();
		ssize_t done = write(log_state.fd, log_state.text, n);

		if (done <= 0)
			return;
		log_state.len -= (size_t)done;
		memmove(log_state.text, log_state.text + done, log_state.len);
	}
}
