"""Shared by the tests of whole processes: a small cluster, its judgement."""

import pathlib
import sys
import unittest

sys.path.insert(0, str(pathlib.Path(__file__).parents[2] / "bench"))
import check_history  # noqa: E402,F401
import harness  # noqa: E402

SERVICES = 6


class ClusterTest(unittest.TestCase):
    """Each test gets three instances, one per failure domain."""

    options = {}

    def setUp(self):
        self.cluster = harness.Cluster(**{
            "instances": 3, "services": SERVICES, "groups": ("lots", "orders"),
            "settings": {"shutdown_linger_ms": 1000, "address_ttl_ms": 800},
            **self.options})
        self.addCleanup(self.cluster.close)
        self.cluster.start()
        self.cluster.wait_ready(timeout=15)
        self.cluster.wait_serving(timeout=15)

    def judge(self):
        """Completes the histories; no guarantee may be broken.

        No instance may have ended by itself either.
        """
        for name, process in self.cluster.instances.items():
            self.assertTrue(process.running(), f"{name} ended by itself")
        self.cluster.stop_standins()
        history = check_history.History.read(self.cluster.histories())
        found = {name: it[:3] for name, it in
                 check_history.check(history).items() if it}
        self.assertEqual({}, found)
        return history
