#!/bin/sh
# The settings files change: flow_ttl_s is a fraction; see claim.txt.
# 0: the rule held, 1: it was broken, 2: the case could not run. TROUBLE=0: the
# same change to a whole number.
# What was sent, answered and run is written to record.txt.
cd "$(dirname "$0")" || exit 2
exec python3 -B case.py record.txt
