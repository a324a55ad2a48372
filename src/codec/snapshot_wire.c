#include "codec/snapshot_wire.h"

#include "codec/flow.pb-c.h"

#include <stdlib.h>

uint8_t *
snapshot_wire_encode(const struct snapshot *s, size_t *len)
{
	Pwf__Snapshot pb = PWF__SNAPSHOT__INIT;
	uint8_t *bytes;

	pb.target = s->target_id;
	pb.started_ms = s->target_started_ms;
	pb.n_callers = pb.n_services = pb.n_acks = s->count;
	pb.callers = mem_grow(NULL, s->count + 1, sizeof(*pb.callers));
	pb.services = mem_grow(NULL, s->count + 1, sizeof(*pb.services));
	pb.acks = mem_grow(NULL, s->count + 1, sizeof(*pb.acks));
	for (size_t i = 0; i < s->count; i++) {
		pb.callers[i] = s->flows[i].flow.caller;
		pb.services[i] = s->flows[i].flow.service;
		pb.acks[i] = s->flows[i].caller_ack;
	}
	bytes = mem_new(pwf__snapshot__get_packed_size(&pb) + 1);
	*len = pwf__snapshot__pack(&pb, bytes);
	free(pb.callers);
	free(pb.services);
	free(pb.acks);
	return bytes;
}

bool
snapshot_wire_decode(struct str bytes, struct snapshot *out)
{
	Pwf__Snapshot *pb =
	    pwf__snapshot__unpack(NULL, bytes.len, (const uint8_t *)bytes.p);
	bool ok = pb != NULL && pb->target != 0 && pb->started_ms != 0 &&
		  pb->n_callers == pb->n_services &&
		  pb->n_callers == pb->n_acks;

	*out = (struct snapshot){0};
	if (ok) {
		out->target_id = pb->target;
		out->target_started_ms = pb->started_ms;
		out->count = pb->n_callers;
		out->flows =
		    mem_grow(NULL, out->count + 1, sizeof(*out->flows));
		for (size_t i = 0; i < out->count; i++)
			out->flows[i] = (struct snapshot_flow){
			    {pb->callers[i], pb->services[i]}, pb->acks[i]};
	}
	if (pb != NULL)
		pwf__snapshot__free_unpacked(pb, NULL);
	return ok;
}
