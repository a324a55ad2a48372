/**
 * @file settings.h
 * Settings of a process, read from a JSON file. All keys are checked, and
 * unknown keys are errors. An error states file, line, key, value and the
 * expected value.
 */
#ifndef PW_SETTINGS_H
#define PW_SETTINGS_H

#include "base/status.h"
#include "base/str.h"
#include "decide/config.h"
#include "decide/member.h"

/** Maximum number of seed balancers. */
#define SETTINGS_SEEDS_MAX 8
/** Size of a path, URL or name, with its NUL. */
#define SETTINGS_TEXT_MAX 256
/** Size of a failure domain's name, with its NUL: as in the messages of opaque
 * flows. */
#define SETTINGS_DOMAIN_MAX 64

/** What the settings are for; determines which keys are required. */
enum settings_use {
	SETTINGS_BALANCER,
	SETTINGS_AGENT,
	SETTINGS_OPERATOR,	/**< the operator's commands */
	SETTINGS_FLOW_BALANCER, /**< balancer for opaque flows */
	SETTINGS_FLOW_AGENT	/**< agent for opaque flows */
};

/** Settings of one process. */
struct settings {
	struct addr address; /**< own control endpoint, UDP and TCP */
	char domain[SETTINGS_DOMAIN_MAX];
	struct addr seeds[SETTINGS_SEEDS_MAX];
	size_t seed_count;
	char platform[SETTINGS_TEXT_MAX]; /**< base URL */
	char key_file[SETTINGS_TEXT_MAX];
	int log_level;	      /**< syslog level */
	uint32_t callers_ip;  /**< where callers' datagrams arrive; 0: the
				 service's own address */
	uint16_t health_port; /**< TCP port for health checks; 0 for none */
	uint32_t hint_capacity;
	uint32_t control_budget; /**< bytes per s */
	uint32_t grace_ms; /**< how long a stopping process still forwards */
	char service[SETTINGS_TEXT_MAX];
	struct addr target;
	uint32_t flow_capacity;
	bool keep_copies;
	/* Only for opaque flows. */
	char name[SETTINGS_TEXT_MAX]; /**< of this instance */
	struct addr packets; /**< receives packets of callers (balancer) or
				balancers (agent) */
	struct addr target_packets;    /**< receives the target's packets */
	struct addr target_heartbeats; /**< receives the target's heartbeats */
	struct addr readiness;	       /**< answers readiness checks */
	struct addr metrics;	       /**< serves metrics; port 0 for none */
	uint32_t word_period_ms;       /**< period of the target's heartbeats */
	uint64_t flow_life_ms; /**< idle time after which a flow is removed */
	uint32_t platform_calls_per_s; /**< limit for this process */
	uint32_t capacity;	       /**< CPU, in thousandths of a core */
	uint32_t log_lines_per_s;      /**< limit for this process */
	uint32_t evacuation_ms;	     /**< bound within which an evacuation takes
					effect; 0: evacuations are ignored */
	uint32_t cold_overage_milli; /**< factor by which the openings of a cold
					target may exceed its limit, times 1000;
					0: not set */
	uint32_t cold_slack;	     /**< openings a second beyond that */
	bool has_cold_slack;
	uint32_t remote_byte_price; /**< price of a KiB that is sent between
				       failure domains, in us */
};

/** Whether the settings have the bounds of the openings of cold targets. */
bool settings_limit_cold(const struct settings *s);
/**
 * Read and check a settings file.
 * @return STATUS_INVALID with the reason when it cannot be read or has an error
 */
struct status settings_load(
    struct settings *s, const char *path, enum settings_use use);

#endif
