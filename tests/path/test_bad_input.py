"""Guards against bad input that runs something, or has no numbered code."""

import http.client
import unittest

import support
from support import harness

QUERY = {"caller": {"customer": "gaonsan"}, "request": {"kind": "search"},
         "query": {"content_id": "bad"}, "deadline_ms": 500,
         "min_coverage": 0}


class BadInputTest(support.ClusterTest):

    def code(self, method, address, path, body):
        status, answer = harness.http(method, address, path, body)
        self.assertIsInstance(answer, dict, (path, status, answer))
        return status, answer["code"]

    def test_caller_interface(self):
        address = self.cluster.entries["entry-0"]["http"]
        operation = {**QUERY, "ticket": "x", "shard": "s", "operation": 1}
        del operation["query"], operation["min_coverage"]
        for path, body, expected in (
                ("/v1/query", b"{", (400, 102)),
                ("/v1/query", b"[]", (400, 103)),
                ("/v1/query", {**QUERY, "deadline_ms": 0}, (400, 103)),
                ("/v1/query", {**QUERY, "deadline_ms": "1"}, (400, 103)),
                ("/v1/query", {**QUERY, "min_coverage": 2}, (400, 103)),
                ("/v1/query", {**QUERY, "request": {}}, (400, 103)),
                ("/v1/query", {**QUERY, "more": 1}, (400, 104)),
                ("/v1/query", b" " * (8 << 20), (413, 101)),
                ("/v1/operations", b"nonsense", (400, 102)),
                ("/v1/operations", operation, (400, 107)),
                ("/v1/tickets", b"{", (400, 102)),
                ("/v1/other", QUERY, (404, 108))):
            with self.subTest(path=path, body=str(body)[:60]):
                try:
                    found = self.code("POST", address, path, body)
                except OSError:
                    # An oversized body may be cut off while it is sent.
                    self.assertEqual(101, expected[1])
                    continue
                self.assertEqual(expected, found)
        self.assertNotIn("bad", self.judge().runs)

    def test_operator_interface(self):
        address = self.cluster.instances["entry-0"].addresses["admin"]
        for method, path, body, expected in (
                ("POST", "/v1/explain", b"{", (400, 102)),
                ("POST", "/v1/explain", {"more": 1}, None),
                ("POST", "/v1/fault", b"[", (400, 102)),
                ("POST", "/v1/fault", {"links": 1}, None),
                ("GET", "/v1/nothing", None, (404, 108)),
                ("DELETE", "/v1/state", None, (404, 108))):
            with self.subTest(path=path, body=body):
                status, code = self.code(method, address, path, body)
                if expected:
                    self.assertEqual(expected, (status, code))
                self.assertIn(code, range(100, 200))

    def test_malformed_http(self):
        for listener in ("http", "admin"):
            address = self.cluster.instances["entry-0"].addresses[listener]
            connection = http.client.HTTPConnection(address, timeout=5)
            connection.connect()
            connection.sock.sendall(b"nonsense\r\n\r\n")
            answer = connection.sock.recv(4096)
            connection.close()
            self.assertIn(b" 400 ", answer.split(b"\r\n")[0] + b" ", listener)
            self.assertIn(b'"code":100', answer)


if __name__ == "__main__":
    unittest.main()
