#include "codec/routes_wire.h"

#include "codec/flow.pb-c.h"

#include <stdlib.h>

/** Room for one route while it is encoded. */
struct route_room {
	Pwf__Route route;
	Pwf__Share shares[ROUTE_SHARES_MAX];
	Pwf__Share *share_refs[ROUTE_SHARES_MAX];
};

static void
fill(struct route_room *room, const struct flow_route *r)
{
	pwf__route__init(&room->route);
	room->route.at = r->at;
	room->route.n_shares = r->count;
	room->route.shares = room->share_refs;
	for (size_t i = 0; i < r->count; i++) {
		pwf__share__init(&room->shares[i]);
		room->shares[i].service = r->shares[i].service;
		room->shares[i].weight = r->shares[i].weight;
		room->share_refs[i] = &room->shares[i];
	}
}

uint8_t *
routes_wire_encode(const struct routes *r, size_t *len)
{
	size_t count = HASH_COUNT(r->table);
	struct route_room *rooms = mem_new((count + 1) * sizeof(*rooms));
	Pwf__Route **refs = mem_new((count + 1) * sizeof(Pwf__Route *));
	Pwf__Routes all = PWF__ROUTES__INIT;
	const struct flow_route *e, *next;
	uint8_t *bytes;
	size_t at = 0;

	HASH_ITER(hh, r->table, e, next)
	{
		fill(&rooms[at], e);
		refs[at] = &rooms[at].route;
		at++;
	}
	all.version = r->version;
	all.idle_ms = r->idle_ms;
	all.n_routes = count;
	all.routes = refs;
	bytes = mem_new(pwf__routes__get_packed_size(&all) + 1);
	*len = pwf__routes__pack(&all, bytes);
	free(rooms);
	free(refs);
	return bytes;
}

static bool
take_route(const Pwf__Route *r, struct routes *out)
{
	struct flow_route *to = routes_add(out, addr_unpack(r->at));

	for (size_t i = 0; i < r->n_shares; i++) {
		if (!routes_add_share(
			to, r->shares[i]->service, r->shares[i]->weight))
			return false;
	}
	return true;
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
		ok = take_route(all->routes[i], out);
	if (all != NULL)
		pwf__routes__free_unpacked(all, NULL);
	if (!ok)
		routes_clear(out);
	return ok;
}
