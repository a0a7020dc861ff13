"""Guards against broken guarantees when instances die, pause or leave."""

import time
import unittest

import support


class InstanceLossTest(support.ClusterTest):

    def run_with(self, seconds, disturb):
        load = self.cluster.start_load(
            "load", 40, seconds, deadline_ms=1000,
            **self.cluster.operation_options(0.3))
        time.sleep(1)
        disturb()
        load.report(30)
        return self.judge()

    def test_kill(self):
        def disturb():
            self.cluster.kill_instance("entry-1")
        history = self.run_with(7, disturb)
        # The other replica's owner or the new owner serves every shard again.
        late = history.queries[-20:]
        self.assertEqual({0}, {it["code"] for it in late})

    def test_kill_and_restart_at_a_new_address(self):
        """An instance once crashed when a restarted peer connected."""
        def disturb():
            for name in ("entry-1", "entry-2"):
                self.cluster.kill_instance(name)
                time.sleep(0.5)
                self.cluster.restart_instance(name)
                time.sleep(3)
        self.run_with(10, disturb)
        self.cluster.wait_ready(timeout=5)

    def test_pause_and_resume(self):
        def disturb():
            self.cluster.pause_instance("entry-1")
            time.sleep(4)
            self.cluster.resume_instance("entry-1")
        self.run_with(8, disturb)

    def test_graceful_stop_cuts_nothing(self):
        def disturb():
            code = self.cluster.stop_instance("entry-1")
            self.assertEqual(0, code)
        self.run_with(6, disturb)


if __name__ == "__main__":
    unittest.main()
