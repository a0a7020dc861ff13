#!/usr/bin/env python3
"""Prints the table of docs/CAPACITY.md from the results of bench/run.

    bench/run control-cost > cost.txt
    bench/run propagation > propagation.txt
    bench/run path > path.txt
    bench/capacity.py cost.txt propagation.txt path.txt
"""

import json
import math
import sys

INSTANCES, SERVERS, CHANGES_PER_DAY = 820, 6000, 4100
SUB_REQUESTS_PER_INSTANCE = 130_000 * 120 / INSTANCES
# Base point of control-cost: 6 instances, 25 services of 2 servers.
BASE_INSTANCES, BASE_SERVERS = 6, 50
SAMPLE_S, EDITS = 4, 16
# Measured in the library tests: parsing and building a document of 6,000
# servers (687 KB), and making one merge patch for a peer.
LARGE_DOCUMENT_S, LARGE_PATCH_S = 0.062, 0.035
# Measured in virtual time at 820 members (docs/notes/membership.md).
GOSSIP_BYTES_820, LEASE_BYTES_820 = 3140, 4000
BUDGET = {"cpu": 1.2, "bytes": 12_000, "mb": 256, "seconds": 7}


def last_object(path):
    with open(path, encoding="utf-8") as file:
        lines = [it for it in file if it.startswith("{")]
    return json.loads(lines[-1])


def main(cost_path, propagation_path, path_path):
    cost = last_object(cost_path)["measured"]
    base, servers = cost["base"], cost["services=100"]
    instances = cost["instances=30"]
    edits = cost["edits=16"]
    per_instance_mb = (instances["mb"] - base["mb"]) / (30 - BASE_INSTANCES)
    per_server_mb = (servers["mb"] - base["mb"]) / (200 - BASE_SERVERS)
    change_ms = ((edits["cpu_percent"] - base["cpu_percent"]) / 100
                 * SAMPLE_S / EDITS * 1000)
    change_bytes = ((edits["bytes_per_s"] - base["bytes_per_s"])
                    * SAMPLE_S / EDITS)
    every = 86_400 / CHANGES_PER_DAY
    cpu_changes = 100 * (LARGE_DOCUMENT_S + LARGE_PATCH_S) / every
    rows = [
        ("CPU of an idle instance", f"{base['cpu_percent']:.2f}% of a core"),
        ("CPU per change, small document", f"{change_ms:.1f} ms"),
        ("CPU of changes, 6,000 servers", f"{cpu_changes:.2f}% of a core"),
        ("control CPU at 820",
         f"{base['cpu_percent'] + cpu_changes:.2f}% (budget {BUDGET['cpu']}%)"),
        ("bytes per change", f"{change_bytes:.0f} B"),
        ("control bytes at 820",
         f"{GOSSIP_BYTES_820 + LEASE_BYTES_820 + change_bytes / every:.0f} B/s "
         f"sent (budget {BUDGET['bytes']})"),
        ("memory per instance known", f"{per_instance_mb * 1000:.0f} KB"),
        ("memory per server", f"{per_server_mb * 1000:.0f} KB"),
        ("memory at 820",
         f"{base['mb'] + per_instance_mb * INSTANCES + per_server_mb * SERVERS:.0f}"
         f" MB (budget {BUDGET['mb']} MB)"),
    ]
    spread = last_object(propagation_path)["measured"]
    sizes = sorted(map(int, spread))
    low, high = sizes[0], sizes[-1]
    slope = ((spread[str(high)]["max"] - spread[str(low)]["max"])
             / math.log(high / low))
    by_log = spread[str(high)]["max"] + slope * math.log(INSTANCES / high)
    linear = ((spread[str(high)]["max"] - spread[str(low)]["max"])
              / (high - low))
    by_line = spread[str(high)]["max"] + linear * (INSTANCES - high)
    rows.append(("change in force at 820",
                 f"{by_log:.2f} s by the logarithm, {by_line:.2f} s by the line "
                 f"(budget {BUDGET['seconds']} s)"))
    path = last_object(path_path)["measured"]
    for fan_out in (50, 120):
        us = path[f"cpu_us@{fan_out}"]["median"]
        cores = us * SUB_REQUESTS_PER_INSTANCE / 1e6
        rows.append((f"cores for 19,000 sub-requests/s, by fan-out {fan_out}",
                     f"{us:.0f} us each: {cores:.1f} cores"))
    for name, value in rows:
        print(f"| {name} | {value} |")


if __name__ == "__main__":
    main(*sys.argv[1:4])
