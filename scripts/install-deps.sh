#!/bin/sh
# Installs the Debian packages that building and testing needs.
set -eu
packages="gcc make meson ninja-build pkg-config libuv1-dev libprotobuf-c-dev
libcoap3-dev libjansson-dev libsodium-dev libxxhash-dev uthash-dev
libcmocka-dev libcurl4-openssl-dev libhttp-parser-dev libmicrohttpd-dev scdoc curl"
if [ "${1:-}" = "--ci" ]; then
	packages="$packages clang-format clang-tidy valgrind"
fi
missing=""
for p in $packages; do
	dpkg -s "$p" >/dev/null 2>&1 || missing="$missing $p"
done
[ -z "$missing" ] && exit 0
sudo=""
[ "$(id -u)" = 0 ] || sudo=sudo
$sudo apt-get update -qq
# shellcheck disable=SC2086
DEBIAN_FRONTEND=noninteractive $sudo apt-get install -y -qq \
    --no-install-recommends $missing
