/**
 * @file web.h
 * A small HTTP/1.1 server on the event loop. Its clients are routers, targets,
 * other balancers and readers of metrics.
 */
#ifndef PW_WEB_H
#define PW_WEB_H

#include "base/status.h"
#include "base/str.h"

#include <uv.h>

/** Limits of a request's path and body in bytes; a request above them closes
 * its connection. */
#define WEB_PATH_MAX 512
#define WEB_BODY_MAX 65536
/** Maximum number of connections; any further one is closed at once. */
#define WEB_CONNECTIONS_MAX 64

/** A complete request. */
struct web_request {
	struct str method;
	struct str path;
	struct str body;
};

/** A response; initially 404 with an empty body. */
struct web_response {
	int status;
	const char *type;   /**< value of Content-Type */
	const char *header; /**< further header, "NAME: VALUE", or NULL */
	struct str body;    /**< copied when the handler returns */
};

/** Handle one request; response is sent when the handler returns. */
typedef void web_handler(void *ctx, const struct web_request *request,
    struct web_response *response);

/** A server. */
struct web {
	uv_tcp_t listener;
	web_handler *handle;
	void *ctx;
	struct web_connection *connections;
	size_t count;
	bool open;
};

/** Listen at an address. @return STATUS_INVALID if it cannot be bound */
struct status web_open(struct web *w, uv_loop_t *loop, struct addr at,
    web_handler *handle, void *ctx);
/** Stop listening and close every connection; may be called when not open. */
void web_close(struct web *w);

#endif
