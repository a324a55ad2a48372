#include "command/store.h"

#include "codec/object.h"
#include "task/http.h"
#include "task/platform.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>

/** A call is given up after this. */
#define TIMEOUT_MS 3000L

static enum sub_result
result_of(CURLcode rc, long code)
{
	if (rc == CURLE_COULDNT_CONNECT)
		return SUB_LIMITED;
	if (rc != CURLE_OK)
		return SUB_LOST;
	switch (code) {
	case 200:
	case 201:
	case 204:
		return SUB_OK;
	case 404:
		return SUB_MISSING;
	case 409:
	case 412:
		return SUB_CONFLICT;
	case 429:
		return SUB_LIMITED;
	default:
		return code >= 500 ? SUB_LOST : SUB_REJECTED;
	}
}

static enum sub_result
call(const struct settings *set, const char *body, const char *condition,
    struct http_response *a)
{
	char url[SET_TEXT_MAX + 64];
	struct curl_slist *headers = NULL;
	CURL *curl = curl_easy_init();
	CURLcode rc;
	long code = 0;

	snprintf(url, sizeof(url), "%s%s", set->platform, PLAT_CONFIG_PATH);
	curl_easy_setopt(curl, CURLOPT_URL, url);
	curl_easy_setopt(curl, CURLOPT_NOSIGNAL, 1L);
	curl_easy_setopt(curl, CURLOPT_TIMEOUT_MS, TIMEOUT_MS);
	http_collect(curl, a);
	headers = curl_slist_append(headers, "Expect:");
	headers = curl_slist_append(headers, "Content-Type: application/json");
	if (condition != NULL)
		headers = curl_slist_append(headers, condition);
	curl_easy_setopt(curl, CURLOPT_HTTPHEADER, headers);
	if (body != NULL) {
		curl_easy_setopt(curl, CURLOPT_CUSTOMREQUEST, "PUT");
		curl_easy_setopt(curl, CURLOPT_POSTFIELDS, body);
		curl_easy_setopt(
		    curl, CURLOPT_POSTFIELDSIZE, (long)strlen(body));
	}
	rc = curl_easy_perform(curl);
	curl_easy_getinfo(curl, CURLINFO_RESPONSE_CODE, &code);
	curl_slist_free_all(headers);
	curl_easy_cleanup(curl);
	return result_of(rc, code);
}

enum sub_result
store_read(
    const struct settings *set, struct sub_object *obj, char etag[SUB_ID_MAX])
{
	struct http_response a = {0};
	enum sub_result r = call(set, NULL, NULL, &a);

	if (r == SUB_OK && !obj_decode((struct str){a.body, a.len}, obj))
		r = SUB_LOST;
	str_copy(etag, SUB_ID_MAX, str_of(a.etag));
	free(a.body);
	return r;
}

enum sub_result
store_write(
    const struct settings *set, const struct sub_object *obj, const char *etag)
{
	char condition[SUB_ID_MAX + 32];
	struct http_response a = {0};
	char *body = obj_encode(obj);
	enum sub_result r;

	if (body == NULL)
		return SUB_REJECTED;
	if (etag[0] != '\0')
		snprintf(condition, sizeof(condition), "If-Match: %s", etag);
	else
		str_copy(
		    condition, sizeof(condition), str_of("If-None-Match: *"));
	r = call(set, body, condition, &a);
	free(body);
	free(a.body);
	return r;
}
