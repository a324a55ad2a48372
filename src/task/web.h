/**
 * @file web.h
 * A small HTTP/1.1 server on the event loop, for the calls that come to a
 * process: routers, targets, other balancers, and whoever reads metrics.
 */
#ifndef PW_WEB_H
#define PW_WEB_H

#include "base/status.h"
#include "base/str.h"

#include <uv.h>

/** Longest path and largest body taken, bytes. */
#define WEB_PATH_MAX 512
#define WEB_BODY_MAX 65536
/** Connections at one time; more are closed at once. */
#define WEB_CONNECTIONS_MAX 64

/** A call, whole. */
struct web_request {
	struct str method;
	struct str path;
	struct str body;
};

/** The answer to it. */
struct web_response {
	int status;
	const char *type;
	struct str body; /**< copied before the handler's next call */
};

/** Answers one call, at once. */
typedef void web_handler(
    void *ctx, const struct web_request *call, struct web_response *out);

/** A server. */
struct web {
	uv_tcp_t listener;
	web_handler *handle;
	void *ctx;
	struct web_connection *connections;
	size_t count;
	bool open;
};

/** Listen at an address. */
struct status web_open(struct web *w, uv_loop_t *loop, struct addr at,
    web_handler *handle, void *ctx);
/** Stop listening and close every connection. */
void web_close(struct web *w);

#endif
