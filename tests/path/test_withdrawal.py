"""Guards against traffic under a former selector, and early claims."""

import time
import unittest

import support
from support import harness


class WithdrawalTest(support.ClusterTest):

    def complete(self, version):
        answers = [self.cluster.admin(
            name, f"/v1/withdrawal?version={version}")[1]
            for name in self.cluster.instances]
        return harness.now_us() if all(
            it["complete"] for it in answers) else None

    def test_domain_out_completes_and_stays_silent(self):
        load = self.cluster.start_load("load", 30, 8, deadline_ms=1000)
        time.sleep(1)
        self.cluster.set_domain("fd-a", "out")
        version = self.cluster.document["version"]
        claimed = harness.wait_until(lambda: self.complete(version), 10,
                                     "complete withdrawal")
        load.report(30)
        history = self.judge()
        late = [it for it in history.requests
                if it["fd"] == "fd-a" and it["t0"] > claimed]
        self.assertEqual([], late)

    def test_version_that_is_not_in_force_is_not_complete(self):
        """Instances once lost the query part and reported on their own."""
        harness.wait_until(lambda: self.complete(1), 10, "first claim")
        self.assertIsNone(self.complete(2))
        answer = self.cluster.admin("entry-0", "/v1/withdrawal?version=2")[1]
        self.assertEqual(2, answer["version"])

    def test_denied_caller_runs_nothing(self):
        address = self.cluster.entries["entry-0"]["http"]
        status, answer = harness.http("POST", address, "/v1/query", {
            "caller": {"customer": "other"}, "request": {"kind": "search"},
            "query": {"content_id": "denied"}, "deadline_ms": 500,
            "min_coverage": 0})
        self.assertEqual((403, 200), (status, answer["code"]))
        self.assertNotIn("denied", self.judge().runs)

    def test_invalid_document_changes_nothing(self):
        self.cluster.document["version"] += 1
        self.cluster.document["selectors"][0]["targets"] = "group in ("
        self.cluster.publish(rejected=True)

        def rejected(name):
            events = self.cluster.admin(name, "/v1/audit?after=0")[1]["events"]
            return any(it["kind"] == "config_rejected" for it in events)
        harness.wait_until(
            lambda: any(map(rejected, self.cluster.instances)), 10,
            "rejection")
        for name in self.cluster.instances:
            self.assertEqual(1, self.cluster.query(name)[1]["config_version"])


if __name__ == "__main__":
    unittest.main()
