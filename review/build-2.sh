#!/bin/sh
# The stand-ins of the second review need no build: they are Python with the standard
# library alone. This checks that they can be read, and writes nothing.
set -eu
cd "$(dirname "$0")"
for f in standins-2/*.py [6-9]/case.py 10/case.py; do
	[ -e "$f" ] || continue
	python3 -B -c 'import ast, sys; ast.parse(open(sys.argv[1]).read())' "$f"
done
