#!/usr/bin/env python3
"""Checks the guarantees P1 to P10 of the design page against histories.

Reads the JSON-line histories of the stand-ins and of the callers and nothing
else. All times are CLOCK_MONOTONIC in microseconds of one machine.

usage: check_history.py [--json] FILE...
"""

import bisect
import collections
import heapq
import json
import re
import sys

SECOND = 1_000_000
WITHDRAWAL_BOUND = 3 * SECOND  # P4
LEAVING_BOUND = 3 * SECOND     # P8

# Outcomes at a server that promise that the request did not run.
REFUSED = {"shed", "draining", "version"}
GUARANTEES = {
    "P1": "one index snapshot per answer",
    "P2": "accurate coverage",
    "P3": "cold-start allowance kept",
    "P4": "no new work after withdrawal",
    "P5": "own and complete answers",
    "P6": "not run means not run",
    "P7": "at most once",
    "P8": "no new work to leaving servers",
    "P9": "graceful shutdown interrupts nothing",
    "P10": "configuration in force, no revert",
}


class History:
    """All records of some files, by kind and in time order."""

    def __init__(self, records):
        by_kind = collections.defaultdict(list)
        for record in records:
            by_kind[record["e"]].append(record)
        self.queries = sorted(by_kind["query"], key=lambda it: it["t0"])
        self.operations = sorted(by_kind["operation"],
                                 key=lambda it: it["t0"])
        self.requests = sorted(by_kind["req"], key=lambda it: it["t0"])
        for kind in ("config", "fault", "instances", "state", "note"):
            setattr(self, kind, sorted(by_kind[kind], key=lambda it: it["t"]))
        self.configs = [it for it in self.config if not it.get("rejected")]
        self.by_version = {it["version"]: it["document"]
                           for it in self.configs}
        self.runs = collections.defaultdict(list)
        for it in self.requests:
            if it["outcome"] not in REFUSED:
                self.runs[it["content"]].append(it)
        self._reachable = {}

    @classmethod
    def read(cls, files):
        def records():
            for name in files:
                with open(name, encoding="utf-8") as lines:
                    for line in lines:
                        # A process that was killed may leave half a line.
                        if line.endswith("\n"):
                            yield json.loads(line)
        return cls(records())

    def effective(self, published):
        """When readers could see what was published at this time."""
        faulty = False
        for fault in self.fault:
            broken = fault["down"] or fault["stale_versions"] > 0
            if fault["t"] <= published:
                faulty = broken
            elif faulty and not broken:
                return fault["t"]
            elif not faulty:
                break
        return float("inf") if faulty else published

    def reachable(self, version, customer, kind):
        """Shards with a permitted server under a configuration version."""
        key = (version, customer, kind)
        if key not in self._reachable:
            document = self.by_version[version]
            self._reachable[key] = {
                shard for shard, _ in permitted(
                    document, {"customer": customer}, {"kind": kind})}
        return self._reachable[key]


# Selectors, written anew from the syntax of the design page.

_TERM = re.compile(
    r"\s*(?:(!)\s*)?([\w./-]+)\s*"
    r"(?:(==|=|!=)\s*([\w./-]*)|\s(in|notin)\s*\(([^)]*)\))?\s*(?:,|$)")


def matches(selector, labels):
    """Whether labels satisfy a Kubernetes label selector."""
    at, selector = 0, selector.strip()
    while at < len(selector):
        term = _TERM.match(selector, at)
        if not term:
            raise ValueError(f"bad selector {selector!r} at {at}")
        at = term.end()
        absent, key, sign, value, word, values = term.groups()
        found = labels.get(key)
        if word:
            inside = found in [it.strip() for it in values.split(",")]
            good = inside == (word == "in")
        elif sign:
            good = (found == value) == (sign != "!=")
        else:
            good = (found is None) == bool(absent)
        if not good:
            return False
    return True


def permitted(document, caller=None, request=None):
    """Yields shard and server pairs that a selector permits.

    Without caller and request, those of every selector count.
    """
    serving = str(document["index"]["serving"])
    shards = document["index"]["versions"][serving]["shards"]
    selectors = [
        it["targets"] for it in document["selectors"]
        if caller is None or (matches(it["callers"], caller)
                              and matches(it["requests"], request))]
    for shard, entry in shards.items():
        service = document["services"][entry["service"]]
        for server, fields in service["servers"].items():
            domain = document["failure_domains"][fields["failure_domain"]]
            labels = {**domain.get("labels", {}), **service.get("labels", {}),
                      **entry.get("labels", {}), **fields.get("labels", {}),
                      "failure_domain": fields["failure_domain"],
                      "service": entry["service"], "server": server,
                      "shard": shard, "region": domain.get("region")}
            if any(matches(it, labels) for it in selectors):
                yield shard, server


def servers_of(document):
    return {server for service in document["services"].values()
            for server in service["servers"]}


# One function per guarantee; each yields a sentence per violation.

def answered(history):
    return (it for it in history.queries if 0 <= it["code"] < 100
            and "malformed" not in it)


def check_p1(history):
    for it in answered(history):
        if set(it["hit_versions"]) - {it["index_version"]}:
            yield (f"query {it['content']} pinned index {it['index_version']}"
                   f" has results of {it['hit_versions']}")


def check_p2(history):
    done = collections.defaultdict(list)
    for it in history.requests:
        if it["outcome"] == "ok":
            done[it["content"], it["shard"], it["version"]].append(it["t1"])
    for times in done.values():
        times.sort()
    for it in answered(history):
        included = it["included"]
        missing = [shard for shard, _ in it["missing"]]
        stated = included + missing
        name = f"query {it['content']} at {it['t0']}"
        if len(set(stated)) != len(stated):
            yield f"{name} states a shard twice"
        total = len(stated)
        if total and abs(it["ratio"] - len(included) / total) > 1e-6:
            yield f"{name} states ratio {it['ratio']} of {total} shards"
        if (it["code"] == 0) == bool(missing):
            yield f"{name} has code {it['code']}, {len(missing)} missing"
        document = history.by_version.get(it["config_version"])
        if document:
            known = set(document["index"]["versions"].get(
                str(it["index_version"]), {"shards": {}})["shards"])
            if set(stated) - known:
                yield f"{name} states unknown shards {set(stated) - known}"
            lost = history.reachable(it["config_version"], it["customer"],
                                     it["kind"]) - set(stated)
            if lost:
                yield f"{name} does not state {sorted(lost)[:3]}"
        for shard in included:
            times = done[it["content"], shard, it["index_version"]]
            at = bisect.bisect_left(times, it["t0"])
            if at == len(times) or times[at] > it["t1"]:
                yield f"{name} includes {shard}, which no server answered"


def check_p3(history):
    for it in history.requests:
        if (it["cold"] and it["running"] > it["allowance"]
                and it["outcome"] not in REFUSED):
            yield (f"cold server {it['server']} got {it['running']} requests"
                   f" with allowance {it['allowance']} at {it['t0']}")


def withdrawn_periods(history):
    """Start and end of the time without a permission, for each server."""
    periods = collections.defaultdict(list)
    since = {}
    for config in history.configs:
        document = config["document"]
        allowed = {server for _, server in permitted(document)}
        for server in servers_of(document):
            if server in allowed:
                if server in since:
                    periods[server].append((since.pop(server), config["t"]))
            else:
                since.setdefault(server, history.effective(config["t"]))
    for server, start in since.items():
        periods[server].append((start, float("inf")))
    return periods


def check_p4(history):
    yield from _requests_within(
        history, withdrawn_periods(history), WITHDRAWAL_BOUND,
        "was withdrawn")


def _requests_within(history, periods, bound, what):
    for it in history.requests:
        for start, end in periods.get(it["server"], ()):
            if start + bound < it["t0"] < end:
                yield (f"server {it['server']} of {it['fd']} got {it['kind']} "
                       f"{it['content']} {(it['t0'] - start) / SECOND:.3f} s "
                       f"after it {what}")


def check_p5(history):
    for it in history.queries:
        name = f"query {it['content']} at {it['t0']}"
        if "malformed" in it and it["status"]:
            yield f"{name} got a malformed answer: {it['malformed']}"
    for it in answered(history):
        name = f"query {it['content']} at {it['t0']}"
        if it["foreign"]:
            yield f"{name} got results of another request: {it['foreign'][:3]}"
        if sorted(it["result_shards"]) != sorted(it["included"]):
            yield f"{name} has results that differ from its coverage"


def check_p6(history):
    for it in history.queries:
        # Contents that recur can't be told apart at the servers.
        if it["unique"] and all(
                attempt["result"] == "connect" or 100 <= attempt["code"] < 300
                for attempt in it["attempts"]):
            for run in history.runs.get(it["content"], ())[:1]:
                yield (f"query {it['content']} was refused with code "
                       f"{it['code']} and ran on {run['server']}")
    for it in history.operations:
        refused = [attempt["code"] for attempt in it["attempts"]
                   if attempt["outcome"] == "not_run"]
        runs = history.runs.get(it["content"])
        if refused and runs:
            yield (f"operation {it['content']} was refused with code "
                   f"{refused[0]} and ran on {runs[0]['server']}")


def check_p7(history):
    for content, runs in history.runs.items():
        if runs[0]["kind"] == "operation" and len(runs) > 1:
            yield (f"operation {content} ran {len(runs)} times, on "
                   f"{', '.join(run['server'] for run in runs)}")
    for it in history.operations:
        if it["outcome"] == "ran" and it["content"] not in history.runs:
            yield f"operation {it['content']} is said to have run and did not"


def leaving_periods(history):
    periods = collections.defaultdict(list)
    since = {}

    def note(server, leaving, time):
        if leaving:
            since.setdefault(server, time)
        elif server in since:
            periods[server].append((since.pop(server), time))

    for it in history.state:
        note(it["server"], it["state"] == "draining", it["t"])
    for server, start in since.items():
        periods[server].append((start, float("inf")))
    since.clear()
    for it in history.instances:
        for server in it["list"].get("servers", ()):
            note(server["id"], server["state"] == "leaving", it["t"])
    for server, start in since.items():
        periods[server].append((start, float("inf")))
    return periods


def check_p8(history):
    yield from _requests_within(history, leaving_periods(history),
                                LEAVING_BOUND, "began to leave")


def check_p9(history):
    lost, stopped = set(), {}
    for it in history.note:
        if it["event"] in ("kill", "pause"):
            lost.add(it["address"])
        elif it["event"] == "stop":
            stopped[it["address"]] = it["t"]
    for it in history.queries + history.operations:
        for attempt in it["attempts"]:
            address, result = attempt["address"], attempt["result"]
            if address in lost:
                continue
            if result == "cut":
                yield f"{it['content']} at {address} was cut off"
            elif (result == "timeout"
                  and attempt["t1"] > stopped.get(address, float("inf"))):
                yield f"{it['content']} at {address}, stopping, got no answer"


def propagation_bound(instances):
    """2 s at 9 instances, 7 s at 820, in proportion between and beyond."""
    return (2 + 5 * max(0, instances - 9) / 811) * SECOND


def check_p10(history):
    size = max((len(it["list"]["instances"]) for it in history.instances),
               default=0)
    bound = propagation_bound(size)
    due = sorted((history.effective(it["t"]) + bound, it["version"])
                 for it in history.configs)
    due_times = [time for time, _ in due]
    highest_due = []
    for _, version in due:
        highest_due.append(max(version, highest_due[-1] if highest_due else 0))
    by_address = collections.defaultdict(list)
    for it in history.queries:
        if it.get("config_version") and it["attempts"]:
            last = it["attempts"][-1]
            by_address[last["address"]].append(
                (last["t0"], last["t1"], it["config_version"]))
    for address, answers in by_address.items():
        finished, seen = [], 0
        for begin, end, version in sorted(answers):
            while finished and finished[0][0] < begin:
                seen = max(seen, heapq.heappop(finished)[1])
            if version < seen:
                yield (f"{address} answered under version {version} after "
                       f"{seen}")
            at = bisect.bisect_left(due_times, begin) - 1
            if at >= 0 and version < highest_due[at]:
                yield (f"{address} answered under version {version} at {begin}"
                       f", {highest_due[at]} was due")
            heapq.heappush(finished, (end, version))


def unexplained_unknown(history, memory=60 * SECOND):
    """Operations with outcome unknown although nothing was lost meanwhile.

    A loss is a kill or a pause of an instance or a server that closed its
    connections, between `memory` (how long a ticket's record is kept) before
    the operation and its end.
    """
    losses = [it["t"] for it in history.note
              if it["event"] in ("kill", "pause", "resume")]
    losses += [it["t"] for it in history.state if it["state"] == "down"]
    losses.sort()
    for it in history.operations:
        if it["outcome"] != "unknown":
            continue
        at = bisect.bisect_right(losses, it["t1"])
        if at == 0 or losses[at - 1] < it["t0"] - memory:
            yield f"operation {it['content']} is unknown without a loss"


def check(history):
    """Violations of each guarantee."""
    return {name: list(globals()["check_" + name.lower()](history))
            for name in GUARANTEES}


def table(violations):
    lines = []
    for name, found in violations.items():
        lines.append(f"{name:<4} {GUARANTEES[name]:<38} "
                     f"{len(found) or 'none':>6}")
        lines += [f"       {it}" for it in found[:3]]
    return "\n".join(lines)


def main(arguments):
    as_json = "--json" in arguments
    files = [it for it in arguments if it != "--json"]
    if not files:
        print(__doc__.strip().splitlines()[-1], file=sys.stderr)
        return 2
    violations = check(History.read(files))
    if as_json:
        print(json.dumps(violations))
    else:
        print(table(violations))
    return 1 if any(violations.values()) else 0


if __name__ == "__main__":
    sys.exit(main(sys.argv[1:]))
