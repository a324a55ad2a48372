#!/bin/sh
# Builds the stand-ins of all cases: they need only python3, which meson needs too.
set -e
cd "$(dirname "$0")"
for f in standins/*.py [0-9]/*.py; do
	[ -e "$f" ] || continue
	python3 -c "import ast, sys; ast.parse(open(sys.argv[1]).read())" "$f"
done
