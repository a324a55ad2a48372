/**
 * @file rpc.h
 * Client for calls over TCP to other processes of the system.
 */
#ifndef PW_RPC_H
#define PW_RPC_H

#include "base/status.h"
#include "codec/wire.h"

#include <uv.h>

/** Called once with the result. reply is valid during the callback if st is
 * STATUS_OK, otherwise NULL. */
typedef void rpc_done(
    void *ctx, const struct status *st, const struct call_reply *reply);

/** Start a call; done is always called, after this function has returned. */
void rpc_begin(uv_loop_t *loop, const struct keyring *keys, struct addr to,
    const struct call *call, unsigned timeout_ms, rpc_done *done, void *ctx);
/**
 * Make a call and wait for the reply on a separate event loop.
 * @param reply text and error are freed by the caller; NULL after a failure
 * @return STATUS_UNAVAILABLE without a valid reply within the timeout
 */
struct status rpc_wait(const struct keyring *keys, struct addr to,
    const struct call *call, unsigned timeout_ms, struct call_reply *reply);

#endif
