#include "document.h"

#include "codec/routes_wire.h"
#include "platform.h"

#include <jansson.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

static json_t *
write_split(const struct document *d, const char *service)
{
	json_t *split = json_array();
	char name[FLOW_NAME_MAX];

	json_array_append_new(
	    split, json_pack("{s:s, s:i}", "service", service, "weight", 100));
	for (unsigned i = 0; i < d->idle_shares; i++) {
		snprintf(name, sizeof(name), "idle-service-%u", i);
		json_array_append_new(split,
		    json_pack("{s:s, s:i}", "service", name, "weight", 0));
	}
	return split;
}

static json_t *
write_route(const struct document *d, const struct document_route *r)
{
	char host[ADDR_TEXT_MAX], prefix[16];
	json_t *route;

	addr_text(r->address, host);
	*strchr(host, ':') = '\0';
	snprintf(prefix, sizeof(prefix), "/%u/", r->address.port);
	route = json_pack("{s:s, s:s, s:s, s:o}", "host", host, "path_prefix",
	    prefix, "type", "non_idempotent", "traffic_split",
	    write_split(d, r->service));
	if (r->priority >= 0)
		json_object_set_new(
		    route, "priority", json_integer(r->priority));
	if (r->latency_ms != 0)
		json_object_set_new(route, "target_latency_ms",
		    json_integer((json_int_t)r->latency_ms));
	if (r->timeout_ms != 0)
		json_object_set_new(route, "timeout_ms",
		    json_integer((json_int_t)r->timeout_ms));
	return route;
}

static char *
write_response(const struct document *d)
{
	json_t *routes = json_array();
	json_t *services = json_array();
	json_t *root;
	char *text;

	for (size_t i = 0; i < d->count; i++) {
		json_array_append_new(routes, write_route(d, &d->routes[i]));
		json_array_append_new(services,
		    json_pack("{s:s, s:i, s:i}", "name", d->routes[i].service,
			"cold_start_s", (int)d->cold_s, "cold_per_s",
			(int)d->cold_per_s));
	}
	root = json_pack(
	    "{s:[{s:{s:s, s:i}, s:{s:I, s:o, s:o, s:{s:I}}}], s:b, s:i}",
	    "items", "meta", "name", "main", "revision", 1, "spec", "version",
	    (json_int_t)d->version, "routes", routes, "services", services,
	    "limits", "idle_timeout_ms", (json_int_t)d->idle_ms, "has_more", 0,
	    "as_of", 1);
	text = json_dumps(root, JSON_COMPACT);
	json_decref(root);
	return text;
}

bool
document_pass(const struct document *d, struct routes *out)
{
	struct platform_config c;
	char *text = write_response(d);
	struct status st = platform_edge.read_config(str_of(text), &c);
	uint8_t *encoded;
	size_t len;
	bool ok;

	free(text);
	*out = (struct routes){0};
	if (st.code != STATUS_OK)
		return false;
	encoded = routes_wire_encode(&c.routes, &len);
	ok = routes_wire_decode((struct str){(char *)encoded, len}, out);
	free(encoded);
	routes_clear(&c.routes);
	return ok;
}
