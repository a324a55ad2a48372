#!/usr/bin/env python3
"""Print the latest score of each day in the journal: worth, served, rules.

usage: journal-days.py                 all days, one line each
       journal-days.py --against FILE  only days scored since FILE, an earlier output,
                                       with the differences
"""
import glob
import json
import os
import sys

JOURNAL = os.path.join(os.path.dirname(os.path.abspath(__file__)),
                       os.pardir, "journal")


def latest_days():
    """Return a dict from (site, day) to the latest score of the day. Days named
    fresh-* are skipped: each run draws new ones, so they cannot be compared."""
    days = {}
    for path in sorted(glob.glob(os.path.join(JOURNAL, "*.json"))):
        with open(path, encoding="utf-8") as f:
            entry = json.load(f)
        if entry.get("cmd") != "score":
            continue
        for day in entry.get("days") or []:
            if not day["name"].startswith("fresh-"):
                days[entry["site"], day["name"]] = dict(day, entry=entry["id"])
    return days


def format_rules(day):
    broken = ["%s %s" % (k, v) for k, v in sorted(day["rules"].items()) if v]
    return ", ".join(broken) or "kept"


def read_output(path):
    before = {}
    with open(path, encoding="utf-8") as f:
        for line in f:
            site, name, entry, worth, served = line.split()[:5]
            if worth != "worth":
                before[site, name] = entry, float(worth), float(served)
    return before


def main(argv):
    if len(argv) not in (1, 3) or (len(argv) == 3 and argv[1] != "--against"):
        print(__doc__, file=sys.stderr)
        return 2
    before = read_output(argv[2]) if len(argv) == 3 else {}
    print("%-28s %-10s %-9s %6s %7s %8s %8s  %s" % (
        "site", "day", "entry", "worth", "served", "d-worth", "d-served",
        "rules"))
    for (site, name), day in sorted(latest_days().items()):
        old = before.get((site, name))
        if old and old[0] == day["entry"]:
            continue
        difference = ("%+.3f" % (day["G"] - old[1]),
                      "%+.3f" % (day["served"] - old[2])) if old else ("", "")
        print("%-28s %-10s %-9s %6.3f %7.3f %8s %8s  %s" % (
            site, name, day["entry"], day["G"], day["served"], *difference,
            format_rules(day)))
    return 0


if __name__ == "__main__":
    sys.exit(main(sys.argv))
