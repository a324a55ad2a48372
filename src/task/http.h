/**
 * @file http.h
 * Collects the body and the ETag of an HTTP response from libcurl.
 */
#ifndef PW_HTTP_H
#define PW_HTTP_H

#include "base/str.h"
#include "decide/submission.h"

#include <curl/curl.h>

/** A response; the owner frees the body. */
struct http_response {
	char *body;
	size_t len;
	char etag[SUB_ID_MAX]; /**< empty if there is none */
};

/** Make a handle store its response in the given struct, whose ETag stays as it
 * is if the response has none. */
void http_collect(CURL *easy, struct http_response *response);

#endif
