"""Guards against broken guarantees when servers drain, crash or turn cold."""

import time
import unittest

import support


class ServerLossTest(support.ClusterTest):

    # Cold allowances are those of the preset, which the document publishes.
    options = {"backend": {"restart_ms": 500}}

    def run_with(self, seconds, disturb):
        load = self.cluster.start_load(
            "load", 60, seconds, deadline_ms=1000,
            **self.cluster.operation_options(0.2))
        time.sleep(1)
        disturb()
        load.report(30)
        return self.judge()

    def test_drain(self):
        def disturb():
            self.cluster.control_servers(servers=["lots-00-a"],
                                         state="draining")
            time.sleep(1)
            self.cluster.set_server_leaving("lots-00-a", True)
        history = self.run_with(7, disturb)
        self.assertEqual({0}, {it["code"] for it in history.queries[-50:]})

    def test_crash_and_cold_return(self):
        def disturb():
            for name in ("lots-00-a", "lots-03-a", "lots-01-b"):
                self.cluster.control_servers(servers=[name], state="down")
                time.sleep(1)
                self.cluster.control_servers(servers=[name], state="ok")
        # Five seconds of load are left after the last return.
        history = self.run_with(11, disturb)
        warmed = {it["server"] for it in history.state
                  if it["reason"] == "warmed"}
        self.assertEqual({"lots-00-a", "lots-03-a", "lots-01-b"}, warmed)

    def test_silently_cold(self):
        def disturb():
            self.cluster.control_servers(failure_domain="fd-a", state="cold")
        self.run_with(5, disturb)


if __name__ == "__main__":
    unittest.main()
