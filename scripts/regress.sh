#!/bin/bash
# Runs the regression benchmark before a change is merged: scores the sites that
# CONTRIBUTING names and prints a table of their days, with the differences to
# the previous entries of the journal.
#
# usage: scripts/regress.sh FLEETBENCH SITES-DIR WHY [JOBS]
#
# FLEETBENCH is the users' benchmark program, SITES-DIR the folder with the
# folders of sites, WHY a text for the journal. Exits 0 if every gate passes.
set -u
cd "$(dirname "$0")/.." || exit 1
sites="further/bertolazzi-piazzole further-grown/bertolazzi-piazzole-grown
large/bpgj-lb-large"

if [ $# -lt 3 ]; then
	sed -n '2,/^set/{s/^# \{0,1\}//;/^set/!p}' "$0" >&2
	exit 2
fi
bench=$1 dir=$2 why=$3 jobs=${4:-3}
status=0
before=$(mktemp)
trap 'rm -f "$before"' EXIT

for site in $sites; do
	if [ ! -f "$dir/$site.toml" ]; then
		echo "regress: no site file $dir/$site.toml" >&2
		exit 2
	fi
done
scripts/journal-days.py >"$before" || exit 1
for site in $sites; do
	out=$("$bench" score "$dir/$site.toml" --jobs "$jobs" --why "$why" 2>&1)
	if ! grep -q '^GATE passed' <<<"$out"; then
		status=1
		echo "$out" | tail -n 30
	fi
done
scripts/journal-days.py --against "$before"
exit $status
