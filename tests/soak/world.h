/**
 * @file world.h
 * State of a seeded randomised run of the decision modules on a virtual clock:
 * the processes, the links between them, the injected faults and the
 * invariants that are checked.
 */
#ifndef PW_SOAK_WORLD_H
#define PW_SOAK_WORLD_H

#include "base/clock.h"
#include "codec/coap.h"
#include "codec/wire.h"
#include "request/agent.h"
#include "request/balancer.h"

#define DOMAINS 3
#define BALANCERS 6
#define AGENTS 10
#define SERVICES 2
#ifndef CALLERS
#define CALLERS 48
#endif
#define IDS_MAX 400000
#define VERSIONS_MAX 4000

/** Invariants, numbered as in docs/proofs.md. */
enum invariant {
	INV_RUN_ONCE = 1,      /**< a ticket runs at most once */
	INV_NOT_RUN,	       /**< a ticket reported as "not run" never runs */
	INV_RIGHT_PLACE,       /**< datagrams reach the right party intact */
	INV_COMPLETE_DOWNLOAD, /**< a download has all its blocks */
	INV_PLANNED_CHANGE,    /**< planned changes disrupt no caller */
	INV_LEAVING,	       /**< agents leave in time, with no work left */
	INV_CONFIG, /**< versions only rise, and are applied in time */
	INV_RACE,   /**< a version has one writer, who is notified of it */
	INV_RETRY_BUDGET,    /**< retries and deadlines are within limits */
	INV_RESOURCE_BOUNDS, /**< tables and traffic are within limits */
	INV_COUNT
};

/** Kinds of injected faults. */
enum fault {
	FAULT_KILL_BALANCER,
	FAULT_KILL_AGENT,
	FAULT_KILL_INSTANCE,
	FAULT_FREEZE,
	FAULT_STOP_BALANCER,
	FAULT_STOP_AGENT,
	FAULT_PARTITION,
	FAULT_PLATFORM_OUTAGE,
	FAULT_LOST_ANSWER,
	FAULT_SHED,
	FAULT_RACE,
	FAULT_SUBMIT,
	FAULT_COUNT
};

/** A simulated balancer or agent process; times are virtual. */
struct proc {
	bool alive;
	bool is_agent;
	unsigned domain;
	unsigned generation; /**< number of starts */
	uint64_t started_ns;
	uint64_t frozen_until_ns; /**< 0 when not frozen */
	uint64_t disturbed_ns;	  /**< last start, kill or end of a freeze */
	uint64_t stop_ns;	  /**< start of the planned stop, 0 for none */
	uint64_t restart_ns;	  /**< time of its restart, 0 for none */
	uint64_t version;	/**< configuration version at the last check */
	uint64_t control_bytes; /**< control bytes sent since its start */
	struct addr addr;
	struct member self;
	struct rng rng;
	struct counters ctr;
	struct balancer *bal;
	struct agent *agt;
	struct cfg_service service;
};

/** Kinds of events. */
enum event_kind {
	EV_TICK,
	EV_FRAME,     /**< a frame reaches a process */
	EV_CALLER_IN, /**< a caller's datagram reaches a balancer */
	EV_TO_CALLER,
	EV_TO_TARGET,
	EV_FROM_TARGET,
	EV_TARGET_DONE, /**< a target completes a ticket */
	EV_CALLER,	/**< a caller's timer expires */
	EV_FEEDS,	/**< schedule notifications at all targets */
	EV_NOTIFY,	/**< a target sends a notification */
	EV_FETCHED,	/**< a balancer receives a fetched configuration */
	EV_PLATFORM,	/**< a platform call or a backoff ends */
	EV_FAULTS,	/**< check the processes, inject a fault */
};

/** An event. */
struct event {
	uint64_t at;	/**< virtual time in ns */
	uint64_t order; /**< sequence number */
	enum event_kind kind;
	unsigned who;	     /**< index of the process or caller */
	unsigned generation; /**< of that process when the event was posted */
	uint64_t value;	     /**< meaning depends on the kind */
	uint64_t value2;
	size_t len;	 /**< of bytes */
	uint8_t bytes[]; /**< datagram or frame */
};

/** State of the run. */
struct world {
	uint64_t now;	/**< virtual time in ns */
	uint64_t steps; /**< events handled */
	uint64_t seed;
	bool planned_only; /**< inject planned changes only */
	bool balance;	   /**< services are configured with "weigh balance" */
	struct rng rng;
	struct keyring keys;
	struct proc procs[BALANCERS + AGENTS];
	uint64_t partitioned_until_ns[DOMAINS][DOMAINS];
	unsigned loss_ppm;
	unsigned dup_ppm;
	uint64_t faults[FAULT_COUNT];
	uint64_t checks[INV_COUNT];
	uint64_t violations;
	bool kill_balancers; /**< inject no other fault */
	bool is_settling;    /**< no more faults are injected */
	/** Invariant whose mechanism is disabled, 0 for none. */
	enum invariant broken_invariant;
};

extern struct world w;

/** Count a check of an invariant, and print a violation if it does not hold. */
void check(enum invariant inv, bool holds, const char *fmt, ...)
    __attribute__((format(printf, 3, 4)));
/** Add a line to the recent events that a violation prints. */
void trace_event(const char *fmt, ...) __attribute__((format(printf, 1, 2)));
/** Schedule an event after a delay in ns; copies the bytes. */
void post(uint64_t delay_ns, enum event_kind kind, unsigned who, uint64_t value,
    uint64_t value2, const void *bytes, size_t len);
/** Handle events until a number of steps or a time in ns is reached. */
void run_until(uint64_t steps, uint64_t end_ns);
/** Whether no partition separates two failure domains. */
bool are_linked(unsigned a, unsigned b);
/** Schedule an event over a link, which may delay, lose or duplicate it. */
void send_link(unsigned from_domain, unsigned to_domain, enum event_kind kind,
    unsigned who, uint64_t value, uint64_t value2, const void *bytes,
    size_t len);
/**
 * Whether the mechanism behind an invariant is disabled in this run, to show
 * that its check can fail.
 */
static inline bool
is_broken(enum invariant inv)
{
	return w.broken_invariant == inv;
}

/**
 * Configuration text of the two services, with a serial number that makes it
 * unique; valid until the next call.
 */
struct str services_config_text(unsigned serial);
/** Identifier of a service by index. */
uint64_t service_id(unsigned index);

/* callers.c */
/** Start the timers of all callers. */
void callers_start(void);
/** Handle the expiry of a caller's timer. */
void caller_timer(unsigned who);
/** Handle a datagram that reaches a caller. */
void caller_receive(unsigned who, struct str dgram);
/** Check the feeds at the end of the run. */
void callers_end(void);
/** Print the totals of all callers. */
void print_callers(void);
/** Time for which a ticket occupies its target, in ns. */
uint64_t ticket_work_ns(uint64_t id);
/** Record that a target runs a ticket. */
void ticket_ran(uint64_t id, unsigned agent);

/* targets.c */
/** Handle a datagram from the agent; targets have their agent's index. */
void target_receive(unsigned agent, struct str dgram);
/** Complete a ticket and send the response with the request's token. */
void target_done(
    unsigned agent, unsigned generation, uint64_t exchange_token, uint64_t id);
/** Schedule a notification at each target. */
void targets_notify(void);
/** Send a notification to the observer, if there is one. */
void target_notify(unsigned agent);
/** Start a new incarnation of a target, without work and observer. */
void target_restart(unsigned agent);
/** Let all targets refuse most requests with 5.03 until a time in ns. */
void targets_shed(uint64_t until_ns);

/* platform.c */
/** Let balancers fetch the stored configuration. */
void platform_tick(void);
/** Continue a submission after a platform call or a backoff. */
void platform_event(const struct event *e);
/** Start an outage that lasts until a time in ns. */
void platform_outage(uint64_t until_ns);
/** Lose the responses to the next n successful writes. */
void platform_lose_answers(unsigned n);
/** Start a submission of an idle operator, if there is one. */
void operator_submit(void);
/** Version and text of the stored configuration; 0 if none or in an outage. */
uint64_t platform_version(struct str *text);
/** Check that accepted versions are applied within the limit. */
void versions_check(void);

/* procs.c */
/** Start or restart a process. */
void proc_start(unsigned who);
/** End a process without a handover. */
void proc_kill(unsigned who);
/** Handle an event at a process, or delay it while the process is frozen. */
void proc_event(const struct event *e);
/** Check the bounds of all processes; restart those that are due. */
void procs_check(void);
/** Inject a random fault, in 40 % of the calls. */
void fault_inject(void);
/** Configuration version that a process applies. */
uint64_t proc_config_version(const struct proc *p);

#endif
