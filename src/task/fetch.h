/**
 * @file fetch.h
 * HTTP client on the event loop, for requests to the platform and to other
 * processes of the system.
 */
#ifndef PW_FETCH_H
#define PW_FETCH_H

#include "task/http.h"

#include <uv.h>

struct fetcher;
struct fetch;

/** Result of a request. */
struct fetch_result {
	CURLcode curl;	  /**< CURLE_OK for a complete response */
	long status;	  /**< HTTP status; 0 without a response */
	const char *body; /**< NUL-terminated; valid during the callback */
	size_t len;
	const char *etag; /**< ETag of the response, empty if none */
};

/** Called once for each request that was not cancelled. */
typedef void fetch_done(void *ctx, const struct fetch_result *r);

/** A request. */
struct fetch_request {
	const char *method; /**< NULL for GET */
	const char *url;
	const char *body;   /**< JSON, copied; NULL for none */
	const char *header; /**< additional header line, or NULL */
	/** Timeout in ms of the whole request. */
	long timeout_ms;
};

/** Create a client. @return NULL if libcurl cannot start */
struct fetcher *fetcher_new(uv_loop_t *loop);
/** Cancel all requests and free the client once its handles are closed.
 * @param f may be NULL */
void fetcher_free(struct fetcher *f);
/** Start a request; done is called after this function has returned. */
struct fetch *fetch_start(struct fetcher *f,
    const struct fetch_request *request, fetch_done *done, void *ctx);
/** Cancel a request; its callback is not called. @param c may be NULL */
void fetch_cancel(struct fetch *c);

#endif
