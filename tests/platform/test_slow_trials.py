"""Runs whole gateway processes of which one lost its links for a while, and whose
requests take longer than it waits before it hands them over."""

import threading
import time
import unittest

from world_test_case import WorldTestCase

# `contact-ms` of the users' platform: so long after the links are back, the
# instance must serve its callers itself.
CONTACT_S = 4.0
MAX_ATTEMPTS = 1


class SlowTrialsTest(WorldTestCase):
    instances = 4
    linked = (0,)
    ledger_servers = 8
    WORK_S = 0.27  # Below the target latency of 0.3 s.
    CALLERS = 8  # At each instance.
    PAUSE_S = 0.4
    BEFORE_S, CUT_S, AFTER_S = 3.0, 5.0, 12.0

    def setUp(self):
        super().setUp()
        for it in self.world.servers:
            it.work_s = self.WORK_S
        self.world.version += 2
        self.world.config["version"] = self.world.version
        for it in self.world.config["routes"]:
            it["max-attempts"] = MAX_ATTEMPTS
        self.world.republish()
        # Until this is in force and the instances know each other.
        time.sleep(4)

    def call(self, number, until):
        while time.monotonic() < until:
            self.world.call("read",
                            self.world.instances[number % self.instances])
            time.sleep(self.PAUSE_S)

    def servers_by_request(self, since):
        sent = {it["id"]: it["at"] for it in self.world.history.of("sent")}
        servers = {}
        for it in self.world.history.of("run"):
            if sent[it["id"]] >= since:
                servers.setdefault(it["id"], set()).add(it["server"])
        return servers

    def play(self, mode):
        until = (time.monotonic() + self.BEFORE_S + self.CUT_S + self.AFTER_S)
        callers = [threading.Thread(target=self.call, args=(n, until))
                   for n in range(self.CALLERS * self.instances)]
        for it in callers:
            it.start()
        time.sleep(self.BEFORE_S)
        instance = self.world.instances[0]
        instance.links.cut(mode)
        time.sleep(self.CUT_S)
        self.assertNotIn(instance.address("front"),
                         self.world.addresses(self.world.instances[1]))
        healed_at = time.monotonic()
        instance.links.heal()
        time.sleep(CONTACT_S)
        named = self.world.addresses(self.world.instances[1])
        for it in callers:
            it.join()
        self.assertEqual({}, {
            ident: it for ident, it in
            self.servers_by_request(healed_at).items()
            if len(it) > MAX_ATTEMPTS})
        self.assertIn(instance.address("front"), named)
        self.assert_no_violations()

    def test_keeps_to_the_servers_of_a_route_after_links_hung(self):
        """Guards against a request that runs at the instance which tried it and
        at the one it was handed to, on the maximum of servers each, and against
        an instance that stays cut off because its servers answer late."""
        self.play("silent")

    def test_keeps_to_the_servers_of_a_route_after_requests_were_reset(self):
        """Guards against the same after connections that were accepted."""
        self.play("abort")


if __name__ == "__main__":
    unittest.main()
