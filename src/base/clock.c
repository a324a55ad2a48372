#include "base/clock.h"

#include <stddef.h>
#include <time.h>

static uint64_t
read_ns(clockid_t id)
{
	struct timespec ts;

	clock_gettime(id, &ts);
	return (uint64_t)ts.tv_sec * NS_PER_S + (uint64_t)ts.tv_nsec;
}

static uint64_t
system_now_ns(void *ctx)
{
	(void)ctx;
	return read_ns(CLOCK_MONOTONIC);
}

uint64_t
clock_now_ns(const struct clock *clk)
{
	return clk->now_ns(clk->ctx);
}

struct clock
clock_system(void)
{
	return (struct clock){system_now_ns, NULL};
}

uint64_t
clock_boot_ns(void)
{
	return read_ns(CLOCK_BOOTTIME);
}

uint64_t
clock_wall_ns(void)
{
	return read_ns(CLOCK_REALTIME);
}
