/**
 * @file calls.h
 * The task that serves calls over TCP. It owns the connections; the core task
 * handles the calls and replies by mail.
 */
#ifndef PW_CALLS_H
#define PW_CALLS_H

#include "task/mailbox.h"
#include "task/node.h"

struct calls;

/** Create a server that mails calls to the core; node and core are borrowed. */
struct calls *calls_new(struct node *node, struct mailbox *core);
/** Free the server after the loop has ended. */
void calls_free(struct calls *c);
/** Start function for the supervisor. @return STATUS_INVALID if the address
 * cannot be bound */
struct status calls_start(void *self);
/** Stop function for the supervisor. */
void calls_stop(void *self);
/** Mailbox for replies. */
struct mailbox *calls_mailbox(struct calls *c);

#endif
