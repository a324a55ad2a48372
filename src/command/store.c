#include "command/store.h"

#include "codec/config_object.h"
#include "task/http.h"
#include "task/platform.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>

/** Timeout of a request. */
#define REQUEST_TIMEOUT_MS 3000L

static enum sub_result
to_sub_result(CURLcode curl_code, long http_status)
{
	if (curl_code == CURLE_COULDNT_CONNECT)
		return SUB_RATE_LIMITED;
	if (curl_code != CURLE_OK)
		return SUB_NO_ANSWER;
	switch (http_status) {
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
		return SUB_RATE_LIMITED;
	default:
		return http_status >= 500 ? SUB_NO_ANSWER : SUB_REJECTED;
	}
}

static enum sub_result
perform_request(const struct settings *set, const char *body,
    const char *condition, struct http_response *response)
{
	char url[SETTINGS_TEXT_MAX + 64];
	struct curl_slist *headers = NULL;
	CURL *curl = curl_easy_init();
	CURLcode curl_code;
	long http_status = 0;

	snprintf(url, sizeof(url), "%s%s", set->platform, PLAT_CONFIG_PATH);
	curl_easy_setopt(curl, CURLOPT_URL, url);
	curl_easy_setopt(curl, CURLOPT_NOSIGNAL, 1L);
	curl_easy_setopt(curl, CURLOPT_TIMEOUT_MS, REQUEST_TIMEOUT_MS);
	http_collect(curl, response);
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
	curl_code = curl_easy_perform(curl);
	curl_easy_getinfo(curl, CURLINFO_RESPONSE_CODE, &http_status);
	curl_slist_free_all(headers);
	curl_easy_cleanup(curl);
	return to_sub_result(curl_code, http_status);
}

enum sub_result
store_read(
    const struct settings *set, struct sub_object *obj, char etag[SUB_ID_MAX])
{
	struct http_response response = {0};
	enum sub_result r = perform_request(set, NULL, NULL, &response);

	if (r == SUB_OK && !config_object_decode(
			       (struct str){response.body, response.len}, obj))
		r = SUB_NO_ANSWER;
	str_copy(etag, SUB_ID_MAX, str_of(response.etag));
	free(response.body);
	return r;
}

enum sub_result
store_write(
    const struct settings *set, const struct sub_object *obj, const char *etag)
{
	char condition[SUB_ID_MAX + 32];
	struct http_response response = {0};
	char *body = config_object_encode(obj);
	enum sub_result r;

	if (body == NULL)
		return SUB_REJECTED;
	if (etag[0] != '\0')
		snprintf(condition, sizeof(condition), "If-Match: %s", etag);
	else
		str_copy(
		    condition, sizeof(condition), str_of("If-None-Match: *"));
	r = perform_request(set, body, condition, &response);
	free(body);
	free(response.body);
	return r;
}
