/**
 * @file latency.h
 * Histograms of latencies in fixed buckets, as the usual exposition format
 * has them. No Debian package offers one that fits, so this is our own.
 */
#ifndef PW_LATENCY_H
#define PW_LATENCY_H

#include <stddef.h>
#include <stdint.h>

/** Upper bounds of the buckets, ms; the last one has none. */
#define LATENCY_BOUNDS \
	{ \
		1, 2, 5, 10, 20, 50, 100, 200, 500, 1000, 2000, 5000 \
	}
#define LATENCY_BUCKETS 13

/** One histogram. */
struct latency {
	uint64_t count[LATENCY_BUCKETS];
	uint64_t sum_ms;
};

/** Take in one latency. */
void latency_note(struct latency *l, uint64_t ns);
/**
 * Write it as metric lines.
 * @return bytes written, 0 when cap is too small
 */
size_t latency_write(
    const struct latency *l, const char *name, char *buf, size_t cap);

#endif
