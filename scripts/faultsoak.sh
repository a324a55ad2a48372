#!/bin/bash
# Faults in series, overlapping, on the real programs on loopback, between the
# hall's stand-ins. usage: faultsoak.sh SEED SECONDS PROCS [break NAME]
# Last line: faultsoak: seed N seconds S faults F checks C violations V
set -u
cd "$(dirname "$0")/.." || exit 1
seed=${1:-1} seconds=${2:-20} procs=${3:-12}
net=$((84 + seed % 40))
balancers=$((procs / 4 > 1 ? procs / 4 : 2))
targets=$((procs - balancers > 2 ? procs - balancers : 2))
. scripts/hall.sh
RANDOM=$seed
faults=0
declare -A since

fault() { # TEXT
	faults=$((faults + 1))
	echo "fault $faults: $*"
}

# A process is harmed once in 6 s at most: a flow whose agent is away for
# longer than it may be is not one that lives.
spared() { # NAME
	[ $((SECONDS - ${since[$1]:--9})) -lt 6 ] && return 0
	since[$1]=$SECONDS
	return 1
}

restart() { # KIND N SIGNAL
	local name=${1:5:1}$2
	spared "$name" && return
	fault "$3 $name"
	kill "-$3" "${pid_of[$name]}" 2>/dev/null
	wait "${pid_of[$name]}" 2>/dev/null
	"$1" "$2"
}

freeze() { # NAME
	spared "$1" && return
	fault "freeze $1"
	kill -STOP "${pid_of[$1]}"
	(
		sleep 1.$((RANDOM % 10))
		kill -CONT "${pid_of[$1]}"
	) &
}

one_fault() {
	local b=$((RANDOM % balancers)) a=$((RANDOM % targets))
	case $((RANDOM % 9)) in
	0) restart flow_balancer $b KILL ;;
	1) restart flow_balancer $b TERM ;;
	2) freeze b$b ;;
	3) restart flow_agent $a KILL ;;
	4) restart flow_agent $a TERM ;;
	5) freeze a$a ;;
	6) spared "t$a" || { fault "leave $a" && hall leave $a; } ;;
	7) spared "t$a" || { fault "crash $a" && hall crash $a; } ;;
	8) fault change && hall change && { hall away; sleep 0.3; hall back; } ;;
	esac
}


hall_begin $((procs * 2)) "$seed"
hall_answers 50 || echo "nobody is answered"
[ "${4:-}" = break ] && hall break "$5"
SECONDS=0
while [ "$SECONDS" -lt "$seconds" ]; do
	one_fault
	sleep 0.$((RANDOM % 7 + 1))
done
hall change
sleep 2
stuck=0
hall_answers $((procs * 4)) || stuck=1
sleep 1
behind=$((balancers - $(hall_versions | grep -c "^$(hall_field version)\$")))
hall_end
bad=$(($(hall_last resets) + $(hall_last misrouted) + $(hall_last mixed) +
    $(hall_last changed) + $(hall_last late) + stuck + behind))
tail -n 1 "$lab/hall.out"
echo "stuck $stuck balancers-behind $behind"
echo "faultsoak: seed $seed seconds $seconds faults $faults checks" \
    "$(hall_last checks) violations $bad"
[ "$bad" -eq 0 ]
