/**
 * @file flow_world.h
 * Names that scripts about flows use, and what their commands share: a1 is an
 * agent, b1 a balancer, c1 a caller, s1 a service address.
 */
#ifndef PW_FLOW_WORLD_H
#define PW_FLOW_WORLD_H

#include "flow/message.h"

/** Most words of a line. */
#define WORDS_MAX 12

/** The words of a command's line. */
struct words {
	char text[256];
	const char *word[WORDS_MAX]; /**< "" from count on */
	size_t count;
};

/** Split a line at spaces. */
void words_split(struct words *w, const char *arg);
/** A word as a number; 0 when it is not there. */
uint32_t words_number(const struct words *w, size_t at);
/** Address of a name, packed. */
uint64_t world_id(const char *name);
/** Name of an address. */
const char *world_name(uint64_t id);
/** The flow of a caller and a service address. */
struct flow_key world_flow(const char *caller, const char *service);

/* Commands of scripts about a balancer. */
void do_bal(const char *arg, const char *body);
void do_version(const char *arg, const char *body);
void do_beat(const char *arg, const char *body);
void do_gone(const char *arg, const char *body);
void do_mentioned(const char *arg, const char *body);
void do_asks(const char *arg, const char *body);
void do_errand(const char *arg, const char *body);
void do_told(const char *arg, const char *body);
void do_peer(const char *arg, const char *body);
void do_syn(const char *arg, const char *body);
void do_data(const char *arg, const char *body);
void do_accepted(const char *arg, const char *body);
void do_refused(const char *arg, const char *body);
void do_found(const char *arg, const char *body);
void do_away(const char *arg, const char *body);
void do_wait(const char *arg, const char *body);
void do_late(const char *arg, const char *body);
void do_paused(const char *arg, const char *body);
void do_ready(const char *arg, const char *body);
void do_leave(const char *arg, const char *body);
void do_entry(const char *arg, const char *body);
void do_spread(const char *arg, const char *body);

/* Commands of scripts about an agent. */
void do_agt(const char *arg, const char *body);
void do_word(const char *arg, const char *body);
void do_from_balancer(const char *arg, const char *body);
void do_target(const char *arg, const char *body);
void do_find(const char *arg, const char *body);
void do_tried(const char *arg, const char *body);
void do_between(const char *arg, const char *body);
void do_await(const char *arg, const char *body);
void do_stop(const char *arg, const char *body);

/* Commands of scripts about logs and metrics. */
void do_log(const char *arg, const char *body);
void do_latency(const char *arg, const char *body);

/* Commands of scripts about the platform's words. */
void do_packet(const char *arg, const char *body);
void do_call(const char *arg, const char *body);
void do_config(const char *arg, const char *body);
void do_members(const char *arg, const char *body);
void do_frames(const char *arg, const char *body);

#endif
