#include "base/event.h"

#include "base/clock.h"
#include "base/str.h"

#include <poll.h>
#include <stdarg.h>
#include <stdio.h>
#include <string.h>
#include <unistd.h>

/** Lines gathered between two flushes, bytes. */
#define GATHER_BYTES 32768
/** Longest line, bytes; below PIPE_BUF, so a pipe takes it whole. */
#define LINE_BYTES 1024
/** One write, bytes: what poll(2) promises room for in a pipe. */
#define WRITE_BYTES 4096
/** Kinds whose left out lines are counted apart. */
#define KINDS_MAX 24
/** The budget is saved up for this long, s. */
#define BURST_S 3

static struct {
	int fd;
	bool open;
	unsigned per_s;
	uint64_t credit_milli; /**< lines that may be gathered, times 1000 */
	uint64_t now_ns;
	char text[GATHER_BYTES];
	size_t len;
	uint64_t left_out;
	struct {
		const char *kind;
		uint64_t count;
	} missed[KINDS_MAX];
} log_state;

void
event_begin(int fd, unsigned per_s)
{
	log_state.fd = fd;
	log_state.per_s = per_s;
	log_state.credit_milli = (uint64_t)per_s * BURST_S * 1000;
	log_state.open = true;
}

uint64_t
event_left_out(void)
{
	return log_state.left_out;
}

static void
leave_out(const char *kind)
{
	size_t i = 0;

	log_state.left_out++;
	/* Kinds are literals: the same kind is the same pointer or text. */
	while (i < KINDS_MAX - 1 && log_state.missed[i].kind != NULL &&
	       strcmp(log_state.missed[i].kind, kind) != 0)
		i++;
	if (i == KINDS_MAX - 1 && log_state.missed[i].kind == NULL)
		kind = "other";
	if (log_state.missed[i].kind == NULL)
		log_state.missed[i].kind = kind;
	log_state.missed[i].count++;
}

static bool
append(json_t *line)
{
	size_t room = GATHER_BYTES - log_state.len;
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
	if (log_state.credit_milli < 1000) {
		leave_out(kind);
		return;
	}
	log_state.credit_milli -= 1000;
	snprintf(braced, sizeof(braced), "{%s}", fmt);
	va_start(ap, fmt);
	rest = json_vpack_ex(NULL, 0, braced, ap);
	va_end(ap);
	line = begin_line(kind);
	if (rest == NULL || json_object_update(line, rest) != 0 ||
	    !append(line))
		leave_out(kind);
	json_decref(rest);
	json_decref(line);
}

static void
tell_left_out(void)
{
	for (size_t i = 0; i < KINDS_MAX && log_state.missed[i].kind != NULL;
	     i++) {
		json_t *line;

		if (log_state.missed[i].count == 0)
			continue;
		line = begin_line("events_left_out");
		json_object_set_new(
		    line, "kind", json_string(log_state.missed[i].kind));
		json_object_set_new(line, "count",
		    json_integer((json_int_t)log_state.missed[i].count));
		if (append(line))
			log_state.missed[i].count = 0;
		json_decref(line);
	}
}

/* Bytes up to the last line end within a write. */
static size_t
whole_lines(void)
{
	size_t n = log_state.len < WRITE_BYTES ? log_state.len : WRITE_BYTES;

	while (n > 0 && log_state.text[n - 1] != '\n')
		n--;
	return n;
}

static bool
has_room(void)
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
	log_state.credit_milli += gap * log_state.per_s / NS_PER_MS;
	if (log_state.credit_milli > full)
		log_state.credit_milli = full;
	if (now_ns / NS_PER_S != log_state.now_ns / NS_PER_S)
		tell_left_out();
	log_state.now_ns = now_ns;
	while (log_state.len > 0 && has_room()) {
		size_t n = whole_lines();
		ssize_t done = write(log_state.fd, log_state.text, n);

		if (done <= 0)
			return;
		log_state.len -= (size_t)done;
		memmove(log_state.text, log_state.text + done, log_state.len);
	}
}
