"""Clients outside the limits: what they can hold in a gateway process.

The crowds and bounds are fixed. The tests check the life of the process, its
memory and descriptors, and one ordinary request while the crowd is connected;
they depend on no times. The time limits of requests and idle connections are
long, so that they don't end a crowd.
"""

import json
import socket
import unittest

import crowd
import standin
from world_test_case import WorldTestCase

MEMORY_MB = 64
MAX_DESCRIPTORS = 256
MEBIBYTE = 1 << 20
LIMITS = {"max-header-bytes": 65536, "max-body-bytes": MEBIBYTE,
          "header-timeout-ms": 60000, "idle-timeout-ms": 60000}
PORTS = ("front", "ready", "directory", "inner", "metrics")


def request_head(path="/read/1", method="GET", *fields):
    lines = ["%s %s HTTP/1.1" % (method, path), "Host: shop.example",
             "Request-Id: crowd", "Request-Deadline: 2500", *fields]
    return ("\r\n".join(lines) + "\r\n\r\n").encode()


CHUNKED = request_head("/read/1", "POST", "Transfer-Encoding: chunked")


class MisbehavingClientsTest(WorldTestCase):
    instances = 1

    def setUp(self):
        super().setUp()
        world, self.instance = self.world, self.world.instances[0]
        self.metrics_port = world.free_ports()["front"]
        world.config["limits"] = dict(LIMITS)
        world.config["version"] = world.version = world.version + 2
        world.republish()
        self.instance.stop()
        self.instance.arguments = ("--metrics-port", str(self.metrics_port))
        self.instance.write_settings(limits={
            "cpu-share": 1, "cores": 1, "max-fds": MAX_DESCRIPTORS,
            "memory-mb": MEMORY_MB})
        self.instance.start()
        self.assertTrue(world.wait(self.instance.ready))

    def address(self, port):
        if port == "metrics":
            return "%s:%d" % (self.instance.ip, self.metrics_port)
        return self.instance.address(port)

    def crowd(self, port, count, receive_buffer=None):
        clients = crowd.Crowd(self.address(port), count, receive_buffer)
        self.addCleanup(clients.close)
        return clients

    def assert_holds(self):
        """The process lives within its bounds and serves an ordinary caller.

        A caller comes again after a refusal.
        """
        self.assertIsNone(self.instance.process.poll())
        self.assertLess(self.instance.peak_memory_mb(), MEMORY_MB)
        self.assertLessEqual(self.instance.descriptor_count(), MAX_DESCRIPTORS)
        self.assertTrue(self.world.wait(
            lambda: self.world.call("read").status == 200))
        self.assertIsNone(self.instance.process.poll())
        self.assert_no_violations()

    def test_trailers_without_end(self):
        """Guards against trailers behind a chunked body that fill the memory."""
        for port in PORTS:
            clients = self.crowd(port, 8)
            clients.send(CHUNKED + b"0\r\n", b"X-Filler: x\r\n" * 4096, 600)
            self.assert_holds()

    def test_a_trailer_without_end(self):
        """Guards against one trailer line that fills the memory."""
        for port in PORTS:
            clients = self.crowd(port, 8)
            clients.send(CHUNKED + b"0\r\nX-Filler: ", b"x" * 65536, 500)
            self.assert_holds()

    def test_chunk_extensions_without_end(self):
        """Guards against the extension of one chunk that fills the memory."""
        for port in PORTS:
            clients = self.crowd(port, 8)
            clients.send(CHUNKED + b"1;", b"x" * 65536, 500)
            self.assert_holds()


if __name__ == "__main__":
    unittest.main()
