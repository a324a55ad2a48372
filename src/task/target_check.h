/**
 * @file target_check.h
 * Checks by a TCP connection whether a target listens at its address.
 */
#ifndef PW_TARGET_CHECK_H
#define PW_TARGET_CHECK_H

#include "base/str.h"
#include "flow/agent.h"

#include <uv.h>

/** Timeout in ms of a connection attempt. */
#define TARGET_CHECK_TIMEOUT_MS 300

/** A running check. It owns its handles and is freed once they are closed, so
 * that the next check may start while they are still closing. */
struct target_check;

/** Called with the result, once; the check is invalid then. It may start the
 * next check. */
typedef void (*target_check_done)(void *ctx, enum fa_check_result result);

/**
 * Start a check. The result follows from the event loop, never during this
 * call.
 */
struct target_check *target_check_start(
    uv_loop_t *loop, struct addr target, target_check_done done, void *ctx);
/** End a check without a result; c may be NULL. */
void target_check_cancel(struct target_check *c);

#endif
