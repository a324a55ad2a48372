/**
 * @file counters.h
 * The process's own metric counters: one per refusal and retry reason,
 * beside traffic, membership, configuration and control bytes.
 */
#ifndef PW_COUNTERS_H
#define PW_COUNTERS_H

#include <stdint.h>

/** Every counter: identifier, published name, meaning. */
#define COUNTER_LIST(X) \
	X(CALLER_IN, "caller_datagrams_in", "datagrams from callers") \
	X(CALLER_OUT, "caller_datagrams_out", "datagrams to callers") \
	X(AGENT_OUT, "agent_datagrams_out", "datagrams sent on to agents") \
	X(FORWARDED, "forwarded", "datagrams passed to a peer agent") \
	X(TARGET_OUT, "target_requests", "requests given to the target") \
	X(TARGET_ANSWERS, "target_answers", "answers matched to a request") \
	X(TARGET_LATE, "target_answers_late", "answers matching no request") \
	X(RUNS, "runs", "non-idempotent requests given to the target") \
	X(RUN_REPLAYS, "run_replays", "answers replayed to a duplicate") \
	X(DUPLICATES, "duplicates", "retransmissions joined to an exchange") \
	X(CHALLENGES, "challenges", "permits issued") \
	X(PLACED, "flows_placed", "flows placed by this home") \
	X(REPLACED, "flows_replaced", "idle flows placed afresh") \
	X(HINTS, "hints", "owner hints learned") \
	X(HINT_HIT, "hint_hits", "datagrams sent by a hint") \
	X(FEEDS, "feeds_opened", "feeds established") \
	X(FEEDS_MOVED, "feeds_moved", "feeds handed to a peer") \
	X(FEEDS_TAKEN, "feeds_taken", "feeds taken over from a peer") \
	X(FEEDS_ENDED, "feeds_ended", "feeds ended by caller or target") \
	X(NOTIFICATIONS, "notifications", "notifications sent to callers") \
	X(DROP_MALFORMED, "drop_malformed", "datagrams that do not parse") \
	X(DROP_AUTH, "drop_unauthenticated", "frames that do not verify") \
	X(DROP_KIND, "drop_unknown_kind", "frames of an unknown kind") \
	X(DROP_SERVICE, "drop_wrong_service", "datagrams for another service") \
	X(DROP_HOPS, "drop_hop_limit", "datagrams over the hop limit") \
	X(DROP_NO_MEMBER, "drop_no_target", "datagrams with no live target") \
	X(DROP_NO_CONFIG, "drop_no_config", "datagrams before configuration") \
	X(DROP_PAUSED, "drop_paused", "datagrams held over a pause") \
	X(REFUSE_QUEUE, "refuse_queue_full", "refused: queue full") \
	X(REFUSE_DEADLINE, "refuse_deadline", "refused: deadline passed") \
	X(REFUSE_CONNECTIONS, "refuse_connections", "refused: connections") \
	X(REFUSE_LEAVING, "refuse_leaving", "refused: target is leaving") \
	X(REFUSE_SHED, "refuse_shed", "refused: target shed the request") \
	X(REFUSE_EXPIRED, "refuse_permit_expired", "refused: permit expired") \
	X(REFUSE_FORGED, "refuse_permit_forged", "refused: permit invalid") \
	X(REFUSE_SIZE, "refuse_too_large", "refused: body too large") \
	X(REFUSE_STATE, "refuse_state_full", "refused: a table is full") \
	X(UNKNOWN_ISSUER, "unknown_issuer_gone", "outcome unknown: issuer") \
	X(UNKNOWN_TIMEOUT, "unknown_timeout", "outcome unknown: no answer") \
	X(UNKNOWN_OLD, "unknown_permit_old", "outcome unknown: old permit") \
	X(RETRY_SHED, "retry_shed", "retried at a peer: target shed") \
	X(RETRY_FULL, "retry_full", "retried at a peer: queue full") \
	X(RETRY_LOST, "retry_lost", "sent again to the target: no answer") \
	X(RETRY_BUDGET, "retry_budget_spent", "not retried: budget spent") \
	X(RETRY_HANDOVER, "retry_handover", "handover sent again") \
	X(RETRY_NOTIFY, "retry_notification", "notification sent again") \
	X(EVICT_FLOW, "evict_flow", "idle flows forgotten") \
	X(EVICT_HINT, "evict_hint", "hints forgotten") \
	X(MEMBER_CHANGES, "member_changes", "membership records changed") \
	X(MEMBER_SUSPECTS, "member_suspects", "members suspected") \
	X(MEMBER_DEATHS, "member_deaths", "members declared dead") \
	X(MEMBER_REFUTES, "member_refutes", "suspicions of itself refuted") \
	X(PAUSES, "pauses", "pauses of this process noticed") \
	X(CONFIG_APPLIED, "config_applied", "configuration versions applied") \
	X(CONFIG_STALE, "config_stale", "lower versions refused") \
	X(CONFIG_BAD, "config_bad", "configurations that do not parse") \
	X(CONTROL_IN, "control_bytes_in", "control bytes received") \
	X(CONTROL_OUT, "control_bytes_out", "control bytes sent") \
	X(CONTROL_CUT, "control_over_budget", "gossip held by the budget") \
	X(PLATFORM_CALLS, "platform_calls", "calls to the platform") \
	X(PLATFORM_ERRORS, "platform_errors", \
	    "calls that failed or timed out") \
	X(PLATFORM_LIMITED, "platform_limited", "calls refused by rate (429)") \
	X(REFUSE_NO_TARGET, "refuse_no_target", \
	    "openings reset: no target takes them") \
	X(REFUSE_NO_ROUTE, "refuse_no_route", "packets reset: no such route") \
	X(RESET_GONE, "reset_flow_gone", "flows reset: no target holds them") \
	X(RESET_TARGET_LOST, "reset_target_lost", \
	    "flows reset: their target is gone") \
	X(RETRY_SERVICE, "retry_wrong_service", \
	    "openings offered again: another service there") \
	X(RETRY_LEAVING, "retry_target_leaving", \
	    "openings offered again: target is leaving") \
	X(RETRY_UNANSWERED, "retry_unanswered", \
	    "openings offered again: no answer in time") \
	X(RETRY_AWAY, "retry_flow_away", "packets returned: flow not there") \
	X(SEARCHES, "searches", "searches for the agent of a flow") \
	X(SEARCH_ASKED, "search_asked", "agents asked for a flow") \
	X(ERRANDS, "errands", "searches on behalf of other balancers") \
	X(DELEGATES_MUTE, "delegates_mute", "delegates that did not answer") \
	X(SEARCH_PROBES, "search_probes", \
	    "packets tried at targets whose agent is unsure") \
	X(SEARCH_UNKNOWN, "searches_unknown", \
	    "searches that ended without an answer") \
	X(DROP_HELD, "drop_held", "packets over what a search holds") \
	X(DROP_OPENING, "drop_opening", "openings that nobody answered") \
	X(DROP_TABLE, "drop_table_full", "flows forgotten for newer ones") \
	X(TARGET_FAILED, "target_failed", \
	    "answers of the target that are failures") \
	X(LISTS, "lists_told", "lists of members told, in parts") \
	X(TARGET_RETURNED, "target_returned", "packets the target sent back") \
	X(TARGET_WORDS, "target_words", "heartbeats of the target taken") \
	X(TARGET_WORDS_BAD, "target_words_bad", \
	    "heartbeats dropped: late, malformed or another's") \
	X(EVENTS_LEFT_OUT, "events_left_out", "log lines over the budget")

/** Names of the counters. */
enum counter {
#define X(id, name, help) CTR_##id,
	COUNTER_LIST(X)
#undef X
	CTR_COUNT
};

/** One process's counters; each starts at 0 and only grows. */
struct counters {
	uint64_t value[CTR_COUNT];
};

/** Add one. */
static inline void
ctr_inc(struct counters *c, enum counter id)
{
	c->value[id]++;
}

/** Add n. */
static inline void
ctr_add(struct counters *c, enum counter id, uint64_t n)
{
	c->value[id] += n;
}

/** The published name. */
const char *ctr_name(enum counter id);
/** The meaning, a few words. */
const char *ctr_help(enum counter id);

#endif
