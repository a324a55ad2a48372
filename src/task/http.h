/**
 * @file http.h
 * The body and ETag of an HTTP answer, as libcurl delivers them.
 */
#ifndef PW_HTTP_H
#define PW_HTTP_H

#include "base/str.h"
#include "decide/submission.h"

#include <curl/curl.h>

/** An answer; the body is freed by the owner. */
struct http_response {
	char *body;
	size_t len;
	char etag[SUB_ID_MAX];
};

/** Let a handle write its answer here; the ETag is kept if none comes. */
void http_collect(CURL *easy, struct http_response *a);

#endif
