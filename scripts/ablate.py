#!/usr/bin/env python3
"""Measure what each mechanism is worth: plays days with and without it, on the same
seeds, and prints the difference of worth and the rules that break without it.

usage: ablate.py FLEETBENCH SITE DAY,... [--seeds N] [--jobs N] [MECHANISM...]
       ablate.py --check       whether all patches apply to the working tree

SITE is a site file of the users' benchmark; a DAY may be a file in deploy/days. A
MECHANISM is a patch in scripts/ablation that switches it off; all by default. The
journal's entries are added to journal/.
"""
import argparse
import concurrent.futures
import glob
import os
import re
import shutil
import statistics
import subprocess
import sys
import tempfile

ROOT = os.path.realpath(
    os.path.join(os.path.dirname(os.path.abspath(__file__)), os.pardir))
PATCHES = os.path.join(ROOT, "scripts", "ablation")
FIRST_SEED = 500


def checkout(top, bench, name):
    """Build a clone of HEAD, without the mechanism name unless that is None."""
    path = os.path.join(top, name or "base")
    subprocess.check_call(["git", "clone", "-q", ROOT, path])
    if name:
        subprocess.check_call(
            ["git", "-C", path, "apply", os.path.join(PATCHES, name + ".patch")])
    subprocess.run([bench, "build"], cwd=path, check=True, capture_output=True)
    return path


def play(bench, path, site, day, seed, why):
    """Return worth and the rules broken, or None without a result."""
    command = [bench, "run", site, day, "--seed", str(seed), "--no-cpu", "--why", why]
    if day.endswith(".toml"):
        command.append("--vary")
    out = subprocess.run(command, cwd=path, capture_output=True, text=True).stdout
    worth = re.search(r"^worth (-?[\d.]+) = ", out, re.M)
    broken = re.search(r"BROKEN (.*)", out)
    return (float(worth[1]) if worth else None, broken[1].strip() if broken else "")


def collect_journal(paths):
    for path in paths:
        for entry in glob.glob(os.path.join(path, "journal", "*.json")):
            target = os.path.join(ROOT, "journal", os.path.basename(entry))
            if not os.path.exists(target):
                shutil.copy(entry, target)


def print_table(site, days, seeds, names, results):
    name = os.path.basename(site)[:-5]
    for mechanism in names:
        cells = []
        for day in days:
            pairs = [(results[None, day, s], results[mechanism, day, s])
                     for s in seeds]
            differences = [b[0] - a[0] for a, b in pairs
                           if a[0] is not None and b[0] is not None]
            broken = {b[1] for _, b in pairs if b[1]}
            cells.append("%s %s%s" % (
                os.path.basename(day).removesuffix(".toml"),
                "%+.3f" % statistics.mean(differences) if differences else "none",
                " BROKEN " + "; ".join(sorted(broken))[:60] if broken else ""))
        print("%-26s %-16s %s" % (name, mechanism, ", ".join(cells)), flush=True)


def check_patches():
    """Return 0 if every patch applies, otherwise 1."""
    status = 0
    for patch in sorted(glob.glob(os.path.join(PATCHES, "*.patch"))):
        r = subprocess.run(["git", "-C", ROOT, "apply", "--check", patch])
        status |= r.returncode != 0
        print("%s: %s" % (os.path.basename(patch),
                          "applies" if r.returncode == 0 else "does not apply"))
    return status


def main():
    if sys.argv[1:] == ["--check"]:
        return check_patches()
    parser = argparse.ArgumentParser(
        description=__doc__, formatter_class=argparse.RawDescriptionHelpFormatter)
    parser.add_argument("bench")
    parser.add_argument("site")
    parser.add_argument("days")
    parser.add_argument("mechanisms", nargs="*")
    parser.add_argument("--seeds", type=int, default=2)
    parser.add_argument("--jobs", type=int, default=3)
    args = parser.parse_intermixed_args()
    bench, site = os.path.realpath(args.bench), os.path.realpath(args.site)
    days = args.days.split(",")
    seeds = range(FIRST_SEED, FIRST_SEED + args.seeds)
    names = args.mechanisms or sorted(
        os.path.basename(p).removesuffix(".patch")
        for p in glob.glob(os.path.join(PATCHES, "*.patch")))
    with tempfile.TemporaryDirectory(prefix="ablate-") as top:
        paths = {name: checkout(top, bench, name) for name in [None, *names]}
        keys = [(n, d, s) for d in days for s in seeds for n in paths]
        with concurrent.futures.ThreadPoolExecutor(args.jobs) as pool:
            results = dict(zip(keys, pool.map(
                lambda k: play(bench, paths[k[0]], site, k[1], k[2],
                               "ablation: without " + k[0] if k[0]
                               else "ablation: base"), keys)))
        collect_journal(paths.values())
    print_table(site, days, seeds, names, results)
    return 0


if __name__ == "__main__":
    sys.exit(main())
