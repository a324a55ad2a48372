#include "base/counters.h"

static const struct {
	const char *name;
	const char *help;
} table[CTR_COUNT] = {
#define X(id, name, help) {name, help},
    COUNTER_LIST(X)
#undef X
};

const char *
ctr_name(enum counter id)
{
	return table[id].name;
}

const char *
ctr_help(enum counter id)
{
	return table[id].help;
}
