"""Guards against stand-ins that let a broken daemon pass.

Without instances: the limits, states and answers that the other tests and the
scenarios rely on.
"""

import http.client
import json
import threading
import unittest

from support import harness


def search(address, shard, content="c", body=None, version=1, request="r"):
    """Status, body and refusal reason of one search; None when cut."""
    connection = http.client.HTTPConnection(address, timeout=5)
    try:
        connection.request(
            "POST", f"/v1/shards/{shard}/search",
            json.dumps(body or {"content_id": content}),
            {"x-request-id": request, "x-index-version": str(version),
             "x-deadline-ms": "2000"})
        answer = connection.getresponse()
        return (answer.status, json.loads(answer.read()),
                answer.getheader("x-reason"))
    except (OSError, http.client.HTTPException):
        return None
    finally:
        connection.close()


class StandinTest(unittest.TestCase):

    def setUp(self):
        self.cluster = harness.Cluster(
            instances=0, services=3, groups=("lots",),
            backend={"service_ms": 30, "sigma": 0.01, "restart_ms": 300})
        self.addCleanup(self.cluster.close)
        self.cluster.start()
        self.servers = self.cluster.backends.addresses["servers"]
        self.server, self.shard = self.servers["lots-00-a"], "shard-lots-00"

    def together(self, count):
        """Outcomes of searches that run at the same time."""
        results = []
        threads = [threading.Thread(target=lambda: results.append(
            search(self.server, self.shard))) for _ in range(count)]
        for it in threads:
            it.start()
        for it in threads:
            it.join()
        return results

    def test_search_answers_own_content(self):
        status, body, _ = search(self.server, self.shard, "mine")
        self.assertEqual(200, status)
        self.assertEqual("mine", body["hits"][0]["content"])
        self.assertEqual(1, body["index_version"])

    def test_version_or_shard_not_held(self):
        self.assertEqual(409, search(self.server, self.shard, version=9)[0])
        self.assertEqual(409, search(self.server, "shard-lots-01")[0])

    def test_sheds_above_its_slots(self):
        statuses = sorted(it[0] for it in self.together(4))
        self.assertEqual([200, 200, 503, 503], statuses)

    def test_crash_marker_closes_and_comes_back_cold(self):
        self.assertIsNone(search(self.server, self.shard, body={
            "content_id": "p", "crash_marker": True}))
        self.assertIsNone(search(self.server, self.shard))
        harness.wait_until(lambda: search(self.server, self.shard), 5,
                           "restart")
        # One slot is all that a cold server bears.
        self.together(3)
        self.assertIsNone(search(self.server, self.shard))
        self.cluster.stop_standins()
        text = self.cluster.path("servers.jsonl").read_text()
        self.assertIn('"outcome":"fell_over"', text)

    def test_silently_cold_server_sheds_first(self):
        self.cluster.control_servers(servers=["lots-00-a"], state="cold")
        statuses = sorted(it[0] for it in self.together(3))
        self.assertEqual([200, 503, 503], statuses)

    def test_draining_names_its_reason(self):
        self.cluster.control_servers(failure_domain="fd-a", state="draining")
        self.assertEqual((503, {"error": "draining"}, "draining"),
                         search(self.server, self.shard))

    def test_cancel_ends_a_search(self):
        self.cluster.control_servers(servers=["lots-00-a"], service_ms=2000)
        results = []
        thread = threading.Thread(target=lambda: results.append(
            search(self.server, self.shard, request="gone")))
        thread.start()
        harness.wait_until(
            lambda: harness.http("DELETE", self.server,
                                 "/v1/requests/gone")[0] == 200,
            5, "cancellation")
        thread.join()
        self.assertEqual(499, results[0][0])

    def test_long_poll_wakes_on_a_new_version(self):
        platform = self.cluster.platform.addresses["http"]
        results = []
        thread = threading.Thread(target=lambda: results.append(harness.http(
            "GET", platform, "/v1/config?after=1&wait_ms=10000", timeout=12)))
        thread.start()
        self.cluster.set_domain("fd-a", "out")
        thread.join()
        self.assertEqual(2, results[0][1]["version"])
        self.assertEqual(304, harness.http(
            "GET", platform, "/v1/config?after=2&wait_ms=50")[0])

    def test_stale_and_lost_platform(self):
        platform = self.cluster.platform.addresses["http"]
        self.cluster.set_domain("fd-a", "out")
        self.cluster.platform_fault(stale_versions=1)
        self.assertEqual(1, harness.http("GET", platform,
                                         "/v1/config")[1]["version"])
        self.cluster.platform_fault(down=True)
        with self.assertRaises((OSError, http.client.HTTPException)):
            harness.http("GET", platform, "/v1/config")

    def test_direct_load_counts_every_query(self):
        report = harness.run_load(
            {"direct": self.cluster.direct_file(), "rate": 20, "duration": 2,
             "deadline_ms": 2000}, 30)
        self.assertEqual(report["offered"], report["whole"])
        self.assertGreater(report["p50_ms"], 25)


if __name__ == "__main__":
    unittest.main()
