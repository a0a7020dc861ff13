"""Guards against queries and operations that fail end to end."""

import unittest

import support
from support import harness


class QueryTest(support.ClusterTest):

    def test_every_instance_gives_whole_answers(self):
        for name in self.cluster.instances:
            status, answer = self.cluster.query(name, "mine")
            self.assertEqual((200, 0), (status, answer["code"]), answer)
            self.assertEqual(self.cluster.shards(),
                             sorted(answer["coverage"]["included"]))
            self.assertEqual(
                {"mine"}, {hit["content"] for result in answer["results"]
                           for hit in result["hits"]})

    def test_load_keeps_all_guarantees(self):
        report = self.cluster.load("load", 40, 5, deadline_ms=1000,
                                   **self.cluster.operation_options(0.3))
        self.assertGreater(report["whole"], 0)
        self.assertGreater(report["operations"]["outcomes"].get("ran", 0), 0)
        self.judge()

    def test_operation_runs_once_for_one_ticket(self):
        addresses = [it["http"] for it in self.cluster.entries.values()]
        ticket = harness.http("POST", addresses[0], "/v1/tickets",
                              {})[1]["ticket"]
        body = {"ticket": ticket, "caller": {"customer": "gaonsan"},
                "request": {"kind": "order"}, "shard": "shard-orders-00",
                "operation": {"content_id": "once"}, "deadline_ms": 2000}
        outcomes = [harness.http("POST", it, "/v1/operations", body)[1]
                    for it in addresses]
        self.assertEqual({"ran"}, {it["outcome"] for it in outcomes}, outcomes)
        self.assertEqual(1, len(self.judge().runs["once"]))


if __name__ == "__main__":
    unittest.main()
