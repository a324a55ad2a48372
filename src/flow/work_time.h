/**
 * @file work_time.h
 * Mean time for which a target works on a request, from the requests and
 * answers that pass its agent. The time that its slots were busy is divided by
 * the number of answers, so that neither the target's queue nor the number of
 * requests at once counts as work, and a mix of kinds of requests gives their
 * mean. The estimate forgets with answers and with time.
 */
#ifndef PW_WORK_TIME_H
#define PW_WORK_TIME_H

#include <stdint.h>

/** Samples from which an estimate is used. With fewer, one request of the tail
 * (7 times the work) would more than double it. */
#define WORK_SAMPLES_MIN 4

/** Estimate of one target's work time. */
struct work_time {
	uint64_t busy_ns;	/**< time that slots were busy */
	uint64_t answers_milli; /**< answers in that time, times 1000 */
	uint64_t gap_ns;	/**< part of busy_ns since the latest answer */
	uint64_t updated_ns;	/**< up to when busy time is counted */
	uint64_t halved_ns;	/**< when the weights were last halved */
};

/** Start without an estimate. */
void work_time_init(struct work_time *w, uint64_t now);
/**
 * Count the busy time since the latest call; to be called before the number of
 * requests at the target changes.
 * @param waiting requests at the target since then
 * @param slots requests that it serves at once; 0 if unknown
 */
void work_time_advance(
    struct work_time *w, uint32_t waiting, uint32_t slots, uint64_t now);
/** Count an answer that the target has worked for. */
void work_time_record_answer(struct work_time *w);
/** Skip the time since the latest call, in which this process did not run. */
void work_time_skip(struct work_time *w, uint64_t now);
/** Reduce the weight of the samples so far, because the target's speed is
 * expected to change. */
void work_time_weaken(struct work_time *w);
/** Mean work time in us; 0 when it is unknown. */
uint32_t work_time_mean_us(const struct work_time *w);
/** Number of recent samples in the mean. */
uint32_t work_time_samples(const struct work_time *w);

#endif
