#!/usr/bin/env python3
"""Account for what a day lost: reads the output of `fleetbench run SITE DAY --log all`
and prints where requests were late or not served, what happened meanwhile, and what
the processes logged.

usage: losses.py FILE...
"""
import collections
import re
import sys

# Windows that lose less than this share of their worth are left out.
SHARE_MIN = 0.01
# A balancer or an agent tells the fate of a flow by these events.
FATES = ("reset", "search_ended", "search_found", "opening_refused")


def read(path):
    with open(path, encoding="utf-8") as f:
        return f.read().splitlines()


def section(lines, first):
    """Return the lines after the one that begins with first, up to an empty one."""
    found = []
    for line in lines:
        if found and not line.strip():
            break
        if found or line.startswith(first):
            found.append(line)
    return found[1:]


def windows(lines):
    """Yield start, asked, late, refused, failed and worth of each window."""
    for line in section(lines, "from second"):
        start, asked, _, late, refused, failed, _, worth = line.split()[:8]
        yield (float(start), int(asked), int(late), int(refused), int(failed),
               float(worth))


def disturbances(lines):
    """Return the start, end and name of each disturbance."""
    found = []
    for line in section(lines, "what happened"):
        m = re.match(r"\s*([\d.]+) s to\s+([\d.]+) s\s+(\S+ ?(\([^)]*\))?)", line)
        if m:
            found.append((float(m[1]), float(m[2]), m[3].strip()))
    return found


def fates(lines):
    """Count the logged fates of flows, by window of two seconds."""
    found = collections.defaultdict(collections.Counter)
    for line in lines:
        m = re.match(r'\s*([\d.]+) \S+ {"event":"(\w+)"(.*)', line)
        if not m or m[2] not in FATES:
            continue
        why = re.search(r'"(?:reason|outcome)":"(\w+)"', m[3])
        found[float(m[1]) // 2 * 2][why[1] if why else m[2]] += 1
    return found


def print_day(path):
    lines = read(path)
    happened = disturbances(lines)
    logged = fates(lines)
    total = sum(asked * (1 - worth) for _, asked, _, _, _, worth in windows(lines))
    print(next((l for l in lines if l.startswith("worth ")), "no result"))
    print("lost worth by window, of %.0f requests' worth in all:" % total)
    for start, asked, late, refused, failed, worth in windows(lines):
        if 1 - worth < SHARE_MIN:
            continue
        during = [n for a, b, n in happened if a < start + 2 and b > start]
        print("  %2.0f s: %3.0f %% of it; asked %d, late %d, refused %d, not served %d"
              "; %s" % (start, 100 * asked * (1 - worth) / total, asked, late,
                        refused, failed, ", ".join(during) or "nothing new"))
        if logged[start]:
            print("        logged: " + ", ".join(
                "%s %d" % item for item in logged[start].most_common()))
    for line in lines:
        if line.startswith(("how tries ended", "not served")):
            print("  " + line.split("; the first")[0])


def main(argv):
    if len(argv) < 2 or argv[1].startswith("-"):
        print(__doc__, file=sys.stderr)
        return 2
    for path in argv[1:]:
        print_day(path)
    return 0


if __name__ == "__main__":
    sys.exit(main(sys.argv))
