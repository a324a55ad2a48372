/**
 * @file latency.h
 * Latency histograms with fixed buckets in the Prometheus text format.
 * Implemented here because no suitable Debian package exists.
 */
#ifndef PW_LATENCY_H
#define PW_LATENCY_H

#include <stddef.h>
#include <stdint.h>

/** Upper bounds of the buckets in ms; the last bucket has no bound. */
#define LATENCY_BOUNDS \
	{ \
		1, 2, 5, 10, 20, 50, 100, 200, 500, 1000, 2000, 5000 \
	}
/** Number of buckets. */
#define LATENCY_BUCKETS 13

/** A histogram. */
struct latency {
	uint64_t count[LATENCY_BUCKETS];
	uint64_t sum_ms;
};

/** Record one latency, given in ns. */
void latency_record(struct latency *l, uint64_t ns);
/**
 * Write a histogram as metric lines.
 * @param name of the metric, without "pw_" and "_ms"
 * @return number of bytes written, 0 if cap is too small
 */
size_t latency_write(
    const struct latency *l, const char *name, char *buf, size_t cap);

#endif
