/**
 * @file flow_scripted.c
 * Scripts about opaque flows and the platform that brings them; see the
 * table.
 */
#include "flow_world.h"
#include "runner.h"

#include <signal.h>
#include <sodium.h>

static const struct script_command commands[] = {
    {"bal", do_bal},
    {"version", do_version},
    {"beat", do_beat},
    {"gone", do_gone},
    {"asks", do_asks},
    {"errand", do_errand},
    {"peer", do_peer},
    {"told", do_told},
    {"mentioned", do_mentioned},
    {"syn", do_syn},
    {"data", do_data},
    {"accepted", do_accepted},
    {"refused", do_refused},
    {"found", do_found},
    {"away", do_away},
    {"wait", do_wait},
    {"late", do_late},
    {"paused", do_paused},
    {"ready", do_ready},
    {"leave", do_leave},
    {"spread", do_spread},
    {"entry", do_entry},
    {"log", do_log},
    {"latency", do_latency},
    {"agt", do_agt},
    {"word", do_word},
    {"from", do_from_balancer},
    {"target", do_target},
    {"find", do_find},
    {"tried", do_tried},
    {"await", do_await},
    {"between", do_between},
    {"stop", do_stop},
    {"packet", do_packet},
    {"call", do_call},
    {"config", do_config},
    {"members", do_members},
    {"frames", do_frames},
};

int
main(void)
{
	static const char *const names[] = {"flow-open", "flow-search",
	    "flow-delegates", "flow-members", "flow-agent", "flow-target",
	    "platform", "logs"};

	signal(SIGPIPE, SIG_IGN);
	if (sodium_init() < 0)
		return 1;
	return script_main(commands, sizeof(commands) / sizeof(commands[0]),
	    names, sizeof(names) / sizeof(names[0]));
}
