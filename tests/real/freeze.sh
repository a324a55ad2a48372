# An agent is stopped with SIGSTOP for longer than every timeout, then
# continues. Its target runs on.
net=72
. "$(dirname "$0")/begin.sh"
begin
callers clerks 16 clerk 12 "$at" desk 20
sleep 2
kill -STOP "${pid_of[agent-d3]}"
sleep 10
kill -CONT "${pid_of[agent-d3]}"
finish clerks
await 60 has_active_agents 4 && echo "4 agents are active"
[ "$(op counters "127.$net.2.3:7500" --json | grep -c '"pauses":1')" = 1 ] &&
    echo "the pause was noticed"
