#!/bin/sh
# Builds the one binary, without tests, optimized, as target/persimmonwinch.
set -eu
cd "$(dirname "$0")/.."
[ -f target/build/build.ninja ] || meson setup target/build \
    --buildtype=release -Dtests=false >/dev/null
ninja -C target/build --quiet persimmonwinch
# A rename: an older one may be running.
cp target/build/persimmonwinch target/persimmonwinch.new
mv target/persimmonwinch.new target/persimmonwinch
