/**
 * @file event.h
 * Structured log lines on standard output: one JSON object a line, keys in a
 * fixed order, "event" and "at_ms" first. Lines are gathered and written by
 * event_flush(); nothing here ever blocks, and what is over the budget or
 * finds no room is counted by kind and told in an "events_left_out" line.
 */
#ifndef PW_EVENT_H
#define PW_EVENT_H

#include <jansson.h>
#include <stdbool.h>
#include <stdint.h>

/**
 * Begin to log; before it event() does nothing.
 * @param fd where lines go to
 * @param per_s budget, lines a second
 */
void event_begin(int fd, unsigned per_s);
/** Log one event; fmt is json_pack()'s, without the braces. */
void event(const char *kind, const char *fmt, ...);
/** Write what was gathered, as far as it can be without waiting. */
void event_flush(uint64_t now_ns);
/** Lines left out so far. */
uint64_t event_left_out(void);

#endif
