"""Callers outside the limits: what they can hold in a `bronzedeald` process.

The crowds and bounds are fixed. The tests check the life of the process, its
memory and descriptors, and one ordinary query while the crowd is connected; they
depend on no times.
"""

import pathlib
import resource
import sys
import time
import unittest

sys.path.insert(0, str(pathlib.Path(__file__).parents[1] / "platform"))
import crowd  # noqa: E402
import support  # noqa: E402
from support import harness  # noqa: E402

MEMORY_MB = 256  # Of an instance, see docs/CAPACITY.md.
MAX_DESCRIPTORS = 256
MEBIBYTE = 1 << 20
QUERY = {"caller": {"customer": "gaonsan"}, "request": {"kind": "search"},
         "query": {"colour": "tan"}, "deadline_ms": 2000, "min_coverage": 0}
CHUNKED = (b"POST /v1/query HTTP/1.1\r\nHost: x\r\n"
           b"Transfer-Encoding: chunked\r\n\r\n")
HTTP2_PREFACE = (b"PRI * HTTP/2.0\r\n\r\nSM\r\n\r\n"
                 b"\x00\x00\x00\x04\x00\x00\x00\x00\x00")


class CrowdTest(support.ClusterTest):

    max_descriptors = MAX_DESCRIPTORS

    def setUp(self):
        soft, hard = resource.getrlimit(resource.RLIMIT_NOFILE)
        resource.setrlimit(resource.RLIMIT_NOFILE,
                           (self.max_descriptors, hard))
        try:
            super().setUp()
        finally:
            resource.setrlimit(resource.RLIMIT_NOFILE, (soft, hard))
        self.process = self.cluster.instances["entry-0"]
        addresses = self.process.addresses
        self.ports = {"callers": self.cluster.entries["entry-0"]["http"],
                      "admin": addresses["admin"]}
        self.peer_address = addresses["peer"]

    def crowd(self, port, count):
        clients = crowd.Crowd(self.ports[port], count)
        self.addCleanup(clients.close)
        return clients

    def peak_memory_mb(self):
        status = pathlib.Path("/proc/%d/status" % self.process.child.pid)
        line = next(it for it in status.read_text().splitlines()
                    if it.startswith("VmHWM"))
        return int(line.split()[1]) / 1024

    def descriptor_count(self):
        return len(list(pathlib.Path("/proc/%d/fd" % self.process.child.pid
                                     ).iterdir()))

    def is_settled(self):
        before = self.peak_memory_mb()
        time.sleep(0.5)
        return self.peak_memory_mb() == before

    def is_served(self):
        try:
            status, _ = harness.http("POST", self.ports["callers"],
                                     "/v1/query", QUERY)
            state, _ = harness.http("GET", self.ports["admin"], "/v1/state")
        except OSError:
            return False
        return status == 200 and state == 200

    def assert_holds(self):
        harness.wait_until(self.is_settled, 20, "that the crowd is read")
        self.assertTrue(self.process.running())
        self.assertLess(self.peak_memory_mb(), MEMORY_MB)
        self.assertLessEqual(self.descriptor_count(), self.max_descriptors)
        harness.wait_until(self.is_served, 20, "an answer")
        self.assertTrue(self.process.running())


class MisbehavingCallersTest(CrowdTest):
    def test_trailers_without_end(self):
        """Guards against trailers that fill the memory."""
        for port in self.ports:
            self.crowd(port, 8).send([CHUNKED + b"0\r\n"] * 8,
                                     b"X-Filler: x\r\n" * 4096, 1200)
            self.assert_holds()

    def test_chunk_extensions_without_end(self):
        """Guards against the extension of one chunk that fills the memory."""
        for port in self.ports:
            self.crowd(port, 8).send([CHUNKED + b"1;"] * 8, b"x" * 65536, 1000)
            self.assert_holds()

    def test_idle_connections(self):
        """Guards against idle connections that use up the descriptors and keep
        ordinary callers out."""
        for port in self.ports:
            self.crowd(port, 400)
            self.assert_holds()

    def test_idle_connections_to_the_port_of_peers(self):
        """Guards against connections without a stream that use up the
        descriptors."""
        for head in (b"", HTTP2_PREFACE):
            clients = crowd.Crowd(self.peer_address, 300)
            self.addCleanup(clients.close)
            clients.send([head] * len(clients.sockets))
            self.assert_holds()


class UnfinishedBodiesTest(CrowdTest):
    """The same with descriptors enough for many connections."""

    max_descriptors = 4096

    def test_bodies_that_do_not_end(self):
        """Guards against unfinished bodies that together fill the memory."""
        head = (b"POST /v1/query HTTP/1.1\r\nHost: x\r\n"
                b"Content-Length: %d\r\n\r\n" % MEBIBYTE)
        for port in self.ports:
            self.crowd(port, 200).send([head] * 200, b"x" * (MEBIBYTE - 1), 1)
            self.assert_holds()


if __name__ == "__main__":
    unittest.main()
