#!/bin/bash
# Injects random, overlapping faults into real flow balancers and agents on
# loopback addresses, with standin-hall around them.
# usage: faultsoak.sh SEED SECONDS PROCS [break NAME]
# Last line: faultsoak: seed N seconds S faults F checks C violations V
set -u
cd "$(dirname "$0")/.." || exit 1
seed=${1:-1} seconds=${2:-20} procs=${3:-12}
net=$((84 + seed % 40))
balancers=$((procs / 4 > 1 ? procs / 4 : 2))
targets=$((procs - balancers > 2 ? procs - balancers : 2))
balancer_sets=4
. scripts/hall.sh
RANDOM=$seed
faults=0
declare -A last_fault_s

fault() { # TEXT
	faults=$((faults + 1))
	echo "fault $faults: $*"
}

# Succeeds if the process had a fault in the last 6 s, else records one now.
# With more faults, an agent could be down for longer than a flow is guaranteed
# to survive.
had_recent_fault() { # NAME
	[ $((SECONDS - ${last_fault_s[$1]:--9})) -lt 6 ] && return 0
	last_fault_s[$1]=$SECONDS
	return 1
}

restart() { # KIND N SIGNAL
	local name=${1:5:1}$2
	had_recent_fault "$name" && return
	fault "$3 $name"
	kill "-$3" "${pid_of[$name]}" 2>/dev/null
	wait "${pid_of[$name]}" 2>/dev/null
	"$1" "$2"
}

freeze() { # NAME
	had_recent_fault "$1" && return
	fault "freeze $1"
	kill -STOP "${pid_of[$1]}"
	(
		sleep 1.$((RANDOM % 10))
		kill -CONT "${pid_of[$1]}" 2>/dev/null
	) &
}

pick() { # TEXT...
	local n=$((RANDOM % $# + 1))
	echo "${!n}"
}

# Replace the bounds in all settings files. Every third process is told; the
# others read them when they start again.
change_bounds() {
	local n
	bounds=$(pick "" '"flow_life_s": 60,' '"flow_life_s": 59.5,' \
	    '"flow_life_s": true,' '"flow_life_s": false,')
	bounds="$bounds $(pick '"evacuation_ms": 5000,' \
	    '"evacuation_ms": 4999.5,' '"evacuation_ms": true,')"
	bounds="$bounds $(pick '"cold_overage": 1.5, "cold_slack": 5,' \
	    '"cold_overage": 2, "cold_slack": 4.5,' \
	    '"cold_overage": true, "cold_slack": false,')"
	fault "settings $bounds"
	for ((n = first_balancer; n < first_balancer + balancers; n++)); do
		flow_balancer_settings $n
		[ $((RANDOM % 3)) = 0 ] && kill -HUP "${pid_of[b$n]}"
	done
	for ((n = 0; n < targets; n++)); do
		flow_agent_settings $n
		[ $((RANDOM % 3)) = 0 ] && kill -HUP "${pid_of[a$n]}"
	done
}

# Restart all balancers at their addresses as planned work that overlaps.
restart_balancers() {
	local n old=()
	for ((n = first_balancer; n < first_balancer + balancers; n++)); do
		kill -CONT "${pid_of[b$n]}" 2>/dev/null
		kill -TERM "${pid_of[b$n]}" 2>/dev/null
		old+=("${pid_of[b$n]}")
		sleep 0.$((RANDOM % 4))
	done
	wait "${old[@]}" 2>/dev/null
	for ((n = first_balancer; n < first_balancer + balancers; n++)); do
		flow_balancer $n
	done
}

# Restart every second agent in turn, and the first of them twice.
roll_agents() {
	local n
	for ((n = RANDOM % 2; n < targets; n += 2)); do
		restart flow_agent $n TERM
		sleep 0.$((RANDOM % 5 + 5))
	done
	last_fault_s[a0]=-9
	last_fault_s[a1]=-9
	restart flow_agent $((n % 2)) TERM
}

# Count the processes that have ended by themselves.
count_ended() {
	local n ended=0
	for ((n = first_balancer; n < first_balancer + balancers; n++)); do
		kill -0 "${pid_of[b$n]}" 2>/dev/null || ended=$((ended + 1))
	done
	for ((n = 0; n < targets; n++)); do
		kill -0 "${pid_of[a$n]}" 2>/dev/null || ended=$((ended + 1))
	done
	echo $ended
}

inject_random_fault() {
	local b=$((first_balancer + RANDOM % balancers)) a=$((RANDOM % targets))
	case $((RANDOM % 14)) in
	0) restart flow_balancer $b KILL ;;
	1) restart flow_balancer $b TERM ;;
	2) freeze b$b ;;
	3) restart flow_agent $a KILL ;;
	4) restart flow_agent $a TERM ;;
	5) freeze a$a ;;
	6) had_recent_fault "t$a" || { fault "leave $a" && hall leave $a; } ;;
	7) had_recent_fault "t$a" || { fault "crash $a" && hall crash $a; } ;;
	8) fault change && hall change && { hall away; sleep 0.3; hall back; } ;;
	10) change_bounds ;;
	11) fault restore && hall away && { sleep 0.3; hall restore; hall back; } ;;
	9) had_recent_fault all || { replace_balancers && fault replace; } ;;
	12) had_recent_fault all || { fault restart all; restart_balancers; } ;;
	13) had_recent_fault all || { replace_balancers && fault replace and roll &&
	    roll_agents; } ;;
	esac
}


hall_begin $((procs * 2)) "$seed"
hall_answers 50 || echo "fewer than 50 requests were answered at the start"
[ "${4:-}" = break ] && hall break "$5"
SECONDS=0
while [ "$SECONDS" -lt "$seconds" ]; do
	inject_random_fault
	sleep 0.$((RANDOM % 7 + 1))
done
hall change
sleep 2
stuck=0
hall_answers $((procs * 4)) || stuck=1
sleep 1
behind=$((balancers - $(hall_versions | grep -c "^$(hall_field version)\$")))
ended=$(count_ended)
hall_end
violations=$(($(hall_last resets) + $(hall_last strays) + $(hall_last misrouted) +
    $(hall_last mixed) + $(hall_last changed) + $(hall_last late) + stuck + behind + ended))
tail -n 1 "$lab/hall.out"
echo "stuck $stuck balancers-behind $behind ended $ended"
echo "faultsoak: seed $seed seconds $seconds faults $faults checks" \
    "$(hall_last checks) violations $violations"
[ "$violations" -eq 0 ]
