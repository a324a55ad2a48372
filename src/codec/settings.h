/**
 * @file settings.h
 * Settings of a process, in JSON. Checked as a whole: every fault names
 * file, line, key, value and what was expected; unknown keys are faults.
 */
#ifndef PW_SETTINGS_H
#define PW_SETTINGS_H

#include "base/status.h"
#include "base/str.h"
#include "decide/config.h"
#include "decide/member.h"

/** Most seed balancers. */
#define SET_SEEDS_MAX 8
/** Longest path or URL, with its NUL. */
#define SET_TEXT_MAX 256

/** What the settings are for; decides which keys must be there. */
enum set_use {
	SET_BALANCER,
	SET_AGENT,
	SET_OPERATOR,
	SET_FLOW_BALANCER, /**< carries opaque flows */
	SET_FLOW_AGENT
};

/** Settings of one process. */
struct settings {
	struct addr address; /**< own UDP and TCP control endpoint */
	char domain[MBR_DOMAIN_MAX];
	struct addr seeds[SET_SEEDS_MAX];
	size_t seed_count;
	char platform[SET_TEXT_MAX]; /**< base URL */
	char key_file[SET_TEXT_MAX];
	int log_level;	      /**< syslog level */
	uint32_t callers_ip;  /**< where callers' datagrams arrive; 0: the
				 service's own address */
	uint16_t health_port; /**< TCP; 0 for none */
	uint32_t hint_capacity;
	uint32_t control_budget; /**< bytes a second */
	uint32_t grace_ms;	 /**< forwarding after the stop began */
	char service[CFG_NAME_MAX];
	struct addr target;
	uint32_t flow_capacity;
	bool keep_copies;
	/* For opaque flows alone. */
	char name[SET_TEXT_MAX]; /**< of this instance in the platform */
	struct addr packets;	 /**< takes callers' packets, or balancers' */
	struct addr target_packets; /**< takes the target's packets */
	struct addr target_words;   /**< takes the target's heartbeats */
	struct addr readiness;	    /**< tells routers whether it is ready */
	struct addr metrics;	    /**< counters as text; port 0 for none */
	uint32_t word_period_ms;    /**< of the target's heartbeats */
	uint32_t flow_life_s;	    /**< a flow idle for longer is forgotten */
	uint32_t platform_calls;    /**< budget of this process, a second */
	uint32_t capacity;	    /**< thousandths of a core */
	uint32_t log_lines;	    /**< budget of this process, a second */
};

/** Read and check a settings file. */
struct status set_load(struct settings *s, const char *path, enum set_use use);

#endif
