/**
 * @file runner.h
 * Runs the scripts of tests/scripts one by one and compares their output with
 * the .expected file of the same name. The first word of a line names a
 * command. With WRITE_EXPECTED=1 in the environment the output overwrites the
 * .expected files.
 */
#ifndef PW_RUNNER_H
#define PW_RUNNER_H

#include <stddef.h>
#include <stdint.h>

/**
 * A command. run() gets the rest of the line, and as body the lines that follow
 * a "<<" at its end.
 */
struct script_command {
	const char *name;
	void (*run)(const char *arg, const char *body);
};

/** Virtual time in ns; one second when a script begins. */
extern uint64_t script_now_ns;

/**
 * Runs the scripts of these names with the commands of a table.
 * @return number of scripts that failed
 */
int script_main(const struct script_command *table, size_t count,
    const char *const *names, size_t name_count);

#endif
