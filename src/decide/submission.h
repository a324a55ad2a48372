/**
 * @file submission.h
 * State machine for a submission of the operator's text: a conditional update
 * (If-Match) of the configuration object in the platform. If the answer to a
 * write was lost, the object is read back to learn whether it was stored. The
 * state machine does no I/O; its user carries out the actions it returns.
 */
#ifndef PW_SUBMISSION_H
#define PW_SUBMISSION_H

#include "base/status.h"
#include "base/str.h"

/** Buffer size in bytes for a submission identifier or ETag, with the NUL. */
#define SUB_ID_MAX 40
/** Most earlier submissions in the object's history. */
#define SUB_HISTORY_MAX 64

/** The submission that stored a version. */
struct sub_history_entry {
	uint64_t version;
	char submission[SUB_ID_MAX];
};

/** The configuration object in the platform. */
struct sub_object {
	uint64_t version;
	char submission[SUB_ID_MAX];
	struct sub_history_entry history[SUB_HISTORY_MAX]; /**< newest first */
	size_t history_count;
	struct str text;
};

/** Result of a call to the platform. */
enum sub_result {
	SUB_OK,
	SUB_MISSING,	  /**< the object does not exist */
	SUB_CONFLICT,	  /**< the condition (ETag) did not match */
	SUB_RATE_LIMITED, /**< refused by the rate limit; not done */
	SUB_REJECTED,	  /**< refused permanently; not done */
	SUB_NO_ANSWER,	  /**< no answer; may have been done */
	SUB_MALFORMED,	  /**< the object was read and cannot be decoded */
};

/** Next action for the user of a submission. */
enum sub_action {
	SUB_READ,  /**< read the object, then sub_on_read() */
	SUB_WRITE, /**< write sub_fill_object() if etag matches, then
		      sub_on_write() */
	SUB_WAIT,  /**< wait for sub_backoff_ms(), then sub_on_wait() */
	SUB_DONE,  /**< outcome is set */
};

/** A submission in progress. */
struct submission {
	char id[SUB_ID_MAX];
	uint64_t base;	       /**< version that is to be replaced, 0 if none */
	char etag[SUB_ID_MAX]; /**< of base; empty: the object must not exist */
	struct sub_history_entry base_history[SUB_HISTORY_MAX];
	size_t base_history_count;
	bool has_base;		    /**< base is valid */
	bool write_uncertain;	    /**< an unanswered write may be stored */
	unsigned tries;		    /**< failed calls so far */
	unsigned tries_max;	    /**< failed calls at which to give up */
	enum sub_action after_wait; /**< action after SUB_WAIT */
	struct status outcome;
	uint64_t version;	 /**< accepted version, or that of winner */
	char winner[SUB_ID_MAX]; /**< submission that was accepted instead */
};

/**
 * Start a submission.
 * @param id unique identifier of the submission
 * @param tries_max number of failed calls after which to give up
 */
enum sub_action sub_start(
    struct submission *s, const char *id, unsigned tries_max);
/** Handle the result of a read; obj and etag are valid if it is SUB_OK. */
enum sub_action sub_on_read(struct submission *s, enum sub_result r,
    const struct sub_object *obj, const char *etag);
/** Handle the result of a write. */
enum sub_action sub_on_write(struct submission *s, enum sub_result r);
/** Continue after a wait. */
enum sub_action sub_on_wait(struct submission *s);
/** Time to wait in ms; exponential backoff. */
unsigned sub_backoff_ms(const struct submission *s);
/** Fill the object to write; out->text refers to text. */
void sub_fill_object(
    const struct submission *s, struct str text, struct sub_object *out);

#endif
