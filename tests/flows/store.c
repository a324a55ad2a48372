#include "store.h"
#include "codec/snapshot_wire.h"
#include "document.h"

#include <stdlib.h>
#include <string.h>

/** Times of the store's client, see task/store.c: how long the store holds a
 * watch, the timeout of a call beside that, the pause after a failure and after
 * a new version. */
#define WATCH_HOLD_NS (1000 * NS_PER_MS)
#define STORE_TIMEOUT_NS (900 * NS_PER_MS)
#define STORE_RETRY_NS (250 * NS_PER_MS)
#define CONFIG_INTERVAL_NS (300 * NS_PER_MS)
/** Mode "priorities": the two priorities, and the target latency of both
 * routes, in ms. */
#define PRIORITY_HIGH 1
#define PRIORITY_LOW 2
#define PRIORITY_LATENCY_MS 200
/** Services that get no new flows among which a route is split, fewer than. */
#define IDLE_SHARES_RANGE 41
/** Most shares of all routes, so that large runs are not slow. */
#define SHARES_MAX 1000
/** Idle time after which flows may be removed, in ms. */
#define IDLE_MS 30000
/** Time of a fetch of routes from a balancer, which takes two round trips. */
#define PEER_CALL_NS (20 * NS_PER_MS)
/** Shortest interval between two fetches of one balancer, in ms. */
#define FETCH_RETRY_MS 200
/** Longest time by which a list from the store is out of date. */
#define STALE_MAX_NS (3 * NS_PER_S)
/** Interval in which an agent tries to read its record, in ms. */
#define RECORD_RETRY_MS 200
/** Time in which a new version of the configuration reaches all balancers, in
 * ms; the users' bound. */
#define PROPAGATION_MAX_MS 5000
/** PROPAGATION_MAX_MS is checked for a balancer once it has been free of faults
 * for this long, in ms. */
#define STABLE_MS 5000
/** Interval in which a watch of the evacuations that reports no change ends, in
 * ms. */
#define WATCH_MS 3000

/* ---- configuration ---- */

/* Some versions split each route over many services. */
static unsigned
idle_shares(uint64_t version, unsigned routes)
{
	unsigned shares = (unsigned)(version * 7 % IDLE_SHARES_RANGE);
	unsigned most = SHARES_MAX / routes;

	return shares < most ? shares : most;
}

static void
add_route(struct document_route *out, uint64_t address, unsigned service)
{
	*out = (struct document_route){.address = addr_unpack(address),
	    .priority = ROUTE_PRIORITY_UNKNOWN};
	service_name(service, out->service);
}

/* Routes of high and low priority to each service. */
static size_t
add_priorities(struct document_route *out, unsigned services)
{
	for (unsigned i = 0; i < services; i++) {
		struct document_route *high = &out[services + i];

		out[i].priority = PRIORITY_LOW;
		out[i].latency_ms = PRIORITY_LATENCY_MS;
		add_route(high, priority_address(i), i);
		high->priority = PRIORITY_HIGH;
		high->latency_ms = PRIORITY_LATENCY_MS;
	}
	return 2 * (size_t)services;
}

/* Returns false if a process cannot read the version. */
static bool
build_routes(uint64_t version, struct routes *out)
{
	unsigned services = address_count();
	struct document_route *routes =
	    mem_new(2 * (size_t)services * sizeof(*routes));
	struct document d = {.version = version,
	    .idle_ms = IDLE_MS,
	    .cold_s = COLD_MS / 1000,
	    .cold_per_s = COLD_PER_S,
	    .routes = routes,
	    .count = services,
	    .idle_shares = idle_shares(version, services)};
	bool ok;

	for (unsigned i = 0; i < services; i++) {
		add_route(&routes[i], service_address(i),
		    address_service(service_address(i)));
		if (!sim.options.load.enabled)
			continue;
		routes[i].priority = (int)i + 1;
		routes[i].latency_ms = LOAD_LATENCY_MS;
		routes[i].timeout_ms = LOAD_TIMEOUT_MS;
	}
	if (sim.options.priorities)
		d.count = add_priorities(routes, services);
	ok = document_pass(&d, out);
	free(routes);
	return ok;
}

void
config_publish(void)
{
	sim.store_version += 1 + rng_below(&sim.rng, 3);
	sim.changed_ns = sim.now;
	sim.store_revision++;
}

/* ---- evacuations ---- */

void
evacuation_toggle(unsigned domain)
{
	unsigned count = 0;

	for (unsigned i = 0; i < sim.options.domains; i++)
		count += sim.evacuated_ns[i] != 0 ? 1 : 0;
	if (sim.evacuated_ns[domain] == 0 && count == EVACUATED_MAX)
		return;
	sim.evacuated_ns[domain] = sim.evacuated_ns[domain] == 0 ? sim.now : 0;
	sim.evacuations_revision = ++sim.store_revision;
}

/* Reads or watches the evacuations, as the balancer's task does: a watch ends
 * with a change, or after a while with the store's revision. */
void
store_begin_evacuations(struct node *n)
{
	struct store_evacuations_view view = {.revision = sim.store_revision};
	bool changed = n->evacuations_read == 0 ||
		       n->evacuations_read < sim.evacuations_revision;

	if (!fb_should_watch_evacuations(&n->fb, sim.now) ||
	    n->evacuations_pending || sim.now < sim.store_down_until_ns ||
	    (!changed &&
		sim.now < n->evacuations_read_ns + WATCH_MS * NS_PER_MS))
		return;
	for (unsigned i = 0; i < sim.options.domains; i++) {
		if (sim.evacuated_ns[i] != 0)
			view.tags[view.count++] =
			    flow_service_tag(str_of(domains[i]));
	}
	n->evacuations_pending = true;
	n->evacuations_read_ns = sim.now;
	schedule_event(STORE_CALL_NS, EV_EVACUATIONS, (unsigned)(n - sim.nodes),
	    n->generation, 0, &view, sizeof(view));
}

void
store_handle_evacuations(
    struct node *n, const struct store_evacuations_view *view)
{
	n->evacuations_pending = false;
	n->evacuations_read = view->revision;
	fb_apply_evacuations(
	    &n->fb, view->revision, view->tags, view->count, sim.now);
}

unsigned
evacuation_count_uninformed(bool agents)
{
	unsigned count = 0;

	for (unsigned i = 0; i < sim.node_count; i++) {
		const struct node *n = &sim.nodes[i];
		const struct evacuation *e =
		    n->is_agent ? &n->fa.evacuation : &n->fb.evacuation;
		bool informed = n->alive;

		for (unsigned d = 0; informed && d < sim.options.domains; d++)
			informed = evacuation_contains(e,
				       flow_service_tag(str_of(domains[d]))) ==
				   (sim.evacuated_ns[d] != 0);
		if (n->is_agent == agents && !informed)
			count++;
	}
	return count;
}

void
check_evacuated(unsigned agent, unsigned balancer)
{
	const struct node *n = &sim.nodes[agent];
	uint64_t since = sim.evacuated_ns[n->domain];

	if (since == 0 || !node_is_stable(n, STABLE_MS) ||
	    !node_is_stable(&sim.nodes[balancer], STABLE_MS))
		return;
	if (sim.store_down_until_ns > since)
		since = sim.store_down_until_ns;
	check_invariant(INV_EVACUATED,
	    sim.now < since + EVACUATION_MS * NS_PER_MS,
	    "balancer %u placed a flow at agent %u of evacuated domain %u",
	    balancer, agent, n->domain);
}

static bool
reaches_store(const struct node *n)
{
	return sim.now >= sim.store_down_until_ns &&
	       sim.now >= n->store_cut_until_ns;
}

void
node_cut_from_store(unsigned who, uint64_t ns)
{
	sim.nodes[who].store_cut_until_ns = sim.now + ns;
	sim.nodes[who].disturbed_until_ns = sim.now + ns;
}

/* Breaks INV_CUTOFF: a balancer reports that its watch is answered when it is
 * not. */
static void
report_watch(struct node *n, bool ok)
{
	if (n->watch.on)
		fb_set_watch_ok(&n->fb,
		    ok || sim.options.broken_invariant == INV_CUTOFF, sim.now);
}

static void
begin_store_call(struct node *n)
{
	struct store_watch *w = &n->watch;

	sim.store_calls++;
	w->calling = true;
	w->lost = !reaches_store(n);
	w->call_ns = sim.now;
	w->hold_ns = w->answered ? WATCH_HOLD_NS : 0;
}

static void
continue_store_call(struct node *n, unsigned who)
{
	struct store_watch *w = &n->watch;

	w->lost |= !reaches_store(n);
	if (w->lost) {
		if (sim.now < w->call_ns + w->hold_ns + STORE_TIMEOUT_NS)
			return;
		w->calling = false;
		w->answered = false;
		w->next_ns = sim.now + STORE_RETRY_NS;
		report_watch(n, false);
		return;
	}
	if (w->version == sim.store_version &&
	    sim.now < w->call_ns + w->hold_ns)
		return;
	w->calling = false;
	w->replying = true;
	schedule_event(STORE_CALL_NS, EV_STORE_REPLY, who, n->generation,
	    sim.store_version, NULL, 0);
}

/* Watches the configuration as the balancer's task does in the product. */
static void
watch_store(struct node *n, unsigned who)
{
	struct store_watch *w = &n->watch;

	w->on = fb_should_query_store(&n->fb, sim.now);
	w->answered &= w->on;
	if (w->calling)
		continue_store_call(n, who);
	else if (w->on && !w->replying && sim.now >= w->next_ns)
		begin_store_call(n);
}

/* Reads the configuration from the store or a peer, as the balancer's task does
 * in the product. */
void
store_read_config(struct node *n)
{
	unsigned who = (unsigned)(n - sim.nodes);
	uint64_t source = fb_newer_source(&n->fb, sim.now);

	watch_store(n, who);
	if (source != 0 &&
	    sim.now > n->last_fetch_ns + FETCH_RETRY_MS * NS_PER_MS) {
		n->last_fetch_ns = sim.now;
		schedule_event(PEER_CALL_NS, EV_PEER_REPLY, who, n->generation,
		    source, NULL, 0);
	}
}

/* Breaks INV_LOAD_PRIORITY, or INV_USED, or INV_FAIRNESS in one failure domain:
 * the routes state other priorities, or a target latency that only idle targets
 * can meet. */
static void
break_routes(const struct node *n, struct routes *routes)
{
	struct flow_route *route, *next;

	HASH_ITER(hh, routes->table, route, next)
	{
		if (sim.options.broken_invariant == INV_LOAD_PRIORITY)
			route->priority = LOAD_PRIORITIES - route->priority;
		if (sim.options.broken_invariant == INV_USED ||
		    (sim.options.broken_invariant == INV_FAIRNESS &&
			n->domain == 0))
			route->latency_ms = LOAD_LATENCY_MS / 5;
	}
}

static void
apply_version(struct node *n, uint64_t version)
{
	struct routes next;

	if (sim.options.broken_invariant == INV_PROPAGATION &&
	    n == &sim.nodes[0])
		return;
	if (sim.options.broken_invariant == INV_VERSION &&
	    n->fb.routes.version > 1) {
		version = n->fb.routes.version - 1;
		n->fb.routes.version = 0;
	}
	if (!build_routes(version, &next))
		return;
	break_routes(n, &next);
	fb_apply_routes(&n->fb, &next, sim.now);
	check_invariant(INV_VERSION, n->fb.routes.version >= n->version,
	    "balancer %u went back from version %llu to %llu",
	    (unsigned)(n - sim.nodes), (unsigned long long)n->version,
	    (unsigned long long)n->fb.routes.version);
	n->version = n->fb.routes.version;
}

void
store_handle_reply(struct node *n, uint64_t version)
{
	struct store_watch *w = &n->watch;

	w->replying = false;
	w->answered = w->on;
	if (version != w->version)
		w->next_ns = sim.now + CONFIG_INTERVAL_NS;
	w->version = version;
	if (version > n->fb.routes.version)
		apply_version(n, version);
	report_watch(n, true);
}

/* A process has read the routes of another one. */
void
store_apply_routes_of(struct node *n, uint64_t source)
{
	const struct node *from = &sim.nodes[node_index(source)];
	uint64_t version = 0;

	if (from->alive && sim.now >= from->frozen_until_ns &&
	    sim.now >= sim.cut_until_ns[from->domain][n->domain])
		version = from->is_agent ? from->fa.routes_version
					 : from->fb.routes.version;
	if (version == 0)
		return;
	if (!n->is_agent)
		apply_version(n, version);
	else if (sim.options.broken_invariant != INV_AWAY)
		fa_set_routes_version(&n->fa, version);
}

void
store_read_peer_routes(struct node *n)
{
	uint64_t source = fa_take_routes_source(&n->fa);

	if (source != 0)
		schedule_event(PEER_CALL_NS, EV_PEER_REPLY,
		    (unsigned)(n - sim.nodes), n->generation, source, NULL, 0);
}

/* ---- entries of the balancers ---- */

/* Breaks INV_RESET: a new balancer takes all agents for known, as if an earlier
 * process at its address had known them. */
void
store_write_entry(struct node *n, unsigned who)
{
	if (!reaches_store(n)) {
		schedule_event(
		    STORE_RETRY_NS, EV_ENTRY, who, n->generation, 0, NULL, 0);
		return;
	}
	fb_set_listed(&n->fb,
	    n->established || sim.options.broken_invariant == INV_RESET,
	    sim.now);
	if (n->listed_ns == 0)
		n->listed_ns = sim.now;
}

static void
list_entries(struct node *n, unsigned who)
{
	schedule_event(
	    STORE_CALL_NS, EV_ENTRIES, who, n->generation, 0, NULL, 0);
}

void
store_update_entry(struct node *n, unsigned who)
{
	n->established |=
	    fb_is_established(&n->fb, sim.now) && reaches_store(n);
	if (fb_should_list_entries(&n->fb, sim.now))
		list_entries(n, who);
}

void
store_look_up_balancers(struct node *n, unsigned who)
{
	if (isolation_should_look_up(
		&n->isolation, fa_list_query_period_ms(&n->fa), sim.now))
		list_entries(n, who);
}

/* The list may lack what was written in the last seconds. */
void
store_read_entries(struct node *n, unsigned who)
{
	uint64_t stale_ns = rng_below(&sim.rng, STALE_MAX_NS);
	size_t count = 0;

	if (!reaches_store(n)) {
		schedule_event(
		    STORE_RETRY_NS, EV_ENTRIES, who, n->generation, 0, NULL, 0);
		return;
	}
	for (unsigned i = 0; i < sim.options.balancers; i++) {
		const struct node *b = &sim.nodes[i];

		if (b->listed_ns == 0 || sim.now < b->listed_ns + stale_ns)
			continue;
		count += 1 + b->moves;
		if (n->is_agent)
			fa_contact_balancer(&n->fa, node_id(i), sim.now);
		else
			fb_contact_balancer(&n->fb, node_id(i), sim.now);
	}
	if (!n->is_agent)
		fb_count_entries(&n->fb, count);
}

/* ---- records ---- */

/* Breaks INV_LOST_FLOW: the agent finds no record. */
void
store_read_record(struct node *n, unsigned who)
{
	struct snapshot s = {0};

	if (sim.now < sim.store_down_until_ns) {
		schedule_event(RECORD_RETRY_MS * NS_PER_MS, EV_RECORD_READ, who,
		    n->generation, 0, NULL, 0);
		return;
	}
	if (n->record != NULL && sim.options.broken_invariant != INV_LOST_FLOW)
		snapshot_wire_decode(
		    (struct str){(const char *)n->record, n->record_len}, &s);
	fa_handle_stored_snapshot(&n->fa, &s, sim.now);
}

/* ---- checks ---- */

static bool
all_stable(void)
{
	/* The store may be away for longer than the fault that began last. */
	return sim.now > sim.last_fault_ns + STABLE_MS * NS_PER_MS &&
	       sim.now > sim.store_down_until_ns + STABLE_MS * NS_PER_MS;
}

void
nodes_check_versions(void)
{
	if (!all_stable() ||
	    sim.now < sim.changed_ns + PROPAGATION_MAX_MS * NS_PER_MS)
		return;
	for (unsigned i = 0; i < sim.options.balancers; i++) {
		const struct node *n = &sim.nodes[i];

		if (node_is_stable(n, STABLE_MS))
			check_invariant(INV_PROPAGATION,
			    n->version == sim.store_version,
			    "balancer %u has version %llu, the store has %llu",
			    i, (unsigned long long)n->version,
			    (unsigned long long)sim.store_version);
	}
}

void
nodes_check_cutoff(void)
{
	for (unsigned i = 0; i < sim.options.balancers; i++) {
		const struct node *n = &sim.nodes[i];

		if (n->alive && reaches_store(n))
			check_invariant(INV_CUTOFF,
			    n->version == sim.store_version,
			    "balancer %u has version %llu, the store has %llu",
			    i, (unsigned long long)n->version,
			    (unsigned long long)sim.store_version);
	}
}
