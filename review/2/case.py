"""A planned stop of a gateway while requests wait there for a connection.

Callers send at-most-once requests to a service that takes 0.5 s for each. All
callers together get an answer within some 7 s, below their time budget and the
route's timeout of 8 s. One gateway gets SIGTERM.
"""

import asyncio
import pathlib
import signal
import sys

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parents[1] / "common"))
import world as w

CALLERS = 78
WORK_S = 0.5
#: No request is sent later than this after the signal.
LAST_SEND_S = 2.5
LOSS_SLACK_S = w.BOUNDS["loss-slack-ms"] / 1000
GRACE_S = w.BOUNDS["grace-s"]


async def case(world):
    await world.add_service("order-book", 2, 6, slots=3, queue=12,
                            work_s=WORK_S)
    world.add_route("hold", "order-book", kind="unsafe", timeout_ms=8000,
                    target_ms=500)
    await world.publish()
    await world.start_gateways()
    await asyncio.sleep(5)  # contact-ms after the start
    addresses = await world.directory()
    if len(addresses) != len(world.gateways):
        raise w.CannotRun("the directory names %d gateways" % len(addresses))
    stopping = asyncio.Event()

    async def call(n):
        # A caller keeps its connection, and picks another address after a
        # close.
        address = addresses[n % len(addresses)]
        caller = w.Caller(world, address)
        while not stopping.is_set():
            try:
                await caller.send("/hold/%d" % n, "POST", b"bale %d" % n)
            except OSError:
                await asyncio.sleep(0.1)
            if not caller.is_open():
                address = addresses[(addresses.index(address) + 1)
                                    % len(addresses)]
                caller.close()
                caller.address = address
        caller.close()

    callers = [asyncio.create_task(call(n)) for n in range(CALLERS)]
    await asyncio.sleep(8)
    gateway = world.gateways[0]
    stopped_at = None
    if w.TROUBLE:
        gateway.signal(signal.SIGTERM)
        stopped_at = world.record.of("signal")[0]["t"]
    await asyncio.sleep(LAST_SEND_S)
    stopping.set()
    await asyncio.gather(*callers)
    return judge(world, gateway, stopped_at)


def judge(world, gateway, stopped_at):
    runs = {it["id"] for it in world.record.of("run")}
    sent = {it["id"]: it for it in world.record.of("sent")}
    broken = []
    for it in world.record.of("answer"):
        request = sent[it["id"]]
        if it["status"] == 0 and it["id"] not in runs and (
                it["t"] - request["t"] > LOSS_SLACK_S):
            broken.append(
                "LOST: request %s, sent to %s at %.2f s, has reached no server,"
                " and its connection ended without an answer after %.2f s" %
                (it["id"], request["to"], request["t"], it["t"] - request["t"]))
    return broken


w.main(case, gateways=3)
