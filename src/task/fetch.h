/**
 * @file fetch.h
 * HTTP client on the event loop, for requests to the platform and to other
 * processes of the system. Servers are named by IP address, but for https.
 */
#ifndef PW_FETCH_H
#define PW_FETCH_H

#include "task/http_connection.h"

struct fetcher;
struct fetch;

/**
 * Longest time in ms for which an open connection is kept for a next request.
 * An older one may have stopped responding long ago. A request that begins on
 * such a connection costs its whole timeout, so this time and the longest
 * timeout, of a watch, must be less than the 7 s after which a configuration
 * has to be in force: 4 s in which a process counts as disturbed, and 3 s more.
 */
#define FETCH_IDLE_MAX_MS 2000

/** How a request ended. */
enum fetch_outcome {
	FETCH_RESPONSE,	   /**< a response was received, with any status */
	FETCH_UNREACHABLE, /**< no connection: the request was not sent */
	FETCH_TIMEOUT,
	FETCH_LOST,	 /**< the connection was lost before the response */
	FETCH_TOO_LARGE, /**< the body is over HTTP_BODY_MAX_BYTES */
	FETCH_MALFORMED, /**< the response is not valid HTTP */
};

/** Result of a request. */
struct fetch_result {
	enum fetch_outcome outcome;
	unsigned status;  /**< HTTP status; 0 without a response */
	const char *body; /**< NUL-terminated; valid during the callback */
	size_t len;
	const char *etag; /**< ETag of the response, empty if none */
	const char *kept; /**< value of the header of fetcher_keep_header(),
			     empty if none */
};

/** Called once for each request that was not cancelled. */
typedef void fetch_done(void *ctx, const struct fetch_result *r);

/** A request. */
struct fetch_request {
	const char *method; /**< NULL for GET */
	const char *url;    /**< http://IP:PORT/PATH, or an https URL */
	const char *body;   /**< JSON, copied; NULL for none */
	const char *header; /**< additional header line, or NULL */
	/** Timeout in ms of the whole request. */
	long timeout_ms;
};

/** Create a client. */
struct fetcher *fetcher_new(uv_loop_t *loop);
/** Cancel all requests and free the client.
 * @param f may be NULL */
void fetcher_free(struct fetcher *f);
/** Report the value of a header of all responses.
 * @param name borrowed; NULL for none */
void fetcher_keep_header(struct fetcher *f, const char *name);
/** Start a request; done is called after this function has returned. */
struct fetch *fetch_start(struct fetcher *f,
    const struct fetch_request *request, fetch_done *done, void *ctx);
/** Cancel a request; its callback is not called. @param c may be NULL */
void fetch_cancel(struct fetch *c);
/** Whether the server answered with a response that cannot be accepted. The
 * same request would most likely get the same response. */
bool fetch_is_unacceptable(enum fetch_outcome outcome);
/** Text of an outcome for logs; empty for FETCH_RESPONSE. */
const char *fetch_error(enum fetch_outcome outcome);

#endif
