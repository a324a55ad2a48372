/**
 * @file https_fetch.h
 * Requests over TLS, by libcurl on the event loop. libcurl is loaded when the
 * first such request is made: loading it and the libraries that it needs takes
 * six times the processor time of a process's whole start otherwise, which
 * delays recovery on an instance with a small share of a core.
 */
#ifndef PW_HTTPS_FETCH_H
#define PW_HTTPS_FETCH_H

#include "task/fetch.h"

struct https_fetcher;
struct https_fetch;

/** Create a client. @return NULL if libcurl cannot be loaded */
struct https_fetcher *https_fetcher_new(uv_loop_t *loop);
/** Cancel all requests and free the client.
 * @param f may be NULL */
void https_fetcher_free(struct https_fetcher *f);
/** Report the value of a header of all responses.
 * @param name borrowed; NULL for none */
void https_fetcher_keep_header(struct https_fetcher *f, const char *name);
/** Start a request; done is called after this function has returned. */
struct https_fetch *https_fetch_start(struct https_fetcher *f,
    const struct fetch_request *request, fetch_done *done, void *ctx);
/** Cancel a request; its callback is not called. */
void https_fetch_cancel(struct https_fetch *c);

#endif
