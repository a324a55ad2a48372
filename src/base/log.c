#include "base/log.h"

#include <stdarg.h>
#include <stdio.h>
#include <unistd.h>

static int max_level = LOG_NOTICE;

void
log_set_level(int level)
{
	max_level = level;
}

void
log_line(int level, const char *module, const char *fmt, ...)
{
	char text[700];
	va_list ap;

	if (level > max_level)
		return;
	va_start(ap, fmt);
	vsnprintf(text, sizeof(text), fmt, ap);
	va_end(ap);
	fprintf(stderr, "<%d>persimmonwinch[%d]: %s: %s\n", LOG_DAEMON | level,
	    (int)getpid(), module, text);
}
