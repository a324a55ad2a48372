/**
 * @file http_connection.h
 * A client's connection to an HTTP server, on the event loop. It carries one
 * request after the other.
 */
#ifndef PW_HTTP_CONNECTION_H
#define PW_HTTP_CONNECTION_H

#include "base/str.h"
#include "decide/submission.h"

#include <uv.h>

/** Largest body of a response, in bytes. The platform's values hold up to a
 * megabyte. */
#define HTTP_BODY_MAX_BYTES ((size_t)1100 * 1024)

/** Size of the value of a header that is kept, with its NUL. */
#define HTTP_KEPT_MAX 24

/** A response; the connection owns the body. */
struct http_response {
	unsigned status;
	char *body; /**< NUL-terminated; NULL when it is empty */
	size_t len;
	char etag[SUB_ID_MAX];	  /**< empty if there is none */
	char kept[HTTP_KEPT_MAX]; /**< value of the header to be kept; empty if
				     there is none */
};

struct http_connection;

/** Callbacks of a connection. The connection may be closed in any of them. */
struct http_connection_ops {
	void (*connected)(void *ctx);
	/** A response is complete; it stays valid until the next one begins or
	 * this callback returns after the connection was closed.
	 * @param reusable whether another request may be sent */
	void (*responded)(
	    void *ctx, const struct http_response *r, bool reusable);
	/** The connection cannot be opened, or was lost, or its response cannot
	 * be accepted. It is to be closed.
	 * @param error a libuv error code: UV_EMSGSIZE for a body over
	 * HTTP_BODY_MAX_BYTES, UV_EPROTO for bytes that are no response */
	void (*failed)(void *ctx, int error);
};

/** Begin to open a connection; never calls back itself. */
struct http_connection *http_connection_open(uv_loop_t *loop, struct addr to,
    const struct http_connection_ops *ops, void *ctx);
/** Change the callbacks. */
void http_connection_set_ops(struct http_connection *c,
    const struct http_connection_ops *ops, void *ctx);
/** Keep the value of a header of the responses.
 * @param name borrowed, in any case; NULL for none */
void http_connection_keep_header(struct http_connection *c, const char *name);
/** Send a request, at once or when the connection is open. The bytes are
 * copied. */
void http_connection_send(struct http_connection *c, struct str request);
/** Close the connection and free it; no callback follows. */
void http_connection_close(struct http_connection *c);

#endif
