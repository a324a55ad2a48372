#include "runner.h"

#include "base/clock.h"
#include "script.h"

#include <setjmp.h>
#include <stdarg.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include <cmocka.h>

#define OUT_MAX 65536
#define SCRIPTS_MAX 32

uint64_t script_now_ns;

static char out[OUT_MAX];
static size_t out_len;
static const struct script_command *commands;
static size_t command_count;

void
script_printf(const char *fmt, ...)
{
	va_list ap;

	va_start(ap, fmt);
	out_len += (size_t)vsnprintf(out + out_len, OUT_MAX - out_len, fmt, ap);
	va_end(ap);
	assert_true(out_len < OUT_MAX);
}

static void
run_command(const char *name, const char *arg, const char *body)
{
	for (size_t i = 0; i < command_count; i++) {
		if (strcmp(commands[i].name, name) != 0)
			continue;
		script_printf(
		    "> %s%s%s\n", name, arg[0] == '\0' ? "" : " ", arg);
		commands[i].run(arg, body);
		return;
	}
	fail_msg("unknown command %s", name);
}

/* Appends text to a body, with \xHH as one byte. */
static size_t
append_bytes(char *body, size_t n, size_t cap, const char *text)
{
	unsigned byte;

	while (*text != '\0') {
		assert_true(n + 1 < cap);
		if (sscanf(text, "\\x%2x", &byte) == 1) {
			body[n++] = (char)byte;
			text += 4;
		} else {
			body[n++] = *text++;
		}
	}
	return n;
}

/* Appends a JSON array that is nested in itself. */
static size_t
append_nested(char *body, size_t n, size_t cap, size_t levels)
{
	assert_true(n + 2 * levels < cap);
	memset(body + n, '[', levels);
	memset(body + n + levels, ']', levels);
	return n + 2 * levels;
}

/*
 * Reads the body of a command, up to a line with "." only. \xHH stands for a
 * byte, and a line ".nested LEVELS" for a nested JSON array.
 */
static void
read_body(FILE *f, char *body, size_t cap)
{
	char line[1024];
	size_t n = 0;
	size_t levels;

	while (
	    fgets(line, sizeof(line), f) != NULL && strcmp(line, ".\n") != 0) {
		if (sscanf(line, ".nested %zu", &levels) == 1)
			n = append_nested(body, n, cap, levels);
		else
			n = append_bytes(body, n, cap, line);
	}
	body[n] = '\0';
}

static void
run_script(const char *path)
{
	static char body[32768];
	char line[1024];
	FILE *f = fopen(path, "re");

	assert_non_null(f);
	while (fgets(line, sizeof(line), f) != NULL) {
		char name[32];
		int used = 0;
		char *arg;

		line[strcspn(line, "\n")] = '\0';
		if (line[0] == '\0' || line[0] == '#')
			continue;
		body[0] = '\0';
		if (strlen(line) > 2 &&
		    strcmp(line + strlen(line) - 2, "<<") == 0) {
			line[strlen(line) - 2] = '\0';
			read_body(f, body, sizeof(body));
		}
		sscanf(line, "%31s%n", name, &used);
		arg = line + used;
		while (*arg == ' ')
			arg++;
		while (*arg != '\0' && arg[strlen(arg) - 1] == ' ')
			arg[strlen(arg) - 1] = '\0';
		run_command(name, arg, body);
	}
	fclose(f);
}

static void
test_script(void **state)
{
	const char *name = *state;
	static char expected[OUT_MAX];
	char path[512];
	FILE *f;
	size_t n;

	out_len = 0;
	out[0] = '\0';
	script_now_ns = NS_PER_S;
	snprintf(path, sizeof(path), "%s/%s.script", SCRIPTS, name);
	run_script(path);
	snprintf(path, sizeof(path), "%s/%s.expected", SCRIPTS, name);
	if (getenv("WRITE_EXPECTED") != NULL) {
		f = fopen(path, "we");
		fwrite(out, 1, out_len, f);
		fclose(f);
	}
	f = fopen(path, "re");
	assert_non_null(f);
	n = fread(expected, 1, sizeof(expected) - 1, f);
	expected[n] = '\0';
	fclose(f);
	assert_string_equal(out, expected);
}

int
script_main(const struct script_command *table, size_t count,
    const char *const *names, size_t name_count)
{
	struct CMUnitTest tests[SCRIPTS_MAX];

	assert_true(name_count <= SCRIPTS_MAX);
	commands = table;
	command_count = count;
	for (size_t i = 0; i < name_count; i++)
		tests[i] = (struct CMUnitTest){names[i], test_script, NULL,
		    NULL, (void *)(uintptr_t)names[i]};
	return _cmocka_run_group_tests(
	    "scripts", tests, name_count, NULL, NULL);
}
