/**
 * @file runner.h
 * Runs the scripts of tests/scripts one by one and compares what they print
 * with the .expected file beside each. The first word of a line names a
 * command. WRITE_EXPECTED=1 writes the files anew.
 */
#ifndef PW_RUNNER_H
#define PW_RUNNER_H

#include <stddef.h>
#include <stdint.h>

/** A command: arg is the rest of its line, body what stands after "<<". */
struct script_command {
	const char *name;
	void (*run)(const char *arg, const char *body);
};

/** Virtual time, nanoseconds; one second when a script begins. */
extern uint64_t script_now_ns;

/** Run the scripts of these names. @return number of failed ones */
int script_main(const struct script_command *table, size_t count,
    const char *const *names, size_t name_count);

#endif
