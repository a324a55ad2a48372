#!/bin/bash
# Runs one user's installation under load from callers while instances are
# killed, stopped and replaced and the operator's text changes.
# usage: demo.sh [bureau|consortium] [--keep] [--seconds N]
set -u
cd "$(dirname "$0")/.." || exit 1
. scripts/lab.sh

user=bureau
keep=no
seconds=24
while [ $# -gt 0 ]; do
	case $1 in
	bureau | consortium) user=$1 ;;
	--keep) keep=yes ;;
	--seconds)
		seconds=$2
		shift
		;;
	*)
		echo "usage: demo.sh [bureau|consortium] [--keep] [--seconds N]" >&2
		exit 64
		;;
	esac
	shift
done

balancers=3
if [ "$user" = bureau ]; then
	net=61 platform_port=8461 desk=ticket-desk store=manual-library
	domains=(semarang solo magelang) weigh=flows slots=4
	DELAY_US=3000
else
	net=62 platform_port=8462 desk=order-desk store=challan-store
	domains=(bagmati-a bagmati-b bagmati-c) weigh=balance slots=2
	DELAY_US=3000
fi
desk_at=127.$net.0.1:5701
store_at=127.$net.0.1:5702

write_text() { # DEADLINE
	cat >"$lab/services.txt" <<-TEXT
	# $user
	service $desk
	    address $desk_at
	    depends $store
	    weigh $weigh
	    slots $slots
	    connections 2000
	    deadline $1

	service $store
	    address $store_at
	    weigh $weigh
	    slots $slots
	    connections 2000
	    deadline $1
	TEXT
}

say() { echo "demo: $*"; }

lab_begin
operator_settings
platform
for ((i = 0; i < balancers; i++)); do balancer "$i"; done
for i in 1 2 3 4 5 6 7; do target "$desk$i" "$i" "$desk" 40 "$slots"; done
for i in 8 9 10; do target "$store$i" "$i" "$store" 5 "$slots"; done
fabric "$desk_at" "$store_at"
write_text 8s
await 5 curl -s "http://127.0.0.1:$platform_port/"
await 5 op submit "$lab/services.txt" || {
	say "the text was not accepted"
	exit 1
}
await 20 has_active_agents 10 || {
	say "the targets did not join: $(active_agents) of 10"
	exit 1
}
say "10 targets are active behind 3 balancers"

if [ "$keep" = yes ]; then
	trap - EXIT
	say "$desk is at $desk_at, $store at $store_at"
	say "operators: $pw status --settings $lab/operator.json"
	say "to stop: kill ${pids[*]}; rm -r $lab"
	exit 0
fi

callers clerks "$seconds" clerk 16 "$desk_at" "$desk" 40
callers owners "$seconds" owner 4 "$store_at" "$store" 200
callers readers "$seconds" reader 12 "$desk_at" "$desk"
sleep $((seconds / 6))
say "killing a balancer"
stop balancer1 KILL
sleep $((seconds / 12))
say "starting it again"
balancer 1
sleep $((seconds / 12))
say "stopping a target's agent gracefully"
stop "agent-${desk}2" TERM
stop "target-${desk}2" TERM
sleep 1
say "its replacement joins"
target "${desk}11" 11 "$desk" 40 "$slots"
say "submitting a changed text"
write_text 9s
op submit "$lab/services.txt" | sed 's/^/demo: /'
for name in clerks owners readers; do wait "${pid_of[caller-$name]}"; done

op status | grep '^domain ' | sed 's/^/demo: /'
printf '%-8s %9s %6s %6s %13s %8s %8s %8s %8s %8s\n' callers requests lost \
    cut misdelivered broken refused unknown p50-ms p99-ms
grep -h ' requests ' "$lab"/caller-*.log | awk '{
    printf "%-8s %9s %6s %6s %13s %8s %8s %8s %8s %8s\n",
        $1, $3, $5, $7, $9, $11, $13, $15, $17, $19 }'
lost=$(($(sum lost) + $(claimed_not_run)))
line="requests $(sum requests) lost $lost doubled $(doubled) cut $(sum cut)"
line="$line misdelivered $(sum misdelivered) feeds-broken $(sum broken)"
if [ -n "${KEEP_LAB:-}" ]; then
	for i in 1 3 4 5 6 7 8 9 10 11; do
		echo "127.$net.2.$i" >>"$lab/counters"
		op counters "127.$net.2.$i:7500" | awk '$2 > 0' >>"$lab/counters"
	done
	for i in 1 2 3; do
		echo "127.$net.1.$i" >>"$lab/counters"
		op counters "127.$net.1.$i:7400" | awk '$2 > 0' >>"$lab/counters"
	done
fi
[ -n "${KEEP_LAB:-}" ] && say "logs are in $lab"
say "$line"
echo "$line" | grep -q ' lost 0 doubled 0 cut 0 misdelivered 0 feeds-broken 0$' &&
    [ "$(sum requests)" -gt 0 ]
