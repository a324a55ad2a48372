/**
 * @file mailbox.h
 * Typed messages between the tasks of a process. The event loop delivers them
 * in order after the sender has returned.
 */
#ifndef PW_MAILBOX_H
#define PW_MAILBOX_H

#include "base/str.h"
#include "codec/wire.h"

#include <uv.h>

/** Kinds of mail. */
enum mail_kind {
	MAIL_CONFIG, /**< a configuration was read; version, text */
	MAIL_FETCH,  /**< fetch a configuration; addr, version */
	MAIL_WATCH,  /**< start (flag) or stop watching the platform */
	MAIL_CALL,   /**< a call was received; conn, call, version, text */
	MAIL_REPLY,  /**< reply to a call; conn, flag, version, text */
	MAIL_ERROR,  /**< a fetch failed; addr */
};

/** A message; it owns text. */
struct mail {
	enum mail_kind kind;
	uint64_t version;
	char *text;
	size_t text_len;
	struct addr addr;
	uint64_t conn;
	enum call_kind call;
	bool flag;
	uint64_t base; /**< version that a delta applies to; 0 for full text */
	uint32_t prefix; /**< bytes a delta keeps at the start */
	uint32_t suffix; /**< bytes a delta keeps at the end */
	uint64_t hash;	 /**< hash of the text that a delta yields */
	struct mail *next;
};

/** The mailbox of a task. */
struct mailbox {
	uv_async_t async;
	struct mail *head;
	struct mail **tail;
	void (*deliver)(void *ctx, struct mail *m);
	void *ctx;
	bool open;
};

/** Open a mailbox on a loop. deliver may not keep m or its text.
 * @return 0 or a libuv error */
int mbox_open(struct mailbox *b, uv_loop_t *loop,
    void (*deliver)(void *ctx, struct mail *m), void *ctx);
/** Post a copy of a message and take ownership of its text. A closed mailbox
 * drops it. */
void mbox_post(struct mailbox *b, const struct mail *m);
/** Close the mailbox and drop undelivered messages. */
void mbox_close(struct mailbox *b);

#endif
