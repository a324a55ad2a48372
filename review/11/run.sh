#!/bin/bash
# All balancers are stopped and others are started at new addresses, while nodes
# beside endpoints are stopped and started in turn; the endpoints live on.
# Clients use their open flows when the new balancers are in rotation.
# TROUBLE=0: nothing is stopped.
# What was sent, answered and run is written to record.txt beside this script.
# shellcheck disable=SC2034
here=$(cd "$(dirname "$0")" && pwd)
record=$here/record.txt
net=${NET:-191} balancers=6 agents=10 flows=80 first=3
. "$here/../standins-3/lab.sh"

in_rotation() { # N
	grep -q "balancer $1 is in rotation" "$record"
}

roll() {
	local n
	for n in 1 2 3 4 5; do
		if [ "${TROUBLE:-1}" != 0 ]; then
			stop a$n
			agent $n
		fi
		sleep 1.3
	done
}

lab_begin
sleep 20
ask open
sleep 1
if [ "${TROUBLE:-1}" != 0 ]; then
	say "SIGTERM to b1, b2, b3"
	kill -TERM "${pid_of[b1]}" "${pid_of[b2]}" "${pid_of[b3]}"
	wait "${pid_of[b1]}" "${pid_of[b2]}" "${pid_of[b3]}"
	say "b1, b2, b3 have ended"
	for n in 4 5 6; do balancer $n; done
fi
# The stand-in is told by a background job, so that this shell, which started
# the processes, can wait for those that it stops.
(
	sleep 1.5
	for ((i = 0; i < 50; i++)); do
		[ "${TROUBLE:-1}" = 0 ] && break
		in_rotation 4 && in_rotation 5 && in_rotation 6 && break
		sleep 0.1
	done
	echo use >&"$bed_in"
) &
roll
read -r -t 20 reply <&"$bed_out" || cannot_run "no reply to use"
echo "$reply"
sleep 1
lab_verdict 60
