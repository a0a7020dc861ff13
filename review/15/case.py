"""Requests at an instance whose links to all servers were cut for a while."""

import os
import pathlib
import sys
import threading
import time

FOLDER = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent / "common3"))

import deployment  # noqa: E402
import directory_client  # noqa: E402

BEFORE_S, CUT_S, AFTER_S = 8.0, 5.0, 30.0
CUT_MODE = os.environ.get("CUT", "silent")
# A request takes less than the route's target latency.
WORK_S = float(os.environ.get("WORK_S", "0.42"))
TARGET_LATENCY_MS = 500
MAX_ATTEMPTS = 2
CONFIG_APPLY_S = deployment.BOUNDS["config-apply-ms"] / 1000
NEW_ROUTE_EACH_S = 5.0
LOOK_EACH_S = 1.0
CALLERS = 48
PAUSE_S = 0.4
ALLOWED = 3


class Deployment(deployment.Deployment):
    def republish(self):
        for it in self.config["routes"]:
            it["max-attempts"] = MAX_ATTEMPTS
            it["target-latency-ms"] = TARGET_LATENCY_MS
        super().republish()


class Looks(threading.Thread):
    """The requests that are sent directly to one instance, on the route that
    was added last."""

    def __init__(self, world, instance, until):
        super().__init__(daemon=True)
        self.world, self.instance, self.until = world, instance, until

    def run(self):
        due = time.monotonic()
        while due < self.until:
            time.sleep(max(0, due - time.monotonic()))
            self.world.call(self.world.newest_route, self.instance)
            due += LOOK_EACH_S


def add_routes(world, until):
    """Adds a route with each version of the configuration; it is used once it
    is due everywhere."""
    count = 0
    while time.monotonic() < until:
        count += 1
        world.publish(extra=count)
        time.sleep(CONFIG_APPLY_S)
        world.newest_route = "x%d" % (count - 1)
        time.sleep(NEW_ROUTE_EACH_S - CONFIG_APPLY_S)


def play(record):
    world = Deployment(instances=4, timeout_ms=2000, linked=(0,))
    world.newest_route = "read"
    cut_off = world.instances[0]
    try:
        for n in range(2, 8):
            world.add_server("i-ledger-%d" % n, "ledger", world.zones[n % 3])
        for it in world.servers:
            it.work_s = WORK_S
        time.sleep(2)
        begun_at = time.monotonic()
        until = begun_at + BEFORE_S + CUT_S + AFTER_S
        # They begin one after the other, so that they don't ask the directory
        # at the same time.
        callers = [directory_client.Caller(
            world, n, world.instances[n % 4], (1, 3)[n % 8 // 4], until, PAUSE_S)
            for n in range(CALLERS)]
        for it in callers:
            it.start()
            time.sleep(0.8 * BEFORE_S / CALLERS)
        looks = [Looks(world, it, until) for it in world.instances]
        for it in looks:
            it.start()
        threading.Thread(target=add_routes, args=(world, until),
                         daemon=True).start()
        time.sleep(begun_at + BEFORE_S - time.monotonic())
        cut_at = time.monotonic()
        if deployment.WITH_TROUBLE:
            cut_off.links.cut(CUT_MODE)
            record.write("%s is cut off from all servers" % cut_off.name)
        time.sleep(CUT_S)
        healed_at = time.monotonic()
        if deployment.WITH_TROUBLE:
            cut_off.links.heal()
            record.write("the links are back")
        for it in callers + looks:
            it.join()
        return judge(record, world, cut_off, cut_at, healed_at)
    finally:
        world.close()


def judge(record, world, cut_off, cut_at, healed_at):
    """BUDGET: more than three requests of clients run, in one client attempt,
    on more servers than their route's `max-attempts`. Those that were sent
    before the links were back aren't counted, as servers were cut off then."""
    record.write_history(world.history, ("sent", "run", "answer"))
    sent = {it["id"]: it for it in world.history.of("sent")}
    runs = {}
    for it in world.history.of("run"):
        runs.setdefault(it["id"], {}).setdefault(it["server"], it["at"])
    counted = excused = 0
    for ident, servers in runs.items():
        if len(servers) <= MAX_ATTEMPTS:
            continue
        after = sent[ident]["at"] - healed_at
        counted += after >= 0
        excused += after < 0
        record.write("%s, sent to %s %.3f s after the links were back: ran on "
                     "%d servers" % (ident, sent[ident]["instance"], after,
                                     len(servers)))
    answers = {it["id"]: it["status"] for it in world.history.of("answer")}
    for name, begin, end in (("before the cut", 0, cut_at),
                             ("during the cut", cut_at, healed_at),
                             ("after the cut", healed_at, healed_at + AFTER_S)):
        statuses = [answers.get(it["id"]) for it in sent.values()
                    if it["instance"] == cut_off.name
                    and begin <= it["at"] < end]
        record.write("%s: %d requests at %s, %d served" % (
            name, len(statuses), cut_off.name, statuses.count(200)))
    record.write("ran on more than %d servers: %d requests of after the cut, "
                 "%d allowed; %d others" % (MAX_ATTEMPTS, counted, ALLOWED,
                                            excused))
    return deployment.BROKEN if counted > ALLOWED else deployment.HELD


deployment.run_case(FOLDER, play)
