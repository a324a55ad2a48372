#!/bin/bash
# Measures the figures behind docs/CAPACITY.md: the cost of the control plane
# at several sizes, the heap for each kind of state, and the datagram path. The
# largest size takes some minutes and 2 GB of memory; SIZES="90 180" skips the
# two largest.
set -u
cd "$(dirname "$0")/.." || exit 1
build=${BUILD:-build}
for n in ${SIZES:-90 180 360 720}; do
	"$build/bench/scale" "$n" $((n * 35 / 6)) 4
done
"$build/bench/memory"
"$build/bench/relay" 30000
"$build/bench/relay" 30000 42 11 2000 | sed 's/datagram-cpu/datagram-cpu-small/
    s/relay-ratio/relay-ratio-small/'
