/**
 * @file store_internal.h
 * Shared by the files of the store's client: requests with retries and a rate
 * limit (store_operation.c), the configuration and the balancers' entries
 * (store.c), the evacuations (store_evacuations.c), and the agents' records
 * (store_record.c).
 */
#ifndef PW_STORE_INTERNAL_H
#define PW_STORE_INTERNAL_H

#include "flow/evacuation_reader.h"
#include "task/store.h"

/** Timeout in ms of a request that the platform answers at once. */
#define STORE_REQUEST_TIMEOUT_MS 900L

/** Longest time in ms that the platform holds a watch open. Together with the
 * timeout of a request, a dead watch is detected within the 4 s for which a
 * machine counts as disturbed. */
#define STORE_WATCH_WAIT_MS 3000U

/** One kind of request, retried until it succeeds. */
struct operation {
	struct store *owner;
	const char *name; /**< in log events */
	struct fetch *fetch;
	uv_timer_t timer;
	unsigned failures;
	uint64_t start_ns;
	bool pending;
	uint64_t era; /**< of the store when the latest request began */
	void (*run)(struct operation *op);
};

struct store {
	struct store_setup setup;
	const struct store_callbacks *callbacks;
	void *ctx;
	struct counters *ctr;
	struct fetcher *fetcher;
	struct rng rng;
	struct operation config;
	struct operation announce;
	struct operation members;
	struct operation removal;
	struct operation record_read;
	struct operation record_write;
	struct operation evacuations;
	struct evacuation_reader evacuation_reader;
	bool watching_evacuations;
	unsigned evacuations_rejected; /**< responses in a row that could not be
					  used */
	unsigned open_handles;
	uint64_t tokens_milli; /**< requests allowed, times 1000 */
	uint64_t refilled_ns;
	uint64_t era;		 /**< of the store; 0 if it states none */
	uint64_t revision;	 /**< to watch from; 0 to read everything */
	unsigned rejected_reads; /**< reads of everything in a row whose result
				    cannot be accepted */
	bool watching;
	bool answered; /**< the store answered the latest call for the
			  configuration */
	bool read_once;
	bool unreachable; /**< the latest request failed */
	struct balancer_entry self;
	bool entry_exists; /**< the next write replaces the own entry */
	char domain[FLOW_NAME_MAX];
	char list_after[PLATFORM_NAME_MAX];
	struct balancer_entry removed;
	char record_name[FLOW_NAME_MAX]; /**< name of this process's record */
	bool record_exists;
	char *record_body; /**< record to be written; NULL for none */
};

/** Fill the bucket of tokens that limits the rate of all operations. */
void operation_fill_bucket(struct store *s);
/** Initialize an operation; run starts its request. */
void operation_init(struct store *s, uv_loop_t *loop, struct operation *op,
    const char *name, void (*run)(struct operation *op));
/** Cancel an operation; the store is freed with its last operation. */
void operation_close(struct operation *op);
/** Run an operation as soon as possible, unless it is in progress. */
void operation_schedule(struct operation *op);
/** Run an operation in ms milliseconds. */
void operation_run_after(struct operation *op, uint64_t ms);
/** Time in ms since the start of the latest request. */
long operation_elapsed_ms(const struct operation *op);
/** Time in ms until the next attempt after op->failures failures. */
uint64_t operation_backoff_ms(struct operation *op);
/**
 * Take a token from the bucket of all operations. Without one, the operation is
 * put off and false is returned.
 */
bool operation_acquire(struct operation *op);
/** Start a request. */
void operation_start(struct operation *op, const char *method, const char *path,
    const char *body, long timeout_ms, fetch_done *done);
/**
 * Record the result of a request.
 * @return true if the store answered; otherwise a retry is scheduled. An answer
 * that cannot be accepted (too large, not valid HTTP) is logged and has status
 * 0: the caller reads in another way or gives up, as the same request would get
 * the same answer. op->failures counts on over such answers.
 */
bool operation_check_response(
    struct operation *op, const struct fetch_result *r);
/** Record the era that a response states, if any. In a new one, the watches
 * begin anew, and what this process has written is written again. */
void store_note_era(struct store *s, const char *text);
/** Whether a request began in an earlier era than its response: a watch may
 * lack changes. */
bool store_is_outdated(const struct operation *op);
/** Initialize the operation on the evacuations. */
void store_init_evacuations(struct store *s, uv_loop_t *loop);
/** Restart it if a request is in progress. */
void store_restart_evacuations(struct store *s);
/** Cancel it. */
void store_close_evacuations(struct store *s);
/** Initialize the operations on the record of this process. */
void store_init_records(struct store *s, uv_loop_t *loop);
/** Cancel these operations. */
void store_close_records(struct store *s);

#endif
