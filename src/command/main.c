/**
 * @file main.c
 * Command line of the program, which holds the daemons and the operators'
 * commands.
 */
#include "base/log.h"
#include "command/config_check.h"
#include "command/operator.h"
#include "task/agent_task.h"
#include "task/balancer_task.h"
#include "task/flow_agent_task.h"
#include "task/flow_balancer_task.h"

#include "platform.h"

#include <argp.h>
#include <signal.h>
#include <sodium.h>
#include <stdlib.h>
#include <string.h>
#include <sysexits.h>

const char *argp_program_version = "persimmonwinch " PW_VERSION;

/** Parsed command line. */
struct options {
	const char *settings;
	const char *command;
	const char *operand;
	const char *against;
	bool json;
	bool flows;
};

static const struct argp_option options_table[] = {
    {"settings", 's', "FILE", 0, "JSON file with the settings of this process",
	0},
    {"json", 'j', NULL, 0, "print JSON, for scripts", 0},
    {"flows", 'f', NULL, 0,
	"balancer, agent: forward opaque flows on the prepared platform; "
	"check: FILE is a configuration in the platform's format",
	0},
    {"against", 'a', "FILE", 0,
	"check --flows: print the differences from this configuration", 0},
    {0},
};

static const char args_doc[] =
    "balancer\nagent\ncheck FILE\ncheck --flows FILE\nsubmit "
    "FILE\nshow\nstatus\ncounters ADDRESS";

static const char doc[] =
    "A layer-4 load balancer with one configuration for all failure "
    "domains.\v"
    "balancer and agent are daemons; SIGTERM stops them gracefully, a second "
    "one immediately. check reports the errors of a configuration text, "
    "submit puts it in force, show prints the text in force, status prints "
    "the version in force in each failure domain, counters prints the "
    "counters of the process at ADDRESS (IP:PORT). All commands but check "
    "need --settings.";

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
	case 'a':
		o->against = arg;
		return 0;
	case ARGP_KEY_ARG:
		if (o->command == NULL)
			o->command = arg;
		else if (o->operand == NULL)
			o->operand = arg;
		else
			argp_error(state, "%s: unexpected argument", arg);
		return 0;
	case ARGP_KEY_END:
		if (o->command == NULL)
			argp_error(state, "missing command");
		return 0;
	default:
		return ARGP_ERR_UNKNOWN;
	}
}

/** A command. */
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
	if (o->flows)
		return op_check_flows(o->operand, o->against, o->json);
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
usage_error(const char *what, const char *name)
{
	fprintf(stderr, "persimmonwinch: %s: %s; see --help\n", name, what);
	return EX_USAGE;
}

static enum settings_use
get_set_use(const struct command *c, bool flows)
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
	    options_table, parse_option, args_doc, doc, NULL, NULL, NULL};
	struct options o = {0};
	struct settings set;
	const struct command *c;
	struct status st;

	argp_err_exit_status = EX_USAGE;
	argp_parse(&argp, argc, argv, 0, NULL, &o);
	c = find_command(o.command);
	if (c == NULL)
		return usage_error("unknown command", o.command);
	if (c->needs_operand != (o.operand != NULL))
		return usage_error(
		    c->needs_operand ? "missing argument" : "takes no argument",
		    o.command);
	if (o.flows && c->use != SETTINGS_BALANCER &&
	    c->use != SETTINGS_AGENT && c->run != run_check)
		return usage_error("does not support --flows", o.command);
	if (o.against != NULL && !(o.flows && c->run == run_check))
		return usage_error(
		    "--against is only for check --flows", o.command);
	if (c->needs_settings && o.settings == NULL)
		return usage_error("requires --settings", o.command);
	if (sodium_init() < 0)
		return EX_SOFTWARE;
	signal(SIGPIPE, SIG_IGN);
	if (c->needs_settings) {
		st = settings_load(&set, o.settings, get_set_use(c, o.flows));
		if (st.code != STATUS_OK) {
			fprintf(stderr, "%s\n", st.message);
			return EX_CONFIG;
		}
		log_set_level(set.log_level);
	}
	return c->run(&o, &set);
}
