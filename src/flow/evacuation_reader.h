/**
 * @file evacuation_reader.h
 * Reading of the evacuations from the platform's store: a list of one or
 * several pages, then watches for changes. It decides which call is next and
 * what a response means, without input or output.
 */
#ifndef PW_FLOW_EVACUATION_READER_H
#define PW_FLOW_EVACUATION_READER_H

#include "flow/platform_ops.h"

/** What was read. */
struct evacuation_reader {
	bool complete;	   /**< all pages were read: changes are watched */
	uint64_t revision; /**< to watch from: that of the list's first page, or
			      of the latest watch */
	bool paged;	   /**< the next call reads a further page */
	char after[FLOW_NAME_MAX]; /**< name after which it begins */
	uint32_t count;
	uint32_t tags[FLOW_EVACUATED_MAX]; /**< tags of the evacuated failure
					      domains */
	size_t omitted; /**< further evacuated domains: no room. All are listed
			   again after the next change */
};

/** What to do after a response. */
enum evacuation_step {
	EVACUATION_CONTINUE, /**< make the next call */
	EVACUATION_LISTED,   /**< the list is complete; watch if a watcher */
	EVACUATION_CHANGED,  /**< a watch has ended; continue to watch */
	EVACUATION_RELIST,   /**< list again at once: the history is gone */
	EVACUATION_REJECTED, /**< list again after a pause: the response cannot
				be used */
};

/** Outcome of a response. */
struct evacuation_outcome {
	enum evacuation_step step;
	/** Revision of the change, if it is known; otherwise 0. All watchers
	 * give a change the same revision then. */
	uint64_t changed;
	const char *error; /**< why it cannot be used, or NULL */
};

/** Write the path of the next call. @return whether it is a watch */
bool evacuation_reader_path(const struct evacuation_reader *r,
    const struct platform_ops *ops, unsigned wait_ms,
    char path[PLATFORM_PATH_MAX]);
/**
 * Handle a response of the store. What cannot be used changes nothing for the
 * balancer, and all is listed again.
 * @param status HTTP status
 * @param in the decoded body of a response with status 200; NULL if it is
 * malformed or the status is another
 */
struct evacuation_outcome evacuation_reader_handle(struct evacuation_reader *r,
    long status, const struct platform_evacuations *in);

#endif
