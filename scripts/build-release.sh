#!/bin/sh
# Builds the optimized binary target/persimmonwinch, without tests.
set -eu
cd "$(dirname "$0")/.."
[ -f target/build/build.ninja ] || meson setup target/build \
    --buildtype=release -Dtests=false >/dev/null
ninja -C target/build --quiet persimmonwinch
# Renamed into place, as a running binary cannot be overwritten.
cp target/build/persimmonwinch target/persimmonwinch.new
mv target/persimmonwinch.new target/persimmonwinch
