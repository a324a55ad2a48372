#!/bin/bash
# Two balancers, none in the zone z0, and endpoints in three zones. Both
# balancers are stopped and started again at the same time; the endpoints and
# the nodes beside them have no disruption. Clients use their open flows when
# the balancers are in rotation again. TROUBLE=0: the balancers stay.
# What was sent, answered and run is written to record.txt beside this script.
# shellcheck disable=SC2034
here=$(cd "$(dirname "$0")" && pwd)
record=$here/record.txt
net=${NET:-192} balancers=2 agents=12 flows=96
. "$here/../standins-3/lab.sh"

rotations() {
	grep -c "is in rotation" "$record"
}

lab_begin
sleep 22
ask open
sleep 2
before=$(rotations)
if [ "${TROUBLE:-1}" != 0 ]; then
	say "SIGTERM to b1 and b2"
	kill -TERM "${pid_of[b1]}" "${pid_of[b2]}"
	wait "${pid_of[b1]}" "${pid_of[b2]}"
	say "b1 and b2 have ended"
	sleep 0.5
	balancer 1
	balancer 2
	for ((i = 0; i < 100 && $(rotations) < before + 2; i++)); do
		sleep 0.1
	done
fi
ask use
sleep 1
lab_verdict 70
