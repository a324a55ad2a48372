#include "task/node.h"

#include <xxhash.h>

uint64_t
node_id(struct addr a)
{
	uint64_t packed = addr_pack(a);
	uint64_t id = XXH3_64bits(&packed, sizeof(packed));

	return id == 0 ? 1 : id;
}

struct status
node_init(struct node *n, uv_loop_t *loop, const struct settings *set,
    enum mbr_role role)
{
	struct status st = key_load(&n->keys, set->key_file);

	if (st.code != STATUS_OK)
		return st;
	n->loop = loop;
	n->set = set;
	n->clock = clock_system();
	rng_init(&n->rng, rng_system_seed());
	n->self = (struct member){
	    .id = node_id(set->address),
	    .incarnation = clock_wall_ns(),
	    .seq = 1,
	    .role = role,
	    .addr = set->address,
	};
	if (role == MBR_AGENT)
		n->self.service = cfg_service_id(str_of(set->service));
	str_copy(n->self.domain, sizeof(n->self.domain), str_of(set->domain));
	return st;
}

uint64_t
node_now(const struct node *n)
{
	return clock_now_ns(&n->clock);
}

static bool
is_control(enum msg_kind kind)
{
	return kind != MSG_DATAGRAM && kind != MSG_ANSWER;
}

void
node_send(struct node *n, struct addr to, const struct msg *m)
{
	uint8_t buf[WIRE_UDP_MAX];
	size_t len = wire_encode(&n->keys, m, buf, sizeof(buf));

	if (len == 0)
		return;
	if (is_control(m->kind))
		ctr_add(&n->ctr, CTR_CONTROL_OUT, len);
	udp_send(&n->control, to, (struct str){(char *)buf, len});
}

bool
node_receive(struct node *n, struct str frame, struct msg *out)
{
	enum wire_result r = wire_decode(&n->keys, frame, &n->arena, out);

	if (r != WIRE_OK) {
		ctr_inc(&n->ctr, wire_drop_counter(r));
		return false;
	}
	if (is_control(out->kind))
		ctr_add(&n->ctr, CTR_CONTROL_IN, frame.len);
	return true;
}
