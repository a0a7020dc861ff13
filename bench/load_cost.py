#!/usr/bin/env python3
"""CPU of the instances per sub-request at several rates, less the idle cost.

    bench/load_cost.py [THREADS] [RATE ...]     default: 2 threads, 100 and 250/s
"""

import sys
import time

import harness
import measure

FAN_OUT, SECONDS = 50, 6


def main(threads=2, rates=(100, 250)):
    with harness.Cluster("gaonsan", instances=6, groups=["lots"],
                         settings={"threads": threads}) as cluster:
        cluster.wait_ready()
        cluster.wait_serving()
        processes = list(cluster.instances.values())

        def cpu():
            return measure.cpu_seconds(processes)

        first = cpu()
        time.sleep(SECONDS)
        idle = (cpu() - first) / SECONDS
        print(f"idle: {100 * idle / len(processes):.2f}% of a core per instance")
        for rate in rates:
            first, start = cpu(), time.monotonic()
            report = cluster.load(f"rate-{rate}", rate, SECONDS)
            used = cpu() - first - idle * (time.monotonic() - start)
            count = report["answered"] * FAN_OUT
            print(f"{rate} queries/s: {1e6 * used / count:.0f} us per "
                  f"sub-request, p50 {report['p50_ms']} ms, "
                  f"p99 {report['p99_ms']} ms")


if __name__ == "__main__":
    arguments = [int(it) for it in sys.argv[1:]]
    main(*arguments[:1], *([arguments[1:]] if arguments[1:] else []))
