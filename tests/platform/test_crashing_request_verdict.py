"""Runs whole gateway processes while a request crashes servers, and other
servers or instances hide this."""

import time
import unittest

from crashing_test_case import LAPSE_S, LENGTH_S, CrashingTestCase

# In all above `contact-ms`, so that what the second and the third failure domain
# send counts.
CALLS_PER_DOMAIN = 8
CALL_PAUSE_S = 1.0


class FailingServersTest(CrashingTestCase):
    def play_beside_failures(self, kind, status):
        """A third of the servers fail most requests without running them."""
        for it in self.servers_of("ledger")[::3]:
            it.unrun_share, it.unrun_status = 0.9, status
        target = "/%s/crashing" % kind
        self.crash_on(target, ["ledger"])
        self.call_for(2 * LENGTH_S, kind, [target])
        self.assert_no_longer_sent(target)
        self.assert_no_violations()

    def test_stops_sending_at_most_once_requests_that_some_servers_fail(self):
        """Guards against errors that clear a content that crashes servers."""
        self.play_beside_failures("write", 500)

    def test_stops_sending_idempotent_requests_that_some_servers_fail(self):
        """Guards against errors that clear a content that is retried."""
        self.play_beside_failures("read", 500)

    def test_stops_sending_requests_that_some_servers_answer_unsigned(self):
        """Guards against unproven successes that clear a content."""
        self.play_beside_failures("write", 200)


class LeavingCallersTest(CrashingTestCase):
    def play_with_leaving_callers(self, kind, target, groups):
        """Servers fall silent, and callers leave before their deadline."""
        for it in self.world.servers:
            it.down_s, it.lapse_s, it.ends_silently = 3.0, LAPSE_S, True
        self.crash_on(target, groups)
        end = time.monotonic() + 2 * LENGTH_S
        while time.monotonic() < end:
            for it in self.world.instances:
                self.world.call(kind, it, target=target, patience_s=0.8)
                time.sleep(CALL_PAUSE_S)
        self.assert_no_longer_sent(target)
        self.assert_no_violations()

    def test_stops_sending_requests_whose_callers_leave(self):
        """Guards against runs that are forgotten when their caller leaves."""
        self.play_with_leaving_callers("write", "/write/crashing", ["ledger"])

    def test_stops_sending_queries_whose_callers_leave(self):
        """Guards against the same with a query, which crashes each shard."""
        target = "/all/crashing"
        self.play_with_leaving_callers("all", target, self.world.shards)


class SeparateFailureDomainsTest(CrashingTestCase):
    instances = 6

    def setUp(self):
        """Instances of different failure domains never hear of each other."""
        super().setUp()
        firsts = {it.zone: it.ip for it in reversed(self.world.instances)}
        for it in self.world.instances:
            it.stop()
            it.write_settings(seeds=["%s:1" % firsts[it.zone]])
        for it in self.world.instances:
            it.start()
        for it in self.world.instances:
            self.assertTrue(self.world.wait(it.ready), it.name)

    def play_in_turn(self, kind):
        """The content comes to one failure domain after the other."""
        target = "/%s/crashing" % kind
        self.crash_on(target, ["ledger"])
        for zone in self.world.zones:
            instances = [it for it in self.world.instances if it.zone == zone]
            for n in range(CALLS_PER_DOMAIN):
                self.world.call(kind, instances[n % len(instances)],
                                target=target)
                time.sleep(CALL_PAUSE_S)
        self.assert_no_longer_sent(target)
        self.assert_no_violations()

    def test_stops_sending_at_most_once_requests(self):
        """Guards against instances that each learn by crashes of their own."""
        self.play_in_turn("write")

    def test_stops_sending_idempotent_requests(self):
        """Guards against the same where each request is retried."""
        self.play_in_turn("read")


if __name__ == "__main__":
    unittest.main()
