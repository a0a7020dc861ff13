#!/usr/bin/env python3
"""Plots the latency of answered queries over time as SVG, with gnuplot.

usage: plot.py HISTORY OUTPUT.svg [EVENTS-HISTORY]

Each point covers half a second. Publications and faults of the platform's
history, when it is given, appear as vertical lines.
"""

import collections
import json
import subprocess
import sys

STEP_US = 500_000
EVENTS = ("config", "fault", "note")


def read(path):
    with open(path, encoding="utf-8") as lines:
        return [json.loads(line) for line in lines if line.endswith("\n")]


def main(arguments):
    if len(arguments) not in (2, 3):
        print(__doc__.strip().splitlines()[2], file=sys.stderr)
        return 2
    queries = [it for it in read(arguments[0])
               if it["e"] == "query" and 0 <= it["code"] < 100]
    if not queries:
        print("no answered queries", file=sys.stderr)
        return 1
    start = min(it["t0"] for it in queries)
    steps = collections.defaultdict(list)
    for it in queries:
        step = (it["t0"] - start) // STEP_US
        steps[step].append((it["t1"] - it["t0"]) / 1e3)
    rows = []
    for step, values in sorted(steps.items()):
        values.sort()
        rows.append((step * STEP_US / 1e6, values[len(values) // 2],
                     values[int(len(values) * 0.99)], values[-1]))
    arrows = []
    if len(arguments) == 3:
        for it in read(arguments[2]):
            at = (it.get("t", 0) - start) / 1e6
            if it["e"] in EVENTS and 0 <= at <= rows[-1][0]:
                arrows.append(f"set arrow from {at}, graph 0 to {at}, graph 1 "
                              "nohead dt 3 lc rgb 'gray40'")
    block = "\n".join(" ".join(map(str, it)) for it in rows)
    lines = ", ".join(
        f"$data using 1:{n} with lines lw 2 title '{name}'"
        for n, name in ((2, "p50"), (3, "p99"), (4, "max")))
    script = "\n".join([
        "set terminal svg size 900,400 background rgb 'white'",
        f"set output '{arguments[1]}'",
        "set xlabel 'seconds'", "set ylabel 'latency in ms'",
        "set logscale y", "set grid", "set key outside",
        *arrows, f"$data << EOD\n{block}\nEOD", f"plot {lines}"])
    return subprocess.run(["gnuplot"], input=script.encode(),
                          check=False).returncode


if __name__ == "__main__":
    sys.exit(main(sys.argv[1:]))
