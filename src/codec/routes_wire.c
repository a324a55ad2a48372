#include "codec/routes_wire.h"

#include "codec/flow.pb-c.h"

#include <stdlib.h>

/* Write a route to out, its shares to shares, and references to refs. */
static void
route_to_pb(Pwf__Route *out, Pwf__Share *shares, Pwf__Share **refs,
    const struct flow_route *r)
{
	pwf__route__init(out);
	out->at = r->at;
	out->priority = (uint32_t)(r->priority + 1);
	out->latency_ms = r->latency_ms;
	out->timeout_ms = r->timeout_ms;
	out->kind = r->kind;
	out->n_shares = r->count;
	out->shares = refs;
	for (size_t i = 0; i < r->count; i++) {
		pwf__share__init(&shares[i]);
		shares[i].service = r->shares[i].service;
		shares[i].weight = r->shares[i].weight;
		refs[i] = &shares[i];
	}
}

static size_t
count_shares(const struct routes *r)
{
	size_t count = 0;
	const struct flow_route *e, *next;

	HASH_ITER(hh, r->table, e, next)
	{
		count += e->count;
	}
	return count;
}

/* Write the limits of all services to limits, and references to refs. */
static void
services_to_pb(const struct routes *r, Pwf__ServiceLimits *limits,
    Pwf__ServiceLimits **refs)
{
	const struct service_limits *s, *next;
	size_t n = 0;

	HASH_ITER(hh, r->services, s, next)
	{
		pwf__service_limits__init(&limits[n]);
		limits[n].service = s->service;
		limits[n].cold_ms = s->cold_ms;
		limits[n].cold_per_s_milli = s->cold_per_s_milli;
		refs[n] = &limits[n];
		n++;
	}
}

uint8_t *
routes_wire_encode(const struct routes *r, size_t *len)
{
	size_t count = HASH_COUNT(r->table);
	size_t service_count = HASH_COUNT(r->services);
	Pwf__ServiceLimits *limits =
	    mem_new((service_count + 1) * sizeof(*limits));
	Pwf__ServiceLimits **limit_refs =
	    mem_new((service_count + 1) * sizeof(Pwf__ServiceLimits *));
	size_t share_count = count_shares(r);
	Pwf__Share *shares = mem_new((share_count + 1) * sizeof(*shares));
	Pwf__Share **share_refs =
	    mem_new((share_count + 1) * sizeof(Pwf__Share *));
	Pwf__Route *packed = mem_new((count + 1) * sizeof(*packed));
	Pwf__Route **refs = mem_new((count + 1) * sizeof(Pwf__Route *));
	Pwf__Routes all = PWF__ROUTES__INIT;
	const struct flow_route *e, *next;
	uint8_t *bytes;
	size_t n = 0;
	size_t share = 0;

	HASH_ITER(hh, r->table, e, next)
	{
		route_to_pb(&packed[n], &shares[share], &share_refs[share], e);
		refs[n] = &packed[n];
		share += e->count;
		n++;
	}
	all.version = r->version;
	all.idle_ms = r->idle_ms;
	all.n_routes = count;
	all.routes = refs;
	services_to_pb(r, limits, limit_refs);
	all.n_services = service_count;
	all.services = limit_refs;
	bytes = mem_new(pwf__routes__get_packed_size(&all) + 1);
	*len = pwf__routes__pack(&all, bytes);
	free(shares);
	free(share_refs);
	free(packed);
	free(refs);
	free(limits);
	free(limit_refs);
	return bytes;
}

static void
route_from_pb(const Pwf__Route *r, struct routes *out)
{
	struct flow_route *route = routes_add(out, addr_unpack(r->at));

	route->priority = r->priority <= INT16_MAX ? (int)r->priority - 1
						   : ROUTE_PRIORITY_UNKNOWN;
	route->latency_ms = r->latency_ms;
	route->timeout_ms = r->timeout_ms;
	route->kind = r->kind < REQUEST_KINDS ? (enum request_kind)r->kind
					      : REQUEST_UNKNOWN;
	for (size_t i = 0; i < r->n_shares; i++)
		routes_add_share(
		    route, r->shares[i]->service, r->shares[i]->weight);
}

bool
routes_wire_decode(struct str bytes, struct routes *out)
{
	Pwf__Routes *all =
	    pwf__routes__unpack(NULL, bytes.len, (const uint8_t *)bytes.p);
	bool ok = all != NULL && all->version != 0;

	*out = (struct routes){0};
	if (ok) {
		out->version = all->version;
		out->idle_ms = all->idle_ms;
	}
	for (size_t i = 0; ok && i < all->n_routes; i++)
		route_from_pb(all->routes[i], out);
	for (size_t i = 0; ok && i < all->n_services; i++)
		routes_add_service(
		    out, &(struct service_limits){
			     .service = all->services[i]->service,
			     .cold_ms = all->services[i]->cold_ms,
			     .cold_per_s_milli =
				 all->services[i]->cold_per_s_milli});
	if (all != NULL)
		pwf__routes__free_unpacked(all, NULL);
	if (!ok)
		routes_clear(out);
	return ok;
}
