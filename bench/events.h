/**
 * @file events.h
 * Priority queue of events, ordered by time, for runs on a virtual clock.
 */
#ifndef PW_EVENTS_H
#define PW_EVENTS_H

#include <stddef.h>
#include <stdint.h>

/** An entry of the queue. */
struct event_slot {
	uint64_t at;	/**< virtual time in ns */
	uint64_t order; /**< position among events of the same time */
	void *item;
};

/** An event queue (binary heap); initialise it with zeros. */
struct event_queue {
	struct event_slot *slots;
	size_t count;
	size_t cap;
	uint64_t next_order;
};

/** Add an item at a time in ns; items of the same time stay in order. */
void evq_push(struct event_queue *q, uint64_t at, void *item);
/** Remove the earliest item and set its time; NULL if the queue is empty. */
void *evq_pop(struct event_queue *q, uint64_t *at);

#endif
