#!/bin/bash
# Runs the benchmarks. Prints each figure as one line:
# bench: NAME VALUE UNIT (baseline VALUE).
set -u
cd "$(dirname "$0")/.." || exit 1
build=${BUILD:-build}
seed=${SEED:-1}

# Broken flows in the randomised test, first with planned changes alone, then
# also with killed balancers.
planned=$("$build/tests/soak" "$seed" 1000000 planned)
lost=$(echo "$planned" | sed -n 's/^callers:.* restarted \([0-9]*\) .*feeds-lost \([0-9]*\)$/\1 \2/p' |
    awk '{ print $1 + $2 }')
flows=$(echo "$planned" | sed -n 's/^callers:.* documents \([0-9]*\) .*/\1/p')
echo "bench: broken-planned $lost flows (of $flows downloads and 12 feeds)"
kills=$("$build/tests/soak" "$seed" 1000000 planned kill-balancers)
lost=$(echo "$kills" | sed -n 's/^callers:.* restarted \([0-9]*\) .*feeds-lost \([0-9]*\)$/\1 \2/p' |
    awk '{ print $1 + $2 }')
echo "bench: broken-balancer-kill $lost flows ($(echo "$kills" |
    sed -n 's/^faults: kill-balancer \([0-9]*\) .*/\1/p') kills)"

for load in 70 50 90; do
	"$build/tests/imbalance" "$seed" "$load"
	"$build/tests/imbalance" "$seed" "$load" balance
done
"$build/bench/relay" 30000
"$build/bench/relay" 30000 42 11 2000 | sed 's/datagram-cpu/datagram-cpu-small/
    s/relay-ratio/relay-ratio-small/'
"$build/bench/scale" 90 525 4
