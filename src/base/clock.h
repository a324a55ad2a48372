/**
 * @file clock.h
 * Time as an interface: daemons pass the system clock, tests a virtual one.
 */
#ifndef PW_CLOCK_H
#define PW_CLOCK_H

#include <stdint.h>

/** Nanoseconds in a millisecond. */
#define NS_PER_MS UINT64_C(1000000)
/** Nanoseconds in a second. */
#define NS_PER_S UINT64_C(1000000000)

/** A source of time. */
struct clock {
	uint64_t (*now_ns)(void *ctx); /**< monotonic, nanoseconds */
	void *ctx;		       /**< passed to now_ns */
};

/** Read a clock, nanoseconds. */
uint64_t clock_now_ns(const struct clock *clk);
/** The monotonic clock of the system. */
struct clock clock_system(void);
/** Like the monotonic clock, but counts the time that the machine was
 * suspended, nanoseconds. */
uint64_t clock_boot_ns(void);
/** Wall time in nanoseconds since 1970; used for incarnations alone. */
uint64_t clock_wall_ns(void);

#endif
