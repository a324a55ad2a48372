# Flows survive killed, stopped and restarted balancers and agents, draining and
# crashing targets, an outage of the store and new versions.
net=83 balancers=3 targets=6
cd "$(dirname "${BASH_SOURCE[0]}")/../.." || exit 1
. scripts/hall.sh
hall_begin 20 7
hall_answers 100 && echo "callers are answered"
stop b0 KILL
flow_balancer 0
hall_answers 100 && echo "after a balancer was killed"
stop b1 TERM
flow_balancer 1
hall change
hall_answers 100 && echo "after a balancer was stopped, and a new version"
stop a2 TERM
flow_agent 2
hall_answers 100 && echo "after an agent was stopped"
stop a3 KILL
flow_agent 3
hall_answers 100 && echo "after an agent was killed"
hall leave 4
hall_answers 300 && echo "after a target left"
hall crash 5
hall_answers 100 && echo "after a target crashed"
hall away
for n in 0 1 2; do stop b$n KILL; done
for n in 0 1 2; do flow_balancer $n; done
hall_answers 50 && echo "open flows go on while the store is away"
hall back
hall_answers 200 && echo "after the store came back"
for n in 0 1 2; do
	stop b$n TERM
	flow_balancer $n
	hall_answers 20
done
hall change
await 20 hall_has_version_everywhere && echo "a version after all were restarted"
hall_end
echo "resets $(hall_last resets) misrouted $(hall_last misrouted)" \
    "mixed $(hall_last mixed) changed $(hall_last changed)" \
    "late $(hall_last late)"
grep -hvE '^({"event":"|<29>persimmonwinch)' "$lab"/[ab][0-9]*.log
