/**
 * @file store.h
 * The platform's store in the simulation: versions of the configuration,
 * evacuations and the agents' records, and the calls by which the processes
 * read them. See task/store.c for those of the product.
 */
#ifndef PW_FLOWS_STORE_H
#define PW_FLOWS_STORE_H

#include "simulation.h"

/** Round trip of a call to the store. */
#define STORE_CALL_NS (20 * NS_PER_MS)
/** Time within which an evacuation takes effect, in ms; the users' bound. */
#define EVACUATION_MS 5000

/** Names of the failure domains. */
extern const char *const domains[];

/** The evacuations at a revision of the store. */
struct store_evacuations_view {
	uint64_t revision;
	uint32_t count;
	uint32_t tags[8];
};

/** Name of a service. */
void service_name(unsigned service, char name[FLOW_NAME_MAX]);
/** Id of a node, its present address. */
uint64_t node_id(unsigned who);
/** Index of the node with an id, also of an earlier one. */
unsigned node_index(uint64_t id);
/** Write the entry of a balancer that has started, and note what an earlier
 * process has left there. */
void store_write_entry(struct node *n, unsigned who);
/** Write the entry again when the balancer is established, and list the others'
 * entries if it finds no process after its start. */
void store_update_entry(struct node *n, unsigned who);
/** List the balancers' entries if an agent is isolated. */
void store_look_up_balancers(struct node *n, unsigned who);
/** Contact the balancers in the list of entries. */
void store_read_entries(struct node *n, unsigned who);
/** Read or watch the evacuations, as a balancer's task does. */
void store_begin_evacuations(struct node *n);
/** Handle the answer to store_begin_evacuations(). */
void store_handle_evacuations(
    struct node *n, const struct store_evacuations_view *view);
/** Read the configuration from the store or a peer, as a balancer's task does.
 */
void store_read_config(struct node *n);
/** Handle the store's answer with a version of the configuration. */
void store_handle_reply(struct node *n, uint64_t version);
/** Handle the end of a fetch of routes from another process. */
void store_apply_routes_of(struct node *n, uint64_t source);
/** Fetch newer routes from a balancer, as an agent's task does. */
void store_read_peer_routes(struct node *n);
/** Read an agent's record when it starts. */
void store_read_record(struct node *n, unsigned who);

#endif
