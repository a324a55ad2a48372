/**
 * @file counters.h
 * Metric counters of the process: traffic, membership, configuration,
 * control bytes, and one counter per reason for a refusal or a retry.
 */
#ifndef PW_COUNTERS_H
#define PW_COUNTERS_H

#include <stdint.h>

/** All counters: identifier, published name, help text. */
#define COUNTER_LIST(X) \
	X(CALLER_IN, "caller_datagrams_in", "datagrams from callers") \
	X(CALLER_OUT, "caller_datagrams_out", "datagrams to callers") \
	X(AGENT_OUT, "agent_datagrams_out", "datagrams forwarded to agents") \
	X(FORWARDED, "forwarded", "datagrams forwarded to a peer agent") \
	X(TARGET_OUT, "target_requests", "requests sent to the target") \
	X(TARGET_ANSWERS, "target_answers", "answers matched to a request") \
	X(TARGET_LATE, "target_answers_late", "answers matching no request") \
	X(RUNS, "runs", "non-idempotent requests sent to the target") \
	X(RUN_REPLAYS, "run_replays", \
	    "stored outcomes sent to duplicate requests") \
	X(DUPLICATES, "duplicates", \
	    "duplicates of a request in progress or of an open feed") \
	X(CHALLENGES, "challenges", "permits issued") \
	X(FLOWS_PLACED, "flows_placed", \
	    "flows placed by this agent as their home") \
	X(FLOWS_REMOTE_ROOM, "flows_remote_room", \
	    "flows placed in another failure domain: no room in the own one") \
	X(FLOWS_REMOTE_TARGETS, "flows_remote_no_target", \
	    "flows placed in another failure domain: no target in the own " \
	    "one") \
	X(FLOWS_REPLACED, "flows_replaced", \
	    "idle flows returned to their home for new placement") \
	X(HINTS, "hints", "flow owners learned from agents") \
	X(HINT_HITS, "hint_hits", "datagrams routed by a cached owner") \
	X(FEEDS_OPENED, "feeds_opened", "feeds opened") \
	X(FEEDS_MOVED, "feeds_moved", "feeds handed to a peer") \
	X(FEEDS_TAKEN, "feeds_taken", "feeds taken over from a peer") \
	X(FEEDS_ENDED, "feeds_ended", "feeds ended by caller or target") \
	X(NOTIFICATIONS, "notifications", "notifications sent to callers") \
	X(DROP_MALFORMED, "drop_malformed", "malformed datagrams") \
	X(DROP_AUTH, "drop_unauthenticated", \
	    "frames that fail authentication") \
	X(DROP_KIND, "drop_unknown_kind", "frames of an unknown kind") \
	X(DROP_SERVICE, "drop_wrong_service", "datagrams for another service") \
	X(DROP_HOPS, "drop_hop_limit", "datagrams above the hop limit") \
	X(DROP_NO_TARGET, "drop_no_target", "datagrams with no live target") \
	X(DROP_NO_CONFIG, "drop_no_config", \
	    "datagrams received before the configuration") \
	X(DROP_PAUSED, "drop_paused", \
	    "datagrams received while revalidating after a pause") \
	X(REFUSE_QUEUE, "refuse_queue_full", "refused: queue full") \
	X(REFUSE_DEADLINE, "refuse_deadline", "refused: deadline passed") \
	X(REFUSE_CONNECTIONS, "refuse_connections", \
	    "refused: connection limit reached") \
	X(REFUSE_LEAVING, "refuse_leaving", "refused: target is leaving") \
	X(REFUSE_SHED, "refuse_shed", "refused: target shed the request") \
	X(REFUSE_EXPIRED, "refuse_permit_expired", "refused: permit expired") \
	X(REFUSE_FORGED, "refuse_permit_forged", "refused: permit invalid") \
	X(REFUSE_SIZE, "refuse_too_large", "refused: body too large") \
	X(REFUSE_STATE, "refuse_state_full", "refused: a table is full") \
	X(UNKNOWN_ISSUER, "unknown_issuer_gone", \
	    "outcome unknown: permit issuer is gone") \
	X(UNKNOWN_TIMEOUT, "unknown_timeout", \
	    "outcome unknown: target did not answer") \
	X(UNKNOWN_OLD, "unknown_permit_old", \
	    "outcome unknown: permit record is gone") \
	X(RETRY_SHED, "retry_shed", \
	    "retried at a peer: target shed the request") \
	X(RETRY_FULL, "retry_full", "retried at a peer: queue full") \
	X(RETRY_EVACUATED, "retry_evacuated", \
	    "retried at a peer: failure domain evacuated") \
	X(RETRY_COLD, "retry_cold", \
	    "retried at a peer: target cold, and has enough new flows") \
	X(RETRY_LOST, "retry_lost", "retransmitted to the target: no answer") \
	X(RETRY_BUDGET, "retry_budget_spent", \
	    "not retried: retry budget exhausted") \
	X(RETRY_HANDOVER, "retry_handover", "handovers retransmitted") \
	X(RETRY_NOTIFY, "retry_notification", "notifications retransmitted") \
	X(EVICT_FLOW, "evict_flow", "idle flows evicted") \
	X(EVICT_HINT, "evict_hint", "hints evicted") \
	X(MEMBER_CHANGES, "member_changes", "changes of membership records") \
	X(MEMBER_SUSPECTS, "member_suspects", "members suspected") \
	X(MEMBER_DEATHS, "member_deaths", "members declared dead") \
	X(MEMBER_REFUTES, "member_refutes", \
	    "suspicions of this instance refuted") \
	X(PAUSES, "pauses", "pauses of this process detected") \
	X(CONFIG_APPLIED, "config_applied", "configuration versions applied") \
	X(CONFIG_STALE, "config_stale", \
	    "configurations refused: older version") \
	X(CONFIG_BAD, "config_bad", "malformed configurations") \
	X(WATCH_STANDBYS, "watch_standbys", \
	    "times that this process began to watch the configuration " \
	    "because " \
	    "no other watch was answered") \
	X(CONTROL_IN, "control_bytes_in", "control bytes received") \
	X(CONTROL_OUT, "control_bytes_out", "control bytes sent") \
	X(CONTROL_OVER_BUDGET, "control_over_budget", \
	    "gossip messages not sent: byte budget exceeded") \
	X(PLATFORM_CALLS, "platform_calls", "calls to the platform") \
	X(PLATFORM_ERRORS, "platform_errors", \
	    "platform calls that failed or timed out") \
	X(PLATFORM_LIMITED, "platform_limited", \
	    "platform calls refused by rate limit (429)") \
	X(REFUSE_NO_TARGET, "refuse_no_target", \
	    "openings reset: no target accepts them") \
	X(REFUSE_OVERLOAD, "refuse_overload", \
	    "openings reset: no target can answer in time") \
	X(REFUSE_EVACUATED, "refuse_evacuated", \
	    "openings reset: all targets left are in evacuated domains") \
	X(REFUSE_COLD, "refuse_cold", \
	    "openings reset: all targets left are cold and have enough") \
	X(COLD_OPENINGS, "cold_openings", \
	    "openings passed to the target while it is cold") \
	X(COLD_REFUSED, "cold_refused", \
	    "openings refused: the target is cold and has enough") \
	X(EVACUATIONS_APPLIED, "evacuations_applied", \
	    "changes of the evacuated failure domains") \
	X(EVACUATIONS_BAD, "evacuations_bad", \
	    "malformed lists of evacuations") \
	X(STORE_VALUES_BAD, "store_values_bad", \
	    "malformed objects and unreadable values in responses of the " \
	    "store, skipped") \
	X(STORE_ERAS, "store_eras", \
	    "times that the store came back from a copy") \
	X(EVACUATIONS_TOLD, "evacuations_told", \
	    "agents and balancers told of newer evacuations or limits") \
	X(REFUSE_PRIORITY, "refuse_priority", \
	    "openings reset: the room left is for higher priorities") \
	X(REFUSE_NO_ROUTE, "refuse_no_route", \
	    "packets reset: no route for their address") \
	X(RESET_FLOW_GONE, "reset_flow_gone", \
	    "flows reset: no target has them") \
	X(RESET_TARGET_LOST, "reset_target_lost", \
	    "flows reset: their target is gone") \
	X(RESET_AFTER_RESTART, "reset_after_restart", \
	    "flows reset: lost with the target before this process started") \
	X(SNAPSHOTS, "snapshots", "snapshots of the flows written") \
	X(RETRY_WRONG_SERVICE, "retry_wrong_service", \
	    "openings offered again: agent serves another service") \
	X(RETRY_LEAVING, "retry_target_leaving", \
	    "openings offered again: target is leaving") \
	X(RETRY_UNANSWERED, "retry_unanswered", \
	    "openings offered again: no answer before the timeout") \
	X(RETRY_FLOW_AWAY, "retry_flow_away", \
	    "packets returned: target does not hold the flow") \
	X(SEARCHES, "searches", "searches for the agent of a flow") \
	X(SEARCH_ASKED, "search_asked", "queries to agents in searches") \
	X(PROXIED_SEARCHES, "errands", "searches run for other balancers") \
	X(DELEGATES_UNRESPONSIVE, "delegates_mute", \
	    "delegates that did not answer") \
	X(SEARCH_PROBES, "search_probes", \
	    "packets sent as probes to targets whose agent " \
	    "cannot tell whether they hold the flow") \
	X(SEARCHES_UNKNOWN, "searches_unknown", \
	    "searches that ended inconclusively") \
	X(DROP_HELD, "drop_held", "packets dropped: search buffer is full") \
	X(DROP_OPENING, "drop_opening", "openings dropped: no agent answered") \
	X(DROP_TABLE_FULL, "drop_table_full", \
	    "flows evicted for newer ones: table full") \
	X(TARGET_FAILED, "target_failed", "failure responses of the target") \
	X(QUEUE_HELD, "queue_held", \
	    "requests held back for others of higher priority") \
	X(QUEUE_BY_TIME, "queue_released_by_time", \
	    "held requests delivered after the longest time for which they " \
	    "are held") \
	X(QUEUE_BY_BOUND, "queue_released_by_bound", \
	    "held requests delivered because too many were held, or a probe " \
	    "or an opening of their flow arrived") \
	X(QUEUE_COPIES, "queue_copies_dropped", \
	    "retransmissions dropped: the first copy was still held") \
	X(QUEUE_DROPPED, "queue_packets_dropped", \
	    "held packets dropped: their flow or the target ended") \
	X(LISTS_SENT, "lists_told", "parts of member lists sent") \
	X(FLOWS_ADOPTED, "flows_adopted", \
	    "flows taken over from the snapshot of an earlier process") \
	X(TARGET_RETURNED, "target_returned", \
	    "packets returned by the target") \
	X(TARGET_HEARTBEATS, "target_words", \
	    "heartbeats accepted from the target") \
	X(TARGET_HEARTBEATS_BAD, "target_words_bad", \
	    "heartbeats dropped: late, malformed or of another target") \
	X(EVENTS_DROPPED, "events_left_out", "log lines dropped")

/** Identifiers of the counters. */
enum counter {
#define X(id, name, help) CTR_##id,
	COUNTER_LIST(X)
#undef X
	CTR_COUNT
};

/** Counter values of one process; each starts at 0 and never decreases. */
struct counters {
	uint64_t value[CTR_COUNT];
};

/** Increment a counter. */
static inline void
ctr_inc(struct counters *c, enum counter id)
{
	c->value[id]++;
}

/** Add n to a counter. */
static inline void
ctr_add(struct counters *c, enum counter id, uint64_t n)
{
	c->value[id] += n;
}

/** Published name of a counter. */
const char *ctr_name(enum counter id);
/** Help text of a counter. */
const char *ctr_help(enum counter id);

#endif
