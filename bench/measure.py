"""Figures from histories, reports and the process table."""

import os
import statistics

import check_history

TICKS = os.sysconf("SC_CLK_TCK")
SECOND = check_history.SECOND


def percentile(values, share):
    """The value at a rank of the sorted values; 0 without values."""
    values = sorted(values)
    return values[min(len(values) - 1, int(len(values) * share))] \
        if values else 0.0


def median_range(values):
    """Median, lowest and highest, rounded for the JSON line."""
    values = list(values)
    return {"median": round(statistics.median(values), 4),
            "min": round(min(values), 4), "max": round(max(values), 4)}


def phase(history, start, end):
    """Service level of the queries that were due between two times."""
    queries = [it for it in history.queries
               if start <= it["t0"] < end and not it["crash"]]
    answers = [it for it in queries if 0 <= it["code"] < 100]
    whole = [it for it in answers if it["code"] == 0]
    latencies = [(it["t1"] - it["t0"]) / 1000 for it in answers]
    return {
        "offered": len(queries),
        "whole_share": len(whole) / len(queries) if queries else 0.0,
        "coverage": (sum(it["ratio"] for it in answers) / len(queries)
                     if queries else 0.0),
        "p50_ms": percentile(latencies, 0.5),
        "p99_ms": percentile(latencies, 0.99)}


def extra_load(history, start=0, end=float("inf")):
    """Sub-requests that ran beyond one for each shard that was asked."""
    needed = sum(len(it["included"]) + len(it["missing"])
                 for it in history.queries
                 if start <= it["t0"] < end and "included" in it)
    contents = {it["content"] for it in history.queries}
    ran = sum(1 for it in history.requests
              if start <= it["t0"] < end and it["kind"] == "search"
              and it["content"] in contents
              and it["outcome"] not in check_history.REFUSED)
    return ran / needed - 1 if needed else 0.0


def last_request(history, domain, start, end):
    """Time of the last request that began in a failure domain."""
    return max((it["t0"] for it in history.requests
                if it["fd"] == domain and start <= it["t0"] < end),
               default=start)


def cpu_seconds(processes):
    """User and system time of running processes."""
    total = 0
    for it in processes:
        with open(f"/proc/{it.child.pid}/stat", encoding="ascii") as stat:
            fields = stat.read().rsplit(")", 1)[1].split()
        total += int(fields[11]) + int(fields[12])
    return total / TICKS


def resident_bytes(process):
    with open(f"/proc/{process.child.pid}/statm", encoding="ascii") as statm:
        return int(statm.read().split()[1]) * os.sysconf("SC_PAGE_SIZE")


def slope(points):
    """Least-squares slope of (x, y) points."""
    return statistics.linear_regression(*zip(*points)).slope


def rows(header, lines):
    """Text columns; numbers are shortened."""
    def text(value):
        return f"{value:.4g}" if isinstance(value, float) else str(value)
    cells = [[text(it) for it in line] for line in [header, *lines]]
    widths = [max(map(len, column)) for column in zip(*cells)]
    return "\n".join("  ".join(it.ljust(width) for it, width
                               in zip(line, widths)).rstrip()
                     for line in cells)
