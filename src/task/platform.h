/**
 * @file platform.h
 * The task that reads the configuration object from the platform: once at the
 * start, then with long polling while the core has a watch enabled.
 */
#ifndef PW_PLATFORM_H
#define PW_PLATFORM_H

#include "task/mailbox.h"
#include "task/node.h"

/** Path of the configuration object below the platform's base URL. */
#define PLAT_CONFIG_PATH "/v1/objects/config/current"

struct platform;

/** Create a reader that mails configurations to the core; node and core are
 * borrowed. */
struct platform *plat_new(struct node *node, struct mailbox *core);
/** Free the reader after the loop has ended. */
void plat_free(struct platform *p);
/** Start function for the supervisor. */
struct status plat_start(void *self);
/** Stop function for the supervisor. */
void plat_stop(void *self);
/** Mailbox for MAIL_WATCH. */
struct mailbox *plat_mailbox(struct platform *p);

#endif
