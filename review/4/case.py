"""A request crashes each server that begins to run it, and comes again.

The other callers of the service send at-most-once requests.
"""

import asyncio
import pathlib
import sys

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parents[1] / "common"))
import world as w

LENGTH_S = 40
CRASHING = "/peek/4711"
#: The caller sends it again at this interval, at any gateway.
AGAIN_S = 2.0
BUDGET_MS = 2000
CALLERS = 12
CONTACT_S = w.BOUNDS["contact-ms"] / 1000
ALLOWED_RETRIES = 3


async def case(world):
    await world.add_service("order-book", 8, 96, slots=6, queue=24,
                            work_s=0.12)
    for it in world.servers:
        it.crashes_on = lambda method, path: w.TROUBLE and path == CRASHING
    world.add_route("peek", "order-book", kind="safe", timeout_ms=8000)
    world.add_route("hold", "order-book", kind="unsafe", timeout_ms=8000)
    await world.publish()
    await world.start_gateways()
    await asyncio.sleep(5)  # contact-ms after the start
    addresses = await world.directory()
    ends = asyncio.get_running_loop().time() + LENGTH_S

    async def send_again():
        n = 0
        while asyncio.get_running_loop().time() < ends:
            caller = w.Caller(world, addresses[n % len(addresses)])
            await caller.send(CRASHING, "GET", budget_ms=BUDGET_MS)
            caller.close()
            n += 1
            await asyncio.sleep(AGAIN_S)

    async def call(n):
        caller = w.Caller(world, addresses[n % len(addresses)])
        while asyncio.get_running_loop().time() < ends:
            await caller.send("/hold/%d" % n, "POST", b"bale %d" % n)
            await asyncio.sleep(0.1)
        caller.close()

    await asyncio.gather(send_again(), *(call(n) for n in range(CALLERS)))
    return judge(world)


def judge(world):
    crashes = world.record.of("crash")
    if len(crashes) < 3:
        return []
    since = crashes[2]["t"] + CONTACT_S
    former, retries = set(), []
    for it in world.record.of("run"):
        if it["path"] == CRASHING:
            if it["id"] in former and it["t"] > since:
                retries.append(it)
            former.add(it["id"])
    crashing = {it["id"] for it in world.record.of("sent")
                if it["path"] == CRASHING}
    lost = [it for it in world.record.of("answer") if it["status"] == 502
            and it["t"] > since and it["id"] not in crashing]
    if len(retries) <= ALLOWED_RETRIES:
        return []
    return ["BUDGET: %s had crashed three servers at %.2f s, and later than "
            "%.0f s after that has reached servers in %d retries of gateways; "
            "%d servers have crashed in all" %
            (CRASHING, crashes[2]["t"], CONTACT_S, len(retries), len(crashes)),
            "of the other callers' requests, %d were cut meanwhile by the "
            "crashes and got 502" % len(lost)]


w.main(case, gateways=3)
