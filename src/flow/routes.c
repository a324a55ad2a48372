#include "flow/routes.h"

#include <stdlib.h>

void
routes_clear(struct routes *r)
{
	struct flow_route *e, *next;
	struct service_limits *s, *next_service;

	HASH_ITER(hh, r->table, e, next)
	{
		HASH_DEL(r->table, e);
		free(e->shares);
		free(e);
	}
	HASH_ITER(hh, r->services, s, next_service)
	{
		HASH_DEL(r->services, s);
		free(s);
	}
	*r = (struct routes){0};
}

const struct flow_route *
routes_find(const struct routes *r, uint64_t at)
{
	struct flow_route *e;

	HASH_FIND(hh, r->table, &at, sizeof(at), e);
	return e;
}

struct flow_route *
routes_add(struct routes *r, struct addr at)
{
	uint64_t key = addr_pack(at);
	struct flow_route *e;

	HASH_FIND(hh, r->table, &key, sizeof(key), e);
	if (e != NULL) {
		e->count = 0;
		return e;
	}
	e = mem_new(sizeof(*e));
	e->at = key;
	e->priority = ROUTE_PRIORITY_UNKNOWN;
	HASH_ADD(hh, r->table, at, sizeof(e->at), e);
	return e;
}

void
routes_add_service(struct routes *r, const struct service_limits *limits)
{
	struct service_limits *s;

	HASH_FIND(
	    hh, r->services, &limits->service, sizeof(limits->service), s);
	if (s == NULL) {
		s = mem_new(sizeof(*s));
		s->service = limits->service;
		HASH_ADD(hh, r->services, service, sizeof(s->service), s);
	}
	s->cold_ms = limits->cold_ms;
	s->cold_per_s_milli = limits->cold_per_s_milli;
}

const struct service_limits *
routes_find_service(const struct routes *r, uint32_t service)
{
	struct service_limits *s;

	HASH_FIND(hh, r->services, &service, sizeof(service), s);
	return s;
}

/* Whether each limit of a is one of b. */
static bool
includes_limits(const struct routes *a, const struct routes *b)
{
	const struct service_limits *s, *other;

	for (s = a->services; s != NULL; s = s->hh.next) {
		other = routes_find_service(b, s->service);
		if (s->cold_per_s_milli !=
		    (other == NULL ? 0 : other->cold_per_s_milli))
			return false;
	}
	return true;
}

bool
routes_same_limits(const struct routes *a, const struct routes *b)
{
	return a->version != 0 && includes_limits(a, b) &&
	       includes_limits(b, a);
}

void
routes_add_share(struct flow_route *to, uint32_t service, uint32_t weight)
{
	to->shares = mem_grow(to->shares, to->count + 1, sizeof(*to->shares));
	to->shares[to->count++] = (struct route_share){service, weight};
}

bool
routes_accepts(const struct flow_route *route, uint32_t service)
{
	for (size_t i = 0; i < route->count; i++) {
		if (route->shares[i].service == service)
			return route->shares[i].weight > 0;
	}
	return false;
}

size_t
routes_pick(const struct flow_route *route, uint64_t hash)
{
	uint64_t total = 0;
	uint64_t point;

	for (size_t i = 0; i < route->count; i++)
		total += route->shares[i].weight;
	if (total == 0)
		return route->count;
	point = hash % total;
	for (size_t i = 0; i < route->count; i++) {
		if (point < route->shares[i].weight)
			return i;
		point -= route->shares[i].weight;
	}
	return route->count;
}
