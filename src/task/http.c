#include "task/http.h"

#include <string.h>
#include <strings.h>

/** Largest body: the platform's values hold a megabyte. */
#define BODY_MAX ((size_t)1100 * 1024)

static size_t
on_body(char *data, size_t size, size_t count, void *ctx)
{
	struct http_response *a = ctx;
	size_t n = size * count;

	if (a->len + n > BODY_MAX)
		return 0;
	a->body = mem_grow(a->body, a->len + n + 1, 1);
	memcpy(a->body + a->len, data, n);
	a->len += n;
	return n;
}

static size_t
on_header(char *data, size_t size, size_t count, void *ctx)
{
	static const char name[] = "etag:";
	struct http_response *a = ctx;
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
	str_copy(a->etag, sizeof(a->etag), line);
	return size * count;
}

void
http_collect(CURL *easy, struct http_response *a)
{
	a->len = 0;
	curl_easy_setopt(easy, CURLOPT_WRITEFUNCTION, on_body);
	curl_easy_setopt(easy, CURLOPT_WRITEDATA, a);
	curl_easy_setopt(easy, CURLOPT_HEADERFUNCTION, on_header);
	curl_easy_setopt(easy, CURLOPT_HEADERDATA, a);
}
