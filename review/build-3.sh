#!/bin/bash
# Builds the stand-ins that the scripts of cases 11 to 15 start.
set -eu
cd "$(dirname "$0")/.."
mkdir -p target
gcc -std=gnu11 -O1 -Wall -Wextra -o target/review-3-bed \
    review/standins-3/bed.c -lpthread
