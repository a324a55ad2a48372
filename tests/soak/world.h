/**
 * @file world.h
 * A seeded run of the decision modules on a virtual clock: the instances,
 * the links between them, and what is asserted of them.
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
	INV_ONCE = 1,
	INV_NOT_RUN,
	INV_PLACE,
	INV_WHOLE,
	INV_PLANNED,
	INV_LEAVING,
	INV_CONFIG,
	INV_RACE,
	INV_BUDGET,
	INV_BOUNDED,
	INV_COUNT
};

/** Kinds of faults. */
enum fault {
	FAULT_KILL_BALANCER,
	FAULT_KILL_AGENT,
	FAULT_KILL_INSTANCE,
	FAULT_FREEZE,
	FAULT_STOP_BALANCER,
	FAULT_STOP_AGENT,
	FAULT_CUT,
	FAULT_PLATFORM,
	FAULT_LOST_ANSWER,
	FAULT_SHED,
	FAULT_RACE,
	FAULT_SUBMIT,
	FAULT_COUNT
};

/** A process of the run. */
struct proc {
	bool alive;
	bool is_agent;
	unsigned domain;
	unsigned generation; /**< counts starts */
	uint64_t started_ns;
	uint64_t frozen_until;	/**< 0 when not frozen */
	uint64_t disturbed_ns;	/**< last kill, freeze or cut */
	uint64_t stop_ns;	/**< planned stop began; 0 when not */
	uint64_t restart_ns;	/**< comes back then; 0 when not */
	uint64_t version;	/**< last seen in force */
	uint64_t control_bytes; /**< sent since its start */
	struct addr addr;
	struct member self;
	struct rng rng;
	struct counters ctr;
	struct balancer *bal;
	struct agent *agt;
	struct cfg_service service;
};

/** Events. */
enum event_kind {
	EV_TICK,
	EV_FRAME,     /**< a frame reaches a process */
	EV_CALLER_IN, /**< a caller's datagram reaches a balancer */
	EV_TO_CALLER,
	EV_TO_TARGET,
	EV_FROM_TARGET,
	EV_TARGET_DONE, /**< a target ends a run */
	EV_CALLER,	/**< a caller's timer */
	EV_FEEDS,	/**< the feeds change */
	EV_NOTIFY,	/**< a target notifies */
	EV_FETCHED,	/**< a balancer has fetched a configuration */
	EV_PLATFORM,	/**< a platform call ends */
	EV_FAULTS,
};

/** One event; bytes follow. */
struct event {
	uint64_t at;
	uint64_t order;
	enum event_kind kind;
	unsigned who;
	unsigned generation;
	uint64_t value;
	uint64_t other;
	size_t len;
	uint8_t bytes[];
};

/** The whole run. */
struct world {
	uint64_t now;
	uint64_t steps;
	uint64_t seed;
	bool planned_only;
	bool balance; /**< services weigh balance */
	struct rng rng;
	struct keyring keys;
	struct proc procs[BALANCERS + AGENTS];
	uint64_t cut_until[DOMAINS][DOMAINS];
	unsigned loss_ppm;
	unsigned dup_ppm;
	uint64_t faults[FAULT_COUNT];
	uint64_t checks[INV_COUNT];
	uint64_t violations;
	bool kill_balancers;   /**< that is the only fault */
	bool quiet_end;	       /**< no more faults: let everything settle */
	enum invariant broken; /**< a mechanism to break, 0 for none */
};

extern struct world w;

/** Record an evaluation of an invariant; prints when it does not hold. */
void check(enum invariant inv, bool holds, const char *fmt, ...)
    __attribute__((format(printf, 3, 4)));
/** Note something for the trail that a violation prints. */
void trail(const char *fmt, ...) __attribute__((format(printf, 1, 2)));
/** Schedule an event after a delay. */
void post(uint64_t delay_ns, enum event_kind kind, unsigned who, uint64_t value,
    uint64_t other, const void *bytes, size_t len);
/** Run up to a number of steps or a time, whichever comes first. */
void run_until(uint64_t steps, uint64_t end_ns);
/** Whether two failure domains reach each other. */
bool linked(unsigned a, unsigned b);
/** Send over a lossy link. */
void send_link(unsigned from_domain, unsigned to_domain, enum event_kind kind,
    unsigned who, uint64_t value, uint64_t other, const void *bytes,
    size_t len);
/**
 * Whether the mechanism behind an invariant is broken in this run, to show
 * that its check can fail.
 */
static inline bool
broken(enum invariant inv)
{
	return w.broken == inv;
}

/** Text of the two services. */
struct str services_text(unsigned serial);
/** Identifier of a service by index. */
uint64_t service_id(unsigned index);

/* callers.c */
void callers_start(void);
void caller_timer(unsigned who);
void caller_receive(unsigned who, struct str dgram);
void callers_end(void);
void print_callers(void);
/** How long a ticket occupies its target, nanoseconds. */
uint64_t ticket_work(uint64_t id);
/** Called by targets when a ticket runs. */
void ticket_ran(uint64_t id, unsigned agent);

/* targets.c */
void target_receive(unsigned agent, struct str dgram);
void target_done(
    unsigned agent, unsigned generation, uint64_t number, uint64_t id);
void targets_notify(void);
void target_notify(unsigned agent);
void target_reset(unsigned agent);
void targets_shed(uint64_t until_ns);

/* platform.c */
void platform_tick(void);
void platform_event(const struct event *e);
void platform_outage(uint64_t until_ns);
void platform_lose_answers(unsigned n);
void operator_submit(void);
/** Configuration that the platform holds; version 0 for none. */
uint64_t platform_version(struct str *text);
void versions_check(void);

/* procs.c */
void proc_start(unsigned who);
void proc_kill(unsigned who);
void proc_event(const struct event *e);
void procs_check(void);
void fault_inject(void);
uint64_t proc_version(const struct proc *p);

#endif
