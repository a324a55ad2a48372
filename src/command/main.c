/**
 * @file main.c
 * The one binary: daemons and operators' commands.
 */
#include "base/log.h"
#include "command/operator.h"
#include "task/agent_task.h"
#include "task/balancer_task.h"
#include "task/flow_agent_task.h"
#include "task/flow_balancer_task.h"

#include "platform.h"

#include <argp.h>
#include <curl/curl.h>
#include <signal.h>
#include <sodium.h>
#include <stdlib.h>
#include <string.h>
#include <sysexits.h>

const char *argp_program_version = "persimmonwinch " PW_VERSION;

/** The command line. */
struct options {
	const char *settings;
	const char *command;
	const char *operand;
	bool json;
	bool flows;
};

static const struct argp_option option_list[] = {
    {"settings", 's', "FILE", 0, "settings of this process, in JSON", 0},
    {"json", 'j', NULL, 0, "print JSON, for scripts", 0},
    {"flows", 'f', NULL, 0,
	"balancer, agent: carry opaque flows of the prepared platform", 0},
    {0},
};

static const char usage_line[] =
    "balancer\nagent\ncheck FILE\nsubmit FILE\nshow\nstatus\ncounters ADDRESS";

static const char about[] =
    "A layer-4 load balancer that keeps one text true in every failure "
    "domain.\v"
    "balancer and agent are daemons; SIGTERM stops them gracefully, a second "
    "one at once. check tells what is wrong with an operator's text, submit "
    "puts it in force, show prints the one in force, status says which "
    "version is in force in each failure domain, counters prints the counters "
    "of the process at ADDRESS (IP:PORT). All but check need --settings.";

static error_t
parse_option(int key, char *arg, struct argp_state *state)
{
	struct options *o = state->input;

	switch (key) {
	case 's':
		o->settings = arg;
		return 0;
	case 'j':
		o->json = true;
		return 0;
	case 'f':
		o->flows = true;
		return 0;
	case ARGP_KEY_ARG:
		if (o->command == NULL)
			o->command = arg;
		else if (o->operand == NULL)
			o->operand = arg;
		else
			argp_error(state, "%s: one word too many", arg);
		return 0;
	case ARGP_KEY_END:
		if (o->command == NULL)
			argp_error(state, "a command is missing");
		return 0;
	default:
		return ARGP_ERR_UNKNOWN;
	}
}

/** How a command is run. */
struct command {
	const char *name;
	enum settings_use use;
	bool needs_settings;
	bool needs_operand;
	int (*run)(const struct options *o, const struct settings *set);
};

static int
run_balancer(const struct options *o, const struct settings *set)
{
	if (o->flows)
		return flow_balancer_run(set, o->settings, &platform_edge);
	return balancer_run(set);
}

static int
run_agent(const struct options *o, const struct settings *set)
{
	if (o->flows)
		return flow_agent_run(set, o->settings, &platform_edge);
	return agent_run(set);
}

static int
run_check(const struct options *o, const struct settings *set)
{
	(void)set;
	return op_check(o->operand);
}

static int
run_submit(const struct options *o, const struct settings *set)
{
	return op_submit(set, o->operand, o->json);
}

static int
run_show(const struct options *o, const struct settings *set)
{
	return op_show(set, o->json);
}

static int
run_status(const struct options *o, const struct settings *set)
{
	return op_status(set, o->json);
}

static int
run_counters(const struct options *o, const struct settings *set)
{
	return op_counters(set, o->operand, o->json);
}

static const struct command commands[] = {
    {"balancer", SETTINGS_BALANCER, true, false, run_balancer},
    {"agent", SETTINGS_AGENT, true, false, run_agent},
    {"check", SETTINGS_OPERATOR, false, true, run_check},
    {"submit", SETTINGS_OPERATOR, true, true, run_submit},
    {"show", SETTINGS_OPERATOR, true, false, run_show},
    {"status", SETTINGS_OPERATOR, true, false, run_status},
    {"counters", SETTINGS_OPERATOR, true, true, run_counters},
};

static const struct command *
find_command(const char *name)
{
	for (size_t i = 0; i < sizeof(commands) / sizeof(commands[0]); i++) {
		if (strcmp(commands[i].name, name) == 0)
			return &commands[i];
	}
	return NULL;
}

static int
complain(const char *what, const char *name)
{
	fprintf(stderr, "persimmonwinch: %s: %s; see --help\n", name, what);
	return EX_USAGE;
}

static enum settings_use
use_of(const struct command *c, bool flows)
{
	if (!flows)
		return c->use;
	return c->use == SETTINGS_AGENT ? SETTINGS_FLOW_AGENT
					: SETTINGS_FLOW_BALANCER;
}

int
main(int argc, char **argv)
{
	static const struct argp argp = {
	    option_list, parse_option, usage_line, about, NULL, NULL, NULL};
	struct options o = {0};
	struct settings set;
	const struct command *c;
	struct status st;

	argp_err_exit_status = EX_USAGE;
	argp_parse(&argp, argc, argv, 0, NULL, &o);
	c = find_command(o.command);
	if (c == NULL)
		return complain("unknown command", o.command);
	if (c->needs_operand != (o.operand != NULL))
		return complain(c->needs_operand ? "a word is missing after it"
						 : "nothing may follow it",
		    o.command);
	if (o.flows && c->use != SETTINGS_BALANCER && c->use != SETTINGS_AGENT)
		return complain("--flows is not for it", o.command);
	if (c->needs_settings && o.settings == NULL)
		return complain("--settings is missing", o.command);
	if (sodium_init() < 0)
		return EX_SOFTWARE;
	curl_global_init(CURL_GLOBAL_ALL);
	signal(SIGPIPE, SIG_IGN);
	if (c->needs_settings) {
		st = settings_load(&set, o.settings, use_of(c, o.flows));
		if (st.code != STATUS_OK) {
			fprintf(stderr, "%s\n", st.message);
			return EX_CONFIG;
		}
		log_set_level(set.log_level);
	}
	return c->run(&o, &set);
}
