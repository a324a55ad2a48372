#include "task/http.h"

#include <string.h>
#include <strings.h>

/** Largest body. The platform's values hold up to a megabyte. */
#define BODY_MAX_BYTES ((size_t)1100 * 1024)

static size_t
on_body(char *data, size_t size, size_t count, void *ctx)
{
	struct http_response *response = ctx;
	size_t n = size * count;

	if (response->len + n > BODY_MAX_BYTES)
		return 0;
	response->body = mem_grow(response->body, response->len + n + 1, 1);
	memcpy(response->body + response->len, data, n);
	response->len += n;
	return n;
}

static size_t
on_header(char *data, size_t size, size_t count, void *ctx)
{
	static const char name[] = "etag:";
	struct http_response *response = ctx;
	struct str line = {data, size * count};

	if (line.len < strlen(name) ||
	    strncasecmp(data, name, strlen(name)) != 0)
		return size * count;
	line.p += strlen(name);
	line.len -= strlen(name);
	while (line.len > 0 && *line.p == ' ') {
		line.p++;
		line.len--;
	}
	while (line.len > 0 &&
	       (line.p[line.len - 1] == '\r' || line.p[line.len - 1] == '\n'))
		line.len--;
	str_copy(response->etag, sizeof(response->etag), line);
	return size * count;
}

void
http_collect(CURL *easy, struct http_response *response)
{
	response->len = 0;
	curl_easy_setopt(easy, CURLOPT_WRITEFUNCTION, on_body);
	curl_easy_setopt(easy, CURLOPT_WRITEDATA, response);
	curl_easy_setopt(easy, CURLOPT_HEADERFUNCTION, on_header);
	curl_easy_setopt(easy, CURLOPT_HEADERDATA, response);
}
