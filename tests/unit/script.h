/**
 * @file script.h
 * Output of the commands of scripts, and commands in files of their own.
 */
#ifndef PW_SCRIPT_H
#define PW_SCRIPT_H

#include "base/rng.h"

/** Appends formatted text to the output of the running script. */
void script_printf(const char *fmt, ...) __attribute__((format(printf, 1, 2)));

/**
 * keys SIGNER SIGNER2 READER READER2: encodes a frame with one keyring and
 * decodes it with another; key 0 as the second one means none.
 */
void do_keys(const char *arg, const char *body);
/** corrupt SEED COUNT: decodes frames with one byte changed or cut short. */
void do_corrupt(const char *arg, const char *body);
/** garbage SEED COUNT: decodes signed frames with corrupt contents. */
void do_garbage(const char *arg, const char *body);

/* Commands of script_request_balancer.c, described there. */
void do_request_balancer(const char *arg, const char *body);
void do_instance(const char *arg, const char *body);
void do_hint(const char *arg, const char *body);
void do_datagram(const char *arg, const char *body);

#endif
