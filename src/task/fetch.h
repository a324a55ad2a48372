/**
 * @file fetch.h
 * HTTP calls on the event loop: the one client of every task that calls the
 * platform, or another process of the system by HTTP.
 */
#ifndef PW_FETCH_H
#define PW_FETCH_H

#include "task/http.h"

#include <uv.h>

struct fetcher;
struct fetch;

/** What became of a call. */
struct fetch_result {
	CURLcode curl;	  /**< CURLE_OK when an answer came whole */
	long status;	  /**< of the answer; 0 without one */
	const char *body; /**< NUL-terminated; valid during the call */
	size_t len;
	const char *etag; /**< of the answer, empty if none */
};

/** Called once for a call that was not ended before. */
typedef void fetch_done(void *ctx, const struct fetch_result *r);

/** A call. */
struct fetch_request {
	const char *method; /**< NULL for GET */
	const char *url;
	const char *body;   /**< JSON, copied; NULL for none */
	const char *header; /**< one more header line, or NULL */
	/** The call is given up after this, ms, whatever has come of it. */
	long timeout_ms;
};

/** A client on a loop; NULL when libcurl cannot start. */
struct fetcher *fetcher_new(uv_loop_t *loop);
/** End its calls without a word and free it once its handles are closed. */
void fetcher_free(struct fetcher *f);
/** Begin a call; done is called later than this returns. */
struct fetch *fetch_start(struct fetcher *f, const struct fetch_request *ask,
    fetch_done *done, void *ctx);
/** End a call without a word. */
void fetch_cancel(struct fetch *c);

#endif
