"""Base of tests that send requests which crash the servers that run them."""

import threading
import time

from world_test_case import WorldTestCase

# `contact-ms` of the users' platform: within this time after the third crash,
# all instances must have stopped sending the content.
CONTACT_S = 4.0
CRASHES = 3
ALLOWED_SENDS = 3
LENGTH_S = 14.0
PAUSE_S = 0.25
INNOCENT_CALLERS = 6
# The store drops the entry of a silent server after three heartbeats of 1.2 s,
# the first of which may be up to one old, and tells this up to 0.8 s later.
LAPSE_S = 5.4


class CrashingTestCase(WorldTestCase):
    instances = 3
    ledger_servers = 8

    def call_for(self, seconds, kind, targets):
        """Sends each target in turn at each instance; returns the answers."""
        answers, end = [], time.monotonic() + seconds

        def call(number):
            while time.monotonic() < end:
                for n, target in enumerate(targets):
                    instance = self.world.instances[
                        (n + number) % self.instances]
                    begun = time.monotonic()
                    answer = self.world.call(kind, instance, target=target)
                    answers.append((target, answer, time.monotonic() - begun))
                    time.sleep(PAUSE_S)

        callers = [threading.Thread(target=call, args=(n,))
                   for n in range(self.instances)]
        for it in callers:
            it.start()
        for it in callers:
            it.join()
        return answers

    def assert_no_longer_sent(self, target):
        """At most three sends after the content has crashed three servers.

        First sends of a request count, and those that a server answers without
        a run.
        """
        crashes = self.world.history.of("crash")
        self.assertGreaterEqual(len(crashes), CRASHES)
        since = crashes[CRASHES - 1]["at"] + CONTACT_S
        late = [it["at"] - since for it in self.world.history.of("arrival")
                if it["path"] == target and it["at"] > since]
        self.assertLessEqual(len(late), ALLOWED_SENDS,
                             (len(crashes), late))

    def assert_refused_at_once(self, answers):
        """The last answers promise that the request has not run."""
        for _, answer, took_s in answers[-3 * self.instances:]:
            self.assertEqual(503, answer.status)
            self.assertGreater(float(answer.headers["Retry-After"]), 0)
            self.assertLess(took_s, 1)

    def crash_on(self, target, groups, after_s=0.0):
        for it in self.world.servers:
            if it.group in groups:
                it.crashing_paths = {target}
                it.crash_after_s = after_s

    def play(self, kind, target, groups, after_s=0.0):
        """Sends a crashing content and, beside it, innocent ones."""
        self.crash_on(target, groups, after_s)
        innocent = []
        targets = ["/write/innocent-%d" % n for n in range(INNOCENT_CALLERS)]
        beside = threading.Thread(target=lambda: innocent.extend(
            self.call_for(LENGTH_S, "write", targets)))
        beside.start()
        answers = self.call_for(LENGTH_S, kind, [target])
        beside.join()
        self.assert_no_longer_sent(target)
        self.assert_refused_at_once(answers)
        self.assertEqual([200] * INNOCENT_CALLERS,
                         [it.status for _, it, _ in
                          innocent[-INNOCENT_CALLERS:]])
        self.assert_no_violations()
