#!/usr/bin/env python3
"""Withdraws a failure domain under load and returns it.

100 backend servers, 3 failure domains, 6 instances. Ends with a table and with
exit code 1 when a guarantee was broken; takes under three minutes.
"""

import sys
import time

import check_history
import harness
import measure

RATE = 40
STEADY, OUT, RETURNED = 15, 20, 20
DOMAIN = "fd-b"


def main():
    with harness.Cluster("gaonsan", instances=6, groups=("lots",),
                         backend={"straggler_share": 0.02}) as cluster:
        print("starting 100 backend servers and 6 instances", flush=True)
        cluster.wait_ready(timeout=30)
        cluster.wait_serving(timeout=30)
        cluster.load("warm", RATE, 5)
        print(f"load: {RATE} queries/s to 50 shards each", flush=True)
        start = harness.now_us()
        load = cluster.start_load(
            "load", RATE, STEADY + OUT + RETURNED,
            **cluster.operation_options(0.05))
        time.sleep(STEADY)
        print(f"withdrawing {DOMAIN}", flush=True)
        withdrawn = cluster.set_domain(DOMAIN, "out")
        time.sleep(OUT)
        print(f"returning {DOMAIN}", flush=True)
        returned = cluster.set_domain(DOMAIN, "in")
        report = load.report(RETURNED + 30)
        end = harness.now_us()
        cluster.stop_standins()
        history = check_history.History.read(cluster.histories())
    violations = check_history.check(history)

    phases = []
    for name, begin, finish in (("steady", start, withdrawn),
                                (f"{DOMAIN} withdrawn", withdrawn, returned),
                                (f"{DOMAIN} returned", returned, end)):
        it = measure.phase(history, begin, finish)
        phases.append([
            name, it["offered"], it["p50_ms"], it["p99_ms"],
            f"{100 * it['whole_share']:.2f}%", f"{100 * it['coverage']:.3f}%",
            f"{100 * measure.extra_load(history, begin, finish):.2f}%"])
    print()
    print(measure.rows(["phase", "queries", "p50 ms", "p99 ms", "whole",
                        "coverage", "extra load"], phases))
    last = measure.last_request(history, DOMAIN, withdrawn, returned)
    print(f"\nfrom the edit to the last new request in {DOMAIN}: "
          f"{(last - withdrawn) / 1e6:.3f} s (bound 3 s)")
    operations = report["operations"]
    print(f"operations: {operations['count']}, {operations['outcomes']}\n")
    print("violations of each guarantee")
    print(check_history.table(violations))
    return 1 if any(violations.values()) else 0


if __name__ == "__main__":
    sys.exit(main())
