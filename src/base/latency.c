#include "base/latency.h"

#include "base/clock.h"

#include <stdio.h>

static const uint64_t bounds_ms[LATENCY_BUCKETS - 1] = LATENCY_BOUNDS;

void
latency_record(struct latency *l, uint64_t ns)
{
	uint64_t ms = ns / NS_PER_MS;
	size_t i = 0;

	while (i < LATENCY_BUCKETS - 1 && ms > bounds_ms[i])
		i++;
	l->count[i]++;
	l->sum_ms += ms;
}

size_t
latency_write(const struct latency *l, const char *name, char *buf, size_t cap)
{
	uint64_t total = 0;
	int n = snprintf(buf, cap, "# TYPE pw_%s_ms histogram\n", name);
	size_t len = n < 0 ? cap : (size_t)n;

	for (size_t i = 0; i < LATENCY_BUCKETS && len < cap; i++) {
		char bound[24] = "+Inf";

		if (i < LATENCY_BUCKETS - 1)
			snprintf(bound, sizeof(bound), "%llu",
			    (unsigned long long)bounds_ms[i]);
		total += l->count[i];
		len += (size_t)snprintf(buf + len, cap - len,
		    "pw_%s_ms_bucket{le=\"%s\"} %llu\n", name, bound,
		    (unsigned long long)total);
	}
	if (len < cap)
		len += (size_t)snprintf(buf + len, cap - len,
		    "pw_%s_ms_sum %llu\npw_%s_ms_count %llu\n", name,
		    (unsigned long long)l->sum_ms, name,
		    (unsigned long long)total);
	return len < cap ? len : 0;
}
