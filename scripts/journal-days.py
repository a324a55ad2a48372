#!/usr/bin/env python3
"""Days of the journal's scores: for each the latest worth, served, rules.

usage: journal-days.py                 one line a day, from the journal
       journal-days.py --against FILE  those scored since FILE was printed, beside it
"""
import glob
import json
import os
import sys

JOURNAL = os.path.join(os.path.dirname(os.path.abspath(__file__)),
                       os.pardir, "journal")


def latest_days():
    """(site, day) -> day of the latest score; fresh days are drawn anew each
    time and have none before them."""
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


def rules_of(day):
    broken = ["%s %s" % (k, v) for k, v in sorted(day["rules"].items()) if v]
    return ", ".join(broken) or "kept"


def read_before(path):
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
    before = read_before(argv[2]) if len(argv) == 3 else {}
    print("%-28s %-10s %-9s %6s %7s %8s %8s  %s" % (
        "site", "day", "entry", "worth", "served", "d-worth", "d-served",
        "rules"))
    for (site, name), day in sorted(latest_days().items()):
        was = before.get((site, name))
        if was and was[0] == day["entry"]:
            continue
        change = ("%+.3f" % (day["G"] - was[1]),
                  "%+.3f" % (day["served"] - was[2])) if was else ("", "")
        print("%-28s %-10s %-9s %6.3f %7.3f %8s %8s  %s" % (
            site, name, day["entry"], day["G"], day["served"], *change,
            rules_of(day)))
    return 0


if __name__ == "__main__":
    sys.exit(main(sys.argv))
