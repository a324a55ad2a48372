/**
 * @file clock.h
 * Clock interface: daemons use the system clock, tests a virtual one.
 */
#ifndef PW_CLOCK_H
#define PW_CLOCK_H

#include <stdint.h>

/** Nanoseconds in a millisecond. */
#define NS_PER_US UINT64_C(1000)
#define NS_PER_MS UINT64_C(1000000)
/** Nanoseconds in a second. */
#define NS_PER_S UINT64_C(1000000000)

/** A source of time. */
struct clock {
	uint64_t (*now_ns)(void *ctx); /**< monotonic time in ns */
	void *ctx;		       /**< passed to now_ns */
};

/** Current time of a clock in ns. */
uint64_t clock_now_ns(const struct clock *clk);
/** A clock that reads the system's monotonic clock. */
struct clock clock_system(void);
/** Time since boot in ns. Unlike the monotonic clock it includes the time that
 * the machine was suspended. */
uint64_t clock_boot_ns(void);
/** Wall-clock time in ns since 1970. Use it for incarnations only, since it can
 * be set back. */
uint64_t clock_wall_ns(void);

#endif
