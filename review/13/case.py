"""An instance is cut off from all servers while callers ask for one thing."""

import os
import pathlib
import sys
import time

FOLDER = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent / "common3"))

import deployment  # noqa: E402
import directory_client  # noqa: E402

CONTACT_S = deployment.BOUNDS["contact-ms"] / 1000
CUT_S = 8.0
AFTER_S = 6.0
CUT_MODE = os.environ.get("CUT", "silent")
CALLERS = 64
PAUSE_S = 0.4


def play(record):
    world = deployment.Deployment(instances=4, timeout_ms=2000, linked=(0,))
    cut_off = world.instances[0]
    try:
        for n in range(2, 5):
            world.add_server("i-ledger-%d" % n, "ledger", world.zones[n % 3])
        for it in world.servers:
            it.work_s = 0.03
        time.sleep(2)
        until = time.monotonic() + 6 + CUT_S + AFTER_S
        # Without a target, each request has a path of its own.
        target = os.environ.get("TARGET", "/read/popular") or None
        callers = [directory_client.Caller(
            world, n, world.instances[n % 4], (1, 3)[n % 8 // 4], until, PAUSE_S,
            target) for n in range(CALLERS)]
        for it in callers:
            it.start()
        time.sleep(6)
        cut_at = time.monotonic()
        if deployment.WITH_TROUBLE:
            cut_off.links.cut(CUT_MODE)
            record.write("%s is cut off from all servers" % cut_off.name)
        time.sleep(CUT_S)
        healed_at = time.monotonic()
        cut_off.links.heal()
        record.write("the links are back")
        for it in callers:
            it.join()
        return judge(record, world, callers, cut_off, cut_at, healed_at)
    finally:
        world.close()


def judge(record, world, callers, cut_off, cut_at, healed_at):
    """RECOVER: from `contact-ms` after the cut began, first tries at the
    machines that are cut off are served less than two thirds as often as those
    at the others, and more than 10 + 1 in 50 of all first tries fail there."""
    record.write_history(world.history, ("sent", "run", "answer"))
    calls = sorted((it for caller in callers for it in caller.calls),
                   key=lambda it: it[1])

    def count(begin, end, is_cut):
        statuses = [status for name, at, status in calls if begin <= at < end
                    and (name == cut_off.name) == is_cut]
        return len(statuses), statuses.count(200)

    for name, begin, end in (
            ("before the cut", cut_at - 4, cut_at),
            ("first %g s of the cut" % CONTACT_S, cut_at, cut_at + CONTACT_S),
            ("rest of the cut", cut_at + CONTACT_S, healed_at),
            ("after the cut", healed_at, healed_at + AFTER_S)):
        record.write("%s: at %s %d tries, %d served; at the others %d, %d" % (
            name, cut_off.name, *count(begin, end, True),
            *count(begin, end, False)))
    tries, served = count(cut_at + CONTACT_S, healed_at, True)
    others, others_served = count(cut_at + CONTACT_S, healed_at, False)
    failed = tries - served
    allowed = 10 + (tries + others) / 50
    record.write("failed at %s: %d, allowed %.1f" % (
        cut_off.name, failed, allowed))
    is_broken = (failed > allowed and others_served > 0 and
                 served / tries < 2 / 3 * others_served / others)
    return deployment.BROKEN if is_broken else deployment.HELD


deployment.run_case(FOLDER, play)
