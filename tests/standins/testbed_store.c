#include "testbed.h"

#include <jansson.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#define ENTRIES_MAX 512
#define IDLE_SHARES_RANGE 41
/** Interval in which the store is copied, in ms. */
#define COPY_INTERVAL_MS 4000

static struct {
	struct testbed *testbed;
	struct web web;
	unsigned revision;
	unsigned version;
	bool outage;
	unsigned era; /* rises when the store comes back from a copy */
	char era_header[32];
	struct {
		uint64_t at_ms;
		unsigned revision;
		size_t count;
	} copy; /* some seconds old */
	char body[131072];
	struct {
		char name[64];
		json_t *spec;
		unsigned revision;
	} entries[ENTRIES_MAX];
	size_t count;
} store;

/* A route is split over a number of services that differs between versions; all
 * but one get no new flows. */
static json_t *
split(const char *service)
{
	json_t *shares = json_array();
	char name[32];

	for (unsigned i = 0; i < store.version * 7 % IDLE_SHARES_RANGE; i++) {
		snprintf(name, sizeof(name), "idle-%u", i);
		json_array_append_new(shares,
		    json_pack("{s:s, s:i}", "service", name, "weight", 0));
	}
	json_array_append_new(
	    shares, json_pack("{s:s, s:i}", "service", service, "weight", 100));
	return shares;
}

/* Every second version has an additional route, which no caller uses. */
static json_t *
config(void)
{
	json_t *routes = json_array();
	char host[32];

	for (size_t i = 0; i < TESTBED_SERVICES; i++) {
		size_t service = store.testbed->fault == FAULT_ROUTE
				     ? TESTBED_SERVICES - 1 - i
				     : i;

		snprintf(host, sizeof(host), "198.18.0.%zu", i + 1);
		json_array_append_new(
		    routes, json_pack("{s:s, s:s, s:o}", "host", host,
				"path_prefix", "/443/", "traffic_split",
				split(testbed_service_name(service))));
	}
	if (store.version % 2 == 0)
		json_array_append_new(
		    routes, json_pack("{s:s, s:s, s:s}", "host", "198.18.0.99",
				"path_prefix", "/443/", "service", "desk"));
	return json_pack("{s:{s:s, s:i}, s:{s:i, s:o, s:{s:i}}}", "meta",
	    "name", "main", "revision", (int)store.revision, "spec", "version",
	    (int)store.version, "routes", routes, "limits", "idle_timeout_ms",
	    15000);
}

static void
reply(struct web_response *out, int status, json_t *body)
{
	size_t len =
	    json_dumpb(body, store.body, sizeof(store.body), JSON_COMPACT);

	json_decref(body);
	out->status = status;
	out->type = "application/json";
	out->body = (struct str){store.body, len};
}

static void
on_config(const char *path, struct web_response *out)
{
	const char *watch = strstr(path, "watch=");
	json_t *list = json_array();

	if (watch == NULL) {
		json_array_append_new(list, config());
		reply(out, 200,
		    json_pack("{s:o, s:b, s:i}", "items", list, "has_more", 0,
			"as_of", (int)store.revision));
		return;
	}
	if (strtoul(watch + 6, NULL, 10) > store.revision) {
		json_decref(list);
		out->status = 410;
		return;
	}
	if (strtoul(watch + 6, NULL, 10) < store.revision)
		json_array_append_new(list,
		    json_pack("{s:b, s:o}", "deleted", 0, "object", config()));
	reply(out, 200,
	    json_pack(
		"{s:o, s:i}", "events", list, "as_of", (int)store.revision));
}

static json_t *
entry(size_t i)
{
	return json_pack("{s:{s:s, s:i}, s:O}", "meta", "name",
	    store.entries[i].name, "revision", (int)store.entries[i].revision,
	    "spec", store.entries[i].spec);
}

static void
create_entry(const struct web_request *request, struct web_response *out)
{
	json_t *root = json_loadb(request->body.p, request->body.len, 0, NULL);
	const char *name = json_string_value(
	    json_object_get(json_object_get(root, "meta"), "name"));

	for (size_t i = 0; name != NULL && i < store.count; i++) {
		if (strcmp(store.entries[i].name, name) == 0) {
			reply(out, 409, entry(i));
			json_decref(root);
			return;
		}
	}
	if (name != NULL && store.count < ENTRIES_MAX) {
		snprintf(store.entries[store.count].name, 64, "%s", name);
		store.entries[store.count].spec =
		    json_incref(json_object_get(root, "spec"));
		store.entries[store.count].revision = store.count + 1;
		reply(out, 200, entry(store.count++));
	}
	json_decref(root);
}

static void
replace_entry(const char *name, const struct web_request *request,
    struct web_response *out)
{
	json_t *root = json_loadb(request->body.p, request->body.len, 0, NULL);

	for (size_t i = 0; i < store.count; i++) {
		if (strcmp(store.entries[i].name, name) != 0)
			continue;
		json_decref(store.entries[i].spec);
		store.entries[i].spec =
		    json_incref(json_object_get(root, "spec"));
		reply(out, 200, entry(i));
	}
	json_decref(root);
}

/* Takes a copy every few seconds, to which testbed_store_restore() returns. */
static void
update_copy(void)
{
	uint64_t now = testbed_now_ms();

	if (now < store.copy.at_ms + COPY_INTERVAL_MS)
		return;
	store.copy.at_ms = now;
	store.copy.revision = store.revision;
	store.copy.count = store.count;
}

static void
list_entries(struct web_response *out)
{
	json_t *items = json_array();

	for (size_t i = 0; i < store.count; i++)
		json_array_append_new(items, entry(i));
	/* An invalid entry, as another writer could leave it. */
	json_array_append_new(items, json_pack("{s:i}", "meta", 7));
	reply(out, 200,
	    json_pack("{s:o, s:b, s:i}", "items", items, "has_more", 0, "as_of",
		(int)store.revision));
}

static void
on_request(
    void *ctx, const struct web_request *request, struct web_response *out)
{
	static const char entries[] = "/v1/objects/balancers/";
	char path[WEB_PATH_MAX + 1];

	(void)ctx;
	str_copy(path, sizeof(path), request->path);
	snprintf(store.era_header, sizeof(store.era_header), "Store-Era: %u",
	    store.era);
	out->header = store.era_header;
	update_copy();
	if (store.outage)
		out->status = 503;
	else if (strncmp(path, "/v1/objects/config", 18) == 0)
		on_config(path, out);
	else if (str_is(request->method, "POST"))
		create_entry(request, out);
	else if (str_is(request->method, "PUT") &&
		 strncmp(path, entries, strlen(entries)) == 0)
		replace_entry(path + strlen(entries), request, out);
	else if (strncmp(path, "/v1/objects/balancers", 21) == 0)
		list_entries(out);
}

void
testbed_store_open(struct testbed *h)
{
	struct status st;

	store.testbed = h;
	store.version = 1;
	store.revision = 1;
	store.era = 1;
	st = web_open(&store.web, h->loop, testbed_addr(h, 0, 0, PORT_STORE),
	    on_request, NULL);
	if (st.code != STATUS_OK) {
		fprintf(stderr, "store: %s\n", st.message);
		exit(1);
	}
}

void
testbed_store_increment_version(void)
{
	store.version += 3;
	store.revision++;
}

void
testbed_store_set_outage(bool outage)
{
	store.outage = outage;
}

void
testbed_store_restore(void)
{
	while (store.count > store.copy.count)
		json_decref(store.entries[--store.count].spec);
	/* The operator writes the configuration again. */
	store.revision = store.copy.revision + 1;
	store.era++;
}

unsigned
testbed_store_version(void)
{
	return store.version;
}
