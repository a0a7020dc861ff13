"""Base of tests in which one gateway process loses its links to all servers
while its callers ask for the same thing again and again."""

import threading
import time

from world_test_case import WorldTestCase

# `contact-ms` of the users' platform: from so long after the cut began or ended,
# callers of the instance must be served.
CONTACT_S = 4.0
MIN_SERVED_SHARE = 0.9


class RepeatedContentCase(WorldTestCase):
    """One of four instances is cut off while callers there ask for one thing.

    Callers of the others ask for the same thing, or for others at the same
    servers.
    """

    instances = 4
    linked = (0,)
    ledger_servers = 5
    CALLERS = 12  # At each instance.
    PAUSE_S = 0.3
    CUT_S = 8.0
    TARGET = "/read/popular"

    def setUp(self):
        super().setUp()
        for it in self.servers_of("ledger"):
            it.work_s = 0.03
        time.sleep(1.5)  # Until the instances know each other.

    def call(self, number, is_elsewhere, until):
        instance = self.world.instances[number % self.instances]
        target = self.TARGET if is_elsewhere or number % self.instances == 0 \
            else None
        while time.monotonic() < until:
            self.world.call("read", instance, target=target)
            time.sleep(self.PAUSE_S)

    def served_at_cut(self, begin, end):
        """Number of tries at the instance that is cut off, and of served."""
        statuses = {it["id"]: it["status"]
                    for it in self.world.history.of("answer")}
        tries = [statuses.get(it["id"], 0)
                 for it in self.world.history.of("sent")
                 if begin <= it["at"] < end and it["instance"] == "gw-0"]
        return len(tries), tries.count(200)

    def play(self, mode, is_elsewhere):
        begun = time.monotonic()
        until = begun + 2 + self.CUT_S + 2 * CONTACT_S
        callers = [threading.Thread(target=self.call,
                                    args=(n, is_elsewhere, until))
                   for n in range(self.CALLERS * self.instances)]
        for it in callers:
            it.start()
        time.sleep(2)
        cut_at = time.monotonic()
        self.world.instances[0].links.cut(mode)
        time.sleep(self.CUT_S)
        healed_at = time.monotonic()
        self.world.instances[0].links.heal()
        for it in callers:
            it.join()
        for name, begin, end in (
                ("cut", cut_at + CONTACT_S, healed_at),
                ("healed", healed_at + CONTACT_S, until - 1)):
            tries, served = self.served_at_cut(begin, end)
            self.assertGreater(tries, 30, name)
            self.assertGreaterEqual(served, MIN_SERVED_SHARE * tries, name)
        self.assert_no_violations()
