"""A watch whose answer was lost keeps a machine on an old configuration.

The store loses some answers for a few seconds. Just before that ends, three
versions move a route from service to service. A gateway that missed one waits
for its lost answer longer than it may.
"""

import pathlib
import random
import sys
import threading
import time

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parents[1] / "common2"))
import stage  # noqa: E402

ROUNDS = 5
ROUND_S = 15.0
LOST_SHARE = 0.35  # platform_lost of the site file: x = 0.35, for_s = 4.5.
LOST_S = 4.5
CHANGES_BEFORE_END_S = (0.8, 0.45, 0.1)
CLIENTS_PER_GATEWAY = 2
PAUSE_S = 0.05
SERVICES = ("order-book-0", "order-book-1", "order-book-2", "order-book-3")
FIRST_VERSION = 7
VERSION_STEP = 3
CONTACT_S = stage.BOUNDS["contact-ms"] / 1000
APPLY_S = stage.BOUNDS["config-apply-ms"] / 1000


def service_of(version):
    """The index of the service to which this version leads."""
    return (version - FIRST_VERSION) // VERSION_STEP % len(SERVICES)


def play(trouble, record):
    rng = random.Random()
    routes = [[stage.route("hold", "/hold/", "safe", it)] for it in SERVICES]
    with stage.Stage(record, 3, routes[0],
                     [stage.service(it) for it in SERVICES]) as it:
        for name in SERVICES:
            for n in range(2):
                it.add_server("i-%s-%d" % (name, n), name, stage.ZONES[n])
        losing = threading.Event()

        def loses_answer(handler, path):
            is_lost = losing.is_set() and rng.random() < LOST_SHARE
            if is_lost:
                record.add("lost", path=path)
            return is_lost

        it.store.loses_answer = loses_answer
        it.start()
        end = time.monotonic() + ROUNDS * ROUND_S

        def call_often(gateway):
            while time.monotonic() < end:
                it.call(gateway, "GET", "/hold/2f")
                time.sleep(PAUSE_S)

        def change():
            version = FIRST_VERSION
            for n in range(ROUNDS):
                begun = time.monotonic()
                if trouble:
                    losing.set()
                record.add("losing")
                for before in CHANGES_BEFORE_END_S:
                    time.sleep(begun + LOST_S - before - time.monotonic())
                    version += VERSION_STEP
                    it.routes = routes[service_of(version)]
                    it.publish(version)
                time.sleep(max(0, begun + LOST_S - time.monotonic()))
                losing.clear()
                record.add("sound")
                time.sleep(max(0, begun + ROUND_S - time.monotonic()))

        stage.call_all([lambda g=g: call_often(g) for g in it.gateways
                        for _ in range(CLIENTS_PER_GATEWAY)] + [change])
    return findings(record)


def findings(record):
    """CONFIG: requests later than `config-apply-ms` after the ack of a version.

    Counted are requests sent while the store has been sound for `contact-ms`.
    """
    services = {"i-" + it: n for n, it in enumerate(SERVICES)}
    acks = [(it["at"], it["version"]) for it in record.of("config")]
    calm, since = [], 0.0
    for it in record.events:
        if it["kind"] == "losing" and since is not None:
            calm.append((since, it["at"]))
            since = None
        elif it["kind"] == "sound":
            since = it["at"] + CONTACT_S
    if since is not None:
        calm.append((since, float("inf")))
    sent = {it["id"]: it for it in record.of("sent")}
    stale = []
    for run in record.of("run"):
        request = sent[run["id"]]
        at = request["at"]
        if not any(begin <= at < end for begin, end in calm):
            continue
        due = max((version for when, version in acks if when + APPLY_S < at),
                  default=FIRST_VERSION)
        allowed = {service_of(version) for when, version in acks
                   if version >= due and when <= run["at"]}
        used = services[run["server"].rsplit("-", 1)[0]]
        if used not in allowed:
            stale.append((at, request, run, due))
    if not stale:
        return []
    at, request, run, due = stale[0]
    return ["CONFIG: %d requests were run by the service of an older version; "
            "the first, %s, was sent to %s at %.3f s and run by %s, though "
            "version %d had been acknowledged %.2f s before"
            % (len(stale), request["id"], request["gateway"], at,
               run["server"], due, at - max(
                   when for when, version in acks if version == due))]


stage.main(__file__, play)
