/**
 * @file real.c
 * Runs the scripts of tests/real with real processes on loopback addresses
 * and compares the output of each with the .expected file of the same name.
 */
#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include <cmocka.h>

#define OUT_MAX 65536

static void
read_all(FILE *f, char *buf)
{
	size_t n = fread(buf, 1, OUT_MAX - 1, f);

	buf[n] = '\0';
}

static void
test_script(void **state)
{
	static char got[OUT_MAX];
	static char want[OUT_MAX];
	const char *name = *state;
	char text[1024];
	FILE *f;

	snprintf(text, sizeof(text), "bash %s/%s.sh 2>/dev/null", REAL, name);
	f = popen(text, "re");
	assert_non_null(f);
	read_all(f, got);
	pclose(f);
	snprintf(text, sizeof(text), "%s/%s.expected", REAL, name);
	f = fopen(text, "re");
	assert_non_null(f);
	read_all(f, want);
	fclose(f);
	assert_string_equal(got, want);
}

int
main(void)
{
	static char *const names[] = {"kills", "freeze", "platform", "race",
	    "strangers", "inputs", "unreadable-text", "config-check", "flows",
	    "checks"};
	struct CMUnitTest tests[sizeof(names) / sizeof(names[0])];

	setenv("BUILD", BUILD, 1);
	for (size_t i = 0; i < sizeof(names) / sizeof(names[0]); i++)
		tests[i] = (struct CMUnitTest){
		    names[i], test_script, NULL, NULL, names[i]};
	return cmocka_run_group_tests(tests, NULL, NULL);
}
