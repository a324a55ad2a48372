/**
 * @file flow_commands.h
 * Commands of the scripts run by flow-scripted, and the parsing that they
 * share. The scripts name addresses by a letter and a number: a1 is an agent,
 * b1 a balancer, c1 a caller, s1 a service address.
 */
#ifndef PW_FLOW_COMMANDS_H
#define PW_FLOW_COMMANDS_H

#include "flow/message.h"

/** Maximum number of words in the arguments of a command. */
#define WORDS_MAX 20

/** The arguments of a command, split into words. */
struct words {
	char text[256];
	const char *word[WORDS_MAX]; /**< entries from count on are "" */
	size_t count;
};

/** Splits the arguments of a command at spaces. */
void words_split(struct words *w, const char *arg);
/** Parses word number at (from 0) as a number; 0 if it is missing. */
uint32_t words_get_u32(const struct words *w, size_t at);
/** Returns the packed address that a name stands for; 0 if unknown. */
uint64_t parse_address_name(const char *name);
/**
 * Returns the name of a packed address, in one of four static buffers that
 * are used in turn.
 */
const char *format_address_name(uint64_t id);
/** Returns the flow key of a caller's and a service address's names. */
struct flow_key parse_flow(const char *caller, const char *service);

/* Commands of the flow balancer's scripts. */
void do_balancer(const char *arg, const char *body);
void do_version(const char *arg, const char *body);
void do_heartbeat(const char *arg, const char *body);
void do_gone(const char *arg, const char *body);
void do_reported_agent(const char *arg, const char *body);
void do_copy(const char *arg, const char *body);
void do_heartbeat_with_query(const char *arg, const char *body);
void do_proxied_find(const char *arg, const char *body);
void do_agent_list(const char *arg, const char *body);
void do_peer(const char *arg, const char *body);
void do_marks(const char *arg, const char *body);
void do_syn(const char *arg, const char *body);
void do_data(const char *arg, const char *body);
void do_accepted(const char *arg, const char *body);
void do_refused(const char *arg, const char *body);
void do_found(const char *arg, const char *body);
void do_not_held(const char *arg, const char *body);
void do_wait(const char *arg, const char *body);
void do_late_tick(const char *arg, const char *body);
void do_paused(const char *arg, const char *body);
void do_ready(const char *arg, const char *body);
void do_leave(const char *arg, const char *body);
void do_watcher(const char *arg, const char *body);
void do_reads_store(const char *arg, const char *body);
void do_store(const char *arg, const char *body);
void do_store_entry(const char *arg, const char *body);
void do_listed(const char *arg, const char *body);
void do_established(const char *arg, const char *body);
void do_isolated(const char *arg, const char *body);
void do_lists_entries(const char *arg, const char *body);
void do_spread(const char *arg, const char *body);
void do_route(const char *arg, const char *body);
void do_arrivals(const char *arg, const char *body);
void do_refusals(const char *arg, const char *body);

void do_evacuations(const char *arg, const char *body);
void do_peer_evacuations(const char *arg, const char *body);
void do_agent_evacuation(const char *arg, const char *body);

/* Commands of the scripts for evacuations. */
void do_evacuation(const char *arg, const char *body);
void do_evacuation_read(const char *arg, const char *body);
void do_evacuation_merge(const char *arg, const char *body);
void do_evacuation_agent(const char *arg, const char *body);
void do_reader(const char *arg, const char *body);
void do_response(const char *arg, const char *body);
void do_cluster(const char *arg, const char *body);
void do_cluster_read(const char *arg, const char *body);
void do_cluster_stop(const char *arg, const char *body);
void do_cluster_start(const char *arg, const char *body);
void do_cluster_run(const char *arg, const char *body);

/* Commands of the script for cold targets. */
void do_cold_limit(const char *arg, const char *body);
void do_cold_restart(const char *arg, const char *body);
void do_cold_figure(const char *arg, const char *body);
void do_cold_offer(const char *arg, const char *body);
void do_cold_interval(const char *arg, const char *body);
void do_cold_services(const char *arg, const char *body);
void do_cold_heartbeat(const char *arg, const char *body);

/* Commands of the flow agent's scripts. */
void do_agent(const char *arg, const char *body);
void do_target_heartbeat(const char *arg, const char *body);
void do_from_balancer(const char *arg, const char *body);
void do_target(const char *arg, const char *body);
void do_find(const char *arg, const char *body);
void do_check_result(const char *arg, const char *body);
void do_agent_advance(const char *arg, const char *body);
void do_agent_wait(const char *arg, const char *body);
void do_list_requests(const char *arg, const char *body);
void do_balancer_list(const char *arg, const char *body);
void do_stored_snapshot(const char *arg, const char *body);
void do_snapshot_written(const char *arg, const char *body);
void do_cold_target(const char *arg, const char *body);
void do_agent_limit(const char *arg, const char *body);
void do_agent_told(const char *arg, const char *body);
void do_offer(const char *arg, const char *body);
void do_fetched(const char *arg, const char *body);
void do_agent_work(const char *arg, const char *body);
void do_stop(const char *arg, const char *body);

/* Commands of the script for held requests. */
void do_queue_agent(const char *arg, const char *body);
void do_queue_target(const char *arg, const char *body);
void do_queue_open(const char *arg, const char *body);
void do_caller(const char *arg, const char *body);
void do_callers(const char *arg, const char *body);
void do_answers(const char *arg, const char *body);
void do_reaccepts(const char *arg, const char *body);
void do_target_ends(const char *arg, const char *body);
void do_queue_wait(const char *arg, const char *body);
void do_queue_paused(const char *arg, const char *body);
void do_queue_leave(const char *arg, const char *body);
void do_queue_state(const char *arg, const char *body);
void do_queue_quiet(const char *arg, const char *body);
void do_contend(const char *arg, const char *body);
void do_shuffle(const char *arg, const char *body);
void do_queue_log(const char *arg, const char *body);
void do_same(const char *arg, const char *body);
/* Commands of the scripts for capacity. */
void do_work_target(const char *arg, const char *body);
void do_work_load(const char *arg, const char *body);
void do_work_event(const char *arg, const char *body);
void do_herd(const char *arg, const char *body);

/* Commands of the script for traffic between failure domains. */
void do_share_world(const char *arg, const char *body);
void do_share_domain(const char *arg, const char *body);
void do_share_state(const char *arg, const char *body);
void do_share_run(const char *arg, const char *body);
void do_share_alternate(const char *arg, const char *body);
void do_share_wanted(const char *arg, const char *body);
void do_share_pick(const char *arg, const char *body);
void do_share_delay(const char *arg, const char *body);
void do_share_log(const char *arg, const char *body);
void do_share_idle(const char *arg, const char *body);
void do_open_many(const char *arg, const char *body);

/* Commands of the script for logs and metrics. */
void do_log(const char *arg, const char *body);
void do_latency(const char *arg, const char *body);

/* Commands of the script for the platform's message formats. */
void do_packet(const char *arg, const char *body);
void do_call(const char *arg, const char *body);
void do_config(const char *arg, const char *body);
void do_config_path(const char *arg, const char *body);
void do_members(const char *arg, const char *body);
void do_record(const char *arg, const char *body);
void do_mutate(const char *arg, const char *body);
void do_frames(const char *arg, const char *body);

#endif
