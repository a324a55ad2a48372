/**
 * @file event.h
 * Structured log on standard output: one JSON object per line, keys in a fixed
 * order, "event" and "at_ms" first. Lines are buffered and written by
 * event_flush(). No function here blocks. Lines above the budget or without
 * room in the buffer are dropped, counted by kind, and reported in
 * "events_left_out" lines.
 */
#ifndef PW_EVENT_H
#define PW_EVENT_H

#include <jansson.h>
#include <stdbool.h>
#include <stdint.h>

/**
 * Enable the log; until then event() does nothing.
 * @param fd file descriptor that lines are written to
 * @param per_s budget in lines per second
 */
void event_init(int fd, unsigned per_s);
/**
 * Log one event.
 * @param kind name of the event, a string literal
 * @param fmt format of json_pack() for the further fields, without the braces
 */
void event(const char *kind, const char *fmt, ...);
/**
 * Write buffered lines as far as possible without blocking.
 * @param now_ns monotonic time, "at_ms" of the lines that follow
 */
void event_flush(uint64_t now_ns);
/** Number of lines dropped so far. */
uint64_t event_dropped_count(void);

#endif
