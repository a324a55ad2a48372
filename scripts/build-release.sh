#!/bin/sh
# Builds the one binary, without tests, optimized, as target/persimmonwinch.
set -eu
cd "$(dirname "$0")/.."
[ -f target/build/build.ninja ] || meson setup target/build \
    --buildtype=release -Dtests=false >/dev/null
ninja -C target/build --quiet persimmonwinch
cp target/build/persimmonwinch target/persimmonwinch
