#include "base/status.h"

#include <stdarg.h>
#include <stdio.h>
#include <string.h>

void
status_set(struct status *st, enum status_code code, const char *fmt, ...)
{
	size_t used = st->code == STATUS_OK ? 0 : strlen(st->message);
	va_list ap;

	if (used > 0 && used + 1 < sizeof(st->message))
		st->message[used++] = '\n';
	st->code = code;
	va_start(ap, fmt);
	vsnprintf(st->message + used, sizeof(st->message) - used, fmt, ap);
	va_end(ap);
}
