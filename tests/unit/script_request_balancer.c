#include "base/clock.h"
#include "request/balancer.h"
#include "runner.h"
#include "script.h"

#include <stdio.h>
#include <string.h>

/** Longest name of a service in a script, with its NUL; see the formats. */
#define SERVICE_MAX 64

static struct balancer *balancer;
static struct counters counters;
static struct rng balancer_rng;

/* An instance is named by its number, a caller by its own. */
static struct addr
instance_addr(unsigned n)
{
	return (struct addr){0x0a000000 + n, 7500};
}

static uint64_t
service_id(const char *name)
{
	return cfg_service_id(str_of(name));
}

static void
on_send(void *ctx, struct addr to, const struct msg *m)
{
	(void)ctx;
	if (m->kind == MSG_DATAGRAM)
		script_printf("  datagram of %u to %u\n",
		    (unsigned)m->u.datagram.flow.caller,
		    (unsigned)(to.ip & 0xff));
}

/* balancer: a new balancer that knows nobody */
void
do_request_balancer(const char *arg, const char *body)
{
	static const struct bal_ops ops = {.send_node = on_send};
	const struct bal_params params = {.self = {.id = 1,
					      .incarnation = 1,
					      .role = MBR_BALANCER,
					      .addr = {0x0a000064, 7400},
					      .domain = "east"},
	    .hint_capacity = 64,
	    .control_budget = 9000};

	(void)arg;
	(void)body;
	bal_free(balancer);
	counters = (struct counters){0};
	rng_init(&balancer_rng, 1);
	balancer =
	    bal_new(&params, &ops, &balancer_rng, &counters, script_now_ns);
}

/* instance N SERVICE INCARNATION: an agent's record arrives */
void
do_instance(const char *arg, const char *body)
{
	struct msg m = {.kind = MSG_RECORDS, .from = 2};
	struct member *record = &m.u.records.records[0];
	unsigned n = 0;
	unsigned incarnation = 0;
	char service[SERVICE_MAX];

	(void)body;
	sscanf(arg, "%u %63s %u", &n, service, &incarnation);
	*record = (struct member){.id = addr_pack(instance_addr(n)),
	    .incarnation = incarnation,
	    .seq = 1,
	    .role = MBR_AGENT,
	    .phase = MBR_ACTIVE,
	    .addr = instance_addr(n),
	    .service = service_id(service),
	    .domain = "east"};
	m.u.records.count = 1;
	bal_handle_message(balancer, &m, instance_addr(n), script_now_ns);
}

/* hint CALLER SERVICE N: an agent reports that it owns the caller's flow */
void
do_hint(const char *arg, const char *body)
{
	struct msg m = {.kind = MSG_HINT, .from = 2};
	unsigned caller = 0;
	unsigned n = 0;
	char service[SERVICE_MAX];

	(void)body;
	sscanf(arg, "%u %63s %u", &caller, service, &n);
	m.u.hint.flow = (struct flow_key){caller, service_id(service)};
	m.u.hint.owner = addr_pack(instance_addr(n));
	bal_handle_message(balancer, &m, instance_addr(n), script_now_ns);
}

/* datagram CALLER SERVICE: a caller's datagram arrives */
void
do_datagram(const char *arg, const char *body)
{
	unsigned caller = 0;
	char service[SERVICE_MAX];
	struct flow_key flow;

	(void)body;
	sscanf(arg, "%u %63s", &caller, service);
	flow = (struct flow_key){caller, service_id(service)};
	bal_handle_caller_datagram(
	    balancer, &flow, str_of("datagram"), script_now_ns);
	script_printf("  %zu hints, %u dropped\n", bal_hint_count(balancer),
	    (unsigned)counters.value[CTR_DROP_NO_TARGET]);
}
