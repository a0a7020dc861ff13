#!/usr/bin/env python3
"""Random plays of a request that crashes the servers that run it.

    bench/crash_plays.py --seed 7          one play
    bench/crash_plays.py --seeds 100-149   many

Each play draws how the servers end and come back, whether some servers fail
requests without running them, who sends the content and how long it waits,
whether failure domains hear of each other, and which instances are paused,
killed or stopped meanwhile. All sends of the content count that reach a server
later than `CONTACT_S` after it has crashed the third one, except those of
instances that were disturbed within `DISTURBED_S` before.
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
from crashing_test_case import (  # noqa: E402
    ALLOWED_SENDS, CONTACT_S, CRASHES, LAPSE_S)

LEDGER_SERVERS = 9
LENGTH_S = 24.0
# After a fault, the sends of an instance don't count for this long.
DISTURBED_S = CONTACT_S + 1.0


class Play:
    def __init__(self, seed):
        draw = self.random = random.Random(seed)
        self.kind = draw.choice(("read", "write", "all"))
        self.target = "/%s/crashing" % self.kind
        self.instances = draw.choice((3, 6))
        self.separated = draw.random() < 0.25
        self.callers = draw.randrange(1, 5)
        self.pause_s = draw.uniform(0.2, 2.0)
        self.patience_s = draw.choice((None, None, 0.8))
        self.innocents = draw.choice((0, 4))
        self.server = {
            "down_s": draw.choice((0.1, 1.0, 2.0, 7.0)),
            "ends_silently": draw.random() < 0.3,
            "crash_after_s": draw.choice((0.0, 0.05, 0.4)),
            "lapse_s": draw.choice((None, LAPSE_S))}
        self.failing = draw.choice((0, 0, 3))
        self.unrun_status = draw.choice((200, 404, 500, 503))
        self.faults = draw.choice(("", "", "pause", "kill", "term"))
        self.stopping = threading.Event()
        # Name of an instance, begin and end of a fault.
        self.disturbed = []

    def describe(self):
        return ", ".join("%s %s" % (name, getattr(self, name)) for name in (
            "kind", "instances", "separated", "callers", "pause_s",
            "patience_s", "innocents", "server", "failing", "unrun_status",
            "faults"))

    def prepare(self, world):
        for n in range(len([it for it in world.servers
                            if it.group == "ledger"]), LEDGER_SERVERS):
            world.add_server("i-ledger-%d" % n, "ledger", world.zones[n % 3])
        groups = world.shards if self.kind == "all" else ["ledger"]
        crashing = [it for it in world.servers if it.group in groups]
        for it in crashing:
            it.crashing_paths = {self.target}
            for name, value in self.server.items():
                setattr(it, name, value)
        for it in crashing[:self.failing]:
            it.unrun_share, it.unrun_status = 0.9, self.unrun_status
        if self.separated:
            firsts = {it.zone: it.ip for it in reversed(world.instances)}
            for it in world.instances:
                it.stop()
                it.write_settings(seeds=["%s:1" % firsts[it.zone]])
            for it in world.instances:
                it.start()

    def call(self, world, number, target, patience_s=None):
        draw = random.Random(number)
        while not self.stopping.wait(self.pause_s * draw.uniform(0.5, 1.5)):
            world.call(target.split("/")[1], draw.choice(world.instances),
                       target=target, patience_s=patience_s)

    def disturb(self, world):
        while self.faults and not self.stopping.wait(3.0):
            instance = self.random.choice(world.instances)
            begin = time.monotonic()
            if self.faults == "pause":
                instance.signal(signal.SIGSTOP)
                self.stopping.wait(self.random.uniform(0.2, 2.0))
                instance.signal(signal.SIGCONT)
            else:
                instance.signal(signal.SIGKILL if self.faults == "kill"
                                else signal.SIGTERM)
                instance.process.wait(10)
                instance.start()
            self.disturbed.append((instance.name, begin, time.monotonic()))

    def is_undisturbed(self, instance, when):
        return not any(name == instance and begin <= when <= end + DISTURBED_S
                       for name, begin, end in self.disturbed)

    def late_sends(self, history):
        """How many sends were too late, and how many servers ended."""
        crashes = history.of("crash")
        if len(crashes) < CRASHES:
            return 0, len(crashes)
        since = crashes[CRASHES - 1]["at"] + CONTACT_S
        sender = {it["id"]: it["instance"] for it in history.of("sent")}
        return sum(it["path"] == self.target and it["at"] > since
                   and self.is_undisturbed(sender[it["id"]], it["at"])
                   for it in history.of("arrival")), len(crashes)

    def run(self):
        with tempfile.TemporaryDirectory() as folder:
            world = standin.World(folder, instances=self.instances)
            try:
                self.prepare(world)
                if not all(world.wait(it.ready) for it in world.instances):
                    return ["an instance never became ready"]
                time.sleep(1.5)
                threads = [threading.Thread(target=self.disturb, args=(world,))]
                threads += [threading.Thread(target=self.call, args=(
                    world, n, self.target, self.patience_s))
                    for n in range(self.callers)]
                threads += [threading.Thread(target=self.call, args=(
                    world, 100 + n, "/write/innocent-%d" % n))
                    for n in range(self.innocents)]
                for it in threads:
                    it.start()
                time.sleep(LENGTH_S)
                self.stopping.set()
                for it in threads:
                    it.join()
                late, ended = self.late_sends(world.history)
                print("  %d servers ended, %d sends late" % (ended, late))
                found = standin.violations(world.history)
                if late > ALLOWED_SENDS:
                    found.append("%d sends, %d allowed" % (late, ALLOWED_SENDS))
                return found
            finally:
                world.close()


def main():
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--seed", type=int)
    parser.add_argument("--seeds", help="FIRST-LAST")
    options = parser.parse_args()
    seeds = [options.seed if options.seed is not None
             else random.randrange(1 << 30)]
    if options.seeds:
        first, last = map(int, options.seeds.split("-"))
        seeds = range(first, last + 1)
    failed = 0
    for seed in seeds:
        play = Play(seed)
        print("seed %d: %s" % (seed, play.describe()), flush=True)
        found = play.run()
        for it in found[:10]:
            print("  VIOLATION " + it, flush=True)
        failed += bool(found)
    print("%d passed, %d failed" % (len(seeds) - failed, failed))
    return 1 if failed else 0


if __name__ == "__main__":
    sys.exit(main())
