#!/usr/bin/env python3
"""Randomized soak: gateway processes under faults from outside.

    bench/soak.py --seed 7 --seconds 20      one run
    bench/soak.py --seeds 100-149            many
    bench/soak.py --bite NAME                a fault put in on purpose: must fail
    bench/soak.py --limits 2 --restores      servers state request limits; the
                                             store comes back from copies
    bench/soak.py --announcements            servers announce that they leave,
                                             and ask to come again later
    bench/soak.py --former BUILD             each start of an instance runs this
                                             build or a former one

Connections are delayed, reset, cut one way or silenced by loopback proxies;
processes are stopped, paused, killed and restarted by signals; the store is
busy, silent, reset, compacted, or forgets entries. Faults come in series and
overlap. The promises are checked from what callers and servers have seen.
"""

import argparse
import pathlib
import random
import signal
import sys
import tempfile
import threading
import time

sys.path.insert(0, str(pathlib.Path(__file__).parents[1] / "tests/platform"))
import standin  # noqa: E402

# After a server is taken out, it gets no request later than this: the bound of
# the settings, and the time that a loaded machine adds to each step.
DRAIN_BOUND_S = 3.0
DRAIN_SLACK_S = 1.5
CALLERS = 6
PAUSE_S = (0.2, 1.5)
# What a restore has lost is written again within this time.
WRITE_AGAIN_S = 2.0
# A server that leaves announces it for so long before its end: longer than it
# may get requests.
LEAVING_S = 5.0
# Faults that began so long before an announcement may have outlasted it, and
# those that begin so long after it may have hidden or undone it.
FAULT_S = 6.0
WATCHED_S = 8.0
# Part of the calls that is answered once all faults have ended.
SERVED_AFTER = 0.9


class Soak:
    def __init__(self, seed, seconds, instances, bite, limits=0,
                 restores=False, announcements=False, former=None):
        self.random = random.Random(seed)
        self.store_kinds = ("busy", "silent", "reset", "compact", "cut",
                            "config") + (("restore", "restore") if restores
                                         else ())
        self.server_kinds = ("slow", "pause", "lose", "fail", "drain") + (
            ("leave", "turn away") * 2 if announcements else ())
        self.seconds, self.bite = seconds, bite
        self.folder = tempfile.TemporaryDirectory()
        self.world = standin.World(self.folder.name, instances=instances,
                                   shards=5, seed=seed, proxied=True,
                                   builds=(standin.BUILD, former) if former
                                   else (standin.BUILD,))
        self.stopping = threading.Event()
        self.faulty = set()
        self.lock = threading.Lock()
        self.trace = []
        self.disturbed_until = 0.0
        limiting = random.Random(seed)
        for it in limiting.sample(self.world.servers, limits):
            it.request_limit = limiting.choice((0.0, 1.0, 4.0, 10.0))

    # Faults: each begins, lasts, and is taken back.

    def connection_fault(self):
        server = self.random.choice(self.world.servers)
        mode = self.random.choice(("delay", "reset", "one-way", "silent"))
        if mode == "reset":
            server.proxy.reset()
            return "reset " + server.id, lambda: None
        if mode == "delay":
            server.proxy.delay_s = self.random.uniform(0.02, 0.2)
        else:
            server.proxy.mode = mode

        def undo():
            server.proxy.delay_s, server.proxy.mode = 0.0, "pass"
            if mode != "delay":
                server.proxy.reset()
        return "%s %s" % (mode, server.id), undo

    def process_fault(self):
        instance = self.random.choice(self.world.instances)
        if instance.name in self.faulty:
            return None
        self.faulty.add(instance.name)
        kind = self.random.choice(("pause", "kill", "term", "hup"))
        if kind == "hup":
            instance.write_settings(extra=self.random.random())
            instance.signal(signal.SIGHUP)
        elif kind == "pause":
            instance.signal(signal.SIGSTOP)
        else:
            instance.signal(signal.SIGKILL if kind == "kill"
                            else signal.SIGTERM)

        def undo():
            if kind == "pause":
                instance.signal(signal.SIGCONT)
            elif kind != "hup":
                try:
                    instance.process.wait(8)
                except standin.subprocess.TimeoutExpired:
                    self.trace.append("%s outlived its grace" % instance.name)
                    instance.stop()
                instance.start()
            self.faulty.discard(instance.name)
        return "%s %s" % (kind, instance.name), undo

    def store_fault(self):
        world = self.world
        kind = self.random.choice(self.store_kinds)
        if kind == "config":
            world.publish(extra=self.random.randrange(5))
            return "config", lambda: None
        if kind == "compact":
            world.store.compact()
            return "compact", lambda: None
        self.disturbed_until = time.monotonic() + 1e9
        if kind == "restore":
            copy = world.store.copy()

            def restore():
                world.store.restore(copy)
                time.sleep(self.random.uniform(0, WRITE_AGAIN_S))
                world.write_again()
            return "store restore", restore
        if kind == "cut":
            world.store_proxy.mode = "silent"
        else:
            world.store.mode = kind

        def undo():
            world.store.mode = "ok"
            world.store_proxy.mode = "pass"
            world.store_proxy.reset()
            # A change that was made meanwhile is known a little later.
            self.disturbed_until = time.monotonic() + 4
        return "store " + kind, undo

    def server_fault(self):
        server = self.random.choice(self.world.servers)
        kind = self.random.choice(self.server_kinds)
        if kind == "leave" and server.leaving or not server.is_up:
            return None
        if kind == "slow":
            server.work_s = 0.15
        elif kind == "pause":
            server.pause_until = time.monotonic() + 0.6
        elif kind == "lose":
            server.lose_share = 0.4
        elif kind == "fail":
            server.fail_share = 0.4
        elif kind == "leave":
            server.leaving = True
        elif kind == "turn away":
            server.retry_after_s = self.random.choice((0.7, 2.0))
        else:
            server.register("draining")

        def undo():
            server.work_s, server.lose_share, server.fail_share = 0.004, 0, 0
            if kind == "drain":
                self.world.history.add("back", server=server.id)
                server.register()
            elif kind == "turn away":
                server.retry_after_s = None
            elif kind == "leave":
                time.sleep(LEAVING_S)
                server.crash()
                server.leaving = False
        return "%s %s" % (kind, server.id), undo

    def injector(self):
        faults = (self.connection_fault, self.process_fault, self.store_fault,
                  self.server_fault)
        while not self.stopping.is_set():
            with self.lock:
                fault = self.random.choice(faults)()
                lasts = self.random.uniform(*PAUSE_S) * 2
            if fault:
                name, undo = fault
                self.trace.append("%.2f %s" % (time.monotonic(), name))
                self.stopping.wait(lasts)
                undo()
            self.stopping.wait(self.random.uniform(0, PAUSE_S[0]))

    def caller(self, number):
        choice = random.Random(number)
        while not self.stopping.is_set():
            instance = choice.choice(self.world.instances)
            host, port = instance.address("front").split(":")
            connection = standin.http.client.HTTPConnection(host, int(port),
                                                            timeout=4)
            # The connection is used until the process closes it.
            while not self.stopping.is_set():
                answer = self.world.call(
                    choice.choice(("all", "all", "read", "write")), instance,
                    connection=connection)
                if answer.status == 0:
                    break
                if answer.headers.get("Connection") == "close":
                    break
                time.sleep(choice.uniform(0, 0.05))
            connection.close()
            time.sleep(0.02)

    def late_sends(self):
        """Requests that reached a server that had been taken out."""
        found, out = [], {}
        events = sorted(self.world.history.events, key=lambda it: it["at"])
        for it in events:
            if it["kind"] == "draining":
                out[it["server"]] = it["at"]
            elif it["kind"] == "back":
                out.pop(it["server"], None)
            elif it["kind"] == "run" and it["server"] in out:
                late = it["at"] - out[it["server"]]
                if late > DRAIN_BOUND_S + DRAIN_SLACK_S and \
                        self.calm(out[it["server"]], it["at"]):
                    found.append("%s: reached %s %.1f s after its drain" % (
                        it["id"], it["server"], late))
        return found

    def calm(self, begin, end):
        """Whether no fault disturbed the store or a process in that time."""
        for line in self.trace:
            at, _, name = line.partition(" ")
            if name.startswith(("store", "pause", "kill", "term")) and \
                    begin - 4 <= float(at) <= end:
                return False
        return True

    def announcements(self):
        """What servers announced, without what faults may have hidden."""
        history = standin.History()
        sent_to = {it["id"]: it["instance"]
                   for it in self.world.history.of("sent")}
        history.events = [
            it for it in self.world.history.events
            if it["kind"] not in ("leaving", "turned_away")
            or it["server"].startswith("i-ledger") and self.was_heard(
                it["server"], sent_to[it["id"]], it["at"])]
        return history

    def was_heard(self, server, instance, when):
        for line in self.trace:
            at, _, name = line.partition(" ")
            kind = name.split(" ")[0]
            hides = (kind in ("pause", "kill", "term") and instance in name or
                     kind in ("delay", "reset", "one-way", "silent") and
                     server.split(".")[0] in name)
            if hides and when - FAULT_S <= float(at) <= when + WATCHED_S:
                return False
        return True

    def put_in_fault(self):
        """Makes the history wrong, as a broken gateway would."""
        events = self.world.history.events
        answers = [it for it in events if it["kind"] == "answer"
                   and it["status"] == 200]
        if self.bite == "twice":
            run = next(it for it in events if it["kind"] == "run"
                       and it["path"].startswith("/write/"))
            events.append(dict(run))
            if not any(it["id"] == run["id"] for it in answers):
                events.append({**answers[0], "id": run["id"],
                               "request": "write"})
        elif self.bite == "refused":
            it = next(it for it in answers if it["request"] == "write")
            it["status"] = 503
        elif self.bite == "mixed":
            it = next(it for it in answers if it["request"] == "all")
            it["body"] = it["body"][::-1]
        elif self.bite == "coverage":
            it = next(it for it in answers if it["request"] == "all")
            it["headers"]["missing-parts"] = "7"
        elif self.bite == "other":
            first, second = [it for it in answers if it["request"] == "read"][:2]
            first["body"], first["headers"] = second["body"], second["headers"]
        elif self.bite == "limit":
            it = next(it for it in events if it["kind"] == "run")
            first = min(it["at"] for it in events) - 60
            events += [{"kind": "limit", "server": it["server"], "rate": 1.0,
                        "at": first + n * 1000} for n in range(2)]
            events.append({**it, "kind": "sent", "id": "injected",
                           "instance": "none"})
            events += [{**it, "id": "injected", "at": first + 30}
                       for _ in range(20)]
        elif self.bite == "announced":
            last = max(it["at"] for it in events) + 60
            for kind, ident, at in (("leaving", "first", last),
                                    ("arrival", "late", last + 60)):
                events.append({"kind": "sent", "id": ident, "at": at,
                               "path": "/read/" + ident, "instance": "none"})
                events.append({"kind": kind, "id": ident, "at": at,
                               "server": "i-ledger-none"})
        elif self.bite == "path":
            next(it for it in events if it["kind"] == "run")["path"] += "x"
        elif self.bite == "drain":
            it = next(it for it in events if it["kind"] == "run")
            # A real drain or return of that server would end the injected one.
            events[:] = [other for other in events
                         if other["kind"] not in ("draining", "back")
                         or other["server"] != it["server"]]
            events.append({"kind": "draining", "server": it["server"],
                           "at": it["at"] - 60})
            self.trace = []

    def run(self):
        world, found = self.world, []
        try:
            if not all(world.wait(it.ready) for it in world.instances):
                return ["an instance never became ready"]
            threads = [threading.Thread(target=self.injector)
                       for _ in range(3)]
            threads += [threading.Thread(target=self.caller, args=(n,))
                        for n in range(CALLERS)]
            for it in threads:
                it.start()
            time.sleep(self.seconds)
            self.stopping.set()
            for it in threads:
                it.join()
            found += self.recovery()
            if self.bite:
                self.put_in_fault()
            found += standin.violations(world.history) + self.late_sends()
            found += standin.limit_violations(
                world.history, heard=standin.LimitsHeard(world))
            found += standin.announcement_violations(self.announcements())
            found += [it for it in self.trace if "outlived" in it]
            statuses = [it["status"] for it in world.history.of("answer")]
            print("  %d answers, %d of them 200, %d faults" % (
                len(statuses), statuses.count(200), len(self.trace)))
            return found
        finally:
            world.close()
            self.folder.cleanup()

    def recovery(self):
        """Service is back once all faults have been taken back."""
        world = self.world
        if not all(world.wait(it.ready) for it in world.instances):
            return ["an instance is not ready after the faults"]
        time.sleep(3)
        limited = all(it.request_limit is not None for it in world.servers
                      if it.group == "ledger")

        def is_served(kind, instance):
            answer = world.call(kind, instance)
            # Servers that all state limits may leave nothing but a refusal.
            return answer.status == 200 or (
                limited and kind != "all" and answer.status == 503
                and "Retry-After" in answer.headers)

        served = sum(is_served(kind, it) for it in world.instances
                     for kind in ("all", "read", "write") for _ in range(5))
        total = 15 * len(world.instances)
        if served < SERVED_AFTER * total:
            return ["%d of %d served after the faults" % (served, total)]
        newest = world.config["routes"][-1]["prefix"].strip("/")
        return ["%s doesn't have the newest version in force" % it.name
                for it in world.instances
                if newest.startswith("x")
                and world.call(newest, it).status == 404]


BITES = ("twice", "refused", "mixed", "coverage", "other", "path", "drain",
         "limit", "announced")


def main():
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--seed", type=int)
    parser.add_argument("--seeds", help="FIRST-LAST")
    parser.add_argument("--seconds", type=float, default=12)
    parser.add_argument("--instances", type=int, default=3)
    parser.add_argument("--bite", choices=BITES)
    parser.add_argument("--limits", type=int, default=0,
                        help="number of servers that state request limits")
    parser.add_argument("--restores", action="store_true",
                        help="the store comes back from copies")
    parser.add_argument("--announcements", action="store_true",
                        help="servers announce that they leave, and ask to "
                             "come again later")
    parser.add_argument("--former", type=pathlib.Path,
                        help="folder of the gateway of a former version")
    options = parser.parse_args()
    seeds = [options.seed if options.seed is not None
             else random.randrange(1 << 30)]
    if options.seeds:
        first, last = map(int, options.seeds.split("-"))
        seeds = range(first, last + 1)
    failed = 0
    for seed in seeds:
        print("seed %d" % seed, flush=True)
        found = Soak(seed, options.seconds, options.instances, options.bite,
                     options.limits, options.restores,
                     options.announcements, options.former).run()
        for it in found[:10]:
            print("  VIOLATION " + it)
        failed += bool(found)
    print("%d passed, %d failed" % (len(seeds) - failed, failed))
    return 1 if failed else 0


if __name__ == "__main__":
    sys.exit(main())
